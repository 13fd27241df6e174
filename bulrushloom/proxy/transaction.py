"""Client transaction on one pinned server connection."""

from concurrent.futures import Future
from datetime import timedelta

from bulrushloom.core.sentinels import Missing
from bulrushloom.platform import wire
from bulrushloom.proxy.admission import Permit
from bulrushloom.proxy.attempts import AnswerLost, Attempt, NotOffered, Outcome
from bulrushloom.proxy.base import TargetConnection
from bulrushloom.proxy.configuration import Consistency, Target
from bulrushloom.proxy.connections import ConnectionLost, ConnectionRejected
from bulrushloom.proxy.dispatch import COMMIT_TOO_LATE, PRIMARY_REPLACED
from bulrushloom.proxy.execution import BUSY_RETRY_DELAY, StatementRunner
from bulrushloom.proxy.messages import (
    NOT_RUN_CODES,
    AnswerCode,
    Failure,
    LogPosition,
    PreparedStatement,
    ServerAnswer,
    Statement,
    TransactionState,
)
from bulrushloom.proxy.services import OUTDATED_LIST, Services
from bulrushloom.runtime.loop import Steps

# A rollback takes one round trip. The connection is closed if the server does not
# confirm it in this time. A begin has at least this time as well.
ROLLBACK_TIMEOUT = timedelta(milliseconds=500)
# Attempts to run one statement while the queue of the server is full.
MAX_BUSY_RETRIES = 10
_ZERO = timedelta()


