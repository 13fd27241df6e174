from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import pytest

from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.databases.base import Role
from bulrushloom.databases.exceptions import (
    AnswerLost,
    RefusalReason,
    StatementRefused,
)
from tests.standins.builders import INSERT, read, wait_until, write
from tests.standins.test_database_replication import refusal_reason


def make_logs_diverge(group):
    """Write an entry that only the first server holds, then promote the second."""
    first, second, third = group.servers
    position = first.run(write(INSERT, "kept", record="r1")).position
    group.wait_until_held(position)
    group.fault_replicas(pause_replication=True)
    # Pulls that were already waiting when replication was paused end within the poll
    # interval.
    second.status(LogPosition(1, 99), timedelta(milliseconds=250))
    first.run(write(INSERT, "lost", record="r2"))
    assert second.status().stored_position == third.status().stored_position == position
    group.promote(1, term=2)
    group.fault_replicas(pause_replication=False)


def test_old_primary_discards_entries_that_the_new_log_lacks(group):
    first, second, third = group.servers
    make_logs_diverge(group)
    position = second.run(write(INSERT, "new", term=2)).position
    assert position == LogPosition(2, 4)
    first.follow(2, second.address)
    third.follow(2, second.address)
    group.wait_until_held(position)
    for server in (first, third):
        rows = server.run(read(term=2, position=position, wait_ms=3000)).rows
        assert rows == [["kept"], ["new"]]
    assert first.status().role is Role.REPLICA


def test_records_follow_the_log_through_a_failover(group):
    first, second, _ = group.servers
    make_logs_diverge(group)
    # A write whose answer is recorded does not run again; a discarded write does.
    again = second.run(write(INSERT, "kept", term=2, record="r1"))
    assert again.position == LogPosition(1, 2)
    second.run(write(INSERT, "lost", term=2, record="r2"))
    assert second.items(term=2) == ["kept", "lost"]
    first.follow(2, second.address)
    first.status(second.status().stored_position, timedelta(seconds=3))
    wait_until(lambda: first.items(term=2) == ["kept", "lost"])


def test_fenced_server_refuses_the_lower_term(group):
    first, second, third = group.servers
    first.fence(5, "watcher")
    assert refusal_reason(first.run, write(INSERT, "late")) is RefusalReason.WRONG_TERM
    assert refusal_reason(first.run, read()) is RefusalReason.WRONG_TERM
    early = write(INSERT, "early", term=5)
    assert refusal_reason(first.run, early) is RefusalReason.NOT_PRIMARY
    assert first.status().stored_position == LogPosition(1, 1)
    # The replicas no longer receive entries of the lower term either.
    wait_until(
        lambda: second.status().primary_contact_age > timedelta(milliseconds=300)
    )


def test_fence_during_the_service_time_stops_the_write(group):
    first = group.servers[0]
    first.run(read())
    first.faults(service_ms=300)
    with ThreadPoolExecutor(1) as executor:
        running = executor.submit(first.run, write(INSERT, "late"))
        first.fence(2, "watcher")
        with pytest.raises(StatementRefused) as caught:
            running.result()
    assert caught.value.reason is RefusalReason.WRONG_TERM
    assert first.status().stored_position == LogPosition(1, 1)


def test_fence_rolls_back_open_transactions(group):
    first = group.servers[0]
    connection = first.connect()
    first.begin(connection, 1)
    first.execute(connection, write(INSERT, "open"))
    first.fence(2, "watcher")
    assert refusal_reason(first.commit, connection, 1) is RefusalReason.WRONG_TERM
    first.promote(2, "watcher")
    # The next statement belongs to the lost transaction and must not run on its own.
    late_statement = write(INSERT, "stray", term=2)
    refusal = refusal_reason(first.execute, connection, late_statement)
    assert refusal is RefusalReason.NO_TRANSACTION
    assert refusal_reason(first.commit, connection, 2) is RefusalReason.NO_TRANSACTION
    assert first.items(term=2) == []
    first.rollback(connection)
    first.execute(connection, write(INSERT, "next", term=2))
    assert first.items(term=2) == ["next"]


