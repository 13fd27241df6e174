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
    """Assignment of a database's sessions to a service, with their settings.

    ``statement_timeout`` is the time in which a statement must be answered.
    ``latency_objective`` is the time in which it should be; waits for admission and
    for a connection, and the delay of hedged reads, are fractions of it. Statements
    with a lower ``priority`` get a free connection first. Sessions of a route that
    ``is_public`` need no API key.
    """

    name: str
    database: str
    service: str
    consistency: Consistency
    max_staleness: timedelta
    statement_timeout: timedelta
    latency_objective: timedelta
    priority: int
    is_public: bool

    def leads_like(self, other: "Route") -> bool:
        """Return whether both routes allow the same targets for each statement."""
        return (self.service, self.consistency, self.max_staleness) == (
            other.service,
            other.consistency,
            other.max_staleness,
        )


class Service(NamedTuple):
    """A replicated group of targets.

    ``max_connections`` is the limit of each target for the connections of the whole
    fleet. If ``sync_replicas`` is above 0, a commit is acknowledged only once a replica
    has it as well. ``cold_per_s`` limits the requests a second of the whole fleet to a
    target while its ``cold_left`` is above 0; 0 means no limit.
    """

    name: str
    max_connections: int
    sync_replicas: int
    cold_per_s: float = 0


class Account(NamedTuple):
    """A client account with its limit for the whole fleet."""

    name: str
    rate_per_s: float
    burst: float
    priority: int


class Configuration(NamedTuple):
    """An accepted configuration.

    ``version`` is the number that the operators gave it, which orders the
    configurations. ``revision`` is the store's number of its write, which means nothing
    in another era of the store; 0 if an instance sent it. A transaction that
    waits longer than ``transaction_idle_limit`` for its next statement is aborted.
    """

    version: int
    revision: int
    route_by_database: Mapping[str, Route]
    service_by_name: Mapping[str, Service]
    account_by_key: Mapping[str, Account]
    account_by_name: Mapping[str, Account]
    transaction_idle_limit: timedelta


EMPTY_CONFIGURATION = Configuration(0, 0, {}, {}, {}, {}, timedelta(seconds=3))


class ConfigurationChange(NamedTuple):
    """Numbers of the differences between two configurations, for the log.

    ``keys_withdrawn`` no account holds any more, ``keys_moved`` another account holds.
    """

    keys_added: int
    keys_withdrawn: int
    keys_moved: int
    routes_added: int
    routes_removed: int
    routes_changed: int


def changes_between(old: Configuration, new: Configuration) -> ConfigurationChange:
    """Return how ``new`` differs from ``old`` in its keys and routes."""
    old_holders, new_holders = old.account_by_key, new.account_by_key
    old_routes, new_routes = old.route_by_database, new.route_by_database
    return ConfigurationChange(
        keys_added=len(new_holders.keys() - old_holders.keys()),
        keys_withdrawn=len(old_holders.keys() - new_holders.keys()),
        keys_moved=sum(
            old_holders[key].name != new_holders[key].name
            for key in old_holders.keys() & new_holders.keys()
        ),
        routes_added=len(new_routes.keys() - old_routes.keys()),
        routes_removed=len(old_routes.keys() - new_routes.keys()),
        routes_changed=sum(
            old_routes[name] != new_routes[name]
            for name in old_routes.keys() & new_routes.keys()
        ),
    )


class Target(NamedTuple):
    """A database server as described by its entry in the store.

    ``revision`` changes with each heartbeat of the server. ``claims_primary`` means
    that the server reports the role of a primary. ``born_ms`` is the calendar time of
    its start and differs after a restart. ``slots`` and ``cold_left`` matter only where
    instances share connections: for the requests that run at a time, and for the hard
    limit of a service with ``cold_per_s``.
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
