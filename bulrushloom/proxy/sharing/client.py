"""Leasing of connections from the owners of the domain."""

from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import Future
from datetime import timedelta

from bulrushloom.proxy.base import (
    LeasedConnection,
    LeaseRefused,
    NoOwnerAnswers,
    RefusalKind,
    WaitLimits,
)
from bulrushloom.proxy.clients.memory_budget import MemoryBudget
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.connections import ServerConnection
from bulrushloom.proxy.exchange.keys import ExchangeKeys
from bulrushloom.proxy.exchange.messages import Member
from bulrushloom.proxy.messages import ServerAnswer
from bulrushloom.proxy.scheduling.base import TargetLoad
from bulrushloom.proxy.scheduling.placement import LoadReports
from bulrushloom.proxy.sharing.connections import LocalConnection
from bulrushloom.proxy.sharing.leases import (
    Lease,
    LeaseHolder,
    LeaseOrder,
    LeaseRefusal,
    is_state_small,
)
from bulrushloom.proxy.sharing.links import OwnerLink, OwnerUnavailable
from bulrushloom.proxy.sharing.owner import Owner
from bulrushloom.proxy.sharing.ownership import (
    MAX_OWNERS_ASKED,
    SILENCE_LIMIT,
    OwnerChooser,
)
from bulrushloom.proxy.sharing.protocol import MAX_NAME_LENGTH, WireLoad
from bulrushloom.proxy.telemetry import EventLog, Metrics
from bulrushloom.runtime.loop import (
    Loop,
    Steps,
    set_exception_if_pending,
    set_result_if_pending,
)
from bulrushloom.runtime.streams import Network

# An owner refuses a request at its deadline. One that it has admitted may take longer,
# because a connection is opened for it.
GRANT_MARGIN = timedelta(milliseconds=150)
# Time that a further owner has after one was silent for the whole wait of a statement.
MIN_WAIT = timedelta(milliseconds=40)
# Time that silent owners take from a statement before it uses a direct connection.
MAX_SILENT_WAIT = 2 * SILENCE_LIMIT
# Age from which the load that an owner has told is not used any more.
LOAD_LIFETIME = timedelta(seconds=1)
# Refusals after which another owner is asked.
OWNER_REFUSALS = frozenset(
    {RefusalKind.STOPPING, RefusalKind.UNKNOWN_TARGET, RefusalKind.OVERLOADED}
)


class _LocalHolder(LeaseHolder):
    """Holder of a lease from the owner in the same process."""

    def __init__(self, target: Target):
        self._target = target
        self._connection: LocalConnection | None = None
        self.granted: Future[LeasedConnection] = Future()

    def on_granted(self, lease: Lease, connection: ServerConnection) -> None:
        """Complete the request; return the connection if nobody waits for it."""
        local = LocalConnection(self._target, lease.order.account, lease)
        local.use(connection)
        self._connection = local
        set_result_if_pending(self.granted, local)

    def on_refused(self, lease: Lease, refusal: LeaseRefusal) -> None:
        """Fail the request."""
        set_exception_if_pending(self.granted, LeaseRefused(*refusal))

    def on_answer(self, lease: Lease, answer: ServerAnswer) -> None:
        """Complete the oldest unanswered statement."""
        if self._connection is not None:
            self._connection.deliver(answer)

    def on_lost(self, lease: Lease, reason: str, was_sent: bool) -> None:
        """Fail the unanswered statements."""
        if self._connection is not None:
            self._connection.lose(reason, was_sent)


