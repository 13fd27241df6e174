"""Client of the platform's store, with a store on a loopback address."""

import socket
from contextlib import ExitStack
from datetime import timedelta

import orjson
import pytest

from bulrushloom.platform.known_configuration import LARGE_VALUE_LENGTH
from bulrushloom.platform.promotion import DutyPromotion
from bulrushloom.platform.store import KeyValueStore
from bulrushloom.proxy.store import (
    ConfigurationDocument,
    DocumentError,
    ExpectedRevision,
    Lease,
    Put,
    StoreFailure,
    StoreFailureKind,
)
from bulrushloom.runtime.http import HttpServer
from standins.platform.documents import build_document, build_entry
from standins.platform.kv_server import KeyValueServer
from tests.runtime.builders import running_loop, wait_for

SECOND = timedelta(seconds=1)


@pytest.fixture
def platform():
    """Yield a loop, a store on a free port, a client of it and the logged events."""
    with ExitStack() as stack:
        loop = stack.enter_context(running_loop())
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{sock.getsockname()[1]}"
        server = KeyValueServer(loop, address)
        stack.callback(server.close)
        logged = []
        client = KeyValueStore(loop, address, lambda event, **_: logged.append(event))
        stack.callback(client.close)
        yield loop, server, client, logged


def test_snapshot_contains_all_data(platform):
    loop, server, client, _ = platform
    server.put_json("op/config", build_document())
    server.put_json("servers/i-1", build_entry())
    server.put("proxy/leader", b"{}")
    server.put("members/north-1/run", b"{}")
    snapshot = wait_for(loop, client.snapshot(True))
    assert snapshot.configuration.version == 7
    assert snapshot.target_by_id["i-1"].service == "orders"
    assert set(snapshot.record_by_key) == {"proxy/leader"}
    assert set(snapshot.member_by_key) == {"members/north-1/run"}
    assert snapshot.requested_at <= loop.now()
    assert wait_for(loop, client.snapshot(False)).member_by_key is None


class TestLargeConfiguration:
    """Reads of a store whose configuration is too large to be read each time."""

    @pytest.fixture
    def large(self, platform):
        loop, server, client, _ = platform
        server.put_json("op/config", self.build(7))
        server.put_json("servers/i-1", build_entry())
        server.put("members/north-1/run", b"{}")
        server.put("proxy/leader", b"{}")
        wait_for(loop, client.snapshot(True))
        server.calls.clear()
        return loop, server, client

    def build(self, version):
        padding = {"Name": "x" * LARGE_VALUE_LENGTH, "ApiKeys": []}
        return {**build_document(version), "Padding": padding}

    def full_reads(self, server):
        return [p for _, p in server.calls if p.endswith("Prefix=&after=")]

    @pytest.mark.parametrize("with_members", [True, False])
    def test_it_is_not_read_again_while_it_is_the_same(self, large, with_members):
        # Guards against a leader that reads megabytes twice a second, and has no recent
        # read because each takes longer than that.
        loop, server, client = large
        server.put("proxy/fence", b"2")
        server.put("op/evacuate/north", b"")
        server.put("members/north-2/run", b"{}")
        snapshot = wait_for(loop, client.snapshot(with_members))
        assert not self.full_reads(server)
        assert snapshot.configuration.version == 7
        assert set(snapshot.target_by_id) == {"i-1"}
        assert set(snapshot.record_by_key) == {"proxy/leader", "proxy/fence"}
        assert snapshot.evacuated_domains == {"north"}
        names = {"members/north-1/run", "members/north-2/run"}
        members = snapshot.member_by_key
        assert set(members) == names if with_members else members is None

    def test_change_is_read(self, large):
        loop, server, client = large
        server.put_json("op/config", self.build(9))
        assert wait_for(loop, client.snapshot(True)).configuration.version == 9

    def test_lost_history_is_followed_by_a_full_read(self, large):
        # Guards against a store that has compacted its history, or lost a part of it.
        loop, server, client = large
        server.put_json("op/config", self.build(9))
        server.oldest_revision = server.revision + 1
        assert wait_for(loop, client.snapshot(True)).configuration.version == 9

    def test_return_of_the_store_is_followed_by_a_full_read(self, large):
        # Guards against a revision that is given out again in the next era.
        loop, server, client = large
        copy = server.copy()
        server.put("proxy/fence", b"2")
        wait_for(loop, client.snapshot(True))
        server.return_from(copy)
        server.put_json("op/config", self.build(9))
        snapshot = wait_for(loop, client.snapshot(True))
        assert (snapshot.configuration.version, snapshot.era) == (9, 1)

    def test_failure_is_followed_by_a_full_read(self, large):
        loop, server, client = large
        server.status = 503
        assert isinstance(wait_for(loop, client.snapshot(True)), StoreFailure)
        server.status = 200
        assert wait_for(loop, client.snapshot(True)).configuration.version == 7
        assert self.full_reads(server)


