"""Return of the platform's store from a copy that is some seconds old."""

from datetime import timedelta

from bulrushloom.runtime.loop import Steps
from soak.failovers import random_time
from soak.faults import (
    LEAVE_PERIOD,
    POLL_INTERVAL,
    REPLACE_TIMEOUT,
    RESTART_DELAY,
    Fault,
)
from standins.platform.kv_server import StoreCopy

# Bounds of the time for which the store is unavailable, and of the time until the
# operators write the configuration again. Together with the bound of a configuration
# they are shorter than the one of a withdrawn key.
MIN_OUTAGE_S, MAX_OUTAGE_S = 0.01, 1.0
MIN_REWRITE_S, MAX_REWRITE_S = 0.05, 0.5
# The change of a primary is ordered, executed and recorded within this time of the
# report that it leaves.
MAX_CHANGE_S = 0.8
# Bounds of the time between two changes of a release.
MIN_STEP_S, MAX_STEP_S = 0.2, 1.5


class ReturnFromCopy(Fault):
    """Let the store return from a copy that is as old as the fault lasts."""

    exclusion_tag = "store"

    def run(self, duration: timedelta) -> Steps:
        """Take a copy, refuse calls after ``duration``, and return from the copy."""
        copy = self.world.platform.store.copy()
        yield self.loop.sleep(duration)
        yield from self.return_from(copy)

    def return_from(self, copy: StoreCopy) -> Steps:
        """Refuse calls for a moment, and return from the copy."""
        platform = self.world.platform
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


class ReturnDuringRelease(ReturnWithoutInstances):
    """Replace two primaries; the store returns from a copy of the first change.

    All daemons are killed at that moment.
    """

    disturbs_instances = True

    def run(self, duration: timedelta) -> Steps:
        """Replace the primaries, return from the copy, and remove the servers."""
        first_id = yield from self.begin_change()
        yield self.loop.sleep(random_time(self.rng, 0, MAX_CHANGE_S))
        copy = self.world.platform.store.copy()
        yield from self.wait_for_change(first_id)
        yield self.loop.sleep(random_time(self.rng, MIN_STEP_S, MAX_STEP_S))
        second_id = yield from self.begin_change()
        yield from self.wait_for_change(second_id)
        yield self.loop.sleep(random_time(self.rng, MIN_STEP_S, MAX_STEP_S))
        yield from self.return_from(copy)
        yield self.loop.sleep(LEAVE_PERIOD)
        for server_id in (first_id, second_id):
            yield from self.wait_for_change(server_id)
            self.remove(server_id)

    def begin_change(self) -> Steps:
        """Add a server, and let the primary report that it leaves; return its id."""
        platform = self.world.platform
        self.world.add_server().follow(platform.group.primary())
        yield self.loop.sleep(random_time(self.rng, MIN_STEP_S, MAX_STEP_S))
        server_id = platform.group.primary().server_id
        platform.leaving_ids.add(server_id)
        platform.write_server_entries()
        return server_id

    def wait_for_change(self, server_id: str) -> Steps:
        """Wait until a server is not the primary; other faults may delay that."""
        deadline = self.loop.now() + REPLACE_TIMEOUT
        group = self.world.platform.group
        while group.promoted_id == server_id and self.loop.now() < deadline:
            yield self.loop.sleep(POLL_INTERVAL)

    def remove(self, server_id: str) -> None:
        """End a server that has reported that it leaves, unless it still leads."""
        platform = self.world.platform
        if server_id in platform.group.server_by_id:
            if platform.group.promoted_id == server_id:
                violation = f"the leaving primary {server_id} was not replaced"
                self.world.report_violations([violation])
            platform.crash(server_id)
            platform.group.server_by_id.pop(server_id)
