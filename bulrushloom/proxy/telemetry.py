"""Structured logs on standard output and metrics of the session proxy.

Writing never blocks: lines wait in a bounded buffer, and what does not fit is counted
and reported.
"""

import fcntl
import os
from collections import Counter, deque
from datetime import timedelta
from typing import Any

import eliot
import orjson
from hdrh.histogram import HdrHistogram

from bulrushloom.runtime.loop import Loop

# A request leaves one or two lines; twice the statements of a busy instance.
LINES_PER_S = 400
MAX_WAITING_LINES = 4_000
FLUSH_INTERVAL = timedelta(milliseconds=200)
# A histogram of two digits up to a minute takes 12 KB.
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)
_SECOND = timedelta(seconds=1)
_MICROSECOND = timedelta(microseconds=1)
_MILLISECOND = timedelta(milliseconds=1)


class EventLog:
    """Write one JSON line for each event, at most ``LINES_PER_S`` on average."""

    def __init__(self, loop: Loop, instance: str, descriptor: int = 1):
        self._loop = loop
        self._instance = instance
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._partial = b""
        self._allowance = float(LINES_PER_S)
        self._refilled_at = loop.now()
        self._dropped_by_event: Counter[str] = Counter()
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)
        eliot.add_destinations(self._destination)
        self._timer = loop.call_later(FLUSH_INTERVAL, self._on_timer)

    def write(self, event: str, **fields: Any) -> None:
        """Log ``event``; durations become milliseconds, other types text."""
        if not self._has_allowance():
            self._dropped_by_event[event] += 1
            return
        eliot.log_message(event, **{name: _plain(v) for name, v in fields.items()})

    def _has_allowance(self) -> bool:
        now = self._loop.now()
        earned = (now - self._refilled_at) / _SECOND * LINES_PER_S
        self._refilled_at = now
        self._allowance = min(LINES_PER_S, self._allowance + earned)
        if self._allowance < 1 or len(self._lines) >= MAX_WAITING_LINES:
            return False
        self._allowance -= 1
        return True

    def _destination(self, message: dict[str, Any]) -> None:
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        message["instance"] = self._instance
        message["monotonic_ms"] = self._loop.now() // _MILLISECOND
        self._lines.append(orjson.dumps(message, default=str) + b"\n")

    def _on_timer(self) -> None:
        self._timer = self._loop.call_later(FLUSH_INTERVAL, self._on_timer)
        if self._dropped_by_event:
            dropped, self._dropped_by_event = dict(self._dropped_by_event), Counter()
            self.write("log_lines_dropped", count_by_event=dropped)
        self.flush()

    def flush(self) -> None:
        """Write what the descriptor takes now; the rest waits."""
        data = self._partial + b"".join(self._lines)
        self._lines.clear()
        self._partial = b""
        while data:
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._partial = data
                return
            except OSError:
                # Nobody reads the output any more; there is no place to report it.
                return
            data = data[written:]

    def close(self) -> None:
        """Write the last lines and stop."""
        self._timer.cancel()
        self.flush()
        eliot.remove_destination(self._destination)


def _plain(value: Any) -> Any:
    if isinstance(value, timedelta):
        return round(value / _MILLISECOND, 1)
    if value is None or isinstance(value, str | int | float | bool | dict | list):
        return value
    if isinstance(value, bytes):
        return value.decode("utf-8", "replace")
    return str(value)


class Metrics:
    """Count events and record latencies; read as text on the metrics address."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, str]] = Counter()
        self._histogram_by_name: dict[str, HdrHistogram] = {}
        self.gauges: dict[str, float] = {}

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add to the counter ``name``; ``label`` tells its cases apart."""
        self._counts[name, label] += amount

    def record(self, name: str, latency: timedelta) -> None:
        """Record one latency."""
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self._histogram_by_name[name] = histogram
        histogram.record_value(min(max(latency // _MICROSECOND, 1), MAX_LATENCY_US))

    def text(self) -> bytes:
        """Return all values, one a line: name, label, value."""
        lines = []
        for (name, label), count in sorted(self._counts.items()):
            shown = f'{{case="{label}"}}' if label else ""
            lines.append(f"bulrushloom_{name}_total{shown} {count}")
        for name, value in sorted(self.gauges.items()):
            lines.append(f"bulrushloom_{name} {value:g}")
        for name, histogram in sorted(self._histogram_by_name.items()):
            for quantile in QUANTILES:
                seconds = histogram.get_value_at_percentile(quantile) / 1e6
                label = f'{{quantile="{quantile / 100:g}"}}'
                lines.append(f"bulrushloom_{name}_seconds{label} {seconds:g}")
            total = histogram.get_total_count()
            lines.append(f"bulrushloom_{name}_seconds_count {total}")
        return ("\n".join(lines) + "\n").encode()
