"""Interface of a client for the platform's configuration store."""

from abc import ABC, abstractmethod
from datetime import timedelta
from typing import Any, NamedTuple


class StoredValue(NamedTuple):
    """A JSON value and its version; version 0 means that the key is absent."""

    version: int
    value: Any


class SwapOutcome(NamedTuple):
    """Result of a compare-and-swap; ``current`` is the stored value afterwards."""

    swapped: bool
    current: StoredValue


class ConfigurationStore(ABC):
    """Client that reads and changes keys of the store.

    Every method raises ``StoreUnavailable`` if it gets no valid response; a change may
    have taken effect in that case.
    """

    @abstractmethod
    def get(self, key: str) -> StoredValue:
        """Return the value of ``key``."""

    @abstractmethod
    def compare_and_swap(self, key: str, version: int, value: Any) -> SwapOutcome:
        """Set ``key`` to ``value`` if its version is ``version``."""

    @abstractmethod
    def watch(self, key: str, version: int, timeout: timedelta) -> StoredValue:
        """Return the value once its version is above ``version``, or at timeout."""

    @abstractmethod
    def close(self) -> None:
        """Close all sockets."""
