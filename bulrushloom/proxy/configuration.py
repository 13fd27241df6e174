"""Configuration and targets as the session proxy uses them."""

from collections.abc import Mapping
from datetime import timedelta
from enum import Enum
from typing import NamedTuple


class Consistency(Enum):
    """Consistency level of the reads of a route.

    PRIMARY: reads include every commit. BOUNDED_STALENESS: reads include every commit
    older than the bound. READ_YOUR_WRITES: reads include these commits and those of the
    same session.
    """

    PRIMARY = "primary"
    BOUNDED_STALENESS = "bounded staleness"
    READ_YOUR_WRITES = "read your writes"


class Route(NamedTuple):
    """Assignment of a database's sessions to a service, with their settings."""

    name: str
    database: str
    service: str
    consistency: Consistency
    max_staleness: timedelta
    statement_timeout: timedelta
    latency_objective: timedelta
    priority: int
    is_public: bool


class Service(NamedTuple):
    """A replicated group of targets."""

    name: str
    max_connections: int
    sync_replicas: int


class Account(NamedTuple):
    """A client account with its limit for the whole fleet."""

    name: str
    rate_per_s: float
    burst: float
    priority: int


class Configuration(NamedTuple):
    """An accepted configuration; ``revision`` orders the versions in the store."""

    version: int
    revision: int
    route_by_database: Mapping[str, Route]
    service_by_name: Mapping[str, Service]
    account_by_key: Mapping[str, Account]
    account_by_name: Mapping[str, Account]
    transaction_idle_limit: timedelta


EMPTY_CONFIGURATION = Configuration(0, 0, {}, {}, {}, {}, timedelta(seconds=3))


class Target(NamedTuple):
    """A database server as described by its entry in the store.

    ``revision`` changes with each heartbeat. ``claims_primary`` is the role that the
    server itself reports.
    """

    target_id: str
    service: str
    address: str
    domain: str
    slots: int
    is_draining: bool
    claims_primary: bool
    cold_left: timedelta
    born_ms: int
    revision: int
