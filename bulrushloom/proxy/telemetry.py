"""Structured logs on standard output and metrics of the session proxy.

Logging never blocks: lines are kept in a bounded buffer until they can be written.
Lines beyond its size or the rate limit are dropped, counted and reported.
"""

import fcntl
import os
from collections import Counter, deque
from datetime import timedelta
from select import PIPE_BUF
from typing import Any

import eliot
import orjson
from ddsketch import LogCollapsingLowestDenseDDSketch

from bulrushloom.runtime.loop import Loop

# A statement logs one or two lines; the limit is twice the statement rate of a busy
# instance.
MAX_LINES_PER_S = 400
MAX_BUFFERED_LINES = 4_000
# Texts of clients, such as ids of requests, may have up to 1 MiB; longer texts are cut.
MAX_VALUE_LENGTH = 1_000
FLUSH_INTERVAL = timedelta(milliseconds=200)
# Latencies from 1 us to one minute need 900 bins at this accuracy.
MAX_LATENCY_US = 60_000_000
RELATIVE_ACCURACY = 0.01
MAX_BINS = 1024
QUANTILES = (0.5, 0.9, 0.99, 0.999)
_SECOND = timedelta(seconds=1)
_MICROSECOND = timedelta(microseconds=1)
_MILLISECOND = timedelta(milliseconds=1)


class EventLog:
    """Log of events as JSON lines, at most ``MAX_LINES_PER_S`` on average."""

    def __init__(self, loop: Loop, instance: str, descriptor: int = 1):
        self._loop = loop
        self._instance = instance
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._line_tokens = float(MAX_LINES_PER_S)
        self._refilled_at = loop.now()
        self._dropped_by_event: Counter[str] = Counter()
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)
        eliot.add_destinations(self._buffer_message)
        self._timer = loop.call_later(FLUSH_INTERVAL, self._on_timer)

    def write(self, event: str, **fields: Any) -> None:
        """Log ``event`` with ``fields``.

        Durations become milliseconds; values that JSON does not have become text.
        """
        if not self._take_line_token():
            self._dropped_by_event[event] += 1
            return
        eliot.log_message(
            event, **{name: _to_json_value(v) for name, v in fields.items()}
        )

    def _take_line_token(self) -> bool:
        now = self._loop.now()
        refill = (now - self._refilled_at) / _SECOND * MAX_LINES_PER_S
        self._refilled_at = now
        self._line_tokens = min(MAX_LINES_PER_S, self._line_tokens + refill)
        if self._line_tokens < 1 or len(self._lines) >= MAX_BUFFERED_LINES:
            return False
        self._line_tokens -= 1
        return True

    def _buffer_message(self, message: dict[str, Any]) -> None:
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
        """Write as much as the descriptor accepts; the rest stays buffered.

        A pipe takes a write of up to ``PIPE_BUF`` bytes as a whole or not at all, so
        that a collector with a small buffer gets complete lines.
        """
        # Joining the lines may start a garbage collection, which finalizes tasks that
        # log as they end, so the lines are replaced first.
        lines, self._lines = self._lines, deque()
        data = self._unwritten + b"".join(lines)
        self._unwritten = b""
        while data:
            end_of_lines = data.rfind(b"\n", 0, PIPE_BUF) + 1
            try:
                written = os.write(self._descriptor, data[: end_of_lines or PIPE_BUF])
            except BlockingIOError:
                self._unwritten = data
                return
            except OSError:
                # The reader of the output is gone, so the error cannot be reported.
                return
            data = data[written:]

    def close(self) -> None:
        """Flush the buffered lines and stop logging."""
        self._timer.cancel()
        self.flush()
        eliot.remove_destination(self._buffer_message)


def _to_json_value(value: Any) -> Any:
    if isinstance(value, timedelta):
        return round(value / _MILLISECOND, 1)
    if value is None or isinstance(value, int | float | bool | dict | list):
        return value
    if isinstance(value, bytes):
        return value[:MAX_VALUE_LENGTH].decode("utf-8", "replace")
    return str(value)[:MAX_VALUE_LENGTH]


class Metrics:
    """Counters, gauges and latency histograms, served on the metrics address."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, str]] = Counter()
        self._histogram_by_name: dict[str, LogCollapsingLowestDenseDDSketch] = {}
        self.gauges: dict[str, float] = {}

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Increase the counter ``name``; ``label`` distinguishes its cases."""
        self._counts[name, label] += amount

    def record(self, name: str, latency: timedelta) -> None:
        """Record one latency."""
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = LogCollapsingLowestDenseDDSketch(RELATIVE_ACCURACY, MAX_BINS)
            self._histogram_by_name[name] = histogram
        histogram.add(min(max(latency // _MICROSECOND, 1), MAX_LATENCY_US))

    def text(self) -> bytes:
        """Return all values as lines with name, label and value."""
        lines = []
        for (name, label), count in sorted(self._counts.items()):
            label_text = f'{{case="{label}"}}' if label else ""
            lines.append(f"bulrushloom_{name}_total{label_text} {count}")
        for name, value in sorted(self.gauges.items()):
            lines.append(f"bulrushloom_{name} {value:g}")
        for name, histogram in sorted(self._histogram_by_name.items()):
            for quantile in QUANTILES:
                latency_us = histogram.get_quantile_value(quantile) or 0.0
                seconds = latency_us / 1e6
                label = f'{{quantile="{quantile:g}"}}'
                lines.append(f"bulrushloom_{name}_seconds{label} {seconds:g}")
            lines.append(f"bulrushloom_{name}_seconds_count {histogram.count:g}")
        return ("\n".join(lines) + "\n").encode()
