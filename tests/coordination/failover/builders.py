"""Simulated group of servers with watchers, owners and an unreliable network."""

import heapq
import itertools
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple

from bulrushloom.coordination.base import LogEntry, SendMessage
from bulrushloom.coordination.failover.base import (
    Fenced,
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
from bulrushloom.coordination.replication.base import (
    AwaitPosition,
    AwaitPositionAnswered,
    AwaitPositionFailed,
    WriteDurable,
)
from bulrushloom.coordination.replication.tracker import AcknowledgementTracker
from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.databases.base import Role
from standins.simulated_server import Entry, SimulatedServer

SERVERS = ("a", "b", "c")
NODES = ("w1", "w2", "w3")  # each one owns the server with the same index
GROUP = "orders-1"
STEP = timedelta(milliseconds=50)
CALL_TIMEOUT = timedelta(seconds=1)
ACK_DEADLINE = timedelta(seconds=3)


class Network(NamedTuple):
    loss: float = 0.0
    doubled: float = 0.0
    max_delay: timedelta = timedelta(milliseconds=2)


class SimulatedGroup:
    """Servers and nodes; each node has a monitor and a tracker for its server."""

    monitor_class: type[GroupMonitor] = GroupMonitor
    tracker_class: type[AcknowledgementTracker] = AcknowledgementTracker

    def __init__(self, seed: int = 0):
        self.random = random.Random(seed)
        self.now = timedelta()
        self.network = Network()
        self.copied_per_step = 3
        self.lagging: set[str] = set()
        self.isolated: frozenset[str] = frozenset()
        self.paused_nodes: set[str] = set()
        self.leaving: set[str] = set()
        self.server_by_name = {name: SimulatedServer(name) for name in SERVERS}
        self._due: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._runs = itertools.count(1)
        self.monitor_by_node: dict[str, GroupMonitor] = {}
        self.tracker_by_node: dict[str, AcknowledgementTracker] = {}
        self.position_by_payload: dict[str, LogPosition] = {}
        self.acknowledged: dict[str, LogPosition] = {}
        self.initial_log_by_term: dict[int, tuple[str, list[Entry]]] = {}
        self.logged: list[LogEntry] = []
        for node in NODES:
            self.restart_node(node)

    # Faults and operators

    def restart_node(self, node: str) -> None:
        candidate = f"{node}.{next(self._runs)}"
        self.monitor_by_node[node] = self.monitor_class(GROUP, node, candidate)
        own = SERVERS[NODES.index(node)]
        self.tracker_by_node[node] = self.tracker_class(own, SERVERS)
        self.update_rules()

    def update_rules(self) -> None:
        targets = [GroupTarget(name, name in self.leaving) for name in SERVERS]
        for node, monitor in self.monitor_by_node.items():
            monitor.update_servers(targets, NODES, node)

    def crash(self, name: str) -> None:
        self.server_by_name[name].is_up = False

    def heal(self) -> None:
        self.network = Network()
        self.isolated = frozenset()
        self.paused_nodes.clear()
        self.copied_per_step = 1000
        self.lagging = set()
        for server in self.server_by_name.values():
            server.paused = False
            if not server.is_up:
                server.restart()

    # Time

    def run(self, duration: timedelta) -> None:
        end = self.now + duration
        while self.now < end:
            self.now += STEP
            self._deliver_due()
            for node in NODES:
                if node not in self.paused_nodes:
                    now = self.now
                    self.perform(node, self.monitor_by_node[node].tick(now))
                    self.perform(node, self.tracker_by_node[node].tick(now))
            for server in self.server_by_name.values():
                self._replicate(server)

    def run_until(self, condition: Callable[[], Any], limit: timedelta) -> bool:
        end = self.now + limit
        while self.now < end and not condition():
            self.run(STEP)
        return bool(condition())

    def _deliver_due(self) -> None:
        while self._due and self._due[0][0] <= self.now:
            heapq.heappop(self._due)[2]()

    def _replicate(self, server: SimulatedServer) -> None:
        source = self.server_by_name.get(server.source or "")
        if source is None or not self._connected(server.name, source.name):
            return
        working = all(one.is_up and not one.paused for one in (server, source))
        if working and source.role is Role.PRIMARY and source.term == server.term:
            count = 0 if server.name in self.lagging else self.copied_per_step
            server.copy_from(source, count, self.now)

    # Network

    def _connected(self, one: str, other: str) -> bool:
        return (one in self.isolated) == (other in self.isolated)

    def _transmit(self, one: str, other: str, arrive: Callable[[], None]) -> None:
        """Deliver a message, which may be lost, delayed or duplicated."""

        def deliver() -> None:
            if self._connected(one, other):
                arrive()

        copies = 2 if self.random.random() < self.network.doubled else 1
        for _ in range(copies):
            if self.random.random() < self.network.loss:
                continue
            delay = self.network.max_delay * self.random.random()
            self._schedule(delay, deliver)

    def _schedule(self, delay: timedelta, action: Callable[[], Any]) -> None:
        heapq.heappush(self._due, (self.now + delay, next(self._sequence), action))

    def call(
        self, node: str, server: str, work: Callable[[SimulatedServer], Any]
    ) -> None:
        """Run ``work`` at the server and send the message it returns to the node."""
        monitor = self.monitor_by_node[node]

        def answer(message: Any) -> None:
            if self.monitor_by_node[node] is monitor:
                self._receive(node, message)

        def arrive() -> None:
            target = self.server_by_name[server]
            if target.paused:
                self._schedule(STEP, arrive)
            elif target.is_up:
                message = work(target)
                self._transmit(server, node, lambda: answer(message))

        self._transmit(node, server, arrive)

    def _receive(self, node: str, message: Any, sender: str = "") -> None:
        if node in self.paused_nodes:
            self._schedule(STEP, lambda: self._receive(node, message, sender))
            return
        monitor, tracker = self.monitor_by_node[node], self.tracker_by_node[node]
        self.perform(node, monitor.handle(sender, message, self.now))
        self.perform(node, tracker.handle(sender, message, self.now))

    # Effects

    def perform(self, node: str, effects: list[Any]) -> None:
        for effect in effects:
            self._perform_one(node, effect)

    def _perform_one(self, node: str, effect: Any) -> None:
        if isinstance(effect, LogEntry):
            self.logged.append(effect)
        elif isinstance(effect, WriteDurable):
            self._acknowledge(effect.request_id)
        elif isinstance(effect, SendMessage):
            peer, message = effect
            self._transmit(node, peer, lambda: self._receive(peer, message, node))
        elif isinstance(effect, PollStatus):
            self._poll(node, effect.target)
        elif isinstance(effect, AwaitPosition):
            self._await_held(node, effect)
        elif isinstance(effect, FenceServer | PromoteServer | FollowPrimary):
            self.call(
                node,
                effect.target,
                lambda server: self._execute_command(server, effect),
            )

    def _poll(self, node: str, name: str) -> None:
        server = self.server_by_name[name]
        if not server.is_up and self._connected(node, name):
            refused = StatusFailed(name, "connection refused")
            self._schedule(timedelta(), lambda: self._receive(node, refused))
            return
        self.call(node, name, lambda one: StatusReceived(name, one.status(self.now)))

    def _await_held(self, node: str, effect: AwaitPosition) -> None:
        """Check the server at every step, like a long poll."""
        name, poll_until = effect.target, self.now + effect.wait
        monitor, server = self.monitor_by_node[node], self.server_by_name[name]

        def check_server() -> None:
            if self.monitor_by_node[node] is not monitor:
                return
            if not server.is_up or not self._connected(node, name):
                self._receive(node, AwaitPositionFailed(name, "connection lost"))
            elif server.held >= effect.position or self.now >= poll_until:
                self._receive(
                    node, AwaitPositionAnswered(name, server.status(self.now))
                )
            else:
                self._schedule(STEP, check_server)

        self._schedule(timedelta(), check_server)

    def _execute_command(self, server: SimulatedServer, effect: Any) -> Any:
        name, term, party = effect
        if isinstance(effect, FenceServer):
            if server.fence(term, party):
                return Fenced(name, term, server.status(self.now))
            return FenceRefused(name, term, "term_taken")
        if isinstance(effect, PromoteServer):
            if server.promote(term, party):
                self._check_promotion(server)
                return Promoted(name, term, server.status(self.now))
            return PromoteFailed(name, term, "wrong_term")
        if server.follow(term, party):
            return Followed(name, term, server.status(self.now))
        return FollowFailed(name, term, "wrong_term")

    # Clients

    def write(self, node: str, payload: str) -> None:
        """Write through ``node`` if it considers its server the primary."""
        own = SERVERS[NODES.index(node)]
        view = self.monitor_by_node[node].view
        if view.primary != own or node in self.paused_nodes:
            return
        tracker = self.tracker_by_node[node]

        def execute(server: SimulatedServer) -> Any:
            if server.role is not Role.PRIMARY or server.term != view.term:
                return None
            server.log.append(Entry(server.term, payload))
            self.position_by_payload[payload] = server.held
            position = server.held
            self._transmit(own, node, lambda: wait(position))
            return None

        def wait(position: LogPosition) -> None:
            if node in self.paused_nodes:
                self._schedule(STEP, lambda: wait(position))
            elif self.tracker_by_node[node] is tracker:
                deadline = self.now + ACK_DEADLINE
                effects = tracker.track_write(payload, position, deadline, self.now)
                self.perform(node, effects)

        self.call(node, own, execute)

    # Invariants

    def _check_promotion(self, server: SimulatedServer) -> None:
        known = self.initial_log_by_term.get(server.term)
        assert known is None, f"two primaries in term {server.term}"
        self.initial_log_by_term[server.term] = (server.name, list(server.log))
        for payload, position in self.acknowledged.items():
            self._check_log(server.term, payload, position)

    def _acknowledge(self, payload: str) -> None:
        position = self.position_by_payload[payload]
        self.acknowledged[payload] = position
        for term in self.initial_log_by_term:
            self._check_log(term, payload, position)

    def _check_log(self, term: int, payload: str, position: LogPosition) -> None:
        if term > position.term:
            log = self.initial_log_by_term[term][1]
            assert Entry(position.term, payload) in log, (
                f"acknowledged write {payload} of term {position.term} "
                f"is not in the log of term {term}"
            )

    def primary(self) -> SimulatedServer | None:
        """Return the primary that a majority of the servers, with itself, follow."""
        for server in self.server_by_name.values():
            followers = [
                other
                for other in self.server_by_name.values()
                if other.source == server.name and other.term == server.term
            ]
            if server.is_up and server.role is Role.PRIMARY and followers:
                return server
        return None
