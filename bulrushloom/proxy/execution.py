"""Execution of single statements: choice of the target, hedged reads and retries."""

from concurrent.futures import Future
from datetime import timedelta

from bulrushloom.coordination.retries.backoff import Backoff
from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.admission import Admission
from bulrushloom.proxy.attempts import (
    AnswerLost,
    Attempt,
    HedgedRead,
    NotOffered,
    Outcome,
    PermitEnded,
)
from bulrushloom.proxy.configuration import Consistency, Route, Target
from bulrushloom.proxy.dispatch import COMMIT_TOO_LATE, Dispatcher
from bulrushloom.proxy.failover.groups import ALL_EVACUATED
from bulrushloom.proxy.messages import (
    AnswerCode,
    Failure,
    LogPosition,
    ServerAnswer,
)
from bulrushloom.proxy.routing import Candidate
from bulrushloom.proxy.services import Services
from bulrushloom.runtime.loop import Steps

# A read without an answer is also sent to another target after this fraction of the
# route's latency objective.
HEDGE_DELAY_FRACTION = 0.5
# Limits of the delay before a target whose queue was full is retried. A queue of 16
# statements drains in about BUSY_RETRY_DELAY. The backoff is random, so that many
# instances do not retry at the same time.
BUSY_RETRY_DELAY = timedelta(milliseconds=15)
MAX_BUSY_RETRY_DELAY = timedelta(milliseconds=150)
# Interval at which statements that wait for a primary check whether there is one.
# Normally the announcement of the primary wakes them earlier.
PRIMARY_CHECK_INTERVAL = timedelta(milliseconds=100)
MAX_READ_ATTEMPTS = 8
# Refusals after which a single write is retried, at the same or at a new primary.
RETRYABLE_WRITE_CODES = frozenset(
    {
        AnswerCode.NOT_RUN,
        AnswerCode.READ_ONLY,
        AnswerCode.LAGGING,
        AnswerCode.UNKNOWN_STATEMENT,
    }
)
_ZERO = timedelta()


