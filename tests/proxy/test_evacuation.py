"""Evacuation of a domain: nothing more is sent to its targets, on a simulated fleet."""

from contextlib import ExitStack

import pytest

from bulrushloom.proxy.configuration import Consistency
from tests.proxy.builders import SERVICE, SETTINGS, build_route, ms
from tests.proxy.era_builders import return_store
from tests.proxy.evacuation_builders import (
    ContinuousReader,
    Load,
    build_fleet,
    evacuate,
    is_replacing,
    statements_at,
)
from tests.proxy.fleet_builders import (
    SECOND,
    check_acknowledged_commits,
    check_commits_told_to_clients,
    open_clients,
    primary_id,
    send_reads,
    write_until_served,
)

BOUND = SETTINGS.evacuation_bound
# The required bound is 5 s; each second until service has moved costs callers.
TARGET_TIME = ms(1500)


@pytest.fixture
def fleet():
    with ExitStack() as stack:
        yield build_fleet(stack)


def check_served(fleet, expected_primaries):
    """Check who the primary is, and that every instance serves writes and reads."""
    assert primary_id(fleet) in expected_primaries
    for member in fleet.members:
        write_until_served(fleet, member.client("strict"), SECOND)
        answer = member.client("bounded").query("READ 1")
        assert any(line.startswith("DONE") for line in answer)
    check_acknowledged_commits(fleet)


def test_primary_moves_to_another_domain_while_callers_continue(fleet):
    # Guards against a primary that keeps getting statements because only draining and
    # failed ones are replaced.
    load = Load(fleet)
    fleet.run(SECOND)
    requested_at = evacuate(fleet, "north")
    fleet.run(BOUND)
    moved_at = requested_at + TARGET_TIME
    fleet.run(SECOND * 2)
    assert statements_at(fleet, {"north"}, moved_at) == []
    assert load.longest_write_gap(requested_at) <= TARGET_TIME
    load.stop()
    check_served(fleet, {"b", "c"})
    assert check_commits_told_to_clients(fleet) > 100


@pytest.mark.parametrize("domains", [("south",), ("south", "west")])
def test_reads_leave_the_replicas_of_evacuated_domains(fleet, domains):
    # Guards against retries and hedged copies that still go there.
    load = Load(fleet)
    fleet.run(SECOND)
    requested_at = evacuate(fleet, *domains)
    # Reads become slow enough for a second copy.
    for server in fleet.group.server_by_id.values():
        server.work = ms(120)
    fleet.run(SECOND * 7)
    assert statements_at(fleet, domains, requested_at + TARGET_TIME) == []
    served = [at for reader in load.readers for at in reader.served_at]
    assert max(served) > fleet.loop.now() - SECOND
    assert primary_id(fleet) in ("", "a")
    load.stop()


def test_targets_are_used_again_once_the_key_is_removed(fleet):
    requested_at = evacuate(fleet, "south", "west")
    fleet.run(SECOND * 2)
    fleet.store.evacuated_domains.clear()
    load = Load(fleet)
    fleet.run(SECOND * 2)
    load.stop()
    assert statements_at(fleet, {"south"}, requested_at)
    assert statements_at(fleet, {"west"}, requested_at)


def test_two_domains_at_once(fleet):
    # Guards against a successor in the second domain.
    load = Load(fleet)
    fleet.run(SECOND)
    requested_at = evacuate(fleet, "north", "south")
    fleet.run(BOUND)
    load.stop()
    assert {order.target_id for order in fleet.promotion.orders} == {"c"}
    assert statements_at(fleet, {"north", "south"}, requested_at + TARGET_TIME) == []
    check_served(fleet, {"c"})


@pytest.mark.parametrize("delay", [ms(0), ms(300), ms(600), ms(900)])
def test_leader_that_dies_after_the_request(fleet, delay):
    # Guards against a request that only the leader knew, or that ends with it.
    load = Load(fleet)
    fleet.run(SECOND)
    requested_at = evacuate(fleet, "north")
    fleet.run(delay)
    fleet.kill(fleet.leader())
    fleet.run(SECOND * 8)
    load.stop()
    assert statements_at(fleet, {"north"}, requested_at + BOUND) == []
    check_served(fleet, {"b", "c"})


