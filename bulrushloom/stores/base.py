"""Interface of the platform's configuration store."""

from abc import ABC, abstractmethod
from datetime import timedelta
from typing import Any, NamedTuple


class StoredValue(NamedTuple):
    """Hold a JSON value and its version; version 0 means that the key is absent."""

    version: int
    value: Any


class SwapOutcome(NamedTuple):
    """Report a compare-and-swap; ``current`` is what the store holds afterwards."""

    swapped: bool
    current: StoredValue


class ConfigurationStore(ABC):
    """Read and change keys of the store.

    Every method raises ``StoreUnavailable`` when no answer came; a change may then
    have taken effect.
    """

    @abstractmethod
    def get(self, key: str) -> StoredValue:
        """Return the value of ``key``."""

    @abstractmethod
    def compare_and_swap(self, key: str, version: int, value: Any) -> SwapOutcome:
        """Set ``key`` to ``value`` if its version is ``version``."""

    @abstractmethod
    def watch(self, key: str, version: int, timeout: timedelta) -> StoredValue:
        """Return the value once its version exceeds ``version``, or at timeout."""

    @abstractmethod
    def close(self) -> None:
        """Close all sockets."""
