"""Fleet of real nodes with a manual clock and in-memory I/O adapters."""

import heapq
import itertools
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple

from bulrushloom.coordination.base import (
    LogEntry,
    ReadKey,
    SendMessage,
    SwapKey,
)
from bulrushloom.coordination.configuration.base import RulesChanged
from bulrushloom.coordination.configuration.tracker import ConfigurationTracker
from bulrushloom.coordination.failover.base import FailoverPolicy
from bulrushloom.coordination.limits.client import ShareClient
from bulrushloom.coordination.limits.holder import ShareHolder
from bulrushloom.coordination.membership.base import InstanceTable
from bulrushloom.coordination.queueing.fair import FairQueue
from bulrushloom.coordination.replication.base import (
    AwaitPosition,
    AwaitPositionAnswered,
    AwaitPositionFailed,
)
from bulrushloom.coordination.retries.budgets import BudgetedRetries
from bulrushloom.coordination.routing.policies import FreshReplicaPolicy
from bulrushloom.core.clock import Clock, ManualClock
from bulrushloom.databases.exceptions import ServerUnreachable
from bulrushloom.directories.base import InstanceEntry
from bulrushloom.instance.base import (
    Complete,
    Executed,
    RunBegin,
    RunEnd,
    RunStatement,
    Submit,
)
from bulrushloom.instance.executor import TargetExecutor
from bulrushloom.instance.node import Admit, Node, NodeComponents
from bulrushloom.instance.router import StatementRouter
from bulrushloom.instance.views import GroupViewCache
from bulrushloom.peers.base import MessageUndelivered, PeerIdentity, PeerLost
from tests.instance.platform import MemoryPlatform
from tests.instance.servers import Exchange, MemoryClient, MemoryServer, Run

TICK = timedelta(milliseconds=50)
DIRECTORY_INTERVAL = timedelta(seconds=2)
PEER_TIMEOUT = timedelta(seconds=1)
DOMAINS = ("east", "west", "north")
# Three instances per domain: a share holder needs a majority of its domain, so in a
# domain of two, the loss of either instance leaves accounts without a rate for 30 s.
INSTANCES = {f"{domain}-{number}": domain for domain in DOMAINS for number in (1, 2, 3)}
TARGETS = {
    f"orders-{letter}": domain for letter, domain in zip("abc", DOMAINS, strict=True)
}

Action = Callable[[], Any]


def seconds(value: float) -> timedelta:
    return timedelta(seconds=value)


class Network(NamedTuple):
    """Fault probabilities and maximum delay of peer messages and server calls."""

    loss: float = 0.0
    doubled: float = 0.0
    max_delay: float = 0.002
    call_loss: float = 0.0


class InlinePool:
    """Thread pool replacement that runs submitted calls as events of the fleet."""

    def __init__(self, schedule: Callable[[Action], None]):
        self._schedule = schedule

    def submit(self, function: Callable[..., Any], *args: Any) -> None:
        self._schedule(lambda: function(*args))

    def shutdown(self) -> None:
        return


class MemoryExecutor(TargetExecutor):
    """Execute the target calls of one node on the thread of the test."""

    def __init__(self, process: "Process", make_server: Any, clock: Clock):
        super().__init__(make_server, clock, process.post)
        self._process = process
        self._statements = InlinePool(process.start_call)  # type: ignore[assignment]
        self._control = InlinePool(process.start_call)  # type: ignore[assignment]

    def _run_control_call(self, effect: Any, endpoint: Any) -> None:
        if isinstance(effect, AwaitPosition):
            expires_at = self._process.fleet.now + effect.wait
            self._await_held(effect, endpoint.server, expires_at)
        else:
            super()._run_control_call(effect, endpoint)

    def _await_held(
        self, effect: AwaitPosition, client: Any, expires_at: timedelta
    ) -> None:
        """Poll the server every tick, as a substitute for a long poll."""
        fleet = self._process.fleet
        try:
            status = client.status()
        except Exception as error:
            self._post(AwaitPositionFailed(effect.target, str(error)))
            return
        if status.stored_position >= effect.position or fleet.now >= expires_at:
            self._post(AwaitPositionAnswered(effect.target, status))
        else:
            retry_at = fleet.now + TICK
            fleet.at(retry_at, lambda: self._await_held(effect, client, expires_at))


