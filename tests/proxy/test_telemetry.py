"""Non-blocking logs, and metrics as text."""

import fcntl
import os
from collections import deque
from datetime import timedelta
from select import PIPE_BUF

import orjson
import pytest

from bulrushloom.core.clock import ManualClock
from bulrushloom.proxy.telemetry import (
    MAX_BUFFERED_LINES,
    MAX_LINES_PER_S,
    EventLog,
    Metrics,
)
from bulrushloom.runtime.loop import Loop
from standins.platform.network import run_for
from tests.proxy.builders import ms

SECOND = timedelta(seconds=1)


@pytest.fixture
def logged():
    """Yield a loop, a log that writes to a pipe, and the read end of the pipe."""
    loop = Loop(ManualClock())
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    log = EventLog(loop, "north-1", writer)
    yield loop, log, reader
    log.close()
    loop.close()
    os.close(reader)
    os.close(writer)


def read_lines(reader):
    try:
        data = os.read(reader, 1 << 20)
    except BlockingIOError:
        return []
    return [orjson.loads(line) for line in data.splitlines()]


def test_event_is_one_json_line_with_its_fields(logged):
    loop, log, reader = logged
    log.write("statement_failed", request_id=b"x1", evidence_age=ms(1500), code="busy")
    run_for(loop, SECOND)
    (line,) = read_lines(reader)
    assert line["message_type"] == "statement_failed"
    assert (line["request_id"], line["evidence_age"]) == ("x1", 1500.0)
    assert line["instance"] == "north-1"


def test_each_write_has_complete_lines_that_fit_into_a_pipe(logged, monkeypatch):
    # Guards against lines that a collector cuts off at the end of a large write.
    loop, log, _ = logged
    writes = []
    monkeypatch.setattr(os, "write", lambda _, data: writes.append(data) or len(data))
    for number in range(100):
        log.write("statement_attempt", request_id=f"x{number}", reason="r" * 300)
    run_for(loop, SECOND)
    assert len(writes) > 1
    assert all(len(data) <= PIPE_BUF and data.endswith(b"\n") for data in writes)
    lines = [orjson.loads(line) for line in b"".join(writes).splitlines()]
    assert [line["request_id"] for line in lines] == [f"x{n}" for n in range(100)]


def test_line_that_is_longer_than_a_pipe_takes_is_written_whole(logged):
    loop, log, reader = logged
    log.write("task_failed", traceback="t" * (PIPE_BUF * 2))
    log.write("started")
    run_for(loop, SECOND)
    events = [line["message_type"] for line in read_lines(reader)]
    assert events == ["task_failed", "started"]


def test_excess_events_are_dropped_and_counted(logged):
    # Guards against logging that uses up the CPU under peak load.
    loop, log, reader = logged
    for _ in range(MAX_LINES_PER_S * 3):
        log.write("statement_failed", request_id="x")
    run_for(loop, SECOND)
    lines = read_lines(reader)
    assert len(lines) <= MAX_LINES_PER_S * 2
    dropped = [x for x in lines if x["message_type"] == "log_lines_dropped"]
    assert dropped[0]["count_by_event"]["statement_failed"] >= MAX_LINES_PER_S


def test_full_pipe_does_not_block_logging(logged):
    # Guards against an instance that blocks because its output is not read.
    loop, log, reader = logged
    size = fcntl.fcntl(reader, fcntl.F_GETPIPE_SZ)
    for _ in range(MAX_BUFFERED_LINES):
        log.write("statement_failed", reason="x" * (size // 1000))
        loop.clock.advance(ms(5))
        run_for(loop, ms(0))
    run_for(loop, SECOND)
    assert loop.now() > SECOND


def test_metrics_are_text_with_counts_and_quantiles():
    metrics = Metrics()
    metrics.count("statements_failed", "not run")
    metrics.count("statements_failed", "not run")
    metrics.gauges["sessions"] = 3
    for latency in (10, 20, 30):
        metrics.record("read_latency", ms(latency))
    text = metrics.text().decode()
    assert 'bulrushloom_statements_failed_total{case="not run"} 2' in text
    assert "bulrushloom_sessions 3" in text
    assert "bulrushloom_read_latency_seconds_count 3" in text
    assert 'quantile="0.5"} 0.02' in text


def test_latency_out_of_range_is_clamped():
    metrics = Metrics()
    metrics.record("read_latency", timedelta(hours=1))
    metrics.record("read_latency", timedelta())
    assert b"bulrushloom_read_latency_seconds_count 2" in metrics.text()


class LinesThatLog(deque):
    """Buffered lines during whose iteration another event is logged."""

    def __init__(self, log):
        super().__init__()
        self.log = log

    def __iter__(self):
        for line in super().__iter__():
            self.log.write("transaction_abandoned")
            yield line


def test_flush_survives_events_that_are_logged_meanwhile(logged):
    # Guards against "deque mutated during iteration" in flush, which ended the process:
    # tasks that the garbage collector finalizes log while the lines are joined.
    loop, log, reader = logged
    log._lines = LinesThatLog(log)
    log.write("statement_failed", request_id="x")
    log.write("statement_failed", request_id="y")
    log.flush()
    run_for(loop, SECOND)
    events = [line["message_type"] for line in read_lines(reader)]
    assert events.count("statement_failed") == 2
    assert events.count("transaction_abandoned") == 2
