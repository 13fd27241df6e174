"""Run the model checker on the specifications of this directory.

Each configuration must hold without faults, and each fault that the specifications
offer must break the assertion that is named for it.
"""

import re
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

SPECS = Path(__file__).parent
PARALLEL_RUNS = 4
MEMORY_MB = 1200
SECONDS_PER_RUN = 60
MAX_DEPTH = 20_000
HASH_TABLE_BITS = 22


class Run(NamedTuple):
    """Describe one run; ``violated`` names the assertion that must fail, if any."""

    name: str
    specification: str
    defines: tuple[str, ...]
    violated: str = ""


class Outcome(NamedTuple):
    """Hold what the checker reported; ``problem`` is empty when as expected."""

    run: Run
    states: int
    problem: str


def failover(
    name: str,
    watchers: int,
    rounds: int,
    writes: int,
    crashes: int = 0,
    wipes: int = 0,
    violated: str = "",
    fault: str = "",
) -> Run:
    """Return a run of the failover specification with these bounds."""
    bounds = {
        "WATCHERS": watchers,
        "ROUNDS": rounds,
        "WRITES": writes,
        "CRASHES": crashes,
        "WIPES": wipes,
    }
    defines = [f"-D{key}={value}" for key, value in bounds.items()]
    if fault:
        defines.append(f"-DFAULT_{fault}")
    return Run(name, "failover.pml", tuple(defines), violated)


def failover_fault(fault: str, violated: str, **bounds: int) -> Run:
    """Return a run of the failover specification with one fault."""
    chosen = {"watchers": 2, "rounds": 1, "writes": 1} | bounds
    name = f"failover {fault}"
    return failover(name, **chosen, violated=violated, fault=fault)


def coordination(part: str, fault: str = "", violated: str = "") -> Run:
    """Return a run of one part of the coordination specification."""
    defines = [f"-DPART_{part}"]
    if fault:
        defines.append(f"-DFAULT_{fault}")
    name = f"coordination {part.lower()} {fault}".rstrip()
    return Run(name, "coordination.pml", tuple(defines), violated)


def promotion(fault: str = "", violated: str = "") -> Run:
    """Return a run of the change of primary on the platform."""
    defines = (f"-DFAULT_{fault}",) if fault else ()
    return Run(f"promotion {fault}".rstrip(), "promotion.pml", defines, violated)


RUNS = (
    failover("failover, two watchers with two rounds", 2, 2, 1),
    failover("failover, two watchers and two writes", 2, 1, 2),
    failover("failover, server restart with its log", 2, 1, 1, crashes=1),
    failover("failover, server restart without its log", 1, 2, 2, wipes=1),
    failover("failover, two watchers and a lost log", 2, 1, 1, wipes=1),
    failover_fault("TERM_GRANTED_TWICE", "two_primaries_in_term"),
    failover_fault("TERM_FORGOTTEN", "two_primaries_in_term", crashes=1),
    failover_fault("CANDIDATE_REUSED", "two_primaries_in_term", watchers=1, rounds=2),
    failover_fault("FENCE_MINORITY", "acknowledged_write_lost", watchers=1),
    failover_fault("PROMOTE_ANY", "acknowledged_write_lost"),
    failover_fault(
        "EMPTY_COUNTS", "acknowledged_write_lost", watchers=1, rounds=2, wipes=1
    ),
    failover_fault(
        "EMPTY_FOLLOWS", "acknowledged_write_lost", watchers=1, rounds=2, wipes=1
    ),
    failover_fault("ACK_ALONE", "acknowledged_write_lost"),
    failover_fault("ACK_ANY_TERM", "replaced_primary_acknowledged"),
    promotion(),
    promotion("TIMEOUT_CONFIRMS", "acknowledged_write_lost"),
    promotion("CONFIRM_EARLY", "replaced_primary_acknowledged"),
    promotion("NO_PAUSE", "replaced_primary_acknowledged"),
    promotion("PROMOTE_ANY", "replaced_primary_acknowledged"),
    promotion("PUBLISH_EARLY", "stale_primary_read"),
    promotion("EVIDENCE_FROM_ANSWER", "stale_primary_read"),
    coordination("RULES"),
    coordination("RULES", "BLIND_WRITE", "accepted_configuration_reverted"),
    coordination("RULES", "TAKE_ANY_VERSION", "accepted_configuration_reverted"),
    coordination("RULES", "ASSUME_LOST", "operator_misinformed"),
    coordination("RULES", "REAPPLY", "operator_misinformed"),
    coordination("SHARES"),
    coordination("SHARES", "REFILL_IGNORES_GRANTS", "rate_and_burst_exceeded"),
    coordination("SHARES", "LATE_GRANT", "rate_and_burst_exceeded"),
    coordination("SHARES", "LEASE_FROM_ANSWER", "rate_and_burst_exceeded"),
    coordination("SHARES", "NO_SEAL", "rate_and_burst_exceeded"),
    coordination("SHARES", "NO_WAIT", "rate_and_burst_exceeded"),
    coordination("SHARES", "NO_GRANT_WAIT", "rate_and_burst_exceeded"),
    coordination("SHARES", "FULL_BUCKET", "rate_and_burst_exceeded"),
    coordination("REQUESTS"),
    coordination("REQUESTS", "RETRY_UNKNOWN", "non_idempotent_ran_twice"),
    coordination("REQUESTS", "NO_MEMORY", "non_idempotent_ran_twice"),
    coordination("REQUESTS", "ANY_INCARNATION", "non_idempotent_ran_twice"),
    coordination("REQUESTS", "RECORD_APART", "idempotent_ran_twice"),
    coordination("REQUESTS", "UNKNOWN_AS_NOT_RUN", "false_not_run"),
)


