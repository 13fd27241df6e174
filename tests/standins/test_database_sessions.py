import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.databases.exceptions import (
    AnswerLost,
    RefusalReason,
    StatementRefused,
)
from standins.database.app import DatabaseStandin, GroupSettings
from tests.standins.builders import (
    INSERT,
    SCHEMA,
    Server,
    call_counts,
    read,
    running_standin,
    send_raw,
    wait_until,
    write,
)
from tests.standins.test_database_replication import refusal_reason


@pytest.fixture
def server():
    settings = GroupSettings("a", "orders-1", "junction", {}, True)
    with running_standin(DatabaseStandin(settings, SCHEMA)) as address:
        server = Server(address)
        yield server
        server.close()


def test_connections_above_the_cap_are_refused(server):
    server.faults(connections=2)
    first = server.connect()
    server.connect()
    assert refusal_reason(server.connect) is RefusalReason.TOO_MANY_CONNECTIONS
    server.disconnect(first)
    assert refusal_reason(server.execute, first, read()) is RefusalReason.NO_CONNECTION
    wait_until(lambda: len(send_raw(server.address, "/received").data) > 0)
    wait_until(lambda: _connects(server))


def _connects(server):
    try:
        return bool(server.connect())
    except StatementRefused:
        return False


def test_opening_a_connection_takes_time_and_can_be_refused(server):
    server.faults(connect_ms=60)
    started = time.monotonic()
    server.connect()
    assert time.monotonic() - started >= 0.06
    server.faults(refuse_connections=True)
    with pytest.raises(AnswerLost):
        server.connect()


def test_connection_belongs_to_the_socket_that_opened_it(server):
    connection = server.connect()
    body = b'{"connection":"%s","term":1}' % connection.encode()
    response = send_raw(server.address, "/begin", body)
    assert response.json()["refused"] == "no_connection"


def test_end_of_the_socket_rolls_back_and_frees_the_write_lock(server):
    connection = server.connect()
    server.begin(connection, 1)
    server.execute(connection, write(INSERT, "open"))
    server.disconnect(connection)
    server.run(write(INSERT, "next"))
    assert server.items() == ["next"]


def test_slots_bound_concurrent_statements_and_the_queue_is_bounded(server):
    connections = [server.connect() for _ in range(6)]
    server.faults(slots=2, queue=2, service_ms=150)

    def run(connection):
        try:
            server.execute(connection, read())
            return time.monotonic()
        except StatementRefused as error:
            return error.reason

    started = time.monotonic()
    with ThreadPoolExecutor(6) as executor:
        results = list(executor.map(run, connections))
    done = sorted(result - started for result in results if isinstance(result, float))
    assert results.count(RefusalReason.OVERLOADED) == 2
    assert len(done) == 4
    assert done[1] < done[2] - 0.1 and done[2] >= 0.3


def test_transaction_is_one_log_entry_and_reads_see_it_after_the_commit(server):
    connection = server.connect()
    server.begin(connection, 1)
    server.execute(connection, write(INSERT, "a"))
    server.execute(connection, write(INSERT, "b"))
    assert server.execute(connection, read()).rows == [["a"], ["b"]]
    assert server.items() == []
    assert server.commit(connection, 1) == LogPosition(1, 2)
    assert server.items() == ["a", "b"]
    assert refusal_reason(server.commit, connection, 1) is RefusalReason.NO_TRANSACTION


def test_failed_statement_is_undone_alone(server):
    connection = server.connect()
    server.begin(connection, 1)
    server.execute(connection, write(INSERT, "a"))
    twice = write("INSERT INTO orders (item) VALUES ('b'), ('a')")
    assert refusal_reason(server.execute, connection, twice) is RefusalReason.SQL_ERROR
    server.commit(connection, 1)
    assert server.items() == ["a"]


def test_rollback_leaves_nothing(server):
    connection = server.connect()
    server.begin(connection, 1)
    server.execute(connection, write(INSERT, "a"))
    server.rollback(connection)
    assert server.items() == []
    assert server.status().stored_position == LogPosition(1, 1)


