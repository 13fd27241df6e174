"""Configuration changes while a statement waits: who it runs for, and where."""

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
    configure,
    open_session,
    send,
    send_without_primary,
    send_without_token,
    use_all_tokens,
)


@pytest.mark.parametrize("database", ["strict", "bounded", "own"])
@pytest.mark.parametrize("text", STATEMENTS)
def test_key_withdrawn_during_the_wait_for_a_token_is_refused(instance, text, database):
    # Guards against a statement that runs for an account without a name (issue 34).
    client = open_session(instance, database)
    send_without_token(client, text)
    configure(instance, **WITHDRAWN)
    assert answer(client)[0].startswith("ERR NOAUTH")
    assert instance.group.runs == []


@pytest.mark.parametrize("text", STATEMENTS)
def test_key_moved_during_the_wait_for_a_token_runs_for_its_holder(instance, text):
    client = open_session(instance)
    send_without_token(client, text)
    configure(instance, **MOVED)
    assert answer(client)[-2].startswith("DONE signed-")
    assert accounts_of_runs(instance, "READ", "WRITE", "EXEC") == ["shop"]


@pytest.mark.parametrize("is_limited", [True, False])
def test_operation_of_a_moved_key_counts_for_the_rate_of_its_holder(
    instance, is_limited
):
    # Guards against an operation that the limit of its account does not count.
    shop = build_account("shop", rate_per_s=20.0, burst=1.0) if is_limited else SHOP
    client = open_session(instance)
    if is_limited:
        use_all_tokens(instance, shop)
    before = admitted_count(instance, "shop")
    send_without_token(client, "READ 1")
    configure(instance, accounts={"key-1": shop, "key-2": HOTEL})
    assert answer(client)[-2].startswith("DONE signed-")
    assert accounts_of_runs(instance, "READ") == ["shop"]
    assert admitted_count(instance, "shop") == before + 1


@pytest.mark.parametrize("text", STATEMENTS)
def test_key_withdrawn_during_the_wait_for_a_primary_is_refused(instance, text):
    client = open_session(instance)
    announce = send_without_primary(client, text)
    configure(instance, **WITHDRAWN)
    announce()
    assert answer(client)[0].startswith("ERR NOAUTH")
    assert instance.group.runs == []


@pytest.mark.parametrize("text", STATEMENTS)
def test_key_moved_during_the_wait_for_a_primary_runs_for_its_holder(instance, text):
    client = open_session(instance)
    announce = send_without_primary(client, text)
    configure(instance, **MOVED)
    announce()
    assert answer(client)[-2].startswith("DONE signed-")
    assert accounts_of_runs(instance, "READ", "WRITE", "EXEC") == ["shop"]


def test_key_that_returns_to_its_account_during_a_wait_is_served(instance):
    client = open_session(instance)
    announce = send_without_primary(client, "WRITE 1 data")
    configure(instance, **MOVED)
    instance.run(ms(50))
    configure(instance)
    announce()
    assert answer(client)[0].startswith("DONE signed-")
    assert accounts_of_runs(instance, "WRITE") == ["hotel"]


def occupy_servers(instance):
    for server in instance.group.server_by_id.values():
        server.work = ms(60)


@pytest.mark.parametrize("text", STATEMENTS)
@pytest.mark.parametrize(
    ("change", "start"), [(WITHDRAWN, "ERR NOAUTH"), (MOVED, "DONE signed-")]
)
def test_key_changed_while_a_connection_is_opened(instance, text, change, start):
    # A connection that is being opened occupies a slot of its server.
    client = open_session(instance)
    occupy_servers(instance)
    send(client, text)
    configure(instance, **change)
    assert [line for line in answer(client) if line.startswith(start)]
    assert "hotel" not in accounts_of_runs(instance, "READ", "WRITE", "EXEC")


@pytest.mark.parametrize("text", STATEMENTS)
def test_key_withdrawn_before_a_busy_server_is_tried_again(instance, text):
    client = open_session(instance)
    client.query("READ 1")
    # A refused read is sent a second time at once.
    for server in instance.group.server_by_id.values():
        server.statements_to_refuse = 2
    send(client, text)
    configure(instance, **WITHDRAWN)
    assert answer(client)[0].startswith("ERR NOAUTH")
    assert [run.text for run in instance.group.runs] == ["READ 1"]


