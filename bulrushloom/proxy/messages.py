"""Messages between clients, the session proxy and database servers."""

from datetime import timedelta
from enum import Enum, StrEnum
from typing import NamedTuple

from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.core.sentinels import Missing


class StatementKind(Enum):
    """Kinds of client statements."""

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
    """Properties of a prepared statement.

    A client sends ``PREPARE name mode shape``. ``writes`` is true for the mode
    ``WRITE`` and false for ``READ``; ``shape`` is the rest of the statement.
    """

    is_write: bool
    shape: bytes


class Statement(NamedTuple):
    """A client statement.

    ``text`` is the statement as it was sent. ``name`` is the name of the session value
    or of the prepared statement, and ``arguments`` is the text after it. ``prepared``
    is set for ``PREPARE`` only.
    """

    request_id: bytes
    kind: StatementKind
    text: bytes
    name: bytes = b""
    arguments: bytes = b""
    prepared: PreparedStatement | None = None


class StartRequest(NamedTuple):
    """Request to open a session on ``database``; ``key`` is an API key or empty."""

    database: str
    key: str


class Malformed(NamedTuple):
    """A line that is not a valid message; ``request_id`` is empty if unknown."""

    request_id: bytes
    reason: str


class DisconnectRequest(NamedTuple):
    """Request to end the session."""


ClientMessage = StartRequest | Statement | Malformed | DisconnectRequest


NO_POSITION = Missing("the server has not told its log position")


class TransactionState(Enum):
    """Transaction state of a session or a server connection."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class AnswerCode(StrEnum):
    """Reasons for which a session start or a statement can fail.

    The values appear in logs, metrics and error texts. On the wire each code has a
    keyword of its own, for example ``NODB`` for ``UNKNOWN_DATABASE``.
    """

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


# Codes with which a server states that it has not run the statement.
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
    """The reason why a session start or a statement failed.

    ``retry_after`` is set only if the statement has not run or was rolled back.
    """

    code: AnswerCode
    reason: str
    retry_after: timedelta | None = None


class ServerAnswer(NamedTuple):
    """Complete answer of a server to one statement.

    ``rows`` holds the raw row lines. ``signature`` proves that the server ran the
    statement. ``failure`` is ``None`` on success.
    """

    rows: tuple[bytes, ...]
    signature: bytes
    failure: Failure | None
    state: TransactionState
    position: LogPosition | Missing


class ServerRole(Enum):
    """Role of a database server in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


class ServerStatus(NamedTuple):
    """Status that a database server reports about itself.

    ``received`` is the end of the log that the server has. ``paused_term`` is the term
    of the last command to pause replication.
    """

    role: ServerRole
    term: int
    received: LogPosition
    paused_term: int
    lag: timedelta
    busy: int
    connections: int
