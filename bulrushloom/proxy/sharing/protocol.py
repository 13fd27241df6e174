"""Messages between an owner of connections and the instances that lease them; no I/O.

Each message is a frame: four bytes with the length, then MessagePack. A connection
starts with a handshake that proves to both sides that the other has an exchange key.
"""

import hashlib
import hmac
import os
from collections.abc import Iterator
from datetime import timedelta
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.exchange.keys import ExchangeKeys
from bulrushloom.proxy.messages import (
    NO_POSITION,
    AnswerCode,
    Failure,
    LogPosition,
    ServerAnswer,
    TransactionState,
)

PROTOCOL_VERSION = 1
LENGTH_BYTES = 4
# A statement has at most 1 MiB, and an answer at most what a client stream buffers.
MAX_FRAME_BYTES = 2 * 1024 * 1024 - 64 * 1024
# A message that would make a connection buffer more than this is not sent, because the
# stream would be closed with all leases on it.
MAX_UNSENT_BYTES = MAX_FRAME_BYTES
# Frames of a peer that has not authenticated itself are small.
MAX_HANDSHAKE_BYTES = 1024
NONCE_BYTES = 16
TAG_BYTES = 32
MAX_NAME_LENGTH = 200
MAX_DELAY_MS = 600_000

Name = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
Reason = Annotated[str, Meta(max_length=4_000)]
LeaseId = Annotated[int, Meta(ge=0, le=2**53)]
Count = Annotated[int, Meta(ge=0, le=2**53)]
Delay = Annotated[int, Meta(ge=0, le=MAX_DELAY_MS)]
Nonce = Annotated[bytes, Meta(min_length=NONCE_BYTES, max_length=NONCE_BYTES)]
Tag = Annotated[bytes, Meta(min_length=TAG_BYTES, max_length=TAG_BYTES)]
Values = Annotated[dict[bytes, bytes], Meta(max_length=10_000)]
MAX_REASON_LENGTH = 4_000
_MILLISECOND = timedelta(milliseconds=1)


class WireLoad(NamedTuple):
    """Encoded ``TargetLoad``; the limit is rounded."""

    running: Count
    waiting: Count
    limit: Count


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """First message of the instance that connects."""

    version: Count
    name: Name
    owner: Name
    key_id: Name
    nonce: Nonce


