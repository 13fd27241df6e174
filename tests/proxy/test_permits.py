"""Permits that end while a statement is under way: answers, tokens and time."""

import pytest

from bulrushloom.proxy.configuration import Consistency
from tests.proxy.builders import SERVICE, build_account, build_route, ms
from tests.proxy.change_builders import (
    HOTEL,
    MOVED,
    OTHER_SERVICE,
    SHOP,
    STATEMENTS,
    WITHDRAWN,
    accounts_of_runs,
    admitted_count,
    answer,
    assert_nothing_left,
    configure,
    open_session,
    send,
    send_without_primary,
    send_without_token,
    time_of_answer,
    use_all_tokens,
)

ROUTE_CHANGES = {
    "none": {},
    "unrelated": {"accounts": {"key-1": HOTEL, "key-2": SHOP}},
    "staleness": {
        "routes": (
            build_route(
                "bounded", Consistency.BOUNDED_STALENESS, max_staleness=ms(2000)
            ),
            build_route("strict", Consistency.PRIMARY, max_staleness=ms(2000)),
        )
    },
    "moved key": MOVED,
    "withdrawn key": WITHDRAWN,
}


@pytest.mark.parametrize("database", ["bounded", "strict"])
@pytest.mark.parametrize("change", ROUTE_CHANGES, ids=lambda c: c.replace(" ", "-"))
def test_hedged_read_after_a_change_is_decided_in_time(instance, change, database):
    # Guards against a read that waits for a lost copy until its timeout (1 s) because
    # the permit of its second copy had ended.
    client = open_session(instance, database)
    client.query("READ 1")
    for server in instance.group.server_by_id.values():
        server.work = ms(3000)
    send(client, "READ 2")
    for server in instance.group.server_by_id.values():
        server.work = ms(5)
    if change != "none":
        configure(instance, **ROUTE_CHANGES[change])
    elapsed, lines = time_of_answer(client, ms(1500))
    expected = "ERR NOAUTH" if change == "withdrawn key" else "DONE signed-"
    assert [line for line in lines if line.startswith(expected)], (elapsed, lines)
    assert elapsed < ms(500), (elapsed, lines)


@pytest.mark.parametrize("text", STATEMENTS)
def test_withdrawn_key_is_refused_while_there_is_no_primary(instance, text):
    client = open_session(instance)
    send_without_primary(client, text)
    configure(instance, **WITHDRAWN)
    elapsed, lines = time_of_answer(client, ms(1500))
    assert lines[0].startswith("ERR NOAUTH"), (elapsed, lines)
    assert elapsed < ms(300), (elapsed, lines)


def test_route_that_moves_away_from_a_group_without_a_primary_is_served(instance):
    other = instance.add_group(OTHER_SERVICE, ("d", "e", "f"))
    client = open_session(instance)
    send_without_primary(client, "READ 1")
    route = build_route("strict", Consistency.PRIMARY, service=OTHER_SERVICE)
    service = instance.services.configuration.service_by_name[SERVICE]
    services = {SERVICE: service, OTHER_SERVICE: service._replace(name=OTHER_SERVICE)}
    configure(instance, routes=(route,), service_by_name=services)
    elapsed, lines = time_of_answer(client, ms(1500))
    assert lines[-2].startswith("DONE signed-"), (elapsed, lines)
    assert [run.account for run in other.runs] == ["hotel"]


@pytest.mark.parametrize("is_limited", [True, False])
def test_moved_key_does_not_wait_for_a_token_after_the_timeout(instance, is_limited):
    # Guards against a wait for a token of the new account after the statement timeout
    # (1 s), and against a token that is used for a statement that never runs.
    shop = build_account("shop", rate_per_s=20.0, burst=1.0) if is_limited else SHOP
    client = open_session(instance, "bounded")
    client.query("READ 1")
    for server in instance.group.server_by_id.values():
        server.work = ms(3000)
    send(client, "READ 2")
    configure(instance, accounts={"key-1": shop, "key-2": HOTEL})
    instance.run(ms(985))
    if is_limited:
        use_all_tokens(instance, shop)
    before = admitted_count(instance, "shop")
    elapsed, lines = time_of_answer(client, ms(500))
    taken = admitted_count(instance, "shop") - before
    runs = accounts_of_runs(instance, "READ").count("shop")
    assert elapsed <= ms(10), (elapsed, lines, taken)
    assert taken == runs, (elapsed, lines, taken)


