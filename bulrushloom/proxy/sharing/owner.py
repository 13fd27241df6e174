"""The owner of the connections of a domain to targets."""

import itertools
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from datetime import timedelta

from bulrushloom.proxy.base import RefusalKind
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.connection_pool import ConnectionPool
from bulrushloom.proxy.connections import (
    ConnectionLost,
    ConnectionRejected,
    ServerConnection,
)
from bulrushloom.proxy.messages import AnswerCode
from bulrushloom.proxy.scheduling.base import (
    TargetLoad,
    TargetScheduler,
    WorkOutcome,
    WorkRequest,
)
from bulrushloom.proxy.sharing.leases import (
    Lease,
    LeaseHolder,
    LeaseOrder,
    LeaseRefusal,
)
from bulrushloom.proxy.sharing.schedulers import TargetSchedulers
from bulrushloom.runtime.loop import Loop, Steps, Timer
from bulrushloom.runtime.streams import Network

# Statements of open transactions come before new requests, because transactions occupy
# connections and hold locks.
TRANSACTION_PRIORITY = -1
# Time that a statement of an open transaction may wait for a place.
TRANSACTION_WAIT = timedelta(milliseconds=200)
RETRY_DELAY = timedelta(milliseconds=15)
# An owner without a connection to a target that rejected one opens the next after this
# time. All requests that wait would otherwise be rejected one after the other.
FULL_TIME = timedelta(milliseconds=250)
STOPPING_RETRY_DELAY = timedelta(milliseconds=1)
# Leases and requests for one at one target. Schedulers refuse much earlier.
MAX_LEASES = 1000
MIN_TIMER_DELAY = timedelta(milliseconds=1)
# An instance that is not the owner of a target by its own view keeps unused connections
# for this long, for instances that have another view.
FORMER_OWNER_IDLE_TIME = timedelta(milliseconds=250)
# It drops the scheduler of a target that nobody has asked for during this time, so that
# it does not rely on old measurements, and on what it sent itself under a hard limit,
# when it becomes the owner again.
FORMER_OWNER_LIFETIME = timedelta(seconds=2)
_ZERO = timedelta()
_REFUSAL_KIND_BY_CODE = {
    AnswerCode.TOO_MANY_CONNECTIONS: RefusalKind.TOO_MANY,
    AnswerCode.NOT_RUN: RefusalKind.BUSY,
}


class TargetEvents(ABC):
    """Receiver of what an owner learns about targets when it opens connections.

    An instance that asked may not wait any more when a target turns out to be lost.
    """

    @abstractmethod
    def on_too_many(self, target: Target) -> None:
        """Record that a target had too many connections."""

    @abstractmethod
    def on_unreachable(self, target: Target, reason: str, is_down: bool) -> None:
        """Record that a connection to a target could not be opened.

        With ``is_down``, no process listens at its address.
        """


