"""Builders of stand-ins, groups and statements for the tests."""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any

import urllib3

from bulrushloom.coordination.sessions.base import ORIGIN, LogPosition
from bulrushloom.databases.base import IdempotencyRecord, StatementCall
from bulrushloom.databases.http import HttpDatabaseClient
from standins.base import Standin, StandinServer
from standins.database.app import DatabaseStandin, GroupSettings

SCHEMA = "CREATE TABLE orders (id INTEGER PRIMARY KEY, item TEXT UNIQUE);"
INSERT = "INSERT INTO orders (item) VALUES (?)"
SELECT = "SELECT item FROM orders ORDER BY id"
CALL_TIMEOUT = timedelta(seconds=3)
ORIGIN_HEADER = "test/black-river"


@contextmanager
def running_standin(standin: Standin) -> Iterator[str]:
    server = StandinServer(standin).start()
    try:
        yield server.address
    finally:
        server.close()


def send_raw(address: str, path: str, body: bytes | None = None, origin: str = "t/t"):
    """Send an HTTP request without the client classes of the package."""
    return urllib3.request(
        "GET" if body is None else "POST",
        f"http://{address}{path}",
        body=body,
        headers={"X-From": origin},
        retries=False,
        timeout=5,
    )


def set_faults(address: str, **settings: Any) -> dict[str, Any]:
    response = urllib3.request("POST", f"http://{address}/faults", json=settings)
    assert response.status == 200, response.data
    return response.json()


def call_counts(address: str) -> dict[str, int]:
    return send_raw(address, "/faults").json()["calls"]


def wait_until(condition, seconds: float = 5.0) -> None:
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "condition did not become true"
        time.sleep(0.005)


def write(sql: str, *params: Any, term: int = 1, record: str = "", digest: str = "h"):
    idempotency = IdempotencyRecord("hotel", record, digest) if record else None
    return StatementCall(
        sql, list(params), term, False, ORIGIN, None, timedelta(), idempotency
    )


def read(
    sql: str = SELECT,
    term: int = 1,
    position: LogPosition = ORIGIN,
    max_age_ms: int | None = None,
    wait_ms: int = 0,
) -> StatementCall:
    max_age = None if max_age_ms is None else timedelta(milliseconds=max_age_ms)
    wait = timedelta(milliseconds=wait_ms)
    return StatementCall(sql, [], term, True, position, max_age, wait, None)


class Server(HttpDatabaseClient):
    """A client of one server that reuses a connection for single statements."""

    def __init__(self, address: str):
        super().__init__(address, ORIGIN_HEADER, CALL_TIMEOUT)
        self.faults(connect_ms=0)
        self._connection = ""

    def faults(self, **settings: Any) -> None:
        set_faults(self.address, **settings)

    def run(self, work: StatementCall):
        self._connection = self._connection or self.connect()
        return self.execute(self._connection, work)

    def items(self, term: int = 1) -> list[str]:
        return [row[0] for row in self.run(read(term=term)).rows]

    def reconnect(self) -> None:
        self._connection = ""


class Group:
    """A group of three in-process servers; the first is the primary of term 1."""

    def __init__(self) -> None:
        names = ["a", "b", "c"]
        address_by_peer: dict[str, str] = {}
        self._servers = []
        for name in names:
            settings = GroupSettings(
                name, "orders-1", f"domain-{name}", dict(address_by_peer), name == "a"
            )
            server = StandinServer(DatabaseStandin(settings, SCHEMA)).start()
            address_by_peer[name] = server.address
            self._servers.append(server)
        self.servers = [Server(server.address) for server in self._servers]
        for server in self.servers[1:]:
            wait_until(lambda server=server: server.status().stored_position == (1, 1))

    def fault_replicas(self, **settings: Any) -> None:
        for server in self.servers[1:]:
            server.faults(**settings)

    def wait_until_held(self, position: LogPosition) -> None:
        for server in self.servers:
            status = server.status(position, timedelta(seconds=5))
            assert status.stored_position >= position

    def promote(self, index: int, term: int, candidate: str = "watcher") -> None:
        """Fence all servers but the first and make one of them the primary."""
        for server in self.servers[1:]:
            server.fence(term, candidate)
        self.servers[index].promote(term, candidate)

    def close(self) -> None:
        for client in self.servers:
            client.close()
        for server in self._servers:
            server.close()
