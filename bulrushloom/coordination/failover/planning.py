"""Planned rounds and redirected servers of a group with a serving primary.

A planned round moves the primary away from a leaving server or lets servers rejoin the
group. A redirected server is told to follow the current primary. A server that lost its
log may copy it again only in a rejoin term, a term whose round was started for this
purpose.
"""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.failover.base import FailoverPolicy
from bulrushloom.coordination.failover.rounds import (
    RoundKind,
    is_rejoin_term,
    may_rejoin,
)
from bulrushloom.coordination.failover.servers import ServerRecord, ServerTable


class _PlannedRound(NamedTuple):
    kind: RoundKind
    since: timedelta


class PlannedRounds:
    """Schedule planned rounds by rank, with a delay that grows until one succeeds."""

    def __init__(self, policy: FailoverPolicy):
        self._policy = policy
        self._planned: _PlannedRound | None = None
        self._started = 0

    @property
    def excludes_leaving(self) -> bool:
        """Return whether a move must not keep the leaving primary again.

        Only the first moves, up to ``max_kept_moves`` of the policy, may do so.
        """
        return self._started > self._policy.max_kept_moves

    def due(
        self,
        table: ServerTable,
        primary: ServerRecord,
        term: int,
        rank: int | None,
        now: timedelta,
    ) -> RoundKind | None:
        """Return the kind of planned round that is due now, if any."""
        kind = required_round(table, primary, term, now)
        if kind is None:
            self._planned, self._started = None, 0
            return None
        if self._planned is None or self._planned.kind is not kind:
            self._planned = _PlannedRound(kind, now)
        if rank is None or now - self._planned.since < self._delay(kind, rank):
            return None
        return kind

    def count_start(self) -> None:
        """Count a planned round that starts now."""
        self._started += 1

    def reset_delay(self) -> None:
        """Measure the delay from the next time that a round is required."""
        self._planned = None

    def _delay(self, kind: RoundKind, rank: int) -> timedelta:
        delay = rank * self._policy.rank_delay
        if kind is RoundKind.REGROUP:
            delay += self._policy.stable_period
        growth = 2 ** min(self._started, 8) - 1
        return delay + min(
            growth * self._policy.stable_period, self._policy.max_planned_delay
        )


def required_round(
    table: ServerTable, primary: ServerRecord, term: int, now: timedelta
) -> RoundKind | None:
    """Return the planned round that the group needs, if any.

    A leaving primary requires a move. A server with a higher term than the primary
    refuses its log, and a server without a log may only return in a rejoin term. Both
    require a new term that all servers grant.
    """
    if primary.target.leaving and any(not r.target.leaving for r in table.records):
        return RoundKind.MOVE
    reachable = table.reachable(now)
    others = [record for record in reachable if record is not primary]
    if any(record.status and record.status.term > term for record in others):
        return RoundKind.REGROUP
    if len(reachable) == len(table.record_by_target) and any(
        not record.has_log and not _awaits_rejoin(record, term) for record in others
    ):
        return RoundKind.REGROUP
    return None


def can_start(
    kind: RoundKind, table: ServerTable, primary: ServerRecord, now: timedelta
) -> bool:
    """Return whether a planned round would succeed without a long interruption."""
    reachable = [record for record in table.reachable(now) if record.has_log]
    if len(reachable) < table.majority:
        return False
    if kind is RoundKind.REGROUP:
        return True
    term = primary.status.term if primary.status is not None else 0
    return any(
        record.status is not None and record.status.stored_position.term == term
        for record in reachable
        if not record.target.leaving
    )


def servers_to_redirect(
    table: ServerTable,
    primary: ServerRecord,
    term: int,
    policy: FailoverPolicy,
    now: timedelta,
) -> list[ServerRecord]:
    """Return the servers that must be told now to follow the primary of ``term``.

    Only servers whose status has just arrived are included. Since an older status, a
    server may have lost its log; then it must not copy the log outside a rejoin term.
    """
    return [
        record
        for record in table.reachable(now)
        if record is not primary
        and record.status_received_at == now
        and _needs_redirect(record, term, policy)
        and (record.has_log or may_rejoin(record, term, table, now))
        and (
            record.followed_at is None
            or now - record.followed_at >= policy.poll_interval
        )
    ]


def _awaits_rejoin(record: ServerRecord, term: int) -> bool:
    return (
        record.status is not None
        and record.status.term == term
        and is_rejoin_term(term)
    )


def _needs_redirect(record: ServerRecord, term: int, policy: FailoverPolicy) -> bool:
    """Return whether a server does not replicate from the primary of ``term``."""
    status = record.status
    if status is None or status.term > term:
        return False
    if (
        status.term < term
        or status.stored_position.term < term
        or status.primary_contact_age is None
    ):
        return True
    return status.primary_contact_age > policy.contact_timeout
