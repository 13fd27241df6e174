"""A statement on its way to a target, and what can come of it."""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.configuration import Route, Target
from bulrushloom.proxy.messages import (
    AnswerCode,
    Failure,
    LogPosition,
    PreparedStatement,
    ServerAnswer,
    Statement,
)

# A statement that no target has taken by this part of its latency objective is refused:
# its caller can still be served in time by another instance.
OFFER_SHARE = 0.25
# A statement whose targets are all busy is tried for this part of its timeout; the rest
# is left to its caller for a try through another instance.
PATIENCE_SHARE = 0.6
_ZERO = timedelta()


class Attempt(NamedTuple):
    """Hold a single statement with what decides where it runs."""

    statement: Statement
    prepared: PreparedStatement | None
    route: Route
    account: str
    started_at: timedelta
    session_position: LogPosition | Missing

    @property
    def deadline(self) -> timedelta:
        """Return when the route's timeout is reached."""
        return self.started_at + self.route.statement_timeout

    @property
    def offer_deadline(self) -> timedelta:
        """Return when a statement that no target has taken is refused."""
        return self.started_at + self.route.latency_objective * OFFER_SHARE

    @property
    def busy_retry_deadline(self) -> timedelta:
        """Return when a statement that only busy targets refused is given up."""
        return self.started_at + self.route.statement_timeout * PATIENCE_SHARE


class HedgedRead:
    """Tell the copies of one read that its caller has an answer."""

    def __init__(self) -> None:
        self.is_over = False


class Outcome(NamedTuple):
    """Hold what the caller is told: a failure or the answer of a target."""

    failure: Failure | None
    answer: ServerAnswer | None


class NotOffered(Exception):
    """No target has received the statement."""

    def __init__(self, target: Target, reason: str, pause: timedelta = _ZERO):
        super().__init__(reason)
        self.target = target
        self.pause = pause


class AnswerLost(Exception):
    """A target received the statement, and no answer came."""

    def __init__(self, target: Target, code: AnswerCode, reason: str):
        super().__init__(reason)
        self.target = target
        self.code = code
