"""Orders of earlier attempts that take effect during a later one."""

from concurrent.futures import Future

import pytest

from bulrushloom.proxy.groups import GroupPhase
from bulrushloom.proxy.replacement import RESUME_CHECK_INTERVAL
from bulrushloom.proxy.services import EXPECTED_FAILOVER_TIME, OVERDUE_WAIT_FRACTION
from standins.platform.store import NO_ANSWER_DELAY
from tests.proxy.builders import SERVICE, build_group, ms
from tests.proxy.fleet_builders import (
    SECOND,
    PartitionedNetwork,
    Writers,
    primary_id,
    send_reads,
    write_until_served,
)


def reach_only(fleet, members, server_ids):
    """Let instances open connections to some servers only."""
    addresses = {f"{server_id}:1" for server_id in server_ids}
    for member in members:
        member.services.network = PartitionedNetwork(fleet.network, addresses)
        member.services.pool._network = member.services.network


def suspect(members, server_id):
    for member in members:
        target = member.services.table.listed_target_by_id[server_id].target
        member.services.report_failure(target, "the connection was reset")


def cut_off(fleet, isolated):
    """Cut an instance off from the store and the others; return the others."""
    others = [member for member in fleet.members if member is not isolated]
    fleet.store.refused.add(isolated.name)
    for member in others:
        fleet.datagrams.cut.add(frozenset((isolated.name, member.name)))
    return others


def heal(fleet):
    fleet.store.refused.clear()
    fleet.datagrams.cut.clear()
    for member in fleet.members:
        member.services.network = fleet.network
        member.services.pool._network = fleet.network


def replace_draining_primary(fleet):
    """Replace primary a by b, and leave replica c stopped; return when that ended."""
    replica = fleet.group.server_by_id["c"]
    follow = replica.follow

    def follow_while_stopped(primary):
        follow(primary)
        replica.paused_term = primary.term + 1

    replica.follow = follow_while_stopped
    fleet.draining.add("a")
    leader = fleet.leader()
    for _ in range(1000):
        fleet.run(ms(5))
        group = leader.services.table.group_by_service.get(SERVICE)
        if group is not None and group.phase is GroupPhase.STEADY:
            break
    ended_at = fleet.loop.now()
    assert primary_id(fleet) == "b"
    replica.follow = follow
    fleet.draining.clear()
    return ended_at


@pytest.mark.parametrize(
    ("has_new_leader", "start_delay", "status_delay"),
    [(False, ms(230), ms(230)), (True, ms(930), ms(470))],
    ids=["same leader", "next leader"],
)
def test_resume_of_an_earlier_failover_does_not_undo_a_pause(
    fleet, has_new_leader, start_delay, status_delay
):
    # Guards against a replica that is resumed after the next failover has stopped it.
    # The failover then promotes the other replica, while an instance that is cut off
    # commits by way of the resumed one.
    clients = [member.client("strict") for member in fleet.members]
    for client in clients:
        write_until_served(fleet, client)
    ended_at = replace_draining_primary(fleet)
    for client in clients:
        write_until_served(fleet, client)
    resumed_at = ended_at + RESUME_CHECK_INTERVAL
    leader = fleet.leader()
    isolated = next(member for member in fleet.members if member is not leader)
    writers = Writers(fleet, [isolated.client("strict") for _ in range(3)])
    writers.write_for(ms(50))
    fleet.run(resumed_at - fleet.loop.now() - ms(5))
    writers.receive()
    assert not writers.pending_ids()
    others = cut_off(fleet, isolated)
    # The primary is slow to accept the session and to answer the status request.
    primary = fleet.group.primary()
    primary.work = start_delay
    fleet.run(ms(10))
    reach_only(fleet, others, "ac")
    suspect(others, "b")
    if has_new_leader:
        fleet.loop.spawn(leader.leadership.resign())
    fleet.run(start_delay / 2)
    primary.work = status_delay
    fleet.run(start_delay / 2 + ms(10))
    primary.work = ms(5)
    fleet.run(status_delay + ms(10))
    # The status has been answered, and the next failover has begun.
    writers.write_for(SECOND * 4)
    heal(fleet)
    write_until_served(fleet, others[0].client("strict"), SECOND * 12)
    writers.receive()
    writers.check()


def test_replica_is_resumed_after_two_failovers(fleet):
    # The opposite case: the resumption that belongs to the latest failover is done.
    clients = [member.client("strict") for member in fleet.members]
    for client in clients:
        write_until_served(fleet, client)
    replace_draining_primary(fleet)
    write_until_served(fleet, clients[0])
    replica = fleet.group.server_by_id["c"]
    follow = replica.follow

    def follow_while_stopped(primary):
        follow(primary)
        replica.paused_term = primary.term + 1

    replica.follow = follow_while_stopped
    fleet.crash("b")
    send_reads(clients)
    write_until_served(fleet, clients[0])
    assert primary_id(fleet) == "a"
    fleet.run(SECOND * 3)
    assert replica.paused_term == 0


