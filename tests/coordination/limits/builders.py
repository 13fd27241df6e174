"""A fleet of real share holders and clients with a simulated clock and network."""

import heapq
import json
from collections import defaultdict
from datetime import timedelta
from random import Random
from typing import Any, NamedTuple

from bulrushloom.coordination.base import (
    KeySwapped,
    KeyValue,
    ReadKey,
    SendMessage,
    StoreFailed,
    SwapKey,
)
from bulrushloom.coordination.limits.base import (
    AccountLimit,
    Member,
    ShareGrant,
    ShareRefused,
    TokenGranted,
    TokenRefused,
)
from bulrushloom.coordination.limits.client import ShareClient
from bulrushloom.coordination.limits.holder import ShareHolder
from bulrushloom.coordination.limits.utils import share_subject
from bulrushloom.coordination.membership.utils import rendezvous_order
from bulrushloom.instance.schedule import TickSchedule

TICK = timedelta(milliseconds=20)
LIST_INTERVAL = timedelta(seconds=1)
CLIENT_MESSAGES = (ShareGrant, ShareRefused)


def seconds(value: float) -> timedelta:
    return timedelta(seconds=value)


class Network(NamedTuple):
    """Faults of the network and of the store."""

    loss: float = 0.0
    doubling: float = 0.0
    min_delay: float = 0.001
    max_delay: float = 0.001
    store_up: bool = True
    # Probability that an answer of the store is lost; the call may have taken effect.
    store_lost: float = 0.0


class Node:
    """An instance with a share holder, a share client and its own clock."""

    def __init__(self, fleet: "Fleet", name: str, domain: str, run: int):
        self.name = name
        self.domain = domain
        self.member = Member(name, f"{name}/{run}")
        self.alive = True
        self.leaving = False
        self.paused_until = timedelta()
        # The tick schedule of an instance, so that missing ticks show up in the tests.
        self.schedule = TickSchedule()
        self.clock_offset = timedelta(seconds=fleet.random.randrange(10**6))
        self.holder = fleet.holder_class(name, self.member.incarnation, domain)
        self.client = fleet.client_class(name, self.member.incarnation, domain)


