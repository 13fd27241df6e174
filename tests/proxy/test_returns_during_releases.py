"""Acknowledged commits when the store returns from a copy of the middle of a release.

All instances are lost at that moment, so that only the copy and the servers are left.
"""

from contextlib import ExitStack

import pytest

from tests.proxy.builders import ms
from tests.proxy.era_builders import primaries
from tests.proxy.fleet_builders import (
    SECOND,
    LateOrder,
    SimulatedFleet,
    open_clients,
    send_reads,
)
from tests.proxy.release_builders import (
    CAUSES,
    CONDITION_BY_STEP,
    Loss,
    Release,
    is_recorded,
    place_servers,
    recorded_group,
)


@pytest.fixture
def release():
    with ExitStack() as stack:
        yield Release(SimulatedFleet(stack, prepare=place_servers))


@pytest.mark.parametrize("cause", CAUSES)
@pytest.mark.parametrize("step", CONDITION_BY_STEP)
def test_copy_of_a_failover_whose_successor_was_replaced(release, step, cause):
    # Guards against the promotion of the server that the copy names as ordered, or of
    # one with the sealed position of the copy, if a later primary has acknowledged
    # commits since (40 lost writes in review/6).
    release.join()
    copy, old_id = release.copy_at("drain", step)
    release.finish_change(old_id)
    release.join()
    release.write_for(SECOND)
    release.change_primary(cause)
    # The stopped replicas no longer receive what is committed from here on.
    release.write_for(SECOND)
    release.lose(copy, Loss())
    release.serve_again()
    release.check()


@pytest.mark.parametrize("cause", CAUSES)
@pytest.mark.parametrize("delay", [SECOND * 2, SECOND * 5, SECOND * 8])
def test_order_of_the_copy_is_the_latest_one(release, delay, cause):
    # The opposite case: the order may still be executed, so no other server may be
    # promoted beside it, although a later one could have replaced it by now.
    order = LateOrder(release.fleet, delay)
    release.join()
    copy, _ = release.copy_at(cause, "ordered")
    release.lose(copy, Loss())
    release.serve_again()
    release.check()
    promoted_ids = {promotion.server for promotion in release.group.promotions}
    ordered_ids = {target_id for target_id, _ in order.ordered}
    assert len(ordered_ids) == 1 and promoted_ids == ordered_ids


@pytest.mark.parametrize("cause", CAUSES)
def test_order_of_the_copy_was_executed_and_nothing_followed(release, cause):
    # The opposite case: the ordered server is kept, and nothing else is promoted.
    release.join()
    copy, old_id = release.copy_at(cause, "ordered")
    release.finish_change(old_id)
    release.write_for(SECOND)
    first_id = release.group.promoted_id
    release.lose(copy, Loss())
    assert release.serve_again() < SECOND * 8
    release.check()
    assert release.group.promoted_id == first_id


def test_ordered_server_of_the_copy_is_gone_for_good(release):
    # Guards against a group that waits for the server that the copy names.
    release.join()
    copy, old_id = release.copy_at("drain", "ordered")
    ordered_id = recorded_group(release.fleet).primary_id
    release.finish_change(old_id)
    release.write_for(SECOND)
    release.fleet.deregistered.add(ordered_id)
    release.lose(copy, Loss(away_by_id={ordered_id: SECOND * 90}))
    release.serve_again()
    release.check()


@pytest.mark.parametrize("step", CONDITION_BY_STEP)
def test_last_commits_are_on_servers_that_come_back(release, step):
    # Guards against a promotion that does not wait for the only servers with the last
    # commits: the latest primary, and one that the copy does not know.
    servers = release.group.server_by_id
    release.join()
    copy, old_id = release.copy_at("drain", step)
    release.finish_change(old_id)
    joined_id = release.join()
    release.write_for(SECOND)
    release.change_primary("drain")
    latest_id = release.group.promoted_id
    for server_id in servers.keys() - {latest_id, joined_id}:
        servers[server_id].drops_replication = True
    release.write_for(SECOND)
    away_by_id = {latest_id: SECOND * 4, joined_id: SECOND}
    release.lose(copy, Loss(away_by_id=away_by_id))
    for server_id in servers.keys() - {latest_id, joined_id}:
        servers[server_id].drops_replication = False
    release.serve_again()
    release.check()


def test_order_of_the_copy_that_is_executed_late(release):
    # Guards against a primary that is used while the copy names an order for another
    # server that may still be executed: what it commits meanwhile is lost.
    LateOrder(release.fleet, SECOND * 8)
    release.join()
    release.change_primary("drain")
    assert recorded_group(release.fleet).unanswered_by_id
    copy = release.fleet.store.copy()
    old_id = release.begin_change("drain")
    # The successor leads, but is not recorded before the order has ended.
    release.write_until(lambda: release.group.promoted_id != old_id, SECOND * 5)
    # A leaving server is told to stop once it is no longer the primary.
    release.group.server_by_id[old_id].drops_replication = True
    release.lose(copy, Loss())
    release.serve_again()
    release.check()


def test_stopped_replica_of_the_copy_that_has_restarted(release):
    # Guards against a failover that does not wait for a leaving replica, because the
    # copy says that it had stopped. It has restarted since and confirmed commits.
    fleet, servers = release.fleet, release.group.server_by_id
    release.join()
    fleet.draining.add("c")
    release.write_for(SECOND * 2)
    copy = fleet.store.copy()
    assert recorded_group(fleet).stopped_by_id.keys() == {"c"}
    for server_id in "bd":
        servers[server_id].drops_replication = True
    born_ms = servers["c"].born_ms
    servers["c"].restart()
    release.write_for(ms(300))
    assert servers["c"].received() > servers["b"].received()
    # The entry of the copy is from before the restart.
    servers["c"].born_ms = born_ms
    release.lose(copy, Loss(away_by_id={"a": SECOND * 60, "c": SECOND * 6}))
    for server_id in "bd":
        servers[server_id].drops_replication = False
    release.serve_again()
    release.check()


def test_first_primary_that_does_not_know_of_its_successor(release):
    # Guards against reads and writes at the first primary of a service: it was replaced
    # while it was cut off, and the copy is from before there was a record of the group.
    fleet, servers = release.fleet, release.group.server_by_id
    copy = fleet.store.copy()
    assert recorded_group(fleet) is None
    reconnect = fleet.isolate("a")
    servers["a"].drops_replication = True
    send_reads(open_clients(fleet))
    release.write_until(lambda: is_recorded(fleet, "a"), SECOND * 12)
    release.write_for(ms(300))
    successor_id = release.group.promoted_id
    assert servers["a"].is_primary and successor_id != "a"
    fleet.deregistered.add(successor_id)
    reconnect()
    release.lose(copy, Loss(away_by_id={successor_id: SECOND * 60}))
    servers["a"].drops_replication = False
    for _ in range(500):
        fleet.run(ms(20))
        assert "a" not in primaries(fleet)
    release.serve_again()
    release.check()
