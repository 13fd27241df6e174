"""Which target is the primary of a service, and which replicas may serve; no I/O."""

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

# An entry can vanish while the store is away; it is back within 2 s of its return.
VANISHED_LIMIT = timedelta(milliseconds=2500)
# With one replica left the loss of it would stop all commits.
MIN_STAYING_REPLICAS = 2


class GroupPhase(Enum):
    """Name the phases of a change of primary.

    REPLACING: nobody may use the old primary. STEADY: ``primary_id`` is in charge.
    """

    REPLACING = "replacing"
    STEADY = "steady"


class GroupRecord(NamedTuple):
    """Hold the record of one service's change of primary.

    ``old_id`` is the primary that is being replaced. ``sealed`` is set once no
    replica receives any more; it covers every commit acknowledged so far.
    ``stopped_position_by_id`` holds the leaving replicas that receive nothing more
    since the primary was last promoted, with the last position that they received.
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
        """Return the value that is stored."""
        return orjson.dumps(
            {
                "service": self.service,
                "phase": self.phase.value,
                "term": self.term,
                "primary_id": self.primary_id,
                "old_id": self.old_id,
                "fence": self.fence,
                "sealed": list(self.sealed) if self.sealed else None,
                "stopped": {i: list(p) for i, p in self.stopped_position_by_id.items()},
            }
        )


def decode_group(value: bytes, revision: int) -> GroupRecord | Missing:
    """Return the record in ``value``, or why it is none."""
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
            stopped_position_by_id={i: LogPosition(*p) for i, p in stopped.items()},
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return Missing(f"group record is broken: {error!r}")


def group_records(records: Iterable[Record]) -> dict[str, GroupRecord]:
    """Return the readable group records by service."""
    groups = {}
    for record in records:
        if record.key.startswith(GROUP_PREFIX):
            group = decode_group(record.value, record.revision)
            if not isinstance(group, Missing):
                groups[group.service] = group
    return groups


class KnownTarget(NamedTuple):
    """Hold a target with the times that decide how long it may be used.

    ``listed_at`` is when the read began that last listed it. ``draining_since`` is
    when the last read began in which it was not leaving yet.
    """

    target: Target
    listed_at: timedelta
    draining_since: timedelta | None


class GroupTable:
    """Follow the targets and the primaries of all services."""

    def __init__(self, drain_bound: timedelta):
        self.drain_bound = drain_bound
        self.group_by_service: dict[str, GroupRecord] = {}
        self.listed_target_by_id: dict[str, KnownTarget] = {}
        self._listed_at: timedelta | None = None

    def is_listed_since(self, at: timedelta) -> bool:
        """Return whether the targets were listed after ``at``."""
        return self._listed_at is not None and self._listed_at >= at

    def update_targets(
        self, target_by_id: Mapping[str, Target], asked_at: timedelta
    ) -> None:
        """Take the targets that a read of the store listed."""
        self._listed_at = asked_at
        listed_target_by_id = {}
        for target_id, target in target_by_id.items():
            known = self.listed_target_by_id.get(target_id)
            since = known.draining_since if known else None
            if target.is_draining and since is None:
                since = known.listed_at if known else asked_at
            if not target.is_draining:
                since = None
            listed_target_by_id[target_id] = KnownTarget(target, asked_at, since)
        for target_id, known in self.listed_target_by_id.items():
            vanished = asked_at - known.listed_at
            if target_id not in listed_target_by_id and vanished < VANISHED_LIMIT:
                listed_target_by_id[target_id] = known
        self.listed_target_by_id = listed_target_by_id

    def apply_group_records(
        self, groups: Mapping[str, GroupRecord]
    ) -> list[GroupRecord]:
        """Take group records; return those that are newer than what was known."""
        changed = []
        for service, group in groups.items():
            known = self.group_by_service.get(service)
            if known is None or known.revision < group.revision:
                self.group_by_service[service] = group
                changed.append(group)
        return changed

    def targets_of(self, service: str) -> list[KnownTarget]:
        """Return the known targets of a service."""
        return [
            k for k in self.listed_target_by_id.values() if k.target.service == service
        ]

    def leaving_replicas(self, service: str, primary_id: str) -> list[Target]:
        """Return the leaving replicas that still receive commits.

        None are given while fewer than two others stay: the primary needs one of them.
        """
        group = self.group_by_service.get(service)
        stopped = group.stopped_position_by_id if group else {}
        replicas = [
            known.target
            for known in self.targets_of(service)
            if known.target.target_id != primary_id
        ]
        if sum(not target.is_draining for target in replicas) < MIN_STAYING_REPLICAS:
            return []
        return [t for t in replicas if t.is_draining and t.target_id not in stopped]

    def primary_of(self, service: str) -> Target | Missing:
        """Return the primary in charge, or why there is none."""
        group = self.group_by_service.get(service)
        if group is None:
            return self._claimed_primary(service)
        if group.phase is GroupPhase.REPLACING:
            return Missing("the primary is being replaced")
        known = self.listed_target_by_id.get(group.primary_id)
        if known is None:
            return Missing("the primary is not listed")
        return known.target

    def _claimed_primary(self, service: str) -> Target | Missing:
        claims = [
            known.target
            for known in self.targets_of(service)
            if known.target.claims_primary
        ]
        if len(claims) == 1:
            return claims[0]
        return Missing(f"{len(claims)} targets claim to be the primary")

    def may_receive(self, target_id: str, now: timedelta) -> bool:
        """Return whether a leaving target may still get new work."""
        known = self.listed_target_by_id.get(target_id)
        if known is None:
            return False
        if known.draining_since is None:
            return True
        return now - known.draining_since < self.drain_bound
