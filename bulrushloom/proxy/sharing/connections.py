"""Leased connections at the instance that uses them."""

from collections import deque
from collections.abc import Callable, Sequence
from concurrent.futures import Future

import msgspec

from bulrushloom.proxy.base import LeasedConnection
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.connections import ConnectionLost, ServerConnection
from bulrushloom.proxy.messages import (
    LogPosition,
    PreparedStatement,
    ServerAnswer,
    TransactionState,
)
from bulrushloom.proxy.sharing.leases import Lease
from bulrushloom.proxy.sharing.protocol import MAX_REASON_LENGTH, Close, Query, Release
from bulrushloom.runtime.loop import set_exception_if_pending, set_result_if_pending

# The client never reads the properties of the statements that others have prepared.
_UNKNOWN_STATEMENT = PreparedStatement(False, b"")


class _AnswerQueue(LeasedConnection):
    """Leased connection with the futures of its unanswered statements."""

    def __init__(self, target: Target, account: str):
        super().__init__(target, account)
        self._unanswered: deque[Future[ServerAnswer]] = deque()
        self._closed_reason = ""

    @property
    def is_open(self) -> bool:
        """Return whether statements can be sent."""
        return not self._closed_reason

    @property
    def is_reusable(self) -> bool:
        """Return whether another session may use the connection."""
        return (
            self.state is TransactionState.IDLE
            and not self._unanswered
            and self.is_open
        )

    def _expect_answer(self) -> "Future[ServerAnswer]":
        future: Future[ServerAnswer] = Future()
        if self._closed_reason:
            future.set_exception(ConnectionLost(self._closed_reason, was_sent=False))
        else:
            self._unanswered.append(future)
        return future

    def deliver(self, answer: ServerAnswer) -> None:
        """Complete the oldest unanswered statement."""
        if self._unanswered:
            self.state, self.position = answer.state, answer.position
            set_result_if_pending(self._unanswered.popleft(), answer)

    def lose(self, reason: str, was_sent: bool) -> None:
        """Record the loss of the connection, and fail the unanswered statements.

        With ``was_sent``, they may have reached the target.
        """
        self._closed_reason = self._closed_reason or reason or "lost"
        while self._unanswered:
            error = ConnectionLost(reason, was_sent=was_sent)
            set_exception_if_pending(self._unanswered.popleft(), error)


class RemoteConnection(_AnswerQueue):
    """Connection that was leased from another instance.

    ``send`` sends a message to the owner, and ``forget`` drops a lease that has ended.
    """

    def __init__(
        self,
        number: int,
        target: Target,
        account: str,
        send: Callable[[msgspec.Struct], None],
        forget: Callable[[int], None],
    ):
        super().__init__(target, account)
        self._number = number
        self._send = send
        self._forget = forget
        self._granted_values: dict[bytes, bytes] = {}
        self._granted_prepared: list[bytes] = []

    def set_state(self, values: dict[bytes, bytes], prepared: Sequence[bytes]) -> None:
        """Set the session values and prepared statements that the connection has."""
        self.values, self._granted_values = dict(values), values
        self.prepared_by_name = dict.fromkeys(prepared, _UNKNOWN_STATEMENT)
        self._granted_prepared = list(prepared)

    def query(
        self, request_id: bytes, text: bytes, after: LogPosition | None = None
    ) -> "Future[ServerAnswer]":
        """Send one statement; the future may fail with ``ConnectionLost``."""
        future = self._expect_answer()
        if not self._closed_reason:
            self._send(Query(self._number, request_id, text, after))
        return future

    def release(self) -> None:
        """Return the connection, or close it if it cannot be reused."""
        if not self.is_reusable:
            self.close("not reusable")
            return
        self._closed_reason = "released"
        self._forget(self._number)
        values = None if self.values == self._granted_values else self.values
        prepared: list[bytes] | None = list(self.prepared_by_name)
        if prepared == self._granted_prepared:
            prepared = None
        self._send(Release(self._number, values, prepared))

    def close(self, reason: str = "closed") -> None:
        """Close the connection; the server rolls back an open transaction."""
        if not self._closed_reason:
            self._forget(self._number)
            self._send(Close(self._number, reason[:MAX_REASON_LENGTH]))
        self.lose(reason, was_sent=True)


class LocalConnection(_AnswerQueue):
    """Connection that was leased from this instance."""

    def __init__(self, target: Target, account: str, lease: Lease):
        super().__init__(target, account)
        self._lease = lease

    def use(self, connection: ServerConnection) -> None:
        """Use the session values and prepared statements of the connection."""
        self.values = connection.values
        self.prepared_by_name = connection.prepared_by_name

    def query(
        self, request_id: bytes, text: bytes, after: LogPosition | None = None
    ) -> "Future[ServerAnswer]":
        """Send one statement; the future may fail with ``ConnectionLost``."""
        future = self._expect_answer()
        if not self._closed_reason and not self._lease.query(request_id, text, after):
            self.close("too many statements")
        return future

    def release(self) -> None:
        """Return the connection, or close it if it cannot be reused."""
        if not self.is_reusable:
            self.close("not reusable")
            return
        self._closed_reason = "released"
        self._lease.release()

    def close(self, reason: str = "closed") -> None:
        """Close the connection; the server rolls back an open transaction."""
        if not self._closed_reason:
            self._lease.close(reason)
        self.lose(reason, was_sent=True)
