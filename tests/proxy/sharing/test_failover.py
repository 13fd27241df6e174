"""Failover of targets whose connections are shared, on a simulated fleet."""

from contextlib import ExitStack

import pytest

from bulrushloom.proxy.base import LeaseRefused, WaitLimits
from bulrushloom.proxy.dispatch import Dispatcher
from bulrushloom.proxy.messages import (
    NO_POSITION,
    AnswerCode,
    Failure,
    LogPosition,
    ServerAnswer,
    TransactionState,
)
from tests.proxy.builders import ms
from tests.proxy.fleet_builders import (
    SECOND,
    check_acknowledged_commits,
    check_commits_told_to_clients,
    write_until_served,
)
from tests.proxy.sharing.builders import (
    MAX_CONNECTIONS,
    SharingFleet,
    check_no_statement_ran_twice,
)


@pytest.fixture
def fleet():
    with ExitStack() as stack:
        yield SharingFleet(stack)


@pytest.mark.parametrize("is_unresponsive", [False, True])
def test_primary_that_fails_is_replaced(fleet, is_unresponsive):
    # Guards against a failed primary that nobody suspects, because only owners connect
    # to it.
    clients = [fleet.client_of(m, number=n) for n, m in enumerate(fleet.members)]
    for client in clients:
        assert client.query("WRITE 1 data")[0].startswith("DONE")
    fleet.crash("a", is_unresponsive)
    for client in clients:
        client.sent += 1
        client.send(f"QUERY {client.request_id(client.sent)} WRITE 2 data")
    assert write_until_served(fleet, clients[0]) < SECOND * 6
    assert len(fleet.promotion.orders) == 1
    for client in clients[1:]:
        client.received()
        assert write_until_served(fleet, client) < SECOND
    check_no_statement_ran_twice(fleet)
    check_acknowledged_commits(fleet)
    check_commits_told_to_clients(fleet)


def write_for_three_seconds(fleet):
    """Let clients of all instances write; return when statements ran."""
    clients = [fleet.client_of(m, number=n) for n, m in enumerate(fleet.members)]
    for _ in range(30):
        for client in clients:
            client.received()
            client.sent += 1
            client.send(f"QUERY {client.request_id(client.sent)} WRITE 1 data")
        fleet.run(ms(100))
    return [run.at for run in fleet.group.runs]


@pytest.mark.parametrize("owners_answer", [True, False])
def test_cold_target_gets_no_more_requests_than_its_limit(owners_answer):
    # Guards against requests that pass by the owners, who share the limit.
    with ExitStack() as stack:
        fleet = SharingFleet(stack, cold_per_s=4)
        fleet.cold_ids.add("a")
        fleet.run(SECOND)
        if not owners_answer:
            for member in fleet.members:
                member.sharing.client.chooser.update_members((), SECOND)
                member.sharing.client.update_members = lambda *_: None
        times = write_for_three_seconds(fleet)
        for at in times:
            assert sum(at <= other < at + SECOND for other in times) <= 4 * 1.5 + 5
        assert bool(times) is owners_answer


def test_limit_of_a_cold_target_follows_the_settings():
    # Guards against owners that use the default tolerance instead of the platform's.
    with ExitStack() as stack:
        fleet = SharingFleet(stack, cold_per_s=4)
        for member in fleet.members:
            settings = member.services.settings
            member.services.apply_settings(
                settings._replace(cold_excess=1.0, cold_slack=0.0)
            )
        fleet.cold_ids.add("a")
        fleet.run(SECOND)
        times = write_for_three_seconds(fleet)
        assert times
        for at in times:
            assert sum(at <= other < at + SECOND for other in times) <= 4


def test_limit_of_a_cold_target_is_divided_among_all_domains_of_the_settings():
    # Guards against parts that exceed the limit together, because an instance that has
    # just started, or was cut off, does not know the instances of other domains.
    with ExitStack() as stack:
        fleet = SharingFleet(stack, cold_per_s=4)
        domains = dict.fromkeys(("north", "south", "west"), "region")
        for member in fleet.members:
            settings = member.services.settings
            member.services.apply_settings(settings._replace(region_by_domain=domains))
        fleet.cold_ids.add("a")
        fleet.run(SECOND)
        times = write_for_three_seconds(fleet)
        part = (4 * 1.5 + 5) // 3
        assert times
        for at in times:
            count = sum(at <= other < at + SECOND for other in times)
            assert count <= 2 * part


def test_large_statement_is_served_by_a_cold_target():
    # Guards against large statements that are refused as long as the primary is cold,
    # since they have no other connection.
    with ExitStack() as stack:
        fleet = SharingFleet(stack, cold_per_s=4)
        fleet.cold_ids.add("a")
        fleet.run(SECOND)
        client = fleet.client_of(fleet.others(fleet.owner_of("a"))[0])
        client.query("WRITE 1 data")
        fleet.run(SECOND * 2)
        answer = client.query(f"WRITE 2 {'x' * 100_000}")
        assert answer[0].startswith("DONE")


def test_primary_of_a_service_with_a_limit_for_cold_targets_is_replaced():
    # Guards against a limit that keeps a failure of the primary from being noticed.
    with ExitStack() as stack:
        fleet = SharingFleet(stack, cold_per_s=4)
        clients = [fleet.client_of(m, number=n) for n, m in enumerate(fleet.members)]
        for client in clients:
            assert client.query("WRITE 1 data")[0].startswith("DONE")
        fleet.crash("a")
        for client in clients:
            client.sent += 1
            client.send(f"QUERY {client.request_id(client.sent)} WRITE 2 data")
        assert write_until_served(fleet, clients[0]) < SECOND * 6
        assert len(fleet.promotion.orders) == 1
        check_no_statement_ran_twice(fleet)
        check_acknowledged_commits(fleet)
        check_commits_told_to_clients(fleet)


