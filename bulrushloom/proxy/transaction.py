"""A caller's transaction on one pinned connection."""

from datetime import timedelta

from bulrushloom.core.sentinels import Missing
from bulrushloom.platform import wire
from bulrushloom.proxy.attempts import AnswerLost, Attempt, NotOffered, Outcome
from bulrushloom.proxy.configuration import Consistency, Route, Target
from bulrushloom.proxy.connections import (
    ConnectionLost,
    ConnectionRejected,
    ServerConnection,
)
from bulrushloom.proxy.execution import BUSY_PAUSE, Runner
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
from bulrushloom.proxy.services import Services
from bulrushloom.runtime.loop import Steps

# A rollback takes a round trip; a server that does not answer it is left.
ROLLBACK_LIMIT = timedelta(milliseconds=500)
# How often a statement is sent again to a server whose queue was full.
MAX_BUSY_REPEATS = 10
_ZERO = timedelta()


class Transaction:
    """Run the statements of one transaction on the connection of the first one.

    The connection is taken when the first statement arrives. ``failure`` is set once
    the transaction cannot be committed any more; nothing of it is kept then.
    """

    def __init__(
        self,
        services: Services,
        runner: Runner,
        route: Route,
        account: str,
        is_read_only: bool,
        session_position: LogPosition | Missing,
    ):
        self._services = services
        self._loop = services.loop
        self._runner = runner
        self._route = route
        self._account = account
        self._is_read_only = is_read_only
        self._session_position = session_position
        self._connection: ServerConnection | None = None
        self.wrote = False
        self.failure: Failure | None = None

    def run(
        self, statement: Statement, prepared: PreparedStatement | None, writes: bool
    ) -> Steps:
        """Run one statement; return an ``Outcome``."""
        attempt = self._attempt(statement, prepared)
        if self._connection is None:
            begun = yield from self._begin(attempt)
            if not begun:
                return Outcome(self.failure, None)
        connection = self._connection
        assert connection is not None
        try:
            yield from self._runner.apply_session_state(connection, prepared)
        except NotOffered as error:
            return self._fail_with(f"the connection was lost: {error}")
        self.wrote = self.wrote or writes
        return (yield from self._send(attempt, connection))

    def _attempt(
        self, statement: Statement, prepared: PreparedStatement | None
    ) -> Attempt:
        return Attempt(
            statement,
            prepared,
            self._route,
            self._account,
            self._loop.now(),
            self._session_position,
        )

    def _send(self, attempt: Attempt, connection: ServerConnection) -> Steps:
        for repeats in range(1, MAX_BUSY_REPEATS + 1):
            try:
                answer = yield from self._runner.send(connection, attempt, None)
            except AnswerLost as error:
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
            yield self._runner.pause_after_refusals(repeats)
        assert answer.failure is not None
        return self._fail_with(f"{answer.failure.code.value}: {answer.failure.reason}")

    def _fail_with(self, reason: str) -> Outcome:
        self.fail(reason)
        return Outcome(self.failure, None)

    # Begin

    def _begin(self, attempt: Attempt) -> Steps:
        """Take a connection and begin; set ``failure`` and return ``False`` if not."""
        tried: list[str] = []
        refusals = 0
        last = "no target is in reach"
        while self._loop.now() < attempt.deadline:
            choice = self._choose(attempt, tried)
            if isinstance(choice, Missing):
                refusals += 1
                waited = yield from self._runner.wait_to_retry(attempt, tried, refusals)
                if not waited:
                    last = f"{choice.reason}; {last}"
                    break
                continue
            target, is_primary = choice
            tried.append(target.target_id)
            try:
                answer = yield from self._begin_at(attempt, target, is_primary)
            except NotOffered as error:
                last = str(error)
                self._runner.log_attempt(attempt, target, last)
                continue
            if answer.failure is None:
                return True
            last = f"{answer.failure.code.value}: {answer.failure.reason}"
        wait = self._services.expected_primary_wait(self._route.service)
        self.failure = Failure(AnswerCode.NOT_RUN, last, max(wait, BUSY_PAUSE))
        return False

    def _choose(
        self, attempt: Attempt, tried: list[str]
    ) -> tuple[Target, bool] | Missing:
        reads_anywhere = (
            self._is_read_only and self._route.consistency is not Consistency.PRIMARY
        )
        if reads_anywhere:
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

    def _begin_at(self, attempt: Attempt, target: Target, is_primary: bool) -> Steps:
        limit = max(attempt.offer_deadline - self._loop.now(), _ZERO)
        connection = yield from self._runner.connection(
            target, self._account, self._route.priority, limit
        )
        answer = None
        try:
            yield from self._runner.apply_session_state(connection, attempt.prepared)
            answer = yield from self._send_begin(attempt, connection, is_primary)
        finally:
            if answer is None or answer.failure is not None:
                self._services.pool.release(connection)
        if answer.failure is None:
            self._connection = connection
        return answer

    def _send_begin(
        self, attempt: Attempt, connection: ServerConnection, is_primary: bool
    ) -> Steps:
        target = connection.target
        after = None
        if not is_primary:
            after = self._runner.position_or_refusal(
                target, self._route, self._session_position
            )
        text = wire.BEGIN_READ if self._is_read_only else wire.BEGIN
        asked_at = self._loop.now()
        answering = connection.query(wire.PROXY_REQUEST_ID, text, after)
        health = self._services.router.health(target.target_id)
        limit = attempt.offer_deadline - asked_at
        try:
            answer = yield self._loop.wait_for(answering, max(limit, ROLLBACK_LIMIT))
        except (ConnectionLost, ConnectionRejected, TimeoutError) as error:
            connection.close("no answer to the begin")
            health.failed(self._loop.now())
            self._services.report_failure(target, str(error))
            raise NotOffered(target, str(error)) from error
        self._services.record_answer_position(target, answer, asked_at)
        self._note_begin(target, answer)
        return answer

    def _note_begin(self, target: Target, answer: ServerAnswer) -> None:
        if answer.failure is None:
            return
        now = self._loop.now()
        health = self._services.router.health(target.target_id)
        if answer.failure.code is AnswerCode.LAGGING:
            health.lagged(now)
        elif answer.failure.code is AnswerCode.READ_ONLY:
            self._services.report_failure(target, "the primary refuses transactions")
        else:
            health.was_busy(now)

    # End

    def commit(self, statement: Statement) -> Steps:
        """Commit; return an ``Outcome`` that is in doubt if nobody can tell."""
        attempt = self._attempt(statement, None)
        if self._connection is None:
            begun = yield from self._begin(attempt)
            if not begun:
                return Outcome(self.failure, None)
        connection = self._connection
        assert connection is not None
        with self._services.committing(self._route.service):
            outcome = yield from self._commit_on(connection, attempt)
        self._connection = None
        if connection.state is TransactionState.IDLE:
            self._services.pool.release(connection)
        else:
            self._leave(connection)
        return outcome

    def _commit_on(self, connection: ServerConnection, attempt: Attempt) -> Steps:
        for repeats in range(1, MAX_BUSY_REPEATS + 1):
            try:
                answer = yield from self._runner.send(connection, attempt, None)
            except AnswerLost as error:
                self._runner.log_attempt(attempt, connection.target, str(error))
                return Outcome(self._lost_commit(error), None)
            if answer.failure is None:
                if self.wrote:
                    self._services.record_acknowledged_commit(
                        self._route.service, answer.position
                    )
                return Outcome(None, answer)
            is_open = answer.state is TransactionState.OPEN
            if answer.failure.code is not AnswerCode.NOT_RUN or not is_open:
                break
            if self._loop.now() >= attempt.busy_retry_deadline:
                break
            yield self._runner.pause_after_refusals(repeats)
        return Outcome(self._failed_commit(answer), None)

    def _failed_commit(self, answer: ServerAnswer) -> Failure:
        assert answer.failure is not None
        reason = f"commit: {answer.failure.code.value}: {answer.failure.reason}"
        if answer.failure.code in NOT_RUN_CODES or not self.wrote:
            return Failure(AnswerCode.ABORTED, reason, BUSY_PAUSE)
        if answer.failure.code is AnswerCode.ABORTED:
            return Failure(AnswerCode.ABORTED, reason, BUSY_PAUSE)
        return Failure(AnswerCode.IN_DOUBT, reason)

    def _lost_commit(self, error: AnswerLost) -> Failure:
        if self.wrote:
            reason = f"the outcome of the commit is not known: {error}"
            return Failure(AnswerCode.IN_DOUBT, reason)
        reason = f"the commit of a transaction without writes got no answer: {error}"
        return Failure(AnswerCode.ABORTED, reason, BUSY_PAUSE)

    def fail(self, reason: str) -> None:
        """Give the transaction up; nothing of it is kept."""
        if self.failure is None:
            self.failure = Failure(AnswerCode.ABORTED, reason, BUSY_PAUSE)
        self.roll_back()

    def roll_back(self) -> None:
        """Roll back at the server and give the connection back."""
        connection, self._connection = self._connection, None
        if connection is not None:
            self._leave(connection)

    def abandon(self, reason: str) -> None:
        """Roll back because the caller has left."""
        self._services.log.write("transaction_abandoned", reason=reason)
        self.roll_back()

    def _leave(self, connection: ServerConnection) -> None:
        self._loop.spawn(self._roll_back_at(connection))

    def _roll_back_at(self, connection: ServerConnection) -> Steps:
        try:
            answering = connection.query(wire.PROXY_REQUEST_ID, wire.ROLLBACK)
            yield self._loop.wait_for(answering, ROLLBACK_LIMIT)
        except (ConnectionLost, ConnectionRejected, TimeoutError):
            # The server rolls back when the connection is closed.
            connection.close("no answer to the rollback")
        self._services.pool.release(connection)
