"""Commits that this instance may still acknowledge to clients."""

from collections.abc import Callable, Iterator
from concurrent.futures import Future
from contextlib import contextmanager
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.failover.groups import GroupPhase, GroupRecord
from bulrushloom.proxy.messages import LogPosition
from bulrushloom.proxy.store_freshness import MAX_PRIMARY_AGE, StoreFreshness
from bulrushloom.runtime.loop import Loop, set_result_if_pending

# Commits that run when the replacement of their primary is announced have this time to
# finish, unless the primary is suspected.
PENDING_COMMIT_TIMEOUT = timedelta(milliseconds=300)


class _Replacement(NamedTuple):
    """The replacement of a primary, and the end of acknowledgements of its commits."""

    old_id: str
    term: int
    known_since: timedelta
    deadline: timedelta


class CommitAcknowledgements:
    """Decision whether a commit may be acknowledged to its client.

    A promotion loses a commit only if an instance acknowledges the commit although the
    successor lacks it. The leader therefore waits until no instance can acknowledge
    commits of the old primary: until all have confirmed the replacement, or for
    ``MAX_PRIMARY_AGE``. This class keeps that promise. A commit that is answered too
    late is in doubt for its client.

    ``position_by_service`` holds the highest log position whose commit was acknowledged
    to a client of any instance, as far as this one knows. ``on_followed`` is called
    when the last pending commit at a replaced primary has ended.
    """

    def __init__(self, loop: Loop, freshness: StoreFreshness):
        self._loop = loop
        self._freshness = freshness
        self._replacement_by_service: dict[str, _Replacement] = {}
        self._pending_by_service: dict[str, dict[Future[None], str]] = {}
        self._term_by_service: dict[str, int] = {}
        self.position_by_service: dict[str, LogPosition] = {}
        self.on_followed: Callable[[], None] = lambda: None

    @contextmanager
    def pending(self, target: Target) -> "Iterator[Future[None]]":
        """Count a commit as pending at ``target``.

        Yields a future that is done once the commit can no longer be acknowledged.
        """
        service, cutoff = target.service, Future[None]()
        pending = self._pending_by_service.setdefault(service, {})
        pending[cutoff] = target.target_id
        try:
            yield cutoff
        finally:
            del pending[cutoff]
            if not pending and service in self._replacement_by_service:
                self.on_followed()

    def record_position(self, service: str, position: LogPosition | Missing) -> None:
        """Record the position of a commit that was acknowledged to a client."""
        if isinstance(position, Missing):
            return
        known = self.position_by_service.get(service)
        if known is None or position > known:
            self.position_by_service[service] = position

    def apply_group_record(self, group: GroupRecord, is_suspected: bool) -> None:
        """Apply a new record; ``is_suspected`` applies to the primary it replaces.

        Must be called before the store read that returned the record is recorded as
        evidence: until it knew the record, this instance acted on the older evidence.
        """
        service = group.service
        known_term = self._term_by_service.get(service, group.term)
        self._term_by_service[service] = group.term
        if group.phase is GroupPhase.STEADY:
            self._replacement_by_service.pop(service, None)
            # In another term, the commits that are pending at this primary may be those
            # of an earlier one.
            is_same_term = known_term == group.term
            self._give_up(service, group.primary_id if is_same_term else "")
            return
        known = self._replacement_by_service.get(service)
        if known is not None and (known.old_id, known.term) == (
            group.old_id,
            group.term,
        ):
            return
        now = self._loop.now()
        timeout = timedelta() if is_suspected else PENDING_COMMIT_TIMEOUT
        deadline = min(
            now + timeout, self._freshness.primaries_read_at + MAX_PRIMARY_AGE
        )
        replacement = _Replacement(group.old_id, group.term, now, deadline)
        self._replacement_by_service[service] = replacement
        self._give_up(service, except_for=group.old_id)
        if deadline <= now:
            self._give_up(service)
        else:
            self._loop.call_later(
                deadline - now, lambda: self._end_replacement(service, replacement)
            )

    def _end_replacement(self, service: str, replacement: _Replacement) -> None:
        if self._replacement_by_service.get(service) is replacement:
            self._give_up(service)
            self.on_followed()

    def _give_up(self, service: str, except_for: str = "") -> None:
        """End the wait for commits that are pending at other targets."""
        for cutoff, target_id in self._pending_by_service.get(service, {}).items():
            if target_id != except_for:
                set_result_if_pending(cutoff, None)

    def replacing_since(self, service: str) -> timedelta | None:
        """Return since when the current replacement of a primary is known."""
        replacement = self._replacement_by_service.get(service)
        return replacement.known_since if replacement is not None else None

    def allows_replaced(self, target: Target) -> bool:
        """Return whether commits of a primary that is being replaced may be answered.

        They ran before its replacement was announced.
        """
        replacement = self._replacement_by_service.get(target.service)
        if replacement is None or replacement.old_id != target.target_id:
            return False
        return self._loop.now() < replacement.deadline

    def has_ended(self, service: str) -> bool:
        """Return whether no commit of the replaced primary will be acknowledged."""
        replacement = self._replacement_by_service.get(service)
        if replacement is not None and self._loop.now() >= replacement.deadline:
            return True
        return not self._pending_by_service.get(service)
