"""Open request at its entry instance: its state and the messages sent for it."""

from datetime import timedelta
from http import HTTPStatus
from typing import NamedTuple

from bulrushloom.coordination.base import Effect, LogEntry, Message, SendMessage
from bulrushloom.coordination.configuration.view import ConfigurationView
from bulrushloom.coordination.sessions.base import ORIGIN
from bulrushloom.core.clock import milliseconds
from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.instance.base import (
    Begin,
    End,
    Outcome,
    Statement,
    Submit,
    TransactionRef,
)
from bulrushloom.instance.messages import (
    CancelStatement,
    StatementAnswer,
    StatementRequest,
    TransactionAnswer,
    TransactionRequest,
)


class Destination(NamedTuple):
    """Target of an attempt, and the instance that owns its connections."""

    target: str
    owner: str


class PendingRequest:
    """State of one open request.

    ``attempt`` counts the messages sent for it. ``sent_at`` is ``None`` unless the
    latest of them awaits its answer; ``access_check_at`` is when its access is checked
    again. ``destination_by_attempt`` contains the attempts that were not answered.
    """

    def __init__(self, submit: Submit):
        self.request_id = submit.request_id
        self.request = submit.request
        self.deadline = submit.deadline
        self._key_digest = submit.key_digest
        self.attempt = 0
        self.owner = ""
        self.target = ""
        self.sent_at: timedelta | None = None
        self.access_check_at = timedelta()
        self.destination_by_attempt: dict[str, Destination] = {}
        self.may_have_run = False
        self.tried_targets: set[str] = set()
        self.retry_at: timedelta | None = None
        self.last_refusal = Refusal(ErrorKind.NO_TARGET, "no target can serve it now")

    @property
    def attempt_id(self) -> str:
        """Return the request id of the latest message."""
        return f"{self.request_id}.{self.attempt}"

    @property
    def group(self) -> str:
        """Return the group that the request is for."""
        return self.request.group

    @property
    def is_read(self) -> bool:
        """Return whether the request is a read outside a transaction."""
        request = self.request
        return (
            isinstance(request, Statement)
            and request.read_only
            and request.transaction is None
        )

    @property
    def is_repeatable(self) -> bool:
        """Return whether the request may be sent again although it may have run.

        The database detects the repetition of a write by its idempotency key, and a
        transaction whose begin was not answered is rolled back when idle.
        """
        request = self.request
        if isinstance(request, Begin) or self.is_read:
            return True
        return (
            isinstance(request, Statement)
            and request.transaction is None
            and bool(request.idempotency_key)
        )

    @property
    def in_transaction(self) -> bool:
        """Return whether the request belongs to an open transaction."""
        return isinstance(self.request, End) or (
            isinstance(self.request, Statement) and self.request.transaction is not None
        )

    def access_refusal(
        self, configuration: ConfigurationView, now: timedelta
    ) -> Refusal | None:
        """Return why the rules no longer allow the request, or ``None`` if they do.

        A rollback is always allowed, because it only frees a connection.
        """
        request = self.request
        if isinstance(request, End) and not request.commit:
            return None
        group = configuration.check_access(
            self._key_digest, request.account, request.database, now
        )
        if isinstance(group, Refusal):
            return group
        if group == self._target_group:
            return None
        kind = ErrorKind.NO_TARGET
        if self.in_transaction:
            kind = ErrorKind.TRANSACTION_LOST
        return Refusal(kind, f"database {request.database!r} moved to another group")

    @property
    def _target_group(self) -> str:
        """Return the group of the targets that may get the request."""
        request = self.request
        if isinstance(request, Begin) or request.transaction is None:
            return request.group
        return request.transaction.group

    def message(self, incarnation: str, now: timedelta) -> Message:
        """Return the message of the current attempt to an incarnation of the owner."""
        request = self.request
        timeout_ms = max(1, milliseconds(self.deadline - now))
        if isinstance(request, Begin):
            return self._transaction_request(incarnation, "begin", "", timeout_ms)
        if isinstance(request, End):
            action = "commit" if request.commit else "rollback"
            handle = request.transaction.handle
            return self._transaction_request(incarnation, action, handle, timeout_ms)
        return StatementRequest(
            self.attempt_id,
            incarnation,
            request.account,
            request.database,
            self.target,
            request.sql,
            request.params,
            self.is_read,
            request.min_position if self.is_read else ORIGIN,
            milliseconds(request.max_age) if self.is_read else -1,
            timeout_ms,
            request.transaction.handle if request.transaction else "",
            request.idempotency_key,
        )

    def cancellations(self) -> list[Effect]:
        """Return the messages that cancel the attempts that may wait for a slot."""
        if not isinstance(self.request, Statement):
            return []
        return [
            SendMessage(route.owner, CancelStatement(attempt_id, route.target))
            for attempt_id, route in self.destination_by_attempt.items()
        ]

    def _transaction_request(
        self, incarnation: str, action: str, handle: str, timeout_ms: int
    ) -> TransactionRequest:
        request = self.request
        return TransactionRequest(
            self.attempt_id,
            incarnation,
            request.account,
            request.database,
            self.target,
            action,
            handle,
            timeout_ms,
        )

    def statement_outcome(self, answer: StatementAnswer) -> Outcome:
        """Return the outcome of a statement.

        Only a write outside a transaction has a write position; in a transaction, the
        commit has it.
        """
        wrote = not self.is_read and not self.in_transaction
        return Outcome(
            answer.columns,
            answer.rows,
            answer.row_count,
            self.group,
            answer.position if wrote else None,
            self.target,
            answer.role,
            None,
        )

    def transaction_outcome(self, answer: TransactionAnswer) -> Outcome:
        """Return the outcome of a begin, commit or rollback."""
        request = self.request
        committed = isinstance(request, End) and request.commit
        return Outcome(
            [],
            [],
            0,
            self.group,
            answer.position if committed else None,
            self.target,
            "primary",
            self._opened_transaction(answer) if isinstance(request, Begin) else None,
        )

    def _opened_transaction(self, answer: TransactionAnswer) -> TransactionRef:
        request = self.request
        return TransactionRef(
            request.account,
            request.database,
            request.group,
            self.target,
            self.owner,
            answer.transaction,
        )

    def failure_log_entries(self, refusal: Refusal) -> list[LogEntry]:
        """Return the log entry for a failure that the caller did not cause, if any."""
        is_server_fault = refusal.response.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if not is_server_fault and refusal.kind is not ErrorKind.TRANSACTION_LOST:
            return []
        fields = {
            "request_id": self.request_id,
            "group": self.group,
            "target": self.target,
            "owner": self.owner,
            "attempts": self.attempt,
            "kind": refusal.kind.value,
            "reason": refusal.message,
        }
        return [LogEntry("request_failed", fields)]
