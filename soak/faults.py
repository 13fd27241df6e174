"""Faults that the soak injects, and the seeded plan of a run.

Clocks: the daemons use one clock that counts suspended time, which nothing outside can
move; a process that is stopped by a signal sees it jump. Storage: the only one is the
platform's store.
"""

import random
import signal
from abc import ABC, abstractmethod
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from bulrushloom.runtime.loop import Steps
from soak.links import FaultLink
from standins.platform.group import DEFAULT_LAG, DEFAULT_WORK
from standins.platform.host import KEY_BOUND, STOP_GRACE_S, Daemon

if TYPE_CHECKING:
    from soak.world import World

RESTART_DELAY = timedelta(milliseconds=300)
POLL_INTERVAL = timedelta(milliseconds=50)
STOP_LIMIT = timedelta(seconds=STOP_GRACE_S)
STORM_INTERVAL = timedelta(milliseconds=300)
SLOW_WORK = timedelta(milliseconds=120)
LONG_LAG = timedelta(seconds=3)
LINK_DELAYS_MS = (50, 200, 600)
STORE_STATUSES = (503, 429)
DIRECTIONS = ("there", "back")
# A leaving server goes on for this long after it said so.
LEAVE_TIME = timedelta(seconds=7)
# A change of primary has to be over in this time.
REPLACE_LIMIT = timedelta(seconds=12)


class Fault(ABC):
    """Change the world for a while.

    ``is_planned`` marks work of the operators, beside which no answer may be cut.
    Faults with the same ``exclusive`` tag do not overlap: two servers lost at the same
    time may lose commits.
    """

    is_planned = False
    exclusive = ""

    def __init__(self, world: "World", rng: random.Random):
        self.world = world
        self.loop = world.loop
        self.rng = rng

    @abstractmethod
    def run(self, duration: timedelta) -> Steps:
        """Begin, wait for ``duration`` and end; return when all is as before."""

    def describe(self) -> str:
        """Return the name for the log of the run."""
        return type(self).__name__


class DaemonFault(Fault):
    """Do something to the process of one daemon."""

    def __init__(self, world: "World", rng: random.Random):
        super().__init__(world, rng)
        self.daemon: Daemon = rng.choice(world.daemons)

    def describe(self) -> str:
        """Return the name with the daemon."""
        return f"{type(self).__name__} {self.daemon.name}"


class Kill(DaemonFault):
    """Kill a process; it starts again."""

    def run(self, duration: timedelta) -> Steps:
        """Kill, wait and start."""
        self.daemon.end()
        yield self.loop.sleep(min(duration, RESTART_DELAY * 4))
        self.daemon.launch()


class KillMany(Fault):
    """Kill several processes at the same moment, perhaps all."""

    def run(self, duration: timedelta) -> Steps:
        """Kill, wait and start."""
        daemons = self.world.daemons
        killed = self.rng.sample(daemons, self.rng.randint(2, len(daemons)))
        for daemon in killed:
            daemon.end()
        yield self.loop.sleep(RESTART_DELAY)
        for daemon in killed:
            daemon.launch()


class Pause(DaemonFault):
    """Stop a process by a signal and let it go on."""

    def run(self, duration: timedelta) -> Steps:
        """Pause for a while."""
        self.daemon.signal(signal.SIGSTOP)
        yield self.loop.sleep(duration)
        self.daemon.signal(signal.SIGCONT)


class Terminate(DaemonFault):
    """Stop a process as planned and start it again."""

    is_planned = True

    def run(self, duration: timedelta) -> Steps:
        """Ask the process to stop, wait for its end and start it."""
        if not self.daemon.is_running:
            return
        process, started_at = self.daemon.process, self.loop.now()
        self.daemon.signal(signal.SIGTERM)
        while process.poll() is None and self.loop.now() - started_at < STOP_LIMIT:
            yield self.loop.sleep(POLL_INTERVAL)
        if process.poll() is None:
            # A process that was paused meanwhile cannot have heard of it.
            self.world.record_killed_after_grace(self.daemon)
            self.daemon.end()
        self.world.record_planned_stop(self.daemon, started_at)
        yield self.loop.sleep(RESTART_DELAY)
        if not self.daemon.is_running:
            self.daemon.launch()