def test_second_writer_waits_and_is_refused_after_its_timeout(server):
    server.faults(lock_timeout_ms=80)
    connection = server.connect()
    server.begin(connection, 1)
    server.execute(connection, write(INSERT, "a"))
    assert refusal_reason(server.run, write(INSERT, "b")) is RefusalReason.OVERLOADED
    server.faults(lock_timeout_ms=3000)
    with ThreadPoolExecutor(1) as executor:
        waiting = executor.submit(server.run, write(INSERT, "b"))
        server.commit(connection, 1)
        assert waiting.result().position == LogPosition(1, 3)


def test_transaction_whose_reads_have_changed_cannot_write(server):
    connection = server.connect()
    server.begin(connection, 1)
    server.execute(connection, read())
    server.run(write(INSERT, "other"))
    late = write(INSERT, "late")
    assert refusal_reason(server.execute, connection, late) is RefusalReason.SQL_ERROR
    assert server.items() == ["other"]


def test_idle_transaction_is_rolled_back(server):
    server.faults(transaction_idle_ms=50)
    connection = server.connect()
    server.begin(connection, 1)
    server.execute(connection, write(INSERT, "a"))
    server.run(write(INSERT, "b"))
    late_statement = write(INSERT, "c")
    assert (
        refusal_reason(server.execute, connection, late_statement)
        is RefusalReason.NO_TRANSACTION
    )
    assert server.items() == ["b"]


@pytest.mark.parametrize(
    "sql",
    [
        "BEGIN",
        "COMMIT",
        "SAVEPOINT s",
        "PRAGMA query_only = OFF",
        "ATTACH ':memory:' AS other",
        "CREATE TEMP TABLE t (x)",
        "INSERT INTO orders (item) VALUES (random())",
        "INSERT INTO orders (item) VALUES (CURRENT_TIMESTAMP)",
        "INSERT INTO orders (item) VALUES (datetime('now'))",
        "INSERT INTO orders (item) VALUES ('a'); DELETE FROM orders",
        "INSERT INTO orders (item) VALUES (?)",
        "SELEC",
        "SELECT '\x00",
    ],
)
def test_statement_that_cannot_be_replicated_or_parsed_is_refused(server, sql):
    assert refusal_reason(server.run, write(sql)) is RefusalReason.SQL_ERROR
    assert server.status().stored_position == LogPosition(1, 1)
    assert server.run(write(INSERT, "next")).row_count == 1


def test_hidden_random_default_is_refused_when_it_runs(server):
    server.run(write("CREATE TABLE t (a, b DEFAULT (random()))"))
    hidden = write("INSERT INTO t (a) VALUES (1)")
    assert refusal_reason(server.run, hidden) is RefusalReason.SQL_ERROR


def test_select_sent_as_a_write_adds_no_log_entry(server):
    assert server.run(write("SELECT 1")).rows == [[1]]
    assert server.status().stored_position == LogPosition(1, 1)


def test_rows_and_blobs_are_json(server):
    rows = server.run(read("SELECT 1 AS n, 'x' AS t, NULL AS e, x'ff' AS b, 1.5 AS f"))
    assert rows.columns == ["n", "t", "e", "b", "f"]
    assert rows.rows == [[1, "x", None, "ff", 1.5]]


@pytest.mark.parametrize(
    "path, body, reason",
    [
        ("/execute", b"{}", "connection"),
        ("/execute", b"\xff", "not JSON"),
        ("/fence", b'{"term":0,"candidate":"x"}', "term"),
        ("/fence", b'{"term":true,"candidate":"x"}', "term"),
        ("/promote", b'{"term":1}', "candidate"),
        ("/follow", b'{"term":1,"primary":"nowhere"}', "primary"),
        ("/status", b'{"position":[1]}', "position"),
        ("/replicate", b'{"term":1,"previous":[1,-1],"ship_lag_ms":0}', "previous"),
        ("/faults", b'{"slots":0}', "slots"),
    ],
)
def test_bad_input_is_refused_with_the_reason(server, path, body, reason):
    response = send_raw(server.address, path, body)
    assert response.status == 400
    assert reason in response.json()["error"]
    assert call_counts(server.address)["bad_requests"] == 1


def test_unknown_route_is_refused(server):
    assert send_raw(server.address, "/nothing").status == 404
