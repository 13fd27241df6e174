"""Group records and targets: which target is the primary of a service; no I/O."""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from enum import Enum
from types import MappingProxyType
from typing import NamedTuple

import orjson

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.failover.evacuation import DEFAULT_BOUND, Evacuations
from bulrushloom.proxy.failover.member_records import GroupMembers
from bulrushloom.proxy.failover.record_codec import (
    MALFORMED_RECORD_ERRORS,
    decode_by_service,
    decode_record_order,
)
from bulrushloom.proxy.messages import LogPosition
from bulrushloom.proxy.store import Record
from bulrushloom.proxy.store_eras import record_version

GROUP_PREFIX = "proxy/groups/"
LEADER_KEY = "proxy/leader"
FENCE_KEY = "proxy/fence"

# An entry can expire while the store is unavailable; its server registers again within
# 2 s after the store is back.
VANISHED_TARGET_LIFETIME = timedelta(milliseconds=2500)
# Reads further apart than this may have an outage between them in which entries
# expired. An entry expires after three missed heartbeats.
MAX_LIST_INTERVAL = timedelta(milliseconds=1500)
# A target that is no longer used may still run, and acknowledge commits, out of reach
# of the store. It is given up after this time, because a failover waits for it.
DEPARTED_TARGET_LIFETIME = timedelta(seconds=10)
# With a single remaining replica, its failure would block all commits.
MIN_REMAINING_REPLICAS = 2
ALL_EVACUATED = "every target of the service is in an evacuated domain"


class GroupPhase(Enum):
    """Phases of a failover.

    REPLACING: a failover is in progress, and no target may be used as the primary.
    STEADY: ``primary_id`` is the primary.
    """

    REPLACING = "replacing"
    STEADY = "steady"


class StoppedReplica(NamedTuple):
    """A draining replica that was ordered to stop replicating.

    ``position`` is the last position that it received. The order ends with a restart of
    the replica, which changes its ``born_ms``.
    """

    position: LogPosition
    born_ms: int

    def describes(self, target: Target) -> bool:
        """Return whether ``target`` is still stopped."""
        return target.is_draining and target.born_ms == self.born_ms


class GroupRecord(NamedTuple):
    """Stored record of a service's primary and of its current failover.

    ``old_id`` is the primary that is being replaced. ``fence`` is the fencing token of
    the leader that wrote the record. ``sealed`` is set once a failover has chosen the
    successor; it is the log position that covers every commit acknowledged so far.
    ``stopped_by_id`` holds the draining replicas that stopped replicating since the
    last promotion. ``unanswered_by_id`` holds the number of orders to promote a server
    that got no answer, and may still be executed.

    ``era`` is the one of the store in which the record was written, and ``generation``
    is one more than that of the record that it replaced; 0 if an earlier release wrote
    it. ``revision`` is the store's, in ``revision_era``; it serves for conditions only.
    """

    service: str
    phase: GroupPhase
    term: int
    primary_id: str
    old_id: str
    fence: int
    revision: int
    sealed: LogPosition | None = None
    stopped_by_id: Mapping[str, StoppedReplica] = MappingProxyType({})
    unanswered_by_id: Mapping[str, int] = MappingProxyType({})
    era: int = 0
    generation: int = 0
    revision_era: int = 0

    @property
    def version(self) -> int:
        """Return the number that orders the records of a service."""
        return record_version(self.era, self.generation, self.revision)

    def next_record(self, era: int, fence: int) -> "GroupRecord":
        """Return the record that replaces this one, as the leader of an era writes it.

        Its revision is still the one of this record.
        """
        generation = 1 + (self.generation or self.revision)
        return self._replace(
            fence=fence, era=era, generation=generation, revision_era=era
        )

    def encode(self) -> bytes:
        """Return the value to store."""
        return orjson.dumps(
            {
                "service": self.service,
                "phase": self.phase.value,
                "term": self.term,
                "primary_id": self.primary_id,
                "old_id": self.old_id,
                "fence": self.fence,
                "sealed": list(self.sealed) if self.sealed else None,
                "stopped": {
                    target_id: list(stopped.position)
                    for target_id, stopped in self.stopped_by_id.items()
                },
                "stopped_born_ms": {
                    target_id: stopped.born_ms
                    for target_id, stopped in self.stopped_by_id.items()
                },
                "unanswered": dict(self.unanswered_by_id),
                "era": self.era,
                "generation": self.generation,
            }
        )


