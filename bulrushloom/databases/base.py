"""Interface of a client for one database server (target)."""

from abc import ABC, abstractmethod
from datetime import timedelta
from enum import StrEnum
from typing import Any, NamedTuple

from bulrushloom.coordination.sessions.base import LogPosition


class Role(StrEnum):
    """Role of a server in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


class ServerStatus(NamedTuple):
    """Replication state of one server.

    ``term`` is the highest term that the server has granted or followed.
    ``stored_position`` is the position of the last log entry it stores,
    ``applied_position`` that of the last one visible to reads. ``age`` is an upper
    bound on the age of its data (zero at the primary), and ``primary_contact_age`` the
    time since it last received a message from the primary of its term; both are
    ``None`` if unknown.
    """

    name: str
    role: Role
    term: int
    stored_position: LogPosition
    applied_position: LogPosition
    age: timedelta | None
    primary_contact_age: timedelta | None


class IdempotencyRecord(NamedTuple):
    """Identity of a write; ``request_hash`` covers its database, SQL and parameters.

    The server stores the record together with the answer, in the transaction of the
    write. If it receives the same record again, it returns the stored answer. It
    refuses another hash with the same account and key.
    """

    account: str
    key: str
    request_hash: str


class StatementCall(NamedTuple):
    """One statement to run.

    ``min_position`` and ``max_age`` are requirements on the data of a read; the server
    may wait for up to ``wait`` until it meets them.
    """

    sql: str
    params: list[Any]
    term: int
    read_only: bool
    min_position: LogPosition
    max_age: timedelta | None
    wait: timedelta
    idempotency: IdempotencyRecord | None


class StatementResult(NamedTuple):
    """Result of a statement, and the log position of its data."""

    columns: list[str]
    rows: list[list[Any]]
    row_count: int
    position: LogPosition


class DatabaseClient(ABC):
    """Client of one server.

    Methods raise ``ServerUnreachable`` if nothing was sent, ``AnswerLost`` if the
    statement may have run, and ``StatementRefused`` with a reason if it has not run.
    """

    @abstractmethod
    def connect(self) -> str:
        """Open a connection and return its identifier."""

    @abstractmethod
    def disconnect(self, connection: str) -> None:
        """Close a connection; an open transaction is rolled back."""

    @abstractmethod
    def execute(self, connection: str, work: StatementCall) -> StatementResult:
        """Run one statement, in the open transaction or else in its own."""

    @abstractmethod
    def begin(self, connection: str, term: int) -> None:
        """Begin a transaction."""

    @abstractmethod
    def commit(self, connection: str, term: int) -> LogPosition:
        """Commit the open transaction and return the position of its log entry."""

    @abstractmethod
    def rollback(self, connection: str) -> None:
        """Roll back the open transaction."""

    @abstractmethod
    def status(
        self, position: LogPosition | None = None, wait: timedelta = timedelta()
    ) -> ServerStatus:
        """Return the status once the server stores ``position``, or after ``wait``."""

    @abstractmethod
    def fence(self, term: int, candidate: str) -> ServerStatus:
        """Grant ``term`` to ``candidate``; raise ``StatementRefused`` if taken."""

    @abstractmethod
    def promote(self, term: int, candidate: str) -> ServerStatus:
        """Make the server the primary of a term that it granted to ``candidate``."""

    @abstractmethod
    def follow(self, term: int, primary: str) -> ServerStatus:
        """Replicate from ``primary`` (``host:port``) in ``term``."""

    @abstractmethod
    def close(self) -> None:
        """Close all sockets."""
