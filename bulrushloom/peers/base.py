"""Interface of the message transport between instances."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import NamedTuple

from bulrushloom.coordination.base import Message


class PeerIdentity(NamedTuple):
    """Describe the process that sent a signed batch."""

    domain: str
    incarnation: str
    address: str


class MessageReceived(NamedTuple):
    """Deliver a message from a peer whose signature was checked."""

    sender: str
    message: Message
    identity: PeerIdentity


class MessageUndelivered(NamedTuple):
    """Report a message that certainly never left: the peer refused the connection."""

    recipient: str
    message: Message


class PeerLost(NamedTuple):
    """Report a peer that did not answer; messages sent to it may have arrived."""

    peer: str
    reason: str


Deliver = Callable[[MessageReceived | MessageUndelivered | PeerLost], None]


class PeerTransport(ABC):
    """Send messages to peers in batches; delivery may lose, double and reorder."""

    @abstractmethod
    def start(self, deliver: Deliver) -> None:
        """Start; ``deliver`` is called from transport threads."""

    @abstractmethod
    def update_peers(self, address_by_name: dict[str, str]) -> None:
        """Replace the table of peer addresses (``host:port``)."""

    @abstractmethod
    def send(self, recipient: str, message: Message) -> None:
        """Queue a message; never blocks."""

    @abstractmethod
    def close(self) -> None:
        """Send what is queued, within a second, and close all sockets."""
