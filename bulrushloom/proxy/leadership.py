"""Leader election.

The leader reads the store on behalf of all instances and carries out failovers. It
holds a store lease and a fencing token that increases with each election.
"""

from collections.abc import Callable
from concurrent.futures import Future
from datetime import timedelta
from typing import Any, NamedTuple

import orjson

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.exchange.keys import EXCHANGE_KEYS_KEY, new_keys
from bulrushloom.proxy.failover.groups import FENCE_KEY, LEADER_KEY
from bulrushloom.proxy.store import (
    ExpectedRevision,
    Lease,
    ProxyStore,
    Put,
    Record,
    StoreFailure,
    StoreFailureKind,
    StoreSnapshot,
)
from bulrushloom.proxy.telemetry import EventLog
from bulrushloom.runtime.loop import Loop, Steps

LEASE_TTL = timedelta(milliseconds=2000)
RENEW_INTERVAL = timedelta(milliseconds=500)
RENEW_RETRY_INTERVAL = timedelta(milliseconds=200)
# Applies after the lease has expired on the local clock; the store only has to confirm
# the expiry.
EXPIRED_RETRY_INTERVAL = timedelta(seconds=1)
# Covers the time from the check of the lease until a call arrives at its destination.
LEASE_MARGIN = timedelta(milliseconds=500)
# Candidates wait in order of their rank, so that only few of them write to the store.
RANK_DELAY = timedelta(milliseconds=120)
MAX_CANDIDACY_DELAY = RANK_DELAY * 8
_EXPIRED = timedelta(days=-1)


class Holder(NamedTuple):
    """The leader record: the leader's identity and its fencing token."""

    name: str
    incarnation: str
    fence: int


def decode_holder(value: bytes) -> Holder | Missing:
    """Return the leader record in ``value``, or the reason why it is invalid."""
    try:
        fields = orjson.loads(value)
        return Holder(fields["name"], fields["incarnation"], int(fields["fence"]))
    except (KeyError, TypeError, ValueError) as error:
        return Missing(f"malformed leader record: {error!r}")


class Candidacy(NamedTuple):
    """The instance as a candidate for the leader lease.

    ``read_store`` returns a new snapshot of the store. ``has_live_leader`` returns
    whether another instance has become the leader in the meantime.
    """

    name: str
    incarnation: str
    read_store: Callable[[], "Future[Any]"]
    has_live_leader: Callable[[], bool] = lambda: False


