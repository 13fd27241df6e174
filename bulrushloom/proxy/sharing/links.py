"""Connections to the owners of connections to targets."""

import itertools
from collections.abc import Callable
from concurrent.futures import Future
from datetime import timedelta
from typing import NamedTuple

import msgspec

from bulrushloom.proxy.base import LeaseRefused, RefusalKind
from bulrushloom.proxy.clients.memory_budget import AccountKind, MemoryBudget
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.exchange.keys import ExchangeKeys
from bulrushloom.proxy.exchange.messages import Member
from bulrushloom.proxy.sharing.connections import LeaseLink, RemoteConnection
from bulrushloom.proxy.sharing.leases import LeaseOrder
from bulrushloom.proxy.sharing.ownership import SILENCE_LIMIT
from bulrushloom.proxy.sharing.protocol import (
    MAX_FRAME_BYTES,
    MAX_UNSENT_BYTES,
    PROTOCOL_VERSION,
    Answer,
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
    Refused,
    WireLoad,
    answer_decoder,
    decode_answer,
    delay_ms,
    encode_frame,
    handshake_decoder,
    handshake_tag,
    new_nonce,
    tag_matches,
)
from bulrushloom.runtime.loop import (
    Loop,
    Steps,
    set_exception_if_pending,
    set_result_if_pending,
)
from bulrushloom.runtime.streams import Network, Stream

_MILLISECOND = timedelta(milliseconds=1)


class OwnerUnavailable(Exception):
    """An owner does not grant leases at present; nothing was sent to a target."""


class _PendingLease(NamedTuple):
    connection: RemoteConnection
    order: LeaseOrder
    granted: "Future[RemoteConnection]"


