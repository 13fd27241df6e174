"""Execution of statements and transactions on one server."""

import time
from typing import Any, NamedTuple

from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.databases.exceptions import RefusalReason, StatementRefused
from standins.database.engine import InMemoryDatabase, Result
from standins.database.log import RecordedAnswer
from standins.database.sessions import Session, Slots, Transaction
from standins.database.state import ServerState
from standins.faults import Faults


class Statement(NamedTuple):
    """A statement to run.

    A read requires data at ``min_position`` or later that is at most ``max_age_s`` old,
    and waits for it no longer than ``wait_s``.
    """

    sql: str
    params: list[Any]
    term: int
    read_only: bool
    min_position: LogPosition
    max_age_s: float | None
    wait_s: float
    idempotency: dict[str, str] | None


class StatementExecutor:
    """Executes statements and transactions; methods raise ``StatementRefused``."""

    def __init__(self, state: ServerState, faults: Faults):
        self._state = state
        self._faults = faults
        self._slots = Slots()

    def execute(self, session: Session, statement: Statement) -> tuple[Any, bool]:
        """Run a statement; return its answer and whether it committed a write."""
        with self._state.changed:
            self._state.require_term(statement.term)
            _require_no_lost_transaction(session)
            if not statement.read_only:
                self._state.require_primary(statement.term)
        if statement.read_only and session.transaction is None:
            self._wait_for_data(statement)
        with self._slots.hold(self._faults["slots"], self._faults["queue"]):
            time.sleep(self._faults["service_ms"] / 1000)
        with self._state.changed:
            self._state.require_term(statement.term)
            _require_no_lost_transaction(session)
            if session.transaction is not None:
                return self._execute_in_transaction(session, statement), False
            if statement.read_only:
                return self._read(statement), False
            return self._write(session, statement), True

    def begin(self, session: Session, term: int) -> None:
        """Begin a transaction, which acquires the write lock at its first write."""
        with self._state.changed:
            self._state.require_primary(term)
            if session.transaction is not None:
                message = "a transaction is open on this connection"
                raise StatementRefused(RefusalReason.BAD_REQUEST, message)
            session.transaction = Transaction(term)
            session.transaction_lost = False

    def commit(self, session: Session, term: int) -> LogPosition:
        """Commit the open transaction and return the position of its log entry."""
        with self._state.changed:
            workspace = self._state.require_primary(term)
            transaction = session.transaction
            if transaction is None:
                message = "no transaction is open on this connection"
                raise StatementRefused(RefusalReason.NO_TRANSACTION, message)
            session.transaction = None
            if not transaction.has_written:
                return self._state.log.position
            return self._commit(workspace, session, transaction)

    def rollback(self, session: Session) -> None:
        """Roll back the open transaction, if any."""
        with self._state.changed:
            self._state.roll_back(session)
            session.transaction_lost = False

    def _commit(
        self, workspace: InMemoryDatabase, session: Session, transaction: Transaction
    ) -> LogPosition:
        try:
            workspace.commit()
            position = self._state.append(transaction.statements, transaction.records)
        finally:
            self._state.roll_back(session)
        return position

    def _wait_for_data(self, statement: Statement) -> None:
        deadline = time.monotonic() + statement.wait_s
        with self._state.changed:
            while True:
                self._state.require_term(statement.term)
                remaining = deadline - time.monotonic()
                if remaining <= 0:
                    return self._require_fresh_data(statement)
                if self._is_caught_up(statement) and self._is_recent(statement):
                    return None
                self._state.changed.wait(remaining)

    def _require_fresh_data(self, statement: Statement) -> None:
        if not self._is_caught_up(statement):
            message = f"server has applied {self._state.applied}"
            raise StatementRefused(RefusalReason.NOT_CAUGHT_UP, message)
        if not self._is_recent(statement):
            age = self._state.age()
            raise StatementRefused(RefusalReason.TOO_OLD, f"age of data: {age} s")

    def _is_caught_up(self, statement: Statement) -> bool:
        return self._state.applied >= statement.min_position

    def _is_recent(self, statement: Statement) -> bool:
        if statement.max_age_s is None:
            return True
        age = self._state.age()
        return age is not None and age <= statement.max_age_s

    def _read(self, statement: Statement) -> dict[str, Any]:
        self._require_fresh_data(statement)
        result = self._state.committed_data.read(statement.sql, statement.params)
        return _answer(result, self._state.applied)

    def _write(self, session: Session, statement: Statement) -> dict[str, Any]:
        transaction = Transaction(statement.term)
        workspace = self._acquire_write_lock(session, statement)
        recorded = self._recorded_answer(statement)
        if recorded is not None:
            self._state.roll_back(session)
            return recorded
        try:
            result = workspace.write(statement.sql, statement.params)
        except StatementRefused:
            self._state.roll_back(session)
            raise
        if not result.changed and statement.idempotency is None:
            self._state.roll_back(session)
            return _answer(result, self._state.log.position)
        self._record_write(transaction, statement, result)
        return _answer(result, self._commit(workspace, session, transaction))

    def _execute_in_transaction(
        self, session: Session, statement: Statement
    ) -> dict[str, Any]:
        transaction = session.transaction
        assert transaction is not None
        self._require_fresh_data(statement)
        workspace = self._state.require_primary(statement.term)
        if statement.read_only:
            if transaction.has_written:
                result = workspace.read(statement.sql, statement.params)
            else:
                transaction.read_position = (
                    transaction.read_position or self._state.applied
                )
                result = self._state.committed_data.read(
                    statement.sql, statement.params
                )
            return _answer(result, self._state.applied)
        if not transaction.has_written:
            workspace = self._acquire_write_lock(session, statement)
            self._require_unchanged(session, transaction)
            transaction.has_written = True
        recorded = self._recorded_answer(statement)
        if recorded is not None:
            return recorded
        result = self._run_in_transaction(workspace, session, statement)
        self._record_write(transaction, statement, result)
        return _answer(result, self._state.log.position)

    def _run_in_transaction(
        self, workspace: InMemoryDatabase, session: Session, statement: Statement
    ) -> Result:
        try:
            return workspace.write(statement.sql, statement.params)
        except StatementRefused:
            if not workspace.in_transaction:
                self._state.roll_back(session)
            raise

    def _require_unchanged(self, session: Session, transaction: Transaction) -> None:
        """Refuse the first write if data was committed since the first read."""
        if transaction.read_position in (None, self._state.log.position):
            return
        self._state.roll_back(session)
        message = "rolled back: data that the transaction read has changed"
        raise StatementRefused(RefusalReason.SQL_ERROR, message)

    def _acquire_write_lock(
        self, session: Session, statement: Statement
    ) -> InMemoryDatabase:
        """Wait for the write lock in arrival order; begin a workspace transaction."""
        state = self._state
        deadline = time.monotonic() + self._faults["lock_timeout_ms"] / 1000
        state.write_lock_queue.append(session)
        try:
            while (
                state.write_lock_holder is not None
                or state.write_lock_queue[0] is not session
            ):
                remaining = deadline - time.monotonic()
                if remaining <= 0:
                    message = "another transaction holds the write lock"
                    raise StatementRefused(RefusalReason.OVERLOADED, message)
                state.changed.wait(remaining)
                state.require_primary(statement.term)
            workspace = state.require_primary(statement.term)
            self._require_open(session)
            state.write_lock_holder = session
            workspace.begin()
            return workspace
        finally:
            state.write_lock_queue.remove(session)
            state.changed.notify_all()

    def _require_open(self, session: Session) -> None:
        if session.id not in self._state.sessions.session_by_id:
            message = "connection was closed"
            raise StatementRefused(RefusalReason.NO_CONNECTION, message)

    def _recorded_answer(self, statement: Statement) -> dict[str, Any] | None:
        """Return the recorded answer if the same request has already run."""
        idempotency_key = statement.idempotency
        if idempotency_key is None:
            return None
        by_key = (idempotency_key["account"], idempotency_key["key"])
        recorded_entry = self._state.record_by_key.get(by_key)
        if recorded_entry is None:
            return None
        record, position = recorded_entry
        if record.request_hash != idempotency_key["request_hash"]:
            message = "another request has used this idempotency key"
            raise StatementRefused(RefusalReason.IDEMPOTENCY_CONFLICT, message)
        return record.answer | {"position": list(position)}

    def _record_write(
        self, transaction: Transaction, statement: Statement, result: Result
    ) -> None:
        if result.changed:
            transaction.statements.append([statement.sql, statement.params])
        if statement.idempotency is not None:
            answer = _answer(result, self._state.log.position)
            transaction.records.append(
                RecordedAnswer(**statement.idempotency, answer=answer)
            )


def _require_no_lost_transaction(session: Session) -> None:
    """Refuse a statement whose transaction was rolled back by the server."""
    if session.transaction_lost:
        message = "the transaction was rolled back by the server"
        raise StatementRefused(RefusalReason.NO_TRANSACTION, message)


def _answer(result: Result, position: LogPosition) -> dict[str, Any]:
    return {
        "columns": result.columns,
        "rows": result.rows,
        "row_count": result.row_count,
        "position": list(position),
    }
