"""Exceptions raised by the database clients."""

from enum import StrEnum


class RefusalReason(StrEnum):
    """Reason why a server has not run a statement."""

    WRONG_TERM = "wrong_term"
    NOT_PRIMARY = "not_primary"
    NOT_CAUGHT_UP = "not_caught_up"
    TOO_OLD = "too_old"
    READ_ONLY = "read_only"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    OVERLOADED = "overloaded"
    NO_CONNECTION = "no_connection"
    NO_TRANSACTION = "no_transaction"
    TERM_TAKEN = "term_taken"
    SQL_ERROR = "sql_error"
    IDEMPOTENCY_CONFLICT = "idempotency_conflict"
    BAD_REQUEST = "bad_request"


class DatabaseError(Exception):
    """Base class of all database exceptions."""


class ServerUnreachable(DatabaseError):
    """The server could not be reached; nothing was sent."""


class AnswerLost(DatabaseError):
    """A request was sent without a valid response; it may have run."""


class StatementRefused(DatabaseError):
    """The server refused the request and has not run it."""

    def __init__(self, reason: RefusalReason, message: str):
        super().__init__(message)
        self.reason = reason
