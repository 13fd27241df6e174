"""Burn counts of all instances, read over HTTP and added up."""

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
# A short and a long window that both burn: the problem is present and large.
WINDOW_PAIRS = (("5m", "1h"), ("6h", "3d"))
# One failover of 2 s uses up twice the budget of an hour but a twelfth of a day's.
FAILOVER_PAIRS = WINDOW_PAIRS[1:]

_COUNTS = TypeAdapter(list[WindowCount])


class FleetBurn(NamedTuple):
    """Hold the rows of all accounts and why instances are missing from them."""

    rows: list[BurnRow]
    answered: int
    missing: list[tuple[InstanceEntry, Missing]]


class HTTPBurnReader:
    """Read the burn counts of ``/metrics`` on peer addresses."""

    def __init__(self, timeout: timedelta = METRICS_TIMEOUT):
        self._pool = urllib3.PoolManager(
            num_pools=MAX_CONCURRENT_READS,
            timeout=timeout.total_seconds(),
            retries=False,
        )

    def read(self, address: str) -> list[WindowCount] | Missing:
        """Return the counts from the peer address or why there are none."""
        try:
            answer = self._pool.request("GET", f"http://{address}/metrics")
        except urllib3.exceptions.HTTPError:
            return Missing("no answer")
        if answer.status != 200:
            return Missing(f"answered with status {answer.status}")
        if len(answer.data) > MAX_METRICS_BYTES:
            return Missing("the metrics are too large")
        try:
            return _COUNTS.validate_python(orjson.loads(answer.data)["burn"])
        except (orjson.JSONDecodeError, KeyError, TypeError, ValidationError):
            return Missing("the metrics are malformed")

    def close(self) -> None:
        """Close all sockets."""
        self._pool.clear()


def read_burn(directory: InstanceDirectory, reader: HTTPBurnReader) -> FleetBurn:
    """Return the burn of all accounts over all listed instances."""
    entries = sorted(directory.instances(), key=lambda entry: entry.name)
    with ThreadPoolExecutor(MAX_CONCURRENT_READS) as executor:
        results = list(executor.map(reader.read, [entry.address for entry in entries]))
    counts: list[WindowCount] = []
    missing = []
    for entry, result in zip(entries, results, strict=True):
        if isinstance(result, Missing):
            missing.append((entry, result))
        else:
            counts += filter(_is_known, result)
    rows = complete_rows(burn_rows(counts))
    return FleetBurn(rows, len(entries) - len(missing), missing)


def complete_rows(rows: list[BurnRow]) -> list[BurnRow]:
    """Return a row for every account and measure, those without events included."""
    row_by_series = {(row.account, row.measure): row for row in rows}
    return [
        row_by_series.get(
            (account, measure), BurnRow(account, measure, dict.fromkeys(WINDOW_BY_NAME))
        )
        for account in sorted({row.account for row in rows})
        for measure in map(str, Measure)
    ]


def burning(rows: list[BurnRow]) -> list[str]:
    """Return a line for each row that burns over a short and a long window."""
    lines = []
    for account, measure, burn_by_window in rows:
        is_gap = measure == Measure.FAILOVER_GAP
        for pair in FAILOVER_PAIRS if is_gap else WINDOW_PAIRS:
            burns = [burn_by_window[window] or 0.0 for window in pair]
            if min(burns) > 1:
                shown = " ".join(
                    f"{window}={burn:.2f}"
                    for window, burn in zip(pair, burns, strict=True)
                )
                lines.append(f"burning: {account} {measure} {shown}")
    return lines


def _is_known(count: WindowCount) -> bool:
    # During an upgrade, instances of another version may send further measures.
    return count.measure in set(Measure) and count.window in WINDOW_BY_NAME
