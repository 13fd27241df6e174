"""The connections of a server with their transactions, and its execution slots."""

import threading
import time
import uuid
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.databases.exceptions import RefusalReason, StatementRefused
from standins.database.log import RecordedAnswer


class Transaction:
    """An open transaction.

    It holds the write lock from its first write on. ``read_position`` is the log
    position of its first read.
    """

    def __init__(self, term: int):
        self.term = term
        self.has_written = False
        self.read_position: LogPosition | None = None
        self.statements: list[Any] = []
        self.records: list[RecordedAnswer] = []


class Session:
    """A connection; ``port`` is the client's port of its socket."""

    def __init__(self, port: int):
        self.id = uuid.uuid4().hex
        self.port = port
        self.is_busy = False
        self.last_used_at = time.monotonic()
        self.transaction: Transaction | None = None
        # The server rolled back a transaction that the client considers open.
        self.transaction_lost = False


class Sessions:
    """The open connections; calls must be serialized by the caller."""

    def __init__(self) -> None:
        self.session_by_id: dict[str, Session] = {}

    def open(self, port: int, cap: int) -> Session:
        """Add a connection; refuse it if ``cap`` connections are open."""
        if len(self.session_by_id) >= cap:
            raise StatementRefused(
                RefusalReason.TOO_MANY_CONNECTIONS, f"{cap} connections are open"
            )
        session = Session(port)
        self.session_by_id[session.id] = session
        return session

    def find(self, connection: str, port: int) -> Session:
        """Return the connection if it belongs to the socket with this port."""
        session = self.session_by_id.get(connection)
        if session is None or session.port != port:
            raise StatementRefused(
                RefusalReason.NO_CONNECTION, "connection is not open on this socket"
            )
        return session

    def on_port(self, port: int) -> list[Session]:
        """Return the connections that the socket with this port opened."""
        return [row for row in self.session_by_id.values() if row.port == port]

    def idle_in_transaction(self, before: float) -> list[Session]:
        """Return connections in a transaction that were last used before a time."""
        return [
            row
            for row in self.session_by_id.values()
            if row.transaction is not None
            and not row.is_busy
            and row.last_used_at < before
        ]


class Slots:
    """A limit of concurrent statements with a bounded first-in, first-out queue."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._running = 0
        self._waiting: deque[object] = deque()

    @contextmanager
    def hold(self, slots: int, queue: int) -> Iterator[None]:
        """Wait for a slot and hold it; refuse the statement if the queue is full."""
        self._acquire(slots, queue)
        try:
            yield
        finally:
            with self._changed:
                self._running -= 1
                self._changed.notify_all()

    def _acquire(self, slots: int, queue: int) -> None:
        ticket = object()
        with self._changed:
            if self._running + len(self._waiting) >= slots + queue:
                raise StatementRefused(
                    RefusalReason.OVERLOADED, f"{queue} statements are waiting"
                )
            self._waiting.append(ticket)
            while self._waiting[0] is not ticket or self._running >= slots:
                self._changed.wait()
            self._waiting.popleft()
            self._running += 1
            self._changed.notify_all()
