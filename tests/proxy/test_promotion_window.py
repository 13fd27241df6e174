"""Commits acknowledged between the choice of a successor and its promotion."""

import pytest

from bulrushloom.proxy.failover.groups import GROUP_PREFIX
from tests.proxy.builders import SERVICE, ms
from tests.proxy.fleet_builders import (
    SECOND,
    check_commits_told_to_clients,
    cut_off_instance,
    cut_servers_off,
    heal_network,
    open_clients,
    send_reads,
    start_writers,
    write_until_served,
)

FAILOVER_LIMIT = SECOND * 5


def lose_primary_to_all_but_one(fleet):
    """Let one instance, cut off from all others, keep the primary to itself.

    Returns its writers.
    """
    write_until_served(fleet, fleet.leader().client("strict"))
    isolated = cut_off_instance(fleet)
    others = [member for member in fleet.members if member is not isolated]
    readers = open_clients(fleet, others)
    cut_servers_off(fleet, others, {"a"})
    writers = start_writers(isolated, 4)
    fleet.run(ms(50))
    send_reads(readers)
    return writers


def drain_primary_beside_a_cut_off_instance(fleet):
    """Let the primary drain while an instance that is cut off writes there.

    Returns the writers once the primary is demoted.
    """
    write_until_served(fleet, fleet.leader().client("strict"))
    writers = start_writers(cut_off_instance(fleet), 4)
    fleet.run(ms(50))
    fleet.draining.add("a")
    fleet.run_until(lambda: not fleet.group.server_by_id["a"].is_primary)
    return writers


def run_until_paused(fleet, server_id):
    server = fleet.group.server_by_id[server_id]
    fleet.run_until(lambda: server.paused_term)


def check_commits_after_failover(fleet, writers):
    """Wait for the new primary and the end of all answers; check the commits.

    Returns the time until the new primary served a write.
    """
    started_at = fleet.loop.now()
    fleet.run_until(lambda: fleet.group.promoted_id != "a", SECOND * 8)
    write_until_served(fleet, fleet.leader().client("strict"))
    gap = fleet.loop.now() - started_at
    fleet.run(SECOND * 3)
    for writer in writers:
        writer.is_stopped = True
    fleet.run(SECOND * 2)
    assert check_commits_told_to_clients(fleet) > len(writers)
    return gap


def test_commits_of_a_cut_off_instance_are_kept(fleet):
    # The case without a restart and a new replica.
    writers = lose_primary_to_all_but_one(fleet)
    check_commits_after_failover(fleet, writers)


@pytest.mark.parametrize("kept_commits", [None, 0])
@pytest.mark.parametrize("delay", [10, 100, 200])
def test_replica_that_restarts_after_its_pause_loses_no_commits(
    fleet, delay, kept_commits
):
    # Guards against a promotion without the commits that a replica acknowledged after
    # its restart, which ends a pause.
    writers = lose_primary_to_all_but_one(fleet)
    run_until_paused(fleet, "c")
    fleet.run(ms(delay))
    fleet.group.server_by_id["c"].restart(kept_commits)
    check_commits_after_failover(fleet, writers)


@pytest.mark.parametrize("listed_after", [0, 300])
@pytest.mark.parametrize("delay", [0, 50, 100])
def test_replica_that_joins_after_the_pause_loses_no_commits(
    fleet, delay, listed_after
):
    # Guards against a promotion without the commits that a replica acknowledged which
    # was never paused.
    writers = lose_primary_to_all_but_one(fleet)
    run_until_paused(fleet, "c")
    fleet.run(ms(delay))
    fleet.join("d", ms(listed_after))
    check_commits_after_failover(fleet, writers)


def stop_draining_replica(fleet):
    """Let ``c`` drain until the record of the group is stored, beside a new replica."""
    fleet.join("d", ms(0))
    fleet.run(SECOND)
    write_until_served(fleet, fleet.leader().client("strict"))
    fleet.draining.add("c")
    run_until_paused(fleet, "c")
    fleet.run_until(lambda: GROUP_PREFIX + SERVICE in fleet.store.record_by_key)


def drop_replication_to_remaining_replicas(fleet):
    for server_id in ("b", "d"):
        fleet.group.server_by_id[server_id].drops_replication = True


def test_stopped_draining_replica_does_not_delay_a_failover(fleet):
    # The case without a restart: the replica has acknowledged nothing since its stop.
    stop_draining_replica(fleet)
    members = fleet.members
    writers = start_writers(members[0], 4)
    fleet.run(ms(300))
    cut_servers_off(fleet, members, {"a", "c"})
    send_reads(open_clients(fleet))
    assert check_commits_after_failover(fleet, writers) < FAILOVER_LIMIT


