"""Faults that a soak run injects into daemons, servers, links and the store.

There is no clock fault of its own: the daemons use a clock that includes suspended time
and cannot be set from outside. A process that is paused by a signal sees it jump. The
only storage that can fail is the platform's store.
"""

import random
import signal
from abc import ABC, abstractmethod
from datetime import timedelta
from typing import TYPE_CHECKING

from bulrushloom.runtime.loop import Steps
from soak.links import DIRECTIONS, FaultLink
from standins.platform.group import DEFAULT_LAG, DEFAULT_SERVICE_TIME
from standins.platform.host import STOP_GRACE_S, WITHDRAWN_KEY_BOUND, Daemon

if TYPE_CHECKING:
    from soak.world import World

RESTART_DELAY = timedelta(milliseconds=300)
POLL_INTERVAL = timedelta(milliseconds=50)
STOP_TIMEOUT = timedelta(seconds=STOP_GRACE_S)
STORM_INTERVAL = timedelta(milliseconds=300)
SLOW_SERVICE_TIME = timedelta(milliseconds=120)
LONG_LAG = timedelta(seconds=3)
LINK_DELAYS_MS = (50, 200, 600)
STORE_STATUSES = (503, 429)
# A server serves for this long after it announced that it leaves.
LEAVE_PERIOD = timedelta(seconds=7)
# Bound for the replacement of a leaving primary.
REPLACE_TIMEOUT = timedelta(seconds=12)
# Entries expire after three heartbeat intervals of the platform (1.2 s), and the last
# heartbeat may be one interval old when the outage begins.
MIN_EXPIRING_OUTAGE = timedelta(milliseconds=2400)
# A running server registers again within this time of the end of an outage.
RETURN_TIME = timedelta(seconds=2)


class Fault(ABC):
    """A temporary disturbance.

    ``is_planned`` marks operations of operators, during which no answer may be lost.
    Faults with the same non-empty ``exclusion_tag`` do not overlap, because the loss of
    two servers at the same time may lose commits. No fault starts during an exclusive
    one. ``disturbs_instances`` is false for faults of servers that leave instances,
    their links and the store alone.
    """

    is_planned = False
    disturbs_instances = True
    is_exclusive = False
    exclusion_tag = ""

    def __init__(self, world: "World", rng: random.Random):
        self.world = world
        self.loop = world.loop
        self.rng = rng

    @abstractmethod
    def run(self, duration: timedelta) -> Steps:
        """Inject the fault for ``duration``; return when it has been removed."""

    def describe(self) -> str:
        """Return the description in the result of the run."""
        return type(self).__name__


class DaemonFault(Fault):
    """A fault of the process of a random daemon."""

    def __init__(self, world: "World", rng: random.Random):
        super().__init__(world, rng)
        self.daemon: Daemon = rng.choice(world.daemons)

    def describe(self) -> str:
        """Return the kind of fault and the name of the daemon."""
        return f"{type(self).__name__} {self.daemon.name}"


class Kill(DaemonFault):
    """Kill a daemon and start it again."""

    def run(self, duration: timedelta) -> Steps:
        """Kill the process and start a new one after a short delay."""
        self.daemon.kill()
        yield self.loop.sleep(min(duration, RESTART_DELAY * 4))
        self.daemon.launch_if_stopped()


class KillMany(Fault):
    """Kill several or all daemons at the same time and start them again."""

    def run(self, duration: timedelta) -> Steps:
        """Kill the processes and start new ones after a short delay."""
        daemons = self.world.daemons
        killed = self.rng.sample(daemons, self.rng.randint(2, len(daemons)))
        for daemon in killed:
            daemon.kill()
        yield self.loop.sleep(RESTART_DELAY)
        for daemon in killed:
            daemon.launch_if_stopped()


class Pause(DaemonFault):
    """Suspend a daemon with SIGSTOP and resume it with SIGCONT."""

    def run(self, duration: timedelta) -> Steps:
        """Suspend the process for ``duration``."""
        self.daemon.signal(signal.SIGSTOP)
        yield self.loop.sleep(duration)
        self.daemon.signal(signal.SIGCONT)


