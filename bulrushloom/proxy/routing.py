"""Choice of the target that runs a read; no I/O.

Every target has an expected time to answer, learned from its own answers. The read goes
to the lowest sum of this time, the wait behind own statements, the cost of a new
connection and of the way, among the targets that have applied enough of the log.
"""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.messages import LogPosition

# Assumed of a target that has not answered yet; a usual statement.
INITIAL_LATENCY = timedelta(milliseconds=20)
# Weight of the newest answer in the average.
LATENCY_WEIGHT = 0.2
# The average of a target that is not used falls back to the initial value.
LATENCY_HALF_LIFE = timedelta(seconds=2)
# A new connection takes a slot of the server for 12 ms and two round trips.
NEW_CONNECTION_COST = timedelta(milliseconds=14)
OTHER_DOMAIN_COST = timedelta(milliseconds=3)
# Writes and strict reads have no other place than the primary; a read goes there only
# when every replica is worse by the time of a usual statement.
PRIMARY_COST = timedelta(milliseconds=25)
# Doubles with each failure in a row; a read is the test whether it has recovered.
FIRST_PENALTY = timedelta(milliseconds=200)
MAX_PENALTY = timedelta(seconds=3)
# A full queue is worked off in about this time.
BUSY_PENALTY = timedelta(milliseconds=60)
# Connections of machines that lost power fill a server for up to three seconds.
FULL_PENALTY = timedelta(milliseconds=250)
FIRST_LAG_PENALTY = timedelta(milliseconds=60)
MAX_LAG_PENALTY = timedelta(milliseconds=800)
_ZERO = timedelta()


class Candidate(NamedTuple):
    """Hold a target for one read, with what the choice depends on."""

    target: Target
    is_primary: bool
    in_flight: int
    has_idle_connection: bool


class TargetHealth:
    """Remember how one target answered lately."""

    def __init__(self) -> None:
        self.latency = INITIAL_LATENCY
        self.latency_at = _ZERO
        self.applied: LogPosition | None = None
        self.lagging_until = _ZERO
        self.avoided_until = _ZERO
        self.full_until = _ZERO
        self._lag_penalty = FIRST_LAG_PENALTY
        self._penalty = FIRST_PENALTY

    def answered(self, now: timedelta, latency: timedelta) -> None:
        """Note a statement that ran."""
        present = self.expected_latency(now)
        self.latency = present + (latency - present) * LATENCY_WEIGHT
        self.latency_at = now
        self._penalty = FIRST_PENALTY
        self.avoided_until = _ZERO

    def applied_position(self, position: LogPosition) -> None:
        """Note a position that the target has applied."""
        if self.applied is None or position > self.applied:
            self.applied = position

    def lagged(self, now: timedelta) -> None:
        """Note that the target lacked a position."""
        self.lagging_until = now + self._lag_penalty
        self._lag_penalty = min(self._lag_penalty * 2, MAX_LAG_PENALTY)

    def caught_up(self) -> None:
        """Note that the target had the position that a read needed."""
        self._lag_penalty = FIRST_LAG_PENALTY

    def was_busy(self, now: timedelta) -> None:
        """Note that the target's queue was full."""
        self.avoided_until = max(self.avoided_until, now + BUSY_PENALTY)

    def was_full(self, now: timedelta) -> None:
        """Note that the target had too many connections."""
        self.full_until = now + FULL_PENALTY
        self.avoided_until = max(self.avoided_until, self.full_until)

    def failed(self, now: timedelta) -> None:
        """Note a connection that broke or a statement without an answer."""
        if now >= self.avoided_until:
            self.avoided_until = now + self._penalty
            self._penalty = min(self._penalty * 2, MAX_PENALTY)

    def expected_latency(self, now: timedelta) -> timedelta:
        """Return the average time to answer, forgotten with time."""
        forgotten = 0.5 ** (max(now - self.latency_at, _ZERO) / LATENCY_HALF_LIFE)
        return INITIAL_LATENCY + (self.latency - INITIAL_LATENCY) * forgotten


class ReadRouter:
    """Choose targets for reads from what their answers have shown."""

    def __init__(self, domain: str):
        self._domain = domain
        self._health_by_id: dict[str, TargetHealth] = {}

    def health(self, target_id: str) -> TargetHealth:
        """Return the record of one target."""
        health = self._health_by_id.get(target_id)
        if health is None:
            health = self._health_by_id[target_id] = TargetHealth()
        return health

    def forget_others(self, target_ids: Iterable[str]) -> None:
        """Drop the records of all other targets."""
        kept = set(target_ids)
        self._health_by_id = {
            target_id: health
            for target_id, health in self._health_by_id.items()
            if target_id in kept
        }

    def choose(
        self,
        candidates: Iterable[Candidate],
        required: LogPosition | Missing,
        now: timedelta,
    ) -> Candidate | Missing:
        """Return the best candidate; the primary needs no position."""
        best: Candidate | None = None
        best_cost: tuple[bool, timedelta] = (True, timedelta.max)
        for candidate in candidates:
            if not candidate.is_primary and not self._may_have(
                candidate.target.target_id, required, now
            ):
                continue
            cost = self._cost(candidate, now)
            if cost < best_cost:
                best, best_cost = candidate, cost
        if best is None:
            return Missing("no target is in reach that has applied enough")
        return best

    def _may_have(
        self, target_id: str, required: LogPosition | Missing, now: timedelta
    ) -> bool:
        if isinstance(required, Missing):
            return False
        health = self.health(target_id)
        if health.applied is not None and health.applied >= required:
            return True
        return now >= health.lagging_until

    def _cost(self, candidate: Candidate, now: timedelta) -> tuple[bool, timedelta]:
        health = self.health(candidate.target.target_id)
        cost = health.expected_latency(now) * (1 + candidate.in_flight)
        if not candidate.has_idle_connection:
            cost += NEW_CONNECTION_COST
        if candidate.target.domain != self._domain:
            cost += OTHER_DOMAIN_COST
        if candidate.is_primary:
            cost += PRIMARY_COST
        return now < health.avoided_until, cost