class Reload(DaemonFault):
    """Write the settings file anew, with or without a signal."""

    is_planned = True

    def run(self, duration: timedelta) -> Steps:
        """Append a comment, which changes nothing that the daemon uses."""
        with self.daemon.path.open("a") as file:
            file.write("# reloaded\n")
        if self.rng.random() < 0.5:
            self.daemon.signal(signal.SIGHUP)
        yield self.loop.sleep(duration)


class ServerFault(Fault):
    """Do something to one server."""

    exclusive = "server"

    def __init__(self, world: "World", rng: random.Random):
        super().__init__(world, rng)
        group = world.platform.group
        names = sorted(group.server_by_id.keys() - world.platform.leaving)
        self.server = group.server_by_id[rng.choice(names)]
        self.link = world.link_by_server[self.server.server_id]

    def describe(self) -> str:
        """Return the name with the server and its role."""
        role = "primary" if self.server.is_primary else "replica"
        return f"{type(self).__name__} {self.server.server_id} ({role})"

    def catch_up(self) -> None:
        """Give a replica what it has missed."""
        leader = self.world.platform.group.primary()
        if leader is not self.server and not self.server.is_primary:
            self.server.follow(leader)


class CrashServer(ServerFault):
    """Stop a server, which comes back with its log."""

    def run(self, duration: timedelta) -> Steps:
        """Crash, wait and start."""
        self.world.platform.crash(self.server.server_id)
        yield self.loop.sleep(duration)
        self.world.platform.restart(self.server.server_id)


class CutServer(ServerFault):
    """Hold all bytes to and from a server, which does not hear the others either."""

    def run(self, duration: timedelta) -> Steps:
        """Cut, wait and heal."""
        self.server.drops_replication = True
        self.link.held.update(DIRECTIONS)
        yield self.loop.sleep(duration)
        self.server.drops_replication = False
        self.link.heal()
        self.world.platform.group.step_down(self.server)
        self.catch_up()


class DeafReplica(ServerFault):
    """Let a server receive no commits."""

    def run(self, duration: timedelta) -> Steps:
        """Lose what is sent to it, and send it all in the end."""
        self.server.drops_replication = True
        yield self.loop.sleep(duration)
        self.server.drops_replication = False
        self.catch_up()


class SlowServer(ServerFault):
    """Let a server take long for each statement, or apply commits late."""

    exclusive = ""

    def run(self, duration: timedelta) -> Steps:
        """Slow down, wait and end."""
        if self.rng.random() < 0.5:
            self.server.work = SLOW_WORK
        else:
            self.server.lag = LONG_LAG
        yield self.loop.sleep(duration)
        self.server.work, self.server.lag = DEFAULT_WORK, DEFAULT_LAG


class LoseAnswers(ServerFault):
    """Let a server run statements whose answers are lost, cut or refused."""

    exclusive = ""

    def run(self, duration: timedelta) -> Steps:
        """Harm a few answers."""
        kinds = ("answers_to_lose", "answers_to_cut", "statements_to_refuse")
        setattr(self.server, self.rng.choice(kinds), self.rng.randint(1, 8))
        yield self.loop.sleep(duration)
        for kind in kinds:
            setattr(self.server, kind, 0)


class LeavingServer(ServerFault):
    """Replace a server: the new one comes first, then the old one leaves."""

    def run(self, duration: timedelta) -> Steps:
        """Add a server, announce that the old one leaves, and end it."""
        platform, server_id = self.world.platform, self.server.server_id
        added = self.world.add_server()
        added.follow(platform.group.primary())
        yield self.loop.sleep(duration)
        platform.leaving.add(server_id)
        yield self.loop.sleep(LEAVE_TIME)
        waiting_since = self.loop.now()
        while self.server.is_primary:
            # Beside other faults the change of primary may take longer.
            if self.loop.now() - waiting_since > REPLACE_LIMIT:
                self.world.report([f"the leaving primary {server_id} was kept"])
                break
            yield self.loop.sleep(POLL_INTERVAL)
        platform.crash(server_id)
        platform.group.server_by_id.pop(server_id)


