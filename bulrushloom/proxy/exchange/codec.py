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
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.exchange.keys import ExchangeKeys
from bulrushloom.proxy.exchange.messages import (
    DirectoryVersion,
    LeaderSighting,
    Member,
    Report,
    ReportKind,
    StoreView,
)
from bulrushloom.proxy.exchange.usage_codec import (
    AccountLists,
    Count,
    LargeMap,
    Milliseconds,
    Name,
    ReceivedUsage,
    WireGroupUsage,
    WireIndexedUsage,
    WireUsage,
    age_ms,
    from_indexed,
    to_group_usage,
    to_indexed,
    to_wire_total,
    to_wire_usage,
)
from bulrushloom.proxy.messages import LogPosition
from bulrushloom.proxy.positions import PositionSample
from bulrushloom.proxy.store_eras import Knowledge
from bulrushloom.runtime.streams import split_address

WIRE_VERSION = 2
MAX_DATAGRAM_BYTES = 60_000
# First byte of a body that zlib compressed; the others start with an array of msgpack.
_COMPRESSED = b"\x78"
# Timestamps of instances without a datagram for this long are dropped, and an echo that
# is older proves nothing.
TIMESTAMP_LIFETIME = timedelta(seconds=5)
_MILLISECOND = timedelta(milliseconds=1)
# Stamps have a finer unit than ages: they must not run ahead of the clock when several
# reports are sent in one millisecond.
_MICROSECOND = timedelta(microseconds=1)

_FLAG_RELAY = 1
_FLAG_LEADER = 2
_FLAG_LEFT = 4
_FLAG_URGENT = 8
_ALL_FLAGS = 15
# Added to the number of ``Knowledge`` in ``WireView.state``.
_SETTLED = 4

Microseconds = Annotated[int, Meta(ge=0, le=2**53)]
SmallMap = Meta(max_length=2_000)


class WireMember(NamedTuple):
    """Encoded ``Member``."""

    name: Name
    incarnation: Name
    address: Name
    domain: Name
    document_address: Name


class WireEcho(NamedTuple):
    """Echo for one receiver: its last timestamp, the time since, what is included."""

    stamp: Microseconds
    delay_us: Microseconds
    included_stamp: Microseconds


class WirePosition(NamedTuple):
    """Encoded ``PositionSample``."""

    term: Count
    offset: Count
    age_ms: Milliseconds


class WireView(NamedTuple):
    """Encoded ``StoreView``."""

    age_ms: Milliseconds
    configuration_version: Count
    era: Annotated[int, Meta(ge=0, le=2**20)]
    state: Annotated[int, Meta(ge=0, le=_SETTLED + int(max(Knowledge)))]


class WireNamedAge(NamedTuple):
    """A name with an age: the leader, or the version of a directory."""

    name: Name
    age_ms: Milliseconds


