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

from bulrushloom.runtime.buffers import BufferAccount
from bulrushloom.runtime.loop import (
    Loop,
    set_exception_if_pending,
    set_result_if_pending,
)
from bulrushloom.runtime.stream_base import LineTooLong as LineTooLong
from bulrushloom.runtime.stream_base import Stream as Stream

RECEIVE_BYTES = 65_536
# A connection that has more unsent bytes than this at a write is closed, because its
# peer does not read; the limit is the size of two of the largest messages.
MAX_UNSENT_BYTES = 2 * 1024 * 1024
# Reading is paused while more received bytes than this are not consumed; the limit is
# one of the largest messages, and what one receive adds to it.
MAX_UNREAD_BYTES = 1024 * 1024 + RECEIVE_BYTES
LISTEN_BACKLOG = 512
# Connections that are accepted before other events get their turn.
MAX_ACCEPTS_PER_EVENT = 64
# Without a free descriptor, accepting fails at once while connections wait.
ACCEPT_RETRY_DELAY = timedelta(milliseconds=100)
# TCP closes a connection on which a segment stays unacknowledged for this long, since
# the path is then dead. The time allows three minimal retransmissions. Linux applies it
# also to a peer that acknowledges but does not read, so sessions of clients have more.
UNACKNOWLEDGED_TIMEOUT = timedelta(milliseconds=900)
KEEPALIVE_IDLE_S = 1
KEEPALIVE_PROBES = 2
_MILLISECOND = timedelta(milliseconds=1)


class TcpStream(Stream):
    """Stream on a connected TCP socket."""

    def __init__(self, loop: Loop, sock: socket.socket):
        super().__init__(loop)
        self._sock = sock
        self._unsent = bytearray()
        self._is_paused_by_account = False
        self._drain_waiters: list[tuple[int, Future[None]]] = []
        self._watched_events = selectors.EVENT_READ
        loop.watch(sock, selectors.EVENT_READ, self._on_event)

    @property
    def peer_host(self) -> str:
        """Return the IP address of the peer, empty if it is not connected any more."""
        try:
            return str(self._sock.getpeername()[0])
        except OSError:
            return ""

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes that are buffered until they can be sent."""
        return len(self._unsent)

    def limit_memory(self, account: BufferAccount) -> None:
        """Report the size of the buffers to ``account``, which may pause reading."""
        super().limit_memory(account)
        account.on_room = self._resume

    def drained(self, max_bytes: int) -> "Future[None]":
        """Return a future that is done once at most ``max_bytes`` are unsent."""
        if not self.is_open or len(self._unsent) <= max_bytes:
            return super().drained(max_bytes)
        future: Future[None] = Future()
        self._drain_waiters.append((max_bytes, future))
        return future

    def write(self, data: bytes) -> None:
        """Send ``data``; bytes that the socket does not accept are buffered.

        A stream on which the peer left too many bytes unread is closed. A single
        message of any size is buffered.
        """
        if not self.is_open:
            return
        sent = 0
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
        elif len(self._unsent) > MAX_UNSENT_BYTES:
            self.close("the peer does not read")
            return
        with memoryview(data) as view:
            self._unsent += view[sent:]
        self._on_buffers_changed()

    def close(self, reason: str = "closed") -> None:
        """Close the socket; further calls do nothing."""
        if self.closed_reason:
            return
        self.closed_reason = reason
        self._loop.unwatch(self._sock)
        self._sock.close()
        self._unsent.clear()
        self._received.clear()
        self._scanned_bytes = 0
        if self._account is not None:
            self._account.set_buffered(0)
        self._wake_drain_waiters()
        if self._reader is not None:
            self._loop.call_soon(self._notify_reader)

    def _on_consumed(self) -> None:
        self._on_buffers_changed()

    def _resume(self) -> None:
        """Receive again after the account has paused the reading."""
        self._is_paused_by_account = False
        self._update_watched_events()

    def _on_buffers_changed(self) -> None:
        if self._account is not None:
            self._account.set_buffered(len(self._received) + len(self._unsent))
        self._update_watched_events()

    def _wants_data(self) -> bool:
        """Return whether data may be received now."""
        limit = self.max_unsent_while_reading
        return (
            not self._is_paused_by_account
            and not self._eof_received
            and len(self._received) < MAX_UNREAD_BYTES
            and (limit is None or len(self._unsent) <= limit)
        )

    def _update_watched_events(self) -> None:
        if not self.is_open:
            return
        events = selectors.EVENT_READ if self._wants_data() else 0
        if self._unsent:
            events |= selectors.EVENT_WRITE
        if events == self._watched_events:
            return
        self._watched_events = events
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
        self._on_buffers_changed()
        self._wake_drain_waiters()

    def _wake_drain_waiters(self) -> None:
        waiters, self._drain_waiters = self._drain_waiters, []
        for max_bytes, future in waiters:
            if not self.is_open or len(self._unsent) <= max_bytes:
                set_result_if_pending(future, None)
            else:
                self._drain_waiters.append((max_bytes, future))

    def _receive(self) -> None:
        size = RECEIVE_BYTES if self._account is None else self._account.receivable()
        if not size:
            self._is_paused_by_account = True
            self._update_watched_events()
            return
        try:
            data = self._sock.recv(size)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.close(f"receive failed: {error.strerror}")
            return
        if data:
            self._received += data
        else:
            self._eof_received = True
        self._on_buffers_changed()
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

    ``on_error`` is called with the reason of a failed accept. A connection is closed
    if its peer takes no bytes for ``unacknowledged_timeout``.
    """

    def __init__(
        self,
        loop: Loop,
        address: str,
        accept: Callable[[Stream], None],
        on_error: Callable[[str], None] = lambda _: None,
        unacknowledged_timeout: timedelta = UNACKNOWLEDGED_TIMEOUT,
    ):
        self._loop = loop
        self._unacknowledged_timeout = unacknowledged_timeout
        self._accept = accept
        self._on_error = on_error
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(split_address(address))
        self._sock.listen(LISTEN_BACKLOG)
        self._sock.setblocking(False)
        self.port: int = self._sock.getsockname()[1]
        self._is_closed = False
        self._watch()

    def _on_event(self, _: int) -> None:
        for _attempt in range(MAX_ACCEPTS_PER_EVENT):
            try:
                sock, _address = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._on_error(f"accept failed: {error.strerror}")
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS):
                    self._pause()
                # Otherwise it was reset before accept; the next event retries.
                return
            sock.setblocking(False)
            _set_options(sock, self._unacknowledged_timeout)
            stream = TcpStream(self._loop, sock)
            try:
                self._accept(stream)
            except Exception as error:
                stream.close("internal error")
                self._loop.report_error(error)

    def _pause(self) -> None:
        """Stop accepting until ``ACCEPT_RETRY_DELAY`` has passed."""
        self._loop.unwatch(self._sock)
        self._loop.call_later(ACCEPT_RETRY_DELAY, self._watch)

    def _watch(self) -> None:
        if not self._is_closed:
            self._loop.watch(self._sock, selectors.EVENT_READ, self._on_event)

    def close(self) -> None:
        """Stop accepting connections and close the socket."""
        self._is_closed = True
        self._loop.unwatch(self._sock)
        self._sock.close()


def _set_options(
    sock: socket.socket, unacknowledged_timeout: timedelta = UNACKNOWLEDGED_TIMEOUT
) -> None:
    """Disable Nagle's algorithm and make the kernel detect dead paths."""
    limit_ms = unacknowledged_timeout // _MILLISECOND
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
