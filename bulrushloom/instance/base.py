"""Requests inside one instance, and the effects of its own parts."""

from datetime import timedelta
from typing import Any, NamedTuple

from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.core.errors import Refusal
from bulrushloom.databases.base import Rows, Work


class TransactionRef(NamedTuple):
    """Locate an open transaction.

    ``handle`` is unique over all processes, so a restarted owner does not know it.
    """

    account: str
    database: str
    group: str
    target: str
    owner: str
    handle: str


class Statement(NamedTuple):
    """Hold a checked statement at the entry."""

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
    """Hold a checked request for a new transaction at the entry."""

    account: str
    database: str
    group: str


class End(NamedTuple):
    """Hold a checked commit or rollback at the entry."""

    account: str
    database: str
    group: str
    transaction: TransactionRef
    commit: bool


EntryRequest = Statement | Begin | End


class Submit(NamedTuple):
    """Give a request to the router; it ends by ``deadline``."""

    request_id: str
    request: EntryRequest
    deadline: timedelta


class Outcome(NamedTuple):
    """Hold what a request gave; ``write_position`` is set if it wrote to ``group``."""

    columns: list[str]
    rows: list[list[Any]]
    row_count: int
    group: str
    write_position: LogPosition | None
    target: str
    role: str
    transaction: TransactionRef | None


class Complete(NamedTuple):
    """Effect: end a request; ``over_rate`` tells that its account used up its rate."""

    request_id: str
    result: Outcome | Refusal
    over_rate: bool = False


class RunStatement(NamedTuple):
    """Effect: run a statement at ``target``, inside ``handle`` if it is not empty."""

    target: str
    request_id: str
    handle: str
    work: Work


class RunBegin(NamedTuple):
    """Effect: take a connection of ``target`` and begin a transaction on it."""

    target: str
    request_id: str
    handle: str
    term: int


class RunEnd(NamedTuple):
    """Effect: commit or roll back ``handle`` and give its connection back."""

    target: str
    request_id: str
    handle: str
    term: int
    commit: bool


class Executed(NamedTuple):
    """Report what an operation at a target gave: rows, a position or an error."""

    target: str
    request_id: str
    result: Rows | LogPosition | Exception | None
    duration: timedelta
