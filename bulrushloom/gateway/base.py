"""Requests that the gateway hands to the instance, and their answers."""

from abc import ABC, abstractmethod
from concurrent.futures import Future
from datetime import timedelta
from typing import Any, NamedTuple

from bulrushloom.core.errors import Refusal


class QueryRequest(NamedTuple):
    """Ask for one statement; ``session`` is the caller's token, unchecked.

    The handler makes a ``request_id`` if the gateway has set none.
    """

    account: str
    database: str
    sql: str
    params: list[Any]
    session: str | None
    max_age: timedelta | None
    transaction: str | None
    idempotency_key: str | None
    request_id: str = ""


class BeginRequest(NamedTuple):
    """Ask for a new transaction."""

    account: str
    database: str
    session: str | None
    request_id: str = ""


class EndRequest(NamedTuple):
    """Ask to commit or roll back a transaction."""

    account: str
    transaction: str
    commit: bool
    session: str | None
    request_id: str = ""


class QueryAnswer(NamedTuple):
    """Answer a ``QueryRequest``."""

    columns: list[str]
    rows: list[list[Any]]
    row_count: int
    session: str
    target: str
    role: str


class BeginAnswer(NamedTuple):
    """Answer a ``BeginRequest``."""

    transaction: str
    session: str


class EndAnswer(NamedTuple):
    """Answer an ``EndRequest``; ``state`` is ``committed`` or ``rolled_back``."""

    state: str
    session: str


CallerRequest = QueryRequest | BeginRequest | EndRequest
CallerAnswer = QueryAnswer | BeginAnswer | EndAnswer


class RequestHandler(ABC):
    """Serve the requests that the gateway has parsed; callable from any thread."""

    def new_request_id(self) -> str:
        """Return an identifier for a request, or an empty text for none."""
        return ""

    @abstractmethod
    def authenticate(self, key: str) -> str | Refusal:
        """Return the account of ``key``; the key goes no further."""

    @abstractmethod
    def submit(self, request: CallerRequest) -> Future[CallerAnswer | Refusal]:
        """Start a request; the future never raises and ends by its deadline."""

    @abstractmethod
    def readiness(self) -> Refusal | None:
        """Return why the instance takes no new work, or ``None`` when ready."""

    @abstractmethod
    def status(self) -> dict[str, Any]:
        """Return the instance's own view as JSON values."""
