"""Client session: its connection, session values, prepared statements, transaction."""

from collections.abc import Callable
from concurrent.futures import Future
from contextlib import suppress
from datetime import timedelta
from typing import Any

from bulrushloom.core.sentinels import Missing
from bulrushloom.platform import wire
from bulrushloom.proxy.admission import Admission
from bulrushloom.proxy.attempts import Attempt, Outcome, PermitEnded
from bulrushloom.proxy.clients.session_guard import (
    MAX_UNSENT_BEFORE_NEXT,
    NO_MEMORY,
    SessionGuard,
)
from bulrushloom.proxy.execution import StatementRunner
from bulrushloom.proxy.messages import (
    NO_POSITION,
    AnswerCode,
    DisconnectRequest,
    Failure,
    LogPosition,
    Malformed,
    PreparedStatement,
    StartRequest,
    Statement,
    StatementKind,
    TransactionState,
)
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.stopping import STOP_REASON, unfinished_failure
from bulrushloom.proxy.transaction import Transaction
from bulrushloom.runtime.loop import Steps
from bulrushloom.runtime.streams import LineTooLong, Stream

# Time in which a client must send its start message; clients give up after it as well.
SESSION_START_TIMEOUT = timedelta(seconds=5)
# Interval at which an idle transaction checks whether its domain is evacuated.
TRANSACTION_CHECK_INTERVAL = timedelta(milliseconds=500)
# A database name and a key; a client that has not started gets no more memory.
MAX_START_BYTES = 16 * 1024
_ZERO = timedelta()
_MILLISECOND = timedelta(milliseconds=1)


