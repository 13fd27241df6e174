"""Interfaces of connections to targets, own ones and leased ones."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from concurrent.futures import Future
from datetime import timedelta
from enum import IntEnum
from typing import NamedTuple

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.messages import (
    NO_POSITION,
    LogPosition,
    PreparedStatement,
    ServerAnswer,
    TransactionState,
)
from bulrushloom.runtime.loop import Steps


class TargetConnection(ABC):
    """Connection to a target, opened for one account.

    ``values`` and ``prepared_by_name`` mirror the session values and the prepared
    statements that the server holds for the connection.
    """

    def __init__(self, target: Target, account: str):
        self.target = target
        self.account = account
        self.values: dict[bytes, bytes] = {}
        self.prepared_by_name: dict[bytes, PreparedStatement] = {}
        self.state = TransactionState.IDLE
        self.position: LogPosition | Missing = NO_POSITION

    @property
    @abstractmethod
    def is_open(self) -> bool:
        """Return whether statements can be sent."""

    @property
    def is_path_working(self) -> bool:
        """Return whether an answer that is missing is missing at the target."""
        return True

    @abstractmethod
    def query(
        self, request_id: bytes, text: bytes, after: LogPosition | None = None
    ) -> "Future[ServerAnswer]":
        """Send one statement; the future may fail with ``ConnectionLost``."""

    def expect_release(self) -> None:
        """Announce that the connection is released after the next statement."""
        return

    @abstractmethod
    def close(self, reason: str = "closed") -> None:
        """Close the connection; the server rolls back an open transaction."""

    def count_state(self) -> None:  # noqa: B027
        """Count the memory of the session state where it is held."""


class LeasedConnection(TargetConnection):
    """Connection that belongs to the owner of the target's connections."""

    @abstractmethod
    def release(self) -> None:
        """Return the connection, or close it if it cannot be reused."""


class RefusalKind(IntEnum):
    """Why an owner refused a lease.

    NOT_IN_TIME: the target cannot run the request in time. NO_CONNECTION: all
    connections of the domain are in use, or none may be used because the target is in
    an evacuated domain. TOO_MANY and BUSY: the target refused another
    connection. UNREACHABLE: no connection to the target could be opened. STOPPING,
    UNKNOWN_TARGET and OVERLOADED concern the owner; another one may grant the lease.
    """

    NOT_IN_TIME = 0
    NO_CONNECTION = 1
    TOO_MANY = 2
    BUSY = 3
    UNREACHABLE = 4
    STOPPING = 5
    UNKNOWN_TARGET = 6
    OVERLOADED = 7


class LeaseRefused(Exception):
    """An owner refused a lease; nothing was sent to the target."""

    def __init__(self, kind: RefusalKind, reason: str, retry_after: timedelta):
        super().__init__(reason)
        self.kind = kind
        self.retry_after = retry_after


class NoOwnerAnswers(Exception):
    """No instance of the domain leases a connection to a target."""


class WaitLimits(NamedTuple):
    """How long a statement may wait for a connection.

    One that starts within ``in_time`` can be answered within its latency objective.
    After ``useful``, too little is left of its timeout.
    """

    in_time: timedelta
    useful: timedelta


class SharedConnections(ABC):
    """Connections to targets that the instances of a domain share."""

    @abstractmethod
    def covers(self, service: str) -> bool:
        """Return whether the connections to the targets of a service are shared."""

    @abstractmethod
    def acquire(
        self,
        target: Target,
        account: str,
        values: Mapping[bytes, bytes],
        priority: int,
        wait_limits: WaitLimits,
    ) -> Steps:
        """Lease a connection; return a ``LeasedConnection``.

        Raise ``LeaseRefused``, ``NoOwnerAnswers`` or ``TimeoutError``.
        """

    @abstractmethod
    def in_flight(self, target_id: str) -> int:
        """Return the number of requests of the domain that run or wait at a target."""

    @abstractmethod
    def update_targets(self, target_by_id: Mapping[str, Target]) -> None:
        """Use the listed targets; close what belongs to those that are gone."""
