"""Targets that are suspected of a failure because they did not answer.

A suspicion is reported to the other instances, which together decide on a failover, and
keeps further statements of this instance from waiting for the target.
"""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.instance_state import InstanceState

# Suspicion of a target ends if no further failure follows within this time: a failure
# says nothing about a target that received no requests since.
SUSPICION_LIFETIME = timedelta(seconds=2)


class Suspicion(NamedTuple):
    """Times of the first and the latest failure of a target."""

    first_failed_at: timedelta
    last_failed_at: timedelta


class Suspicions:
    """Suspicions of one instance against targets."""

    def __init__(self, state: InstanceState):
        self._state = state
        self._suspicion_by_target: dict[str, Suspicion] = {}

    def report(self, target: Target, reason: str) -> None:
        """Suspect a target that failed to answer."""
        target_id, now = target.target_id, self._state.loop.now()
        known = self._suspicion_by_target.get(target_id)
        if known is None or now - known.last_failed_at > SUSPICION_LIFETIME:
            self._state.log.write("target_suspected", target=target_id, reason=reason)
            known = Suspicion(now, now)
            self._state.loop.call_soon(self._state.on_suspicion)
        self._suspicion_by_target[target_id] = known._replace(last_failed_at=now)

    def suspected_targets(self) -> frozenset[str]:
        """Return the targets that failed recently and have not answered since."""
        oldest = self._state.loop.now() - SUSPICION_LIFETIME
        return frozenset(
            target_id
            for target_id, known in self._suspicion_by_target.items()
            if known.last_failed_at >= oldest
        )

    def first_failed_at(self, target_id: str) -> timedelta:
        """Return when a suspected target failed for the first time."""
        return self._suspicion_by_target[target_id].first_failed_at

    def is_unresponsive(self, target_id: str, account: str) -> bool:
        """Return whether a suspected target should not get another connection.

        One statement is already opening a connection, and none is idle; further
        statements must not wait for a target that does not answer.
        """
        return (
            target_id in self.suspected_targets()
            and self._state.pool.opening(target_id) > 0
            and not self._state.pool.has_idle(target_id, account)
        )

    def clear(self, target_id: str) -> None:
        """Record that a target answered."""
        if self._suspicion_by_target.pop(target_id, None) is not None:
            self._state.log.write("target_recovered", target=target_id)

    def drop(self, target_id: str) -> None:
        """Drop the suspicion of a target that no longer exists."""
        self._suspicion_by_target.pop(target_id, None)
