"""Messages between entry instances and owners of targets.

The entry instance is the one that receives a request from its caller.
"""

from typing import Any, NamedTuple

from bulrushloom.coordination.sessions.base import LogPosition


class StatementRequest(NamedTuple):
    """Request to the owner of ``target`` to run one statement.

    ``transaction`` is the owner's handle of an open transaction, or empty. Times are
    in whole milliseconds: ``timeout_ms`` is the time until the request's deadline, and
    a negative ``max_age_ms`` means that the age is not bounded. ``idempotency_key`` is
    empty if absent. A restarted owner does not know which requests its former
    incarnation ran, so it refuses requests that are not addressed to its own
    ``incarnation``.
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
    """Answer to a ``StatementRequest``; ``error`` is an ``ErrorKind`` value or empty.

    ``retry_elsewhere`` means that the statement has not run and that another target
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


class CancelStatement(NamedTuple):
    """Request to the owner of ``target`` to cancel a statement that waits for a slot.

    The owner answers the ``StatementRequest`` as not run. A statement that runs or has
    run is not affected.
    """

    request_id: str
    target: str


class TransactionRequest(NamedTuple):
    """Request to the owner of the primary to ``begin``, ``commit`` or ``rollback``.

    ``transaction`` is the owner's handle, empty for ``begin``.
    """

    request_id: str
    incarnation: str
    account: str
    database: str
    target: str
    action: str
    transaction: str
    timeout_ms: int


class TransactionAnswer(NamedTuple):
    """Answer to a ``TransactionRequest``; ``transaction`` is the owner's handle."""

    request_id: str
    transaction: str
    position: LogPosition
    error: str
    error_message: str


class GroupViewRequest(NamedTuple):
    """Request to a watcher for its view of a group."""

    group: str


class ServerView(NamedTuple):
    """State of one server as last observed by a watcher.

    ``applied`` is the log position up to which reads see its data. ``age_ms`` is an
    upper bound on the age of the data, or negative if it is unknown.
    """

    target: str
    reachable: bool
    term: int
    applied: LogPosition
    age_ms: int


class GroupView(NamedTuple):
    """View of a group; ``primary`` is empty while there is none."""

    group: str
    term: int
    primary: str
    servers: list[ServerView]
