"""A database server in memory that counts its connections."""

import itertools
import threading

from bulrushloom.databases.base import DatabaseServer


class CountingServer(DatabaseServer):
    """Open connections without a socket; ``failure`` is raised by ``connect``."""

    def __init__(self) -> None:
        self.open: set[str] = set()
        self.most_open = 0
        self.failure: Exception | None = None
        self._numbers = itertools.count()
        self._lock = threading.Lock()

    def connect(self) -> str:
        if self.failure is not None:
            raise self.failure
        with self._lock:
            connection = f"c{next(self._numbers)}"
            self.open.add(connection)
            self.most_open = max(self.most_open, len(self.open))
        return connection

    def disconnect(self, connection: str) -> None:
        with self._lock:
            self.open.remove(connection)

    def _unused(self, *_, **__):
        raise NotImplementedError

    execute = begin = commit = rollback = status = _unused
    fence = promote = follow = _unused

    def close(self) -> None:
        pass
