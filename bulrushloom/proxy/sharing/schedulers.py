"""Schedulers of the targets that an instance owns, sized for its domain."""

from collections.abc import Callable
from datetime import timedelta
from random import Random

from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.scheduling.base import TargetScheduler
from bulrushloom.proxy.scheduling.pace import ColdRate
from bulrushloom.proxy.scheduling.scheduler import DomainTargetScheduler
from bulrushloom.proxy.telemetry import EventLog

LOG_INTERVAL = timedelta(seconds=10)


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
    ):
        self._domain_count = domain_count
        self._cold_limit = cold_limit
        self._random = random
        self._log = log
        self._scheduler_by_target: dict[str, DomainTargetScheduler] = {}
        self._cold_rate_by_target: dict[str, ColdRate] = {}
        self._logged_by_target: dict[str, tuple[int, int]] = {}
        self._next_log_at = timedelta()

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
        self._logged_by_target.pop(target_id, None)

    def log_loads(self, now: timedelta) -> None:
        """Log the state of the schedulers that had requests since the last line."""
        if now < self._next_log_at:
            return
        self._next_log_at = now + LOG_INTERVAL
        for target_id, scheduler in self._scheduler_by_target.items():
            state = scheduler.snapshot(now)
            ended = sum(state.ended_by_outcome.values())
            refused = sum(state.refused_by_reason.values())
            if self._logged_by_target.get(target_id, (0, 0)) == (ended, refused):
                continue
            self._logged_by_target[target_id] = (ended, refused)
            self._log.write(
                "target_load",
                target=target_id,
                limit=round(state.limit, 2),
                running=state.running,
                waiting=state.waiting,
                drain_interval=state.drain_interval,
                latency_ratio=round(state.latency_ratio, 2),
                ended={k.value: n for k, n in state.ended_by_outcome.items()},
                refused={k.name.lower(): n for k, n in state.refused_by_reason.items()},
            )
