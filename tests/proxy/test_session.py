"""Sessions with simulated servers: where statements run, and what clients receive."""

from datetime import timedelta

import pytest

from bulrushloom.proxy.configuration import Consistency
from bulrushloom.proxy.failover.groups import GroupPhase
from bulrushloom.proxy.primary_wait import expected_time_left
from tests.proxy.builders import (
    SERVICE,
    build_account,
    build_configuration,
    build_group,
    build_route,
    ms,
)


def runs_starting_with(instance, word):
    return [run for run in instance.group.runs if run.text.startswith(word)]


def test_read_returns_the_rows_and_signature_of_its_own_run(instance):
    # Guards against returning rows or the signature of another statement.
    lines = instance.client("strict").query("READ 1a")
    run = instance.group.runs[-1]
    assert lines[:2] == [f"ROW {run.request_id}", f"DONE signed-{run.request_id}"]
    assert lines[2].startswith("READY I")


def test_session_start_refuses_unknown_database_and_key(instance):
    assert instance.client("nowhere").start_answer[0].startswith("ERR NODB")
    assert instance.client("strict", "stolen").start_answer[0].startswith("ERR NOAUTH")
    assert instance.group.runs == []


def test_servers_receive_the_account_but_not_the_key(instance):
    instance.client("strict").query("READ 1")
    assert instance.group.runs[-1].account == "hotel"


def test_session_values_are_applied_on_shared_connections(instance):
    # Guards against running a statement with the values of another session.
    first, second = instance.client("strict"), instance.client("strict")
    first.query("SET zone east")
    second.query("SET zone west")
    for client, expected in ((first, "east"), (second, "west"), (first, "east")):
        client.query("READ 1")
        assert instance.group.runs[-1].values == {"zone": expected}


def test_session_without_values_gets_a_connection_without_values(instance):
    first, second = instance.client("strict"), instance.client("strict")
    first.query("SET zone east")
    first.query("READ 1")
    second.query("READ 1")
    assert instance.group.runs[-1].values == {}


def test_equal_prepared_names_of_two_sessions_do_not_collide(instance):
    first, second = instance.client("strict"), instance.client("strict")
    first.query("PREPARE s READ shape-1")
    second.query("PREPARE s WRITE shape-2")
    first.query("EXEC s 1")
    assert instance.group.runs[-1].shape == "shape-1"
    second.query("EXEC s 1 data")
    assert instance.group.runs[-1].shape == "shape-2"
    assert first.query("DEALLOC s")[0] == "DONE -"
    assert first.query("EXEC s 1")[0].startswith("ERR NOSTMT")


def test_transaction_stays_on_one_connection(instance):
    client, other = instance.client("strict"), instance.client("strict")
    client.query("BEGIN")
    client.query("READ 1")
    other.query("READ 2")
    client.query("WRITE 1 data")
    lines = client.query("COMMIT")
    assert lines[0].startswith("DONE signed-")
    own = [
        run
        for run in instance.group.runs
        if run.request_id.startswith(client.request_id(0)[:6])
    ]
    assert len({run.connection for run in own}) == 1
    assert len({run.transaction for run in own[:2]}) == 1
    assert {run.transaction for run in runs_starting_with(instance, "READ 2")} == {0}


def test_read_only_transaction_runs_at_a_replica(instance):
    instance.client("strict").query("READ 1")
    client = instance.client("bounded")
    client.query("BEGIN READ")
    client.query("READ 1")
    assert instance.group.runs[-1].server in ("b", "c")
    assert client.query("COMMIT")[0].startswith("DONE signed-")


def test_session_reads_its_own_write_while_replicas_lag(instance):
    # Guards against a session that does not see its own last write.
    for server_id in ("b", "c"):
        instance.group.server_by_id[server_id].lag = timedelta(seconds=2)
    client = instance.client("own")
    client.query("WRITE 1 data")
    written = instance.group.server_by_id["a"].received()
    client.query("READ 1")
    assert instance.group.runs[-1].position >= written


def test_reads_of_bounded_routes_prefer_replicas(instance):
    client = instance.client("bounded")
    instance.client("strict").query("READ 1")
    for _ in range(5):
        client.query("READ 1")
    servers = [run.server for run in runs_starting_with(instance, "READ 1")[1:]]
    assert servers.count("a") == 0


def test_refused_read_is_retried_at_another_server(instance):
    # Guards against refusing a statement that another server can run.
    client = instance.client("bounded")
    client.query("READ 1")
    for server in instance.group.server_by_id.values():
        server.statements_to_refuse = 1
    assert client.query("READ 1")[1].startswith("DONE")


def test_read_without_an_answer_is_retried(instance):
    client = instance.client("bounded")
    client.query("READ 1")
    for server_id in ("b", "c"):
        instance.group.server_by_id[server_id].answers_to_lose = 1
    assert client.query("READ 1")[1].startswith("DONE")


