"""Slopes for capacity planning: cost at several sizes and a linear fit.

Processor time, bytes and store calls come from real processes; memory of tables comes
from the real objects in one process.
"""

import random
import socket
import tempfile
import threading
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from pathlib import Path
from typing import Any

import fire

from benchmarks.callers import Caller
from benchmarks.deployments import ADMIN
from benchmarks.load import Load
from benchmarks.measures import (
    MeasuredFleet,
    cpu_seconds,
    linear_fit,
    resident_bytes,
    usage,
)
from benchmarks.plans import AccountPlan, FleetPlan
from bulrushloom.coordination.failover.base import FailoverPolicy
from bulrushloom.coordination.limits.base import AccountLimit
from bulrushloom.coordination.limits.buckets import ShareBucket
from bulrushloom.coordination.membership.base import InstanceTable
from bulrushloom.coordination.queueing.fair import FairQueue
from bulrushloom.core.clock import SystemClock
from bulrushloom.directories.base import InstanceEntry
from bulrushloom.instance.groups import WatchedGroup
from bulrushloom.rules.base import RuleSet
from bulrushloom.rules.parser import parse_rules

SETTLE_S = 4.0
OBSERVE_S = 8.0
SENDERS = 12
CONNECTION_COUNTS = (0, 250, 500, 1000)
STATEMENT_RATES = (0, 50, 100, 200)

Points = list[tuple[float, float]]


def plan(instances: int, groups: int, accounts: int) -> FleetPlan:
    """Return a plan with one failure domain and three servers in each group."""
    names = [f"account-{number}" for number in range(accounts - 1)]
    plans = [AccountPlan(ADMIN, 20_000, 20_000)]
    plans += [AccountPlan(name, 15, 15) for name in names]
    databases = tuple(f"group-{number}" for number in range(groups))
    return FleetPlan(
        "region", ("domain",), databases, instances, 3, 40, tuple(plans), 3
    )


@contextmanager
def running(fleet_plan: FleetPlan) -> Iterator[MeasuredFleet]:
    """Run a fleet for the time of the block."""
    with tempfile.TemporaryDirectory(prefix="bulrushloom-slopes-") as directory:
        fleet = MeasuredFleet(fleet_plan, Path(directory))
        try:
            fleet.start()
            time.sleep(SETTLE_S)
            yield fleet
        finally:
            fleet.stop()


def show(name: str, against: str, points: Points) -> None:
    """Print points and their linear fit."""
    slope, intercept = linear_fit(points)
    shown = ", ".join(f"{x:g}: {y:.4g}" for x, y in points)
    print(f"{name} against {against}: {shown}")
    print(f"  fit: {slope:.4g} for each, {intercept:.4g} fixed", flush=True)


def idle(sizes: list[int], make: Callable[[int], FleetPlan], against: str) -> None:
    """Measure idle fleets of several sizes, for each instance."""
    points: dict[str, Points] = {
        "control CPU (% of a core, each instance)": [],
        "control bytes/s (each instance)": [],
        "store calls/s (fleet)": [],
        "resident MB (each instance)": [],
    }
    for size in sizes:
        with running(make(size)) as fleet:
            before = usage(fleet)
            time.sleep(OBSERVE_S)
            spent = usage(fleet).since(before)
            count = len(fleet.entry_names)
            memory = sum(
                resident_bytes(fleet.process_by_name[name].pid)
                for name in fleet.entry_names
            )
        values = (
            100 * spent.cpu / spent.time / count,
            spent.peer_bytes / spent.time / count,
            spent.store_calls / spent.time,
            memory / count / 1e6,
        )
        for known, value in zip(points.values(), values, strict=True):
            known.append((size, value))
    for name, known in points.items():
        show(name, against, known)