def test_key_that_moves_and_returns_uses_one_token_of_its_account(instance):
    client = open_session(instance)
    for server in instance.group.server_by_id.values():
        server.work = ms(60)
    send(client, "WRITE 1 data")
    before = admitted_count(instance, "hotel")
    configure(instance, **MOVED)
    instance.run(ms(65))
    configure(instance)
    lines = answer(client)
    assert lines[0].startswith("DONE signed-")
    assert accounts_of_runs(instance, "WRITE") == ["hotel"]
    assert admitted_count(instance, "hotel") == before == 1


@pytest.mark.parametrize("text", STATEMENTS)
def test_key_that_moves_before_each_try_ends_with_the_timeout(instance, text):
    # Guards against a statement that is admitted again without an end: the key moves to
    # a further account as soon as the last one was counted.
    accounts = [HOTEL] + [build_account(f"shop-{n}") for n in range(60)]
    others = {f"other-{n}": account for n, account in enumerate(accounts)}
    client = open_session(instance, accounts={"key-1": HOTEL, **others})
    for server in instance.group.server_by_id.values():
        server.work = ms(30)
    client.sent += 1
    client.send(f"QUERY {client.request_id(client.sent)} {text}")
    lines, elapsed, holder = [], ms(0), 0
    while not lines and elapsed < ms(1500):
        instance.run(ms(2))
        elapsed += ms(2)
        lines += client.received()
        if admitted_count(instance, accounts[holder].name):
            holder += 1
            configure(instance, accounts={"key-1": accounts[holder], **others})
    counted = [admitted_count(instance, account.name) for account in accounts]
    assert elapsed <= ms(1100), (elapsed, lines)
    assert max(counted) <= 1, counted
    assert len(accounts_of_runs(instance, "READ", "WRITE", "EXEC")) <= 1
    assert_nothing_left(instance)


@pytest.mark.parametrize("text", STATEMENTS)
@pytest.mark.parametrize("interval", [1, 5, 15, 40])
def test_storm_of_moves_ends_with_the_statement_timeout(instance, text, interval):
    # Guards against a statement that is admitted again without an end.
    hotel, shop = build_account("hotel"), build_account("shop")
    client = open_session(instance, accounts={"key-1": hotel})
    for server in instance.group.server_by_id.values():
        server.work = ms(30)
    client.sent += 1
    client.send(f"QUERY {client.request_id(client.sent)} {text}")
    lines, elapsed, flips = [], 0, 0
    while not lines and elapsed < 1500:
        instance.run(ms(interval))
        elapsed += interval
        flips += 1
        holder = shop if flips % 2 else hotel
        configure(instance, accounts={"key-1": holder, "key-2": hotel, "key-3": shop})
        lines += client.received()
    taken = admitted_count(instance, "hotel"), admitted_count(instance, "shop")
    assert elapsed <= 1100
    assert sum(taken) <= 3, (elapsed, taken, lines)


def test_account_that_is_renamed_during_a_wait_runs_under_its_new_name(instance):
    client = open_session(instance)
    announce = send_without_primary(client, "WRITE 1 data")
    configure(instance, accounts={"key-1": HOTEL._replace(name="inn")})
    announce()
    assert answer(client)[0].startswith("DONE signed-")
    assert accounts_of_runs(instance, "WRITE") == ["inn"]


def test_refused_write_whose_key_moves_runs_once(instance):
    client = open_session(instance)
    client.query("READ 1")
    instance.group.primary().statements_to_refuse = 1
    send(client, "WRITE 1 data")
    configure(instance, **MOVED)
    assert answer(client)[0].startswith("DONE signed-")
    assert accounts_of_runs(instance, "WRITE") == ["shop"]
    assert_nothing_left(instance)


@pytest.mark.parametrize("change", [MOVED, WITHDRAWN])
def test_unanswered_write_whose_key_changes_stays_in_doubt(instance, change):
    client = open_session(instance)
    client.query("READ 1")
    instance.group.primary().answers_to_cut = 1
    client.sent += 1
    client.send(f"QUERY {client.request_id(client.sent)} WRITE 1 data")
    instance.run(ms(3))
    configure(instance, **change)
    assert answer(client)[0].startswith("ERR INDOUBT")
    assert len(accounts_of_runs(instance, "WRITE")) == 1
    assert_nothing_left(instance)


