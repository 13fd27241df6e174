"""Embed ``GroupMonitor`` in a program: replace a primary that stopped answering.

The program owns three servers in memory and a clock of its own. It gives the monitor
the answers of the servers and carries out the effects that the monitor returns. A
real program does the same with sockets and a monotonic clock.

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

STEP = timedelta(milliseconds=50)
LIMIT = timedelta(seconds=20)
REPLICATION_TIME = timedelta(seconds=2)


class MemoryServer:
    """Keep the replication state of one server; a server grants a term once."""

    def __init__(self, name: str):
        self.name = name
        self.is_up = True
        self.term = 0
        self.role = Role.REPLICA
        self.held = ORIGIN
        self.candidate = ""
        self.heard_at: timedelta | None = None

    def status(self, now: timedelta) -> ServerStatus:
        """Return what a status call answers."""
        heard = None if self.heard_at is None else now - self.heard_at
        held = self.held
        return ServerStatus(self.name, self.role, self.term, held, held, heard, heard)

    def fence(self, term: int, candidate: str) -> bool:
        """Grant ``term`` to ``candidate``; refuse a lower or a granted term."""
        if term < self.term or (term == self.term and candidate != self.candidate):
            return False
        self.term, self.candidate, self.role = term, candidate, Role.REPLICA
        return True

    def promote(self, term: int, candidate: str) -> bool:
        """Become the primary and write the empty entry that begins the term."""
        if (term, candidate) != (self.term, self.candidate):
            return False
        self.role = Role.PRIMARY
        self.held = max(self.held, LogPosition(term, self.held.offset + 1))
        return True


class Group:
    """Hold the servers of a group and carry out the effects of a monitor."""

    def __init__(self, names: list[str]):
        self.server_by_name = {name: MemoryServer(name) for name in names}

    def replicate(self, now: timedelta) -> None:
        """Copy the log of the primary to the servers of its term."""
        servers = [server for server in self.server_by_name.values() if server.is_up]
        for primary in servers:
            if primary.role is not Role.PRIMARY:
                continue
            for server in servers:
                if server.term == primary.term:
                    server.held, server.heard_at = primary.held, now

    def carry_out(self, effect: Effect, now: timedelta) -> Message | None:
        """Return the answer to a call, or ``None`` if the effect is no call."""
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
    """Drive one monitor; ``now`` stands for the program's monotonic clock."""

    def __init__(self, group: Group):
        self.now = timedelta()
        self.group = group
        self.monitor = GroupMonitor("orders", "watcher-1", "watcher-1.run-1")
        targets = [GroupTarget(name) for name in group.server_by_name]
        self.monitor.update(targets, ["watcher-1"], "watcher-1")

    def step(self) -> None:
        """Let time pass and handle what the monitor wants, until it is done."""
        self.now += STEP
        self.group.replicate(self.now)
        effects = self.monitor.tick(self.now)
        while effects:
            effect = effects.pop(0)
            if isinstance(effect, LogEntry):
                print(f"{self.now.total_seconds():5.2f} s", effect.event, effect.fields)
            answer = self.group.carry_out(effect, self.now)
            if answer is not None:
                effects += self.monitor.handle("watcher-1", answer, self.now)

    def run_for(self, duration: timedelta) -> None:
        """Let time pass."""
        end = self.now + duration
        while self.now < end:
            self.step()

    def run_until_primary(self, other_than: str = "") -> str:
        """Return the primary once there is one; raise ``TimeoutError`` after 20 s."""
        end = self.now + LIMIT
        while self.now < end:
            self.step()
            primary = self.monitor.view.primary
            if not isinstance(primary, Missing) and primary != other_than:
                return primary
        raise TimeoutError("no primary")


def main() -> None:
    """Start a group, stop its primary and wait for the next one."""
    program = Program(Group(["orders-a", "orders-b", "orders-c"]))
    first = program.run_until_primary()
    # The monitor promotes nobody until a majority of the servers has a log.
    program.run_for(REPLICATION_TIME)
    program.group.server_by_name[first].is_up = False
    stopped_at = program.now
    second = program.run_until_primary(other_than=first)
    gap = (program.now - stopped_at).total_seconds()
    term = program.monitor.view.term
    print(f"{first} stopped; {second} is primary of term {term} after {gap:.2f} s")


if __name__ == "__main__":
    main()