def test_snapshot_contains_the_evacuated_domains(platform):
    # Guards against a request that is not seen because its value cannot be read.
    loop, server, client, _ = platform
    server.put("op/evacuate/north", b"")
    server.put("op/evacuate/old town/1", b"{not json")
    server.item_by_key["op/evacuate/north"]["Value"] = None
    for key in ("op/evacuate", "op/evacuate/", "op/evacuate/" + "x" * 1000):
        server.put(key, b"1")
    snapshot = wait_for(loop, client.snapshot(True))
    assert snapshot.evacuated_domains == {"north", "old town/1"}
    server.delete("op/evacuate/north")
    snapshot = wait_for(loop, client.snapshot(False))
    assert snapshot.evacuated_domains == {"old town/1"}


def test_snapshot_reads_all_pages(platform):
    loop, server, client, _ = platform
    server.page_items = 2
    for number in range(7):
        server.put_json(f"servers/i-{number}", build_entry())
    snapshot = wait_for(loop, client.snapshot(True))
    assert len(snapshot.target_by_id) == 7


def test_invalid_entries_are_left_out_and_logged_once(platform):
    # Guards against one invalid entry that makes the whole read fail.
    loop, server, client, logged = platform
    server.put("servers/i-1", b"\xff\x00")
    server.put_json("servers/i-2", build_entry(Slots="many"))
    server.put_json("servers/i-3", build_entry())
    for _ in range(3):
        snapshot = wait_for(loop, client.snapshot(True))
        server.put("servers/i-1", b"\xff\x00")
    assert set(snapshot.target_by_id) == {"i-3"}
    assert logged == ["target_entry_unreadable"] * 2


def test_invalid_configuration_does_not_replace_the_current_one(platform):
    loop, server, client, logged = platform
    server.put_json("op/config", build_document())
    wait_for(loop, client.snapshot(True))
    server.put("op/config", b"{")
    assert wait_for(loop, client.snapshot(True)).configuration.version == 7
    assert logged == ["configuration_unreadable"]


def test_version_from_another_instance_is_applied_unless_it_is_older(platform):
    # Guards against replacing the configuration by an older one from a peer.
    loop, server, client, _ = platform
    server.put_json("op/config", build_document(7))
    wait_for(loop, client.snapshot(True))
    known = client.document()
    newer = ConfigurationDocument(9, orjson.dumps(build_document(9)))
    assert client.apply_document(newer).version == 9
    assert client.apply_document(known).version == 9
    assert client.document() == newer
    for malformed in (b"{", orjson.dumps(build_document(9))):
        with pytest.raises(DocumentError):
            client.apply_document(ConfigurationDocument(11, malformed))
    assert client.document() == newer


def test_commit_requires_the_expected_revision(platform):
    loop, server, client, _ = platform
    put = Put("proxy/leader", b"me")
    first = wait_for(loop, client.commit((ExpectedRevision(put.key, 0),), (put,)))
    assert isinstance(first, int)
    again = wait_for(loop, client.commit((ExpectedRevision(put.key, 0),), (put,)))
    assert again.kind is StoreFailureKind.CONFLICT
    known = ExpectedRevision(put.key, first)
    assert isinstance(wait_for(loop, client.commit((known,), (put,))), int)