@pytest.mark.parametrize("text", STATEMENTS)
def test_client_that_leaves_during_a_renewal_leaves_nothing(instance, text):
    shop = build_account("shop", rate_per_s=20.0, burst=1.0)
    client = open_session(instance)
    use_all_tokens(instance, shop)
    announce = send_without_primary(client, text)
    configure(instance, accounts={"key-1": shop, "key-2": HOTEL})
    use_all_tokens(instance, shop)
    announce()
    client.stream.close("left")
    instance.run(ms(1500))
    assert client.is_ended
    assert set(accounts_of_runs(instance, "READ", "WRITE", "EXEC")) <= {"shop"}
    assert_nothing_left(instance)


@pytest.mark.parametrize("wait", [send_without_token, send_without_primary])
def test_withdrawn_key_of_a_public_route_runs_without_an_account(instance, wait):
    # Shows what the server is told; the pages do not say whom a key names there.
    public = (build_route("strict", Consistency.PRIMARY, is_public=True),)
    client = open_session(instance, routes=public)
    announce = wait(client, "READ 1")
    configure(instance, routes=public, accounts={"key-2": HOTEL})
    if announce:
        announce()
    assert answer(client)[-2].startswith("DONE signed-")
    assert accounts_of_runs(instance, "READ") == [""]


@pytest.mark.parametrize("has_written_before", [False, True])
def test_position_of_another_service_is_not_required(instance, has_written_before):
    # Guards against reads that wait for a log position of the former service.
    other = instance.add_group(OTHER_SERVICE, ("d", "e", "f"))
    instance.run(ms(300))
    client = open_session(instance, "own")
    for _ in range(5 if has_written_before else 0):
        client.query("WRITE 1 data")
    route = build_route("own", Consistency.READ_YOUR_WRITES, service=OTHER_SERVICE)
    service = instance.services.configuration.service_by_name[SERVICE]
    services = {SERVICE: service, OTHER_SERVICE: service._replace(name=OTHER_SERVICE)}
    configure(instance, routes=(route,), service_by_name=services)
    assert client.query("WRITE 1 data")[0].startswith("DONE signed-")
    instance.run(ms(500))
    for server in other.server_by_id.values():
        server.refusals = 0
    for _ in range(20):
        assert client.query("READ 1")[-2].startswith("DONE signed-")
        instance.run(ms(30))
    served = {run.server for run in other.runs if run.text.startswith("READ")}
    refusals = sum(server.refusals for server in other.server_by_id.values())
    assert refusals == 0, (served, refusals)


@pytest.mark.parametrize("text", STATEMENTS)
def test_route_that_moves_takes_no_second_token(instance, text):
    # Guards against an operation that is counted twice, or refused for its rate,
    # because its route changed while it waited.
    instance.add_group(OTHER_SERVICE, ("d", "e", "f"))
    client = open_session(instance)
    announce = send_without_primary(client, text)
    before = admitted_count(instance, "hotel")
    use_all_tokens(instance, HOTEL)
    taken = admitted_count(instance, "hotel")
    route = build_route("strict", Consistency.PRIMARY, service=OTHER_SERVICE)
    service = instance.services.configuration.service_by_name[SERVICE]
    services = {SERVICE: service, OTHER_SERVICE: service._replace(name=OTHER_SERVICE)}
    configure(instance, routes=(route,), service_by_name=services)
    announce()
    assert answer(client)[-2].startswith("DONE signed-")
    assert (before, admitted_count(instance, "hotel")) == (1, taken)


