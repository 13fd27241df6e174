"""Connections of other instances to the owner of connections to targets."""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

import msgspec

from bulrushloom.proxy.base import RefusalKind
from bulrushloom.proxy.clients.memory_budget import AccountKind, MemoryBudget
from bulrushloom.proxy.connections import ServerConnection
from bulrushloom.proxy.exchange.keys import ExchangeKeys
from bulrushloom.proxy.messages import LogPosition, ServerAnswer
from bulrushloom.proxy.scheduling.base import TargetLoad
from bulrushloom.proxy.sharing.leases import (
    FinalState,
    Lease,
    LeaseHolder,
    LeaseOrder,
    LeaseRefusal,
)
from bulrushloom.proxy.sharing.owner import STOPPING_RETRY_DELAY, Owner
from bulrushloom.proxy.sharing.protocol import (
    MAX_FRAME_BYTES,
    MAX_REASON_LENGTH,
    MAX_UNSENT_BYTES,
    PROTOCOL_VERSION,
    Challenge,
    Close,
    FrameReader,
    Grant,
    Hello,
    LeaseRequest,
    Loads,
    Lost,
    PeerProtocolError,
    Proof,
    Pulse,
    Query,
    Refused,
    Release,
    WireLoad,
    delay_ms,
    encode_answer,
    encode_frame,
    handshake_decoder,
    handshake_tag,
    new_nonce,
    request_decoder,
    tag_matches,
)
from bulrushloom.proxy.telemetry import EventLog, Metrics
from bulrushloom.runtime.loop import Loop
from bulrushloom.runtime.streams import Stream

# A peer that has not authenticated itself after this time is closed.
HANDSHAKE_TIMEOUT = timedelta(seconds=1)
# A domain has at most 122 instances. Others cannot use up the descriptors.
MAX_PEERS = 256
MAX_UNAUTHENTICATED = 64
MAX_LEASES_OF_PEER = 256
# Statements that waited for this long in the buffers of a frozen process do not run.
STALL_LIMIT = timedelta(seconds=1)
# Interval at which peers are told the loads of busy targets.
LOAD_INTERVAL = timedelta(milliseconds=500)
REJECTION_LOG_INTERVAL = timedelta(seconds=1)
_MILLISECOND = timedelta(milliseconds=1)
_NO_LOAD = WireLoad(0, 0, 0)
_STOPPING = LeaseRefusal(
    RefusalKind.STOPPING, "the owner is stopping", STOPPING_RETRY_DELAY
)
_TOO_MANY_LEASES = LeaseRefusal(
    RefusalKind.OVERLOADED, "the instance has too many leases", _MILLISECOND * 15
)


