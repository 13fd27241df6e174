from datetime import timedelta

import pytest

from bulrushloom.stores.base import StoredValue
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


def test_value_is_sent_again_only_after_a_change():
    """Guards against reads of the whole rules text every second."""
    answers = [
        b'{"version":1,"value":"old","tag":"t1"}',
        b'{"unchanged":"t1"}',
        b'{"version":1,"value":"other","tag":"t2"}',
        b'{"unchanged":"t1"}',
    ]
    with scripted(*[http_answer(200, body) for body in answers]) as address:
        store = HttpConfigurationStore(address, "one/junction", TIMEOUT)
        assert store.get("k") == store.get("k") == StoredValue(1, "old")
        assert store.get("k") == StoredValue(1, "other")
        with pytest.raises(StoreUnavailable, match="another value"):
            store.get("k")


def test_store_without_tags_is_read_in_full():
    body = b'{"version":1,"value":"v"}'
    with scripted(http_answer(200, body), http_answer(200, body)) as address:
        store = HttpConfigurationStore(address, "one/junction", TIMEOUT)
        assert store.get("k") == store.get("k") == StoredValue(1, "v")
