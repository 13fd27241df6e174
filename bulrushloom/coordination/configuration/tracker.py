"""The rules in force at one instance."""

import random
from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from bulrushloom.coordination.base import (
    DecisionComponent,
    Effect,
    KeyValue,
    LogEntry,
    Message,
    ReadKey,
    SendMessage,
    StoreFailed,
    idle_tick,
)
from bulrushloom.coordination.configuration.assurance import (
    FRESH_FOR,
    Assurance,
)
from bulrushloom.coordination.configuration.base import (
    RULES_KEY,
    Ping,
    Pong,
    RulesChanged,
    RulesRequest,
    RulesText,
)
from bulrushloom.coordination.configuration.reading import StoreReading
from bulrushloom.coordination.configuration.topology import (
    READERS,
    SUBSTITUTE_READERS,
    Topology,
)
from bulrushloom.coordination.configuration.utils import pack_text, unpack_text
from bulrushloom.coordination.configuration.view import ConfigurationView
from bulrushloom.core.clock import milliseconds
from bulrushloom.core.errors import Refusal
from bulrushloom.rules.base import EMPTY_RULES, RuleSet
from bulrushloom.rules.parser import parse_rules

PING_INTERVAL = timedelta(seconds=1)
# Each level of the tree adds up to one interval to the age of a confirmation, so an
# instance asks one parent in between once its own is this old.
HASTY_AGE = timedelta(seconds=2)
HASTY_INTERVAL = timedelta(milliseconds=500)
PONG_LIMIT = timedelta(seconds=3)
REQUEST_RETRY = timedelta(milliseconds=300)
# Substitute readers start one after the other.
SUBSTITUTE_AGE = timedelta(milliseconds=2500)
SUBSTITUTE_STEP = timedelta(milliseconds=250)
MAX_EXCHANGE_BITS = 53
MAX_LOGGED_PROBLEMS = 5


