"""Connections of a server, their transactions, and its slots."""

import threading
import time
import uuid
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.databases.exceptions import RefusalReason, StatementRefused
from standins.database.log import Record


class Transaction:
    """Hold an open transaction; it owns the group's write lock once it wrote."""

    def __init__(self, term: int):
        self.term = term
        self.wrote = False
        self.read_at: LogPosition | None = None
        self.statements: list[Any] = []
        self.records: list[Record] = []


class Session:
    """Hold one connection; ``port`` is the client's port of its socket."""

    def __init__(self, port: int):
        self.id = uuid.uuid4().hex
        self.port = port
        self.busy = False
        self.last_used = time.monotonic()
        self.transaction: Transaction | None = None
        # The server rolled back a transaction that the client believes open.
        self.transaction_lost = False


class Sessions:
    """Hold the open connections; the caller serializes all calls."""

    def __init__(self) -> None:
        self.session_by_id: dict[str, Session] = {}

    def open(self, port: int, cap: int) -> Session:
        """Add a connection unless ``cap`` of them are open."""
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
        """Return the connections of one socket."""
        return [row for row in self.session_by_id.values() if row.port == port]

    def idle_in_transaction(self, before: float) -> list[Session]:
        """Return connections whose transaction was last used before a time."""
        return [
            row
            for row in self.session_by_id.values()
            if row.transaction is not None and not row.busy and row.last_used < before
        ]


class Slots:
    """Limit concurrent statements; more wait in arrival order in a bounded queue."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._running = 0
        self._waiting: deque[object] = deque()

    @contextmanager
    def hold(self, slots: int, queue: int) -> Iterator[None]:
        """Hold one slot; raise ``StatementRefused`` if the queue is full."""
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