@pytest.mark.parametrize("fault", ["answers_to_lose", "answers_to_cut"])
def test_write_without_an_answer_is_not_retried(instance, fault):
    # Guards against applying a write twice, and against reporting it as not applied.
    client = instance.client("strict")
    setattr(instance.group.primary(), fault, 1)
    lines = client.query("WRITE 1 data")
    assert lines[0].split()[1] in ("INDOUBT", "TIMEOUT")
    assert len(runs_starting_with(instance, "WRITE")) == 1


def test_commit_of_writes_without_an_answer_is_in_doubt(instance):
    client = instance.client("strict")
    client.query("BEGIN")
    client.query("WRITE 1 data")
    instance.group.primary().answers_to_cut = 1
    lines = client.query("COMMIT")
    assert lines[0].split()[1] == "INDOUBT"
    assert lines[1].startswith("READY I")


def test_commit_without_writes_and_without_an_answer_is_aborted(instance):
    client = instance.client("strict")
    client.query("BEGIN")
    client.query("READ 1")
    instance.group.primary().answers_to_cut = 1
    assert client.query("COMMIT")[0].split()[1] == "ABORTED"


def test_statement_without_an_answer_aborts_its_transaction(instance):
    client = instance.client("strict")
    client.query("BEGIN")
    instance.group.primary().answers_to_cut = 1
    lines = client.query("WRITE 1 data")
    assert lines[0].split()[1] == "ABORTED"
    assert lines[1].startswith("READY E")
    assert client.query("READ 1")[0].startswith("ERR BADMSG")
    assert client.query("ROLLBACK")[-1].startswith("READY I")
    assert instance.group.acknowledged == []


def test_commit_of_a_failed_transaction_fails(instance):
    client = instance.client("strict")
    client.query("BEGIN")
    instance.group.primary().answers_to_cut = 1
    client.query("WRITE 1 data")
    lines = client.query("COMMIT")
    assert lines[0].startswith("ERR ABORTED")
    assert lines[1].startswith("READY I")


def test_disconnect_in_a_transaction_rolls_back(instance):
    client = instance.client("strict")
    client.query("BEGIN")
    client.query("WRITE 1 data")
    client.stream.close("leaves")
    instance.run(ms(500))
    assert client.is_ended
    assert instance.group.acknowledged == []
    assert all(not s.transaction for s in instance.group.primary().connections)


def test_idle_transaction_is_aborted(instance):
    client = instance.client("strict")
    client.query("BEGIN")
    client.query("WRITE 1 data")
    instance.run(timedelta(seconds=4))
    assert client.query("COMMIT")[0].startswith("ERR ABORTED")
    assert instance.group.acknowledged == []


def test_withdrawn_key_is_refused_in_an_open_session(instance):
    client = instance.client("strict")
    client.query("READ 1")
    instance.services.configuration = build_configuration(
        2, accounts={"key-2": build_account("other")}
    )
    assert client.query("READ 1")[0].startswith("ERR NOAUTH")
    assert len(instance.group.runs) == 1


def test_key_is_refused_when_the_last_store_read_is_too_old(instance):
    # Guards against accepting a withdrawn key while the store does not answer.
    client = instance.client("strict")
    client.query("READ 1")
    instance.store_is_reachable = False
    instance.run(timedelta(seconds=5))
    lines = client.query("READ 1")
    assert lines[0].startswith("ERR BUSY")
    assert "retry after" in lines[0]
    assert len(instance.group.runs) == 1


def test_primary_is_not_used_when_the_last_store_read_is_too_old(instance):
    # Guards against reading from a primary that was replaced during a partition.
    client = instance.client("strict")
    instance.store_is_reachable = False
    instance.run(timedelta(seconds=3))
    assert client.query("READ 1")[0].startswith("ERR BUSY")
    assert instance.group.runs == []


def test_bounded_read_without_a_recent_position_runs_at_the_primary(instance):
    client = instance.client("bounded")
    assert client.query("READ 1")[1].startswith("DONE")
    assert instance.group.runs[-1].server == "a"


def test_account_above_its_rate_is_refused_at_once(instance):
    slow = build_account("slow", rate_per_s=1.0, burst=1.0)
    instance.services.configuration = build_configuration(2, accounts={"key-1": slow})
    client = instance.client("strict")
    answers = [client.query("READ 1")[0] for _ in range(60)]
    refused = [answer for answer in answers if answer.startswith("ERR BUSY")]
    assert refused and "retry after" in refused[0]
    # Rate times window plus burst, with the excess and the slack of the settings.
    assert len(instance.group.runs) <= (1 * 5 + 1) * 1.1 + 20


def test_public_route_needs_no_key(instance):
    route = build_route("open", Consistency.BOUNDED_STALENESS, is_public=True)
    instance.services.configuration = build_configuration(2, (route,))
    client = instance.client("open", "")
    assert client.query("READ 1")[1].startswith("DONE")


