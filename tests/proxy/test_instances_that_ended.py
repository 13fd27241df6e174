"""Commits that instances acknowledged before they ended, on a simulated fleet.

Replica ``c`` alone has these commits, and is out of reach of all instances.
"""

from contextlib import ExitStack

import pytest

from bulrushloom.proxy.failover.abandonment import FAILOVER_TIMEOUT
from bulrushloom.proxy.failover.groups import GROUP_PREFIX, GroupPhase
from bulrushloom.proxy.store import Put
from tests.proxy.builders import SERVICE, build_group, ms
from tests.proxy.fleet_builders import (
    SECOND,
    SimulatedFleet,
    Writers,
    open_clients,
    primary_id,
    send_reads,
    write_until_served,
)

# An entry of an instance in the store expires within this time after its end.
ENTRY_LIFETIME = SECOND * 8
COMMITS = 4


def commit_past_replica(fleet, member):
    """Commit through an instance while replica b receives nothing."""
    replica = fleet.group.server_by_id["b"]
    clients = [member.client("strict") for _ in range(COMMITS)]
    replica.drops_replication = True
    writers = Writers(fleet, clients)
    writers.send()
    fleet.run(ms(60))
    writers.receive()
    assert len(writers.done_at_by_id) == COMMITS
    replica.drops_replication = False
    return writers


def commit_without_a_report(fleet, member):
    """Commit through an instance that is killed before it reports again."""
    cut = {
        frozenset((member.name, other.name))
        for other in fleet.members
        if other is not member
    }
    client = member.client("strict")
    client.query("READ 1")
    fleet.datagrams.cut |= cut
    writers = commit_past_replica(fleet, member)
    fleet.kill(member)
    fleet.datagrams.cut -= cut
    return writers


def start_failover(fleet, clients):
    """Crash the primary, and let statements detect that."""
    fleet.crash("a")
    send_reads(clients)


def replace_leader(fleet):
    """Let another instance become the leader."""
    first = fleet.leader()
    fleet.store.refused.add(first.name)
    fleet.run(SECOND * 4)
    fleet.store.refused.discard(first.name)
    assert fleet.leader() is not first


def follower(fleet):
    return next(m for m in fleet.members if not m.leadership.is_leader())


@pytest.mark.parametrize(
    "end",
    [
        "listed",
        "second attempt",
        "new leader",
        "expired",
        "expired, read since",
        "restarted",
    ],
)
def test_commits_of_a_killed_instance_are_kept(end):
    # Guards against the promotion of a replica that lacks commits which an instance has
    # acknowledged and not reported before it was killed.
    with ExitStack() as stack:
        fleet = SimulatedFleet(stack, size=6)
        write_until_served(fleet, fleet.leader().client("strict"))
        fleet.run(SECOND)
        killed = follower(fleet)
        writers = commit_without_a_report(fleet, killed)
        clients = open_clients(fleet)
        if end.startswith("expired"):
            fleet.run(ENTRY_LIFETIME)
            if end.endswith("read since"):
                assert clients[0].query("READ 1")[1].startswith("DONE")
                fleet.run(SECOND)
        elif end == "restarted":
            fleet.run(ms(500))
            fleet.restart(killed)
            fleet.run(SECOND * 3)
        reconnect = fleet.isolate("c")
        start_failover(fleet, clients)
        if end == "second attempt":
            fleet.run(FAILOVER_TIMEOUT)
        elif end == "new leader":
            fleet.run(ENTRY_LIFETIME)
            replace_leader(fleet)
        fleet.run(ENTRY_LIFETIME)
        reconnect()
        client = fleet.leader().client("strict")
        write_until_served(fleet, client, SECOND * 12)
        writers.check()


@pytest.mark.parametrize("is_listed", [False, True])
def test_killed_instance_does_not_delay_a_failover_with_all_replicas(is_listed):
    # The opposite case: the replicas show what was acknowledged.
    with ExitStack() as stack:
        fleet = SimulatedFleet(stack, size=6)
        write_until_served(fleet, fleet.leader().client("strict"))
        writers = commit_without_a_report(fleet, follower(fleet))
        clients = open_clients(fleet)
        if not is_listed:
            fleet.run(ENTRY_LIFETIME)
        start_failover(fleet, clients)
        gap = write_until_served(fleet, fleet.leader().client("strict"), SECOND * 12)
        assert gap < SECOND * 5
        assert primary_id(fleet) == "c"
        writers.check()


