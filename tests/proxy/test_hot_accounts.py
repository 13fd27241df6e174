"""The record of hot accounts in the store."""

from datetime import timedelta

import pytest

from bulrushloom.proxy.hot_accounts import (
    HOT_ACCOUNTS_KEY,
    HotAccountRecorder,
    decode_hot_accounts,
)
from bulrushloom.proxy.store import Record
from tests.proxy.builders import build_account

SECOND = timedelta(seconds=1)


def test_only_the_leader_records_hot_accounts_and_the_record_expires(fleet):
    # Guards against a restart that grants an overloading account its whole limit again.
    account = build_account(rate_per_s=10.0, burst=10.0)
    configuration = fleet.store.configuration._replace(
        account_by_name={account.name: account}, revision=2
    )
    fleet.store.configuration = configuration
    for member in fleet.members:
        recorder = HotAccountRecorder(member.services, member.store, member.leadership)
        fleet.loop.supervise(recorder.run)
    for _ in range(40):
        for member in fleet.members:
            member.services.limiter.record_demand(account, fleet.loop.now())
            member.services.limiter.try_admit(account, fleet.loop.now())
        fleet.run(timedelta(milliseconds=100))
    recorded = decode_hot_accounts(fleet.store.record_by_key)
    assert recorded["hotel"] > 0.6 * 60
    fleet.run(SECOND * 13)
    fleet.store.expire()
    assert HOT_ACCOUNTS_KEY not in fleet.store.record_by_key


@pytest.mark.parametrize("value", [b"", b"[]", b"7", b'{"a": "x"}', b"\xff"])
def test_malformed_record_counts_as_empty(value):
    record = Record(HOT_ACCOUNTS_KEY, value, 1)
    assert decode_hot_accounts({HOT_ACCOUNTS_KEY: record}) == {}