def test_lease_is_created_renewed_and_revoked(platform):
    loop, server, client, _ = platform
    lease = wait_for(loop, client.create_lease(SECOND * 2))
    assert isinstance(lease, Lease) and lease.ttl == SECOND * 2
    wait_for(loop, client.commit((), (Put("members/a/b", b"{}", lease.lease_id),)))
    assert wait_for(loop, client.renew_lease(lease.lease_id)) == lease
    assert wait_for(loop, client.revoke_lease(lease.lease_id)) is None
    renewed = wait_for(loop, client.renew_lease(lease.lease_id))
    assert renewed.kind is StoreFailureKind.NO_LEASE
    assert wait_for(loop, client.snapshot(True)).member_by_key == {}


@pytest.mark.parametrize(
    "status, problem",
    [
        (503, StoreFailureKind.NOT_DONE),
        (429, StoreFailureKind.NOT_DONE),
        (500, StoreFailureKind.UNKNOWN),
    ],
)
def test_refusals_and_errors_are_distinguished(platform, status, problem):
    loop, server, client, _ = platform
    server.status = status
    for call in (client.snapshot(True), client.commit((), (Put("a", b""),))):
        assert wait_for(loop, call).kind is problem


@pytest.mark.parametrize(
    "answer",
    [
        [],
        None,
        "text",
        {"items": None, "CurrentRev": 1},
        {"items": [{}], "CurrentRev": 1},
        {"items": [{"Key": 7, "Value": "", "Rev": 1}], "CurrentRev": 1},
        {"items": [], "HasMore": True},
        {"Rev": "later"},
        {"Lease": [], "TtlMs": 2000},
        {"Lease": 1, "TtlMs": 1e300},
    ],
)
def test_answer_of_another_form_is_a_failure(platform, answer):
    # Guards against an answer that ends the task which called the store.
    loop, server, _, logged = platform
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{sock.getsockname()[1]}"
    body = orjson.dumps(answer)
    other = HttpServer(loop, address, lambda *_: (200, {}, body))
    client = KeyValueStore(loop, address, lambda event, **_: logged.append(event))
    calls = [client.snapshot(True), client.create_lease(SECOND)]
    calls.append(client.commit((), (Put("a", b""),)))
    results = [wait_for(loop, call) for call in calls]
    client.close()
    other.close()
    # A revision is optional in the answer to a commit.
    failures = [result for result in results if isinstance(result, StoreFailure)]
    assert len(failures) >= (2 if isinstance(answer, dict) else 3)
    assert all(f.kind is StoreFailureKind.UNKNOWN for f in failures)


def test_call_without_an_answer_has_an_unknown_outcome(platform):
    loop, _, _, _ = platform
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        address = f"127.0.0.1:{sock.getsockname()[1]}"
        client = KeyValueStore(loop, address, lambda *_, **__: None)
        result = wait_for(loop, client.commit((), (Put("a", b""),)))
        client.close()
    assert isinstance(result, StoreFailure)
    assert result.kind is StoreFailureKind.UNKNOWN


def order_promotion(loop, address, is_allowed=lambda: True):
    promotion = DutyPromotion(loop, address)
    ordering = promotion.promote("orders", "i-1", "north-1", 4, is_allowed)
    return wait_for(loop, ordering)


def test_promotion_names_holder_and_fence(platform):
    loop, server, _, _ = platform
    status = order_promotion(loop, f"127.0.0.1:{server.port}")
    assert server.calls[-1] == ("POST", "/promote")
    assert status == 404


def test_promotion_without_an_answer_returns_zero(platform):
    loop, _, _, _ = platform
    assert order_promotion(loop, "127.0.0.1:1") == 0


def test_promotion_is_not_sent_after_the_lease_expired_while_connecting(platform):
    # Guards against the order of a former leader that was frozen, or waited for its
    # connection, after it had checked its lease.
    loop, server, _, _ = platform
    address = f"127.0.0.1:{server.port}"
    assert order_promotion(loop, address, lambda: False) == 0
    assert ("POST", "/promote") not in server.calls
