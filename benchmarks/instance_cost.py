"""Measure the idle cost of an instance and the latency of statements.

Absolute figures depend on the machine, so compare two versions that run at the same
time. CPU time and memory come from ``/proc``, sent bytes from ``/v1/status``.
"""

import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import fire

from benchmarks.callers import Caller
from benchmarks.fleet import Fleet
from benchmarks.measures import (
    cpu_seconds,
    latency_sketch,
    quantile_ms,
    resident_bytes,
)
from benchmarks.plans import SMALL_FLEET

# Time in which share holders are elected, primaries found and instances registered.
SETTLE_TIME_S = 4.0
PAUSE_BETWEEN_STATEMENTS_S = 0.01


class Usage(NamedTuple):
    """Counters of one instance: CPU time in seconds and sent peer traffic."""

    cpu_s: float
    batches: int
    messages: int
    body_bytes: int


def measure(seconds: float = 6.0, statements: int = 200, entries: int = 3) -> None:
    """Print the cost of idle instances and the latency of reads and writes."""
    with tempfile.TemporaryDirectory(prefix="bulrushloom-cost-") as directory:
        fleet = Fleet(SMALL_FLEET._replace(entries=entries), Path(directory))
        try:
            fleet.start()
            time.sleep(SETTLE_TIME_S)
            _print_idle(fleet, seconds)
            _print_latency(fleet, statements)
        finally:
            fleet.stop()


def _print_idle(fleet: Fleet, seconds: float) -> None:
    usage_by_name = {name: _read_usage(fleet, name) for name in fleet.entry_names}
    started = time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - started
    for name, before in usage_by_name.items():
        after = _read_usage(fleet, name)
        cpu, batches, messages, body_bytes = (
            (new - old) / elapsed for new, old in zip(after, before, strict=True)
        )
        resident_mb = resident_bytes(fleet.process_by_name[name].pid) / 1e6
        print(
            f"{name:<14} idle cpu {cpu * 100:5.2f}%  {resident_mb:5.1f} MB"
            f"  sent {batches:6.1f} batches/s {messages:6.1f} messages/s"
            f" {body_bytes / 1000:6.2f} kB/s"
        )


def _print_latency(fleet: Fleet, statements: int) -> None:
    caller = Caller(fleet.api_key("admin"))
    url = fleet.caller_url(fleet.entry_names[0])
    caller.query(url, "orders", "CREATE TABLE cost (id INTEGER)")
    for name, sql in (
        ("read", "SELECT id FROM cost LIMIT 1"),
        ("write", "INSERT INTO cost VALUES (1)"),
    ):
        latencies_us = latency_sketch()
        refused = 0
        for _ in range(statements):
            time.sleep(PAUSE_BETWEEN_STATEMENTS_S)
            reply = caller.query(url, "orders", sql)
            refused += not reply.ok
            latencies_us.add(int(reply.seconds * 1_000_000))
        p50, p90 = (quantile_ms(latencies_us, q) for q in (0.5, 0.9))
        print(f"{name:<14} p50 {p50:.2f} ms  p90 {p90:.2f} ms  refused {refused}")
    caller.close()


def _read_usage(fleet: Fleet, name: str) -> Usage:
    sent = fleet.status(name)["sent"]
    cpu_s = cpu_seconds(fleet.process_by_name[name].pid)
    return Usage(cpu_s, sent["batches"], sent["messages"], sent["body_bytes"])


if __name__ == "__main__":
    fire.Fire(measure)
