"""Run the benchmark cases of ``make bench`` and print a table and a JSON summary."""

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
from benchmarks.cases import CASE_BY_NAME, NETWORK_DELAY_MS, Outcome
from benchmarks.deployments import PLAN_BY_DEPLOYMENT
from benchmarks.load import Load
from benchmarks.measures import MeasuredFleet

# Selects the worst figure of all cases and deployments, by key of the summary.
WORST_BY_KEY = {
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
SUMMARY_DIGITS = 5
BASELINES_CASE = "baselines"


def bench(
    case: str = "", deployment: str = "", seed: int = 1, variant: str = ""
) -> None:
    """Run all cases in both deployments, or only one case or deployment.

    ``variant`` names a baseline policy of ``benchmarks.instance`` with which every
    instance is started. The case ``baselines`` compares policies in memory.
    """
    outcomes = []
    if case in ("", BASELINES_CASE):
        baselines.main(seed=seed)
    if case != BASELINES_CASE:
        deployments = [deployment] if deployment else list(PLAN_BY_DEPLOYMENT)
        for name in deployments:
            outcomes += _run_cases(
                name, [case] if case else list(CASE_BY_NAME), seed, variant
            )
    stale_reads = [text for outcome in outcomes for text in outcome.stale_reads]
    for text in stale_reads[:10]:
        print(f"violation: {text}")
    print(json.dumps(summary(outcomes)), flush=True)
    if stale_reads:
        sys.exit(1)


def summary(outcomes: list[Outcome]) -> dict[str, Any]:
    """Return the worst figure for each key, or ``None`` if no case measured it."""
    worst: dict[str, Any] = {}
    for key, select_worst in WORST_BY_KEY.items():
        values = [
            outcome.figures[key] for outcome in outcomes if key in outcome.figures
        ]
        figure_name, _, percentile_name = key.partition(".")
        value = round(float(select_worst(values)), SUMMARY_DIGITS) if values else None
        if percentile_name:
            worst.setdefault(figure_name, {})[percentile_name] = value
        else:
            worst[figure_name] = value
    return worst


def _run_cases(
    deployment: str, cases: list[str], seed: int, variant: str
) -> list[Outcome]:
    outcomes = []
    with _running_fleet(deployment, variant) as fleet:
        _prepare(fleet, seed)
        for case in cases:
            started = time.monotonic()
            outcome = CASE_BY_NAME[case](fleet, seed)
            _print_outcome(deployment, case, time.monotonic() - started, outcome)
            outcomes.append(outcome)
    return outcomes


@contextmanager
def _running_fleet(deployment: str, variant: str) -> Iterator[MeasuredFleet]:
    with ExitStack() as stack:
        for is_last_attempt in (False, False, True):
            directory = tempfile.TemporaryDirectory(prefix="bulrushloom-bench-")
            path = Path(stack.enter_context(directory))
            fleet = MeasuredFleet(PLAN_BY_DEPLOYMENT[deployment], path)
            fleet.variant = variant
            stack.callback(fleet.stop)
            try:
                fleet.start()
                break
            except RuntimeError as error:
                # Another process may have bound a port between the search for free
                # ports and the start.
                if is_last_attempt:
                    raise
                print(f"{deployment}: restarting the fleet: {error}", flush=True)
                fleet.stop()
        yield fleet


def _prepare(fleet: MeasuredFleet, seed: int) -> None:
    """Simulate network delays and create the tables of the load."""
    for name in fleet.entry_names:
        fleet.set_faults(name, delay_ms=NETWORK_DELAY_MS)
    for name in ("store", *fleet.target_names):
        fleet.set_faults(name, slow_ms=NETWORK_DELAY_MS)
    load = Load(fleet, seed)
    load.create_tables()
    load.finish()


def _print_outcome(
    deployment: str, case: str, seconds: float, outcome: Outcome
) -> None:
    print(f"{deployment}, {case} ({seconds:.0f} s)")
    for name, value in outcome.table_rows:
        print(f"  {name:<44} {value}")
    sys.stdout.flush()


if __name__ == "__main__":
    fire.Fire(bench)
