"""Client of the platform's store while the store returns from a copy."""

from datetime import timedelta

import pytest

from bulrushloom.platform.store import KeyValueStore
from bulrushloom.proxy.store import (
    ExpectedRevision,
    Lease,
    Put,
    StoreFailure,
    StoreFailureKind,
)
from bulrushloom.proxy.store_eras import era_key
from bulrushloom.runtime.http import HttpServer
from standins.platform.documents import build_document, build_entry
from standins.ports import free_ports
from tests.platform.test_store import platform
from tests.runtime.builders import wait_for

__all__ = ["platform"]
SECOND = timedelta(seconds=1)


def read(platform):
    loop, _, client, _ = platform
    return wait_for(loop, client.snapshot(True))


def test_configuration_of_the_copy_is_read_and_the_latest_is_kept(platform):
    # Guards against a document with a revision that was seen before, and against
    # copies for other instances of an older one than is in force.
    _, server, client, _ = platform
    server.put_json("op/config", build_document(7))
    copy = server.copy()
    server.put_json("op/config", build_document(8))
    assert read(platform).configuration.version == 8
    server.return_from(copy)
    snapshot = read(platform)
    assert (snapshot.era, snapshot.configuration.version) == (1, 7)
    assert client.document().version == 8
    server.put_json("op/config", build_document(9))
    assert read(platform).configuration.version == 9
    assert client.document().version == 9


def test_entry_with_a_revision_that_is_given_out_again(platform):
    # Guards against a target whose cached entry hides the present one.
    _, server, _, _ = platform
    copy = server.copy()
    server.put_json("servers/i-1", build_entry(Zone="north"))
    assert read(platform).target_by_id["i-1"].domain == "north"
    server.return_from(copy)
    server.put_json("servers/i-1", build_entry(Zone="south"))
    assert read(platform).target_by_id["i-1"].domain == "south"


def test_read_whose_pages_are_of_two_eras_fails(platform):
    # Guards against a list of which one half is lost.
    loop, server, client, _ = platform
    server.page_items = 2
    for number in range(5):
        server.put_json(f"servers/i-{number}", build_entry())
    handle, calls = server.handle, []

    def return_after_the_first_page(*request):
        reply = handle(*request)
        calls.append(request)
        if len(calls) == 1:
            server.return_from(server.copy())
        return reply

    server._server._handler = return_after_the_first_page
    failure = wait_for(loop, client.snapshot(True))
    assert isinstance(failure, StoreFailure) and len(calls) == 2
    assert len(wait_for(loop, client.snapshot(True)).target_by_id) == 5


def test_lease_number_that_is_given_out_again(platform):
    # Guards against the renewal, and the end, of a lease of another holder.
    loop, server, client, _ = platform
    copy = server.copy()
    lease = wait_for(loop, client.create_lease(SECOND * 9))
    server.return_from(copy)
    other = wait_for(loop, client.create_lease(SECOND * 9))
    assert other == Lease(lease.lease_id, lease.ttl, 1)
    lost = wait_for(loop, client.renew_lease(lease.lease_id, lease.era))
    assert lost.kind is StoreFailureKind.NO_LEASE
    ended = wait_for(loop, client.revoke_lease(lease.lease_id, lease.era))
    assert isinstance(ended, StoreFailure)
    renewed = wait_for(loop, client.renew_lease(other.lease_id, other.era))
    assert renewed == other


def test_answer_without_the_era_that_is_known(platform):
    # Guards against a leader that gives up a valid lease, and a write that counts as
    # one of era 0, because one answer lacks the header.
    loop, server, client, _ = platform
    server.return_from(server.copy())
    lease = wait_for(loop, client.create_lease(SECOND * 9))
    server.era = 0
    failures = [
        wait_for(loop, client.renew_lease(lease.lease_id, lease.era)),
        wait_for(loop, client.create_lease(SECOND * 9)),
        wait_for(loop, client.commit((), (Put("proxy/groups/orders", b"{}"),))),
    ]
    assert [f.kind for f in failures] == [StoreFailureKind.UNKNOWN] * 3
    server.era = 1
    renewed = wait_for(loop, client.renew_lease(lease.lease_id, lease.era))
    assert renewed == lease


def test_write_that_was_decided_in_an_earlier_era(platform):
    # Guards against a condition that holds by accident, and against a write before the
    # new era has a leader that counts as done.
    loop, server, client, _ = platform
    copy, put = server.copy(), Put("proxy/groups/orders", b"{}")
    first = wait_for(loop, client.commit((), (put,)))
    server.return_from(copy)
    other = wait_for(loop, client.commit((), (put,), 1))
    assert other == first
    expected = (ExpectedRevision(put.key, first),)
    assert wait_for(loop, client.commit(expected, (put,))).kind is (
        StoreFailureKind.UNKNOWN
    )
    known = server.item_by_key[put.key]["Rev"]
    server.put(era_key(1), b"")
    late = Put(put.key, b"late")
    expected = (ExpectedRevision(put.key, known),)
    assert wait_for(loop, client.commit(expected, (late,))).kind is (
        StoreFailureKind.CONFLICT
    )
    assert isinstance(wait_for(loop, client.commit(expected, (late,), 1)), int)


@pytest.mark.parametrize("era", ["-1", "one", "", "1.5", "9" * 5000, "2000000"])
def test_answer_with_a_malformed_era_is_a_failure(platform, era):
    loop, _, _, _ = platform
    address = f"127.0.0.1:{free_ports(1)[0]}"
    answer = 200, {"Store-Era": era}, b'{"Rev":1}'
    other = HttpServer(loop, address, lambda *_: answer)
    client = KeyValueStore(loop, address, lambda *_, **__: None)
    result = wait_for(loop, client.commit((), (Put("a", b""),)))
    client.close()
    other.close()
    assert isinstance(result, StoreFailure)
    assert result.kind is StoreFailureKind.UNKNOWN
