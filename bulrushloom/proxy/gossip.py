"""Gossip datagrams between instances: reports, their encoding and the socket.

Within a domain, every instance sends its usage and its state to all others. Between
domains, one instance per domain, the domain relay, sends the domain's total to the
relays of the other domains.

State that was read from the store or from a primary may be relied on only up to a
certain age. Each datagram therefore echoes the last timestamp that its sender received
from the receiver. From this echo and its own clock, the receiver derives an upper bound
on the age of the content, however long the datagram was in flight.
"""

import contextlib
import selectors
import socket
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import Any, NamedTuple

import orjson

from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.limits import Usage
from bulrushloom.proxy.messages import LogPosition
from bulrushloom.proxy.positions import PositionSample
from bulrushloom.runtime.loop import Loop
from bulrushloom.runtime.streams import split_address

MAX_DATAGRAM_BYTES = 60_000
# Timestamps of instances without a datagram for this long are dropped.
TIMESTAMP_LIFETIME = timedelta(seconds=5)
_MILLISECOND = timedelta(milliseconds=1)


class Member(NamedTuple):
    """A running instance; ``incarnation`` differs with each start.

    ``address`` receives datagrams, ``document_address`` serves the configuration.
    """

    name: str
    incarnation: str
    address: str
    domain: str
    document_address: str


class DomainUsage(NamedTuple):
    """Total usage of the reporting instances of one domain."""

    instance_count: int
    reported_at: timedelta
    usage_by_account: Mapping[str, Usage]


class StoreView(NamedTuple):
    """How recent the sender's knowledge of the store is.

    The sender knows every change of the configuration and of the group records that
    the store acknowledged before ``last_read_at``.
    """

    last_read_at: timedelta
    configuration_revision: int


class Directory(NamedTuple):
    """The targets and members that a store read listed.

    ``listed_at`` is the time just before that read was sent.
    """

    listed_at: timedelta
    target_by_id: Mapping[str, Target]
    member_by_name: Mapping[str, Member]


class Report(NamedTuple):
    """Content of a datagram; times are on the local clock of the process.

    ``view``, ``directory`` and ``position_by_service`` are empty if the sender has not
    received a datagram from the receiver yet, because their age is unknown then.
    ``usage_by_account`` is the sender's own usage, ``usage_by_domain`` the totals of
    the domains that it knows. ``followed_revision_by_service`` holds the revision of
    each group record that the sender acts on. ``group_by_service`` announces group
    records as pairs of revision and value. ``acknowledged_by_service`` holds the
    highest log positions of commits that were acknowledged to clients, ``suspected``
    the ids of targets that did not answer.
    """

    member: Member
    received_at: timedelta
    is_domain_relay: bool
    is_leader: bool
    usage_by_account: Mapping[str, Usage]
    usage_by_domain: Mapping[str, DomainUsage]
    position_by_service: Mapping[str, PositionSample]
    acknowledged_by_service: Mapping[str, LogPosition]
    suspected: frozenset[str]
    view: StoreView | None
    directory: Directory | None
    followed_revision_by_service: Mapping[str, int]
    group_by_service: Mapping[str, tuple[int, str]]


