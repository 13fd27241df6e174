"""Non-blocking TCP streams of the event loop."""

import contextlib
import errno
import selectors
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable
from concurrent.futures import Future
from datetime import timedelta
from typing import Any

from bulrushloom.runtime.loop import (
    Loop,
    set_exception_if_pending,
    set_result_if_pending,
)

RECEIVE_BYTES = 65_536
# A connection with more unsent bytes than this is closed, because its peer does not
# read; the limit is the size of two of the largest messages.
MAX_UNSENT_BYTES = 2 * 1024 * 1024
# Reading is paused while more received bytes than this are not consumed.
MAX_UNREAD_BYTES = 2 * 1024 * 1024
LISTEN_BACKLOG = 512
LINE_END = b"\r\n"
# TCP closes a connection on which a segment stays unacknowledged for this long, since
# the path is then dead. The time allows three minimal retransmissions.
UNACKNOWLEDGED_TIMEOUT = timedelta(milliseconds=900)
KEEPALIVE_IDLE_S = 1
KEEPALIVE_PROBES = 2
_MILLISECOND = timedelta(milliseconds=1)


class LineTooLong(Exception):
    """The peer sent a line that exceeds the limit."""


class Stream(ABC):
    """Connection with a buffer of received bytes.

    ``closed_reason`` is empty while the stream is open.
    """

    def __init__(self, loop: Loop):
        self._loop = loop
        self._received = bytearray()
        self._scanned_bytes = 0
        self._reader: Callable[[], None] | None = None
        self._eof_received = False
        self.closed_reason = ""

    @abstractmethod
    def write(self, data: bytes) -> None:
        """Send ``data``; bytes that cannot be sent now are buffered."""

    @abstractmethod
    def close(self, reason: str = "closed") -> None:
        """Close the connection; further calls do nothing."""

    @property
    def is_open(self) -> bool:
        """Return whether the stream is not closed, so that data can be sent."""
        return not self.closed_reason

    @property
    def at_eof(self) -> bool:
        """Return whether the peer has closed its side or the stream is closed."""
        return self._eof_received or not self.is_open

    @property
    def unread_bytes(self) -> int:
        """Return the number of received bytes that are not consumed yet."""
        return len(self._received)

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes that are buffered because the peer is slow."""
        return 0

    def on_data(self, reader: Callable[[], None]) -> None:
        """Call ``reader`` whenever data or the end of the stream arrives."""
        self._reader = reader

    def read_line(self, max_bytes: int) -> bytes | None:
        """Consume and return one line without its line end; ``None`` if incomplete.

        Only CR LF ends a line. Any other line break is a part of it, so that no reader
        finds more lines in the stream than its writer sent.

        Raise ``LineTooLong`` if the line has more than ``max_bytes`` bytes.
        """
        end = self._received.find(LINE_END, self._scanned_bytes)
        if end < 0:
            # The last byte may be the first one of a line end.
            self._scanned_bytes = max(0, len(self._received) - 1)
            if self._scanned_bytes > max_bytes:
                raise LineTooLong(f"more than {max_bytes} bytes without a line end")
            return None
        if end > max_bytes:
            raise LineTooLong(f"a line of {end} bytes; the limit is {max_bytes}")
        line = bytes(self._received[:end])
        del self._received[: end + len(LINE_END)]
        self._scanned_bytes = 0
        self._on_consumed()
        return line

    def read_all(self) -> bytes:
        """Consume and return all received bytes."""
        data = bytes(self._received)
        self._received.clear()
        self._scanned_bytes = 0
        self._on_consumed()
        return data

    def _on_consumed(self) -> None:
        """Hook for subclasses: bytes were consumed, so more can be received."""
        return

    def _notify_reader(self) -> None:
        """Call the reader; its unexpected exception ends only this connection."""
        if self._reader is None:
            return
        try:
            self._reader()
        except Exception as error:
            self.close("internal error")
            self._loop.report_error(error)


class TcpStream(Stream):
    """Stream on a connected TCP socket."""

    def __init__(self, loop: Loop, sock: socket.socket):
        super().__init__(loop)
        self._sock = sock
        self._unsent = bytearray()
        self._reading_paused = False
        loop.watch(sock, selectors.EVENT_READ, self._on_event)

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes that are buffered because the peer is slow."""
        return len(self._unsent)

    @property
    def peer_host(self) -> str:
        """Return the IP address of the peer, empty if it is not connected any more."""
        try:
            return str(self._sock.getpeername()[0])
        except OSError:
            return ""

    def write(self, data: bytes) -> None:
        """Send ``data``; bytes that the socket does not accept are buffered."""
        if not self.is_open:
            return
        if not self._unsent:
            try:
                sent = self._sock.send(data)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError as error:
                self.close(f"send failed: {error.strerror}")
                return
            if sent == len(data):
                return
            data = data[sent:]
        self._unsent += data
        if len(self._unsent) > MAX_UNSENT_BYTES:
            self.close("the peer does not read")
            return
        self._update_watched_events()

    def close(self, reason: str = "closed") -> None:
        """Close the socket; further calls do nothing."""
        if self.closed_reason:
            return
        self.closed_reason = reason
        self._loop.unwatch(self._sock)
        self._sock.close()
        self._unsent.clear()
        if self._reader is not None:
            self._loop.call_soon(self._notify_reader)

    def _on_consumed(self) -> None:
        if self._reading_paused and len(self._received) < MAX_UNREAD_BYTES // 2:
            self._reading_paused = False
            self._update_watched_events()

    def _update_watched_events(self) -> None:
        if not self.is_open:
            return
        events = (
            0 if self._reading_paused or self._eof_received else selectors.EVENT_READ
        )
        if self._unsent:
            events |= selectors.EVENT_WRITE
        if events:
            self._loop.watch(self._sock, events, self._on_event)
        else:
            self._loop.unwatch(self._sock)

    def _on_event(self, events: int) -> None:
        if events & selectors.EVENT_WRITE and self._unsent:
            self._send_buffered()
        if events & selectors.EVENT_READ and self.is_open:
            self._receive()

    def _send_buffered(self) -> None:
        try:
            sent = self._sock.send(self._unsent)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.close(f"send failed: {error.strerror}")
            return
        del self._unsent[:sent]
        if not self._unsent:
            self._update_watched_events()

    def _receive(self) -> None:
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.close(f"receive failed: {error.strerror}")
            return
        if data:
            self._received += data
            if len(self._received) > MAX_UNREAD_BYTES:
                self._reading_paused = True
                self._update_watched_events()
        else:
            self._eof_received = True
            self._update_watched_events()
        self._notify_reader()


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port; raise ``ValueError`` if malformed."""
    host, separator, port = address.rpartition(":")
    if not separator or not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"{address!r} is not host:port")
    return host, int(port)


class Network(ABC):
    """Interface for opening connections."""

    @abstractmethod
    def connect(self, address: str, timeout: timedelta) -> "Future[Stream]":
        """Open a connection; the future fails with an ``OSError`` if that fails."""


class TcpNetwork(Network):
    """Network of TCP connections."""

    def __init__(self, loop: Loop):
        self._loop = loop

    def connect(self, address: str, timeout: timedelta) -> "Future[Stream]":
        """Open a connection; the future fails with an ``OSError`` if that fails."""
        return _connect(self._loop, address, timeout)


def _connect(loop: Loop, address: str, timeout: timedelta) -> "Future[Stream]":
    future: Future[Stream] = Future()
    try:
        peer = split_address(address)
    except ValueError as error:
        future.set_exception(OSError(errno.EINVAL, str(error)))
        return future
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    _set_options(sock)
    status = sock.connect_ex(peer)
    if status not in (0, errno.EINPROGRESS):
        sock.close()
        future.set_exception(OSError(status, f"connect to {address} failed"))
        return future

    def abort(error: OSError) -> None:
        timer.cancel()
        loop.unwatch(sock)
        sock.close()
        set_exception_if_pending(future, error)

    def connected(_: int) -> None:
        status = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if status:
            abort(OSError(status, f"connect to {address} failed"))
            return
        timer.cancel()
        loop.unwatch(sock)
        set_result_if_pending(future, TcpStream(loop, sock))

    timer = loop.call_later(
        timeout, lambda: abort(TimeoutError(f"no connection to {address} in {timeout}"))
    )
    loop.watch(sock, selectors.EVENT_WRITE, connected)
    return future


class Listener:
    """Listening socket that passes each accepted connection to ``accept``.

    ``on_error`` is called with the reason of a failed accept.
    """

    def __init__(
        self,
        loop: Loop,
        address: str,
        accept: Callable[[Stream], None],
        on_error: Callable[[str], None] = lambda _: None,
    ):
        self._loop = loop
        self._accept = accept
        self._on_error = on_error
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(split_address(address))
        self._sock.listen(LISTEN_BACKLOG)
        self._sock.setblocking(False)
        self.port: int = self._sock.getsockname()[1]
        loop.watch(self._sock, selectors.EVENT_READ, self._on_event)

    def _on_event(self, _: int) -> None:
        for _attempt in range(LISTEN_BACKLOG):
            try:
                sock, _address = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                # No free descriptor, or reset before accept; the next event retries.
                self._on_error(f"accept failed: {error.strerror}")
                return
            sock.setblocking(False)
            _set_options(sock)
            stream = TcpStream(self._loop, sock)
            try:
                self._accept(stream)
            except Exception as error:
                stream.close("internal error")
                self._loop.report_error(error)

    def close(self) -> None:
        """Stop accepting connections and close the socket."""
        self._loop.unwatch(self._sock)
        self._sock.close()


def _set_options(sock: socket.socket) -> None:
    """Disable Nagle's algorithm and make the kernel detect dead paths."""
    limit_ms = UNACKNOWLEDGED_TIMEOUT // _MILLISECOND
    options: list[tuple[int, int, Any]] = [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms),
    ]
    for level, name, value in options:
        # If the system lacks an option, the timeouts of the requests still apply.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, name, value)