@pytest.mark.parametrize(
    "line", ["QUERY", "QUERY x", "QUERY x EXPLODE 1", "HELLO", "QUERY x READ"]
)
def test_malformed_message_is_answered_and_the_session_continues(instance, line):
    client = instance.client("strict")
    client.send(line)
    instance.run(ms(50))
    assert client.received()[0].startswith("ERR BADMSG")
    assert client.query("READ 1")[1].startswith("DONE")


def test_line_beyond_the_limit_closes_the_session(instance):
    client = instance.client("strict")
    client.stream.write(b"QUERY x WRITE 1 " + b"d" * (1024 * 1024 + 10))
    instance.run(ms(100))
    assert client.is_ended
    assert instance.group.runs == []


def test_incomplete_line_runs_nothing(instance):
    client = instance.client("strict")
    client.stream.write(b"QUERY x WRITE 1 da")
    instance.run(timedelta(seconds=2))
    client.stream.close("leaves")
    instance.run(ms(100))
    assert instance.group.runs == []


def test_unresponsive_connection_does_not_delay_a_read_to_its_deadline(instance):
    client = instance.client("bounded")
    client.query("READ 1")
    for server_id in ("a", "b", "c"):
        instance.network.silence(f"{server_id}:1")
    assert client.query("READ 1", ms(900))[1].startswith("DONE")


def test_hedged_copy_of_an_answered_read_is_not_sent(instance):
    # Guards against a hedged copy that waits for its connection and then runs with
    # values that the session set in the meantime (soak seed 207).
    client = instance.client("bounded")
    client.query("WRITE 1 data")
    client.query("READ 1")
    client.query("SET zone west")
    served_by = instance.group.runs[-1].server
    # The copy has to open a connection, which occupies a slot for the same time.
    for server_id in {"b", "c"} - {served_by}:
        instance.network.cut(f"{server_id}:1")
    instance.run(ms(10))
    for server in instance.group.server_by_id.values():
        server.work = ms(300)
    before = len(instance.group.runs)
    assert client.query("READ 2")[1].startswith("DONE")
    client.query("SET zone east")
    instance.run(ms(2000))
    runs = instance.group.runs[before:]
    assert {run.values["zone"] for run in runs} == {"west"}


def test_write_waits_for_a_primary_that_is_expected_in_time(instance):
    # Guards against refusing a write although the failover is nearly complete.
    client = instance.client("strict")
    group = build_group(SERVICE, old_id="a")
    instance.services.apply_group_records({SERVICE: group})
    instance.run(ms(600))
    client.sent += 1
    client.send(f"QUERY {client.request_id(client.sent)} WRITE 1 data")
    instance.run(ms(100))
    assert client.received() == []
    instance.group.server_by_id["a"].is_primary = False
    instance.group.promote("b", ms(1))
    instance.run(ms(100))
    steady = group._replace(phase=GroupPhase.STEADY, primary_id="b", revision=11)
    instance.services.apply_group_records({SERVICE: steady})
    instance.run(ms(100))
    assert client.received()[-2].startswith("DONE")
    assert instance.group.runs[-1].server == "b"


def test_statement_is_refused_at_once_when_a_failover_has_just_begun(instance):
    client = instance.client("strict")
    instance.services.apply_group_records({SERVICE: build_group(SERVICE, old_id="a")})
    for text in ("WRITE 1 data", "READ 1"):
        answer = client.query(text, ms(100))[0]
        assert answer.startswith("ERR BUSY")
        # The client must not retry before the failover can be complete.
        assert int(answer.split()[-2]) >= 1000


def test_write_is_refused_at_once_when_a_failover_is_stuck(instance):
    # Guards against statements that wait until their deadlines while a failover is
    # overdue (grown trouble-1: one of four services for ten seconds).
    client = instance.client("strict")
    instance.services.apply_group_records({SERVICE: build_group(SERVICE, old_id="a")})
    instance.run(timedelta(seconds=6))
    sent_at = instance.loop.now()
    lines = client.query("WRITE 1 data")
    assert lines[0].startswith("ERR BUSY")
    assert instance.loop.now() - sent_at <= ms(50)


def test_expected_time_left_of_an_overdue_failover_grows():
    expected = (ms(1200), ms(2000))
    left = [expected_time_left(expected, ms(at)) for at in (0, 1100, 1300, 2000, 6000)]
    assert left == [ms(1200), ms(100), ms(700), ms(1000), ms(3000)]


def test_idle_transaction_is_aborted_and_logged_once_during_shutdown(
    instance, monkeypatch
):
    # Guards against a log line at each check of the shutdown.
    events = []
    client = instance.client("strict")
    client.query("BEGIN")
    monkeypatch.setattr(
        instance.services.log, "write", lambda event, **_: events.append(event)
    )
    for _ in range(5):
        client.session.abort_idle_transaction("the instance stops")
    assert events == ["transaction_ended"]
    assert client.query("COMMIT")[0].startswith("ERR ABORTED")
