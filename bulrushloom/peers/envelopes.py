"""Signed envelope of a peer batch, and its verification by the receiver."""

import re
import threading
from collections import OrderedDict
from collections.abc import Mapping
from datetime import UTC, datetime, timedelta
from typing import NamedTuple

from bulrushloom.core.clock import Clock, milliseconds
from bulrushloom.core.sentinels import Missing
from bulrushloom.core.signing import constant_time_equal, hmac_signature

MESSAGES_PATH = "/peer/v1/messages"
MAX_BATCH_AGE = timedelta(seconds=30)
# Number of the latest sequence numbers of a sender that are remembered. A sender has
# one batch to a peer in flight at a time, so this only has to cover requests that were
# delayed by a lost connection.
REPLAY_WINDOW_BATCHES = 256
# Each incarnation of a sender has a window of its own, and the least recently used one
# is evicted. This is enough for 730 nodes that restart daily.
MAX_REPLAY_WINDOWS = 4096
_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
ENVELOPE_HEADER = "X-Peer-Envelope"
SIGNATURE_HEADER = "X-Peer-Signature"
# One header contains all fields, because parsing and signing separate headers took a
# third of the CPU time that the receiver needs for a small batch.
_ENVELOPE = re.compile(
    rb"([\x21-\x7e]{1,128}) ([\x21-\x7e]{1,128}) ([\x21-\x7e]{1,128}) "
    rb"([\x21-\x7e]{1,128}) ([\x21-\x7e]{1,128}) ([0-9]{1,18}) ([0-9]{1,18})"
)
_SIGNATURE = re.compile(rb"[0-9a-f]{64}")


class Envelope(NamedTuple):
    """Origin, recipient and number of a batch.

    ``sent_ms`` is the calendar time of sending, in milliseconds since 1970.

    ``address`` is the peer address of the sender. Replies need it, because the
    recipient's list of instances may not contain a newly started sender yet.
    """

    sender: str
    domain: str
    incarnation: str
    address: str
    recipient: str
    sequence: int
    sent_ms: int

    def header_value(self) -> str:
        """Return the value of the envelope header."""
        return " ".join(map(str, self))

    def signature(self, secret: str, body: bytes) -> str:
        """Return the signature of the fields and ``body``."""
        return hmac_signature(secret, self.header_value().encode(), body)


def calendar_milliseconds(clock: Clock) -> int:
    """Return the calendar time in milliseconds since 1970."""
    return milliseconds(clock.utcnow() - _EPOCH)


def to_headers(envelope: Envelope, signature: str) -> str:
    """Return the HTTP header lines of a signed batch."""
    return (
        f"{ENVELOPE_HEADER}: {envelope.header_value()}\r\n"
        f"{SIGNATURE_HEADER}: {signature}\r\n"
    )


def from_headers(headers: Mapping[bytes, bytes]) -> tuple[Envelope, str] | Missing:
    """Return the envelope and signature of a request, or which header is invalid.

    Parsing is unambiguous, because the fields contain no spaces.
    """
    match = _ENVELOPE.fullmatch(headers.get(ENVELOPE_HEADER.encode(), b""))
    if match is None:
        return Missing(f"header {ENVELOPE_HEADER} is missing or malformed")
    signature = headers.get(SIGNATURE_HEADER.encode(), b"")
    if not _SIGNATURE.fullmatch(signature):
        return Missing(f"header {SIGNATURE_HEADER} is missing or malformed")
    sender, domain, incarnation, address, recipient, sequence, sent_ms = match.groups()
    envelope = Envelope(
        sender.decode(),
        domain.decode(),
        incarnation.decode(),
        address.decode(),
        recipient.decode(),
        int(sequence),
        int(sent_ms),
    )
    return envelope, signature.decode()


class _ReplayWindow:
    __slots__ = ("highest_sequence", "seen_bits")

    def __init__(self) -> None:
        self.highest_sequence = 0
        self.seen_bits = 0

    def accept(self, sequence: int) -> bool:
        """Record ``sequence``; return false if it is repeated or below the window."""
        if sequence > self.highest_sequence:
            shift = min(sequence - self.highest_sequence, REPLAY_WINDOW_BATCHES)
            self.seen_bits = (self.seen_bits << shift | 1) & (
                (1 << REPLAY_WINDOW_BATCHES) - 1
            )
            self.highest_sequence = sequence
            return True
        offset = self.highest_sequence - sequence
        if offset >= REPLAY_WINDOW_BATCHES or self.seen_bits >> offset & 1:
            return False
        self.seen_bits |= 1 << offset
        return True


class EnvelopeChecker:
    """Verification of the envelopes of received batches; thread-safe."""

    def __init__(self, name: str, secret: str, clock: Clock):
        self._name = name
        self._secret = secret
        self._clock = clock
        self._lock = threading.Lock()
        self._window_by_incarnation: OrderedDict[tuple[str, str], _ReplayWindow] = (
            OrderedDict()
        )

    def check(self, envelope: Envelope, signature: str, body: bytes) -> str:
        """Return why the batch is refused, or an empty string if it is accepted.

        Only a batch with a valid signature changes the replay window.
        """
        if not constant_time_equal(envelope.signature(self._secret, body), signature):
            return "wrong signature"
        if envelope.recipient != self._name:
            return "another recipient"
        age = calendar_milliseconds(self._clock) - envelope.sent_ms
        if abs(age) > milliseconds(MAX_BATCH_AGE):
            return "sent too long ago or in the future"
        with self._lock:
            if not self._replay_window(envelope).accept(envelope.sequence):
                return "repeated sequence number"
        return ""

    def _replay_window(self, envelope: Envelope) -> _ReplayWindow:
        key = (envelope.sender, envelope.incarnation)
        window = self._window_by_incarnation.setdefault(key, _ReplayWindow())
        self._window_by_incarnation.move_to_end(key)
        if len(self._window_by_incarnation) > MAX_REPLAY_WINDOWS:
            self._window_by_incarnation.popitem(last=False)
        return window