def test_request_holds_while_the_store_is_away(fleet):
    # Guards against a request that lapses with the evidence of the store.
    load = Load(fleet)
    requested_at = evacuate(fleet, "south")
    fleet.run(TARGET_TIME)
    fleet.store.is_down = True
    fleet.run(SECOND * 8)
    assert statements_at(fleet, {"south"}, requested_at + TARGET_TIME) == []
    fleet.store.is_down = False
    fleet.store.evacuated_domains.clear()
    ended_at = fleet.loop.now()
    # Unused targets cost as much as a slow one, so reads return if the others are slow.
    for server_id in ("a", "c"):
        fleet.group.server_by_id[server_id].work = ms(120)
    fleet.run(SECOND * 5)
    load.stop()
    assert statements_at(fleet, {"south"}, ended_at)


@pytest.mark.parametrize("delay", [ms(0), ms(100), ms(200), ms(300), ms(400)])
def test_key_that_is_removed_during_the_failover(fleet, delay):
    # Guards against a failover that never ends because the reason for it is gone.
    load = Load(fleet)
    fleet.run(SECOND)
    evacuate(fleet, "north")
    fleet.run_until(lambda: is_replacing(fleet))
    fleet.run(delay)
    fleet.store.evacuated_domains.clear()
    fleet.run(SECOND * 3)
    load.stop()
    check_served(fleet, {"a", "b", "c"})
    check_commits_told_to_clients(fleet)


def test_instance_that_starts_during_the_evacuation(fleet):
    member = next(m for m in fleet.members if m is not fleet.leader())
    requested_at = evacuate(fleet, "north")
    fleet.kill(member)
    fleet.run(TARGET_TIME)
    started_at = fleet.loop.now()
    fleet.restart(member)
    load = Load(fleet)
    fleet.run(SECOND * 4)
    load.stop()
    assert statements_at(fleet, {"north"}, started_at) == []
    assert started_at == requested_at + TARGET_TIME
    check_served(fleet, {"b", "c"})


def test_instance_that_does_not_read_the_store(fleet):
    # Guards against an instance that obeys only requests that it has read itself.
    member = next(m for m in fleet.members if m is not fleet.leader())
    fleet.store.refused.add(member.name)
    load = Load(fleet)
    fleet.run(SECOND * 4)
    requested_at = evacuate(fleet, "south", "north")
    fleet.run(SECOND * 8)
    load.stop()
    since = requested_at + TARGET_TIME
    assert statements_at(fleet, {"south", "north"}, since) == []
    assert member.services.table.evacuated_domains == {"south", "north"}


def test_request_that_leaves_no_target_is_answered_at_once(fleet):
    # Guards against callers that wait for a failover which cannot come.
    clients = open_clients(fleet) + [m.client("bounded") for m in fleet.members]
    requested_at = evacuate(fleet, "north", "south", "west")
    fleet.run(TARGET_TIME)
    return_times = set()
    for client in clients:
        for text in ("WRITE 1 data", "READ 1"):
            asked_at = fleet.loop.now()
            code, *details = client.query(text)[0].split(" ")[1:]
            assert fleet.loop.now() - asked_at <= ms(20)
            assert "evacuated" in " ".join(details)
            assert code == "BUSY"
            # Guards against callers that all return at the same moment.
            return_times.add(details[details.index("after") + 1])
    assert len(return_times) > len(clients)
    fleet.run(BOUND * 2)
    assert (
        statements_at(fleet, {"north", "south", "west"}, requested_at + TARGET_TIME)
        == []
    )
    assert fleet.promotion.orders == []
    fleet.store.evacuated_domains.clear()
    fleet.run(SECOND)
    check_served(fleet, {"", "a"})