class OwnedTarget:
    """The requests and leases of one target at its owner."""

    def __init__(
        self,
        loop: Loop,
        pool: ConnectionPool,
        target: Target,
        scheduler: TargetScheduler,
        events: "TargetEvents",
    ):
        self._loop = loop
        self._pool = pool
        self._events = events
        self._ids = itertools.count(1)
        self._waiting_by_id: dict[int, Lease] = {}
        self._without_connection: list[Lease] = []
        self._is_pumping = False
        self._timer: Timer | None = None
        self._timer_at = timedelta.max
        self._full_until = timedelta()
        self.target = target
        self.scheduler = scheduler
        self.leases: set[Lease] = set()
        self.requested_at = loop.now()

    def now(self) -> timedelta:
        """Return the monotonic time."""
        return self._loop.now()

    def request(self, order: LeaseOrder, holder: LeaseHolder, number: int) -> Lease:
        """Request a lease; ``holder`` may be called before this returns."""
        self.requested_at = self._loop.now()
        lease = Lease(self, order, holder, number)
        self.leases.add(lease)
        self._submit(lease, order.priority, order.in_time_until, order.start_deadline)
        return lease

    def submit_statement(self, lease: Lease) -> None:
        """Request a place for a further statement of an open transaction."""
        deadline = self._loop.now() + TRANSACTION_WAIT
        self._submit(lease, TRANSACTION_PRIORITY, deadline, deadline)

    def _submit(
        self,
        lease: Lease,
        priority: int,
        in_time_until: timedelta,
        deadline: timedelta,
    ) -> None:
        now = self._loop.now()
        lease.waiting = request_id = next(self._ids)
        self._waiting_by_id[request_id] = lease
        account = lease.order.account
        refusal = self.scheduler.submit(
            WorkRequest(request_id, account, priority, now, in_time_until, deadline),
            now,
        )
        if refusal is not None:
            self._refuse(request_id, refusal.reason, refusal.retry_after)
        self._pump()

    def _refuse(self, request_id: int, reason: str, retry_after: timedelta) -> None:
        lease = self._waiting_by_id.pop(request_id, None)
        if lease is not None:
            lease.refuse(LeaseRefusal(RefusalKind.NOT_IN_TIME, reason, retry_after))

    def _pump(self) -> None:
        """Start what the scheduler admits, and refuse what it gives up."""
        if self._is_pumping:
            return
        self._is_pumping = True
        try:
            while True:
                now = self._loop.now()
                # A request at its deadline starts if there is a place for it.
                admitted = self.scheduler.admit(now)
                for request_id in admitted:
                    lease = self._waiting_by_id.pop(request_id, None)
                    if lease is None:
                        self.scheduler.finish(request_id, WorkOutcome.UNUSED, None, now)
                    else:
                        lease.take_place(request_id)
                refusals = self.scheduler.expire(now)
                for refusal in refusals:
                    self._refuse(
                        refusal.request_id, refusal.reason, refusal.retry_after
                    )
                if not refusals and not admitted:
                    break
        finally:
            self._is_pumping = False
        self._set_timer()

    def _set_timer(self) -> None:
        now = self._loop.now()
        at = self.scheduler.next_event_at(now)
        if at is None or at >= self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = max(at, now + MIN_TIMER_DELAY)
        self._timer = self._loop.call_later(self._timer_at - now, self._on_timer)

    def _on_timer(self) -> None:
        self._timer, self._timer_at = None, timedelta.max
        self._pump()

    def record_sent(self, place: int) -> None:
        """Tell the scheduler that a statement is sent with a place."""
        self.scheduler.record_sent(place, self._loop.now())

    def finish(
        self, place: int, outcome: WorkOutcome, duration: timedelta | None
    ) -> None:
        """Give a place back to the scheduler."""
        self.scheduler.finish(place, outcome, duration, self._loop.now())
        self._pump()

    def provide_connection(self, lease: Lease) -> None:
        """Find or open a connection for a lease that has a place."""
        order = lease.order
        connection = self._pool.acquire_idle(
            order.target_id, order.account, order.values
        )
        full_for = self._full_until - self._loop.now()
        if connection is not None:
            lease.grant(connection, self._loop.now())
        elif full_for > _ZERO and not self._pool.size_of(order.target_id):
            reason = "the target has too many connections"
            refusal = LeaseRefusal(RefusalKind.TOO_MANY, reason, full_for)
            lease.fail_to_open(refusal, WorkOutcome.UNUSED)
        else:
            self._loop.spawn(self._open_for(lease))

    def _open_for(self, lease: Lease) -> Steps:
        """Open a connection for a lease.

        If all are in use, the lease waits without its place: transactions may have
        them, which need places for their next statements.
        """
        order = lease.order
        try:
            connection = yield from self._pool.acquire(
                self.target, order.account, order.values, order.priority, _ZERO
            )
        except TimeoutError:
            lease.leave_place()
            if not lease.has_ended:
                self._without_connection.append(lease)
        except ConnectionRejected as error:
            self._fail_rejected(lease, error)
        except ConnectionLost as error:
            self._events.on_unreachable(self.target, str(error), error.refused)
            lease.fail_to_open(
                LeaseRefusal(RefusalKind.UNREACHABLE, str(error), RETRY_DELAY)
            )
        else:
            if not lease.has_ended:
                lease.grant(connection, self._loop.now())
                return
            self._pool.release(connection)
            lease.free_place(WorkOutcome.UNUSED)

    def _fail_rejected(self, lease: Lease, error: ConnectionRejected) -> None:
        code = error.failure.code
        if code is AnswerCode.TOO_MANY_CONNECTIONS:
            self._full_until = self._loop.now() + FULL_TIME
            self._events.on_too_many(self.target)
        kind = _REFUSAL_KIND_BY_CODE.get(code, RefusalKind.UNREACHABLE)
        outcome = {
            RefusalKind.BUSY: WorkOutcome.BUSY,
            RefusalKind.TOO_MANY: WorkOutcome.UNUSED,
        }.get(kind, WorkOutcome.FAILED)
        lease.fail_to_open(LeaseRefusal(kind, str(error), RETRY_DELAY), outcome)

    def release(self, connection: ServerConnection) -> None:
        """Return a connection to the pool."""
        self._pool.release(connection)

    def forget(self, lease: Lease) -> None:
        """Drop a lease that has ended."""
        self.leases.discard(lease)
        if lease in self._without_connection:
            self._without_connection.remove(lease)
        elif lease.connection is not None and self._without_connection:
            self._loop.call_soon(self._resubmit_next)
        if lease.waiting is not None:
            self.scheduler.cancel(lease.waiting)
            self._waiting_by_id.pop(lease.waiting, None)
            lease.waiting = None

    def check(self, now: timedelta, idle_limit: timedelta) -> None:
        """Check the leases; called at short intervals."""
        for lease in list(self.leases):
            lease.check(now, idle_limit)
        late = [x for x in self._without_connection if now >= x.order.start_deadline]
        for lease in late:
            reason = "all connections of the domain are in use"
            lease.refuse(LeaseRefusal(RefusalKind.NO_CONNECTION, reason, RETRY_DELAY))
        self._resubmit_next()

    def _resubmit_next(self) -> None:
        """Request a place again for a lease that found no connection."""
        if not self._without_connection:
            return
        lease = min(
            self._without_connection,
            key=lambda waiting: (waiting.order.priority, waiting.order.in_time_until),
        )
        self._without_connection.remove(lease)
        order = lease.order
        self._submit(lease, order.priority, order.in_time_until, order.start_deadline)


