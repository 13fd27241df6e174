"""Peer transport over HTTP: one signed batch in flight to each peer."""

import itertools
import re
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from datetime import timedelta
from typing import Any, NamedTuple

import eliot
import orjson
from urllib3.exceptions import HTTPError, NewConnectionError

from bulrushloom.coordination.base import Message
from bulrushloom.core.clock import Clock
from bulrushloom.core.requests import RequestLimits
from bulrushloom.core.servers import BufferedServer, ServerOptions
from bulrushloom.peers import envelopes
from bulrushloom.peers.base import (
    Deliver,
    MessageUndelivered,
    PeerLost,
    PeerTransport,
)
from bulrushloom.peers.codec import MessageCodec, join_batch
from bulrushloom.peers.connections import BatchConnection, BatchResponse
from bulrushloom.peers.envelopes import Envelope, EnvelopeChecker
from bulrushloom.peers.faults import Faults
from bulrushloom.peers.outbox import Outbox, OutboxLimits, Waiting
from bulrushloom.peers.receiver import PeerReceiver

# A peer that failed is served by a small pool of its own for this long, so that
# its time-outs do not use up the threads that serve the other peers.
SUSPECT_TIME = timedelta(seconds=2)
CLOSE_TIME = timedelta(seconds=1)
# Well above the sender's ``REUSE_LIMIT``.
RECEIVER_IDLE_LIMIT = timedelta(seconds=90)


_NAME = re.compile(r"[\x21-\x7e]{1,128}")


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


def _no_view() -> dict[str, Any]:
    return {}