class DelayedOrders:
    """Promotion orders of the first leader, which get no answer.

    The first one is executed after ``delay``, or never if that is ``None``. Orders of
    later leaders are executed at once. A server that has crashed is not promoted.
    """

    def __init__(self, fleet, delay):
        self._fleet = fleet
        self._promote = fleet.promotion.promote
        self._delay = delay
        self._first_holder = fleet.leader().name
        self.first_ordered_at = None
        self.ordered_ids = []
        fleet.promotion.promote = self._order

    def _order(self, service, target_id, holder, fence, is_allowed):
        loop = self._fleet.loop
        self.ordered_ids.append(target_id)
        arguments = service, target_id, holder, fence, is_allowed
        if holder != self._first_holder:
            if self._is_running(target_id):
                return self._promote(*arguments)
            return self._answer(409, ms(4))
        if self.first_ordered_at is None:
            self.first_ordered_at = loop.now()
            if self._delay is not None:
                loop.call_later(self._delay, lambda: self._execute(arguments))
        return self._answer(0, NO_ANSWER_DELAY)

    def _is_running(self, target_id):
        return f"{target_id}:1" in self._fleet.network.accept_by_address

    def _execute(self, arguments):
        # An order for the present primary changes nothing.
        target_id = arguments[1]
        is_leading = self._fleet.group.primary().server_id == target_id
        if self._is_running(target_id) and not is_leading:
            self._promote(*arguments)

    def _answer(self, status, delay):
        future = Future()
        self._fleet.loop.call_later(delay, lambda: future.set_result(status))
        return future


def order_replica_while_the_other_is_out_of_reach(fleet, delay):
    """Let the leader order replica b, and lose its lease before that takes effect.

    The leader does not reach replica c. Nobody reaches the old primary, which runs the
    statements it had received: c gets a commit whose client was told that its outcome
    is in doubt.
    """
    clients = [member.client("strict") for member in fleet.members]
    for client in clients:
        write_until_served(fleet, client)
    fleet.run(SECOND)
    orders = DelayedOrders(fleet, delay)
    leader = fleet.leader()
    reach_only(fleet, [leader], "b")
    fleet.isolate("a", is_unresponsive=False)
    send_reads(clients)
    for _ in range(500):
        if orders.first_ordered_at is not None:
            break
        fleet.run(ms(10))
    assert orders.ordered_ids == ["b"]
    fleet.group.server_by_id["a"].commit(("unanswered-1",), lambda: None)
    fleet.run(ms(50))
    assert len(fleet.group.server_by_id["c"].log) > len(
        fleet.group.server_by_id["b"].log
    )
    fleet.store.refused.add(leader.name)
    return orders, [member for member in fleet.members if member is not leader]


@pytest.mark.parametrize(
    "is_in_reach", [True, False], ids=["ordered in reach", "ordered out of reach"]
)
@pytest.mark.parametrize("delay", [SECOND * 6, SECOND * 8], ids=["6 s", "8 s"])
def test_order_that_is_executed_late_does_not_replace_a_later_successor(
    fleet, delay, is_in_reach
):
    # Guards against orders for two servers, of which the first is executed last: the
    # commits of the second one are then lost.
    orders, others = order_replica_while_the_other_is_out_of_reach(fleet, delay)
    if not is_in_reach:
        reach_only(fleet, others, "c")
    writers = Writers(fleet, [member.client("strict") for member in others])
    writers.write_for(orders.first_ordered_at + SECOND * 4 - fleet.loop.now())
    # The replica receives nothing for a while. The other one and the old primary,
    # which follows its successor, still do.
    ordered = fleet.group.server_by_id["b"]
    ordered.drops_replication = True
    writers.write_for(orders.first_ordered_at + delay + SECOND - fleet.loop.now())
    ordered.drops_replication = False
    heal(fleet)
    writers.write_for(SECOND * 8)
    writers.check()


@pytest.mark.parametrize("has_crashed", [True, False], ids=["crashed", "restarted"])
def test_other_server_is_ordered_if_the_ordered_one_has_ended(fleet, has_crashed):
    # The opposite case: the order cannot or must not be executed, because the server
    # has crashed or has restarted without its log.
    _, others = order_replica_while_the_other_is_out_of_reach(fleet, None)
    # A new replica receives the commits of the successor.
    server = fleet.group.add("d", "d:1", False)
    server.follow(fleet.group.server_by_id["b"])
    fleet.network.accept_by_address[server.address] = server.accept
    if has_crashed:
        fleet.crash("b")
    else:
        fleet.group.server_by_id["b"].log.clear()
        fleet.group.server_by_id["b"].applied = 0
    gap = write_until_served(fleet, others[0].client("strict"), SECOND * 12)
    assert gap < SECOND * 12
    assert primary_id(fleet) in ("c", "d")


def test_second_failover_is_not_taken_for_a_long_first_one(instance):
    # Guards against a failover that counts the time of an earlier one as its own and
    # gives up waiting too early, because the record between them was missed.
    services = instance.services
    services.apply_group_records({SERVICE: build_group(revision=10)})
    instance.run(SECOND * 3)
    second = build_group(revision=14, old_id="b", term=3)
    services.apply_group_records({SERVICE: second})
    assert services.expected_primary_wait(SERVICE) == EXPECTED_FAILOVER_TIME


def test_repeated_attempt_of_a_failover_keeps_its_start(instance):
    # The opposite case: another leader continues the failover.
    services = instance.services
    services.apply_group_records({SERVICE: build_group(revision=10)})
    instance.run(SECOND * 3)
    services.apply_group_records({SERVICE: build_group(revision=14, fence=2)})
    overdue = SECOND * 3 * OVERDUE_WAIT_FRACTION
    assert services.expected_primary_wait(SERVICE) == overdue
