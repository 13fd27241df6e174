"""Buffer that collects one HTTP request and checks its head."""

import io
import re
from typing import NamedTuple

from bulrushloom.core.errors import ErrorKind, Refusal


class RequestLimits(NamedTuple):
    """Bound a request, in bytes and in header lines."""

    head_bytes: int = 16_384
    line_bytes: int = 8_192
    header_lines: int = 64
    body_bytes: int = 1_048_576


class RequestParts(NamedTuple):
    """Hold a complete request; header names are in title case."""

    method: str
    path: str
    headers: dict[bytes, bytes]
    body: bytes


class Progress(NamedTuple):
    """Tell whether a request is complete, and whether to send ``100 Continue``."""

    complete: bool
    send_continue: bool = False


_HEADER_LINE = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00-\x08\n-\x1f\x7f]*)"
)
_REQUEST_LINE = re.compile(rb"[A-Z]{1,16} [\x21-\x7e]+ HTTP/1\.[01]")
_LENGTH = re.compile(rb"[0-9]{1,12}")
# Two different values of these would let two readers see two different requests.
_SINGLE = frozenset(
    (b"Authorization", b"Content-Length", b"Expect", b"Host", b"Idempotency-Key")
)
# The buffer itself has answered ``Expect``.
_CONSUMED = frozenset((b"Expect",))
_WAIT = Progress(False)
_COMPLETE = Progress(True)


class RequestBuffer:
    """Hold received bytes; act as cheroot's input file for one complete request."""

    __slots__ = (
        "_body_end",
        "_current",
        "_headers",
        "_limits",
        "_pending",
        "_waiting",
        "closed",
    )

    def __init__(self, limits: RequestLimits):
        self._limits = limits
        self._pending = bytearray()
        self._waiting = False
        self._headers: dict[bytes, bytes] | None = None
        self._body_end = 0
        self._current: io.BytesIO | None = None
        self.closed = False

    @property
    def partial(self) -> bool:
        """Return whether a request has begun and is not complete."""
        return bool(self._pending)

    @property
    def waiting_bytes(self) -> int:
        """Return the size of the input that waits for the rest of its request."""
        return len(self._pending) if self._waiting else 0

    @property
    def full(self) -> bool:
        """Return whether more input has to wait until a request is answered."""
        limits = self._limits
        return len(self._pending) >= limits.head_bytes + limits.body_bytes

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        self._pending += data
        self._waiting = False

    def clear(self) -> None:
        """Forget all input."""
        self._pending = bytearray()
        self._headers = None
        self._current = None

    def release(self) -> None:
        """Free the request that was answered."""
        self._headers = None
        self._current = None

    def advance(self) -> Progress | Refusal:
        """Check the head once it has arrived and make a complete request current."""
        self._waiting = True
        first_look = self._headers is None
        if first_look:
            end = self._find_head()
            if end is None:
                return _WAIT
            refusal = end if isinstance(end, Refusal) else self._read_head(end)
            if refusal is not None:
                return refusal
        if len(self._pending) < self._body_end:
            expects = self._headers is not None and b"Expect" in self._headers
            return Progress(False, first_look and expects)
        self._take_request()
        return _COMPLETE

    def _find_head(self) -> int | Refusal | None:
        if self._pending.startswith(b"\r\n"):
            # Some clients end a body with an extra line break.
            self._pending = self._pending.lstrip(b"\r\n")
        end = self._pending.find(b"\r\n\r\n", 0, self._limits.head_bytes)
        if end >= 0:
            return end
        if len(self._pending) >= self._limits.head_bytes:
            return _refuse("the request head is too long")
        return None

    def _take_request(self) -> None:
        self._waiting = False
        self._current = io.BytesIO(bytes(self._pending[: self._body_end]))
        if len(self._pending) == self._body_end:
            self._pending = bytearray()
        else:
            del self._pending[: self._body_end]

    def _read_head(self, end: int) -> Refusal | None:
        lines = bytes(self._pending[:end]).split(b"\r\n")
        if len(lines) > self._limits.header_lines + 1:
            return _refuse("too many header lines")
        if max(map(len, lines)) > self._limits.line_bytes:
            return _refuse("a header line is too long")
        if not _REQUEST_LINE.fullmatch(lines[0]):
            return _refuse("malformed request line")
        headers = _parse_headers(lines[1:])
        if isinstance(headers, Refusal):
            return headers
        length = headers.get(b"Content-Length", b"0")
        if not _LENGTH.fullmatch(length):
            return _refuse("malformed Content-Length")
        if int(length) > self._limits.body_bytes:
            message = f"the body exceeds {self._limits.body_bytes} bytes"
            return Refusal(ErrorKind.BODY_TOO_LARGE, message)
        self._headers = headers
        self._body_end = end + 4 + int(length)
        return None

    def parts(self) -> RequestParts:
        """Return the current request, which must be complete."""
        content = b"" if self._current is None else self._current.getvalue()
        method, path, _ = content.split(b" ", 2)
        headers = self._headers or {}
        length = int(headers.get(b"Content-Length", b"0"))
        body = content[len(content) - length :]
        return RequestParts(method.decode(), path.decode(), headers, body)

    def take_headers(self) -> dict[bytes, bytes]:
        """Return the headers of the current request and move to its body."""
        headers = self._headers or {}
        if self._current is not None:
            content = self._current.getbuffer()
            length = int(headers.get(b"Content-Length", b"0"))
            self._current.seek(len(content) - length)
        return {k: v for k, v in headers.items() if k not in _CONSUMED}

    def has_data(self) -> bool:
        """Return whether another request may be complete already (pipelining)."""
        return bool(self._pending) and not self._waiting

    def read(self, size: int = -1) -> bytes:
        """Read from the current request."""
        return b"" if self._current is None else self._current.read(size)

    def readline(self, size: int = -1) -> bytes:
        """Read one line of the current request."""
        return b"" if self._current is None else self._current.readline(size)

    def close(self) -> None:
        """Drop all input."""
        self.clear()
        self.closed = True


def _parse_headers(lines: list[bytes]) -> dict[bytes, bytes] | Refusal:
    headers: dict[bytes, bytes] = {}
    for line in lines:
        match = _HEADER_LINE.fullmatch(line)
        if match is None:
            return _refuse("malformed header line")
        name = match[1].title()
        if name == b"Transfer-Encoding":
            return _refuse("a body needs Content-Length; chunked bodies are refused")
        if b"_" in name:
            # WSGI maps "-" to "_", which would let this replace another header.
            continue
        if name in headers:
            if name in _SINGLE:
                return _refuse(f"header {name.decode()} is repeated")
            headers[name] += b", " + match[2]
        else:
            headers[name] = match[2].rstrip()
    return headers


def _refuse(message: str) -> Refusal:
    return Refusal(ErrorKind.BAD_REQUEST, message)