def test_term_is_granted_once_and_repeats_change_nothing(group):
    server = group.servers[1]
    assert server.fence(3, "one").term == 3
    assert server.fence(3, "one").term == 3
    for term in (2, 3):
        assert refusal_reason(server.fence, term, "two") is RefusalReason.TERM_TAKEN
    assert refusal_reason(server.promote, 3, "two") is RefusalReason.TERM_TAKEN
    assert refusal_reason(server.promote, 4, "one") is RefusalReason.TERM_TAKEN
    held = server.promote(3, "one").stored_position
    assert held == LogPosition(3, 2)
    assert server.promote(3, "one").stored_position == held
    assert server.fence(3, "one").role is Role.PRIMARY
    assert refusal_reason(server.follow, 3, "127.0.0.1:1") is RefusalReason.TERM_TAKEN
    assert refusal_reason(server.follow, 2, "127.0.0.1:1") is RefusalReason.WRONG_TERM


def test_server_that_follows_a_primary_cannot_be_promoted_in_that_term(group):
    _, second, third = group.servers
    group.promote(1, term=2, candidate="one")
    third.follow(2, second.address)
    assert refusal_reason(third.promote, 2, "one") is RefusalReason.TERM_TAKEN


def test_at_most_one_of_racing_candidates_gets_a_majority(group):
    def votes(candidate, term):
        won = 0
        for server in group.servers:
            try:
                server.fence(term, candidate)
                won += 1
            except StatementRefused as error:
                assert error.reason is RefusalReason.TERM_TAKEN
        return won

    with ThreadPoolExecutor(4) as executor:
        for term in range(2, 8):
            candidates = [f"candidate-{index}" for index in range(4)]
            counts = list(executor.map(lambda c, t=term: votes(c, t), candidates))
            assert sum(counts) == len(group.servers)
            assert sum(count >= 2 for count in counts) <= 1


def test_lost_answer_of_a_commit_leaves_the_write_in_place(group):
    first = group.servers[0]
    first.run(read())
    first.faults(lose_answers=1)
    with pytest.raises(AnswerLost):
        first.run(write(INSERT, "vat", record="r1"))
    # The lost answer closed the socket and thereby the connection.
    first.reconnect()
    again = first.run(write(INSERT, "vat", record="r1"))
    assert (again.row_count, again.position) == (1, LogPosition(1, 2))
    assert first.items() == ["vat"]
    conflict = write(INSERT, "other", record="r1", digest="different")
    assert refusal_reason(first.run, conflict) is RefusalReason.IDEMPOTENCY_CONFLICT


def test_lost_answers_and_failover_never_run_a_recorded_write_twice(group):
    first, second, third = group.servers
    for index in range(5):
        first.run(read())
        first.faults(lose_answers=1)
        with pytest.raises(AnswerLost):
            first.run(write(INSERT, f"item-{index}", record=f"r{index}"))
        first.reconnect()
    group.wait_until_held(first.status().stored_position)
    group.promote(2, term=2)
    for index in range(5):
        third.run(write(INSERT, f"item-{index}", term=2, record=f"r{index}"))
    assert third.items(term=2) == [f"item-{index}" for index in range(5)]


def test_discarded_write_can_be_run_under_its_key_where_it_was_discarded(group):
    first, second, third = group.servers
    make_logs_diverge(group)
    first.follow(2, second.address)
    first.status(second.status().stored_position, timedelta(seconds=3))
    for server in (first, third):
        server.fence(3, "watcher")
    first.promote(3, "watcher")
    first.run(write(INSERT, "lost", term=3, record="r2"))
    assert first.items(term=3) == ["kept", "lost"]


def test_lost_answers_of_fence_and_promote_can_be_asked_again(group):
    second = group.servers[1]
    for change in (second.fence, second.promote):
        second.faults(lose_control_answers=1)
        with pytest.raises(AnswerLost):
            change(2, "watcher")
        assert change(2, "watcher").term == 2
    assert second.status().stored_position == LogPosition(2, 2)