class Leadership:
    """Acquisition and renewal of the leader lease by this instance.

    ``fence`` is the fencing token of the latest acquisition.
    """

    def __init__(
        self,
        loop: Loop,
        store: ProxyStore,
        log: EventLog,
        candidacy: Candidacy,
    ):
        self._loop = loop
        self._store = store
        self._log = log
        self._candidacy = candidacy
        self._lease: Lease | None = None
        self._valid_until = _EXPIRED
        self._is_acquiring = False
        self._is_revoking = False
        self._is_stopped = False
        self.fence = 0

    def is_leader(self) -> bool:
        """Return whether this instance is the leader.

        The lease is then still valid at the store, so no other instance can hold it.
        """
        return self._lease is not None and self._loop.now() < self._valid_until

    def try_acquire(self, snapshot: StoreSnapshot, delay: timedelta) -> None:
        """Try to acquire the lease if it is free; ``delay`` orders the candidates."""
        if LEADER_KEY in snapshot.record_by_key or self._is_stopped:
            return
        if self._is_acquiring or self._lease is not None:
            return
        self._is_acquiring = True
        self._loop.spawn(self._acquire(delay))

    def revoke_predecessor_lease(self, snapshot: StoreSnapshot) -> None:
        """Revoke the lease of the previous incarnation of this instance.

        That process no longer runs, so nobody relies on the lease, and the fleet does
        not have to wait until it expires.
        """
        record = snapshot.record_by_key.get(LEADER_KEY)
        if record is None or not record.lease_id or self._is_revoking:
            return
        holder = decode_holder(record.value)
        candidacy = self._candidacy
        if isinstance(holder, Missing) or holder.name != candidacy.name:
            return
        if holder.incarnation != candidacy.incarnation:
            self._is_revoking = True
            self._loop.spawn(self._revoke_predecessor_lease(record.lease_id, holder))

    def _revoke_predecessor_lease(self, lease_id: int, holder: Holder) -> Steps:
        failure = yield self._store.revoke_lease(lease_id)
        self._is_revoking = False
        self._log.write(
            "predecessor_lease_ended",
            fence=holder.fence,
            incarnation=holder.incarnation,
            failure=failure.reason if failure is not None else "",
        )
        if failure is None:
            yield self._candidacy.read_store()

    def _acquire(self, delay: timedelta) -> Steps:
        try:
            yield self._loop.sleep(min(delay, MAX_CANDIDACY_DELAY))
            if self._candidacy.has_live_leader():
                return
            # A candidate of a lower rank may have acquired the lease in the meantime.
            snapshot = yield self._candidacy.read_store()
            if isinstance(snapshot, StoreFailure):
                self._log.write("leader_not_acquired", reason=snapshot.reason)
                return
            if LEADER_KEY in snapshot.record_by_key:
                return
            fence_record = snapshot.record_by_key.get(FENCE_KEY)
            requested_at = self._loop.now()
            lease = yield self._store.create_lease(LEASE_TTL)
            if self._is_stopped:
                return
            if isinstance(lease, StoreFailure):
                self._log.write("leader_not_acquired", reason=lease.reason)
                return
            has_keys = EXCHANGE_KEYS_KEY in snapshot.record_by_key
            acquired = yield from self._write_record(fence_record, lease, has_keys)
            if acquired:
                self._lease = lease
                self._valid_until = requested_at + lease.ttl - LEASE_MARGIN
                self._log.write("leader_acquired", fence=self.fence)
                self._loop.spawn(self._renew_lease())
        finally:
            self._is_acquiring = False

    def _write_record(
        self, fence_record: Record | None, lease: Lease, has_keys: bool
    ) -> Steps:
        """Write the leader record; return whether this instance is the leader now.

        The first leader also creates the keys of the exchange between instances.
        """
        fence = 1 + (int(fence_record.value) if fence_record is not None else 0)
        candidacy = self._candidacy
        holder = Holder(candidacy.name, candidacy.incarnation, fence)
        expected = [
            ExpectedRevision(LEADER_KEY, 0),
            ExpectedRevision(FENCE_KEY, fence_record.revision if fence_record else 0),
        ]
        puts = [
            Put(LEADER_KEY, orjson.dumps(holder._asdict()), lease.lease_id),
            Put(FENCE_KEY, str(fence).encode()),
        ]
        if not has_keys:
            keys = new_keys(self._loop.clock.utcnow().timestamp())
            expected.append(ExpectedRevision(EXCHANGE_KEYS_KEY, 0))
            puts.append(Put(EXCHANGE_KEYS_KEY, keys.encode()))
        written = yield self._store.commit(expected, puts)
        if isinstance(written, StoreFailure):
            # The record may have been written and only the answer lost; revoking the
            # lease removes the record in that case.
            self._log.write("leader_not_acquired", reason=written.reason)
            yield self._store.revoke_lease(lease.lease_id)
            return False
        self.fence = fence
        return True

    def _renew_lease(self) -> Steps:
        while self._lease is not None and not self._is_stopped:
            lease, requested_at = self._lease, self._loop.now()
            renewed = yield self._store.renew_lease(lease.lease_id)
            if not isinstance(renewed, StoreFailure):
                self._valid_until = requested_at + renewed.ttl - LEASE_MARGIN
                yield self._loop.sleep(RENEW_INTERVAL)
                continue
            if renewed.kind is StoreFailureKind.NO_LEASE:
                self._lease = None
                self._valid_until = _EXPIRED
                self._log.write("leader_lost", fence=self.fence)
                return
            yield self._loop.sleep(
                RENEW_RETRY_INTERVAL if self.is_leader() else EXPIRED_RETRY_INTERVAL
            )

    def resign(self) -> Steps:
        """Revoke the lease so that another instance can acquire it immediately."""
        self._is_stopped = True
        lease, self._lease = self._lease, None
        self._valid_until = _EXPIRED
        if lease is not None:
            yield self._store.revoke_lease(lease.lease_id)
            self._log.write("leader_resigned", fence=self.fence)
