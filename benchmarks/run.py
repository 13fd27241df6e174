"""Run a short workload on a small fleet and print the results; used by ``make run``."""

import signal
import sys
import tempfile
import threading
from collections import Counter
from pathlib import Path

import fire

from benchmarks.fleet import Fleet
from benchmarks.history import Findings, History
from benchmarks.measures import latency_sketch, quantile_ms
from benchmarks.plans import SMALL_FLEET
from benchmarks.workload import Pace, Workload

DESCRIPTION_PATH = Path("build/run.json")
DEFAULT_DURATION_S = 10.0


def run(keep: int = 0, seconds: float = DEFAULT_DURATION_S, seed: int = 1) -> None:
    """Run the workload; with ``keep``, keep the fleet running until interrupted."""
    with tempfile.TemporaryDirectory(prefix="bulrushloom-run-") as directory:
        fleet = Fleet(SMALL_FLEET, Path(directory))
        try:
            fleet.start()
            fleet.write_description(DESCRIPTION_PATH)
            findings = _run_workload(fleet, seconds, seed)
            if keep:
                _wait_for_interrupt()
        finally:
            status_by_name = fleet.stop()
    failed_status_by_name = {
        name: status for name, status in status_by_name.items() if status
    }
    if failed_status_by_name:
        sys.exit(f"run failed: processes ended with {failed_status_by_name}")
    if not findings.is_clean:
        sys.exit("run failed: see the violations above")
    print("run ok")


def _run_workload(fleet: Fleet, seconds: float, seed: int) -> Findings:
    workload = Workload(fleet, Pace(seconds), seed)
    try:
        workload.create_tables()
        workload.run()
        findings = workload.history.check(workload.read_stored_tokens())
    finally:
        workload.close()
    print_report(workload.history, findings)
    return findings


def print_report(history: History, findings: Findings) -> None:
    """Print the table of results and up to ten violations of each kind."""
    refusals = Counter(reply.kind for _, _, reply in history.replies if not reply.ok)
    latencies_us = latency_sketch()
    for _, _, reply in history.replies:
        if reply.ok:
            latencies_us.add(int(reply.seconds * 1_000_000))
    rows = [
        ("statements", str(len(history.replies))),
        (
            "refused",
            f"{sum(refusals.values())} {dict(refusals) if refusals else ''}".strip(),
        ),
        ("replica share of reads", f"{history.replica_read_fraction():.3f}"),
        ("latency p50 (ms)", f"{quantile_ms(latencies_us, 0.5):.1f}"),
        ("latency p99 (ms)", f"{quantile_ms(latencies_us, 0.99):.1f}"),
        ("read-your-writes violations", str(len(findings.stale_reads))),
        ("lost", str(len(findings.lost_writes))),
        ("doubled", str(len(findings.duplicate_writes))),
        ('false "not run"', str(len(findings.executed_refusals))),
        ("rows of other sessions", str(len(findings.foreign_rows))),
    ]
    for name, value in rows:
        print(f"{name:<30} {value}")
    for violations in findings:
        for text in violations[:10]:
            print(f"violation: {text}")


def _wait_for_interrupt() -> None:
    print(f"fleet is running, see {DESCRIPTION_PATH}; press Ctrl-C to stop it")
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    try:
        stopped.wait()
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    fire.Fire(run)
