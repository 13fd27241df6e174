"""Table from failures at a target to error kinds."""

from typing import NamedTuple

from bulrushloom.core.errors import ErrorKind
from bulrushloom.databases.exceptions import (
    AnswerLost,
    RefusalReason,
    ServerUnreachable,
    StatementRefused,
)


class Failure(NamedTuple):
    """State the error kind, and whether another target may serve the statement."""

    kind: ErrorKind
    message: str
    retry_elsewhere: bool


class _Row(NamedTuple):
    kind: ErrorKind
    retry_elsewhere: bool


_ROW_BY_REASON = {
    RefusalReason.WRONG_TERM: _Row(ErrorKind.NO_TARGET, True),
    RefusalReason.NOT_PRIMARY: _Row(ErrorKind.NO_TARGET, True),
    RefusalReason.NOT_CAUGHT_UP: _Row(ErrorKind.NO_TARGET, True),
    RefusalReason.TOO_OLD: _Row(ErrorKind.NO_TARGET, True),
    RefusalReason.READ_ONLY: _Row(ErrorKind.STATEMENT_NOT_ALLOWED, False),
    RefusalReason.TOO_MANY_CONNECTIONS: _Row(ErrorKind.OVERLOADED, True),
    RefusalReason.OVERLOADED: _Row(ErrorKind.OVERLOADED, True),
    RefusalReason.NO_CONNECTION: _Row(ErrorKind.NO_TARGET, True),
    RefusalReason.NO_TRANSACTION: _Row(ErrorKind.TRANSACTION_LOST, False),
    RefusalReason.TERM_TAKEN: _Row(ErrorKind.NO_TARGET, True),
    RefusalReason.SQL_ERROR: _Row(ErrorKind.SQL_ERROR, False),
    RefusalReason.IDEMPOTENCY_CONFLICT: _Row(ErrorKind.IDEMPOTENCY_CONFLICT, False),
    RefusalReason.BAD_REQUEST: _Row(ErrorKind.BAD_REQUEST, False),
}

# Refusals after which a transaction goes on; all others end it.
STATEMENT_ONLY_KINDS = frozenset(
    {
        ErrorKind.SQL_ERROR,
        ErrorKind.BAD_REQUEST,
        ErrorKind.STATEMENT_NOT_ALLOWED,
        ErrorKind.OVERLOADED,
    }
)


def classify(error: Exception, read_only: bool) -> Failure:
    """Return what a failed operation means for a statement outside transactions."""
    if isinstance(error, StatementRefused):
        row = _ROW_BY_REASON[error.reason]
        return Failure(row.kind, str(error), row.retry_elsewhere)
    if isinstance(error, ServerUnreachable):
        return Failure(ErrorKind.NO_TARGET, str(error), True)
    if isinstance(error, AnswerLost) and read_only:
        return Failure(ErrorKind.NO_TARGET, str(error), True)
    return Failure(ErrorKind.OUTCOME_UNKNOWN, str(error), False)
