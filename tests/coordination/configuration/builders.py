"""Fleet of configuration trackers with a simulated network and store."""

import heapq
import itertools
import random
from collections import Counter
from datetime import timedelta

import orjson

from bulrushloom.coordination.base import KeyValue, ReadKey, SendMessage, StoreFailed
from bulrushloom.coordination.configuration.base import RULES_KEY, RulesChanged
from bulrushloom.coordination.configuration.freshness import (
    FRESHNESS_PERIOD,
    STALE_GRACE_PERIOD,
)
from bulrushloom.coordination.configuration.tracker import ConfigurationTracker
from bulrushloom.rules.keys import key_digest

SECOND = timedelta(seconds=1)
STEP = timedelta(milliseconds=100)
# Size of the HTTP request and response headers assumed for each message.
MESSAGE_OVERHEAD_BYTES = 450
STORE_TIMEOUT = timedelta(seconds=1)
STALE_BOUND = FRESHNESS_PERIOD + STALE_GRACE_PERIOD
QUIET_BOUND = 3 * SECOND
CONVERGENCE_BOUND = 6 * SECOND
KEYS = [f"key {number}" for number in range(6)]
INVALID_TEXT = "domain d0 region=r"


def rules_text(domains: int, edition: int, withdrawn: int) -> str:
    """Return rules with ``KEYS``, of which the first ``withdrawn`` are withdrawn."""
    lines = [f"domain d{number} region=r # ops: site" for number in range(domains)]
    lines.append(f"account a rate=1 burst=9 # ops: edition {edition}")
    lines += [f"key a {key_digest(key)} # ops: app" for key in KEYS]
    lines += [f"withdraw {key_digest(key)} # ops: lost" for key in KEYS[:withdrawn]]
    return "\n".join(lines)


class Node:
    """Hold one tracker and the origin of its clock."""

    def __init__(self, tracker: ConfigurationTracker, origin: timedelta):
        self.tracker = tracker
        self.origin = origin
        self.paused = False
        self.highest = 0


