"""Scheduling of the ticks of an instance's components."""

from collections.abc import Iterable
from datetime import timedelta
from typing import Protocol
from weakref import WeakKeyDictionary

from bulrushloom.coordination.base import Effect, KeyValue, Message
from bulrushloom.coordination.configuration.base import Ping, Pong
from bulrushloom.coordination.failover.base import StatusReceived
from bulrushloom.coordination.limits.base import HolderAck, HolderHeartbeat
from bulrushloom.instance.platform import InstancesListed


class Tickable(Protocol):
    """Object with ticks: a decision component or a watched group."""

    def tick(self, now: timedelta) -> list[Effect]:
        """Perform the work that is due at ``now``."""

    def next_tick(self, last: timedelta) -> timedelta:
        """Return when the next tick is due if the previous one was at ``last``."""


class TickSchedule:
    """Tick only the components that are due.

    Ticking all components each time took most of the time of an idle coordinator.
    """

    def __init__(self) -> None:
        # The entry of a component disappears together with the component.
        self._last_by_component: WeakKeyDictionary[Tickable, timedelta] = (
            WeakKeyDictionary()
        )

    def tick(self, components: Iterable[Tickable], now: timedelta) -> list[Effect]:
        """Tick the due components and return their effects; new components are due."""
        effects: list[Effect] = []
        for component in components:
            last = self._last_by_component.get(component)
            if last is None or now >= component.next_tick(last):
                self._last_by_component[component] = now
                effects += component.tick(now)
        return effects

    def next_tick(self, components: Iterable[Tickable], now: timedelta) -> timedelta:
        """Return when the first component is due."""
        last_by_component = self._last_by_component
        return min(
            component.next_tick(last_by_component.get(component, now))
            for component in components
        )


# Messages that occur in an idle fleet, with the number of effects that each one has
# there. With no more effects than that, a message gives no component work that requires
# an earlier tick.
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
    """Return whether the message leaves the tick schedule unchanged."""
    return len(effects) <= _ROUTINE_EFFECTS.get(type(message), -1)