class Fleet:
    """Deliver messages and ticks to the share holders and clients of all instances."""

    def __init__(
        self,
        domain_sizes: dict[str, int],
        limits: dict[str, AccountLimit],
        seed: int = 0,
        holder_class: type[ShareHolder] = ShareHolder,
        client_class: type[ShareClient] = ShareClient,
    ):
        self.random = Random(seed)
        self.holder_class = holder_class
        self.client_class = client_class
        self.limits = limits
        self.domains = list(domain_sizes)
        self.network = Network()
        # Names of domains and instances that are cut off from all others.
        self.cut: set[str] = set()
        self.now = timedelta()
        self.store: dict[str, tuple[int, Any]] = {}
        self.store_calls = 0
        self.spent: dict[str, list[timedelta]] = defaultdict(list)
        self.refused: list[tuple[timedelta, str]] = []
        self.retry_delays: list[timedelta] = []
        self.waited: list[timedelta] = []
        self.sizes: dict[tuple[str, str], list[int]] = defaultdict(list)
        self._requests: dict[str, tuple[str, timedelta]] = {}
        self._events: list[tuple[timedelta, int, Any]] = []
        self._numbers = 0
        self.nodes: dict[str, Node] = {}
        for domain, size in domain_sizes.items():
            for index in range(size):
                self.start(f"{domain}{index}", domain)
        self._listed: list[Node] = list(self.nodes.values())
        self.at(timedelta(), self._publish_instances)

    def start(self, name: str, domain: str) -> None:
        self._numbers += 1
        node = self.nodes[name] = Node(self, name, domain, self._numbers)
        self.at(self.now, lambda: self._configure(node))
        self.at(self.now + TICK * self.random.random(), lambda: self._tick(node))

    def at(self, time: timedelta, action: Any) -> None:
        self._numbers += 1
        heapq.heappush(self._events, (time, self._numbers, action))

    def run(self, duration: float) -> None:
        end = self.now + seconds(duration)
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def kill(self, name: str) -> None:
        self.nodes[name].alive = False

    def restart(self, name: str) -> None:
        self.kill(name)
        self.start(name, self.nodes[name].domain)

    def pause(self, name: str, duration: float) -> None:
        self.nodes[name].paused_until = self.now + seconds(duration)

    def drain(self, name: str) -> None:
        node = self.nodes[name]
        node.leaving = True
        self._call_when_running(node, lambda now: node.holder.drain(now))

    def request(self, name: str, account: str) -> None:
        node = self.nodes[name]
        if node.alive:
            self._numbers += 1
            request_id = str(self._numbers)
            self._requests[request_id] = (account, self.now)
            self._call_when_running(
                node, lambda now: node.client.acquire(request_id, account, now)
            )

    def burst(self, name: str, account: str, count: int) -> None:
        for _ in range(count):
            self.request(name, account)

    def holders(self, domain: str) -> list[str]:
        return [
            node.name
            for node in self.nodes.values()
            if node.domain == domain and node.alive and node.holder.state == "holding"
        ]

    def excess(self, account: str) -> float:
        """Return the maximum by which spent tokens exceeded the rate and burst."""
        rate, burst = self.limits[account]
        level, worst, previous = burst, -burst, timedelta()
        for time in self.spent[account]:
            level = min(burst, level + rate * (time - previous).total_seconds()) - 1
            worst, previous = max(worst, -level), time
        return worst

    def _call_when_running(self, node: Node, call: Any) -> None:
        """Call an object with the clock of its node, after a pause of the node."""
        if not node.alive:
            return
        if node.paused_until > self.now:
            self.at(node.paused_until, lambda: self._call_when_running(node, call))
            return
        for effect in call(self.now + node.clock_offset):
            self._apply_effect(node, effect)

    def _tick(self, node: Node) -> None:
        if node.alive:
            components = [node.client, node.holder]
            self._call_when_running(
                node, lambda now: node.schedule.tick(components, now)
            )
            resume = max(self.now, node.paused_until)
            self.at(resume + TICK, lambda: self._tick(node))

    def _publish_instances(self) -> None:
        """Send every instance the list of live instances of the previous round."""
        listed, self._listed = self._listed, [n for n in self.nodes.values() if n.alive]
        for node in self.nodes.values():
            if node.alive:
                self._update_instances(node, listed)
        self.at(self.now + LIST_INTERVAL, self._publish_instances)

    def _configure(self, node: Node) -> None:
        self._update_instances(node, list(self.nodes.values()))
        domain_count = len(self.domains)
        self._call_when_running(
            node, lambda t: node.holder.update_accounts(self.limits, domain_count, t)
        )
        self._call_when_running(
            node, lambda t: node.client.update_accounts(self.limits, domain_count, t)
        )

    def _update_instances(self, node: Node, listed: list[Node]) -> None:
        names = {d: [n.name for n in listed if n.domain == d] for d in self.domains}
        others = {
            domain: rendezvous_order(share_subject(domain, 0), names[domain])
            for domain in self.domains
            if domain != node.domain
        }
        members = [n.member for n in listed if n.domain == node.domain]
        members = [m for m in members if not self.nodes[m.name].leaving]
        self._call_when_running(
            node, lambda t: node.holder.update_instances(members, others, t)
        )
        self._call_when_running(node, lambda t: node.client.update_instances(names, t))

    def _apply_effect(self, node: Node, effect: Any) -> None:
        if isinstance(effect, SendMessage):
            self._send(node, effect)
        elif isinstance(effect, ReadKey | SwapKey):
            self._call_store(node, effect)
        elif isinstance(effect, TokenGranted):
            account, arrived = self._requests.pop(effect.request_id)
            self.spent[account].append(self.now)
            self.waited.append(self.now - arrived)
        elif isinstance(effect, TokenRefused):
            account, _ = self._requests.pop(effect.request_id)
            self.refused.append((self.now, account))
            self.retry_delays.append(effect.retry_after)

    def _send(self, node: Node, effect: SendMessage) -> None:
        recipient = self.nodes.get(effect.recipient)
        if recipient is None:
            return
        local = recipient is node
        if not local:
            self._measure(node, effect.message)
        lost = self.random.random() < self.network.loss
        ends = {node.name, recipient.name}
        if node.domain != recipient.domain:
            ends |= {node.domain, recipient.domain}
        if not local and (lost or self.cut & ends):
            return
        doubled = not local and self.random.random() < self.network.doubling
        for _ in range(2 if doubled else 1):
            delay = timedelta() if local else self._delay()
            self._deliver(node.name, recipient, effect.message, delay)

    def _measure(self, node: Node, message: Any) -> None:
        size = len(json.dumps(message, separators=(",", ":")))
        self.sizes[node.name, type(message).__name__].append(size)

    def _delay(self) -> timedelta:
        return seconds(
            self.random.uniform(self.network.min_delay, self.network.max_delay)
        )

    def _deliver(
        self, sender: str, recipient: Node, message: Any, delay: timedelta
    ) -> None:
        component = (
            recipient.client
            if isinstance(message, CLIENT_MESSAGES)
            else recipient.holder
        )
        self.at(
            self.now + delay,
            lambda: self._call_when_running(
                recipient, lambda now: component.handle(sender, message, now)
            ),
        )

    def _call_store(self, node: Node, effect: Any) -> None:
        self.store_calls += 1
        lost = self.random.random() < self.network.store_lost
        takes_effect = self.network.store_up and not (
            lost and self.random.random() < 0.3
        )
        answer: Any = StoreFailed(effect.key, "no answer")

        def act() -> None:
            nonlocal answer
            version, value = self.store.get(effect.key, (0, None))
            if isinstance(effect, ReadKey):
                answer = KeyValue(effect.key, version, value)
            elif version == effect.expected_version:
                value = json.loads(json.dumps(effect.value))
                self.store[effect.key] = (version + 1, value)
                answer = KeySwapped(effect.key, True, version + 1)
            else:
                answer = KeySwapped(effect.key, False, version)

        if takes_effect and lost and self.random.random() < 0.5:
            # The write takes effect long after the caller stopped waiting.
            self.at(self.now + self._delay() + seconds(2), act)
        elif takes_effect:
            act()
        if lost:
            answer = StoreFailed(effect.key, "answer lost")
        reply = answer
        self._deliver(node.name, node, reply, self._delay())
