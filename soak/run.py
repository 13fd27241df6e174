"""Command line of the soak tests: ``python -m soak.run one|many|again``."""

import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

import fire
import orjson

from bulrushloom.runtime.loop import BootClock, Loop
from soak.plans import CURRENT_VERSION
from soak.world import Result, World

OUTPUT_FOLDER = Path("build/soak")
REGRESSIONS_FILE = Path(__file__).with_name("regressions.txt")
# A run that takes longer is considered hung.
RUN_TIMEOUT = timedelta(seconds=180)
_SECOND = timedelta(seconds=1)


class PlannedRun(NamedTuple):
    """The parameters that determine the plan of a run."""

    seed: int
    seconds: float
    instances: int
    plan: int = CURRENT_VERSION


def run_seed(run: PlannedRun, folder: Path) -> Result:
    """Run one seed in this process and return its result.

    The daemons are separate processes. Their settings files and logs go to ``folder``,
    which is emptied first.
    """
    folder.mkdir(parents=True, exist_ok=True)
    for old in folder.glob("*"):
        old.unlink()
    errors: list[BaseException] = []
    with ExitStack() as stack:
        loop = Loop(BootClock(), errors.append)
        stack.callback(loop.close)
        world = World(stack, loop, folder, run.seed, run.instances, run.plan)
        task = loop.spawn(world.run(_SECOND * run.seconds))
        deadline = loop.now() + RUN_TIMEOUT
        while not task.done():
            loop.run_once()
            if loop.now() > deadline:
                raise TimeoutError(f"seed {run.seed} did not end within {RUN_TIMEOUT}")
        result: Result = task.result()
    found = [f"unhandled error in the soak test: {error!r}" for error in errors]
    return result._replace(violations=result.violations + found)


def read_regressions() -> list[PlannedRun]:
    """Return the runs listed in ``regressions.txt``, which failed in the past."""
    found = []
    for line in REGRESSIONS_FILE.read_text().splitlines():
        if line[:1].isdigit():
            seed, seconds, instances, plan = line.split()[:4]
            run = PlannedRun(int(seed), float(seconds), int(instances), int(plan))
            found.append(run)
    return found


class Commands:
    """Run soak tests: real daemons under faults that follow from a seed."""

    def one(
        self,
        seed: int,
        seconds: float = 18.0,
        instances: int = 6,
        plan: int = CURRENT_VERSION,
    ) -> None:
        """Run one seed and print its result as a line of JSON."""
        run = PlannedRun(seed, seconds, instances, plan)
        result = run_seed(run, OUTPUT_FOLDER / str(seed))
        print(orjson.dumps(result._asdict()).decode())

    def many(
        self,
        seeds: int = 50,
        first: int = 0,
        seconds: float = 18.0,
        instances: int = 6,
        jobs: int = 3,
        plan: int = CURRENT_VERSION,
    ) -> None:
        """Run ``seeds`` seeds from ``first``; exit with status 1 if any run fails.

        With ``first`` 0, the seeds are new ones, derived from the time of day.
        """
        first = first or time.time_ns() % 10**8
        runs = [
            PlannedRun(seed, seconds, instances, plan)
            for seed in range(first, first + seeds)
        ]
        self._run_all(runs, jobs)

    def again(self, jobs: int = 3) -> None:
        """Run all seeds of ``regressions.txt``; exit with status 1 if any fails."""
        self._run_all(read_regressions(), jobs)

    def _run_all(self, runs: list[PlannedRun], jobs: int) -> None:
        failed = 0
        with ThreadPoolExecutor(jobs) as executor:
            for line in executor.map(_run_in_subprocess, runs):
                failed += line.startswith("FAILED")
                print(line, flush=True)
        print(f"{len(runs) - failed} passed, {failed} failed")
        raise SystemExit(1 if failed else 0)


def _run_in_subprocess(run: PlannedRun) -> str:
    """Run one seed in a subprocess and return a line that summarizes its result."""
    seed, seconds, instances, plan = run
    command = [sys.executable, "-m", "soak.run", "one", f"--seed={seed}"]
    command += [f"--seconds={seconds}", f"--instances={instances}", f"--plan={plan}"]
    done = subprocess.run(command, capture_output=True, text=True)
    folder = OUTPUT_FOLDER / str(seed)
    try:
        result = orjson.loads(done.stdout.splitlines()[-1])
    except (IndexError, orjson.JSONDecodeError):
        return f"FAILED seed {seed}: no result: {done.stderr[-400:]!r}"
    (folder / "result.json").write_text(done.stdout)
    violations = result["violations"]
    figures = f"{result['served']} served, {result['failed']} failed"
    if violations:
        return f"FAILED seed {seed}: {figures}; {len(violations)}: {violations[:3]}"
    return f"passed seed {seed}: {figures}, {len(result['faults']) - 1} faults"


if __name__ == "__main__":
    fire.Fire(Commands)
