"""Scheduler of the requests of one domain to one target; no I/O."""

import math
from collections import Counter
from collections.abc import Mapping
from datetime import timedelta
from enum import Enum
from random import Random
from typing import NamedTuple

from bulrushloom.proxy.scheduling.base import (
    Refusal,
    TargetLoad,
    TargetScheduler,
    WorkOutcome,
    WorkRequest,
)
from bulrushloom.proxy.scheduling.drain import DrainRate
from bulrushloom.proxy.scheduling.limit import ConcurrencyLimit
from bulrushloom.proxy.scheduling.pace import ColdRate, RestartPace
from bulrushloom.proxy.scheduling.returns import MAX_RETRY_AFTER, ReturnSchedule
from bulrushloom.proxy.scheduling.running import RunningRequest, RunningRequests
from bulrushloom.proxy.scheduling.waiting import WaitingRequests

# Bound of the memory for waiting requests. A target with 4 slots takes 700 bookings of
# 4.5 ms in the 0.8 s for which a caller waits, and a domain has a part of its slots.
MAX_WAITING = 512
# The drain rate is an estimate. A request is refused as hopeless only if it would be
# late even with a drain that is faster by a quarter.
CERTAINTY = 0.8
# Interval of the check whether waiting requests have become hopeless because more
# urgent ones came or the target has become slower.
RECHECK_INTERVAL = timedelta(milliseconds=20)
# A target that answered BUSY has 32 queued requests; some of them end in this time.
BUSY_PAUSE = timedelta(milliseconds=10)
# The most urgent requests have one place beyond the limit. At a limit of one, they
# would wait until a long request of another priority ends.
URGENT_PLACES = 1
_ZERO = timedelta()


class RefusalReason(Enum):
    """Why a request was refused; the value is told to the caller."""

    LATE = "the target did not take the request in time"
    HOPELESS = "the requests that are ahead take longer than the caller waits"
    DISPLACED = "too many more urgent requests wait for the target"


class SchedulerSnapshot(NamedTuple):
    """State and counts since the start of a scheduler, for metrics and log lines.

    ``pace_limit`` is infinite unless the target has restarted, and ``cold_per_s`` is
    ``None`` unless a hard limit applies. ``drain_interval`` is the time in which the
    target takes one waiting request of this domain.
    """

    limit: float
    pace_limit: float
    cold_per_s: int | None
    running: int
    waiting: int
    drain_interval: timedelta
    latency_ratio: float
    ended_by_outcome: Mapping[WorkOutcome, int]
    refused_by_reason: Mapping[RefusalReason, int]

    def log_fields(self) -> dict[str, object]:
        """Return the fields of a log line; the intervals are in milliseconds."""
        has_pace = math.isfinite(self.pace_limit)
        outcomes, reasons = self.ended_by_outcome, self.refused_by_reason
        return {
            "limit": round(self.limit, 1),
            "pace_limit": round(self.pace_limit, 1) if has_pace else None,
            "cold_per_s": self.cold_per_s,
            "running": self.running,
            "waiting": self.waiting,
            "drain_interval": round(self.drain_interval / timedelta(milliseconds=1), 1),
            "latency_ratio": round(self.latency_ratio, 2),
            "ended": {outcome.value: outcomes[outcome] for outcome in outcomes},
            "refused": {reason.name.lower(): reasons[reason] for reason in reasons},
        }


