from datetime import timedelta

import pytest

from bulrushloom.coordination.base import effects_of
from bulrushloom.coordination.failover.base import StatusReceived
from bulrushloom.coordination.replication.base import (
    AwaitAnswered,
    AwaitFailed,
    AwaitHeld,
    WriteDurable,
    WriteUndecided,
)
from bulrushloom.coordination.replication.tracker import AcknowledgementTracker
from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.databases.base import Role, ServerStatus

START = timedelta(seconds=10)
DEADLINE = START + timedelta(seconds=3)
POSITION = LogPosition(5, 7)


def status(name, term, held):
    return ServerStatus(name, Role.REPLICA, term, held, held, None, None)


@pytest.fixture
def tracker():
    return AcknowledgementTracker("a", ["a", "b", "c"])


def receive(tracker, name, term, held, now=START):
    message = StatusReceived(name, status(name, term, held))
    return tracker.handle("self", message, now)


def test_write_is_durable_once_one_replica_holds_it(tracker):
    assert not effects_of(
        tracker.wait_for("r1", POSITION, DEADLINE, START), WriteDurable
    )
    assert not effects_of(receive(tracker, "b", 5, LogPosition(5, 6)), WriteDurable)
    effects = receive(tracker, "b", 5, LogPosition(5, 8))
    assert effects_of(effects, WriteDurable) == [WriteDurable("r1")]
    assert not effects_of(tracker.tick(DEADLINE), WriteUndecided)


@pytest.mark.parametrize(
    ("term", "held"),
    [(6, LogPosition(5, 9)), (6, LogPosition(6, 9)), (5, LogPosition(4, 9))],
    ids=["fenced", "replaced", "other-log"],
)
def test_server_outside_the_term_of_the_write_does_not_count(tracker, term, held):
    # Guards against an acknowledgement by a replaced primary: invariant 2, no
    # acknowledged write is lost.
    tracker.wait_for("r1", POSITION, DEADLINE, START)
    assert not effects_of(receive(tracker, "b", term, held), WriteDurable)


def test_write_is_undecided_once_a_majority_left_its_term(tracker):
    tracker.wait_for("r1", POSITION, DEADLINE, START)
    assert not effects_of(receive(tracker, "b", 6, LogPosition(5, 6)), WriteUndecided)
    effects = receive(tracker, "c", 6, LogPosition(5, 6))
    assert [item.request_id for item in effects_of(effects, WriteUndecided)] == ["r1"]
    late = tracker.wait_for("r2", LogPosition(5, 8), DEADLINE, START)
    assert [item.request_id for item in effects_of(late, WriteUndecided)] == ["r2"]


def test_write_is_undecided_at_the_deadline(tracker):
    tracker.wait_for("r1", POSITION, DEADLINE, START)
    assert not effects_of(
        tracker.tick(DEADLINE - timedelta(milliseconds=1)), WriteUndecided
    )
    effects = effects_of(tracker.tick(DEADLINE), WriteUndecided)
    assert "1 of 2" in effects[0].reason


def test_delayed_status_does_not_bring_back_a_fenced_server(tracker):
    # Guards against reordered statuses that undo a newer one.
    tracker.wait_for("r1", POSITION, DEADLINE, START)
    receive(tracker, "b", 6, LogPosition(5, 6))
    assert not effects_of(receive(tracker, "b", 5, POSITION), WriteDurable)


def test_server_that_lost_its_log_no_longer_counts(tracker):
    tracker.wait_for("r0", LogPosition(5, 1), DEADLINE, START)
    receive(tracker, "b", 5, LogPosition(5, 9))
    receive(tracker, "b", 0, LogPosition(0, 0))
    effects = tracker.wait_for("r1", POSITION, DEADLINE, START)
    assert not effects_of(effects, WriteDurable)


def test_one_call_per_replica_covers_all_pending_writes(tracker):
    first = tracker.wait_for("r1", POSITION, DEADLINE, START)
    assert effects_of(first, AwaitHeld) == [
        AwaitHeld("b", POSITION, timedelta(seconds=1)),
        AwaitHeld("c", POSITION, timedelta(seconds=1)),
    ]
    later = LogPosition(5, 9)
    assert not effects_of(tracker.wait_for("r2", later, DEADLINE, START), AwaitHeld)
    answer = AwaitAnswered("b", status("b", 5, LogPosition(5, 8)))
    effects = tracker.handle("self", answer, START)
    assert effects_of(effects, WriteDurable) == [WriteDurable("r1")]
    calls = effects_of(effects, AwaitHeld)
    assert [(call.target, call.position) for call in calls] == [("b", later)]


def test_failed_call_is_repeated_after_a_delay(tracker):
    # Guards against a busy loop of calls to a server that is down.
    tracker.wait_for("r1", POSITION, DEADLINE, START)
    failed = AwaitFailed("b", "connection refused")
    assert not effects_of(tracker.handle("self", failed, START), AwaitHeld)
    effects = tracker.tick(START + timedelta(milliseconds=100))
    assert [item.target for item in effects_of(effects, AwaitHeld)] == ["b"]


def test_call_that_is_never_answered_is_repeated(tracker):
    tracker.wait_for("r1", POSITION, START + timedelta(seconds=9), START)
    effects = tracker.tick(START + timedelta(seconds=3))
    assert {item.target for item in effects_of(effects, AwaitHeld)} == {"b", "c"}


def test_write_found_in_the_log_of_a_later_term_waits_for_that_term(tracker):
    # Guards against repeating a recorded answer before its write is durable, and
    # against never repeating it because the term of the write was replaced.
    for name in "abc":
        receive(tracker, name, 6, POSITION)
    effects = tracker.wait_for("r1", POSITION, DEADLINE, START, term=6)
    assert not effects_of(effects, WriteDurable)
    assert not effects_of(effects, WriteUndecided)
    effects = receive(tracker, "b", 6, LogPosition(6, 9))
    assert effects_of(effects, WriteDurable) == [WriteDurable("r1")]
