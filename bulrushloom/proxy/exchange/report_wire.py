"""Form of a report on the wire, with the bounds of each field."""

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from bulrushloom.proxy.exchange.messages import ReportKind
from bulrushloom.proxy.exchange.usage_codec import (
    Count,
    LargeMap,
    Milliseconds,
    Name,
    WireGroupUsage,
    WireIndexedUsage,
    WireUsage,
)
from bulrushloom.proxy.store_eras import Knowledge

WIRE_VERSION = 2

FLAG_RELAY = 1
FLAG_LEADER = 2
FLAG_LEFT = 4
FLAG_URGENT = 8
ALL_FLAGS = 15
# Added to the number of ``Knowledge`` in ``WireView.state``.
SETTLED = 4

Microseconds = Annotated[int, Meta(ge=0, le=2**53)]
SmallMap = Meta(max_length=2_000)


class WireMember(NamedTuple):
    """Encoded ``Member``."""

    name: Name
    incarnation: Name
    address: Name
    domain: Name
    document_address: Name


class WireEcho(NamedTuple):
    """Echo for one receiver: its last timestamp, the time since, what is included."""

    stamp: Microseconds
    delay_us: Microseconds
    included_stamp: Microseconds


class WirePosition(NamedTuple):
    """Encoded ``PositionSample``."""

    term: Count
    offset: Count
    age_ms: Milliseconds


class WireView(NamedTuple):
    """Encoded ``StoreView``."""

    age_ms: Milliseconds
    configuration_version: Count
    era: Annotated[int, Meta(ge=0, le=2**20)]
    state: Annotated[int, Meta(ge=0, le=SETTLED + int(max(Knowledge)))]


class WireNamedAge(NamedTuple):
    """A name with an age: the leader, or the version of a directory."""

    name: Name
    age_ms: Milliseconds


class WireReport(
    msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True
):
    """Encoded ``Report``; ``echo`` is keyed by the receiver's incarnation."""

    version: Annotated[int, Meta(ge=WIRE_VERSION, le=WIRE_VERSION)]
    kind: Annotated[int, Meta(ge=0, le=int(max(ReportKind)))]
    flags: Annotated[int, Meta(ge=0, le=ALL_FLAGS)]
    member: WireMember
    stamp: Microseconds
    echo: Annotated[dict[Name, WireEcho], SmallMap]
    subtree: WireGroupUsage | None
    own: Annotated[dict[Name, WireUsage], LargeMap]
    domains: Annotated[dict[Name, WireGroupUsage], SmallMap]
    positions: Annotated[dict[Name, WirePosition], SmallMap]
    acknowledged: Annotated[dict[Name, tuple[Count, Count]], SmallMap]
    suspected: Annotated[list[Name], SmallMap]
    view: WireView | None
    directory: WireNamedAge | None
    followed: Annotated[dict[Name, Count], SmallMap]
    groups: Annotated[
        dict[Name, tuple[Count, Annotated[str, Meta(max_length=20_000)]]], SmallMap
    ]
    leader: WireNamedAge | None
    relays: Annotated[dict[Name, Name], SmallMap]
    accounts: Count = 0
    indexed: Annotated[dict[Name, WireIndexedUsage], SmallMap] = {}
