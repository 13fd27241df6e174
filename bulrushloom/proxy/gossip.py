"""Datagrams that the instances send each other: usage, positions, group revisions.

A position is only as good as its age. A datagram therefore repeats the last time stamp
that it got from the receiver: the receiver knows from its own clock how old the content
can be at most, however long the datagram was on its way.
"""

import contextlib
import selectors
import socket
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any, NamedTuple

import orjson

from bulrushloom.proxy.limits import Usage
from bulrushloom.proxy.messages import LogPosition
from bulrushloom.proxy.positions import PositionSample
from bulrushloom.runtime.loop import Loop
from bulrushloom.runtime.streams import split_address

MAX_DATAGRAM_BYTES = 60_000
_MILLISECOND = timedelta(milliseconds=1)


class Member(NamedTuple):
    """Name one running instance; ``incarnation`` differs with each start."""

    name: str
    incarnation: str
    address: str
    domain: str


class PeerReport(NamedTuple):
    """Hold the content of a datagram in terms of the receiver's clock.

    ``position_by_service`` is empty if the sender has not heard this process yet.
    ``group_revision_by_service`` tells which announcements the sender follows.
    """

    name: str
    incarnation: str
    heard_at: timedelta
    usage_by_account: Mapping[str, Usage]
    position_by_service: Mapping[str, PositionSample]
    group_revision_by_service: Mapping[str, int]
    suspected: frozenset[str]
    group_values: Mapping[str, tuple[int, str]]


class OwnReport(NamedTuple):
    """Hold what this instance tells the others."""

    usage_by_account: Mapping[str, Usage]
    position_by_service: Mapping[str, PositionSample]
    group_revision_by_service: Mapping[str, int]
    suspected: frozenset[str]
    group_values: Mapping[str, tuple[int, str]]


class Gossip:
    """Own the datagram socket; ``on_report`` receives what the others say."""

    def __init__(
        self,
        loop: Loop,
        address: str,
        name: str,
        incarnation: str,
        on_report: Callable[[PeerReport], None],
    ):
        self._loop = loop
        self._name = name
        self._incarnation = incarnation
        self._on_report = on_report
        self._stamp_by_peer: dict[str, tuple[int, timedelta]] = {}
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(split_address(address))
        self.sent_bytes = 0
        loop.watch(self._sock, selectors.EVENT_READ, self._on_event)

    def send(self, members: Mapping[str, Member], report: OwnReport) -> None:
        """Send ``report`` to all members."""
        now = self._loop.now()
        content: dict[str, Any] = {
            "name": self._name,
            "incarnation": self._incarnation,
            "stamp": now // _MILLISECOND,
            "echo": {
                peer: [stamp, (now - heard_at) // _MILLISECOND]
                for peer, (stamp, heard_at) in self._stamp_by_peer.items()
            },
            "usage": {
                account: [round(usage.admitted, 1), round(usage.demand_per_s, 2)]
                for account, usage in report.usage_by_account.items()
            },
            "positions": {
                service: [
                    sample.position.term,
                    sample.position.number,
                    # Rounded up: the position must not seem younger than it is.
                    (now - sample.taken_at) // _MILLISECOND + 1,
                ]
                for service, sample in report.position_by_service.items()
            },
            "groups": report.group_revision_by_service,
            "suspected": sorted(report.suspected),
            "values": report.group_values,
        }
        data = orjson.dumps(content)
        if len(data) > MAX_DATAGRAM_BYTES:
            content["usage"] = {}
            data = orjson.dumps(content)
        for member in members.values():
            # A datagram that cannot be sent is as good as lost; the next one follows.
            with contextlib.suppress(OSError):
                self._sock.sendto(data, split_address(member.address))
                self.sent_bytes += len(data)

    def _on_event(self, _: int) -> None:
        while True:
            try:
                data = self._sock.recv(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError, ConnectionError):
                return
            try:
                report = self._decode(data)
            except (KeyError, TypeError, ValueError, AttributeError):
                # Anybody can send a datagram here; one that is no report is ignored.
                continue
            if report is not None:
                self._on_report(report)

    def _decode(self, data: bytes) -> PeerReport | None:
        content = orjson.loads(data)
        name = content["name"]
        if name == self._name:
            return None
        now = self._loop.now()
        echo = content["echo"].get(self._name)
        positions = {}
        if echo is not None:
            written_at = (echo[0] + echo[1]) * _MILLISECOND
            for service, (term, number, age_ms) in content["positions"].items():
                taken_at = written_at - age_ms * _MILLISECOND
                position = LogPosition(term, number)
                positions[service] = PositionSample(taken_at, position)
        self._stamp_by_peer[name] = (content["stamp"], now)
        return PeerReport(
            name,
            content["incarnation"],
            now,
            {a: Usage(*usage) for a, usage in content["usage"].items()},
            positions,
            content["groups"],
            frozenset(content["suspected"]),
            {s: (v[0], v[1]) for s, v in content["values"].items()},
        )

    def forget_others(self, names: frozenset[str]) -> None:
        """Drop the time stamps of instances that are gone."""
        self._stamp_by_peer = {
            name: stamp for name, stamp in self._stamp_by_peer.items() if name in names
        }

    def close(self) -> None:
        """Close the socket."""
        self._loop.unwatch(self._sock)
        self._sock.close()
