"""Encoding of the directory, which instances copy over HTTP.

The directory has the targets, the members, the evacuated domains and which targets are
cold. It does not fit a datagram in a large fleet and rarely changes. Reports carry its
version only, and an instance that has another one copies the content.
"""

from collections.abc import Mapping
from datetime import timedelta
from typing import Annotated, Any

import msgspec
import orjson
import xxhash
from msgspec import Meta

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.exchange.messages import Directory, Member
from bulrushloom.proxy.exchange.report_wire import WireMember
from bulrushloom.proxy.exchange.usage_codec import Count, Name
from bulrushloom.runtime.streams import split_address

MAX_ENTRIES = Meta(max_length=20_000)
# Stands for any time that a cold target has left. The time itself changes with each
# heartbeat, and each change would make all instances copy the directory.
STILL_COLD = timedelta(milliseconds=1)
_ZERO = timedelta()


class _WireTarget(
    msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True
):
    target_id: Name
    service: Name
    address: Name
    domain: Name
    slots: Count
    is_draining: bool
    claims_primary: bool
    born_ms: Count


class _WireDirectory(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    targets: Annotated[list[_WireTarget], MAX_ENTRIES]
    members: Annotated[list[WireMember], MAX_ENTRIES]
    evacuated: Annotated[list[Name], MAX_ENTRIES] = []
    cold: Annotated[list[Name], MAX_ENTRIES] = []


def make_directory(
    listed_at: timedelta,
    target_by_id: Mapping[str, Target],
    member_by_name: Mapping[str, Member],
    evacuated_domains: frozenset[str] = frozenset(),
) -> Directory:
    """Return a directory with the version of its content.

    The fields of a target that change with each heartbeat are left out; of
    ``cold_left``, only whether it is above 0 is kept.
    """
    targets = {
        target_id: target._replace(
            cold_left=STILL_COLD if target.cold_left > _ZERO else _ZERO, revision=0
        )
        for target_id, target in target_by_id.items()
    }
    directory = Directory(
        listed_at, "", targets, dict(member_by_name), evacuated_domains
    )
    version = xxhash.xxh64_hexdigest(encode_directory(directory))
    return directory._replace(version=version)


def encode_directory(directory: Directory) -> bytes:
    """Return the content of a directory, the same for equal ones."""
    targets = [
        [
            target.target_id,
            target.service,
            target.address,
            target.domain,
            target.slots,
            target.is_draining,
            target.claims_primary,
            target.born_ms,
        ]
        for _, target in sorted(directory.target_by_id.items())
    ]
    members = [list(m) for _, m in sorted(directory.member_by_name.items())]
    content: dict[str, list[Any]] = {"targets": targets, "members": members}
    # Earlier releases reject a directory with further keys, so each is added only when
    # there is something to say.
    if directory.evacuated_domains:
        content["evacuated"] = sorted(directory.evacuated_domains)
    cold = [t.target_id for t in directory.target_by_id.values() if t.cold_left > _ZERO]
    if cold:
        content["cold"] = sorted(cold)
    return orjson.dumps(content)


def decode_directory(content: bytes, listed_at: timedelta) -> Directory | Missing:
    """Return the directory with this content, or why the content is invalid."""
    try:
        wire = msgspec.json.decode(content, type=_WireDirectory)
        for address in [t.address for t in wire.targets] + [
            address for m in wire.members for address in (m.address, m.document_address)
        ]:
            split_address(address)
    except ValueError as error:
        return Missing(f"malformed directory: {error}")
    cold = frozenset(wire.cold)
    targets = {
        wire_target.target_id: Target(
            target_id=wire_target.target_id,
            service=wire_target.service,
            address=wire_target.address,
            domain=wire_target.domain,
            slots=wire_target.slots,
            is_draining=wire_target.is_draining,
            claims_primary=wire_target.claims_primary,
            cold_left=STILL_COLD if wire_target.target_id in cold else _ZERO,
            born_ms=wire_target.born_ms,
            revision=0,
        )
        for wire_target in wire.targets
    }
    members = {member.name: Member(*member) for member in wire.members}
    return make_directory(listed_at, targets, members, frozenset(wire.evacuated))
