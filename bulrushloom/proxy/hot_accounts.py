"""Store record of the accounts that are near their limit.

A restarted instance does not know what the fleet admitted in the last window, so it
loads this record. It may assume that accounts without an entry had used no more than
``limits.HOT_ACCOUNT_SHARE`` of their limit.
"""

from collections.abc import Mapping
from datetime import timedelta

import orjson

from bulrushloom.proxy.leadership import Leadership
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.store import ProxyStore, Put, Record, StoreFailure
from bulrushloom.runtime.loop import Steps

HOT_ACCOUNTS_KEY = "proxy/hot-accounts"
# Bounds the age of the recorded usage. Each write is a billed store call.
RECORD_INTERVAL = timedelta(seconds=1)
# Bounds the delay until a hot account is recorded that the record lacks.
CHECK_INTERVAL = timedelta(milliseconds=200)


def decode_hot_accounts(record_by_key: Mapping[str, Record]) -> dict[str, float]:
    """Return the recorded operations in the window by account.

    A missing or malformed record counts as empty.
    """
    record = record_by_key.get(HOT_ACCOUNTS_KEY)
    if record is None:
        return {}
    try:
        return {
            str(account): float(used)
            for account, used in orjson.loads(record.value).items()
        }
    except (AttributeError, TypeError, ValueError):
        return {}


class HotAccountRecorder:
    """Writer of the hot-account record, active while this instance is the leader.

    An account is hot above ``limits.HOT_ACCOUNT_SHARE`` of its limit. The record is
    written at intervals while there is such an account, at once when an account becomes
    hot, and emptied once there is none.
    It is not bound to a lease: all leases of the store can expire at once, also just
    before all instances are restarted and need the record.
    """

    def __init__(
        self, services: Services, store: ProxyStore, leadership: Leadership
    ) -> None:
        self._services = services
        self._store = store
        self._leadership = leadership
        self._is_empty = False
        self._due_at = services.loop.now() + RECORD_INTERVAL
        # Accounts of the last write, even if that failed.
        self._written: frozenset[str] = frozenset()

    def run(self) -> Steps:
        """Check the accounts at fixed intervals."""
        loop = self._services.loop
        limiter = self._services.limiter
        while True:
            yield loop.sleep(CHECK_INTERVAL)
            if not self._leadership.is_leader():
                # Another leader may write the record in the meantime.
                self._is_empty = False
                self._written = frozenset()
                continue
            accounts = self._services.configuration.account_by_name.values()
            hot_usage = limiter.hot_usage(accounts, RECORD_INTERVAL, loop.now())
            is_due = loop.now() >= self._due_at and (hot_usage or not self._is_empty)
            if is_due or hot_usage.keys() - self._written:
                self._due_at = loop.now() + RECORD_INTERVAL
                self._written = frozenset(hot_usage)
                yield from self._write_record(hot_usage)

    def _write_record(self, hot_usage: dict[str, float]) -> Steps:
        put = Put(HOT_ACCOUNTS_KEY, orjson.dumps(hot_usage))
        written = yield self._store.commit((), (put,), self._leadership.era)
        if isinstance(written, StoreFailure):
            self._services.log.write("hot_accounts_not_noted", reason=written.reason)
        else:
            self._is_empty = not hot_usage
            self._services.log.write("hot_accounts_noted", accounts=hot_usage)
