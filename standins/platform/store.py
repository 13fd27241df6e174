"""An in-memory implementation of the proxy's store interface, with faults."""

from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import Future
from datetime import timedelta
from typing import Any, NamedTuple

from bulrushloom.proxy.configuration import Configuration, Target
from bulrushloom.proxy.membership import MEMBER_PREFIX
from bulrushloom.proxy.store import (
    ConfigurationDocument,
    ExpectedRevision,
    Lease,
    Promotion,
    ProxyStore,
    Put,
    Record,
    StoreFailure,
    StoreFailureKind,
    StoreSnapshot,
)
from bulrushloom.proxy.store_eras import era_key
from bulrushloom.runtime.loop import Loop, set_result_if_pending
from standins.platform.group import SimulatedGroup

ANSWER_DELAY = timedelta(milliseconds=4)
NO_ANSWER_DELAY = timedelta(milliseconds=900)
PROMOTE_DELAY = timedelta(milliseconds=300)
_ZERO = timedelta()


class _Lease(NamedTuple):
    ttl: timedelta
    expires_at: timedelta


class StoreCopy(NamedTuple):
    """State of the store at one moment, from which it can return."""

    configuration: Configuration
    record_by_key: dict[str, Record]
    lease_by_key: dict[str, int]
    leases: dict[int, _Lease]
    revision: int
    last_lease_id: int
    evacuated_domains: frozenset[str]


class SimulatedStore:
    """The records and leases of the store.

    ``is_down`` makes all calls fail, ``refused`` those of the named instances.
    ``answers_to_lose`` is the number of next calls that take effect but are not
    answered; their writes take effect only after ``write_delay``.
    ``evacuated_domains`` are those whose evacuation the operators have requested.
    ``era`` rises with each return from a copy.
    """

    def __init__(
        self,
        loop: Loop,
        configuration: Configuration,
        targets: Callable[[], Mapping[str, Target]],
    ):
        self.loop = loop
        self.configuration = configuration
        self.targets = targets
        self.record_by_key: dict[str, Record] = {}
        self.lease_by_key: dict[str, int] = {}
        self.leases: dict[int, _Lease] = {}
        self.revision = 0
        self.last_lease_id = 99
        self.era = 0
        self.calls = 0
        self.is_down = False
        self.refused: set[str] = set()
        self.answers_to_lose = 0
        self.write_delay = timedelta()
        self.read_delay = timedelta()
        self.reads = 0
        self.evacuated_domains: set[str] = set()

    def client(self, name: str) -> "SimulatedStoreClient":
        """Return the store client of an instance."""
        return SimulatedStoreClient(self, name)

    def copy(self) -> StoreCopy:
        """Return a copy of the present state."""
        self.expire()
        return StoreCopy(
            self.configuration,
            dict(self.record_by_key),
            dict(self.lease_by_key),
            dict(self.leases),
            self.revision,
            self.last_lease_id,
            frozenset(self.evacuated_domains),
        )

    def return_from(self, copy: StoreCopy) -> None:
        """Lose what was written since ``copy``, and begin the next era.

        Leases of the copy last for their full time to live. Revisions and lease numbers
        are given out again. Targets are written again at once by the servers.
        """
        self.era += 1
        self.configuration = copy.configuration
        self.record_by_key = dict(copy.record_by_key)
        self.lease_by_key = dict(copy.lease_by_key)
        now = self.loop.now()
        self.leases = {
            lease_id: lease._replace(expires_at=now + lease.ttl)
            for lease_id, lease in copy.leases.items()
        }
        self.revision, self.last_lease_id = copy.revision, copy.last_lease_id
        self.evacuated_domains = set(copy.evacuated_domains)

    def expire(self) -> None:
        """End the leases that have expired."""
        now = self.loop.now()
        for lease_id, lease in list(self.leases.items()):
            if lease.expires_at <= now:
                self.end_lease(lease_id)

    def end_lease(self, lease_id: int) -> None:
        """End a lease and delete its records."""
        self.leases.pop(lease_id, None)
        for key, owner in list(self.lease_by_key.items()):
            if owner == lease_id:
                del self.lease_by_key[key]
                del self.record_by_key[key]
                self.revision += 1

    def commit(
        self, expected: Sequence[ExpectedRevision], puts: Sequence[Put]
    ) -> int | StoreFailure:
        """Write all of ``puts`` if all expectations hold, or nothing."""
        self.expire()
        for expectation in expected:
            record = self.record_by_key.get(expectation.key)
            if (record.revision if record else 0) != expectation.revision:
                reason = f"{expectation.key} has changed"
                return StoreFailure(StoreFailureKind.CONFLICT, reason)
        for put in puts:
            if put.lease_id and put.lease_id not in self.leases:
                return StoreFailure(StoreFailureKind.NO_LEASE, "no such lease")
        self.revision += 1
        for put in puts:
            self.record_by_key[put.key] = Record(
                put.key, put.value, self.revision, put.lease_id
            )
            self.lease_by_key.pop(put.key, None)
            if put.lease_id:
                self.lease_by_key[put.key] = put.lease_id
        return self.revision


