"""Leased connections at the instance that uses them."""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Sequence
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
from bulrushloom.proxy.sharing.leases import Lease, is_state_small
from bulrushloom.proxy.sharing.protocol import (
    MAX_REASON_LENGTH,
    Close,
    ConnectionState,
    Query,
    Release,
)
from bulrushloom.runtime.loop import set_exception_if_pending, set_result_if_pending

# The client never reads the properties of the statements that others have prepared.
_UNKNOWN_STATEMENT = PreparedStatement(False, b"")


class _AnswerQueue(LeasedConnection):
    """Leased connection with the futures of its unanswered statements."""

    def __init__(self, target: Target, account: str):
        super().__init__(target, account)
        self._unanswered: deque[Future[ServerAnswer]] = deque()
        self._closed_reason = ""
        self._is_at_owner = False

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
            and self._is_state_small()
        )

    def _is_state_small(self) -> bool:
        return is_state_small(self.values, list(self.prepared_by_name))

    def _expect_answer(self) -> "Future[ServerAnswer]":
        future: Future[ServerAnswer] = Future()
        if self._closed_reason:
            error = ConnectionLost(
                self._closed_reason, was_sent=False, is_at_owner=self._is_at_owner
            )
            future.set_exception(error)
        else:
            self._unanswered.append(future)
        return future

    def deliver(self, answer: ServerAnswer) -> None:
        """Complete the oldest unanswered statement."""
        if self._unanswered:
            self.state, self.position = answer.state, answer.position
            set_result_if_pending(self._unanswered.popleft(), answer)

    def lose(self, reason: str, was_sent: bool, is_at_owner: bool = False) -> None:
        """Record the loss of the connection, and fail the unanswered statements.

        With ``was_sent``, they may have reached the target. With ``is_at_owner``, the
        owner of the connection was lost.
        """
        self._closed_reason = self._closed_reason or reason or "lost"
        self._is_at_owner = is_at_owner
        while self._unanswered:
            error = ConnectionLost(reason, was_sent=was_sent, is_at_owner=is_at_owner)
            set_exception_if_pending(self._unanswered.popleft(), error)


class LeaseLink(ABC):
    """Connection to an owner, as the leases over it use it."""

    @property
    @abstractmethod
    def is_working(self) -> bool:
        """Return whether the owner has sent something recently."""

    @abstractmethod
    def send(self, message: msgspec.Struct) -> None:
        """Send a short message."""

    @abstractmethod
    def send_if_room(self, message: msgspec.Struct) -> bool:
        """Send a message unless too much is waiting; return whether it was sent."""

    @abstractmethod
    def forget(self, number: int) -> None:
        """Drop a lease that has ended."""


class RemoteConnection(_AnswerQueue):
    """Connection that was leased from another instance over ``link``."""

    def __init__(self, number: int, target: Target, account: str, link: LeaseLink):
        super().__init__(target, account)
        self._number = number
        self._link = link
        self._granted_values: dict[bytes, bytes] = {}
        self._granted_prepared: list[bytes] = []
        self._ends_with_next = False
        self._ends_with_answer = False

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
        if self._closed_reason:
            return future
        ends = self._ends_with_next and self._is_state_small()
        release = self._changed_state() if ends else None
        if self._link.send_if_room(
            Query(self._number, request_id, text, after, release)
        ):
            self._ends_with_answer = ends
        else:
            # Earlier statements without an answer may have run, but not this one.
            unsent = self._unanswered.pop()
            reason = "too much is waiting to be sent to the owner"
            unsent.set_exception(ConnectionLost(reason, was_sent=False))
            self.close(reason)
        return future

    def expect_release(self) -> None:
        """Announce that the connection is released after the next statement."""
        self._ends_with_next = True

    def _changed_state(self) -> ConnectionState:
        prepared = list(self.prepared_by_name)
        return ConnectionState(
            None if self.values == self._granted_values else self.values,
            None if prepared == self._granted_prepared else prepared,
        )

    @property
    def is_path_working(self) -> bool:
        """Return whether the owner has sent something recently."""
        return self._link.is_working

    def release(self) -> None:
        """Return the connection, or close it if it cannot be reused."""
        if not self.is_reusable:
            self.close("not reusable")
            return
        self._closed_reason = "released"
        self._link.forget(self._number)
        if not self._ends_with_answer:
            self._link.send(Release(self._number, self._changed_state()))

    def close(self, reason: str = "closed") -> None:
        """Close the connection; the server rolls back an open transaction."""
        if not self._closed_reason:
            self._link.forget(self._number)
            self._link.send(Close(self._number, reason[:MAX_REASON_LENGTH]))
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
