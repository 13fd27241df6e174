"""Requests that an owner has accepted, and the answers it has given."""

from collections import OrderedDict
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.base import Effect, SendMessage
from bulrushloom.coordination.sessions.base import ORIGIN, LogPosition
from bulrushloom.databases.base import Rows
from bulrushloom.instance.failures import Failure
from bulrushloom.instance.messages import (
    StatementAnswer,
    StatementRequest,
    TransactionAnswer,
    TransactionRequest,
)

# Answers to writes are kept this long, for duplicates of their requests.
ANSWER_RETENTION = timedelta(seconds=60)

OwnerRequest = StatementRequest | TransactionRequest
OwnerAnswer = StatementAnswer | TransactionAnswer


class AwaitDurable(NamedTuple):
    """Effect: report when a majority of the group holds ``position`` in ``term``.

    The term is later than that of the position if an idempotency key repeats a write
    of an earlier term.
    """

    request_id: str
    position: LogPosition
    term: int
    deadline: timedelta


class Job(NamedTuple):
    """Hold a request that was accepted and not yet answered.

    ``term`` is the term in which it runs, 0 while it waits for a slot.
    """

    sender: str
    request: OwnerRequest
    deadline: timedelta
    term: int
    rows: Rows | None

    @property
    def is_read(self) -> bool:
        """Return whether the request only reads."""
        return isinstance(self.request, StatementRequest) and self.request.read_only

    @property
    def position(self) -> LogPosition:
        """Return the position of the result."""
        return self.rows.position if self.rows is not None else ORIGIN

    def await_durable(self) -> AwaitDurable:
        """Return the effect that waits until the result is durable."""
        request_id = self.request.request_id
        return AwaitDurable(request_id, self.position, self.term, self.deadline)


class _SentAnswer(NamedTuple):
    answer: OwnerAnswer
    sent_at: timedelta


class JobTable:
    """Hold the open jobs by request id, and lately sent answers to writes."""

    def __init__(self) -> None:
        self.job_by_id: dict[str, Job] = {}
        self._answer_by_id: OrderedDict[str, _SentAnswer] = OrderedDict()

    def answer_duplicate(self, sender: str, request_id: str) -> list[Effect] | None:
        """Return what a duplicate of a request gives, ``None`` for a new one."""
        if request_id in self.job_by_id:
            return []
        sent = self._answer_by_id.get(request_id)
        return [SendMessage(sender, sent.answer)] if sent is not None else None

    def add(self, job: Job) -> None:
        """Add a job, or replace it by a later state of its own."""
        self.job_by_id[job.request.request_id] = job

    def reply(self, answer: OwnerAnswer, now: timedelta) -> list[Effect]:
        """End the job that ``answer`` belongs to."""
        return [self._answer(self.job_by_id.pop(answer.request_id), answer, now)]

    def fail(
        self, request: OwnerRequest, failure: Failure, now: timedelta
    ) -> list[Effect]:
        """End the job of ``request`` with an error."""
        return self.reply(error_answer(request, failure), now)

    def refuse(self, job: Job, failure: Failure, now: timedelta) -> Effect:
        """Answer a request that does not become a job.

        A late copy of a write that was refused as not run must not run either: its
        entry may have sent the write elsewhere in the meantime.
        """
        return self._answer(job, error_answer(job.request, failure), now)

    def _answer(self, job: Job, answer: OwnerAnswer, now: timedelta) -> Effect:
        if not job.is_read:
            self._answer_by_id[answer.request_id] = _SentAnswer(answer, now)
        return SendMessage(job.sender, answer)

    def forget_answers(self, now: timedelta) -> None:
        """Drop the answers whose retention has passed."""
        while self._answer_by_id:
            oldest = next(iter(self._answer_by_id.values()))
            if now - oldest.sent_at < ANSWER_RETENTION:
                return
            self._answer_by_id.popitem(last=False)


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
