"""Decoders of documents that operators and servers write to the platform's store."""

from datetime import timedelta
from typing import Any

import orjson

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.configuration import (
    Account,
    Configuration,
    Consistency,
    Route,
    Service,
    Target,
)
from bulrushloom.proxy.store import DocumentError
from bulrushloom.runtime.streams import split_address

_CONSISTENCY_BY_TYPE = {
    "primary": Consistency.PRIMARY,
    "bounded_staleness": Consistency.BOUNDED_STALENESS,
    "read_your_writes": Consistency.READ_YOUR_WRITES,
}
DEFAULT_TRANSACTION_IDLE_LIMIT_MS = 3000
DEFAULT_STATEMENT_TIMEOUT_MS = 1000
# Bounds of the fields of a target; entries beyond them come from another writer. They
# are within those of the directory that instances copy from each other.
MAX_TEXT_LENGTH = 200
MAX_NUMBER = 2**53
MAX_COLD_LEFT_MS = 3_600_000


def decode_configuration(value: bytes, revision: int) -> Configuration:
    """Decode a configuration; raise ``DocumentError`` if it is invalid."""
    try:
        document = orjson.loads(value)
        accounts = [decode_account(entry) for entry in document.get("Tenants") or ()]
        return Configuration(
            version=int(document["Version"]),
            revision=revision,
            # The key ``Host`` of a route holds the name of its database.
            route_by_database={
                entry["Host"]: decode_route(entry)
                for entry in document.get("Routes") or ()
            },
            service_by_name={
                entry["Name"]: decode_service(entry)
                for entry in document.get("Services") or ()
            },
            account_by_key={key: account for account, keys in accounts for key in keys},
            account_by_name={account.name: account for account, _ in accounts},
            transaction_idle_limit=_duration(
                (document.get("Limits") or {}).get("TxIdleMs"),
                DEFAULT_TRANSACTION_IDLE_LIMIT_MS,
            ),
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
    ) as error:
        raise DocumentError(f"configuration at revision {revision}: {error}") from error


def _duration(milliseconds: Any, default_ms: float) -> timedelta:
    """Return a duration; 0 or a missing value means the default."""
    return timedelta(milliseconds=milliseconds or default_ms)


def decode_route(entry: dict[str, Any]) -> Route:
    """Decode one of the routes of a configuration."""
    return Route(
        name=entry.get("Name", ""),
        database=entry["Host"],
        service=entry["Service"],
        consistency=_CONSISTENCY_BY_TYPE.get(entry["Type"], Consistency.PRIMARY),
        max_staleness=timedelta(milliseconds=entry.get("MaxStalenessMs") or 0),
        statement_timeout=_duration(
            entry.get("TimeoutMs"), DEFAULT_STATEMENT_TIMEOUT_MS
        ),
        latency_objective=_duration(entry.get("SloMs"), DEFAULT_STATEMENT_TIMEOUT_MS),
        priority=int(entry.get("Priority") or 0),
        is_public=entry.get("Public") is True,
    )


def decode_service(entry: dict[str, Any]) -> Service:
    """Decode one of the services of a configuration."""
    return Service(
        name=entry["Name"],
        max_connections=int(entry.get("MaxConns") or 0),
        sync_replicas=int(entry.get("SyncReplicas") or 0),
        cold_per_s=_rate(entry.get("ColdPerS")),
    )


def _rate(value: Any) -> float:
    """Return a rate a second, 0 if it is missing; raise ``ValueError`` if invalid."""
    rate = float(value or 0)
    if not 0 <= rate <= MAX_NUMBER:
        raise ValueError(f"rate {rate} is out of range")
    return rate


def decode_account(entry: dict[str, Any]) -> tuple[Account, list[str]]:
    """Decode one of the accounts of a configuration, with its keys."""
    account = Account(
        name=entry["Name"],
        rate_per_s=float(entry.get("RatePerS") or 0),
        burst=float(entry.get("Burst") or 0),
        priority=int(entry.get("Priority") or 0),
    )
    return account, list(entry.get("ApiKeys") or ())


def decode_target(target_id: str, value: bytes, revision: int) -> Target | Missing:
    """Decode the store entry of a target.

    Return ``Missing`` with the reason if the entry is invalid.
    """
    try:
        entry = orjson.loads(value)
    except orjson.JSONDecodeError:
        return Missing("the entry is not valid JSON")
    if not isinstance(entry, dict):
        return Missing("the entry is not a JSON object")
    if not 0 < len(target_id) <= MAX_TEXT_LENGTH:
        return Missing("the id is empty or too long")
    for field in ("Service", "Addr", "Zone"):
        if not isinstance(entry.get(field), str) or not entry[field]:
            return Missing(f"{field} is missing or not text")
        if len(entry[field]) > MAX_TEXT_LENGTH:
            return Missing(f"{field} is too long")
    try:
        split_address(entry["Addr"])
    except ValueError as error:
        return Missing(f"Addr: {error}")
    if entry.get("State") not in ("ready", "draining"):
        return Missing("the state is unknown")
    if entry.get("DbRole") not in ("primary", "replica"):
        return Missing("the role is unknown")
    numbers = {}
    for field, default in (("Slots", 1), ("ColdLeftMs", 0), ("born", 0), ("Seq", 0)):
        number = entry.get(field, default)
        if isinstance(number, bool) or not isinstance(number, int | float):
            return Missing(f"{field} is not a number")
        if not 0 <= number <= MAX_NUMBER:
            return Missing(f"{field} is out of range")
        numbers[field] = number
    if numbers["ColdLeftMs"] > MAX_COLD_LEFT_MS:
        return Missing("ColdLeftMs is out of range")
    return Target(
        target_id=target_id,
        service=entry["Service"],
        address=entry["Addr"],
        domain=entry["Zone"],
        slots=max(1, int(numbers["Slots"])),
        is_draining=entry["State"] == "draining",
        claims_primary=entry["DbRole"] == "primary",
        cold_left=timedelta(milliseconds=numbers["ColdLeftMs"]),
        born_ms=int(numbers["born"]),
        revision=revision,
    )