class HTTPPeerTransport(PeerTransport):
    """Send batches from a thread pool and receive them on the peer address."""

    def __init__(
        self,
        name: str,
        domain: str,
        incarnation: str,
        secret: str,
        address: str,
        clock: Clock,
        codec: MessageCodec,
        metrics: Callable[[], Any] = _no_view,
        status: Callable[[], Any] = _no_view,
        options: TransportOptions = DEFAULT_OPTIONS,
    ):
        if any(not _NAME.fullmatch(text) for text in (name, domain, incarnation)):
            raise ValueError("names need 1 to 128 printable characters without spaces")
        self._name = name
        self._domain = domain
        self._incarnation = incarnation
        self._secret = secret
        self._clock = clock
        self._codec = codec
        self._options = options
        self._faults = Faults() if options.fault_injection else None
        self._receiver = PeerReceiver(
            domain,
            codec,
            EnvelopeChecker(name, secret, clock),
            {"/metrics": metrics, "/v1/status": status},
            self._faults,
        )
        self._server = BufferedServer(
            parse_address(address),
            self._receiver,
            _server_options(options),
            f"peer-{name}",
            {envelopes.PATH: self._receiver.receive},
        )
        self._deliver: Deliver | None = None
        self._lock = threading.Lock()
        self._address_by_name: dict[str, str] = {}
        self._outbox_by_name: dict[str, Outbox] = {}
        self._counts = TransportCounts(0, 0, 0)
        # One sequence for all peers: an outbox that is dropped and opened again must
        # not repeat numbers.
        self._sequence = itertools.count(1)
        self._closing = threading.Event()
        self._stack = ExitStack()
        self._executor = self._open_executor(options.sender_threads, "peer-sender")
        self._suspects = self._open_executor(options.suspect_threads, "peer-suspect")

    def _open_executor(self, threads: int, prefix: str) -> ThreadPoolExecutor:
        executor = ThreadPoolExecutor(threads, thread_name_prefix=prefix)
        self._stack.callback(executor.shutdown, wait=True, cancel_futures=True)
        return executor

    @property
    def address(self) -> str:
        """Return the bound peer address (``host:port``)."""
        host, port = self._server.bind_addr
        return f"{host}:{port}"

    @property
    def counts(self) -> TransportCounts:
        """Return what was sent so far."""
        return self._counts

    def start(self, deliver: Deliver) -> None:
        """Open the peer address; raise ``OSError`` if it is taken."""
        self._deliver = deliver
        self._receiver.deliver = deliver
        self._server.open()

    def update_peers(self, address_by_name: dict[str, str]) -> None:
        """Replace the table of addresses and close pools that it no longer names."""
        with self._lock:
            self._address_by_name = dict(address_by_name)
            for name in set(self._outbox_by_name) - set(address_by_name):
                if self._outbox_by_name[name].empty:
                    self._outbox_by_name.pop(name).connection.close()

    def send(self, recipient: str, message: Message) -> None:
        """Queue ``message``; report it undelivered if the outbox is full."""
        item = Waiting(message, self._codec.encode(message))
        with self._lock:
            if recipient not in self._address_by_name or self._closing.is_set():
                outbox = None
            else:
                outbox = self._outbox_by_name.get(recipient)
                if outbox is None:
                    outbox = self._open_outbox(recipient)
                    self._outbox_by_name[recipient] = outbox
        if outbox is None:
            self._report(MessageUndelivered(recipient, message))
            return
        fits, starts = outbox.put(item)
        if not fits:
            self._report(MessageUndelivered(recipient, message))
        elif starts:
            self._submit(outbox)

    def _open_outbox(self, recipient: str) -> Outbox:
        options = self._options
        connection = BatchConnection(options.connect_timeout, options.read_timeout)
        return Outbox(recipient, options.outbox, connection)

    def _submit(self, outbox: Outbox) -> None:
        suspect_until = outbox.suspect_until
        suspect = suspect_until is not None and self._clock.monotonic() < suspect_until
        executor = self._suspects if suspect else self._executor
        try:
            executor.submit(self._send_waiting, outbox)
        except RuntimeError:
            eliot.log_message("peer.closed_while_sending", peer=outbox.peer)

    def _send_waiting(self, outbox: Outbox) -> None:
        """Send batches until the outbox is empty or the peer has failed."""
        while batch := outbox.take():
            try:
                delivered = self._send_batch(outbox, batch)
            except Exception as error:
                reason = type(error).__name__
                eliot.log_message("peer.send_failed", peer=outbox.peer, reason=reason)
                delivered = self._lost(outbox, reason)
            if not delivered:
                # The next batch may belong to the other pool.
                self._submit(outbox)
                return

    def _send_batch(self, outbox: Outbox, batch: list[Waiting]) -> bool:
        address = self._address_by_name.get(outbox.peer)
        if address is None:
            return self._undelivered(outbox, batch)
        if self._faults is not None:
            fault = self._inject(outbox)
            if fault is not None:
                return fault
        body = join_batch(item.encoded for item in batch)
        try:
            response = self._post(outbox, address, body)
        except NewConnectionError:
            return self._undelivered(outbox, batch)
        except (HTTPError, OSError) as error:
            return self._lost(outbox, type(error).__name__)
        if response.status != 200:
            return self._lost(outbox, f"status {response.status}")
        self._sent(outbox, len(batch), len(body), response.body)
        return True

    def _post(self, outbox: Outbox, address: str, body: bytes) -> BatchResponse:
        envelope = Envelope(
            self._name,
            self._domain,
            self._incarnation,
            outbox.peer,
            next(self._sequence),
            envelopes.calendar_milliseconds(self._clock),
        )
        signature = envelope.signature(self._secret, body)
        headers = envelopes.to_headers(envelope, signature)
        return outbox.connection.post(address, envelopes.PATH, headers, body)

    def _sent(self, outbox: Outbox, messages: int, size: int, answer: bytes) -> None:
        outbox.suspect_until = None
        if self._faults is not None:
            domain = orjson.loads(answer).get("domain", "")
            self._receiver.domain_by_peer[outbox.peer] = domain
        with self._lock:
            counts = self._counts
            self._counts = TransportCounts(
                counts.batches + 1,
                counts.messages + messages,
                counts.body_bytes + size,
            )

    def _undelivered(self, outbox: Outbox, batch: list[Waiting]) -> bool:
        self._suspect(outbox)
        for item in batch:
            self._report(MessageUndelivered(outbox.peer, item.message))
        return False

    def _lost(self, outbox: Outbox, reason: str) -> bool:
        self._suspect(outbox)
        self._report(PeerLost(outbox.peer, reason))
        return False

    def _suspect(self, outbox: Outbox) -> None:
        outbox.suspect_until = self._clock.monotonic() + SUSPECT_TIME

    def _inject(self, outbox: Outbox) -> bool | None:
        """Apply injected faults; return the outcome of the batch if they decide it."""
        faults = self._faults
        assert faults is not None
        if faults.delay:
            self._closing.wait(faults.delay.total_seconds())
        domain = self._receiver.domain_by_peer.get(outbox.peer, "")
        if faults.is_cut(outbox.peer, domain):
            self._closing.wait(self._options.read_timeout.total_seconds())
            return self._lost(outbox, "cut off by fault injection")
        return True if faults.drops_next() else None

    def _report(self, event: MessageUndelivered | PeerLost) -> None:
        if self._deliver is not None:
            self._deliver(event)

    def close(self) -> None:
        """Send what is queued, within a second, and close all sockets."""
        deadline = time.monotonic() + CLOSE_TIME.total_seconds()
        while not self._all_sent() and time.monotonic() < deadline:
            time.sleep(0.01)
        self._closing.set()
        with self._lock:
            outboxes = list(self._outbox_by_name.values())
        for outbox in outboxes:
            outbox.connection.abort()
        self._stack.close()
        self._server.close(CLOSE_TIME, wait_idle=False)
        for outbox in outboxes:
            outbox.connection.close()

    def _all_sent(self) -> bool:
        with self._lock:
            return all(outbox.empty for outbox in self._outbox_by_name.values())


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; raise ``ValueError`` if malformed."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def _server_options(options: TransportOptions) -> ServerOptions:
    return ServerOptions(
        threads=options.receiver_threads,
        idle_timeout=RECEIVER_IDLE_LIMIT,
        limits=RequestLimits(body_bytes=options.body_bytes),
    )