class StatementRunner(Dispatcher):
    """Runner of one session's statements: chooses targets, hedges reads and retries.

    Both ``read`` and ``write`` raise ``PermitEnded`` if the configuration no longer
    permits the statement; a write has not run then.
    """

    def __init__(
        self, services: Services, admission: Admission, values: dict[bytes, bytes]
    ):
        super().__init__(services, admission, values)
        self._backoff = Backoff(
            services.random, BUSY_RETRY_DELAY * 2, MAX_BUSY_RETRY_DELAY
        )

    def backoff_after_refusals(self, count: int) -> "Future[None]":
        """Return a future that is done when busy targets may be retried."""
        return self._loop.sleep(self._backoff.delay(count))

    # Reads

    def read(self, attempt: Attempt) -> Steps:
        """Run a read on a target that its consistency allows; return an ``Outcome``."""
        self._services.retry_budget.record_first_attempt(self._loop.now())
        hedged_read = HedgedRead()
        try:
            return (yield from self._read_with_hedging(attempt, hedged_read))
        finally:
            hedged_read.is_finished = True

    def _read_with_hedging(self, attempt: Attempt, hedged_read: HedgedRead) -> Steps:
        """Send the read to one target, and to further ones while no answer arrives."""
        tried: list[str] = []
        running: list[Future[ServerAnswer]] = []
        last_reason = "no target is in reach"
        service = attempt.route.service
        hedge_after = attempt.route.latency_objective * HEDGE_DELAY_FRACTION
        sent_count = 0
        refusals = 0
        too_late: NotOffered | None = None
        may_be_late = attempt.route.consistency is Consistency.PRIMARY
        while sent_count < MAX_READ_ATTEMPTS and self._loop.now() < attempt.deadline:
            choice = self.choose_read(attempt, tried)
            if isinstance(choice, Missing):
                if not running and too_late is not None and not may_be_late:
                    # All targets would be late, so the read waits at one of them.
                    may_be_late, too_late = True, None
                    tried.clear()
                    continue
                if not running and too_late is not None:
                    return _too_late(too_late)
                if not running:
                    refusals += 1
                    should_retry = yield from self.wait_to_retry(
                        attempt, tried, refusals
                    )
                    if not should_retry:
                        return self._refused(
                            f"{choice.reason}; last: {last_reason}", service
                        )
                    continue
                # Every eligible target has received the read, so each may get it again.
                tried.clear()
            elif not running or self._may_hedge(attempt):
                tried.append(choice.target.target_id)
                steps = self._read_once(attempt, choice, hedged_read, may_be_late)
                running.append(self._loop.spawn_unreported(steps))
                sent_count += 1
            time_left = max(attempt.deadline - self._loop.now(), _ZERO)
            timer = self._loop.sleep(min(hedge_after, time_left))
            yield self._loop.first_of([*running, timer])
            if timer.done():
                # Under load every target is slow, and more copies add to the load.
                hedge_after *= 2
            ended: PermitEnded | None = None
            for future in [f for f in running if f.done()]:
                running.remove(future)
                error = future.exception()
                if isinstance(error, PermitEnded):
                    ended = error
                    continue
                sent_count -= isinstance(error, NotOffered)
                if isinstance(error, NotOffered) and error.is_too_late:
                    too_late = _first_to_retry(too_late, error)
                outcome, last_reason = self._read_outcome(attempt, future)
                if outcome is not None:
                    return outcome
            if ended is not None:
                raise ended
        for future in running:
            remaining = max(attempt.deadline - self._loop.now(), _ZERO)
            yield self._loop.first_of([future, self._loop.sleep(remaining)])
            if future.done():
                outcome, last_reason = self._read_outcome(attempt, future)
                if outcome is not None:
                    return outcome
        return self._refused(f"the last of {len(tried)} tries: {last_reason}", service)

    def _read_outcome(
        self, attempt: Attempt, future: "Future[ServerAnswer]"
    ) -> tuple[Outcome | None, str]:
        """Return the outcome, or ``None`` and the reason if a retry may succeed."""
        error = future.exception()
        if error is not None:
            if not isinstance(error, NotOffered | AnswerLost):
                raise error
            self.log_attempt(attempt, error.target, str(error))
            return None, str(error)
        answer = future.result()
        if answer.failure is None:
            return Outcome(None, answer), ""
        if answer.failure.code is AnswerCode.BAD_REQUEST:
            return Outcome(answer.failure, None), ""
        return None, f"{answer.failure.code.value}: {answer.failure.reason}"

    def _read_once(
        self,
        attempt: Attempt,
        choice: Candidate,
        hedged_read: HedgedRead,
        may_be_late: bool,
    ) -> Steps:
        """Send one copy of the read to the chosen target; return the answer.

        Raise ``NotOffered``, ``PermitEnded`` or ``AnswerLost``.
        """
        connection = yield from self.acquire_connection(
            choice.target, attempt, may_be_late
        )
        try:
            yield from self.apply_session_state(connection, attempt.prepared)
            if hedged_read.is_finished:
                # The session has continued and may have changed its values, so the
                # connection must not run this copy of the read.
                raise NotOffered(choice.target, "another target has answered")
            self.require_no_evacuation(connection)
            after = None
            if choice.is_primary:
                self.require_primary(choice.target)
            else:
                after = self.require_position(
                    choice.target, attempt.route, attempt.session_position
                )
            connection.expect_release()
            answer = yield from self.send(connection, attempt, after)
        finally:
            self._services.release(connection)
        return answer

    def choose_read(self, attempt: Attempt, tried: list[str]) -> Candidate | Missing:
        """Return a target for a read that is not in ``tried``, or why there is none."""
        services, route = self._services, attempt.route
        if services.table.is_evacuated(route.service):
            return Missing(ALL_EVACUATED)
        if route.consistency is Consistency.PRIMARY:
            primary = services.primary(route.service)
            if isinstance(primary, Missing):
                return primary
            if tried.count(primary.target_id) >= 2:
                return Missing("the primary did not serve the read")
            return Candidate(primary, True, 0, True)
        required = self.required_position(route, attempt.session_position)
        candidates = [
            candidate
            for candidate in services.candidates(route.service, attempt.account)
            if candidate.target.target_id not in tried
        ]
        account = attempt.account if services.shares(route.service) else None
        return services.router.choose(candidates, required, self._loop.now(), account)

    def required_position(
        self, route: Route, session_position: LogPosition | Missing
    ) -> LogPosition | Missing:
        """Return the position that a replica must have applied for a read."""
        now = self._loop.now()
        history = self._services.history(route.service)
        bound = history.position_for(now, route.max_staleness)
        if isinstance(bound, Missing) or isinstance(session_position, Missing):
            return bound
        if route.consistency is Consistency.READ_YOUR_WRITES:
            return max(bound, session_position)
        return bound

    def require_position(
        self, target: Target, route: Route, session_position: LogPosition | Missing
    ) -> LogPosition:
        """Return the ``required_position``; raise ``NotOffered`` if it is unknown."""
        position = self.required_position(route, session_position)
        if isinstance(position, Missing):
            raise NotOffered(target, position.reason)
        return position

    def wait_to_retry(self, attempt: Attempt, tried: list[str], refusals: int) -> Steps:
        """Wait before a retry; return whether the retry can succeed in time.

        ``tried`` holds the targets that refused, and is cleared. If it is empty or the
        primary is not available, waits for a new primary; otherwise waits until busy
        targets may have a free slot. ``refusals`` determines the backoff.
        """
        primary_wait = self._services.expected_primary_wait(attempt.route.service)
        were_busy = bool(tried) and primary_wait <= _ZERO
        tried.clear()
        if not were_busy:
            return (yield from self.wait_for_primary(attempt))
        if self._loop.now() >= attempt.busy_retry_deadline:
            return False
        if not self._may_retry(attempt):
            return False
        yield self.backoff_after_refusals(refusals)
        return True

    def _may_retry(self, attempt: Attempt) -> bool:
        """Return whether the retry budget of shared targets allows a retry."""
        services, route = self._services, attempt.route
        return not services.shares(route.service) or services.retry_budget.take_retry(
            route.priority, self._loop.now()
        )

    def _may_hedge(self, attempt: Attempt) -> bool:
        """Return whether the retry budget of shared targets allows a further copy."""
        services = self._services
        return not services.shares(attempt.route.service) or (
            services.retry_budget.take_hedged_read(self._loop.now())
        )

    def wait_for_primary(self, attempt: Attempt) -> Steps:
        """Wait for a new primary, at most ``PRIMARY_CHECK_INTERVAL``.

        Return whether a primary can be ready before the deadline of the statement.
        Raise ``PermitEnded`` if it may not be sent any more.
        """
        services, now = self._services, self._loop.now()
        if services.table.is_evacuated(attempt.route.service):
            # The end of an evacuation cannot be foreseen.
            return False
        remaining = attempt.deadline - now
        if services.expected_primary_wait(attempt.route.service) > remaining:
            return False
        changed = services.next_primary_change(attempt.route.service)
        delay = min(PRIMARY_CHECK_INTERVAL, max(remaining, _ZERO))
        yield self._loop.first_of([changed, self._loop.sleep(delay)])
        self.require_permit(attempt)
        return self._loop.now() < attempt.deadline

    # Writes

    def write(self, attempt: Attempt) -> Steps:
        """Run a single write at the primary; return an ``Outcome``."""
        last_reason = ""
        refusals = 0
        services = self._services
        services.retry_budget.record_first_attempt(self._loop.now())
        service = attempt.route.service
        while self._loop.now() < attempt.deadline:
            primary = services.primary(service)
            if isinstance(primary, Missing):
                should_retry = yield from self.wait_for_primary(attempt)
                if not should_retry:
                    return self._refused(f"{primary.reason}; {last_reason}", service)
                continue
            try:
                with services.commits.pending(primary) as cutoff:
                    answer = yield from self._write_once(attempt, primary, cutoff)
                    self._require_acknowledgement(primary, answer, cutoff)
            except NotOffered as error:
                last_reason = str(error)
                self.log_attempt(attempt, primary, last_reason)
                if error.is_too_late:
                    return _too_late(error)
                yield self._loop.sleep(error.retry_delay)
            except AnswerLost as error:
                self.log_attempt(attempt, primary, str(error))
                reason = f"the outcome of the write is not known: {error}"
                return Outcome(Failure(error.code, reason), None)
            else:
                if answer.failure is None:
                    return Outcome(None, answer)
                last_reason = f"{answer.failure.code.value}: {answer.failure.reason}"
                if answer.failure.code not in RETRYABLE_WRITE_CODES:
                    return Outcome(answer.failure, None)
                if answer.failure.code is AnswerCode.READ_ONLY:
                    services.report_failure(primary, "the primary refuses writes")
            refusals += 1
            tried = [primary.target_id]
            should_retry = yield from self.wait_to_retry(attempt, tried, refusals)
            if not should_retry:
                break
        return self._refused(last_reason, service)

    def _require_acknowledgement(
        self, primary: Target, answer: ServerAnswer, cutoff: "Future[None]"
    ) -> None:
        """Raise ``AnswerLost`` if a commit was answered too late to be acknowledged."""
        if answer.failure is None and not self._services.acknowledge_commit(
            primary, answer.position, cutoff
        ):
            raise AnswerLost(primary, AnswerCode.IN_DOUBT, COMMIT_TOO_LATE)

    def _write_once(
        self, attempt: Attempt, primary: Target, cutoff: "Future[None]"
    ) -> Steps:
        connection = yield from self.acquire_connection(primary, attempt)
        try:
            yield from self.apply_session_state(connection, attempt.prepared)
            self.require_primary(primary)
            connection.expect_release()
            answer = yield from self.send(connection, attempt, None, cutoff)
        finally:
            self._services.release(connection)
        return answer

    def _refused(self, reason: str, service: str) -> Outcome:
        retry_after = max(
            PRIMARY_CHECK_INTERVAL, self._services.expected_primary_wait(service)
        )
        return Outcome(Failure(AnswerCode.NOT_RUN, reason, retry_after), None)


def _first_to_retry(known: NotOffered | None, refusal: NotOffered) -> NotOffered:
    """Return the refusal with the earlier time to return."""
    if known is None or refusal.retry_delay < known.retry_delay:
        return refusal
    return known


def _too_late(refusal: NotOffered) -> Outcome:
    """Return the refusal of a statement that no target can run in time."""
    return Outcome(Failure(AnswerCode.NOT_RUN, str(refusal), refusal.retry_delay), None)
