"""Whether a network partition cuts this instance off, and what its clients do then."""

from collections.abc import Callable
from datetime import timedelta

from bulrushloom.proxy.clients.idle_sessions import close_idle_sessions
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.session import Session
from bulrushloom.proxy.stopping import BALANCER_REMOVAL_TIME
from bulrushloom.runtime.loop import Steps

PARTITION_CHECK_INTERVAL = timedelta(milliseconds=200)


class PartitionWatch:
    """Watches whether the instance hears the store or another domain.

    ``sessions`` is the set of open sessions, which the caller changes.
    """

    def __init__(
        self,
        services: Services,
        sessions: set[Session],
        is_isolated: Callable[[], bool],
    ):
        self._services = services
        self._loop = services.loop
        self._sessions = sessions
        self._is_isolated = is_isolated
        self._cut_off_since: timedelta | None = None

    @property
    def is_cut_off(self) -> bool:
        """Return whether neither the store nor another domain is heard."""
        return self._cut_off_since is not None

    def run(self) -> Steps:
        """Move clients to other instances while a partition cuts this one off.

        The load balancer first removes the instance. Then idle sessions are closed, and
        others with a refusal, so that their clients reconnect to instances that can
        reach the store.
        """
        while True:
            yield self._loop.sleep(PARTITION_CHECK_INTERVAL)
            if self._services.is_stopping:
                return
            now = self._loop.now()
            if not self._is_isolated():
                if self._cut_off_since is not None:
                    self._services.log.write(
                        "cut_healed", duration=now - self._cut_off_since
                    )
                self._cut_off_since = None
                self._services.session_close_reason = ""
            elif self._cut_off_since is None:
                self._cut_off_since = now
                self._services.log.write(
                    "cut_off", evidence_age=self._services.store_freshness.age(now)
                )
            elif now - self._cut_off_since >= BALANCER_REMOVAL_TIME:
                close_idle_sessions(
                    self._services, self._sessions, "the instance is cut off"
                )
