"""Connections to one target, each used by one user at a time."""

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from bulrushloom.databases.base import DatabaseServer
from bulrushloom.databases.exceptions import (
    AnswerLost,
    RefusalReason,
    ServerUnreachable,
    StatementRefused,
)


class ConnectionPool:
    """Keep idle connections to ``server`` and open at most ``maximum``; thread-safe.

    A connection whose answer was lost is discarded, because a late answer or an open
    transaction could otherwise reach the next user.
    """

    def __init__(self, server: DatabaseServer, maximum: int):
        self.server = server
        self._maximum = maximum
        self._idle: list[str] = []
        self._open = 0
        self._closed = False
        self._changed = threading.Condition()

    def acquire(self, timeout: timedelta) -> str:
        """Return a connection that only the caller uses until it gives it back.

        Raise ``StatementRefused`` if all connections stay in use for ``timeout``, and
        ``ServerUnreachable`` if a new connection fails; nothing has run then.
        """
        with self._changed:
            connection = self._reserve(timeout)
        if connection is not None:
            return connection
        try:
            return self.server.connect()
        except BaseException as error:
            self._forget()
            if isinstance(error, AnswerLost):
                raise ServerUnreachable(f"connection failed: {error}") from error
            raise

    def release(self, connection: str) -> None:
        """Give back a connection without an open transaction."""
        with self._changed:
            if not self._closed and self._open <= self._maximum:
                self._idle.append(connection)
                self._changed.notify()
                return
        self.discard(connection)

    def discard(self, connection: str) -> None:
        """Close a connection in place of giving it back."""
        self.server.disconnect(connection)
        self._forget()

    @contextmanager
    def connection(self, timeout: timedelta) -> Iterator[str]:
        """Lend a connection and keep it afterwards if it is still usable."""
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
        """Change the maximum; surplus connections close as they are given back."""
        with self._changed:
            self._maximum = maximum
            surplus = self._idle[: max(0, self._open - maximum)]
            del self._idle[: len(surplus)]
            self._changed.notify_all()
        for connection in surplus:
            self.discard(connection)

    @property
    def open_count(self) -> int:
        """Return the number of open connections, idle or in use."""
        with self._changed:
            return self._open

    def close(self) -> None:
        """Close idle connections now and the others as they are given back."""
        with self._changed:
            self._closed = True
            idle, self._idle = self._idle, []
            self._changed.notify_all()
        for connection in idle:
            self.discard(connection)

    def _reserve(self, timeout: timedelta) -> str | None:
        """Return an idle connection, or nothing for the right to open one."""
        deadline = time.monotonic() + timeout.total_seconds()
        while not self._closed:
            # The most recently used connection is the least likely to be stale.
            if self._idle:
                return self._idle.pop()
            if self._open < self._maximum:
                self._open += 1
                return None
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                message = f"all {self._maximum} connections are in use"
                raise StatementRefused(RefusalReason.TOO_MANY_CONNECTIONS, message)
            self._changed.wait(remaining)
        raise ServerUnreachable("pool is closed")

    def _forget(self) -> None:
        with self._changed:
            self._open -= 1
            self._changed.notify()


def is_reusable_after(error: BaseException) -> bool:
    """Return whether a connection can be kept after a call on it failed."""
    if isinstance(error, StatementRefused):
        return error.reason is not RefusalReason.NO_CONNECTION
    return False
