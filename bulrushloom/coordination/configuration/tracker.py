"""Tracking of the active rules of one instance."""

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
    next_idle_tick,
)
from bulrushloom.coordination.configuration.base import (
    RULES_KEY,
    Ping,
    Pong,
    RulesChanged,
    RulesRequest,
    RulesText,
)
from bulrushloom.coordination.configuration.freshness import (
    FRESHNESS_PERIOD,
    RulesFreshness,
)
from bulrushloom.coordination.configuration.store_reads import StoreReads
from bulrushloom.coordination.configuration.topology import (
    READERS_PER_DOMAIN,
    SUBSTITUTE_READERS_PER_DOMAIN,
    Topology,
)
from bulrushloom.coordination.configuration.utils import pack_text, unpack_text
from bulrushloom.coordination.configuration.view import ConfigurationView
from bulrushloom.core.clock import milliseconds
from bulrushloom.core.errors import Refusal
from bulrushloom.rules.base import EMPTY_RULES, RuleSet
from bulrushloom.rules.parser import parse_rules

PING_INTERVAL = timedelta(seconds=1)
# Confirmations spread from the readers of the store down a tree of instances. Each
# level adds up to one ping interval to the age of a confirmation. An instance whose
# confirmation exceeds this age also pings one parent between rounds.
EARLY_PING_AGE = timedelta(seconds=2)
EARLY_PING_INTERVAL = timedelta(milliseconds=500)
PONG_TIMEOUT = timedelta(seconds=3)
REQUEST_RETRY_INTERVAL = timedelta(milliseconds=300)
# Age of the confirmation at which the first substitute reader starts to read; each
# further one starts one stagger later.
SUBSTITUTE_START_AGE = timedelta(milliseconds=2500)
SUBSTITUTE_START_STAGGER = timedelta(milliseconds=250)
EXCHANGE_ID_BITS = 53
MAX_LOGGED_PROBLEMS = 5


