"""State and decisions that all sessions of one instance share."""

from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import Future
from datetime import timedelta
from random import Random
from typing import Any, NamedTuple

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy import connection_allowance
from bulrushloom.proxy.base import (
    LeasedConnection,
    SharedConnections,
    TargetConnection,
)
from bulrushloom.proxy.clients.limited_log import LimitedLog
from bulrushloom.proxy.clients.limits import client_limits
from bulrushloom.proxy.clients.memory_budget import MemoryBudget
from bulrushloom.proxy.configuration import EMPTY_CONFIGURATION, Configuration, Target
from bulrushloom.proxy.connection_pool import ConnectionPool
from bulrushloom.proxy.connections import ServerConnection
from bulrushloom.proxy.exchange.messages import Report
from bulrushloom.proxy.failover.commits import CommitAcknowledgements
from bulrushloom.proxy.failover.evacuation import DEFAULT_BOUND
from bulrushloom.proxy.failover.groups import (
    VANISHED_TARGET_LIFETIME,
    GroupPhase,
    GroupRecord,
    GroupTable,
)
from bulrushloom.proxy.failover.member_records import (
    GROUP_MEMBERS_PREFIX,
    encode_group_members,
)
from bulrushloom.proxy.failover.promotion_orders import PromotionOrders
from bulrushloom.proxy.limits import AccountLimiter, RateWindow
from bulrushloom.proxy.messages import LogPosition, ServerAnswer
from bulrushloom.proxy.positions import PositionHistory, PositionSample
from bulrushloom.proxy.regions import Regions
from bulrushloom.proxy.routing import Candidate, ReadRouter
from bulrushloom.proxy.scheduling.budget import RetryBudget
from bulrushloom.proxy.settings import ProxySettings
from bulrushloom.proxy.stopping import StopPlan
from bulrushloom.proxy.store_eras import EraKnowledge
from bulrushloom.proxy.store_freshness import MAX_PRIMARY_AGE, StoreFreshness
from bulrushloom.proxy.telemetry import EventLog, Metrics
from bulrushloom.runtime.loop import Loop
from bulrushloom.runtime.streams import Network

# Expected time from the announcement of a failover to the first write at the new
# primary.
EXPECTED_FAILOVER_TIME = timedelta(milliseconds=1200)
# The same while an instance is unreachable: the promotion is ordered once the last read
# of the store by that instance is too old for it to use the old primary.
EXPECTED_DELAYED_FAILOVER_TIME = MAX_PRIMARY_AGE + timedelta(milliseconds=500)
# A failover that takes longer than expected is assumed to last for another fraction of
# the time elapsed so far.
OVERDUE_WAIT_FRACTION = 0.5
# Expected time from the first failed statement to the announcement of a failover.
EXPECTED_DETECTION_TIME = timedelta(milliseconds=800)
# Suspicion of a target ends if no further failure follows within this time: a failure
# says nothing about a target that received no requests since.
SUSPICION_LIFETIME = timedelta(seconds=2)
# Callers return after this time while no target of a service may get statements. The
# operators end an evacuation, so nothing here tells how long it takes.
EVACUATION_RETRY_DELAY = timedelta(seconds=2)
# Age of the list of targets, as a fraction of the bound of evacuations, up to which it
# is used. The rest is for a statement that is on its way.
MAX_LIST_AGE_FRACTION = 0.9
OUTDATED_LIST = "the list of targets is too old"
# An instance that cannot reach the store retries twice in this time.
EXPECTED_STORE_RECOVERY_TIME = timedelta(seconds=2)
_ZERO = timedelta()


class Suspicion(NamedTuple):
    """Times of the first and the latest failure of a target."""

    first_failed_at: timedelta
    last_failed_at: timedelta


