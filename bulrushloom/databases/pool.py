"""Pool of connections to one target."""

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from bulrushloom.databases.base import DatabaseClient
from bulrushloom.databases.exceptions import (
    AnswerLost,
    RefusalReason,
    ServerUnreachable,
    StatementRefused,
)


class ConnectionPool:
    """Pool of at most ``maximum`` connections to ``server``; thread-safe.

    A connection whose answer was lost is discarded, because its next user could
    otherwise receive the late answer or find an open transaction.
    """

    def __init__(self, server: DatabaseClient, maximum: int):
        self.server = server
        self._maximum = maximum
        self._idle: list[str] = []
        self._open_count = 0
        self._closed = False
        self._state_changed = threading.Condition()

    def acquire(self, timeout: timedelta) -> str:
        """Return a connection for exclusive use, until ``release`` or ``discard``.

        Raise ``StatementRefused`` if no connection becomes free within ``timeout``,
        and ``ServerUnreachable`` if a new connection fails. In both cases nothing has
        run.
        """
        with self._state_changed:
            connection = self._take_idle_or_reserve_slot(timeout)
        if connection is not None:
            return connection
        try:
            return self.server.connect()
        except BaseException as error:
            self._release_slot()
            if isinstance(error, AnswerLost):
                raise ServerUnreachable(f"connection failed: {error}") from error
            raise

    def release(self, connection: str) -> None:
        """Return a connection without an open transaction to the pool."""
        with self._state_changed:
            if not self._closed and self._open_count <= self._maximum:
                self._idle.append(connection)
                self._state_changed.notify()
                return
        self.discard(connection)

    def discard(self, connection: str) -> None:
        """Close a connection instead of returning it to the pool."""
        self.server.disconnect(connection)
        self._release_slot()

    @contextmanager
    def connection(self, timeout: timedelta) -> Iterator[str]:
        """Acquire a connection for a ``with`` block; discard it if not reusable."""
        connection = self.acquire(timeout)
        try:
            yield connection
        except BaseException as error:
            if is_reusable_after(error):
                self.release(connection)
            else:
                self.discard(connection)
            raise
        self.release(connection)

    def set_maximum(self, maximum: int) -> None:
        """Change the maximum; surplus connections in use are closed on release."""
        with self._state_changed:
            self._maximum = maximum
            surplus_connections = self._idle[: max(0, self._open_count - maximum)]
            del self._idle[: len(surplus_connections)]
            self._state_changed.notify_all()
        for connection in surplus_connections:
            self.discard(connection)

    @property
    def open_count(self) -> int:
        """Return the number of open connections, idle or in use."""
        with self._state_changed:
            return self._open_count

    def close(self) -> None:
        """Close the idle connections now, and the others when they are released."""
        with self._state_changed:
            self._closed = True
            idle, self._idle = self._idle, []
            self._state_changed.notify_all()
        for connection in idle:
            self.discard(connection)

    def _take_idle_or_reserve_slot(self, timeout: timedelta) -> str | None:
        """Return an idle connection, or ``None`` if the caller may open one."""
        deadline = time.monotonic() + timeout.total_seconds()
        while not self._closed:
            # The most recently used connection is the least likely to be stale.
            if self._idle:
                return self._idle.pop()
            if self._open_count < self._maximum:
                self._open_count += 1
                return None
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                message = f"all {self._maximum} connections are in use"
                raise StatementRefused(RefusalReason.TOO_MANY_CONNECTIONS, message)
            self._state_changed.wait(remaining_s)
        raise ServerUnreachable("pool is closed")

    def _release_slot(self) -> None:
        with self._state_changed:
            self._open_count -= 1
            self._state_changed.notify()


def is_reusable_after(error: BaseException) -> bool:
    """Return whether a connection can be reused after a call on it failed."""
    if isinstance(error, StatementRefused):
        return error.reason is not RefusalReason.NO_CONNECTION
    return False
