"""Routing of requests at the entry instance: target selection and retries."""

from collections.abc import Callable
from datetime import timedelta

from bulrushloom.coordination.base import (
    DecisionComponent,
    Effect,
    Message,
    SendMessage,
    next_idle_tick,
)
from bulrushloom.coordination.configuration.view import ConfigurationView
from bulrushloom.coordination.membership.base import InstanceTable
from bulrushloom.coordination.retries.base import RetryPolicy
from bulrushloom.coordination.routing.base import ReadPolicy, ReadRequirements
from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.instance.base import (
    Begin,
    Complete,
    Outcome,
    Statement,
    Submit,
)
from bulrushloom.instance.messages import (
    GroupView,
    StatementAnswer,
    StatementRequest,
    TransactionAnswer,
    TransactionRequest,
)
from bulrushloom.instance.pending import Destination, PendingRequest
from bulrushloom.instance.views import LAGGING_REFRESH_INTERVAL, GroupViewCache
from bulrushloom.peers.base import MessageUndelivered, PeerLost
from bulrushloom.rules.base import EMPTY_RULES, RuleSet

# A read without an answer is sent to another target after this time.
READ_ATTEMPT_TIMEOUT = timedelta(seconds=1)

# A request without a usable target is retried after this time.
RETRY_INTERVAL = timedelta(milliseconds=100)

# An idempotent write or a begin without an answer is sent again after this time.
WRITE_ATTEMPT_TIMEOUT = timedelta(seconds=2)

# Interval at which the access of a request that awaits an answer is checked. If it was
# lost, the owner is asked to cancel the statement, again after each interval because
# messages may be lost.
ACCESS_CHECK_INTERVAL = timedelta(milliseconds=500)

GetConfiguration = Callable[[], ConfigurationView]


