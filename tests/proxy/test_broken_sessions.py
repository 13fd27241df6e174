"""Broken variants of the session proxy that the state machine must catch."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from bulrushloom.proxy.attempts import Outcome
from bulrushloom.proxy.execution import StatementRunner
from bulrushloom.proxy.messages import AnswerCode, Failure, LogPosition
from bulrushloom.proxy.session import Session
from bulrushloom.proxy.transaction import Transaction
from tests.proxy.test_session_machine import SessionMachine

SEARCH = settings(
    max_examples=300,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)


def keep_values_of_others(monkeypatch):
    """Run statements with the values that the last session left."""

    def apply_session_state(self, connection, prepared):
        values, self._values = self._values, dict(connection.values) | self._values
        try:
            yield from original(self, connection, prepared)
        finally:
            self._values = values

    original = StatementRunner.apply_session_state
    monkeypatch.setattr(StatementRunner, "apply_session_state", apply_session_state)


def repeat_lost_writes(monkeypatch):
    """Send a write again although the first one may have run."""

    def write(self, attempt):
        outcome = yield from original(self, attempt)
        in_doubt = (AnswerCode.IN_DOUBT, AnswerCode.TIMEOUT)
        if outcome.failure is not None and outcome.failure.code in in_doubt:
            outcome = yield from original(self, attempt)
        return outcome

    original = StatementRunner.write
    monkeypatch.setattr(StatementRunner, "write", write)


def promise_on_lost_writes(monkeypatch):
    """Tell the caller that a write without an answer has not run."""

    def write(self, attempt):
        outcome = yield from original(self, attempt)
        if outcome.failure is not None:
            return Outcome(Failure(AnswerCode.NOT_RUN, "not run"), None)
        return outcome

    original = StatementRunner.write
    monkeypatch.setattr(StatementRunner, "write", write)


def promise_on_lost_commits(monkeypatch):
    """Tell the caller that a commit without an answer was rolled back."""
    failure = Failure(AnswerCode.ABORTED, "rolled back")
    monkeypatch.setattr(Transaction, "_unanswered_commit_failure", lambda *_: failure)


def ignore_positions(monkeypatch):
    """Read at any replica, whatever it has applied."""
    origin = LogPosition(0, 0)
    monkeypatch.setattr(StatementRunner, "required_position", lambda *_: origin)


def forget_own_commits(monkeypatch):
    """Read without the position of the session's own commits."""
    monkeypatch.setattr(Session, "_advance_position", lambda *_: None)


def leave_transactions(monkeypatch):
    """Run each statement of a transaction on a connection of its own."""

    def run(self, statement, prepared, writes):
        outcome = yield from original(self, statement, prepared, writes)
        connection, self._connection = self._connection, None
        if connection is not None:
            self._roll_back_in_background(connection)
        return outcome

    original = Transaction.run
    monkeypatch.setattr(Transaction, "run", run)


def release_open_transactions(monkeypatch):
    """Give a connection to other sessions while its transaction is open."""

    def run(self, statement, prepared, writes):
        outcome = yield from original(self, statement, prepared, writes)
        if self._connection is not None:
            self._connection.in_use = False
        return outcome

    original = Transaction.run
    monkeypatch.setattr(Transaction, "run", run)


def answer_lost_reads_as_done(monkeypatch):
    """Answer a read without the server's signature when none came."""

    def read(self, attempt):
        outcome = yield from original(self, attempt)
        if outcome.failure is not None and self._services.last_answer:
            return Outcome(None, self._services.last_answer)
        if outcome.answer is not None:
            self._services.last_answer = outcome.answer
        return outcome

    original = StatementRunner.read
    monkeypatch.setattr(StatementRunner, "read", read)
    monkeypatch.setattr(
        "bulrushloom.proxy.services.Services.last_answer", None, raising=False
    )


VARIANTS = [
    keep_values_of_others,
    repeat_lost_writes,
    promise_on_lost_writes,
    promise_on_lost_commits,
    ignore_positions,
    forget_own_commits,
    leave_transactions,
    release_open_transactions,
    answer_lost_reads_as_done,
]


@pytest.mark.parametrize("variant", VARIANTS, ids=lambda variant: variant.__name__)
def test_broken_variant_is_caught(variant, monkeypatch):
    variant(monkeypatch)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(SessionMachine, settings=SEARCH)
