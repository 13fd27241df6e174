"""Burn rates of the fleet, from the event counts of all instances."""

from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from typing import NamedTuple

import orjson
import urllib3
from pydantic import TypeAdapter, ValidationError

from bulrushloom.core.sentinels import Missing
from bulrushloom.directories.base import InstanceDirectory, InstanceEntry
from bulrushloom.telemetry.burn import (
    WINDOW_BY_NAME,
    BurnRow,
    Measure,
    WindowCount,
    burn_rows,
)

METRICS_TIMEOUT = timedelta(seconds=3)
MAX_CONCURRENT_READS = 32
MAX_METRICS_BYTES = 16 * 1024 * 1024
# An alert requires a burn rate above 1 in both windows of a pair: the short window
# shows that the problem is current, the long one that it is significant.
WINDOW_PAIRS = (("5m", "1h"), ("6h", "3d"))
# A failover of 2 s uses twice the budget of an hour but only a twelfth of that of a
# day, so the pair with the 1 h window would raise false alerts.
FAILOVER_PAIRS = WINDOW_PAIRS[1:]

_COUNTS = TypeAdapter(list[WindowCount])


class FleetBurn(NamedTuple):
    """Burn rates of all accounts, and the instances whose counts are missing."""

    rows: list[BurnRow]
    answered_count: int
    missing_reports: list[tuple[InstanceEntry, Missing]]


class HTTPBurnReader:
    """Client that reads the event counts from ``/metrics`` on peer addresses."""

    def __init__(self, timeout: timedelta = METRICS_TIMEOUT):
        self._pool = urllib3.PoolManager(
            num_pools=MAX_CONCURRENT_READS,
            timeout=timeout.total_seconds(),
            retries=False,
        )

    def read(self, address: str) -> list[WindowCount] | Missing:
        """Return the counts served on a peer address, or why they are missing."""
        try:
            response = self._pool.request("GET", f"http://{address}/metrics")
        except urllib3.exceptions.HTTPError:
            return Missing("no answer")
        if response.status != 200:
            return Missing(f"answered with status {response.status}")
        if len(response.data) > MAX_METRICS_BYTES:
            return Missing("the metrics are too large")
        try:
            return _COUNTS.validate_python(orjson.loads(response.data)["burn"])
        except (orjson.JSONDecodeError, KeyError, TypeError, ValidationError):
            return Missing("the metrics are malformed")

    def close(self) -> None:
        """Close all sockets."""
        self._pool.clear()


def read_fleet_burn(directory: InstanceDirectory, reader: HTTPBurnReader) -> FleetBurn:
    """Return the burn rates of all accounts, summed over all listed instances."""
    entries = sorted(directory.instances(), key=lambda entry: entry.name)
    with ThreadPoolExecutor(MAX_CONCURRENT_READS) as executor:
        results = list(executor.map(reader.read, [entry.address for entry in entries]))
    counts: list[WindowCount] = []
    missing_reports = []
    for entry, result in zip(entries, results, strict=True):
        if isinstance(result, Missing):
            missing_reports.append((entry, result))
        else:
            counts += filter(_is_known, result)
    rows = complete_rows(burn_rows(counts))
    return FleetBurn(rows, len(entries) - len(missing_reports), missing_reports)


def complete_rows(rows: list[BurnRow]) -> list[BurnRow]:
    """Return a row for every account and measure, including those without events."""
    row_by_series = {(row.account, row.measure): row for row in rows}
    return [
        row_by_series.get(
            (account, measure), BurnRow(account, measure, dict.fromkeys(WINDOW_BY_NAME))
        )
        for account in sorted({row.account for row in rows})
        for measure in map(str, Measure)
    ]


def burn_alerts(rows: list[BurnRow]) -> list[str]:
    """Return a line for each burn rate above 1 in both windows of a pair."""
    lines = []
    for account, measure, burn_by_window in rows:
        is_gap = measure == Measure.FAILOVER_GAP
        for pair in FAILOVER_PAIRS if is_gap else WINDOW_PAIRS:
            window_rates = [burn_by_window[window] or 0.0 for window in pair]
            if min(window_rates) > 1:
                rates = " ".join(
                    f"{window}={burn:.2f}"
                    for window, burn in zip(pair, window_rates, strict=True)
                )
                lines.append(f"burning: {account} {measure} {rates}")
    return lines


def _is_known(count: WindowCount) -> bool:
    # During an upgrade, instances of another version may report other measures.
    return count.measure in set(Measure) and count.window in WINDOW_BY_NAME
