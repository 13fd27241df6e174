"""Fleets and workloads for the process tests."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from benchmarks.callers import Caller, Reply
from benchmarks.fleet import Fleet
from benchmarks.history import Findings
from benchmarks.plans import SMALL_FLEET, FleetPlan
from benchmarks.workload import Pace, Workload

# The objective for the failover gap on the design page.
MAX_FAILOVER_GAP_S = 12.0

PLAN = SMALL_FLEET._replace(entries=6)


@contextmanager
def running_fleet(directory: Path, plan: FleetPlan = PLAN) -> Iterator[Fleet]:
    fleet = Fleet(plan, directory)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.stop()


class Load:
    """A workload that runs in the background of a test."""

    def __init__(self, fleet: Fleet, pace: Pace, seed: int):
        self.workload = Workload(fleet, pace, seed)
        self.workload.create_tables()
        self._futures = self.workload.start()

    @property
    def history(self):
        return self.workload.history

    def finish(self) -> Findings:
        """Stop the workload and compare its history with the databases."""
        self.workload.finish(self._futures)
        try:
            return self.history.check(self.workload.read_stored_tokens())
        finally:
            self.workload.close()

    def acknowledged_writes(self, account: str) -> list[Reply]:
        replies = [
            reply
            for name, kind, reply in self.history.replies
            if name == account and kind == "write" and reply.ok
        ]
        return sorted(replies, key=lambda reply: reply.ended_at)

    def longest_gap(self, account: str) -> float:
        """Return the longest time between two acknowledged writes in seconds."""
        ends = [reply.ended_at for reply in self.acknowledged_writes(account)]
        return max(
            later - earlier for earlier, later in zip(ends, ends[1:], strict=False)
        )


def load(fleet: Fleet, seconds: float, seed: int = 1, **pace) -> Load:
    return Load(fleet, Pace(seconds, pause_s=0.05, **pace), seed)


def caller(fleet: Fleet, account: str) -> Caller:
    return Caller(fleet.api_key(account))


def wait_until(condition: Callable[[], bool], seconds: float, what: str) -> float:
    """Wait for a condition and return the waiting time in seconds."""
    started = time.monotonic()
    while time.monotonic() - started < seconds:
        if condition():
            return time.monotonic() - started
        time.sleep(0.05)
    raise AssertionError(f"not within {seconds} s: {what}")


def share_holders(fleet: Fleet) -> list[str]:
    """Return the names of the instances that hold a share of their domain."""
    return [
        name
        for name in fleet.entry_names
        if "holding" in fleet.status(name)["shares"].values()
    ]


def cut_domain(fleet: Fleet, domain: str) -> None:
    """Partition a domain from the other domains and from the platform."""
    others = [name for name in fleet.plan.domains if name != domain]
    for name in [*fleet.entry_names, *fleet.target_names]:
        inside = fleet.domain_by_name[name] == domain
        fleet.set_faults(name, cut=others if inside else [domain])
    for name in ("store", "directory"):
        fleet.set_faults(name, cut=[domain])


def heal(fleet: Fleet) -> None:
    """End all partitions."""
    for name in fleet.process_by_name:
        fleet.set_faults(name, cut=[])
