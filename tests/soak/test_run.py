"""Short soak runs with real daemons, and the plan of faults."""

import random
from datetime import timedelta

import pytest

from soak.faults import KINDS, make_plan
from soak.run import PlannedRun, read_regressions, run_seed

RUNS = (PlannedRun(11, 8.0, 3), PlannedRun(12, 8.0, 3), *read_regressions())


@pytest.mark.parametrize("run", RUNS, ids=lambda run: f"seed-{run.seed}")
def test_seed_breaks_no_promise(run, tmp_path):
    result = run_seed(run.seed, run.seconds, run.instances, tmp_path)
    assert result.violations == [], result
    assert result.served > 100


def test_plan_is_the_same_for_a_seed_and_covers_every_kind():
    length = timedelta(seconds=20)
    assert make_plan(random.Random(5), length) == make_plan(random.Random(5), length)
    planned = {e.kind for s in range(200) for e in make_plan(random.Random(s), length)}
    assert planned == set(KINDS)
