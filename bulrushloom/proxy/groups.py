"""Group records and targets: which target is the primary of a service; no I/O."""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from enum import Enum
from types import MappingProxyType
from typing import NamedTuple

import orjson

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.messages import LogPosition
from bulrushloom.proxy.store import Record

GROUP_PREFIX = "proxy/groups/"
LEADER_KEY = "proxy/leader"
FENCE_KEY = "proxy/fence"

# An entry can expire while the store is unavailable; its server registers again within
# 2 s after the store is back.
VANISHED_TARGET_LIFETIME = timedelta(milliseconds=2500)
# With a single remaining replica, its failure would block all commits.
MIN_REMAINING_REPLICAS = 2


class GroupPhase(Enum):
    """Phases of a failover.

    REPLACING: a failover is in progress, and no target may be used as the primary.
    STEADY: ``primary_id`` is the primary.
    """

    REPLACING = "replacing"
    STEADY = "steady"


class GroupRecord(NamedTuple):
    """Stored record of a service's primary and of its current failover.

    ``old_id`` is the primary that is being replaced. ``fence`` is the fencing token of
    the leader that wrote the record. ``sealed`` is set once a failover has chosen the
    successor; it is the log position that covers every commit acknowledged so far.
    ``stopped_position_by_id`` holds the draining replicas that stopped replicating
    since the last promotion, with the last position that they received.
    """

    service: str
    phase: GroupPhase
    term: int
    primary_id: str
    old_id: str
    fence: int
    revision: int
    sealed: LogPosition | None = None
    stopped_position_by_id: Mapping[str, LogPosition] = MappingProxyType({})

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
                    target_id: list(position)
                    for target_id, position in self.stopped_position_by_id.items()
                },
            }
        )


def decode_group(value: bytes, revision: int) -> GroupRecord | Missing:
    """Return the record in ``value``, or the reason why it is invalid."""
    try:
        fields = orjson.loads(value)
        sealed = fields.get("sealed")
        stopped = fields.get("stopped") or {}
        return GroupRecord(
            service=fields["service"],
            phase=GroupPhase(fields["phase"]),
            term=int(fields["term"]),
            primary_id=fields["primary_id"],
            old_id=fields["old_id"],
            fence=int(fields["fence"]),
            revision=revision,
            sealed=LogPosition(*sealed) if sealed else None,
            stopped_position_by_id={
                target_id: LogPosition(*position)
                for target_id, position in stopped.items()
            },
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return Missing(f"malformed group record: {error!r}")


def decode_group_records(records: Iterable[Record]) -> dict[str, GroupRecord]:
    """Return the valid group records by service."""
    groups = {}
    for record in records:
        if record.key.startswith(GROUP_PREFIX):
            group = decode_group(record.value, record.revision)
            if not isinstance(group, Missing):
                groups[group.service] = group
    return groups


class KnownTarget(NamedTuple):
    """A target and the times that limit its use.

    ``listed_at`` is the start of the last store read that listed it.
    ``draining_since`` is the start of the last read in which it was not draining yet,
    or of the first read that listed it.
    """

    target: Target
    listed_at: timedelta
    draining_since: timedelta | None


class GroupTable:
    """Targets and primaries of all services, as last read or announced."""

    def __init__(self, drain_bound: timedelta):
        self.drain_bound = drain_bound
        self.group_by_service: dict[str, GroupRecord] = {}
        self.listed_target_by_id: dict[str, KnownTarget] = {}
        self._listed_at: timedelta | None = None

    def is_read_since(self, at: timedelta) -> bool:
        """Return whether the last list of targets was read at ``at`` or later."""
        return self._listed_at is not None and self._listed_at >= at

    def update_targets(
        self, target_by_id: Mapping[str, Target], read_at: timedelta
    ) -> None:
        """Apply the targets that a store read listed.

        A target that is no longer listed is kept for ``VANISHED_TARGET_LIFETIME``.
        """
        self._listed_at = read_at
        listed_target_by_id = {}
        for target_id, target in target_by_id.items():
            known = self.listed_target_by_id.get(target_id)
            draining_since = known.draining_since if known else None
            if target.is_draining and draining_since is None:
                draining_since = known.listed_at if known else read_at
            if not target.is_draining:
                draining_since = None
            listed_target_by_id[target_id] = KnownTarget(
                target, read_at, draining_since
            )
        for target_id, known in self.listed_target_by_id.items():
            unlisted_for = read_at - known.listed_at
            if (
                target_id not in listed_target_by_id
                and unlisted_for < VANISHED_TARGET_LIFETIME
            ):
                listed_target_by_id[target_id] = known
        self.listed_target_by_id = listed_target_by_id

    def apply_group_records(
        self, groups: Mapping[str, GroupRecord]
    ) -> list[GroupRecord]:
        """Apply group records; return those that are newer than the known ones."""
        changed = []
        for service, group in groups.items():
            known = self.group_by_service.get(service)
            if known is None or known.revision < group.revision:
                self.group_by_service[service] = group
                changed.append(group)
        return changed

    def targets_of(self, service: str) -> list[KnownTarget]:
        """Return the targets of a service."""
        return [
            known
            for known in self.listed_target_by_id.values()
            if known.target.service == service
        ]

    def draining_replicas(self, service: str, primary_id: str) -> list[Target]:
        """Return the draining replicas that still replicate.

        The result is empty while fewer than ``MIN_REMAINING_REPLICAS`` replicas are not
        draining, because the primary needs one of them for its commits.
        """
        group = self.group_by_service.get(service)
        stopped = group.stopped_position_by_id if group else {}
        replicas = [
            known.target
            for known in self.targets_of(service)
            if known.target.target_id != primary_id
        ]
        if sum(not target.is_draining for target in replicas) < MIN_REMAINING_REPLICAS:
            return []
        return [t for t in replicas if t.is_draining and t.target_id not in stopped]

    def primary_of(self, service: str) -> Target | Missing:
        """Return the current primary, or the reason why there is none."""
        group = self.group_by_service.get(service)
        if group is None:
            return self._self_declared_primary(service)
        if group.phase is GroupPhase.REPLACING:
            return Missing("the primary is being replaced")
        known = self.listed_target_by_id.get(group.primary_id)
        if known is None:
            return Missing("the primary is not listed")
        return known.target

    def _self_declared_primary(self, service: str) -> Target | Missing:
        """Return the only target that claims to be the primary.

        Applies while the service has no group record.
        """
        claimants = [
            known.target
            for known in self.targets_of(service)
            if known.target.claims_primary
        ]
        if len(claimants) == 1:
            return claimants[0]
        return Missing(f"{len(claimants)} targets claim to be the primary")

    def accepts_new_work(self, target_id: str, now: timedelta) -> bool:
        """Return whether a target may receive new statements.

        A draining target may receive them for ``drain_bound``.
        """
        known = self.listed_target_by_id.get(target_id)
        if known is None:
            return False
        if known.draining_since is None:
            return True
        return now - known.draining_since < self.drain_bound
