"""Note in the store which accounts are near their limit, for instances that restart.

An instance that starts knows nothing of what was admitted in the last window. Without a
note it may assume that no account had used more than ``HOT_ACCOUNT_SHARE`` of its
limit.
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
# An account at its limit shows within this time; each note is a priced call.
NOTE_INTERVAL = timedelta(seconds=1)
# The note outlasts the window in which the operations count.
TTL_MARGIN = timedelta(seconds=1)


def decode_hot_accounts(record_by_key: Mapping[str, Record]) -> dict[str, float]:
    """Return the operations in the window by account, as last noted."""
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
    """Write the note as long as this instance leads and an account is hot."""

    def __init__(
        self, services: Services, store: ProxyStore, leadership: Leadership
    ) -> None:
        self._services = services
        self._store = store
        self._leadership = leadership
        self._lease: Lease | None = None

    def run(self) -> Steps:
        """Look at the accounts at intervals."""
        loop = self._services.loop
        while True:
            yield loop.sleep(NOTE_INTERVAL)
            if not self._leadership.is_leader():
                self._lease = None
                continue
            accounts = self._services.configuration.account_by_name.values()
            used = self._services.limiter.limit_utilization(accounts, loop.now())
            hot = {
                name: admitted
                for name, (admitted, share) in used.items()
                if share > HOT_ACCOUNT_SHARE
            }
            if hot:
                yield from self._write(hot)
            else:
                self._lease = None

    def _write(self, hot: dict[str, float]) -> Steps:
        ttl = self._services.limiter.window.length + TTL_MARGIN
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
        put = Put(HOT_ACCOUNTS_KEY, orjson.dumps(hot), lease.lease_id)
        written = yield self._store.commit((), (put,))
        if isinstance(written, StoreFailure):
            self._services.log.write("hot_accounts_not_noted", reason=written.reason)
        else:
            self._services.log.write("hot_accounts_noted", accounts=hot)
