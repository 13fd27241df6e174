"""Leases of connections in normal operation, on a simulated fleet."""

from contextlib import ExitStack

import pytest

from tests.proxy.builders import ms
from tests.proxy.fleet_builders import check_commits_told_to_clients
from tests.proxy.sharing.builders import (
    MAX_CONNECTIONS,
    SharingFleet,
    check_no_statement_ran_twice,
)


@pytest.fixture(scope="module")
def fleet():
    with ExitStack() as stack:
        fleet = SharingFleet(stack)
        for number, member in enumerate(fleet.members):
            fleet.client_of(member, number=number).query("WRITE 1 data")
        # An owner has few connections at first, also where one test runs alone.
        fleet.run(ms(4000))
        yield fleet


def test_statements_of_all_instances_find_open_connections(fleet):
    # Guards against instances that replace each other's connections. Without sharing,
    # each instance opens one for almost every statement here.
    clients = [
        fleet.client_of(member, number=number)
        for number, member in enumerate(fleet.members)
    ]
    for _ in range(2):
        # An owner has few connections at first.
        for client in clients:
            client.query("WRITE 1 data")
        fleet.run(ms(4000))
    opened_before, runs_before = fleet.opened(), len(fleet.group.runs)
    for _ in range(10):
        for client in clients:
            assert client.query("WRITE 1 data")[0].startswith("DONE")
    statements = len(fleet.group.runs) - runs_before
    assert statements == 10 * len(clients)
    assert fleet.opened() - opened_before < statements * 0.1
    assert fleet.direct_opened() == 0
    for server in fleet.group.server_by_id.values():
        assert len(server.connections) <= MAX_CONNECTIONS
    check_no_statement_ran_twice(fleet)
    check_commits_told_to_clients(fleet)


def test_leased_connection_has_the_values_of_the_session_that_uses_it(fleet):
    # Guards against session values and prepared statements of another session.
    first, second = (fleet.client_of(member) for member in fleet.in_domain()[:2])
    first.query("SET zone utc")
    first.query("PREPARE p READ shape-1")
    for _ in range(2):
        first.query("EXEC p 1")
        assert fleet.group.runs[-1].values == {"zone": "utc"}
        second.query("READ 1")
        assert fleet.group.runs[-1].values == {}
    second.query("SET zone cet")
    second.query("READ 2")
    assert fleet.group.runs[-1].values == {"zone": "cet"}


def test_refusal_of_the_owner_reaches_the_caller_with_its_time_to_return(fleet):
    # Guards against callers that wait for a target which cannot serve them in time, or
    # that all return at the same moment.
    clients = [fleet.client_of(m, number=n) for n, m in enumerate(fleet.in_domain())]
    primary = fleet.group.server_by_id["a"]
    # More than fits in the time for which the callers wait.
    primary.work = ms(400)
    for client in clients * 3:
        client.sent += 1
        client.send(f"QUERY {client.request_id(client.sent)} WRITE 1 data")
    fleet.run(ms(620))
    refused = {}
    for client in clients:
        for line in client.received():
            if line.startswith("ERR BUSY"):
                refused.setdefault(line.rpartition("retry after")[2], client)
    primary.work = ms(5)
    fleet.run(ms(2000))
    assert len(refused) >= 2
    assert all(delay.endswith(" ms") for delay in refused)
    check_no_statement_ran_twice(fleet)


def test_load_of_the_domain_reaches_the_choice_of_targets(fleet):
    # Guards against instances that see only their own statements and choose a target
    # that others keep busy.
    first, second = fleet.in_domain()[:2]
    busy, other = fleet.client_of(first, "bounded"), fleet.client_of(second, "bounded")
    other.query("READ 1")
    for server in fleet.group.server_by_id.values():
        server.work = ms(100)
    busy.send("QUERY load-1 READ 1")
    fleet.run(ms(30))
    other.send("QUERY load-2 READ 1")
    fleet.run(ms(30))
    loads = {
        candidate.target.target_id: candidate.in_flight
        for candidate in second.services.candidates("orders", "account-1")
    }
    assert max(loads.values()) >= 1
    for server in fleet.group.server_by_id.values():
        server.work = ms(5)
    fleet.run(ms(500))


