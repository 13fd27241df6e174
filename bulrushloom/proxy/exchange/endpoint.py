"""Datagram socket of the exchange."""

import contextlib
import selectors
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable
from datetime import timedelta

from bulrushloom.proxy.telemetry import EventLog, Metrics
from bulrushloom.runtime.loop import Loop
from bulrushloom.runtime.streams import split_address

MAX_RECEIVED_BYTES = 65_536
# Datagrams that are handled before other events get their turn.
MAX_DATAGRAMS_PER_EVENT = 64
REJECTION_LOG_INTERVAL = timedelta(seconds=1)
LOGGED_BYTES = 24

OnDatagram = Callable[[bytes, str], None]


class DatagramEndpoint(ABC):
    """Interface for sending datagrams.

    Received ones are passed to the callback that the endpoint was opened with, together
    with the address of the sender.
    """

    sent_bytes = 0
    sent_count = 0

    @abstractmethod
    def send(self, address: str, data: bytes) -> None:
        """Send a datagram; one that cannot be sent counts as lost."""

    @abstractmethod
    def close(self) -> None:
        """Stop receiving datagrams."""


class UdpEndpoint(DatagramEndpoint):
    """UDP socket on the event loop."""

    def __init__(self, loop: Loop, address: str, on_datagram: OnDatagram):
        self._loop = loop
        self._on_datagram = on_datagram
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(split_address(address))
        loop.watch(self._sock, selectors.EVENT_READ, self._on_event)

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram; one that cannot be sent counts as lost."""
        with contextlib.suppress(OSError, ValueError):
            self._sock.sendto(data, split_address(address))
            self.sent_bytes += len(data)
            self.sent_count += 1

    def _on_event(self, _: int) -> None:
        for _attempt in range(MAX_DATAGRAMS_PER_EVENT):
            try:
                data, sender = self._sock.recvfrom(MAX_RECEIVED_BYTES)
            except (BlockingIOError, InterruptedError, ConnectionError):
                return
            try:
                self._on_datagram(data, f"{sender[0]}:{sender[1]}")
            except Exception as error:
                # The datagram is consumed, so it cannot cause the same error again.
                self._loop.report_error(error)

    def close(self) -> None:
        """Close the socket."""
        self._loop.unwatch(self._sock)
        self._sock.close()


class RejectionLog:
    """Counts rejected input and logs at most one line per interval."""

    def __init__(self, loop: Loop, log: EventLog, metrics: Metrics):
        self._loop = loop
        self._log = log
        self._metrics = metrics
        self._last_logged_at: timedelta | None = None
        self._unlogged = 0

    def record(self, sender: str, reason: str, data: bytes) -> None:
        """Record input of ``sender`` that was rejected for ``reason``."""
        self._metrics.count("datagrams_rejected", reason.partition(":")[0])
        now, last = self._loop.now(), self._last_logged_at
        if last is not None and now - last < REJECTION_LOG_INTERVAL:
            self._unlogged += 1
            return
        self._log.write(
            "datagram_rejected",
            sender=sender,
            reason=reason,
            start=data[:LOGGED_BYTES].hex(),
            size=len(data),
            others_since_last_line=self._unlogged,
        )
        self._last_logged_at, self._unlogged = now, 0
