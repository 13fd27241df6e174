"""Statuses and reachability of the servers of a group, as one watcher knows them."""

from collections.abc import Sequence
from datetime import timedelta

from bulrushloom.coordination.failover.base import (
    FailoverPolicy,
    GroupTarget,
    ServerState,
    has_no_log,
    is_serving,
    majority_size,
)
from bulrushloom.core.sentinels import Missing
from bulrushloom.databases.base import ServerStatus


class ServerRecord:
    """Last status of one server and the number of polls that it did not answer."""

    def __init__(self, target: GroupTarget):
        self.target = target
        self.status: ServerStatus | None = None
        self.status_received_at: timedelta | None = None
        self.missed = 0
        self.polled_at: timedelta | None = None
        self.poll_open = False
        self.followed_at: timedelta | None = None

    @property
    def has_log(self) -> bool:
        """Return whether the server had a log according to its last status."""
        return self.status is not None and not has_no_log(self.status)


class ServerTable:
    """Records of the servers of a group, in the order of the rules."""

    def __init__(self, policy: FailoverPolicy):
        self._policy = policy
        self._resumed_at = timedelta()
        self.highest_term = 0
        self.record_by_target: dict[str, ServerRecord] = {}

    def update(self, targets: Sequence[GroupTarget]) -> None:
        """Replace the list of servers; the records of known servers are kept."""
        old = self.record_by_target
        self.record_by_target = {
            target.name: old.get(target.name) or ServerRecord(target)
            for target in targets
        }
        for target in targets:
            self.record_by_target[target.name].target = target

    @property
    def records(self) -> list[ServerRecord]:
        """Return all records in the order of the rules."""
        return list(self.record_by_target.values())

    @property
    def majority(self) -> int:
        """Return the number of servers that form a majority of the group."""
        return majority_size(len(self.record_by_target))

    def resume(self, now: timedelta) -> None:
        """Ignore missing answers before ``now``, because the watcher was paused."""
        self._resumed_at = now
        for record in self.records:
            record.missed = 0
            record.poll_open = False

    def record_status(self, name: str, status: ServerStatus, now: timedelta) -> bool:
        """Record a status and return whether it was accepted.

        A status with a lower term than the previous one was delayed and is ignored,
        unless the server has no log: then it has lost its term too.
        """
        record = self.record_by_target.get(name)
        if record is None:
            return False
        if record.status is not None and _is_outdated(status, record.status):
            return False
        self.highest_term = max(self.highest_term, status.term)
        record.status, record.status_received_at = status, now
        record.missed, record.poll_open = 0, False
        return True

    def record_failure(self, name: str) -> None:
        """Record a poll without an answer."""
        record = self.record_by_target.get(name)
        if record is not None:
            record.missed += 1
            record.poll_open = False

    def due_polls(self, now: timedelta) -> list[str]:
        """Return the servers to poll now; polls that are still open count as missed."""
        due = [
            record
            for record in self.records
            if record.polled_at is None
            or now - record.polled_at >= self._policy.poll_interval
        ]
        for record in due:
            if record.poll_open:
                record.missed += 1
            record.polled_at, record.poll_open = now, True
        return [record.target.name for record in due]

    def next_due(self, primary: ServerRecord | None) -> timedelta:
        """Return when a poll is due or ``primary`` becomes unreachable."""
        start = timedelta()
        polled = [record.polled_at or start for record in self.records]
        due = min(polled, default=start) + self._policy.poll_interval
        if primary is None:
            return due
        last_contact_at = max(self._resumed_at, primary.status_received_at or start)
        return min(due, last_contact_at + self._policy.answer_timeout)

    def time_since_answer(self, record: ServerRecord, now: timedelta) -> timedelta:
        """Return the time without an answer, not counting pauses of this watcher."""
        since = self._resumed_at
        if record.status_received_at is not None:
            since = max(since, record.status_received_at)
        return now - since

    def is_reachable(self, record: ServerRecord, now: timedelta) -> bool:
        """Return whether the server has answered and is not suspected."""
        return (
            record.status_received_at is not None
            and record.missed < self._policy.missed_polls
            and self.time_since_answer(record, now) < self._policy.answer_timeout
        )

    def is_fresh(self, record: ServerRecord, now: timedelta) -> bool:
        """Return whether the last status is recent.

        Unlike in ``is_reachable``, pauses of this watcher add to the status's age.
        """
        return (
            record.status_received_at is not None
            and now - record.status_received_at < (self._policy.answer_timeout)
        )

    def reachable(self, now: timedelta) -> list[ServerRecord]:
        """Return the records of the reachable servers."""
        return [record for record in self.records if self.is_reachable(record, now)]

    def find_serving(self, min_term: int) -> ServerRecord | None:
        """Return the serving primary of the highest term of at least ``min_term``."""
        serving = [
            record
            for record in self.records
            if record.status is not None
            and is_serving(record.status)
            and record.status.term >= min_term
        ]
        return max(serving, key=_term_of, default=None)

    def count_in_contact(self, term: int, now: timedelta) -> int:
        """Return how many reachable servers were recently in contact with the primary.

        A primary of a later term than ``term`` counts too.
        """
        return sum(
            self._is_in_contact_with_primary(record, term, now)
            for record in self.reachable(now)
        )

    def _is_in_contact_with_primary(
        self, record: ServerRecord, term: int, now: timedelta
    ) -> bool:
        status = record.status
        if (
            status is None
            or record.status_received_at is None
            or status.primary_contact_age is None
        ):
            return False
        contact_age = status.primary_contact_age + (now - record.status_received_at)
        return status.term >= term and contact_age <= self._policy.contact_timeout

    def states(self, now: timedelta) -> dict[str, ServerState]:
        """Return the state of each server by target name."""
        return {
            name: ServerState(
                record.status or Missing("no answer so far"),
                record.status_received_at,
                self.is_reachable(record, now),
            )
            for name, record in self.record_by_target.items()
        }


def _is_outdated(status: ServerStatus, known: ServerStatus) -> bool:
    """Return whether a status is older than the known one.

    Terms only increase, and a server never discards entries of its current term. This
    does not hold for a server that lost its log, so its statuses always count as new.
    """
    if has_no_log(status) or has_no_log(known):
        return False
    if status.term != known.term:
        return status.term < known.term
    return (
        known.stored_position.term == known.term
        and status.stored_position < known.stored_position
    )


def _term_of(record: ServerRecord) -> int:
    return record.status.term if record.status is not None else 0
