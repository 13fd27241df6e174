"""Signed envelope of a peer batch, and the checks of its receiver."""

import threading
from collections import OrderedDict
from collections.abc import Mapping
from datetime import UTC, datetime, timedelta
from typing import NamedTuple

from bulrushloom.core.clock import Clock, milliseconds
from bulrushloom.core.sentinels import Missing
from bulrushloom.core.signing import body_signature, same_text

PATH = "/peer/v1/messages"
MAX_AGE = timedelta(seconds=30)
# Batches of one sender leave one after the other; the window only has to cover
# requests that a lost connection delayed.
REPLAY_WINDOW = 256
# Restarted peers leave old windows behind; 730 nodes with daily restarts fit.
MAX_WINDOWS = 4096
_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
_MAX_NAME = 128
_MAX_DIGITS = 18
_HEADER_BY_FIELD = {
    "sender": "X-Peer-Sender",
    "domain": "X-Peer-Domain",
    "incarnation": "X-Peer-Incarnation",
    "recipient": "X-Peer-Recipient",
    "sequence": "X-Peer-Sequence",
    "sent_ms": "X-Peer-Sent",
    "signature": "X-Peer-Signature",
}
_RAW_HEADER_BY_FIELD = {
    field: header.encode("ascii") for field, header in _HEADER_BY_FIELD.items()
}


class Envelope(NamedTuple):
    """Identify a batch; ``sent_ms`` is calendar time since 1970 in milliseconds."""

    sender: str
    domain: str
    incarnation: str
    recipient: str
    sequence: int
    sent_ms: int

    def signature(self, secret: str, body: bytes) -> str:
        """Return the signature over the fields and ``body``."""
        return body_signature(secret, *(str(field).encode() for field in self), body)


def calendar_milliseconds(clock: Clock) -> int:
    """Return the calendar time in milliseconds since 1970."""
    return milliseconds(clock.utcnow() - _EPOCH)


def to_headers(envelope: Envelope, signature: str) -> str:
    """Return the HTTP header lines of a signed batch."""
    values = (*envelope, signature)
    pairs = zip(_HEADER_BY_FIELD.values(), values, strict=True)
    return "".join([f"{header}: {value}\r\n" for header, value in pairs])


def from_headers(headers: Mapping[bytes, bytes]) -> tuple[Envelope, str] | Missing:
    """Return the envelope and signature of a request, or what is malformed."""
    text_by_field = {}
    for field, header in _RAW_HEADER_BY_FIELD.items():
        raw = headers.get(header, b"")
        if not raw or len(raw) > _MAX_NAME or not raw.isascii():
            return Missing(f"header {header.decode()} is missing or malformed")
        text_by_field[field] = raw.decode("ascii")
    numbers = []
    for field in ("sequence", "sent_ms"):
        text = text_by_field[field]
        if not text.isdigit() or len(text) > _MAX_DIGITS:
            return Missing(f"header {_HEADER_BY_FIELD[field]} is not a number")
        numbers.append(int(text))
    envelope = Envelope(
        text_by_field["sender"],
        text_by_field["domain"],
        text_by_field["incarnation"],
        text_by_field["recipient"],
        *numbers,
    )
    return envelope, text_by_field["signature"]


class _Window:
    __slots__ = ("highest", "seen")

    def __init__(self) -> None:
        self.highest = 0
        self.seen = 0

    def accept(self, sequence: int) -> bool:
        """Record ``sequence``; return false for a repeated or too old number."""
        if sequence > self.highest:
            shift = min(sequence - self.highest, REPLAY_WINDOW)
            self.seen = (self.seen << shift | 1) & ((1 << REPLAY_WINDOW) - 1)
            self.highest = sequence
            return True
        bit = self.highest - sequence
        if bit >= REPLAY_WINDOW or self.seen >> bit & 1:
            return False
        self.seen |= 1 << bit
        return True


class EnvelopeChecker:
    """Check the envelopes of received batches; callable from any thread."""

    def __init__(self, name: str, secret: str, clock: Clock):
        self._name = name
        self._secret = secret
        self._clock = clock
        self._lock = threading.Lock()
        self._window_by_incarnation: OrderedDict[tuple[str, str], _Window] = (
            OrderedDict()
        )

    def check(self, envelope: Envelope, signature: str, body: bytes) -> str:
        """Return why the batch is refused, or an empty text.

        Only a batch with a right signature changes the replay window.
        """
        if not same_text(envelope.signature(self._secret, body), signature):
            return "wrong signature"
        if envelope.recipient != self._name:
            return "another recipient"
        age = calendar_milliseconds(self._clock) - envelope.sent_ms
        if abs(age) > milliseconds(MAX_AGE):
            return "sent too long ago or in the future"
        with self._lock:
            if not self._window(envelope).accept(envelope.sequence):
                return "repeated sequence number"
        return ""

    def _window(self, envelope: Envelope) -> _Window:
        key = (envelope.sender, envelope.incarnation)
        window = self._window_by_incarnation.setdefault(key, _Window())
        self._window_by_incarnation.move_to_end(key)
        if len(self._window_by_incarnation) > MAX_WINDOWS:
            self._window_by_incarnation.popitem(last=False)
        return window
