"""The closed list of error kinds and the answer that belongs to each."""

from datetime import timedelta
from enum import StrEnum
from http import HTTPStatus
from typing import Any, NamedTuple

from bulrushloom.core.clock import milliseconds


class ErrorKind(StrEnum):
    """Name every reason for which a request can be refused."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    UNKNOWN_DATABASE = "unknown_database"
    INVALID_SESSION = "invalid_session"
    STATEMENT_NOT_ALLOWED = "statement_not_allowed"
    SQL_ERROR = "sql_error"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    CONFIGURATION_STALE = "configuration_stale"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    NO_TARGET = "no_target"
    TRANSACTION_UNKNOWN = "transaction_unknown"
    TRANSACTION_BUSY = "transaction_busy"
    TRANSACTION_LOST = "transaction_lost"
    IDEMPOTENCY_CONFLICT = "idempotency_conflict"
    TIMEOUT = "timeout"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL = "internal"


class Ran(StrEnum):
    """State whether a refused statement may have taken effect."""

    NO = "no"
    UNKNOWN = "unknown"


class ErrorAnswer(NamedTuple):
    """Fix the answer of an error kind: HTTP status, outcome, retry elsewhere."""

    status: HTTPStatus
    ran: Ran
    retryable: bool


ANSWER_BY_KIND: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.BAD_REQUEST: ErrorAnswer(HTTPStatus.BAD_REQUEST, Ran.NO, False),
    ErrorKind.BODY_TOO_LARGE: ErrorAnswer(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE, Ran.NO, False
    ),
    ErrorKind.UNAUTHENTICATED: ErrorAnswer(HTTPStatus.UNAUTHORIZED, Ran.NO, False),
    ErrorKind.FORBIDDEN: ErrorAnswer(HTTPStatus.FORBIDDEN, Ran.NO, False),
    ErrorKind.NOT_FOUND: ErrorAnswer(HTTPStatus.NOT_FOUND, Ran.NO, False),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorAnswer(
        HTTPStatus.METHOD_NOT_ALLOWED, Ran.NO, False
    ),
    ErrorKind.UNKNOWN_DATABASE: ErrorAnswer(HTTPStatus.NOT_FOUND, Ran.NO, False),
    ErrorKind.INVALID_SESSION: ErrorAnswer(HTTPStatus.BAD_REQUEST, Ran.NO, False),
    ErrorKind.STATEMENT_NOT_ALLOWED: ErrorAnswer(HTTPStatus.BAD_REQUEST, Ran.NO, False),
    ErrorKind.SQL_ERROR: ErrorAnswer(HTTPStatus.UNPROCESSABLE_ENTITY, Ran.NO, False),
    ErrorKind.RATE_LIMITED: ErrorAnswer(HTTPStatus.TOO_MANY_REQUESTS, Ran.NO, False),
    ErrorKind.OVERLOADED: ErrorAnswer(HTTPStatus.SERVICE_UNAVAILABLE, Ran.NO, False),
    ErrorKind.CONFIGURATION_STALE: ErrorAnswer(
        HTTPStatus.SERVICE_UNAVAILABLE, Ran.NO, False
    ),
    ErrorKind.NOT_READY: ErrorAnswer(HTTPStatus.SERVICE_UNAVAILABLE, Ran.NO, True),
    ErrorKind.DRAINING: ErrorAnswer(HTTPStatus.SERVICE_UNAVAILABLE, Ran.NO, True),
    ErrorKind.NO_TARGET: ErrorAnswer(HTTPStatus.SERVICE_UNAVAILABLE, Ran.NO, True),
    ErrorKind.TRANSACTION_UNKNOWN: ErrorAnswer(HTTPStatus.NOT_FOUND, Ran.NO, False),
    ErrorKind.TRANSACTION_BUSY: ErrorAnswer(HTTPStatus.CONFLICT, Ran.NO, False),
    ErrorKind.TRANSACTION_LOST: ErrorAnswer(HTTPStatus.CONFLICT, Ran.NO, False),
    ErrorKind.IDEMPOTENCY_CONFLICT: ErrorAnswer(HTTPStatus.CONFLICT, Ran.NO, False),
    ErrorKind.TIMEOUT: ErrorAnswer(HTTPStatus.GATEWAY_TIMEOUT, Ran.NO, False),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(
        HTTPStatus.GATEWAY_TIMEOUT, Ran.UNKNOWN, False
    ),
    ErrorKind.INTERNAL: ErrorAnswer(
        HTTPStatus.INTERNAL_SERVER_ERROR, Ran.UNKNOWN, False
    ),
}


class Refusal(NamedTuple):
    """Stand in for an answer that could not be given, with the reason."""

    kind: ErrorKind
    message: str
    retry_after: timedelta | None = None

    @property
    def answer(self) -> ErrorAnswer:
        """Return the row of the table that belongs to this kind."""
        return ANSWER_BY_KIND[self.kind]

    def body(self) -> dict[str, Any]:
        """Return the JSON body that a caller receives."""
        error: dict[str, Any] = {
            "kind": self.kind.value,
            "ran": self.answer.ran.value,
            "message": self.message,
        }
        if self.retry_after is not None:
            error["retry_after_ms"] = milliseconds(self.retry_after)
        return {"error": error}