class Transaction:
    """Client transaction, whose statements all run on one server connection.

    The connection is acquired for the first statement, or for the commit of a
    transaction without statements. ``failure`` is set once the
    transaction can no longer be committed; none of its writes takes effect then.
    """

    def __init__(
        self,
        services: Services,
        runner: StatementRunner,
        permit: Permit,
        is_read_only: bool,
        session_position: LogPosition | Missing,
    ):
        self._services = services
        self._loop = services.loop
        self._runner = runner
        self.permit = permit
        self._route = permit.route
        self._is_read_only = is_read_only
        self._session_position = session_position
        self._connection: TargetConnection | None = None
        self.wrote = False
        self.failure: Failure | None = None

    def run(
        self, statement: Statement, prepared: PreparedStatement | None, writes: bool
    ) -> Steps:
        """Run one statement; return an ``Outcome``, or raise ``PermitEnded``."""
        attempt = self._attempt(statement, prepared)
        if self._connection is None:
            begun = yield from self._begin(attempt)
            if not begun:
                return Outcome(self.failure, None)
        connection = self._connection
        assert connection is not None
        reason = self.evacuation_reason()
        if reason:
            return self._fail_with(reason)
        try:
            yield from self._runner.apply_session_state(connection, prepared)
        except NotOffered as error:
            return self._fail_with(f"the connection was lost: {error}")
        self.wrote = self.wrote or writes
        return (yield from self._send(attempt, connection))

    def evacuation_reason(self) -> str:
        """Return why the transaction may send nothing more, or an empty string.

        That is so some time after the evacuation of the domain of its target.
        """
        if self._connection is None:
            return ""
        if self._services.has_outdated_list():
            return OUTDATED_LIST
        target, evacuations = self._connection.target, self._services.table.evacuations
        if not evacuations.has_ended_grace(target, self._loop.now()):
            return ""
        return evacuations.reason(target)

    def _reason_to_end(self, connection: TargetConnection) -> str:
        """Return why nothing more may be sent on the connection, or an empty string.

        Commits of a primary that is being replaced might be missing at its successor.
        """
        has_writes = self.wrote and not self._is_read_only
        if has_writes and not self._services.is_recorded_primary(connection.target):
            return PRIMARY_REPLACED
        return self.evacuation_reason()

    def _attempt(
        self, statement: Statement, prepared: PreparedStatement | None
    ) -> Attempt:
        return Attempt(
            statement,
            prepared,
            self.permit,
            self._loop.now(),
            self._session_position,
        )

    def _send(self, attempt: Attempt, connection: TargetConnection) -> Steps:
        """Send a statement, again while the server is busy; return an ``Outcome``.

        Any other failure makes the transaction fail.
        """
        for retries in range(1, MAX_BUSY_RETRIES + 1):
            reason = self._reason_to_end(connection)
            if reason:
                return self._fail_with(reason)
            try:
                answer = yield from self._runner.send(connection, attempt, None)
            except (AnswerLost, NotOffered) as error:
                self._runner.log_attempt(attempt, connection.target, str(error))
                return self._fail_with(f"a statement got no answer: {error}")
            if answer.failure is None:
                return Outcome(None, answer)
            still_open = answer.state is TransactionState.OPEN
            is_busy = answer.failure.code is AnswerCode.NOT_RUN
            if not (is_busy and still_open):
                break
            if self._loop.now() >= attempt.busy_retry_deadline:
                break
            yield self._runner.backoff_after_refusals(retries)
        assert answer.failure is not None
        return self._fail_with(f"{answer.failure.code.value}: {answer.failure.reason}")

    def _fail_with(self, reason: str) -> Outcome:
        self.fail(reason)
        return Outcome(self.failure, None)

    # Begin

    def _begin(self, attempt: Attempt) -> Steps:
        """Begin the transaction on a target; return whether that succeeded.

        Sets ``failure`` if it did not.
        """
        tried: list[str] = []
        refusals = 0
        last_reason = "no target is in reach"
        retry_after: timedelta | None = None
        may_be_late = not self._may_use_replica
        while self._loop.now() < attempt.deadline:
            choice = self._choose(attempt, tried)
            if isinstance(choice, Missing):
                if retry_after is not None and not may_be_late:
                    # All targets would be late, so it waits at one of them.
                    may_be_late, retry_after = True, None
                    tried.clear()
                    continue
                if retry_after is not None:
                    break
                refusals += 1
                should_retry = yield from self._runner.wait_to_retry(
                    attempt, tried, refusals
                )
                if not should_retry:
                    last_reason = f"{choice.reason}; {last_reason}"
                    break
                continue
            target, is_primary = choice
            tried.append(target.target_id)
            try:
                answer = yield from self._begin_on_target(
                    attempt, target, is_primary, may_be_late
                )
            except NotOffered as error:
                last_reason = str(error)
                self._runner.log_attempt(attempt, target, last_reason)
                if error.is_too_late:
                    delay = error.retry_delay
                    retry_after = min(retry_after or delay, delay)
                continue
            if answer.failure is None:
                return True
            last_reason = f"{answer.failure.code.value}: {answer.failure.reason}"
        wait = self._services.expected_primary_wait(self._route.service)
        self.failure = Failure(
            AnswerCode.NOT_RUN, last_reason, retry_after or max(wait, BUSY_RETRY_DELAY)
        )
        return False

    @property
    def _may_use_replica(self) -> bool:
        return self._is_read_only and self._route.consistency is not Consistency.PRIMARY

    def _choose(
        self, attempt: Attempt, tried: list[str]
    ) -> tuple[Target, bool] | Missing:
        if self._may_use_replica:
            choice = self._runner.choose_read(attempt, tried)
            if isinstance(choice, Missing):
                return choice
            return choice.target, choice.is_primary
        primary = self._services.primary(self._route.service)
        if isinstance(primary, Missing):
            return primary
        if primary.target_id in tried:
            return Missing("the primary did not begin the transaction")
        return primary, True

    def _begin_on_target(
        self, attempt: Attempt, target: Target, is_primary: bool, may_be_late: bool
    ) -> Steps:
        connection = yield from self._runner.acquire_connection(
            target, attempt, may_be_late
        )
        answer = None
        try:
            yield from self._runner.apply_session_state(connection, attempt.prepared)
            self._runner.require_no_evacuation(connection)
            if is_primary:
                self._runner.require_primary(target)
            answer = yield from self._send_begin(attempt, connection, is_primary)
        finally:
            if answer is None or answer.failure is not None:
                self._services.release(connection)
        if answer.failure is None:
            self._connection = connection
        return answer

    def _send_begin(
        self, attempt: Attempt, connection: TargetConnection, is_primary: bool
    ) -> Steps:
        target = connection.target
        after = None
        if not is_primary:
            after = self._runner.require_position(
                target, self._route, self._session_position
            )
        self._runner.require_permit(attempt, target)
        text = wire.BEGIN_READ if self._is_read_only else wire.BEGIN
        sent_at = self._loop.now()
        answer_future = connection.query(wire.PROXY_REQUEST_ID, text, after)
        health = self._services.router.health(target.target_id)
        timeout = attempt.dispatch_deadline - sent_at
        try:
            answer = yield self._loop.wait_for(
                answer_future, max(timeout, ROLLBACK_TIMEOUT)
            )
        except (ConnectionLost, ConnectionRejected, TimeoutError) as error:
            is_at_owner = isinstance(error, ConnectionLost) and error.is_at_owner
            if connection.is_path_working and not is_at_owner:
                health.record_failure(self._loop.now())
                self._services.report_failure(target, str(error))
            connection.close("no answer to the begin")
            raise NotOffered(target, str(error)) from error
        self._services.record_answer_position(target, answer, sent_at)
        self._record_begin_failure(target, answer)
        return answer

    def _record_begin_failure(self, target: Target, answer: ServerAnswer) -> None:
        if answer.failure is None:
            return
        now = self._loop.now()
        health = self._services.router.health(target.target_id)
        if answer.failure.code is AnswerCode.LAGGING:
            health.record_lag(now)
        elif answer.failure.code is AnswerCode.READ_ONLY:
            self._services.report_failure(target, "the primary refuses transactions")
        else:
            health.record_busy(now)

    # End

    def commit(self, statement: Statement) -> Steps:
        """Commit; the outcome has the code ``IN_DOUBT`` if the result is unknown.

        Raise ``PermitEnded`` if the commit was not sent, or was refused as not run.
        """
        attempt = self._attempt(statement, None)
        if self._connection is None:
            begun = yield from self._begin(attempt)
            if not begun:
                return Outcome(self.failure, None)
        connection = self._connection
        assert connection is not None
        with self._services.commits.pending(connection.target) as cutoff:
            outcome = yield from self._commit_on(connection, attempt, cutoff)
        self._connection = None
        if connection.state is TransactionState.IDLE:
            self._services.release(connection)
        else:
            self._roll_back_in_background(connection)
        return outcome

    def _commit_on(
        self, connection: TargetConnection, attempt: Attempt, cutoff: "Future[None]"
    ) -> Steps:
        """Send the commit, again while the server is busy; return an ``Outcome``."""
        for retries in range(1, MAX_BUSY_RETRIES + 1):
            reason = self._reason_to_end(connection)
            if reason:
                reason = f"commit: {reason}"
                self._runner.log_attempt(attempt, connection.target, reason)
                return Outcome(self._replaced_primary_failure(reason), None)
            try:
                answer = yield from self._runner.send(
                    connection, attempt, None, cutoff if self.wrote else None
                )
            except AnswerLost as error:
                self._runner.log_attempt(attempt, connection.target, str(error))
                return Outcome(self._unanswered_commit_failure(str(error)), None)
            except NotOffered as error:
                self._runner.log_attempt(attempt, connection.target, str(error))
                reason = f"the commit was not sent: {error}"
                failure = Failure(AnswerCode.ABORTED, reason, BUSY_RETRY_DELAY)
                return Outcome(failure, None)
            if answer.failure is None:
                if self.wrote and not self._services.acknowledge_commit(
                    connection.target, answer.position, cutoff
                ):
                    failure = self._unanswered_commit_failure(COMMIT_TOO_LATE)
                    return Outcome(failure, None)
                return Outcome(None, answer)
            is_open = answer.state is TransactionState.OPEN
            if answer.failure.code is not AnswerCode.NOT_RUN or not is_open:
                break
            if self._loop.now() >= attempt.busy_retry_deadline:
                break
            yield self._runner.backoff_after_refusals(retries)
        return Outcome(self._refused_commit_failure(answer), None)

    def _replaced_primary_failure(self, reason: str) -> Failure:
        """Return the failure of a commit that was not sent to a replaced primary."""
        wait = self._services.expected_primary_wait(self._route.service)
        return Failure(AnswerCode.ABORTED, reason, max(wait, BUSY_RETRY_DELAY))

    def _refused_commit_failure(self, answer: ServerAnswer) -> Failure:
        """Return the failure of a commit that the server answered with a failure.

        The outcome is in doubt only if the transaction wrote and the code does not
        state that the commit had no effect.
        """
        assert answer.failure is not None
        reason = f"commit: {answer.failure.code.value}: {answer.failure.reason}"
        if answer.failure.code in NOT_RUN_CODES or not self.wrote:
            return Failure(AnswerCode.ABORTED, reason, BUSY_RETRY_DELAY)
        if answer.failure.code is AnswerCode.ABORTED:
            return Failure(AnswerCode.ABORTED, reason, BUSY_RETRY_DELAY)
        return Failure(AnswerCode.IN_DOUBT, reason)

    def _unanswered_commit_failure(self, cause: str) -> Failure:
        if self.wrote:
            reason = f"the outcome of the commit is not known: {cause}"
            return Failure(AnswerCode.IN_DOUBT, reason)
        reason = f"the commit of a transaction without writes got no answer: {cause}"
        return Failure(AnswerCode.ABORTED, reason, BUSY_RETRY_DELAY)

    def fail(self, reason: str) -> None:
        """Mark the transaction as failed and roll it back."""
        if self.failure is None:
            self.failure = Failure(AnswerCode.ABORTED, reason, BUSY_RETRY_DELAY)
        self.roll_back()

    def roll_back(self) -> None:
        """Roll back at the server and release the connection."""
        connection, self._connection = self._connection, None
        if connection is not None:
            self._roll_back_in_background(connection)

    def abandon(self, reason: str) -> None:
        """Roll back because the client has disconnected."""
        self._services.log.write("transaction_abandoned", reason=reason)
        self.roll_back()

    def _roll_back_in_background(self, connection: TargetConnection) -> None:
        self._loop.spawn(self._roll_back_on(connection))

    def _roll_back_on(self, connection: TargetConnection) -> Steps:
        reason = self._services.evacuation_reason(connection.target)
        if reason:
            # Nothing more is sent there; the server rolls back when it is closed.
            self._services.metrics.count("transactions_ended_by_evacuation")
            connection.close(reason)
            self._services.release(connection)
            return
        try:
            answer_future = connection.query(wire.PROXY_REQUEST_ID, wire.ROLLBACK)
            yield self._loop.wait_for(answer_future, ROLLBACK_TIMEOUT)
        except (ConnectionLost, ConnectionRejected, TimeoutError):
            # Closing the connection makes the server roll back.
            connection.close("no answer to the rollback")
        self._services.release(connection)
