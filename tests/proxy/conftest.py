"""Fixtures for the tests of the session proxy."""

from contextlib import ExitStack

import pytest

from tests.proxy.builders import SimulatedInstance
from tests.proxy.fleet_builders import SimulatedFleet


@pytest.fixture
def instance():
    with ExitStack() as stack:
        yield SimulatedInstance(stack)


@pytest.fixture
def fleet():
    with ExitStack() as stack:
        yield SimulatedFleet(stack)
