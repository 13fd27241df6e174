"""Measure both request paths side by side: session proxy and HTTP interface.

For each: processor time and latency of a read, idle cost and resident memory of an
instance, all in one run on one machine. The codec alone gives the floor of the proxy's
processor time. Figures of different runs are not to be compared.
"""

import tempfile
import time
from contextlib import ExitStack
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

import fire
from hdrh.histogram import HdrHistogram

from benchmarks.callers import Caller
from benchmarks.fleet import Fleet
from benchmarks.measures import cpu_seconds, resident_bytes
from benchmarks.plans import SMALL_FLEET
from bulrushloom.core.sentinels import Missing
from bulrushloom.platform import wire
from bulrushloom.proxy.messages import Statement, TransactionState
from bulrushloom.runtime.loop import BootClock, Loop, Steps
from bulrushloom.runtime.streams import TcpNetwork
from standins.platform.host import Daemon, Platform

SETTLE_S = 4.0
IDLE_S = 5.0
WARM_UP = 50
CONNECT_LIMIT = timedelta(seconds=2)
CODEC_ROUNDS = 20_000
ROW = b"ROW " + b"x" * 250 + b"\r\n"
_MICROSECOND = timedelta(microseconds=1)


class Cost(NamedTuple):
    """Hold the figures of one path."""

    cpu_us: float
    p50_ms: float
    p99_ms: float
    idle_percent: float
    resident_mb: float


def codec_us() -> float:
    """Return the processor time of decoding a read and encoding its answer."""
    line = b"QUERY 5c0e7a21d94b36f8 READ 1a4"
    started = time.process_time()
    for _ in range(CODEC_ROUNDS):
        statement = wire.decode_client_line(line)
        assert isinstance(statement, Statement)
        wire.encode_query(statement.request_id, statement.text, None)
        wire.encode_rows_and_signature((ROW,), b"7.1f3.c.2b.90e1c4d2a7b3f655")
        wire.encode_ready(TransactionState.IDLE, Missing("no position"))
    return (time.process_time() - started) / CODEC_ROUNDS * 1e6


def proxy_cost(statements: int) -> Cost:
    """Measure one daemon of the session proxy with one session."""
    with ExitStack() as stack:
        loop = Loop(BootClock())
        stack.callback(loop.close)
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        platform = Platform(stack, loop, folder)
        platform.send_heartbeats()
        daemon = platform.start("north-1")
        _run_until(loop, time.monotonic() + SETTLE_S)
        pid = daemon.process.pid
        latencies = HdrHistogram(1, 60_000_000, 3)
        task = loop.spawn(_ask(loop, daemon, statements, latencies))
        while not task.done():
            loop.run_once()
        spent, elapsed = task.result()
        before = cpu_seconds(pid)
        _run_until(loop, time.monotonic() + IDLE_S)
        idle_s = (cpu_seconds(pid) - before) / IDLE_S
        spent -= idle_s * elapsed
        return _cost(
            spent / statements, latencies, idle_s * 100, resident_bytes(pid) / 1e6
        )


def _run_until(loop: Loop, end: float) -> None:
    while time.monotonic() < end:
        loop.run_once(timedelta(milliseconds=20))


def _ask(loop: Loop, daemon: Daemon, statements: int, latencies: HdrHistogram) -> Steps:
    """Read one after the other; return the daemon's processor time and the time."""
    network = TcpNetwork(loop)
    stream = yield network.connect(daemon.addresses["session_address"], CONNECT_LIMIT)
    stream.write(b"START booking key-1\r\n")
    before = started = 0.0
    for number in range(WARM_UP + statements):
        if number == WARM_UP:
            before, started = cpu_seconds(daemon.process.pid), time.monotonic()
        asked_at = loop.now()
        stream.write(b"QUERY q%d READ 1a4\r\n" % number)
        answer = b""
        while b"READY I 1." not in answer and b"ERR" not in answer:
            arrived = stream.read_all()
            answer += arrived
            if not arrived:
                yield loop.sleep(timedelta(microseconds=200))
        if number >= WARM_UP:
            latencies.record_value((loop.now() - asked_at) // _MICROSECOND)
        yield loop.sleep(timedelta(milliseconds=15))
    stream.close()
    return cpu_seconds(daemon.process.pid) - before, time.monotonic() - started


def http_cost(statements: int) -> Cost:
    """Measure entry and owner of the HTTP interface together."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(SMALL_FLEET._replace(entries=3), Path(folder))
        try:
            fleet.start()
            time.sleep(SETTLE_S)
            pids = [fleet.process_by_name[name].pid for name in fleet.entry_names]
            idle_before = sum(map(cpu_seconds, pids))
            time.sleep(IDLE_S)
            idle_s = (sum(map(cpu_seconds, pids)) - idle_before) / IDLE_S
            caller = Caller(fleet.key("admin"))
            url = fleet.caller_url(fleet.entry_names[0])
            caller.query(url, "orders", "CREATE TABLE cost (id INTEGER)")
            latencies = HdrHistogram(1, 60_000_000, 3)
            before, started = sum(map(cpu_seconds, pids)), time.monotonic()
            for _ in range(statements):
                reply = caller.query(url, "orders", "SELECT id FROM cost LIMIT 1")
                latencies.record_value(int(reply.seconds * 1e6))
                time.sleep(0.015)
            elapsed = time.monotonic() - started
            spent = sum(map(cpu_seconds, pids)) - before - idle_s * elapsed
            caller.close()
            idle = idle_s / len(pids) * 100
            return _cost(
                spent / statements, latencies, idle, resident_bytes(pids[0]) / 1e6
            )
        finally:
            fleet.stop()


def _cost(
    cpu_s: float, latencies: HdrHistogram, idle_percent: float, memory_mb: float
) -> Cost:
    p50, p99 = (latencies.get_value_at_percentile(p) / 1000 for p in (50, 99))
    return Cost(cpu_s * 1e6, p50, p99, idle_percent, memory_mb)


def main(statements: int = 1000) -> None:
    """Print a table of both paths."""
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
