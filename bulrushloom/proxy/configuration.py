"""The operators' configuration and the targets, as the session proxy uses them."""

from collections.abc import Mapping
from datetime import timedelta
from enum import Enum
from typing import NamedTuple


class Consistency(Enum):
    """Name what a read of a route must see.

    PRIMARY: every commit. BOUNDED_STALENESS: every commit older than the bound.
    READ_YOUR_WRITES: these and the commits of the same session.
    """

    PRIMARY = "primary"
    BOUNDED_STALENESS = "bounded staleness"
    READ_YOUR_WRITES = "read your writes"


class Route(NamedTuple):
    """Lead the sessions of one database to a service."""

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
    """Describe one replicated group of targets."""

    name: str
    max_connections: int
    sync_replicas: int


class Account(NamedTuple):
    """Hold a client account with its limit over the whole fleet."""

    name: str
    rate_per_s: float
    burst: float
    priority: int


class Configuration(NamedTuple):
    """Hold one accepted version; ``revision`` orders versions in the store."""

    version: int
    revision: int
    route_by_database: Mapping[str, Route]
    service_by_name: Mapping[str, Service]
    account_by_key: Mapping[str, Account]
    account_by_name: Mapping[str, Account]
    transaction_idle_limit: timedelta


EMPTY_CONFIGURATION = Configuration(0, 0, {}, {}, {}, {}, timedelta(seconds=3))


class Target(NamedTuple):
    """Describe a database server as its entry in the store does.

    ``revision`` changes with each heartbeat; ``claims_primary`` is how the server
    sees itself.
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
