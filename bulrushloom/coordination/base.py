"""Interfaces and effects shared by all decision components.

A decision component is a state machine without I/O: it receives messages and clock
readings and returns effects, which the embedding program carries out.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from datetime import timedelta
from typing import Any, NamedTuple

# Messages and effects are instances of ``NamedTuple`` classes, most of which are
# defined by the package that uses them.
Message = tuple[Any, ...]
Effect = tuple[Any, ...]

# Longest time between two ticks of an idle component. It bounds the delay of work that
# the component did not announce in ``next_tick``.
IDLE_TICK_INTERVAL = timedelta(milliseconds=100)


def next_idle_tick(last: timedelta) -> timedelta:
    """Return the time of the next tick of an idle component after one at ``last``.

    The times are multiples of ``IDLE_TICK_INTERVAL``, so that all idle components are
    due at the same moments.
    """
    return (last // IDLE_TICK_INTERVAL + 1) * IDLE_TICK_INTERVAL


class DecisionComponent(ABC):
    """Base class of the state machines that turn messages and time into effects.

    Implementations are deterministic: they use no socket, thread, clock or random
    source. ``now`` is a reading of a monotonic clock; callers must not pass a smaller
    value than in an earlier call.
    """

    @abstractmethod
    def handle(self, sender: str, message: Message, now: timedelta) -> list[Effect]:
        """Handle a message and return the resulting effects.

        ``sender`` is the name of a peer instance, or the name of this instance for
        messages that it sent to itself.
        """

    @abstractmethod
    def tick(self, now: timedelta) -> list[Effect]:
        """Perform the work that is due at ``now`` and return its effects."""

    def next_tick(self, last: timedelta) -> timedelta:
        """Return when the next tick is due after one at ``last``.

        The result is valid until the next message arrives. Earlier ticks are harmless.
        The default, ``last``, means that the next tick is due immediately.
        """
        return last


class SendMessage(NamedTuple):
    """Effect: send ``message``, which may be lost, duplicated or reordered."""

    recipient: str
    message: Message


class ReadKey(NamedTuple):
    """Effect: read the value of ``key`` from the store."""

    key: str


class KeyValue(NamedTuple):
    """Message: the stored value of ``key``, or version 0 and ``None`` if absent."""

    key: str
    version: int
    value: Any


class SwapKey(NamedTuple):
    """Effect: set ``key`` if its version is still ``expected_version``."""

    key: str
    expected_version: int
    value: Any


class KeySwapped(NamedTuple):
    """Message: the result of ``SwapKey``.

    ``version`` is the new version, or the current one if the swap was rejected.
    """

    key: str
    swapped: bool
    version: int


class StoreFailed(NamedTuple):
    """Message: a store call got no answer, so a swap may have taken effect."""

    key: str
    reason: str


class LogEntry(NamedTuple):
    """Effect: write a decision to the log; ``fields`` contains JSON values."""

    event: str
    fields: dict[str, Any]


def select_effects(effects: Sequence[Effect], kind: type) -> list[Any]:
    """Return the effects that are instances of ``kind``, in order."""
    return [effect for effect in effects if isinstance(effect, kind)]