class TimestampEchoes:
    """Timestamp echoes that convert the ages in reports to the local clock; no I/O.

    Every report carries its sender's timestamp. It also echoes the last timestamp that
    the sender received from the receiver, with the receiver's incarnation and the time
    since its arrival. A restarted process, perhaps on a machine whose clock was reset,
    ignores echoes that are addressed to its previous incarnation.
    """

    def __init__(self, member: Member):
        self._member = member
        self._timestamp_by_peer: dict[tuple[str, str], tuple[int, timedelta]] = {}

    def add_echo(
        self, content: dict[str, Any], receiver: Member, now: timedelta
    ) -> None:
        """Add the timestamp echo for ``receiver`` to ``content``."""
        peer = (receiver.name, receiver.incarnation)
        last = self._timestamp_by_peer.get(peer)
        content["echo"] = None
        if last is not None:
            timestamp, received_at = last
            delay_ms = (now - received_at) // _MILLISECOND
            content["echo"] = [receiver.incarnation, timestamp, delay_ms]

    def decode(self, content: dict[str, Any], now: timedelta) -> Report:
        """Decode the report in ``content`` and keep its timestamp for the next echo."""
        report = decode_report(content, now, self._member.incarnation)
        peer = (report.member.name, report.member.incarnation)
        self._timestamp_by_peer[peer] = (int(content["stamp"]), now)
        return report

    def drop_expired(self, now: timedelta) -> None:
        """Drop the timestamps of instances that no longer send datagrams."""
        horizon = now - TIMESTAMP_LIFETIME
        self._timestamp_by_peer = {
            peer: timestamp
            for peer, timestamp in self._timestamp_by_peer.items()
            if timestamp[1] > horizon
        }


class GossipSocket:
    """Datagram socket for reports; ``on_report`` is called with each received one."""

    def __init__(
        self,
        loop: Loop,
        address: str,
        member: Member,
        on_report: Callable[[Report], None],
    ):
        self._loop = loop
        self._member = member
        self._on_report = on_report
        self._echoes = TimestampEchoes(member)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(split_address(address))
        self.sent_bytes = 0
        loop.watch(self._sock, selectors.EVENT_READ, self._on_event)

    def send(self, members: Iterable[Member], report: Report) -> None:
        """Send ``report`` to each of ``members``."""
        now = self._loop.now()
        content = encode_report(report, now)
        for member in members:
            self._echoes.add_echo(content, member, now)
            data = orjson.dumps(content)
            if len(data) > MAX_DATAGRAM_BYTES:
                # Without the directory, receivers read it from the store themselves.
                content.pop("directory", None)
                data = orjson.dumps(content)
            # A datagram that cannot be sent counts as lost; another one follows.
            with contextlib.suppress(OSError):
                self._sock.sendto(data, split_address(member.address))
                self.sent_bytes += len(data)

    def _on_event(self, _: int) -> None:
        while True:
            try:
                data = self._sock.recv(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError, ConnectionError):
                return
            try:
                content = orjson.loads(data)
                if content["from"][0] == self._member.name:
                    continue
                report = self._echoes.decode(content, self._loop.now())
            except (KeyError, TypeError, ValueError, AttributeError):
                # Any process can send datagrams here; malformed ones are ignored.
                continue
            self._on_report(report)

    def drop_expired(self) -> None:
        """Drop the timestamps of instances that no longer send datagrams."""
        self._echoes.drop_expired(self._loop.now())

    def close(self) -> None:
        """Close the socket."""
        self._loop.unwatch(self._sock)
        self._sock.close()


def _age_ms(now: timedelta, at: timedelta) -> int:
    """Return an age, rounded up: content must never seem newer than it is."""
    return (now - at) // _MILLISECOND + 1


def _encode_usage(usage_by_account: Mapping[str, Usage]) -> dict[str, Any]:
    return {
        account: [round(usage.admitted, 1), round(usage.demand_per_s, 2)]
        for account, usage in usage_by_account.items()
    }


