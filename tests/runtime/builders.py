"""Helpers that run a loop in real time on loopback addresses."""

from contextlib import ExitStack, contextmanager
from datetime import timedelta

from bulrushloom.runtime.loop import BootClock, Loop

LIMIT = timedelta(seconds=5)


@contextmanager
def running_loop():
    """Give a loop of the system's clock; errors of tasks fail the test."""
    errors = []
    with ExitStack() as stack:
        loop = Loop(BootClock(), errors.append)
        stack.callback(loop.close)
        yield loop
    assert not errors, errors


def wait_for(loop, future, limit=LIMIT):
    """Run the loop until ``future`` is done and return its result."""
    end = loop.now() + limit
    while not future.done():
        assert loop.now() < end, "no result in time"
        loop.run_once(timedelta(milliseconds=20))
    return future.result()


def wait_until(loop, condition, limit=LIMIT):
    """Run the loop until ``condition`` holds."""
    end = loop.now() + limit
    while not condition():
        assert loop.now() < end, "the condition did not come true in time"
        loop.run_once(timedelta(milliseconds=20))
