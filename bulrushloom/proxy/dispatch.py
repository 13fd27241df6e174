"""Sending of single statements to servers.

Before a statement is sent, the connection gets the values and the prepared statement
of the client session that it is used for.
"""

from concurrent.futures import Future
from datetime import timedelta

import xxhash

from bulrushloom.core.sentinels import Missing
from bulrushloom.platform import wire
from bulrushloom.proxy.admission import Admission
from bulrushloom.proxy.attempts import AnswerLost, Attempt, NotOffered, PermitEnded
from bulrushloom.proxy.base import (
    LeaseRefused,
    NoOwnerAnswers,
    RefusalKind,
    SharedConnections,
    TargetConnection,
)
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.connections import ConnectionLost, ConnectionRejected
from bulrushloom.proxy.messages import (
    AnswerCode,
    LogPosition,
    PreparedStatement,
    ServerAnswer,
    Statement,
    StatementKind,
    TransactionState,
)
from bulrushloom.proxy.services import Services
from bulrushloom.runtime.loop import Steps

# Delay before a target that rejected a connection or does not answer is retried.
REJECTED_RETRY_DELAY = timedelta(milliseconds=15)
# Delay before a cold target is tried again whose owner does not answer.
COLD_RETRY_DELAY = timedelta(milliseconds=100)
# Timeout for the server to confirm session values and prepared statements, which takes
# a few round trips.
SESSION_STATE_TIMEOUT = timedelta(milliseconds=500)
# A connection with more prepared statements is reset, which drops them all.
MAX_PREPARED_STATEMENTS = 200
# Larger statements use direct connections. On a shared one, they would delay the
# statements of all other sessions that lease from the same owner.
MAX_SHARED_STATEMENT_BYTES = 64 * 1024
PRIMARY_REPLACED = "the server is no longer the primary"
COMMIT_TOO_LATE = "the primary was replaced before the commit was answered"
_ZERO = timedelta()