class Process:
    """One incarnation of an instance: a real node and its I/O adapters."""

    def __init__(self, fleet: "Fleet", name: str, domain: str, run: int):
        self.fleet, self.name, self.domain = fleet, name, domain
        self.incarnation = f"{name}/{run}"
        self.alive = True
        self.paused_until = timedelta()
        self.drained_at: timedelta | None = None
        self.origin = seconds(fleet.random.randrange(10**4))
        self.clients: list[MemoryClient] = []
        self.versions: list[int] = []
        self.leaving_since: dict[str, timedelta] = {}
        self.next_directory_at = timedelta()
        self.open_requests: dict[str, Callable[[Any], None]] = {}
        self.entry = InstanceEntry(name, domain, f"{name}:1", self.incarnation, False)
        self.node = self._build_node()
        self.executor = MemoryExecutor(self, self._make_client, ManualClock())

    @property
    def now(self) -> timedelta:
        return self.origin + self.fleet.now

    @property
    def is_ready(self) -> bool:
        return self.alive and not self.node.draining and self.node.is_ready(self.now)

    def _build_node(self) -> Node:
        fleet = self.fleet
        table = InstanceTable(self.entry)
        views = GroupViewCache(table)
        source = random.Random(fleet.random.getrandbits(32))
        tracker = ConfigurationTracker(self.name, self.domain, source)
        router = fleet.router_class(
            table, views, FreshReplicaPolicy(), BudgetedRetries(), lambda: tracker.view
        )
        member = (self.name, self.incarnation, self.domain)
        parts = NodeComponents(
            table, views, router, tracker, ShareClient(*member), [ShareHolder(*member)]
        )
        return fleet.node_class(parts, FailoverPolicy(), lambda: FairQueue(256))

    def _make_client(self, address: str) -> MemoryClient:
        fleet = self.fleet
        server = next(s for s in fleet.servers.values() if s.address == address)
        client = MemoryClient(
            server,
            fleet.servers,
            self.incarnation,
            lambda server: fleet.exchange(self.domain, server),
            lambda delay, action: fleet.at(fleet.now + delay, action),
            lambda: fleet.now,
        )
        self.clients.append(client)
        return client

    def start_call(self, action: Action) -> None:
        delay = self.fleet.delay()
        self.fleet.at(self.fleet.now + delay, lambda: self._run_call(action))

    def _run_call(self, action: Action) -> None:
        if self.alive:
            action()

    def post(self, message: Any) -> None:
        delay = self.fleet.delay()
        self.fleet.at(self.fleet.now + delay, lambda: self.receive(message))

    def receive(self, message: Any, sender: Any = None) -> None:
        """Handle a message; ``sender`` is the process of a peer or ``None``."""
        if not self.alive:
            return
        if self.fleet.now < self.paused_until:
            self.fleet.at(self.paused_until, lambda: self.receive(message, sender))
            return
        if sender is not None:
            identity = PeerIdentity(
                sender.domain, sender.incarnation, sender.entry.address
            )
            effects = self.node.observe_peer(sender.name, identity, self.now)
            self.perform(effects or [])
        name = self.name if sender is None else sender.name
        self.perform(self.node.handle(name, message, self.now))

    def tick(self) -> None:
        if not self.alive:
            return
        retry_at = max(self.fleet.now + TICK, self.paused_until)
        self.fleet.at(retry_at, self.tick)
        if self.fleet.now < self.paused_until:
            return
        self.perform(self.node.tick(self.now))
        if self.fleet.now >= self.next_directory_at:
            self.next_directory_at = self.fleet.now + DIRECTORY_INTERVAL
            entry = self.entry._replace(leaving=self.node.draining)
            self.fleet.platform.refresh(entry, self.domain, self.post)

    def admit(self, account: str, submit: Submit, done: Callable[[Any], None]) -> None:
        self.open_requests[submit.request_id] = done
        self.receive(Admit(account, submit))

    def drain(self) -> None:
        self.perform(self.node.drain(self.now))

    def perform(self, effects: list[Any]) -> None:
        for effect in effects:
            self._perform_one(effect)

    def _perform_one(self, effect: Any) -> None:
        if isinstance(effect, SendMessage):
            self.fleet.send(self, effect.recipient, effect.message)
        elif isinstance(effect, Complete):
            done = self.open_requests.pop(effect.request_id, None)
            assert done is not None, "invariant 8: a request was answered twice"
            done(effect.result)
        elif isinstance(effect, ReadKey | SwapKey):
            self.fleet.platform.call(effect, self.domain, self.post)
        elif isinstance(effect, RulesChanged):
            self._rules_changed()
        elif isinstance(effect, LogEntry):
            self.fleet.logged.append((self.fleet.now, self.name, effect))
        else:
            self._call_target(effect)

    def _rules_changed(self) -> None:
        rules = self.node.rules
        assert not self.versions or rules.version > self.versions[-1], (
            "invariant 13: the version of the rules went back"
        )
        self.versions.append(rules.version)
        for target, rule in rules.target_by_name.items():
            if rule.leaving:
                self.leaving_since.setdefault(target, self.fleet.now)
            else:
                self.leaving_since.pop(target, None)
        self.executor.update_targets(rules.target_by_name)

    def _call_target(self, effect: Any) -> None:
        rule = self.node.rules.target_by_name.get(effect.target)
        if rule is not None:
            self.executor.submit(effect, rule)
        elif isinstance(effect, RunStatement | RunBegin | RunEnd):
            error = ServerUnreachable("target is no longer declared")
            self.post(Executed(effect.target, effect.request_id, error, timedelta()))


