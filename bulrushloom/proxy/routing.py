"""Choice of the target that runs a read; no I/O.

Each target has an expected latency, an average of its own answers. A read goes to the
target with the lowest cost: the expected latency, multiplied by the number of
statements of this instance that it would then run, plus the costs of a new connection,
of the distance and of using the primary. Targets that were recently busy or failed
come last. Only targets that have applied enough of the log are considered.

Where instances share the connections of a target, reads are placed by account instead:
see ``scheduling.placement``.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.messages import LogPosition
from bulrushloom.proxy.regions import Distance
from bulrushloom.proxy.scheduling.placement import LoadReport, LoadReports, place

# Assumed for a target without answers; the latency of a typical statement.
INITIAL_LATENCY = timedelta(milliseconds=20)
# Weight of the latest answer in the moving average.
LATENCY_WEIGHT = 0.2
# The average of an unused target decays to the initial value.
LATENCY_HALF_LIFE = timedelta(seconds=2)
# A new connection occupies a slot of the server for 12 ms and takes two round trips.
NEW_CONNECTION_COST = timedelta(milliseconds=14)
# Round trips of a statement: 1.4 ms one way between domains, 8 ms between regions.
COST_BY_DISTANCE = {
    Distance.OWN_DOMAIN: timedelta(),
    Distance.OWN_REGION: timedelta(milliseconds=3),
    Distance.OTHER_REGION: timedelta(milliseconds=17),
}
# The two further round trips that a new connection to another region takes.
OTHER_REGION_CONNECTION_COST = timedelta(milliseconds=32)
# Writes and reads with primary consistency can only run on the primary. Other reads go
# there only if every replica is slower by more than a typical statement.
PRIMARY_COST = timedelta(milliseconds=25)
# Time for which a target is avoided after a failure. Doubles with each consecutive
# failure; the next read then tests whether the target has recovered.
FIRST_PENALTY = timedelta(milliseconds=200)
MAX_PENALTY = timedelta(seconds=3)
# A full queue drains in about this time.
BUSY_PENALTY = timedelta(milliseconds=60)
# Connections of hosts that lost power occupy a server for up to 3 s.
FULL_PENALTY = timedelta(milliseconds=250)
FIRST_LAG_PENALTY = timedelta(milliseconds=60)
MAX_LAG_PENALTY = timedelta(milliseconds=800)
RANK_BY_DISTANCE = {distance: rank for rank, distance in enumerate(Distance)}
_ZERO = timedelta()


class Candidate(NamedTuple):
    """Target that may run a read, with the inputs of the choice.

    ``in_flight`` is the number of this instance's connections to it that are in use.
    ``load`` is what the owner of its connections has reported, if there is one.
    """

    target: Target
    is_primary: bool
    in_flight: int
    has_idle_connection: bool
    load: LoadReport | None = None


class TargetHealth:
    """Recent latency and failures of one target."""

    def __init__(self) -> None:
        self.latency = INITIAL_LATENCY
        self.latency_updated_at = _ZERO
        self.applied: LogPosition | None = None
        self.lagging_until = _ZERO
        self.avoided_until = _ZERO
        self.full_until = _ZERO
        self._lag_penalty = FIRST_LAG_PENALTY
        self._penalty = FIRST_PENALTY

    def record_success(self, now: timedelta, latency: timedelta) -> None:
        """Record a successful statement and its latency."""
        average = self.expected_latency(now)
        self.latency = average + (latency - average) * LATENCY_WEIGHT
        self.latency_updated_at = now
        self._penalty = FIRST_PENALTY
        self.avoided_until = _ZERO

    def record_applied_position(self, position: LogPosition) -> None:
        """Record a log position that the target has applied."""
        if self.applied is None or position > self.applied:
            self.applied = position

    def record_lag(self, now: timedelta) -> None:
        """Record that the target had not applied a required log position."""
        self.lagging_until = now + self._lag_penalty
        self._lag_penalty = min(self._lag_penalty * 2, MAX_LAG_PENALTY)

    def record_caught_up(self) -> None:
        """Record that the target had applied the log position that a read required."""
        self._lag_penalty = FIRST_LAG_PENALTY

    def record_busy(self, now: timedelta) -> None:
        """Record that the queue of the target was full."""
        self.avoided_until = max(self.avoided_until, now + BUSY_PENALTY)

    def record_too_many_connections(self, now: timedelta) -> None:
        """Record that the target had too many connections."""
        self.full_until = now + FULL_PENALTY
        self.avoided_until = max(self.avoided_until, self.full_until)

    def record_failure(self, now: timedelta) -> None:
        """Record a lost connection or a statement without an answer."""
        if now >= self.avoided_until:
            self.avoided_until = now + self._penalty
            self._penalty = min(self._penalty * 2, MAX_PENALTY)

    def expected_latency(self, now: timedelta) -> timedelta:
        """Return the average latency, which decays to the initial value over time."""
        decay = 0.5 ** (max(now - self.latency_updated_at, _ZERO) / LATENCY_HALF_LIFE)
        return INITIAL_LATENCY + (self.latency - INITIAL_LATENCY) * decay


class ReadRouter:
    """Router that chooses the targets of reads by their recorded health.

    ``distance_to`` returns the distance to a domain. Answers a fleet in two regions
    whose reads wait 16 ms for an answer from the other one, and take its bandwidth.
    ``loads`` has what the owners of connections reported.
    """

    def __init__(self, distance_to: Callable[[str], Distance]):
        self.loads = LoadReports()
        self._distance_to = distance_to
        self._health_by_id: dict[str, TargetHealth] = {}

    def health(self, target_id: str) -> TargetHealth:
        """Return the health record of one target."""
        health = self._health_by_id.get(target_id)
        if health is None:
            health = self._health_by_id[target_id] = TargetHealth()
        return health

    def retain_only(self, target_ids: Iterable[str]) -> None:
        """Drop the health and load of all targets except ``target_ids``."""
        kept = set(target_ids)
        self.loads.retain_only(kept)
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
        placed_account: str | None = None,
    ) -> Candidate | Missing:
        """Return the candidate with the lowest cost.

        Replicas must be able to have applied ``required``; the primary has it anyway.
        With a ``placed_account``, the read is placed on the replica that the account
        prefers as long as its load permits; see ``scheduling.placement.place``.
        """
        usable = [
            candidate
            for candidate in candidates
            if candidate.is_primary
            or self._may_have_applied(candidate.target.target_id, required, now)
        ]
        if not usable:
            return Missing("no target is in reach that has applied enough")
        if placed_account is not None:
            placed = self._place(usable, placed_account, now)
            if placed is not None:
                return placed
        return min(usable, key=lambda candidate: self._cost(candidate, now))

    def _place(
        self, usable: list[Candidate], account: str, now: timedelta
    ) -> Candidate | None:
        """Return the replica for an account, ``None`` if all are avoided."""
        replica_by_id = {
            candidate.target.target_id: candidate
            for candidate in usable
            if not candidate.is_primary
            and now >= self.health(candidate.target.target_id).avoided_until
        }
        if not replica_by_id:
            return None
        report_by_id = {
            target_id: candidate.load for target_id, candidate in replica_by_id.items()
        }
        rank_by_id = {
            target_id: RANK_BY_DISTANCE[self._distance_to(candidate.target.domain)]
            for target_id, candidate in replica_by_id.items()
        }
        return replica_by_id[place(account, report_by_id, now, rank_by_id)]

    def _may_have_applied(
        self, target_id: str, required: LogPosition | Missing, now: timedelta
    ) -> bool:
        """Return whether a replica has applied ``required``, or may have.

        A replica with an unknown position is tried unless it lagged recently.
        """
        if isinstance(required, Missing):
            return False
        health = self.health(target_id)
        if health.applied is not None and health.applied >= required:
            return True
        return now >= health.lagging_until

    def _cost(self, candidate: Candidate, now: timedelta) -> tuple[bool, timedelta]:
        """Return whether the target is avoided, and its cost, to sort by."""
        health = self.health(candidate.target.target_id)
        cost = health.expected_latency(now) * (1 + candidate.in_flight)
        distance = self._distance_to(candidate.target.domain)
        cost += COST_BY_DISTANCE[distance]
        if not candidate.has_idle_connection:
            cost += NEW_CONNECTION_COST
            if distance is Distance.OTHER_REGION:
                cost += OTHER_REGION_CONNECTION_COST
        if candidate.is_primary:
            cost += PRIMARY_COST
        return now < health.avoided_until, cost
