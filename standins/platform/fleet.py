"""In-memory datagrams between instances that share one simulated clock."""

from collections.abc import Callable
from contextlib import ExitStack
from datetime import timedelta

from bulrushloom.proxy.exchange.endpoint import DatagramEndpoint, OnDatagram
from bulrushloom.runtime.loop import Loop

ONE_WAY = timedelta(milliseconds=1)


class MemoryDatagrams:
    """An in-memory datagram network; ``cut`` has the pairs that lose datagrams.

    ``one_way`` returns the delay from a sender to a receiver, by their names.
    """

    def __init__(self, loop: Loop):
        self.loop = loop
        self.end_by_name: dict[str, MemoryEndpoint] = {}
        self.frozen: dict[str, list[tuple[MemoryEndpoint, bytes]]] = {}
        self.cut: set[frozenset[str]] = set()
        self.one_way: Callable[[str, str], timedelta] = lambda *_: ONE_WAY

    def freeze(self, name: str) -> None:
        """Suspend an instance: it sends nothing and its datagrams are queued."""
        self.frozen[name] = []

    def thaw(self, name: str) -> None:
        """Resume an instance and deliver the queued datagrams."""
        for end, data in self.frozen.pop(name, []):
            end.receive(data, "thawed:1")

    def deliver(self, sender: str, receiver: str, data: bytes) -> None:
        """Deliver a datagram after the network delay, unless it is lost."""
        if frozenset((sender, receiver)) in self.cut or sender in self.frozen:
            return
        delay = self.one_way(sender, receiver)
        self.loop.call_later(delay, lambda: self._arrive(sender, receiver, data))

    def _arrive(self, sender: str, receiver: str, data: bytes) -> None:
        end = self.end_by_name.get(receiver)
        if end is None:
            return
        if receiver in self.frozen:
            self.frozen[receiver].append((end, data))
        else:
            end.receive(data, f"{sender}:1")


class MemoryEndpoint(DatagramEndpoint):
    """The simulated datagram socket of one instance."""

    def __init__(
        self,
        datagrams: MemoryDatagrams,
        name: str,
        on_datagram: OnDatagram,
        stack: ExitStack,
    ):
        self._datagrams = datagrams
        self._name = name
        self._is_closed = False
        self.receive = on_datagram
        datagrams.end_by_name[name] = self
        stack.callback(self.close)

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram; the host of an address is the name of its instance."""
        if self._is_closed:
            return
        self.sent_bytes += len(data)
        self.sent_count += 1
        self._datagrams.deliver(self._name, address.partition(":")[0], data)

    def close(self) -> None:
        """Stop sending and receiving datagrams."""
        self._is_closed = True
        # An instance that was started under the same name has its own endpoint.
        if self._datagrams.end_by_name.get(self._name) is self:
            del self._datagrams.end_by_name[self._name]