class Dispatcher:
    """Sender of the statements of one session.

    ``admission`` decides what the session may send. ``values`` holds the session
    values, which the client sets with ``SET``.
    """

    def __init__(
        self, services: Services, admission: Admission, values: dict[bytes, bytes]
    ):
        self._services = services
        self._loop = services.loop
        self._admission = admission
        self._values = values

    def acquire_connection(
        self, target: Target, attempt: Attempt, may_be_late: bool = True
    ) -> Steps:
        """Return a connection for the account of an attempt.

        Waits for the attempt's ``lease_wait_limits`` for a shared connection, and until
        its ``dispatch_deadline`` for another one. Prefers one that has the session
        values already. Raise ``NotOffered``.
        """
        services, account = self._services, attempt.account
        sharing = services.shared(target)
        is_small = len(attempt.statement.text) <= MAX_SHARED_STATEMENT_BYTES
        if sharing is not None:
            # Only owners keep the limit of all instances together.
            needs_owner = services.limits_cold_requests(target)
            if is_small or needs_owner:
                leased = yield from self._lease(sharing, target, attempt, may_be_late)
                if leased is not None:
                    return leased
            if needs_owner:
                raise NotOffered(
                    target, "the target has just started", COLD_RETRY_DELAY
                )
        timeout = max(attempt.dispatch_deadline - self._loop.now(), _ZERO)
        health = services.router.health(target.target_id)
        full_for = health.full_until - self._loop.now()
        if full_for > _ZERO and not services.pool.has_idle(target.target_id, account):
            raise NotOffered(target, "the target has too many connections", full_for)
        if services.is_unresponsive(target.target_id, account):
            raise NotOffered(target, "the target does not answer", REJECTED_RETRY_DELAY)
        try:
            connection = yield from services.pool.acquire(
                target, account, self._values, attempt.route.priority, timeout
            )
        except TimeoutError as error:
            raise NotOffered(target, "no connection became free") from error
        except ConnectionRejected as error:
            if error.failure.code is AnswerCode.TOO_MANY_CONNECTIONS:
                services.record_too_many_connections(target)
                health.record_too_many_connections(self._loop.now())
            elif error.failure.code is AnswerCode.NOT_RUN:
                health.record_busy(self._loop.now())
            else:
                health.record_failure(self._loop.now())
            raise NotOffered(target, str(error), REJECTED_RETRY_DELAY) from error
        except ConnectionLost as error:
            health.record_failure(self._loop.now())
            services.report_failure(target, str(error))
            raise NotOffered(target, str(error)) from error
        return connection

    def require_no_evacuation(self, connection: TargetConnection) -> None:
        """Raise ``NotOffered`` if the domain of the target is evacuated.

        Open transactions have some time left, which ``Transaction`` checks.
        """
        target = connection.target
        reason = self._services.evacuation_reason(target)
        if reason and connection.state is TransactionState.IDLE:
            raise NotOffered(target, reason)

    def _lease(
        self,
        sharing: SharedConnections,
        target: Target,
        attempt: Attempt,
        may_be_late: bool,
    ) -> Steps:
        """Lease a connection; return ``None`` if no owner answers.

        Raise ``NotOffered``.
        """
        now = self._loop.now()
        wait_limits = attempt.lease_wait_limits(now, may_be_late)
        try:
            return (
                yield from sharing.acquire(
                    target,
                    attempt.account,
                    self._values,
                    attempt.route.priority,
                    wait_limits,
                )
            )
        except NoOwnerAnswers:
            return None
        except TimeoutError as error:
            raise NotOffered(target, "no connection was leased in time") from error
        except LeaseRefused as error:
            self._record_refusal(target, error)
            is_full = error.kind is RefusalKind.TOO_MANY
            is_too_late = error.kind is RefusalKind.NOT_IN_TIME or (
                is_full
                and self._loop.now() + error.retry_after > now + wait_limits.useful
            )
            raise NotOffered(
                target, str(error), error.retry_after, is_too_late
            ) from error

    def _record_refusal(self, target: Target, refusal: LeaseRefused) -> None:
        health = self._services.router.health(target.target_id)
        if refusal.kind is RefusalKind.UNREACHABLE:
            self._record_failure(target, str(refusal))
        elif refusal.kind in (RefusalKind.BUSY, RefusalKind.NOT_IN_TIME):
            health.record_busy(self._loop.now())

    def apply_session_state(
        self, connection: TargetConnection, prepared: PreparedStatement | None
    ) -> Steps:
        """Set the session values and the prepared statement on the connection.

        Raise ``NotOffered`` if the server does not confirm them, or if its domain was
        evacuated during the wait for the connection.
        """
        self.require_no_evacuation(connection)
        texts = []
        stale_names = connection.values.keys() - self._values.keys()
        is_full = len(connection.prepared_by_name) > MAX_PREPARED_STATEMENTS
        # Inside a transaction the connection already has the values of this session.
        if connection.state is TransactionState.IDLE and (stale_names or is_full):
            texts.append(wire.RESET)
            connection.values.clear()
            connection.prepared_by_name.clear()
        for name, value in self._values.items():
            if connection.values.get(name) != value:
                texts.append(wire.set_text(name, value))
                connection.values[name] = value
        if prepared is not None:
            name = shared_prepared_name(prepared)
            if name not in connection.prepared_by_name:
                texts.append(wire.prepare_text(name, prepared))
                connection.prepared_by_name[name] = prepared
        if not texts:
            return
        answers = [connection.query(wire.PROXY_REQUEST_ID, text) for text in texts]
        # The texts may be large, and the answers can take a while.
        texts.clear()
        connection.count_state()
        deadline = self._loop.now() + SESSION_STATE_TIMEOUT
        for answer in answers:
            try:
                done = yield self._loop.wait_for(answer, deadline - self._loop.now())
            except (ConnectionLost, ConnectionRejected, TimeoutError) as error:
                connection.close("the session values were not confirmed")
                raise NotOffered(connection.target, str(error)) from error
            if done.failure is not None:
                connection.close("the session values were refused")
                raise NotOffered(connection.target, done.failure.reason)

    def require_primary(self, target: Target) -> None:
        """Raise ``NotOffered`` unless ``target`` is the primary that may be used now.

        An instance that follows a failover has confirmed that it acknowledges no
        further commits of the old primary.
        """
        if not self._services.is_current_primary(target):
            raise NotOffered(target, PRIMARY_REPLACED)

    def require_permit(self, attempt: Attempt, target: Target | None = None) -> None:
        """Raise ``PermitEnded`` if the statement may no longer be sent.

        ``target`` is where it was about to be sent.
        """
        failure = self._admission.refusal_to_send(attempt.permit)
        if failure is not None:
            self.log_attempt(attempt, target, failure.reason)
            raise PermitEnded(failure)

    def send(
        self,
        connection: TargetConnection,
        attempt: Attempt,
        after: LogPosition | None,
        cutoff: "Future[None] | None" = None,
    ) -> Steps:
        """Send the statement and return the answer.

        The wait for the answer ends at the latest when ``cutoff`` is done.

        Raise ``PermitEnded`` or ``NotOffered`` before the statement is sent, or
        ``AnswerLost``.
        """
        self.require_permit(attempt, connection.target)
        text = statement_text(attempt.statement, attempt.prepared)
        sent_at = self._loop.now()
        answer_future = connection.query(attempt.statement.request_id, text, after)
        target = connection.target
        waiting = self._loop.wait_for(answer_future, attempt.deadline - sent_at)
        if cutoff is not None:
            yield self._loop.first_of([waiting, cutoff])
            if not waiting.done():
                connection.close(COMMIT_TOO_LATE)
                raise AnswerLost(target, AnswerCode.IN_DOUBT, COMMIT_TOO_LATE)
        try:
            answer = yield waiting
        except TimeoutError as error:
            reason = "no answer within the statement timeout"
            is_at_target = connection.is_path_working
            connection.close(reason)
            if is_at_target:
                self._record_failure(target, reason)
            raise AnswerLost(target, AnswerCode.TIMEOUT, reason) from error
        except (ConnectionLost, ConnectionRejected) as error:
            if not (isinstance(error, ConnectionLost) and error.is_at_owner):
                self._record_failure(target, str(error))
            if isinstance(error, ConnectionLost) and not error.was_sent:
                raise NotOffered(target, str(error)) from error
            raise AnswerLost(target, AnswerCode.IN_DOUBT, str(error)) from error
        self._record_answer(target, answer, sent_at)
        self.log_attempt(
            attempt, target, _outcome(answer), after, self._loop.now() - sent_at
        )
        return answer

    def _record_failure(self, target: Target, reason: str) -> None:
        self._services.router.health(target.target_id).record_failure(self._loop.now())
        self._services.report_failure(target, reason)

    def log_attempt(
        self,
        attempt: Attempt,
        target: Target | None,
        outcome: str,
        required: LogPosition | None = None,
        duration: timedelta = _ZERO,
    ) -> None:
        """Log the target of a statement, the inputs of its choice, and the outcome.

        ``required`` is the log position that the target had to have applied.
        ``target`` is ``None`` if the statement ended before one was chosen.
        """
        self._services.log.write(
            "statement_attempt",
            request_id=attempt.statement.request_id,
            account=attempt.account,
            route=attempt.route.name,
            is_public=attempt.route.is_public,
            admitted_configuration=attempt.permit.arrival_version,
            configuration=self._services.configuration.version,
            admission_wait=attempt.permit.wait,
            target=target.target_id if target else "",
            required=str(required) if required else "",
            evidence_age=self._services.store_freshness.age(self._loop.now()),
            duration=duration,
            outcome=outcome,
        )

    def _record_answer(
        self, target: Target, answer: ServerAnswer, sent_at: timedelta
    ) -> None:
        services, now = self._services, self._loop.now()
        services.record_answer_position(target, answer, sent_at)
        health = services.router.health(target.target_id)
        code = answer.failure.code if answer.failure else None
        is_from_owner = code is AnswerCode.NOT_RUN and isinstance(
            answer.position, Missing
        )
        if not is_from_owner:
            services.clear_suspicion(target.target_id)
        if code is None:
            health.record_success(now, now - sent_at)
            health.record_caught_up()
        elif code is AnswerCode.LAGGING:
            health.record_lag(now)
        elif code is AnswerCode.NOT_RUN:
            health.record_busy(now)
        else:
            health.record_failure(now)


def shared_prepared_name(prepared: PreparedStatement) -> bytes:
    """Return the server-side name of a statement, the same for all sessions."""
    mode = b"w" if prepared.is_write else b"r"
    return mode + xxhash.xxh64_hexdigest(prepared.shape).encode()


def statement_text(statement: Statement, prepared: PreparedStatement | None) -> bytes:
    """Return the text to send to a server.

    If the statement executes a prepared one, the client's name for it is replaced by
    the name that all sessions share.
    """
    if statement.kind is StatementKind.EXECUTE and prepared is not None:
        return wire.execute_text(shared_prepared_name(prepared), statement.arguments)
    return statement.text


def _outcome(answer: ServerAnswer) -> str:
    if answer.failure is None:
        return "served"
    return f"{answer.failure.code.value}: {answer.failure.reason}"
