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
from bulrushloom.proxy.store import Record
from bulrushloom.runtime.streams import split_address

GROUP_MEMBERS_PREFIX = "proxy/servers/"


class GroupMembers(NamedTuple):
    """Stored record of the servers of a service that may have acknowledged commits.

    ``primary_id`` is the primary at that time.
    """

    service: str
    primary_id: str
    target_by_id: Mapping[str, Target]
    revision: int


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
        }
    )


def decode_group_members(value: bytes, revision: int) -> GroupMembers | Missing:
    """Return the record in ``value``, or the reason why it is invalid."""
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
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
        return Missing(f"malformed record of group members: {error!r}")
    return GroupMembers(service, primary_id, target_by_id, revision)


def decode_all_group_members(records: Iterable[Record]) -> dict[str, GroupMembers]:
    """Return the valid records by service."""
    members_by_service = {}
    for record in records:
        if record.key.startswith(GROUP_MEMBERS_PREFIX):
            members = decode_group_members(record.value, record.revision)
            if not isinstance(members, Missing):
                members_by_service[members.service] = members
    return members_by_service
