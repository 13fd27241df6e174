"""What a failover takes as evidence that a server has every acknowledged commit."""

from contextlib import ExitStack

import orjson
import pytest

from bulrushloom.platform import wire
from bulrushloom.proxy.failover.groups import (
    GROUP_PREFIX,
    GroupPhase,
    decode_group_records,
)
from bulrushloom.proxy.failover.member_records import (
    GROUP_MEMBERS_PREFIX,
    decode_all_group_members,
)
from bulrushloom.proxy.store import Record
from bulrushloom.proxy.store_freshness import MAX_PRIMARY_AGE
from tests.proxy.builders import SERVICE, build_group, ms
from tests.proxy.fleet_builders import (
    SECOND,
    ContinuousWriter,
    LateOrder,
    SimulatedFleet,
    check_commits_told_to_clients,
    cut_off_instance,
    cut_servers_off,
    heal_network,
    open_clients,
    send_reads,
    write_until_served,
)
from tests.proxy.test_promotion_window import (
    check_commits_after_failover,
    drain_primary_beside_a_cut_off_instance,
    lose_primary_to_all_but_one,
    run_until_paused,
)


def others_of(fleet):
    return [m for m in fleet.members if m.name not in fleet.store.refused]


@pytest.mark.parametrize("joins_after", [0, 500, 1000, 1500])
@pytest.mark.parametrize("listed_after", [700, 900, 1200, 2000, 2500])
def test_replica_that_is_listed_after_the_failover_is_closed(
    fleet, joins_after, listed_after
):
    # Guards against a list of servers that is taken for complete although a server that
    # joined is not in it yet, while an instance has not confirmed.
    writers = lose_primary_to_all_but_one(fleet)
    run_until_paused(fleet, "c")
    fleet.run(ms(joins_after))
    fleet.join("d", ms(listed_after))
    check_commits_after_failover(fleet, writers)


@pytest.mark.parametrize("joins_after", [900, 1100, 1300])
@pytest.mark.parametrize("listed_after", [300, 800, 950])
def test_joined_replica_that_is_listed_within_its_timeout(
    fleet, joins_after, listed_after
):
    # Guards against a position that the leader knows and that is taken to cover what an
    # instance acknowledged that has not confirmed.
    write_until_served(fleet, fleet.leader().client("strict"))
    isolated = next(m for m in fleet.members if m is not fleet.leader())
    clients = [isolated.client("strict") for _ in range(4)]
    others = [m for m in fleet.members if m is not isolated]
    readers = open_clients(fleet, others)
    write = fleet.log.write

    def cut_off_at_start(event, **fields):
        if event == "failover_started":
            assert cut_off_instance(fleet) is isolated
        write(event, **fields)

    fleet.log.write = cut_off_at_start
    cut_servers_off(fleet, others, {"a"})
    writers = [ContinuousWriter(clients.pop())]
    fleet.run(ms(50))
    send_reads(readers)
    run_until_paused(fleet, "c")
    fleet.run(ms(joins_after))
    fleet.join("d", ms(listed_after))
    writers += [ContinuousWriter(client) for client in clients]
    check_commits_after_failover(fleet, writers)


@pytest.mark.parametrize("delay", [0, 10, 100])
def test_end_of_a_demoted_log_after_a_restart(fleet, delay):
    # Guards against the end of the log at a demotion that a restart has ended: the old
    # primary is the primary again, and goes on committing.
    write_until_served(fleet, fleet.leader().client("strict"))
    writers = drain_primary_beside_a_cut_off_instance(fleet)
    fleet.run(ms(delay))
    others = others_of(fleet)
    fleet.group.server_by_id["b"].drops_replication = True
    cut_servers_off(fleet, others, {"a", "c"})
    # The restart makes it the primary again; it reaches c, and the cut off instance.
    fleet.group.server_by_id["a"].restart()
    fleet.run(SECOND * 6)
    check_commits_told_to_clients(fleet)
    heal_network(fleet)
    check_commits_after_failover(fleet, writers)


def test_server_is_given_up_although_an_instance_has_not_confirmed(fleet):
    # Guards against the loss of commits of an instance that never confirmed, by giving
    # up the only replica that has them.
    write_until_served(fleet, fleet.leader().client("strict"))
    isolated = cut_off_instance(fleet)
    others = others_of(fleet)
    readers = open_clients(fleet, others)
    # c stays with the old primary and the instance: neither the store nor the others.
    fleet.deregistered.add("c")
    cut_servers_off(fleet, others, {"a", "c"})
    writers = [ContinuousWriter(isolated.client("strict")) for _ in range(4)]
    fleet.group.server_by_id["b"].drops_replication = True
    fleet.run(ms(50))
    send_reads(readers)
    fleet.run(SECOND * 14)
    for writer in writers:
        writer.is_stopped = True
    check_commits_told_to_clients(fleet)


