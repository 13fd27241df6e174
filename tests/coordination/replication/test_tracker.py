from datetime import timedelta

import pytest

from bulrushloom.coordination.base import select_effects
from bulrushloom.coordination.failover.base import StatusReceived
from bulrushloom.coordination.replication.base import (
    AwaitPosition,
    AwaitPositionAnswered,
    AwaitPositionFailed,
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
    assert not select_effects(
        tracker.track_write("r1", POSITION, DEADLINE, START), WriteDurable
    )
    assert not select_effects(receive(tracker, "b", 5, LogPosition(5, 6)), WriteDurable)
    effects = receive(tracker, "b", 5, LogPosition(5, 8))
    assert select_effects(effects, WriteDurable) == [WriteDurable("r1")]
    assert not select_effects(tracker.tick(DEADLINE), WriteUndecided)


@pytest.mark.parametrize(
    ("term", "held"),
    [(6, LogPosition(5, 9)), (6, LogPosition(6, 9)), (5, LogPosition(4, 9))],
    ids=["fenced", "replaced", "other-log"],
)
def test_server_outside_the_term_of_the_write_does_not_count(tracker, term, held):
    # Guards against an acknowledgement by a replaced primary: invariant 2, no
    # acknowledged write is lost.
    tracker.track_write("r1", POSITION, DEADLINE, START)
    assert not select_effects(receive(tracker, "b", term, held), WriteDurable)


def test_write_is_undecided_once_a_majority_left_its_term(tracker):
    tracker.track_write("r1", POSITION, DEADLINE, START)
    assert not select_effects(
        receive(tracker, "b", 6, LogPosition(5, 6)), WriteUndecided
    )
    effects = receive(tracker, "c", 6, LogPosition(5, 6))
    assert [item.request_id for item in select_effects(effects, WriteUndecided)] == [
        "r1"
    ]
    late = tracker.track_write("r2", LogPosition(5, 8), DEADLINE, START)
    assert [item.request_id for item in select_effects(late, WriteUndecided)] == ["r2"]


def test_write_is_undecided_at_the_deadline(tracker):
    tracker.track_write("r1", POSITION, DEADLINE, START)
    assert not select_effects(
        tracker.tick(DEADLINE - timedelta(milliseconds=1)), WriteUndecided
    )
    effects = select_effects(tracker.tick(DEADLINE), WriteUndecided)
    assert "1 of 2" in effects[0].reason


def test_delayed_status_does_not_bring_back_a_fenced_server(tracker):
    # Guards against reordered statuses that undo a newer one.
    tracker.track_write("r1", POSITION, DEADLINE, START)
    receive(tracker, "b", 6, LogPosition(5, 6))
    assert not select_effects(receive(tracker, "b", 5, POSITION), WriteDurable)


def test_server_that_lost_its_log_no_longer_counts(tracker):
    tracker.track_write("r0", LogPosition(5, 1), DEADLINE, START)
    receive(tracker, "b", 5, LogPosition(5, 9))
    receive(tracker, "b", 0, LogPosition(0, 0))
    effects = tracker.track_write("r1", POSITION, DEADLINE, START)
    assert not select_effects(effects, WriteDurable)


def test_one_call_per_replica_covers_all_pending_writes(tracker):
    first = tracker.track_write("r1", POSITION, DEADLINE, START)
    assert select_effects(first, AwaitPosition) == [
        AwaitPosition("b", POSITION, timedelta(seconds=1)),
        AwaitPosition("c", POSITION, timedelta(seconds=1)),
    ]
    later = LogPosition(5, 9)
    assert not select_effects(
        tracker.track_write("r2", later, DEADLINE, START), AwaitPosition
    )
    answer = AwaitPositionAnswered("b", status("b", 5, LogPosition(5, 8)))
    effects = tracker.handle("self", answer, START)
    assert select_effects(effects, WriteDurable) == [WriteDurable("r1")]
    calls = select_effects(effects, AwaitPosition)
    assert [(call.target, call.position) for call in calls] == [("b", later)]


def test_failed_call_is_repeated_after_a_delay(tracker):
    # Guards against a busy loop of calls to a server that is down.
    tracker.track_write("r1", POSITION, DEADLINE, START)
    failed = AwaitPositionFailed("b", "connection refused")
    assert not select_effects(tracker.handle("self", failed, START), AwaitPosition)
    effects = tracker.tick(START + timedelta(milliseconds=100))
    assert [item.target for item in select_effects(effects, AwaitPosition)] == ["b"]


def test_call_that_is_never_answered_is_repeated(tracker):
    tracker.track_write("r1", POSITION, START + timedelta(seconds=9), START)
    effects = tracker.tick(START + timedelta(seconds=3))
    assert {item.target for item in select_effects(effects, AwaitPosition)} == {
        "b",
        "c",
    }


def test_write_found_in_the_log_of_a_later_term_waits_for_that_term(tracker):
    # Guards against repeating a recorded answer before its write is durable, and
    # against never repeating it because the term of the write was replaced.
    for name in "abc":
        receive(tracker, name, 6, POSITION)
    effects = tracker.track_write("r1", POSITION, DEADLINE, START, term=6)
    assert not select_effects(effects, WriteDurable)
    assert not select_effects(effects, WriteUndecided)
    effects = receive(tracker, "b", 6, LogPosition(6, 9))
    assert select_effects(effects, WriteDurable) == [WriteDurable("r1")]
