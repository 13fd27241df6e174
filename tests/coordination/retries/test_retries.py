"""Retry policies and backoff."""

from datetime import timedelta
from random import Random

import hypothesis.strategies as st
from hypothesis import given, settings

from bulrushloom.coordination.retries.backoff import MAX_DELAY, Backoff
from bulrushloom.coordination.retries.budgets import (
    MAX_SAVED_RETRIES,
    BudgetedRetries,
    NoRetries,
    UnboundedRetries,
)


def ms(value):
    return timedelta(milliseconds=value)


@given(
    st.lists(
        st.tuples(st.integers(0, 2000), st.integers(0, 30), st.integers(0, 30)),
        max_size=40,
    )
)
@settings(derandomize=True, deadline=None, max_examples=100)
def test_retries_stay_within_the_budget(steps):
    """Guards against retries that multiply the load of a failing target."""
    budget = BudgetedRetries()
    now, requests, allowed = timedelta(), 0, 0
    for pause, started, wanted in steps:
        now += ms(pause)
        for _ in range(started):
            budget.record_request(now)
        requests += started
        allowed += sum(budget.acquire_retry(now) for _ in range(wanted))
        earned = 0.1 * requests + now.total_seconds()
        assert allowed <= earned + 1 + 1e-6


def test_quiet_times_save_a_bounded_number_of_retries():
    budget = BudgetedRetries()
    budget.record_request(ms(0))
    later = ms(3_600_000)
    allowed = sum(budget.acquire_retry(later) for _ in range(1000))
    assert allowed == MAX_SAVED_RETRIES


def test_one_retry_a_second_is_allowed_without_much_traffic():
    budget = BudgetedRetries()
    assert all(budget.acquire_retry(ms(1000 * second)) for second in range(20))


def test_a_tenth_of_the_requests_may_be_retried():
    budget = BudgetedRetries(per_second=0.0)
    allowed = 0
    for _ in range(1000):
        budget.record_request(ms(0))
        allowed += budget.acquire_retry(ms(0))
    assert 99 <= allowed <= 101


def test_baselines_allow_nothing_and_everything():
    policies = (NoRetries(), UnboundedRetries())
    for policy in policies:
        policy.record_request(ms(0))
    assert [policy.acquire_retry(ms(0)) for policy in policies] == [False, True]


def test_backoff_doubles_with_jitter_and_is_reproducible():
    first, second = Backoff(Random(7)), Backoff(Random(7))
    delays = [first.delay(attempt) for attempt in range(1, 12)]
    assert delays == [second.delay(attempt) for attempt in range(1, 12)]
    for attempt, delay in enumerate(delays):
        bound = min(MAX_DELAY, ms(20) * 2**attempt)
        assert bound / 2 <= delay <= bound
    assert Backoff(Random(1)).delay(10_000) <= MAX_DELAY
