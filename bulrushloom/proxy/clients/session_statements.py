"""Statements of one session: which are answered here, and which run at a target."""

from collections.abc import Callable
from typing import Any

from bulrushloom.proxy.admission import Admission
from bulrushloom.proxy.attempts import Attempt, Outcome, PermitEnded
from bulrushloom.proxy.clients.session_answers import SessionAnswers
from bulrushloom.proxy.clients.session_context import SessionContext
from bulrushloom.proxy.clients.session_state import SessionState
from bulrushloom.proxy.execution import StatementRunner
from bulrushloom.proxy.messages import (
    AnswerCode,
    Failure,
    Malformed,
    PreparedStatement,
    Statement,
    StatementKind,
)
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.stopping import STOP_REASON
from bulrushloom.proxy.transaction import Transaction
from bulrushloom.runtime.loop import Steps


class SessionStatements:
    """Runs the statements of one session, one after the other.

    ``state`` has the session values and prepared statements.
    """

    def __init__(
        self,
        services: Services,
        context: SessionContext,
        answers: SessionAnswers,
        state: SessionState,
    ):
        self._services = services
        self._context = context
        self._answers = answers
        self._state = state
        self._use_account("", "")

    def _use_account(self, database: str, key: str) -> None:
        self._admission = Admission(self._services, database, key)
        self._runner = StatementRunner(
            self._services, self._admission, self._state.values
        )

    def start(self, database: str, key: str) -> Steps:
        """Admit the client; return the ``Failure`` if it may not start a session."""
        self._use_account(database, key)
        return (yield from self._admission.check())

    def writes(self, statement: Statement) -> bool:
        """Return whether a statement changes data."""
        return statement.kind is StatementKind.WRITE or (
            statement.kind is StatementKind.EXECUTE and self._state.writes(statement)
        )

    def handle(self, message: Any) -> Steps:
        """Run a message of the client, if it is a statement, and answer it."""
        if isinstance(message, Malformed) or not isinstance(message, Statement):
            reason = getattr(message, "reason", "a session is open already")
            self._answers.answer_failure(Failure(AnswerCode.BAD_REQUEST, reason))
            return
        transaction = self._context.transaction
        if transaction is not None and transaction.failure is not None:
            self._answer_in_failed_transaction(message, transaction)
            return
        plan = self._services.stop_plan
        if (
            plan
            and transaction
            and plan.aborts(self._services.loop.now(), message.kind)
        ):
            transaction.fail(STOP_REASON)
            self._answers.answer(message, Outcome(transaction.failure, None))
            return
        match message.kind:
            case (
                StatementKind.SET_VALUE
                | StatementKind.PREPARE
                | StatementKind.DEALLOCATE
            ):
                self._change_state(message)
            case StatementKind.BEGIN | StatementKind.BEGIN_READ_ONLY:
                yield from self._begin(message)
            case StatementKind.COMMIT | StatementKind.ROLLBACK:
                yield from self._end_transaction(message)
            case _:
                yield from self._run_statement(message)

    def _change_state(self, message: Statement) -> None:
        """Change the session's values or prepared statements, without a target."""
        match message.kind:
            case StatementKind.SET_VALUE:
                failure = self._state.set_value(message.name, message.arguments)
                self._answers.answer_change(failure)
            case StatementKind.PREPARE:
                assert message.prepared is not None
                failure = self._state.prepare(message.name, message.prepared)
                self._answers.answer_change(failure)
            case StatementKind.DEALLOCATE:
                if self._state.deallocate(message.name):
                    self._answers.answer_locally()
                else:
                    self._answers.answer_unknown_prepared(message)

    def _answer_in_failed_transaction(
        self, message: Statement, transaction: Transaction
    ) -> None:
        assert transaction.failure is not None
        if message.kind is StatementKind.ROLLBACK:
            self._context.transaction = None
            self._answers.answer_locally()
        elif message.kind is StatementKind.COMMIT:
            self._context.transaction = None
            self._answers.answer_failure(transaction.failure)
        else:
            failure = Failure(AnswerCode.BAD_REQUEST, transaction.failure.reason)
            self._answers.answer_failure(failure)

    def _begin(self, message: Statement) -> Steps:
        if self._context.transaction is not None:
            reason = "a transaction is open already"
            self._answers.answer_failure(Failure(AnswerCode.BAD_REQUEST, reason))
            return
        permit = yield from self._admission.admit(begins_transaction=True)
        if isinstance(permit, Failure):
            self._answers.answer(message, Outcome(permit, None))
            return
        self._context.transaction = Transaction(
            self._services,
            self._runner,
            permit,
            message.kind is StatementKind.BEGIN_READ_ONLY,
            self._context.position_at(permit.route.service),
        )
        self._answers.answer_locally()

    def _end_transaction(self, message: Statement) -> Steps:
        transaction = self._context.transaction
        if transaction is None:
            reason = "no transaction is open"
            self._answers.answer_failure(Failure(AnswerCode.BAD_REQUEST, reason))
            return
        if message.kind is StatementKind.ROLLBACK:
            self._context.transaction = None
            transaction.roll_back()
            self._answers.answer_locally()
            return
        outcome = yield from self._run_permitted(
            transaction, lambda: transaction.commit(message)
        )
        self._context.transaction = None
        if outcome.answer is not None and transaction.wrote:
            service = transaction.permit.route.service
            self._context.advance_position(service, outcome.answer.position)
        self._answers.answer(message, outcome)

    def _run_statement(self, message: Statement) -> Steps:
        prepared = None
        if message.kind is StatementKind.EXECUTE:
            prepared = self._state.prepared_by_name.get(message.name)
            if prepared is None:
                self._answers.answer_unknown_prepared(message)
                return
        writes = self.writes(message)
        if self._context.transaction is not None:
            yield from self._run_in_transaction(message, prepared, writes)
        else:
            yield from self._run_alone(message, prepared, writes)

    def _run_alone(
        self, message: Statement, prepared: PreparedStatement | None, writes: bool
    ) -> Steps:
        """Run a statement outside a transaction, again if its permit has ended."""
        started_at = self._services.loop.now()
        run = self._runner.write if writes else self._runner.read
        outcome: Outcome | None = None
        permit = yield from self._admission.admit()
        while outcome is None:
            if isinstance(permit, Failure):
                self._answers.answer(message, Outcome(permit, None))
                return
            position = self._context.position_at(permit.route.service)
            attempt = Attempt(message, prepared, permit, started_at, position)
            try:
                outcome = yield from run(attempt)
            except PermitEnded:
                permit = yield from self._admission.renew(permit, attempt.deadline)
        if outcome.answer is not None and writes:
            self._context.advance_position(
                permit.route.service, outcome.answer.position
            )
        kind = "write" if writes else "read"
        self._services.metrics.record(
            f"{kind}_latency", self._services.loop.now() - started_at
        )
        self._answers.answer(message, outcome)

    def _run_in_transaction(
        self, message: Statement, prepared: PreparedStatement | None, writes: bool
    ) -> Steps:
        transaction = self._context.transaction
        assert transaction is not None
        outcome = yield from self._run_permitted(
            transaction, lambda: transaction.run(message, prepared, writes)
        )
        self._answers.answer(message, outcome)

    def _run_permitted(
        self, transaction: Transaction, start: Callable[[], Steps]
    ) -> Steps:
        """Run a statement of a transaction unless its permit has ended.

        Returns an ``Outcome``. The transaction fails with its permit.
        """
        refusal = self._admission.refusal_in_transaction(transaction.permit)
        if refusal is None:
            try:
                return (yield from start())
            except PermitEnded as error:
                refusal = error.failure
        transaction.fail(refusal.reason)
        return Outcome(refusal, None)