class SimulatedStoreClient(ProxyStore):
    """The store client of one instance, with delayed and lost answers.

    Calls after ``close`` are neither executed nor answered.
    """

    def __init__(self, store: SimulatedStore, name: str):
        self._store = store
        self._name = name
        self._loop = store.loop
        self._is_closed = False

    def close(self) -> None:
        """Make no further calls."""
        self._is_closed = True

    def _call(
        self,
        action: Callable[[], Any],
        writes: bool = False,
        read_delay: timedelta = _ZERO,
    ) -> "Future[Any]":
        future: Future[Any] = Future()
        if self._is_closed:
            return future
        store = self._store
        store.calls += 1
        if store.is_down or self._name in store.refused:
            failure = StoreFailure(StoreFailureKind.NOT_DONE, "the store is away")
            self._loop.call_later(
                ANSWER_DELAY, lambda: set_result_if_pending(future, failure)
            )
            return future
        loses = bool(store.answers_to_lose)
        if loses:
            store.answers_to_lose -= 1
            failure = StoreFailure(StoreFailureKind.UNKNOWN, "no answer")
            self._loop.call_later(
                NO_ANSWER_DELAY, lambda: set_result_if_pending(future, failure)
            )
        delay = ANSWER_DELAY / 2 + read_delay
        if writes and loses:
            delay += store.write_delay

        def run_action() -> None:
            result = action()
            if not loses:
                self._loop.call_later(
                    ANSWER_DELAY / 2, lambda: set_result_if_pending(future, result)
                )

        self._loop.call_later(delay, run_action)
        return future

    def snapshot(self, with_members: bool) -> "Future[StoreSnapshot | StoreFailure]":
        """Read the configuration and all records."""
        requested_at = self._loop.now()
        self._store.reads += 1
        return self._call(
            lambda: self._snapshot(requested_at), read_delay=self._store.read_delay
        )

    def _snapshot(self, requested_at: timedelta) -> StoreSnapshot:
        store = self._store
        store.expire()
        members = {
            key: record
            for key, record in store.record_by_key.items()
            if key.startswith(MEMBER_PREFIX)
        }
        records = {
            key: record
            for key, record in store.record_by_key.items()
            if key not in members
        }
        return StoreSnapshot(
            requested_at,
            store.revision,
            store.configuration,
            store.targets(),
            records,
            members,
            frozenset(store.evacuated_domains),
            store.era,
        )

    def document(self) -> ConfigurationDocument | None:
        """Return ``None``; simulated instances read the store directly."""
        return None

    def apply_document(self, document: ConfigurationDocument) -> Configuration:
        """Return the store's configuration; ``document`` is ignored."""
        return self._store.configuration

    def create_lease(self, ttl: timedelta) -> "Future[Lease | StoreFailure]":
        """Create a lease."""
        return self._call(lambda: self._create(ttl), writes=True)

    def _create(self, ttl: timedelta) -> Lease:
        self._store.last_lease_id += 1
        lease_id = self._store.last_lease_id
        self._store.leases[lease_id] = _Lease(ttl, self._loop.now() + ttl)
        return Lease(lease_id, ttl, self._store.era)

    def renew_lease(
        self, lease_id: int, era: int = 0
    ) -> "Future[Lease | StoreFailure]":
        """Renew a lease; it is lost in a later era."""
        return self._call(lambda: self._renew(lease_id, era), writes=True)

    def _renew(self, lease_id: int, era: int) -> Lease | StoreFailure:
        self._store.expire()
        lease = self._store.leases.get(lease_id)
        if lease is None:
            return StoreFailure(StoreFailureKind.NO_LEASE, "it has ended")
        renewed = _Lease(lease.ttl, self._loop.now() + lease.ttl)
        self._store.leases[lease_id] = renewed
        if self._store.era != era:
            return StoreFailure(StoreFailureKind.NO_LEASE, "it is of an earlier era")
        return Lease(lease_id, lease.ttl, era)

    def revoke_lease(
        self, lease_id: int, era: int = 0
    ) -> "Future[StoreFailure | None]":
        """End a lease before it expires."""
        return self._call(lambda: self._store.end_lease(lease_id), writes=True)

    def commit(
        self, expected: Sequence[ExpectedRevision], puts: Sequence[Put], era: int = 0
    ) -> "Future[int | StoreFailure]":
        """Write all of ``puts`` if all expectations hold, or nothing."""
        conditions = [*expected, ExpectedRevision(era_key(era + 1), 0)]
        return self._call(lambda: self._commit(conditions, puts, era), writes=True)

    def _commit(
        self, expected: Sequence[ExpectedRevision], puts: Sequence[Put], era: int
    ) -> int | StoreFailure:
        written = self._store.commit(expected, puts)
        if self._store.era != era and not isinstance(written, StoreFailure):
            return StoreFailure(StoreFailureKind.UNKNOWN, "it is another era")
        return written


