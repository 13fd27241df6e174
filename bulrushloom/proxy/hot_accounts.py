"""Store record of the accounts that are near their limit.

A restarted instance does not know what the fleet admitted in the last window, so it
loads this record. It may assume that accounts without an entry had used no more than
``HOT_ACCOUNT_SHARE`` of their limit.
"""

from collections.abc import Mapping
from datetime import timedelta

import orjson

from bulrushloom.proxy.leadership import Leadership
from bulrushloom.proxy.limits import HOT_ACCOUNT_SHARE
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.store import Lease, ProxyStore, Put, Record, StoreFailure
from bulrushloom.runtime.loop import Steps

HOT_ACCOUNTS_KEY = "proxy/hot-accounts"
# Bounds the delay until a hot account is recorded. Each write is a billed store call.
RECORD_INTERVAL = timedelta(seconds=1)
# The record must outlive the window in which its operations count.
LEASE_TTL_MARGIN = timedelta(seconds=1)


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

    An account is hot above ``HOT_ACCOUNT_SHARE`` of its limit; the record is written
    only while there is such an account.
    The record is bound to a store lease, which expires once it is no longer renewed.
    """

    def __init__(
        self, services: Services, store: ProxyStore, leadership: Leadership
    ) -> None:
        self._services = services
        self._store = store
        self._leadership = leadership
        self._lease: Lease | None = None

    def run(self) -> Steps:
        """Check the accounts at fixed intervals."""
        loop = self._services.loop
        while True:
            yield loop.sleep(RECORD_INTERVAL)
            if not self._leadership.is_leader():
                self._lease = None
                continue
            accounts = self._services.configuration.account_by_name.values()
            utilization = self._services.limiter.limit_utilization(accounts, loop.now())
            hot_usage = {
                name: admitted
                for name, (admitted, fraction) in utilization.items()
                if fraction > HOT_ACCOUNT_SHARE
            }
            if hot_usage:
                yield from self._write_record(hot_usage)
            else:
                self._lease = None

    def _write_record(self, hot_usage: dict[str, float]) -> Steps:
        ttl = self._services.limiter.window.length + LEASE_TTL_MARGIN
        lease: Lease | StoreFailure
        if self._lease is None:
            lease = yield self._store.create_lease(ttl)
        else:
            lease = yield self._store.renew_lease(self._lease.lease_id)
        if isinstance(lease, StoreFailure):
            self._lease = None
            self._services.log.write("hot_accounts_not_noted", reason=lease.reason)
            return
        self._lease = lease
        put = Put(HOT_ACCOUNTS_KEY, orjson.dumps(hot_usage), lease.lease_id)
        written = yield self._store.commit((), (put,))
        if isinstance(written, StoreFailure):
            self._services.log.write("hot_accounts_not_noted", reason=written.reason)
        else:
            self._services.log.write("hot_accounts_noted", accounts=hot_usage)
