"""Peer transport over HTTP: one signed batch in flight to each peer."""

import functools
import itertools
import re
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from datetime import timedelta
from typing import Any

import eliot
import orjson
from urllib3.exceptions import HTTPError, NewConnectionError

from bulrushloom.coordination.base import Message
from bulrushloom.core.clock import Clock
from bulrushloom.core.servers import BufferedServer
from bulrushloom.peers import envelopes
from bulrushloom.peers.base import (
    Deliver,
    MessageUndelivered,
    PeerLost,
    PeerTransport,
)
from bulrushloom.peers.codec import MessageCodec
from bulrushloom.peers.connections import BatchConnection
from bulrushloom.peers.envelopes import Envelope, EnvelopeChecker
from bulrushloom.peers.faults import Faults
from bulrushloom.peers.options import (
    DEFAULT_OPTIONS,
    TransportCounts,
    TransportOptions,
    parse_address,
    server_options,
)
from bulrushloom.peers.outbox import Outbox, Waiting
from bulrushloom.peers.receiver import PeerReceiver
from bulrushloom.peers.watcher import SocketWatcher

# A peer that failed is served by a small pool of its own for this long, so that
# its time-outs do not use up the threads that serve the other peers.
SUSPECT_TIME = timedelta(seconds=2)
CLOSE_TIME = timedelta(seconds=1)
_NAME = re.compile(r"[\x21-\x7e]{1,128}")


def _no_view() -> dict[str, Any]:
    return {}