def decode_group(
    value: bytes, revision: int, revision_era: int | None = None
) -> GroupRecord | Missing:
    """Return the record in ``value``, or the reason why it is invalid.

    Without ``revision_era``, the revision is that of the write of the record.
    """
    try:
        fields = orjson.loads(value)
        order = decode_record_order(fields, revision_era)
        sealed = fields.get("sealed")
        stopped = fields.get("stopped", {})
        # Records of earlier versions lack it; such a replica is stopped again.
        born_ms_by_id = fields.get("stopped_born_ms", {})
        texts = fields["service"], fields["primary_id"], fields["old_id"]
        if not all(isinstance(text, str) for text in texts):
            return Missing("malformed group record: a name is not text")
        return GroupRecord(
            service=fields["service"],
            phase=GroupPhase(fields["phase"]),
            term=_decode_count(fields["term"]),
            primary_id=fields["primary_id"],
            old_id=fields["old_id"],
            fence=_decode_count(fields["fence"]),
            revision=revision,
            sealed=_decode_position(sealed) if sealed else None,
            stopped_by_id={
                target_id: StoppedReplica(
                    _decode_position(position),
                    _decode_count(born_ms_by_id[target_id]),
                )
                for target_id, position in stopped.items()
                if target_id in born_ms_by_id
            },
            unanswered_by_id={
                target_id: _decode_count(count)
                for target_id, count in fields.get("unanswered", {}).items()
            },
            era=order.era,
            generation=order.generation,
            revision_era=order.revision_era,
        )
    except MALFORMED_RECORD_ERRORS as error:
        return Missing(f"malformed group record: {error!r}")


def _decode_position(fields: list[int]) -> LogPosition:
    term, number = fields
    return LogPosition(_decode_count(term), _decode_count(number))


def _decode_count(value: object) -> int:
    if not isinstance(value, int):
        raise TypeError(f"{value!r} is not a whole number")
    return value


def decode_group_records(
    records: Iterable[Record], revision_era: int
) -> dict[str, GroupRecord]:
    """Return the valid group records of a snapshot of an era by service."""
    return decode_by_service(records, GROUP_PREFIX, decode_group, revision_era)


class KnownTarget(NamedTuple):
    """A target and the times that limit its use.

    ``listed_at`` is the start of the last store read that listed it.
    ``draining_since`` is the start of the last read in which it was not draining yet,
    or of the first read that listed it. ``unlisted_since`` is the start of the first
    read without it; reads before the latest outage of the store do not count.
    """

    target: Target
    listed_at: timedelta
    draining_since: timedelta | None
    unlisted_since: timedelta | None = None


class DepartedTarget(NamedTuple):
    """A target that is no longer used, and the read of the store that dropped it."""

    target: Target
    departed_at: timedelta


