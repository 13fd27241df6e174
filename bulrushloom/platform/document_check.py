"""Checks of a configuration document before operators write it to the store."""

import math
from collections import Counter
from collections.abc import Iterator
from typing import Any, NamedTuple

import orjson

from bulrushloom.platform.documents import (
    DEFAULT_STATEMENT_TIMEOUT_MS,
    decode_configuration,
)
from bulrushloom.proxy.configuration import Configuration
from bulrushloom.proxy.connection_allowance import RESERVED_CONNECTIONS
from bulrushloom.proxy.store import DocumentError

ROUTE_TYPES = ("primary", "bounded_staleness", "read_your_writes")
# A larger document is not accepted by the store.
MAX_DOCUMENT_BYTES = 1024 * 1024
_NUMBERS_BY_SECTION = {
    "Routes": ("TimeoutMs", "SloMs", "Priority", "MaxStalenessMs"),
    "Services": ("MaxConns", "SyncReplicas"),
    "Tenants": ("RatePerS", "Burst", "Priority"),
}
_NAME_FIELD_BY_SECTION = {"Routes": "Host", "Services": "Name", "Tenants": "Name"}


class CheckedDocument(NamedTuple):
    """A document with its problems; ``configuration`` is ``None`` if undecodable."""

    configuration: Configuration | None
    problems: list[str]


def check_document(data: bytes) -> CheckedDocument:
    """Decode a document and find what cannot have been intended.

    Instances accept most of these documents: an entry that contradicts another one
    has no effect, or callers are refused.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        reason = f"the document has more than {MAX_DOCUMENT_BYTES} bytes"
        return CheckedDocument(None, [reason])
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        return CheckedDocument(None, [f"not valid JSON: {error}"])
    if not isinstance(document, dict):
        return CheckedDocument(None, ["the document is not a JSON object"])
    problems = list(_shape_problems(document))
    if problems:
        return CheckedDocument(None, problems)
    try:
        configuration = decode_configuration(data, 0)
    except DocumentError as error:
        return CheckedDocument(None, [str(error.__cause__ or error)])
    problems = [
        *_version_problems(document),
        *_route_problems(document),
        *_service_problems(document),
        *_account_problems(document),
    ]
    return CheckedDocument(configuration, problems)


def _shape_problems(document: dict[str, Any]) -> Iterator[str]:
    """Find entries that the decoder cannot read or would read as something else."""
    version = document.get("Version")
    if isinstance(version, bool) or not isinstance(version, int):
        yield "Version is not a whole number"
    limits = document.get("Limits")
    if limits is not None and not isinstance(limits, dict):
        yield "Limits is not an object"
    elif limits and not _is_number(limits.get("TxIdleMs")):
        yield "Limits: TxIdleMs is not a non-negative number"
    for section, numbers in _NUMBERS_BY_SECTION.items():
        entries = document.get(section)
        if entries is not None and not isinstance(entries, list):
            yield f"{section} is not a list"
            continue
        for position, entry in enumerate(entries or ()):
            yield from _entry_problems(section, position, entry, numbers)


def _entry_problems(
    section: str, position: int, entry: Any, numbers: tuple[str, ...]
) -> Iterator[str]:
    label = f"{section}[{position}]"
    if not isinstance(entry, dict):
        yield f"{label} is not an object"
        return
    texts = [_NAME_FIELD_BY_SECTION[section]]
    if section == "Routes":
        texts += ["Service", "Type"]
    for field in texts:
        if not isinstance(entry.get(field), str) or not entry[field]:
            yield f"{label}: {field} is missing or not text"
    for field in numbers:
        if not _is_number(entry.get(field)):
            yield f"{label}: {field} is not a non-negative number"
    keys = entry.get("ApiKeys")
    if section == "Tenants" and not _is_list_of_texts(keys):
        yield f"{label}: ApiKeys is not a list of texts"


def _is_number(value: Any) -> bool:
    if value is None:
        return True
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and math.isfinite(value) and value >= 0


def _is_list_of_texts(value: Any) -> bool:
    return value is None or (
        isinstance(value, list) and all(isinstance(key, str) and key for key in value)
    )


def _version_problems(document: dict[str, Any]) -> Iterator[str]:
    if document["Version"] < 1:
        yield "Version is below 1, so instances regard it as no configuration"


def _route_problems(document: dict[str, Any]) -> Iterator[str]:
    routes = document.get("Routes") or []
    services = {entry["Name"] for entry in document.get("Services") or ()}
    for database, count in Counter(entry["Host"] for entry in routes).items():
        if count > 1:
            yield f"database {database} has {count} routes; only the last one applies"
    for entry in routes:
        label = f"database {entry['Host']}"
        if entry["Service"] not in services:
            yield f"{label}: there is no service {entry['Service']}"
        if entry["Type"] not in ROUTE_TYPES:
            yield f"{label}: type {entry['Type']} is unknown and is read as primary"
        if not isinstance(entry.get("Public", False), bool):
            yield f"{label}: Public is neither true nor false, and is read as false"
        staleness_ms = entry.get("MaxStalenessMs") or 0
        if entry["Type"] == "primary" and staleness_ms:
            yield f"{label}: MaxStalenessMs has no effect on a primary route"
        if entry["Type"] == "bounded_staleness" and not staleness_ms:
            yield f"{label}: MaxStalenessMs is 0, so no replica may serve reads"
        timeout_ms = entry.get("TimeoutMs") or DEFAULT_STATEMENT_TIMEOUT_MS
        objective_ms = entry.get("SloMs") or DEFAULT_STATEMENT_TIMEOUT_MS
        if timeout_ms < objective_ms:
            yield (
                f"{label}: the timeout of {timeout_ms} ms is below the latency "
                f"objective of {objective_ms} ms"
            )


def _service_problems(document: dict[str, Any]) -> Iterator[str]:
    entries = document.get("Services") or []
    for name, count in Counter(entry["Name"] for entry in entries).items():
        if count > 1:
            yield f"service {name} is listed {count} times; only the last one applies"
    for entry in entries:
        connections = entry.get("MaxConns") or 0
        if connections <= RESERVED_CONNECTIONS:
            yield (
                f"service {entry['Name']}: of {connections} connections, "
                f"{RESERVED_CONNECTIONS} are reserved for status requests"
            )


def _account_problems(document: dict[str, Any]) -> Iterator[str]:
    entries = document.get("Tenants") or []
    names_by_key: dict[str, list[str]] = {}
    for name, count in Counter(entry["Name"] for entry in entries).items():
        if count > 1:
            yield f"account {name} is listed {count} times"
    for entry in entries:
        label = f"account {entry['Name']}"
        for key in entry.get("ApiKeys") or ():
            names_by_key.setdefault(key, []).append(entry["Name"])
        if not entry.get("ApiKeys"):
            yield f"{label} has no keys, so nobody can use it"
        if not entry.get("RatePerS"):
            yield f"{label}: the rate is 0, so its operations are refused"
        if (entry.get("Burst") or 0) < 1:
            yield f"{label}: the burst is below 1 operation"
    for names in names_by_key.values():
        # Keys are secrets, so they are not printed.
        if len(names) > 1:
            yield f"one key is listed {len(names)} times: accounts {', '.join(names)}"
