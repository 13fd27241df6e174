"""Measure the HTTP gateway: requests per second and memory of idle connections."""

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

REQUEST_BODY = (
    b'{"database":"orders","sql":"SELECT id, state FROM orders WHERE id = ?",'
    b'"params":[17],"session":"' + b"s" * 120 + b'"}'
)
REQUEST = (
    b"POST /v1/query HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer key\r\n"
    b"Content-Type: application/json\r\nContent-Length: "
    + str(len(REQUEST_BODY)).encode()
    + b"\r\n\r\n"
    + REQUEST_BODY
)
ROWS = [[i, "open", 12.5] for i in range(5)]


class InstantHandler(RequestHandler):
    """Request handler that answers each request at once with the same rows."""

    def authenticate(self, key: str) -> str | Refusal:
        """Accept any key."""
        return "account"

    def submit(
        self, request: CallerRequest, key_digest: str
    ) -> Future[CallerAnswer | Refusal]:
        """Return a finished future."""
        future: Future[CallerAnswer | Refusal] = Future()
        columns = ["id", "state", "total"]
        future.set_result(QueryAnswer(columns, ROWS, 5, "s" * 120, "t", "replica"))
        return future

    def readiness(self) -> Refusal | None:
        """Report that the gateway is ready."""
        return None

    def status(self) -> dict[str, Any]:
        """Return an empty status document."""
        return {}


def _resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def _run_server(pipe: Connection, threads: int) -> None:
    """Serve in a child process and report its usage each time the pipe asks for it."""
    options = ServerOptions(threads=threads)
    server = create_server(InstantHandler(), ("127.0.0.1", 0), options)
    server.open()
    pipe.send(server.port)
    while pipe.recv():
        pipe.send((time.process_time(), _resident_bytes()))
    server.close(timedelta(seconds=1), wait_idle=False)


def _send_requests(port: int, deadline: float, counts: list[int]) -> None:
    count = 0
    with socket.create_connection(("127.0.0.1", port)) as connection:
        while time.perf_counter() < deadline:
            connection.sendall(REQUEST)
            if not connection.recv(65536).startswith(b"HTTP/1.1 200"):
                raise RuntimeError("the gateway did not answer with status 200")
            count += 1
    counts.append(count)


def _read_usage(pipe: Connection) -> tuple[float, int]:
    """Return the CPU seconds and resident bytes of the server process."""
    pipe.send(True)
    cpu_s, resident_bytes = pipe.recv()
    return cpu_s, resident_bytes


def _measure_load(
    pipe: Connection, port: int, client_count: int, seconds: float
) -> None:
    counts: list[int] = []
    cpu_before_s, _ = _read_usage(pipe)
    deadline = time.perf_counter() + seconds
    threads = [
        threading.Thread(target=_send_requests, args=(port, deadline, counts))
        for _ in range(client_count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    cpu_used_s = _read_usage(pipe)[0] - cpu_before_s
    total = sum(counts)
    print(
        f"{client_count} callers: {total / seconds:.0f} requests/s, "
        f"{cpu_used_s / seconds:.2f} core, "
        f"{cpu_used_s / total * 1e6:.0f} us of CPU each, "
        f"{total / cpu_used_s:.0f} requests per core second"
    )


def _measure_idle_connections(
    pipe: Connection, port: int, connection_count: int, send_request: bool
) -> None:
    _, bytes_before = _read_usage(pipe)
    sockets = []
    for _ in range(connection_count):
        connection = socket.create_connection(("127.0.0.1", port))
        if send_request:
            connection.sendall(REQUEST)
            connection.recv(65536)
        sockets.append(connection)
    time.sleep(1)
    cpu_before_s, bytes_after = _read_usage(pipe)
    time.sleep(3)
    idle_cores = (_read_usage(pipe)[0] - cpu_before_s) / 3
    print(
        f"{connection_count} idle connections (used before: {send_request}): "
        f"{(bytes_after - bytes_before) / connection_count:.0f} bytes each, "
        f"{idle_cores:.4f} core"
    )
    for connection in sockets:
        connection.close()
    time.sleep(1)


@contextmanager
def _server_process(threads: int) -> Iterator[tuple[Connection, int]]:
    pipe, child_pipe = multiprocessing.Pipe()
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=_run_server, args=(child_pipe, threads))
    process.start()
    yield pipe, pipe.recv()
    pipe.send(False)
    process.join(10)


def main(seconds: float = 4.0, connections: int = 2900, threads: int = 256) -> None:
    """Print the figures of one run; each memory figure comes from a new process."""
    for send_request in (False, True):
        with _server_process(threads) as (pipe, port):
            _measure_load(pipe, port, 1, 0.5)
            _measure_idle_connections(pipe, port, connections, send_request)
    with _server_process(threads) as (pipe, port):
        for client_count in (1, 4, 16):
            _measure_load(pipe, port, client_count, seconds)


if __name__ == "__main__":
    fire.Fire(main)
