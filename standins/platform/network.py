"""In-memory connections with a delay, on an event loop with a simulated clock."""

from collections.abc import Callable
from concurrent.futures import Future
from datetime import timedelta

from bulrushloom.core.clock import ManualClock
from bulrushloom.runtime.loop import (
    Loop,
    set_exception_if_pending,
    set_result_if_pending,
)
from bulrushloom.runtime.streams import Network, Stream

ONE_WAY = timedelta(milliseconds=1)
_ZERO = timedelta()


def run_for(loop: Loop, duration: timedelta) -> None:
    """Run the loop for ``duration`` of simulated time."""
    clock = loop.clock
    assert isinstance(clock, ManualClock)
    end = clock.monotonic() + duration
    while True:
        loop.run_once(_ZERO)
        if loop.is_busy:
            continue
        due_at = loop.next_timer_at()
        if due_at is None or due_at > end:
            break
        clock.advance(max(due_at - clock.monotonic(), _ZERO))
    clock.advance(max(end - clock.monotonic(), _ZERO))


class MemoryStream(Stream):
    """One end of an in-memory connection.

    After ``silence``, data and closes are lost without a notice, as in a partition.
    """

    def __init__(self, loop: Loop):
        super().__init__(loop)
        self.peer: MemoryStream | None = None
        self.is_silent = False

    def write(self, data: bytes) -> None:
        """Deliver ``data`` to the other end after the network delay."""
        if self.is_open:
            self._loop.call_later(ONE_WAY, lambda: self._deliver(data))

    def _deliver(self, data: bytes) -> None:
        peer = self.peer
        if peer is not None and peer.is_open and not self.is_silent:
            peer._received += data
            peer._notify_reader()

    def close(self, reason: str = "closed") -> None:
        """Close this end; the other end sees it after the network delay."""
        if self.closed_reason:
            return
        self.closed_reason = reason
        self._loop.call_later(ONE_WAY, self._signal_eof)
        self._loop.call_soon(self._notify_reader)

    def _signal_eof(self) -> None:
        peer = self.peer
        if peer is not None and peer.is_open and not self.is_silent:
            peer._eof_received = True
            peer._notify_reader()

    def silence(self) -> None:
        """Drop all further data and closes in both directions."""
        self.is_silent = True
        if self.peer is not None:
            self.peer.is_silent = True


class MemoryNetwork(Network):
    """An in-memory network that connects streams to acceptors by address.

    Connections to addresses in ``dark`` time out; connections to other addresses
    without an acceptor are refused.
    """

    def __init__(self, loop: Loop):
        self._loop = loop
        self.accept_by_address: dict[str, Callable[[Stream], None]] = {}
        self.dark: set[str] = set()
        self.streams_by_address: dict[str, list[MemoryStream]] = {}

    def connect(self, address: str, limit: timedelta) -> "Future[Stream]":
        """Open a connection; the future fails with ``OSError`` if that fails."""
        future: Future[Stream] = Future()
        if address in self.dark:
            error = TimeoutError(f"no connection to {address}")
            self._loop.call_later(
                limit, lambda: set_exception_if_pending(future, error)
            )
        else:
            self._loop.call_later(ONE_WAY * 2, lambda: self._open(address, future))
        return future

    def _open(self, address: str, future: "Future[Stream]") -> None:
        accept = self.accept_by_address.get(address)
        if accept is None:
            set_exception_if_pending(
                future, ConnectionRefusedError(f"{address} refuses")
            )
            return
        near, far = MemoryStream(self._loop), MemoryStream(self._loop)
        near.peer, far.peer = far, near
        self.streams_by_address.setdefault(address, []).append(far)
        accept(far)
        set_result_if_pending(future, near)

    def cut(self, address: str) -> None:
        """Close all connections to an address."""
        for stream in self.streams_by_address.pop(address, []):
            stream.close("cut")

    def silence(self, address: str) -> None:
        """Silence all connections to an address."""
        for stream in self.streams_by_address.pop(address, []):
            stream.silence()