class LeaseClient:
    """Requests leases from the owners of the domain, this instance among them.

    ``keys`` returns the exchange keys, ``None`` if there are none yet. ``reports`` gets
    the loads of targets that their owners tell. ``memory`` counts the buffers of the
    connections to owners.
    """

    def __init__(
        self,
        loop: Loop,
        network: Network,
        own: Member,
        owner: Owner,
        keys: Callable[[], ExchangeKeys | None],
        log: EventLog,
        metrics: Metrics,
        reports: LoadReports,
        memory: MemoryBudget,
    ):
        self._loop = loop
        self._network = network
        self._own = own
        self._owner = owner
        self._keys = keys
        self._log = log
        self._metrics = metrics
        self._member_by_name: dict[str, Member] = {}
        self._link_by_name: dict[str, OwnerLink] = {}
        self._reports = reports
        self._memory = memory
        self._last_owner_by_target: dict[str, str] = {}
        self.chooser = OwnerChooser()

    def update_members(self, members: Iterable[Member], is_stopping: bool) -> None:
        """Set the other instances of the domain."""
        self._member_by_name = {member.name: member for member in members}
        names = set(self._member_by_name)
        if not is_stopping:
            names.add(self._own.name)
        self.chooser.update_members(names, self._loop.now())
        for name, link in list(self._link_by_name.items()):
            member = self._member_by_name.get(name)
            if member is None and link.has_leases:
                # A stopping owner leaves the list before the leases end. It closes the
                # connection itself.
                continue
            if member != link.member:
                del self._link_by_name[name]
                link.close("the instance is gone or has restarted")

    def is_owner(self, target_id: str) -> bool:
        """Return whether this instance owns a target by its own view."""
        return self.owned_since(target_id) is not None

    def owned_since(self, target_id: str) -> timedelta | None:
        """Return since when this instance owns a target, ``None`` if it does not."""
        return self.chooser.owned_since(target_id, self._own.name, self._loop.now())

    # Leases

    def acquire(
        self,
        target: Target,
        account: str,
        values: Mapping[bytes, bytes],
        priority: int,
        wait_limits: WaitLimits,
    ) -> Steps:
        """Lease a connection; see ``SharedConnections.acquire``."""
        if not is_state_small(values) or len(account) > MAX_NAME_LENGTH:
            raise NoOwnerAnswers("the request does not fit in a message")
        started_at = self._loop.now()
        in_time_until = started_at + wait_limits.in_time
        deadline = started_at + wait_limits.useful
        tried: list[str] = []
        while len(tried) < MAX_OWNERS_ASKED:
            if self._loop.now() - started_at >= MAX_SILENT_WAIT:
                break
            name = self._choose(target.target_id, tried)
            if not name:
                break
            now = self._loop.now()
            start_deadline = max(deadline, now + MIN_WAIT) if tried else deadline
            order = LeaseOrder(
                target.target_id,
                account,
                values,
                priority,
                in_time_until,
                start_deadline,
            )
            try:
                if name == self._own.name:
                    return (yield from self._lease_locally(target, order))
                return (yield from self._lease_from(name, target, order))
            except OwnerUnavailable as error:
                self._skip(name, str(error))
                tried.append(name)
            except LeaseRefused as error:
                if error.kind not in OWNER_REFUSALS:
                    raise
                if error.kind is RefusalKind.STOPPING:
                    self._skip(name, str(error))
                tried.append(name)
        self._metrics.count("leases_without_owner")
        raise NoOwnerAnswers(f"{len(tried)} owners asked")

    def _choose(self, target_id: str, tried: Iterable[str]) -> str:
        """Return the name of the owner to ask, empty if there is none."""
        while True:
            now = self._loop.now()
            choice = self.chooser.choose(target_id, now, tried)
            usable = [name for name in choice.returning if self._is_back(name, now)]
            if not usable:
                break
            for name in usable:
                self.chooser.record_contact(name, now)
        if choice.name and self._last_owner_by_target.get(target_id) != choice.name:
            self._last_owner_by_target[target_id] = choice.name
            self._metrics.count("owner_changes")
            self._log.write("owner_changed", target=target_id, owner=choice.name)
        return choice.name

    def _is_back(self, name: str, now: timedelta) -> bool:
        """Return whether a skipped instance answers again; find out if not known."""
        if name == self._own.name:
            return True
        link = self._link(name)
        if link is None or link.is_usable:
            return link is not None
        if link.is_silent:
            link.probe()
            self.chooser.record_failure(name, now)
        return False

    def _skip(self, name: str, reason: str) -> None:
        now = self._loop.now()
        if not self.chooser.is_skipped(name, now):
            self._metrics.count("owners_skipped")
            self._log.write("owner_skipped", owner=name, reason=reason)
        self.chooser.record_failure(name, now)

    def _lease_locally(self, target: Target, order: LeaseOrder) -> Steps:
        holder = _LocalHolder(target)
        result = self._owner.request(order, holder, 0)
        if isinstance(result, LeaseRefusal):
            raise LeaseRefused(*result)
        load = self._owner.load(order.target_id)
        if load is not None:
            self._reports.record(order.target_id, load, timedelta(), self._loop.now())
        if not holder.granted.done():
            wait = order.start_deadline - self._loop.now() + GRANT_MARGIN
            try:
                yield self._loop.wait_for(holder.granted, wait)
            except TimeoutError:
                result.close("the request has timed out")
                raise
        return holder.granted.result()

    def _lease_from(self, name: str, target: Target, order: LeaseOrder) -> Steps:
        link = self._link(name)
        if link is None:
            raise OwnerUnavailable("the instance cannot be authenticated yet")
        if not link.is_usable:
            try:
                yield self._loop.wait_for(link.ready, SILENCE_LIMIT)
            except TimeoutError as error:
                raise OwnerUnavailable("no connection in time") from error
        wait = order.start_deadline - self._loop.now() + GRANT_MARGIN
        return (yield from link.lease(target, order, wait))

    def _link(self, name: str) -> OwnerLink | None:
        """Return the connection to an instance; open one if there is none."""
        link = self._link_by_name.get(name)
        if link is not None and not link.closed_reason:
            return link
        member, keys = self._member_by_name.get(name), self._keys()
        if member is None or keys is None:
            return None
        link = OwnerLink(
            self._loop, self._own.name, member, keys, self._record_load, self._memory
        )
        self._link_by_name[name] = link
        self._loop.spawn(self._connect(link))
        return link

    def _connect(self, link: OwnerLink) -> Steps:
        yield from link.connect(self._network)
        if link.closed_reason:
            self._skip(link.member.name, link.closed_reason)

    # Load

    def _record_load(self, target_id: str, load: WireLoad) -> None:
        measured = TargetLoad(load.running, load.waiting, float(load.limit))
        self._reports.record(target_id, measured, timedelta(), self._loop.now())

    def in_flight(self, target_id: str) -> int:
        """Return the number of requests of the domain that run or wait at a target."""
        load = self._owner.load(target_id)
        own = load.running + load.waiting if load is not None else 0
        report = self._reports.get(target_id)
        if report is None or self._loop.now() - report.measured_at > LOAD_LIFETIME:
            return own
        return max(round(report.requests), own)

    def retain_only(self, target_ids: Iterable[str]) -> None:
        """Drop what is known about all targets except ``target_ids``."""
        kept = set(target_ids)
        for target_id in self._last_owner_by_target.keys() - kept:
            del self._last_owner_by_target[target_id]

    def check(self) -> None:
        """Notice owners that have become silent; called at short intervals."""
        now = self._loop.now()
        for name, link in list(self._link_by_name.items()):
            if link.check_silence(now):
                self._skip(name, "the owner does not answer")

    def close(self) -> None:
        """Close all connections to owners."""
        for link in self._link_by_name.values():
            link.close("the instance stops")
