"""Placement of the reads of accounts on replicas; no I/O."""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from types import MappingProxyType
from typing import NamedTuple

import xxhash

from bulrushloom.proxy.scheduling.base import TargetLoad

# The preferred replica is kept while its load is at most this multiple of the mean, and
# always with this many requests more: an idle replica is no reason to move.
LOAD_TOLERANCE = 1.25
LOAD_SLACK = 0.25
# Reports are averaged over about this time, so that an account does not alternate.
AVERAGING_TIME = timedelta(milliseconds=500)
# Weight of an older report halves in this time; the rest is the mean of the others.
REPORT_HALF_LIFE = timedelta(seconds=2)
_ZERO = timedelta()


class LoadReport(NamedTuple):
    """Averaged load of a target, in requests, and when it was measured.

    ``limit`` is the number of requests that may run there at the same time.
    """

    requests: float
    measured_at: timedelta
    limit: float = 0.0


class LoadReports:
    """Loads of the targets as their owners reported them with answers."""

    def __init__(self) -> None:
        self._report_by_id: dict[str, LoadReport] = {}

    def record(
        self, target_id: str, load: TargetLoad, age: timedelta, now: timedelta
    ) -> None:
        """Record a load that was measured ``age`` ago. Older reports are ignored."""
        requests, measured_at = float(load.running + load.waiting), now - age
        known = self._report_by_id.get(target_id)
        if known is not None:
            elapsed = measured_at - known.measured_at
            if elapsed < _ZERO:
                return
            weight = 1 - 0.5 ** (elapsed / AVERAGING_TIME)
            requests = known.requests + (requests - known.requests) * weight
        self._report_by_id[target_id] = LoadReport(requests, measured_at, load.limit)

    def get(self, target_id: str) -> LoadReport | None:
        """Return the report of a target, ``None`` if there is none."""
        return self._report_by_id.get(target_id)

    def retain_only(self, target_ids: Iterable[str]) -> None:
        """Drop the reports of all targets except ``target_ids``."""
        kept = set(target_ids)
        self._report_by_id = {
            target_id: report
            for target_id, report in self._report_by_id.items()
            if target_id in kept
        }


def preference(account: str, target_ids: Iterable[str]) -> list[str]:
    """Return the targets in the order in which an account prefers them.

    Rendezvous hashing: when a target is added or removed, only the accounts that prefer
    it are placed elsewhere.
    """

    def weight(target_id: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{account}\0{target_id}".encode()), target_id

    return sorted(target_ids, key=weight, reverse=True)


def place(
    account: str,
    report_by_id: Mapping[str, LoadReport | None],
    now: timedelta,
    distance_by_id: Mapping[str, int] = MappingProxyType({}),
) -> str:
    """Return the target that should run a read of ``account``.

    Answers replicas of which one gets several times the load of another, because each
    instance sees its own statements only, and accounts that alternate between replicas
    and find no open connection. Returns the first target in the order of distance and
    preference whose load is at most a quarter above the mean, else the least loaded
    one. There is at least one target; its report is ``None`` if its owner has not
    reported.

    ``distance_by_id`` ranks the targets; those without a rank are the nearest. A target
    that is nearer than another one is also used while it has room, because the loads
    are those of the own domain, and other domains use the replicas near them.
    """
    load_by_id = _current_loads(report_by_id, now)
    mean = sum(load_by_id.values()) / len(load_by_id)
    bound = max(mean * LOAD_TOLERANCE, mean + LOAD_SLACK)
    order = preference(account, load_by_id)
    order.sort(key=lambda target_id: distance_by_id.get(target_id, 0))
    farthest = distance_by_id.get(order[-1], 0)
    for target_id in order:
        report, load = report_by_id[target_id], load_by_id[target_id]
        is_near = distance_by_id.get(target_id, 0) < farthest
        has_room = report is None or load < report.limit
        if load <= bound or (is_near and has_room):
            return target_id
    return min(order, key=lambda target_id: load_by_id[target_id])


def _current_loads(
    report_by_id: Mapping[str, LoadReport | None], now: timedelta
) -> dict[str, float]:
    """Return the loads; old and missing reports count as the mean of all reports."""
    reports = [report for report in report_by_id.values() if report is not None]
    mean = sum(report.requests for report in reports) / max(1, len(reports))
    load_by_id = {}
    for target_id, report in report_by_id.items():
        load_by_id[target_id] = mean
        if report is not None:
            age = max(now - report.measured_at, _ZERO)
            weight = 0.5 ** (age / REPORT_HALF_LIFE)
            load_by_id[target_id] += (report.requests - mean) * weight
    return load_by_id
