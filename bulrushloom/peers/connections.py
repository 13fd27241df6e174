"""Connection to one peer: urllib3 opens it, batches are written and read directly.

``urllib3.HTTPConnectionPool.urlopen`` needs about 160 us of CPU for a small batch,
most of it for parsing headers; this connection needs about a tenth of that.
"""

import re
import socket
import time
from contextlib import suppress
from datetime import timedelta
from typing import NamedTuple

from urllib3.connection import HTTPConnection
from urllib3.exceptions import ProtocolError, ReadTimeoutError

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
    """Keep one connection to a peer; used by one thread at a time."""

    def __init__(self, connect_timeout: timedelta, read_timeout: timedelta):
        self._connect_timeout = connect_timeout.total_seconds()
        self._read_timeout = read_timeout.total_seconds()
        self._connection: HTTPConnection | None = None
        self._address = ""
        self._last_used = 0.0

    def post(self, address: str, path: str, headers: str, body: bytes) -> BatchResponse:
        """Send a batch to ``host:port`` and return the answer.

        Raise ``NewConnectionError`` only if the connection was refused, and another
        urllib3 exception or ``OSError`` when the batch may have arrived.
        """
        sock = self._connected(address)
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {address}\r\n{headers}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        try:
            sock.sendall(head.encode("ascii") + body)
            response = self._read(sock)
        except BaseException:
            self.close()
            raise
        self._last_used = time.monotonic()
        if response.status != 200:
            self.close()
        return response

    def _connected(self, address: str) -> socket.socket:
        idle = time.monotonic() - self._last_used
        connection = self._connection
        if (
            connection is not None
            and connection.sock is not None
            and address == self._address
            and idle < REUSE_LIMIT.total_seconds()
            and connection.is_connected
        ):
            return connection.sock
        self.close()
        host, _, port = address.rpartition(":")
        connection = HTTPConnection(
            host.strip("[]"), int(port), timeout=self._connect_timeout
        )
        connection.connect()
        connection.sock.settimeout(self._read_timeout)
        self._connection = connection
        self._address = address
        return connection.sock

    def _read(self, sock: socket.socket) -> BatchResponse:
        data = b""
        while (response := _parse(data)) is None:
            try:
                received = sock.recv(MAX_ANSWER_BYTES)
            except TimeoutError as error:
                raise ReadTimeoutError(None, "", "no answer") from error  # type: ignore[arg-type]
            if not received or len(data) > MAX_ANSWER_BYTES:
                raise ProtocolError("the peer closed the connection or sent too much")
            data += received
        return response

    def abort(self) -> None:
        """End a batch in flight from another thread."""
        connection = self._connection
        sock = None if connection is None else connection.sock
        if sock is not None:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the socket; the next batch opens another one."""
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
