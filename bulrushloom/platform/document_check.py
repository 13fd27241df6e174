"""Checks of a configuration document before operators write it to the store."""

import json
import math
from collections import Counter
from collections.abc import Iterable, Iterator
from datetime import timedelta
from typing import Any, NamedTuple

import orjson

from bulrushloom.platform import wire
from bulrushloom.platform.document_text import printable
from bulrushloom.platform.documents import (
    MAX_NUMBER,
    MAX_TEXT_LENGTH,
    decode_account,
    decode_configuration,
    decode_route,
    decode_service,
)
from bulrushloom.proxy.configuration import Account, Configuration, Consistency, Route
from bulrushloom.proxy.connection_allowance import RESERVED_CONNECTIONS
from bulrushloom.proxy.messages import StartRequest
from bulrushloom.proxy.positions import SAMPLE_LIFETIME, TRANSIT_MARGIN
from bulrushloom.proxy.store import DocumentError

ROUTE_TYPES = ("primary", "bounded_staleness", "read_your_writes")
# A larger document is not accepted by the store.
MAX_DOCUMENT_BYTES = 1024 * 1024
# Up to the first bound, no position of the primary is recent enough for reads at
# replicas. Beyond the second, reads need the oldest position that is kept.
MIN_STALENESS = TRANSIT_MARGIN
MAX_STALENESS = SAMPLE_LIFETIME + TRANSIT_MARGIN
_NUMBERS_BY_SECTION = {
    "Routes": ("TimeoutMs", "SloMs", "Priority", "MaxStalenessMs"),
    "Services": ("MaxConns", "SyncReplicas", "ColdPerS"),
    "Tenants": ("RatePerS", "Burst", "Priority"),
}
# Instances drop the fraction of these numbers; the others are durations and rates.
_WHOLE_NUMBERS = ("Priority", "MaxConns", "SyncReplicas")
# Bounds of the messages between instances: of a request for a shared connection, and
# of a report.
_MAX_PRIORITY = 2**31
_MAX_VERSION = 2**53
_NAME_FIELD_BY_SECTION = {"Routes": "Host", "Services": "Name", "Tenants": "Name"}
# The fields without which instances refuse an entry. With one field of an entry under
# check instead, they show whether instances accept that field.
_NEEDED_FIELDS_BY_SECTION = {
    "Routes": {"Host": "host", "Service": "service", "Type": "primary"},
    "Services": {"Name": "service"},
    "Tenants": {"Name": "account"},
}
_FIELDS_BY_SECTION = {
    "Routes": ("Name", "Host", "Service", "Type", "Public"),
    "Services": ("Name",),
    "Tenants": ("Name", "ApiKeys"),
}
_ABSENT = object()
_MILLISECOND = timedelta(milliseconds=1)


class CheckedDocument(NamedTuple):
    """A document with its problems.

    ``errors`` are those for which instances refuse or ignore the document, and
    ``warnings`` those with which they accept it. ``configuration`` is ``None`` if they
    cannot decode it.
    """

    configuration: Configuration | None
    errors: list[str]
    warnings: list[str]

    @property
    def problems(self) -> list[str]:
        """Errors and warnings."""
        return [*self.errors, *self.warnings]


class _Finding(NamedTuple):
    """A value of the wrong type or size, in a document without other problems."""

    text: str
    document: dict[str, Any]


