"""HTTP server for the caller and peer addresses: cheroot with buffered requests."""

import io
import logging
import queue
import select
import selectors
import socket
import sys
import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import suppress
from datetime import timedelta
from typing import Any, NamedTuple

import eliot
import orjson
from cheroot import server as cheroot_server
from cheroot import wsgi

from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.core.requests import (
    Progress,
    RequestBuffer,
    RequestLimits,
    RequestParts,
)

# A receiver that stops reading may delay its answer by at most this long.
WRITE_TIMEOUT = timedelta(seconds=5)
# An idle connection that sends nothing for this long in a drain is closed.
DRAIN_IDLE = timedelta(seconds=1)
# Also the wake-up period of the selector thread, hence the cost of an idle server.
EXPIRATION_INTERVAL = timedelta(milliseconds=500)
LISTEN_BACKLOG = 1024
RECEIVE_BYTES = 65_536

_DIRECT_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
# Returns the body of a 200 answer, or a refusal; it must not block.
Direct = Callable[[RequestParts], bytes | Refusal]
Application = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


class ServerOptions(NamedTuple):
    """Bound a server: worker threads, waiting requests and connections.

    ``idle_timeout`` ends a connection without a request, ``read_timeout`` one whose
    request has begun and is not complete.
    """

    threads: int = 16
    waiting_requests: int = 512
    connections: int = 4096
    idle_timeout: timedelta = timedelta(seconds=60)
    read_timeout: timedelta = timedelta(seconds=10)
    limits: RequestLimits = RequestLimits()


