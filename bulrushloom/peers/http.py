"""Peer transport over HTTP with one signed batch at a time in flight to each peer."""

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
    DeliverEvent,
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
    server_options,
    split_address,
)
from bulrushloom.peers.outbox import Outbox, QueuedMessage
from bulrushloom.peers.receiver import PeerReceiver
from bulrushloom.peers.watcher import SocketWatcher

# For this long after a failure, a peer is served by a small separate thread pool, so
# that its timeouts do not exhaust the threads that serve the other peers.
SUSPECT_PERIOD = timedelta(seconds=2)
CLOSE_TIMEOUT = timedelta(seconds=1)
_NAME = re.compile(r"[\x21-\x7e]{1,128}")


def _empty_document() -> dict[str, Any]:
    return {}


class HTTPPeerTransport(PeerTransport):
    """Transport that sends batches to peers and receives them on the peer address.

    If the connection to the peer is open, the thread that queues a message sends the
    batch. Connecting may block and uses a thread pool. One thread waits for the
    responses of all peers.
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
        metrics: Callable[[], Any] = _empty_document,
        status: Callable[[], Any] = _empty_document,
        options: TransportOptions = DEFAULT_OPTIONS,
    ):
        if any(not _NAME.fullmatch(text) for text in (name, domain, incarnation)):
            raise ValueError(
                "names must be 1 to 128 printable characters without spaces"
            )
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
            split_address(address),
            self._receiver,
            server_options(options),
            f"peer-{name}",
            {envelopes.MESSAGES_PATH: self._receiver.receive},
        )
        self._deliver: DeliverEvent | None = None
        self._lock = threading.Lock()
        self._address_by_name: dict[str, str] = {}
        self._outbox_by_name: dict[str, Outbox] = {}
        self._counts = TransportCounts(0, 0, 0)
        # All peers share one sequence, because an outbox that is removed and opened
        # again must not repeat numbers.
        self._sequence = itertools.count(1)
        self._closing = threading.Event()
        self._watcher = SocketWatcher(
            f"peer-watcher-{name}", self._abort_overdue_batches
        )
        self._executor_stack = ExitStack()
        self._sender_executor = self._open_executor(
            options.sender_threads, "peer-sender"
        )
        self._suspect_executor = self._open_executor(
            options.suspect_threads, "peer-suspect"
        )

    def _open_executor(self, threads: int, prefix: str) -> ThreadPoolExecutor:
        executor = ThreadPoolExecutor(threads, thread_name_prefix=prefix)
        self._executor_stack.callback(executor.shutdown, wait=True, cancel_futures=True)
        return executor

    @property
    def address(self) -> str:
        """Return the bound peer address (``host:port``)."""
        host, port = self._server.bind_addr
        return f"{host}:{port}"

    @property
    def counts(self) -> TransportCounts:
        """Return the numbers of batches, messages and bytes sent so far."""
        return self._counts

    def start(self, deliver: DeliverEvent) -> None:
        """Open the peer address; raise ``OSError`` if it is in use."""
        self._deliver = deliver
        self._receiver.deliver = deliver
        self._server.open()
        self._watcher.start()

    def update_peers(self, address_by_name: dict[str, str]) -> None:
        """Replace the table of addresses; close idle outboxes of removed peers."""
        with self._lock:
            self._address_by_name = dict(address_by_name)
            for name in set(self._outbox_by_name) - set(address_by_name):
                if self._outbox_by_name[name].is_empty:
                    self._close_connection(self._outbox_by_name.pop(name))

    def send(self, recipient: str, message: Message) -> None:
        """Queue ``message``; report it as undelivered if that is not possible."""
        item = QueuedMessage(message, self._codec.encode(message))
        with self._lock:
            if recipient not in self._address_by_name or self._closing.is_set():
                outbox = None
            else:
                outbox = self._outbox_by_name.get(recipient)
                if outbox is None:
                    outbox = self._open_outbox(recipient)
                    self._outbox_by_name[recipient] = outbox
        if outbox is None:
            self._deliver_event(MessageUndelivered(recipient, message))
            return
        fits, starts_batch = outbox.put(item)
        if not fits:
            self._deliver_event(MessageUndelivered(recipient, message))
        elif starts_batch:
            self._send_next_batch(outbox)

    def _close_connection(self, outbox: Outbox) -> None:
        with outbox.connection_lock:
            outbox.connection.close()

    def _open_outbox(self, recipient: str) -> Outbox:
        options = self._options
        connection = BatchConnection(options.connect_timeout)
        return Outbox(recipient, options.outbox, connection)

    def _send_next_batch(self, outbox: Outbox) -> None:
        """Start the next batch; only one thread at a time may do so for an outbox."""
        while batch := outbox.take_batch():
            outbox.batch = batch
            address = self._address_by_name.get(outbox.peer)
            if address is None:
                self._report_undelivered(outbox)
                continue
            with outbox.connection_lock:
                is_usable = outbox.connection.is_usable(address)
            if not is_usable or (self._faults is not None and self._faults.is_active):
                self._submit_batch(outbox, address)
                return
            if self._start_batch(outbox):
                return

    def _submit_batch(self, outbox: Outbox, address: str) -> None:
        suspect_until = outbox.suspect_until
        is_suspect = (
            suspect_until is not None and self._clock.monotonic() < suspect_until
        )
        executor = self._suspect_executor if is_suspect else self._sender_executor
        try:
            executor.submit(self._connect_and_send, outbox, address)
        except RuntimeError:
            eliot.log_message("peer.closed_while_sending", peer=outbox.peer)

    def _connect_and_send(self, outbox: Outbox, address: str) -> None:
        """Do the steps that may block: inject faults, connect, and start the batch."""
        try:
            started = self._connect_and_start(outbox, address)
        except NewConnectionError:
            started = self._report_undelivered(outbox)
        except (HTTPError, OSError) as error:
            started = self._report_lost(outbox, type(error).__name__)
        except Exception as error:
            reason = type(error).__name__
            eliot.log_message("peer.send_failed", peer=outbox.peer, reason=reason)
            started = self._report_lost(outbox, reason)
        if not started:
            self._send_next_batch(outbox)

    def _connect_and_start(self, outbox: Outbox, address: str) -> bool:
        if self._faults is not None and self._inject_faults(outbox):
            return False
        # Connecting may block, so this does not hold the lock, which the watcher
        # thread needs too. No other thread uses the connection while a batch of the
        # outbox is in flight.
        if not outbox.connection.is_usable(address):
            opened = outbox.connection.connect(address)
            with outbox.connection_lock:
                sock = outbox.connection.attach(opened, address)
            self._watcher.watch(sock, functools.partial(self._on_socket_event, outbox))
        return self._start_batch(outbox)

    def _start_batch(self, outbox: Outbox) -> bool:
        """Start to send the current batch; return false if that failed."""
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
            outbox.response_deadline = (
                self._clock.monotonic() + self._options.read_timeout
            )
            connection = outbox.connection
            try:
                connection.start(envelopes.MESSAGES_PATH, headers, body)
            except (HTTPError, OSError) as error:
                self._complete_batch(outbox, failed=True)
                reason = type(error).__name__
            else:
                if connection.is_sending and connection.sock is not None:
                    self._watcher.watch_writable(connection.sock, True)
                return True
        return self._report_lost(outbox, reason)

    def _complete_batch(self, outbox: Outbox, failed: bool) -> None:
        outbox.response_deadline = None
        if failed:
            outbox.connection.close()

    def _on_socket_event(self, outbox: Outbox) -> None:
        """Handle a readable or writable socket, in the watcher thread."""
        reason = ""
        response = None
        with outbox.connection_lock:
            connection = outbox.connection
            was_sending = connection.is_sending
            try:
                response = connection.advance()
            except (HTTPError, OSError) as error:
                reason = type(error).__name__
            if (
                was_sending
                and not connection.is_sending
                and connection.sock is not None
            ):
                self._watcher.watch_writable(connection.sock, False)
            if response is not None and response.status != 200:
                reason = f"status {response.status}"
            is_awaited = outbox.response_deadline is not None
            if reason or response is not None:
                self._complete_batch(outbox, failed=bool(reason) or not is_awaited)
        if not is_awaited or not (reason or response is not None):
            return
        if reason:
            self._report_lost(outbox, reason)
        elif response is not None:
            self._record_delivery(outbox, response.body)
        self._send_next_batch(outbox)

    def _abort_overdue_batches(self) -> None:
        """Abort the batches whose response is overdue."""
        now = self._clock.monotonic()
        with self._lock:
            outboxes = list(self._outbox_by_name.values())
        for outbox in outboxes:
            with outbox.connection_lock:
                is_overdue = (
                    outbox.response_deadline is not None
                    and outbox.response_deadline < now
                )
                if is_overdue:
                    self._complete_batch(outbox, failed=True)
            if is_overdue:
                self._report_lost(outbox, "no answer in time")
                self._send_next_batch(outbox)

    def _record_delivery(self, outbox: Outbox, response_body: bytes) -> None:
        outbox.suspect_until = None
        if self._faults is not None:
            domain = orjson.loads(response_body).get("domain", "")
            self._receiver.domain_by_peer[outbox.peer] = domain
        with self._lock:
            counts = self._counts
            self._counts = TransportCounts(
                counts.batches + 1,
                counts.messages + len(outbox.batch),
                counts.body_bytes + outbox.batch_bytes,
            )

    def _report_undelivered(self, outbox: Outbox) -> bool:
        self._mark_suspect(outbox)
        for item in outbox.batch:
            self._deliver_event(MessageUndelivered(outbox.peer, item.message))
        return False

    def _report_lost(self, outbox: Outbox, reason: str) -> bool:
        self._mark_suspect(outbox)
        self._deliver_event(PeerLost(outbox.peer, reason))
        return False

    def _mark_suspect(self, outbox: Outbox) -> None:
        outbox.suspect_until = self._clock.monotonic() + SUSPECT_PERIOD

    def _inject_faults(self, outbox: Outbox) -> bool:
        """Apply the injected faults; return whether they end the batch."""
        faults = self._faults
        assert faults is not None
        if faults.delay:
            self._closing.wait(faults.delay.total_seconds())
        domain = self._receiver.domain_by_peer.get(outbox.peer, "")
        if faults.is_cut(outbox.peer, domain):
            self._closing.wait(self._options.read_timeout.total_seconds())
            self._report_lost(outbox, "cut off by fault injection")
            return True
        return faults.should_drop()

    def _deliver_event(self, event: MessageUndelivered | PeerLost) -> None:
        if self._deliver is not None:
            self._deliver(event)

    def close(self) -> None:
        """Send the queued messages for up to a second, then close all sockets."""
        deadline = time.monotonic() + CLOSE_TIMEOUT.total_seconds()
        while not self._all_outboxes_empty() and time.monotonic() < deadline:
            time.sleep(0.01)
        self._closing.set()
        with self._lock:
            outboxes = list(self._outbox_by_name.values())
        self._executor_stack.close()
        self._watcher.close()
        self._server.close(CLOSE_TIMEOUT, wait_idle=False)
        for outbox in outboxes:
            self._close_connection(outbox)

    def _all_outboxes_empty(self) -> bool:
        with self._lock:
            return all(outbox.is_empty for outbox in self._outbox_by_name.values())
