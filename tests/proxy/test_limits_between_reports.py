"""Account limits while reports, members or processes are missing for a moment."""

import random
from datetime import timedelta

import pytest

from bulrushloom.proxy.limits import AccountLimiter
from tests.proxy.builders import build_account, ms
from tests.proxy.limit_builders import (
    LONG_AGO,
    TICK,
    WINDOW,
    DelayedTotals,
    SimulatedFleet,
    uneven_requests,
    upper_bound,
)


@pytest.mark.parametrize("rate_per_s", [30.0, 75.0])
@pytest.mark.parametrize("usual_fraction", [0.5, 0.8])
def test_sudden_overload_at_146_instances_stays_within_the_bound(
    rate_per_s, usual_fraction
):
    # Replays a customer that sends 9.2 times its usual at once, while reports take
    # 0.76 s through the tree: up to 1.5 times the permitted operations ran, because no
    # instance knew of the demand at the others.
    account = build_account(rate_per_s=rate_per_s, burst=rate_per_s)
    totals = DelayedTotals(146, delay_ticks=38, urgent_delay_ticks=5)
    rng = random.Random(7)
    for tick in range(900):
        factor = usual_fraction * (9.24 if 400 <= tick <= 770 else 1.0)
        expected = rate_per_s * factor * (TICK / timedelta(seconds=1))
        totals.step(account, int(expected) + (rng.random() < expected % 1), rng)
    assert totals.fleet.max_admitted_in_window() <= upper_bound(account)


# Usual demand, as a fraction of the rate, of the accounts of bmdc-shared-large.
USUAL_FRACTION = 0.625


@pytest.mark.parametrize("rate_per_s", [3.0, 10.0, 30.0, 150.0])
@pytest.mark.parametrize("usual_fraction", [USUAL_FRACTION, 0.8])
def test_account_that_floods_195_instances_stays_within_the_bound(
    rate_per_s, usual_fraction
):
    # Guards against QUOTA on bmdc-shared-large (issue 47): until the reports show the
    # rise, 195 instances admit each operation of the flood, and the admitted ones were
    # allowed 0.94 to 0.98 of the bound already.
    account = build_account(rate_per_s=rate_per_s, burst=rate_per_s)
    totals = DelayedTotals(195, delay_ticks=38, urgent_delay_ticks=5)
    rng, usual = random.Random(7), rate_per_s * usual_fraction
    totals.play(account, 8, usual, rng)
    totals.play(account, 7.4, usual * 7.5, rng)
    assert totals.fleet.max_admitted_in_window() <= upper_bound(account)


@pytest.mark.parametrize("rate_per_s", [8.0, 20.0, 50.0, 100.0])
@pytest.mark.parametrize("down", [ms(600), ms(1500)])
def test_flood_before_and_after_the_loss_of_195_instances_stays_within_the_bound(
    rate_per_s, down
):
    # Guards against QUOTA on bmdc-shared-large (issue 47): after the loss of all, each
    # instance admitted the first operation of an account that was recorded as hot.
    account = build_account(rate_per_s=rate_per_s, burst=rate_per_s)
    totals = DelayedTotals(195, delay_ticks=30, urgent_delay_ticks=5)
    fleet, rng, usual = totals.fleet, random.Random(3), rate_per_s * USUAL_FRACTION
    totals.play(account, 6, usual, rng)
    totals.play(account, 3.5, usual * 7.5, rng)
    recorded = fleet.limiters[0].hot_usage([account], ms(1000), fleet.now)
    totals.play(account, 0.5, usual * 7.5, rng)
    totals.restart_all(down, recorded)
    # Clients repeat what failed meanwhile.
    totals.request_without_reports(account, ms(600), usual * 15, rng)
    totals.play(account, 5, usual * 7.5, rng)
    assert fleet.max_admitted_in_window() <= upper_bound(account)


def test_usual_demand_is_not_reported_between_the_rounds():
    # Guards against reports at once for every small change of an account's demand.
    account = build_account(rate_per_s=75.0, burst=75.0)
    totals, rng = DelayedTotals(20, urgent_delay_ticks=5), random.Random(7)
    urgent = 0
    for _ in range(1000):
        totals.step(account, int(rng.random() < 0.9), rng)
        urgent += totals.urgent_at == totals.fleet.ticks
    assert urgent <= 1000 * TICK / timedelta(seconds=1)


def test_members_whose_entries_expired_still_use_their_part():
    # Replays soak seed 34110: all leases expired while the store was away, and an
    # instance that had heard of nobody yet took the whole limit beside the others.
    account = build_account(rate_per_s=20.0, burst=10.0)
    admitted = 0
    for _ in range(6):
        limiter = AccountLimiter(WINDOW, LONG_AGO)
        limiter.update_member_count(6, timedelta())
        limiter.update_member_count(1, ms(1500))
        for tick in range(200):
            now = ms(1500) + TICK * tick
            limiter.record_demand(account, now)
            admitted += limiter.try_admit(account, now) <= timedelta()
    assert admitted <= upper_bound(account)


def test_members_that_left_release_their_part_after_a_window():
    # Guards against limits that shrink for good when a fleet is made smaller.
    limiter = AccountLimiter(WINDOW, LONG_AGO)
    limiter.update_member_count(6, timedelta())
    limiter.update_member_count(3, timedelta(seconds=1))
    assert limiter.member_count == 6
    limiter.update_member_count(3, timedelta(seconds=6, milliseconds=100))
    assert limiter.member_count == 3


def test_operations_just_before_the_loss_of_all_instances_count():
    # Replays soak seed 31302: all instances were killed 2.6 s after their first start.
    # What they had admitted was assumed to leave the window evenly, and 143 operations
    # ran where 141 are permitted.
    account = build_account(rate_per_s=20.0, burst=10.0)
    fleet = SimulatedFleet(6, started_at=timedelta(seconds=-4))
    unrecorded = {}
    while not unrecorded:
        fleet.step(account, uneven_requests(6, 2, seed=fleet.ticks))
        unrecorded = fleet.limiters[0].hot_usage([account], timedelta(), fleet.now)
    # The instances end before the account is recorded as a hot one.
    fleet.limiters = SimulatedFleet(6, started_at=fleet.now).limiters
    for _ in range(250):
        fleet.step(account, uneven_requests(6, 2, seed=fleet.ticks))
    assert fleet.max_admitted_in_window() <= upper_bound(account)


def test_tiny_headroom_gives_a_finite_wait():
    # Guards against an exception for a wait that no duration can hold, which ended the
    # session of a caller whose account was almost exactly at its limit.
    limiter = AccountLimiter(WINDOW, LONG_AGO)
    account = build_account(rate_per_s=1e-300, burst=0.0)
    limiter.window = WINDOW._replace(slack=0.0)
    limiter.record_demand(account, timedelta())
    while (wait := limiter.try_admit(account, timedelta())) <= timedelta():
        limiter.record_demand(account, timedelta())
    assert wait <= WINDOW.length
