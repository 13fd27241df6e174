"""All error kinds and the HTTP response for each of them."""

from datetime import timedelta
from enum import StrEnum
from http import HTTPStatus
from typing import Any, NamedTuple

from bulrushloom.core.clock import milliseconds


class ErrorKind(StrEnum):
    """Reason why a request is refused; callers receive the value."""

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


class RunOutcome(StrEnum):
    """Whether a refused statement may have taken effect."""

    NO = "no"
    UNKNOWN = "unknown"


class ErrorResponse(NamedTuple):
    """Response to an error kind: HTTP status, effect, and retry at another target."""

    status: HTTPStatus
    ran: RunOutcome
    retryable: bool


RESPONSE_BY_KIND: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(HTTPStatus.BAD_REQUEST, RunOutcome.NO, False),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE, RunOutcome.NO, False
    ),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(
        HTTPStatus.UNAUTHORIZED, RunOutcome.NO, False
    ),
    ErrorKind.FORBIDDEN: ErrorResponse(HTTPStatus.FORBIDDEN, RunOutcome.NO, False),
    ErrorKind.NOT_FOUND: ErrorResponse(HTTPStatus.NOT_FOUND, RunOutcome.NO, False),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorResponse(
        HTTPStatus.METHOD_NOT_ALLOWED, RunOutcome.NO, False
    ),
    ErrorKind.UNKNOWN_DATABASE: ErrorResponse(
        HTTPStatus.NOT_FOUND, RunOutcome.NO, False
    ),
    ErrorKind.INVALID_SESSION: ErrorResponse(
        HTTPStatus.BAD_REQUEST, RunOutcome.NO, False
    ),
    ErrorKind.STATEMENT_NOT_ALLOWED: ErrorResponse(
        HTTPStatus.BAD_REQUEST, RunOutcome.NO, False
    ),
    ErrorKind.SQL_ERROR: ErrorResponse(
        HTTPStatus.UNPROCESSABLE_ENTITY, RunOutcome.NO, False
    ),
    ErrorKind.RATE_LIMITED: ErrorResponse(
        HTTPStatus.TOO_MANY_REQUESTS, RunOutcome.NO, False
    ),
    ErrorKind.OVERLOADED: ErrorResponse(
        HTTPStatus.SERVICE_UNAVAILABLE, RunOutcome.NO, False
    ),
    ErrorKind.CONFIGURATION_STALE: ErrorResponse(
        HTTPStatus.SERVICE_UNAVAILABLE, RunOutcome.NO, False
    ),
    ErrorKind.NOT_READY: ErrorResponse(
        HTTPStatus.SERVICE_UNAVAILABLE, RunOutcome.NO, True
    ),
    ErrorKind.DRAINING: ErrorResponse(
        HTTPStatus.SERVICE_UNAVAILABLE, RunOutcome.NO, True
    ),
    ErrorKind.NO_TARGET: ErrorResponse(
        HTTPStatus.SERVICE_UNAVAILABLE, RunOutcome.NO, True
    ),
    ErrorKind.TRANSACTION_UNKNOWN: ErrorResponse(
        HTTPStatus.NOT_FOUND, RunOutcome.NO, False
    ),
    ErrorKind.TRANSACTION_BUSY: ErrorResponse(
        HTTPStatus.CONFLICT, RunOutcome.NO, False
    ),
    ErrorKind.TRANSACTION_LOST: ErrorResponse(
        HTTPStatus.CONFLICT, RunOutcome.NO, False
    ),
    ErrorKind.IDEMPOTENCY_CONFLICT: ErrorResponse(
        HTTPStatus.CONFLICT, RunOutcome.NO, False
    ),
    ErrorKind.TIMEOUT: ErrorResponse(HTTPStatus.GATEWAY_TIMEOUT, RunOutcome.NO, False),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
        HTTPStatus.GATEWAY_TIMEOUT, RunOutcome.UNKNOWN, False
    ),
    ErrorKind.INTERNAL: ErrorResponse(
        HTTPStatus.INTERNAL_SERVER_ERROR, RunOutcome.UNKNOWN, False
    ),
}


class Refusal(NamedTuple):
    """A refused request: error kind, message and an optional delay before a retry."""

    kind: ErrorKind
    message: str
    retry_after: timedelta | None = None

    @property
    def response(self) -> ErrorResponse:
        """Return the response that belongs to this error kind."""
        return RESPONSE_BY_KIND[self.kind]

    def body(self) -> dict[str, Any]:
        """Return the JSON body of the error response."""
        error: dict[str, Any] = {
            "kind": self.kind.value,
            "ran": self.response.ran.value,
            "message": self.message,
        }
        if self.retry_after is not None:
            error["retry_after_ms"] = milliseconds(self.retry_after)
        return {"error": error}
