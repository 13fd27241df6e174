"""Store records of the primaries of services and of their failovers; no I/O."""

from collections.abc import Iterable, Mapping
from enum import Enum
from types import MappingProxyType
from typing import NamedTuple

import orjson

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.configuration import Target
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
    ``sealed_era`` is the era of the store in which that was so: in a later one, the
    failover may have ended, and further commits may have been acknowledged.
    ``stopped_by_id`` holds the draining replicas that stopped replicating since the
    last promotion. ``unanswered_by_id`` holds the number of orders to promote a server
    that got no answer, and may still be executed. ``term`` is the one of the orders to
    stop and to step down; it may be above ``primary_term``, the term in which the
    recorded primary led, or 0 if that is not known.

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
    sealed_era: int = 0
    primary_term: int = 0

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

    def is_sealed_in(self, era: int) -> bool:
        """Return whether ``sealed`` covers every commit acknowledged until now.

        ``era`` is the one that the store is in. Applies to a failover in progress.
        """
        return self.sealed is not None and self.sealed_era >= era

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
                "sealed_era": self.sealed_era,
                "primary_term": self.primary_term,
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
            # Records of earlier releases lack it; they were sealed in their own era.
            sealed_era=_decode_count(fields.get("sealed_era", order.era)),
            primary_term=_decode_count(fields.get("primary_term", 0)),
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