def statements() -> None:
    """Measure processor time of one entry that owns nothing, and of the owners."""
    entry_points: Points = []
    owner_points: Points = []
    with running(plan(5, 1, 1)) as fleet:
        _prepare(fleet)
        entry = _bystander(fleet)
        others = [name for name in fleet.entry_names if name != entry]
        for rate in STATEMENT_RATES:
            before = [_cpu(fleet, [entry]), _cpu(fleet, others)]
            count = _send(fleet, entry, rate)
            for points, names, spent in zip(
                (entry_points, owner_points), ([entry], others), before, strict=True
            ):
                used = (_cpu(fleet, names) - spent) / OBSERVE_S
                points.append((count / OBSERVE_S, 1e6 * used))
    show("entry CPU (us/s)", "reads/s", entry_points)
    show("owner CPU (us/s, 4 instances)", "reads/s", owner_points)


def connections() -> None:
    """Measure resident memory of one instance against idle caller connections."""
    points: Points = []
    with running(plan(1, 1, 1)) as fleet:
        [name] = fleet.entry_names
        host, _, port = fleet.caller_address_by_entry[name].rpartition(":")
        sockets: list[socket.socket] = []
        for count in CONNECTION_COUNTS:
            while len(sockets) < count:
                connection = socket.create_connection((host, int(port)))
                connection.sendall(b"GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n")
                connection.recv(4096)
                sockets.append(connection)
            time.sleep(1)
            points.append((count, resident_bytes(fleet.process_by_name[name].pid)))
        for connection in sockets:
            connection.close()
    show("resident bytes", "idle caller connections", points)


def memory() -> None:
    """Measure the memory of tables against their size, in this process."""
    sizes = (100, 400, 800)
    for name, build in (
        ("rules bytes, groups of 3 targets", _rules_of_groups),
        ("rules bytes, accounts with a key", _rules_of_accounts),
        ("instance table bytes, instances", _table),
        ("share bucket bytes, accounts", _buckets),
        ("watched group bytes, groups", _watched),
    ):
        points: Points = []
        for size in sizes:
            tracemalloc.start()
            kept = build(size)
            points.append((size, tracemalloc.get_traced_memory()[0]))
            tracemalloc.stop()
            del kept
        show(name, "number", points)


def watch_rounds() -> None:
    """Time how an instance finds out which groups it watches, in this process.

    The coordinator does this once a second, and again after a change of the list.
    """
    now = SystemClock().monotonic()
    for against, sizes in (
        ("groups, 730 instances", [(730, 100), (730, 400), (730, 780)]),
        ("instances, 780 groups", [(100, 780), (400, 780), (730, 780)]),
    ):
        first: Points = []
        repeated: Points = []
        for instances, groups in sizes:
            rules = _rules_of_groups(groups)
            table = _table(instances)
            for points in (first, repeated):
                started = time.process_time()
                for targets in rules.targets_by_group.values():
                    table.watchers(targets, now)
                size = groups if against.startswith("groups") else instances
                points.append((size, 1000 * (time.process_time() - started)))
        show("CPU ms of a watch round after a change", against, first)
        show("CPU ms of a watch round without a change", against, repeated)


def _rules(lines: list[str]) -> RuleSet:
    rules = parse_rules("\n".join(lines) + "\n", 1)
    if not isinstance(rules, RuleSet):
        raise RuntimeError(f"rules are refused: {rules[:3]}")
    return rules


def _target(group: str, letter: str, port: int) -> str:
    return (
        f"target {group}{letter} group={group} domain=d address=127.0.0.1:{port}"
        " slots=3 connections=40  # a: b"
    )


def _rules_of_groups(count: int) -> Any:
    lines = ["domain d region=r  # a: b"]
    for number in range(count):
        lines.append(f"group g{number}  # a: b")
        ports = range(3 * number + 1, 3 * number + 4)
        lines += [
            _target(f"g{number}", letter, port)
            for port, letter in zip(ports, "abc", strict=True)
        ]
        lines.append(f"database g{number} group=g{number}  # a: b")
    return _rules(lines)


