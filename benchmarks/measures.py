"""Figures from replies and from the processes of a fleet."""

import json
import os
import signal
import time
from bisect import bisect_left
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks import processes
from benchmarks.fleet import Fleet
from benchmarks.processes import Process

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Span(NamedTuple):
    """Hold the send and the answer time of one statement in seconds."""

    sent: float
    answered: float


class MeasuredFleet(Fleet):
    """Start the instances through ``benchmarks.instance``."""

    variant = ""

    def start_entry(self, name: str) -> Process:
        """Start, or start again, the instance ``name``."""
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
        """Return the bytes of all batches that an instance has sent."""
        path = self.directory / f"{name}.counts"
        path.unlink(missing_ok=True)
        os.kill(self.process_by_name[name].pid, signal.SIGUSR1)
        deadline = time.monotonic() + 5
        while time.monotonic() < deadline:
            if path.exists() and (text := path.read_text()):
                return int(json.loads(text)["body_bytes"])
            time.sleep(0.01)
        raise RuntimeError(f"{name} did not report its counts")


def _peer_address(path: Path) -> str:
    for line in path.read_text().splitlines():
        if line.startswith("peer_address:"):
            return line.partition(": ")[2].strip("'\"")
    raise RuntimeError(f"{path} has no peer address")


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def percentile(values: Iterable[float], part: float) -> float:
    """Return the value below which ``part`` of the values lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def worst_excess(spans: list[Span], rate: float, burst: float) -> float:
    """Return the largest count above rate and burst over any window.

    A statement counts in a window only if the window holds both its send and its
    answer, so a statement that spent its token in between is never miscounted.
    """
    by_answer = sorted(spans, key=lambda span: span.answered)
    worst = 0.0
    starts = sorted({span.sent for span in spans})
    answers = [span.answered for span in by_answer]
    for start in starts:
        count = 0
        for span in by_answer[bisect_left(answers, start) :]:
            if span.sent < start:
                continue
            count += 1
            allowed = rate * (span.answered - start) + burst
            worst = max(worst, count - allowed)
    return worst


def linear_fit(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


class Usage(NamedTuple):
    """Hold processor time, peer bytes and store calls of the fleet so far."""

    time: float
    cpu: float
    peer_bytes: int
    store_calls: int

    def since(self, before: "Usage") -> "Usage":
        """Return the difference to an earlier reading."""
        return Usage(
            self.time - before.time,
            self.cpu - before.cpu,
            self.peer_bytes - before.peer_bytes,
            self.store_calls - before.store_calls,
        )


def usage(fleet: MeasuredFleet) -> Usage:
    """Read the usage of all instances that run."""
    running = [
        name
        for name in fleet.entry_names
        if fleet.process_by_name[name].popen.poll() is None
    ]
    calls: dict[str, Any] = fleet.calls("store")
    return Usage(
        time.monotonic(),
        sum(cpu_seconds(fleet.process_by_name[name].pid) for name in running),
        sum(fleet.peer_bytes(name) for name in running),
        sum(calls.values()),
    )
