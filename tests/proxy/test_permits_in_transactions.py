"""Configuration changes in open transactions."""

import pytest

from bulrushloom.proxy.configuration import Consistency
from tests.proxy.builders import SERVICE, build_group, build_route, ms
from tests.proxy.change_builders import (
    HOTEL,
    MOVED,
    OTHER_SERVICE,
    SHOP,
    STATEMENTS,
    WITHDRAWN,
    accounts_of_runs,
    answer,
    assert_nothing_left,
    configure,
    open_session,
    send,
    send_without_primary,
    use_all_tokens,
)


@pytest.mark.parametrize("is_replaced", [False, True])
@pytest.mark.parametrize("change", [MOVED, WITHDRAWN])
def test_refused_commit_whose_permit_ends_leaves_nothing(instance, change, is_replaced):
    client = open_session(instance)
    client.query("BEGIN")
    client.query("WRITE 1 data")
    instance.group.primary().statements_to_refuse = 1
    send(client, "COMMIT")
    if is_replaced:
        instance.services.apply_group_records({SERVICE: build_group(old_id="a")})
    configure(instance, **change)
    lines = answer(client)
    assert lines[0].startswith(("ERR ABORTED", "ERR NOAUTH")), lines
    assert lines[1].startswith("READY I"), lines
    assert instance.group.acknowledged == []
    assert_nothing_left(instance)


@pytest.mark.parametrize("change", [MOVED, WITHDRAWN])
def test_sent_commit_whose_permit_ends_is_answered_by_the_server(instance, change):
    client = open_session(instance)
    client.query("BEGIN")
    client.query("WRITE 1 data")
    instance.group.primary().work = ms(50)
    send(client, "COMMIT")
    configure(instance, **change)
    assert answer(client)[0].startswith("DONE signed-")
    assert len(instance.group.acknowledged) == 1
    assert_nothing_left(instance)


def test_aborted_transaction_of_a_moved_key_tells_when_to_come_back(instance):
    client = open_session(instance)
    client.query("BEGIN")
    client.query("WRITE 1 data")
    configure(instance, **MOVED)
    lines = client.query("WRITE 2 data")
    assert lines[0].startswith("ERR ABORTED"), lines
    assert "retry after" in lines[0], lines


@pytest.mark.parametrize("change", [MOVED, WITHDRAWN])
def test_pipelined_transaction_whose_key_changes_before_its_begin(instance, change):
    client = open_session(instance)
    use_all_tokens(instance, HOTEL)
    for text in ("BEGIN", "WRITE 1 data", "COMMIT"):
        client.sent += 1
        client.send(f"QUERY {client.request_id(client.sent)} {text}")
    instance.run(ms(5))
    configure(instance, **change)
    lines = answer(client)
    accounts = set(accounts_of_runs(instance, "WRITE", "COMMIT"))
    assert accounts == ({"shop"} if change is MOVED else set()), lines
    assert_nothing_left(instance)


CHANGES_IN_TRANSACTION = {
    "removed": (False, (build_route("own", Consistency.PRIMARY),)),
    "no longer public": (True, (build_route("strict", Consistency.PRIMARY),)),
    "moved": (
        False,
        (build_route("strict", Consistency.PRIMARY, service=OTHER_SERVICE),),
    ),
    "public": (
        False,
        (build_route("strict", Consistency.PRIMARY, is_public=True),),
    ),
}


@pytest.mark.parametrize("change", CHANGES_IN_TRANSACTION)
def test_change_to_a_route_applies_from_the_next_transaction(instance, change):
    was_public, routes = CHANGES_IN_TRANSACTION[change]
    public = (build_route("strict", Consistency.PRIMARY, is_public=True),)
    first = {"routes": public} if was_public else {}
    accounts = {"key-2": HOTEL} if was_public else {"key-1": HOTEL}
    client = open_session(instance, accounts=accounts, **first)
    client.query("BEGIN")
    client.query("WRITE 1 data")
    configure(instance, routes=routes, accounts=accounts)
    lines = client.query("WRITE 2 data")
    assert lines[-2].startswith("DONE signed-"), lines
    assert client.query("COMMIT")[0].startswith("DONE signed-")


def test_key_that_becomes_known_does_not_abort_a_public_transaction(instance):
    public = (build_route("strict", Consistency.PRIMARY, is_public=True),)
    client = open_session(instance, routes=public, accounts={"key-2": HOTEL})
    client.query("BEGIN")
    client.query("WRITE 1 data")
    configure(instance, routes=public, accounts={"key-1": SHOP, "key-2": HOTEL})
    lines = client.query("WRITE 2 data")
    assert lines[-2].startswith("DONE signed-"), lines


def test_key_withdrawn_on_a_public_route_does_not_abort_a_transaction(instance):
    public = (build_route("strict", Consistency.PRIMARY, is_public=True),)
    client = open_session(instance, routes=public)
    client.query("BEGIN")
    client.query("WRITE 1 data")
    configure(instance, routes=public, accounts={"key-2": HOTEL})
    lines = client.query("WRITE 2 data")
    assert lines[-2].startswith("DONE signed-"), lines


def test_idle_limit_that_is_raised_applies_to_an_open_transaction(instance):
    client = open_session(instance, transaction_idle_limit=ms(500))
    client.query("BEGIN")
    client.query("WRITE 1 data")
    configure(instance, transaction_idle_limit=ms(5000))
    instance.run(ms(900))
    lines = client.query("WRITE 2 data")
    assert lines[-2].startswith("DONE signed-"), lines


@pytest.mark.parametrize("text", ["WRITE 2 data", "READ 1", "COMMIT"])
def test_open_transaction_is_refused_while_keys_cannot_be_checked(instance, text):
    # Guards against a withdrawn key that works in an open transaction for longer than
    # its bound, at an instance that does not reach the store.
    client = open_session(instance)
    client.query("BEGIN")
    client.query("READ 1")
    instance.store_is_reachable = False
    runs_before = 0
    for _ in range(3):
        instance.run(ms(1500))
        lines = client.query("READ 1")
        runs_before = len(instance.group.runs)
        assert instance.services.store_freshness.age(instance.loop.now()) < ms(4700)
        assert lines[-2].startswith("DONE signed-"), lines
    instance.run(ms(500))
    lines = client.query(text)
    assert lines[0].startswith("ERR BUSY keys cannot be checked"), lines
    assert len(instance.group.runs) == runs_before


@pytest.mark.parametrize("text", [*STATEMENTS, "COMMIT"])
def test_no_transaction_begins_at_a_server_after_its_permit_ended(instance, text):
    # Guards against a BEGIN that occupies a connection of the former account.
    client = open_session(instance)
    client.query("BEGIN")
    announce = send_without_primary(client, text)
    before = next(instance.group.transaction_numbers)
    configure(instance, **MOVED)
    announce()
    assert answer(client)[0].startswith("ERR ABORTED")
    assert next(instance.group.transaction_numbers) == before + 1