class HTTPPeerTransport(PeerTransport):
    """Send batches to peers and receive them on the peer address.

    A batch over an open connection is sent by the thread that queued the message, and
    one thread waits for all answers; connecting may block and uses a thread pool.
    """

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
            server_options(options),
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
        self._watcher = SocketWatcher(f"peer-watcher-{name}", self._tick)
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
        self._watcher.start()

    def update_peers(self, address_by_name: dict[str, str]) -> None:
        """Replace the table of addresses and close pools that it no longer names."""
        with self._lock:
            self._address_by_name = dict(address_by_name)
            for name in set(self._outbox_by_name) - set(address_by_name):
                if self._outbox_by_name[name].empty:
                    self._close_connection(self._outbox_by_name.pop(name))

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
            self._next_batch(outbox)

    def _close_connection(self, outbox: Outbox) -> None:
        with outbox.connection_lock:
            outbox.connection.close()

    def _open_outbox(self, recipient: str) -> Outbox:
        options = self._options
        connection = BatchConnection(options.connect_timeout)
        return Outbox(recipient, options.outbox, connection)

    def _next_batch(self, outbox: Outbox) -> None:
        """Send the next batch; called by the one thread that works on the outbox."""
        while batch := outbox.take():
            outbox.batch = batch
            address = self._address_by_name.get(outbox.peer)
            if address is None:
                self._undelivered(outbox)
                continue
            with outbox.connection_lock:
                usable = outbox.connection.usable(address)
            if not usable or (self._faults is not None and self._faults.active):
                self._submit(outbox, address)
                return
            if self._start(outbox):
                return

    def _submit(self, outbox: Outbox, address: str) -> None:
        suspect_until = outbox.suspect_until
        suspect = suspect_until is not None and self._clock.monotonic() < suspect_until
        executor = self._suspects if suspect else self._executor
        try:
            executor.submit(self._connect_and_send, outbox, address)
        except RuntimeError:
            eliot.log_message("peer.closed_while_sending", peer=outbox.peer)

    def _connect_and_send(self, outbox: Outbox, address: str) -> None:
        """Do what may block before a batch: injected faults and connecting."""
        try:
            started = self._connect_and_start(outbox, address)
        except NewConnectionError:
            started = self._undelivered(outbox)
        except (HTTPError, OSError) as error:
            started = self._lost(outbox, type(error).__name__)
        except Exception as error:
            reason = type(error).__name__
            eliot.log_message("peer.send_failed", peer=outbox.peer, reason=reason)
            started = self._lost(outbox, reason)
        if not started:
            self._next_batch(outbox)

    def _connect_and_start(self, outbox: Outbox, address: str) -> bool:
        if self._faults is not None and self._inject(outbox):
            return False
        # Connecting blocks, so the lock that the watcher needs is not held meanwhile;
        # nobody else uses the connection of an outbox that has a batch in work.
        if not outbox.connection.usable(address):
            opened = outbox.connection.connect(address)
            with outbox.connection_lock:
                sock = outbox.connection.adopt(opened, address)
            self._watcher.watch(sock, functools.partial(self._on_event, outbox))
        return self._start(outbox)

    def _start(self, outbox: Outbox) -> bool:
        """Begin to send the current batch; return false if it failed."""
        body = self._codec.encode_batch(
            (item.message for item in outbox.batch),
            [item.encoded for item in outbox.batch],
        )
        envelope = Envelope(
            self._name,
            self._domain,
            self._incarnation,
            self.address,
            outbox.peer,
            next(self._sequence),
            envelopes.calendar_milliseconds(self._clock),
        )
        signature = envelope.signature(self._secret, body)
        headers = envelopes.to_headers(envelope, signature)
        with outbox.connection_lock:
            outbox.batch_bytes = len(body)
            outbox.answer_due = self._clock.monotonic() + self._options.read_timeout
            connection = outbox.connection
            try:
                connection.start(envelopes.PATH, headers, body)
            except (HTTPError, OSError) as error:
                self._end_batch(outbox, failed=True)
                reason = type(error).__name__
            else:
                if connection.sending and connection.sock is not None:
                    self._watcher.watch_writable(connection.sock, True)
                return True
        return self._lost(outbox, reason)

    def _end_batch(self, outbox: Outbox, failed: bool) -> None:
        outbox.answer_due = None
        if failed:
            outbox.connection.close()

    def _on_event(self, outbox: Outbox) -> None:
        """Handle input or room of a peer's socket, in the watcher's thread."""
        reason = ""
        response = None
        with outbox.connection_lock:
            connection = outbox.connection
            was_sending = connection.sending
            try:
                response = connection.advance()
            except (HTTPError, OSError) as error:
                reason = type(error).__name__
            if was_sending and not connection.sending and connection.sock is not None:
                self._watcher.watch_writable(connection.sock, False)
            if response is not None and response.status != 200:
                reason = f"status {response.status}"
            waits = outbox.answer_due is not None
            if reason or response is not None:
                self._end_batch(outbox, failed=bool(reason) or not waits)
        if not waits or not (reason or response is not None):
            return
        if reason:
            self._lost(outbox, reason)
        elif response is not None:
            self._sent(outbox, response.body)
        self._next_batch(outbox)

    def _tick(self) -> None:
        """Give up the batches whose answer is overdue."""
        now = self._clock.monotonic()
        with self._lock:
            outboxes = list(self._outbox_by_name.values())
        for outbox in outboxes:
            with outbox.connection_lock:
                overdue = outbox.answer_due is not None and outbox.answer_due < now
                if overdue:
                    self._end_batch(outbox, failed=True)
            if overdue:
                self._lost(outbox, "no answer in time")
                self._next_batch(outbox)

    def _sent(self, outbox: Outbox, answer: bytes) -> None:
        outbox.suspect_until = None
        if self._faults is not None:
            domain = orjson.loads(answer).get("domain", "")
            self._receiver.domain_by_peer[outbox.peer] = domain
        with self._lock:
            counts = self._counts
            self._counts = TransportCounts(
                counts.batches + 1,
                counts.messages + len(outbox.batch),
                counts.body_bytes + outbox.batch_bytes,
            )

    def _undelivered(self, outbox: Outbox) -> bool:
        self._suspect(outbox)
        for item in outbox.batch:
            self._report(MessageUndelivered(outbox.peer, item.message))
        return False

    def _lost(self, outbox: Outbox, reason: str) -> bool:
        self._suspect(outbox)
        self._report(PeerLost(outbox.peer, reason))
        return False

    def _suspect(self, outbox: Outbox) -> None:
        outbox.suspect_until = self._clock.monotonic() + SUSPECT_TIME

    def _inject(self, outbox: Outbox) -> bool:
        """Apply injected faults; return whether they end the batch."""
        faults = self._faults
        assert faults is not None
        if faults.delay:
            self._closing.wait(faults.delay.total_seconds())
        domain = self._receiver.domain_by_peer.get(outbox.peer, "")
        if faults.is_cut(outbox.peer, domain):
            self._closing.wait(self._options.read_timeout.total_seconds())
            self._lost(outbox, "cut off by fault injection")
            return True
        return faults.drops_next()

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
        self._stack.close()
        self._watcher.close()
        self._server.close(CLOSE_TIME, wait_idle=False)
        for outbox in outboxes:
            self._close_connection(outbox)

    def _all_sent(self) -> bool:
        with self._lock:
            return all(outbox.empty for outbox in self._outbox_by_name.values())
