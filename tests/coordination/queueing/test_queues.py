"""Slot queues: bounds, deadlines and fairness between accounts."""

from collections import Counter
from datetime import timedelta

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bulrushloom.coordination.queueing.base import EMPTY
from bulrushloom.coordination.queueing.fair import FairQueue
from bulrushloom.coordination.queueing.fifo import FifoQueue
from bulrushloom.core.sentinels import Missing

ACCOUNTS = ["x", "y", "z"]
LIMIT = 5


def ms(value):
    return timedelta(milliseconds=value)


class FairQueueMachine(RuleBasedStateMachine):
    """Compare the queue with a model: a list of items with accounts and deadlines."""

    def __init__(self):
        super().__init__()
        self.queue = FairQueue(LIMIT)
        self.now = timedelta()
        self.waiting = {}
        self.running = []
        self.numbers = 0

    @rule(account=st.sampled_from(ACCOUNTS), patience=st.integers(1, 100))
    def push(self, account, patience):
        self.numbers += 1
        item_id = str(self.numbers)
        queued = [a for a, _ in self.waiting.values()].count(account)
        accepted = self.queue.push(item_id, account, self.now + ms(patience), self.now)
        assert accepted == (queued < LIMIT)
        if accepted:
            self.waiting[item_id] = (account, self.now + ms(patience))

    @rule()
    def pop(self):
        item_id = self.queue.pop(self.now)
        alive = {i: a for i, (a, until) in self.waiting.items() if until > self.now}
        if isinstance(item_id, Missing):
            assert not alive
            return
        account = alive[item_id]
        first = next(i for i, a in alive.items() if a == account)
        assert item_id == first, "items of one account are served in order"
        del self.waiting[item_id]
        self.running.append(account)

    @precondition(lambda self: self.running)
    @rule(duration=st.integers(0, 200))
    def finish(self, duration):
        self.queue.charge(self.running.pop(0), ms(duration))

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def remove(self, data):
        item_id = data.draw(st.sampled_from(sorted(self.waiting)))
        assert self.queue.remove(item_id)
        assert not self.queue.remove(item_id)
        del self.waiting[item_id]

    @rule(duration=st.integers(1, 80))
    def advance(self, duration):
        self.now += ms(duration)

    @rule()
    def expire(self):
        expected = [i for i, (_, until) in self.waiting.items() if until <= self.now]
        assert self.queue.expired(self.now) == expected
        for item_id in expected:
            del self.waiting[item_id]

    @invariant()
    def length_matches(self):
        assert len(self.queue) == len(self.waiting)


TestFairQueueMachine = FairQueueMachine.TestCase
TestFairQueueMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=50, stateful_step_count=40
)


def served(queue, cost_by_account, backlog_by_account, slots=300):
    """Return the slot time of each account, each with a constant backlog of items."""
    waiting, time = Counter(), Counter()
    number = 0
    for _ in range(slots):
        for account, backlog in backlog_by_account.items():
            while waiting[account] < backlog:
                number += 1
                assert queue.push(f"{account}-{number}", account, ms(10**9), ms(0))
                waiting[account] += 1
        account = queue.pop(ms(0)).split("-")[0]
        waiting[account] -= 1
        time[account] += cost_by_account[account]
        queue.charge(account, ms(cost_by_account[account]))
    return time


def test_accounts_get_equal_slot_time_whatever_they_send():
    """Guards against an account that gets less because another sends much more."""
    time = served(FairQueue(100), {"x": 5, "y": 5}, {"x": 50, "y": 1})
    assert time["y"] >= 0.95 * time["x"]
    assert served(FifoQueue(100), {"x": 5, "y": 5}, {"x": 50, "y": 1})["y"] < 100


def test_slow_statements_count_for_their_duration():
    time = served(FairQueue(100), {"x": 50, "y": 5}, {"x": 10, "y": 10}, 1000)
    assert time["x"] == pytest.approx(time["y"], rel=0.05)


def test_weights_divide_slot_time():
    queue = FairQueue(100, {"x": 3.0})
    time = served(queue, {"x": 5, "y": 5}, {"x": 10, "y": 10})
    assert time["x"] == pytest.approx(3 * time["y"], rel=0.05)
    queue.update_weights({})
    time = served(queue, {"x": 5, "y": 5}, {"x": 10, "y": 10}, slots=200)
    assert time["x"] == pytest.approx(time["y"], rel=0.05)


def test_pause_earns_no_credit():
    """Guards against an account that resumes after a pause and starves the others."""
    queue = FairQueue(100)
    served(queue, {"x": 5}, {"x": 10})
    time = served(queue, {"x": 5, "y": 5}, {"x": 10, "y": 10}, slots=100)
    assert time["x"] == pytest.approx(time["y"], rel=0.1)


def test_fifo_queue_is_bounded_and_keeps_order():
    queue = FifoQueue(2)
    assert queue.push("1", "x", ms(10), ms(0))
    assert queue.push("2", "y", ms(50), ms(0))
    assert not queue.push("3", "x", ms(50), ms(0))
    assert queue.pop(ms(20)) == "2"
    assert queue.pop(ms(20)) is EMPTY
    assert queue.expired(ms(20)) == ["1"]
    assert not queue.remove("1")
    assert len(queue) == 0
