"""Interfaces shared by all decision objects."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from datetime import timedelta
from typing import Any, NamedTuple

# Messages and effects are ``NamedTuple`` classes; each package defines its own.
Message = tuple[Any, ...]
Effect = tuple[Any, ...]

# Longest time between two ticks of a part that has nothing to do; it bounds how late
# a part notices what it does not announce by ``next_tick``.
IDLE_TICK = timedelta(milliseconds=100)


def idle_tick(last: timedelta) -> timedelta:
    """Return when a part without work is due after a tick at ``last``.

    The times are multiples of ``IDLE_TICK``, so that idle parts are due together.
    """
    return (last // IDLE_TICK + 1) * IDLE_TICK


class DecisionComponent(ABC):
    """Turn messages and the passing of time into effects, deterministically.

    Implementations hold no socket, thread, clock or random source. ``now`` is a
    monotonic clock reading; callers never pass a smaller one than before.
    """

    @abstractmethod
    def handle(self, sender: str, message: Message, now: timedelta) -> list[Effect]:
        """Handle one message; ``sender`` is an instance name or the own name."""

    @abstractmethod
    def tick(self, now: timedelta) -> list[Effect]:
        """Do what is due at ``now``."""

    def next_tick(self, last: timedelta) -> timedelta:
        """Return when a tick is due after one at ``last``; at once by default.

        The answer holds until the next message; a tick before that time is harmless.
        """
        return last


class SendMessage(NamedTuple):
    """Ask the transport to send ``message``; it may be lost, doubled or reordered."""

    recipient: str
    message: Message


class ReadKey(NamedTuple):
    """Ask the store for the value of ``key``."""

    key: str


class KeyValue(NamedTuple):
    """Report the value of ``key``; version 0 and no value when it is absent."""

    key: str
    version: int
    value: Any


class SwapKey(NamedTuple):
    """Ask the store to set ``key`` if its version is still ``expected_version``."""

    key: str
    expected_version: int
    value: Any


class KeySwapped(NamedTuple):
    """Report the outcome of ``SwapKey``: the version found when it lost."""

    key: str
    swapped: bool
    version: int


class StoreFailed(NamedTuple):
    """Report a store call without an answer; a swap may have taken effect."""

    key: str
    reason: str


class LogEntry(NamedTuple):
    """Record a decision for the log; ``fields`` are JSON values."""

    event: str
    fields: dict[str, Any]


def effects_of(effects: Sequence[Effect], kind: type) -> list[Any]:
    """Return the effects of one kind, in order."""
    return [effect for effect in effects if isinstance(effect, kind)]
