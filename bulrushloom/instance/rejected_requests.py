"""Refusal of requests that cannot be assigned to an owner of a target."""

from datetime import timedelta

from bulrushloom.coordination.base import Effect
from bulrushloom.core.errors import ErrorKind
from bulrushloom.instance.failures import Failure
from bulrushloom.instance.jobs import Job, JobTable, OwnerRequest
from bulrushloom.instance.messages import StatementRequest, TransactionRequest


class RejectedRequests:
    """Refuse requests for unknown targets or for a former incarnation of the instance.

    Refusals are remembered, except for reads, so that a late duplicate does not run.
    """

    def __init__(self, instance: str):
        self._instance = instance
        self._jobs = JobTable()

    def answer_duplicate(self, sender: str, request_id: str) -> list[Effect] | None:
        """Return the effects of a duplicate, or ``None`` if it was not refused here."""
        return self._jobs.answer_duplicate(sender, request_id)

    def refuse_unknown_target(
        self, sender: str, request: OwnerRequest, now: timedelta
    ) -> list[Effect]:
        """Refuse a request for a target that the active rules do not contain."""
        reason = f"{self._instance} does not know target {request.target!r}"
        return self._refuse(sender, request, _refusal_kind(request), reason, now)

    def refuse_former_incarnation(
        self, sender: str, request: OwnerRequest, now: timedelta
    ) -> list[Effect]:
        """Refuse a request to a former incarnation, which may have run a duplicate."""
        kind = _refusal_kind(request)
        is_write = isinstance(request, StatementRequest) and not request.read_only
        if is_write and not request.transaction:
            kind = ErrorKind.OUTCOME_UNKNOWN
        reason = f"{self._instance} was restarted"
        return self._refuse(sender, request, kind, reason, now)

    def _refuse(
        self,
        sender: str,
        request: OwnerRequest,
        kind: ErrorKind,
        reason: str,
        now: timedelta,
    ) -> list[Effect]:
        self._jobs.expire_answers(now)
        elsewhere = kind is not ErrorKind.OUTCOME_UNKNOWN
        job = Job(sender, request, now, 0, None)
        return [self._jobs.refuse(job, Failure(kind, reason, elsewhere), now)]


def _refusal_kind(request: OwnerRequest) -> ErrorKind:
    if isinstance(request, TransactionRequest) and request.action == "commit":
        # An earlier commit of the same transaction may have taken effect.
        return ErrorKind.OUTCOME_UNKNOWN
    return ErrorKind.TRANSACTION_LOST if request.transaction else ErrorKind.NO_TARGET
