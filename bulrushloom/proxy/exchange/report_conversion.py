"""Conversion of reports to and from their form on the wire.

Times are sent as ages, because the clocks of instances differ.
"""

from collections.abc import Mapping
from datetime import timedelta

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.exchange.messages import (
    DirectoryVersion,
    LeaderSighting,
    Member,
    Report,
    ReportKind,
    StoreView,
)
from bulrushloom.proxy.exchange.report_wire import (
    FLAG_LEADER,
    FLAG_LEFT,
    FLAG_RELAY,
    FLAG_URGENT,
    SETTLED,
    WIRE_VERSION,
    WireEcho,
    WireMember,
    WireNamedAge,
    WirePosition,
    WireReport,
    WireView,
)
from bulrushloom.proxy.exchange.usage_codec import (
    AccountLists,
    ReceivedUsage,
    WireGroupUsage,
    age_ms,
    from_indexed,
    to_group_usage,
    to_wire_total,
    to_wire_usage,
)
from bulrushloom.proxy.messages import LogPosition
from bulrushloom.proxy.positions import PositionSample
from bulrushloom.proxy.store_eras import Knowledge

# Timestamps of instances without a datagram for this long are dropped, and an echo that
# is older proves nothing.
TIMESTAMP_LIFETIME = timedelta(seconds=5)
_MILLISECOND = timedelta(milliseconds=1)
# Stamps have a finer unit than ages: they must not run ahead of the clock when several
# reports are sent in one millisecond.
MICROSECOND = timedelta(microseconds=1)


def to_report(
    wire: WireReport, receiver: Member, accounts: AccountLists, now: timedelta
) -> Report:
    """Return the report that ``receiver`` received at ``now``.

    Without a recent echo, only what can do no harm is taken from it.
    """
    member = Member(*wire.member)
    groups = dict(wire.groups)
    kind = ReportKind(wire.kind)
    echo = wire.echo.get(receiver.incarnation)
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
        is_domain_relay=bool(wire.flags & FLAG_RELAY),
        is_leader=bool(wire.flags & FLAG_LEADER),
        has_left=bool(wire.flags & FLAG_LEFT),
        is_urgent=bool(wire.flags & FLAG_URGENT),
        subtree=to_group_usage(wire.subtree, now) if wire.subtree else None,
        own_usage=ReceivedUsage(wire.own),
        usage_by_domain={
            domain: to_group_usage(usage, now)
            for domain, usage in _totals(wire, accounts).items()
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


def _totals(
    wire: WireReport, account_lists: AccountLists
) -> Mapping[str, WireGroupUsage]:
    """Return the totals of a report by domain.

    Totals by an unknown list of accounts are left out, like those of a lost report.
    """
    accounts = account_lists.find(wire.accounts)
    if not wire.indexed or isinstance(accounts, Missing):
        return wire.domains
    totals = dict(wire.domains)
    for domain, usage in wire.indexed.items():
        total = from_indexed(usage, accounts)
        if not isinstance(total, Missing):
            totals[domain] = total
    return totals


def _earliest_sent_at(echo: WireEcho | None, now: timedelta) -> timedelta | None:
    """Return a lower bound of the time at which a report was sent.

    There is none without an echo of a timestamp that this process sent recently.
    """
    if echo is None:
        return None
    sent_at = (echo.stamp + echo.delay_us) * MICROSECOND
    if sent_at > now or now - sent_at > TIMESTAMP_LIFETIME:
        return None
    return sent_at


def _to_view(wire: WireView, sent_at: timedelta) -> StoreView:
    return StoreView(
        sent_at - wire.age_ms * _MILLISECOND,
        wire.configuration_version,
        wire.era,
        Knowledge(min(wire.state % SETTLED, max(Knowledge))),
        wire.state >= SETTLED,
    )


def _to_wire_view(view: StoreView, now: timedelta) -> WireView:
    return WireView(
        age_ms(now, view.last_read_at),
        view.configuration_version,
        view.era,
        view.knowledge + SETTLED * view.is_settled,
    )


def to_wire(report: Report, echo: dict[str, WireEcho], now: timedelta) -> WireReport:
    """Return the wire form of a report that is sent at ``now``."""
    flags = FLAG_RELAY if report.is_domain_relay else 0
    flags |= FLAG_LEADER if report.is_leader else 0
    flags |= FLAG_LEFT if report.has_left else 0
    flags |= FLAG_URGENT if report.is_urgent else 0
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
