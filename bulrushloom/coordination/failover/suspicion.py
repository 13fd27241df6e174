"""Conditions under which a watcher that suspects the primary may start a round."""

from collections.abc import Sequence
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.failover.base import (
    FailoverPolicy,
    WatcherReport,
    is_serving,
)
from bulrushloom.coordination.failover.servers import ServerRecord, ServerTable


class _Report(NamedTuple):
    received_at: timedelta
    report: WatcherReport


class Suspicion:
    """Decide on a failover from the statuses of servers and other watchers' reports."""

    def __init__(self, policy: FailoverPolicy):
        self._policy = policy
        self._since = timedelta()
        self._delay = policy.answer_timeout
        self._report_by_watcher: dict[str, _Report] = {}

    def start(self, now: timedelta, delay: timedelta) -> None:
        """Begin to suspect the primary; the first rank may act after ``delay``."""
        self._since, self._delay = now, delay

    def add_report(self, sender: str, report: WatcherReport, now: timedelta) -> None:
        """Store the latest report of another watcher."""
        self._report_by_watcher[sender] = _Report(now, report)

    def keep_reports(self, watchers: Sequence[str]) -> None:
        """Drop the reports of instances that are no longer watchers."""
        for watcher in self._report_by_watcher.keys() - set(watchers):
            del self._report_by_watcher[watcher]

    def turn_at(self, rank: int) -> timedelta:
        """Return when the watcher of ``rank`` may act."""
        return self._since + self._delay + rank * self._policy.rank_delay

    def find_obstacle(
        self,
        table: ServerTable,
        primary: ServerRecord | None,
        term: int,
        rank: int,
        now: timedelta,
    ) -> str | None:
        """Return the reason why no promotion may start now, or ``None``.

        A round without a reachable quorum would only raise the term of the servers that
        it reaches and thereby cut them off from a working primary.
        """
        if not table.records:
            return "the rules name no server of the group"
        reachable = table.reachable(now)
        with_log = sum(record.has_log for record in reachable)
        if with_log < table.majority and len(reachable) < len(table.records):
            return f"{with_log} servers with a log answer, {table.majority} needed"
        if primary is not None and _reports_not_serving(primary, table, now):
            return None
        if table.count_in_contact(term, now) < table.majority:
            return None
        if self._may_override(table, primary, term, rank, now):
            return None
        return "a majority of the servers hear the primary"

    def _may_override(
        self,
        table: ServerTable,
        primary: ServerRecord | None,
        term: int,
        rank: int,
        now: timedelta,
    ) -> bool:
        unreachable_for = now - self._since
        if primary is not None:
            unreachable_for = table.time_since_answer(primary, now)
        if (
            unreachable_for
            < self._policy.override_after + rank * self._policy.rank_delay
        ):
            return False
        return not any(
            item.report.reachable
            and item.report.term >= term
            and now - item.received_at <= self._policy.contact_timeout
            for item in self._report_by_watcher.values()
        )


def _reports_not_serving(
    primary: ServerRecord, table: ServerTable, now: timedelta
) -> bool:
    return (
        primary.status is not None
        and table.is_reachable(primary, now)
        and not is_serving(primary.status)
    )