def test_reads_that_are_late_at_all_targets_wait_for_one_of_them(fleet):
    # Guards against reads that are refused although a target could answer them before
    # their callers give up.
    clients = [
        fleet.client_of(member, "bounded", number)
        for number, member in enumerate(fleet.in_domain() * 2)
    ]
    for server in fleet.group.server_by_id.values():
        server.work = ms(150)
    for client in clients:
        client.sent += 1
        client.send(f"QUERY {client.request_id(client.sent)} READ 1")
    fleet.run(ms(1000))
    answers = [client.received()[-2] for client in clients]
    for server in fleet.group.server_by_id.values():
        server.work = ms(5)
    fleet.run(ms(1000))
    # Three targets run two statements of the domain at a time.
    assert sum(answer.startswith("DONE") for answer in answers) >= 6


@pytest.mark.parametrize("tokens, copies", [(0.0, 1), (4.0, 2)])
def test_copies_of_a_read_are_bounded_by_the_retry_budget(fleet, tokens, copies):
    # Guards against hedged reads that add to the load of slow targets.
    member = fleet.in_domain()[0]
    client = fleet.client_of(member, "bounded")
    client.query("READ 1")
    for server in fleet.group.server_by_id.values():
        server.work = ms(500)
    member.services.retry_budget._tokens = tokens
    client.query("READ 2", wait=ms(900))
    fleet.run(ms(900))
    assert fleet.run_ids().count(client.request_id(client.sent)) == copies
    for server in fleet.group.server_by_id.values():
        server.work = ms(5)
    fleet.run(ms(500))


def test_transaction_keeps_its_connection_and_no_place(fleet):
    # Guards against pausing transactions that block the slots of a target.
    member = fleet.in_domain()[0]
    clients = [fleet.client_of(member, number=number) for number in range(3)]
    for client in clients:
        assert client.query("BEGIN")[0].startswith("DONE")
        assert client.query("WRITE 1 data")[-2].startswith("DONE")
    owner = fleet.owner_of("a").sharing.owner
    assert owner.lease_count() >= 3
    assert owner.load("a").running == 0
    other = fleet.client_of(fleet.in_domain()[1], number=4)
    assert other.query("READ 1")[-2].startswith("DONE")
    for client in clients:
        assert client.query("COMMIT")[0].startswith("DONE")
        runs = [r for r in fleet.group.runs if r.request_id.endswith(f"x{client.sent}")]
        assert runs[-1].text == "COMMIT"
    fleet.run(ms(100))
    assert owner.lease_count() == 0


def test_owners_close_their_connections_once_there_are_enough(fleet):
    # Guards against connections of owners beside those of all instances.
    client = fleet.client_of(fleet.in_domain()[0])
    client.query("READ 1")
    assert any(m.sharing.owner.pool.size() for m in fleet.members)
    for member in fleet.members:
        configuration = member.services.configuration
        service = configuration.service_by_name["orders"]._replace(max_connections=100)
        member.services.configuration = configuration._replace(
            service_by_name={"orders": service}
        )
    fleet.run(ms(400))
    assert not any(m.sharing.owner.pool.size() for m in fleet.members)
    assert client.query("READ 1")[-2].startswith("DONE")
    assert fleet.direct_opened() > 0


def test_state_of_schedulers_is_in_the_metrics_of_their_owner(fleet):
    # Guards against refusals that an operator cannot see.
    owner = fleet.owner_of("a")
    client = fleet.client_of(fleet.others(owner)[0])
    for member in fleet.members:
        service = member.services.configuration.service_by_name["orders"]
        shared = service._replace(max_connections=MAX_CONNECTIONS)
        member.services.configuration = member.services.configuration._replace(
            service_by_name={"orders": shared}
        )
    client.query("WRITE 1 data")
    fleet.run(ms(1200))
    services = owner.services
    services.metrics.gauges.update(owner.sharing.gauges())
    text = services.metrics.text()
    assert b'bulrushloom_scheduler_limit{case="a"} ' in text
    assert b'bulrushloom_scheduler_ended_total{case="served"} ' in text


def test_memory_of_shared_connections_counts_at_their_owner(fleet):
    # Guards against answers and session values that fill the memory of an owner, whose
    # budget does not know of them.
    owner = fleet.owner_of("a")
    client = fleet.client_of(fleet.others(owner)[0])
    before = owner.services.memory.used
    client.query(f"SET note {'x' * 3000}")
    assert client.query("WRITE 1 data")[0].startswith("DONE")
    fleet.run(ms(50))
    assert owner.services.memory.used >= before + 3000
