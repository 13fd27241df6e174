"""Failures guarded against: broken invariants of section 1.2 in a whole fleet.

``make soak`` runs the machine longer, with a random seed.
"""

import os

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.instance.machine import NodeMachine

SOAK = "BULRUSHLOOM_SOAK" in os.environ
SETTINGS = settings(
    max_examples=400 if SOAK else 25,
    stateful_step_count=60 if SOAK else 30,
    derandomize=not SOAK,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate, Phase.shrink] if SOAK else [Phase.generate],
)


def test_fleet_keeps_its_invariants():
    run_state_machine_as_test(NodeMachine, settings=SETTINGS)
