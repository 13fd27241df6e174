"""Client session: its connection, the order of its messages, and its end.

What a statement does is in ``clients.session_statements``.
"""

from collections.abc import Callable
from concurrent.futures import Future
from contextlib import suppress
from datetime import timedelta
from typing import Any

from bulrushloom.platform import wire
from bulrushloom.proxy.clients.session_answers import SessionAnswers
from bulrushloom.proxy.clients.session_context import SessionContext
from bulrushloom.proxy.clients.session_guard import (
    MAX_UNSENT_BEFORE_NEXT,
    NO_MEMORY,
    SessionGuard,
)
from bulrushloom.proxy.clients.session_statements import SessionStatements
from bulrushloom.proxy.messages import (
    AnswerCode,
    DisconnectRequest,
    Failure,
    StartRequest,
    Statement,
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
        self._guard = SessionGuard(services.memory, stream)
        self._guard.account.is_closable = lambda: self.is_closable
        self._guard.account.close_connection = self.refuse
        self._state = self._guard.state
        self._context = SessionContext()
        self._answers = SessionAnswers(services, stream, self._context)
        self._statements = SessionStatements(
            services, self._context, self._answers, self._state
        )
        self.client = ("", "")
        self.is_started = False
        self.is_awaiting_statement = True
        self.awaiting_since = services.loop.now()
        self._message: Any = None
        stream.on_data(self._on_data)
        services.loop.spawn(self._run())

    @property
    def is_idle(self) -> bool:
        """Return whether closing the session interrupts no statement or transaction."""
        return (
            self.is_closable
            and self._context.transaction is None
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
            in_transaction = self._context.transaction is not None
            code = AnswerCode.ABORTED if in_transaction else AnswerCode.NOT_RUN
            self._answers.send_failure(Failure(code, reason, NO_MEMORY.retry_after))
        self._stream.close(reason)

    @property
    def has_transaction(self) -> bool:
        """Return whether a transaction is open."""
        return self._context.transaction is not None

    def abort_idle_transaction(self, reason: str) -> None:
        """Abort the open transaction unless one of its statements is running."""
        transaction = self._context.transaction
        if transaction is None or transaction.failure is not None:
            return
        if self.is_awaiting_statement:
            transaction.fail(reason)
            self._log_end_of_transaction(reason)

    def close(self, reason: str) -> None:
        """Close the client connection."""
        self._stream.close(reason)

    def end(self) -> None:
        """Close the client connection; answer a request that still runs."""
        message = self._message
        if not self.is_awaiting_statement and isinstance(message, Statement):
            in_transaction = self._context.transaction is not None
            self._answers.send_failure(
                unfinished_failure(
                    message, self._statements.writes(message), in_transaction
                )
            )
        self._stream.close(STOP_REASON)

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
            if self._context.transaction is not None:
                self._context.transaction.abandon("the client disconnected")
                self._context.transaction = None
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
            self._answers.was_refused = False
            if not self._guard.admits(line):
                self._refuse_for_memory(len(line))
                continue
            self._message = wire.decode_client_line(line)
            # A message has up to 1 MiB and may wait for a target.
            del line
            if isinstance(self._message, DisconnectRequest):
                return
            yield from self._statements.handle(self._message)
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
        transaction = self._context.transaction
        failure: Failure = NO_MEMORY
        if transaction is not None:
            transaction.fail(NO_MEMORY.reason)
            failure = transaction.failure or NO_MEMORY
        self._services.metrics.count("statements_failed", failure.code.value)
        self._services.metrics.count("memory_refusals")
        self._services.memory_refusal_log.write(
            database=self._context.database, size=size
        )
        self._answers.answer_failure(failure)

    def _closes_after_answer(self) -> bool:
        """Return whether the client has to continue at another instance.

        A client that sends one request after the other is never idle. Its session is
        closed with a refusal, because a client waits before it repeats a request, so
        that no request is on its way.
        """
        if not self._services.session_close_reason or not self._answers.was_refused:
            return False
        return self._context.transaction is None and not self._stream.unread_bytes

    def _await_line(self) -> Steps:
        """Return the next line, or ``None`` at the end of the connection."""
        line = yield from self._await_client(self._next_line())
        self._pending_line = None
        return line

    def _await_client(self, event: "Future[Any]") -> Steps:
        """Wait for an event; abort the transaction at its idle timeout."""
        transaction = self._context.transaction
        since = self._loop.now()
        while transaction is not None and not event.done():
            # The limit may change during the wait.
            limit = self._services.configuration.transaction_idle_limit
            remaining = since + limit - self._loop.now()
            if self._fail_if_ended(transaction, remaining, limit):
                break
            with suppress(TimeoutError):
                yield self._loop.wait_for(
                    event, min(remaining, TRANSACTION_CHECK_INTERVAL)
                )
        return (yield event)

    def _fail_if_ended(
        self, transaction: Transaction, remaining: timedelta, limit: timedelta
    ) -> bool:
        """Return whether an idle transaction must end; it fails then."""
        reason = transaction.evacuation_reason()
        if reason:
            transaction.fail(reason)
            self._log_end_of_transaction(reason)
            return True
        if remaining <= _ZERO:
            transaction.fail("the transaction was idle for too long")
            self._services.log.write(
                "transaction_idle", database=self._context.database, limit=limit
            )
            return True
        return False

    def _log_end_of_transaction(self, reason: str) -> None:
        self._services.log.write(
            "transaction_ended", database=self._context.database, reason=reason
        )

    # Session start

    def _start(self, message: Any) -> Steps:
        if not isinstance(message, StartRequest):
            self._answers.send_failure(
                Failure(AnswerCode.BAD_REQUEST, "no session started")
            )
            return False
        self._context.database = message.database
        self.client = (message.database, message.key)
        failure = yield from self._statements.start(message.database, message.key)
        if failure is not None:
            self._services.metrics.count("sessions_refused", failure.code.value)
            self._services.log.write(
                "session_refused",
                database=self._context.database,
                code=failure.code.value,
                reason=failure.reason,
                configuration=self._services.configuration.version,
                evidence_age=self._services.store_freshness.age(self._loop.now()),
            )
            self._answers.send_failure(failure)
            return False
        self._services.metrics.count("sessions_started")
        self._answers.send_ready()
        return True
