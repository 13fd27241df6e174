"""A simulated database group that speaks the platform's statement protocol.

Every statement that runs is recorded with all that decides whether it was right to run
it: the connection, its account and values, and the server's log at that moment.
"""

import itertools
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from bulrushloom.runtime.loop import Loop
from bulrushloom.runtime.streams import Stream
from standins.platform.records import Commit, Run
from standins.platform.server_session import ServerSession

DEFAULT_WORK = timedelta(milliseconds=5)
REPLICATION_DELAY = timedelta(milliseconds=1)
DEFAULT_LAG = timedelta(milliseconds=20)
MAX_QUEUE = 24
# A replaced primary that can reach its successor follows it after this.
STEP_DOWN_DELAY = timedelta(seconds=1)


class SimulatedGroup:
    """Hold the servers of one service and what they ran."""

    def __init__(self, loop: Loop, service: str, sync_replicas: int = 1):
        self.loop = loop
        self.service = service
        self.sync_replicas = sync_replicas
        self.server_by_id: dict[str, SimulatedServer] = {}
        self.runs: list[Run] = []
        self.acknowledged: list[tuple[Commit, timedelta]] = []
        self.connection_numbers = itertools.count(1)
        self.transaction_numbers = itertools.count(1)

    def add(self, server_id: str, address: str, is_primary: bool) -> "SimulatedServer":
        """Add a server whose log is empty."""
        server = SimulatedServer(self, server_id, address, is_primary)
        self.server_by_id[server_id] = server
        return server

    def primary(self) -> "SimulatedServer":
        """Return the primary of the highest term."""
        primaries = [s for s in self.server_by_id.values() if s.is_primary]
        return max(primaries, key=lambda server: server.term)

    def promote(self, server_id: str, after: timedelta) -> None:
        """Make a server the primary of the next term after some time."""
        self.loop.call_later(after, lambda: self._lead(server_id))

    def _lead(self, server_id: str) -> None:
        server = self.server_by_id[server_id]
        server.term = max(s.term for s in self.server_by_id.values()) + 1
        server.is_primary = True
        server.paused_term = 0
        server.applied = len(server.log)
        for other in self.server_by_id.values():
            if other is server:
                continue
            if other.is_primary:
                # It goes on until it is told or finds its successor.
                step_down = partial(self.step_down, other)
                self.loop.call_later(STEP_DOWN_DELAY, step_down)
            else:
                other.follow(server)

    def step_down(self, server: "SimulatedServer") -> None:
        """Let a replaced primary that reaches its successor follow it."""
        leader = self.primary()
        if server is not leader and not server.drops_replication:
            server.is_primary = False
            server.follow(leader)

    def replicate(self, source: "SimulatedServer", commit: Commit) -> None:
        """Send a commit to the replicas that are in reach of the primary."""
        for server in self.server_by_id.values():
            if server is not source and not server.is_primary:
                receive = partial(server.receive, source, commit)
                self.loop.call_later(REPLICATION_DELAY, receive)


class SimulatedServer:
    """Run statements in the order of their arrival with a number of slots.

    Faults: ``answers_to_lose`` statements run and are not answered,
    ``answers_to_cut`` run and their answer ends midway with the connection,
    ``statements_to_refuse`` are answered as not run, ``drops_replication`` receives
    nothing.
    """

    def __init__(
        self, group: SimulatedGroup, server_id: str, address: str, is_primary: bool
    ):
        self.group = group
        self.loop = group.loop
        self.server_id = server_id
        self.address = address
        self.is_primary = is_primary
        self.term = 1
        self.paused_term = 0
        self.log: list[Commit] = []
        self.applied = 0
        self.lag = DEFAULT_LAG
        self.work = DEFAULT_WORK
        self.slots = 3
        self.max_connections = 40
        self.busy = 0
        self.queue: deque[Callable[[], None]] = deque()
        self.connections: set[ServerSession] = set()
        self.answers_to_lose = 0
        self.answers_to_cut = 0
        self.statements_to_refuse = 0
        self.refusals = 0
        self.drops_replication = False
        self._waiting: dict[Commit, Callable[[], None]] = {}

    def accept(self, stream: Stream) -> None:
        """Serve a new connection."""
        self.connections.add(ServerSession(self, stream))

    def follow(self, leader: "SimulatedServer") -> None:
        """Take the log of a new primary; entries that it lacks are rolled back."""
        self.term = leader.term
        self.log = list(leader.log)
        self.applied = min(self.applied, len(self.log))
        self.paused_term = 0
        self._waiting.clear()

    def received(self) -> tuple[int, int]:
        """Return the position of the last entry received."""
        return self.log[-1][:2] if self.log else (self.term, 0)

    def applied_position(self) -> tuple[int, int]:
        """Return the position of the last entry applied."""
        return self.log[self.applied - 1][:2] if self.applied else (1, 0)

    def receive(self, source: "SimulatedServer", commit: Commit) -> None:
        """Take a commit of the primary and apply it after the lag."""
        if self.drops_replication or self.paused_term > source.term or self.is_primary:
            return
        if source.term < self.term:
            return
        if commit in self.log:
            return
        self.log.append(commit)
        self.loop.call_later(self.lag, self._apply)
        source.acknowledge(commit)

    def _apply(self) -> None:
        self.applied = min(self.applied + 1, len(self.log))

    def commit(self, request_ids: tuple[str, ...], done: Callable[[], None]) -> None:
        """Append a commit; ``done`` is called once enough replicas have it."""
        number = self.received()[1] + 1
        commit = Commit(self.term, number, request_ids)
        self.log.append(commit)
        self.applied = len(self.log)
        if self.group.sync_replicas:
            self._waiting[commit] = done
        else:
            done()
        self.group.replicate(self, commit)

    def acknowledge(self, commit: Commit) -> None:
        """Note that a replica received a commit."""
        done = self._waiting.pop(commit, None)
        if done is not None and self.is_primary:
            self.group.acknowledged.append((commit, self.loop.now()))
            done()

    def demote(self, term: int) -> None:
        """Become a replica if the term is higher."""
        if self.is_primary and term > self.term:
            self.is_primary = False
            self.term = term - 1
            self._waiting.clear()

    def run(self, action: Callable[[], None]) -> bool:
        """Run ``action`` when a slot is free; return whether the queue takes it."""
        if self.busy >= self.slots and len(self.queue) >= MAX_QUEUE:
            return False
        self.queue.append(action)
        self._start_next()
        return True

    def _start_next(self) -> None:
        if self.busy >= self.slots or not self.queue:
            return
        action = self.queue.popleft()
        self.busy += 1

        def finish() -> None:
            self.busy -= 1
            action()
            self._start_next()

        self.loop.call_later(self.work, finish)

    def status_row(self) -> str:
        """Return what the server says of itself."""
        role = "primary" if self.is_primary else "replica"
        term, number = self.received()
        held = self.paused_term
        return f"ROW {role} {self.term} {term}.{number} {held} 0 {self.busy} 0"
