"""Schedulers of the targets that an instance owns, sized for its domain."""

from collections import Counter
from collections.abc import Callable, Mapping
from datetime import timedelta
from random import Random
from typing import TypeVar

from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.scheduling.base import TargetScheduler
from bulrushloom.proxy.scheduling.pace import ColdRate
from bulrushloom.proxy.scheduling.scheduler import (
    DomainTargetScheduler,
    SchedulerSnapshot,
)
from bulrushloom.proxy.telemetry import EventLog, Metrics

REPORT_INTERVAL = timedelta(seconds=1)
K = TypeVar("K")


class TargetSchedulers:
    """Creates the schedulers of targets, and keeps them up to date.

    ``domain_count`` returns the number of domains that share a target, and
    ``cold_limit`` the requests a second that this domain may send to one that has just
    started, ``None`` without a limit.
    """

    def __init__(
        self,
        domain_count: Callable[[], int],
        cold_limit: Callable[[Target], int | None],
        random: Random,
        log: EventLog,
        metrics: Metrics,
    ):
        self._domain_count = domain_count
        self._cold_limit = cold_limit
        self._random = random
        self._log = log
        self._metrics = metrics
        self._scheduler_by_target: dict[str, DomainTargetScheduler] = {}
        self._cold_rate_by_target: dict[str, ColdRate] = {}
        self._reported_by_target: dict[str, SchedulerSnapshot] = {}
        self._next_report_at = timedelta()

    def make(self, target: Target, now: timedelta) -> TargetScheduler:
        """Return a new scheduler for a target."""
        # The previous owner may have sent requests in the last second.
        cold_rate = ColdRate(now, is_first_owner=False)
        cold_rate.set_limit(self._cold_limit(target))
        scheduler = DomainTargetScheduler(
            target.slots,
            self._domain_count(),
            now,
            random=self._random,
            cold_rate=cold_rate,
        )
        self._scheduler_by_target[target.target_id] = scheduler
        self._cold_rate_by_target[target.target_id] = cold_rate
        return scheduler

    def adapt(self, target: Target) -> None:
        """Apply a change of the target or of the number of domains."""
        scheduler = self._scheduler_by_target.get(target.target_id)
        if scheduler is not None:
            scheduler.resize(target.slots, self._domain_count())
            cold_rate = self._cold_rate_by_target[target.target_id]
            cold_rate.set_limit(self._cold_limit(target))

    def forget(self, target_id: str) -> None:
        """Drop the scheduler of a target that is gone."""
        self._scheduler_by_target.pop(target_id, None)
        self._cold_rate_by_target.pop(target_id, None)
        self._reported_by_target.pop(target_id, None)
        for name in ("limit", "running", "waiting"):
            self._metrics.gauges.pop(_gauge_name(name, target_id), None)

    def report(self, now: timedelta) -> None:
        """Count what ended, and log schedulers with waiting or refused requests.

        Called at intervals; reports at most once a second.
        """
        if now < self._next_report_at:
            return
        self._next_report_at = now + REPORT_INTERVAL
        for target_id, scheduler in self._scheduler_by_target.items():
            state = scheduler.snapshot(now)
            known = self._reported_by_target.get(target_id)
            self._reported_by_target[target_id] = state
            ended = _increase(state.ended_by_outcome, known and known.ended_by_outcome)
            refused = _increase(
                state.refused_by_reason, known and known.refused_by_reason
            )
            for outcome, count in ended.items():
                self._metrics.count("scheduler_ended", outcome.value, count)
            for reason, count in refused.items():
                self._metrics.count("scheduler_refused", reason.name.lower(), count)
            if state.waiting or refused:
                self._log.write(
                    "scheduler_state", target=target_id, **state.log_fields()
                )

    def gauges(self) -> dict[str, float]:
        """Return the present values for the metrics, by target."""
        gauges: dict[str, float] = {}
        for target_id, scheduler in self._scheduler_by_target.items():
            load = scheduler.load
            gauges[_gauge_name("limit", target_id)] = load.limit
            gauges[_gauge_name("running", target_id)] = load.running
            gauges[_gauge_name("waiting", target_id)] = load.waiting
        return gauges


def _gauge_name(name: str, target_id: str) -> str:
    return f'scheduler_{name}{{case="{target_id}"}}'


def _increase(counts: Mapping[K, int], before: Mapping[K, int] | None) -> Counter[K]:
    increase = Counter(counts)
    increase.subtract(before or {})
    return +increase
