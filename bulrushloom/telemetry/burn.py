"""Burn rates of the error budgets per client account, over several time windows."""

from array import array
from collections.abc import Iterable
from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

MINUTE = timedelta(minutes=1)
WINDOW_BY_NAME = {
    "5m": timedelta(minutes=5),
    "1h": timedelta(hours=1),
    "6h": timedelta(hours=6),
    "3d": timedelta(days=3),
}
RING_MINUTES = timedelta(days=3) // MINUTE
# The counts of one account and measure take about 35 KB. Accounts above this limit are
# counted together as one.
MAX_ACCOUNTS = 200
OTHER_ACCOUNTS = "(other accounts)"
_MAX_COUNT = 2**32 - 1


class Measure(StrEnum):
    """Service-level measures that have an error budget."""

    REPLICA_READS = "replica_reads"
    FAILOVER_GAP = "failover_gap"
    SERVED_SHARE = "served_share"
    WRONGFUL_REFUSALS = "wrongful_refusals"


# Fraction of the events that may be bad. For the failover gap, the events are
# milliseconds, and the budget allows two failovers of 12 s a day.
BUDGET_BY_MEASURE = {
    Measure.REPLICA_READS: 0.1,
    Measure.FAILOVER_GAP: 2 * timedelta(seconds=12) / timedelta(days=1),
    Measure.SERVED_SHARE: 0.05,
    Measure.WRONGFUL_REFUSALS: 0.001,
}


class WindowCount(NamedTuple):
    """Number of events of one account, measure and window; serializable as JSON."""

    account: str
    measure: str
    window: str
    total: int
    bad: int


class BurnRow(NamedTuple):
    """Burn rates of an account and measure; ``None`` for a window without events."""

    account: str
    measure: str
    burn_by_window: dict[str, float | None]


class MinuteRing:
    """Ring buffer of event counts for the last ``RING_MINUTES`` minutes."""

    def __init__(self, minute: int):
        self._total = array("I", bytes(4 * RING_MINUTES))
        self._bad = array("I", bytes(4 * RING_MINUTES))
        self._minute = minute

    def add(self, minute: int, total: int, bad: int) -> None:
        """Add events to ``minute``, or to the latest minute if that is later."""
        self._advance(minute)
        slot = self._minute % RING_MINUTES
        self._total[slot] = min(self._total[slot] + total, _MAX_COUNT)
        self._bad[slot] = min(self._bad[slot] + bad, _MAX_COUNT)

    def sums(self, minute: int, length: int) -> tuple[int, int]:
        """Return the total and bad events of ``length`` minutes up to ``minute``."""
        self._advance(minute)
        return self._sum(self._total, length), self._sum(self._bad, length)

    def copy(self) -> "MinuteRing":
        """Return an independent copy, for use by another thread."""
        ring = MinuteRing(self._minute)
        ring._total, ring._bad = self._total[:], self._bad[:]
        return ring

    def _sum(self, counts: "array[int]", length: int) -> int:
        end = self._minute % RING_MINUTES + 1
        wrapped_length = length - end
        # A window that starts before slot 0 wraps around to the end of the array.
        wrapped_sum = (
            sum(counts[RING_MINUTES - wrapped_length :]) if wrapped_length > 0 else 0
        )
        return wrapped_sum + sum(counts[max(0, end - length) : end])

    def _advance(self, minute: int) -> None:
        passed = min(max(0, minute - self._minute), RING_MINUTES)
        for i in range(passed):
            slot = (minute - i) % RING_MINUTES
            self._total[slot] = 0
            self._bad[slot] = 0
        self._minute = max(minute, self._minute)


class BurnCounters:
    """Event counts of one instance; ``now`` is a reading of the monotonic clock.

    The object is not thread-safe; it belongs to one task.
    """

    def __init__(self, now: timedelta):
        self._start = now
        self._ring_by_series: dict[tuple[str, Measure], MinuteRing] = {}
        self._accounts: set[str] = set()

    def record(
        self, account: str, measure: Measure, total: int, bad: int, now: timedelta
    ) -> None:
        """Add ``total`` events, ``bad`` of them bad, to the current minute."""
        if account not in self._accounts:
            if len(self._accounts) >= MAX_ACCOUNTS:
                account = OTHER_ACCOUNTS
            self._accounts.add(account)
        minute = now // MINUTE
        ring = self._ring_by_series.get((account, measure))
        if ring is None:
            ring = MinuteRing(minute)
            self._ring_by_series[account, measure] = ring
        ring.add(minute, total, bad)

    def record_gap(self, account: str, gap: timedelta, now: timedelta) -> None:
        """Add a period in which the account's writes were not acknowledged."""
        bad = gap // timedelta(milliseconds=1)
        self.record(account, Measure.FAILOVER_GAP, 0, bad, now)

    def copy(self) -> "BurnCounters":
        """Return a copy, so that another thread can call ``counts``, which is slow."""
        counters = BurnCounters(self._start)
        counters._ring_by_series = {
            series: ring.copy() for series, ring in self._ring_by_series.items()
        }
        counters._accounts = set(self._accounts)
        return counters

    def counts(self, now: timedelta) -> list[WindowCount]:
        """Return the counts of all windows, sorted by account and measure."""
        rows = []
        for (account, measure), ring in sorted(self._ring_by_series.items()):
            for name, window in WINDOW_BY_NAME.items():
                total, bad = ring.sums(now // MINUTE, window // MINUTE)
                if measure is Measure.FAILOVER_GAP:
                    observed = min(window, now - self._start)
                    total = observed // timedelta(milliseconds=1)
                rows.append(WindowCount(account, measure.value, name, total, bad))
        return rows


def burn_rows(counts: Iterable[WindowCount]) -> list[BurnRow]:
    """Return the burn rates of the summed counts of all instances."""
    sums: dict[tuple[str, str], dict[str, tuple[int, int]]] = {}
    for account, measure, window, total, bad in counts:
        sum_by_window = sums.setdefault((account, measure), {})
        old_total, old_bad = sum_by_window.get(window, (0, 0))
        sum_by_window[window] = (old_total + total, old_bad + bad)
    return [
        BurnRow(account, measure, _burn_rate_by_window(Measure(measure), sum_by_window))
        for (account, measure), sum_by_window in sorted(sums.items())
    ]


def _burn_rate_by_window(
    measure: Measure, sum_by_window: dict[str, tuple[int, int]]
) -> dict[str, float | None]:
    burns: dict[str, float | None] = {}
    for window in WINDOW_BY_NAME:
        total, bad = sum_by_window.get(window, (0, 0))
        bad_fraction = bad / total if total else None
        burns[window] = (
            None if bad_fraction is None else bad_fraction / BUDGET_BY_MEASURE[measure]
        )
    return burns


def render_table(rows: Iterable[BurnRow]) -> str:
    """Return the rows as a text table with aligned columns."""
    lines = [["account", "measure", *WINDOW_BY_NAME]]
    for row in rows:
        rates = [_format_rate(row.burn_by_window.get(name)) for name in WINDOW_BY_NAME]
        lines.append([row.account, row.measure, *rates])
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(_join_cells(line, widths) for line in lines) + "\n"


def _format_rate(rate: float | None) -> str:
    return "-" if rate is None else f"{rate:.2f}"


def _join_cells(cells: list[str], widths: list[int]) -> str:
    texts = [cell.ljust(width) for cell, width in zip(cells[:2], widths, strict=False)]
    rates = zip(cells[2:], widths[2:], strict=True)
    texts += [cell.rjust(width) for cell, width in rates]
    return "  ".join(texts).rstrip()
