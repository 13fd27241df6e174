"""Requests, results and effects that are passed within one instance."""

from datetime import timedelta
from typing import Any, NamedTuple

from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.core.errors import Refusal
from bulrushloom.databases.base import StatementCall, StatementResult


class TransactionRef(NamedTuple):
    """Reference to an open transaction.

    ``owner`` is the instance that runs the statements of ``target``. ``handle`` is
    unique across all processes, so a restarted owner does not recognize handles of its
    former incarnation.
    """

    account: str
    database: str
    group: str
    target: str
    owner: str
    handle: str


class Statement(NamedTuple):
    """Validated statement at the entry instance, which received it from the caller."""

    account: str
    database: str
    group: str
    sql: str
    params: list[Any]
    read_only: bool
    min_position: LogPosition
    max_age: timedelta
    transaction: TransactionRef | None
    idempotency_key: str


class Begin(NamedTuple):
    """Validated request for a new transaction at the entry instance."""

    account: str
    database: str
    group: str


class End(NamedTuple):
    """Validated commit or rollback at the entry instance."""

    account: str
    database: str
    group: str
    transaction: TransactionRef
    commit: bool


EntryRequest = Statement | Begin | End


class Submit(NamedTuple):
    """Message to the router: serve a request, which completes by ``deadline``.

    ``key_digest`` is the digest of the key that came with the request. It stays at the
    entry instance, which checks with it whether the key still holds.
    """

    request_id: str
    request: EntryRequest
    deadline: timedelta
    key_digest: str


class Outcome(NamedTuple):
    """Result of a request.

    ``write_position`` is the log position of the write in ``group``, or ``None`` unless
    the request is a commit or a write outside a transaction. ``transaction`` is set
    only by the begin of a transaction.
    """

    columns: list[str]
    rows: list[list[Any]]
    row_count: int
    group: str
    write_position: LogPosition | None
    target: str
    role: str
    transaction: TransactionRef | None


class Complete(NamedTuple):
    """Effect: complete a request.

    ``over_rate`` is true if the request was refused because its account exceeded the
    rate of the account.
    """

    request_id: str
    result: Outcome | Refusal
    over_rate: bool = False


class RunStatement(NamedTuple):
    """Effect: run a statement at ``target``.

    ``handle`` is the transaction that it belongs to, or empty outside a transaction.
    """

    target: str
    request_id: str
    handle: str
    work: StatementCall


class RunBegin(NamedTuple):
    """Effect: acquire a connection to ``target`` and begin a transaction on it."""

    target: str
    request_id: str
    handle: str
    term: int


class RunEnd(NamedTuple):
    """Effect: commit or roll back ``handle`` and release its connection."""

    target: str
    request_id: str
    handle: str
    term: int
    commit: bool


class Executed(NamedTuple):
    """Message: the result of an operation at ``target``.

    ``result`` holds the rows of a statement, the log position of a commit, ``None``
    after a begin or a rollback, or the exception that the operation raised.
    """

    target: str
    request_id: str
    result: StatementResult | LogPosition | Exception | None
    duration: timedelta
