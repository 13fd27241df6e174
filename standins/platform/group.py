"""A simulated database group that speaks the platform's statement protocol.

Every statement that runs is recorded with what the consistency checks need: its
connection, account and session values, and the position up to which the server had
applied the log.
"""

import itertools
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from bulrushloom.runtime.loop import Loop
from bulrushloom.runtime.streams import Stream
from standins.platform.records import Commit, Promotion, Query, Run, Start
from standins.platform.server_session import ServerSession

DEFAULT_SERVICE_TIME = timedelta(milliseconds=5)
REPLICATION_DELAY = timedelta(milliseconds=1)
DEFAULT_LAG = timedelta(milliseconds=20)
MAX_QUEUE = 24
# A replaced primary follows its reachable successor after this delay.
STEP_DOWN_DELAY = timedelta(seconds=1)
# A replica that cannot reach the primary tries again after this time.
REJOIN_INTERVAL = timedelta(milliseconds=50)
_MILLISECOND = timedelta(milliseconds=1)


class SimulatedGroup:
    """The servers of one service and the statements that they ran."""

    def __init__(self, loop: Loop, service: str, sync_replicas: int = 1):
        self.loop = loop
        self.service = service
        self.sync_replicas = sync_replicas
        self.server_by_id: dict[str, SimulatedServer] = {}
        self.promoted_id = ""
        self.runs: list[Run] = []
        self.starts: list[Start] = []
        self.queries: list[Query] = []
        self.acknowledged: list[tuple[Commit, timedelta]] = []
        self.promotions: list[Promotion] = []
        self.connection_numbers = itertools.count(1)
        self.transaction_numbers = itertools.count(1)

    def add(self, server_id: str, address: str, is_primary: bool) -> "SimulatedServer":
        """Add a server with an empty log."""
        server = SimulatedServer(self, server_id, address, is_primary)
        self.server_by_id[server_id] = server
        if is_primary:
            self.promoted_id = server_id
        return server

    def join(self, server_id: str, address: str) -> "SimulatedServer":
        """Add a replica that copies the log of the primary and follows it."""
        server = self.add(server_id, address, False)
        server.restart()
        return server

    def primary(self) -> "SimulatedServer":
        """Return the primary of the highest term.

        After a demotion there may be none; it is then the server with the longest log.
        """
        servers = self.server_by_id.values()
        primaries = [server for server in servers if server.is_primary]
        return max(primaries or servers, key=lambda s: (s.term, s.received()))

    def present_primary(self) -> "SimulatedServer | None":
        """Return the server that leads, or ``None`` after a demotion.

        A primary that was replaced may not have discovered its successor yet.
        """
        server = self.primary()
        return server if server.is_primary else None

    def promote(self, server_id: str, after: timedelta) -> None:
        """Make a server the primary of the next term after a delay."""
        self.loop.call_later(after, lambda: self._become_primary(server_id))

    def _become_primary(self, server_id: str) -> None:
        server = self.server_by_id.get(server_id)
        if server is None or not server.is_running:
            return
        self.promoted_id = server_id
        server.term = max(s.term for s in self.server_by_id.values()) + 1
        server.is_primary = True
        server.is_joining = False
        server.paused_term = 0
        server.applied = len(server.log)
        self.promotions.append(
            Promotion(self.loop.now(), server_id, server.term, server.received())
        )
        for other in self.server_by_id.values():
            if other is server:
                continue
            if other.is_primary:
                # The replaced primary serves until a DEMOTE statement reaches it or
                # it discovers its successor.
                step_down = partial(self.step_down, other)
                self.loop.call_later(STEP_DOWN_DELAY, step_down)
            else:
                other.follow(server)

    def step_down(self, server: "SimulatedServer") -> None:
        """Make a replaced primary follow its successor if it can reach it."""
        new_primary = self.primary()
        if server is not new_primary and not server.drops_replication:
            server.is_primary = False
            server.follow(new_primary)

    def rejoin(self, server: "SimulatedServer") -> None:
        """Make a replica copy the primary's log as soon as it reaches the primary.

        It receives no commits before that, because it lacks earlier ones.
        """
        server.is_joining = not server.is_primary
        self._try_to_join(server)

    def _try_to_join(self, server: "SimulatedServer") -> None:
        if server not in self.server_by_id.values() or not server.is_joining:
            return
        server.copy_from_primary()
        if server.is_joining:
            retry = partial(self._try_to_join, server)
            self.loop.call_later(REJOIN_INTERVAL, retry)

    def replicate(self, source: "SimulatedServer", commit: Commit) -> None:
        """Send a commit to all replicas after the replication delay."""
        for server in self.server_by_id.values():
            if server is not source and not server.is_primary:
                receive = partial(server.receive, source, commit)
                self.loop.call_later(REPLICATION_DELAY, receive)