def _rules_of_accounts(count: int) -> Any:
    source = random.Random(1)
    lines = [
        "domain d region=r  # a: b",
        "group g  # a: b",
        "database g group=g  # a: b",
    ]
    for number in range(count):
        lines.append(f"account a{number} rate=15 burst=15 max_age=1s  # a: b")
        lines.append(f"key a{number} sha256:{source.randbytes(32).hex()}  # a: b")
        lines.append(f"allow a{number} g  # a: b")
    return _rules(lines)


def _entry(number: int) -> InstanceEntry:
    name = f"domain-{number}"
    address = f"10.0.{number // 256}.{number % 256}:9000"
    return InstanceEntry(name, "domain", address, f"{number:012x}", False)


def _table(count: int) -> Any:
    table = InstanceTable(_entry(0))
    table.update([_entry(number) for number in range(count)], timedelta())
    return table


def _buckets(count: int) -> Any:
    limit = AccountLimit(15, 15)
    now = SystemClock().monotonic()
    return {
        f"account-{number}": ShareBucket(limit.rate, limit.burst, now)
        for number in range(count)
    }


def _watched(count: int) -> Any:
    now = SystemClock().monotonic()
    lines = ["domain d region=r  # a: b", "group g  # a: b"]
    lines += [_target("g", letter, port) for port, letter in enumerate("abc", 1)]
    rules = _rules(lines)
    groups = []
    for number in range(count):
        group = WatchedGroup(
            f"g{number}", "i", "i.run", FailoverPolicy(), lambda: FairQueue(256)
        )
        group.update(rules.targets_by_group["g"], ["i", "j", "k"])
        group.tick(now)
        groups.append(group)
    return groups


def _bystander(fleet: MeasuredFleet) -> str:
    """Return an instance that owns no target."""
    entries = [_entry(0)._replace(name=name) for name in fleet.entry_names]
    table = InstanceTable(entries[0])
    table.update(entries, timedelta())
    rules = _rules(fleet.rules_text().splitlines())
    [targets] = rules.targets_by_group.values()
    owners = table.watchers(targets, SystemClock().monotonic())
    return next(name for name in fleet.entry_names if name not in owners)


def _prepare(fleet: MeasuredFleet) -> None:
    load = Load(fleet, 1)
    load.prepare()
    load.finish()


def _cpu(fleet: MeasuredFleet, names: list[str]) -> float:
    return sum(cpu_seconds(fleet.process_by_name[name].pid) for name in names)


def _send(fleet: MeasuredFleet, entry: str, rate: int) -> int:
    if not rate:
        time.sleep(OBSERVE_S)
        return 0
    caller = Caller(fleet.key(ADMIN))
    url, database = fleet.caller_url(entry), fleet.plan.databases[0]
    until = time.monotonic() + OBSERVE_S
    counts: list[int] = []

    def work(number: int) -> None:
        due, count = time.monotonic() + number / rate, 0
        while due < until:
            time.sleep(max(0.0, due - time.monotonic()))
            count += caller.query(url, database, "SELECT 1").ok
            due = max(due + SENDERS / rate, time.monotonic())
        counts.append(count)

    threads = [threading.Thread(target=work, args=(n,)) for n in range(SENDERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(max(0.0, until - time.monotonic()))
    caller.close()
    return sum(counts)


def main(only: str = "") -> None:
    """Print all slopes, or those of one part."""
    parts: dict[str, Callable[[], None]] = {
        "memory": memory,
        "watch-rounds": watch_rounds,
        "instances": lambda: idle([3, 8, 16], lambda n: plan(n, 1, 8), "instances"),
        "groups": lambda: idle([1, 3, 6], lambda n: plan(3, n, 8), "groups watched"),
        "accounts": lambda: idle([8, 200], lambda n: plan(3, 1, n), "accounts"),
        "statements": statements,
        "connections": connections,
    }
    for name, measure in parts.items():
        if only in ("", name):
            measure()


if __name__ == "__main__":
    fire.Fire(main)