def check_document(data: bytes) -> CheckedDocument:
    """Decode a document and find what cannot have been intended.

    Instances accept most of these documents: an entry that contradicts another one
    has no effect, or callers are refused. What they refuse is for their decoder to say.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        reason = f"the document has more than {MAX_DOCUMENT_BYTES} bytes"
        return CheckedDocument(None, [reason], [])
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        return CheckedDocument(None, [f"not valid JSON: {error}"], [])
    if not isinstance(document, dict):
        return CheckedDocument(None, ["the document is not a JSON object"], [])
    findings = list(_shape_findings(document))
    try:
        configuration = decode_configuration(data, 0)
    except DocumentError as error:
        errors = [f.text for f in findings if _is_refused(f.document)]
        warnings = [f.text for f in findings if not _is_refused(f.document)]
        reason = str(error.__cause__ or error)
        return CheckedDocument(None, errors or [reason], warnings)
    warnings = [
        *_repeated_fields(data),
        *_version_warnings(configuration),
        *(finding.text for finding in findings),
        *_route_problems(document),
        *_service_problems(document, configuration),
        *_account_problems(document, configuration),
    ]
    return CheckedDocument(
        configuration, list(_version_errors(configuration)), warnings
    )


class _RawObject(dict[str, Any]):
    """A JSON object that knows how often each of its fields is given."""

    def __init__(self, pairs: list[tuple[str, Any]]):
        super().__init__(pairs)
        self.count_by_field = Counter(field for field, _ in pairs)


def _repeated_fields(data: bytes) -> Iterator[str]:
    """Find fields that are given more than once, of which decoders use the last one."""
    try:
        document = json.loads(data, object_pairs_hook=_RawObject)
    except RecursionError:
        yield "the document is nested too deeply to look for fields given twice"
        return
    fields = ("Version", "Limits", *_FIELDS_BY_SECTION)
    yield from _repeated_of("", document, fields)
    yield from _repeated_of("Limits: ", document.get("Limits"), ("TxIdleMs",))
    for section, texts in _FIELDS_BY_SECTION.items():
        fields = (*texts, *_NUMBERS_BY_SECTION[section])
        for position, entry in enumerate(document.get(section) or ()):
            yield from _repeated_of(f"{section}[{position}]: ", entry, fields)


def _repeated_of(label: str, entry: Any, fields: Iterable[str]) -> Iterator[str]:
    """Find the repeated ones of the fields that instances read."""
    if not isinstance(entry, _RawObject):
        return
    for field in fields:
        if (count := entry.count_by_field[field]) > 1:
            yield f"{label}{field} is given {count} times; only the last one applies"


def _is_refused(document: dict[str, Any]) -> bool:
    try:
        decode_configuration(orjson.dumps(document), 0)
    except DocumentError:
        return True
    return False


def _shape_findings(document: dict[str, Any]) -> Iterator[_Finding]:
    """Find what instances refuse or would read as something else."""
    version = document.get("Version", _ABSENT)
    if not _is_whole_number(version):
        part = {} if version is _ABSENT else {"Version": version}
        yield _Finding("Version is not a whole number", part)
    limits = document.get("Limits")
    part = {"Version": 1, "Limits": limits}
    if limits is not None and not isinstance(limits, dict):
        yield _Finding("Limits is not an object", part)
    elif limits and (problem := _number_problem(limits.get("TxIdleMs"), part)):
        yield _Finding(f"Limits: TxIdleMs is {problem}", part)
    for section in _NUMBERS_BY_SECTION:
        entries = document.get(section)
        if entries is not None and not isinstance(entries, list):
            yield _Finding(f"{section} is not a list", {"Version": 1, section: entries})
            continue
        for position, entry in enumerate(entries or ()):
            yield from _entry_findings(section, position, entry)


def _entry_findings(section: str, position: int, entry: Any) -> Iterator[_Finding]:
    label = f"{section}[{position}]"
    if not isinstance(entry, dict):
        part = {"Version": 1, section: [entry]}
        yield _Finding(f"{label} is not an object", part)
        return
    texts = [_NAME_FIELD_BY_SECTION[section]]
    if section == "Routes":
        texts += ["Service", "Type"]
    for field in texts:
        if not isinstance(entry.get(field), str) or not entry[field]:
            part = _document_with(section, field, entry.get(field, _ABSENT))
            yield _Finding(f"{label}: {field} is missing or not text", part)
    for field in _NUMBERS_BY_SECTION[section]:
        part = _document_with(section, field, entry.get(field))
        if problem := _number_problem(entry.get(field), part, field):
            yield _Finding(f"{label}: {field} is {problem}", part)
    keys = entry.get("ApiKeys")
    if section == "Tenants" and not _is_list_of_texts(keys):
        part = _document_with(section, "ApiKeys", keys)
        yield _Finding(f"{label}: ApiKeys is not a list of texts", part)


def _document_with(section: str, field: str, value: Any) -> dict[str, Any]:
    """Return a document of one entry in which one field can be wrong."""
    entry: dict[str, Any] = {**_NEEDED_FIELDS_BY_SECTION[section], field: value}
    if value is _ABSENT:
        del entry[field]
    return {"Version": 1, section: [entry]}


def _number_problem(value: Any, part: dict[str, Any], field: str = "") -> str:
    """Return what is wrong with a number, empty if nothing is; it may be missing."""
    # A negative priority comes before 0.
    if field == "Priority" and _is_whole_number(value):
        return "too large" if _is_refused(part) else ""
    if not _is_number(value):
        return "not a non-negative number"
    if value and field in _WHOLE_NUMBERS and not _is_whole_number(value):
        return f"not a whole number and is read as {int(value)}"
    if value is not None and value > MAX_NUMBER and _is_refused(part):
        return "too large"
    return ""


def _is_number(value: Any) -> bool:
    if value is None:
        return True
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and math.isfinite(value) and value >= 0


def _is_whole_number(value: Any) -> bool:
    if isinstance(value, float):
        return value.is_integer()
    return isinstance(value, int) and not isinstance(value, bool)


def _is_list_of_texts(value: Any) -> bool:
    return value is None or (
        isinstance(value, list) and all(isinstance(key, str) and key for key in value)
    )


def _version_errors(configuration: Configuration) -> Iterator[str]:
    if configuration.version < 1:
        yield "Version is below 1, so instances regard it as no configuration"


def _version_warnings(configuration: Configuration) -> Iterator[str]:
    if configuration.version > _MAX_VERSION:
        yield (
            f"Version is above {_MAX_VERSION}, so instances refuse each other's reports"
        )


def _route_problems(document: dict[str, Any]) -> Iterator[str]:
    entries = document.get("Routes") or []
    routes = [decode_route(entry) for entry in entries]
    services = {decode_service(entry).name for entry in document.get("Services") or ()}
    for database, count in Counter(route.database for route in routes).items():
        if count > 1:
            label = f"database {printable(database)}"
            yield f"{label} has {count} routes; only the last one applies"
    for entry, route in zip(entries, routes, strict=True):
        label, kind = f"database {printable(route.database)}", entry["Type"]
        if isinstance(route.database, str) and not _can_start(route.database, "key"):
            yield f"{label}: no client can name it: it is not ASCII, or has a space"
        if isinstance(route.service, str) and route.service not in services:
            yield f"{label}: there is no service {printable(route.service)}"
        if isinstance(kind, str) and kind and kind not in ROUTE_TYPES:
            yield f"{label}: type {printable(kind)} is unknown and is read as primary"
        if not isinstance(entry.get("Public") or False, bool):
            yield f"{label}: Public is neither true nor false, and is read as false"
        if abs(route.priority) > _MAX_PRIORITY:
            yield (
                f"{label}: owners of shared connections refuse statements of priority "
                f"{route.priority}"
            )
        if kind in ROUTE_TYPES:
            yield from (f"{label}: {text}" for text in _staleness_problems(route))
        if route.statement_timeout < route.latency_objective:
            yield (
                f"{label}: the timeout of {_ms(route.statement_timeout)} ms is below "
                f"the latency objective of {_ms(route.latency_objective)} ms"
            )


def _can_start(database: str, key: str) -> bool:
    """Return whether a client can start a session with this database and key."""
    line = f"START {database} {key}".encode()
    return wire.decode_client_line(line) == StartRequest(database, key)


def _staleness_problems(route: Route) -> Iterator[str]:
    bound = route.max_staleness
    if route.consistency is Consistency.PRIMARY:
        if bound:
            yield "MaxStalenessMs has no effect on a primary route"
    elif bound <= MIN_STALENESS:
        yield (
            f"MaxStalenessMs is {_ms(bound)}, so no replica may serve reads: "
            f"{_ms(MIN_STALENESS)} ms of it are for the transit of a request"
        )
    elif bound > MAX_STALENESS:
        yield (
            f"MaxStalenessMs is {_ms(bound)}, but no bound above "
            f"{_ms(MAX_STALENESS)} ms has an effect of its own"
        )


def _ms(duration: timedelta) -> str:
    return f"{duration / _MILLISECOND:.15g}"


def _service_problems(
    document: dict[str, Any], configuration: Configuration
) -> Iterator[str]:
    services = [decode_service(entry) for entry in document.get("Services") or ()]
    for name, count in Counter(service.name for service in services).items():
        if count > 1:
            label = f"service {printable(name)}"
            yield f"{label} is listed {count} times; only the last one applies"
    routes = configuration.route_by_database.values()
    used_names = {route.service for route in routes if isinstance(route.service, str)}
    for service in services:
        label = f"service {printable(service.name)}"
        if isinstance(service.name, str) and service.name not in used_names:
            yield f"{label}: no route leads to it"
        if _has_space(service.name):
            yield f"{label}: servers cannot read a name with a space or line break"
        if isinstance(service.name, str) and len(service.name) > MAX_TEXT_LENGTH:
            yield (
                f"{label}: instances refuse targets that name a service of more than "
                f"{MAX_TEXT_LENGTH} characters"
            )
        if service.max_connections <= RESERVED_CONNECTIONS:
            yield (
                f"{label}: of {service.max_connections} connections, "
                f"{RESERVED_CONNECTIONS} are reserved for status requests"
            )


def _has_space(name: Any) -> bool:
    """Return whether a name would be more than one field of a message."""
    return isinstance(name, str) and bool(name) and name.split() != [name]


def _account_problems(
    document: dict[str, Any], configuration: Configuration
) -> Iterator[str]:
    entries = document.get("Tenants") or []
    accounts = [decode_account(entry)[0] for entry in entries]
    names_by_key: dict[str, list[str]] = {}
    for name, count in Counter(account.name for account in accounts).items():
        if count > 1:
            yield f"account {printable(name)} is listed {count} times"
    for entry, account in zip(entries, accounts, strict=True):
        label = f"account {printable(account.name)}"
        if _has_space(account.name):
            yield f"{label}: servers cannot read a name with a space or line break"
        if isinstance(account.name, str) and len(account.name) > MAX_TEXT_LENGTH:
            yield (
                f"{label}: instances refuse messages with names of more than "
                f"{MAX_TEXT_LENGTH} characters"
            )
        has_keys = _is_list_of_texts(entry.get("ApiKeys"))
        keys = (entry.get("ApiKeys") or []) if has_keys else []
        for key in keys:
            names_by_key.setdefault(key, []).append(printable(account.name))
        if not entry.get("ApiKeys"):
            yield f"{label} has no keys, so nobody can use it"
        if count := sum(not _can_start("database", key) for key in keys):
            yield f"{label}: {count} of its keys cannot be sent by clients"
        yield from (f"{label}: {text}" for text in _rate_problems(account))
    for entry, account in zip(entries, accounts, strict=True):
        keys = entry.get("ApiKeys")
        if not keys or not _is_list_of_texts(keys):
            continue
        holders = {configuration.account_by_key[key].name for key in keys}
        if account.name not in holders:
            label = f"account {printable(account.name)}"
            reason = "all its keys belong to later accounts"
            yield f"{label}: {reason}, so nobody can use it"
    for names in names_by_key.values():
        # Keys are secrets, so they are not printed.
        if len(names) > 1:
            yield f"one key is listed {len(names)} times: accounts {', '.join(names)}"


def _rate_problems(account: Account) -> Iterator[str]:
    """Find limits that contradict each other; a window allows rate x window + burst."""
    if not account.rate_per_s and account.burst < 1:
        yield (
            "the rate is 0 and the burst is below 1 operation, so its operations are "
            "refused"
        )
    elif not account.rate_per_s:
        burst = f"{account.burst:.15g}"
        yield f"the rate is 0, so only its burst of {burst} is served in each window"
    elif account.burst < 1:
        yield "the burst is below 1 operation, so only its rate is served"
