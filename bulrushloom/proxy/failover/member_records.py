"""Store records of the servers that belong to each group; no I/O.

If all instances lose power while a server is away, the next leader learns of that
server from here only. It may be the one that has the last acknowledged commits.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

import orjson

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.failover.record_codec import (
    MALFORMED_RECORD_ERRORS,
    decode_by_service,
    decode_record_order,
)
from bulrushloom.proxy.store import Record
from bulrushloom.proxy.store_eras import record_version
from bulrushloom.runtime.streams import split_address

GROUP_MEMBERS_PREFIX = "proxy/servers/"


class GroupMembers(NamedTuple):
    """Stored record of the servers of a service that may have acknowledged commits.

    ``primary_id`` is the primary at that time. ``era``, ``generation``, ``revision``
    and ``revision_era`` are as in a ``GroupRecord``.
    """

    service: str
    primary_id: str
    target_by_id: Mapping[str, Target]
    revision: int
    era: int = 0
    generation: int = 0
    revision_era: int = 0

    @property
    def version(self) -> int:
        """Return the number that orders the records of a service."""
        return record_version(self.era, self.generation, self.revision)

    def replaces(self, known: "GroupMembers") -> bool:
        """Return whether this is a newer record, or has a revision of a later era."""
        return (known.version, known.revision_era) < (self.version, self.revision_era)


def build_member(
    target_id: str, service: str, address: str, domain: str, born_ms: int
) -> Target:
    """Return a server of a ``GroupMembers`` record, without what its entry adds."""
    return Target(
        target_id=target_id,
        service=service,
        address=address,
        domain=domain,
        slots=1,
        is_draining=False,
        claims_primary=False,
        cold_left=timedelta(),
        born_ms=born_ms,
        revision=0,
    )


def encode_group_members(members: GroupMembers) -> bytes:
    """Return the value to store."""
    return orjson.dumps(
        {
            "service": members.service,
            "primary_id": members.primary_id,
            "servers": [
                [target.target_id, target.address, target.domain, target.born_ms]
                for _, target in sorted(members.target_by_id.items())
            ],
            "era": members.era,
            "generation": members.generation,
        }
    )


def decode_group_members(
    value: bytes, revision: int, revision_era: int | None = None
) -> GroupMembers | Missing:
    """Return the record in ``value``, or the reason why it is invalid.

    Without ``revision_era``, the revision is that of the write of the record.
    """
    try:
        fields = orjson.loads(value)
        service = str(fields["service"])
        target_by_id = {}
        for target_id, address, domain, born_ms in fields["servers"]:
            split_address(address)
            target_by_id[str(target_id)] = build_member(
                str(target_id), service, address, str(domain), int(born_ms)
            )
        primary_id = str(fields["primary_id"])
        order = decode_record_order(fields, revision_era)
    except MALFORMED_RECORD_ERRORS as error:
        return Missing(f"malformed record of group members: {error!r}")
    return GroupMembers(service, primary_id, target_by_id, revision, *order)


def decode_all_group_members(
    records: Iterable[Record], revision_era: int
) -> dict[str, GroupMembers]:
    """Return the valid records of a snapshot of an era by service."""
    return decode_by_service(
        records, GROUP_MEMBERS_PREFIX, decode_group_members, revision_era
    )