class ConfigurationTracker(DecisionComponent):
    """Hold the newest rules that this instance has seen and whether they are fresh.

    ``source`` chooses peers and exchange identifiers. Its seed differs for each start
    of the process, or a late ``Pong`` to a former incarnation could pass for a new
    one. The store client answers each ``ReadKey`` once, by ``KeyValue`` or
    ``StoreFailed``, within 5 s.
    """

    def __init__(self, name: str, domain: str, source: random.Random):
        self.name = name
        self.domain = domain
        self.rules: RuleSet = EMPTY_RULES
        self.text = ""
        self.draining = False
        self._source = source
        self._topology = Topology(name, domain)
        self._assurance = Assurance(domain)
        self._reading = StoreReading()
        self._packed = ""
        self._broken_version = -1
        # A restarted instance may know less than its former incarnation did. It
        # speaks for its domain only after it was fresh once.
        self._vouches = False
        self._next_ping_at = timedelta()
        self._hasty_ping_at = timedelta()
        self._sent_at_by_exchange: dict[tuple[str, int], timedelta] = {}
        self._newer_by_peer: dict[str, int] = {}
        self._requested_at: timedelta | None = None
        self._version_by_instance: dict[str, int] = {}
        self._draining_peers: set[str] = set()
        self._reported_store_version: int | None = None

    @property
    def version(self) -> int:
        """Return the version in force, or 0 before there is one."""
        return self.rules.version

    @property
    def versions_seen(self) -> dict[str, int]:
        """Return the last version heard from each listed instance, own included."""
        return self._version_by_instance | {self.name: self.version}

    @property
    def draining_peers(self) -> frozenset[str]:
        """Return the instances that announced that they drain."""
        return frozenset(self._draining_peers)

    @property
    def view(self) -> ConfigurationView:
        """Return an immutable snapshot for other threads."""
        return ConfigurationView(self.rules, self._assurance.assured_at)

    def is_fresh(self, now: timedelta) -> bool:
        """Return whether no newer version existed 3 s ago or later."""
        age = self._assurance.age(now)
        return age is not None and age <= FRESH_FOR

    def find_account(self, presented: str, now: timedelta) -> str | Refusal:
        """Return the account of a presented key or why the key is refused."""
        return self.view.find_account(presented, now)

    def key_allowed(self, digest: str, now: timedelta) -> str | Refusal:
        """Return the account of the key with ``digest`` or why it is refused."""
        return self.view.check_key(self.rules.key_by_digest.get(digest), now)

    def update_instances(
        self, domain_by_name: Mapping[str, str], now: timedelta
    ) -> list[Effect]:
        """Replace the list of instances; names map to failure domains."""
        self._topology.update(domain_by_name)
        listed = set(domain_by_name) - {self.name}
        self._version_by_instance = {
            name: version
            for name, version in self._version_by_instance.items()
            if name in listed
        }
        self._draining_peers &= listed
        return []

    def handle(self, sender: str, message: Message, now: timedelta) -> list[Effect]:
        """Handle a peer message or the answer to a store read."""
        match message:
            case KeyValue(key=key) | StoreFailed(key=key) if key != RULES_KEY:
                return []
            case KeyValue():
                return self._handle_value(message, now)
            case StoreFailed():
                self._reading.finish(usable=False)
                return []
            case Ping():
                return self._handle_ping(sender, message, now)
            case Pong():
                return self._handle_pong(sender, message, now)
            case RulesRequest():
                return self._handle_request(sender, message)
            case RulesText():
                return self._handle_text(sender, message, now)
        return []

    def tick(self, now: timedelta) -> list[Effect]:
        """Read the store, ask peers and repeat requests when due."""
        self._vouches = self._vouches or self.is_fresh(now)
        if self._vouches and self._reading.is_failing(now):
            self._assurance.report_outage(self.domain, now)
        self._assurance.combine_outages(self._domains())
        effects = self._read_if_due(now)
        effects += self._ping_if_due(now)
        effects += self._request_if_due(now)
        return effects

    def next_tick(self, last: timedelta) -> timedelta:
        """Return when the next read, ping or repeated request may be due."""
        times = [self._next_ping_at, self._hasty_ping_at, self._reading.next_at]
        if self._requested_at is not None:
            times.append(self._requested_at + REQUEST_RETRY)
        return min([idle_tick(last), *(at for at in times if at > last)])

    def _domains(self) -> frozenset[str]:
        return frozenset(self.rules.domain_by_name) or self._topology.domains

    def _is_newer(self, version: int) -> bool:
        """Return whether ``version`` is to replace the one in force."""
        return version > self.version and version != self._broken_version

    def _read_if_due(self, now: timedelta) -> list[Effect]:
        if not (self._topology.is_reader or self._substitutes(now)):
            return []
        if not self._reading.is_due(now):
            return []
        self._reading.start(now)
        return [ReadKey(RULES_KEY)]

    def _substitutes(self, now: timedelta) -> bool:
        """Return whether to read in place of readers that do not answer."""
        place = self._topology.rank - READERS
        if place >= SUBSTITUTE_READERS:
            return False
        age = self._assurance.age(now)
        return age is None or age > SUBSTITUTE_AGE + place * SUBSTITUTE_STEP

    def _handle_value(self, message: KeyValue, now: timedelta) -> list[Effect]:
        effects: list[Effect] = []
        text = _stored_text(message.value)
        if self._is_newer(message.version):
            effects = self._adopt(message.version, text, now)
        # A store that lost its data can be empty or give a known version to another
        # text. A broken text says nothing about versions between it and this one.
        usable = 0 < message.version == self.version and text == self.text
        moment = self._reading.finish(usable)
        if usable:
            self._confirm(moment)
        elif message.version != self._broken_version:
            effects += self._report_mismatch(message.version)
        return effects

    def _confirm(self, moment: timedelta | None) -> None:
        if moment is not None:
            self._assurance.confirm(moment)

    def _report_mismatch(self, store_version: int) -> list[Effect]:
        """Log once that the store holds less than, or other than, what is in force."""
        if self._reported_store_version == store_version:
            return []
        self._reported_store_version = store_version
        fields = {"store_version": store_version, "version": self.version}
        return [LogEntry("rules_store_mismatch", fields)]

    def _adopt(self, version: int, text: str | None, now: timedelta) -> list[Effect]:
        """Put a newer version in force unless its text is broken."""
        if text is None:
            return self._refuse(version, ["the value holds no text"])
        rules = parse_rules(text, version)
        if not isinstance(rules, RuleSet):
            return self._refuse(version, [str(problem) for problem in rules])
        self.rules = rules
        self.text = text
        self._packed = ""
        self._requested_at = None
        self._newer_by_peer = {
            peer: newer
            for peer, newer in self._newer_by_peer.items()
            if newer > version
        }
        effects: list[Effect] = [
            RulesChanged(version),
            LogEntry("rules_changed", {"version": version}),
        ]
        recipients = self._topology.push_recipients(self._source)
        return effects + self._pings(recipients, now)

    def _refuse(self, version: int, problems: list[str]) -> list[Effect]:
        """Keep the version in force and report why ``version`` cannot replace it."""
        self._broken_version = version
        fields = {"version": version, "problems": problems[:MAX_LOGGED_PROBLEMS]}
        return [LogEntry("rules_broken", fields)]

    def _ping_if_due(self, now: timedelta) -> list[Effect]:
        age = self._assurance.age(now)
        if now < self._next_ping_at:
            hasty = now >= self._hasty_ping_at and (age is None or age > HASTY_AGE)
            if not hasty:
                return []
            self._hasty_ping_at = self._next_ping_at
            parents = self._topology.parents()
            return self._pings(self._source.sample(parents, min(1, len(parents))), now)
        first = self._next_ping_at == timedelta()
        spread = self._source.uniform(0.1 if first else 0.9, 1.0)
        self._next_ping_at = now + PING_INTERVAL * spread
        self._hasty_ping_at = now + HASTY_INTERVAL
        self._sent_at_by_exchange = {
            exchange: sent_at
            for exchange, sent_at in self._sent_at_by_exchange.items()
            if now - sent_at < PONG_LIMIT
        }
        return self._pings(self._topology.ping_recipients(self._source), now)

    def _pings(self, recipients: list[str], now: timedelta) -> list[Effect]:
        effects: list[Effect] = []
        for recipient in recipients:
            exchange = self._source.getrandbits(MAX_EXCHANGE_BITS)
            self._sent_at_by_exchange[recipient, exchange] = now
            ping = Ping(exchange, self.version, self.draining)
            effects.append(SendMessage(recipient, ping))
        return effects

    def _handle_ping(self, sender: str, ping: Ping, now: timedelta) -> list[Effect]:
        effects = self._hear(sender, ping.version, ping.draining, now)
        age = self._assurance.age(now)
        pong = Pong(
            ping.exchange,
            self.version,
            -1 if age is None else milliseconds(age) + 1,
            {
                domain: milliseconds(outage) + 1
                for domain, outage in self._assurance.outage_ages(now).items()
            },
            self.draining,
        )
        return [*effects, SendMessage(sender, pong)]

    def _handle_pong(self, sender: str, pong: Pong, now: timedelta) -> list[Effect]:
        effects = self._hear(sender, pong.version, pong.draining, now)
        sent_at = self._sent_at_by_exchange.pop((sender, pong.exchange), None)
        # Proofs of a newer version say nothing about the own one.
        if sent_at is None or pong.version > self.version:
            return effects
        if pong.assured_age_ms >= 0:
            age = timedelta(milliseconds=pong.assured_age_ms)
            self._assurance.confirm(sent_at - age)
        for domain, age_ms in pong.outage_age_ms_by_domain.items():
            moment = sent_at - timedelta(milliseconds=age_ms)
            self._assurance.report_outage(domain, moment)
        self._assurance.combine_outages(self._domains())
        return effects

    def _hear(
        self, sender: str, version: int, draining: bool, now: timedelta
    ) -> list[Effect]:
        """Note a peer's version and request its text if it is newer."""
        self._version_by_instance[sender] = version
        if draining:
            self._draining_peers.add(sender)
        else:
            self._draining_peers.discard(sender)
        if not self._is_newer(version):
            return []
        self._newer_by_peer[sender] = version
        return self._request_if_due(now)

    def _request_if_due(self, now: timedelta) -> list[Effect]:
        if not self._newer_by_peer:
            return []
        if self._requested_at is not None and now - self._requested_at < REQUEST_RETRY:
            return []
        newest = max(self._newer_by_peer.values())
        peers = [peer for peer, seen in self._newer_by_peer.items() if seen == newest]
        peer = self._source.choice(peers)
        # A peer that does not answer announces its version again if it lives.
        del self._newer_by_peer[peer]
        self._requested_at = now
        return [SendMessage(peer, RulesRequest(self.version))]

    def _handle_request(self, sender: str, request: RulesRequest) -> list[Effect]:
        if request.version >= self.version:
            return []
        self._packed = self._packed or pack_text(self.text)
        return [SendMessage(sender, RulesText(self.version, self._packed))]

    def _handle_text(
        self, sender: str, message: RulesText, now: timedelta
    ) -> list[Effect]:
        if not self._is_newer(message.version):
            return []
        try:
            text = unpack_text(message.packed)
        except ValueError as error:
            fields = {"sender": sender, "reason": str(error)}
            return [LogEntry("rules_text_refused", fields)]
        effects = self._adopt(message.version, text, now)
        if self._assurance.age(now) is None:
            effects += self._pings([sender], now)
        return effects


def _stored_text(value: Any) -> str | None:
    text = value.get("text") if isinstance(value, dict) else None
    return text if isinstance(text, str) else None
