from datetime import timedelta

import pytest

from bulrushloom.stores.base import StoredValue
from bulrushloom.stores.exceptions import StoreRefused, StoreUnavailable
from bulrushloom.stores.http import HttpConfigurationStore
from tests.core.builders import http_response, scripted_server

TIMEOUT = timedelta(seconds=2)


@pytest.mark.parametrize(
    "status, body", [(200, b"{}"), (200, b"[]"), (500, b"{}"), (200, b"{")]
)
def test_invalid_response_is_not_a_refusal(status, body):
    with scripted_server(
        http_response(status, body), http_response(status, body)
    ) as address:
        store = HttpConfigurationStore(address, "one/junction", TIMEOUT)
        for call in (lambda: store.get("k"), lambda: store.compare_and_swap("k", 0, 1)):
            with pytest.raises(StoreUnavailable) as caught:
                call()
            assert not isinstance(caught.value, StoreRefused)


def test_client_error_is_a_refusal():
    with scripted_server(http_response(429, b'{"error":"too many"}')) as address:
        store = HttpConfigurationStore(address, "one/junction", TIMEOUT)
        with pytest.raises(StoreRefused, match="too many"):
            store.compare_and_swap("k", 0, 1)


def test_unchanged_value_is_not_transferred_again():
    """Guards against transferring the whole rules text every second."""
    bodies = [
        b'{"version":1,"value":"old","tag":"t1"}',
        b'{"unchanged":"t1"}',
        b'{"version":1,"value":"other","tag":"t2"}',
        b'{"unchanged":"t1"}',
    ]
    with scripted_server(*[http_response(200, body) for body in bodies]) as address:
        store = HttpConfigurationStore(address, "one/junction", TIMEOUT)
        assert store.get("k") == store.get("k") == StoredValue(1, "old")
        assert store.get("k") == StoredValue(1, "other")
        with pytest.raises(StoreUnavailable, match="another tag"):
            store.get("k")


def test_store_without_tags_is_read_in_full():
    body = b'{"version":1,"value":"v"}'
    with scripted_server(http_response(200, body), http_response(200, body)) as address:
        store = HttpConfigurationStore(address, "one/junction", TIMEOUT)
        assert store.get("k") == store.get("k") == StoredValue(1, "v")
