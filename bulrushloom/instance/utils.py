"""Stateless functions that several modules of an instance use."""

import hashlib
from functools import lru_cache

import orjson
import sqlparse

from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.instance.messages import StatementRequest

_READ_TYPES = frozenset({"SELECT"})
_WRITE_TYPES = frozenset(
    {"INSERT", "UPDATE", "DELETE", "REPLACE", "CREATE", "ALTER", "DROP"}
)


def request_hash(request: StatementRequest) -> str:
    """Return a digest of the request content, to detect reuse of idempotency keys."""
    content = orjson.dumps([request.database, request.sql, request.params])
    return hashlib.sha256(content).hexdigest()


@lru_cache(maxsize=4096)
def classify_statement(sql: str) -> bool | Refusal:
    """Return whether ``sql`` is a read, or a refusal if it is not allowed.

    Statements that control transactions or attach databases are refused, because they
    would affect other requests on the same connection.
    """
    try:
        statements = [
            statement
            for statement in sqlparse.parse(sql)
            if statement.token_first(skip_cm=True) is not None
            and str(statement.token_first(skip_cm=True)) != ";"
        ]
    except (sqlparse.exceptions.SQLParseError, RecursionError) as error:
        return Refusal(ErrorKind.STATEMENT_NOT_ALLOWED, f"cannot parse: {error}")
    if len(statements) != 1:
        return Refusal(
            ErrorKind.STATEMENT_NOT_ALLOWED,
            f"expected one statement, found {len(statements)}",
        )
    kind = statements[0].get_type()
    if kind in _READ_TYPES:
        return True
    if kind in _WRITE_TYPES:
        return False
    word = str(statements[0].token_first(skip_cm=True)).split()[0][:20]
    return Refusal(
        ErrorKind.STATEMENT_NOT_ALLOWED, f"statement {word!r} is not allowed here"
    )
