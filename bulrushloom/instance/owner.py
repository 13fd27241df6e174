"""Execution of statements by the owner of a target: queue, slots, durability."""

from datetime import timedelta

from bulrushloom.coordination.base import DecisionComponent, Effect, Message
from bulrushloom.coordination.queueing.base import SlotQueue
from bulrushloom.coordination.sessions.base import ORIGIN
from bulrushloom.core.errors import ErrorKind
from bulrushloom.databases.base import IdempotencyRecord, StatementCall, StatementResult
from bulrushloom.instance.base import Executed, RunStatement
from bulrushloom.instance.failures import STATEMENT_ONLY_KINDS, Failure, classify
from bulrushloom.instance.jobs import Job, JobTable
from bulrushloom.instance.messages import (
    CancelStatement,
    StatementAnswer,
    StatementRequest,
    TransactionRequest,
)
from bulrushloom.instance.transaction_manager import (
    ROLLBACK_ID_PREFIX,
    TransactionManager,
)
from bulrushloom.instance.transactions import TransactionTable
from bulrushloom.instance.utils import request_hash
from bulrushloom.rules.base import TargetRule

# Maximum wait at a replica for the position that a read requires.
MAX_POSITION_WAIT = timedelta(milliseconds=50)

# Fraction of the connections of a target that one owner uses, since two instances may
# act as its owner while their instance lists differ.
CONNECTION_FRACTION = 0.4


def connection_limit(rule: TargetRule) -> int:
    """Return the maximum number of connections that one owner opens to a target."""
    return max(1, int(rule.connections * CONNECTION_FRACTION))


