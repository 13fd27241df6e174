"""One attempt to take a term and to choose its primary."""

from datetime import timedelta
from enum import StrEnum

from bulrushloom.coordination.failover.base import FailoverPolicy, has_no_log
from bulrushloom.coordination.failover.servers import ServerRecord, ServerTable
from bulrushloom.databases.base import ServerStatus

# A server that lost its log has also forgotten which terms it granted. A round that
# lets it back in takes the next multiple of this number, which is above any term
# that a candidate can have reached by single steps in the meantime.
REJOIN_TERM_STEP = 1000


class RoundKind(StrEnum):
    """Name why a round takes place."""

    FAILOVER = "failover"
    MOVE = "move"
    REGROUP = "regroup"


def next_term(highest: int, rejoin: bool) -> int:
    """Return a term above ``highest``; rejoin rounds use multiples of the step."""
    if rejoin:
        return (highest // REJOIN_TERM_STEP + 1) * REJOIN_TERM_STEP
    return highest + 1


def is_rejoin_term(term: int) -> bool:
    """Tell whether a round of ``term`` may let a server without a log back in."""
    return term % REJOIN_TERM_STEP == 0


class PromotionRound:
    """Collect grants of one term; the choice, once made, never changes."""

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
        """Tell whether the round waits a little for servers beyond a quorum."""
        return self.rejoin or self.kind is not RoundKind.FAILOVER

    def add_grant(self, target: str, status: ServerStatus) -> None:
        """Take a grant; a server that lost its log since its grant counts as empty."""
        known = self.grant_by_target.get(target)
        if known is None or not has_no_log(known):
            self.grant_by_target[target] = status

    def has_quorum(self, table: ServerTable) -> bool:
        """Tell whether the grants suffice to choose a primary without losing a write.

        An acknowledged write is held by a majority, so any majority of servers with
        a log holds it. A server that lost its log may have held it and does not
        count, unless all servers granted the term: no better log exists then. Both
        kinds of quorum share a server with every other quorum of the term.
        """
        grants = self._grants_of_group(table)
        with_log = [status for status in grants.values() if not has_no_log(status)]
        return len(with_log) >= table.majority or self.is_complete(table)

    def is_complete(self, table: ServerTable) -> bool:
        """Tell whether all servers of the group granted the term."""
        return len(self._grants_of_group(table)) == len(table.record_by_target)

    def has_lost_quorum(self, table: ServerTable) -> bool:
        """Tell whether refusals leave no quorum."""
        return len(table.record_by_target) - len(self.refused) < table.majority

    def is_caught_up(
        self,
        table: ServerTable,
        primary: ServerRecord | None,
        policy: FailoverPolicy,
        now: timedelta,
    ) -> bool:
        """Tell whether a server that stays holds all that the primary holds.

        The statuses must have arrived during this round. After a time limit the
        answer is yes in any case.
        """
        if now - self.started_at >= policy.catch_up_timeout:
            return True
        if (
            primary is None
            or primary.status is None
            or not self._was_seen_during_round(primary)
        ):
            return False
        held = primary.status.held
        return any(
            record.status is not None
            and record.status.held >= held
            and self._was_seen_during_round(record)
            for record in available_staying_servers(table, now)
        )

    def _was_seen_during_round(self, record: ServerRecord) -> bool:
        return record.seen_at is not None and record.seen_at > self.started_at

    def choose(
        self, table: ServerTable, current: str | None, exclude_leaving: bool
    ) -> str:
        """Choose the granting server with the highest last entry.

        Among equals, servers that stay and then the current primary come first.
        With ``spare_leaving``, leaving servers are passed over if the others alone
        are a majority with a log: entries that only a leaving server holds were not
        acknowledged.
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
                    grants[name].held,
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
    """Return the servers with a log that answer and are not leaving."""
    return [
        record
        for record in table.reachable(now)
        if not record.target.leaving and record.has_log
    ]


def may_rejoin(
    record: ServerRecord, term: int, table: ServerTable, now: timedelta
) -> bool:
    """Tell whether a server without a log may follow the primary of ``term``.

    Its copy of the log is partial at first, so every server with a log must already
    hold an entry of ``term``: these then outrank a partial copy in every later
    round. Only one server is let in at a time for the same reason. The server must
    have granted the term since it lost its log.
    """
    if record.status is None or record.status.term != term or not is_rejoin_term(term):
        return False
    if not all(table.is_fresh(other, now) for other in table.records):
        return False
    with_log = [other for other in table.records if other.has_log]
    without_log = [other for other in table.records if not other.has_log]
    return without_log[0] is record and all(
        other.status is not None and other.status.held.term == term
        for other in with_log
    )