def test_list_is_not_read_again_after_the_wait_for_unlisted_servers(fleet):
    # Guards against a list that counts as complete because time has passed since.
    writers = lose_primary_to_all_but_one(fleet)
    run_until_paused(fleet, "c")
    started_at = fleet.loop.now()
    for server_id in "bc":
        # b and c keep the acknowledged position out of the decision.
        fleet.group.server_by_id[server_id].paused_term = 10**6
    fleet.run(ms(1500))
    fleet.join("d", ms(1300))
    fleet.run_until(
        lambda: fleet.loop.now() > started_at + MAX_PRIMARY_AGE + ms(150), SECOND * 3
    )
    fleet.store.is_down = True
    fleet.run(ms(850))
    fleet.store.is_down = False
    check_commits_after_failover(fleet, writers)


def test_pending_commit_of_an_earlier_term_of_the_same_primary(instance):
    # Guards against a commit that is acknowledged in a later term of its primary: the
    # records of both failovers in between were missed.
    services = instance.services
    steady = build_group(
        phase=GroupPhase.STEADY, primary_id="a", old_id="", term=1, revision=5
    )
    services.apply_group_records({SERVICE: steady})
    target = services.table.listed_target_by_id["a"].target
    assert services.is_current_primary(target)
    with services.commits.pending(target) as cutoff:
        again = build_group(
            phase=GroupPhase.STEADY, primary_id="a", old_id="b", term=5, revision=20
        )
        services.apply_group_records({SERVICE: again})
        assert cutoff.done(), "a commit of term 1 is still awaited in term 5"


def test_successor_without_log_that_does_not_answer(fleet):
    # Guards against an order that is repeated although the successor does not answer.
    clients = open_clients(fleet)
    for client in clients:
        write_until_served(fleet, client)
    fleet.promotion.orders_to_lose = 1
    fleet.crash("a")
    send_reads(clients)
    fleet.run_until(lambda: fleet.promotion.orders)
    chosen = fleet.group.server_by_id[fleet.promotion.orders[0].target_id]
    fleet.run(ms(100))
    chosen.restart(0)
    address = f"{chosen.server_id}:1"
    accept = fleet.network.accept_by_address.pop(address)
    fleet.run(SECOND * 5)
    fleet.network.accept_by_address[address] = accept
    check_commits_after_failover(fleet, [])


def test_promoted_server_that_is_not_listed(fleet):
    # Guards against a wait for a server that has been promoted and lost its entry.
    clients = open_clients(fleet)
    for client in clients:
        write_until_served(fleet, client)
    fleet.join("d", ms(0))
    fleet.run(SECOND)
    fleet.promotion.answers_to_lose = 10**6
    fleet.crash("a")
    send_reads(clients)
    fleet.run_until(lambda: fleet.promotion.orders)
    chosen = fleet.promotion.orders[0].target_id
    fleet.deregistered.add(chosen)
    leader = fleet.leader()
    fleet.store.refused.add(leader.name)
    fleet.run(SECOND * 4)
    fleet.store.refused.discard(leader.name)
    client = fleet.leader().client("strict")
    gap = write_until_served(fleet, client, SECOND * 60)
    assert gap < SECOND * 20


@pytest.mark.parametrize("delay", [4, 6, 8])
@pytest.mark.parametrize("end", ["409", "unlisted", "wiped"])
def test_order_under_way_of_a_server_that_ended(fleet, end, delay):
    # Guards against an order that is executed after its server has ended and returned.
    clients = open_clients(fleet)
    for client in clients:
        write_until_served(fleet, client)
    fleet.join("d", ms(0))
    fleet.run(SECOND)
    orders = LateOrder(fleet, SECOND * delay)
    fleet.crash("a")
    send_reads(clients)
    fleet.run_until(lambda: orders.ordered)
    started_at = fleet.loop.now()
    chosen = orders.ordered[0][0]
    server = fleet.group.server_by_id[chosen]
    address = f"{chosen}:1"
    if end == "wiped":
        fleet.run(ms(50))
        server.restart(0)
        server.drops_replication = True
    else:
        accept = fleet.network.accept_by_address[address]
        fleet.crash(chosen)
        if end == "unlisted":
            fleet.deregistered.add(chosen)
    client = fleet.members[0].client("strict")
    write_until_served(fleet, client, SECOND * 20)
    if end != "wiped":
        # Back with its log, but it has not received the later commits yet.
        fleet.network.accept_by_address[address] = accept
        fleet.deregistered.discard(chosen)
    fleet.run_until(
        lambda: fleet.loop.now() - started_at > SECOND * (delay + 1), SECOND * 30
    )
    check_commits_told_to_clients(fleet)


