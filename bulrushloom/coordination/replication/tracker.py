"""Detection of writes that a majority of a group's servers have stored."""

from collections.abc import Sequence
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.base import DecisionComponent, Effect, Message
from bulrushloom.coordination.failover.base import (
    StatusReceived,
    has_no_log,
    majority_size,
)
from bulrushloom.coordination.replication.base import (
    AwaitPosition,
    AwaitPositionAnswered,
    AwaitPositionFailed,
    WriteDurable,
    WriteUndecided,
)
from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.databases.base import ServerStatus

MAX_SERVER_WAIT = timedelta(seconds=1)
CALL_RETRY_DELAY = timedelta(milliseconds=100)
# A call without a result counts as lost this long after the wait that it asked for has
# ended. Otherwise it would block all further calls to that server.
CALL_TIMEOUT_GRACE = timedelta(seconds=2)


class _ReplicaProgress(NamedTuple):
    term: int
    held: LogPosition


class _PendingWrite(NamedTuple):
    position: LogPosition
    deadline: timedelta


class _OutstandingCall(NamedTuple):
    position: LogPosition
    expires_at: timedelta


class AcknowledgementTracker(DecisionComponent):
    """Report writes as durable once a majority has stored them in their term.

    The owner of a target has one tracker for the writes that ran there. ``primary`` is
    that target: its answer with the position of a write shows that it had the write in
    that term.
    """

    def __init__(self, primary: str, targets: Sequence[str]):
        self._primary = primary
        self._targets = tuple(targets)
        self._progress_by_target: dict[str, _ReplicaProgress] = {}
        self._pending_by_request: dict[str, _PendingWrite] = {}
        self._call_by_target: dict[str, _OutstandingCall] = {}
        self._retry_at_by_target: dict[str, timedelta] = {}

    def update(self, primary: str, targets: Sequence[str]) -> None:
        """Set the target that runs the writes and all servers of the group."""
        self._primary = primary
        self._targets = tuple(targets)
        for target in self._progress_by_target.keys() - set(targets):
            del self._progress_by_target[target]

    def track_write(
        self,
        request_id: str,
        position: LogPosition,
        deadline: timedelta,
        now: timedelta,
        term: int = 0,
    ) -> list[Effect]:
        """Wait for a write that the primary reported at ``position``.

        ``deadline`` is a monotonic clock reading. If a majority is already past the
        term of the write, it is reported as undecided immediately. For a repeated
        idempotency key whose write is in the primary's log from an earlier term,
        ``term`` is the primary's current term: the write is durable once a majority
        has the log up to an entry of that term.
        """
        position = max(position, LogPosition(term, 0))
        self._pending_by_request[request_id] = _PendingWrite(position, deadline)
        self._record_progress(self._primary, position.term, position)
        return self._evaluate_pending(now)

    def handle(self, sender: str, message: Message, now: timedelta) -> list[Effect]:
        """Process a status from a poll or the result of an ``AwaitPosition``."""
        if isinstance(message, StatusReceived):
            self._record_status(message.target, message.status)
        elif isinstance(message, AwaitPositionAnswered):
            call = self._call_by_target.pop(message.target, None)
            self._record_status(message.target, message.status)
            if call is not None and not self._has_entry(message.target, call.position):
                self._retry_at_by_target[message.target] = now + CALL_RETRY_DELAY
        elif isinstance(message, AwaitPositionFailed):
            self._call_by_target.pop(message.target, None)
            self._retry_at_by_target[message.target] = now + CALL_RETRY_DELAY
        return self._evaluate_pending(now)

    def tick(self, now: timedelta) -> list[Effect]:
        """Expire writes at their deadline, and calls that were never answered."""
        for target, call in list(self._call_by_target.items()):
            if now >= call.expires_at:
                del self._call_by_target[target]
        return self._evaluate_pending(now)

    def _record_status(self, target: str, status: ServerStatus) -> None:
        if target not in self._targets:
            return
        if has_no_log(status):
            self._progress_by_target.pop(target, None)
            return
        self._record_progress(target, status.term, status.stored_position)

    def _record_progress(self, target: str, term: int, held: LogPosition) -> None:
        """Keep the most advanced progress; statuses may arrive in any order."""
        previous = self._progress_by_target.get(target)
        if previous is None or (term, held) > previous:
            self._progress_by_target[target] = _ReplicaProgress(term, held)

    def _evaluate_pending(self, now: timedelta) -> list[Effect]:
        effects: list[Effect] = []
        for request_id, write in list(self._pending_by_request.items()):
            decision = self._evaluate_write(request_id, write, now)
            if decision is not None:
                del self._pending_by_request[request_id]
                effects.append(decision)
        return effects + self._start_calls(now)

    def _evaluate_write(
        self, request_id: str, write: _PendingWrite, now: timedelta
    ) -> Effect | None:
        needed = majority_size(len(self._targets))
        stored = sum(
            self._has_entry(target, write.position) for target in self._targets
        )
        if stored >= needed:
            return WriteDurable(request_id)
        term = write.position.term
        past_term = sum(self._is_past_term(target, term) for target in self._targets)
        if len(self._targets) - past_term < needed:
            return WriteUndecided(request_id, f"term {term} was replaced")
        if now >= write.deadline:
            reason = f"{stored} of {needed} needed servers held it at the deadline"
            return WriteUndecided(request_id, reason)
        return None

    def _has_entry(self, target: str, position: LogPosition) -> bool:
        """Return whether the server had the entry while it was in the entry's term.

        All entries of a term come from one primary, so a last entry of the same term
        at or after ``position`` implies that the log contains the entry.
        """
        progress = self._progress_by_target.get(target)
        return (
            progress is not None
            and progress.term == position.term
            and progress.held.term == position.term
            and progress.held.offset >= position.offset
        )

    def _is_past_term(self, target: str, term: int) -> bool:
        progress = self._progress_by_target.get(target)
        return progress is not None and progress.term > term

    def _start_calls(self, now: timedelta) -> list[Effect]:
        effects: list[Effect] = []
        for target in self._targets:
            missing = self._writes_missing_at(target)
            if not missing or not self._may_call(target, now):
                continue
            wait = min(max(write.deadline for write in missing) - now, MAX_SERVER_WAIT)
            # Wait for the lowest position: the answer also covers all later writes
            # that have arrived by then, and the next call covers the others.
            lowest = min(write.position for write in missing)
            self._call_by_target[target] = _OutstandingCall(
                lowest, now + wait + CALL_TIMEOUT_GRACE
            )
            effects.append(AwaitPosition(target, lowest, wait))
        return effects

    def _writes_missing_at(self, target: str) -> list[_PendingWrite]:
        if target == self._primary:
            return []
        return [
            write
            for write in self._pending_by_request.values()
            if not self._has_entry(target, write.position)
            and not self._is_past_term(target, write.position.term)
        ]

    def _may_call(self, target: str, now: timedelta) -> bool:
        if target in self._call_by_target:
            return False
        return now >= self._retry_at_by_target.get(target, now)
