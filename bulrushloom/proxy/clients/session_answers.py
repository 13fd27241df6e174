"""Answers to one client; each failure is counted and logged once."""

from bulrushloom.platform import wire
from bulrushloom.proxy.attempts import Outcome
from bulrushloom.proxy.clients.session_context import SessionContext
from bulrushloom.proxy.messages import (
    NO_POSITION,
    AnswerCode,
    Failure,
    Statement,
    TransactionState,
)
from bulrushloom.proxy.services import Services
from bulrushloom.runtime.streams import Stream


class SessionAnswers:
    """Sends the answers of one session.

    ``was_refused`` is whether the last answer says that nothing has run.
    """

    def __init__(self, services: Services, stream: Stream, context: SessionContext):
        self._services = services
        self._stream = stream
        self._context = context
        self.was_refused = False

    def answer(self, message: Statement, outcome: Outcome) -> None:
        """Send the rows of a statement, or why it failed."""
        if outcome.failure is not None or outcome.answer is None:
            failure = outcome.failure or Failure(AnswerCode.FAILED, "no answer")
            self._log_failure(message, failure)
            self.answer_failure(failure)
            return
        answer = outcome.answer
        ready = wire.encode_ready(self._context.transaction_state, answer.position)
        self._send(wire.encode_rows_and_signature(answer.rows, answer.signature, ready))

    def answer_locally(self) -> None:
        """Confirm a statement that needed no target."""
        self._send(
            wire.LOCAL_DONE
            + wire.encode_ready(self._context.transaction_state, self._context.position)
        )

    def answer_change(self, failure: Failure | None) -> None:
        """Answer a change of the session's values or prepared statements."""
        if failure is None:
            self.answer_locally()
            return
        self._services.metrics.count("session_state_refused")
        self.answer_failure(failure)

    def answer_unknown_prepared(self, message: Statement) -> None:
        """Refuse a prepared statement that does not exist; its transaction fails."""
        failure = Failure(AnswerCode.UNKNOWN_STATEMENT, "no such prepared statement")
        if self._context.transaction is not None:
            self._context.transaction.fail(failure.reason)
        self._log_failure(message, failure)
        self.answer_failure(failure)

    def answer_failure(self, failure: Failure) -> None:
        """Send why a statement failed, and that the next one is awaited."""
        self.was_refused = failure.code is AnswerCode.NOT_RUN
        self._send(
            wire.encode_failure(failure)
            + wire.encode_ready(self._context.transaction_state, self._context.position)
        )

    def send_failure(self, failure: Failure) -> None:
        """Send a failure that ends the session."""
        self._send(wire.encode_failure(failure))

    def send_ready(self) -> None:
        """Tell the client that its session has started."""
        self._send(wire.encode_ready(TransactionState.IDLE, NO_POSITION))

    def _log_failure(self, message: Statement, failure: Failure) -> None:
        services = self._services
        services.metrics.count("statements_failed", failure.code.value)
        services.log.write(
            "statement_failed",
            request_id=message.request_id,
            kind=message.kind.value,
            database=self._context.database,
            code=failure.code.value,
            reason=failure.reason,
            retry_after=failure.retry_after,
            configuration=services.configuration.version,
            evidence_age=services.store_freshness.age(self._services.loop.now()),
        )

    def _send(self, data: bytes) -> None:
        self._stream.write(data)