def test_limit_holds_before_the_list_says_that_a_restarted_target_is_cold():
    # Guards against a flood between the start of a target and the next copy of the
    # list, which may be some seconds later.
    with ExitStack() as stack:
        fleet = SharingFleet(stack, cold_per_s=4)
        fleet.run(SECOND * 4)
        clients = [
            fleet.client_of(m, "bounded", number=n) for n, m in enumerate(fleet.members)
        ]

        def read(duration):
            end = fleet.loop.now() + duration
            while fleet.loop.now() < end:
                for client in clients:
                    client.received()
                    client.sent += 1
                    client.send(f"QUERY {client.request_id(client.sent)} READ 1")
                fleet.run(ms(100))

        read(SECOND)
        fleet.crash("b")
        read(SECOND * 3)
        server = fleet.group.server_by_id["b"]
        server.drops_replication = False
        server.born_ms += 100_000
        fleet.cold_ids.add("b")
        fleet.network.accept_by_address[server.address] = server.accept
        started_at = fleet.loop.now()
        read(SECOND * 3)
        times = [
            query.at
            for query in fleet.group.queries
            if query.server == "b" and query.at > started_at and "READ" in query.text
        ]
        assert times
        for at in times:
            assert sum(at <= other < at + SECOND for other in times) <= 4 * 1.5 + 5


def test_limit_of_a_cold_target_holds_without_shared_connections():
    # Guards against a limit that only holds where connections are scarce.
    with ExitStack() as stack:
        fleet = SharingFleet(stack, max_connections=60, cold_per_s=4)
        assert not fleet.members[0].services.shares("orders")
        fleet.cold_ids.add("a")
        fleet.run(SECOND)
        times = write_for_three_seconds(fleet)
        assert len(times) > 10
        for at in times:
            assert sum(at <= other < at + SECOND for other in times) <= 4 * 1.5 + 5
        # Otherwise the owners close their connections between the statements.
        opened = sum(m.sharing.owner.pool.opened for m in fleet.members)
        assert opened < len(times) / 2


def test_full_target_gets_few_attempts_to_connect(fleet):
    # Guards against owners that let a target reject a connection for each request, for
    # as long as it holds those of hosts that lost power.
    server = fleet.group.server_by_id["a"]
    server.max_connections = 0
    opened_before = fleet.opened()
    write_for_three_seconds(fleet)
    # Two owners, one attempt every 250 ms.
    assert 6 <= fleet.opened() - opened_before <= 2 * 3 * 4 + 4
    assert not fleet.run_ids()
    server.max_connections = MAX_CONNECTIONS
    fleet.run(ms(300))
    client = fleet.client_of(fleet.members[0])
    assert client.query("WRITE 1 data")[0].startswith("DONE")


def test_target_that_is_gone_leaves_no_connections(fleet):
    # Guards against owners that keep what belongs to a target that has left.
    client = fleet.client_of(fleet.in_domain()[0], "bounded")
    for _ in range(5):
        client.query("READ 1")
    fleet.deregistered |= {"b", "c"}
    fleet.run(SECOND * 6)
    for member in fleet.members:
        assert set(member.sharing.owner.pool.target_ids()) <= {"a"}
        assert set(member.sharing.owner.target_ids()) <= {"a"}


def test_owner_suspects_a_target_that_its_callers_did_not_wait_for(fleet):
    # Guards against callers with a short objective, who are gone before the attempt to
    # connect ends, so that nobody suspects the target.
    owner = fleet.owner_of("a")
    caller = fleet.others(owner)[0]
    fleet.crash("a", is_unresponsive=True)
    target = caller.services.table.listed_target_by_id["a"].target
    steps = caller.sharing.acquire(
        target, "account-1", {}, 0, WaitLimits(ms(20), ms(20))
    )
    leasing = fleet.loop.spawn_unreported(steps)
    fleet.run(ms(200))
    assert isinstance(leasing.exception(), TimeoutError)
    fleet.run(ms(200))
    assert "a" in owner.services.suspected_targets()


def test_owner_leases_no_connection_to_a_target_in_an_evacuated_domain(fleet):
    # Guards against statements of an instance that hears of the evacuation later than
    # the owner.
    fleet.domain_by_server_id["b"] = "south"
    fleet.run(SECOND * 3)
    owner = fleet.owner_of("b")
    caller = fleet.others(owner)[0]
    target = caller.services.table.listed_target_by_id["b"].target
    owner.services.table.evacuations.update({"south"}, fleet.loop.now())
    steps = caller.sharing.acquire(
        target, "account-1", {}, 0, WaitLimits(ms(50), ms(50))
    )
    leasing = fleet.loop.spawn_unreported(steps)
    fleet.run(ms(40))
    assert isinstance(leasing.exception(), LeaseRefused)
    assert "evacuated" in str(leasing.exception())
    assert owner.sharing.owner.pool.size_of("b") == 0


def test_refusal_by_an_owner_is_no_sign_of_a_working_target(fleet):
    # Guards against a failure that is not noticed, because the owner refuses further
    # statements of transactions while the target does not answer.
    services = fleet.members[0].services
    target = services.table.listed_target_by_id["a"].target
    services.report_failure(target, "no answer")
    refusal = ServerAnswer(
        (), b"", Failure(AnswerCode.NOT_RUN, "late"), TransactionState.OPEN, NO_POSITION
    )
    dispatcher = Dispatcher(services, None, {})
    dispatcher._record_answer(target, refusal, fleet.loop.now())
    assert services.suspected_targets() == {"a"}
    answer = refusal._replace(position=LogPosition(1, 0))
    dispatcher._record_answer(target, answer, fleet.loop.now())
    assert not services.suspected_targets()
