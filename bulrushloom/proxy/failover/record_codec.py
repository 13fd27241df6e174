"""Decoding that the group records and the records of group members have in common.

Both are stored by service and ordered by the era and the generation that they contain.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple, Protocol, TypeVar

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.store import Record
from bulrushloom.proxy.store_eras import decode_order

# Raised by the decoding of values with missing fields or fields of another type.
MALFORMED_RECORD_ERRORS = (
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
    OverflowError,
)


class ServiceRecord(Protocol):
    """Record that belongs to a service."""

    @property
    def service(self) -> str:
        """Return the name of the service."""


RecordT = TypeVar("RecordT", bound=ServiceRecord)


class RecordOrder(NamedTuple):
    """Fields of a record by which it is ordered, as in a ``GroupRecord``."""

    era: int
    generation: int
    revision_era: int


def decode_record_order(
    fields: Mapping[str, Any], revision_era: int | None
) -> RecordOrder:
    """Return the order of a record; raise ``ValueError`` if it is invalid.

    Without ``revision_era``, the revision is that of the write of the record.
    """
    era, generation = decode_order(fields)
    return RecordOrder(era, generation, era if revision_era is None else revision_era)


def decode_by_service(
    records: Iterable[Record],
    prefix: str,
    decode: Callable[[bytes, int, int], RecordT | Missing],
    revision_era: int,
) -> dict[str, RecordT]:
    """Return the valid records below ``prefix`` in a snapshot of an era by service."""
    record_by_service = {}
    for record in records:
        if record.key.startswith(prefix):
            decoded = decode(record.value, record.revision, revision_era)
            if not isinstance(decoded, Missing):
                record_by_service[decoded.service] = decoded
    return record_by_service