@pytest.mark.parametrize("delay", [ms(0), ms(200), ms(400), ms(600), ms(800), ms(1000)])
@pytest.mark.parametrize("domain", ["south", "west"])
def test_request_in_the_middle_of_a_failover(fleet, delay, domain):
    # Guards against a successor in a domain that is evacuated meanwhile. The primary
    # has crashed, and either replica has every commit.
    clients = open_clients(fleet)
    write_until_served(fleet, clients[0])
    fleet.run(ms(100))
    fleet.crash("a")
    send_reads(clients)
    fleet.run(delay)
    requested_at = evacuate(fleet, domain)
    fleet.run(SECOND * 6)
    others = {"south": "c", "west": "b"}
    check_served(fleet, {others[domain]})
    assert statements_at(fleet, {domain}, requested_at + BOUND) == []
    evacuated = {"south": "b", "west": "c"}[domain]
    late = [o for o in fleet.promotion.orders if o.at > requested_at + ms(600)]
    assert evacuated not in {order.target_id for order in late}


@pytest.mark.parametrize("is_crashed", [True, False])
def test_evacuated_replica_ahead_of_the_others_does_not_cost_a_commit(
    fleet, is_crashed
):
    # Guards against a successor elsewhere that lacks acknowledged commits: only the
    # replica in the evacuated domain has received the last one.
    clients = open_clients(fleet)
    write_until_served(fleet, clients[0])
    fleet.group.server_by_id["c"].drops_replication = True
    write_until_served(fleet, clients[0])
    if is_crashed:
        fleet.crash("a")
    # It replicates again, but the old primary does not send again what it missed.
    fleet.group.server_by_id["c"].drops_replication = False
    evacuate(fleet, "south", *([] if is_crashed else ["north"]))
    send_reads(clients)
    fleet.run(BOUND)
    assert fleet.promotion.orders == []
    # Guards against a failover that asks the servers there ten times a second.
    first_number = len(fleet.group.queries)
    fleet.run(SECOND * 5)
    later = fleet.group.queries[first_number:]
    assert sum(query.server in ("a", "b") for query in later) <= 2
    fleet.store.evacuated_domains.clear()
    fleet.run(SECOND * 3)
    check_served(fleet, {"b"} if is_crashed else {"a", "b"})


@pytest.mark.parametrize(
    ("begin", "domains", "reason"),
    [
        # The demotion of the primary ends the transactions there.
        ("BEGIN", ("north",), "read only"),
        ("BEGIN", ("north", "south", "west"), "evacuated"),
        ("BEGIN READ", ("north", "south"), "evacuated"),
    ],
)
def test_open_transactions_end_before_the_bound(fleet, begin, domains, reason):
    # Guards against statements, commits and rollbacks of transactions that began before
    # the request; a transaction that never pauses would run there without an end.
    database = "strict" if begin == "BEGIN" else "bounded"
    clients = [member.client(database) for member in fleet.members]
    for client in clients:
        client.query(begin)
        client.query("READ 1")
    requested_at = evacuate(fleet, *domains)
    answers = {client: [] for client in clients}
    while fleet.loop.now() - requested_at < BOUND + SECOND:
        for client in clients:
            answers[client] += client.query("READ 1")
        fleet.run(ms(100))
    for client in clients:
        commit = client.query("COMMIT")
        if not any(line.startswith("DONE") for line in commit):
            assert any(reason in line for line in answers[client] + commit)
            assert commit[0].startswith("ERR ABORTED"), commit
    assert statements_at(fleet, domains, requested_at + BOUND * 0.8) == []
    check_acknowledged_commits(fleet)


