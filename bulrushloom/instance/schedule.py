"""Ticks of the parts of an instance, each when it is due."""

from collections.abc import Iterable
from datetime import timedelta
from typing import Protocol
from weakref import WeakKeyDictionary

from bulrushloom.coordination.base import Effect, KeyValue, Message
from bulrushloom.coordination.configuration.base import Ping, Pong
from bulrushloom.coordination.failover.base import StatusReceived
from bulrushloom.coordination.limits.base import HolderAck, HolderHeartbeat
from bulrushloom.instance.platform import InstancesListed


class Ticking(Protocol):
    """Describe what has ticks: decision parts and watched groups."""

    def tick(self, now: timedelta) -> list[Effect]:
        """Do what is due at ``now``."""

    def next_tick(self, last: timedelta) -> timedelta:
        """Return when a tick is due after one at ``last``."""


class TickSchedule:
    """Tick the parts that are due; ticking all of them made up most of an idle loop."""

    def __init__(self) -> None:
        # A part that is dropped takes its entry with it.
        self._last_by_part: WeakKeyDictionary[Ticking, timedelta] = WeakKeyDictionary()

    def tick(self, parts: Iterable[Ticking], now: timedelta) -> list[Effect]:
        """Return the effects of the parts that are due; new parts are."""
        effects: list[Effect] = []
        for part in parts:
            last = self._last_by_part.get(part)
            if last is None or now >= part.next_tick(last):
                self._last_by_part[part] = now
                effects += part.tick(now)
        return effects

    def next_tick(self, parts: Iterable[Ticking], now: timedelta) -> timedelta:
        """Return when the first part is due."""
        last_by_part = self._last_by_part
        return min(part.next_tick(last_by_part.get(part, now)) for part in parts)


# Messages that come while nobody uses the fleet, with the number of effects that
# they then have. None of them makes a part wait for its next tick.
_ROUTINE_EFFECTS: dict[type, int] = {
    HolderHeartbeat: 1,
    HolderAck: 0,
    Ping: 1,
    Pong: 0,
    StatusReceived: 0,
    KeyValue: 0,
    InstancesListed: 0,
}


def is_routine(message: Message, effects: list[Effect]) -> bool:
    """Return whether the ticks may stay as far apart as before the message."""
    return len(effects) <= _ROUTINE_EFFECTS.get(type(message), -1)
