"""Update of the rules in the store, safe against races and lost answers."""

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
# After a lost answer, the command tries for this long to find out whether its change
# took effect.
OUTCOME_TIMEOUT = timedelta(seconds=15)
OUTCOME_POLL_INTERVAL = timedelta(milliseconds=500)
ACTIVATION_TIMEOUT = timedelta(seconds=6)
ACTIVATION_POLL_INTERVAL = timedelta(milliseconds=250)
MAX_SHOWN_CHANGES = 20
# Upper bound on the swaps of one command that raise the version in a store that lost
# its data.
MAX_VERSION_RAISING_SWAPS = 10_000


class ApplyResult(NamedTuple):
    """The version that contains the text, and the changes that it made.

    ``written`` is false if the store already contained the text.
    """

    version: int
    changes: list[str]
    written: bool


class RulesApplier:
    """Writer that replaces the rules in the store by compare-and-swap.

    The text must have been validated. ``fleet_version`` returns the highest version
    that is active at any instance.
    """

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

    def apply(self, text: str, base: int | None = None) -> ApplyResult:
        """Write ``text`` as the next version.

        The version in the store must be ``base``; without ``base``, it must not change
        between the read and the write.

        Instances never return to a lower version. If the store lost its data and
        started to count again, the value is written repeatedly until its version is
        above the highest active one.

        Raise ``CommandError`` if another change won, if the store does not answer, or
        if the outcome remains unknown.
        """
        current = self._read()
        previous = read_stored_rules(current.value)
        if base is not None and base != current.version:
            raise _conflict_error(base, None, current)
        # The fleet is read after the store: if the rules change in between, the swap
        # fails.
        active_version = self._fleet_version()
        is_store_behind = active_version > current.version
        if previous is not None and previous["text"] == text and not is_store_behind:
            return ApplyResult(current.version, [], False)
        if active_version - current.version > MAX_VERSION_RAISING_SWAPS:
            raise CommandError(
                f"instances run version {active_version}, but the store holds version "
                f"{current.version}; restore the store's data first"
            )
        changes = diff_rules(previous["text"] if previous else "", text)
        value = next_stored_rules(
            previous,
            current.version + 1,
            text,
            self._author,
            self._clock.utcnow(),
            secrets.token_hex(APPLY_ID_BYTES),
            changes,
        )
        if stored_size(value) > MAX_VALUE_BYTES:
            raise BadInput(f"the rules exceed the store's {MAX_VALUE_BYTES} bytes")
        version = self._swap(current, previous, value)
        while is_store_behind and version <= active_version:
            value = {**value, "version": version + 1}
            version = self._swap(StoredValue(version, value), value, value)
        return ApplyResult(version, changes, True)

    def _read(self) -> StoredValue:
        try:
            return self._store.get(RULES_KEY)
        except StoreUnavailable as error:
            raise CommandError(
                f"the store does not answer ({error}); nothing was changed"
            ) from error

    def _swap(
        self, base: StoredValue, previous: StoredRules | None, value: StoredRules
    ) -> int:
        """Return the version under which ``value`` was written.

        After a lost answer, the swap is repeated if the store still contains the base
        version. All attempts have the same apply id, and at most one of them succeeds.
        """
        apply_id = value["apply_id"]
        deadline = self._clock.monotonic() + OUTCOME_TIMEOUT
        while True:
            found = self._try_swap(base.version, value)
            if found is None:
                found = self._read_back(deadline, apply_id)
            version = _find_version(apply_id, found)
            if version is not None:
                return version
            if found.version != base.version:
                raise _conflict_error(base.version, previous, found)
            self._wait_before_retry(deadline, apply_id)

    def _try_swap(self, version: int, value: StoredRules) -> StoredValue | None:
        """Return the stored value after the swap, or ``None`` without an answer."""
        try:
            outcome = self._store.compare_and_swap(RULES_KEY, version, value)
        except StoreUnavailable:
            return None
        if outcome.swapped:
            return StoredValue(outcome.current.version, value)
        return outcome.current

    def _read_back(self, deadline: timedelta, apply_id: str) -> StoredValue:
        while True:
            self._wait_before_retry(deadline, apply_id)
            try:
                return self._store.get(RULES_KEY)
            except StoreUnavailable:
                continue

    def _wait_before_retry(self, deadline: timedelta, apply_id: str) -> None:
        if self._clock.monotonic() >= deadline:
            raise CommandError(
                "the store does not answer; it is unknown whether the rules were "
                f"applied; look for apply id {apply_id} in 'rules history'"
            )
        self._sleep(OUTCOME_POLL_INTERVAL.total_seconds())


def wait_until_active(
    directory: InstanceDirectory,
    reader: StatusReader,
    version: int,
    clock: Clock,
    sleep: Callable[[float], None] = time.sleep,
) -> list[InstanceReport]:
    """Wait until ``version`` is active at all instances, for at most 6 s.

    Return the latest reports. Instances that are leaving are ignored.
    """
    deadline = clock.monotonic() + ACTIVATION_TIMEOUT
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
        sleep(ACTIVATION_POLL_INTERVAL.total_seconds())


def abbreviate_changes(changes: list[str]) -> list[str]:
    """Return the first changes, and the number of the remaining ones."""
    if len(changes) <= MAX_SHOWN_CHANGES:
        return changes
    omitted_count = len(changes) - MAX_SHOWN_CHANGES
    return [*changes[:MAX_SHOWN_CHANGES], f"and {omitted_count} more"]


def _find_version(apply_id: str, found: StoredValue) -> int | None:
    """Return the version with ``apply_id``, even if it has been replaced since."""
    stored = read_stored_rules(found.value)
    if stored is None:
        return None
    if stored["apply_id"] == apply_id:
        return found.version
    for entry in stored["history"]:
        if entry["apply_id"] == apply_id:
            return entry["version"]
    return None


def _conflict_error(
    base: int, previous: StoredRules | None, found: StoredValue
) -> CommandError:
    """Return an error that describes the version that replaced ``base``."""
    stored = read_stored_rules(found.value)
    if stored is None:
        return CommandError(
            f"not applied: the store holds version {found.version}, not {base}"
        )
    if previous is not None:
        changes = abbreviate_changes(diff_rules(previous["text"], stored["text"]))
    else:
        changes = [
            entry["summary"] for entry in stored["history"] if entry["version"] > base
        ]
    return CommandError(
        f"not applied: version {found.version} replaced version {base}, applied by "
        f"{stored['author']} at {stored['applied_at']}; it changed: "
        f"{'; '.join(changes) or 'no rule'}"
    )