class GroupTable:
    """Targets and primaries of all services, as last read or announced."""

    def __init__(
        self,
        drain_bound: timedelta,
        evacuation_bound: timedelta | None = None,
    ):
        self.drain_bound = drain_bound
        self.evacuations = Evacuations(evacuation_bound or DEFAULT_BOUND)
        self.group_by_service: dict[str, GroupRecord] = {}
        self.listed_target_by_id: dict[str, KnownTarget] = {}
        self._departed_target_by_id: dict[str, DepartedTarget] = {}
        self._last_claimant_by_service: dict[str, str] = {}
        self.recorded_members_by_service: dict[str, GroupMembers] = {}
        self._listed_at: timedelta | None = None
        self._uninterrupted_since: timedelta | None = None
        self._has_returned = False

    def is_read_since(self, at: timedelta) -> bool:
        """Return whether the last list of targets was read at ``at`` or later."""
        return self._listed_at is not None and self._listed_at >= at

    @property
    def is_complete(self) -> bool:
        """Return whether every running server that reaches the store is listed.

        That is not so before the first list, and for some time after an outage of the
        store, because the servers register again one after the other.
        """
        if self._listed_at is None or self._uninterrupted_since is None:
            return False
        return self._listed_at - self._uninterrupted_since >= VANISHED_TARGET_LIFETIME

    def note_return_of_store(self) -> None:
        """Record that the next lists may have the entries of an older copy."""
        self._uninterrupted_since = None
        self._has_returned = True

    def update_targets(
        self, target_by_id: Mapping[str, Target], read_at: timedelta
    ) -> None:
        """Apply the targets that a store read listed.

        A target that is no longer listed is kept until the reads of
        ``VANISHED_TARGET_LIFETIME`` without an outage have not listed it.
        """
        previous_at, self._listed_at = self._listed_at, read_at
        is_interrupted = self._uninterrupted_since is None
        if previous_at is None or read_at - previous_at > MAX_LIST_INTERVAL:
            is_interrupted = True
        if is_interrupted:
            self._uninterrupted_since = read_at
        listed_target_by_id = {}
        for target_id, entry in target_by_id.items():
            known = self.listed_target_by_id.get(target_id)
            target = self._newer_entry(entry, known)
            draining_since = known.draining_since if known else None
            if target.is_draining and draining_since is None:
                draining_since = known.listed_at if known else read_at
            if not target.is_draining:
                draining_since = None
            listed_target_by_id[target_id] = KnownTarget(
                target, read_at, draining_since
            )
            self._departed_target_by_id.pop(target_id, None)
        for target_id, known in self.listed_target_by_id.items():
            if target_id in listed_target_by_id:
                continue
            unlisted_since = self._unlisted_since(known, read_at)
            if read_at - unlisted_since < VANISHED_TARGET_LIFETIME:
                known = known._replace(unlisted_since=unlisted_since)
                listed_target_by_id[target_id] = known
            else:
                departed = DepartedTarget(known.target, read_at)
                self._departed_target_by_id[target_id] = departed
        self.listed_target_by_id = listed_target_by_id
        self._departed_target_by_id = {
            target_id: departed
            for target_id, departed in self._departed_target_by_id.items()
            if read_at - departed.departed_at < DEPARTED_TARGET_LIFETIME
        }
        for target_id, target in target_by_id.items():
            if target.claims_primary:
                self._last_claimant_by_service[target.service] = target_id

    def _newer_entry(self, entry: Target, known: KnownTarget | None) -> Target:
        """Return the known target instead of an entry of the copy that is older.

        Answers a draining server that would get new work for another drain bound after
        a return of the store, until the server has written its entry again.
        """
        if known is None or not self._has_returned or self.is_complete:
            return entry
        is_older = entry.born_ms < known.target.born_ms or (
            entry.born_ms == known.target.born_ms
            and known.target.is_draining
            and not entry.is_draining
        )
        return known.target if is_older else entry

    def _unlisted_since(self, known: KnownTarget, read_at: timedelta) -> timedelta:
        """Return when a target that the read at ``read_at`` lacks became unlisted."""
        assert self._uninterrupted_since is not None
        if known.unlisted_since is None:
            return read_at
        return max(known.unlisted_since, self._uninterrupted_since)

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
            for target_id, target in members.target_by_id.items():
                if target_id not in self.listed_target_by_id:
                    departed = DepartedTarget(target, read_at)
                    self._departed_target_by_id.setdefault(target_id, departed)

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

    def targets_of(self, service: str) -> list[KnownTarget]:
        """Return the targets of a service."""
        return [
            known
            for known in self.listed_target_by_id.values()
            if known.target.service == service
        ]

    def find_target(self, target_id: str) -> Target | None:
        """Return a target that is in use, or that departed not long ago."""
        known = self.listed_target_by_id.get(target_id)
        if known is not None:
            return known.target
        departed = self._departed_target_by_id.get(target_id)
        return departed.target if departed is not None else None

    def replication_members(self, service: str) -> dict[str, Target]:
        """Return the targets that may receive commits of the service's primary.

        They include the departed ones, which may run although they do not reach the
        store. A target that departed while it was draining has ended.
        """
        member_by_id = {
            target_id: departed.target
            for target_id, departed in self._departed_target_by_id.items()
            if departed.target.service == service and not departed.target.is_draining
        }
        return member_by_id | {
            known.target.target_id: known.target for known in self.targets_of(service)
        }

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

    def claimants(self, service: str) -> list[Target]:
        """Return the targets that claim to be the primary."""
        return [
            known.target
            for known in self.targets_of(service)
            if known.target.claims_primary
        ]

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
