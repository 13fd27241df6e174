"""Decoding of the answers of the platform's store: era, content and failures."""

import base64
from typing import Any

import orjson

from bulrushloom.proxy.store import Record, StoreFailure, StoreFailureKind
from bulrushloom.proxy.store_eras import MAX_ERA
from bulrushloom.runtime.http import Response

# ``Store-Era`` in the store's answers; h11 gives names in lower case.
ERA_HEADER = "store-era"
# Raised by the decoding of answers with missing fields or fields of another type.
MALFORMED_ERRORS = (AttributeError, KeyError, TypeError, ValueError, OverflowError)
# Statuses with which the store states that it has not executed a call. After any other
# failure the outcome is unknown.
_KIND_BY_STATUS = {
    404: StoreFailureKind.NO_LEASE,
    410: StoreFailureKind.GONE,
    412: StoreFailureKind.CONFLICT,
    429: StoreFailureKind.NOT_DONE,
    503: StoreFailureKind.NOT_DONE,
    403: StoreFailureKind.NOT_DONE,
    400: StoreFailureKind.NOT_DONE,
}


def malformed(error: Exception) -> StoreFailure:
    """Return the failure for an answer that cannot be decoded."""
    return StoreFailure(StoreFailureKind.UNKNOWN, f"malformed answer: {error!r}")


def decode_era(response: Response) -> int | StoreFailure:
    """Return the era that an answer names; older stores name none, which is era 0."""
    text = response.headers.get(ERA_HEADER, "0")
    is_number = text.isascii() and text.isdecimal() and len(text) < 10
    if not is_number or int(text) > MAX_ERA:
        return StoreFailure(StoreFailureKind.UNKNOWN, f"malformed era: {text!r}")
    return int(text)


def decode_record(item: dict[str, Any]) -> Record:
    """Return an item of a read that belongs to the instances."""
    value = base64.b64decode(item["Value"])
    return Record(item["Key"], value, item["Rev"], item.get("Lease") or 0)


def decode_response(method: str, path: str, response: Response) -> Any:
    """Return the content of an answer, or the ``StoreFailure`` that it states."""
    if response.status in (200, 204):
        try:
            return orjson.loads(response.body) if response.body else {}
        except orjson.JSONDecodeError as error:
            return StoreFailure(StoreFailureKind.UNKNOWN, f"malformed answer: {error}")
    kind = _KIND_BY_STATUS.get(response.status, StoreFailureKind.UNKNOWN)
    return StoreFailure(kind, f"{method} {path}: status {response.status}")