def encode_report(report: Report, now: timedelta) -> dict[str, Any]:
    """Return the content of a datagram that is sent at ``now``, without an echo."""
    content: dict[str, Any] = {
        "from": list(report.member),
        "stamp": now // _MILLISECOND,
    }
    if report.is_domain_relay:
        content["speaker"] = 1
    if report.is_leader:
        content["leader"] = 1
    if report.usage_by_account:
        content["usage"] = _encode_usage(report.usage_by_account)
    if report.usage_by_domain:
        content["domains"] = {
            domain: [
                usage.instance_count,
                _age_ms(now, usage.reported_at),
                _encode_usage(usage.usage_by_account),
            ]
            for domain, usage in report.usage_by_domain.items()
        }
    if report.position_by_service:
        content["positions"] = {
            service: [*sample.position, _age_ms(now, sample.taken_at)]
            for service, sample in report.position_by_service.items()
        }
    if report.acknowledged_by_service:
        content["acked"] = {
            service: list(position)
            for service, position in report.acknowledged_by_service.items()
        }
    if report.suspected:
        content["suspected"] = list(report.suspected)
    if report.view is not None:
        content["view"] = [
            _age_ms(now, report.view.last_read_at),
            report.view.configuration_revision,
        ]
    if report.directory is not None:
        content["directory"] = [
            _age_ms(now, report.directory.listed_at),
            [_encode_target(t) for t in report.directory.target_by_id.values()],
            [list(member) for member in report.directory.member_by_name.values()],
        ]
    if report.followed_revision_by_service:
        content["followed"] = report.followed_revision_by_service
    if report.group_by_service:
        content["groups"] = report.group_by_service
    return content


def _encode_target(target: Target) -> list[Any]:
    cold_left_ms = target.cold_left // _MILLISECOND
    return list(target._replace(cold_left=cold_left_ms))  # type: ignore[arg-type]


def _decode_target(fields: list[Any]) -> Target:
    target = Target(*fields)
    cold_left = timedelta(milliseconds=target.cold_left)  # type: ignore[arg-type]
    return target._replace(cold_left=cold_left)


def _decode_usage(content: Mapping[str, Any]) -> dict[str, Usage]:
    return {account: Usage(*usage) for account, usage in content.items()}


def _earliest_sent_at(
    content: dict[str, Any], now: timedelta, incarnation: str
) -> timedelta | None:
    """Return a lower bound of the time at which a report was sent.

    There is none without an echo for this incarnation.
    """
    if content["echo"] is None:
        return None
    echoed_incarnation, timestamp, delay_ms = content["echo"]
    earliest_sent_at = (timestamp + delay_ms) * _MILLISECOND
    if echoed_incarnation != incarnation or earliest_sent_at > now:
        return None
    return earliest_sent_at


def decode_report(content: dict[str, Any], now: timedelta, incarnation: str) -> Report:
    """Return the report in ``content``.

    Without an echo, content that needs an age is left out. ``incarnation`` is the
    receiver's own.
    """
    positions = {}
    view = None
    directory = None
    earliest_sent_at = _earliest_sent_at(content, now, incarnation)
    if earliest_sent_at is not None:
        for service, (term, number, age_ms) in content.get("positions", {}).items():
            taken_at = earliest_sent_at - age_ms * _MILLISECOND
            positions[service] = PositionSample(taken_at, LogPosition(term, number))
        if "view" in content:
            age_ms, revision = content["view"]
            view = StoreView(earliest_sent_at - age_ms * _MILLISECOND, revision)
        if "directory" in content:
            age_ms, targets, members = content["directory"]
            directory = Directory(
                earliest_sent_at - age_ms * _MILLISECOND,
                {target[0]: _decode_target(target) for target in targets},
                {member[0]: Member(*member) for member in members},
            )
    return Report(
        member=Member(*content["from"]),
        received_at=now,
        is_domain_relay="speaker" in content,
        is_leader="leader" in content,
        usage_by_account=_decode_usage(content.get("usage", {})),
        usage_by_domain={
            domain: DomainUsage(
                instance_count, now - age_ms * _MILLISECOND, _decode_usage(usage)
            )
            for domain, (instance_count, age_ms, usage) in content.get(
                "domains", {}
            ).items()
        },
        position_by_service=positions,
        acknowledged_by_service={
            service: LogPosition(*position)
            for service, position in content.get("acked", {}).items()
        },
        suspected=frozenset(content.get("suspected", ())),
        view=view,
        directory=directory,
        followed_revision_by_service=content.get("followed", {}),
        group_by_service={
            service: (value[0], value[1])
            for service, value in content.get("groups", {}).items()
        },
    )
