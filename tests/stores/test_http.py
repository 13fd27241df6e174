from datetime import timedelta

import pytest

from bulrushloom.stores.exceptions import StoreRefused, StoreUnavailable
from bulrushloom.stores.http import HttpConfigurationStore
from tests.core.builders import http_answer, scripted

TIMEOUT = timedelta(seconds=2)


@pytest.mark.parametrize(
    "status, body", [(200, b"{}"), (200, b"[]"), (500, b"{}"), (200, b"{")]
)
def test_unusable_answer_may_have_had_an_effect(status, body):
    with scripted(http_answer(status, body), http_answer(status, body)) as address:
        store = HttpConfigurationStore(address, "one/junction", TIMEOUT)
        for call in (lambda: store.get("k"), lambda: store.compare_and_swap("k", 0, 1)):
            with pytest.raises(StoreUnavailable) as caught:
                call()
            assert not isinstance(caught.value, StoreRefused)


def test_client_error_means_that_nothing_changed():
    with scripted(http_answer(429, b'{"error":"too many"}')) as address:
        store = HttpConfigurationStore(address, "one/junction", TIMEOUT)
        with pytest.raises(StoreRefused, match="too many"):
            store.compare_and_swap("k", 0, 1)
