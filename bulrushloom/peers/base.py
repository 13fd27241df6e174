"""Interface of the message transport between instances."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import NamedTuple

from bulrushloom.coordination.base import Message


class PeerIdentity(NamedTuple):
    """Process that sent a signed batch."""

    domain: str
    incarnation: str
    address: str


class MessageReceived(NamedTuple):
    """Event: a message arrived from a peer, with a valid signature."""

    sender: str
    message: Message
    identity: PeerIdentity


class MessageUndelivered(NamedTuple):
    """Event: a message was certainly not sent.

    The peer is unknown or refused the connection, or its outbox is full.
    """

    recipient: str
    message: Message


class PeerLost(NamedTuple):
    """Event: a peer did not answer; messages sent to it may have arrived."""

    peer: str
    reason: str


DeliverEvent = Callable[[MessageReceived | MessageUndelivered | PeerLost], None]


class PeerTransport(ABC):
    """Batched messages to peers; they may be lost, duplicated or reordered."""

    @abstractmethod
    def start(self, deliver: DeliverEvent) -> None:
        """Start the transport, which calls ``deliver`` from its own threads."""

    @abstractmethod
    def update_peers(self, address_by_name: dict[str, str]) -> None:
        """Replace the table of peer addresses (``host:port``)."""

    @abstractmethod
    def send(self, recipient: str, message: Message) -> None:
        """Queue a message without blocking."""

    @abstractmethod
    def close(self) -> None:
        """Send the queued messages for up to a second, then close all sockets."""
