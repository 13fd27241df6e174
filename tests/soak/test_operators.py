"""The soak's rate check finds an account that exceeds its limit."""

import random
from contextlib import ExitStack
from datetime import timedelta

import pytest

from bulrushloom.core.clock import ManualClock
from bulrushloom.runtime.loop import Loop
from soak.operators import AccountChecks, Operator
from standins.platform.host import Platform
from standins.platform.promises import CallerRecord, History
from standins.platform.records import Run

SECOND = timedelta(seconds=1)
# (20 per second for 5 s + a burst of 10) * (1 + an excess of 0.1) + a slack of 20.
BOUND = 141


@pytest.fixture
def checked(tmp_path):
    with ExitStack() as stack:
        loop = Loop(ManualClock())
        stack.callback(loop.close)
        platform = Platform(stack, loop, tmp_path)
        history = History(platform.group, SECOND)
        operator = Operator(platform, random.Random(1))
        operator.change_limit(20)
        checks = AccountChecks(platform.group, history, operator)
        caller = CallerRecord("f1", "flood", "key-3", "strict")

        def run(count, sent_at, at):
            for _ in range(count):
                request_id = history.send(caller, "READ 1", sent_at)
                platform.group.runs.append(
                    Run("a", request_id, "READ 1", "", "flood", 1, 0, {}, (1, 0), at)
                )
            return checks.check()

        yield run


def test_account_above_its_bound_is_found(checked):
    assert checked(BOUND, SECOND * 10, SECOND * 10) == []
    assert len(checked(1, SECOND * 14, SECOND * 14)) == 1


def test_operation_that_was_sent_before_the_window_does_not_count(checked):
    # The bound covers operations that are both sent and run within a window. With seed
    # 12 in CI, two of 142 operations in a window had been sent before it.
    assert checked(2, SECOND * 9, SECOND * 10.5) == []
    assert checked(BOUND - 1, SECOND * 11, SECOND * 15) == []
    assert len(checked(2, SECOND * 12, SECOND * 15.2)) == 1
