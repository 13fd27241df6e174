"""Guards against violations of the invariants of section 1.2 in a whole fleet.

``make soak`` runs the state machine for longer, with a random seed.
"""

import os

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.instance.machine import NodeMachine

# Number of examples of a soak run; unset in a regular test run.
SOAK_EXAMPLES = int(os.environ.get("BULRUSHLOOM_SOAK_EXAMPLES", "0"))
SETTINGS = settings(
    max_examples=SOAK_EXAMPLES or 15,
    stateful_step_count=50 if SOAK_EXAMPLES else 30,
    derandomize=not SOAK_EXAMPLES,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    # Without shrinking, which takes minutes. A failure prints the example and its seed.
    phases=[Phase.generate],
)


def test_fleet_keeps_its_invariants():
    run_state_machine_as_test(NodeMachine, settings=SETTINGS)