class WireReport(
    msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True
):
    """Encoded ``Report``; ``echo`` is keyed by the receiver's incarnation."""

    version: Annotated[int, Meta(ge=WIRE_VERSION, le=WIRE_VERSION)]
    kind: Annotated[int, Meta(ge=0, le=int(max(ReportKind)))]
    flags: Annotated[int, Meta(ge=0, le=_ALL_FLAGS)]
    member: WireMember
    stamp: Microseconds
    echo: Annotated[dict[Name, WireEcho], SmallMap]
    subtree: WireGroupUsage | None
    own: Annotated[dict[Name, WireUsage], LargeMap]
    domains: Annotated[dict[Name, WireGroupUsage], SmallMap]
    positions: Annotated[dict[Name, WirePosition], SmallMap]
    acknowledged: Annotated[dict[Name, tuple[Count, Count]], SmallMap]
    suspected: Annotated[list[Name], SmallMap]
    view: WireView | None
    directory: WireNamedAge | None
    followed: Annotated[dict[Name, Count], SmallMap]
    groups: Annotated[
        dict[Name, tuple[Count, Annotated[str, Meta(max_length=20_000)]]], SmallMap
    ]
    leader: WireNamedAge | None
    relays: Annotated[dict[Name, Name], SmallMap]
    accounts: Count = 0
    indexed: Annotated[dict[Name, WireIndexedUsage], SmallMap] = {}


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
        self._last_stamp = max(self._last_stamp + 1, now // _MICROSECOND)
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
                    (now - received.received_at) // _MICROSECOND,
                    included_by_incarnation.get(receiver.incarnation, 0),
                )
        wire = _to_wire(report, echo, now)
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
        return self._to_report(wire, member, now)

    def _to_report(self, wire: WireReport, member: Member, now: timedelta) -> Report:
        groups = dict(wire.groups)
        kind = ReportKind(wire.kind)
        echo = wire.echo.get(self._member.incarnation)
        sent_at = _earliest_sent_at(echo, now)
        if echo is None or sent_at is None:
            return Report(
                member,
                now,
                kind,
                proven=False,
                stamp=wire.stamp,
                group_by_service=groups,
            )
        leader = wire.leader
        return Report(
            member,
            now,
            kind,
            sent_at=sent_at,
            stamp=wire.stamp,
            included_stamp=echo.included_stamp,
            is_domain_relay=bool(wire.flags & _FLAG_RELAY),
            is_leader=bool(wire.flags & _FLAG_LEADER),
            has_left=bool(wire.flags & _FLAG_LEFT),
            is_urgent=bool(wire.flags & _FLAG_URGENT),
            subtree=to_group_usage(wire.subtree, now) if wire.subtree else None,
            own_usage=ReceivedUsage(wire.own),
            usage_by_domain={
                domain: to_group_usage(usage, now)
                for domain, usage in self._totals(wire).items()
            },
            position_by_service={
                service: PositionSample(
                    sent_at - position.age_ms * _MILLISECOND,
                    LogPosition(position.term, position.offset),
                )
                for service, position in wire.positions.items()
            },
            acknowledged_by_service={
                service: LogPosition(*position)
                for service, position in wire.acknowledged.items()
            },
            suspected=frozenset(wire.suspected),
            view=wire.view and _to_view(wire.view, sent_at),
            directory=wire.directory
            and DirectoryVersion(
                sent_at - wire.directory.age_ms * _MILLISECOND, wire.directory.name
            ),
            followed_version_by_service=wire.followed,
            group_by_service=groups,
            leader=leader
            and LeaderSighting(leader.name, now - leader.age_ms * _MILLISECOND),
            relay_by_domain=wire.relays,
        )

    def _totals(self, wire: WireReport) -> Mapping[str, WireGroupUsage]:
        """Return the totals of a report by domain.

        Totals by an unknown list of accounts are left out, like those of a lost report.
        """
        accounts = self.accounts.find(wire.accounts)
        if not wire.indexed or isinstance(accounts, Missing):
            return wire.domains
        totals = dict(wire.domains)
        for domain, usage in wire.indexed.items():
            total = from_indexed(usage, accounts)
            if not isinstance(total, Missing):
                totals[domain] = total
        return totals

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


def _earliest_sent_at(echo: WireEcho | None, now: timedelta) -> timedelta | None:
    """Return a lower bound of the time at which a report was sent.

    There is none without an echo of a timestamp that this process sent recently.
    """
    if echo is None:
        return None
    sent_at = (echo.stamp + echo.delay_us) * _MICROSECOND
    if sent_at > now or now - sent_at > TIMESTAMP_LIFETIME:
        return None
    return sent_at


def _to_view(wire: WireView, sent_at: timedelta) -> StoreView:
    return StoreView(
        sent_at - wire.age_ms * _MILLISECOND,
        wire.configuration_version,
        wire.era,
        Knowledge(min(wire.state % _SETTLED, max(Knowledge))),
        wire.state >= _SETTLED,
    )


def _to_wire_view(view: StoreView, now: timedelta) -> WireView:
    return WireView(
        age_ms(now, view.last_read_at),
        view.configuration_version,
        view.era,
        view.knowledge + _SETTLED * view.is_settled,
    )


def _to_wire(report: Report, echo: dict[str, WireEcho], now: timedelta) -> WireReport:
    flags = _FLAG_RELAY if report.is_domain_relay else 0
    flags |= _FLAG_LEADER if report.is_leader else 0
    flags |= _FLAG_LEFT if report.has_left else 0
    flags |= _FLAG_URGENT if report.is_urgent else 0
    view, directory, leader = report.view, report.directory, report.leader
    return WireReport(
        version=WIRE_VERSION,
        kind=int(report.kind),
        flags=flags,
        member=WireMember(*report.member),
        stamp=report.stamp,
        echo=echo,
        subtree=report.subtree and to_wire_total(report.subtree, now),
        own=to_wire_usage(report.own_usage),
        domains={
            domain: to_wire_total(usage, now)
            for domain, usage in report.usage_by_domain.items()
        },
        positions={
            service: WirePosition(*sample.position, age_ms(now, sample.taken_at))
            for service, sample in report.position_by_service.items()
        },
        acknowledged={
            service: (position.term, position.offset)
            for service, position in report.acknowledged_by_service.items()
        },
        suspected=list(report.suspected),
        view=view and _to_wire_view(view, now),
        directory=directory
        and WireNamedAge(directory.version, age_ms(now, directory.listed_at)),
        followed=dict(report.followed_version_by_service),
        groups=dict(report.group_by_service),
        leader=leader and WireNamedAge(leader.name, age_ms(now, leader.seen_at)),
        relays=dict(report.relay_by_domain),
    )