class Terminate(DaemonFault):
    """Stop a daemon with SIGTERM and start it again."""

    is_planned = True

    def run(self, duration: timedelta) -> Steps:
        """Send SIGTERM, kill the process after the grace period and restart it."""
        if not self.daemon.is_running:
            return
        process, started_at = self.daemon.process, self.loop.now()
        self.daemon.signal(signal.SIGTERM)
        while process.poll() is None and self.loop.now() - started_at < STOP_TIMEOUT:
            yield self.loop.sleep(POLL_INTERVAL)
        if process.poll() is None:
            # A process that was paused meanwhile could not handle the signal, so this
            # is no violation beside other faults.
            self.world.record_killed_after_grace(self.daemon)
            self.daemon.kill()
        self.world.record_planned_stop(self.daemon, started_at)
        yield self.loop.sleep(RESTART_DELAY)
        self.daemon.launch_if_stopped()


class Reload(DaemonFault):
    """Change the settings file of a daemon, with or without a SIGHUP."""

    is_planned = True

    def run(self, duration: timedelta) -> Steps:
        """Append a comment, which changes no setting."""
        with self.daemon.path.open("a") as file:
            file.write("# reloaded\n")
        if self.rng.random() < 0.5:
            self.daemon.signal(signal.SIGHUP)
        yield self.loop.sleep(duration)


class ServerFault(Fault):
    """A fault of a random database server."""

    exclusion_tag = "server"

    def __init__(self, world: "World", rng: random.Random):
        super().__init__(world, rng)
        group = world.platform.group
        names = sorted(group.server_by_id.keys() - world.platform.leaving_ids)
        self.server = group.server_by_id[rng.choice(names)]
        self.link = world.link_by_server[self.server.server_id]

    def describe(self) -> str:
        """Return the kind of fault, the server id and its role."""
        role = "primary" if self.server.is_primary else "replica"
        return f"{type(self).__name__} {self.server.server_id} ({role})"

    def catch_up(self) -> None:
        """Copy the primary's log to the server if it is a replica."""
        current_primary = self.world.platform.group.primary()
        if current_primary is not self.server and not self.server.is_primary:
            self.server.follow(current_primary)


class CrashServer(ServerFault):
    """Crash a server and restart it with its log."""

    disturbs_instances = False

    def run(self, duration: timedelta) -> Steps:
        """Crash the server and restart it after ``duration``."""
        self.world.platform.crash(self.server.server_id)
        yield self.loop.sleep(duration)
        self.world.platform.restart(self.server.server_id)


class CutServer(ServerFault):
    """Partition a server from the daemons and from the other servers."""

    def run(self, duration: timedelta) -> Steps:
        """Hold all traffic and drop replication, then heal the partition."""
        self.server.drops_replication = True
        self.link.held_directions.update(DIRECTIONS)
        yield self.loop.sleep(duration)
        self.server.drops_replication = False
        self.link.heal()
        self.world.platform.group.step_down(self.server)
        self.catch_up()


class DeafReplica(ServerFault):
    """Stop the replication to a server, which still serves statements."""

    disturbs_instances = False

    def run(self, duration: timedelta) -> Steps:
        """Drop the commits sent to the server, then copy them to it."""
        self.server.drops_replication = True
        yield self.loop.sleep(duration)
        self.server.drops_replication = False
        self.catch_up()


class SlowServer(ServerFault):
    """Make a server run statements slowly or apply commits late."""

    exclusion_tag = ""

    def run(self, duration: timedelta) -> Steps:
        """Raise the service time or the lag, then restore the default."""
        if self.rng.random() < 0.5:
            self.server.work = SLOW_SERVICE_TIME
        else:
            self.server.lag = LONG_LAG
        yield self.loop.sleep(duration)
        self.server.work, self.server.lag = DEFAULT_SERVICE_TIME, DEFAULT_LAG


class LoseAnswers(ServerFault):
    """Lose or truncate some answers of a server, or make it refuse statements."""

    exclusion_tag = ""

    def run(self, duration: timedelta) -> Steps:
        """Affect up to eight statements; stop after ``duration``."""
        kinds = ("answers_to_lose", "answers_to_cut", "statements_to_refuse")
        setattr(self.server, self.rng.choice(kinds), self.rng.randint(1, 8))
        yield self.loop.sleep(duration)
        for kind in kinds:
            setattr(self.server, kind, 0)


