"""``make run``: a small fleet, a short real workload, and a table of results."""

import signal
import sys
import tempfile
import threading
from collections import Counter
from pathlib import Path

import fire
from hdrh.histogram import HdrHistogram

from benchmarks.fleet import Fleet
from benchmarks.history import Findings, History
from benchmarks.plans import SMALL_FLEET
from benchmarks.workload import Pace, Workload

DESCRIPTION_PATH = Path("build/run.json")
DEFAULT_SECONDS = 10.0


def run(keep: int = 0, seconds: float = DEFAULT_SECONDS, seed: int = 1) -> None:
    """Run the workload; with ``keep`` stay up until interrupted."""
    with tempfile.TemporaryDirectory(prefix="bulrushloom-run-") as directory:
        fleet = Fleet(SMALL_FLEET, Path(directory))
        try:
            fleet.start()
            fleet.write_description(DESCRIPTION_PATH)
            findings = _work(fleet, seconds, seed)
            if keep:
                _wait_for_interrupt()
        finally:
            status_by_name = fleet.stop()
    failed = {name: status for name, status in status_by_name.items() if status}
    if failed:
        sys.exit(f"run failed: processes ended with {failed}")
    if not findings.clean:
        sys.exit("run failed: see the violations above")
    print("run ok")


def _work(fleet: Fleet, seconds: float, seed: int) -> Findings:
    workload = Workload(fleet, Pace(seconds), seed)
    try:
        workload.prepare()
        workload.run()
        findings = workload.history.check(workload.stored_tokens())
    finally:
        workload.close()
    print_report(workload.history, findings)
    return findings


def print_report(history: History, findings: Findings) -> None:
    """Print the table of results and each violation."""
    kinds = Counter(reply.kind for _, _, reply in history.replies if not reply.ok)
    latencies = HdrHistogram(1, 60_000_000, 3)
    for _, _, reply in history.replies:
        if reply.ok:
            latencies.record_value(int(reply.seconds * 1_000_000))
    rows = [
        ("statements", str(len(history.replies))),
        ("refused", f"{sum(kinds.values())} {dict(kinds) if kinds else ''}".strip()),
        ("replica share of reads", f"{history.share_of_replica_reads():.3f}"),
        ("latency p50 (ms)", f"{latencies.get_value_at_percentile(50) / 1000:.1f}"),
        ("latency p99 (ms)", f"{latencies.get_value_at_percentile(99) / 1000:.1f}"),
        ("read-your-writes violations", str(len(findings.stale_reads))),
        ("lost", str(len(findings.lost))),
        ("doubled", str(len(findings.doubled))),
        ('false "not run"', str(len(findings.false_refusals))),
        ("rows of other sessions", str(len(findings.foreign_rows))),
    ]
    for name, value in rows:
        print(f"{name:<30} {value}")
    for violations in findings:
        for text in violations[:10]:
            print(f"violation: {text}")


def _wait_for_interrupt() -> None:
    print(f"staying up; {DESCRIPTION_PATH} describes the fleet; Ctrl-C ends it")
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    try:
        stopped.wait()
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    fire.Fire(run)
