"""Messages between entry and owner instances."""

from typing import Any, NamedTuple

from bulrushloom.coordination.sessions.base import LogPosition


class StatementRequest(NamedTuple):
    """Ask the owner of ``target`` to run one statement.

    ``transaction`` is the owner's handle of an open transaction or empty. Times are
    whole milliseconds; ``timeout_ms`` is what remains of the request's deadline and
    a negative ``max_age_ms`` means no bound. ``idempotency_key`` is empty if absent.
    An owner that was restarted has forgotten which requests it ran, so it refuses
    one that is not addressed to its ``incarnation``.
    """

    request_id: str
    incarnation: str
    account: str
    database: str
    target: str
    sql: str
    params: list[Any]
    read_only: bool
    min_position: LogPosition
    max_age_ms: int
    timeout_ms: int
    transaction: str
    idempotency_key: str


class StatementAnswer(NamedTuple):
    """Answer a ``StatementRequest``; ``error`` is an ``ErrorKind`` value or empty.

    ``retry_elsewhere`` says that the statement has not run and that another target
    may serve it.
    """

    request_id: str
    columns: list[str]
    rows: list[list[Any]]
    row_count: int
    position: LogPosition
    role: str
    error: str
    error_message: str
    retry_elsewhere: bool


class TransactionRequest(NamedTuple):
    """Ask the primary's owner to ``begin``, ``commit`` or ``rollback``."""

    request_id: str
    incarnation: str
    account: str
    database: str
    target: str
    action: str
    transaction: str
    timeout_ms: int


class TransactionAnswer(NamedTuple):
    """Answer a ``TransactionRequest``; ``transaction`` is the owner's handle."""

    request_id: str
    transaction: str
    position: LogPosition
    error: str
    error_message: str


class GroupViewRequest(NamedTuple):
    """Ask a watcher for its view of a group."""

    group: str


class ServerView(NamedTuple):
    """Describe one server as a watcher last saw it; a negative age is unknown."""

    target: str
    reachable: bool
    term: int
    applied: LogPosition
    age_ms: int


class GroupView(NamedTuple):
    """Report a group: ``primary`` is empty while there is none."""

    group: str
    term: int
    primary: str
    servers: list[ServerView]
