"""Connection to one peer: urllib3 opens it, batches are sent without blocking.

``urllib3.HTTPConnectionPool.urlopen`` needs about 160 us of CPU for a small batch,
most of it for parsing headers, and a thread that waits for the answer.
"""

import re
import socket
import time
from datetime import timedelta
from typing import NamedTuple

from urllib3.connection import HTTPConnection
from urllib3.exceptions import ProtocolError

# Below the receiver's idle limit: a connection that the receiver closes just as it
# is used again would look like a lost peer.
REUSE_LIMIT = timedelta(seconds=30)
MAX_ANSWER_BYTES = 65_536
_HEAD = re.compile(rb"HTTP/1\.1 ([0-9]{3}) ")
_LENGTH = re.compile(rb"\r\n(?i:content-length): *([0-9]{1,6})\r\n")


class BatchResponse(NamedTuple):
    """Hold the status and body of an answer."""

    status: int
    body: bytes


class BatchConnection:
    """Keep one connection to a peer; its user serializes the calls."""

    def __init__(self, connect_timeout: timedelta):
        self._connect_timeout = connect_timeout.total_seconds()
        self._connection: HTTPConnection | None = None
        self._address = ""
        self._last_used = 0.0
        self._unsent = memoryview(b"")
        self._received = b""

    @property
    def sock(self) -> socket.socket | None:
        """Return the open socket."""
        return None if self._connection is None else self._connection.sock

    def usable(self, address: str) -> bool:
        """Return whether a batch to ``address`` can be sent at once."""
        connection = self._connection
        if connection is None or address != self._address:
            return False
        idle = time.monotonic() - self._last_used
        return idle < REUSE_LIMIT.total_seconds() and connection.is_connected

    def connect(self, address: str) -> HTTPConnection:
        """Connect to ``host:port``; this blocks for at most the connect timeout.

        Raise ``NewConnectionError`` if the connection was refused and another
        urllib3 exception otherwise.
        """
        host, _, port = address.rpartition(":")
        connection = HTTPConnection(
            host.strip("[]"), int(port), timeout=self._connect_timeout
        )
        connection.connect()
        return connection

    def adopt(self, connection: HTTPConnection, address: str) -> socket.socket:
        """Use an opened connection from now on and return its socket."""
        self.close()
        connection.sock.setblocking(False)
        self._connection = connection
        self._address = address
        self._last_used = time.monotonic()
        return connection.sock

    def start(self, path: str, headers: str, body: bytes) -> None:
        """Begin to send a batch; raise ``OSError`` if the connection failed."""
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {self._address}\r\n{headers}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._received = b""
        self._unsent = memoryview(head.encode("ascii") + body)
        self._send_rest()

    @property
    def sending(self) -> bool:
        """Return whether part of the batch still has to be sent."""
        return bool(self._unsent)

    def advance(self) -> BatchResponse | None:
        """Go on after an event of the socket; return the answer once complete.

        Raise ``OSError`` or ``ProtocolError`` if the connection failed.
        """
        if self._unsent:
            self._send_rest()
        sock = self.sock
        if sock is None:
            return None
        try:
            received = sock.recv(MAX_ANSWER_BYTES)
        except BlockingIOError:
            return None
        if not received or len(self._received) > MAX_ANSWER_BYTES:
            raise ProtocolError("the peer closed the connection or sent too much")
        self._received += received
        response = _parse(self._received)
        if response is not None:
            self._last_used = time.monotonic()
        return response

    def _send_rest(self) -> None:
        sock = self.sock
        if sock is None:
            raise ProtocolError("the connection is closed")
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


def _parse(data: bytes) -> BatchResponse | None:
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    status = _HEAD.match(data)
    length = _LENGTH.search(data, 0, end + 2)
    if status is None or length is None:
        raise ProtocolError("malformed answer")
    body = data[end + 4 :]
    if len(body) < int(length[1]):
        return None
    return BatchResponse(int(status[1]), body)
