"""In-memory database server that counts its connections."""

import itertools
import threading

from bulrushloom.databases.base import DatabaseClient


class CountingServer(DatabaseClient):
    """Server whose connections have no sockets; ``connect`` raises ``failure``."""

    def __init__(self) -> None:
        self.open_connections: set[str] = set()
        self.max_open_count = 0
        self.failure: Exception | None = None
        self._numbers = itertools.count()
        self._lock = threading.Lock()

    def connect(self) -> str:
        if self.failure is not None:
            raise self.failure
        with self._lock:
            connection = f"c{next(self._numbers)}"
            self.open_connections.add(connection)
            self.max_open_count = max(self.max_open_count, len(self.open_connections))
        return connection

    def disconnect(self, connection: str) -> None:
        with self._lock:
            self.open_connections.remove(connection)

    def _not_implemented(self, *_, **__):
        raise NotImplementedError

    execute = begin = commit = rollback = status = _not_implemented
    fence = promote = follow = _not_implemented

    def close(self) -> None:
        pass
