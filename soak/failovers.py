"""Faults that change the servers or cut off a daemon while a primary is replaced."""

import random
from datetime import timedelta
from typing import TYPE_CHECKING

from bulrushloom.runtime.loop import Steps
from soak.callers import Caller
from soak.faults import (
    POLL_INTERVAL,
    RESTART_DELAY,
    CrashServer,
    CutServer,
    DaemonFault,
    Fault,
    ServerFault,
)
from soak.links import DIRECTIONS
from soak.operators import HOTEL

if TYPE_CHECKING:
    from soak.world import World

# Bounds of the time that a restarting server does not run.
MIN_RESTART_S, MAX_RESTART_S = 0.02, 0.3
# Longest time from a pause of replication, or from the first store entry of a new
# server, until the fault; about the time from the pause to the promotion.
MAX_FAILOVER_S = 0.3
# A daemon is isolated for longer than this, the time until the primary is replaced.
MIN_ISOLATION = timedelta(seconds=2)
MAX_CUT_STEP_S = 0.1
# Callers that have a write under way at an isolated daemon most of the time.
ISOLATED_CALLERS = 4
CALLER_THINK_TIME_S = 0.01
PAUSE_POLL_INTERVAL = timedelta(milliseconds=5)


def random_time(rng: random.Random, shortest_s: float, longest_s: float) -> timedelta:
    """Return a random time between two bounds in seconds."""
    return timedelta(seconds=rng.uniform(shortest_s, longest_s))


class PrimaryFault(ServerFault):
    """A fault of the primary."""

    def __init__(self, world: "World", rng: random.Random):
        super().__init__(world, rng)
        self.server = world.platform.group.primary()
        self.link = world.link_by_server[self.server.server_id]


class CrashPrimary(PrimaryFault, CrashServer):
    """Crash the primary and restart it with its log."""


class CutPrimary(PrimaryFault, CutServer):
    """Partition the primary from the daemons and from the replicas."""


class RestartServer(ServerFault):
    """Restart a server with its log; a pause of its replication ends."""

    disturbs_instances = False

    exclusion_tag = ""

    def run(self, duration: timedelta) -> Steps:
        """Stop the server and start it again shortly after."""
        yield from self.restart(self.server.server_id)

    def restart(self, server_id: str) -> Steps:
        """Restart a server that runs."""
        platform = self.world.platform
        if server_id in platform.crashed_ids:
            return
        platform.crash(server_id)
        yield self.loop.sleep(random_time(self.rng, MIN_RESTART_S, MAX_RESTART_S))
        platform.restart(server_id)


class LoseReplicaLog(ServerFault):
    """Restart a replica without its log, which it copies from the primary.

    No other fault begins until it has copied the log, because commits that only the
    replica and a lost primary had would be lost.
    """

    disturbs_instances = False
    is_exclusive = True

    def run(self, duration: timedelta) -> Steps:
        """Restart the server, unless it is the primary or another fault is active."""
        platform, server = self.world.platform, self.server
        if self.world.has_other_faults() or server is platform.group.primary():
            return
        platform.crash(server.server_id)
        platform.restart(
            server.server_id, random_time(self.rng, MIN_RESTART_S, MAX_RESTART_S)
        )
        while server.is_joining:
            yield self.loop.sleep(PAUSE_POLL_INTERVAL)


class FailoverCompanion(Fault):
    """A fault that waits until a replica was told to stop replicating."""

    def wait_for_pause(self, duration: timedelta) -> Steps:
        """Wait for a pause and a random time after it; return whether one came."""
        group, deadline = self.world.platform.group, self.loop.now() + duration
        while not any(s.paused_term for s in group.server_by_id.values()):
            if self.loop.now() > deadline:
                return False
            yield self.loop.sleep(PAUSE_POLL_INTERVAL)
        yield self.loop.sleep(random_time(self.rng, 0, MAX_FAILOVER_S))
        return True


