"""Which target is the primary of a service, and which targets may get work; no I/O."""

from collections.abc import Mapping
from datetime import timedelta

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.failover.evacuation import DEFAULT_BOUND, Evacuations
from bulrushloom.proxy.failover.groups import ALL_EVACUATED, GroupPhase, GroupRecord
from bulrushloom.proxy.failover.member_records import GroupMembers
from bulrushloom.proxy.failover.target_list import TargetList

# With a single remaining replica, its failure would block all commits.
MIN_REMAINING_REPLICAS = 2


class GroupTable(TargetList):
    """Targets and primaries of all services, as last read or announced."""

    def __init__(
        self,
        drain_bound: timedelta,
        evacuation_bound: timedelta | None = None,
    ):
        super().__init__()
        self.drain_bound = drain_bound
        self.evacuations = Evacuations(evacuation_bound or DEFAULT_BOUND)
        self.group_by_service: dict[str, GroupRecord] = {}
        self.recorded_members_by_service: dict[str, GroupMembers] = {}
        self._last_claimant_by_service: dict[str, str] = {}

    def update_targets(
        self, target_by_id: Mapping[str, Target], read_at: timedelta
    ) -> None:
        """Apply the targets that a store read listed."""
        super().update_targets(target_by_id, read_at)
        for target_id, target in target_by_id.items():
            if target.claims_primary:
                self._last_claimant_by_service[target.service] = target_id

    def apply_group_members(
        self, members_by_service: Mapping[str, GroupMembers], read_at: timedelta
    ) -> None:
        """Apply the records of a store read that also listed the targets.

        At the first read, servers that are not listed count as departed just now: this
        instance cannot know how long they have been away.
        """
        for service, members in members_by_service.items():
            is_first = service not in self.recorded_members_by_service
            if not self.record_members(members) or not is_first:
                continue
            for target in members.target_by_id.values():
                self.add_departed(target, read_at)

    def record_members(self, members: GroupMembers) -> bool:
        """Record what the store has; return whether it was new."""
        known = self.recorded_members_by_service.get(members.service)
        if known is not None and not members.replaces(known):
            return False
        self.recorded_members_by_service[members.service] = members
        return True

    def apply_group_records(
        self, groups: Mapping[str, GroupRecord]
    ) -> list[GroupRecord]:
        """Apply group records; return those that are newer than the known ones."""
        changed = []
        for service, group in groups.items():
            known = self.group_by_service.get(service)
            if known is None or known.version < group.version:
                self.group_by_service[service] = group
                changed.append(group)
            elif known.version == group.version and (
                known.revision_era < group.revision_era
            ):
                # The same record, with its revision in a later era.
                self.group_by_service[service] = group
        return changed

    def commit_holders(self, service: str) -> list[Target]:
        """Return the targets that may be the only ones with a commit."""
        group = self.group_by_service.get(service)
        stopped_by_id = group.stopped_by_id if group else {}
        return [
            target
            for target_id, target in self.replication_members(service).items()
            if target_id not in stopped_by_id
            or not stopped_by_id[target_id].describes(target)
        ]

    def draining_replicas(self, service: str, primary_id: str) -> list[Target]:
        """Return the draining replicas that still replicate.

        The result is empty while fewer than ``MIN_REMAINING_REPLICAS`` replicas are not
        draining, because the primary needs one of them for its commits.
        """
        replicas = [
            known.target
            for known in self.targets_of(service)
            if known.target.target_id != primary_id
        ]
        if sum(not target.is_draining for target in replicas) < MIN_REMAINING_REPLICAS:
            return []
        receiving = self.commit_holders(service)
        return [t for t in replicas if t.is_draining and t in receiving]

    @property
    def evacuated_domains(self) -> frozenset[str]:
        """Return the domains whose targets get no statements."""
        return self.evacuations.domains

    def is_evacuated(self, service: str) -> bool:
        """Return whether all listed targets of a service are in evacuated domains."""
        targets = self.targets_of(service)
        return bool(targets) and all(
            self.evacuations.covers(known.target) for known in targets
        )

    def primary_of(self, service: str) -> Target | Missing:
        """Return the primary that may get statements, or why there is none."""
        if self.is_evacuated(service):
            return Missing(ALL_EVACUATED)
        primary = self.recorded_primary(service)
        if not isinstance(primary, Missing) and self.evacuations.covers(primary):
            return Missing(self.evacuations.reason(primary))
        return primary

    def recorded_primary(self, service: str) -> Target | Missing:
        """Return the current primary, or why there is none.

        It may be in an evacuated domain, and answer statements that were sent before.
        """
        group = self.group_by_service.get(service)
        if group is None:
            return self._self_declared_primary(service)
        if group.phase is GroupPhase.REPLACING:
            return Missing("the primary is being replaced")
        known = self.listed_target_by_id.get(group.primary_id)
        if known is None:
            return Missing("the primary is not listed")
        return known.target

    def last_primary_id(self, service: str) -> str:
        """Return the id of the last known primary, or an empty string."""
        group = self.group_by_service.get(service)
        if group is not None:
            return group.primary_id
        recorded = self.recorded_members_by_service.get(service)
        return self._last_claimant_by_service.get(
            service, recorded.primary_id if recorded is not None else ""
        )

    def _self_declared_primary(self, service: str) -> Target | Missing:
        """Return the only target that claims to be the primary.

        Applies while the service has no group record.
        """
        claimants = self.claimants(service)
        if len(claimants) == 1:
            return claimants[0]
        return Missing(f"{len(claimants)} targets claim to be the primary")

    def accepts_new_work(self, target_id: str, now: timedelta) -> bool:
        """Return whether a target may receive new statements.

        A draining target may receive them for ``drain_bound``, and one in an evacuated
        domain not at all.
        """
        known = self.listed_target_by_id.get(target_id)
        if known is None or self.evacuations.covers(known.target):
            return False
        if known.draining_since is None:
            return True
        return now - known.draining_since < self.drain_bound
