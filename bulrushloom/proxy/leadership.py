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
from bulrushloom.proxy.exchange.keys import (
    EXCHANGE_KEYS_KEY,
    ExchangeKeys,
    new_keys,
)
from bulrushloom.proxy.failover.groups import FENCE_KEY, LEADER_KEY
from bulrushloom.proxy.store import (
    ExpectedRevision,
    Lease,
    ProxyStore,
    Put,
    StoreFailure,
    StoreFailureKind,
    StoreSnapshot,
)
from bulrushloom.proxy.store_eras import (
    UNSETTLED_VALUE,
    era_key,
    era_of,
    is_settled,
    next_fence,
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
MAX_SKIPPED_ERAS = 16
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
    whether another instance has become the leader in the meantime. ``known_keys``
    returns the keys of the exchange that the instance uses, if any.
    """

    name: str
    incarnation: str
    read_store: Callable[[], "Future[Any]"]
    has_live_leader: Callable[[], bool] = lambda: False
    known_keys: Callable[[], ExchangeKeys | None] = lambda: None


def _era_puts(previous: int, era: int) -> list[Put]:
    """Return the writes of the keys of the eras after ``previous``, up to ``era``.

    A write that was decided in one of them must fail. Only the latest are written: a
    write is decided at most seconds before it arrives.
    """
    first = max(previous + 1, era - MAX_SKIPPED_ERAS)
    return [Put(era_key(number), UNSETTLED_VALUE) for number in range(first, era + 1)]


class Leadership:
    """Acquisition and renewal of the leader lease by this instance.

    ``fence`` is the fencing token of the latest acquisition, ``era`` the one of the
    store in which it took place. ``is_settled`` is false until the records that the
    copy of this era lacks are written back.
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
        self.era = 0
        self.is_settled = True

    def is_leader(self) -> bool:
        """Return whether this instance is the leader.

        The lease is then still valid at the store, so no other instance can hold it.
        """
        return self._lease is not None and self._loop.now() < self._valid_until

    def may_decide(self) -> bool:
        """Return whether this instance is the leader and may change groups.

        The leader of a new era must first learn what the copy of the store lacks.
        """
        return self.is_settled and self.is_leader()

    def try_acquire(self, snapshot: StoreSnapshot, delay: timedelta) -> None:
        """Try to acquire the lease if it is free; ``delay`` orders the candidates."""
        if LEADER_KEY in snapshot.record_by_key or self._is_stopped:
            return
        if self._is_acquiring or self._lease is not None:
            return
        self._is_acquiring = True
        self._loop.spawn(self._acquire(delay, snapshot.era))

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
            lease = Lease(record.lease_id, LEASE_TTL, snapshot.era)
            self._loop.spawn(self._revoke_predecessor_lease(lease, holder))

    def _revoke_predecessor_lease(self, lease: Lease, holder: Holder) -> Steps:
        failure = yield self._store.revoke_lease(lease.lease_id, lease.era)
        self._is_revoking = False
        self._log.write(
            "predecessor_lease_ended",
            fence=holder.fence,
            incarnation=holder.incarnation,
            failure=failure.reason if failure is not None else "",
        )
        if failure is None:
            yield self._candidacy.read_store()

    def _acquire(self, delay: timedelta, era: int) -> Steps:
        """Acquire the lease, unless ``era`` ends meanwhile.

        In the next era, a candidate has to wait for the lease of the earlier leader.
        """
        try:
            yield self._loop.sleep(min(delay, MAX_CANDIDACY_DELAY))
            if self._candidacy.has_live_leader():
                return
            # A candidate of a lower rank may have acquired the lease in the meantime.
            snapshot = yield self._candidacy.read_store()
            if isinstance(snapshot, StoreFailure):
                self._log.write("leader_not_acquired", reason=snapshot.reason)
                return
            if LEADER_KEY in snapshot.record_by_key or snapshot.era != era:
                return
            requested_at = self._loop.now()
            lease = yield self._store.create_lease(LEASE_TTL)
            if self._is_stopped:
                return
            if isinstance(lease, StoreFailure):
                self._log.write("leader_not_acquired", reason=lease.reason)
                return
            if lease.era != era:
                reason = "the store returned from a copy"
                self._log.write("leader_not_acquired", reason=reason)
                return
            acquired = yield from self._write_record(snapshot, lease)
            if acquired:
                self._lease = lease
                self._valid_until = requested_at + lease.ttl - LEASE_MARGIN
                self._log.write("leader_acquired", fence=self.fence)
                self._loop.spawn(self._renew_lease())
        finally:
            self._is_acquiring = False

    def _write_record(self, snapshot: StoreSnapshot, lease: Lease) -> Steps:
        """Write the leader record; return whether this instance is the leader now.

        The first leader also creates the keys of the exchange between instances, and
        the first one of an era the key of the era, which ends the earlier eras.
        """
        fence_record = snapshot.record_by_key.get(FENCE_KEY)
        previous = int(fence_record.value) if fence_record is not None else 0
        fence = next_fence(previous, lease.era)
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
        puts += _era_puts(era_of(previous), lease.era)
        if EXCHANGE_KEYS_KEY not in snapshot.record_by_key:
            known = candidacy.known_keys()
            keys = known or new_keys(self._loop.clock.utcnow().timestamp())
            keys = keys.in_era(lease.era)
            expected.append(ExpectedRevision(EXCHANGE_KEYS_KEY, 0))
            puts.append(Put(EXCHANGE_KEYS_KEY, keys.encode()))
        written = yield self._store.commit(expected, puts, lease.era)
        if isinstance(written, StoreFailure):
            # The record may have been written and only the answer lost; revoking the
            # lease removes the record in that case.
            self._log.write("leader_not_acquired", reason=written.reason)
            yield self._store.revoke_lease(lease.lease_id, lease.era)
            return False
        self.fence, self.era = fence, lease.era
        self.is_settled = is_settled(snapshot.record_by_key, lease.era)
        return True

    def _renew_lease(self) -> Steps:
        while self._lease is not None and not self._is_stopped:
            lease, requested_at = self._lease, self._loop.now()
            renewed = yield self._store.renew_lease(lease.lease_id, lease.era)
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
            yield self._store.revoke_lease(lease.lease_id, lease.era)
            self._log.write("leader_resigned", fence=self.fence)
