"""What all sessions of one instance share."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from concurrent.futures import Future
from contextlib import contextmanager
from datetime import timedelta
from random import Random
from typing import Any, NamedTuple

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.configuration import EMPTY_CONFIGURATION, Configuration, Target
from bulrushloom.proxy.connections import ConnectionPool
from bulrushloom.proxy.groups import GroupPhase, GroupRecord, GroupTable
from bulrushloom.proxy.limits import AccountLimiter, RateWindow
from bulrushloom.proxy.messages import LogPosition, ServerAnswer
from bulrushloom.proxy.positions import PositionHistory, PositionSample
from bulrushloom.proxy.routing import Candidate, ReadRouter
from bulrushloom.proxy.settings import ProxySettings
from bulrushloom.proxy.store_freshness import PRIMARY_LIMIT, StoreFreshness
from bulrushloom.proxy.telemetry import EventLog, Metrics
from bulrushloom.runtime.loop import Loop
from bulrushloom.runtime.streams import Network

# A connection of every instance to every target for at least one account.
MIN_ALLOWANCE = 1
# Servers keep the connections of a machine that lost power for three seconds; after a
# loss of all machines these and the new ones must fit.
LINGER_TIME = timedelta(milliseconds=3500)
# From the announcement of a change of primary to the first write at its successor.
FAILOVER_TIME = timedelta(milliseconds=1200)
# The same if an instance is out of reach: its last read of the store has to become too
# old first.
DELAYED_FAILOVER_TIME = PRIMARY_LIMIT + timedelta(milliseconds=100)
# What has taken longer than expected goes on for this part of the time so far.
OVERDUE_SHARE = 0.5
# From the first failed statement to the announcement.
DETECTION_TIME = timedelta(milliseconds=800)
# A failure says nothing about a target that was not asked for so long.
SUSPICION_LIFETIME = timedelta(seconds=2)
# An instance that lost the store tries again twice in this time.
STORE_RETURN_TIME = timedelta(seconds=2)
# Kept for the leader and for the relays of six domains, which ask the servers for
# their status when a primary fails.
KEPT_CONNECTIONS = 6
_ZERO = timedelta()


class Suspicion(NamedTuple):
    """Hold since when a target fails, and when it failed last."""

    first_at: timedelta
    last_at: timedelta


class Services:
    """Hold the state and the decisions of one instance that sessions use."""

    def __init__(
        self,
        loop: Loop,
        network: Network,
        settings: ProxySettings,
        log: EventLog,
        metrics: Metrics,
    ):
        self.loop = loop
        self.network = network
        self.settings = settings
        self.log = log
        self.metrics = metrics
        self.configuration: Configuration = EMPTY_CONFIGURATION
        self.store_freshness = StoreFreshness(settings)
        self.table = GroupTable(settings.target_drain_bound)
        window = RateWindow(
            settings.rate_window, settings.rate_excess, settings.rate_slack
        )
        self.limiter = AccountLimiter(window, loop.now())
        self.router = ReadRouter(settings.domain)
        self.pool = ConnectionPool(loop, network, self.connection_quota)
        # Instances that failed together must not come back together.
        self.random = Random(settings.name)
        self.member_count = 1
        self.is_stopping = False
        self._started_at = loop.now()
        self._history_by_service: dict[str, PositionHistory] = {}
        self.acknowledged_by_service: dict[str, LogPosition] = {}
        self._suspicion_by_target: dict[str, Suspicion] = {}
        self.on_suspicion: Callable[[], None] = lambda: None
        self._commits_by_service: dict[str, int] = {}
        self._waiting_for_primary: dict[str, Future[None]] = {}
        self.replacing_since: dict[str, timedelta] = {}
        self.request_store_read: Any = None

    def connection_quota(self, target: Target) -> int:
        """Return how many connections this instance may hold to ``target``."""
        service = self.configuration.service_by_name.get(target.service)
        most = service.max_connections if service else 0
        share = (most - KEPT_CONNECTIONS) // max(self.member_count, 1)
        if self.loop.now() - self._started_at < LINGER_TIME:
            share //= 2
        return max(MIN_ALLOWANCE, share)

    def history(self, service: str) -> PositionHistory:
        """Return the positions of a service's primary."""
        history = self._history_by_service.get(service)
        if history is None:
            history = self._history_by_service[service] = PositionHistory()
        return history

    def histories(self) -> dict[str, PositionHistory]:
        """Return all histories by service."""
        return self._history_by_service

    def record_answer_position(
        self, target: Target, answer: ServerAnswer, asked_at: timedelta
    ) -> None:
        """Learn from the position that came with an answer."""
        position = answer.position
        if isinstance(position, Missing):
            return
        self.router.health(target.target_id).applied_position(position)
        primary = self.primary(target.service)
        if not isinstance(primary, Missing) and primary.target_id == target.target_id:
            sample = PositionSample(asked_at, position)
            self.history(target.service).record(sample)

    def record_acknowledged_commit(
        self, service: str, position: LogPosition | Missing
    ) -> None:
        """Remember the highest position whose commit a caller was told of."""
        if isinstance(position, Missing):
            return
        known = self.acknowledged_by_service.get(service)
        if known is None or position > known:
            self.acknowledged_by_service[service] = position

    def primary(self, service: str) -> Target | Missing:
        """Return the primary that may be used now, or why there is none."""
        if not self.store_freshness.allows_primary(self.loop.now()):
            return Missing("the last read of the store is too old")
        return self.table.primary_of(service)

    def candidates(self, service: str, account: str) -> list[Candidate]:
        """Return the targets that may run a read."""
        now = self.loop.now()
        primary = self.primary(service)
        primary_id = None if isinstance(primary, Missing) else primary.target_id
        group = self.table.group_by_service.get(service)
        left_id = group.old_id if group and primary_id is None else None
        found = []
        for known in self.table.targets_of(service):
            target = known.target
            if not self.table.may_receive(target.target_id, now):
                continue
            is_primary = target.target_id == primary_id
            if target.target_id == left_id or (
                target.claims_primary and not is_primary and primary_id is None
            ):
                continue
            if target.is_draining and not is_primary:
                continue
            found.append(
                Candidate(
                    target,
                    is_primary,
                    self.pool.in_flight(target.target_id),
                    self.pool.has_idle(target.target_id, account),
                )
            )
        return found

    def report_failure(self, target: Target, reason: str) -> None:
        """Report that a target did not answer."""
        target_id, now = target.target_id, self.loop.now()
        known = self._suspicion_by_target.get(target_id)
        if known is None or now - known.last_at > SUSPICION_LIFETIME:
            self.log.write("target_suspected", target=target_id, reason=reason)
            known = Suspicion(now, now)
            self.loop.call_soon(self.on_suspicion)
        self._suspicion_by_target[target_id] = known._replace(last_at=now)

    def suspected(self) -> frozenset[str]:
        """Return the targets that failed lately and have not answered since."""
        horizon = self.loop.now() - SUSPICION_LIFETIME
        return frozenset(
            target_id
            for target_id, known in self._suspicion_by_target.items()
            if known.last_at >= horizon
        )

    def is_unresponsive(self, target_id: str, account: str) -> bool:
        """Return whether a target fails and another statement is waiting for it."""
        return (
            target_id in self.suspected()
            and self.pool.opening(target_id) > 0
            and not self.pool.has_idle(target_id, account)
        )

    def clear_suspicion(self, target_id: str) -> None:
        """Note that a target answered."""
        if self._suspicion_by_target.pop(target_id, None) is not None:
            self.log.write("target_recovered", target=target_id)

    def reject_connections(self, target: Target) -> None:
        """Note that a target had too many connections."""
        self.metrics.count("too_many_connections", target.target_id)
        self.pool.shrink(target.target_id, self.connection_quota(target) // 2)

    def next_primary_change(self, service: str) -> "Future[None]":
        """Return a future that is done at the next change of the primary."""
        future = self._waiting_for_primary.get(service)
        if future is None:
            future = self._waiting_for_primary[service] = Future()
        return future

    def apply_settings(self, settings: ProxySettings) -> None:
        """Use changed bounds from now on."""
        self.settings = settings
        self.store_freshness.settings = settings
        self.table.drain_bound = settings.target_drain_bound
        self.limiter.window = RateWindow(
            settings.rate_window, settings.rate_excess, settings.rate_slack
        )

    def update_targets(
        self, target_by_id: Mapping[str, Target], listed_at: timedelta
    ) -> None:
        """Follow the targets that a read of the store listed."""
        before = self.table.listed_target_by_id
        self.table.update_targets(target_by_id, listed_at)
        listed_target_by_id = self.table.listed_target_by_id
        for target_id, known in listed_target_by_id.items():
            old = before.get(target_id)
            if old is None or _shown(old.target) != _shown(known.target):
                self.log.write("target_changed", **_shown(known.target))
        for target_id in before.keys() - listed_target_by_id.keys():
            self.log.write("target_gone", target_id=target_id)
            self._suspicion_by_target.pop(target_id, None)
        self.router.forget_others(listed_target_by_id)
        for target_id in self.pool.target_ids():
            if target_id not in listed_target_by_id:
                self.pool.drop_target(target_id, "the target is gone")

    def apply_group_records(self, groups: Mapping[str, GroupRecord]) -> bool:
        """Follow announcements of primaries; return whether any was new."""
        changed = self.table.apply_group_records(groups)
        for group in changed:
            self.log.write(
                "group_changed",
                service=group.service,
                phase=group.phase.value,
                primary=group.primary_id,
                term=group.term,
                fence=group.fence,
                revision=group.revision,
            )
            if group.phase is GroupPhase.STEADY:
                self.replacing_since.pop(group.service, None)
                self.announce_primary(group.service)
            else:
                self.replacing_since.setdefault(group.service, self.loop.now())
        return bool(changed)

    def record_seals(self, asked_at: timedelta) -> None:
        """Use sealed positions: nothing was acknowledged beyond them so far."""
        for group in self.table.group_by_service.values():
            if group.phase is GroupPhase.REPLACING and group.sealed is not None:
                sample = PositionSample(asked_at, group.sealed)
                self.history(group.service).record(sample)

    def followed_groups(self) -> dict[str, int]:
        """Return the revision of each group record that this instance follows.

        While a commit at the old primary is under way its caller may still be told
        that it succeeded, so the record of the replacement does not count yet.
        """
        return {
            service: group.revision
            for service, group in self.table.group_by_service.items()
            if group.phase is GroupPhase.STEADY or not self._commits_of(service)
        }

    def _commits_of(self, service: str) -> int:
        return self._commits_by_service.get(service, 0)

    @contextmanager
    def committing(self, service: str) -> Iterator[None]:
        """Count a commit that is under way at the primary of ``service``."""
        self._commits_by_service[service] = self._commits_of(service) + 1
        try:
            yield
        finally:
            self._commits_by_service[service] -= 1

    def expected_primary_wait(self, service: str) -> timedelta:
        """Return when a statement that needs the primary can be expected to run."""
        now = self.loop.now()
        if not self.store_freshness.allows_primary(now):
            return STORE_RETURN_TIME
        started_at = self.replacing_since.get(service)
        if started_at is not None:
            return time_left((FAILOVER_TIME, DELAYED_FAILOVER_TIME), now - started_at)
        primary = self.table.primary_of(service)
        if isinstance(primary, Missing):
            return FAILOVER_TIME
        if primary.target_id not in self.suspected():
            return _ZERO
        suspected_at = self._suspicion_by_target[primary.target_id].first_at
        return time_left((DETECTION_TIME + FAILOVER_TIME,), now - suspected_at)

    def announce_primary(self, service: str) -> None:
        """Wake the statements that wait for a primary."""
        future = self._waiting_for_primary.pop(service, None)
        if future is not None:
            future.set_result(None)


def time_left(expected: Sequence[timedelta], elapsed: timedelta) -> timedelta:
    """Return how much longer a change takes that usually ends at one of ``expected``.

    A change that is overdue must not look as if it ended any moment: callers would be
    held to their deadlines for as long as it is stuck.
    """
    for end in expected:
        if elapsed < end:
            return end - elapsed
    return elapsed * OVERDUE_SHARE


def _shown(target: Target) -> dict[str, Any]:
    """Return what tells one state of a target from another."""
    return {
        "target_id": target.target_id,
        "service": target.service,
        "address": target.address,
        "is_draining": target.is_draining,
        "claims_primary": target.claims_primary,
        "born_ms": target.born_ms,
    }
