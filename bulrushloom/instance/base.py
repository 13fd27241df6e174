"""Requests, results and effects that are passed within one instance."""

from datetime import timedelta
from typing import Any, NamedTuple

from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.core.errors import Refusal
from bulrushloom.databases.base import StatementCall, StatementResult


class TransactionRef(NamedTuple):
    """Identify an open transaction.

    ``handle`` is unique across all processes, so a restarted owner does not
    recognize handles of its former incarnation.
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
    """Submit a request to the router; it completes by ``deadline``."""

    request_id: str
    request: EntryRequest
    deadline: timedelta


class Outcome(NamedTuple):
    """Result of a request; ``write_position`` is set if it wrote to ``group``."""

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

    ``over_rate`` is true if it was refused because its account exceeded its rate.
    """

    request_id: str
    result: Outcome | Refusal
    over_rate: bool = False


class RunStatement(NamedTuple):
    """Effect: run a statement at ``target``, in transaction ``handle`` unless empty."""

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
    """Report the result of an operation at a target: rows, a position or an error."""

    target: str
    request_id: str
    result: StatementResult | LogPosition | Exception | None
    duration: timedelta
