"""Statements and answers as the session proxy handles them."""

from datetime import timedelta
from enum import Enum, StrEnum
from typing import NamedTuple

from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.core.sentinels import Missing


class StatementKind(Enum):
    """Name what a statement of a client does."""

    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin read only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET_VALUE = "set value"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"


class PreparedStatement(NamedTuple):
    """Hold what a prepared name stands for."""

    writes: bool
    shape: bytes


class Statement(NamedTuple):
    """Hold one statement of a client.

    ``text`` is the statement as it was sent. ``name`` is the session value or the
    prepared statement; ``arguments`` is what follows the name. ``prepared`` belongs
    to ``PREPARE`` only.
    """

    request_id: bytes
    kind: StatementKind
    text: bytes
    name: bytes = b""
    arguments: bytes = b""
    prepared: PreparedStatement | None = None


class StartRequest(NamedTuple):
    """Open a session on ``database`` with the caller's ``key`` (may be empty)."""

    database: str
    key: str


class Malformed(NamedTuple):
    """Hold a line that is no message; ``request_id`` is empty if unknown."""

    request_id: bytes
    reason: str


class DisconnectRequest(NamedTuple):
    """End the session."""


ClientMessage = StartRequest | Statement | Malformed | DisconnectRequest


NO_POSITION = Missing("the server has not told its log position")


class TransactionState(Enum):
    """Name the transaction state of a session or of a server connection."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class AnswerCode(StrEnum):
    """Name the ways in which a statement can end without success."""

    UNKNOWN_DATABASE = "unknown database"
    UNAUTHENTICATED = "unauthenticated"
    NOT_RUN = "not run"
    ABORTED = "aborted"
    LAGGING = "lagging"
    READ_ONLY = "read only"
    WRONG_SERVER = "wrong server"
    TOO_MANY_CONNECTIONS = "too many connections"
    FAILED = "failed"
    TIMEOUT = "timeout"
    IN_DOUBT = "in doubt"
    BAD_REQUEST = "bad request"
    UNKNOWN_STATEMENT = "unknown prepared statement"


# Codes of a server that say that the statement has not run.
NOT_RUN_CODES = frozenset(
    {
        AnswerCode.NOT_RUN,
        AnswerCode.LAGGING,
        AnswerCode.READ_ONLY,
        AnswerCode.WRONG_SERVER,
        AnswerCode.TOO_MANY_CONNECTIONS,
        AnswerCode.UNKNOWN_STATEMENT,
    }
)


class Failure(NamedTuple):
    """Say why a statement has no result; ``retry_after`` only if it has not run."""

    code: AnswerCode
    reason: str
    retry_after: timedelta | None = None


class ServerAnswer(NamedTuple):
    """Hold the complete answer of a server to one statement.

    ``rows`` are the raw row lines, ``signature`` proves that the server ran the
    statement. ``failure`` is ``None`` on success.
    """

    rows: tuple[bytes, ...]
    signature: bytes
    failure: Failure | None
    state: TransactionState
    position: LogPosition | Missing


class ServerRole(Enum):
    """Name the role of a database server in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


class ServerStatus(NamedTuple):
    """Hold what a server says of itself."""

    role: ServerRole
    term: int
    received: LogPosition
    held_term: int
    lag: timedelta
    busy: int
    connections: int
