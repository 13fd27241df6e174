"""Compare the costs of the session proxy and of the HTTP interface.

For both, measures CPU time and latency of a read, and the idle CPU time and resident
memory of an instance, in one run on one machine. The CPU time of the codec alone is the
lower bound for the proxy. Don't compare figures of different runs.
"""

import tempfile
import time
from contextlib import ExitStack
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

import fire
from ddsketch import DDSketch

from benchmarks.callers import Caller
from benchmarks.fleet import Fleet
from benchmarks.measures import (
    cpu_seconds,
    latency_sketch,
    quantile_ms,
    resident_bytes,
)
from benchmarks.plans import SMALL_FLEET
from bulrushloom.core.sentinels import Missing
from bulrushloom.platform import wire
from bulrushloom.proxy.messages import Statement, TransactionState
from bulrushloom.runtime.loop import BootClock, Loop, Steps
from bulrushloom.runtime.streams import TcpNetwork
from standins.platform.host import Daemon, Platform

SETTLE_TIME_S = 4.0
IDLE_DURATION_S = 5.0
WARM_UP_READS = 50
CONNECT_TIMEOUT = timedelta(seconds=2)
CODEC_ROUNDS = 20_000
ROW_LINE = b"ROW " + b"x" * 250 + b"\r\n"
_MICROSECOND = timedelta(microseconds=1)


class Cost(NamedTuple):
    """The figures of one interface."""

    cpu_us: float
    p50_ms: float
    p99_ms: float
    idle_percent: float
    resident_mb: float


def codec_us() -> float:
    """Return the CPU time for decoding a read and encoding its answer."""
    line = b"QUERY 5c0e7a21d94b36f8 READ 1a4"
    started = time.process_time()
    for _ in range(CODEC_ROUNDS):
        statement = wire.decode_client_line(line)
        assert isinstance(statement, Statement)
        wire.encode_query(statement.request_id, statement.text, None)
        wire.encode_rows_and_signature((ROW_LINE,), b"7.1f3.c.2b.90e1c4d2a7b3f655")
        wire.encode_ready(TransactionState.IDLE, Missing("no position"))
    return (time.process_time() - started) / CODEC_ROUNDS * 1e6


def proxy_cost(statements: int) -> Cost:
    """Measure one session proxy daemon that serves one session."""
    with ExitStack() as stack:
        loop = Loop(BootClock())
        stack.callback(loop.close)
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        platform = Platform(stack, loop, directory)
        platform.send_heartbeats()
        daemon = platform.start("north-1")
        _run_until(loop, time.monotonic() + SETTLE_TIME_S)
        pid = daemon.process.pid
        latencies_us = latency_sketch()
        task = loop.spawn(_send_reads(loop, daemon, statements, latencies_us))
        while not task.done():
            loop.run_once()
        cpu_used_s, elapsed_s = task.result()
        cpu_before_s = cpu_seconds(pid)
        _run_until(loop, time.monotonic() + IDLE_DURATION_S)
        idle_cores = (cpu_seconds(pid) - cpu_before_s) / IDLE_DURATION_S
        cpu_used_s -= idle_cores * elapsed_s
        return _build_cost(
            cpu_used_s / statements,
            latencies_us,
            idle_cores * 100,
            resident_bytes(pid) / 1e6,
        )


def _run_until(loop: Loop, deadline: float) -> None:
    while time.monotonic() < deadline:
        loop.run_once(timedelta(milliseconds=20))


def _send_reads(
    loop: Loop, daemon: Daemon, statements: int, latencies_us: DDSketch
) -> Steps:
    """Send reads one at a time; return the daemon's CPU time and the elapsed time."""
    network = TcpNetwork(loop)
    stream = yield network.connect(daemon.addresses["session_address"], CONNECT_TIMEOUT)
    stream.write(b"START booking key-1\r\n")
    cpu_before_s = started = 0.0
    for number in range(WARM_UP_READS + statements):
        if number == WARM_UP_READS:
            cpu_before_s, started = cpu_seconds(daemon.process.pid), time.monotonic()
        sent_at = loop.now()
        stream.write(b"QUERY q%d READ 1a4\r\n" % number)
        answer = b""
        while b"READY I 1." not in answer and b"ERR" not in answer:
            received = stream.read_all()
            answer += received
            if not received:
                yield loop.sleep(timedelta(microseconds=200))
        if number >= WARM_UP_READS:
            latencies_us.add((loop.now() - sent_at) // _MICROSECOND)
        yield loop.sleep(timedelta(milliseconds=15))
    stream.close()
    return cpu_seconds(daemon.process.pid) - cpu_before_s, time.monotonic() - started


def http_cost(statements: int) -> Cost:
    """Measure all instances of a fleet that serves reads through HTTP."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(SMALL_FLEET._replace(entries=3), Path(directory))
        try:
            fleet.start()
            time.sleep(SETTLE_TIME_S)
            pids = [fleet.process_by_name[name].pid for name in fleet.entry_names]
            idle_cpu_before_s = sum(map(cpu_seconds, pids))
            time.sleep(IDLE_DURATION_S)
            idle_cores = (
                sum(map(cpu_seconds, pids)) - idle_cpu_before_s
            ) / IDLE_DURATION_S
            caller = Caller(fleet.api_key("admin"))
            url = fleet.caller_url(fleet.entry_names[0])
            caller.query(url, "orders", "CREATE TABLE cost (id INTEGER)")
            latencies_us = latency_sketch()
            cpu_before_s, started = sum(map(cpu_seconds, pids)), time.monotonic()
            for _ in range(statements):
                reply = caller.query(url, "orders", "SELECT id FROM cost LIMIT 1")
                latencies_us.add(int(reply.seconds * 1e6))
                time.sleep(0.015)
            elapsed_s = time.monotonic() - started
            cpu_used_s = (
                sum(map(cpu_seconds, pids)) - cpu_before_s - idle_cores * elapsed_s
            )
            caller.close()
            idle_percent = idle_cores / len(pids) * 100
            return _build_cost(
                cpu_used_s / statements,
                latencies_us,
                idle_percent,
                resident_bytes(pids[0]) / 1e6,
            )
        finally:
            fleet.stop()


def _build_cost(
    cpu_s: float, latencies_us: DDSketch, idle_percent: float, memory_mb: float
) -> Cost:
    p50, p99 = (quantile_ms(latencies_us, q) for q in (0.5, 0.99))
    return Cost(cpu_s * 1e6, p50, p99, idle_percent, memory_mb)


def main(statements: int = 1000) -> None:
    """Print the figures of both interfaces as a table."""
    print(f"codec alone: {codec_us():.0f} us of processor time a read")
    print("path          CPU us/read  p50 ms  p99 ms  idle %  resident MB")
    for name, cost in (
        ("session proxy", proxy_cost(statements)),
        ("HTTP interface", http_cost(statements)),
    ):
        print(
            f"{name:<14} {cost.cpu_us:10.0f} {cost.p50_ms:7.2f} {cost.p99_ms:7.2f}"
            f" {cost.idle_percent:7.2f} {cost.resident_mb:11.1f}"
        )


if __name__ == "__main__":
    fire.Fire(main)
