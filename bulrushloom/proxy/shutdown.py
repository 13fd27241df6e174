"""Planned stop of an instance: in which order it gives up its work.

``stopping`` has the times of these steps.
"""

from datetime import timedelta

from bulrushloom.proxy.clients.idle_sessions import close_idle_sessions
from bulrushloom.proxy.failover.promotion import SuccessorPromotion
from bulrushloom.proxy.leadership import Leadership
from bulrushloom.proxy.membership import Registration
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.session import Session
from bulrushloom.proxy.sharing.domain import DomainConnections
from bulrushloom.proxy.stopping import SHUTDOWN_MARGIN, STOP_REASON, StopPlan
from bulrushloom.runtime.loop import Steps
from bulrushloom.runtime.streams import Listener

SHUTDOWN_CHECK_INTERVAL = timedelta(milliseconds=50)
# Timeout for revoking the leader lease, which expires by itself otherwise.
RESIGN_TIMEOUT = timedelta(milliseconds=500)
# Time for the answer to a promotion order before the lease is given up.
ORDER_TIMEOUT = timedelta(seconds=1)


class Shutdown:
    """Steps of a planned stop.

    ``sessions`` is the set of open sessions, which the caller changes.
    """

    def __init__(
        self,
        services: Services,
        sessions: set[Session],
        listener: Listener,
        registration: Registration,
        leadership: Leadership,
        promotion: SuccessorPromotion,
        sharing: DomainConnections,
    ):
        self._services = services
        self._loop = services.loop
        self._sessions = sessions
        self._listener = listener
        self._registration = registration
        self._leadership = leadership
        self._promotion = promotion
        self._sharing = sharing

    def run(self, plan: StopPlan) -> Steps:
        """Shut down without interrupting answers, then stop the loop.

        Idle sessions are closed once the load balancer has removed the instance. After
        half of the stop grace, the others are closed with a refusal, and transactions
        between two statements are aborted.
        """
        self._services.log.write("stopping", sessions=len(self._sessions))
        yield from self._resign_leadership()
        yield self._loop.sleep(plan.closes_sessions_at - self._loop.now())
        yield from self._close_sessions(plan, plan.leaves_at)
        # A session that is accepted from now on might be cut.
        self._listener.close()
        try:
            yield self._loop.wait_for(
                self._loop.spawn(self._registration.deregister()), SHUTDOWN_MARGIN * 0.5
            )
        except TimeoutError:
            self._services.log.write("registration_not_ended")
        # The last ones were accepted just before the listener was closed.
        yield from self._close_sessions(plan, plan.ends_at)
        while self._sharing.peers.lease_count() and self._loop.now() < plan.ends_at:
            yield self._loop.sleep(SHUTDOWN_CHECK_INTERVAL)
        self._services.log.write("stopped", sessions=len(self._sessions))
        for session in list(self._sessions):
            session.end()
        self._loop.stop()

    def _close_sessions(self, plan: StopPlan, deadline: timedelta) -> Steps:
        """Close the sessions that have no outstanding request, until ``deadline``."""
        while self._sessions and self._loop.now() < deadline:
            close_idle_sessions(self._services, self._sessions, STOP_REASON)
            if self._loop.now() >= plan.refuses_work_at:
                for session in self._sessions:
                    session.abort_idle_transaction(STOP_REASON)
            yield self._loop.sleep(SHUTDOWN_CHECK_INTERVAL)

    def _resign_leadership(self) -> Steps:
        """Give up the leader lease, so that another instance can acquire it at once.

        An order to the platform is waited for: it could be executed after an order of
        the next leader.
        """
        deadline = self._loop.now() + ORDER_TIMEOUT
        while self._promotion.orders_in_flight and self._loop.now() < deadline:
            yield self._loop.sleep(SHUTDOWN_CHECK_INTERVAL)
        try:
            yield self._loop.wait_for(
                self._loop.spawn(self._leadership.resign()), RESIGN_TIMEOUT
            )
        except TimeoutError:
            self._services.log.write("leader_not_resigned")