def check(run: Run) -> Outcome:
    """Build and run one verifier in a temporary directory."""
    with tempfile.TemporaryDirectory(prefix="specs-") as directory:
        try:
            report = _verify(run, directory)
        except subprocess.TimeoutExpired:
            return Outcome(run, 0, f"no result within {SECONDS_PER_RUN} s")
        except subprocess.CalledProcessError as error:
            return Outcome(run, 0, f"build failed: {error.stdout}{error.stderr}")
    stored = re.search(r"(\d+) states, stored", report)
    states = int(stored.group(1)) if stored else 0
    return Outcome(run, states, _problem(run, report))


def _verify(run: Run, directory: str) -> str:
    specification = str(SPECS / run.specification)
    _build(["spin", *run.defines, "-a", specification], directory)
    options = ["-O2", "-w", "-DSAFETY", "-DCOLLAPSE", f"-DMEMLIM={MEMORY_MB}"]
    _build(["gcc", *options, "-o", "pan", "pan.c"], directory)
    # End states without a successor are expected, as all bounds are finite.
    command = ["./pan", "-E", f"-m{MAX_DEPTH}", f"-w{HASH_TABLE_BITS}"]
    done = subprocess.run(
        command, cwd=directory, capture_output=True, text=True, timeout=SECONDS_PER_RUN
    )
    return done.stdout + done.stderr


def _build(command: list[str], directory: str) -> None:
    subprocess.run(
        command,
        cwd=directory,
        capture_output=True,
        text=True,
        check=True,
        timeout=SECONDS_PER_RUN,
    )


def _problem(run: Run, report: str) -> str:
    """Return why the report differs from what the run must show, or nothing."""
    if "max search depth too small" in report or "out of memory" in report:
        return "the search was cut short"
    errors = re.search(r"errors: (\d+)", report)
    if errors is None:
        return f"no verdict: {report[:200]}"
    violated = re.search(r"assertion violated +!?\(*(\w+)", report)
    found = violated.group(1) if violated else ""
    if run.violated:
        if found == run.violated:
            return ""
        return f"violated {found or 'nothing'}, expected {run.violated}"
    if errors.group(1) != "0":
        return f"violated {found or 'something else'}"
    return ""


def main() -> int:
    """Run everything; return 0 if each run came out as expected."""
    with ThreadPoolExecutor(PARALLEL_RUNS) as executor:
        outcomes = list(executor.map(check, RUNS))
    for outcome in outcomes:
        verdict = f"FAILED: {outcome.problem}" if outcome.problem else "as expected"
        expected = outcome.run.violated or "holds"
        print(f"{outcome.run.name}: {expected}, {outcome.states} states, {verdict}")
    failed = sum(bool(outcome.problem) for outcome in outcomes)
    print(f"{len(outcomes) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
