"""Orders of earlier attempts that take effect during a later one."""

from concurrent.futures import Future

import pytest

from bulrushloom.proxy.failover.groups import GroupPhase, decode_group
from bulrushloom.proxy.failover.replica_stops import RESUME_CHECK_INTERVAL
from bulrushloom.proxy.primary_wait import (
    EXPECTED_FAILOVER_TIME,
    OVERDUE_WAIT_FRACTION,
)
from standins.platform.store import NO_ANSWER_DELAY
from tests.proxy.builders import SERVICE, build_group, ms
from tests.proxy.fleet_builders import (
    SECOND,
    LateOrder,
    PartitionedNetwork,
    Writers,
    check_commits_told_to_clients,
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


def write_through_all(fleet):
    """Write through each instance; return the clients."""
    clients = [member.client("strict") for member in fleet.members]
    for client in clients:
        write_until_served(fleet, client)
    return clients


def crash_while_it_is_away(fleet, server_id):
    """Crash a server; return a function that lets it return with its log."""
    accept = fleet.network.accept_by_address[f"{server_id}:1"]
    fleet.crash(server_id)
    fleet.deregistered.add(server_id)

    def come_back():
        fleet.network.accept_by_address[f"{server_id}:1"] = accept
        fleet.deregistered.discard(server_id)

    return come_back


def order_that_is_executed_late(fleet, delay):
    """Let the primary crash; return the orders once the first one is sent."""
    clients = write_through_all(fleet)
    fleet.join("d", ms(0))
    fleet.run(SECOND)
    orders = LateOrder(fleet, delay)
    fleet.crash("a")
    send_reads(clients)
    fleet.run_until(lambda: orders.ordered)
    return orders


def test_late_order_of_the_failover_before(fleet):
    # Guards against an order that is forgotten when its failover ends: its server is
    # replaced soon afterwards, and then leads again without the commits since.
    orders = order_that_is_executed_late(fleet, SECOND * 8)
    started_at, chosen = fleet.loop.now(), orders.ordered[0][0]
    fleet.run_until(lambda: primary_id(fleet) == chosen)
    clients = write_through_all(fleet)
    come_back = crash_while_it_is_away(fleet, chosen)
    send_reads(clients)
    fleet.run(SECOND * 2)
    come_back()
    write_until_served(fleet, clients[0], SECOND * 12)
    fleet.run_until(lambda: fleet.loop.now() - started_at > SECOND * 10, SECOND * 12)
    check_commits_told_to_clients(fleet)


def test_late_order_is_known_to_the_next_leader(fleet):
    # Guards against an order that is forgotten with its leader, which is lost while it
    # waits for the end of that order.
    orders = order_that_is_executed_late(fleet, SECOND * 8)
    started_at, chosen = fleet.loop.now(), orders.ordered[0][0]
    come_back = crash_while_it_is_away(fleet, chosen)
    fleet.run_until(lambda: fleet.group.promoted_id not in ("a", chosen))
    leader = fleet.leader()
    fleet.store.refused.add(leader.name)
    come_back()
    others = [member for member in fleet.members if member is not leader]
    groups = others[0].services.table.group_by_service
    fleet.run_until(lambda: groups[SERVICE].phase is GroupPhase.STEADY, SECOND * 12)
    # Guards against a successor that is announced although the late order was executed,
    # and against orders that are repeated until the one for the successor is executed.
    assert [p.server for p in fleet.group.promotions].count(chosen) == 1
    assert fleet.group.primary().server_id == groups[SERVICE].primary_id != chosen
    assert len(orders.ordered) == 4
    write_until_served(fleet, others[0].client("strict"), SECOND * 12)
    fleet.run_until(lambda: fleet.loop.now() - started_at > SECOND * 10, SECOND * 12)
    check_commits_told_to_clients(fleet)


class RefusedOrder(LateOrder):
    """As ``LateOrder``; the server crashes right before the second order for it."""

    come_back = None

    def order(self, *arguments):
        target_id = arguments[1]
        if self.come_back is None and target_id in dict(self.ordered):
            self.come_back = crash_while_it_is_away(self.fleet, target_id)
        return super().order(*arguments)


def test_late_order_of_a_server_that_is_not_running(fleet):
    # Guards against an order that is forgotten because a later one for the same server
    # was refused.
    clients = write_through_all(fleet)
    fleet.join("d", ms(0))
    fleet.run(SECOND)
    orders = RefusedOrder(fleet, SECOND * 8)
    fleet.crash("a")
    send_reads(clients)
    fleet.run_until(lambda: orders.come_back)
    fleet.run(SECOND * 4)
    orders.come_back()
    write_until_served(fleet, clients[0], SECOND * 12)
    fleet.run(SECOND * 5)
    assert check_commits_told_to_clients(fleet) > len(clients)


@pytest.mark.parametrize(
    ("is_steady", "lost_answers"), [(False, 0), (True, 0), (True, 1)]
)
def test_answered_order_delays_no_other_server(fleet, is_steady, lost_answers):
    # The opposite case: an order that was answered, or has taken effect, is not
    # executed later.
    clients = write_through_all(fleet)
    fleet.promotion.answers_to_lose = lost_answers
    fleet.join("d", ms(0))
    fleet.run(SECOND)
    fleet.crash("a")
    send_reads(clients)
    fleet.run_until(lambda: fleet.promotion.orders)
    chosen = fleet.promotion.orders[0].target_id
    fleet.run(ms(50))
    if is_steady:
        fleet.run_until(lambda: primary_id(fleet) == chosen)
        clients = write_through_all(fleet)
    crash_while_it_is_away(fleet, chosen)
    send_reads(clients)
    gap = write_until_served(fleet, clients[0], SECOND * 12)
    assert gap < SECOND * 5


@pytest.mark.parametrize(
    ("counts", "pending"),
    [
        # Repeated after 6 s, so the last order is 4 s old.
        ([1, 2], {"b": 2}),
        # Another attempt that has not ordered the server yet.
        ([1, 1], {}),
        # The second of two orders was answered.
        ([2, 1], {}),
        ([2, 1, 2], {"b": 2}),
    ],
)
def test_order_counts_for_its_lifetime(instance, counts, pending):
    # Guards against an order that an instance forgets too early, or counts too long,
    # because it takes a record without a further order for the order.
    orders = instance.services.orders
    orders.apply_group_record(build_group(unanswered_by_id={"b": counts[0]}))
    instance.run(SECOND * 6)
    assert orders.pending(SERVICE) == {"b": counts[0]}
    for count in counts[1:]:
        orders.apply_group_record(build_group(unanswered_by_id={"b": count}))
    instance.run(SECOND * 4)
    assert orders.pending(SERVICE) == pending
    orders.apply_group_record(build_group())
    assert orders.pending(SERVICE) == {}


def test_record_keeps_the_servers_with_an_order_without_an_answer():
    # Guards against a field that one of encode and decode lacks.
    group = build_group(unanswered_by_id={"b": 2, "c": 1})
    assert decode_group(group.encode(), group.revision) == group
