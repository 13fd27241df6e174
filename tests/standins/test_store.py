import threading
import time
from datetime import timedelta

import pytest

from bulrushloom.stores.base import StoredValue
from bulrushloom.stores.exceptions import StoreRefused, StoreUnavailable
from bulrushloom.stores.http import HttpConfigurationStore
from standins.store.app import StoreStandin
from tests.standins.builders import (
    CALL_TIMEOUT,
    call_counts,
    running_standin,
    send_raw,
    set_faults,
)


@pytest.fixture
def address():
    with running_standin(StoreStandin()) as address:
        yield address


@pytest.fixture
def store(address):
    store = HttpConfigurationStore(address, "one/mandeville", CALL_TIMEOUT)
    yield store
    store.close()


def test_loser_of_a_swap_sees_the_winner(store):
    assert store.get("k") == StoredValue(0, None)
    assert store.compare_and_swap("k", 0, {"by": "maya"}).swapped
    lost = store.compare_and_swap("k", 0, {"by": "ops"})
    assert lost == (False, StoredValue(1, {"by": "maya"}))


def test_lost_answer_comes_after_the_change_took_effect(address, store):
    set_faults(address, lose_answers=1)
    with pytest.raises(StoreUnavailable):
        store.compare_and_swap("k", 0, "first")
    assert store.get("k") == StoredValue(1, "first")
    assert store.compare_and_swap("k", 1, "second").swapped


def test_known_value_is_not_sent_again(store, address):
    """Guards against a tag that does not change with the value or the version."""
    assert store.get("k") == store.get("k") == StoredValue(0, None)
    store.compare_and_swap("k", 0, "same")
    assert store.get("k") == store.get("k") == StoredValue(1, "same")
    store.compare_and_swap("k", 1, "same")
    assert store.get("k") == StoredValue(2, "same")
    store.compare_and_swap("k", 2, {"a": 1})
    assert store.get("k") == StoredValue(3, {"a": 1})
    assert HttpConfigurationStore(address, "one/junction").get("k").version == 3


def test_share_of_lost_answers_depends_on_the_seed_only(address, store):
    def outcomes():
        set_faults(address, lose_rate=0.5, lose_seed=7)
        lost = []
        for _ in range(20):
            version = store.get("k").version
            try:
                store.compare_and_swap("k", version, version)
                lost.append(False)
            except StoreUnavailable:
                lost.append(True)
        return lost

    first = outcomes()
    assert first == outcomes()
    assert 0 < sum(first) < 20


def test_watch_returns_when_the_version_grows(store):
    store.compare_and_swap("k", 0, "old")
    timer = threading.Timer(0.1, store.compare_and_swap, ("k", 1, "new"))
    timer.start()
    seen = store.watch("k", 1, timedelta(seconds=5))
    timer.join()
    assert seen == StoredValue(2, "new")


def test_watch_ends_at_its_timeout(address, store):
    started = time.monotonic()
    assert store.watch("k", 0, timedelta(milliseconds=80)) == StoredValue(0, None)
    assert 0.08 <= time.monotonic() - started < 2
    assert call_counts(address)["watch"] == 1


def test_expired_lease_deletes_its_keys_and_versions_are_not_reused(store):
    lease = store.grant_lease(timedelta(seconds=1.5))
    store.compare_and_swap("k", 0, "held", lease)
    time.sleep(1.0)
    assert store.keep_alive(lease)
    time.sleep(1.0)
    assert store.get("k").value == "held"
    time.sleep(1.0)
    assert store.get("k") == StoredValue(0, None)
    assert not store.keep_alive(lease)
    with pytest.raises(StoreRefused, match="lease"):
        store.compare_and_swap("k", 0, "late", lease)
    assert store.compare_and_swap("k", 0, "new").current.version == 2


def test_outage_and_refused_connection_are_unavailable(address, store):
    set_faults(address, outage=True)
    with pytest.raises(StoreUnavailable):
        store.get("k")
    set_faults(address, outage=False)
    assert store.get("k").version == 0
    unreachable = HttpConfigurationStore("127.0.0.1:1", "one/mandeville")
    with pytest.raises(StoreUnavailable):
        unreachable.get("k")


def test_slow_store_is_unavailable_after_the_timeout(address):
    set_faults(address, slow_ms=300)
    short_timeout_client = HttpConfigurationStore(
        address, "one/mandeville", timedelta(milliseconds=50)
    )
    with pytest.raises(StoreUnavailable):
        short_timeout_client.get("k")


def test_calls_above_the_cap_are_refused_and_have_no_effect(address, store):
    set_faults(address, writes_per_s=2, reads_per_s=3)
    store.compare_and_swap("k", 0, 1)
    store.compare_and_swap("k", 1, 2)
    with pytest.raises(StoreRefused, match="too many"):
        store.compare_and_swap("k", 2, 3)
    for _ in range(3):
        assert store.get("k").version == 2
    with pytest.raises(StoreRefused):
        store.watch("k", 0, timedelta())
    assert call_counts(address)["too_many_requests"] == 2


def test_sender_that_is_cut_off_gets_no_answer(address, store):
    set_faults(address, cut=["mandeville"])
    with pytest.raises(StoreUnavailable):
        store.get("k")
    other = HttpConfigurationStore(address, "two/junction", CALL_TIMEOUT)
    assert other.get("k").version == 0
    other.close()


def test_values_up_to_one_megabyte_are_stored(store):
    value = "x" * 999_998
    assert store.compare_and_swap("k", 0, value).swapped
    assert store.get("k").value == value
    with pytest.raises(StoreRefused, match="larger"):
        store.compare_and_swap("k", 1, value + "x")


@pytest.mark.parametrize(
    "path, body, reason",
    [
        ("/swap", b"{", "not JSON"),
        ("/swap", b"[]", "body"),
        ("/swap", b'{"key":"k","value":1}', "version"),
        ("/swap", b'{"key":"k","version":-1,"value":1}', "version"),
        ("/swap", b'{"key":"k","version":"0","value":1}', "version"),
        ("/swap", b'{"key":"","version":0,"value":1}', "key"),
        ("/swap", b'{"key":"k","version":0,"value":1,"x":1}', "x"),
        ("/leases", b'{"ttl_ms":0}', "ttl_ms"),
        ("/faults", b'{"lose_rate":2.0}', "lose_rate"),
        ("/faults", b'{"unknown":1}', "unknown"),
        ("/keys", None, "key"),
        ("/watch?key=k&version=x", None, "version"),
        ("/watch?key=k&timeout_ms=99999999", None, "timeout_ms"),
    ],
)
def test_bad_input_is_refused_with_the_reason(address, path, body, reason):
    response = send_raw(address, path, body)
    assert response.status == 400
    assert reason in response.json()["error"]


def test_received_holds_raw_requests_with_headers(address):
    send_raw(address, "/keys?key=abc", origin="leaky/key-4711")
    recorded = send_raw(address, "/received").data
    assert b"GET /keys?key=abc HTTP/1.1" in recorded
    assert b"leaky/key-4711" in recorded
    assert send_raw(address, "/received?last=0").data == b""


def test_outage_also_hides_answers_to_requests_that_were_waiting(address, store):
    timer = threading.Timer(0.05, set_faults, (address,), {"outage": True})
    timer.start()
    with pytest.raises(StoreUnavailable):
        store.watch("k", 0, timedelta(milliseconds=200))
    timer.join()
