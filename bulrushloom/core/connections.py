"""Connections of the HTTP server: whole requests in, whole answers out."""

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

# A receiver that stops reading may delay its answer by this long, and a large
# answer may take longer at this rate (bytes a second).
WRITE_TIMEOUT = timedelta(seconds=5)
SLOWEST_RECEIVER = 65_536
# Input that follows a refused request is discarded for at most this long.
DISCARD_TIMEOUT = timedelta(seconds=2)
RECEIVE_BYTES = 65_536

_DIRECT_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "

# Returns the body of a 200 answer, or a refusal; it must not block.
Direct = Callable[[RequestParts], bytes | Refusal]


class AnswerWriter:
    """Collect one answer and send it at once on a non-blocking socket."""

    __slots__ = ("_parts", "_server", "_socket", "bytes_written")

    def __init__(self, server: Any, sock: socket.socket):
        self._server = server
        self._socket = sock
        self._parts: list[bytes] = []
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Keep ``data`` for the next ``flush``."""
        self._parts.append(data)
        return len(data)

    def flush(self, wait: bool = True) -> None:
        """Send what was written; raise ``OSError`` when the receiver is too slow.

        The selector thread passes a false ``wait``, because it must never block.
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
            raise OSError("the receiver does not read its answers")
        self._send_slowly(data[sent:])

    def _send_slowly(self, data: memoryview) -> None:
        # Only part of the workers may wait for receivers that do not read, so
        # that callers who do read are still served.
        if not self._server.slow_writers.acquire(blocking=False):
            raise OSError("too many receivers do not read their answers")
        try:
            allowed = WRITE_TIMEOUT.total_seconds() + len(data) / SLOWEST_RECEIVER
            deadline = time.monotonic() + allowed
            while data:
                self._wait_writable(deadline - time.monotonic())
                data = data[self._send_part(data) :]
        finally:
            self._server.slow_writers.release()

    def _send_part(self, data: memoryview) -> int:
        try:
            return self._socket.send(data)
        except BlockingIOError:
            return 0

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
        self._reserved = 0
        self._idle_since = time.time()
        self._partial_since: float | None = None

    @property
    def last_used(self) -> float:
        """Return the time that the connection manager compares with its timeout."""
        if self._partial_since is None:
            return self._idle_since
        timeout = self.server.options.read_timeout
        if self.discarding:
            timeout = DISCARD_TIMEOUT
        return self._partial_since + timeout.total_seconds() - self.server.timeout

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
        if self.discarding:
            return None
        progress = self.rfile.advance()
        if not self._reserve(self.rfile.waiting_bytes):
            message = "too much input waits for the rest of its request"
            progress = Refusal(ErrorKind.OVERLOADED, message)
        self._progress = progress
        return progress

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
        self.wfile.flush(wait=False)

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

    def refuse(self, refusal: Refusal, wait: bool = True) -> bool:
        """Answer without running anything and discard what else is sent.

        Closing with unread input would reset the connection and could destroy the
        answer before the caller reads it.
        """
        self.wfile.write(refusal_answer(refusal))
        self.wfile.flush(wait)
        self.rfile.clear()
        self._reserve(0)
        self.discarding = True
        self.socket.shutdown(socket.SHUT_WR)
        return True

    def close(self) -> None:
        """Close the socket; say why if a request was begun and never completed."""
        if self._partial_since is not None and not self.discarding:
            self.try_refuse(Refusal(ErrorKind.BAD_REQUEST, "the request is too slow"))
        self._reserve(0)
        self.rfile.close()
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def try_refuse(self, refusal: Refusal) -> None:
        """Refuse if the answer can be sent at once."""
        with suppress(OSError):
            self.refuse(refusal, wait=False)

    def _reserve(self, size: int) -> bool:
        """Account for ``size`` bytes of input that wait for the rest of a request."""
        change, self._reserved = size - self._reserved, size
        return not change or bool(self.server.reserve(change))


def refusal_answer(refusal: Refusal) -> bytes:
    """Return the whole HTTP answer for ``refusal``; it closes the connection."""
    body = orjson.dumps(refusal.body())
    status = refusal.answer.status
    head = io.StringIO()
    head.write(f"HTTP/1.1 {status.value} {status.phrase}\r\n")
    head.write("Content-Type: application/json\r\n")
    head.write(f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n")
    return head.getvalue().encode("ascii") + body
