"""SQL data in memory: one copy per purpose, each in its own sqlite database."""

import sqlite3
from typing import Any, NamedTuple

from bulrushloom.databases.exceptions import RefusalReason, StatementRefused

# Their result depends on the server or the moment, so replicas would differ.
NOT_REPLICABLE = (
    "random",
    "randomblob",
    "date",
    "time",
    "datetime",
    "julianday",
    "unixepoch",
    "strftime",
    "current_date",
    "current_time",
    "current_timestamp",
    "last_insert_rowid",
    "changes",
    "total_changes",
)

_DENIED_ACTIONS = frozenset(
    {
        sqlite3.SQLITE_PRAGMA,
        sqlite3.SQLITE_ATTACH,
        sqlite3.SQLITE_DETACH,
        sqlite3.SQLITE_TRANSACTION,
        sqlite3.SQLITE_SAVEPOINT,
        sqlite3.SQLITE_CREATE_TEMP_INDEX,
        sqlite3.SQLITE_CREATE_TEMP_TABLE,
        sqlite3.SQLITE_CREATE_TEMP_TRIGGER,
        sqlite3.SQLITE_CREATE_TEMP_VIEW,
    }
)


class Result(NamedTuple):
    """Hold the result of one statement; ``changed`` tells whether it wrote."""

    columns: list[str]
    rows: list[list[Any]]
    row_count: int
    changed: bool


class DataCopy:
    """Hold one copy of the data; statements of callers cannot leave the copy.

    The caller serializes all calls. Errors of SQL raise ``StatementRefused``.
    """

    def __init__(self, schema: str = ""):
        # Without a statement cache every text passes the authorizer again.
        self._connection = sqlite3.connect(
            ":memory:",
            isolation_level=None,
            check_same_thread=False,
            cached_statements=0,
        )
        self._trusted = True
        self._connection.set_authorizer(self._authorize)
        self._connection.executescript(schema)
        self._trusted = False

    def fork(self) -> "DataCopy":
        """Return a copy for transactions, which refuses unreplicable functions."""
        copy = DataCopy()
        copy._trusted = True
        self._connection.backup(copy._connection)
        copy._trusted = False
        for name in NOT_REPLICABLE:
            copy._connection.create_function(name, -1, _refuse_function)
        return copy

    def read(self, sql: str, params: list[Any]) -> Result:
        """Run a statement that must not write."""
        self._internal("PRAGMA query_only = ON")
        try:
            return self._run(sql, params)
        finally:
            self._internal("PRAGMA query_only = OFF")

    def write(self, sql: str, params: list[Any]) -> Result:
        """Run a statement in the open transaction; undo it alone if it fails."""
        self._internal("SAVEPOINT statement")
        try:
            result = self._run(sql, params)
        except StatementRefused:
            # ON CONFLICT ROLLBACK has already ended the whole transaction.
            if self.in_transaction:
                self._internal("ROLLBACK TO statement")
                self._internal("RELEASE statement")
            raise
        self._internal("RELEASE statement")
        return result

    def apply(self, statements: list[Any]) -> None:
        """Run the statements of a log entry in one transaction."""
        if not statements:
            return
        self.begin()
        for sql, params in statements:
            self._internal(sql, params)
        self.commit()

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open."""
        return self._connection.in_transaction

    def begin(self) -> None:
        """Begin a transaction."""
        self._internal("BEGIN")

    def commit(self) -> None:
        """Commit the open transaction; ``StatementRefused`` rolls it back."""
        try:
            self._internal("COMMIT")
        except sqlite3.Error as error:
            self.rollback()
            raise _refusal(error) from error

    def rollback(self) -> None:
        """Roll back the open transaction, if any."""
        if self.in_transaction:
            self._internal("ROLLBACK")

    def close(self) -> None:
        """Discard the copy."""
        self._connection.close()

    def _internal(self, sql: str, params: Any = ()) -> None:
        self._trusted = True
        try:
            self._connection.execute(sql, params).fetchall()
        finally:
            self._trusted = False

    def _run(self, sql: str, params: list[Any]) -> Result:
        before = self._connection.total_changes
        try:
            cursor = self._connection.execute(sql, params)
            rows = [[_json_value(value) for value in row] for row in cursor.fetchall()]
        except (sqlite3.Error, sqlite3.Warning, ValueError, OverflowError) as error:
            raise _refusal(error) from error
        if cursor.description is None:
            return Result([], [], max(cursor.rowcount, 0), True)
        columns = [column[0] for column in cursor.description]
        changed = self._connection.total_changes != before
        return Result(columns, rows, len(rows), changed)

    def _authorize(self, action: int, *_: Any) -> int:
        if self._trusted or action not in _DENIED_ACTIONS:
            return sqlite3.SQLITE_OK
        return sqlite3.SQLITE_DENY


def _refuse_function(*_: Any) -> None:
    raise ValueError("function is not replicable")


def _json_value(value: Any) -> Any:
    return value.hex() if isinstance(value, bytes) else value


def _refusal(error: Exception) -> StatementRefused:
    # The low byte is the primary result code.
    code = getattr(error, "sqlite_errorcode", 0) & 0xFF
    if code == sqlite3.SQLITE_READONLY:
        return StatementRefused(RefusalReason.READ_ONLY, str(error))
    if code == sqlite3.SQLITE_AUTH:
        message = "statement controls transactions or settings"
        return StatementRefused(RefusalReason.SQL_ERROR, message)
    return StatementRefused(RefusalReason.SQL_ERROR, str(error))
