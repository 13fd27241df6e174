"""List of targets as the store has it, and the targets that left it; no I/O.

An entry may be missing because its server ended, or because the store was unavailable
for a while. The list therefore keeps a target until enough reads have lacked it.
"""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.proxy.configuration import Target

# An entry can expire while the store is unavailable; its server registers again within
# 2 s after the store is back.
VANISHED_TARGET_LIFETIME = timedelta(milliseconds=2500)
# Reads further apart than this may have an outage between them in which entries
# expired. An entry expires after three missed heartbeats.
MAX_LIST_INTERVAL = timedelta(milliseconds=1500)
# A target that is no longer used may still run, and acknowledge commits, out of reach
# of the store. It is given up after this time, because a failover waits for it.
DEPARTED_TARGET_LIFETIME = timedelta(seconds=10)


class KnownTarget(NamedTuple):
    """A target and the times that limit its use.

    ``listed_at`` is the start of the last store read that listed it.
    ``draining_since`` is the start of the last read in which it was not draining yet,
    or of the first read that listed it. ``unlisted_since`` is the start of the first
    read without it; reads before the latest outage of the store do not count.
    """

    target: Target
    listed_at: timedelta
    draining_since: timedelta | None
    unlisted_since: timedelta | None = None


class DepartedTarget(NamedTuple):
    """A target that is no longer used, and the read of the store that dropped it."""

    target: Target
    departed_at: timedelta


class TargetList:
    """Targets of all services, as last read."""

    def __init__(self) -> None:
        self.listed_target_by_id: dict[str, KnownTarget] = {}
        self._departed_target_by_id: dict[str, DepartedTarget] = {}
        self._listed_at: timedelta | None = None
        self._uninterrupted_since: timedelta | None = None
        self._has_returned = False

    def is_read_since(self, at: timedelta) -> bool:
        """Return whether the last list of targets was read at ``at`` or later."""
        return self._listed_at is not None and self._listed_at >= at

    @property
    def is_complete(self) -> bool:
        """Return whether every running server that reaches the store is listed.

        That is not so before the first list, and for some time after an outage of the
        store, because the servers register again one after the other.
        """
        if self._listed_at is None or self._uninterrupted_since is None:
            return False
        return self._listed_at - self._uninterrupted_since >= VANISHED_TARGET_LIFETIME

    def note_return_of_store(self) -> None:
        """Record that the next lists may have the entries of an older copy."""
        self._uninterrupted_since = None
        self._has_returned = True

    def update_targets(
        self, target_by_id: Mapping[str, Target], read_at: timedelta
    ) -> None:
        """Apply the targets that a store read listed.

        A target that is no longer listed is kept until the reads of
        ``VANISHED_TARGET_LIFETIME`` without an outage have not listed it.
        """
        previous_at, self._listed_at = self._listed_at, read_at
        is_interrupted = self._uninterrupted_since is None
        if previous_at is None or read_at - previous_at > MAX_LIST_INTERVAL:
            is_interrupted = True
        if is_interrupted:
            self._uninterrupted_since = read_at
        listed_target_by_id = {}
        for target_id, entry in target_by_id.items():
            known = self.listed_target_by_id.get(target_id)
            listed_target_by_id[target_id] = self._listed_target(entry, known, read_at)
            self._departed_target_by_id.pop(target_id, None)
        self.listed_target_by_id = listed_target_by_id | self._keep_unlisted(
            target_by_id, read_at
        )
        self._departed_target_by_id = {
            target_id: departed
            for target_id, departed in self._departed_target_by_id.items()
            if read_at - departed.departed_at < DEPARTED_TARGET_LIFETIME
        }

    def _listed_target(
        self, entry: Target, known: KnownTarget | None, read_at: timedelta
    ) -> KnownTarget:
        """Return a target that the read at ``read_at`` listed."""
        target = self._newer_entry(entry, known)
        draining_since = known.draining_since if known else None
        if target.is_draining and draining_since is None:
            draining_since = known.listed_at if known else read_at
        if not target.is_draining:
            draining_since = None
        return KnownTarget(target, read_at, draining_since)

    def _keep_unlisted(
        self, target_by_id: Mapping[str, Target], read_at: timedelta
    ) -> dict[str, KnownTarget]:
        """Return the targets to keep although a read lacks them; others depart."""
        kept_target_by_id = {}
        for target_id, known in self.listed_target_by_id.items():
            if target_id in target_by_id:
                continue
            unlisted_since = self._unlisted_since(known, read_at)
            if read_at - unlisted_since < VANISHED_TARGET_LIFETIME:
                known = known._replace(unlisted_since=unlisted_since)
                kept_target_by_id[target_id] = known
            else:
                departed = DepartedTarget(known.target, read_at)
                self._departed_target_by_id[target_id] = departed
        return kept_target_by_id

    def _newer_entry(self, entry: Target, known: KnownTarget | None) -> Target:
        """Return the known target instead of an entry of the copy that is older.

        Answers a draining server that would get new work for another drain bound after
        a return of the store, until the server has written its entry again.
        """
        if known is None or not self._has_returned or self.is_complete:
            return entry
        is_older = entry.born_ms < known.target.born_ms or (
            entry.born_ms == known.target.born_ms
            and known.target.is_draining
            and not entry.is_draining
        )
        return known.target if is_older else entry

    def _unlisted_since(self, known: KnownTarget, read_at: timedelta) -> timedelta:
        """Return when a target that the read at ``read_at`` lacks became unlisted."""
        assert self._uninterrupted_since is not None
        if known.unlisted_since is None:
            return read_at
        return max(known.unlisted_since, self._uninterrupted_since)

    def add_departed(self, target: Target, at: timedelta) -> None:
        """Record a target that may still run although no read has listed it."""
        if target.target_id not in self.listed_target_by_id:
            departed = DepartedTarget(target, at)
            self._departed_target_by_id.setdefault(target.target_id, departed)

    def targets_of(self, service: str) -> list[KnownTarget]:
        """Return the targets of a service."""
        return [
            known
            for known in self.listed_target_by_id.values()
            if known.target.service == service
        ]

    def find_target(self, target_id: str) -> Target | None:
        """Return a target that is in use, or that departed not long ago."""
        known = self.listed_target_by_id.get(target_id)
        if known is not None:
            return known.target
        departed = self._departed_target_by_id.get(target_id)
        return departed.target if departed is not None else None

    def replication_members(self, service: str) -> dict[str, Target]:
        """Return the targets that may receive commits of the service's primary.

        They include the departed ones, which may run although they do not reach the
        store. A target that departed while it was draining has ended.
        """
        member_by_id = {
            target_id: departed.target
            for target_id, departed in self._departed_target_by_id.items()
            if departed.target.service == service and not departed.target.is_draining
        }
        return member_by_id | {
            known.target.target_id: known.target for known in self.targets_of(service)
        }

    def claimants(self, service: str) -> list[Target]:
        """Return the targets that claim to be the primary."""
        return [
            known.target
            for known in self.targets_of(service)
            if known.target.claims_primary
        ]
