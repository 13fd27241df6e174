"""Decide when a majority of a group's servers hold a write."""

from collections.abc import Sequence
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.base import DecisionComponent, Effect, Message
from bulrushloom.coordination.failover.base import (
    StatusReceived,
    has_no_log,
    majority_of,
)
from bulrushloom.coordination.replication.base import (
    AwaitAnswered,
    AwaitFailed,
    AwaitHeld,
    WriteDurable,
    WriteUndecided,
)
from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.databases.base import ServerStatus

MAX_AWAIT = timedelta(seconds=1)
AWAIT_RETRY_DELAY = timedelta(milliseconds=100)
# An edge that never reports back would otherwise block all waiting on that server.
AWAIT_GRACE = timedelta(seconds=2)


class _Evidence(NamedTuple):
    term: int
    held: LogPosition


class _Waiting(NamedTuple):
    position: LogPosition
    deadline: timedelta


class _Await(NamedTuple):
    position: LogPosition
    ends: timedelta


class AcknowledgementTracker(DecisionComponent):
    """Report writes as durable once a majority holds them in their term.

    There is one tracker per group at the owner of its primary. ``primary`` is the
    target that ran the writes: its answer with the position of a write proves that
    it held the write in that term.
    """

    def __init__(self, primary: str, targets: Sequence[str]):
        self._primary = primary
        self._targets = tuple(targets)
        self._evidence_by_target: dict[str, _Evidence] = {}
        self._waiting_by_request: dict[str, _Waiting] = {}
        self._await_by_target: dict[str, _Await] = {}
        self._retry_at_by_target: dict[str, timedelta] = {}

    def update(self, primary: str, targets: Sequence[str]) -> None:
        """Set the target that runs the writes and all servers of the group."""
        self._primary = primary
        self._targets = tuple(targets)
        for target in self._evidence_by_target.keys() - set(targets):
            del self._evidence_by_target[target]

    def wait_for(
        self,
        request_id: str,
        position: LogPosition,
        deadline: timedelta,
        now: timedelta,
        term: int = 0,
    ) -> list[Effect]:
        """Wait for a write that the primary reported at ``position``.

        ``deadline`` is a monotonic reading. A term that is already replaced is
        reported as undecided at once. ``term`` is the primary's term if it found
        the write, of an earlier term, in its log (a repeated idempotency key): the
        write is durable once a majority holds the log up to an entry of that term.
        """
        position = max(position, LogPosition(term, 0))
        self._waiting_by_request[request_id] = _Waiting(position, deadline)
        self._learn(self._primary, position.term, position)
        return self._decide(now)

    def handle(self, sender: str, message: Message, now: timedelta) -> list[Effect]:
        """Take a status from a poll or from an ``AwaitHeld``."""
        if isinstance(message, StatusReceived):
            self._learn_status(message.target, message.status)
        elif isinstance(message, AwaitAnswered):
            asked = self._await_by_target.pop(message.target, None)
            self._learn_status(message.target, message.status)
            if asked is not None and not self._holds(message.target, asked.position):
                self._retry_at_by_target[message.target] = now + AWAIT_RETRY_DELAY
        elif isinstance(message, AwaitFailed):
            self._await_by_target.pop(message.target, None)
            self._retry_at_by_target[message.target] = now + AWAIT_RETRY_DELAY
        return self._decide(now)

    def tick(self, now: timedelta) -> list[Effect]:
        """Give up writes at their deadline and calls that were never answered."""
        for target, asked in list(self._await_by_target.items()):
            if now >= asked.ends:
                del self._await_by_target[target]
        return self._decide(now)

    def _learn_status(self, target: str, status: ServerStatus) -> None:
        if target not in self._targets:
            return
        if has_no_log(status):
            self._evidence_by_target.pop(target, None)
            return
        self._learn(target, status.term, status.held)

    def _learn(self, target: str, term: int, held: LogPosition) -> None:
        """Keep the newest evidence; statuses may arrive in any order."""
        known = self._evidence_by_target.get(target)
        if known is None or (term, held) > known:
            self._evidence_by_target[target] = _Evidence(term, held)

    def _decide(self, now: timedelta) -> list[Effect]:
        effects: list[Effect] = []
        for request_id, waiting in list(self._waiting_by_request.items()):
            decision = self._decision(request_id, waiting, now)
            if decision is not None:
                del self._waiting_by_request[request_id]
                effects.append(decision)
        return effects + self._awaits(now)

    def _decision(
        self, request_id: str, waiting: _Waiting, now: timedelta
    ) -> Effect | None:
        needed = majority_of(len(self._targets))
        holding = sum(self._holds(target, waiting.position) for target in self._targets)
        if holding >= needed:
            return WriteDurable(request_id)
        term = waiting.position.term
        left = sum(self._left(target, term) for target in self._targets)
        if len(self._targets) - left < needed:
            return WriteUndecided(request_id, f"term {term} was replaced")
        if now >= waiting.deadline:
            reason = f"{holding} of {needed} needed servers held it at the deadline"
            return WriteUndecided(request_id, reason)
        return None

    def _holds(self, target: str, position: LogPosition) -> bool:
        """Tell whether the server held the entry while it was in the entry's term.

        Entries of one term come from one primary, so a last entry of the same term
        at or after ``position`` implies that the entry itself is held.
        """
        known = self._evidence_by_target.get(target)
        return (
            known is not None
            and known.term == position.term
            and known.held.term == position.term
            and known.held.offset >= position.offset
        )

    def _left(self, target: str, term: int) -> bool:
        known = self._evidence_by_target.get(target)
        return known is not None and known.term > term

    def _awaits(self, now: timedelta) -> list[Effect]:
        effects: list[Effect] = []
        for target in self._targets:
            lacking = self._lacking(target)
            if not lacking or not self._may_ask(target, now):
                continue
            wait = min(max(item.deadline for item in lacking) - now, MAX_AWAIT)
            # The lowest position is asked for: its answer also covers every later
            # write that has arrived, and the next call covers the rest.
            lowest = min(item.position for item in lacking)
            self._await_by_target[target] = _Await(lowest, now + wait + AWAIT_GRACE)
            effects.append(AwaitHeld(target, lowest, wait))
        return effects

    def _lacking(self, target: str) -> list[_Waiting]:
        if target == self._primary:
            return []
        return [
            waiting
            for waiting in self._waiting_by_request.values()
            if not self._holds(target, waiting.position)
            and not self._left(target, waiting.position.term)
        ]

    def _may_ask(self, target: str, now: timedelta) -> bool:
        if target in self._await_by_target:
            return False
        return now >= self._retry_at_by_target.get(target, now)
