"""Short soak runs with real daemons, and the plan of faults."""

import hashlib
import random
from datetime import timedelta

import pytest

from soak.plans import KINDS, make_plan
from soak.run import PlannedRun, read_regressions, run_seed

RUNS = (PlannedRun(11, 8.0, 3, 1), PlannedRun(12, 8.0, 3, 1), *read_regressions())


@pytest.mark.parametrize("run", RUNS, ids=lambda run: f"seed-{run.seed}")
def test_seed_breaks_no_promise(run, tmp_path):
    result = run_seed(run, tmp_path)
    assert result.violations == [], result
    assert result.served > 100


def test_plan_is_the_same_for_a_seed_and_covers_every_kind():
    length = timedelta(seconds=20)
    assert make_plan(random.Random(5), length) == make_plan(random.Random(5), length)
    planned = {e.kind for s in range(200) for e in make_plan(random.Random(s), length)}
    assert planned == set(KINDS)


@pytest.mark.parametrize(
    "version, expected",
    [
        (1, "6a8004697851ea01cdc99e0090b66970668aa553fc2c9a933538b3dc5c89c0a3"),
        (2, "fa2d3e3b315d7c47e8af4b608534829d3f048d653e70ad606e3b0a7a986603b8"),
        (3, "3d4e09bc5241a8d0a6f773602005bf36a6746d1f9c68dcf086c1788a3622d6f6"),
    ],
)
def test_plans_of_recorded_seeds_do_not_change(version, expected):
    plans = [
        [(e.at, e.kind.__name__, e.duration) for e in make_plan(rng, length, version)]
        for rng, length in (
            (random.Random(seed), timedelta(seconds=seconds))
            for seed in range(100)
            for seconds in (8, 16, 18)
        )
    ]
    assert hashlib.sha256(repr(plans).encode()).hexdigest() == expected