def test_instance_that_ended_before_does_not_delay_a_failover_without_a_replica():
    # The opposite case: an answer of the primary after the end of the instance shows
    # that the replica in reach has every commit.
    with ExitStack() as stack:
        fleet = SimulatedFleet(stack, size=6)
        write_until_served(fleet, fleet.leader().client("strict"))
        killed = follower(fleet)
        writers = Writers(fleet, [killed.client("strict")])
        writers.write_for(ms(300))
        fleet.kill(killed)
        clients = open_clients(fleet)
        fleet.run(ENTRY_LIFETIME)
        write_until_served(fleet, clients[0])
        fleet.run(SECOND)
        # A replica in reach receives the commits of the successor.
        server = fleet.group.add("d", "d:1", False)
        server.follow(fleet.group.server_by_id["b"])
        fleet.network.accept_by_address[server.address] = server.accept
        fleet.run(SECOND)
        fleet.isolate("c")
        start_failover(fleet, clients)
        gap = write_until_served(fleet, fleet.leader().client("strict"), SECOND * 12)
        assert gap < SECOND * 5
        assert primary_id(fleet) in ("b", "d")
        writers.check()


def delay_replication_until_ordered(fleet):
    """Delay the commits of the old primary until a promotion is ordered."""
    replicate, promote, delayed = fleet.group.replicate, fleet.promotion.promote, []

    def delay(source, commit):
        if fleet.promotion.orders or source.server_id != "a":
            replicate(source, commit)
        else:
            delayed.append((source, commit))

    def release(*arguments):
        while delayed:
            replicate(*delayed.pop(0))
        return promote(*arguments)

    fleet.group.replicate = delay
    fleet.promotion.promote = release


@pytest.mark.parametrize("is_transaction", [False, True], ids=["write", "transaction"])
def test_pending_commit_of_the_leader_is_not_acknowledged_after_the_choice(
    fleet, is_transaction
):
    # Guards against a leader that waits for the pending commits of all instances but
    # its own.
    leader = fleet.leader()
    write_until_served(fleet, leader.client("strict"))
    clients = [leader.client("strict") for _ in range(COMMITS)]
    warm_up = Writers(fleet, clients)
    warm_up.write_for(ms(300))
    fleet.run(ms(100))
    warm_up.receive()
    written_ids = []
    for client in clients:
        if is_transaction:
            client.query("BEGIN")
            client.query("WRITE 1 data")
            written_ids.append(client.request_id(client.sent))
    # The leader reaches the old primary by the connections it has, and replica c not
    # at all. Other instances do not reach the old primary.
    delay_replication_until_ordered(fleet)
    reconnect = fleet.isolate("c", is_unresponsive=False)
    accept = fleet.network.accept_by_address.pop("a:1")
    for member in fleet.members:
        if member is not leader:
            target = member.services.table.listed_target_by_id["a"].target
            member.services.report_failure(target, "the connection was reset")
    for _ in range(500):
        if leader.primary_monitor._failing_over:
            break
        fleet.run(ms(10))
    for client in clients:
        client.sent += 1
        text = "COMMIT" if is_transaction else "WRITE 1 data"
        client.send(f"QUERY {client.request_id(client.sent)} {text}")
        if not is_transaction:
            written_ids.append(client.request_id(client.sent))
    for _ in range(500):
        fleet.run(ms(10))
        if primary_id(fleet):
            break
    answers = [client.received() for client in clients]
    reconnect()
    fleet.network.accept_by_address["a:1"] = accept
    write_until_served(fleet, leader.client("strict"), SECOND * 12)
    warm_up.check()
    logged_ids = {
        request_id
        for commit in fleet.group.primary().log
        for request_id in commit.request_ids
    }
    acknowledged = [
        request_id
        for request_id, lines in zip(written_ids, answers, strict=True)
        if any(line.startswith("DONE") for line in lines)
    ]
    missing = [id for id in acknowledged if id not in logged_ids]
    assert not missing, f"{len(missing)} of {len(acknowledged)} commits are missing"
    assert all(lines for lines in answers)


def test_pending_commit_of_the_leader_is_acknowledged_before_a_planned_failover(fleet):
    # The opposite case: the failover waits for a commit that takes some time.
    leader = fleet.leader()
    write_until_served(fleet, leader.client("strict"))
    writers = Writers(fleet, [leader.client("strict")])
    fleet.group.primary().work = ms(80)
    fleet.draining.add("a")
    for _ in range(100):
        fleet.run(ms(10))
        group = leader.services.table.group_by_service.get(SERVICE)
        if group is not None and group.phase is GroupPhase.REPLACING:
            break
        writers.receive()
        writers.send()
    pending = writers.pending_ids()
    fleet.run(SECOND * 3)
    writers.receive()
    assert pending <= writers.done_at_by_id.keys()
    assert primary_id(fleet) in ("b", "c")
    writers.check()


