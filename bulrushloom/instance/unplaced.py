"""Requests that reach an instance but none of its owners."""

from datetime import timedelta

from bulrushloom.coordination.base import Effect
from bulrushloom.core.errors import ErrorKind
from bulrushloom.instance.failures import Failure
from bulrushloom.instance.jobs import Job, JobTable, OwnerRequest
from bulrushloom.instance.messages import StatementRequest, TransactionRequest


class UnplacedRequests:
    """Refuse requests for unknown targets or for an earlier run of the instance.

    A refusal is remembered, so that a late copy of the request does not run.
    """

    def __init__(self, own: str):
        self._own = own
        self._jobs = JobTable()

    def repeat(self, sender: str, request_id: str) -> list[Effect] | None:
        """Return what a duplicate gives, ``None`` if it was not refused here."""
        return self._jobs.answer_duplicate(sender, request_id)

    def refuse_unknown(
        self, sender: str, request: OwnerRequest, now: timedelta
    ) -> list[Effect]:
        """Refuse a request for a target that the rules in force do not name."""
        reason = f"{self._own} does not know target {request.target!r}"
        return self._refuse(sender, request, _unplaced_kind(request), reason, now)

    def refuse_forgotten(
        self, sender: str, request: OwnerRequest, now: timedelta
    ) -> list[Effect]:
        """Refuse a request to an earlier run, which may have run a copy of it."""
        kind = _unplaced_kind(request)
        is_write = isinstance(request, StatementRequest) and not request.read_only
        if is_write and not request.transaction:
            kind = ErrorKind.OUTCOME_UNKNOWN
        reason = f"{self._own} was restarted"
        return self._refuse(sender, request, kind, reason, now)

    def _refuse(
        self,
        sender: str,
        request: OwnerRequest,
        kind: ErrorKind,
        reason: str,
        now: timedelta,
    ) -> list[Effect]:
        self._jobs.forget_answers(now)
        elsewhere = kind is not ErrorKind.OUTCOME_UNKNOWN
        job = Job(sender, request, now, 0, None)
        return [self._jobs.refuse(job, Failure(kind, reason, elsewhere), now)]


def _unplaced_kind(request: OwnerRequest) -> ErrorKind:
    if isinstance(request, TransactionRequest) and request.action == "commit":
        # An earlier commit of the same transaction may have taken effect.
        return ErrorKind.OUTCOME_UNKNOWN
    return ErrorKind.TRANSACTION_LOST if request.transaction else ErrorKind.NO_TARGET
