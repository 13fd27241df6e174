"""What sessions and background tasks of one instance may ask and report.

Each method forwards to the part that decides, where its rules are described.
"""

from collections.abc import Mapping
from concurrent.futures import Future
from datetime import timedelta

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.base import SharedConnections, TargetConnection
from bulrushloom.proxy.commit_positions import CommitPositions
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.connection_sources import ConnectionSources
from bulrushloom.proxy.exchange.messages import Report
from bulrushloom.proxy.failover import record_versions
from bulrushloom.proxy.failover.groups import GroupRecord
from bulrushloom.proxy.instance_state import InstanceState
from bulrushloom.proxy.messages import LogPosition, ServerAnswer
from bulrushloom.proxy.positions import PositionHistory
from bulrushloom.proxy.primary_wait import PrimaryWait
from bulrushloom.proxy.routing import Candidate
from bulrushloom.proxy.settings import ProxySettings
from bulrushloom.proxy.store_updates import StoreUpdates
from bulrushloom.proxy.suspicions import Suspicions
from bulrushloom.proxy.telemetry import EventLog, Metrics
from bulrushloom.proxy.usable_targets import OUTDATED_LIST, UsableTargets
from bulrushloom.runtime.loop import Loop
from bulrushloom.runtime.streams import Network

__all__ = ["OUTDATED_LIST", "Services"]


class Services(InstanceState):
    """State of one instance that its sessions share, with the decisions based on it."""

    def __init__(
        self,
        loop: Loop,
        network: Network,
        settings: ProxySettings,
        log: EventLog,
        metrics: Metrics,
    ):
        super().__init__(loop, network, settings, log, metrics)
        self._suspicions = Suspicions(self)
        self._sources = ConnectionSources(self)
        self._targets = UsableTargets(self, self._sources)
        self._positions = CommitPositions(self, self._targets)
        self._wait = PrimaryWait(self, self._suspicions)
        self._updates = StoreUpdates(self, self._suspicions, self._wait)

    # Connections

    def shared(self, target: Target) -> SharedConnections | None:
        """Return what leases connections to a target, if they are shared."""
        return self._sources.shared(target)

    def shares(self, service: str) -> bool:
        """Return whether the connections to the targets of a service are shared."""
        return self._sources.shares(service)

    def limits_cold_requests(self, target: Target) -> bool:
        """Return whether the requests a second to a target have a hard limit now."""
        return self._sources.limits_cold_requests(target)

    def release(self, connection: TargetConnection) -> None:
        """Return a connection to where it came from, or close it."""
        self._sources.release(connection)

    def close_unused_connections(self) -> None:
        """Close idle connections to targets that have few for each instance."""
        self._sources.close_unused_connections()

    def record_too_many_connections(self, target: Target) -> None:
        """Record that a target had too many connections; close idle ones to it."""
        self._sources.record_too_many_connections(target)

    # Targets that may get statements

    def primary(self, service: str) -> Target | Missing:
        """Return the primary that may be used now, or why there is none."""
        return self._targets.primary(service)

    def evacuation_reason(self, target: Target) -> str:
        """Return why ``target`` may not get new statements, or an empty string."""
        return self._targets.evacuation_reason(target)

    def has_outdated_list(self) -> bool:
        """Return whether a domain may be evacuated that the list does not name yet."""
        return self._targets.has_outdated_list()

    def is_recorded_primary(self, target: Target) -> bool:
        """Return whether ``target`` is the primary, be its domain evacuated or not."""
        return self._targets.is_recorded_primary(target)

    def is_current_primary(self, target: Target) -> bool:
        """Return whether ``target`` is the primary that may be used now."""
        return self._targets.is_current_primary(target)

    def candidates(self, service: str, account: str) -> list[Candidate]:
        """Return the targets that may run a read."""
        return self._targets.candidates(service, account)

    # Suspected targets

    def report_failure(self, target: Target, reason: str) -> None:
        """Suspect a target that failed to answer."""
        self._suspicions.report(target, reason)

    def suspected_targets(self) -> frozenset[str]:
        """Return the targets that failed recently and have not answered since."""
        return self._suspicions.suspected_targets()

    def is_unresponsive(self, target_id: str, account: str) -> bool:
        """Return whether a suspected target should not get another connection."""
        return self._suspicions.is_unresponsive(target_id, account)

    def clear_suspicion(self, target_id: str) -> None:
        """Record that a target answered."""
        self._suspicions.clear(target_id)

    # Commits and their positions

    def history(self, service: str) -> PositionHistory:
        """Return the history of log positions of a service's primary."""
        return self._positions.history(service)

    def position_histories(self) -> dict[str, PositionHistory]:
        """Return all position histories by service."""
        return self._positions.histories()

    def record_answer_position(
        self, target: Target, answer: ServerAnswer, sent_at: timedelta
    ) -> None:
        """Record the log position that came with an answer to a request."""
        self._positions.record_answer_position(target, answer, sent_at)

    def acknowledge_commit(
        self, target: Target, position: LogPosition | Missing, cutoff: "Future[None]"
    ) -> bool:
        """Return whether a commit that ``target`` ran may be acknowledged now.

        Records its position if so.
        """
        return self._positions.acknowledge_commit(target, position, cutoff)

    def acknowledged_position(self, service: str) -> LogPosition | None:
        """Return the highest position known to be acknowledged, if there is one."""
        return self._positions.acknowledged_position(service)

    def record_sealed_positions(self, sent_at: timedelta) -> None:
        """Record the sealed positions of unfinished failovers as position samples."""
        self._positions.record_sealed_positions(sent_at)

    # Waiting for a primary

    def next_primary_change(self, service: str) -> "Future[None]":
        """Return a future that is done when the next primary is announced."""
        return self._wait.next_change(service)

    def expected_primary_wait(self, service: str) -> timedelta:
        """Return the expected time until a statement can run at the primary."""
        return self._wait.expected_time(service)

    # Updates from the store

    def update_evacuated_domains(
        self, domains: frozenset[str], listed_at: timedelta
    ) -> bool:
        """Apply the evacuated domains of a store read; return whether they changed."""
        return self._updates.update_evacuated_domains(domains, listed_at)

    def update_targets(
        self, target_by_id: Mapping[str, Target], listed_at: timedelta
    ) -> None:
        """Apply the list of targets from a read of the store."""
        self._updates.update_targets(target_by_id, listed_at)

    def apply_group_records(self, groups: Mapping[str, GroupRecord]) -> bool:
        """Apply announcements of primaries; return whether any was new."""
        return self._updates.apply_group_records(groups)

    def enter_era(self, era: int, is_settled: bool) -> bool:
        """Apply the era that the store is in; return whether it is a later one.

        Must be called before what a read in this era showed is applied.
        """
        return self._updates.enter_era(era, is_settled)

    # Versions of the group records

    def known_versions(self) -> dict[str, int]:
        """Return the version of each group record that this instance has received."""
        return record_versions.known_versions(self.table)

    def followed_versions(self) -> dict[str, int]:
        """Return the version of each group record that is fully in effect here."""
        return record_versions.followed_versions(self.table, self.commits)

    def records_newer_than(self, report: Report) -> dict[str, tuple[int, str]]:
        """Return the records of groups and of their members that a leader may lack."""
        return record_versions.records_newer_than(self.table, report)
