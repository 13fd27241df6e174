"""Change of the rules in the store, safe against races and lost answers."""

import secrets
import time
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.configuration.base import RULES_KEY
from bulrushloom.core.clock import Clock
from bulrushloom.directories.base import InstanceDirectory
from bulrushloom.management.base import StatusReader
from bulrushloom.management.exceptions import BadInput, CommandError
from bulrushloom.management.fleet import InstanceReport, read_fleet
from bulrushloom.rules.differences import diff_rules
from bulrushloom.rules.stored import (
    MAX_VALUE_BYTES,
    StoredRules,
    next_stored_rules,
    read_stored_rules,
    stored_size,
)
from bulrushloom.stores.base import ConfigurationStore, StoredValue
from bulrushloom.stores.exceptions import StoreUnavailable

APPLY_ID_BYTES = 16
# The command keeps trying for this long to learn whether its change took effect.
RESOLVE_LIMIT = timedelta(seconds=15)
RESOLVE_INTERVAL = timedelta(milliseconds=500)
IN_FORCE_LIMIT = timedelta(seconds=6)
IN_FORCE_INTERVAL = timedelta(milliseconds=250)
MAX_SHOWN_CHANGES = 20
# Swaps that one command may spend on a store that lost its data.
MAX_RAISING_SWAPS = 10_000


class Applied(NamedTuple):
    """Report the version that holds the text and the rules that it changed."""

    version: int
    changes: list[str]
    written: bool


class RulesApplier:
    """Write a checked rules text by compare-and-swap."""

    def __init__(
        self,
        store: ConfigurationStore,
        clock: Clock,
        author: str,
        fleet_version: Callable[[], int] = lambda: 0,
        sleep: Callable[[float], None] = time.sleep,
    ):
        self._fleet_version = fleet_version
        self._store = store
        self._clock = clock
        self._author = author
        self._sleep = sleep

    def apply(self, text: str, base: int | None = None) -> Applied:
        """Write ``text`` if the store's version is ``base`` or, without it, as read.

        Instances never go back to a lower version. If the store lost its data and
        counts from the start again, the value is written until its version exceeds
        the highest one in force. Raise ``CommandError`` when another change won,
        when the store does not answer, or when the outcome stays unknown.
        """
        current = self._read()
        former = read_stored_rules(current.value)
        if base is not None and base != current.version:
            raise _conflict(base, None, current)
        # Read after the store, so that a change in between loses the swap.
        in_force = self._fleet_version()
        lost = in_force > current.version
        if former is not None and former["text"] == text and not lost:
            return Applied(current.version, [], False)
        if in_force - current.version > MAX_RAISING_SWAPS:
            raise CommandError(
                f"instances run version {in_force}, but the store holds version "
                f"{current.version}; restore the store's data first"
            )
        changes = diff_rules(former["text"] if former else "", text)
        value = next_stored_rules(
            former,
            current.version + 1,
            text,
            self._author,
            self._clock.utcnow(),
            secrets.token_hex(APPLY_ID_BYTES),
            changes,
        )
        if stored_size(value) > MAX_VALUE_BYTES:
            raise BadInput(f"the rules exceed the store's {MAX_VALUE_BYTES} bytes")
        version = self._swap(current, former, value)
        while lost and version <= in_force:
            value = {**value, "version": version + 1}
            version = self._swap(StoredValue(version, value), value, value)
        return Applied(version, changes, True)

    def _read(self) -> StoredValue:
        try:
            return self._store.get(RULES_KEY)
        except StoreUnavailable as error:
            raise CommandError(
                f"the store does not answer ({error}); nothing was changed"
            ) from error

    def _swap(
        self, base: StoredValue, former: StoredRules | None, value: StoredRules
    ) -> int:
        """Return the version under which ``value`` was written.

        After a lost answer the swap is repeated if the store still holds the base
        version. Both swaps carry one apply id, and at most one of them succeeds.
        """
        apply_id = value["apply_id"]
        deadline = self._clock.monotonic() + RESOLVE_LIMIT
        while True:
            found = self._try_swap(base.version, value)
            if found is None:
                found = self._read_back(deadline, apply_id)
            version = _version_of(apply_id, found)
            if version is not None:
                return version
            if found.version != base.version:
                raise _conflict(base.version, former, found)
            self._pause(deadline, apply_id)

    def _try_swap(self, version: int, value: StoredRules) -> StoredValue | None:
        """Return what the store holds after the swap or ``None`` without answer."""
        try:
            outcome = self._store.compare_and_swap(RULES_KEY, version, value)
        except StoreUnavailable:
            return None
        if outcome.swapped:
            return StoredValue(outcome.current.version, value)
        return outcome.current

    def _read_back(self, deadline: timedelta, apply_id: str) -> StoredValue:
        while True:
            self._pause(deadline, apply_id)
            try:
                return self._store.get(RULES_KEY)
            except StoreUnavailable:
                continue

    def _pause(self, deadline: timedelta, apply_id: str) -> None:
        if self._clock.monotonic() >= deadline:
            raise CommandError(
                "the store does not answer; it is unknown whether the rules were "
                f"applied; look for apply id {apply_id} in 'rules history'"
            )
        self._sleep(RESOLVE_INTERVAL.total_seconds())


def wait_until_active(
    directory: InstanceDirectory,
    reader: StatusReader,
    version: int,
    clock: Clock,
    sleep: Callable[[float], None] = time.sleep,
) -> list[InstanceReport]:
    """Return the reports of the serving instances, after at most 6 s.

    Return earlier when ``version`` is in force at all of them. Instances that are
    leaving do not count.
    """
    deadline = clock.monotonic() + IN_FORCE_LIMIT
    while True:
        reports = [
            report
            for report in read_fleet(directory, reader)
            if not report.entry.leaving
        ]
        if all(report.runs(version) for report in reports):
            return reports
        if clock.monotonic() >= deadline:
            return reports
        sleep(IN_FORCE_INTERVAL.total_seconds())


def shown_changes(changes: list[str]) -> list[str]:
    """Return the first changes and how many more there are."""
    if len(changes) <= MAX_SHOWN_CHANGES:
        return changes
    rest = len(changes) - MAX_SHOWN_CHANGES
    return [*changes[:MAX_SHOWN_CHANGES], f"and {rest} more"]


def _version_of(apply_id: str, found: StoredValue) -> int | None:
    """Return the version that carries ``apply_id``, even if it was replaced since."""
    stored = read_stored_rules(found.value)
    if stored is None:
        return None
    if stored["apply_id"] == apply_id:
        return found.version
    for entry in stored["history"]:
        if entry["apply_id"] == apply_id:
            return entry["version"]
    return None


def _conflict(
    base: int, former: StoredRules | None, found: StoredValue
) -> CommandError:
    """Describe the version that won over a change based on version ``base``."""
    stored = read_stored_rules(found.value)
    if stored is None:
        return CommandError(
            f"not applied: the store holds version {found.version}, not {base}"
        )
    if former is not None:
        changes = shown_changes(diff_rules(former["text"], stored["text"]))
    else:
        changes = [
            entry["summary"] for entry in stored["history"] if entry["version"] > base
        ]
    return CommandError(
        f"not applied: version {found.version} replaced version {base}, applied by "
        f"{stored['author']} at {stored['applied_at']}; it changed: "
        f"{'; '.join(changes) or 'no rule'}"
    )
