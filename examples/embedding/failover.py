"""Embed ``GroupMonitor`` in a program that replaces an unresponsive primary.

The program simulates three servers in memory and a clock. It passes the responses of
the servers to the monitor and executes the effects that the monitor returns. A real
program does the same with sockets and a monotonic clock.

Run it with ``python examples/embedding/failover.py``.
"""

from datetime import timedelta

from bulrushloom.coordination.base import Effect, LogEntry, Message
from bulrushloom.coordination.failover.base import (
    Fenced,
    FenceFailed,
    FenceRefused,
    FenceServer,
    Followed,
    FollowFailed,
    FollowPrimary,
    GroupTarget,
    PollStatus,
    Promoted,
    PromoteFailed,
    PromoteServer,
    StatusFailed,
    StatusReceived,
)
from bulrushloom.coordination.failover.monitor import GroupMonitor
from bulrushloom.coordination.sessions.base import ORIGIN, LogPosition
from bulrushloom.core.sentinels import Missing
from bulrushloom.databases.base import Role, ServerStatus

STEP_INTERVAL = timedelta(milliseconds=50)
PROMOTION_TIMEOUT = timedelta(seconds=20)
REPLICATION_TIME = timedelta(seconds=2)


class MemoryServer:
    """The replication state of a server, which grants each term to one candidate."""

    def __init__(self, name: str):
        self.name = name
        self.is_up = True
        self.term = 0
        self.role = Role.REPLICA
        self.log_position = ORIGIN
        self.candidate = ""
        self.replicated_at: timedelta | None = None

    def status(self, now: timedelta) -> ServerStatus:
        """Return the response to a status call."""
        replication_age = (
            None if self.replicated_at is None else now - self.replicated_at
        )
        log_position = self.log_position
        return ServerStatus(
            self.name,
            self.role,
            self.term,
            log_position,
            log_position,
            replication_age,
            replication_age,
        )

    def fence(self, term: int, candidate: str) -> bool:
        """Grant ``term`` to ``candidate`` and return whether it was granted.

        A term that is lower than the current one, or that was granted to another
        candidate, is refused.
        """
        if term < self.term or (term == self.term and candidate != self.candidate):
            return False
        self.term, self.candidate, self.role = term, candidate, Role.REPLICA
        return True

    def promote(self, term: int, candidate: str) -> bool:
        """Become the primary and append the empty log entry that begins the term.

        Returns ``False`` if the term wasn't granted to the candidate.
        """
        if (term, candidate) != (self.term, self.candidate):
            return False
        self.role = Role.PRIMARY
        self.log_position = max(
            self.log_position, LogPosition(term, self.log_position.offset + 1)
        )
        return True


class Group:
    """The servers of a group, on which the effects of a monitor are executed."""

    def __init__(self, names: list[str]):
        self.server_by_name = {name: MemoryServer(name) for name in names}

    def replicate(self, now: timedelta) -> None:
        """Copy the log of each primary to the servers that have its term."""
        servers = [server for server in self.server_by_name.values() if server.is_up]
        for primary in servers:
            if primary.role is not Role.PRIMARY:
                continue
            for server in servers:
                if server.term == primary.term:
                    server.log_position, server.replicated_at = (
                        primary.log_position,
                        now,
                    )

    def execute(self, effect: Effect, now: timedelta) -> Message | None:
        """Execute an effect; return the response if it is a call, else ``None``."""
        if isinstance(effect, PollStatus):
            return self._poll(effect, now)
        if isinstance(effect, FenceServer):
            return self._fence(effect, now)
        if isinstance(effect, PromoteServer):
            return self._promote(effect, now)
        if isinstance(effect, FollowPrimary):
            return self._follow(effect, now)
        return None

    def _poll(self, call: PollStatus, now: timedelta) -> Message:
        server = self.server_by_name[call.target]
        if not server.is_up:
            return StatusFailed(call.target, "no answer")
        return StatusReceived(call.target, server.status(now))

    def _fence(self, call: FenceServer, now: timedelta) -> Message:
        server = self.server_by_name[call.target]
        if not server.is_up:
            return FenceFailed(call.target, call.term, "no answer")
        if not server.fence(call.term, call.candidate):
            return FenceRefused(call.target, call.term, "granted already")
        return Fenced(call.target, call.term, server.status(now))

    def _promote(self, call: PromoteServer, now: timedelta) -> Message:
        server = self.server_by_name[call.target]
        if not server.is_up or not server.promote(call.term, call.candidate):
            return PromoteFailed(call.target, call.term, "refused or no answer")
        return Promoted(call.target, call.term, server.status(now))

    def _follow(self, call: FollowPrimary, now: timedelta) -> Message:
        server = self.server_by_name[call.target]
        if not server.is_up or call.term < server.term:
            return FollowFailed(call.target, call.term, "refused or no answer")
        server.term, server.role = call.term, Role.REPLICA
        return Followed(call.target, call.term, server.status(now))


class Program:
    """Drives a monitor; ``now`` simulates the monotonic clock of the program."""

    def __init__(self, group: Group):
        self.now = timedelta()
        self.group = group
        self.monitor = GroupMonitor("orders", "watcher-1", "watcher-1.run-1")
        targets = [GroupTarget(name) for name in group.server_by_name]
        self.monitor.update_servers(targets, ["watcher-1"], "watcher-1")

    def step(self) -> None:
        """Advance the clock, tick the monitor and execute all resulting effects."""
        self.now += STEP_INTERVAL
        self.group.replicate(self.now)
        effects = self.monitor.tick(self.now)
        while effects:
            effect = effects.pop(0)
            if isinstance(effect, LogEntry):
                print(f"{self.now.total_seconds():5.2f} s", effect.event, effect.fields)
            response = self.group.execute(effect, self.now)
            if response is not None:
                effects += self.monitor.handle("watcher-1", response, self.now)

    def run_for(self, duration: timedelta) -> None:
        """Run steps for the given duration."""
        end = self.now + duration
        while self.now < end:
            self.step()

    def run_until_primary(self, other_than: str = "") -> str:
        """Run until there is a primary other than ``other_than`` and return its name.

        Raises ``TimeoutError`` after 20 s.
        """
        end = self.now + PROMOTION_TIMEOUT
        while self.now < end:
            self.step()
            primary = self.monitor.view.primary
            if not isinstance(primary, Missing) and primary != other_than:
                return primary
        raise TimeoutError("no primary was promoted in time")


def main() -> None:
    """Start a group, stop its primary and wait for the promotion of a replica."""
    program = Program(Group(["orders-a", "orders-b", "orders-c"]))
    first_primary = program.run_until_primary()
    # The monitor promotes no server until a majority of the servers has a log.
    program.run_for(REPLICATION_TIME)
    program.group.server_by_name[first_primary].is_up = False
    stopped_at = program.now
    second_primary = program.run_until_primary(other_than=first_primary)
    gap = (program.now - stopped_at).total_seconds()
    term = program.monitor.view.term
    print(
        f"{first_primary} stopped; "
        f"{second_primary} is primary of term {term} after {gap:.2f} s"
    )


if __name__ == "__main__":
    main()