class AnswerWriter:
    """Collect one answer and send it at once on a non-blocking socket."""

    __slots__ = ("_parts", "_server", "_socket", "bytes_written")

    def __init__(self, server: "BufferedServer", sock: socket.socket):
        self._server = server
        self._socket = sock
        self._parts: list[bytes] = []
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Keep ``data`` for the next ``flush``."""
        self._parts.append(data)
        return len(data)

    def flush(self) -> None:
        """Send what was written; raise ``OSError`` when the receiver is too slow."""
        if not self._parts:
            return
        data = memoryview(b"".join(self._parts))
        self._parts.clear()
        self.bytes_written += len(data)
        try:
            sent = self._socket.send(data)
        except BlockingIOError:
            sent = 0
        if sent < len(data):
            self._send_slowly(data[sent:])

    def _send_slowly(self, data: memoryview) -> None:
        # Only part of the workers may wait for receivers that do not read, so
        # that callers who do read are still served.
        if not self._server.slow_writers.acquire(blocking=False):
            raise OSError("too many receivers do not read their answers")
        try:
            deadline = time.monotonic() + WRITE_TIMEOUT.total_seconds()
            while data:
                self._wait_writable(deadline - time.monotonic())
                data = data[self._socket.send(data) :]
        finally:
            self._server.slow_writers.release()

    def _wait_writable(self, seconds: float) -> None:
        poll = select.poll()
        poll.register(self._socket, select.POLLOUT)
        if seconds <= 0 or not poll.poll(seconds * 1000):
            raise TimeoutError("the receiver does not read its answer")


class BufferedRequest(cheroot_server.HTTPRequest):
    """Parse a request that is complete; errors are answered as JSON."""

    def read_request_headers(self) -> bool:
        """Take the headers that the buffer has checked already."""
        self.inheaders = self.conn.rfile.take_headers()
        self.rfile = self.conn.rfile
        tokens = self.inheaders.get(b"Connection", b"").lower()
        if self.response_protocol == "HTTP/1.1":
            self.close_connection = b"close" in tokens
        else:
            self.close_connection = b"keep-alive" not in tokens
        return True

    def simple_response(self, status: Any, msg: Any = "") -> None:
        """Answer an error that cheroot found as a refusal, then close."""
        kind = ErrorKind.BAD_REQUEST
        if str(status).startswith("5"):
            kind = ErrorKind.INTERNAL
        text = msg if isinstance(msg, str) and msg else str(status)
        self.close_connection = True
        self.conn.wfile.write(refusal_answer(Refusal(kind, text)))


class BufferedConnection(cheroot_server.HTTPConnection):
    """Wait in the selector until a whole request has arrived.

    A worker reads what is there without blocking and puts the connection back while
    the request is incomplete, so a slow sender holds no thread.
    """

    RequestHandlerClass = BufferedRequest

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = None):
        # The base class would allocate file objects and caches that go unused;
        # they dominate the memory of an idle connection.
        sock.setblocking(False)
        self.server = server
        self.socket = sock
        self.rfile = RequestBuffer(server.options.limits)
        self.wfile = AnswerWriter(server, sock)
        self.requests_seen = 0
        self.admitted = False
        self.discarding = False
        self._progress: Progress | Refusal | None = None
        self._open = True
        self._idle_since = time.time()
        self._partial_since: float | None = None

    @property
    def last_used(self) -> float:
        """Return the time that the connection manager compares with its timeout."""
        if self._partial_since is None:
            return self._idle_since
        options = self.server.options
        read_timeout = options.read_timeout.total_seconds()
        return self._partial_since + read_timeout - float(self.server.timeout)

    @last_used.setter
    def last_used(self, value: float) -> None:
        self._idle_since = value
        if not self.rfile.partial and not self.discarding:
            self._partial_since = None
        elif self._partial_since is None:
            self._partial_since = value

    def communicate(self) -> bool:
        """Read what has arrived and answer a complete request."""
        try:
            return self._communicate()
        except OSError:
            return False

    def _communicate(self) -> bool:
        progress = self._progress or self.read_input()
        self._progress = None
        if progress is None:
            return self._open
        if isinstance(progress, Refusal):
            return self.refuse(progress)
        if progress.send_continue:
            self.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            self.wfile.flush()
        if not progress.complete:
            return self._open
        self._partial_since = None
        return self._answer()

    def read_input(self) -> Progress | Refusal | None:
        """Read without blocking and keep the progress for ``communicate``."""
        self._open = self._receive()
        self._progress = None if self.discarding else self.rfile.advance()
        return self._progress

    def answered_directly(self, direct_by_path: dict[str, Direct]) -> bool:
        """Read and answer a complete request for a direct path, if there is one."""
        progress = self.read_input()
        if not isinstance(progress, Progress) or not progress.complete:
            return False
        request = self.rfile.parts()
        direct = direct_by_path.get(request.path)
        if direct is None or request.method != "POST":
            return False
        answer = direct(request)
        if isinstance(answer, Refusal):
            self._progress = answer
            return False
        self._answer_directly(answer)
        return True

    def _answer_directly(self, body: bytes) -> None:
        self._progress = None
        self._partial_since = None
        self.rfile.release()
        length = str(len(body)).encode("ascii")
        self.wfile.write(_DIRECT_HEAD + length + b"\r\n\r\n" + body)
        self.wfile.flush()

    def _answer(self) -> bool:
        self.server.request_started()
        try:
            keep = bool(super().communicate())
            self.wfile.flush()
            return keep
        finally:
            self.rfile.release()
            self.server.request_ended()

    def _receive(self) -> bool:
        """Return whether the connection is still open for reading."""
        while True:
            try:
                data = self.socket.recv(RECEIVE_BYTES)
            except BlockingIOError:
                return True
            if not data:
                return False
            if not self.discarding:
                self.rfile.append(data)
            if len(data) < RECEIVE_BYTES or self.rfile.full:
                return True

    def refuse(self, refusal: Refusal) -> bool:
        """Answer without running anything and discard what else is sent.

        Closing with unread input would reset the connection and could destroy the
        answer before the caller reads it.
        """
        self.wfile.write(refusal_answer(refusal))
        self.wfile.flush()
        self.rfile.clear()
        self.discarding = True
        self.socket.shutdown(socket.SHUT_WR)
        return True

    def close(self) -> None:
        """Close the socket; say why if a request was begun and never completed."""
        if self._partial_since is not None and not self.discarding:
            self._try_refuse(Refusal(ErrorKind.BAD_REQUEST, "the request is too slow"))
        self.rfile.close()
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def _try_refuse(self, refusal: Refusal) -> None:
        try:
            self.refuse(refusal)
        except OSError:
            return


class Wakeup:
    """Stand among the selector's connections to end its wait from another thread."""

    last_used = float("inf")

    def __init__(self) -> None:
        self.reader, self._writer = socket.socketpair()

    def fire(self) -> None:
        """Make the selector return."""
        self._writer.send(b"x")

    def close(self) -> None:
        """Close both ends."""
        self.reader.close()
        self._writer.close()


