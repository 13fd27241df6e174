"""Encoding of reports: typed, bounded and authenticated; no I/O.

State that was read from the store or from a primary may be relied on only up to a
certain age. Each datagram therefore echoes the last timestamp that its sender received
from the receiver. From this echo and its own clock, the receiver derives an upper bound
on the age of the content, however long the datagram was in flight. A datagram without
such an echo may be a replayed one, and nothing is taken from it that could do harm.

One datagram carries the echoes of all its receivers, so it is encoded only once.
"""

import zlib
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

import msgspec

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.exchange.keys import ExchangeKeys
from bulrushloom.proxy.exchange.messages import Member, Report
from bulrushloom.proxy.exchange.report_conversion import (
    MICROSECOND,
    TIMESTAMP_LIFETIME,
    to_report,
    to_wire,
)
from bulrushloom.proxy.exchange.report_wire import WireEcho, WireReport
from bulrushloom.proxy.exchange.usage_codec import AccountLists, to_indexed
from bulrushloom.runtime.streams import split_address

MAX_DATAGRAM_BYTES = 60_000
# First byte of a body that zlib compressed; the others start with an array of msgpack.
_COMPRESSED = b"\x78"

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(WireReport)


class _ReceivedStamp(NamedTuple):
    stamp: int
    received_at: timedelta


class ReportCodec:
    """Codec of one instance, with the timestamps that it received; no I/O.

    ``keys`` is ``None`` until they were read from the store; nothing can be encoded or
    decoded before.
    """

    def __init__(self, member: Member):
        self._member = member
        self._received_by_incarnation: dict[str, _ReceivedStamp] = {}
        self._accounts_by_incarnation: dict[str, int] = {}
        self._last_stamp = 0
        self.keys: ExchangeKeys | None = None
        self.accounts = AccountLists()

    def next_stamp(self, now: timedelta) -> int:
        """Return a new number for a report, the time in microseconds or more."""
        self._last_stamp = max(self._last_stamp + 1, now // MICROSECOND)
        return self._last_stamp

    def encode(
        self,
        report: Report,
        receivers: Iterable[Member],
        included_by_incarnation: Mapping[str, int],
        now: timedelta,
        is_compact: bool = False,
    ) -> bytes | Missing:
        """Return the datagram for ``receivers``, which is the same for all of them.

        ``is_compact`` makes it smaller, for receivers outside the domain, whose traffic
        is billed. If all of them know the same accounts, the totals lack the names.
        """
        if self.keys is None:
            return Missing("the keys of the exchange are not known yet")
        echo = {}
        for receiver in receivers:
            received = self._received_by_incarnation.get(receiver.incarnation)
            if received is not None:
                echo[receiver.incarnation] = WireEcho(
                    received.stamp,
                    (now - received.received_at) // MICROSECOND,
                    included_by_incarnation.get(receiver.incarnation, 0),
                )
        wire = to_wire(report, echo, now)
        wire = msgspec.structs.replace(wire, accounts=self.accounts.latest.digest)
        if is_compact and self._know_accounts(receivers):
            accounts = self.accounts.latest
            indexed = {d: to_indexed(t, accounts) for d, t in wire.domains.items()}
            wire = msgspec.structs.replace(wire, domains={}, indexed=indexed)
        body = _encoder.encode(wire)
        if is_compact:
            body = min(body, zlib.compress(body), key=len)
        if len(body) > MAX_DATAGRAM_BYTES:
            return Missing(f"a report of {len(body)} bytes does not fit a datagram")
        return self.keys.sign(body)

    def _know_accounts(self, receivers: Iterable[Member]) -> bool:
        """Return whether the last report of each receiver names the same accounts."""
        digest = self.accounts.latest.digest
        return bool(digest) and all(
            self._accounts_by_incarnation.get(receiver.incarnation) == digest
            for receiver in receivers
        )

    def decode(self, data: bytes, now: timedelta) -> Report | Missing:
        """Return the report in a datagram, or why it is rejected."""
        if self.keys is None:
            return Missing("the keys of the exchange are not known yet")
        body = self.keys.verify(data)
        if isinstance(body, Missing):
            return body
        try:
            wire = _decoder.decode(_decompress(body))
            member = Member(*wire.member)
            split_address(member.address)
            split_address(member.document_address)
        except (ValueError, zlib.error) as error:
            return Missing(f"malformed: {error}")
        if member.name == self._member.name:
            return Missing("sent under this instance's own name")
        last = self._received_by_incarnation.get(member.incarnation)
        if last is not None and wire.stamp <= last.stamp:
            return Missing("repeated or overtaken by a later one")
        self._received_by_incarnation[member.incarnation] = _ReceivedStamp(
            wire.stamp, now
        )
        self._accounts_by_incarnation[member.incarnation] = wire.accounts
        return to_report(wire, self._member, self.accounts, now)

    def drop_expired(self, now: timedelta) -> None:
        """Drop the timestamps of instances that no longer send datagrams."""
        horizon = now - TIMESTAMP_LIFETIME
        self._received_by_incarnation = {
            incarnation: received
            for incarnation, received in self._received_by_incarnation.items()
            if received.received_at > horizon
        }
        self._accounts_by_incarnation = {
            incarnation: digest
            for incarnation, digest in self._accounts_by_incarnation.items()
            if incarnation in self._received_by_incarnation
        }


def _decompress(body: bytes) -> bytes:
    """Return the encoded report; raise ``ValueError`` if it is too large."""
    if not body.startswith(_COMPRESSED):
        return body
    decompressor = zlib.decompressobj()
    encoded = decompressor.decompress(body, MAX_DATAGRAM_BYTES)
    if not decompressor.eof:
        raise ValueError("truncated, or larger than a datagram")
    return encoded