class DomainTargetScheduler(TargetScheduler):
    """Scheduler whose limit and estimates follow the answers of the target.

    Answers more requests than a target can serve in time: the urgent ones start first,
    those that miss their objective wait behind the others of their priority, and what
    is hopeless is refused at once with a time to return.

    ``slots`` is the number of statements that the target runs at the same time, and
    ``domain_count`` the number of domains that have schedulers for it. ``random``
    spreads the times to return. A ``cold_rate`` is shared with the sender of further
    statements of transactions, which count as well.
    """

    def __init__(
        self,
        slots: int,
        domain_count: int,
        now: timedelta,
        *,
        random: Random | None = None,
        limit: ConcurrencyLimit | None = None,
        pace: RestartPace | None = None,
        cold_rate: ColdRate | None = None,
        max_waiting: int = MAX_WAITING,
    ):
        self._limit = limit or ConcurrencyLimit(slots, domain_count)
        self._pace = pace or RestartPace()
        self._cold_rate = cold_rate or ColdRate(now)
        self._drain = DrainRate(self._limit.share)
        self._returns = ReturnSchedule(random or Random())
        self._waiting = WaitingRequests()
        self._max_waiting = max_waiting
        self._running = RunningRequests(self._limit.usual_latency)
        self._unsent_ids: set[int] = set()
        self._displaced: list[WorkRequest] = []
        self._busy_until = now
        self._checked_at = now
        self._ended_by_outcome: Counter[WorkOutcome] = Counter()
        self._refused_by_reason: Counter[RefusalReason] = Counter()

    @property
    def load(self) -> TargetLoad:
        """Return the current load."""
        return TargetLoad(len(self._running), len(self._waiting), self._current_limit())

    def snapshot(self, now: timedelta) -> SchedulerSnapshot:
        """Return the state for metrics and log lines."""
        return SchedulerSnapshot(
            limit=self._current_limit(),
            pace_limit=self._pace.limit,
            cold_per_s=self._cold_rate.per_s,
            running=len(self._running),
            waiting=len(self._waiting),
            drain_interval=self._drain.interval(now),
            latency_ratio=self._limit.latency_ratio,
            ended_by_outcome=dict(self._ended_by_outcome),
            refused_by_reason=dict(self._refused_by_reason),
        )

    def resize(self, slots: int, domain_count: int) -> None:
        """Apply another number of slots or domains."""
        self._limit.resize(slots, domain_count)

    # Requests

    def submit(self, request: WorkRequest, now: timedelta) -> Refusal | None:
        """Add a request; return a refusal if it surely cannot be served in time.

        If too many requests wait, the last one in the order is displaced, and the next
        ``expire`` returns its refusal.
        """
        if now > request.start_deadline:
            return self._refuse(request, RefusalReason.LATE, now)
        ahead = self._waiting.count_ahead(request, is_late=False)
        is_late = self._misses_objective(request, ahead, now)
        if is_late:
            ahead = self._waiting.count_ahead(request, is_late=True)
            if self._is_hopeless(request, ahead, now):
                return self._refuse(request, RefusalReason.HOPELESS, now)
        if len(self._waiting) >= self._max_waiting:
            if ahead == len(self._waiting):
                return self._refuse(request, RefusalReason.DISPLACED, now)
            self._displace_last()
        self._waiting.add(request, is_late)
        if self._free_places() <= 0:
            self._drain.record_wait(now)
        return None

    def admit(self, now: timedelta) -> list[int]:
        """Return the ids of the requests that start now, the next one first."""
        admitted: list[int] = []
        if now < self._busy_until:
            return admitted
        for request in self._waiting:
            if not self._has_place(request) or not self._cold_rate.allows(now):
                break
            if now <= request.start_deadline:
                self._start(request, now)
                admitted.append(request.request_id)
        return admitted

    def expire(self, now: timedelta) -> list[Refusal]:
        """Remove and return the waiting requests that can no longer start in time."""
        refused = [
            (request, RefusalReason.DISPLACED) for request in self._displaced
        ] + self._overdue(now)
        self._displaced.clear()
        self._checked_at = now
        for request, _ in refused:
            self._waiting.remove(request.request_id)
        return [self._refuse(request, reason, now) for request, reason in refused]

    def cancel(self, request_id: int) -> None:
        """Remove a waiting request whose caller does not wait any more."""
        self._waiting.remove(request_id)
        self._displaced = [
            request for request in self._displaced if request.request_id != request_id
        ]

    def record_sent(self, request_id: int, now: timedelta) -> None:
        """Record that a statement of an admitted request is sent to the target."""
        if request_id in self._unsent_ids:
            self._unsent_ids.remove(request_id)
            self._cold_rate.end_reservation()
        self._running.record_sent(request_id, now)
        self._cold_rate.record(now)

    def finish(
        self,
        request_id: int,
        outcome: WorkOutcome,
        duration: timedelta | None,
        now: timedelta,
    ) -> None:
        """Free the place of an admitted request.

        ``duration`` is the time from sending one statement to its answer, if one was
        answered.
        """
        running = self._running.end(request_id)
        if running is None:
            return
        if request_id in self._unsent_ids:
            self._unsent_ids.remove(request_id)
            self._cold_rate.end_reservation()
        self._ended_by_outcome[outcome] += 1
        if outcome is WorkOutcome.SERVED:
            self._drain.record_end(now, bool(self._waiting))
            if duration is not None:
                self._record_answer(running, duration)
                self._running.record_answer(now - duration, now)
        elif outcome is not WorkOutcome.UNUSED and not running.is_lost:
            self._limit.record_refusal(now)
            self._pace.record_refusal()
        if not self._waiting:
            self._drain.record_idle()
        if outcome is WorkOutcome.BUSY:
            self._busy_until = now + BUSY_PAUSE

    def record_restart(self, now: timedelta) -> None:
        """Record that the target has started or answers again after a failure."""
        self._limit.restart()
        self._pace.restart(self._limit.share)
        self._drain.restart(self._limit.share)
        self._busy_until = now

    def next_event_at(self, now: timedelta) -> timedelta | None:
        """Return when ``admit`` or ``expire`` may have a result without a call."""
        if self._displaced:
            return now
        deadline = self._waiting.earliest_deadline
        if deadline is None:
            return None
        times = [deadline, max(now, self._checked_at + RECHECK_INTERVAL)]
        if self._has_place(next(iter(self._waiting))):
            allowed_at = self._cold_rate.allowed_at(now)
            if allowed_at is not None:
                times.append(max(now, self._busy_until, allowed_at))
        return min(times)

    # Decisions

    def _current_limit(self) -> float:
        return min(self._limit.value, self._pace.limit)

    def _free_places(self) -> int:
        return math.floor(self._current_limit()) - len(self._running)

    def _has_place(self, request: WorkRequest) -> bool:
        is_urgent = request.priority <= 0
        return self._free_places() + (URGENT_PLACES if is_urgent else 0) > 0

    def _start(self, request: WorkRequest, now: timedelta) -> None:
        self._waiting.remove(request.request_id)
        self._cold_rate.reserve()
        self._unsent_ids.add(request.request_id)
        was_last = bool(self._waiting) or self._free_places() <= 1
        running = RunningRequest(request.priority, was_last)
        self._running.start(request.request_id, running)
        if self._waiting and self._free_places() <= 0:
            self._drain.record_wait(now)

    def _record_answer(self, running: RunningRequest, duration: timedelta) -> None:
        is_in_use = running.was_last or bool(self._waiting)
        may_grow = is_in_use and not self._pace.is_active
        self._limit.record_answer(duration, running.priority, may_grow)
        self._pace.record_answer(self._limit.is_near_baseline)

    def _displace_last(self) -> None:
        last = self._waiting.last()
        self._waiting.remove(last.request_id)
        self._displaced.append(last)

    def _overdue(self, now: timedelta) -> list[tuple[WorkRequest, RefusalReason]]:
        """Return the waiting requests that can no longer start in time."""
        self._put_late_ones_behind(now)
        overdue = []
        ahead = 0
        for request in self._waiting:
            if now >= request.start_deadline:
                overdue.append((request, RefusalReason.LATE))
            elif self._is_hopeless(request, ahead, now):
                overdue.append((request, RefusalReason.HOPELESS))
            else:
                ahead += 1
        return overdue

    def _put_late_ones_behind(self, now: timedelta) -> None:
        """Put requests that will miss their objective behind those that may meet it."""
        late = []
        ahead = 0
        for request in self._waiting:
            is_known = self._waiting.is_late(request.request_id)
            if not is_known and self._misses_objective(request, ahead, now):
                late.append(request)
            else:
                ahead += 1
        for request in late:
            self._waiting.remove(request.request_id)
            self._waiting.add(request, is_late=True)

    def _misses_objective(
        self, request: WorkRequest, ahead: int, now: timedelta
    ) -> bool:
        return now >= request.in_time_until or (
            self._wait(ahead, now) * CERTAINTY > request.in_time_until - now
        )

    def _is_hopeless(self, request: WorkRequest, ahead: int, now: timedelta) -> bool:
        remaining = request.start_deadline - now
        return self._wait(ahead, now) * CERTAINTY > remaining

    def _wait(self, ahead: int, now: timedelta) -> timedelta:
        """Return the expected wait of a request with ``ahead`` others before it."""
        cold_at = self._cold_rate.allowed_at(now, ahead)
        if cold_at is None:
            return timedelta.max
        behind_places = ahead + 1 - max(0, self._free_places())
        drained_in = max(0, behind_places) * self._drain.interval(now)
        return max(drained_in, cold_at - now)

    def _refuse(
        self, request: WorkRequest, reason: RefusalReason, now: timedelta
    ) -> Refusal:
        """Return the refusal of a request that does not wait."""
        self._refused_by_reason[reason] += 1
        ahead = self._waiting.count_ahead(request, is_late=False)
        wait = self._wait(ahead, now)
        # A caller that returns wants to be served within its objective.
        patience = max(request.in_time_until - request.requested_at, _ZERO)
        drained_in = min(max(wait - patience, _ZERO), MAX_RETRY_AFTER)
        retry_after = self._returns.retry_after(
            request.priority, drained_in, self._drain.interval(now), now
        )
        return Refusal(request.request_id, reason.value, retry_after)
