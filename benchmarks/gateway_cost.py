"""Measure the caller gateway: requests a second, and memory of idle connections."""

import multiprocessing
import os
import socket
import threading
import time
from collections.abc import Iterator
from concurrent.futures import Future
from contextlib import contextmanager
from datetime import timedelta
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import fire

from bulrushloom.core.errors import Refusal
from bulrushloom.core.servers import ServerOptions
from bulrushloom.gateway.base import (
    CallerAnswer,
    CallerRequest,
    QueryAnswer,
    RequestHandler,
)
from bulrushloom.gateway.server import create_server

BODY = (
    b'{"database":"orders","sql":"SELECT id, state FROM orders WHERE id = ?",'
    b'"params":[17],"session":"' + b"s" * 120 + b'"}'
)
REQUEST = (
    b"POST /v1/query HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer key\r\n"
    b"Content-Type: application/json\r\nContent-Length: "
    + str(len(BODY)).encode()
    + b"\r\n\r\n"
    + BODY
)
ROWS = [[i, "open", 12.5] for i in range(5)]


class InstantHandler(RequestHandler):
    """Answer at once."""

    def authenticate(self, key: str) -> str | Refusal:
        """Accept any key."""
        return "account"

    def submit(self, request: CallerRequest) -> Future[CallerAnswer | Refusal]:
        """Return a finished future."""
        future: Future[CallerAnswer | Refusal] = Future()
        columns = ["id", "state", "total"]
        future.set_result(QueryAnswer(columns, ROWS, 5, "s" * 120, "t", "replica"))
        return future

    def readiness(self) -> Refusal | None:
        """Report ready."""
        return None

    def status(self) -> dict[str, Any]:
        """Return nothing."""
        return {}


def _resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def _serve(pipe: Connection, threads: int) -> None:
    options = ServerOptions(threads=threads)
    server = create_server(InstantHandler(), ("127.0.0.1", 0), options)
    server.open()
    pipe.send(server.port)
    while pipe.recv():
        pipe.send((time.process_time(), _resident_bytes()))
    server.close(timedelta(seconds=1), wait_idle=False)


def _call(port: int, until: float, counts: list[int]) -> None:
    count = 0
    with socket.create_connection(("127.0.0.1", port)) as connection:
        while time.perf_counter() < until:
            connection.sendall(REQUEST)
            if not connection.recv(65536).startswith(b"HTTP/1.1 200"):
                raise RuntimeError("the gateway refused a request")
            count += 1
    counts.append(count)


def _observe(pipe: Connection) -> tuple[float, int]:
    pipe.send(True)
    cpu, memory = pipe.recv()
    return cpu, memory


def _load(pipe: Connection, port: int, callers: int, seconds: float) -> None:
    counts: list[int] = []
    cpu, _ = _observe(pipe)
    until = time.perf_counter() + seconds
    threads = [
        threading.Thread(target=_call, args=(port, until, counts))
        for _ in range(callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    used = _observe(pipe)[0] - cpu
    total = sum(counts)
    print(
        f"{callers} callers: {total / seconds:.0f} requests/s, "
        f"{used / seconds:.2f} core, {used / total * 1e6:.0f} us of CPU each, "
        f"{total / used:.0f} requests per core second"
    )


def _idle(pipe: Connection, port: int, connections: int, used: bool) -> None:
    _, before = _observe(pipe)
    sockets = []
    for _ in range(connections):
        connection = socket.create_connection(("127.0.0.1", port))
        if used:
            connection.sendall(REQUEST)
            connection.recv(65536)
        sockets.append(connection)
    time.sleep(1)
    cpu, after = _observe(pipe)
    time.sleep(3)
    idle_cpu = (_observe(pipe)[0] - cpu) / 3
    print(
        f"{connections} idle connections (used before: {used}): "
        f"{(after - before) / connections:.0f} bytes each, {idle_cpu:.4f} core"
    )
    for connection in sockets:
        connection.close()
    time.sleep(1)


@contextmanager
def _serving(threads: int) -> Iterator[tuple[Connection, int]]:
    pipe, child_pipe = multiprocessing.Pipe()
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=_serve, args=(child_pipe, threads))
    process.start()
    yield pipe, pipe.recv()
    pipe.send(False)
    process.join(10)


def main(seconds: float = 4.0, connections: int = 2900, threads: int = 256) -> None:
    """Print the figures of one run; memory is measured in fresh processes."""
    for used in (False, True):
        with _serving(threads) as (pipe, port):
            _load(pipe, port, 1, 0.5)
            _idle(pipe, port, connections, used)
    with _serving(threads) as (pipe, port):
        for callers in (1, 4, 16):
            _load(pipe, port, callers, seconds)


if __name__ == "__main__":
    fire.Fire(main)