def test_copy_of_a_read_is_not_sent_after_its_key_was_moved(instance):
    # Guards against a hedged copy that runs for the former account.
    client = open_session(instance, "bounded")
    client.query("WRITE 1 data")
    client.query("READ 1")
    served_by = instance.group.runs[-1].server
    for server_id in {"b", "c"} - {served_by}:
        instance.network.cut(f"{server_id}:1")
    instance.run(ms(10))
    before = len(instance.group.runs)
    for server in instance.group.server_by_id.values():
        server.work = ms(300)
    send(client, "READ 2")
    instance.run(ms(230))
    configure(instance, **MOVED)
    assert answer(client)[-2].startswith("DONE signed-")
    instance.run(ms(2000))
    assert [run.account for run in instance.group.runs[before:]] == ["hotel"]


@pytest.mark.parametrize("begin", ["BEGIN", "BEGIN READ"])
def test_key_withdrawn_before_a_transaction_begins_is_refused(instance, begin):
    client = open_session(instance)
    send_without_token(client, begin)
    configure(instance, **WITHDRAWN)
    lines = answer(client)
    assert lines[0].startswith("ERR NOAUTH")
    assert lines[1].startswith("READY I")
    assert client.query("READ 1")[0].startswith("ERR NOAUTH")
    assert instance.group.runs == []


@pytest.mark.parametrize("text", STATEMENTS)
@pytest.mark.parametrize(
    ("change", "code"), [(WITHDRAWN, "NOAUTH"), (MOVED, "ABORTED")]
)
def test_key_changed_during_the_first_statement_of_a_transaction(
    instance, text, change, code
):
    client = open_session(instance)
    client.query("BEGIN")
    announce = send_without_primary(client, text)
    configure(instance, **change)
    announce()
    assert answer(client)[0].startswith(f"ERR {code}")
    assert client.query("ROLLBACK")[-1].startswith("READY I")
    assert instance.group.runs == []


@pytest.mark.parametrize("text", [*STATEMENTS, "COMMIT"])
@pytest.mark.parametrize(
    ("change", "code"), [(WITHDRAWN, "NOAUTH"), (MOVED, "ABORTED")]
)
def test_key_changed_before_a_transaction_tries_a_busy_server_again(
    instance, text, change, code
):
    client = open_session(instance)
    client.query("BEGIN")
    client.query("WRITE 1 data")
    instance.group.primary().statements_to_refuse = 1
    send(client, text)
    configure(instance, **change)
    assert answer(client)[0].startswith(f"ERR {code}")
    assert len(instance.group.runs) == 1
    assert instance.group.acknowledged == []
    assert all(not s.transaction for s in instance.group.primary().connections)


def test_route_removed_during_the_wait_for_a_token_is_refused(instance):
    client = open_session(instance)
    send_without_token(client, "READ 1")
    configure(instance, routes=(build_route("own", Consistency.PRIMARY),))
    assert answer(client)[0].startswith("ERR NODB")
    assert instance.group.runs == []


def test_route_removed_during_the_wait_for_a_primary_is_refused(instance):
    client = open_session(instance)
    announce = send_without_primary(client, "WRITE 1 data")
    configure(instance, routes=(build_route("own", Consistency.PRIMARY),))
    announce()
    assert answer(client)[0].startswith("ERR NODB")
    assert instance.group.runs == []


@pytest.mark.parametrize("wait", [send_without_token, send_without_primary])
def test_route_that_ceases_to_be_public_during_a_wait_needs_a_key(instance, wait):
    public = build_route("strict", Consistency.PRIMARY, is_public=True)
    is_limited = wait is send_without_token
    accounts = {"key-1": HOTEL} if is_limited else {"key-2": HOTEL}
    client = open_session(instance, routes=(public,), accounts=accounts)
    announce = wait(client, "READ 1")
    configure(instance, accounts={"key-2": HOTEL})
    if announce:
        announce()
    assert answer(client)[0].startswith("ERR NOAUTH")
    assert instance.group.runs == []


