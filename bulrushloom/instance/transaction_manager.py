"""Transactions at the owner of a target: begin, commit, rollback, idle timeout."""

from datetime import timedelta

from bulrushloom.coordination.base import Effect, SendMessage
from bulrushloom.coordination.sessions.base import ORIGIN, LogPosition
from bulrushloom.core.errors import ErrorKind
from bulrushloom.databases.base import StatementResult
from bulrushloom.instance.base import Executed, RunBegin, RunEnd
from bulrushloom.instance.failures import STATEMENT_ONLY_KINDS, Failure, classify
from bulrushloom.instance.jobs import Job, JobTable
from bulrushloom.instance.messages import (
    StatementRequest,
    TransactionAnswer,
    TransactionRequest,
)
from bulrushloom.instance.transactions import Transaction, TransactionTable

# Prefix of the request ids of rollbacks that the owner starts itself.
ROLLBACK_ID_PREFIX = "unasked."


class TransactionManager:
    """Manage the transactions of one target according to their state chart."""

    def __init__(self, target: str, jobs: JobTable, table: TransactionTable):
        self._target = target
        self._jobs = jobs
        self._table = table

    @property
    def is_idle(self) -> bool:
        """Return whether no transaction is open."""
        return not len(self._table)

    @property
    def is_full(self) -> bool:
        """Return whether the limit of open transactions is reached."""
        return self._table.is_full

    def begin(self, job: Job, request: TransactionRequest, now: timedelta) -> Effect:
        """Begin a transaction on its own connection."""
        transaction = self._table.open(request.account, request.database, now)
        opened = request._replace(transaction=transaction.handle)
        self._jobs.add(job._replace(request=opened))
        return RunBegin(self._target, request.request_id, transaction.handle, job.term)

    def end(self, job: Job, request: TransactionRequest, now: timedelta) -> Effect:
        """Commit or roll back a transaction."""
        commit = request.action == "commit"
        transaction = self._table.find(
            request.transaction, request.account, request.database
        )
        if transaction is None:
            return self._answer_repeated_end(job, request, commit, now)
        event = "commit" if commit else "rollback"
        if not transaction.accepts(event):
            message = f"transaction is {transaction.state}"
            failure = Failure(ErrorKind.TRANSACTION_BUSY, message, False)
            return self._jobs.refuse(job, failure, now)
        transaction.send(event, now)
        self._jobs.add(job)
        return self._run_end(request.request_id, transaction, job.term)

    def begin_statement(
        self, request: StatementRequest, now: timedelta
    ) -> Failure | None:
        """Reserve the transaction for a statement, or return why it cannot run."""
        transaction = self._table.find(
            request.transaction, request.account, request.database
        )
        if transaction is None:
            return Failure(ErrorKind.TRANSACTION_LOST, "transaction is not open", False)
        if not transaction.accepts("statement"):
            return Failure(
                ErrorKind.TRANSACTION_BUSY,
                f"transaction is {transaction.state}; it runs one statement at a time",
                False,
            )
        transaction.send("statement", now)
        return None

    def end_statement(
        self, request: StatementRequest, failure: Failure | None, now: timedelta
    ) -> list[Effect]:
        """Release the transaction after a statement; roll it back after a failure."""
        lost = failure is not None and failure.kind not in STATEMENT_ONLY_KINDS
        effects: list[Effect] = []
        for transaction in self._table.with_handle(request.transaction):
            self._transition(transaction, "lost" if lost else "answered", now)
            if lost:
                effects.append(self._owner_rollback(transaction))
        return effects

    def handle_executed(
        self, job: Job, request: TransactionRequest, executed: Executed, now: timedelta
    ) -> list[Effect]:
        """Process the result of a begin, commit or rollback."""
        result = executed.result
        if isinstance(result, Exception):
            return self._handle_failure(request, result, now)
        if request.action == "commit" and isinstance(result, LogPosition):
            job = job._replace(rows=StatementResult([], [], 0, result))
            self._jobs.add(job)
            return [job.await_durable()]
        event = "opened" if request.action == "begin" else "answered"
        self._send_event(request, event, now)
        return self._jobs.reply(_success_answer(request, ORIGIN), now)

    def handle_rolled_back(self, request_id: str, now: timedelta) -> None:
        """Process the result of a rollback that the owner started itself."""
        for transaction in self._table.with_handle(
            request_id.removeprefix(ROLLBACK_ID_PREFIX)
        ):
            self._transition(transaction, "answered", now)

    def commit_durable(
        self, job: Job, request: TransactionRequest, now: timedelta
    ) -> list[Effect]:
        """Answer a commit that a majority of the group has stored."""
        self._send_event(request, "committed", now)
        return self._jobs.reply(_success_answer(request, job.position), now)

    def commit_undecided(self, request: TransactionRequest, now: timedelta) -> None:
        """Record a commit that may still be lost."""
        self._send_event(request, "undecided", now)

    def roll_back_idle(self, now: timedelta) -> list[Effect]:
        """Roll back the transactions that exceeded the idle limit."""
        effects: list[Effect] = []
        for transaction in self._table.past_idle_limit(now):
            transaction.send("rollback", now)
            effects.append(self._owner_rollback(transaction))
        return effects

    def _answer_repeated_end(
        self, job: Job, request: TransactionRequest, commit: bool, now: timedelta
    ) -> Effect:
        """Answer a commit or rollback of a transaction that is not open.

        It is a repetition, or the owner has lost the transaction. An earlier commit may
        have taken effect unless the transaction is known to be rolled back.
        """
        state = self._table.ended_state(request.transaction)
        if not commit and state in ("rolled_back", None):
            return SendMessage(job.sender, _success_answer(request, ORIGIN))
        if state == "rolled_back":
            kind = ErrorKind.TRANSACTION_LOST
        elif state == "committed":
            kind = ErrorKind.TRANSACTION_UNKNOWN
        else:
            kind = ErrorKind.OUTCOME_UNKNOWN
        message = f"transaction is not open; it ended as {state or 'unknown'}"
        return self._jobs.refuse(job, Failure(kind, message, False), now)

    def _handle_failure(
        self, request: TransactionRequest, error: Exception, now: timedelta
    ) -> list[Effect]:
        failure = classify(error, read_only=request.action != "commit")
        if failure.kind is ErrorKind.OUTCOME_UNKNOWN:
            self._send_event(request, "undecided", now)
            return self._jobs.fail(request, failure, now)
        self._send_event(request, "lost", now)
        if request.action == "rollback":
            # The target rolls back the transaction when its connection is closed.
            return self._jobs.reply(_success_answer(request, ORIGIN), now)
        if request.action == "commit":
            failure = Failure(ErrorKind.TRANSACTION_LOST, failure.message, False)
        return self._jobs.fail(request, failure, now)

    def _send_event(
        self, request: TransactionRequest, event: str, now: timedelta
    ) -> None:
        for transaction in self._table.with_handle(request.transaction):
            self._transition(transaction, event, now)

    def _transition(self, transaction: Transaction, event: str, now: timedelta) -> None:
        transaction.send(event, now)
        self._table.archive_if_ended(transaction)

    def _owner_rollback(self, transaction: Transaction) -> RunEnd:
        return self._run_end(
            f"{ROLLBACK_ID_PREFIX}{transaction.handle}", transaction, 0
        )

    def _run_end(self, request_id: str, transaction: Transaction, term: int) -> RunEnd:
        commit = transaction.state == "committing"
        return RunEnd(self._target, request_id, transaction.handle, term, commit)


def _success_answer(
    request: TransactionRequest, position: LogPosition
) -> TransactionAnswer:
    return TransactionAnswer(request.request_id, request.transaction, position, "", "")