class LinkFault(Fault):
    """Harm the connections over some links."""

    def harm(self, link: FaultLink) -> str:
        """Choose what happens to a link."""
        kind = self.rng.choice(("delay", "reset", "one way", "silence", "refuse"))
        if kind == "delay":
            link.delay = timedelta(milliseconds=self.rng.choice(LINK_DELAYS_MS))
        elif kind == "reset":
            link.reset()
        elif kind == "one way":
            link.held.add(self.rng.choice(DIRECTIONS))
        elif kind == "silence":
            link.silence()
        else:
            link.is_refusing = True
            link.reset()
        return kind


class HarmServerLink(LinkFault):
    """Harm the way to one server; the servers still reach each other."""

    def run(self, duration: timedelta) -> Steps:
        """Harm, wait and heal."""
        link = self.rng.choice(list(self.world.link_by_server.values()))
        self.harm(link)
        yield self.loop.sleep(duration)
        link.heal()


class HarmStoreLinks(LinkFault):
    """Harm the way of one, some or all daemons to the store."""

    def run(self, duration: timedelta) -> Steps:
        """Harm, wait and heal."""
        links = list(self.world.store_link_by_daemon.values())
        harmed = self.rng.sample(links, self.rng.randint(1, len(links)))
        for link in harmed:
            self.harm(link)
        yield self.loop.sleep(duration)
        for link in harmed:
            link.heal()


class StoreRefuses(Fault):
    """Let the store refuse all calls; leases may lapse meanwhile."""

    def run(self, duration: timedelta) -> Steps:
        """Refuse, wait and serve."""
        store = self.world.platform.store
        store.status = self.rng.choice(STORE_STATUSES)
        yield self.loop.sleep(duration)
        if self.rng.random() < 0.5:
            store.end_leases()
        store.status = 200


class LapseLeases(Fault):
    """Let all leases end although they were renewed."""

    def run(self, duration: timedelta) -> Steps:
        """End the leases."""
        self.world.platform.store.end_leases()
        yield self.loop.sleep(duration)


class WithdrawKey(Fault):
    """Withdraw a key of connected callers and give it back later."""

    is_planned = True
    exclusive = "key"

    def run(self, duration: timedelta) -> Steps:
        """Withdraw, wait and return."""
        self.world.operator.withdraw_key()
        yield self.loop.sleep(duration + KEY_BOUND)
        self.world.operator.return_key()


class ConfigurationStorm(Fault):
    """Write versions in quick succession."""

    is_planned = True

    def run(self, duration: timedelta) -> Steps:
        """Change the limit of an account and other fields."""
        end = self.loop.now() + duration
        while self.loop.now() < end:
            self.world.operator.change_limit(self.rng.choice((10, 20, 30)))
            yield self.loop.sleep(STORM_INTERVAL)


KINDS: tuple[type[Fault], ...] = (
    Kill,
    KillMany,
    Pause,
    Terminate,
    Reload,
    CrashServer,
    CutServer,
    DeafReplica,
    SlowServer,
    LoseAnswers,
    LeavingServer,
    HarmServerLink,
    HarmStoreLinks,
    StoreRefuses,
    LapseLeases,
    WithdrawKey,
    ConfigurationStorm,
)
MIN_DURATION_S, MAX_DURATION_S = 0.3, 5.0


class PlannedFault(NamedTuple):
    """Hold one entry of the plan."""

    at: timedelta
    kind: type[Fault]
    duration: timedelta


def make_plan(rng: random.Random, length: timedelta) -> list[PlannedFault]:
    """Return faults that come in series and overlap within ``length``."""
    count = rng.randint(4, max(5, length // timedelta(seconds=1)))
    plan = [
        PlannedFault(
            length * rng.random(),
            rng.choice(KINDS),
            timedelta(seconds=rng.uniform(MIN_DURATION_S, MAX_DURATION_S)),
        )
        for _ in range(count)
    ]
    return sorted(plan, key=lambda entry: entry.at)
