"""Bounds on the number of sessions, on their state and on the time of a message."""

from datetime import timedelta
from types import SimpleNamespace

import pytest

from bulrushloom.proxy.clients.limits import socket_limit
from bulrushloom.proxy.clients.memory_budget import memory_limits
from bulrushloom.proxy.clients.session_bounds import (
    MAX_MESSAGE_SILENCE,
    MAX_MESSAGE_TIME,
    MessageProgress,
    max_http_connections,
    max_sessions,
    session_to_replace,
)
from bulrushloom.proxy.clients.session_state import (
    MAX_NAMES,
    MAX_STATE_BYTES,
    SessionState,
)
from bulrushloom.proxy.messages import AnswerCode, PreparedStatement

SECOND = timedelta(seconds=1)
NOW = SECOND * 1000


def session(
    idle_s=10.0, is_started=True, key="key-1", is_closable=True, has_transaction=False
):
    return SimpleNamespace(
        awaiting_since=NOW - SECOND * idle_s,
        is_started=is_started,
        client=("stock", key),
        is_closable=is_closable,
        has_transaction=has_transaction,
    )


@pytest.mark.parametrize("descriptors, memory_mb", [(1_605, 152), (4_300, 200)])
def test_smallest_machines_accept_a_thousand_sessions(descriptors, memory_mb):
    # 2,000 sessions are open on all instances; two of them can serve these.
    sockets = socket_limit(8_192, descriptors)
    sessions = max_sessions(sockets, memory_limits(memory_mb))
    assert sessions >= 1_000
    assert sessions + 2 * max_http_connections(sockets) + 150 <= descriptors - 200


def test_limit_of_the_process_applies_without_the_setting():
    assert socket_limit(1_024, None) == 960
    assert socket_limit(-1, 1_605) == 1_405
    assert socket_limit(1_024, 8_192) == 960
    assert socket_limit(100, 150) == 0


def test_longest_silent_unstarted_session_is_replaced_first():
    silent = session(3, is_started=False, is_closable=True)
    sessions = [session(900), session(1, is_started=False), silent]
    assert session_to_replace(sessions, NOW) is silent


def test_session_that_was_accepted_just_now_is_not_replaced():
    # Guards against clients that connect at the same moment and displace each other,
    # while sessions are idle: of 64 accepted in one turn, one was left.
    idle, new = session(10), session(0.1, is_started=False)
    assert session_to_replace([idle, new], NOW) is idle
    assert session_to_replace([session(1), new], NOW) is None
    silent = session(0.3, is_started=False)
    assert session_to_replace([idle, silent], NOW) is silent


def test_paused_transaction_is_replaced_after_other_sessions_of_its_client():
    # Guards against a transaction that is lost although its client has a session that
    # loses nothing.
    paused, idle = session(9, has_transaction=True), session(3)
    assert session_to_replace([paused, idle], NOW) is idle
    assert session_to_replace([paused], NOW) is paused


def test_client_with_few_sessions_keeps_them():
    # Guards against a crowd of one key that displaces the sessions of others.
    ordinary = session(900, key="ordinary")
    crowd = [session(number, key="crowd") for number in (3, 7, 5)]
    assert session_to_replace([ordinary, *crowd], NOW) is crowd[1]


def test_sessions_in_use_are_not_replaced():
    assert session_to_replace([session(1), session(9, is_closable=False)], NOW) is None


def test_message_that_stops_half_way_is_overdue():
    progress = MessageProgress()
    progress.receive(NOW)
    before = NOW + MAX_MESSAGE_SILENCE - SECOND / 1000
    assert progress.overdue_reason(before) == ""
    assert progress.overdue_reason(NOW + MAX_MESSAGE_SILENCE)


def test_slow_sender_is_overdue_only_after_the_time_of_a_message():
    progress, now = MessageProgress(), NOW
    while now < NOW + MAX_MESSAGE_TIME:
        progress.receive(now)
        assert progress.overdue_reason(now) == ""
        now += SECOND
    assert progress.overdue_reason(now)


def test_idle_session_is_never_overdue():
    # Ordinary sessions may be idle for minutes between two statements.
    progress = MessageProgress()
    progress.receive(NOW)
    progress.complete()
    assert progress.overdue_reason(NOW + SECOND * 86_400) == ""


def test_answer_that_is_not_read_is_overdue():
    progress = MessageProgress()
    progress.start_draining(NOW)
    assert progress.overdue_reason(NOW + SECOND) == ""
    assert progress.overdue_reason(NOW + SECOND * 60)
    progress.end_draining()
    assert progress.overdue_reason(NOW + SECOND * 60) == ""


def test_names_of_a_session_are_bounded():
    # Guards against a client that sets new names for as long as it is connected.
    state = SessionState()
    for number in range(MAX_NAMES - 1):
        assert state.set_value(b"v%d" % number, b"x") is None
    assert state.prepare(b"p", PreparedStatement(True, b"x")) is None
    refusals = [
        state.set_value(b"new", b"x"),
        state.prepare(b"new", PreparedStatement(False, b"x")),
    ]
    assert [failure.code for failure in refusals] == [AnswerCode.BAD_REQUEST] * 2
    assert state.set_value(b"v0", b"changed") is None
    assert state.deallocate(b"p") and not state.deallocate(b"p")
    assert state.set_value(b"new", b"x") is None


def test_size_of_the_state_is_bounded_and_follows_changes():
    state, half = SessionState(), b"x" * (MAX_STATE_BYTES // 2)
    assert state.set_value(b"v", half) is None
    assert state.prepare(b"p", PreparedStatement(False, half)) is not None
    assert "p" not in state.prepared_by_name
    assert state.set_value(b"v", b"x") is None
    assert state.prepare(b"p", PreparedStatement(False, half)) is None
    state.deallocate(b"p")
    assert state.size < 1_000
