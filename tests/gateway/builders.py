"""Fake handler and raw HTTP client for gateway tests."""

import socket
from collections.abc import Iterator
from concurrent.futures import Future
from contextlib import contextmanager
from datetime import timedelta
from typing import Any

import orjson

from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.core.servers import ServerOptions
from bulrushloom.gateway.base import (
    BeginAnswer,
    BeginRequest,
    EndAnswer,
    EndRequest,
    QueryAnswer,
    RequestHandler,
)
from bulrushloom.gateway.server import GatewayServer, create_server

KEY = "orders-key-5c1f"
BODY = {"database": "orders", "sql": "SELECT 1", "params": [1, 2.5, "a", None, True]}


class FakeHandler(RequestHandler):
    """Handler with fixed answers.

    If ``open_futures`` is a list, it collects futures that the test completes.
    """

    def __init__(self):
        self.requests: list[Any] = []
        self.digests: list[str] = []
        self.open_futures: list[Future] | None = None
        self.error: Exception | None = None
        self.not_ready: Refusal | None = None

    def authenticate(self, key):
        if key == KEY:
            return "hotel-orders"
        return Refusal(ErrorKind.UNAUTHENTICATED, "unknown key")

    def submit(self, request, key_digest):
        self.requests.append(request)
        self.digests.append(key_digest)
        if self.error is not None:
            raise self.error
        future: Future = Future()
        if self.open_futures is not None:
            self.open_futures.append(future)
        else:
            future.set_result(answer(request))
        return future

    def readiness(self):
        return self.not_ready

    def status(self):
        return {}


def answer(request):
    if isinstance(request, BeginRequest):
        return BeginAnswer("tx-1", "session-1")
    if isinstance(request, EndRequest):
        return EndAnswer("committed" if request.commit else "rolled_back", "s")
    return QueryAnswer(["a"], [[1]], 1, "session-1", "orders-1a", "replica")


@contextmanager
def serving(handler: RequestHandler, **options: Any) -> Iterator[GatewayServer]:
    server = create_server(handler, ("127.0.0.1", 0), ServerOptions(**options))
    server.open()
    try:
        yield server
    finally:
        server.close(timedelta())


class Caller:
    """Raw HTTP client on one connection."""

    def __init__(self, server: GatewayServer):
        self.socket = socket.create_connection(("127.0.0.1", server.port), timeout=10)
        self._file = self.socket.makefile("rb")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self._file.close()
        self.socket.close()

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def receive(self) -> tuple[int, dict[str, str], Any]:
        status = int(self._file.readline().split()[1])
        headers = {}
        while line := self._file.readline().strip().decode():
            name, _, value = line.partition(": ")
            headers[name.lower()] = value
        body = self._file.read(int(headers.get("content-length", 0)))
        return status, headers, orjson.loads(body) if body else None

    def request(
        self, *arguments: Any, **options: Any
    ) -> tuple[int, dict[str, str], Any]:
        self.send(request_bytes(*arguments, **options))
        return self.receive()

    def ended(self) -> bool:
        return self._file.read(1) == b""


def request_bytes(
    method: str = "POST",
    path: str = "/v1/query",
    body: Any = BODY,
    key: str | None = KEY,
    headers: dict[str, str] | None = None,
) -> bytes:
    content = body if isinstance(body, bytes) else orjson.dumps(body)
    lines = [f"{method} {path} HTTP/1.1", "Host: x", f"Content-Length: {len(content)}"]
    if key is not None:
        lines.append(f"Authorization: Bearer {key}")
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join([*lines, "", ""]).encode() + content