class ConfigurationTracker(DecisionComponent):
    """Track the latest rules that this instance has received and their freshness.

    ``rng`` selects peers and exchange identifiers. Its seed must differ for each start
    of the process; otherwise a late ``Pong`` to a former incarnation could be matched
    to a new ``Ping``. The store client answers each ``ReadKey`` exactly once, with
    ``KeyValue`` or ``StoreFailed``, within 5 s.
    """

    def __init__(self, name: str, domain: str, rng: random.Random):
        self.name = name
        self.domain = domain
        self.rules: RuleSet = EMPTY_RULES
        self.text = ""
        self.draining = False
        self._rng = rng
        self._topology = Topology(name, domain)
        self._freshness = RulesFreshness(domain)
        self._store_reads = StoreReads()
        self._packed_text = ""
        self._invalid_version = -1
        # A restarted instance may have an older version than its former incarnation,
        # so it reports outages for its domain only after it has been fresh once.
        self._may_report_outage = False
        self._next_ping_at = timedelta()
        self._early_ping_at = timedelta()
        self._sent_at_by_exchange: dict[tuple[str, int], timedelta] = {}
        self._newer_version_by_peer: dict[str, int] = {}
        self._requested_at: timedelta | None = None
        self._version_by_instance: dict[str, int] = {}
        self._draining_peers: set[str] = set()
        self._reported_mismatch_version: int | None = None

    @property
    def version(self) -> int:
        """Return the active version, or 0 if there is none yet."""
        return self.rules.version

    @property
    def known_versions(self) -> dict[str, int]:
        """Return the last known version of each listed instance and of this one."""
        return self._version_by_instance | {self.name: self.version}

    @property
    def draining_peers(self) -> frozenset[str]:
        """Return the peers that announced that they are draining."""
        return frozenset(self._draining_peers)

    @property
    def view(self) -> ConfigurationView:
        """Return an immutable snapshot for other threads."""
        return ConfigurationView(self.rules, self._freshness.confirmed_at)

    def is_fresh(self, now: timedelta) -> bool:
        """Return whether the latest confirmation is at most 3 s old."""
        age = self._freshness.age(now)
        return age is not None and age <= FRESHNESS_PERIOD

    def find_account(self, presented: str, now: timedelta) -> str | Refusal:
        """Return the account of a presented key, or the reason for refusing it."""
        return self.view.find_account(presented, now)

    def find_account_by_digest(self, digest: str, now: timedelta) -> str | Refusal:
        """Return the account of the key with ``digest``, or the reason to refuse it."""
        return self.view.check_key(self.rules.key_by_digest.get(digest), now)

    def update_instances(
        self, domain_by_name: Mapping[str, str], now: timedelta
    ) -> list[Effect]:
        """Replace the list of instances, a mapping of names to failure domains."""
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
                self._store_reads.finish(usable=False)
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
        """Read the store, ping peers and retry requests when they are due."""
        self._may_report_outage = self._may_report_outage or self.is_fresh(now)
        if self._may_report_outage and self._store_reads.is_failing(now):
            self._freshness.report_outage(self.domain, now)
        self._freshness.combine_outages(self._domains())
        effects = self._read_if_due(now)
        effects += self._ping_if_due(now)
        effects += self._request_if_due(now)
        return effects

    def next_tick(self, last: timedelta) -> timedelta:
        """Return when the next read, ping or request retry may be due."""
        times = [self._next_ping_at, self._early_ping_at, self._store_reads.next_at]
        if self._requested_at is not None:
            times.append(self._requested_at + REQUEST_RETRY_INTERVAL)
        return min([next_idle_tick(last), *(at for at in times if at > last)])

    def _domains(self) -> frozenset[str]:
        return frozenset(self.rules.domain_by_name) or self._topology.domains

    def _is_newer(self, version: int) -> bool:
        """Return whether ``version`` should replace the active one."""
        return version > self.version and version != self._invalid_version

    def _read_if_due(self, now: timedelta) -> list[Effect]:
        if not (self._topology.is_reader or self._is_active_substitute(now)):
            return []
        if not self._store_reads.is_due(now):
            return []
        self._store_reads.start(now)
        return [ReadKey(RULES_KEY)]

    def _is_active_substitute(self, now: timedelta) -> bool:
        """Return whether to read the store because its readers do not confirm."""
        index = self._topology.rank - READERS_PER_DOMAIN
        if index >= SUBSTITUTE_READERS_PER_DOMAIN:
            return False
        age = self._freshness.age(now)
        return (
            age is None or age > SUBSTITUTE_START_AGE + index * SUBSTITUTE_START_STAGGER
        )

    def _handle_value(self, message: KeyValue, now: timedelta) -> list[Effect]:
        effects: list[Effect] = []
        text = _stored_text(message.value)
        if self._is_newer(message.version):
            effects = self._apply_text(message.version, text, now)
        # A store that lost its data may be empty or assign a known version to another
        # text. An invalid text is no evidence about the versions between it and the
        # active one.
        usable = 0 < message.version == self.version and text == self.text
        read_at = self._store_reads.finish(usable)
        if usable:
            self._confirm(read_at)
        elif message.version != self._invalid_version:
            effects += self._report_mismatch(message.version)
        return effects

    def _confirm(self, read_at: timedelta | None) -> None:
        if read_at is not None:
            self._freshness.confirm(read_at)

    def _report_mismatch(self, store_version: int) -> list[Effect]:
        """Log once that the store's version or text differs from the active rules."""
        if self._reported_mismatch_version == store_version:
            return []
        self._reported_mismatch_version = store_version
        fields = {"store_version": store_version, "version": self.version}
        return [LogEntry("rules_store_mismatch", fields)]

    def _apply_text(
        self, version: int, text: str | None, now: timedelta
    ) -> list[Effect]:
        """Activate a newer version unless its text is invalid."""
        if text is None:
            return self._reject_version(version, ["the value holds no text"])
        rules = parse_rules(text, version)
        if not isinstance(rules, RuleSet):
            return self._reject_version(version, [str(problem) for problem in rules])
        self.rules = rules
        self.text = text
        self._packed_text = ""
        self._requested_at = None
        self._newer_version_by_peer = {
            peer: newer
            for peer, newer in self._newer_version_by_peer.items()
            if newer > version
        }
        effects: list[Effect] = [
            RulesChanged(version),
            LogEntry("rules_changed", {"version": version}),
        ]
        recipients = self._topology.push_recipients(self._rng)
        return effects + self._pings(recipients, now)

    def _reject_version(self, version: int, problems: list[str]) -> list[Effect]:
        """Keep the active version and log why ``version`` cannot replace it."""
        self._invalid_version = version
        fields = {"version": version, "problems": problems[:MAX_LOGGED_PROBLEMS]}
        return [LogEntry("rules_broken", fields)]

    def _ping_if_due(self, now: timedelta) -> list[Effect]:
        age = self._freshness.age(now)
        if now < self._next_ping_at:
            early = now >= self._early_ping_at and (age is None or age > EARLY_PING_AGE)
            if not early:
                return []
            self._early_ping_at = self._next_ping_at
            parents = self._topology.parents()
            return self._pings(self._rng.sample(parents, min(1, len(parents))), now)
        first = self._next_ping_at == timedelta()
        jitter = self._rng.uniform(0.1 if first else 0.9, 1.0)
        self._next_ping_at = now + PING_INTERVAL * jitter
        self._early_ping_at = now + EARLY_PING_INTERVAL
        self._sent_at_by_exchange = {
            exchange: sent_at
            for exchange, sent_at in self._sent_at_by_exchange.items()
            if now - sent_at < PONG_TIMEOUT
        }
        return self._pings(self._topology.ping_recipients(self._rng), now)

    def _pings(self, recipients: list[str], now: timedelta) -> list[Effect]:
        effects: list[Effect] = []
        for recipient in recipients:
            exchange = self._rng.getrandbits(EXCHANGE_ID_BITS)
            self._sent_at_by_exchange[recipient, exchange] = now
            ping = Ping(exchange, self.version, self.draining)
            effects.append(SendMessage(recipient, ping))
        return effects

    def _handle_ping(self, sender: str, ping: Ping, now: timedelta) -> list[Effect]:
        effects = self._record_peer_version(sender, ping.version, ping.draining, now)
        age = self._freshness.age(now)
        pong = Pong(
            ping.exchange,
            self.version,
            -1 if age is None else milliseconds(age) + 1,
            {
                domain: milliseconds(outage) + 1
                for domain, outage in self._freshness.outage_ages(now).items()
            },
            self.draining,
        )
        return [*effects, SendMessage(sender, pong)]

    def _handle_pong(self, sender: str, pong: Pong, now: timedelta) -> list[Effect]:
        effects = self._record_peer_version(sender, pong.version, pong.draining, now)
        sent_at = self._sent_at_by_exchange.pop((sender, pong.exchange), None)
        # Evidence for a newer version does not apply to the local one.
        if sent_at is None or pong.version > self.version:
            return effects
        if pong.assured_age_ms >= 0:
            age = timedelta(milliseconds=pong.assured_age_ms)
            self._freshness.confirm(sent_at - age)
        for domain, age_ms in pong.outage_age_ms_by_domain.items():
            reported_at = sent_at - timedelta(milliseconds=age_ms)
            self._freshness.report_outage(domain, reported_at)
        self._freshness.combine_outages(self._domains())
        return effects

    def _record_peer_version(
        self, sender: str, version: int, draining: bool, now: timedelta
    ) -> list[Effect]:
        """Record a peer's version and request its text if it is newer."""
        self._version_by_instance[sender] = version
        if draining:
            self._draining_peers.add(sender)
        else:
            self._draining_peers.discard(sender)
        if not self._is_newer(version):
            return []
        self._newer_version_by_peer[sender] = version
        return self._request_if_due(now)

    def _request_if_due(self, now: timedelta) -> list[Effect]:
        if not self._newer_version_by_peer:
            return []
        if (
            self._requested_at is not None
            and now - self._requested_at < REQUEST_RETRY_INTERVAL
        ):
            return []
        newest = max(self._newer_version_by_peer.values())
        peers = [
            peer for peer, seen in self._newer_version_by_peer.items() if seen == newest
        ]
        peer = self._rng.choice(peers)
        # If the peer does not answer, its next ping or pong adds it again.
        del self._newer_version_by_peer[peer]
        self._requested_at = now
        return [SendMessage(peer, RulesRequest(self.version))]

    def _handle_request(self, sender: str, request: RulesRequest) -> list[Effect]:
        if request.version >= self.version:
            return []
        self._packed_text = self._packed_text or pack_text(self.text)
        return [SendMessage(sender, RulesText(self.version, self._packed_text))]

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
        effects = self._apply_text(message.version, text, now)
        if self._freshness.age(now) is None:
            effects += self._pings([sender], now)
        return effects


def _stored_text(value: Any) -> str | None:
    text = value.get("text") if isinstance(value, dict) else None
    return text if isinstance(text, str) else None
