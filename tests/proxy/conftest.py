"""Fixtures of the session proxy's tests."""

from contextlib import ExitStack

import pytest

from tests.proxy.builders import SimulatedInstance


@pytest.fixture
def instance():
    with ExitStack() as stack:
        yield SimulatedInstance(stack)
