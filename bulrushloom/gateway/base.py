"""Requests that the gateway passes to the instance, and their answers."""

from abc import ABC, abstractmethod
from concurrent.futures import Future
from datetime import timedelta
from typing import Any, NamedTuple

from bulrushloom.core.errors import Refusal


class QueryRequest(NamedTuple):
    """Request to run one statement.

    ``session`` is the caller's session token, which the gateway does not verify.
    ``max_age`` bounds the age of the data that a read may return; ``None`` means the
    bound of the account. The handler generates a ``request_id`` if it is empty.
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
    """Request to begin a transaction."""

    account: str
    database: str
    session: str | None
    request_id: str = ""


class EndRequest(NamedTuple):
    """Request to commit or roll back a transaction."""

    account: str
    transaction: str
    commit: bool
    session: str | None
    request_id: str = ""


class QueryAnswer(NamedTuple):
    """Answer to a ``QueryRequest``.

    ``target`` is the database server that ran the statement, and ``role`` is its role,
    ``primary`` or ``replica``.
    """

    columns: list[str]
    rows: list[list[Any]]
    row_count: int
    session: str
    target: str
    role: str


class BeginAnswer(NamedTuple):
    """Answer to a ``BeginRequest``."""

    transaction: str
    session: str


class EndAnswer(NamedTuple):
    """Answer to an ``EndRequest``; ``state`` is ``committed`` or ``rolled_back``."""

    state: str
    session: str


CallerRequest = QueryRequest | BeginRequest | EndRequest
CallerAnswer = QueryAnswer | BeginAnswer | EndAnswer


class RequestHandler(ABC):
    """Interface for handling parsed requests; methods are called from any thread."""

    def new_request_id(self) -> str:
        """Return an identifier for a request, or an empty string for none."""
        return ""

    @abstractmethod
    def authenticate(self, key: str) -> str | Refusal:
        """Return the account of ``key``, or a refusal if the key is not accepted.

        No other method receives the key.
        """

    @abstractmethod
    def submit(
        self, request: CallerRequest, key_digest: str
    ) -> Future[CallerAnswer | Refusal]:
        """Start a request and return the future of its answer.

        ``key_digest`` is the digest of the key that was authenticated for the request.
        The future completes by the deadline of the request and never holds an
        exception.
        """

    @abstractmethod
    def readiness(self) -> Refusal | None:
        """Return why the instance accepts no new work, or ``None`` if it is ready."""

    @abstractmethod
    def status(self) -> dict[str, Any]:
        """Return the instance's view of the fleet as JSON values."""