def test_late_resume_of_a_draining_replica(fleet):
    # Guards against a draining replica that counts as stopped and receives again,
    # because an order to resume was under way.
    leader = fleet.leader()
    runner = leader.primary_monitor._replacement
    read_all = runner._status.read_all
    held = []

    def late_resume(targets, command):
        targets = list(targets)
        if command == wire.RESUME:
            held.append([t.target_id for t in targets])
            yield fleet.loop.sleep(ms(600))
        return (yield from read_all(targets, command))

    runner._status.read_all = late_resume
    clients = open_clients(fleet)
    write_until_served(fleet, clients[0])
    fleet.join("d", ms(0))
    fleet.run(SECOND)
    # c is left paused for a higher term by the failover to b or d.
    c = fleet.group.server_by_id["c"]
    follow = c.follow

    def follow_while_stopped(primary):
        follow(primary)
        c.paused_term = primary.term + 1

    c.follow = follow_while_stopped
    fleet.crash("a")
    send_reads(clients)
    write_until_served(fleet, clients[0])
    c.follow = follow
    fleet.run_until(lambda: held, SECOND * 6)
    fleet.draining.add("c")
    record = leader.services.table.group_by_service
    fleet.run_until(lambda: record[SERVICE].stopped_by_id, SECOND * 5)
    fleet.run(SECOND)
    assert record[SERVICE].stopped_by_id
    assert c.paused_term, "a replica that counts as stopped receives again"


@pytest.mark.parametrize("kind", ["nobody left", "left", "left, read since"])
def test_idle_service_after_an_instance_has_left(kind):
    # Guards against a failover that waits without an end for a replica out of reach,
    # because no position of the primary is known since an instance ended.
    with ExitStack() as stack:
        fleet = SimulatedFleet(stack, size=6)
        client = fleet.leader().client("strict")
        write_until_served(fleet, client)
        fleet.run(SECOND * 3)
        left = next(m for m in fleet.members if not m.leadership.is_leader())
        if kind != "nobody left":
            fleet.kill(left)
        fleet.run(SECOND * 12)
        clients = open_clients(fleet)
        if kind == "left, read since":
            clients[0].query("READ 1")
            fleet.run(SECOND)
        fleet.isolate("c")
        fleet.crash("a")
        send_reads(clients)
        gap = write_until_served(fleet, clients[0], SECOND * 90)
        assert gap < SECOND * 12


def test_idle_service_after_a_rolling_restart():
    # Guards against the same after all instances were restarted one after the other.
    with ExitStack() as stack:
        fleet = SimulatedFleet(stack, size=6)
        write_until_served(fleet, fleet.leader().client("strict"))
        for member in list(fleet.members):
            fleet.kill(member)
            fleet.run(SECOND * 3)
            fleet.restart(member)
            fleet.run(SECOND * 6)
        fleet.run(SECOND * 10)
        clients = open_clients(fleet)
        fleet.isolate("c")
        fleet.crash("a")
        send_reads(clients)
        gap = write_until_served(fleet, clients[0], SECOND * 90)
        assert gap < SECOND * 12


def test_malformed_records_are_ignored():
    # Guards against one record that stops all reads of the store.
    def record(key, value):
        return Record(key=key, value=value, revision=1, lease_id=0)

    members = [
        b"",
        b"null",
        b"[]",
        b'{"service":"s"}',
        b'{"service":"s","primary_id":"a","servers":[[1]]}',
        b'{"service":"s","primary_id":"a","servers":[["a",5,"d",1]]}',
        b'{"service":"s","primary_id":"a","servers":[["a","a:1","d",1e999]]}',
        b'{"service":"s","primary_id":"a","servers":[["a","a:1","d",1e300]]}',
        b'{"service":"s","primary_id":"a","servers":{"a":1}}',
    ]
    for value in members:
        decode_all_group_members([record(GROUP_MEMBERS_PREFIX + "s", value)], 0)
    good = orjson.loads(build_group().encode())
    failures = []
    for change in (
        {"service": []},
        {"service": 5},
        {"primary_id": []},
        {"old_id": {}},
        {"sealed": [1, "x"]},
        {"sealed": [1]},
        {"term": 1e300},
        {"stopped": {"a": [1, None]}, "stopped_born_ms": {"a": 1}},
        {"stopped": [], "stopped_born_ms": []},
        {"era": 2**40},
        {"era": -1},
        {"generation": 2**40},
        {"generation": "1"},
    ):
        value = orjson.dumps(good | change)
        try:
            groups = decode_group_records([record(GROUP_PREFIX + "s", value)], 0)
        except Exception as error:
            failures.append((change, repr(error)))
        else:
            if groups:
                failures.append((change, "accepted"))
    assert not failures, failures
