"""In-memory datagrams between instances that share one simulated clock."""

from collections.abc import Callable, Iterable
from contextlib import ExitStack
from datetime import timedelta
from typing import Any

import orjson

from bulrushloom.proxy.gossip import Member, Report, TimestampEchoes, encode_report
from bulrushloom.runtime.loop import Loop

ONE_WAY = timedelta(milliseconds=1)


class MemoryDatagrams:
    """An in-memory datagram network; ``cut`` has the pairs that lose datagrams."""

    def __init__(self, loop: Loop):
        self.loop = loop
        self.end_by_name: dict[str, MemoryGossip] = {}
        self.frozen: dict[str, list[tuple[MemoryGossip, bytes]]] = {}
        self.cut: set[frozenset[str]] = set()

    def freeze(self, name: str) -> None:
        """Suspend an instance: it sends nothing and its datagrams are queued."""
        self.frozen[name] = []

    def thaw(self, name: str) -> None:
        """Resume an instance and deliver the queued datagrams."""
        for end, data in self.frozen.pop(name, []):
            end.receive(data)

    def deliver(self, sender: str, receiver: str, data: bytes) -> None:
        """Deliver a datagram after the network delay, unless it is lost."""
        if frozenset((sender, receiver)) in self.cut or sender in self.frozen:
            return
        self.loop.call_later(ONE_WAY, lambda: self._arrive(receiver, data))

    def _arrive(self, receiver: str, data: bytes) -> None:
        end = self.end_by_name.get(receiver)
        if end is None:
            return
        if receiver in self.frozen:
            self.frozen[receiver].append((end, data))
        else:
            end.receive(data)


class MemoryGossip:
    """The simulated gossip socket of one instance."""

    def __init__(
        self,
        datagrams: MemoryDatagrams,
        member: Member,
        on_report: Callable[[Report], None],
        stack: ExitStack,
    ):
        self._datagrams = datagrams
        self._loop = datagrams.loop
        self._member = member
        self._on_report = on_report
        self._echoes = TimestampEchoes(member)
        self.sent_bytes = 0
        datagrams.end_by_name[member.name] = self
        stack.callback(datagrams.end_by_name.pop, member.name, None)

    def send(self, members: Iterable[Member], report: Report) -> None:
        """Send ``report`` to each of ``members``."""
        now = self._loop.now()
        content: dict[str, Any] = encode_report(report, now)
        for member in members:
            self._echoes.add_echo(content, member, now)
            data = orjson.dumps(content)
            self._datagrams.deliver(self._member.name, member.name, data)

    def receive(self, data: bytes) -> None:
        """Decode a datagram and pass it to the report handler."""
        content = orjson.loads(data)
        self._on_report(self._echoes.decode(content, self._loop.now()))

    def drop_expired(self) -> None:
        """Do nothing; simulated runs are too short for old echoes to accumulate."""

    def close(self) -> None:
        """Stop receiving datagrams."""
        self._datagrams.end_by_name.pop(self._member.name, None)
