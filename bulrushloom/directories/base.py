"""Interface of the platform's lagging list of instances."""

from abc import ABC, abstractmethod
from typing import NamedTuple


class InstanceEntry(NamedTuple):
    """Describe one instance as the platform lists it.

    ``address`` is ``host:port`` of the peer interface. ``incarnation`` changes with
    each start of the process.
    """

    name: str
    domain: str
    address: str
    incarnation: str
    leaving: bool


class InstanceDirectory(ABC):
    """Read the list and register the own instance.

    Every method raises ``DirectoryUnavailable`` when no answer came.
    """

    @abstractmethod
    def instances(self) -> list[InstanceEntry]:
        """Return the live and leaving instances, as of some seconds ago."""

    @abstractmethod
    def register(self, entry: InstanceEntry) -> None:
        """Add or renew the own entry; it expires unless renewed."""

    @abstractmethod
    def deregister(self, name: str, incarnation: str) -> None:
        """Remove the own entry."""

    @abstractmethod
    def close(self) -> None:
        """Close all sockets."""
