"""Sessions at their limits, with simulated servers: what runs and what is answered."""

from datetime import timedelta

import pytest

from bulrushloom.proxy.clients.memory_budget import AccountKind, MemoryLimits
from bulrushloom.proxy.clients.session_state import MAX_NAMES
from bulrushloom.proxy.clients.watch import ClientWatch
from standins.platform.network import MemoryStream
from tests.proxy.builders import SimulatedClient, ms

SECOND = timedelta(seconds=1)
KILOBYTE = 1024
LARGE = "x" * 150 * KILOBYTE


@pytest.fixture
def full(instance):
    """Return an instance whose memory is used by a connection that stays open."""
    memory = instance.services.memory
    memory.limits = MemoryLimits(300 * KILOBYTE, 600 * KILOBYTE)
    account = memory.open_account(AccountKind.CLIENT)
    account.set_held(500 * KILOBYTE)
    instance.other_account = account
    return instance


def watch(instance, *clients):
    watch = ClientWatch(instance.services, {client.session for client in clients})
    instance.loop.spawn(watch.watch_memory())
    instance.loop.spawn(watch.watch_times())
    return watch


def texts(instance):
    return [run.text for run in instance.group.runs]


def test_large_statement_without_memory_is_refused_and_not_run(full):
    client = full.client("strict")
    lines = client.query(f"WRITE 1 {LARGE}")
    assert lines[0].startswith("ERR BUSY") and "retry after" in lines[0]
    assert not any(text.startswith("WRITE") for text in texts(full))
    assert client.query("READ 1")[-2].startswith("DONE signed-")
    full.other_account.close()
    assert client.query(f"WRITE 1 {LARGE}")[-2].startswith("DONE signed-")


def test_transaction_fails_with_a_statement_that_was_refused(full):
    # Guards against a commit of a transaction that lacks one of its statements.
    client = full.client("strict")
    client.query("BEGIN")
    client.query("WRITE 1 first")
    assert client.query(f"WRITE 2 {LARGE}")[0].startswith("ERR ABORTED")
    assert client.query("COMMIT")[0].startswith("ERR ABORTED")
    full.run(SECOND)
    assert not any("2" in commit.request_ids for commit in full.group.primary().log)
    assert "COMMIT" not in texts(full)


def test_memory_of_a_statement_is_returned_when_it_ends(instance):
    client, memory = instance.client("strict"), instance.services.memory
    before = memory.used
    assert client.query(f"WRITE 1 {LARGE}")[-2].startswith("DONE")
    assert memory.used == before
    client.query(f"SET v {LARGE}")
    assert memory.used >= before + len(LARGE)
    client.stream.close()
    instance.run(SECOND)
    assert memory.used < before
    # Guards against values that stay in memory until a garbage collection.
    assert not client.session._state.values


def test_message_that_has_arrived_is_not_refused_by_a_close(instance):
    # Guards against a refusal ("not run") of a statement that runs in the same turn.
    client = instance.client("strict")
    assert client.session.is_closable and client.session.is_idle
    line = client.session._pending_line
    line.set_result(b"QUERY now WRITE 1 x")
    assert not client.session.is_closable and not client.session.is_idle
    instance.run(SECOND)
    assert "DONE signed-now" in client.received()


def test_statement_of_a_closed_session_does_not_run(instance):
    client = instance.client("strict")
    client.session._pending_line.set_result(b"QUERY late WRITE 1 x")
    client.session.refuse("test")
    instance.run(SECOND)
    assert not any("late" in run.request_id for run in instance.group.runs)


def test_heaviest_session_is_told_that_nothing_ran_and_closed(full):
    client, other = full.client("strict"), full.client("strict")
    watch(full, client, other)
    full.other_account.set_held(200 * KILOBYTE)
    client.query(f"SET v {LARGE[: 90 * KILOBYTE]}")
    full.other_account.set_held(500 * KILOBYTE)
    full.run(SECOND * 2)
    assert client.is_ended
    assert client.received()[0].startswith("ERR BUSY the instance has no memory")
    assert not other.is_ended
    text = full.services.metrics.text()
    assert b'clients_closed_total{case="memory of a client"} 1' in text


def test_closed_session_with_a_transaction_is_told_that_it_is_rolled_back(instance):
    # Guards against a refusal as not run of a commit that was on its way: the client
    # would repeat the commit alone.
    client = instance.client("strict")
    client.query("BEGIN")
    client.query("WRITE 1 first")
    client.session.refuse("test")
    instance.run(SECOND)
    assert client.is_ended
    assert client.received()[0].startswith("ERR ABORTED")
    assert "COMMIT" not in texts(instance)


def test_client_that_stops_half_way_is_closed_and_an_idle_one_is_kept(instance):
    client, idle = instance.client("strict"), instance.client("strict")
    watch(instance, client, idle)
    client.stream.write(b"QUERY q WRI")
    instance.run(SECOND * 14)
    assert not client.is_ended
    instance.run(SECOND * 3)
    assert client.is_ended
    instance.run(SECOND * 600)
    assert not idle.is_ended
    assert idle.query("READ 1")[-2].startswith("DONE")


def test_client_with_a_long_start_message_is_closed(instance):
    # Guards against clients without a key that use memory before they are refused.
    client = instance.client("strict")
    client.session.is_started = False
    client.stream.write(b"x" * 40_000)
    instance.run(SECOND)
    assert client.is_ended


def test_client_that_sends_no_start_message_is_closed(instance):
    client = SimulatedClient(instance)
    instance.run(SECOND * 4)
    assert not client.is_ended
    instance.run(SECOND * 2)
    assert client.is_ended


def test_names_beyond_the_limit_are_refused_and_the_session_goes_on(instance):
    client = instance.client("strict")
    state = client.session._state
    for number in range(MAX_NAMES):
        state.set_value(b"v%d" % number, b"")
    assert client.query("SET one-more x")[0].startswith("ERR BADMSG")
    assert client.query("SET v1 x")[0] == "DONE -"


def test_new_session_replaces_an_idle_one_at_the_limit(instance):
    clients = [instance.client("strict") for _ in range(3)]
    limits = instance.services.limits
    instance.services.limits = limits._replace(max_sessions=3)
    client_watch = watch(instance, *clients)
    instance.run(ms(100))
    assert not client_watch.make_room_for_session(MemoryStream(instance.loop))
    instance.run(SECOND * 3)
    assert client_watch.make_room_for_session(MemoryStream(instance.loop))
    instance.run(SECOND)
    assert [client.is_ended for client in clients].count(True) == 1