class PeerSession(LeaseHolder):
    """Connection of another instance, which leases connections over it."""

    def __init__(self, server: "PeerServer", stream: Stream):
        self._server = server
        self._stream = stream
        self._frames = FrameReader()
        self._hello: Hello | None = None
        self._nonce = new_nonce()
        self._lease_by_number: dict[int, Lease] = {}
        self.is_authenticated = False
        self._account = server.memory.open_account(AccountKind.TARGET)
        stream.limit_memory(self._account)
        stream.on_data(self._on_data)

    @property
    def name(self) -> str:
        """Return the name of the instance, empty before its first message."""
        return self._hello.name if self._hello is not None else ""

    @property
    def lease_count(self) -> int:
        """Return the number of leases and of requests for one."""
        return len(self._lease_by_number)

    def close(self, reason: str) -> None:
        """Close the connection and end its leases."""
        self._stream.close(reason)
        self._account.close()
        leases, self._lease_by_number = self._lease_by_number, {}
        for lease in leases.values():
            lease.abandon(reason)
        self._server.forget(self)

    def _send(self, message: msgspec.Struct) -> None:
        self._stream.write(encode_frame(message))

    # Receiving

    def _on_data(self) -> None:
        if self._server.was_frozen():
            self.close("the owner was frozen")
        try:
            self._frames.feed(self._stream.read_all())
            for frame in self._frames.frames():
                if not self._stream.is_open:
                    break
                self._handle(frame)
        except (PeerProtocolError, msgspec.DecodeError) as error:
            self._server.record_rejected(self.name, str(error))
            self.close(f"protocol error: {error}")
        self._account.set_held(self._frames.buffered_bytes)
        if self._stream.at_eof:
            self.close(self._stream.closed_reason or "closed by the peer")

    def _handle(self, frame: bytes) -> None:
        if not self.is_authenticated:
            self._handle_handshake(frame)
            return
        message = request_decoder.decode(frame)
        if isinstance(message, LeaseRequest):
            self._handle_request(message)
            return
        lease = self._lease_by_number.get(message.lease)
        if isinstance(message, Query):
            if lease is not None:
                self._handle_query(lease, message)
        elif isinstance(message, Release):
            if lease is not None:
                del self._lease_by_number[message.lease]
                lease.release(message.state.values, message.state.prepared)
        else:
            assert isinstance(message, Close)
            if lease is not None:
                del self._lease_by_number[message.lease]
                lease.close(message.reason)
            self._send(Pulse())

    def _handle_handshake(self, frame: bytes) -> None:
        message = handshake_decoder.decode(frame)
        keys = self._server.keys()
        if keys is None:
            raise PeerProtocolError("this instance has no exchange keys")
        if isinstance(message, Hello) and self._hello is None:
            if message.version != PROTOCOL_VERSION:
                raise PeerProtocolError(f"version {message.version}")
            if message.owner != self._server.name:
                raise PeerProtocolError("the peer wants another instance")
            self._hello = message
            tag = handshake_tag(keys, b"owner", message, self._nonce)
            if not isinstance(tag, bytes):
                raise PeerProtocolError(tag.reason)
            self._send(Challenge(PROTOCOL_VERSION, self._nonce, tag))
        elif isinstance(message, Proof) and self._hello is not None:
            expected = handshake_tag(keys, b"peer", self._hello, self._nonce)
            if not tag_matches(expected, message.tag):
                raise PeerProtocolError("the peer does not have the exchange key")
            self.is_authenticated = True
            self._frames.max_bytes = MAX_FRAME_BYTES
        else:
            raise PeerProtocolError("unexpected message in the handshake")

    def _handle_request(self, message: LeaseRequest) -> None:
        if message.lease in self._lease_by_number:
            raise PeerProtocolError("the number of the lease is in use")
        server = self._server
        now = server.loop.now()
        result: Lease | LeaseRefusal
        if server.is_stopping():
            result = _STOPPING
        elif len(self._lease_by_number) >= MAX_LEASES_OF_PEER:
            result = _TOO_MANY_LEASES
        else:
            order = LeaseOrder(
                message.target,
                message.account,
                message.values,
                message.priority,
                now + _MILLISECOND * message.in_time_for_ms,
                now + _MILLISECOND * message.time_left_ms,
            )
            result = server.owner.request(order, self, message.lease)
        if isinstance(result, LeaseRefusal):
            self._refuse(message.lease, result, message.target)
        elif not result.has_ended:
            self._lease_by_number[message.lease] = result

    def _handle_query(self, lease: Lease, message: Query) -> None:
        after = LogPosition(*message.after) if message.after else None
        state = message.release
        final = FinalState(state.values, state.prepared) if state else None
        if lease.connection is None:
            raise PeerProtocolError("a statement before the grant")
        if not lease.query(message.request_id, message.text, after, final):
            lease.close("too many statements")
            self.on_lost(lease, "too many statements", True)

    # What happens to leases

    def on_granted(self, lease: Lease, connection: ServerConnection) -> None:
        """Send the grant."""
        values = connection.values
        self._server.metrics.count("leases_granted")
        self._send(
            Grant(
                lease.number,
                None if values == lease.order.values else values,
                list(connection.prepared_by_name),
                self._load(lease.order.target_id),
            )
        )

    def on_refused(self, lease: Lease, refusal: LeaseRefusal) -> None:
        """Send the refusal."""
        self._lease_by_number.pop(lease.number, None)
        self._refuse(lease.number, refusal, lease.order.target_id)

    def _refuse(self, number: int, refusal: LeaseRefusal, target_id: str) -> None:
        self._server.metrics.count("leases_refused", refusal.kind.name.lower())
        self._send(
            Refused(
                number,
                int(refusal.kind),
                refusal.reason[:MAX_REASON_LENGTH],
                max(1, delay_ms(refusal.retry_after)),
                self._load(target_id),
            )
        )

    def on_answer(self, lease: Lease, answer: ServerAnswer) -> None:
        """Send the answer of the target."""
        frame = encode_answer(lease.number, answer)
        if self._stream.unsent_bytes + len(frame) > MAX_UNSENT_BYTES:
            lease.close("the answer is too large")
            self.on_lost(lease, "the answer is too large", True)
        else:
            self._stream.write(frame)
            if lease.final_state is not None:
                self._lease_by_number.pop(lease.number, None)

    def on_lost(self, lease: Lease, reason: str, was_sent: bool) -> None:
        """Report the loss of a leased connection."""
        self._lease_by_number.pop(lease.number, None)
        self._send(Lost(lease.number, reason[:MAX_REASON_LENGTH], was_sent))

    def _load(self, target_id: str) -> WireLoad:
        return wire_load(self._server.owner.load(target_id))

    def send_frame(self, frame: bytes) -> None:
        """Send a frame if the instance has authenticated itself."""
        if self.is_authenticated:
            self._stream.write(frame)

    def send_pulse_if_waiting(self) -> None:
        """Show that this instance runs while requests of the peer wait."""
        now = self._server.loop.now()
        if any(lease.needs_pulse(now) for lease in self._lease_by_number.values()):
            self._send(Pulse())