@pytest.mark.parametrize("wait", [send_without_token, send_without_primary])
@pytest.mark.parametrize("text", STATEMENTS)
def test_route_moved_to_another_service_during_a_wait(instance, wait, text):
    other = instance.add_group(OTHER_SERVICE, ("d", "e", "f"))
    client = open_session(instance)
    announce = wait(client, text)
    route = build_route("strict", Consistency.PRIMARY, service=OTHER_SERVICE)
    service = instance.services.configuration.service_by_name[SERVICE]
    services = {SERVICE: service, OTHER_SERVICE: service._replace(name=OTHER_SERVICE)}
    configure(instance, routes=(route,), service_by_name=services)
    if announce:
        announce()
    assert answer(client)[-2].startswith("DONE signed-")
    assert instance.group.runs == []
    assert [run.account for run in other.runs] == ["hotel"]


def test_open_transaction_keeps_its_route(instance):
    # A change to a route applies from the next transaction onward.
    instance.add_group(OTHER_SERVICE, ("d", "e", "f"))
    client = open_session(instance)
    client.query("BEGIN")
    announce = send_without_primary(client, "WRITE 1 data")
    route = build_route("strict", Consistency.PRIMARY, service=OTHER_SERVICE)
    configure(instance, routes=(route,))
    announce()
    assert answer(client)[-2].startswith("DONE signed-")
    assert client.query("COMMIT")[0].startswith("DONE signed-")
    assert accounts_of_runs(instance, "WRITE", "COMMIT") == ["hotel", "hotel"]


UNRELATED_CHANGES = {
    "another key": {"accounts": {"key-1": HOTEL, "key-2": SHOP}},
    "another limit": {"accounts": {"key-1": HOTEL._replace(rate_per_s=21.0)}},
    "another timeout": {
        "routes": (
            build_route("strict", Consistency.PRIMARY, statement_timeout=ms(1100)),
        )
    },
    "another route": {
        "routes": (
            build_route("strict", Consistency.PRIMARY),
            build_route("more", Consistency.PRIMARY),
        )
    },
}


@pytest.mark.parametrize("change", UNRELATED_CHANGES.values(), ids=UNRELATED_CHANGES)
@pytest.mark.parametrize("wait", [send_without_token, send_without_primary])
@pytest.mark.parametrize("text", STATEMENTS)
def test_unrelated_change_does_not_end_a_wait(instance, change, wait, text):
    client = open_session(instance)
    announce = wait(client, text)
    for _ in range(3):
        configure(instance, **change)
        instance.run(ms(5))
    if announce:
        announce()
    assert answer(client)[-2].startswith("DONE signed-")
    assert accounts_of_runs(instance, "READ", "WRITE", "EXEC") == ["hotel"]


@pytest.mark.parametrize("change", UNRELATED_CHANGES.values(), ids=UNRELATED_CHANGES)
def test_unrelated_change_takes_no_second_token(instance, change):
    client = open_session(instance)
    announce = send_without_primary(client, "WRITE 1 data")
    before = admitted_count(instance, "hotel")
    configure(instance, **change)
    announce()
    assert answer(client)[0].startswith("DONE signed-")
    assert admitted_count(instance, "hotel") == before == 1


@pytest.mark.parametrize("change", UNRELATED_CHANGES.values(), ids=UNRELATED_CHANGES)
def test_unrelated_change_does_not_abort_a_transaction(instance, change):
    client = open_session(instance)
    client.query("BEGIN")
    client.query("WRITE 1 data")
    instance.group.primary().statements_to_refuse = 1
    send(client, "COMMIT")
    configure(instance, **change)
    assert answer(client)[0].startswith("DONE signed-")
    assert len(instance.group.acknowledged) == 1


def test_key_whose_route_becomes_public_during_a_wait_is_served(instance):
    client = open_session(instance)
    announce = send_without_primary(client, "READ 1")
    public = build_route("strict", Consistency.PRIMARY, is_public=True)
    configure(instance, routes=(public,))
    announce()
    assert answer(client)[-2].startswith("DONE signed-")
    assert accounts_of_runs(instance, "READ") == ["hotel"]
