"""Connection to one peer that urllib3 opens and that sends batches without blocking.

``urllib3.HTTPConnectionPool.urlopen`` is not used: it takes about 160 us of CPU time
for a small batch, mostly to parse headers, and blocks a thread until the response.
"""

import re
import socket
import time
from datetime import timedelta
from typing import NamedTuple

from urllib3.connection import HTTPConnection
from urllib3.exceptions import ProtocolError

# Below the receiver's idle timeout: if the receiver closed a connection just as it is
# reused, the peer would be reported as lost.
MAX_REUSE_IDLE = timedelta(seconds=30)
MAX_RESPONSE_BYTES = 65_536
_STATUS_LINE = re.compile(rb"HTTP/1\.1 ([0-9]{3}) ")
_CONTENT_LENGTH = re.compile(rb"\r\n(?i:content-length): *([0-9]{1,6})\r\n")


class BatchResponse(NamedTuple):
    """Status and body of the response to a batch."""

    status: int
    body: bytes


class BatchConnection:
    """One connection to a peer; callers must serialize their calls."""

    def __init__(self, connect_timeout: timedelta):
        self._connect_timeout_s = connect_timeout.total_seconds()
        self._connection: HTTPConnection | None = None
        self._address = ""
        self._last_used_s = 0.0
        self._unsent = memoryview(b"")
        self._received = b""

    @property
    def sock(self) -> socket.socket | None:
        """Return the socket, if the connection is open."""
        return None if self._connection is None else self._connection.sock

    def is_usable(self, address: str) -> bool:
        """Return whether a batch to ``address`` can be sent without reconnecting."""
        connection = self._connection
        if connection is None or address != self._address:
            return False
        idle_s = time.monotonic() - self._last_used_s
        return idle_s < MAX_REUSE_IDLE.total_seconds() and connection.is_connected

    def connect(self, address: str) -> HTTPConnection:
        """Connect to ``host:port``, blocking for at most the connect timeout.

        Raise ``NewConnectionError`` if the connection was refused, or another urllib3
        exception if it failed otherwise.
        """
        host, _, port = address.rpartition(":")
        connection = HTTPConnection(
            host.strip("[]"), int(port), timeout=self._connect_timeout_s
        )
        connection.connect()
        return connection

    def attach(self, connection: HTTPConnection, address: str) -> socket.socket:
        """Replace the connection with a newly opened one and return its socket."""
        self.close()
        connection.sock.setblocking(False)
        self._connection = connection
        self._address = address
        self._last_used_s = time.monotonic()
        return connection.sock

    def start(self, path: str, headers: str, body: bytes) -> None:
        """Start to send a batch; raise ``OSError`` if the connection failed."""
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {self._address}\r\n{headers}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._received = b""
        self._unsent = memoryview(head.encode("ascii") + body)
        self._send_unsent()

    @property
    def is_sending(self) -> bool:
        """Return whether part of the batch has not been sent yet."""
        return bool(self._unsent)

    def advance(self) -> BatchResponse | None:
        """Continue after a socket event; return the response once it is complete.

        Raise ``OSError`` or ``ProtocolError`` if the connection failed.
        """
        if self._unsent:
            self._send_unsent()
        sock = self.sock
        if sock is None:
            return None
        try:
            received = sock.recv(MAX_RESPONSE_BYTES)
        except BlockingIOError:
            return None
        if not received or len(self._received) > MAX_RESPONSE_BYTES:
            raise ProtocolError(
                "peer closed the connection or sent an oversized response"
            )
        self._received += received
        response = _parse_response(self._received)
        if response is not None:
            self._last_used_s = time.monotonic()
        return response

    def _send_unsent(self) -> None:
        sock = self.sock
        if sock is None:
            raise ProtocolError("connection is closed")
        try:
            sent = sock.send(self._unsent)
        except BlockingIOError:
            return
        self._unsent = self._unsent[sent:]

    def close(self) -> None:
        """Close the socket."""
        self._unsent = memoryview(b"")
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _parse_response(data: bytes) -> BatchResponse | None:
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    status = _STATUS_LINE.match(data)
    length = _CONTENT_LENGTH.search(data, 0, end + 2)
    if status is None or length is None:
        raise ProtocolError("malformed response head")
    body = data[end + 4 :]
    if len(body) < int(length[1]):
        return None
    return BatchResponse(int(status[1]), body)