class PromotionOrder(NamedTuple):
    """A promotion that a leader ordered."""

    target_id: str
    holder: str
    fence: int
    at: timedelta


class SimulatedPromotion(Promotion):
    """Promotion of servers in a simulated group.

    As on the real platform, the fence is recorded but not checked. Of the next orders,
    ``orders_to_lose`` neither take effect nor are answered, and ``answers_to_lose``
    take effect without an answer.
    """

    def __init__(self, loop: Loop, group: SimulatedGroup):
        self._loop = loop
        self._group = group
        self.orders: list[PromotionOrder] = []
        self.orders_to_lose = 0
        self.answers_to_lose = 0

    def promote(
        self,
        service: str,
        target_id: str,
        holder: str,
        fence: int,
        is_allowed: Callable[[], bool],
    ) -> "Future[int]":
        """Promote a server; the answer may be lost."""
        future: Future[int] = Future()
        self.orders.append(PromotionOrder(target_id, holder, fence, self._loop.now()))
        if self.orders_to_lose:
            self.orders_to_lose -= 1
            self._loop.call_later(
                NO_ANSWER_DELAY, lambda: set_result_if_pending(future, 0)
            )
            return future
        server = self._group.server_by_id.get(target_id)
        status = 200 if server is not None else 409
        if server is not None and server is not self._group.present_primary():
            self._group.promote(target_id, PROMOTE_DELAY)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            self._loop.call_later(
                NO_ANSWER_DELAY, lambda: set_result_if_pending(future, 0)
            )
        else:
            self._loop.call_later(
                ANSWER_DELAY, lambda: set_result_if_pending(future, status)
            )
        return future
