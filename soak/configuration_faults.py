"""Configuration changes while statements wait: keys that move, routes that go."""

from datetime import timedelta

from bulrushloom.runtime.loop import Steps
from soak.configurations import CONFIGURATION_BOUND
from soak.failovers import random_time
from soak.faults import POLL_INTERVAL, Fault
from soak.operators import (
    CHANGING_DATABASE,
    LIMITED_ACCOUNT,
    MOVING_KEYS,
    NO_ACCOUNT,
    OTHER_ACCOUNT,
)

# Bounds of the time between two changes of a series.
MIN_CHANGE_S, MAX_CHANGE_S = 0.05, 0.6
TIMEOUTS_MS = (1500, 2000, 3000)
# Bounds of the time from the loss of all servers to the change of the keys.
MIN_WAIT_S, MAX_WAIT_S = 0.1, 0.6
MAX_EXTRA_OUTAGE_S = 0.8
# Without other faults for this time, the bound of a change holds at the restart.
QUIET_TIME = timedelta(seconds=3.5)


class ChangeKeys(Fault):
    """Withdraw, restore and move the keys of an account near its rate, in a series."""

    is_planned = True
    exclusion_tag = "keys"

    def run(self, duration: timedelta) -> Steps:
        """Change one key at a time for ``duration``, then restore all of them."""
        end = self.loop.now() + duration
        while self.loop.now() < end:
            self.change(self.rng.choice(MOVING_KEYS))
            yield self.loop.sleep(random_time(self.rng, MIN_CHANGE_S, MAX_CHANGE_S))
        for key in MOVING_KEYS:
            self.world.operator.assign_key(key, LIMITED_ACCOUNT)

    def change(self, key: str) -> None:
        """Withdraw a key, or give it to another account."""
        operator = self.world.operator
        accounts = {LIMITED_ACCOUNT, OTHER_ACCOUNT, NO_ACCOUNT}
        accounts.discard(operator.account_of(key))
        operator.assign_key(key, self.rng.choice(sorted(accounts)))


class ChangeRoute(Fault):
    """Remove and restore the route of a database, and change its timeout."""

    is_planned = True
    exclusion_tag = "route"

    def run(self, duration: timedelta) -> Steps:
        """Change the route for ``duration``; it exists again at the end."""
        operator, end = self.world.operator, self.loop.now() + duration
        while self.loop.now() < end:
            if self.rng.random() < 0.5:
                operator.remove_route(CHANGING_DATABASE)
            else:
                operator.set_route_timeout(
                    CHANGING_DATABASE, self.rng.choice(TIMEOUTS_MS)
                )
            yield self.loop.sleep(random_time(self.rng, MIN_CHANGE_S, MAX_CHANGE_S))
        operator.set_route_timeout(CHANGING_DATABASE, TIMEOUTS_MS[0])


class MoveKeysDuringOutage(Fault):
    """Move keys while no server runs, so that statements wait past the change's bound.

    The servers keep their logs. Without other faults, an instance must use the new
    configuration when the servers return.
    """

    is_exclusive = True
    disturbs_instances = False
    exclusion_tag = "server"

    def run(self, duration: timedelta) -> Steps:
        """Wait for the end of other faults, at most ``duration``; crash all servers."""
        deadline = self.loop.now() + duration
        while self.world.has_other_faults():
            if self.loop.now() > deadline:
                return
            yield self.loop.sleep(POLL_INTERVAL)
        yield self.loop.sleep(QUIET_TIME)
        platform, operator = self.world.platform, self.world.operator
        server_ids = sorted(platform.group.server_by_id.keys() - platform.crashed_ids)
        for server_id in server_ids:
            platform.crash(server_id)
        yield self.loop.sleep(random_time(self.rng, MIN_WAIT_S, MAX_WAIT_S))
        for key in MOVING_KEYS:
            operator.assign_key(key, OTHER_ACCOUNT)
        extra = random_time(self.rng, MIN_WAIT_S, MAX_EXTRA_OUTAGE_S)
        yield self.loop.sleep(CONFIGURATION_BOUND + extra)
        for server_id in server_ids:
            platform.restart(server_id)
        yield self.loop.sleep(duration)
        for key in MOVING_KEYS:
            operator.assign_key(key, LIMITED_ACCOUNT)