class BufferedServer(wsgi.Server):
    """Serve a WSGI application with bounded threads, queue and connections."""

    ConnectionClass = BufferedConnection
    expiration_interval = EXPIRATION_INTERVAL.total_seconds()
    # Set by cheroot's ``prepare``; its type stubs do not name it.
    _connections: Any

    def __init__(
        self,
        address: tuple[str, int],
        application: Application,
        options: ServerOptions,
        name: str,
        direct_by_path: dict[str, Direct] | None = None,
    ):
        # cheroot never grows its pool by itself, so the minimum is the size. A put
        # into a full queue must not wait: it would stop the selector thread.
        super().__init__(
            address,
            application,
            numthreads=options.threads,
            max=options.threads,
            server_name="bulrushloom",
            request_queue_size=LISTEN_BACKLOG,
            timeout=int(options.idle_timeout.total_seconds()),
            accepted_queue_size=options.waiting_requests,
            accepted_queue_timeout=0,
        )
        self.options = options
        self._direct_by_path = direct_by_path or {}
        # The selector also counts the wake-up socket.
        self.keep_alive_conn_limit = options.connections + 1
        self.slow_writers = threading.BoundedSemaphore(max(1, options.threads // 2))
        self.draining = False
        self._running = 0
        self._idle = threading.Condition()
        self._executor = ThreadPoolExecutor(1, thread_name_prefix=name)
        self._served: Future[None] | None = None

    def open(self) -> None:
        """Bind the address and serve in a thread of its own."""
        self.prepare()
        self._wakeup = Wakeup()
        self._connections._selector.register(
            self._wakeup.reader.fileno(), selectors.EVENT_READ, self._wakeup
        )
        self._served = self._executor.submit(self.serve)

    @property
    def port(self) -> int:
        """Return the bound port."""
        return int(self.bind_addr[1])

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Return whether an answered connection may stay open."""
        return not self.draining and super().can_add_keepalive_connection

    def process_conn(self, conn: Any) -> None:
        """Queue a connection with input; new ones first wait in the selector."""
        if isinstance(conn, Wakeup):
            return
        if not conn.admitted:
            self._admit(conn)
            return
        if self._direct_by_path and self._serve_directly(conn):
            return
        try:
            self.requests.put(conn)
        except queue.Full:
            conn._try_refuse(Refusal(ErrorKind.OVERLOADED, "too many requests wait"))
            conn.close()

    def _admit(self, conn: Any) -> None:
        conn.admitted = True
        if self._connections._num_connections >= self.keep_alive_conn_limit:
            conn._try_refuse(Refusal(ErrorKind.OVERLOADED, "too many connections"))
            conn.close()
            return
        self._connections.put(conn)

    def _serve_directly(self, conn: Any) -> bool:
        """Answer a request for a direct path in the selector thread.

        Handing a peer batch to a worker costs more than the batch itself. Return
        false if a worker has to go on with the connection.
        """
        try:
            while conn.answered_directly(self._direct_by_path):
                if not conn.rfile.has_data():
                    self._connections.put(conn)
                    return True
        except OSError:
            conn.close()
            return True
        return False

    def request_started(self) -> None:
        """Count a request that a worker answers."""
        with self._idle:
            self._running += 1

    def request_ended(self) -> None:
        """Count the end of an answered request."""
        with self._idle:
            self._running -= 1
            if not self._running:
                self._idle.notify_all()

    def begin_drain(self) -> None:
        """Answer with ``Connection: close`` from now on; still accept."""
        self.draining = True

    def close(self, timeout: timedelta, wait_idle: bool = True) -> None:
        """Stop accepting, let running requests end within ``timeout``, then stop.

        With ``wait_idle``, connections without a request are closed only after they
        have been idle for ``DRAIN_IDLE``, so that a caller who is just sending is
        still answered.
        """
        if not self.ready:
            return
        deadline = time.monotonic() + timeout.total_seconds()
        self.begin_drain()
        self._stop_accepting()
        self.timeout = min(self.timeout, DRAIN_IDLE.total_seconds())
        while not self._drained(wait_idle) and time.monotonic() < deadline:
            time.sleep(0.02)
        self.shutdown_timeout = max(0.1, deadline - time.monotonic())
        # cheroot's ``stop`` waits until the selector returns.
        self._connections._stop_requested = True
        self._wakeup.fire()
        self.stop()
        self._wakeup.close()
        if self._served is not None:
            self._served.result()
        self._executor.shutdown()

    def _stop_accepting(self) -> None:
        # Unregistering is safe from another thread: the selector skips events of
        # descriptors that it no longer knows.
        self._connections._selector.unregister(self.socket.fileno())
        self.socket.close()

    def _drained(self, wait_idle: bool) -> bool:
        with self._idle:
            running = self._running
        # The wake-up socket is registered as well.
        connections = len(self._connections._selector) - 1 if wait_idle else 0
        return not running and not self.requests.qsize and not connections

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log that the server failed, without texts that may quote a request."""
        if level >= logging.WARNING:
            error = type(sys.exception()).__name__
            eliot.log_message("http_server.error", level=level, error=error)


def refusal_answer(refusal: Refusal) -> bytes:
    """Return the whole HTTP answer for ``refusal``; it closes the connection."""
    body = orjson.dumps(refusal.body())
    status = refusal.answer.status
    head = io.StringIO()
    head.write(f"HTTP/1.1 {status.value} {status.phrase}\r\n")
    head.write("Content-Type: application/json\r\n")
    head.write(f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n")
    return head.getvalue().encode("ascii") + body
