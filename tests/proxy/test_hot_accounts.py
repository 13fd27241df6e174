"""The record of hot accounts in the store."""

from datetime import timedelta

import pytest

from bulrushloom.proxy.hot_accounts import (
    HOT_ACCOUNTS_KEY,
    HotAccountRecorder,
    decode_hot_accounts,
)
from bulrushloom.proxy.limits import AccountLimiter, RateWindow
from bulrushloom.proxy.store import Record
from tests.proxy.builders import build_account

SECOND = timedelta(seconds=1)


@pytest.fixture
def flooded_fleet(fleet):
    """Return a fleet in which one account asks for more than its limit."""
    account = build_account(rate_per_s=10.0, burst=10.0)
    fleet.store.configuration = fleet.store.configuration._replace(
        account_by_name={account.name: account}, version=2
    )
    for member in fleet.members:
        recorder = HotAccountRecorder(member.services, member.store, member.leadership)
        fleet.loop.supervise(recorder.run)
    for _ in range(40):
        for member in fleet.members:
            member.services.limiter.record_demand(account, fleet.loop.now())
            member.services.limiter.try_admit(account, fleet.loop.now())
        fleet.run(timedelta(milliseconds=100))
    return fleet


def test_only_the_leader_records_hot_accounts_and_empties_the_record(flooded_fleet):
    # Guards against a restart that grants an overloading account its whole limit again.
    recorded = decode_hot_accounts(flooded_fleet.store.record_by_key)
    assert recorded["hotel"] > 0.6 * 60
    flooded_fleet.run(SECOND * 13)
    assert HOT_ACCOUNTS_KEY in flooded_fleet.store.record_by_key
    assert decode_hot_accounts(flooded_fleet.store.record_by_key) == {}


def test_record_outlives_the_leases_of_all_instances(flooded_fleet):
    # Guards against 147 operations in a window that allows 141: all leases of the store
    # expired, the record with them, and then all instances were killed and restarted.
    store = flooded_fleet.store
    for lease_id in list(store.leases):
        store.end_lease(lease_id)
    assert decode_hot_accounts(store.record_by_key)["hotel"] > 0.6 * 60


@pytest.mark.parametrize("offset", [50, 450, 850])
def test_account_that_becomes_hot_between_two_records(fleet, offset):
    # Guards against 146 to 153 operations in a window that allows 141: all instances
    # were killed 0.2 to 1 s after an account had become hot, before the next record.
    account = build_account(rate_per_s=20.0, burst=10.0)
    fleet.store.configuration = fleet.store.configuration._replace(
        account_by_name={account.name: account}, version=2
    )
    for member in fleet.members:
        recorder = HotAccountRecorder(member.services, member.store, member.leadership)
        fleet.loop.supervise(recorder.run)
    leader, store = fleet.leader(), fleet.store
    fleet.run_until(lambda: HOT_ACCOUNTS_KEY in store.record_by_key)
    fleet.run(timedelta(milliseconds=offset))
    limiter = leader.services.limiter

    def is_hot():
        limiter.record_demand(account, fleet.loop.now())
        limiter.try_admit(account, fleet.loop.now())
        return limiter.hot_usage([account], SECOND, fleet.loop.now())

    fleet.run_until(is_hot, SECOND * 10)
    fleet.run(timedelta(milliseconds=250))
    assert decode_hot_accounts(store.record_by_key)


def test_recorded_usage_includes_what_is_admitted_until_the_next_record():
    # Guards against a fleet that is killed one interval after the record was written
    # and then admits, besides, what the record does not show.
    account = build_account(rate_per_s=20.0, burst=10.0)
    window = RateWindow(SECOND * 5, 0.1, 20.0)
    limiter, now = AccountLimiter(window, -SECOND * 10), SECOND
    recorded: dict[str, float] = {}
    while now < SECOND * 9:
        limiter.record_demand(account, now)
        limiter.try_admit(account, now)
        now += timedelta(milliseconds=5)
        if now % SECOND == timedelta():
            if recorded:
                assert limiter.admitted(account.name, now) <= recorded[account.name] + 1
            recorded = limiter.hot_usage([account], SECOND, now)
    assert recorded


@pytest.mark.parametrize("value", [b"", b"[]", b"7", b'{"a": "x"}', b"\xff"])
def test_malformed_record_counts_as_empty(value):
    record = Record(HOT_ACCOUNTS_KEY, value, 1)
    assert decode_hot_accounts({HOT_ACCOUNTS_KEY: record}) == {}


def test_record_of_a_copy_does_not_show_the_accounts_that_are_hot():
    # Guards against an account that uses its limit twice in a window: all instances
    # were lost together with the record that it is hot.
    account = build_account(rate_per_s=20.0, burst=10.0)
    window = RateWindow(SECOND * 5, 0.1, 20.0)
    admitted = {False: 0, True: 0}
    for is_outdated in admitted:
        limiter, now = AccountLimiter(window, timedelta()), timedelta()
        limiter.member_count = 3
        limiter.load_recorded_usage({}, is_outdated)
        while now < SECOND * 0.25:
            limiter.record_demand(account, now)
            admitted[is_outdated] += limiter.try_admit(account, now) <= timedelta()
            now += timedelta(milliseconds=5)
        is_recorded = account.name in limiter.hot_usage([account], SECOND, now)
        assert is_recorded is is_outdated, "for those that are lost again"
    left_the_window = 141 * 0.25 / 5
    assert admitted[True] * 3 <= left_the_window < admitted[False] * 3