def lose_power(fleet):
    """Kill all instances, the primary and replica c; let their entries expire.

    Returns a function that starts the replica again, with its log.
    """
    for member in list(fleet.members):
        fleet.kill(member)
    fleet.crash("a")
    fleet.crash("c")
    fleet.run(ENTRY_LIFETIME)
    fleet.deregistered |= {"a", "c"}

    def start_replica():
        replica, primary = fleet.group.server_by_id["c"], fleet.group.primary()
        replica.drops_replication = False
        if primary.term > replica.term:
            replica.follow(primary)
        fleet.network.accept_by_address["c:1"] = replica.accept
        fleet.deregistered.discard("c")

    return start_replica


def store_group_record(fleet):
    """Store the record that an earlier failover left."""
    record = build_group(phase=GroupPhase.STEADY, primary_id="a", old_id="")
    fleet.store.commit((), (Put(f"{GROUP_PREFIX}{SERVICE}", record.encode()),))


@pytest.mark.parametrize("has_record", [False, True], ids=["no record", "record"])
@pytest.mark.parametrize(
    "return_delay",
    [SECOND * 4, SECOND * 6, SECOND * 8],
    ids=["after 4 s", "after 6 s", "after 8 s"],
)
def test_restarted_instances_wait_for_a_replica_that_restarts(return_delay, has_record):
    # Guards against the promotion of the only listed replica after a loss of power: the
    # instances know neither the other servers nor what was acknowledged.
    with ExitStack() as stack:
        fleet = SimulatedFleet(stack)
        if has_record:
            store_group_record(fleet)
            fleet.run(SECOND)
        write_until_served(fleet, fleet.leader().client("strict"))
        writers = commit_past_replica(fleet, fleet.leader())
        start_replica = lose_power(fleet)
        for member in list(fleet.member_by_name.values()):
            fleet.restart(member)
        fleet.run(return_delay)
        start_replica()
        fleet.run(SECOND * 12)
        assert primary_id(fleet)
        writers.check()


@pytest.mark.parametrize("has_record", [False, True], ids=["no record", "record"])
def test_restarted_instances_promote_the_only_replica_that_is_left(has_record):
    # The opposite case: nobody returns, and service has to resume within 12 s.
    with ExitStack() as stack:
        fleet = SimulatedFleet(stack)
        if has_record:
            store_group_record(fleet)
            fleet.run(SECOND)
        write_until_served(fleet, fleet.leader().client("strict"))
        lose_power(fleet)
        for member in list(fleet.member_by_name.values()):
            fleet.restart(member)
        fleet.run(SECOND * 12)
        assert fleet.group.server_by_id["b"].is_primary
        assert primary_id(fleet) == "b"


def test_restarted_instances_do_not_promote_a_primary_that_was_replaced():
    # Guards against a primary that has not discovered its successor and is taken for
    # the server that an earlier attempt has promoted: after a loss of power, it is the
    # only listed server, and no instance knows a position of a later term.
    with ExitStack() as stack:
        fleet = SimulatedFleet(stack)
        clients = open_clients(fleet)
        for client in clients:
            write_until_served(fleet, client)
        replaced = fleet.group.server_by_id["a"]
        replaced.drops_replication = True
        replicate = fleet.group.replicate
        fleet.group.replicate = lambda source, commit: (
            None if source is replaced else replicate(source, commit)
        )
        reconnect = fleet.isolate("a")
        send_reads(clients)
        write_until_served(fleet, clients[0])
        assert primary_id(fleet) == "b"
        writers = Writers(fleet, clients)
        writers.write_for(SECOND)
        fleet.run(ms(100))
        writers.receive()
        for member in list(fleet.members):
            fleet.kill(member)
        fleet.crash("b")
        fleet.crash("c")
        reconnect()
        fleet.run(ENTRY_LIFETIME)
        fleet.deregistered |= {"b", "c"}
        orders_before = len(fleet.promotion.orders)
        for member in list(fleet.member_by_name.values()):
            fleet.restart(member)
        fleet.run(SECOND * 6)
        ordered = {order.target_id for order in fleet.promotion.orders[orders_before:]}
        assert not ordered, (
            f"{len(writers.done_at_by_id)} acknowledged commits are on replica c only"
        )
        replica = fleet.group.server_by_id["c"]
        replica.drops_replication = False
        fleet.network.accept_by_address["c:1"] = replica.accept
        fleet.deregistered.discard("c")
        fleet.run(SECOND * 12)
        assert primary_id(fleet) == "c"
        writers.check()


def test_first_list_of_instances_counts_as_an_end():
    # Guards against a new instance that takes a position from before its first list for
    # one that covers the commits of an instance that restarted in between.
    with ExitStack() as stack:
        fleet = SimulatedFleet(stack)
        member = follower(fleet)
        fleet.kill(member)
        fleet.store.is_down = True
        started = fleet.restart(member)
        fleet.run(SECOND)
        fleet.store.is_down = False
        before = fleet.loop.now()
        fleet.run(SECOND * 4)
        assert started.fleet.peers_by_name
        assert started.fleet.member_ended_at >= before