class TargetOwner(DecisionComponent):
    """Run the statements of one target within its slots and connections.

    Slots limit the number of statements that run at the same time. Each transaction has
    a connection of its own, from those that the slots do not need.
    """

    def __init__(self, rule: TargetRule, queue: SlotQueue, handle_prefix: str):
        self.rule = rule
        self._queue = queue
        self._jobs = JobTable()
        capacity = max(1, connection_limit(rule) - rule.slots)
        table = TransactionTable(handle_prefix, capacity)
        self._transactions = TransactionManager(rule.name, self._jobs, table)
        self._running = 0
        self._term = 0
        self._is_primary = False
        self._draining = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request and no transaction is open."""
        return not self._jobs.job_by_id and self._transactions.is_idle

    @property
    def queue_length(self) -> int:
        """Return the number of statements waiting for a slot."""
        return len(self._queue)

    def drain(self) -> None:
        """Refuse new work except in open transactions."""
        self._draining = True

    def update_server(
        self, term: int, is_primary: bool, now: timedelta
    ) -> list[Effect]:
        """Record the server's term and role; refuse queued writes if it was demoted."""
        self._term = term
        lost_role = self._is_primary and not is_primary
        self._is_primary = is_primary
        if not lost_role:
            return []
        failure = Failure(ErrorKind.NO_TARGET, "the primary was replaced", True)
        effects: list[Effect] = []
        for request_id, job in list(self._jobs.job_by_id.items()):
            if not job.term and not job.is_read:
                self._queue.remove(request_id)
                effects += self._fail(request_id, failure, now)
        return effects

    def handle(self, sender: str, message: Message, now: timedelta) -> list[Effect]:
        """Handle a request, its cancellation or the result of an operation."""
        if isinstance(message, StatementRequest):
            return self._accept_statement(sender, message, now)
        if isinstance(message, TransactionRequest):
            return self._accept_transaction(sender, message, now)
        if isinstance(message, Executed):
            return self._handle_executed(message, now)
        if isinstance(message, CancelStatement):
            return self._cancel_statement(sender, message, now)
        raise TypeError(f"unsupported message {type(message).__name__}")

    def tick(self, now: timedelta) -> list[Effect]:
        """Refuse expired statements, roll back idle transactions, start statements."""
        effects: list[Effect] = []
        late = Failure(ErrorKind.OVERLOADED, "no slot became free in time", False)
        for request_id in self._queue.expired(now):
            effects += self._fail(request_id, late, now)
        effects += self._transactions.roll_back_idle(now)
        self._jobs.expire_answers(now)
        return effects + self._start_queued(now)

    def write_durable(self, request_id: str, now: timedelta) -> list[Effect]:
        """Answer a write that a majority of the group has stored."""
        job = self._jobs.job_by_id.get(request_id)
        if job is None:
            return []
        if isinstance(job.request, TransactionRequest):
            return self._transactions.commit_durable(job, job.request, now)
        return self._jobs.reply(self._success_answer(job), now)

    def write_undecided(
        self, request_id: str, reason: str, now: timedelta
    ) -> list[Effect]:
        """Answer a write that may still be lost."""
        job = self._jobs.job_by_id.get(request_id)
        if job is None:
            return []
        if isinstance(job.request, TransactionRequest):
            self._transactions.commit_undecided(job.request, now)
        failure = Failure(ErrorKind.OUTCOME_UNKNOWN, reason, False)
        return self._fail(request_id, failure, now)

    def _accept_statement(
        self, sender: str, request: StatementRequest, now: timedelta
    ) -> list[Effect]:
        duplicate_answer = self._jobs.answer_duplicate(sender, request.request_id)
        if duplicate_answer is not None:
            return duplicate_answer
        deadline = now + timedelta(milliseconds=request.timeout_ms)
        job = Job(sender, request, deadline, 0, None)
        failure = self._statement_refusal(request, now)
        if failure is not None:
            return [self._jobs.refuse(job, failure, now)]
        if not self._queue.push(request.request_id, request.account, deadline, now):
            failure = Failure(
                ErrorKind.OVERLOADED,
                f"the queue of the account at {self.rule.name} is full",
                request.read_only,
            )
            return [
                *self._transactions.end_statement(request, failure, now),
                self._jobs.refuse(job, failure, now),
            ]
        self._jobs.add(job)
        return self._start_queued(now)

    def _statement_refusal(
        self, request: StatementRequest, now: timedelta
    ) -> Failure | None:
        if request.transaction:
            return self._transactions.begin_statement(request, now)
        if self._draining:
            return Failure(ErrorKind.DRAINING, "the owner is shutting down", True)
        if self.rule.leaving:
            return Failure(ErrorKind.NO_TARGET, f"{self.rule.name} is leaving", True)
        if not self._term:
            return Failure(ErrorKind.NO_TARGET, "the target was not seen yet", True)
        if not request.read_only and not self._is_primary:
            return self._not_primary_failure()
        return None

    def _not_primary_failure(self) -> Failure:
        message = f"{self.rule.name} is not the primary"
        return Failure(ErrorKind.NO_TARGET, message, True)

    def _cancel_statement(
        self, sender: str, message: CancelStatement, now: timedelta
    ) -> list[Effect]:
        """Answer a statement that waits for a slot as not run.

        Its transaction stays open, because another key of the account may use it.
        """
        job = self._jobs.job_by_id.get(message.request_id)
        if job is None or job.sender != sender:
            return []
        request = job.request
        if not isinstance(request, StatementRequest):
            return []
        if not self._queue.remove(request.request_id):
            return []
        reason = "the entry instance cancelled the statement"
        failure = Failure(ErrorKind.NO_TARGET, reason, True)
        effects = self._transactions.end_statement(request, None, now)
        return effects + self._jobs.fail(request, failure, now)

    def _accept_transaction(
        self, sender: str, request: TransactionRequest, now: timedelta
    ) -> list[Effect]:
        duplicate_answer = self._jobs.answer_duplicate(sender, request.request_id)
        if duplicate_answer is not None:
            return duplicate_answer
        deadline = now + timedelta(milliseconds=request.timeout_ms)
        job = Job(sender, request, deadline, self._term, None)
        if request.action != "begin":
            return [self._transactions.end(job, request, now)]
        failure = self._begin_refusal()
        if failure is not None:
            return [self._jobs.refuse(job, failure, now)]
        return [self._transactions.begin(job, request, now)]

    def _begin_refusal(self) -> Failure | None:
        if self._draining:
            return Failure(ErrorKind.DRAINING, "the owner is shutting down", True)
        if not self._is_primary or self.rule.leaving:
            return self._not_primary_failure()
        if self._transactions.is_full:
            message = f"{self.rule.name} has no free connection"
            return Failure(ErrorKind.OVERLOADED, message, False)
        return None

    def _start_queued(self, now: timedelta) -> list[Effect]:
        effects: list[Effect] = []
        while self._running < self.rule.slots and len(self._queue):
            request_id = self._queue.pop(now)
            if not isinstance(request_id, str):
                break
            job = self._jobs.job_by_id.get(request_id)
            if job is None or not isinstance(job.request, StatementRequest):
                continue
            self._jobs.add(job._replace(term=self._term))
            self._running += 1
            effects.append(self._run_statement(job, job.request, now))
        return effects

    def _run_statement(
        self, job: Job, request: StatementRequest, now: timedelta
    ) -> Effect:
        idempotency = None
        if request.idempotency_key and not request.transaction:
            idempotency = IdempotencyRecord(
                request.account, request.idempotency_key, request_hash(request)
            )
        max_age = None
        if request.max_age_ms >= 0:
            max_age = timedelta(milliseconds=request.max_age_ms)
        work = StatementCall(
            request.sql,
            request.params,
            self._term,
            request.read_only,
            request.min_position,
            max_age,
            min(MAX_POSITION_WAIT, job.deadline - now),
            idempotency,
        )
        return RunStatement(
            self.rule.name, request.request_id, request.transaction, work
        )

    def _handle_executed(self, executed: Executed, now: timedelta) -> list[Effect]:
        if executed.request_id.startswith(ROLLBACK_ID_PREFIX):
            self._transactions.handle_rolled_back(executed.request_id, now)
            return []
        job = self._jobs.job_by_id.get(executed.request_id)
        if job is None:
            return []
        if isinstance(job.request, TransactionRequest):
            return self._transactions.handle_executed(job, job.request, executed, now)
        self._running -= 1
        self._queue.charge(job.request.account, executed.duration)
        effects = self._statement_executed(job, job.request, executed, now)
        return effects + self._start_queued(now)

    def _statement_executed(
        self, job: Job, request: StatementRequest, executed: Executed, now: timedelta
    ) -> list[Effect]:
        result = executed.result
        if isinstance(result, StatementResult):
            job = job._replace(rows=result)
            self._jobs.add(job)
            if not request.transaction and not request.read_only:
                return [job.await_durable()]
            effects = self._transactions.end_statement(request, None, now)
            return effects + self._jobs.reply(self._success_answer(job), now)
        error = result if isinstance(result, Exception) else RuntimeError("no result")
        failure = classify(error, request.read_only)
        if request.transaction and failure.kind not in STATEMENT_ONLY_KINDS:
            failure = Failure(ErrorKind.TRANSACTION_LOST, failure.message, False)
        return self._fail(request.request_id, failure, now)

    def _fail(self, request_id: str, failure: Failure, now: timedelta) -> list[Effect]:
        job = self._jobs.job_by_id.get(request_id)
        if job is None:
            return []
        effects: list[Effect] = []
        if isinstance(job.request, StatementRequest):
            effects = self._transactions.end_statement(job.request, failure, now)
        return effects + self._jobs.fail(job.request, failure, now)

    def _success_answer(self, job: Job) -> StatementAnswer:
        rows = job.rows or StatementResult([], [], 0, ORIGIN)
        return StatementAnswer(
            job.request.request_id,
            rows.columns,
            rows.rows,
            rows.row_count,
            rows.position,
            "primary" if self._is_primary else "replica",
            "",
            "",
            False,
        )
