"""Sums of the usage of a subtree, and of a domain without the own part; no I/O.

A total that comes back down the tree includes what this instance reported some rounds
ago. Each instance keeps its latest reports, so that it can subtract exactly that part,
and tell its children which of their reports were included.
"""

from collections import deque
from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.proxy.exchange.messages import GroupUsage, Report
from bulrushloom.proxy.limits import NO_USAGE, Usage, add_usage

# Rounds of which the contents are kept; a total comes back within a few of them.
KEPT_REPORTS = 32
# Usage of a child that moved to another parent is still counted for this time, until
# the total includes it by way of the new parent: a report to the new parent at once and
# the new parent's next one. Counting it twice only refuses more.
MOVED_USAGE_LIFETIME = timedelta(milliseconds=500)
# Time after the last report of a child within which the instances below it report to
# another parent; from then on only its own part is counted here.
ORPHANS_MOVE_TIME = timedelta(milliseconds=1600)


class _Child(NamedTuple):
    """Last report of a child; ``sent_at`` is the earliest time it may have been sent.

    Reports that were queued while this instance was frozen are old when they arrive.
    """

    report: Report
    usage: GroupUsage
    sent_at: timedelta
    counted_until: timedelta
    has_left: bool


class _Sent(NamedTuple):
    """Content of a report: its number, the own part, and the children's numbers."""

    stamp: int
    own_usage: Mapping[str, Usage]
    stamp_by_child: Mapping[str, int]


class SubtreeTotals:
    """Usage of this instance and of the children that report to it.

    ``report_timeout`` is the age from which a child is no longer counted as reporting.
    Its own admitted operations stay counted for ``window``, since they may have been
    admitted just before its last report.
    """

    def __init__(self, incarnation: str, report_timeout: timedelta, window: timedelta):
        self._incarnation = incarnation
        self._report_timeout = report_timeout
        self.window = window
        self._child_by_incarnation: dict[str, _Child] = {}
        self._sent: deque[_Sent] = deque(maxlen=KEPT_REPORTS)

    def record_child(self, report: Report) -> None:
        """Record a report of a child, or that it moved to another parent."""
        if report.subtree is None:
            return
        lifetime = MOVED_USAGE_LIFETIME if report.has_left else self.window
        sent_at = report.received_at if report.sent_at is None else report.sent_at
        self._child_by_incarnation[report.member.incarnation] = _Child(
            report, report.subtree, sent_at, sent_at + lifetime, report.has_left
        )

    def children(self, now: timedelta) -> list[Report]:
        """Return the latest report of each child that reports."""
        return [
            child.report
            for child in self._child_by_incarnation.values()
            if self._is_reporting(child, now)
        ]

    def _is_reporting(self, child: _Child, now: timedelta) -> bool:
        age = now - child.sent_at
        return not child.has_left and age <= self._report_timeout

    def total(
        self, own_usage: Mapping[str, Usage], excluded_name: str, now: timedelta
    ) -> GroupUsage:
        """Return the usage of the subtree; a parent ``excluded_name`` is left out."""
        self._drop_expired(now)
        count = 1
        # If no child reports, this instance may be the one that is cut off.
        has_moved_orphans = bool(self.children(now))
        total = dict(own_usage)
        for child in self._child_by_incarnation.values():
            if child.report.member.name == excluded_name:
                continue
            is_reporting = self._is_reporting(child, now)
            count += child.usage.instance_count if is_reporting else 0
            is_silent = now - child.sent_at >= ORPHANS_MOVE_TIME
            # The instances below a silent child report to another parent by now. Their
            # usage would otherwise count twice for a whole window.
            counted = child.usage.usage_by_account
            if is_silent and has_moved_orphans:
                counted = child.report.own_usage
            for account, usage in counted.items():
                if not is_reporting:
                    usage = Usage(usage.admitted, 0.0)
                total[account] = add_usage(total.get(account, NO_USAGE), usage)
        return GroupUsage(count, now, self._incarnation, total)

    def _drop_expired(self, now: timedelta) -> None:
        self._child_by_incarnation = {
            incarnation: child
            for incarnation, child in self._child_by_incarnation.items()
            if child.counted_until > now
        }

    def record_sent(
        self, stamp: int, own_usage: Mapping[str, Usage], excluded_name: str
    ) -> None:
        """Keep the content of the report ``stamp``, which included the children."""
        stamp_by_child = {
            incarnation: child.report.stamp
            for incarnation, child in self._child_by_incarnation.items()
            if child.report.member.name != excluded_name
        }
        self._sent.append(_Sent(stamp, own_usage, stamp_by_child))

    def included_stamps(self, stamp: int) -> Mapping[str, int]:
        """Return, by child, the number of the report that ``stamp`` included."""
        sent = self._find(stamp)
        return sent.stamp_by_child if sent is not None else {}

    def without_own_part(self, total: GroupUsage, stamp: int) -> GroupUsage:
        """Return the usage of the others in a total that includes the report ``stamp``.

        If that report is not known, nothing is subtracted: the own operations are then
        counted twice for a moment.
        """
        sent = self._find(stamp)
        if sent is None:
            return total
        others = {}
        for account, usage in total.usage_by_account.items():
            own = sent.own_usage.get(account)
            if own is not None:
                usage = Usage(
                    *(max(0.0, a - b) for a, b in zip(usage, own, strict=True))
                )
            others[account] = usage
        return total._replace(
            instance_count=max(0, total.instance_count - 1), usage_by_account=others
        )

    def _find(self, stamp: int) -> _Sent | None:
        if not stamp:
            return None
        return next((sent for sent in self._sent if sent.stamp == stamp), None)