@pytest.mark.parametrize(
    "route",
    [
        build_route("bounded", Consistency.PRIMARY),
        build_route("bounded", Consistency.BOUNDED_STALENESS, max_staleness=ms(100)),
    ],
    ids=["primary", "lower staleness"],
)
def test_read_follows_a_stricter_route_that_came_during_its_wait(instance, route):
    # Guards against a read at a replica by a route that no longer allows it.
    client = open_session(instance, "bounded")
    client.query("WRITE 0 data")
    instance.run(ms(30))
    client.query("READ 0")
    assert instance.group.runs[-1].server != "a"
    for server in instance.group.server_by_id.values():
        server.lag = ms(3000)
    writer = instance.client("strict")
    writer.query("WRITE 1 data")
    instance.run(ms(400))
    for server_id in ("a", "b", "c"):
        instance.network.cut(f"{server_id}:1")
    instance.run(ms(10))
    for server in instance.group.server_by_id.values():
        server.work = ms(60)
    send(client, "READ 1")
    configure(instance, routes=(route,))
    lines = answer(client)
    assert lines[-2].startswith("DONE signed-"), lines
    run = instance.group.runs[-1]
    assert run.text == "READ 1"
    assert run.server == "a", run


def test_read_of_a_public_route_needs_no_fresh_store(instance):
    public = (build_route("bounded", Consistency.BOUNDED_STALENESS, is_public=True),)
    client = open_session(instance, "bounded", routes=public)
    client.query("READ 1")
    instance.store_is_reachable = False
    instance.run(ms(6000))
    lines = client.query("READ 1")
    assert "keys cannot be checked" not in lines[0], lines


def test_demand_of_a_waiting_operation_is_recorded_once(instance):
    client = open_session(instance)
    use_all_tokens(instance, HOTEL)
    recorded = []
    limiter = instance.services.limiter
    record = limiter.record_demand
    limiter.record_demand = lambda account, now: (
        recorded.append(account.name),
        record(account, now),
    )
    send_without_token(client, "READ 1")
    configure(instance, accounts={"key-1": HOTEL._replace(rate_per_s=19.0)})
    use_all_tokens(instance, HOTEL)
    answer(client)
    assert recorded == ["hotel"]


def test_wait_for_tokens_is_bounded_over_all_accounts_of_a_key(instance):
    # Guards against a statement that waits for a token of each account that its key
    # moves to, each time up to the limit (80 ms).
    instance.services.limiter.try_admit = lambda account, now: ms(30)
    accounts = [build_account(f"shop-{n}") for n in range(20)]
    client = open_session(instance, accounts={"key-1": accounts[0], "key-2": HOTEL})
    client.sent += 1
    client.send(f"QUERY {client.request_id(client.sent)} READ 1")
    lines, elapsed = [], 0
    while not lines and elapsed < 1000:
        instance.run(ms(20))
        elapsed += 20
        holder = accounts[elapsed // 20 % len(accounts)]
        configure(instance, accounts={"key-1": holder, "key-2": HOTEL})
        lines += client.received()
    assert lines and lines[0].startswith("ERR BUSY"), (elapsed, lines)
    assert elapsed <= 120, (elapsed, lines)


@pytest.mark.parametrize("text", STATEMENTS)
def test_key_that_moves_after_the_admission_counts_for_its_holder(instance, text):
    # Guards against an operation that the limit of its account does not count.
    client = open_session(instance)
    announce = send_without_primary(client, text)
    configure(instance, **MOVED)
    announce()
    assert answer(client)[-2].startswith("DONE signed-")
    assert accounts_of_runs(instance, "READ", "WRITE", "EXEC") == ["shop"]
    assert admitted_count(instance, "shop") == 1


def test_key_that_moves_after_the_admission_to_an_account_at_its_limit(instance):
    shop = build_account("shop", rate_per_s=20.0, burst=1.0)
    client = open_session(instance)
    announce = send_without_primary(client, "WRITE 1 data")
    configure(instance, accounts={"key-1": shop, "key-2": HOTEL})
    limiter = instance.services.limiter
    limiter.try_admit = lambda account, now: ms(0 if account is HOTEL else 1000)
    announce()
    lines = answer(client)
    assert lines[0].startswith("ERR BUSY"), lines
    assert instance.group.runs == []


def test_demand_of_a_moved_key_is_recorded_for_both_accounts(instance):
    # Guards against an account whose limit is shared out without this demand.
    client = open_session(instance)
    use_all_tokens(instance, HOTEL)
    recorded = []
    limiter = instance.services.limiter
    record = limiter.record_demand
    limiter.record_demand = lambda account, now: (
        recorded.append(account.name),
        record(account, now),
    )
    send_without_token(client, "READ 1")
    configure(instance, **MOVED)
    answer(client)
    assert recorded == ["hotel", "shop"]
