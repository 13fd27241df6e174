"""Waiting for a primary: how long it is expected to take, and when it is over.

A statement waits if the primary is expected before its deadline, and is refused with
the expected time otherwise.
"""

from collections.abc import Sequence
from concurrent.futures import Future
from datetime import timedelta

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.instance_state import InstanceState
from bulrushloom.proxy.store_freshness import MAX_PRIMARY_AGE
from bulrushloom.proxy.suspicions import Suspicions

# Expected time from the announcement of a failover to the first write at the new
# primary.
EXPECTED_FAILOVER_TIME = timedelta(milliseconds=1200)
# The same while an instance is unreachable: the promotion is ordered once the last read
# of the store by that instance is too old for it to use the old primary.
EXPECTED_DELAYED_FAILOVER_TIME = MAX_PRIMARY_AGE + timedelta(milliseconds=500)
# A failover that takes longer than expected is assumed to last for another fraction of
# the time elapsed so far.
OVERDUE_WAIT_FRACTION = 0.5
# Expected time from the first failed statement to the announcement of a failover.
EXPECTED_DETECTION_TIME = timedelta(milliseconds=800)
# Callers return after this time while no target of a service may get statements. The
# operators end an evacuation, so nothing here tells how long it takes.
EVACUATION_RETRY_DELAY = timedelta(seconds=2)
# An instance that cannot reach the store retries twice in this time.
EXPECTED_STORE_RECOVERY_TIME = timedelta(seconds=2)
_ZERO = timedelta()


class PrimaryWait:
    """Expected and actual ends of the times without a primary."""

    def __init__(self, state: InstanceState, suspicions: Suspicions):
        self._state = state
        self._suspicions = suspicions
        self._primary_change_by_service: dict[str, Future[None]] = {}

    def next_change(self, service: str) -> "Future[None]":
        """Return a future that is done when the next primary is announced."""
        future = self._primary_change_by_service.get(service)
        if future is None:
            future = self._primary_change_by_service[service] = Future()
        return future

    def resolve_change(self, service: str) -> None:
        """Complete the future of statements that wait for a primary."""
        future = self._primary_change_by_service.pop(service, None)
        if future is not None:
            future.set_result(None)

    def expected_time(self, service: str) -> timedelta:
        """Return the expected time until a statement can run at the primary."""
        now = self._state.loop.now()
        if self._state.table.is_evacuated(service):
            # Callers that were refused together must not return together.
            return EVACUATION_RETRY_DELAY * self._state.random.uniform(1.0, 1.5)
        if not self._state.store_freshness.allows_primary(now):
            return EXPECTED_STORE_RECOVERY_TIME
        started_at = self._state.commits.replacing_since(service)
        if started_at is not None:
            return expected_time_left(
                (EXPECTED_FAILOVER_TIME, EXPECTED_DELAYED_FAILOVER_TIME),
                now - started_at,
            )
        primary = self._state.table.primary_of(service)
        if isinstance(primary, Missing):
            return EXPECTED_FAILOVER_TIME
        if primary.target_id not in self._suspicions.suspected_targets():
            return _ZERO
        suspected_at = self._suspicions.first_failed_at(primary.target_id)
        return expected_time_left(
            (EXPECTED_DETECTION_TIME + EXPECTED_FAILOVER_TIME,), now - suspected_at
        )


def expected_time_left(expected: Sequence[timedelta], elapsed: timedelta) -> timedelta:
    """Return the remaining time of a failover that usually lasts one of ``expected``.

    An overdue failover must not seem about to end: as long as it is stuck, statements
    would wait until their deadlines instead of being refused.
    """
    for end in expected:
        if elapsed < end:
            return end - elapsed
    return elapsed * OVERDUE_WAIT_FRACTION
