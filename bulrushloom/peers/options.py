"""Bounds and counts of the peer transport."""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.core.requests import RequestLimits
from bulrushloom.core.servers import ServerOptions
from bulrushloom.peers.outbox import OutboxLimits

# Well above the sender's ``REUSE_LIMIT``.
RECEIVER_IDLE_LIMIT = timedelta(seconds=90)


class TransportOptions(NamedTuple):
    """Bound the transport; ``fault_injection`` opens ``POST /faults`` for tests.

    ``connect_timeout`` and ``read_timeout`` bound one batch.
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
    """Count what was sent since the start."""

    batches: int
    messages: int
    body_bytes: int


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; raise ``ValueError`` if malformed."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def server_options(options: TransportOptions) -> ServerOptions:
    """Return the bounds of the receiving server."""
    return ServerOptions(
        threads=options.receiver_threads,
        idle_timeout=RECEIVER_IDLE_LIMIT,
        limits=RequestLimits(body_bytes=options.body_bytes),
    )