class Services:
    """State of one instance that its sessions share, with the decisions based on it.

    ``on_suspicion`` is called when a target becomes suspected of a failure.
    ``request_list`` starts a read of the list of targets and instances at once, and
    ``request_client_read`` a read of the store on behalf of a client; ``None`` if not
    available.
    ``stop_plan`` is set once the instance stops. While ``session_close_reason`` is not
    empty, a refusal closes the session. ``sharing`` leases connections to targets that
    have fewer of them than there are instances; ``retry_budget`` bounds the further
    attempts at these.
    """

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
        self.eras = EraKnowledge(self.store_freshness)
        self.commits = CommitAcknowledgements(loop, self.store_freshness)
        self.orders = PromotionOrders(loop)
        self.table = GroupTable(settings.target_drain_bound, settings.evacuation_bound)
        window = RateWindow(
            settings.rate_window, settings.rate_excess, settings.rate_slack
        )
        # Seeded by name: instances that fail together must not retry at the same time.
        self.random = Random(settings.name)
        self.limiter = AccountLimiter(window, loop.now(), self.random)
        self.regions = Regions(settings)
        self.router = ReadRouter(lambda domain: self.regions.distance_to(domain))
        self.pool = ConnectionPool(loop, network, self.connection_quota)
        self.limits = client_limits(settings)
        self.memory = MemoryBudget(self.limits.memory, loop.call_soon)
        self.pool.memory = self.memory
        self.memory_refusal_log = LimitedLog(loop, log, "statement_refused_for_memory")
        self.sharing: SharedConnections | None = None
        self.retry_budget = RetryBudget(loop.now())
        self.member_count = 1
        self.stop_plan: StopPlan | None = None
        self.session_close_reason = ""
        self._started_at = loop.now()
        self._history_by_service: dict[str, PositionHistory] = {}
        self._suspicion_by_target: dict[str, Suspicion] = {}
        self.on_suspicion: Callable[[], None] = lambda: None
        self._primary_change_by_service: dict[str, Future[None]] = {}
        self.request_list: Callable[[], object] = lambda: None
        self.request_client_read: Any = None

    @property
    def is_stopping(self) -> bool:
        """Return whether a planned stop has begun."""
        return self.stop_plan is not None

    def connection_quota(self, target: Target) -> int:
        """Return how many connections this instance may have to ``target``."""
        return connection_allowance.quota(
            self.max_connections(target.service),
            self.member_count,
            self.loop.now() - self._started_at,
        )

    def max_connections(self, service_name: str) -> int:
        """Return the limit of each target of a service for all connections."""
        service = self.configuration.service_by_name.get(service_name)
        return service.max_connections if service else 0

    def shared(self, target: Target) -> SharedConnections | None:
        """Return what leases connections to a target, if they are shared.

        Those to a target with a hard limit are, since owners keep that limit.
        """
        is_shared = self.shares(target.service) or self.limits_cold_requests(target)
        return self.sharing if is_shared else None

    def shares(self, service: str) -> bool:
        """Return whether the connections to the targets of a service are shared."""
        return self.sharing is not None and self.sharing.covers(service)

    def limits_cold_requests(self, target: Target) -> bool:
        """Return whether the requests a second to a target have a hard limit now."""
        service = self.configuration.service_by_name.get(target.service)
        has_limit = service is not None and service.cold_per_s > 0
        return has_limit and target.cold_left > _ZERO

    def release(self, connection: TargetConnection) -> None:
        """Return a connection to where it came from, or close it."""
        if isinstance(connection, LeasedConnection):
            connection.release()
        else:
            assert isinstance(connection, ServerConnection)
            self.pool.release(connection)

    def close_unused_connections(self) -> None:
        """Close idle connections to targets that have few for each instance."""
        for target_id in self.pool.target_ids():
            known = self.table.listed_target_by_id.get(target_id)
            if known is None:
                continue
            lifetime = connection_allowance.idle_lifetime(
                self.max_connections(known.target.service), self.member_count
            )
            if lifetime is not None:
                self.pool.close_idle_connections(
                    target_id, "not used for long", self.loop.now() - lifetime
                )

    def history(self, service: str) -> PositionHistory:
        """Return the history of log positions of a service's primary."""
        history = self._history_by_service.get(service)
        if history is None:
            history = self._history_by_service[service] = PositionHistory()
        return history

    def position_histories(self) -> dict[str, PositionHistory]:
        """Return all position histories by service."""
        return self._history_by_service

    def record_answer_position(
        self, target: Target, answer: ServerAnswer, sent_at: timedelta
    ) -> None:
        """Record the log position that came with an answer to a request."""
        position = answer.position
        if isinstance(position, Missing):
            return
        self.router.health(target.target_id).record_applied_position(position)
        if self.is_recorded_primary(target):
            sample = PositionSample(sent_at, position)
            self.history(target.service).record(sample)

    def acknowledge_commit(
        self, target: Target, position: LogPosition | Missing, cutoff: "Future[None]"
    ) -> bool:
        """Return whether a commit that ``target`` ran may be acknowledged now.

        ``cutoff`` is what the commit got when it became pending.
        Records its position if so. Otherwise a successor that lacks the commit may have
        been chosen, and its outcome is in doubt.
        """
        # A commit that was sent before an evacuation is acknowledged like any other.
        is_allowed = not cutoff.done() and (
            self.is_recorded_primary(target) or self.commits.allows_replaced(target)
        )
        if is_allowed:
            self.commits.record_position(target.service, position)
        else:
            self.log.write(
                "commit_not_acknowledged",
                service=target.service,
                target=target.target_id,
                position=str(position),
                evidence_age=self.store_freshness.age(self.loop.now()),
            )
            self.metrics.count("commits_not_acknowledged", target.service)
        return is_allowed

    def acknowledged_position(self, service: str) -> LogPosition | None:
        """Return the highest position known to be acknowledged, if there is one.

        Commits that were acknowledged before this instance started are covered by the
        positions that it has received from the primary since.
        """
        acknowledged = self.commits.position_by_service.get(service)
        if acknowledged is not None:
            return acknowledged
        latest = self.history(service).latest()
        return latest.position if latest is not None else None

    def primary(self, service: str) -> Target | Missing:
        """Return the primary that may be used now, or why there is none."""
        if not self.store_freshness.allows_primary(self.loop.now()):
            return Missing("the last read of the store is too old")
        if self.has_outdated_list():
            return Missing(OUTDATED_LIST)
        return self.table.primary_of(service)

    def evacuation_reason(self, target: Target) -> str:
        """Return why ``target`` may not get new statements, or an empty string."""
        if self.has_outdated_list():
            return OUTDATED_LIST
        return self.table.evacuations.reason(target)

    def has_outdated_list(self) -> bool:
        """Return whether a domain may be evacuated that the list does not name yet.

        An instance that was paused or cut off hears of the store again before it has
        copied the list. While nobody reads the store, the last known list holds.
        """
        bound = self.settings.evacuation_bound
        if bound is None:
            return False
        max_age = bound * MAX_LIST_AGE_FRACTION
        oldest = self.loop.now() - max_age
        is_store_read = self.store_freshness.last_read_at >= oldest
        return is_store_read and not self.table.is_read_since(oldest)

    def is_recorded_primary(self, target: Target) -> bool:
        """Return whether ``target`` is the primary, be its domain evacuated or not."""
        if not self.store_freshness.allows_primary(self.loop.now()):
            return False
        primary = self.table.recorded_primary(target.service)
        return (
            not isinstance(primary, Missing) and primary.target_id == target.target_id
        )

    def is_current_primary(self, target: Target) -> bool:
        """Return whether ``target`` is the primary that may be used now.

        Statements that need the primary check this right before they are sent: while
        they waited, or a transaction paused, a failover may have begun.
        """
        primary = self.primary(target.service)
        return (
            not isinstance(primary, Missing) and primary.target_id == target.target_id
        )

    def candidates(self, service: str, account: str) -> list[Candidate]:
        """Return the targets that may run a read.

        Draining replicas and evacuated domains are left out. While there is no primary,
        so are the one being replaced and targets that claim to be the primary.
        """
        now = self.loop.now()
        if self.has_outdated_list():
            return []
        primary = self.primary(service)
        primary_id = None if isinstance(primary, Missing) else primary.target_id
        if primary_id is None and self.store_freshness.allows_primary(now):
            # The replicas of a primary in an evacuated domain serve reads.
            primary = self.table.recorded_primary(service)
            primary_id = None if isinstance(primary, Missing) else primary.target_id
        group = self.table.group_by_service.get(service)
        old_primary_id = group.old_id if group and primary_id is None else None
        found = []
        for known in self.table.targets_of(service):
            target = known.target
            if not self.table.accepts_new_work(target.target_id, now):
                continue
            is_primary = target.target_id == primary_id
            if target.target_id == old_primary_id or (
                target.claims_primary and not is_primary and primary_id is None
            ):
                continue
            if target.is_draining and not is_primary:
                continue
            found.append(self._candidate(target, is_primary, account))
        return found

    def _candidate(self, target: Target, is_primary: bool, account: str) -> Candidate:
        in_flight = self.pool.in_flight(target.target_id)
        has_idle = self.pool.has_idle(target.target_id, account)
        sharing = self.shared(target)
        if sharing is not None:
            # Owners hold connections for most accounts.
            in_flight, has_idle = in_flight + sharing.in_flight(target.target_id), True
        load = self.router.loads.get(target.target_id)
        return Candidate(target, is_primary, in_flight, has_idle, load)

    def report_failure(self, target: Target, reason: str) -> None:
        """Suspect a target that failed to answer."""
        target_id, now = target.target_id, self.loop.now()
        known = self._suspicion_by_target.get(target_id)
        if known is None or now - known.last_failed_at > SUSPICION_LIFETIME:
            self.log.write("target_suspected", target=target_id, reason=reason)
            known = Suspicion(now, now)
            self.loop.call_soon(self.on_suspicion)
        self._suspicion_by_target[target_id] = known._replace(last_failed_at=now)

    def suspected_targets(self) -> frozenset[str]:
        """Return the targets that failed recently and have not answered since."""
        oldest = self.loop.now() - SUSPICION_LIFETIME
        return frozenset(
            target_id
            for target_id, known in self._suspicion_by_target.items()
            if known.last_failed_at >= oldest
        )

    def is_unresponsive(self, target_id: str, account: str) -> bool:
        """Return whether a suspected target should not get another connection.

        One statement is already opening a connection, and none is idle; further
        statements must not wait for a target that does not answer.
        """
        return (
            target_id in self.suspected_targets()
            and self.pool.opening(target_id) > 0
            and not self.pool.has_idle(target_id, account)
        )

    def clear_suspicion(self, target_id: str) -> None:
        """Record that a target answered."""
        if self._suspicion_by_target.pop(target_id, None) is not None:
            self.log.write("target_recovered", target=target_id)

    def record_too_many_connections(self, target: Target) -> None:
        """Record that a target had too many connections; close idle ones to it."""
        self.metrics.count("too_many_connections", target.target_id)
        self.pool.close_excess_idle(
            target.target_id, self.connection_quota(target) // 2
        )

    def next_primary_change(self, service: str) -> "Future[None]":
        """Return a future that is done when the next primary is announced."""
        future = self._primary_change_by_service.get(service)
        if future is None:
            future = self._primary_change_by_service[service] = Future()
        return future

    def apply_settings(self, settings: ProxySettings) -> None:
        """Apply the time bounds and rate tolerances of changed settings."""
        self.settings = settings
        self.store_freshness.settings = settings
        self.regions = Regions(settings)
        self.table.drain_bound = settings.target_drain_bound
        self.table.evacuations.bound = settings.evacuation_bound or DEFAULT_BOUND
        self.limiter.window = RateWindow(
            settings.rate_window, settings.rate_excess, settings.rate_slack
        )

    def update_evacuated_domains(
        self, domains: frozenset[str], listed_at: timedelta
    ) -> bool:
        """Apply the evacuated domains of a store read; return whether they changed."""
        has_changed = self.table.evacuations.update(domains, listed_at)
        evacuated = self.table.evacuated_domains
        self.metrics.gauges["evacuated_domains"] = len(evacuated)
        if not has_changed:
            return False
        self.log.write(
            "evacuation_changed",
            domains=sorted(evacuated),
            evidence_age=self.loop.now() - listed_at,
        )
        for known in self.table.listed_target_by_id.values():
            if self.table.evacuations.covers(known.target):
                self.pool.close_idle_connections(
                    known.target.target_id, "the domain of the target is evacuated"
                )
        return True

    def update_targets(
        self, target_by_id: Mapping[str, Target], listed_at: timedelta
    ) -> None:
        """Apply the list of targets from a read of the store."""
        before = self.table.listed_target_by_id
        self.table.update_targets(target_by_id, listed_at)
        listed_target_by_id = self.table.listed_target_by_id
        for target_id, known in listed_target_by_id.items():
            old = before.get(target_id)
            if old is None or _target_fields(old.target) != _target_fields(
                known.target
            ):
                self.log.write("target_changed", **_target_fields(known.target))
        for target_id in before.keys() - listed_target_by_id.keys():
            self.log.write("target_gone", target_id=target_id)
            self._suspicion_by_target.pop(target_id, None)
        self.router.retain_only(listed_target_by_id)
        if self.sharing is not None:
            self.sharing.update_targets(
                {key: known.target for key, known in listed_target_by_id.items()}
            )
        for target_id in self.pool.target_ids():
            if target_id not in listed_target_by_id:
                self.pool.close_idle_connections(target_id, "the target is gone")

    def apply_group_records(self, groups: Mapping[str, GroupRecord]) -> bool:
        """Apply announcements of primaries; return whether any was new."""
        changed = self.table.apply_group_records(groups)
        for group in changed:
            is_suspected = group.old_id in self.suspected_targets()
            self.commits.apply_group_record(group, is_suspected)
            self.orders.apply_group_record(group)
            self.log.write(
                "group_changed",
                service=group.service,
                phase=group.phase.value,
                primary=group.primary_id,
                term=group.term,
                fence=group.fence,
                era=group.era,
                generation=group.generation,
                revision=group.revision,
            )
            if group.phase is GroupPhase.STEADY:
                self._resolve_primary_change(group.service)
        return bool(changed)

    def enter_era(self, era: int, is_settled: bool) -> bool:
        """Apply the era that the store is in; return whether it is a later one.

        Must be called before what a read in this era showed is applied.
        """
        if not self.eras.enter(era, self.loop.now(), is_settled):
            return False
        self.table.note_return_of_store()
        self.table.evacuations.hold(self.loop.now() + VANISHED_TARGET_LIFETIME)
        self.metrics.count("store_returns", "seen")
        self.log.write(
            "store_returned",
            era=era,
            evidence_age=self.store_freshness.age(self.loop.now()),
            configuration=self.configuration.version,
        )
        return True

    def records_newer_than(self, report: Report) -> dict[str, tuple[int, str]]:
        """Return the records of groups and of their members that a leader may lack.

        Used after a return of the store only, so all members' records are included.
        """
        followed = report.followed_version_by_service
        records = {
            service: (group.revision, group.encode().decode())
            for service, group in self.table.group_by_service.items()
            if followed.get(service, 0) < group.version
        }
        for service, members in self.table.recorded_members_by_service.items():
            value = encode_group_members(members).decode()
            records[GROUP_MEMBERS_PREFIX + service] = (members.revision, value)
        return records

    def record_sealed_positions(self, sent_at: timedelta) -> None:
        """Record the sealed positions of unfinished failovers as position samples.

        A sealed position covers every commit acknowledged before the store read that
        was sent at ``sent_at``, because no later commit was acknowledged so far.
        """
        if not self.eras.is_settled:
            # The copy may lack the end of the failover, and commits acknowledged since.
            return
        for group in self.table.group_by_service.values():
            if group.phase is GroupPhase.REPLACING and group.sealed is not None:
                sample = PositionSample(sent_at, group.sealed)
                self.history(group.service).record(sample)

    def known_versions(self) -> dict[str, int]:
        """Return the version of each group record that this instance has received."""
        return {
            service: group.version
            for service, group in self.table.group_by_service.items()
        }

    def followed_versions(self) -> dict[str, int]:
        """Return the version of each group record that is fully in effect here.

        The record of a failover is left out while a commit of the old primary may still
        be acknowledged to its client.
        """
        return {
            service: group.version
            for service, group in self.table.group_by_service.items()
            if group.phase is GroupPhase.STEADY or self.commits.has_ended(service)
        }

    def expected_primary_wait(self, service: str) -> timedelta:
        """Return the expected time until a statement can run at the primary."""
        now = self.loop.now()
        if self.table.is_evacuated(service):
            # Callers that were refused together must not return together.
            return EVACUATION_RETRY_DELAY * self.random.uniform(1.0, 1.5)
        if not self.store_freshness.allows_primary(now):
            return EXPECTED_STORE_RECOVERY_TIME
        started_at = self.commits.replacing_since(service)
        if started_at is not None:
            return expected_time_left(
                (EXPECTED_FAILOVER_TIME, EXPECTED_DELAYED_FAILOVER_TIME),
                now - started_at,
            )
        primary = self.table.primary_of(service)
        if isinstance(primary, Missing):
            return EXPECTED_FAILOVER_TIME
        if primary.target_id not in self.suspected_targets():
            return _ZERO
        suspected_at = self._suspicion_by_target[primary.target_id].first_failed_at
        return expected_time_left(
            (EXPECTED_DETECTION_TIME + EXPECTED_FAILOVER_TIME,), now - suspected_at
        )

    def _resolve_primary_change(self, service: str) -> None:
        """Complete the future of statements that wait for a primary."""
        future = self._primary_change_by_service.pop(service, None)
        if future is not None:
            future.set_result(None)


def expected_time_left(expected: Sequence[timedelta], elapsed: timedelta) -> timedelta:
    """Return the remaining time of a failover that usually lasts one of ``expected``.

    An overdue failover must not seem about to end: as long as it is stuck, statements
    would wait until their deadlines instead of being refused.
    """
    for end in expected:
        if elapsed < end:
            return end - elapsed
    return elapsed * OVERDUE_WAIT_FRACTION


def _target_fields(target: Target) -> dict[str, Any]:
    """Return the fields of a target whose changes are logged."""
    return {
        "target_id": target.target_id,
        "service": target.service,
        "address": target.address,
        "is_draining": target.is_draining,
        "claims_primary": target.claims_primary,
        "born_ms": target.born_ms,
    }
