"""SQL data in memory.

Each server has one SQLite database for committed data, and as a primary a second one
in which the open transaction writes.
"""

import sqlite3
from typing import Any, NamedTuple

from bulrushloom.databases.exceptions import RefusalReason, StatementRefused

# SQL functions whose result depends on the server or the time. Replicas run the same
# statements again, so their data would diverge.
NON_REPLICABLE_FUNCTIONS = (
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
    """The result of a statement; ``changed`` is true if it modified data."""

    columns: list[str]
    rows: list[list[Any]]
    row_count: int
    changed: bool


class InMemoryDatabase:
    """An in-memory SQLite database that confines the statements of clients.

    An authorizer denies statements that control transactions or settings, attach
    other databases or create temporary objects. Calls must be serialized by the
    caller. SQL errors are raised as ``StatementRefused``.
    """

    def __init__(self, schema: str = ""):
        # The authorizer runs only when a statement is compiled. Without the statement
        # cache, it checks every execution.
        self._connection = sqlite3.connect(
            ":memory:",
            isolation_level=None,
            check_same_thread=False,
            cached_statements=0,
        )
        self._is_authorizer_disabled = True
        self._connection.set_authorizer(self._authorize)
        self._connection.executescript(schema)
        self._is_authorizer_disabled = False

    def fork(self) -> "InMemoryDatabase":
        """Return a copy that refuses ``NON_REPLICABLE_FUNCTIONS``."""
        copy = InMemoryDatabase()
        copy._is_authorizer_disabled = True
        self._connection.backup(copy._connection)
        copy._is_authorizer_disabled = False
        for name in NON_REPLICABLE_FUNCTIONS:
            copy._connection.create_function(name, -1, _refuse_function)
        return copy

    def read(self, sql: str, params: list[Any]) -> Result:
        """Run a statement and refuse it if it writes."""
        self._execute_internal("PRAGMA query_only = ON")
        try:
            return self._run(sql, params)
        finally:
            self._execute_internal("PRAGMA query_only = OFF")

    def write(self, sql: str, params: list[Any]) -> Result:
        """Run a statement in the open transaction.

        If it fails, only this statement is rolled back.
        """
        self._execute_internal("SAVEPOINT statement")
        try:
            result = self._run(sql, params)
        except StatementRefused:
            # A conflict clause ON CONFLICT ROLLBACK ends the whole transaction.
            if self.in_transaction:
                self._execute_internal("ROLLBACK TO statement")
                self._execute_internal("RELEASE statement")
            raise
        self._execute_internal("RELEASE statement")
        return result

    def apply(self, statements: list[Any]) -> None:
        """Run the statements of a log entry in one transaction."""
        if not statements:
            return
        self.begin()
        for sql, params in statements:
            self._execute_internal(sql, params)
        self.commit()

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open."""
        return self._connection.in_transaction

    def begin(self) -> None:
        """Begin a transaction."""
        self._execute_internal("BEGIN")

    def commit(self) -> None:
        """Commit the open transaction; roll it back if the commit fails."""
        try:
            self._execute_internal("COMMIT")
        except sqlite3.Error as error:
            self.rollback()
            raise _refusal(error) from error

    def rollback(self) -> None:
        """Roll back the open transaction, if any."""
        if self.in_transaction:
            self._execute_internal("ROLLBACK")

    def close(self) -> None:
        """Close the database, which discards its data."""
        self._connection.close()

    def _execute_internal(self, sql: str, params: Any = ()) -> None:
        self._is_authorizer_disabled = True
        try:
            self._connection.execute(sql, params).fetchall()
        finally:
            self._is_authorizer_disabled = False

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
        if self._is_authorizer_disabled or action not in _DENIED_ACTIONS:
            return sqlite3.SQLITE_OK
        return sqlite3.SQLITE_DENY


def _refuse_function(*_: Any) -> None:
    raise ValueError("function is not replicable")


def _json_value(value: Any) -> Any:
    return value.hex() if isinstance(value, bytes) else value


def _refusal(error: Exception) -> StatementRefused:
    # The low byte of an extended result code is the primary result code.
    code = getattr(error, "sqlite_errorcode", 0) & 0xFF
    if code == sqlite3.SQLITE_READONLY:
        return StatementRefused(RefusalReason.READ_ONLY, str(error))
    if code == sqlite3.SQLITE_AUTH:
        message = "statement controls transactions or settings"
        return StatementRefused(RefusalReason.SQL_ERROR, message)
    return StatementRefused(RefusalReason.SQL_ERROR, str(error))
