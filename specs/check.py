"""Run the model checker on the specifications of this directory.

Every configuration without a fault must satisfy all assertions. Every fault that the
specifications define must violate the assertion that the run expects.
"""

import re
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

SPECS = Path(__file__).parent
MAX_PARALLEL_RUNS = 4
MEMORY_LIMIT_MB = 1200
RUN_TIMEOUT_S = 60
MAX_SEARCH_DEPTH_STEPS = 20_000
HASH_TABLE_SIZE_BITS = 22


class Run(NamedTuple):
    """One run of the model checker.

    ``expected_violation`` is the name of the assertion that must fail, or empty.
    """

    name: str
    specification: str
    defines: tuple[str, ...]
    expected_violation: str = ""


class Outcome(NamedTuple):
    """Result of a run; ``problem`` is empty if it came out as expected."""

    run: Run
    states: int
    problem: str


def failover_run(
    name: str,
    watchers: int,
    rounds: int,
    writes: int,
    crashes: int = 0,
    wipes: int = 0,
    expected_violation: str = "",
    fault: str = "",
) -> Run:
    """Return a run of the failover specification with the given bounds."""
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
    return Run(name, "failover.pml", tuple(defines), expected_violation)


def failover_run_with_fault(fault: str, expected_violation: str, **bounds: int) -> Run:
    """Return a run of the failover specification with one fault."""
    chosen = {"watchers": 2, "rounds": 1, "writes": 1} | bounds
    name = f"failover {fault}"
    return failover_run(
        name, **chosen, expected_violation=expected_violation, fault=fault
    )


def coordination_run(part: str, fault: str = "", expected_violation: str = "") -> Run:
    """Return a run of one part of the coordination specification."""
    defines = [f"-DPART_{part}"]
    if fault:
        defines.append(f"-DFAULT_{fault}")
    name = f"coordination {part.lower()} {fault}".rstrip()
    return Run(name, "coordination.pml", tuple(defines), expected_violation)


def promotion_run(fault: str = "", expected_violation: str = "", *bounds: str) -> Run:
    """Return a run of the specification of the primary change on the platform.

    ``bounds`` are further definitions, which leave out what would break another
    assertion first.
    """
    defines = (f"-DFAULT_{fault}", *bounds) if fault else bounds
    return Run(
        f"promotion {fault}".rstrip(), "promotion.pml", defines, expected_violation
    )


def return_run(fault: str = "") -> Run:
    """Return a run of the specification of the return of the store from a copy."""
    defines = (f"-DFAULT_{fault}",) if fault else ()
    expected_violation = "acknowledged_write_lost" if fault else ""
    return Run(f"returns {fault}".rstrip(), "returns.pml", defines, expected_violation)


RUNS = (
    failover_run("failover, two watchers with two rounds", 2, 2, 1),
    failover_run("failover, two watchers and two writes", 2, 1, 2),
    failover_run("failover, server restart with its log", 2, 1, 1, crashes=1),
    failover_run("failover, server restart without its log", 1, 2, 2, wipes=1),
    failover_run("failover, two watchers and a lost log", 2, 1, 1, wipes=1),
    failover_run_with_fault("TERM_GRANTED_TWICE", "two_primaries_in_term"),
    failover_run_with_fault("TERM_FORGOTTEN", "two_primaries_in_term", crashes=1),
    failover_run_with_fault(
        "CANDIDATE_REUSED", "two_primaries_in_term", watchers=1, rounds=2
    ),
    failover_run_with_fault("FENCE_MINORITY", "acknowledged_write_lost", watchers=1),
    failover_run_with_fault("PROMOTE_ANY", "acknowledged_write_lost"),
    failover_run_with_fault(
        "EMPTY_COUNTS", "acknowledged_write_lost", watchers=1, rounds=2, wipes=1
    ),
    failover_run_with_fault(
        "EMPTY_FOLLOWS", "acknowledged_write_lost", watchers=1, rounds=2, wipes=1
    ),
    failover_run_with_fault("ACK_ALONE", "acknowledged_write_lost"),
    failover_run_with_fault("ACK_ANY_TERM", "replaced_primary_acknowledged"),
    promotion_run(),
    promotion_run("TIMEOUT_CONFIRMS", "acknowledged_write_lost"),
    promotion_run("CONFIRM_EARLY", "replaced_primary_acknowledged"),
    promotion_run("ACKNOWLEDGE_LATE", "replaced_primary_acknowledged"),
    promotion_run(
        "PAUSE_SUFFICES", "replaced_primary_acknowledged", "-DPRIMARY_READS=0"
    ),
    promotion_run("OLD_POSITIONS", "acknowledged_write_lost"),
    promotion_run("NO_WAIT", "replaced_primary_acknowledged", "-DPRIMARY_READS=0"),
    promotion_run("PROMOTE_ANY", "acknowledged_write_lost"),
    promotion_run("NO_WAIT", "stale_primary_read", "-DCOMMITS=0"),
    promotion_run("EVIDENCE_FROM_ANSWER", "stale_primary_read", "-DCOMMITS=0"),
    return_run(),
    return_run("COPY_TRUSTED"),
    return_run("ORDERS_DROPPED"),
    coordination_run("RULES"),
    coordination_run("RULES", "BLIND_WRITE", "accepted_configuration_reverted"),
    coordination_run("RULES", "TAKE_ANY_VERSION", "accepted_configuration_reverted"),
    coordination_run("RULES", "ASSUME_LOST", "operator_misinformed"),
    coordination_run("RULES", "REAPPLY", "operator_misinformed"),
    coordination_run("SHARES"),
    coordination_run("SHARES", "REFILL_IGNORES_GRANTS", "rate_and_burst_exceeded"),
    coordination_run("SHARES", "LATE_GRANT", "rate_and_burst_exceeded"),
    coordination_run("SHARES", "LEASE_FROM_ANSWER", "rate_and_burst_exceeded"),
    coordination_run("SHARES", "NO_SEAL", "rate_and_burst_exceeded"),
    coordination_run("SHARES", "NO_WAIT", "rate_and_burst_exceeded"),
    coordination_run("SHARES", "NO_GRANT_WAIT", "rate_and_burst_exceeded"),
    coordination_run("SHARES", "FULL_BUCKET", "rate_and_burst_exceeded"),
    coordination_run("REQUESTS"),
    coordination_run("REQUESTS", "RETRY_UNKNOWN", "non_idempotent_ran_twice"),
    coordination_run("REQUESTS", "NO_MEMORY", "non_idempotent_ran_twice"),
    coordination_run("REQUESTS", "ANY_INCARNATION", "non_idempotent_ran_twice"),
    coordination_run("REQUESTS", "RECORD_APART", "idempotent_ran_twice"),
    coordination_run("REQUESTS", "UNKNOWN_AS_NOT_RUN", "false_not_run"),
)