class SimulatedServer:
    """A database server that runs queued statements in its execution slots.

    A statement takes the time ``work``, and a replica applies commits after ``lag``.
    While ``paused_term`` is set by a PAUSE statement, commits of lower terms are
    ignored. Attributes that inject faults:

    - ``answers_to_lose``: number of next statements that run without an answer
    - ``answers_to_cut``: number of next statements that run and whose answer is
      truncated by a close of the connection
    - ``row_bytes``: size of the padding in the row of a read
    - ``statements_to_refuse``: number of next statements that are refused as busy
    - ``drops_replication``: whether commits of the primary are lost

    ``born_ms`` is the time of its latest start. ``is_joining`` means that the server is
    a replica whose log lacks commits.
    """

    def __init__(
        self, group: SimulatedGroup, server_id: str, address: str, is_primary: bool
    ):
        self.group = group
        self.loop = group.loop
        self.server_id = server_id
        self.address = address
        self.is_primary = is_primary
        self.is_running = True
        self.is_joining = False
        self.born_ms = 1
        self.term = 1
        self.paused_term = 0
        self.log: list[Commit] = []
        self.applied = 0
        self.lag = DEFAULT_LAG
        self.work = DEFAULT_SERVICE_TIME
        self.slots = 3
        self.max_connections = 40
        self.busy = 0
        self.queue: deque[Callable[[], None]] = deque()
        self.connections: set[ServerSession] = set()
        self.answers_to_lose = 0
        self.answers_to_cut = 0
        self.row_bytes = 0
        self.statements_to_refuse = 0
        self.refusals = 0
        self.drops_replication = False
        self._callback_by_commit: dict[Commit, Callable[[], None]] = {}

    @property
    def is_reachable(self) -> bool:
        """Return whether the server runs and reaches the other servers."""
        return self.is_running and not self.drops_replication

    def accept(self, stream: Stream) -> None:
        """Start a session on a new connection."""
        self.connections.add(ServerSession(self, stream))

    def follow(self, new_primary: "SimulatedServer") -> None:
        """Copy the log of a new primary, which ends a pause."""
        self.copy_log(new_primary)
        self.paused_term = 0
        self._callback_by_commit.clear()

    def copy_log(self, new_primary: "SimulatedServer") -> None:
        """Copy the log of a primary; entries that it lacks are discarded."""
        self.term = new_primary.term
        self.log = list(new_primary.log)
        self.applied = min(self.applied, len(self.log))
        self.is_joining = False

    def restart(self, kept_commits: int | None = None) -> None:
        """Start again under the same id, with the first ``kept_commits`` of the log.

        ``None`` keeps the whole log. Connections and a pause end. A primary is the
        primary again, even if it was demoted, unless another server was promoted. A
        replica copies what it lacks from the primary and follows it.
        """
        self.born_ms = 1 + self.loop.now() // _MILLISECOND
        for connection in list(self.connections):
            connection.stream.close("restarted")
        self.connections.clear()
        self.queue.clear()
        self.busy = 0
        self.paused_term = 0
        self._callback_by_commit.clear()
        if kept_commits is not None:
            self.log = self.log[:kept_commits]
        self.is_primary = self.group.promoted_id == self.server_id
        self.applied = len(self.log)
        for server in self.group.server_by_id.values():
            if server is self or self.is_primary:
                server.copy_from_primary()

    def copy_from_primary(self) -> None:
        """Copy the log of the primary, if in reach, and acknowledge its commits."""
        source = self.group.server_by_id.get(self.group.promoted_id)
        if source is None or self.is_primary or not source.is_primary:
            return
        is_cut = not self.is_reachable or not source.is_reachable
        if is_cut or self.paused_term > source.term:
            return
        self.copy_log(source)
        for commit in self.log[self.applied :]:
            self.loop.call_later(self.lag, self._apply)
            source.acknowledge(commit)

    def received(self) -> tuple[int, int]:
        """Return the position of the last entry received."""
        return self.log[-1][:2] if self.log else (self.term, 0)

    def applied_position(self) -> tuple[int, int]:
        """Return the position of the last entry applied."""
        return self.log[self.applied - 1][:2] if self.applied else (1, 0)

    def receive(self, source: "SimulatedServer", commit: Commit) -> None:
        """Append a commit of the primary and apply it after ``lag``.

        Commits are ignored if they come from a lower term than the server's own, if
        replication is paused for a higher term, or if replication is dropped.
        """
        if self.drops_replication or self.paused_term > source.term or self.is_primary:
            return
        if self.is_joining or source.term < self.term:
            return
        if commit in self.log:
            return
        self.log.append(commit)
        self.loop.call_later(self.lag, self._apply)
        source.acknowledge(commit)

    def _apply(self) -> None:
        self.applied = min(self.applied + 1, len(self.log))

    def commit(self, request_ids: tuple[str, ...], done: Callable[[], None]) -> None:
        """Append a commit and replicate it.

        ``done`` is called when the first replica has received it, or at once if the
        group replicates asynchronously.
        """
        number = self.received()[1] + 1
        commit = Commit(self.term, number, request_ids)
        self.log.append(commit)
        self.applied = len(self.log)
        if self.group.sync_replicas:
            self._callback_by_commit[commit] = done
        else:
            done()
        self.group.replicate(self, commit)

    def acknowledge(self, commit: Commit) -> None:
        """Handle the receipt of a commit by a replica."""
        done = self._callback_by_commit.pop(commit, None)
        if done is not None and self.is_primary:
            self.group.acknowledged.append((commit, self.loop.now()))
            done()

    def demote(self, term: int) -> None:
        """Become a replica if ``term`` is higher than the server's own."""
        if self.is_primary and term > self.term:
            self.is_primary = False
            self.term = term - 1
            self._callback_by_commit.clear()

    def run(self, action: Callable[[], None]) -> bool:
        """Queue ``action`` for a free slot; return whether the queue has room."""
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
        born_ms = self.born_ms

        def finish() -> None:
            if self.born_ms != born_ms:
                return
            self.busy -= 1
            action()
            self._start_next()

        self.loop.call_later(self.work, finish)

    def status_row(self) -> str:
        """Return the row that answers a STATUS statement."""
        role = "primary" if self.is_primary else "replica"
        term, number = self.received()
        held = self.paused_term
        return f"ROW {role} {self.term} {term}.{number} {held} 0 {self.busy} 0"
