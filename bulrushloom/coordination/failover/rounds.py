"""Promotion rounds: attempts to take a term and to choose its primary."""

from datetime import timedelta
from enum import StrEnum

from bulrushloom.coordination.failover.base import FailoverPolicy, has_no_log
from bulrushloom.coordination.failover.servers import ServerRecord, ServerTable
from bulrushloom.databases.base import ServerStatus

# A server that lost its log no longer knows which terms it granted. A round that lets
# it rejoin takes the next multiple of this number, which is higher than any term that a
# candidate can have reached in single steps in the meantime.
REJOIN_TERM_STEP = 1000


class RoundKind(StrEnum):
    """Reason for a promotion round.

    ``FAILOVER`` replaces a failed primary and ``MOVE`` a leaving one. ``REGROUP`` takes
    a new term so that servers with a higher term or without a log can rejoin.
    """

    FAILOVER = "failover"
    MOVE = "move"
    REGROUP = "regroup"


def next_term(highest: int, rejoin: bool) -> int:
    """Return a term above ``highest``, for rejoin rounds a multiple of the step."""
    if rejoin:
        return (highest // REJOIN_TERM_STEP + 1) * REJOIN_TERM_STEP
    return highest + 1


def is_rejoin_term(term: int) -> bool:
    """Return whether a round of ``term`` may let a server without a log rejoin."""
    return term % REJOIN_TERM_STEP == 0


class PromotionRound:
    """Collect the grants of one term and choose its primary.

    The choice never changes, because the promotion of the chosen server may have taken
    effect without an answer.
    """

    def __init__(self, kind: RoundKind, term: int, now: timedelta, rejoin: bool):
        self.kind = kind
        self.term = term
        self.started_at = now
        self.sent_at = now
        self.polled_at = now
        self.rejoin = rejoin
        self.grant_by_target: dict[str, ServerStatus] = {}
        self.refused: set[str] = set()
        self.chosen: str | None = None

    @property
    def waits_for_all(self) -> bool:
        """Return whether the round briefly waits for all servers after a quorum."""
        return self.rejoin or self.kind is not RoundKind.FAILOVER

    def add_grant(self, target: str, status: ServerStatus) -> None:
        """Record a grant with the server's status.

        A server that granted the term without a log counts as empty until the end of
        the round, even if a later status shows a log.
        """
        known = self.grant_by_target.get(target)
        if known is None or not has_no_log(known):
            self.grant_by_target[target] = status

    def has_quorum(self, table: ServerTable) -> bool:
        """Return whether a primary can be chosen without losing a write.

        A majority holds each acknowledged write, so every majority of servers with a
        log includes a server that holds it. A server that lost its log may have been
        one of them, so it does not count unless all servers granted the term; then no
        better log exists. Both kinds of quorum overlap every other quorum of the term.
        """
        grants = self._grants_of_group(table)
        with_log = [status for status in grants.values() if not has_no_log(status)]
        return len(with_log) >= table.majority or self.is_complete(table)

    def is_complete(self, table: ServerTable) -> bool:
        """Return whether all servers of the group granted the term."""
        return len(self._grants_of_group(table)) == len(table.record_by_target)

    def has_lost_quorum(self, table: ServerTable) -> bool:
        """Return whether too many servers refused the term for a quorum."""
        return len(table.record_by_target) - len(self.refused) < table.majority

    def is_caught_up(
        self,
        table: ServerTable,
        primary: ServerRecord | None,
        policy: FailoverPolicy,
        now: timedelta,
    ) -> bool:
        """Return whether a server that is not leaving has all entries of the primary.

        Only statuses that arrived during this round count. After the catch-up timeout
        the result is true in any case.
        """
        if now - self.started_at >= policy.catch_up_timeout:
            return True
        if (
            primary is None
            or primary.status is None
            or not self._was_seen_during_round(primary)
        ):
            return False
        held = primary.status.stored_position
        return any(
            record.status is not None
            and record.status.stored_position >= held
            and self._was_seen_during_round(record)
            for record in available_staying_servers(table, now)
        )

    def _was_seen_during_round(self, record: ServerRecord) -> bool:
        return (
            record.status_received_at is not None
            and record.status_received_at > self.started_at
        )

    def choose(
        self, table: ServerTable, current: str | None, exclude_leaving: bool
    ) -> str:
        """Choose the granting server with the highest last entry.

        If several servers have the same entry, those that are not leaving are
        preferred, then the current primary. With ``exclude_leaving``, leaving servers
        are not chosen if the others are a majority with a log: in that case, entries
        that only a leaving server holds were not acknowledged.
        """
        if self.chosen is None:
            grants = self._grants_of_group(table)
            staying = {
                name: status
                for name, status in grants.items()
                if not table.record_by_target[name].target.leaving
                and not has_no_log(status)
            }
            if exclude_leaving and len(staying) >= table.majority:
                grants = staying
            self.chosen = max(
                grants,
                key=lambda name: (
                    grants[name].stored_position,
                    not table.record_by_target[name].target.leaving,
                    name == current,
                ),
            )
        return self.chosen

    def _grants_of_group(self, table: ServerTable) -> dict[str, ServerStatus]:
        return {
            name: self.grant_by_target[name]
            for name in table.record_by_target
            if name in self.grant_by_target
        }


def available_staying_servers(table: ServerTable, now: timedelta) -> list[ServerRecord]:
    """Return the reachable servers that have a log and are not leaving."""
    return [
        record
        for record in table.reachable(now)
        if not record.target.leaving and record.has_log
    ]


def may_rejoin(
    record: ServerRecord, term: int, table: ServerTable, now: timedelta
) -> bool:
    """Return whether a server without a log may follow the primary of ``term``.

    Its copy of the log is incomplete at first. Every server with a log must therefore
    already hold an entry of ``term``, so that later rounds prefer it to an incomplete
    copy. For the same reason, servers rejoin one at a time. The server must have
    granted the term after it lost its log.
    """
    if record.status is None or record.status.term != term or not is_rejoin_term(term):
        return False
    if not all(table.is_fresh(other, now) for other in table.records):
        return False
    with_log = [other for other in table.records if other.has_log]
    without_log = [other for other in table.records if not other.has_log]
    return without_log[0] is record and all(
        other.status is not None and other.status.stored_position.term == term
        for other in with_log
    )