class StatementRouter(DecisionComponent):
    """Send each request to the owner of a suitable target and return its answer.

    A request is sent again only if it certainly has not run or if repeating it is
    safe: it is a read, it begins a transaction, or it has an idempotency key, which
    the database records with the write.
    """

    def __init__(
        self,
        table: InstanceTable,
        views: GroupViewCache,
        read_policy: ReadPolicy,
        retries: RetryPolicy,
        get_configuration: GetConfiguration,
    ):
        self._table = table
        self._views = views
        self._read_policy = read_policy
        self._retries = retries
        self._get_configuration = get_configuration
        self._rules = EMPTY_RULES
        self._pending_by_id: dict[str, PendingRequest] = {}
        self._request_by_attempt: dict[str, str] = {}
        self._in_flight_by_target: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._pending_by_id)

    def update_rules(self, rules: RuleSet) -> None:
        """Set a new rules version."""
        self._rules = rules

    def handle(self, sender: str, message: Message, now: timedelta) -> list[Effect]:
        """Handle a submitted request, an answer or a delivery failure."""
        if isinstance(message, Submit):
            return self._handle_submit(message, now)
        if isinstance(message, StatementAnswer):
            return self._handle_statement_answer(sender, message, now)
        if isinstance(message, TransactionAnswer):
            return self._handle_transaction_answer(message, now)
        if isinstance(message, MessageUndelivered):
            return self._handle_undelivered(message, now)
        if isinstance(message, PeerLost):
            return self._handle_peer_lost(message, now)
        if isinstance(message, GroupView):
            return self._handle_view(message, now)
        raise TypeError(f"unsupported message {type(message).__name__}")

    def tick(self, now: timedelta) -> list[Effect]:
        """Expire requests at their deadline and retry those that are due."""
        effects: list[Effect] = []
        for pending in list(self._pending_by_id.values()):
            if now >= pending.deadline:
                effects += self._expire(pending)
            elif pending.retry_at is not None and now >= pending.retry_at:
                effects += self._start_attempt(pending, now)
            elif pending.sent_at is not None:
                effects += self._check_attempt(pending, now)
        return effects

    def next_tick(self, last: timedelta) -> timedelta:
        """Return when the next tick is due: immediately while a request is open."""
        return last if self._pending_by_id else next_idle_tick(last)

    def _handle_submit(self, submit: Submit, now: timedelta) -> list[Effect]:
        pending = PendingRequest(submit)
        self._pending_by_id[submit.request_id] = pending
        self._retries.record_request(now)
        return self._start_attempt(pending, now)

    def _start_attempt(self, pending: PendingRequest, now: timedelta) -> list[Effect]:
        """Send the request if the present rules still allow it.

        The rules may have changed since it arrived, or since its last attempt.
        """
        pending.retry_at = None
        refusal = pending.access_refusal(self._get_configuration(), now)
        if refusal is not None:
            return pending.cancellations() + self._complete(pending, refusal)
        request = pending.request
        if not isinstance(request, Begin) and request.transaction is not None:
            transaction = request.transaction
            return self._send(
                pending, Destination(transaction.target, transaction.owner), now
            )
        effects = self._views.refresh(pending.group, now)
        route = self._choose_route(pending, now)
        if route is None:
            self._views.invalidate(pending.group)
            return effects + self._schedule_retry(pending, now)
        if pending.is_read and route.target == self._views.primary(pending.group):
            effects += self._views.refresh(pending.group, now, LAGGING_REFRESH_INTERVAL)
        return effects + self._send(pending, route, now)

    def _choose_route(
        self, pending: PendingRequest, now: timedelta
    ) -> Destination | None:
        for target in self._candidate_targets(pending):
            if target in pending.tried_targets:
                continue
            rule = self._rules.target_by_name.get(target)
            if rule is None or rule.leaving:
                continue
            owner = self._table.reachable_owner(rule, now)
            if owner is not None:
                return Destination(target, owner)
        pending.tried_targets.clear()
        return None

    def _candidate_targets(self, pending: PendingRequest) -> list[str]:
        request = pending.request
        candidates = self._views.candidates(pending.group, self._in_flight_by_target)
        if pending.is_read and isinstance(request, Statement):
            need = ReadRequirements(
                self._table.local_entry.domain, request.min_position, request.max_age
            )
            return self._read_policy.order(candidates, need)
        return [candidate.target for candidate in candidates if candidate.is_primary]

    def _schedule_retry(self, pending: PendingRequest, now: timedelta) -> list[Effect]:
        pending.sent_at = None
        pending.retry_at = now + RETRY_INTERVAL
        return []

    def _send(
        self, pending: PendingRequest, route: Destination, now: timedelta
    ) -> list[Effect]:
        pending.attempt += 1
        pending.target = route.target
        pending.owner = route.owner
        pending.sent_at = now
        pending.access_check_at = now + ACCESS_CHECK_INTERVAL
        pending.destination_by_attempt[pending.attempt_id] = route
        self._request_by_attempt[pending.attempt_id] = pending.request_id
        self._count_in_flight(route.target, 1)
        message = pending.message(self._incarnation(route.owner), now)
        return [SendMessage(route.owner, message)]

    def _incarnation(self, owner: str) -> str:
        entry = self._table.instance_by_name.get(owner)
        return entry.incarnation if entry is not None else ""

    def _finish_attempt(self, attempt_id: str) -> PendingRequest | None:
        """End an attempt and return its request.

        The result is ``None`` if the request is no longer open or the attempt was ended
        before. Abandoning an attempt does not end it: a late answer to it still finds
        its request, once.
        """
        request_id = self._request_by_attempt.pop(attempt_id, None)
        if request_id is None:
            return None
        pending = self._pending_by_id.get(request_id)
        if pending is None:
            return None
        pending.destination_by_attempt.pop(attempt_id, None)
        if attempt_id == pending.attempt_id and pending.sent_at is not None:
            pending.sent_at = None
            self._count_in_flight(pending.target, -1)
        return pending

    def _handle_statement_answer(
        self, sender: str, answer: StatementAnswer, now: timedelta
    ) -> list[Effect]:
        pending = self._finish_attempt(answer.request_id)
        if pending is None:
            return []
        if not answer.error:
            return self._complete(pending, pending.statement_outcome(answer))
        refusal = Refusal(ErrorKind(answer.error), answer.error_message)
        return self._handle_refusal(pending, refusal, answer.retry_elsewhere, now)

    def _handle_refusal(
        self, pending: PendingRequest, refusal: Refusal, elsewhere: bool, now: timedelta
    ) -> list[Effect]:
        if pending.sent_at is not None:
            # A later attempt is in progress; its answer determines the result.
            return []
        if refusal.kind is ErrorKind.OUTCOME_UNKNOWN and pending.is_repeatable:
            pending.may_have_run = True
            self._views.invalidate(pending.group)
            return self._schedule_retry(pending, now)
        if elsewhere and pending.in_transaction:
            access_refusal = pending.access_refusal(self._get_configuration(), now)
            return self._complete(pending, access_refusal or refusal)
        if not elsewhere:
            return self._complete(pending, refusal)
        return self._retry_elsewhere(pending, refusal, now)

    def _retry_elsewhere(
        self, pending: PendingRequest, refusal: Refusal, now: timedelta
    ) -> list[Effect]:
        pending.last_refusal = refusal
        pending.tried_targets.add(pending.target)
        if not pending.is_read:
            # Either the view is out of date or the primary is being replaced.
            self._views.invalidate(pending.group)
            pending.tried_targets.clear()
            return self._schedule_retry(pending, now)
        if pending.attempt > 1 and not self._retries.acquire_retry(now):
            return self._schedule_retry(pending, now)
        return self._start_attempt(pending, now)

    def _handle_transaction_answer(
        self, answer: TransactionAnswer, now: timedelta
    ) -> list[Effect]:
        pending = self._finish_attempt(answer.request_id)
        if pending is None:
            return []
        if answer.error:
            refusal = Refusal(ErrorKind(answer.error), answer.error_message)
            return self._handle_refusal(
                pending, refusal, refusal.response.retryable, now
            )
        return self._complete(pending, pending.transaction_outcome(answer))

    def _handle_undelivered(
        self, message: MessageUndelivered, now: timedelta
    ) -> list[Effect]:
        request = message.message
        if not isinstance(request, StatementRequest | TransactionRequest):
            return []
        pending = self._finish_attempt(request.request_id)
        if pending is None or pending.sent_at is not None:
            return []
        refusal = Refusal(
            ErrorKind.NO_TARGET, f"owner of {pending.target} refused the connection"
        )
        if pending.in_transaction:
            return self._complete(pending, refusal)
        pending.last_refusal = refusal
        return self._start_attempt(pending, now)

    def _handle_peer_lost(self, lost: PeerLost, now: timedelta) -> list[Effect]:
        effects: list[Effect] = []
        for pending in list(self._pending_by_id.values()):
            if pending.sent_at is None or pending.owner != lost.peer:
                continue
            if pending.is_repeatable:
                effects += self._abandon_attempt(pending, now)
        return effects

    def _abandon_attempt(self, pending: PendingRequest, now: timedelta) -> list[Effect]:
        """Retry without waiting for the answer; only for repeatable requests."""
        pending.may_have_run = True
        self._count_in_flight(pending.target, -1)
        pending.sent_at = None
        if pending.is_read:
            pending.tried_targets.add(pending.target)
        else:
            self._views.invalidate(pending.group)
        if not self._retries.acquire_retry(now):
            return self._schedule_retry(pending, now)
        return self._start_attempt(pending, now)

    def _check_attempt(self, pending: PendingRequest, now: timedelta) -> list[Effect]:
        if pending.sent_at is None:
            return []
        timeout = READ_ATTEMPT_TIMEOUT if pending.is_read else WRITE_ATTEMPT_TIMEOUT
        if pending.is_repeatable and now - pending.sent_at >= timeout:
            return self._abandon_attempt(pending, now)
        if now < pending.access_check_at:
            return []
        pending.access_check_at = now + ACCESS_CHECK_INTERVAL
        refusal = pending.access_refusal(self._get_configuration(), now)
        return [] if refusal is None else pending.cancellations()

    def _expire(self, pending: PendingRequest) -> list[Effect]:
        if pending.sent_at is not None:
            self._count_in_flight(pending.target, -1)
            pending.may_have_run = True
        return self._complete(pending, pending.last_refusal)

    def _complete(
        self, pending: PendingRequest, result: Outcome | Refusal
    ) -> list[Effect]:
        del self._pending_by_id[pending.request_id]
        if isinstance(result, Refusal) and pending.may_have_run:
            # An earlier attempt may have run, regardless of the last refusal.
            result = Refusal(
                ErrorKind.OUTCOME_UNKNOWN,
                f"no answer from {pending.target}; the statement may have run",
            )
        for attempt in range(1, pending.attempt + 1):
            self._request_by_attempt.pop(f"{pending.request_id}.{attempt}", None)
        effects: list[Effect] = [Complete(pending.request_id, result)]
        if isinstance(result, Refusal):
            effects += pending.failure_log_entries(result)
        return effects

    def _handle_view(self, view: GroupView, now: timedelta) -> list[Effect]:
        if not self._views.update(view, now):
            return []
        effects: list[Effect] = []
        for pending in list(self._pending_by_id.values()):
            if pending.retry_at is not None and pending.group == view.group:
                effects += self._start_attempt(pending, now)
        return effects

    def _count_in_flight(self, target: str, change: int) -> None:
        total = self._in_flight_by_target.get(target, 0) + change
        self._in_flight_by_target[target] = max(0, total)
