"""The owner's side of a statement: queue, slots, transactions, durability."""

from collections import OrderedDict
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.base import DecisionPart, Effect, Message, SendMessage
from bulrushloom.coordination.queueing.base import SlotQueue
from bulrushloom.coordination.sessions.base import ORIGIN, LogPosition
from bulrushloom.core.errors import ErrorKind
from bulrushloom.databases.base import IdempotencyRecord, Rows, Work
from bulrushloom.instance.base import Executed, RunBegin, RunEnd, RunStatement
from bulrushloom.instance.failures import STATEMENT_ONLY_KINDS, Failure, classify
from bulrushloom.instance.messages import (
    StatementAnswer,
    StatementRequest,
    TransactionAnswer,
    TransactionRequest,
)
from bulrushloom.instance.transactions import Transaction, TransactionTable
from bulrushloom.instance.utils import request_hash
from bulrushloom.rules.base import TargetRule

# Longest wait at a replica for the position that a read requires.
MAX_POSITION_WAIT = timedelta(milliseconds=50)

# Answers to writes are kept this long, for duplicates of their requests.
ANSWER_RETENTION = timedelta(seconds=60)

# Part of the connection cap that one owner uses: two owners may be active while
# their instance lists disagree.
CONNECTION_SHARE = 0.4


def connection_limit(rule: TargetRule) -> int:
    """Return how many connections one owner opens to a target."""
    return max(1, int(rule.connections * CONNECTION_SHARE))


class AwaitDurable(NamedTuple):
    """Effect: report when a majority of the group holds ``position`` in ``term``.

    The term is later than that of the position if an idempotency key repeats a write
    of an earlier term.
    """

    request_id: str
    position: LogPosition
    term: int
    deadline: timedelta


class _Job(NamedTuple):
    """Hold a request that was accepted and not yet answered.

    ``term`` is the term in which it runs, 0 while it waits for a slot.
    """

    sender: str
    request: StatementRequest | TransactionRequest
    deadline: timedelta
    term: int
    rows: Rows | None

    @property
    def running(self) -> bool:
        return self.term > 0


class _SentAnswer(NamedTuple):
    answer: StatementAnswer | TransactionAnswer
    sent_at: timedelta


