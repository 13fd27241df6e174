"""Requests that an owner has accepted, and the answers it has sent."""

from collections import OrderedDict
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.base import Effect, SendMessage
from bulrushloom.coordination.sessions.base import ORIGIN, LogPosition
from bulrushloom.databases.base import StatementResult
from bulrushloom.instance.failures import Failure
from bulrushloom.instance.messages import (
    StatementAnswer,
    StatementRequest,
    TransactionAnswer,
    TransactionRequest,
)

# Answers to writes are kept this long to answer duplicate requests.
ANSWER_RETENTION = timedelta(seconds=60)

OwnerRequest = StatementRequest | TransactionRequest
OwnerAnswer = StatementAnswer | TransactionAnswer


class AwaitDurable(NamedTuple):
    """Effect: report when a majority of the group has ``position`` in ``term``.

    ``term`` exceeds the term of the position if the write repeats one with the same
    idempotency key that ran in an earlier term.
    """

    request_id: str
    position: LogPosition
    term: int
    deadline: timedelta


class Job(NamedTuple):
    """Accepted request without an answer.

    ``term`` is the term in which it runs, or 0 while it waits for a slot. ``rows`` is
    the result of the operation once it is known.
    """

    sender: str
    request: OwnerRequest
    deadline: timedelta
    term: int
    rows: StatementResult | None

    @property
    def is_read(self) -> bool:
        """Return whether the request is a read-only statement."""
        return isinstance(self.request, StatementRequest) and self.request.read_only

    @property
    def position(self) -> LogPosition:
        """Return the log position of the result, or ``ORIGIN`` without a result."""
        return self.rows.position if self.rows is not None else ORIGIN

    def await_durable(self) -> AwaitDurable:
        """Return the effect that waits for the result to become durable."""
        request_id = self.request.request_id
        return AwaitDurable(request_id, self.position, self.term, self.deadline)


class _SentAnswer(NamedTuple):
    answer: OwnerAnswer
    sent_at: timedelta


class JobTable:
    """Open jobs by request id, and recently sent answers to writes."""

    def __init__(self) -> None:
        self.job_by_id: dict[str, Job] = {}
        self._answer_by_id: OrderedDict[str, _SentAnswer] = OrderedDict()

    def answer_duplicate(self, sender: str, request_id: str) -> list[Effect] | None:
        """Return the effects of a duplicate request, or ``None`` for a new one."""
        if request_id in self.job_by_id:
            return []
        sent = self._answer_by_id.get(request_id)
        return [SendMessage(sender, sent.answer)] if sent is not None else None

    def add(self, job: Job) -> None:
        """Add a job, or replace it with an updated version."""
        self.job_by_id[job.request.request_id] = job

    def reply(self, answer: OwnerAnswer, now: timedelta) -> list[Effect]:
        """Send ``answer`` and remove its job."""
        return [self._send_answer(self.job_by_id.pop(answer.request_id), answer, now)]

    def fail(
        self, request: OwnerRequest, failure: Failure, now: timedelta
    ) -> list[Effect]:
        """Answer ``request`` with an error and remove its job."""
        return self.reply(error_answer(request, failure), now)

    def refuse(self, job: Job, failure: Failure, now: timedelta) -> Effect:
        """Refuse a request that does not become a job.

        The refusal of a write is remembered, so that a late duplicate does not run: the
        entry instance may have sent the write to another target in the meantime.
        """
        return self._send_answer(job, error_answer(job.request, failure), now)

    def _send_answer(self, job: Job, answer: OwnerAnswer, now: timedelta) -> Effect:
        if not job.is_read:
            self._answer_by_id[answer.request_id] = _SentAnswer(answer, now)
        return SendMessage(job.sender, answer)

    def expire_answers(self, now: timedelta) -> None:
        """Drop the answers whose retention time has passed."""
        while self._answer_by_id:
            oldest = next(iter(self._answer_by_id.values()))
            if now - oldest.sent_at < ANSWER_RETENTION:
                return
            self._answer_by_id.popitem(last=False)


def error_answer(
    request: StatementRequest | TransactionRequest, failure: Failure
) -> StatementAnswer | TransactionAnswer:
    """Return the answer that reports ``failure`` for ``request``."""
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