class RestartDuringFailover(FailoverCompanion, RestartServer):
    """Restart replicas with their logs after their replication was paused."""

    def run(self, duration: timedelta) -> Steps:
        """Restart one or more paused replicas, one after the other."""
        is_paused = yield from self.wait_for_pause(duration)
        servers = self.world.platform.group.server_by_id.values()
        paused_ids = [s.server_id for s in servers if s.paused_term]
        self.rng.shuffle(paused_ids)
        if is_paused and paused_ids:
            for server_id in paused_ids[: self.rng.randint(1, len(paused_ids))]:
                yield from self.restart(server_id)

    def describe(self) -> str:
        """Return the kind of fault; its servers are chosen later."""
        return type(self).__name__


class JoinServer(Fault):
    """Add a replica to the group."""

    disturbs_instances = False

    def run(self, duration: timedelta) -> Steps:
        """Register a server, which copies the primary's log at once or a little later.

        It stays in the group.
        """
        added = self.world.add_server()
        added.is_joining = True
        if self.rng.random() < 0.5:
            yield self.loop.sleep(random_time(self.rng, 0, MAX_FAILOVER_S))
        self.world.platform.group.rejoin(added)


class JoinDuringFailover(FailoverCompanion, JoinServer):
    """Add a replica to the group after the replication of others was paused."""

    def run(self, duration: timedelta) -> Steps:
        """Wait for the pause and add the server."""
        is_paused = yield from self.wait_for_pause(duration)
        if is_paused:
            yield from JoinServer.run(self, duration)


class IsolateDaemon(DaemonFault):
    """Cut a daemon off from the store and the other daemons, but not from the primary.

    The other daemons do not reach the primary, which looks dead to them.
    """

    exclusion_tag = "isolation"

    def run(self, duration: timedelta) -> Steps:
        """Cut the daemon off for ``duration``, with a random order of the cuts."""
        world = self.world
        primary_id = world.platform.group.primary().server_id
        primary_link = world.link_by_server[primary_id]
        store_link = world.store_link_by_daemon[self.daemon.name]
        others = {daemon.host for daemon in world.daemons if daemon is not self.daemon}
        looks_crashed = self.rng.random() < 0.5

        def cut_primary() -> None:
            if looks_crashed:
                primary_link.refuse(others)
            else:
                primary_link.held_hosts |= others

        cuts = [
            cut_primary,
            lambda: world.isolate({self.daemon.host}),
            lambda: store_link.held_directions.update(DIRECTIONS),
        ]
        self.rng.shuffle(cuts)
        for cut in cuts:
            cut()
            yield self.loop.sleep(random_time(self.rng, 0, MAX_CUT_STEP_S))
        callers = [
            Caller(world, f"i{number}", HOTEL, CALLER_THINK_TIME_S, self.daemon)
            for number in world.take_caller_numbers(ISOLATED_CALLERS)
        ]
        for caller in callers:
            self.loop.spawn(caller.run())
        yield self.loop.sleep(MIN_ISOLATION + duration)
        for caller in callers:
            caller.stop()
        world.isolate(set())
        primary_link.heal()
        store_link.heal()


class KillAllDuringCrash(Fault):
    """Kill all daemons while one or two servers do not run; all keep their logs."""

    exclusion_tag = "server"

    def run(self, duration: timedelta) -> Steps:
        """Crash the servers, kill and start the daemons, then restart the servers."""
        platform, daemons = self.world.platform, self.world.daemons
        known_ids = platform.group.server_by_id.keys()
        running = sorted(known_ids - platform.crashed_ids - platform.leaving_ids)
        server_ids = self.rng.sample(running, min(self.rng.randint(1, 2), len(running)))
        for server_id in server_ids:
            platform.crash(server_id)
        yield self.loop.sleep(random_time(self.rng, 0, MAX_FAILOVER_S))
        for daemon in daemons:
            daemon.kill()
        yield self.loop.sleep(RESTART_DELAY)
        for daemon in daemons:
            daemon.launch_if_stopped()
        yield self.loop.sleep(duration)
        for server_id in server_ids:
            platform.restart(server_id)
            yield self.loop.sleep(POLL_INTERVAL * self.rng.randint(0, 10))