class Fleet:
    """Run trackers and check invariants 6 and 13 after each step.

    Invariant 6: withdrawn keys are refused in time. Invariant 13: the version of the
    rules never decreases.
    """

    def __init__(
        self, instances: int, domains: int, tracker_class=ConfigurationTracker
    ):
        self.source = random.Random(instances)
        self.domains = domains
        self.tracker_class = tracker_class
        self.domain_by_name = {f"n{i}": f"d{i % domains}" for i in range(instances)}
        self.now = timedelta()
        self.events: list = []
        self.sequence = itertools.count()
        self.cut: set[str] = set()
        self.cut_from_store: set[str] = set()
        self.store_up = True
        self.emptied = False
        self.loss = 0.0
        self.slow_messages = False
        self.next_answer_delay = timedelta()
        self.last_fault_at = -QUIET_BOUND
        self.bytes_by_name: Counter = Counter()
        self.reads = 0
        self.written_at = timedelta()
        self.store_version = 1
        self.valid_version = 1
        self.withdrawn_at_by_key: dict[str, timedelta] = {}
        self.store_text = rules_text(domains, 0, 0)
        self.node_by_name: dict[str, Node] = {}
        for name in self.domain_by_name:
            self.start(name)

    def start(self, name: str) -> None:
        seed = random.Random(self.source.random())
        tracker = self.tracker_class(name, self.domain_by_name[name], seed)
        self.node_by_name[name] = node = Node(
            tracker, timedelta(seconds=self.source.randrange(10**6))
        )
        tracker.update_instances(self.domain_by_name, node.origin)

    def clock(self, name: str) -> timedelta:
        return self.now + self.node_by_name[name].origin

    def write(self, withdraw: bool = False) -> None:
        if withdraw:
            key = KEYS[len(self.withdrawn_at_by_key)]
            self.withdrawn_at_by_key[key] = self.now
        self.store_version += 1
        self.valid_version = self.store_version
        self.store_text = rules_text(
            self.domains, self.store_version, len(self.withdrawn_at_by_key)
        )
        self.written_at = self.now

    def write_invalid(self) -> None:
        self.store_version += 1
        self.store_text = INVALID_TEXT
        self.written_at = self.now

    def heal(self) -> None:
        self.cut, self.cut_from_store = set(), set()
        self.store_up, self.emptied = True, False
        self.loss, self.slow_messages = 0.0, False
        for node in self.node_by_name.values():
            node.paused = False

    @property
    def faulty(self) -> bool:
        return bool(
            self.cut
            or self.loss
            or self.slow_messages
            or self.emptied
            or not self.store_up
            or any(node.paused for node in self.node_by_name.values())
        )

    def run(self, duration: timedelta) -> None:
        end = self.now + duration
        while self.now < end:
            self.now += STEP
            if self.faulty:
                self.last_fault_at = self.now
            while self.events and self.events[0][0] <= self.now:
                _, _, node, name, sender, message = heapq.heappop(self.events)
                # The sockets of a former incarnation are closed, so its events are
                # dropped.
                if self.node_by_name[name] is not node:
                    continue
                if node.paused:
                    self.put(STEP, name, sender, message)
                    continue
                if self.connected(sender, name):
                    effects = node.tracker.handle(sender, message, self.clock(name))
                    self.perform(name, effects)
            for name, node in self.node_by_name.items():
                if not node.paused:
                    self.perform(name, node.tracker.tick(self.clock(name)))
            self.check()

    def connected(self, one: str, other: str) -> bool:
        left, right = self.domain_by_name[one], self.domain_by_name[other]
        return left == right or not {left, right} & self.cut

    def put(self, delay: timedelta, name: str, sender: str, message) -> None:
        node = self.node_by_name[name]
        event = (self.now + delay, next(self.sequence), node, name, sender, message)
        heapq.heappush(self.events, event)

    def perform(self, name: str, effects) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage):
                self.send(name, effect)
            elif isinstance(effect, ReadKey):
                self.read(name)
            elif isinstance(effect, RulesChanged):
                node = self.node_by_name[name]
                assert effect.version > node.highest, "the version went back"
                node.highest = effect.version

    def send(self, name: str, effect: SendMessage) -> None:
        size = MESSAGE_OVERHEAD_BYTES + len(orjson.dumps(list(effect.message)))
        self.bytes_by_name[name] += size
        self.bytes_by_name[effect.recipient] += size
        copies = 1 + (self.loss > 0 and self.source.random() < 0.2)
        for _ in range(copies):
            if self.source.random() < self.loss:
                continue
            delay = timedelta(milliseconds=self.source.randint(1, 5))
            if self.slow_messages and self.source.random() < 0.3:
                delay += self.source.randint(1, 12) * SECOND
            self.put(delay, effect.recipient, name, effect.message)

    def read(self, name: str) -> None:
        self.reads += 1
        if not self.store_up or self.domain_by_name[name] in self.cut_from_store:
            self.put(STORE_TIMEOUT, name, name, StoreFailed(RULES_KEY, "timeout"))
            return
        answer = KeyValue(RULES_KEY, self.store_version, {"text": self.store_text})
        if self.emptied:
            answer = KeyValue(RULES_KEY, 0, None)
        delay = self.next_answer_delay or timedelta(milliseconds=5)
        self.next_answer_delay = timedelta()
        self.put(delay, name, name, answer)

    def check(self) -> None:
        for name, node in self.node_by_name.items():
            assert node.tracker.version >= node.highest, "the version went back"
            for key, withdrawn_at in self.withdrawn_at_by_key.items():
                quiet = self.last_fault_at + QUIET_BOUND < withdrawn_at
                bound = QUIET_BOUND if quiet else STALE_BOUND + STEP
                if self.now >= withdrawn_at + bound:
                    accepted = node.tracker.find_account(key, self.clock(name))
                    assert accepted != "a", f"{name} accepts a withdrawn key"

    def check_converged(self) -> None:
        for name, node in self.node_by_name.items():
            assert node.tracker.version == self.valid_version, f"{name} is behind"
            assert node.tracker.is_fresh(self.clock(name)), f"{name} is not fresh"
