"""Return of the platform's store from a copy that is some seconds old."""

from datetime import timedelta

from bulrushloom.runtime.loop import Steps
from soak.failovers import random_time
from soak.faults import RESTART_DELAY, Fault

# Bounds of the time for which the store is unavailable, and of the time until the
# operators write the configuration again. Together with the bound of a configuration
# they are shorter than the one of a withdrawn key.
MIN_OUTAGE_S, MAX_OUTAGE_S = 0.01, 1.0
MIN_REWRITE_S, MAX_REWRITE_S = 0.05, 0.5


class ReturnFromCopy(Fault):
    """Let the store return from a copy that is as old as the fault lasts."""

    exclusion_tag = "store"

    def run(self, duration: timedelta) -> Steps:
        """Take a copy, refuse calls after ``duration``, and return from the copy."""
        platform = self.world.platform
        copy = platform.store.copy()
        yield self.loop.sleep(duration)
        platform.store.status = 503
        yield self.loop.sleep(random_time(self.rng, MIN_OUTAGE_S, MAX_OUTAGE_S))
        self.lose_more()
        platform.return_store(copy)
        platform.store.status = 200
        yield self.loop.sleep(random_time(self.rng, MIN_REWRITE_S, MAX_REWRITE_S))
        self.world.operator.repeat()
        self.recover()

    def lose_more(self) -> None:
        """Inject what happens at the moment of the return; nothing here."""

    def recover(self) -> None:
        """Remove what ``lose_more`` injected."""


class ReturnWithoutInstances(ReturnFromCopy):
    """Kill all daemons at the moment of the return, and start them again."""

    def lose_more(self) -> None:
        """Kill all daemons."""
        for daemon in self.world.daemons:
            daemon.kill()
        self.loop.call_later(RESTART_DELAY, self.recover)

    def recover(self) -> None:
        """Start the daemons."""
        for daemon in self.world.daemons:
            daemon.launch_if_stopped()
