"""Attempts to run a statement and their possible outcomes."""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.admission import Permit
from bulrushloom.proxy.base import WaitLimits
from bulrushloom.proxy.configuration import Route, Target
from bulrushloom.proxy.messages import (
    AnswerCode,
    Failure,
    LogPosition,
    PreparedStatement,
    ServerAnswer,
    Statement,
)

# A statement that was not sent to a target within this fraction of its latency
# objective is refused, so that the client can succeed in time at another instance.
DISPATCH_DEADLINE_FRACTION = 0.25
# A statement that starts at its target within this fraction of its objective counts as
# in time. The rest is left for the statement itself.
IN_TIME_FRACTION = 0.6
# Time that a statement waits for a shared connection even if it is late.
MIN_LEASE_WAIT = timedelta(milliseconds=50)
# A statement whose targets are all busy is retried for this fraction of its timeout;
# the rest is left to the client for a retry at another instance.
BUSY_RETRY_FRACTION = 0.6
_ZERO = timedelta()


class Attempt(NamedTuple):
    """Client statement with everything that determines its target.

    ``prepared`` is set if the statement executes a prepared one. ``session_position``
    is the log position of the session's latest write, or ``Missing`` before the first.
    """

    statement: Statement
    prepared: PreparedStatement | None
    permit: Permit
    started_at: timedelta
    session_position: LogPosition | Missing

    @property
    def route(self) -> Route:
        """Return the route that the statement was admitted with."""
        return self.permit.route

    @property
    def account(self) -> str:
        """Return the name of the account that the server is told."""
        return self.permit.account_name

    @property
    def deadline(self) -> timedelta:
        """Return when the route's statement timeout expires."""
        return self.started_at + self.route.statement_timeout

    @property
    def dispatch_deadline(self) -> timedelta:
        """Return when a statement that was sent to no target is refused."""
        return (
            self.started_at + self.route.latency_objective * DISPATCH_DEADLINE_FRACTION
        )

    def lease_wait_limits(self, now: timedelta, may_be_late: bool) -> WaitLimits:
        """Return how long a statement may wait for a shared connection.

        With ``may_be_late``, it waits for as long as one that busy targets refused: an
        answer past the objective serves the client better than a refusal, whose retry
        is late as well. Without, it is refused once it cannot be in time; so is one
        that may run at several targets, as long as another one may be faster.
        """
        in_time_until = (
            self.started_at + self.route.latency_objective * IN_TIME_FRACTION
        )
        in_time = max(in_time_until - now, _ZERO)
        useful = max(self.busy_retry_deadline - now, MIN_LEASE_WAIT)
        is_late = in_time == _ZERO
        if may_be_late or is_late:
            return WaitLimits(in_time, max(useful, in_time))
        return WaitLimits(in_time, max(in_time, MIN_LEASE_WAIT))

    @property
    def busy_retry_deadline(self) -> timedelta:
        """Return when a statement that busy targets refused is no longer retried."""
        return self.started_at + self.route.statement_timeout * BUSY_RETRY_FRACTION


class HedgedRead:
    """State shared by the copies of one read that are sent to several targets.

    ``is_finished`` is true once the client's answer is decided; copies that were not
    sent yet are then dropped.
    """

    def __init__(self) -> None:
        self.is_finished = False


class Outcome(NamedTuple):
    """Result for the client: either a failure or the answer of a target."""

    failure: Failure | None
    answer: ServerAnswer | None


class NotOffered(Exception):
    """The statement was not sent to ``target``; wait ``retry_delay`` for a retry.

    With ``is_too_late``, the target cannot run it in time, so the client has to retry.
    """

    def __init__(
        self,
        target: Target,
        reason: str,
        retry_delay: timedelta = _ZERO,
        is_too_late: bool = False,
    ):
        super().__init__(reason)
        self.target = target
        self.retry_delay = retry_delay
        self.is_too_late = is_too_late


class PermitEnded(Exception):
    """The configuration no longer permits a statement, which was not sent."""

    def __init__(self, failure: Failure):
        super().__init__(failure.reason)
        self.failure = failure


class AnswerLost(Exception):
    """The statement was sent to a target, and no answer arrived.

    ``code`` is ``TIMEOUT`` after the statement timeout and ``IN_DOUBT`` after the loss
    of the connection.
    """

    def __init__(self, target: Target, code: AnswerCode, reason: str):
        super().__init__(reason)
        self.target = target
        self.code = code
