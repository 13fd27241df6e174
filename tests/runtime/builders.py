"""Helpers that run an event loop in real time."""

from contextlib import ExitStack, contextmanager
from datetime import timedelta

from bulrushloom.runtime.loop import BootClock, Loop

TIMEOUT = timedelta(seconds=5)


@contextmanager
def running_loop():
    """Yield a loop on the system clock; errors of its tasks fail the test."""
    errors = []
    with ExitStack() as stack:
        loop = Loop(BootClock(), errors.append)
        stack.callback(loop.close)
        yield loop
    assert not errors, errors


def wait_for(loop, future, limit=TIMEOUT):
    """Run the loop until ``future`` is done and return its result."""
    end = loop.now() + limit
    while not future.done():
        assert loop.now() < end, "no result in time"
        loop.run_once(timedelta(milliseconds=20))
    return future.result()


def wait_until(loop, condition, limit=TIMEOUT):
    """Run the loop until ``condition`` holds."""
    end = loop.now() + limit
    while not condition():
        assert loop.now() < end, "the condition was not met in time"
        loop.run_once(timedelta(milliseconds=20))