def test_commit_that_was_sent_is_awaited(fleet):
    # Guards against a commit that is told to be in doubt although its answer arrives.
    client = fleet.members[0].client("strict")
    for text in ("BEGIN", "WRITE 1 data"):
        client.query(text)
    for server in fleet.group.server_by_id.values():
        server.work = ms(250)
    client.sent += 1
    client.send(f"QUERY {client.request_id(client.sent)} COMMIT")
    fleet.run(ms(30))
    evacuate(fleet, "north")
    for member in fleet.members:
        member.reader.request_list()
    fleet.run(ms(50))
    assert fleet.members[0].services.table.evacuated_domains == {"north"}
    fleet.run(SECOND)
    assert any(line.startswith("DONE") for line in client.received())
    check_commits_told_to_clients(fleet)


def test_metrics_and_log_lines_name_the_domains(fleet):
    events = []
    member = fleet.members[0]
    member.services.log.write = lambda event, **fields: events.append((event, fields))
    evacuate(fleet, "north")
    fleet.run(TARGET_TIME)
    fields = [fields for event, fields in events if event == "evacuation_changed"]
    # The instances of a simulated fleet share their log.
    assert [f["domains"] for f in fields] == [["north"]] * len(fleet.members)
    assert member.services.metrics.gauges["evacuated_domains"] == 1
    started = [f for event, f in events if event == "failover_started"]
    assert all("evacuated" in f["reason"] for f in started)
    fleet.store.evacuated_domains.clear()
    fleet.run(TARGET_TIME)
    assert member.services.metrics.gauges["evacuated_domains"] == 0
    assert SERVICE in member.services.table.group_by_service


@pytest.mark.parametrize("is_public", [False, True])
def test_instance_that_was_cut_off_during_the_request(fleet, is_public):
    # Guards against an instance that adopts the freshness of the store from the others
    # before it has copied the directory, which takes some time.
    member = next(m for m in fleet.members if m is not fleet.leader())
    route = build_route("bounded", Consistency.BOUNDED_STALENESS, is_public=is_public)
    routes = fleet.store.configuration.route_by_database | {"bounded": route}
    fleet.store.configuration = fleet.store.configuration._replace(
        revision=2, version=2, route_by_database=routes
    )
    fleet.run(SECOND)
    reader = ContinuousReader(member.client("bounded"))
    member.copy_delay = ms(700)
    fleet.store.refused.add(member.name)
    fleet.datagrams.freeze(member.name)
    requested_at = evacuate(fleet, "south", "west")
    fleet.run(SECOND * 7)
    fleet.datagrams.thaw(member.name)
    fleet.run(SECOND * 4)
    assert statements_at(fleet, {"south", "west"}, requested_at + BOUND) == []
    assert max(reader.served_at) > fleet.loop.now() - SECOND
    reader.is_stopped = True
    fleet.run(SECOND)


def test_copy_of_the_store_without_the_request(fleet):
    # Guards against instances that use an evacuated domain again because the store has
    # returned from a copy, until the operators have written the request again.
    copy = fleet.store.copy()
    evacuate(fleet, "north")
    fleet.run(BOUND)
    returned_at = fleet.loop.now()
    return_store(fleet, copy)
    readers = [ContinuousReader(member.client("bounded")) for member in fleet.members]
    fleet.run(SECOND * 2)
    assert statements_at(fleet, {"north"}, returned_at) == []
    assert readers


@pytest.mark.parametrize("dies", [False, True])
def test_stopped_replica_receives_again_after_the_evacuation(fleet, dies):
    # Guards against a replica that stays stopped and misses every commit, because the
    # leader that knew of the evacuation died while the key was removed.
    write_until_served(fleet, open_clients(fleet)[0])
    fleet.crash("a")
    send_reads(open_clients(fleet))
    fleet.run(SECOND * 6)
    primary = primary_id(fleet)
    replica = next(key for key in ("b", "c") if key != primary)
    evacuate(fleet, {"b": "south", "c": "west"}[replica])
    fleet.run(SECOND * 2)
    server = fleet.group.server_by_id[replica]
    server.paused_term = fleet.group.server_by_id[primary].term + 1
    if dies:
        fleet.kill(fleet.leader())
    fleet.store.evacuated_domains.clear()
    fleet.run(SECOND * 14)
    assert server.paused_term == 0