class Fleet:
    """Instances, servers and platform with a common manual clock."""

    def __init__(
        self,
        seed: int = 0,
        node_class: type[Node] = Node,
        router_class: type[StatementRouter] = StatementRouter,
    ):
        self.random = random.Random(seed)
        self.node_class, self.router_class = node_class, router_class
        self.now = timedelta()
        self.network = Network()
        self.cut: set[str] = set()
        self.lagging: set[str] = set()
        self.logged: list[tuple[timedelta, str, LogEntry]] = []
        self.runs: list[Run] = []
        self.process_of_run: dict[str, Process] = {}
        self._events: list[tuple[timedelta, int, Action]] = []
        self._sequence = itertools.count()
        self._starts = itertools.count(1)
        self.servers = {
            name: MemoryServer(name, domain, f"127.0.0.1:{9001 + index}", self.runs)
            for index, (name, domain) in enumerate(TARGETS.items())
        }
        self.platform = MemoryPlatform(self)
        self.processes: dict[str, Process] = {}
        for name in INSTANCES:
            self.start(name)
        self.at(TICK, self._replicate)

    def at(self, time: timedelta, action: Action) -> None:
        heapq.heappush(self._events, (time, next(self._sequence), action))

    def run(self, duration: timedelta) -> None:
        end = self.now + duration
        while self._events and self._events[0][0] <= end:
            time, _, action = heapq.heappop(self._events)
            self.now = max(self.now, time)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], Any], limit: timedelta) -> bool:
        end = self.now + limit
        while self.now < end and not condition():
            self.run(TICK)
        return bool(condition())

    def delay(self) -> timedelta:
        return seconds(self.random.uniform(0.001, max(0.002, self.network.max_delay)))

    # Processes

    def start(self, name: str) -> Process:
        process = Process(self, name, INSTANCES[name], next(self._starts))
        self.processes[name] = process
        self.process_of_run[process.incarnation] = process
        self.at(self.now + TICK * self.random.random(), process.tick)
        return process

    def crash(self, name: str) -> None:
        process = self.processes[name]
        process.alive = False
        for client in process.clients:
            client.drop_connections()

    def heal(self) -> None:
        self.network = Network()
        self.cut.clear()
        self.lagging.clear()
        self.platform.heal()
        for process in self.processes.values():
            process.paused_until = min(process.paused_until, self.now)
        for server in self.servers.values():
            server.start()
        for name, process in list(self.processes.items()):
            if not process.alive:
                self.start(name)

    # Network

    def connected(self, one: str, other: str) -> bool:
        return one == other or not self.cut & {one, other}

    def send(self, sender: Process, recipient: str, message: Any) -> None:
        peer = self.processes.get(recipient)
        network, chance = self.network, self.random.random
        if peer is None or not self.connected(sender.domain, peer.domain):
            lost = PeerLost(recipient, "timeout")
            self.at(self.now + PEER_TIMEOUT, lambda: sender.receive(lost))
            return
        if not peer.alive:
            undelivered = MessageUndelivered(recipient, message)
            self.at(self.now + self.delay(), lambda: sender.receive(undelivered))
            return
        if chance() < network.loss:
            lost = PeerLost(recipient, "timeout")
            self.at(self.now + PEER_TIMEOUT, lambda: sender.receive(lost))
            if chance() < 0.5:
                return
        retry_at = seconds(self.random.uniform(0, 2))
        delays = [self.delay(), retry_at][: 1 + (chance() < network.doubled)]
        for delay in delays:
            self.at(self.now + delay, lambda: self._arrive(sender, recipient, message))

    def _arrive(self, sender: Process, recipient: str, message: Any) -> None:
        peer = self.processes[recipient]
        if self.connected(sender.domain, peer.domain):
            peer.receive(message, sender)

    def exchange(self, domain: str, server: MemoryServer) -> Exchange:
        chance = self.random.random
        if not server.is_up:
            return Exchange(arrives=False, refused=True)
        if not self.connected(domain, server.domain):
            return Exchange(arrives=False, answered=False)
        if chance() >= self.network.call_loss:
            return Exchange()
        if chance() < 0.5:
            return Exchange(answered=False)
        late = seconds(self.random.uniform(0.1, 2)) if chance() < 0.5 else None
        return Exchange(arrives=False, answered=False, late=late)

    def _replicate(self) -> None:
        self.at(self.now + TICK, self._replicate)
        for server in self.servers.values():
            source = self.servers.get(server.source or "")
            if source is None or not self.connected(server.domain, source.domain):
                continue
            working = server.is_up and source.is_up and source.term == server.term
            if working and source.role == "primary":
                count = 0 if server.name in self.lagging else 1000
                server.copy_from(source, count, self.now)
