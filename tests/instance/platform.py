"""In-memory store and delayed instance directory of the platform."""

from datetime import UTC, datetime, timedelta
from typing import Any

from bulrushloom.coordination.base import (
    KeySwapped,
    KeyValue,
    ReadKey,
    StoreFailed,
    SwapKey,
)
from bulrushloom.coordination.configuration.base import RULES_KEY
from bulrushloom.directories.base import InstanceEntry
from bulrushloom.instance.platform import DirectoryFailed, InstancesListed
from bulrushloom.rules.stored import next_stored_rules

DOMAIN = "platform"
LIST_LAG = timedelta(seconds=2)
ENTRY_LIFETIME = timedelta(seconds=8)
APPLIED_AT = datetime(2026, 1, 1, tzinfo=UTC)


class MemoryPlatform:
    """Compare-and-swap store with outages, and a directory with delayed lists."""

    def __init__(self, fleet: Any):
        self._fleet = fleet
        self.store_up = True
        self.lost_answers = 0.0
        self.value_by_key: dict[str, tuple[int, Any]] = {}
        self.text_by_version: dict[int, str] = {}
        self.applied_at_by_version: dict[int, timedelta] = {}
        self._registered: dict[str, tuple[InstanceEntry, timedelta]] = {}
        self._lists: list[tuple[timedelta, list[InstanceEntry]]] = []

    def heal(self) -> None:
        self.store_up, self.lost_answers = True, 0.0

    # Store

    def call(self, call: ReadKey | SwapKey, domain: str, post: Any) -> None:
        fleet = self._fleet
        fleet.at(fleet.now + fleet.delay(), lambda: self._serve(call, domain, post))

    def _serve(self, call: ReadKey | SwapKey, domain: str, post: Any) -> None:
        fleet = self._fleet
        if not self.store_up or not fleet.connected(domain, DOMAIN):
            post(StoreFailed(call.key, "no answer"))
            return
        lost = fleet.random.random() < self.lost_answers
        if lost and fleet.random.random() < 0.5:
            post(StoreFailed(call.key, "no answer"))
            return
        version, value = self.value_by_key.get(call.key, (0, None))
        if isinstance(call, ReadKey):
            answer: Any = KeyValue(call.key, version, value)
        else:
            swapped = version == call.expected_version
            if swapped:
                version += 1
                self.value_by_key[call.key] = (version, call.value)
            answer = KeySwapped(call.key, swapped, version)
        post(StoreFailed(call.key, "answer lost") if lost else answer)

    def apply_rules(self, text: str, expected_version: int) -> bool:
        """Apply a rules text by compare-and-swap, like an operator."""
        version, value = self.value_by_key.get(RULES_KEY, (0, None))
        if not self.store_up or version != expected_version:
            return False
        version += 1
        stored = next_stored_rules(
            value, version, text, "ops", APPLIED_AT, str(version), []
        )
        self.value_by_key[RULES_KEY] = (version, stored)
        self.text_by_version[version] = text
        self.applied_at_by_version[version] = self._fleet.now
        return True

    # Instance list

    def refresh(self, local_entry: InstanceEntry, domain: str, post: Any) -> None:
        fleet = self._fleet
        if not fleet.connected(domain, DOMAIN):
            post(DirectoryFailed("no answer"))
            return
        self._registered[local_entry.name] = (local_entry, fleet.now)
        entries = [
            entry
            for entry, at in self._registered.values()
            if fleet.now - at <= ENTRY_LIFETIME
        ]
        self._lists.append((fleet.now, entries))
        visible = [entries for at, entries in self._lists if fleet.now - at >= LIST_LAG]
        del self._lists[: max(0, len(visible) - 1)]
        post(InstancesListed(visible[-1] if visible else entries))