class Owner:
    """Owner of connections to all targets that this instance is asked for.

    ``find_target`` returns the target with an id, or why it may not be used.
    ``connection_quota`` returns how many connections to a target the owner may have.
    """

    def __init__(
        self,
        loop: Loop,
        network: Network,
        find_target: Callable[[str], Target | LeaseRefusal],
        schedulers: TargetSchedulers,
        connection_quota: Callable[[Target], int],
        events: TargetEvents,
    ):
        self._loop = loop
        self._find_target = find_target
        self._schedulers = schedulers
        self._connection_quota = connection_quota
        self._owned_by_id: dict[str, OwnedTarget] = {}
        self.pool = ConnectionPool(loop, network, connection_quota)
        self._events = events

    def request(
        self, order: LeaseOrder, holder: LeaseHolder, number: int
    ) -> Lease | LeaseRefusal:
        """Request a lease; ``holder`` may be called before this returns."""
        target = self._find_target(order.target_id)
        if isinstance(target, LeaseRefusal):
            return target
        owned = self._owned(target)
        if len(owned.leases) >= MAX_LEASES:
            return LeaseRefusal(
                RefusalKind.OVERLOADED, "the owner has too many requests", RETRY_DELAY
            )
        return owned.request(order, holder, number)

    def _owned(self, target: Target) -> OwnedTarget:
        owned = self._owned_by_id.get(target.target_id)
        if owned is None:
            owned = OwnedTarget(
                self._loop,
                self.pool,
                target,
                self._schedulers.make(target, self._loop.now()),
                self._events,
            )
            self._owned_by_id[target.target_id] = owned
        return owned

    def load(self, target_id: str) -> TargetLoad | None:
        """Return the load of a target, ``None`` if none was requested here."""
        owned = self._owned_by_id.get(target_id)
        return owned.scheduler.load if owned is not None else None

    def target_ids(self) -> list[str]:
        """Return the ids of the targets that were requested here."""
        return list(self._owned_by_id)

    def lease_count(self) -> int:
        """Return the number of leases and of requests for one."""
        return sum(len(owned.leases) for owned in self._owned_by_id.values())

    def update_targets(self, target_by_id: Mapping[str, Target]) -> None:
        """Use the listed targets; close connections to those that are gone."""
        now = self._loop.now()
        for target_id, owned in list(self._owned_by_id.items()):
            target = target_by_id.get(target_id)
            if target is not None:
                if target.born_ms != owned.target.born_ms:
                    owned.scheduler.record_restart(now)
                owned.target = target
                self._schedulers.adapt(target)
            else:
                self.pool.close_idle_connections(target_id, "the target is gone")
                if not owned.leases:
                    self._forget(target_id)

    def _forget(self, target_id: str) -> None:
        del self._owned_by_id[target_id]
        self._schedulers.forget(target_id)

    def check(self, idle_limit: timedelta, is_owner: Callable[[str], bool]) -> None:
        """Check leases and unused connections; called at short intervals.

        Leases that their holder does not use for ``idle_limit`` end. Unused connections
        are closed if there are more than the quota, or if ``is_owner`` is false.
        """
        now = self._loop.now()
        for target_id, owned in list(self._owned_by_id.items()):
            if owned.leases:
                owned.check(now, idle_limit)
            elif not is_owner(target_id) and (
                now - owned.requested_at > FORMER_OWNER_LIFETIME
            ):
                self._forget(target_id)
        for target_id in self.pool.target_ids():
            owned_target = self._owned_by_id.get(target_id)
            if owned_target is not None:
                allowed = self._connection_quota(owned_target.target)
                if self.pool.size_of(target_id) > allowed:
                    self.pool.close_excess_idle(target_id, allowed)
            if not is_owner(target_id):
                self.pool.close_idle_connections(
                    target_id,
                    "another instance owns the connections",
                    now - FORMER_OWNER_IDLE_TIME,
                )

    def close(self) -> None:
        """Close all connections."""
        self.pool.close()