def wire_load(load: TargetLoad | None) -> WireLoad:
    """Return the encoded load of a target."""
    if load is None:
        return _NO_LOAD
    return WireLoad(load.running, load.waiting, int(load.limit))


class PeerContext(NamedTuple):
    """What an owner needs to know about its instance to accept peers."""

    name: str
    keys: Callable[[], ExchangeKeys | None]
    is_stopping: Callable[[], bool]
    memory: MemoryBudget


class PeerServer:
    """Accepts the connections of the instances that lease connections here."""

    def __init__(
        self,
        loop: Loop,
        owner: Owner,
        context: PeerContext,
        log: EventLog,
        metrics: Metrics,
    ):
        self.loop = loop
        self.owner = owner
        self.name, self.keys, self.is_stopping, self.memory = context
        self.metrics = metrics
        self._log = log
        self._peers: set[PeerSession] = set()
        self._last_logged_at: timedelta | None = None
        self._checked_at = self._reported_at = loop.now()
        self._busy_targets: set[str] = set()

    def accept(self, stream: Stream) -> None:
        """Accept a connection; close it if there are too many."""
        unknown = sum(not peer.is_authenticated for peer in self._peers)
        if len(self._peers) >= MAX_PEERS or unknown >= MAX_UNAUTHENTICATED:
            stream.close("too many peers")
            self.record_rejected("", "too many peers")
            return
        peer = PeerSession(self, stream)
        self._peers.add(peer)
        self.loop.call_later(HANDSHAKE_TIMEOUT, lambda: self._expire(peer))

    def _expire(self, peer: PeerSession) -> None:
        if peer in self._peers and not peer.is_authenticated:
            self.record_rejected(peer.name, "no proof within the time limit")
            peer.close("not authenticated")

    def forget(self, peer: PeerSession) -> None:
        """Drop a connection that was closed."""
        self._peers.discard(peer)

    @property
    def peer_count(self) -> int:
        """Return the number of connections of other instances."""
        return len(self._peers)

    def was_frozen(self) -> bool:
        """Return whether this process did not run for a long time until just now.

        Statements that arrived meanwhile must not run: what their senders checked, such
        as the key and the primary, may no longer be true.
        """
        return self.loop.now() - self._checked_at > STALL_LIMIT

    def check(self) -> None:
        """Show that this instance runs to the peers that wait; call at intervals."""
        if self.was_frozen():
            self._log.write("owner_was_frozen", peers=len(self._peers))
            self.close()
        self._checked_at = self.loop.now()
        for peer in list(self._peers):
            peer.send_pulse_if_waiting()
        if self._checked_at - self._reported_at >= LOAD_INTERVAL:
            self._reported_at = self._checked_at
            self._report_loads()

    def _report_loads(self) -> None:
        """Tell all peers the loads that are not 0, or have become 0.

        A single instance gets an answer of a target every few seconds, so the loads in
        its grants are too old to place reads.
        """
        loads = {}
        for target_id in self.owner.target_ids():
            load = wire_load(self.owner.load(target_id))
            if load[:2] != (0, 0) or target_id in self._busy_targets:
                loads[target_id] = load
        self._busy_targets = {key for key, load in loads.items() if load[:2] != (0, 0)}
        if loads:
            frame = encode_frame(Loads(loads))
            for peer in self._peers:
                peer.send_frame(frame)

    def record_rejected(self, peer: str, reason: str) -> None:
        """Count a connection that was rejected; log at most one per interval."""
        self.metrics.count("peers_rejected")
        now, last = self.loop.now(), self._last_logged_at
        if last is None or now - last >= REJECTION_LOG_INTERVAL:
            self._last_logged_at = now
            self._log.write("peer_rejected", peer=peer, reason=reason)

    def lease_count(self) -> int:
        """Return the number of leases of other instances."""
        return sum(peer.lease_count for peer in self._peers)

    def close(self) -> None:
        """Close all connections."""
        for peer in list(self._peers):
            peer.close("the owner ends the connection")