class OwnerLink(LeaseLink):
    """Connection to one owner, over which any number of leases run.

    ``ready`` is done once the owner has proven itself, or fails with
    ``OwnerUnavailable``. ``on_load`` is called with the load of a target.
    """

    def __init__(
        self,
        loop: Loop,
        own_name: str,
        member: Member,
        keys: ExchangeKeys,
        on_load: Callable[[str, WireLoad], None],
        memory: MemoryBudget,
    ):
        self._loop = loop
        self._hello = Hello(
            PROTOCOL_VERSION, own_name, member.name, keys.signing_id, new_nonce()
        )
        self._keys = keys
        self._on_load = on_load
        self._frames = FrameReader()
        self._stream: Stream | None = None
        self._account = memory.open_account(AccountKind.TARGET)
        self._numbers = itertools.count(1)
        self._pending_by_number: dict[int, _PendingLease] = {}
        self._connection_by_number: dict[int, RemoteConnection] = {}
        self._unheard_since: timedelta | None = None
        self._heard_at = loop.now()
        self.is_silent = False
        self.member = member
        self.closed_reason = ""
        self.ready: Future[None] = Future()

    @property
    def is_usable(self) -> bool:
        """Return whether leases can be requested without waiting."""
        is_ready = self.ready.done() and self.ready.exception() is None
        return is_ready and not self.closed_reason and not self.is_silent

    @property
    def has_leases(self) -> bool:
        """Return whether connections are leased over this one."""
        return bool(self._connection_by_number)

    # Connection

    def connect(self, network: Network) -> Steps:
        """Connect and authenticate; afterwards ``ready`` is done."""
        deadline = self._loop.now() + SILENCE_LIMIT
        try:
            stream = yield network.connect(self.member.address, SILENCE_LIMIT)
            if self.closed_reason:
                stream.close(self.closed_reason)
                return
            self._stream = stream
            stream.limit_memory(self._account)
            stream.on_data(self._on_data)
            self.send(self._hello)
            yield self._loop.wait_for(self.ready, deadline - self._loop.now())
        except (OSError, TimeoutError, OwnerUnavailable) as error:
            self.close(str(error) or "no connection")

    @property
    def is_working(self) -> bool:
        """Return whether the owner has sent something recently.

        Owners send something every 50 ms while a statement takes long.
        """
        return self._loop.now() - self._heard_at < SILENCE_LIMIT

    def send(self, message: msgspec.Struct) -> None:
        """Send a short message."""
        if self._stream is not None:
            self._stream.write(encode_frame(message))

    def send_if_room(self, message: msgspec.Struct) -> bool:
        """Send a message unless too much is waiting; return whether it was sent."""
        stream = self._stream
        if stream is None:
            return False
        frame = encode_frame(message)
        if stream.unsent_bytes + len(frame) > MAX_UNSENT_BYTES:
            return False
        stream.write(frame)
        return True

    def close(self, reason: str) -> None:
        """Close the connection; statements without an answer are in doubt."""
        if self.closed_reason:
            return
        self.closed_reason = reason or "closed"
        if self._stream is not None:
            self._stream.close(reason)
        self._account.close()
        error = OwnerUnavailable(reason)
        set_exception_if_pending(self.ready, error)
        self._fail_pending(reason)
        connections, self._connection_by_number = self._connection_by_number, {}
        for connection in connections.values():
            connection.lose(f"the owner was lost: {reason}", True, is_at_owner=True)

    def _fail_pending(self, reason: str) -> None:
        pending, self._pending_by_number = self._pending_by_number, {}
        for lease in pending.values():
            set_exception_if_pending(lease.granted, OwnerUnavailable(reason))

    # Receiving

    def _on_data(self) -> None:
        stream = self._stream
        assert stream is not None
        try:
            self._frames.feed(stream.read_all())
            for frame in self._frames.frames():
                self._handle(frame)
                self._record_heard()
        except (PeerProtocolError, msgspec.DecodeError) as error:
            self.close(f"protocol error: {error}")
        self._account.set_held(self._frames.buffered_bytes)
        if stream.at_eof:
            self.close(stream.closed_reason or "closed by the owner")

    def _record_heard(self) -> None:
        self.is_silent = False
        self._heard_at = now = self._loop.now()
        self._unheard_since = now if self._pending_by_number else None

    def _handle(self, frame: bytes) -> None:
        if not self.ready.done():
            self._handle_challenge(frame)
            return
        message = answer_decoder.decode(frame)
        if isinstance(message, Answer):
            connection = self._connection_by_number.get(message.lease)
            if connection is not None:
                connection.deliver(decode_answer(message))
        elif isinstance(message, Grant):
            self._handle_grant(message)
        elif isinstance(message, Refused):
            self._handle_refusal(message)
        elif isinstance(message, Loads):
            for target_id, load in message.load_by_target.items():
                self._on_load(target_id, load)
        elif isinstance(message, Lost):
            connection = self._connection_by_number.pop(message.lease, None)
            if connection is not None:
                connection.lose(message.reason, message.was_sent)

    def _handle_challenge(self, frame: bytes) -> None:
        message = handshake_decoder.decode(frame)
        if not isinstance(message, Challenge) or message.version != PROTOCOL_VERSION:
            raise PeerProtocolError("unexpected message in the handshake")
        expected = handshake_tag(self._keys, b"owner", self._hello, message.nonce)
        if not tag_matches(expected, message.tag):
            raise PeerProtocolError("the owner does not have the exchange key")
        own_tag = handshake_tag(self._keys, b"peer", self._hello, message.nonce)
        assert isinstance(own_tag, bytes)
        self.send(Proof(own_tag))
        self._frames.max_bytes = MAX_FRAME_BYTES
        set_result_if_pending(self.ready, None)

    def _handle_grant(self, message: Grant) -> None:
        pending = self._pending_by_number.pop(message.lease, None)
        if pending is None:
            # The owner takes the connection back when it reads the cancellation.
            return
        values = message.values
        connection = pending.connection
        connection.set_state(
            dict(pending.order.values) if values is None else values, message.prepared
        )
        self._connection_by_number[message.lease] = connection
        self._on_load(pending.order.target_id, message.load)
        set_result_if_pending(pending.granted, connection)

    def _handle_refusal(self, message: Refused) -> None:
        pending = self._pending_by_number.pop(message.lease, None)
        if pending is None:
            return
        self._on_load(pending.order.target_id, message.load)
        try:
            kind = RefusalKind(message.kind)
        except ValueError:
            kind = RefusalKind.OVERLOADED
        retry_after = _MILLISECOND * message.retry_after_ms
        set_exception_if_pending(
            pending.granted, LeaseRefused(kind, message.reason, retry_after)
        )

    # Leases

    def lease(self, target: Target, order: LeaseOrder, wait: timedelta) -> Steps:
        """Request a lease; return a ``RemoteConnection``.

        Raise ``LeaseRefused``, ``OwnerUnavailable`` or, after ``wait``,
        ``TimeoutError``.
        """
        if self.closed_reason:
            raise OwnerUnavailable(self.closed_reason)
        now = self._loop.now()
        number = next(self._numbers)
        connection = RemoteConnection(number, target, order.account, self)
        pending = _PendingLease(connection, order, Future())
        self._pending_by_number[number] = pending
        if self._unheard_since is None:
            self._unheard_since = now
        self.send(
            LeaseRequest(
                number,
                order.target_id,
                order.account,
                dict(order.values),
                order.priority,
                delay_ms(order.start_deadline - now),
                delay_ms(order.in_time_until - now),
            )
        )
        try:
            return (yield self._loop.wait_for(pending.granted, wait))
        except TimeoutError:
            if self._pending_by_number.pop(number, None) is not None:
                self.send(Close(number, "the request has timed out"))
            elif pending.granted.exception() is None:
                connection.close("granted too late")
            raise

    def forget(self, number: int) -> None:
        """Drop a lease that has ended."""
        self._connection_by_number.pop(number, None)

    def probe(self) -> None:
        """Ask for a sign that the owner runs."""
        self.send(Close(0, "probe"))

    def check_silence(self, now: timedelta) -> bool:
        """Return whether the owner has just become silent; fail waiting requests.

        Statements that were sent wait for their answers until they time out.
        """
        since = self._unheard_since
        if since is None or self.is_silent or now - since < SILENCE_LIMIT:
            return False
        self.is_silent = True
        for number in self._pending_by_number:
            # An owner that was frozen handles the requests later.
            self.send(Close(number, "no answer"))
        self._fail_pending("the owner does not answer")
        return True