class LeavingServer(ServerFault):
    """Replace a server: add a new one, then remove the old one."""

    disturbs_instances = False

    def run(self, duration: timedelta) -> Steps:
        """Add a server, announce that the old one leaves, and remove it."""
        platform, server_id = self.world.platform, self.server.server_id
        added = self.world.add_server()
        added.follow(platform.group.primary())
        yield self.loop.sleep(duration)
        platform.leaving_ids.add(server_id)
        yield self.loop.sleep(LEAVE_PERIOD)
        waiting_since = self.loop.now()
        while self.server.is_primary:
            # Other faults at the same time may delay the change of the primary.
            if self.loop.now() - waiting_since > REPLACE_TIMEOUT:
                self.world.report_violations(
                    [f"the leaving primary {server_id} was not replaced"]
                )
                break
            yield self.loop.sleep(POLL_INTERVAL)
        platform.crash(server_id)
        platform.group.server_by_id.pop(server_id)


class LinkFault(Fault):
    """A fault of network links."""

    def degrade(self, link: FaultLink) -> str:
        """Inject a random fault into a link and return its name."""
        kind = self.rng.choice(("delay", "reset", "one way", "silence", "refuse"))
        if kind == "delay":
            link.delay = timedelta(milliseconds=self.rng.choice(LINK_DELAYS_MS))
        elif kind == "reset":
            link.reset()
        elif kind == "one way":
            link.held_directions.add(self.rng.choice(DIRECTIONS))
        elif kind == "silence":
            link.silence()
        else:
            link.is_refusing = True
            link.reset()
        return kind


class HarmServerLink(LinkFault):
    """Degrade the link to one server; the servers still reach each other."""

    def run(self, duration: timedelta) -> Steps:
        """Degrade the link for ``duration``, then heal it."""
        link = self.rng.choice(list(self.world.link_by_server.values()))
        self.degrade(link)
        yield self.loop.sleep(duration)
        link.heal()


class HarmStoreLinks(LinkFault):
    """Degrade the store links of one, some or all daemons."""

    def run(self, duration: timedelta) -> Steps:
        """Degrade the links for ``duration``, then heal them."""
        links = list(self.world.store_link_by_daemon.values())
        degraded = self.rng.sample(links, self.rng.randint(1, len(links)))
        for link in degraded:
            self.degrade(link)
        yield self.loop.sleep(duration)
        for link in degraded:
            link.heal()


class StoreRefuses(Fault):
    """Make the store refuse all calls; leases and entries may expire meanwhile."""

    def run(self, duration: timedelta) -> Steps:
        """Refuse calls for ``duration``.

        All leases end with a probability of 0.5, and the entries of the servers if the
        outage is long enough. Each server registers again within its time.
        """
        store = self.world.platform.store
        store.status = self.rng.choice(STORE_STATUSES)
        yield self.loop.sleep(duration)
        if self.rng.random() < 0.5:
            store.end_leases()
        if duration >= MIN_EXPIRING_OUTAGE:
            # The plans of recorded seeds do not depend on these delays.
            rng = random.Random(f"{self.world.seed}/{duration}")
            self.world.platform.expire_entries(
                {
                    server_id: RETURN_TIME * rng.random()
                    for server_id in self.world.platform.group.server_by_id
                }
            )
        store.status = 200


class LapseLeases(Fault):
    """End all leases although their holders renew them."""

    def run(self, duration: timedelta) -> Steps:
        """End the leases once."""
        self.world.platform.store.end_leases()
        yield self.loop.sleep(duration)


class WithdrawKey(Fault):
    """Withdraw an API key of connected callers and restore it later."""

    is_planned = True
    exclusion_tag = "key"

    def run(self, duration: timedelta) -> Steps:
        """Withdraw the key and restore it ``duration`` after its bound."""
        self.world.operator.withdraw_key()
        yield self.loop.sleep(duration + WITHDRAWN_KEY_BOUND)
        self.world.operator.restore_key()


class ConfigurationStorm(Fault):
    """Write many versions of the configuration in quick succession."""

    is_planned = True

    def run(self, duration: timedelta) -> Steps:
        """Change the rate limit of an account at short intervals."""
        end = self.loop.now() + duration
        while self.loop.now() < end:
            self.world.operator.change_limit(self.rng.choice((10, 20, 30)))
            yield self.loop.sleep(STORM_INTERVAL)
