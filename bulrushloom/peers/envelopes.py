"""Signed envelope of a peer batch, and the checks of its receiver."""

import re
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
ENVELOPE_HEADER = "X-Peer-Envelope"
SIGNATURE_HEADER = "X-Peer-Signature"
# One header for all fields: parsing and signing them separately made up a third of
# the receiver's cost of a small batch.
_ENVELOPE = re.compile(
    rb"([\x21-\x7e]{1,128}) ([\x21-\x7e]{1,128}) ([\x21-\x7e]{1,128}) "
    rb"([\x21-\x7e]{1,128}) ([0-9]{1,18}) ([0-9]{1,18})"
)
_SIGNATURE = re.compile(rb"[0-9a-f]{64}")


class Envelope(NamedTuple):
    """Identify a batch; ``sent_ms`` is calendar time since 1970 in milliseconds."""

    sender: str
    domain: str
    incarnation: str
    recipient: str
    sequence: int
    sent_ms: int

    def text(self) -> str:
        """Return the fields as the value of one header."""
        return " ".join(map(str, self))

    def signature(self, secret: str, body: bytes) -> str:
        """Return the signature over the fields and ``body``."""
        return body_signature(secret, self.text().encode(), body)


def calendar_milliseconds(clock: Clock) -> int:
    """Return the calendar time in milliseconds since 1970."""
    return milliseconds(clock.utcnow() - _EPOCH)


def to_headers(envelope: Envelope, signature: str) -> str:
    """Return the HTTP header lines of a signed batch."""
    return (
        f"{ENVELOPE_HEADER}: {envelope.text()}\r\n{SIGNATURE_HEADER}: {signature}\r\n"
    )


def from_headers(headers: Mapping[bytes, bytes]) -> tuple[Envelope, str] | Missing:
    """Return the envelope and signature of a request, or what is malformed.

    Names without spaces make the text of an envelope unambiguous.
    """
    match = _ENVELOPE.fullmatch(headers.get(ENVELOPE_HEADER.encode(), b""))
    if match is None:
        return Missing(f"header {ENVELOPE_HEADER} is missing or malformed")
    signature = headers.get(SIGNATURE_HEADER.encode(), b"")
    if not _SIGNATURE.fullmatch(signature):
        return Missing(f"header {SIGNATURE_HEADER} is missing or malformed")
    sender, domain, incarnation, recipient, sequence, sent_ms = match.groups()
    envelope = Envelope(
        sender.decode(),
        domain.decode(),
        incarnation.decode(),
        recipient.decode(),
        int(sequence),
        int(sent_ms),
    )
    return envelope, signature.decode()


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
