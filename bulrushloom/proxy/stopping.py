"""Steps of a planned stop, and which work an instance still accepts; no I/O."""

from datetime import timedelta
from typing import NamedTuple

# The load balancer probes once per second and removes an instance after two failures.
BALANCER_REMOVAL_TIME = timedelta(milliseconds=2300)
# Reserved at the end of the stop grace for removing the entry in the store, for the
# last answers and the log.
SHUTDOWN_MARGIN = timedelta(milliseconds=700)
# The process needs this part of the margin to end.
EXIT_TIME = SHUTDOWN_MARGIN * 0.5
REMOVAL_FRACTION = 0.4
# Transactions that are open when the stop begins have this part of the grace to end.
WORK_FRACTION = 0.5
# A client that waits this long after a refusal sees that its session was closed.
REFUSAL_RETRY_DELAY = timedelta(milliseconds=100)


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

    def refuses_transaction(self, now: timedelta) -> bool:
        """Return whether a transaction that begins now is refused.

        It could be aborted before its end.
        """
        return now >= self.closes_sessions_at

    def refuses_work(self, now: timedelta) -> bool:
        """Return whether statements are refused, except for the end of a transaction.

        Other instances can serve them, and this one may not finish them in time.
        """
        return now >= self.refuses_work_at
