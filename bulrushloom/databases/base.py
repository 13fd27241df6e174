"""Interface of a database server (target)."""

from abc import ABC, abstractmethod
from datetime import timedelta
from enum import StrEnum
from typing import Any, NamedTuple

from bulrushloom.coordination.sessions.base import LogPosition


class Role(StrEnum):
    """Name the role of a server in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


class ServerStatus(NamedTuple):
    """Report the replication state of one server.

    ``term`` is the highest term the server has granted or followed. ``held`` is the
    last log entry it stores, ``applied`` the last one its reads see. ``age`` bounds
    how old its data is (zero at the primary), ``primary_heard`` tells how long ago
    it heard from the primary of its term; both are ``None`` when unknown.
    """

    name: str
    role: Role
    term: int
    held: LogPosition
    applied: LogPosition
    age: timedelta | None
    primary_heard: timedelta | None


class IdempotencyRecord(NamedTuple):
    """Identify a write; ``request_hash`` covers its database, SQL and parameters.

    The server keeps the record with the answer in the transaction of the write,
    returns the recorded answer when it sees the record again, and refuses another
    hash under the same account and key.
    """

    account: str
    key: str
    request_hash: str


class Work(NamedTuple):
    """Describe one statement.

    ``min_position`` and ``max_age`` restrict reads; ``wait`` bounds how long the
    server may wait to satisfy them.
    """

    sql: str
    params: list[Any]
    term: int
    read_only: bool
    min_position: LogPosition
    max_age: timedelta | None
    wait: timedelta
    idempotency: IdempotencyRecord | None


class Rows(NamedTuple):
    """Hold the result of a statement and the position that its data has."""

    columns: list[str]
    rows: list[list[Any]]
    row_count: int
    position: LogPosition


class DatabaseServer(ABC):
    """Talk to one server over at most ``connections`` connections.

    Methods raise the exceptions of this package: ``ServerUnreachable`` when nothing
    was sent, ``AnswerLost`` when the statement may have run, ``StatementRefused``
    with a reason when it has not run.
    """

    @abstractmethod
    def connect(self) -> str:
        """Open a connection and return its identifier."""

    @abstractmethod
    def disconnect(self, connection: str) -> None:
        """Close a connection; an open transaction is rolled back."""

    @abstractmethod
    def execute(self, connection: str, work: Work) -> Rows:
        """Run one statement, in the open transaction or in one of its own."""

    @abstractmethod
    def begin(self, connection: str, term: int) -> None:
        """Begin a transaction."""

    @abstractmethod
    def commit(self, connection: str, term: int) -> LogPosition:
        """Commit and return the position of the log entry."""

    @abstractmethod
    def rollback(self, connection: str) -> None:
        """Roll back the open transaction."""

    @abstractmethod
    def status(
        self, position: LogPosition | None = None, wait: timedelta = timedelta()
    ) -> ServerStatus:
        """Return the status, once ``position`` is held or ``wait`` has passed."""

    @abstractmethod
    def fence(self, term: int, candidate: str) -> ServerStatus:
        """Take ``term`` for ``candidate``; raise ``StatementRefused`` if taken."""

    @abstractmethod
    def promote(self, term: int, candidate: str) -> ServerStatus:
        """Make the server primary of a term that it granted to ``candidate``."""

    @abstractmethod
    def follow(self, term: int, primary: str) -> ServerStatus:
        """Replicate from ``primary`` (``host:port``) in ``term``."""

    @abstractmethod
    def close(self) -> None:
        """Close all sockets."""
