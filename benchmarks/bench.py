"""``make bench``: both deployments in every case, a table and one JSON line."""

import json
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

import fire

from benchmarks import baselines
from benchmarks.cases import CASES, NETWORK_MS, Outcome
from benchmarks.deployments import PLAN_BY_DEPLOYMENT
from benchmarks.load import Load
from benchmarks.measures import MeasuredFleet

# How the figures of cases and deployments join: the worst one counts.
WORST = {
    "replica_read_share": min,
    "failover_gap_s": max,
    "worst_account_share": min,
    "wrongful_refusals": max,
    "over_rate": max,
    "statements_per_s_per_core": min,
    "added_latency_ratio.p50": max,
    "added_latency_ratio.p99": max,
    "idle_connection_bytes": max,
    "control_cpu_percent": max,
    "control_bytes_per_s": max,
    "store_calls_per_s": max,
}
DIGITS = 5
BASELINES = "baselines"


def bench(
    case: str = "", deployment: str = "", seed: int = 1, variant: str = ""
) -> None:
    """Run all cases, or one, in both deployments, or one.

    ``variant`` starts every instance with a baseline of ``benchmarks.instance``. The
    case ``baselines`` compares policies in memory.
    """
    outcomes = []
    if case in ("", BASELINES):
        baselines.main(seed=seed)
    if case != BASELINES:
        names = [deployment] if deployment else list(PLAN_BY_DEPLOYMENT)
        for name in names:
            outcomes += _run(name, [case] if case else list(CASES), seed, variant)
    stale = [text for outcome in outcomes for text in outcome.stale_reads]
    for text in stale[:10]:
        print(f"violation: {text}")
    print(json.dumps(summary(outcomes)), flush=True)
    if stale:
        sys.exit(1)


def summary(outcomes: list[Outcome]) -> dict[str, Any]:
    """Return the worst figure for each key; null if no case gave it."""
    worst: dict[str, Any] = {}
    for key, join in WORST.items():
        values = [o.figures[key] for o in outcomes if key in o.figures]
        name, _, part = key.partition(".")
        value = round(float(join(values)), DIGITS) if values else None
        if part:
            worst.setdefault(name, {})[part] = value
        else:
            worst[name] = value
    return worst


def _run(deployment: str, cases: list[str], seed: int, variant: str) -> list[Outcome]:
    outcomes = []
    with _running(deployment, variant) as fleet:
        _prepare(fleet, seed)
        for case in cases:
            started = time.monotonic()
            outcome = CASES[case](fleet, seed)
            _show(deployment, case, time.monotonic() - started, outcome)
            outcomes.append(outcome)
    return outcomes


@contextmanager
def _running(deployment: str, variant: str) -> Iterator[MeasuredFleet]:
    with ExitStack() as stack:
        for last in (False, False, True):
            directory = tempfile.TemporaryDirectory(prefix="bulrushloom-bench-")
            path = Path(stack.enter_context(directory))
            fleet = MeasuredFleet(PLAN_BY_DEPLOYMENT[deployment], path)
            fleet.variant = variant
            stack.callback(fleet.stop)
            try:
                fleet.start()
                break
            except RuntimeError as error:
                # Another process may have taken a port that was free a moment ago.
                if last:
                    raise
                print(f"{deployment}: started again, because {error}", flush=True)
                fleet.stop()
        yield fleet


def _prepare(fleet: MeasuredFleet, seed: int) -> None:
    for name in fleet.entry_names:
        fleet.fault(name, delay_ms=NETWORK_MS)
    for name in ("store", *fleet.target_names):
        fleet.fault(name, slow_ms=NETWORK_MS)
    load = Load(fleet, seed)
    load.prepare()
    load.finish()


def _show(deployment: str, case: str, seconds: float, outcome: Outcome) -> None:
    print(f"{deployment}, {case} ({seconds:.0f} s)")
    for name, value in outcome.lines:
        print(f"  {name:<44} {value}")
    sys.stdout.flush()


if __name__ == "__main__":
    fire.Fire(bench)
