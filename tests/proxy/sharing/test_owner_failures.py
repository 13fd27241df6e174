"""Owners that are killed, frozen, cut off or stopped, on a simulated fleet."""

from contextlib import ExitStack

import pytest

from bulrushloom.proxy.sharing.links import OwnerLink
from tests.proxy.builders import ms
from tests.proxy.fleet_builders import (
    SECOND,
    check_acknowledged_commits,
    check_commits_told_to_clients,
)
from tests.proxy.sharing.builders import (
    MAX_CONNECTIONS,
    SharingFleet,
    check_no_statement_ran_twice,
    streams_to,
)


@pytest.fixture
def fleet():
    with ExitStack() as stack:
        yield SharingFleet(stack)


def warm_up(fleet, clients):
    for client in clients:
        assert client.query("WRITE 1 data")[0].startswith("DONE")


def send(client, text):
    client.sent += 1
    client.send(f"QUERY {client.request_id(client.sent)} {text}")


def answer(client, fleet, limit=SECOND * 2):
    """Return the first line of the answer and the time that it took."""
    started_at, lines = fleet.loop.now(), []
    while not (lines and lines[-1].startswith("READY")):
        assert fleet.loop.now() - started_at < limit, "no answer"
        fleet.run(ms(5))
        lines += client.received()
    return lines[0], fleet.loop.now() - started_at


def check(fleet):
    check_no_statement_ran_twice(fleet)
    check_acknowledged_commits(fleet)
    check_commits_told_to_clients(fleet)
    for server in fleet.group.server_by_id.values():
        assert len(server.connections) <= MAX_CONNECTIONS


def test_killed_owner_with_requests_queued_and_a_transaction_open(fleet):
    # Guards against callers that wait for a killed owner, or are told that a
    # transaction is open which the target has rolled back.
    owner = fleet.owner_of("a")
    clients = [fleet.client_of(m, number=n) for n, m in enumerate(fleet.others(owner))]
    warm_up(fleet, clients)
    fleet.run(SECOND * 4)
    warm_up(fleet, clients)
    writer, *others = clients
    writer.query("BEGIN")
    writer.query("WRITE 9 data")
    lost_id = writer.request_id(writer.sent)
    for server in fleet.group.server_by_id.values():
        server.work = ms(30)
    for client in others:
        send(client, "WRITE 2 data")
    fleet.run(ms(10))
    fleet.kill(owner)
    for client in others:
        line, duration = answer(client, fleet)
        assert line.startswith(("DONE", "ERR INDOUBT", "ERR BUSY"))
        assert duration < ms(500)
        if line.startswith("ERR BUSY"):
            assert client.request_id(client.sent) not in fleet.run_ids()
    assert writer.query("WRITE 10 data")[0].startswith("ERR ABORTED")
    writer.query("ROLLBACK")
    assert lost_id not in fleet.acknowledged_ids()
    warm_up(fleet, clients)
    assert fleet.direct_opened() == 0
    assert not fleet.promotion.orders
    check(fleet)


def test_silent_owner_is_replaced_after_its_silence(fleet):
    # Guards against statements that wait for a frozen owner until they time out, and
    # against a target that is suspected because of its owner.
    owner = fleet.owner_of("a")
    clients = [fleet.client_of(member) for member in fleet.others(owner)[:2]]
    warm_up(fleet, clients)
    fleet.silence(owner)
    for client in clients:
        send(client, "WRITE 2 data")
    for client in clients:
        line, duration = answer(client, fleet)
        assert line.startswith("DONE")
        assert duration < ms(400)
    for client in clients:
        send(client, "WRITE 3 data")
        line, duration = answer(client, fleet)
        assert line.startswith("DONE")
        assert duration < ms(60)
    assert not any(m.services.suspected_targets() for m in fleet.others(owner))
    check(fleet)


def test_statement_at_an_owner_that_becomes_silent_is_in_doubt(fleet):
    # Guards against a write that is repeated although it may have run.
    owner = fleet.owner_of("a")
    client = fleet.client_of(fleet.others(owner)[0])
    warm_up(fleet, [client])
    fleet.group.server_by_id["a"].work = ms(50)
    send(client, "WRITE 2 data")
    fleet.run(ms(20))
    fleet.silence(owner)
    line, _ = answer(client, fleet)
    assert line.startswith(("ERR TIMEOUT", "ERR INDOUBT"))
    assert not any(m.services.suspected_targets() for m in fleet.others(owner))
    check(fleet)


