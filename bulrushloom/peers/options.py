"""Options and counters of the peer transport."""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.core.requests import RequestLimits
from bulrushloom.core.servers import ServerOptions
from bulrushloom.peers.outbox import OutboxLimits

# Well above the sender's ``MAX_REUSE_IDLE``.
RECEIVER_IDLE_TIMEOUT = timedelta(seconds=90)


class TransportOptions(NamedTuple):
    """Limits of the peer transport.

    ``suspect_threads`` serve peers that failed lately. ``connect_timeout`` and
    ``read_timeout`` apply to each batch. ``fault_injection`` enables ``POST /faults``
    for tests.
    """

    sender_threads: int = 32
    suspect_threads: int = 8
    receiver_threads: int = 8
    connect_timeout: timedelta = timedelta(milliseconds=500)
    read_timeout: timedelta = timedelta(milliseconds=1500)
    outbox: OutboxLimits = OutboxLimits()
    body_bytes: int = 8_000_000
    fault_injection: bool = False


DEFAULT_OPTIONS = TransportOptions()


class TransportCounts(NamedTuple):
    """Numbers of batches, messages and body bytes sent since the start."""

    batches: int
    messages: int
    body_bytes: int


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; raise ``ValueError`` if the port is not a number."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def server_options(options: TransportOptions) -> ServerOptions:
    """Return the options of the server on the peer address."""
    return ServerOptions(
        threads=options.receiver_threads,
        idle_timeout=RECEIVER_IDLE_TIMEOUT,
        limits=RequestLimits(body_bytes=options.body_bytes),
    )
