"""Buffer that collects one HTTP request and validates its head."""

import io
import re
from typing import NamedTuple

from bulrushloom.core.errors import ErrorKind, Refusal


class RequestLimits(NamedTuple):
    """Upper bounds on the size of a request, in bytes and in header lines."""

    head_bytes: int = 16_384
    line_bytes: int = 8_192
    header_lines: int = 64
    body_bytes: int = 1_048_576


class RequestParts(NamedTuple):
    """A complete request; header names are in title case."""

    method: str
    path: str
    headers: dict[bytes, bytes]
    body: bytes


class Progress(NamedTuple):
    """Whether a request is complete, and whether to send ``100 Continue``."""

    complete: bool
    send_continue: bool = False


_HEADER_LINE = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00-\x08\n-\x1f\x7f]*)"
)
_REQUEST_LINE = re.compile(rb"[A-Z]{1,16} [\x21-\x7e]+ HTTP/1\.[01]")
_LENGTH = re.compile(rb"[0-9]{1,12}")
# With two different values of such a header, two parsers could read two different
# requests from the same input (request smuggling).
_SINGLETON_HEADERS = frozenset(
    (b"Authorization", b"Content-Length", b"Expect", b"Host", b"Idempotency-Key")
)
# The buffer itself handles ``Expect``; cheroot must not answer it again.
_HANDLED_HEADERS = frozenset((b"Expect",))
_INCOMPLETE = Progress(False)
_COMPLETE = Progress(True)


class RequestBuffer:
    """Receive buffer that is cheroot's input file for one complete request."""

    __slots__ = (
        "_body_end",
        "_request_file",
        "_headers",
        "_limits",
        "_input",
        "_is_incomplete",
        "closed",
    )

    def __init__(self, limits: RequestLimits):
        self._limits = limits
        self._input = bytearray()
        self._is_incomplete = False
        self._headers: dict[bytes, bytes] | None = None
        self._body_end = 0
        self._request_file: io.BytesIO | None = None
        self.closed = False

    @property
    def has_partial_request(self) -> bool:
        """Return whether part of another request has arrived."""
        return bool(self._input)

    @property
    def incomplete_bytes(self) -> int:
        """Return the size of the input that belongs to an incomplete request."""
        return len(self._input) if self._is_incomplete else 0

    @property
    def is_full(self) -> bool:
        """Return whether to stop reading until a request has been answered."""
        limits = self._limits
        return len(self._input) >= limits.head_bytes + limits.body_bytes

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        self._input += data
        self._is_incomplete = False

    def clear(self) -> None:
        """Discard all input."""
        self._input = bytearray()
        self._headers = None
        self._request_file = None

    def discard_request(self) -> None:
        """Discard the current request after it was answered."""
        self._headers = None
        self._request_file = None

    def parse_next(self) -> Progress | Refusal:
        """Parse the input; a complete request becomes the current one.

        The head is validated as soon as it has arrived.
        """
        self._is_incomplete = True
        is_new_head = self._headers is None
        if is_new_head:
            end = self._find_head_end()
            if end is None:
                return _INCOMPLETE
            refusal = end if isinstance(end, Refusal) else self._parse_head(end)
            if refusal is not None:
                return refusal
        if len(self._input) < self._body_end:
            expects = self._headers is not None and b"Expect" in self._headers
            return Progress(False, is_new_head and expects)
        self._extract_request()
        return _COMPLETE

    def _find_head_end(self) -> int | Refusal | None:
        if self._input.startswith(b"\r\n"):
            # Some clients send an extra line break after a body.
            self._input = self._input.lstrip(b"\r\n")
        end = self._input.find(b"\r\n\r\n", 0, self._limits.head_bytes)
        if end >= 0:
            return end
        if len(self._input) >= self._limits.head_bytes:
            return _refuse("the request head is too long")
        return None

    def _extract_request(self) -> None:
        self._is_incomplete = False
        self._request_file = io.BytesIO(bytes(self._input[: self._body_end]))
        if len(self._input) == self._body_end:
            self._input = bytearray()
        else:
            del self._input[: self._body_end]

    def _parse_head(self, end: int) -> Refusal | None:
        lines = bytes(self._input[:end]).split(b"\r\n")
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

    def current_request(self) -> RequestParts:
        """Return the current request, which must be complete."""
        content = b"" if self._request_file is None else self._request_file.getvalue()
        method, path, _ = content.split(b" ", 2)
        headers = self._headers or {}
        length = int(headers.get(b"Content-Length", b"0"))
        body = content[len(content) - length :]
        return RequestParts(method.decode(), path.decode(), headers, body)

    def read_headers(self) -> dict[bytes, bytes]:
        """Return the headers of the current request and seek to its body."""
        headers = self._headers or {}
        if self._request_file is not None:
            content = self._request_file.getbuffer()
            length = int(headers.get(b"Content-Length", b"0"))
            self._request_file.seek(len(content) - length)
        return {k: v for k, v in headers.items() if k not in _HANDLED_HEADERS}

    def has_data(self) -> bool:
        """Return whether another request may already be complete (pipelining).

        cheroot calls this too.
        """
        return bool(self._input) and not self._is_incomplete

    def read(self, size: int = -1) -> bytes:
        """Read from the current request."""
        return b"" if self._request_file is None else self._request_file.read(size)

    def readline(self, size: int = -1) -> bytes:
        """Read one line of the current request."""
        return b"" if self._request_file is None else self._request_file.readline(size)

    def close(self) -> None:
        """Discard all input and mark the buffer as closed."""
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
            # WSGI maps "-" to "_", so this header could replace another one.
            continue
        if name in headers:
            if name in _SINGLETON_HEADERS:
                return _refuse(f"header {name.decode()} is repeated")
            headers[name] += b", " + match[2]
        else:
            headers[name] = match[2].rstrip()
    return headers


def _refuse(message: str) -> Refusal:
    return Refusal(ErrorKind.BAD_REQUEST, message)