def check(run: Run) -> Outcome:
    """Build and run the verifier of one run in a temporary directory."""
    with tempfile.TemporaryDirectory(prefix="specs-") as directory:
        try:
            report = _run_verifier(run, directory)
        except subprocess.TimeoutExpired:
            return Outcome(run, 0, f"no result within {RUN_TIMEOUT_S} s")
        except subprocess.CalledProcessError as error:
            return Outcome(run, 0, f"build failed: {error.stdout}{error.stderr}")
    stored = re.search(r"(\d+) states, stored", report)
    states = int(stored.group(1)) if stored else 0
    return Outcome(run, states, _find_problem(run, report))


def _run_verifier(run: Run, directory: str) -> str:
    specification = str(SPECS / run.specification)
    _run_build_step(["spin", *run.defines, "-a", specification], directory)
    options = ["-O2", "-w", "-DSAFETY", "-DCOLLAPSE", f"-DMEMLIM={MEMORY_LIMIT_MB}"]
    _run_build_step(["gcc", *options, "-o", "pan", "pan.c"], directory)
    # -E ignores invalid end states: all bounds are finite, so every run ends in one.
    command = [
        "./pan",
        "-E",
        f"-m{MAX_SEARCH_DEPTH_STEPS}",
        f"-w{HASH_TABLE_SIZE_BITS}",
    ]
    completed = subprocess.run(
        command, cwd=directory, capture_output=True, text=True, timeout=RUN_TIMEOUT_S
    )
    return completed.stdout + completed.stderr


def _run_build_step(command: list[str], directory: str) -> None:
    subprocess.run(
        command,
        cwd=directory,
        capture_output=True,
        text=True,
        check=True,
        timeout=RUN_TIMEOUT_S,
    )


def _find_problem(run: Run, report: str) -> str:
    """Return how the report differs from the expected result, or an empty string."""
    if "max search depth too small" in report or "out of memory" in report:
        return "the search reached its depth or memory limit"
    errors = re.search(r"errors: (\d+)", report)
    if errors is None:
        return f"the report has no error count: {report[:200]}"
    violation = re.search(r"assertion violated +!?\(*(\w+)", report)
    found = violation.group(1) if violation else ""
    if run.expected_violation:
        if found == run.expected_violation:
            return ""
        return f"violated {found or 'nothing'}, expected {run.expected_violation}"
    if errors.group(1) != "0":
        return f"violated {found or 'something else'}"
    return ""


def main() -> int:
    """Execute all runs and return 0 if each one came out as expected."""
    with ThreadPoolExecutor(MAX_PARALLEL_RUNS) as executor:
        outcomes = list(executor.map(check, RUNS))
    for outcome in outcomes:
        verdict = f"FAILED: {outcome.problem}" if outcome.problem else "as expected"
        expected = outcome.run.expected_violation or "holds"
        print(f"{outcome.run.name}: {expected}, {outcome.states} states, {verdict}")
    failed = sum(bool(outcome.problem) for outcome in outcomes)
    print(f"{len(outcomes) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
