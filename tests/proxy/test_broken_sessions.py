"""Faulty variants of the session proxy that the state machine must detect."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from bulrushloom.proxy.attempts import Outcome
from bulrushloom.proxy.clients.session_context import SessionContext
from bulrushloom.proxy.execution import StatementRunner
from bulrushloom.proxy.messages import AnswerCode, Failure, LogPosition
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


def mix_session_values(monkeypatch):
    """Run statements with values that another session set on the connection."""

    def apply_session_state(self, connection, prepared):
        values, self._values = self._values, dict(connection.values) | self._values
        try:
            yield from original(self, connection, prepared)
        finally:
            self._values = values

    original = StatementRunner.apply_session_state
    monkeypatch.setattr(StatementRunner, "apply_session_state", apply_session_state)


def retry_unanswered_writes(monkeypatch):
    """Retry a write although the first attempt may have run."""

    def write(self, attempt):
        outcome = yield from original(self, attempt)
        in_doubt = (AnswerCode.IN_DOUBT, AnswerCode.TIMEOUT)
        if outcome.failure is not None and outcome.failure.code in in_doubt:
            outcome = yield from original(self, attempt)
        return outcome

    original = StatementRunner.write
    monkeypatch.setattr(StatementRunner, "write", write)


def report_unanswered_writes_as_not_run(monkeypatch):
    """Report a write without an answer as not run."""

    def write(self, attempt):
        outcome = yield from original(self, attempt)
        if outcome.failure is not None:
            return Outcome(Failure(AnswerCode.NOT_RUN, "not run"), None)
        return outcome

    original = StatementRunner.write
    monkeypatch.setattr(StatementRunner, "write", write)


def report_unanswered_commits_as_aborted(monkeypatch):
    """Report a commit without an answer as rolled back."""
    failure = Failure(AnswerCode.ABORTED, "rolled back")
    monkeypatch.setattr(Transaction, "_unanswered_commit_failure", lambda *_: failure)


def ignore_required_positions(monkeypatch):
    """Read from any replica, regardless of its applied position."""
    origin = LogPosition(0, 0)
    monkeypatch.setattr(StatementRunner, "required_position", lambda *_: origin)


def forget_own_commits(monkeypatch):
    """Ignore the position of the session's own commits in reads."""
    monkeypatch.setattr(SessionContext, "advance_position", lambda *_: None)


def split_transactions(monkeypatch):
    """Run each statement of a transaction on a separate connection."""

    def run(self, statement, prepared, writes):
        outcome = yield from original(self, statement, prepared, writes)
        connection, self._connection = self._connection, None
        if connection is not None:
            self._roll_back_in_background(connection)
        return outcome

    original = Transaction.run
    monkeypatch.setattr(Transaction, "run", run)


def release_connections_in_transactions(monkeypatch):
    """Make a connection available to other sessions during its transaction."""

    def run(self, statement, prepared, writes):
        outcome = yield from original(self, statement, prepared, writes)
        if self._connection is not None:
            self._connection.in_use = False
        return outcome

    original = Transaction.run
    monkeypatch.setattr(Transaction, "run", run)


def answer_failed_reads_with_earlier_answers(monkeypatch):
    """Answer a failed read with the answer to an earlier one."""

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
    mix_session_values,
    retry_unanswered_writes,
    report_unanswered_writes_as_not_run,
    report_unanswered_commits_as_aborted,
    ignore_required_positions,
    forget_own_commits,
    split_transactions,
    release_connections_in_transactions,
    answer_failed_reads_with_earlier_answers,
]


@pytest.mark.parametrize("variant", VARIANTS, ids=lambda variant: variant.__name__)
def test_faulty_variant_is_detected(variant, monkeypatch):
    variant(monkeypatch)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(SessionMachine, settings=SEARCH)