def test_stopping_owner_lets_transactions_end_and_takes_no_new_ones(fleet):
    # Guards against transactions that are cut by a planned stop of another instance.
    owner = fleet.owner_of("a")
    writer, other = (fleet.client_of(m) for m in fleet.others(owner)[:2])
    warm_up(fleet, [writer, other])
    writer.query("BEGIN")
    writer.query("WRITE 9 data")
    fleet.stop(owner)
    fleet.run(ms(100))
    leases = owner.sharing.owner.lease_count()
    send(other, "WRITE 2 data")
    line, duration = answer(other, fleet)
    assert line.startswith("DONE")
    assert duration < ms(60)
    warm_up(fleet, [other])
    assert owner.sharing.owner.lease_count() == leases == 1
    # It is asked once, and then not for some time.
    assert b'leases_refused_total{case="stopping"} 1' in owner.services.metrics.text()
    assert writer.query("COMMIT")[0].startswith("DONE")
    fleet.run(ms(600))
    assert owner.sharing.owner.pool.size() == 0
    check(fleet)


def test_two_instances_that_believe_to_be_the_owner(fleet):
    # Guards against owners that together exceed the limit of a target for long.
    owner = fleet.owner_of("a")
    limit = 3
    for server in fleet.group.server_by_id.values():
        server.max_connections = limit
    members = fleet.others(owner)
    clients = [fleet.client_of(m, number=n) for n, m in enumerate(members)]
    served = 0
    for _ in range(20):
        for member in members[::2]:
            chooser = member.sharing.client.chooser
            chooser.record_failure(owner.name, fleet.loop.now())
        for client in clients:
            send(client, "WRITE 2 data")
        for client in clients:
            served += answer(client, fleet)[0].startswith("DONE")
        fleet.run(ms(200))
    assert served >= 20 * len(clients) * 0.9
    check(fleet)


def test_direct_connections_while_no_owner_answers(fleet):
    # Guards against an instance that is cut off from its domain and serves nobody.
    alone, *others = fleet.in_domain()
    client = fleet.client_of(alone)
    for member in others:
        fleet.silence(member)
    alone.sharing.client.chooser.record_failure(alone.name, fleet.loop.now())
    send(client, "WRITE 2 data")
    answer(client, fleet)
    send(client, "WRITE 3 data")
    assert answer(client, fleet)[0].startswith("DONE")
    assert fleet.direct_opened() > 0
    check(fleet)


def test_link_that_is_closed_while_it_connects_leaves_no_connection(fleet):
    # Guards against descriptors that leak when an instance leaves the list of members
    # in the moment in which another one connects to it.
    owner, caller = fleet.in_domain()[:2]
    client = caller.sharing.client
    member = client._member_by_name[owner.name]
    link = OwnerLink(
        fleet.loop,
        caller.name,
        member,
        caller.fleet.keys,
        lambda *_: None,
        caller.services.memory,
    )
    before = len([s for s in streams_to(fleet, owner) if s.is_open])
    fleet.loop.spawn(link.connect(fleet.network))
    link.close("the instance is gone or has restarted")
    fleet.run(ms(100))
    assert len([s for s in streams_to(fleet, owner) if s.is_open]) == before


def test_transaction_outlives_the_entry_of_a_stopping_owner(fleet):
    # Guards against transactions that are cut when a stopping owner has left the list
    # of members, although it waits for them.
    owner = fleet.owner_of("a")
    caller = fleet.others(owner)[0]
    client = fleet.client_of(caller)
    client.query("BEGIN")
    assert client.query("WRITE 1 data")[-2].startswith("DONE")
    sharing = caller.sharing.client
    remaining = [m for m in sharing._member_by_name.values() if m.name != owner.name]
    sharing.update_members(remaining, False)
    assert client.query("COMMIT")[-2].startswith("DONE")


def test_former_owner_drops_its_scheduler(fleet):
    # Guards against an owner that takes over a second time and relies on old state: it
    # does not know what the other owner has just sent to a cold target.
    owner = fleet.owner_of("a")
    clients = [fleet.client_of(member) for member in fleet.others(owner)]
    fleet.kill(owner)
    fleet.run(ms(300))
    warm_up(fleet, clients)
    (second,) = [m for m in fleet.others(owner) if m.sharing.owner.load("a")]
    successor = fleet.restart(owner)
    fleet.share(successor)
    for _ in range(3):
        # The first statements connect to the owner that has returned.
        fleet.run(SECOND * 3)
        warm_up(fleet, clients)
    assert successor.sharing.owner.load("a")
    assert second.sharing.owner.load("a") is None
    assert not any("waiting" in name for name in second.services.metrics.gauges)