@pytest.mark.parametrize("is_cut_off", [False, True])
@pytest.mark.parametrize("delay", [50, 1000])
def test_draining_replica_that_restarts_after_its_stop_loses_no_commits(
    fleet, delay, is_cut_off
):
    # Guards against a promotion that relies on the position at which a draining replica
    # was stopped although the replica has restarted and received more.
    stop_draining_replica(fleet)
    leader = fleet.leader()
    writing = next(member for member in fleet.members if member is not leader)
    fleet.group.server_by_id["c"].restart()
    fleet.run(ms(delay))
    writers = start_writers(writing, 4)
    drop_replication_to_remaining_replicas(fleet)
    fleet.run(ms(300))
    if is_cut_off:
        assert cut_off_instance(fleet) is writing
    others = [member for member in fleet.members if member is not writing]
    cut_servers_off(fleet, others if is_cut_off else fleet.members, {"a", "c"})
    send_reads(open_clients(fleet, others))
    fleet.run(SECOND * 6)
    check_commits_told_to_clients(fleet)
    heal_network(fleet)
    check_commits_after_failover(fleet, writers)


@pytest.mark.parametrize("is_cut_off", [False, True])
def test_draining_replica_that_restarts_out_of_reach_loses_no_commits(
    fleet, is_cut_off
):
    # Guards against the same when the leader cannot stop the replica again after its
    # restart, so that the stored position is that of the first stop.
    stop_draining_replica(fleet)
    leader = fleet.leader()
    writing = next(member for member in fleet.members if member is not leader)
    others = [member for member in fleet.members if member is not writing]
    cut_servers_off(fleet, others, {"c"})
    fleet.group.server_by_id["c"].restart()
    fleet.run(SECOND)
    drop_replication_to_remaining_replicas(fleet)
    writers = start_writers(writing, 4)
    fleet.run(ms(300))
    if is_cut_off:
        assert cut_off_instance(fleet) is writing
    cut_servers_off(fleet, others if is_cut_off else fleet.members, {"a", "c"})
    send_reads(open_clients(fleet, others))
    fleet.run(SECOND * 15)
    check_commits_told_to_clients(fleet)
    heal_network(fleet)
    check_commits_after_failover(fleet, writers)


def test_demoted_primary_beside_a_cut_off_instance_loses_no_commits(fleet):
    # The case without a restart.
    writers = drain_primary_beside_a_cut_off_instance(fleet)
    check_commits_after_failover(fleet, writers)


@pytest.mark.parametrize("delay", [10, 100, 200])
@pytest.mark.parametrize("loses_replica", [False, True])
def test_demoted_primary_that_restarts_loses_no_commits(fleet, delay, loses_replica):
    # Guards against a promotion without the commits of a demoted primary that is the
    # primary again after a restart, and reaches one replica only.
    writers = drain_primary_beside_a_cut_off_instance(fleet)
    fleet.run(ms(delay))
    fleet.group.server_by_id["b"].drops_replication = True
    fleet.group.server_by_id["a"].restart()
    if loses_replica:
        fleet.run(ms(300))
        others = [m for m in fleet.members if m.name not in fleet.store.refused]
        cut_servers_off(fleet, others, {"a", "c"})
        fleet.run(SECOND * 6)
        check_commits_told_to_clients(fleet)
        heal_network(fleet)
    check_commits_after_failover(fleet, writers)


@pytest.mark.parametrize("lost_commits", [1, None])
def test_successor_that_restarts_without_its_log_is_not_promoted(fleet, lost_commits):
    # Guards against a repeated order for a server that no longer has the commits for
    # which it was chosen.
    clients = open_clients(fleet)
    for client in clients:
        write_until_served(fleet, client)
    fleet.promotion.orders_to_lose = 1
    fleet.crash("a")
    send_reads(clients)
    fleet.run_until(lambda: fleet.promotion.orders)
    chosen = fleet.group.server_by_id[fleet.promotion.orders[0].target_id]
    fleet.run(ms(100))
    chosen.restart(len(chosen.log) - lost_commits if lost_commits else 0)
    check_commits_after_failover(fleet, [])


def test_successor_that_restarts_with_its_log_is_promoted(fleet):
    # The opposite case: a lost order is repeated.
    clients = open_clients(fleet)
    write_until_served(fleet, clients[0])
    fleet.promotion.orders_to_lose = 1
    fleet.crash("a")
    send_reads(clients)
    fleet.run_until(lambda: fleet.promotion.orders)
    fleet.run(ms(100))
    chosen = fleet.promotion.orders[0].target_id
    fleet.group.server_by_id[chosen].restart()
    check_commits_after_failover(fleet, [])
    assert {order.target_id for order in fleet.promotion.orders} == {chosen}


@pytest.mark.parametrize("is_planned", [False, True])
def test_failover_with_all_instances_in_reach_is_quick(fleet, is_planned):
    # Guards against a wait for evidence about instances that have confirmed already.
    writers = [w for member in fleet.members for w in start_writers(member, 2)]
    fleet.run(ms(300))
    if is_planned:
        fleet.draining.add("a")
    else:
        fleet.crash("a")
    assert check_commits_after_failover(fleet, writers) < FAILOVER_LIMIT
