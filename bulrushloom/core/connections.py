"""Connections of the HTTP server, with buffered requests and responses."""

import io
import select
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta
from typing import Any

import orjson
from cheroot import server as cheroot_server

from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.core.requests import Progress, RequestBuffer, RequestParts

# Writing a response may take this long, plus its size divided by the lowest accepted
# transfer rate; a client that reads more slowly is disconnected.
WRITE_TIMEOUT = timedelta(seconds=5)
MIN_WRITE_BYTES_PER_S = 65_536
# How long input that follows a refused request is read and discarded.
DISCARD_TIMEOUT = timedelta(seconds=2)
RECEIVE_BYTES = 65_536

_DIRECT_RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
)

# Returns the body of a 200 response, or a refusal. It runs in the selector thread, so
# it must not block.
DirectHandler = Callable[[RequestParts], bytes | Refusal]


class ResponseWriter:
    """Writer that collects a response and sends it in one call if possible.

    The socket is non-blocking.
    """

    __slots__ = ("_parts", "_server", "_socket", "bytes_written")

    def __init__(self, server: Any, sock: socket.socket):
        self._server = server
        self._socket = sock
        self._parts: list[bytes] = []
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Buffer ``data`` until the next ``flush``."""
        self._parts.append(data)
        return len(data)

    def flush(self, wait: bool = True) -> None:
        """Send the buffered data; raise ``OSError`` if the client reads too slowly.

        The selector thread passes ``wait=False``, because it must never block.
        """
        if not self._parts:
            return
        data = memoryview(b"".join(self._parts))
        self._parts.clear()
        self.bytes_written += len(data)
        try:
            sent = self._socket.send(data)
        except BlockingIOError:
            sent = 0
        if sent == len(data):
            return
        if not wait:
            raise OSError("client does not read its responses")
        self._send_with_timeout(data[sent:])

    def _send_with_timeout(self, data: memoryview) -> None:
        # Only some of the worker threads may block on clients that do not read, so
        # that the others can serve the remaining clients.
        if not self._server.blocking_write_slots.acquire(blocking=False):
            raise OSError("too many threads are waiting for clients to read")
        try:
            timeout_s = (
                WRITE_TIMEOUT.total_seconds() + len(data) / MIN_WRITE_BYTES_PER_S
            )
            deadline = time.monotonic() + timeout_s
            while data:
                self._wait_writable(deadline - time.monotonic())
                data = data[self._send_part(data) :]
        finally:
            self._server.blocking_write_slots.release()

    def _send_part(self, data: memoryview) -> int:
        try:
            return self._socket.send(data)
        except BlockingIOError:
            return 0

    def _wait_writable(self, seconds: float) -> None:
        poll = select.poll()
        poll.register(self._socket, select.POLLOUT)
        if seconds <= 0 or not poll.poll(seconds * 1000):
            raise TimeoutError("timed out waiting for the client to read the response")


class BufferedRequest(cheroot_server.HTTPRequest):
    """Request that has been received completely; errors are sent as JSON."""

    def read_request_headers(self) -> bool:
        """Use the headers that the request buffer has already validated."""
        self.inheaders = self.conn.rfile.read_headers()
        self.rfile = self.conn.rfile
        tokens = self.inheaders.get(b"Connection", b"").lower()
        if self.response_protocol == "HTTP/1.1":
            self.close_connection = b"close" in tokens
        else:
            self.close_connection = b"keep-alive" not in tokens
        return True

    def simple_response(self, status: Any, msg: Any = "") -> None:
        """Send an error that cheroot detected as a refusal, then close."""
        kind = ErrorKind.BAD_REQUEST
        if str(status).startswith("5"):
            kind = ErrorKind.INTERNAL
        text = msg if isinstance(msg, str) and msg else str(status)
        self.close_connection = True
        self.conn.wfile.write(refusal_response(Refusal(kind, text)))


class BufferedConnection(cheroot_server.HTTPConnection):
    """Connection that stays in the selector until a complete request has arrived.

    A worker thread reads the available input without blocking. While the request is
    incomplete, the connection returns to the selector, so a slow client occupies no
    thread.
    """

    RequestHandlerClass = BufferedRequest

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = None):
        # ``super().__init__`` is not called: it allocates file objects and caches
        # that are not needed here and make up most of the memory of an idle
        # connection.
        sock.setblocking(False)
        self.server = server
        self.socket = sock
        self.rfile = RequestBuffer(server.options.limits)
        self.wfile = ResponseWriter(server, sock)
        self.requests_seen = 0
        self.admitted = False
        self.discarding = False
        self._progress: Progress | Refusal | None = None
        self._open = True
        self._reserved_bytes = 0
        self._idle_since = time.time()
        self._partial_since: float | None = None

    @property
    def last_used(self) -> float:
        """Return the time from which cheroot's connection manager counts its timeout.

        It is shifted so that an incomplete request expires after the read timeout
        and a refused connection after ``DISCARD_TIMEOUT``.
        """
        if self._partial_since is None:
            return self._idle_since
        timeout = self.server.options.read_timeout
        if self.discarding:
            timeout = DISCARD_TIMEOUT
        return self._partial_since + timeout.total_seconds() - self.server.timeout

    @last_used.setter
    def last_used(self, value: float) -> None:
        self._idle_since = value
        if not self.rfile.has_partial_request and not self.discarding:
            self._partial_since = None
        elif self._partial_since is None:
            self._partial_since = value

    def communicate(self) -> bool:
        """Read the available input and answer a request if it is complete."""
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
        return self._handle_request()

    def read_input(self) -> Progress | Refusal | None:
        """Read without blocking; ``communicate`` continues with the same progress."""
        self._open = self._receive()
        if self.discarding:
            return None
        progress = self.rfile.parse_next()
        if not self._reserve_input(self.rfile.incomplete_bytes):
            message = "too much input waits for the rest of its request"
            progress = Refusal(ErrorKind.OVERLOADED, message)
        self._progress = progress
        return progress

    def try_answer_directly(self, direct_by_path: dict[str, DirectHandler]) -> bool:
        """Read input; answer it if it is a complete request for a direct path."""
        progress = self.read_input()
        if not isinstance(progress, Progress) or not progress.complete:
            return False
        request = self.rfile.current_request()
        handler = direct_by_path.get(request.path)
        if handler is None or request.method != "POST":
            return False
        answer = handler(request)
        if isinstance(answer, Refusal):
            self._progress = answer
            return False
        self._send_direct_response(answer)
        return True

    def _send_direct_response(self, body: bytes) -> None:
        self._progress = None
        self._partial_since = None
        self.rfile.discard_request()
        length = str(len(body)).encode("ascii")
        self.wfile.write(_DIRECT_RESPONSE_HEAD + length + b"\r\n\r\n" + body)
        self.wfile.flush(wait=False)

    def _handle_request(self) -> bool:
        self.server.request_started()
        try:
            keep_open = bool(super().communicate())
            self.wfile.flush()
            return keep_open
        finally:
            self.rfile.discard_request()
            self.server.request_ended()

    def _receive(self) -> bool:
        """Read until no input is available; return whether the connection is open."""
        while True:
            try:
                data = self.socket.recv(RECEIVE_BYTES)
            except BlockingIOError:
                return True
            if not data:
                return False
            if not self.discarding:
                self.rfile.append(data)
            if len(data) < RECEIVE_BYTES or self.rfile.is_full:
                return True

    def refuse(self, refusal: Refusal, wait: bool = True) -> bool:
        """Send an error response, then discard all further input.

        Closing a socket with unread input resets the connection, and the client could
        lose the response before reading it.
        """
        self.wfile.write(refusal_response(refusal))
        self.wfile.flush(wait)
        self.rfile.clear()
        self._reserve_input(0)
        self.discarding = True
        self.socket.shutdown(socket.SHUT_WR)
        return True

    def close(self) -> None:
        """Close the socket; send the reason if a request is still incomplete."""
        if self._partial_since is not None and not self.discarding:
            self.try_refuse(Refusal(ErrorKind.BAD_REQUEST, "the request is too slow"))
        self._reserve_input(0)
        self.rfile.close()
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def try_refuse(self, refusal: Refusal) -> None:
        """Send the refusal if that is possible without blocking."""
        with suppress(OSError):
            self.refuse(refusal, wait=False)

    def _reserve_input(self, size: int) -> bool:
        """Change the reservation for incomplete input to ``size`` bytes.

        Return whether it fits in the limit of the server.
        """
        change, self._reserved_bytes = size - self._reserved_bytes, size
        return not change or bool(self.server.reserve_bytes(change))


def refusal_response(refusal: Refusal) -> bytes:
    """Return a complete HTTP response to ``refusal`` with ``Connection: close``."""
    body = orjson.dumps(refusal.body())
    status = refusal.response.status
    head = io.StringIO()
    head.write(f"HTTP/1.1 {status.value} {status.phrase}\r\n")
    head.write("Content-Type: application/json\r\n")
    head.write(f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n")
    return head.getvalue().encode("ascii") + body