class TargetOwner(DecisionPart):
    """Run the statements of one target within its slots and connections."""

    def __init__(
        self, rule: TargetRule, queue: SlotQueue, own: str, handle_prefix: str
    ):
        self.rule = rule
        self._queue = queue
        self._own = own
        capacity = max(1, connection_limit(rule) - rule.slots)
        self._transactions = TransactionTable(handle_prefix, capacity)
        self._job_by_id: dict[str, _Job] = {}
        self._answer_by_id: OrderedDict[str, _SentAnswer] = OrderedDict()
        self._running = 0
        self._term = 0
        self._is_primary = False
        self._draining = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request and no transaction is open."""
        return not self._job_by_id and not len(self._transactions)

    @property
    def queue_length(self) -> int:
        """Return the number of statements that wait for a slot."""
        return len(self._queue)

    def drain(self) -> None:
        """Refuse new work outside open transactions."""
        self._draining = True

    def update_server(
        self, term: int, is_primary: bool, now: timedelta
    ) -> list[Effect]:
        """Note the server's term and role; a write queued for a replica goes back."""
        self._term = term
        lost_role = self._is_primary and not is_primary
        self._is_primary = is_primary
        if not lost_role:
            return []
        failure = Failure(ErrorKind.NO_TARGET, "the primary was replaced", True)
        effects: list[Effect] = []
        for request_id, job in list(self._job_by_id.items()):
            is_read = (
                isinstance(job.request, StatementRequest) and job.request.read_only
            )
            if not job.running and job.rows is None and not is_read:
                self._queue.remove(request_id)
                effects += self._fail(request_id, failure, now)
        return effects

    def handle(self, sender: str, message: Message, now: timedelta) -> list[Effect]:
        """Handle a request or the result of an operation at the target."""
        if isinstance(message, StatementRequest):
            return self._accept_statement(sender, message, now)
        if isinstance(message, TransactionRequest):
            return self._accept_transaction(sender, message, now)
        if isinstance(message, Executed):
            return self._executed(message, now)
        raise TypeError(f"the owner does not accept {type(message).__name__}")

    def tick(self, now: timedelta) -> list[Effect]:
        """Refuse what waited too long, roll back idle transactions."""
        effects: list[Effect] = []
        late = Failure(ErrorKind.OVERLOADED, "no slot became free in time", False)
        for request_id in self._queue.expired(now):
            effects += self._fail(request_id, late, now)
        for transaction in self._transactions.idle_since(now):
            transaction.send("rollback", now)
            effects.append(self._run_end(f"idle.{transaction.handle}", transaction))
        self._forget_answers(now)
        return effects + self._start_queued(now)

    def durable(self, request_id: str, now: timedelta) -> list[Effect]:
        """Answer a write that a majority of the group holds."""
        job = self._job_by_id.get(request_id)
        if job is None:
            return []
        if isinstance(job.request, TransactionRequest):
            self._end_transaction(job.request, "committed", now)
            answer = TransactionAnswer(
                request_id, job.request.transaction, _position(job), "", ""
            )
            return self._reply(request_id, answer, now)
        return self._reply(request_id, self._success(job), now)

    def undecided(self, request_id: str, reason: str, now: timedelta) -> list[Effect]:
        """Answer a write that may yet be lost."""
        job = self._job_by_id.get(request_id)
        if job is None:
            return []
        if isinstance(job.request, TransactionRequest):
            self._end_transaction(job.request, "undecided", now)
        failure = Failure(ErrorKind.OUTCOME_UNKNOWN, reason, False)
        return self._fail(request_id, failure, now)

    def _accept_statement(
        self, sender: str, request: StatementRequest, now: timedelta
    ) -> list[Effect]:
        known = self._repeat(sender, request.request_id)
        if known is not None:
            return known
        deadline = now + timedelta(milliseconds=request.timeout_ms)
        job = _Job(sender, request, deadline, 0, None)
        failure = self._refusal(request, now)
        if failure is not None:
            return [self._refuse(job, failure, now)]
        if not self._queue.push(request.request_id, request.account, deadline, now):
            failure = Failure(
                ErrorKind.OVERLOADED,
                f"the queue of the account at {self.rule.name} is full",
                request.read_only,
            )
            self._statement_ended(request, failure, now)
            return [self._refuse(job, failure, now)]
        self._job_by_id[request.request_id] = job
        return self._start_queued(now)

    def _refusal(self, request: StatementRequest, now: timedelta) -> Failure | None:
        if request.transaction:
            return self._enter_transaction(request, now)
        if self._draining:
            return Failure(ErrorKind.DRAINING, "the owner is shutting down", True)
        if self.rule.leaving:
            return Failure(ErrorKind.NO_TARGET, f"{self.rule.name} is leaving", True)
        if not self._term:
            return Failure(ErrorKind.NO_TARGET, "the target was not seen yet", True)
        if not request.read_only and not self._is_primary:
            return Failure(
                ErrorKind.NO_TARGET, f"{self.rule.name} is not the primary", True
            )
        return None

    def _enter_transaction(
        self, request: StatementRequest, now: timedelta
    ) -> Failure | None:
        transaction = self._transactions.find(
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

    def _accept_transaction(
        self, sender: str, request: TransactionRequest, now: timedelta
    ) -> list[Effect]:
        known = self._repeat(sender, request.request_id)
        if known is not None:
            return known
        deadline = now + timedelta(milliseconds=request.timeout_ms)
        job = _Job(sender, request, deadline, self._term, None)
        if request.action == "begin":
            return self._begin(job, request, now)
        return self._end(job, request, now)

    def _begin(
        self, job: _Job, request: TransactionRequest, now: timedelta
    ) -> list[Effect]:
        failure = None
        if self._draining:
            failure = Failure(ErrorKind.DRAINING, "the owner is shutting down", True)
        elif not self._is_primary or self.rule.leaving:
            failure = Failure(
                ErrorKind.NO_TARGET, f"{self.rule.name} is not the primary", True
            )
        elif self._transactions.is_full:
            failure = Failure(
                ErrorKind.OVERLOADED, f"{self.rule.name} has no free connection", False
            )
        if failure is not None:
            return [self._refuse(job, failure, now)]
        transaction = self._transactions.open(request.account, request.database, now)
        opened = request._replace(transaction=transaction.handle)
        self._job_by_id[request.request_id] = job._replace(request=opened)
        return [
            RunBegin(self.rule.name, request.request_id, transaction.handle, self._term)
        ]

    def _end(
        self, job: _Job, request: TransactionRequest, now: timedelta
    ) -> list[Effect]:
        commit = request.action == "commit"
        transaction = self._transactions.find(
            request.transaction, request.account, request.database
        )
        if transaction is None:
            return [self._answer_ended(job, request, commit, now)]
        event = "commit" if commit else "rollback"
        if not transaction.accepts(event):
            failure = Failure(
                ErrorKind.TRANSACTION_BUSY, f"transaction is {transaction.state}", False
            )
            return [self._refuse(job, failure, now)]
        transaction.send(event, now)
        self._job_by_id[request.request_id] = job
        return [self._run_end(request.request_id, transaction)]

    def _answer_ended(
        self, job: _Job, request: TransactionRequest, commit: bool, now: timedelta
    ) -> Effect:
        """Answer an end that comes again, or after the owner lost the transaction.

        An earlier commit may have taken effect unless it is known to be rolled back.
        """
        state = self._transactions.ended_state(request.transaction)
        if not commit and state in ("rolled_back", None):
            answer = TransactionAnswer(
                request.request_id, request.transaction, ORIGIN, "", ""
            )
            return SendMessage(job.sender, answer)
        if state == "rolled_back":
            kind = ErrorKind.TRANSACTION_LOST
        elif state == "committed":
            kind = ErrorKind.TRANSACTION_UNKNOWN
        else:
            kind = ErrorKind.OUTCOME_UNKNOWN
        message = f"transaction is not open; it ended as {state or 'unknown'}"
        return self._refuse(job, Failure(kind, message, False), now)

    def _run_end(self, request_id: str, transaction: Transaction) -> RunEnd:
        return RunEnd(
            self.rule.name,
            request_id,
            transaction.handle,
            self._term,
            transaction.state == "committing",
        )

    def _start_queued(self, now: timedelta) -> list[Effect]:
        effects: list[Effect] = []
        while self._running < self.rule.slots and len(self._queue):
            request_id = self._queue.pop(now)
            if not isinstance(request_id, str):
                break
            job = self._job_by_id.get(request_id)
            if job is None or not isinstance(job.request, StatementRequest):
                continue
            self._job_by_id[request_id] = job._replace(term=self._term)
            self._running += 1
            effects.append(self._run_statement(job, job.request, now))
        return effects

    def _run_statement(
        self, job: _Job, request: StatementRequest, now: timedelta
    ) -> Effect:
        idempotency = None
        if request.idempotency_key and not request.transaction:
            idempotency = IdempotencyRecord(
                request.account, request.idempotency_key, request_hash(request)
            )
        max_age = None
        if request.max_age_ms >= 0:
            max_age = timedelta(milliseconds=request.max_age_ms)
        work = Work(
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

    def _executed(self, executed: Executed, now: timedelta) -> list[Effect]:
        job = self._job_by_id.get(executed.request_id)
        if executed.request_id.startswith("idle."):
            return self._rolled_back_idle(executed.request_id[len("idle.") :], now)
        if job is None:
            return []
        if isinstance(job.request, TransactionRequest):
            return self._transaction_executed(job, job.request, executed, now)
        self._running -= 1
        self._queue.charge(job.request.account, executed.duration)
        effects = self._statement_executed(job, job.request, executed, now)
        return effects + self._start_queued(now)

    def _rolled_back_idle(self, handle: str, now: timedelta) -> list[Effect]:
        for transaction in self._transactions.matching(handle):
            transaction.send("answered", now)
            self._transactions.settle(transaction)
        return []

    def _statement_executed(
        self, job: _Job, request: StatementRequest, executed: Executed, now: timedelta
    ) -> list[Effect]:
        result = executed.result
        if isinstance(result, Rows):
            job = job._replace(rows=result)
            self._job_by_id[request.request_id] = job
            if request.transaction or request.read_only:
                self._statement_ended(request, None, now)
                return self._reply(request.request_id, self._success(job), now)
            return [_await_durable(request.request_id, result.position, job)]
        error = result if isinstance(result, Exception) else RuntimeError("no result")
        failure = classify(error, request.read_only)
        if request.transaction and failure.kind not in STATEMENT_ONLY_KINDS:
            failure = Failure(ErrorKind.TRANSACTION_LOST, failure.message, False)
        return self._fail(request.request_id, failure, now)

    def _transaction_executed(
        self, job: _Job, request: TransactionRequest, executed: Executed, now: timedelta
    ) -> list[Effect]:
        result = executed.result
        request_id = request.request_id
        if isinstance(result, Exception):
            return self._transaction_failed(request, result, now)
        if request.action == "commit" and isinstance(result, LogPosition):
            rows = Rows([], [], 0, result)
            self._job_by_id[request_id] = job._replace(rows=rows)
            return [_await_durable(request_id, result, job)]
        event = "opened" if request.action == "begin" else "answered"
        self._end_transaction(request, event, now)
        answer = TransactionAnswer(request_id, request.transaction, ORIGIN, "", "")
        return self._reply(request_id, answer, now)

    def _transaction_failed(
        self, request: TransactionRequest, error: Exception, now: timedelta
    ) -> list[Effect]:
        failure = classify(error, read_only=request.action != "commit")
        if failure.kind is ErrorKind.OUTCOME_UNKNOWN:
            self._end_transaction(request, "undecided", now)
            return self._fail(request.request_id, failure, now)
        self._end_transaction(request, "lost", now)
        if request.action == "commit":
            failure = Failure(ErrorKind.TRANSACTION_LOST, failure.message, False)
        if request.action == "rollback":
            # The target rolls back by itself when the connection is closed.
            answer = TransactionAnswer(
                request.request_id, request.transaction, ORIGIN, "", ""
            )
            return self._reply(request.request_id, answer, now)
        return self._fail(request.request_id, failure, now)

    def _end_transaction(
        self, request: TransactionRequest, event: str, now: timedelta
    ) -> None:
        for transaction in self._transactions.matching(request.transaction):
            transaction.send(event, now)
            self._transactions.settle(transaction)

    def _statement_ended(
        self, request: StatementRequest, failure: Failure | None, now: timedelta
    ) -> list[Effect]:
        """Free the transaction, or close its connection after a failure."""
        lost = failure is not None and failure.kind not in STATEMENT_ONLY_KINDS
        effects: list[Effect] = []
        for transaction in self._transactions.matching(request.transaction):
            transaction.send("lost" if lost else "answered", now)
            self._transactions.settle(transaction)
            if lost:
                effects.append(self._run_end(f"idle.{transaction.handle}", transaction))
        return effects

    def _repeat(self, sender: str, request_id: str) -> list[Effect] | None:
        """Return what a duplicate of a request gives, ``None`` for a new one."""
        if request_id in self._job_by_id:
            return []
        sent = self._answer_by_id.get(request_id)
        return [SendMessage(sender, sent.answer)] if sent is not None else None

    def _fail(self, request_id: str, failure: Failure, now: timedelta) -> list[Effect]:
        job = self._job_by_id.get(request_id)
        if job is None:
            return []
        effects: list[Effect] = []
        if isinstance(job.request, StatementRequest):
            effects = self._statement_ended(job.request, failure, now)
        return effects + self._reply(
            request_id, error_answer(job.request, failure), now
        )

    def _refuse(self, job: _Job, failure: Failure, now: timedelta) -> Effect:
        """Answer that the request has not run, and never run a late copy of it."""
        answer = error_answer(job.request, failure)
        self._remember(job.request, answer, now)
        return SendMessage(job.sender, answer)

    def _reply(
        self,
        request_id: str,
        answer: StatementAnswer | TransactionAnswer,
        now: timedelta,
    ) -> list[Effect]:
        job = self._job_by_id.pop(request_id)
        self._remember(job.request, answer, now)
        return [SendMessage(job.sender, answer)]

    def _remember(
        self,
        request: StatementRequest | TransactionRequest,
        answer: StatementAnswer | TransactionAnswer,
        now: timedelta,
    ) -> None:
        if isinstance(request, TransactionRequest) or not request.read_only:
            self._answer_by_id[request.request_id] = _SentAnswer(answer, now)

    def _success(self, job: _Job) -> StatementAnswer:
        rows = job.rows or Rows([], [], 0, ORIGIN)
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

    def _forget_answers(self, now: timedelta) -> None:
        while self._answer_by_id:
            oldest = next(iter(self._answer_by_id.values()))
            if now - oldest.sent_at < ANSWER_RETENTION:
                return
            self._answer_by_id.popitem(last=False)


def _await_durable(request_id: str, position: LogPosition, job: _Job) -> Effect:
    return AwaitDurable(request_id, position, job.term, job.deadline)


def _position(job: _Job) -> LogPosition:
    return job.rows.position if job.rows is not None else ORIGIN


def error_answer(
    request: StatementRequest | TransactionRequest, failure: Failure
) -> StatementAnswer | TransactionAnswer:
    """Return the answer that says why ``request`` has failed."""
    kind = failure.kind.value
    if isinstance(request, TransactionRequest):
        return TransactionAnswer(
            request.request_id, request.transaction, ORIGIN, kind, failure.message
        )
    return StatementAnswer(
        request.request_id,
        [],
        [],
        0,
        ORIGIN,
        "",
        kind,
        failure.message,
        failure.retry_elsewhere,
    )
