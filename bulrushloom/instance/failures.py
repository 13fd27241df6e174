"""Mapping of failures at a target to error kinds."""

from typing import NamedTuple

from bulrushloom.core.errors import ErrorKind
from bulrushloom.databases.exceptions import (
    AnswerLost,
    RefusalReason,
    ServerUnreachable,
    StatementRefused,
)


class Failure(NamedTuple):
    """Error kind of a failure, and whether another target may serve the statement."""

    kind: ErrorKind
    message: str
    retry_elsewhere: bool


class _Classification(NamedTuple):
    kind: ErrorKind
    retry_elsewhere: bool


_CLASSIFICATION_BY_REASON = {
    RefusalReason.WRONG_TERM: _Classification(ErrorKind.NO_TARGET, True),
    RefusalReason.NOT_PRIMARY: _Classification(ErrorKind.NO_TARGET, True),
    RefusalReason.NOT_CAUGHT_UP: _Classification(ErrorKind.NO_TARGET, True),
    RefusalReason.TOO_OLD: _Classification(ErrorKind.NO_TARGET, True),
    RefusalReason.READ_ONLY: _Classification(ErrorKind.STATEMENT_NOT_ALLOWED, False),
    RefusalReason.TOO_MANY_CONNECTIONS: _Classification(ErrorKind.OVERLOADED, True),
    RefusalReason.OVERLOADED: _Classification(ErrorKind.OVERLOADED, True),
    RefusalReason.NO_CONNECTION: _Classification(ErrorKind.NO_TARGET, True),
    RefusalReason.NO_TRANSACTION: _Classification(ErrorKind.TRANSACTION_LOST, False),
    RefusalReason.TERM_TAKEN: _Classification(ErrorKind.NO_TARGET, True),
    RefusalReason.SQL_ERROR: _Classification(ErrorKind.SQL_ERROR, False),
    RefusalReason.IDEMPOTENCY_CONFLICT: _Classification(
        ErrorKind.IDEMPOTENCY_CONFLICT, False
    ),
    RefusalReason.BAD_REQUEST: _Classification(ErrorKind.BAD_REQUEST, False),
}

# Refusals that concern only the statement; all others end its transaction.
STATEMENT_ONLY_KINDS = frozenset(
    {
        ErrorKind.SQL_ERROR,
        ErrorKind.BAD_REQUEST,
        ErrorKind.STATEMENT_NOT_ALLOWED,
        ErrorKind.OVERLOADED,
    }
)


def classify(error: Exception, read_only: bool) -> Failure:
    """Return the failure that ``error`` means for an operation outside transactions.

    With ``read_only``, a lost answer is harmless, because the operation changes no data
    and can run again. The caller adapts the result if a transaction is concerned.
    """
    if isinstance(error, StatementRefused):
        classification = _CLASSIFICATION_BY_REASON[error.reason]
        return Failure(classification.kind, str(error), classification.retry_elsewhere)
    if isinstance(error, ServerUnreachable):
        return Failure(ErrorKind.NO_TARGET, str(error), True)
    if isinstance(error, AnswerLost) and read_only:
        return Failure(ErrorKind.NO_TARGET, str(error), True)
    return Failure(ErrorKind.OUTCOME_UNKNOWN, str(error), False)
