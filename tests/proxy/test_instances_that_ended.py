"""Commits that instances acknowledged before they ended, on a simulated fleet.

Replica ``c`` alone has these commits, and is out of reach of all instances.
"""

from contextlib import ExitStack

import pytest

from bulrushloom.proxy.groups import GROUP_PREFIX, GroupPhase
from bulrushloom.proxy.replacement import FAILOVER_TIMEOUT
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


def test_pending_commit_of_the_leader_is_not_acknowledged_after_the_choice(fleet):
    # Guards against a leader that waits for the pending commits of all instances but
    # its own.
    leader = fleet.leader()
    write_until_served(fleet, leader.client("strict"))
    # The leader reaches the old primary by the connections it has, and replica c not
    # at all. Other instances do not reach the old primary.
    clients = [m.client("strict") for m in fleet.members if m is not leader]
    leader_clients = [leader.client("strict") for _ in range(COMMITS)]
    writers, warm_up = Writers(fleet, leader_clients), Writers(fleet, leader_clients)
    warm_up.write_for(ms(300))
    fleet.run(ms(300))
    warm_up.receive()
    delay_replication_until_ordered(fleet)
    reconnect = fleet.isolate("c", is_unresponsive=False)
    accept = fleet.network.accept_by_address.pop("a:1")
    for client in clients:
        target = client.instance.services.table.listed_target_by_id["a"].target
        client.instance.services.report_failure(target, "the connection was reset")
    for _ in range(500):
        if leader.primary_monitor._failing_over:
            break
        fleet.run(ms(10))
    writers.send()
    for _ in range(500):
        fleet.run(ms(10))
        writers.receive()
        if primary_id(fleet):
            break
    reconnect()
    fleet.network.accept_by_address["a:1"] = accept
    write_until_served(fleet, leader.client("strict"), SECOND * 12)
    warm_up.check()
    missing, done = writers.missing_ids(), len(writers.done_at_by_id)
    assert not missing, f"{len(missing)} of {done} acknowledged commits are missing"
    assert not writers.pending_ids()


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
