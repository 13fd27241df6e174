"""The lease of the one instance that reads the store for all and changes primaries."""

from collections.abc import Callable
from concurrent.futures import Future
from datetime import timedelta
from typing import Any, NamedTuple

import orjson

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.groups import FENCE_KEY, LEADER_KEY
from bulrushloom.proxy.store import (
    ExpectedRevision,
    Lease,
    ProxyStore,
    Put,
    Record,
    StoreFailure,
    StoreProblem,
    StoreSnapshot,
)
from bulrushloom.proxy.telemetry import EventLog
from bulrushloom.runtime.loop import Loop, Steps

LEASE_TTL = timedelta(milliseconds=2000)
RENEW_INTERVAL = timedelta(milliseconds=500)
RENEW_RETRY_INTERVAL = timedelta(milliseconds=200)
# The lease has ended by its own clock; the store is asked only to make sure.
LAPSED_RETRY_INTERVAL = timedelta(seconds=1)
# Covers the time between the check of the lease and the arrival of a call.
LEASE_MARGIN = timedelta(milliseconds=500)
# Candidates try one after the other, so that few of them write to the store.
RANK_DELAY = timedelta(milliseconds=120)
MAX_RANK = 8
_EXPIRED = timedelta(days=-1)


class Holder(NamedTuple):
    """Hold the leader's record: who it is and its fencing token."""

    name: str
    incarnation: str
    fence: int


def decode_holder(value: bytes) -> Holder | Missing:
    """Return the leader's record in ``value``, or why it is none."""
    try:
        fields = orjson.loads(value)
        return Holder(fields["name"], fields["incarnation"], int(fields["fence"]))
    except (KeyError, TypeError, ValueError) as error:
        return Missing(f"leader's record is broken: {error!r}")


class Candidacy(NamedTuple):
    """Name this instance as a candidate; ``read_store`` gives a new snapshot.

    ``has_live_leader`` tells that another instance was faster.
    """

    name: str
    incarnation: str
    read_store: Callable[[], "Future[Any]"]
    has_live_leader: Callable[[], bool] = lambda: False


class Leadership:
    """Acquire the lease when nobody has it, and keep it."""

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
        self._held_until = _EXPIRED
        self._is_acquiring = False
        self._is_ending = False
        self._is_stopped = False
        self.fence = 0

    def is_leader(self) -> bool:
        """Return whether no other instance can hold the lease now."""
        return self._lease is not None and self._loop.now() < self._held_until

    def on_snapshot(self, snapshot: StoreSnapshot, rank: int) -> None:
        """Look whether the lease is free; ``rank`` orders the candidates."""
        if LEADER_KEY in snapshot.record_by_key or self._is_stopped:
            return
        if self._is_acquiring or self._lease is not None:
            return
        self._is_acquiring = True
        self._loop.spawn(self._acquire(rank))

    def revoke_predecessor_lease(self, snapshot: StoreSnapshot) -> None:
        """End the lease that the last process of this instance has left behind.

        That process is gone, so nobody acts on the lease any more, and the fleet need
        not wait until it lapses.
        """
        record = snapshot.record_by_key.get(LEADER_KEY)
        if record is None or not record.lease_id or self._is_ending:
            return
        holder = decode_holder(record.value)
        candidacy = self._candidacy
        if isinstance(holder, Missing) or holder.name != candidacy.name:
            return
        if holder.incarnation != candidacy.incarnation:
            self._is_ending = True
            self._loop.spawn(self._end_predecessor(record.lease_id, holder))

    def _end_predecessor(self, lease_id: int, holder: Holder) -> Steps:
        failure = yield self._store.revoke_lease(lease_id)
        self._is_ending = False
        self._log.write(
            "predecessor_lease_ended",
            fence=holder.fence,
            incarnation=holder.incarnation,
            failure=failure.reason if failure is not None else "",
        )
        if failure is None:
            yield self._candidacy.read_store()

    def _acquire(self, rank: int) -> Steps:
        try:
            yield self._loop.sleep(RANK_DELAY * min(rank, MAX_RANK))
            if self._candidacy.has_live_leader():
                return
            # Candidates of a lower rank may have been faster.
            snapshot = yield self._candidacy.read_store()
            if isinstance(snapshot, StoreFailure):
                self._log.write("leader_not_acquired", reason=snapshot.reason)
                return
            if LEADER_KEY in snapshot.record_by_key:
                return
            fence = snapshot.record_by_key.get(FENCE_KEY)
            asked_at = self._loop.now()
            lease = yield self._store.create_lease(LEASE_TTL)
            if self._is_stopped:
                return
            if isinstance(lease, StoreFailure):
                self._log.write("leader_not_acquired", reason=lease.reason)
                return
            taken = yield from self._take(fence, lease)
            if taken:
                self._lease = lease
                self._held_until = asked_at + lease.ttl - LEASE_MARGIN
                self._log.write("leader_acquired", fence=self.fence)
                self._loop.spawn(self._keep())
        finally:
            self._is_acquiring = False

    def _take(self, fence: Record | None, lease: Lease) -> Steps:
        """Write the record; return whether this instance is the leader."""
        number = 1 + (int(fence.value) if fence is not None else 0)
        candidacy = self._candidacy
        holder = Holder(candidacy.name, candidacy.incarnation, number)
        written = yield self._store.commit(
            (
                ExpectedRevision(LEADER_KEY, 0),
                ExpectedRevision(FENCE_KEY, fence.revision if fence else 0),
            ),
            (
                Put(LEADER_KEY, orjson.dumps(holder._asdict()), lease.lease_id),
                Put(FENCE_KEY, str(number).encode()),
            ),
        )
        if isinstance(written, StoreFailure):
            # A lost answer leaves a record of a lease that nobody renews.
            self._log.write("leader_not_acquired", reason=written.reason)
            yield self._store.revoke_lease(lease.lease_id)
            return False
        self.fence = number
        return True

    def _keep(self) -> Steps:
        while self._lease is not None and not self._is_stopped:
            lease, asked_at = self._lease, self._loop.now()
            renewed = yield self._store.renew_lease(lease.lease_id)
            if not isinstance(renewed, StoreFailure):
                self._held_until = asked_at + renewed.ttl - LEASE_MARGIN
                yield self._loop.sleep(RENEW_INTERVAL)
                continue
            if renewed.problem is StoreProblem.NO_LEASE:
                self._lease = None
                self._held_until = _EXPIRED
                self._log.write("leader_lost", fence=self.fence)
                return
            yield self._loop.sleep(
                RENEW_RETRY_INTERVAL if self.is_leader() else LAPSED_RETRY_INTERVAL
            )

    def end(self) -> Steps:
        """Give the lease up, so that another instance can take it at once."""
        self._is_stopped = True
        lease, self._lease = self._lease, None
        self._held_until = _EXPIRED
        if lease is not None:
            yield self._store.revoke_lease(lease.lease_id)
            self._log.write("leader_resigned", fence=self.fence)
