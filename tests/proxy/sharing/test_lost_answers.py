"""Losses between an instance and the owner of its connections."""

from contextlib import ExitStack

import pytest

from bulrushloom.proxy.base import WaitLimits
from tests.proxy.builders import ms
from tests.proxy.fleet_builders import SECOND, check_commits_told_to_clients
from tests.proxy.sharing.builders import (
    SharingFleet,
    check_no_statement_ran_twice,
    streams_to,
)

WAIT_LIMITS = WaitLimits(in_time=ms(100), useful=ms(100))


@pytest.fixture(scope="module")
def fleet():
    with ExitStack() as stack:
        yield SharingFleet(stack)


@pytest.fixture
def client(fleet):
    """Return a client of an instance that does not own the primary."""
    client = fleet.client_of(fleet.others(fleet.owner_of("a"))[0])
    assert client.query("WRITE 1 data")[0].startswith("DONE")
    assert client.query("READ 1")[-2].startswith("DONE")
    return client


def check(fleet):
    check_no_statement_ran_twice(fleet)
    check_commits_told_to_clients(fleet)


def cut_links(fleet, owner):
    for stream in streams_to(fleet, owner):
        stream.close("cut")


def test_answer_of_a_write_that_is_lost_on_the_hop_is_in_doubt(fleet, client):
    # Guards against a write that is repeated after it ran.
    owner, primary = fleet.owner_of("a"), fleet.group.server_by_id["a"]
    primary.work = ms(20)
    client.sent += 1
    client.send(f"QUERY {client.request_id(client.sent)} WRITE 2 data")
    fleet.run(ms(15))
    cut_links(fleet, owner)
    fleet.run(ms(300))
    assert client.received()[0].startswith("ERR INDOUBT")
    primary.work = ms(5)
    check(fleet)


def test_answer_of_a_read_that_is_lost_on_the_hop_is_repeated(fleet, client):
    # Guards against a read that fails although another connection could run it.
    owner, primary = fleet.owner_of("a"), fleet.group.server_by_id["a"]
    primary.work = ms(20)
    client.sent += 1
    client.send(f"QUERY {client.request_id(client.sent)} READ 2")
    fleet.run(ms(15))
    cut_links(fleet, owner)
    primary.work = ms(5)
    fleet.run(ms(300))
    assert client.received()[-2].startswith("DONE")


def test_write_that_was_surely_not_sent_is_repeated(fleet, client):
    # Guards against a write that is told to be in doubt although nothing was sent.
    owner = fleet.owner_of("a")
    connections = [
        connection
        for peers in owner.sharing.owner.pool._connections_by_target.values()
        for connection in peers
    ]
    leased = []
    member = client.session._services.sharing.client
    acquire = member.acquire

    def acquire_and_lose(*arguments):
        connection = yield from acquire(*arguments)
        if not leased:
            leased.append(connection)
            cut_links(fleet, owner)
            yield fleet.loop.sleep(ms(5))
        return connection

    member.acquire = acquire_and_lose
    assert connections
    assert client.query("WRITE 3 data")[0].startswith("DONE")
    del member.acquire
    ids = [i for i in fleet.run_ids() if i == client.request_id(client.sent)]
    assert len(ids) == 1
    check(fleet)


def test_transaction_of_an_instance_that_dies_is_rolled_back(fleet, client):
    # Guards against locks and connections that a dead instance keeps.
    owner = fleet.owner_of("a")
    client.query("BEGIN")
    client.query("WRITE 4 data")
    sessions = fleet.group.server_by_id["a"].connections
    assert any(session.transaction for session in sessions)
    open_before = owner.sharing.owner.pool.size_of("a")
    cut_links(fleet, owner)
    fleet.run(ms(20))
    assert not any(session.transaction for session in sessions)
    assert owner.sharing.owner.pool.size_of("a") == open_before - 1
    assert client.query("COMMIT")[0].startswith("ERR ABORTED")
    check(fleet)


def test_idle_connection_of_an_instance_that_dies_is_reused(fleet, client):
    # Guards against session values that the next account's session does not expect.
    owner, instance = fleet.owner_of("a"), client.instance
    target = instance.services.table.listed_target_by_id["a"].target
    steps = instance.sharing.acquire(target, "account-1", {}, 1, WAIT_LIMITS)
    leasing = fleet.loop.spawn(steps)
    fleet.run(ms(30))
    connection = leasing.result()
    assert connection.values == {}
    connection.query(b"-", b"SET zone cet")
    fleet.run(ms(20))
    open_before = owner.sharing.owner.pool.size_of("a")
    cut_links(fleet, owner)
    fleet.run(ms(20))
    assert owner.sharing.owner.pool.size_of("a") == open_before
    assert owner.sharing.owner.lease_count() == 0
    other = fleet.client_of(fleet.others(owner)[1])
    other.query("READ 1")
    assert fleet.group.runs[-1].values == {}


def test_lease_that_its_holder_does_not_use_ends(fleet, client):
    # Guards against connections that a frozen instance keeps.
    owner, instance = fleet.owner_of("a"), client.instance
    target = instance.services.table.listed_target_by_id["a"].target
    fleet.loop.spawn(instance.sharing.acquire(target, "account-1", {}, 1, WAIT_LIMITS))
    fleet.run(ms(100))
    assert owner.sharing.owner.lease_count() == 1
    assert owner.sharing.owner.load("a").running == 0
    fleet.run(SECOND * 5)
    assert owner.sharing.owner.lease_count() == 0
