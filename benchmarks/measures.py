"""Measurements of the processes of a fleet, and statistics of replies."""

import json
import os
import signal
import time
from bisect import bisect_left
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

from ddsketch import DDSketch

from benchmarks import processes
from benchmarks.fleet import Fleet
from benchmarks.processes import Process

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Relative error of the quantiles of latencies.
LATENCY_ACCURACY = 0.001


class StatementSpan(NamedTuple):
    """The times, in seconds, at which a statement was sent and answered."""

    sent_at: float
    answered_at: float


class MeasuredFleet(Fleet):
    """Fleet whose instances run ``benchmarks.instance``, which reports sent traffic."""

    variant = ""

    def start_entry(self, name: str) -> Process:
        """Start or restart an instance."""
        path = self.directory / f"{name}.yaml"
        process = processes.start_python(
            name,
            _peer_address(path),
            [
                "benchmarks.instance",
                f"--settings={path}",
                f"--variant={self.variant}",
            ],
            self.directory,
        )
        self.process_by_name[name] = process
        return process

    def peer_bytes(self, name: str) -> int:
        """Return the bytes of all message batches that an instance sent to peers."""
        path = self.directory / f"{name}.counts"
        path.unlink(missing_ok=True)
        os.kill(self.process_by_name[name].pid, signal.SIGUSR1)
        deadline = time.monotonic() + 5
        while time.monotonic() < deadline:
            if path.exists() and (text := path.read_text()):
                return int(json.loads(text)["body_bytes"])
            time.sleep(0.01)
        raise RuntimeError(f"{name} did not write its transport counts in time")


def _peer_address(path: Path) -> str:
    for line in path.read_text().splitlines():
        if line.startswith("peer_address:"):
            return line.partition(": ")[2].strip("'\"")
    raise RuntimeError(f"no peer_address in {path}")


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident set size of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def percentile(values: Iterable[float], fraction: float) -> float:
    """Return the value below which ``fraction`` of the values lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def worst_excess(spans: list[StatementSpan], rate: float, burst: float) -> float:
    """Return the largest number of statements above rate and burst in any window.

    A statement counts only if the window contains both its send and its answer time.
    Its token was spent in between, so it is never counted in a wrong window.
    """
    spans_by_answer = sorted(spans, key=lambda span: span.answered_at)
    worst = 0.0
    starts = sorted({span.sent_at for span in spans})
    answers = [span.answered_at for span in spans_by_answer]
    for start in starts:
        count = 0
        for span in spans_by_answer[bisect_left(answers, start) :]:
            if span.sent_at < start:
                continue
            count += 1
            allowed = rate * (span.answered_at - start) + burst
            worst = max(worst, count - allowed)
    return worst


def linear_fit(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line through the points."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    sum_of_squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares
    return slope, mean_y - slope * mean_x


class Usage(NamedTuple):
    """Resource use of a fleet since its start: CPU seconds, peer bytes, store calls.

    ``time`` is the reading of the monotonic clock in seconds.
    """

    time: float
    cpu: float
    peer_bytes: int
    store_calls: int

    def since(self, before: "Usage") -> "Usage":
        """Return the difference from an earlier usage."""
        return Usage(
            self.time - before.time,
            self.cpu - before.cpu,
            self.peer_bytes - before.peer_bytes,
            self.store_calls - before.store_calls,
        )


def read_usage(fleet: MeasuredFleet) -> Usage:
    """Read the usage of all running instances."""
    running = [
        name
        for name in fleet.entry_names
        if fleet.process_by_name[name].popen.poll() is None
    ]
    calls: dict[str, Any] = fleet.call_counts("store")
    return Usage(
        time.monotonic(),
        sum(cpu_seconds(fleet.process_by_name[name].pid) for name in running),
        sum(fleet.peer_bytes(name) for name in running),
        sum(calls.values()),
    )


def latency_sketch() -> DDSketch:
    """Return an empty sketch of latencies in microseconds, accurate to 0.1%."""
    return DDSketch(LATENCY_ACCURACY)


def quantile_ms(latencies_us: DDSketch, quantile: float) -> float:
    """Return a quantile between 0 and 1 in milliseconds; 0 without values."""
    return (latencies_us.get_quantile_value(quantile) or 0.0) / 1000