class Session:
    """Session of one client; ``on_end`` is called once after its connection closes."""

    def __init__(
        self, services: Services, stream: Stream, on_end: Callable[["Session"], None]
    ):
        self._services = services
        self._loop = services.loop
        self._stream = stream
        self._on_end = on_end
        self._pending_line: Future[bytes | None] | None = None
        self._database = ""
        self._admission = Admission(services, "", "")
        self._guard = SessionGuard(services.memory, stream)
        self._guard.account.is_closable = lambda: self.is_closable
        self._guard.account.close_connection = self.refuse
        self._state = self._guard.state
        # Latest commit of the session at each service that its route has led to.
        self._position_by_service: dict[str, LogPosition] = {}
        self._position: LogPosition | Missing = NO_POSITION
        self._transaction: Transaction | None = None
        self._runner = StatementRunner(services, self._admission, self._state.values)
        self.client = ("", "")
        self.is_started = False
        self.is_awaiting_statement = True
        self.awaiting_since = services.loop.now()
        self._message: Any = None
        self._was_refused = False
        stream.on_data(self._on_data)
        services.loop.spawn(self._run())

    @property
    def is_idle(self) -> bool:
        """Return whether closing the session interrupts no statement or transaction."""
        return (
            self.is_closable
            and self._transaction is None
            and not self._stream.unread_bytes
            and not self._stream.unsent_bytes
        )

    @property
    def is_closable(self) -> bool:
        """Return whether closing the session interrupts no running statement."""
        return self.is_awaiting_statement and not self._has_line

    @property
    def _has_line(self) -> bool:
        """Return whether a received message is about to be handled."""
        return self._pending_line is not None and self._pending_line.done()

    def overdue_reason(self) -> str:
        """Return why the client is too slow for a session, empty if it is not."""
        if not self.is_awaiting_statement:
            return ""
        return self._guard.progress.overdue_reason(self._loop.now())

    def refuse(self, reason: str) -> None:
        """Close a session that is closable; tell the client that nothing has run.

        An open transaction is rolled back, so a message on its way is not told to be
        repeated alone. Answers that the client has not read come first, so nothing is
        sent then.
        """
        if not self._stream.unsent_bytes:
            in_transaction = self._transaction is not None
            code = AnswerCode.ABORTED if in_transaction else AnswerCode.NOT_RUN
            self._send_failure(Failure(code, reason, NO_MEMORY.retry_after))
        self._stream.close(reason)

    @property
    def has_transaction(self) -> bool:
        """Return whether a transaction is open."""
        return self._transaction is not None

    def abort_idle_transaction(self, reason: str) -> None:
        """Abort the open transaction unless one of its statements is running."""
        transaction = self._transaction
        if transaction is None or transaction.failure is not None:
            return
        if self.is_awaiting_statement:
            transaction.fail(reason)
            self._services.log.write(
                "transaction_ended", database=self._database, reason=reason
            )

    def close(self, reason: str) -> None:
        """Close the client connection."""
        self._stream.close(reason)

    def end(self) -> None:
        """Close the client connection; answer a request that still runs."""
        message = self._message
        if not self.is_awaiting_statement and isinstance(message, Statement):
            in_transaction = self._transaction is not None
            self._send_failure(
                unfinished_failure(message, self._writes(message), in_transaction)
            )
        self._stream.close(STOP_REASON)

    def _writes(self, statement: Statement) -> bool:
        return statement.kind is StatementKind.WRITE or (
            statement.kind is StatementKind.EXECUTE and self._state.writes(statement)
        )

    # Receiving messages

    def _on_data(self) -> None:
        line = self._pending_line
        if line is None or line.done():
            return
        try:
            text = self._stream.read_line(
                wire.MAX_LINE_BYTES if self.is_started else MAX_START_BYTES
            )
        except LineTooLong as error:
            self._stream.close(str(error))
            text = None
        if text is not None:
            self._guard.progress.complete()
            line.set_result(text)
        elif self._stream.at_eof:
            line.set_result(None)
        elif self._stream.unread_bytes:
            self._guard.progress.receive(self._loop.now())

    def _next_line(self) -> "Future[bytes | None]":
        self._pending_line = Future()
        self._on_data()
        return self._pending_line

    def _run(self) -> Steps:
        try:
            yield from self._serve()
        finally:
            if self._transaction is not None:
                self._transaction.abandon("the client disconnected")
                self._transaction = None
            self._stream.close("the session ended")
            self._guard.close()
            self._message = None
            self._on_end(self)

    def _serve(self) -> Steps:
        try:
            line = yield self._loop.wait_for(self._next_line(), SESSION_START_TIMEOUT)
        except TimeoutError:
            return
        self._pending_line = None
        if line is None or not self._stream.is_open:
            return
        started = yield from self._start(wire.decode_client_line(line))
        if not started:
            return
        self.is_started = True
        while True:
            self.is_awaiting_statement = True
            self.awaiting_since = self._loop.now()
            yield from self._await_reader()
            line = yield from self._await_line()
            self.is_awaiting_statement = False
            if line is None or not self._stream.is_open:
                return
            self._was_refused = False
            if not self._guard.admits(line):
                self._refuse_for_memory(len(line))
                continue
            self._message = wire.decode_client_line(line)
            # A message has up to 1 MiB and may wait for a target.
            del line
            if isinstance(self._message, DisconnectRequest):
                return
            yield from self._handle(self._message)
            self._message = None
            self._guard.finish_statement()
            if self._closes_after_answer():
                return

    def _await_reader(self) -> Steps:
        """Wait until the client has read most of the answers; let others run."""
        if self._stream.unsent_bytes > MAX_UNSENT_BEFORE_NEXT:
            self._guard.progress.start_draining(self._loop.now())
            drained = self._stream.drained(MAX_UNSENT_BEFORE_NEXT)
            yield from self._await_client(drained)
            self._guard.progress.end_draining()
        if self._stream.unread_bytes:
            # A client that sends statements ahead must not keep the loop busy.
            yield self._loop.sleep(_ZERO)

    def _refuse_for_memory(self, size: int) -> None:
        """Refuse a large statement that was not decoded; its transaction fails."""
        transaction = self._transaction
        failure: Failure = NO_MEMORY
        if transaction is not None:
            transaction.fail(NO_MEMORY.reason)
            failure = transaction.failure or NO_MEMORY
        self._services.metrics.count("statements_failed", failure.code.value)
        self._services.metrics.count("memory_refusals")
        self._services.memory_refusal_log.write(database=self._database, size=size)
        self._answer_failure(failure)

    def _closes_after_answer(self) -> bool:
        """Return whether the client has to continue at another instance.

        A client that sends one request after the other is never idle. Its session is
        closed with a refusal, because a client waits before it repeats a request, so
        that no request is on its way.
        """
        if not self._services.session_close_reason or not self._was_refused:
            return False
        return self._transaction is None and not self._stream.unread_bytes

    def _await_line(self) -> Steps:
        """Return the next line, or ``None`` at the end of the connection."""
        line = yield from self._await_client(self._next_line())
        self._pending_line = None
        return line

    def _await_client(self, event: "Future[Any]") -> Steps:
        """Wait for an event; abort the transaction at its idle timeout."""
        transaction = self._transaction
        since = self._loop.now()
        while transaction is not None and not event.done():
            # The limit may change during the wait.
            limit = self._services.configuration.transaction_idle_limit
            remaining = since + limit - self._loop.now()
            reason = transaction.evacuation_reason()
            if reason:
                transaction.fail(reason)
                self._services.log.write(
                    "transaction_ended", database=self._database, reason=reason
                )
                break
            if remaining <= _ZERO:
                transaction.fail("the transaction was idle for too long")
                self._services.log.write(
                    "transaction_idle", database=self._database, limit=limit
                )
                break
            with suppress(TimeoutError):
                yield self._loop.wait_for(
                    event, min(remaining, TRANSACTION_CHECK_INTERVAL)
                )
        return (yield event)

    # Session start

    def _start(self, message: Any) -> Steps:
        if not isinstance(message, StartRequest):
            self._send_failure(Failure(AnswerCode.BAD_REQUEST, "no session started"))
            return False
        self._database = message.database
        self.client = (message.database, message.key)
        self._admission = Admission(self._services, message.database, message.key)
        self._runner = StatementRunner(
            self._services, self._admission, self._state.values
        )
        failure = self._admission.refusal()
        if failure is not None and failure.code is not AnswerCode.NOT_RUN:
            yield from self._admission.refresh_configuration()
            failure = self._admission.refusal()
        if failure is not None:
            self._services.metrics.count("sessions_refused", failure.code.value)
            self._services.log.write(
                "session_refused",
                database=self._database,
                code=failure.code.value,
                reason=failure.reason,
                configuration=self._services.configuration.version,
                evidence_age=self._services.store_freshness.age(self._loop.now()),
            )
            self._send_failure(failure)
            return False
        self._services.metrics.count("sessions_started")
        self._send(wire.encode_ready(TransactionState.IDLE, NO_POSITION))
        return True

    # Statements

    def _handle(self, message: Any) -> Steps:
        if isinstance(message, Malformed) or not isinstance(message, Statement):
            reason = getattr(message, "reason", "a session is open already")
            self._answer_failure(Failure(AnswerCode.BAD_REQUEST, reason))
            return
        transaction = self._transaction
        if transaction is not None and transaction.failure is not None:
            self._answer_in_failed_transaction(message, transaction)
            return
        plan = self._services.stop_plan
        if plan and transaction and plan.aborts(self._loop.now(), message.kind):
            transaction.fail(STOP_REASON)
            self._answer(message, Outcome(transaction.failure, None))
            return
        match message.kind:
            case StatementKind.SET_VALUE:
                self._answer_change(
                    self._state.set_value(message.name, message.arguments)
                )
            case StatementKind.PREPARE:
                assert message.prepared is not None
                self._answer_change(self._state.prepare(message.name, message.prepared))
            case StatementKind.DEALLOCATE:
                if self._state.deallocate(message.name):
                    self._answer_locally()
                else:
                    self._answer_unknown_prepared(message)
            case StatementKind.BEGIN | StatementKind.BEGIN_READ_ONLY:
                yield from self._begin(message)
            case StatementKind.COMMIT | StatementKind.ROLLBACK:
                yield from self._end_transaction(message)
            case _:
                yield from self._run_statement(message)

    def _answer_in_failed_transaction(
        self, message: Statement, transaction: Transaction
    ) -> None:
        assert transaction.failure is not None
        if message.kind is StatementKind.ROLLBACK:
            self._transaction = None
            self._answer_locally()
        elif message.kind is StatementKind.COMMIT:
            self._transaction = None
            self._answer_failure(transaction.failure)
        else:
            failure = Failure(AnswerCode.BAD_REQUEST, transaction.failure.reason)
            self._answer_failure(failure)

    def _begin(self, message: Statement) -> Steps:
        if self._transaction is not None:
            reason = "a transaction is open already"
            self._answer_failure(Failure(AnswerCode.BAD_REQUEST, reason))
            return
        permit = yield from self._admission.admit(begins_transaction=True)
        if isinstance(permit, Failure):
            self._answer(message, Outcome(permit, None))
            return
        self._transaction = Transaction(
            self._services,
            self._runner,
            permit,
            message.kind is StatementKind.BEGIN_READ_ONLY,
            self._position_at(permit.route.service),
        )
        self._answer_locally()

    def _end_transaction(self, message: Statement) -> Steps:
        transaction = self._transaction
        if transaction is None:
            reason = "no transaction is open"
            self._answer_failure(Failure(AnswerCode.BAD_REQUEST, reason))
            return
        if message.kind is StatementKind.ROLLBACK:
            self._transaction = None
            transaction.roll_back()
            self._answer_locally()
            return
        outcome = yield from self._run_permitted(
            transaction, lambda: transaction.commit(message)
        )
        self._transaction = None
        if outcome.answer is not None and transaction.wrote:
            service = transaction.permit.route.service
            self._advance_position(service, outcome.answer.position)
        self._answer(message, outcome)

    def _run_statement(self, message: Statement) -> Steps:
        prepared = None
        if message.kind is StatementKind.EXECUTE:
            prepared = self._state.prepared_by_name.get(message.name)
            if prepared is None:
                self._answer_unknown_prepared(message)
                return
        writes = self._writes(message)
        if self._transaction is not None:
            yield from self._run_in_transaction(message, prepared, writes)
            return
        started_at = self._loop.now()
        run = self._runner.write if writes else self._runner.read
        outcome: Outcome | None = None
        permit = yield from self._admission.admit()
        while outcome is None:
            if isinstance(permit, Failure):
                self._answer(message, Outcome(permit, None))
                return
            position = self._position_at(permit.route.service)
            attempt = Attempt(message, prepared, permit, started_at, position)
            try:
                outcome = yield from run(attempt)
            except PermitEnded:
                permit = yield from self._admission.renew(permit, attempt.deadline)
        if outcome.answer is not None and writes:
            self._advance_position(permit.route.service, outcome.answer.position)
        kind = "write" if writes else "read"
        self._services.metrics.record(f"{kind}_latency", self._loop.now() - started_at)
        self._answer(message, outcome)

    def _run_in_transaction(
        self, message: Statement, prepared: PreparedStatement | None, writes: bool
    ) -> Steps:
        transaction = self._transaction
        assert transaction is not None
        outcome = yield from self._run_permitted(
            transaction, lambda: transaction.run(message, prepared, writes)
        )
        self._answer(message, outcome)

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

    def _position_at(self, service: str) -> LogPosition | Missing:
        return self._position_by_service.get(service, NO_POSITION)

    def _advance_position(self, service: str, position: LogPosition | Missing) -> None:
        known = self._position_at(service)
        if isinstance(position, Missing):
            return
        if isinstance(known, Missing) or position > known:
            self._position = self._position_by_service[service] = position

    # Responses

    def _transaction_state(self) -> TransactionState:
        if self._transaction is None:
            return TransactionState.IDLE
        if self._transaction.failure is not None:
            return TransactionState.FAILED
        return TransactionState.OPEN

    def _answer(self, message: Statement, outcome: Outcome) -> None:
        if outcome.failure is not None or outcome.answer is None:
            failure = outcome.failure or Failure(AnswerCode.FAILED, "no answer")
            self._log_failure(message, failure)
            self._answer_failure(failure)
            return
        answer = outcome.answer
        ready = wire.encode_ready(self._transaction_state(), answer.position)
        self._send(wire.encode_rows_and_signature(answer.rows, answer.signature, ready))

    def _log_failure(self, message: Statement, failure: Failure) -> None:
        services = self._services
        services.metrics.count("statements_failed", failure.code.value)
        services.log.write(
            "statement_failed",
            request_id=message.request_id,
            kind=message.kind.value,
            database=self._database,
            code=failure.code.value,
            reason=failure.reason,
            retry_after=failure.retry_after,
            configuration=services.configuration.version,
            evidence_age=services.store_freshness.age(self._loop.now()),
        )

    def _answer_locally(self) -> None:
        self._send(
            wire.LOCAL_DONE
            + wire.encode_ready(self._transaction_state(), self._position)
        )

    def _answer_change(self, failure: Failure | None) -> None:
        """Answer a change of the session's values or prepared statements."""
        if failure is None:
            self._answer_locally()
            return
        self._services.metrics.count("session_state_refused")
        self._answer_failure(failure)

    def _answer_unknown_prepared(self, message: Statement) -> None:
        failure = Failure(AnswerCode.UNKNOWN_STATEMENT, "no such prepared statement")
        if self._transaction is not None:
            self._transaction.fail(failure.reason)
        self._log_failure(message, failure)
        self._answer_failure(failure)

    def _answer_failure(self, failure: Failure) -> None:
        self._was_refused = failure.code is AnswerCode.NOT_RUN
        self._send(
            wire.encode_failure(failure)
            + wire.encode_ready(self._transaction_state(), self._position)
        )

    def _send_failure(self, failure: Failure) -> None:
        self._send(wire.encode_failure(failure))

    def _send(self, data: bytes) -> None:
        self._stream.write(data)
