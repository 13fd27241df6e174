"""Interface of the platform's instance directory."""

from abc import ABC, abstractmethod
from typing import NamedTuple


class InstanceEntry(NamedTuple):
    """Directory entry of one instance.

    ``address`` is the peer address (``host:port``). ``incarnation`` changes with each
    start of the process.
    """

    name: str
    domain: str
    address: str
    incarnation: str
    leaving: bool


class InstanceDirectory(ABC):
    """Client that reads the list of instances and registers this instance.

    The list may be some seconds old. Every method raises ``DirectoryUnavailable`` if
    the call fails.
    """

    @abstractmethod
    def instances(self) -> list[InstanceEntry]:
        """Return the live and leaving instances; the list may be some seconds old."""

    @abstractmethod
    def register(self, entry: InstanceEntry) -> None:
        """Add or renew the entry of this instance; it expires unless renewed."""

    @abstractmethod
    def deregister(self, name: str, incarnation: str) -> None:
        """Remove the entry of this instance."""

    @abstractmethod
    def close(self) -> None:
        """Close all sockets."""
