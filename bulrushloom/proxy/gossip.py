"""Datagrams that the instances send each other.

Within a domain every instance tells every other one what it admitted and knows. Between
domains one instance of each domain, its relay, tells the others' relays the sum.

What an instance learned from the store or from a primary is only as good as its age.
A datagram therefore repeats the last time stamp that its sender got from the receiver:
the receiver knows from its own clock how old the content can be at most, however long
the datagram was on its way.
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
# Time stamps of instances that were not heard for this long are dropped.
STAMP_LIFETIME = timedelta(seconds=5)
_MILLISECOND = timedelta(milliseconds=1)


class Member(NamedTuple):
    """Name one running instance; ``incarnation`` differs with each start.

    ``address`` takes datagrams; ``document_address`` serves the configuration.
    """

    name: str
    incarnation: str
    address: str
    domain: str
    document_address: str


class DomainUsage(NamedTuple):
    """Sum up the usage of the instances of one domain that were heard."""

    instance_count: int
    at: timedelta
    usage_by_account: Mapping[str, Usage]


class StoreView(NamedTuple):
    """Tell up to when the sender knows the store.

    Every change of the configuration and of the group records that the store
    acknowledged before ``confirmed_at`` is known to the sender.
    """

    confirmed_at: timedelta
    configuration_revision: int


class Directory(NamedTuple):
    """Hold the targets and the members that a read of the store listed."""

    listed_at: timedelta
    target_by_id: Mapping[str, Target]
    member_by_name: Mapping[str, Member]


class Report(NamedTuple):
    """Hold the content of a datagram; times are on the clock of who holds it.

    ``view``, ``directory`` and ``position_by_service`` are empty in a report whose
    sender has not heard the receiver yet. ``usage_by_account`` is the sender's own
    usage, and ``usage_by_domain`` what it knows of domains. ``followed_by_service``
    gives the revision of the group records that the sender acts on, and
    ``group_by_service`` announces group records as revision and value.
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
    followed_by_service: Mapping[str, int]
    group_by_service: Mapping[str, tuple[int, str]]


class Echoes:
    """Date the reports of other instances on the own clock; no I/O.

    Every report carries its sender's time stamp, and repeats the last one that the
    sender got from the receiver, with the receiver's incarnation and the time since.
    A process that starts again, perhaps on a machine whose clock began anew, does not
    count what was repeated to its predecessor.
    """

    def __init__(self, member: Member):
        self._member = member
        self._stamp_by_peer: dict[tuple[str, str], tuple[int, timedelta]] = {}

    def address(
        self, content: dict[str, Any], receiver: Member, now: timedelta
    ) -> None:
        """Add to ``content`` what ``receiver`` needs to date it."""
        key = (receiver.name, receiver.incarnation)
        known = self._stamp_by_peer.get(key)
        content["echo"] = None
        if known is not None:
            stamp, heard_at = known
            held_ms = (now - heard_at) // _MILLISECOND
            content["echo"] = [receiver.incarnation, stamp, held_ms]

    def read(self, content: dict[str, Any], now: timedelta) -> Report:
        """Return the report in ``content`` and remember its time stamp."""
        report = decode_report(content, now, self._member.incarnation)
        key = (report.member.name, report.member.incarnation)
        self._stamp_by_peer[key] = (int(content["stamp"]), now)
        return report

    def forget_silent(self, now: timedelta) -> None:
        """Drop the time stamps of instances that are gone."""
        horizon = now - STAMP_LIFETIME
        self._stamp_by_peer = {
            key: stamp
            for key, stamp in self._stamp_by_peer.items()
            if stamp[1] > horizon
        }


class Gossip:
    """Own the datagram socket; ``on_report`` receives what the others say."""

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
        self._echoes = Echoes(member)
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
            self._echoes.address(content, member, now)
            data = orjson.dumps(content)
            if len(data) > MAX_DATAGRAM_BYTES:
                # The receivers read the store themselves then.
                content.pop("directory", None)
                data = orjson.dumps(content)
            # A datagram that cannot be sent is as good as lost; the next one follows.
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
                report = self._echoes.read(content, self._loop.now())
            except (KeyError, TypeError, ValueError, AttributeError):
                # Anybody can send a datagram here; one that is no report is ignored.
                continue
            self._on_report(report)

    def forget_silent(self) -> None:
        """Drop the time stamps of instances that are gone."""
        self._echoes.forget_silent(self._loop.now())

    def close(self) -> None:
        """Close the socket."""
        self._loop.unwatch(self._sock)
        self._sock.close()


def _age_ms(now: timedelta, at: timedelta) -> int:
    """Return an age, rounded up: nothing must seem younger than it is."""
    return (now - at) // _MILLISECOND + 1


def _encode_usage(usage_by_account: Mapping[str, Usage]) -> dict[str, Any]:
    return {
        account: [round(usage.admitted, 1), round(usage.demand_per_s, 2)]
        for account, usage in usage_by_account.items()
    }


def encode_report(report: Report, now: timedelta) -> dict[str, Any]:
    """Return the content of a datagram that is sent ``now``, without its echo."""
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
                known.instance_count,
                _age_ms(now, known.at),
                _encode_usage(known.usage_by_account),
            ]
            for domain, known in report.usage_by_domain.items()
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
            _age_ms(now, report.view.confirmed_at),
            report.view.configuration_revision,
        ]
    if report.directory is not None:
        content["directory"] = [
            _age_ms(now, report.directory.listed_at),
            [_encode_target(t) for t in report.directory.target_by_id.values()],
            [list(member) for member in report.directory.member_by_name.values()],
        ]
    if report.followed_by_service:
        content["followed"] = report.followed_by_service
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


def _written_at(
    content: dict[str, Any], now: timedelta, incarnation: str
) -> timedelta | None:
    """Return before when at the earliest a report was written, if it tells."""
    if content["echo"] is None:
        return None
    echoed, stamp, held_ms = content["echo"]
    written_at = (stamp + held_ms) * _MILLISECOND
    if echoed != incarnation or written_at > now:
        return None
    return written_at


def decode_report(content: dict[str, Any], now: timedelta, incarnation: str) -> Report:
    """Return the report; what needs an age is left out without an echo.

    ``incarnation`` is the receiver's own.
    """
    positions = {}
    view = None
    directory = None
    written_at = _written_at(content, now, incarnation)
    if written_at is not None:
        for service, (term, number, age_ms) in content.get("positions", {}).items():
            taken_at = written_at - age_ms * _MILLISECOND
            positions[service] = PositionSample(taken_at, LogPosition(term, number))
        if "view" in content:
            age_ms, revision = content["view"]
            view = StoreView(written_at - age_ms * _MILLISECOND, revision)
        if "directory" in content:
            age_ms, targets, members = content["directory"]
            directory = Directory(
                written_at - age_ms * _MILLISECOND,
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
                heard, now - age_ms * _MILLISECOND, _decode_usage(usage)
            )
            for domain, (heard, age_ms, usage) in content.get("domains", {}).items()
        },
        position_by_service=positions,
        acknowledged_by_service={
            service: LogPosition(*position)
            for service, position in content.get("acked", {}).items()
        },
        suspected=frozenset(content.get("suspected", ())),
        view=view,
        directory=directory,
        followed_by_service=content.get("followed", {}),
        group_by_service={
            service: (value[0], value[1])
            for service, value in content.get("groups", {}).items()
        },
    )