class Challenge(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Answer of the owner, with the proof that it has the key."""

    version: Count
    nonce: Nonce
    tag: Tag


class Proof(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Proof that the instance that connects has the key."""

    tag: Tag


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Request for a connection; ``time_left_ms`` is when it is useless.

    ``values`` are the session values that the statement needs.
    """

    lease: LeaseId
    target: Name
    account: Name
    values: Values
    priority: Annotated[int, Meta(ge=-(2**31), le=2**31)]
    time_left_ms: Delay
    in_time_for_ms: Delay


class ConnectionState(msgspec.Struct, array_like=True, frozen=True):
    """Session values and prepared statements, each ``None`` if it has not changed."""

    values: Values | None = None
    prepared: list[bytes] | None = None


class Query(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Statement to send on a leased connection.

    With ``release``, the lease ends with the answer, which saves a message.
    """

    lease: LeaseId
    request_id: bytes
    text: bytes
    after: tuple[Count, Count] | None = None
    release: ConnectionState | None = None


class Release(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """End of a lease whose connection can be reused."""

    lease: LeaseId
    state: ConnectionState


class Close(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """End of a lease, or of a request for one.

    The owner closes the connection unless nothing was sent on it.
    """

    lease: LeaseId
    reason: Reason


class Grant(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Lease of a connection; ``values`` is ``None`` if it has those asked for."""

    lease: LeaseId
    values: Values | None
    prepared: list[bytes]
    load: WireLoad


class Refused(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """Refusal of a lease; ``kind`` is the value of a ``RefusalKind``."""

    lease: LeaseId
    kind: Annotated[int, Meta(ge=0, le=100)]
    reason: Reason
    retry_after_ms: Delay
    load: WireLoad


class Answer(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """Answer to the oldest unanswered query of a lease."""

    lease: LeaseId
    rows: list[bytes]
    signature: bytes
    code: AnswerCode | None
    reason: Reason
    state: TransactionState
    position: tuple[Count, Count] | None
    retry_after_ms: Delay | None = None


class Lost(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """Loss of a leased connection.

    With ``was_sent``, statements without an answer may have run.
    """

    lease: LeaseId
    reason: Reason
    was_sent: bool


class Pulse(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """Sign that the owner runs, sent while requests wait."""


class Loads(msgspec.Struct, array_like=True, frozen=True, tag=13):
    """Loads of the targets that the owner has requests for."""

    load_by_target: Annotated[dict[Name, WireLoad], Meta(max_length=10_000)]


HandshakeMessage = Hello | Challenge | Proof
RequestMessage = LeaseRequest | Query | Release | Close
AnswerMessage = Grant | Refused | Answer | Lost | Pulse | Loads

_encoder = msgspec.msgpack.Encoder()
handshake_decoder = msgspec.msgpack.Decoder(HandshakeMessage)
request_decoder = msgspec.msgpack.Decoder(RequestMessage)
answer_decoder = msgspec.msgpack.Decoder(AnswerMessage)


class PeerProtocolError(Exception):
    """A peer sent an invalid, too large or unexpected message."""


def encode_frame(message: msgspec.Struct) -> bytes:
    """Return the frame of a message."""
    body = _encoder.encode(message)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class FrameReader:
    """Splits received bytes into frames of at most ``max_bytes``."""

    def __init__(self) -> None:
        self.max_bytes = MAX_HANDSHAKE_BYTES
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """Return the size of what was received of an incomplete frame."""
        return len(self._buffer)

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def frames(self) -> Iterator[bytes]:
        """Yield the complete frames; raise ``PeerProtocolError`` for a large one."""
        while len(self._buffer) >= LENGTH_BYTES:
            length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            if length > self.max_bytes:
                raise PeerProtocolError(f"a frame of {length} bytes")
            end = LENGTH_BYTES + length
            if len(self._buffer) < end:
                return
            frame = bytes(self._buffer[LENGTH_BYTES:end])
            del self._buffer[:end]
            yield frame


def new_nonce() -> bytes:
    """Return a random nonce."""
    return os.urandom(NONCE_BYTES)


def handshake_tag(
    keys: ExchangeKeys, role: bytes, hello: Hello, owner_nonce: bytes
) -> bytes | Missing:
    """Return the proof of one side; ``role`` differs for the two sides.

    It covers both names and both nonces, so it cannot be replayed or reflected.
    """
    secret = keys.secret_by_id.get(hello.key_id)
    if secret is None:
        return Missing("the exchange key is unknown")
    covered = _encoder.encode((role, hello, owner_nonce))
    return hmac.new(secret, covered, hashlib.sha256).digest()


def tag_matches(expected: bytes | Missing, received: bytes) -> bool:
    """Return whether a received proof is the expected one."""
    return not isinstance(expected, Missing) and hmac.compare_digest(expected, received)


def delay_ms(delay: timedelta) -> int:
    """Return a delay as a number of milliseconds within the bounds of messages."""
    return min(max(delay // _MILLISECOND, 0), MAX_DELAY_MS)


def encode_answer(lease: int, answer: ServerAnswer) -> bytes:
    """Return the frame with the answer of a target."""
    failure, position = answer.failure, answer.position
    return encode_frame(
        Answer(
            lease,
            list(answer.rows),
            answer.signature,
            failure.code if failure else None,
            failure.reason[:MAX_REASON_LENGTH] if failure else "",
            answer.state,
            position if isinstance(position, LogPosition) else None,
            delay_ms(failure.retry_after) if failure and failure.retry_after else None,
        )
    )


def decode_answer(message: Answer) -> ServerAnswer:
    """Return the answer of a target in a message."""
    failure = None
    if message.code is not None:
        delay = message.retry_after_ms
        retry_after = _MILLISECOND * delay if delay is not None else None
        failure = Failure(message.code, message.reason, retry_after)
    position = LogPosition(*message.position) if message.position else NO_POSITION
    return ServerAnswer(
        tuple(message.rows), message.signature, failure, message.state, position
    )
