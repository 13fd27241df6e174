"""Conversion of share records to and from stored JSON values."""

from typing import Any

from pydantic import TypeAdapter, ValidationError

from bulrushloom.coordination.limits.base import ShareRecord

_RECORD = TypeAdapter(ShareRecord)


def record_to_json(record: ShareRecord) -> Any:
    """Return the record as JSON values."""
    return {
        "epoch": record.epoch,
        "holder": list(record.holder),
        "electorate": [list(member) for member in record.electorate],
    }


def record_from_json(value: Any) -> ShareRecord | None:
    """Return the stored record, or ``None`` if there is none or it is malformed."""
    try:
        return _RECORD.validate_python(value)
    except ValidationError:
        return None
