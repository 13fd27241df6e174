"""Steps of a planned stop, and which work an instance still accepts; no I/O."""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.proxy.messages import AnswerCode, Failure, Statement, StatementKind

# The load balancer probes once per second and removes an instance after two failures.
BALANCER_REMOVAL_TIME = timedelta(milliseconds=2300)
# Reserved at the end of the stop grace for removing the entry in the store, for the
# last answers and the log.
SHUTDOWN_MARGIN = timedelta(milliseconds=700)
# The process needs this part of the margin to end.
EXIT_TIME = SHUTDOWN_MARGIN * 0.5
# With a shorter grace, sessions are closed after this part of it.
REMOVAL_FRACTION = 0.4
# Transactions that are open when the stop begins have this part of the grace to end.
WORK_FRACTION = 0.5
# A client that waits this long after a refusal sees that its session was closed.
REFUSAL_RETRY_DELAY = timedelta(milliseconds=100)
STOP_REASON = "the instance stops"
REFUSED_BY_STOP = Failure(AnswerCode.NOT_RUN, STOP_REASON, REFUSAL_RETRY_DELAY)


class StopPlan(NamedTuple):
    """Times of a planned stop that began at ``started_at`` and has ``grace``.

    Until ``closes_sessions_at`` the load balancer may still send clients; from then on
    sessions that are idle are closed. From ``refuses_work_at`` on, the sessions of
    clients that never pause are closed with a refusal, and open transactions may only
    end. Sessions are accepted until ``leaves_at``, and answers are sent until
    ``ends_at``.
    """

    started_at: timedelta
    grace: timedelta

    @property
    def closes_sessions_at(self) -> timedelta:
        """Return when the load balancer has removed the instance."""
        return self.started_at + min(
            BALANCER_REMOVAL_TIME, self.grace * REMOVAL_FRACTION
        )

    @property
    def refuses_work_at(self) -> timedelta:
        """Return when statements are refused and open transactions are aborted."""
        return self.started_at + self.grace * WORK_FRACTION

    @property
    def leaves_at(self) -> timedelta:
        """Return when the instance accepts no more sessions and deregisters."""
        return self.started_at + max(
            self.grace - SHUTDOWN_MARGIN, self.grace * WORK_FRACTION
        )

    @property
    def ends_at(self) -> timedelta:
        """Return when requests that still run are answered as not finished."""
        return max(self.leaves_at, self.started_at + self.grace - EXIT_TIME)

    def refuses(self, now: timedelta, begins_transaction: bool) -> bool:
        """Return whether a new operation is refused.

        Other instances can serve it, and this one may not finish it in time. A
        transaction is refused earlier, since it could be aborted before its end.
        """
        if begins_transaction:
            return now >= self.closes_sessions_at
        return now >= self.refuses_work_at

    def aborts(self, now: timedelta, kind: StatementKind) -> bool:
        """Return whether an open transaction is aborted before a statement."""
        is_ending = kind in (StatementKind.COMMIT, StatementKind.ROLLBACK)
        return now >= self.refuses_work_at and not is_ending


def unfinished_failure(
    statement: Statement, writes: bool, in_transaction: bool
) -> Failure:
    """Return what is certain about a statement that still runs when the process ends.

    An open transaction is rolled back with its connection, unless it may be committing.
    """
    is_committing = statement.kind is StatementKind.COMMIT
    if in_transaction and not is_committing:
        return Failure(AnswerCode.ABORTED, STOP_REASON)
    if is_committing or writes:
        return Failure(AnswerCode.IN_DOUBT, STOP_REASON)
    return Failure(AnswerCode.FAILED, STOP_REASON)
