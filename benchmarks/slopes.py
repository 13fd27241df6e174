"""Measure costs at several sizes and fit lines to them, for capacity planning.

CPU time, traffic and store calls are measured in a fleet of processes, the memory of
tables with the tables of the product in this process.
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
from benchmarks.deployments import ADMIN_ACCOUNT
from benchmarks.load import Load
from benchmarks.measures import (
    MeasuredFleet,
    cpu_seconds,
    linear_fit,
    read_usage,
    resident_bytes,
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

SETTLE_TIME_S = 4.0
OBSERVATION_S = 8.0
SENDER_COUNT = 12
CONNECTION_COUNTS = (0, 250, 500, 1000)
STATEMENT_RATES_PER_S = (0, 50, 100, 200)

Points = list[tuple[float, float]]


def make_plan(instances: int, groups: int, accounts: int) -> FleetPlan:
    """Return a plan with one failure domain and three servers per group."""
    names = [f"account-{number}" for number in range(accounts - 1)]
    plans = [AccountPlan(ADMIN_ACCOUNT, 20_000, 20_000)]
    plans += [AccountPlan(name, 15, 15) for name in names]
    databases = tuple(f"group-{number}" for number in range(groups))
    return FleetPlan(
        "region", ("domain",), databases, instances, 3, 40, tuple(plans), 3
    )


@contextmanager
def running_fleet(fleet_plan: FleetPlan) -> Iterator[MeasuredFleet]:
    """Run a fleet for the duration of the ``with`` block."""
    with tempfile.TemporaryDirectory(prefix="bulrushloom-slopes-") as directory:
        fleet = MeasuredFleet(fleet_plan, Path(directory))
        try:
            fleet.start()
            time.sleep(SETTLE_TIME_S)
            yield fleet
        finally:
            fleet.stop()


def print_fit(name: str, parameter: str, points: Points) -> None:
    """Print the points and their linear fit."""
    slope, intercept = linear_fit(points)
    formatted_points = ", ".join(f"{x:g}: {y:.4g}" for x, y in points)
    print(f"{name} against {parameter}: {formatted_points}")
    print(f"  fit: {slope:.4g} for each, {intercept:.4g} fixed", flush=True)


def measure_idle_fleets(
    sizes: list[int], plan_of_size: Callable[[int], FleetPlan], parameter: str
) -> None:
    """Measure idle fleets of several sizes and print the costs per instance."""
    points: dict[str, Points] = {
        "control CPU (% of a core, each instance)": [],
        "control bytes/s (each instance)": [],
        "store calls/s (fleet)": [],
        "resident MB (each instance)": [],
    }
    for size in sizes:
        with running_fleet(plan_of_size(size)) as fleet:
            before = read_usage(fleet)
            time.sleep(OBSERVATION_S)
            used = read_usage(fleet).since(before)
            instance_count = len(fleet.entry_names)
            resident_total = sum(
                resident_bytes(fleet.process_by_name[name].pid)
                for name in fleet.entry_names
            )
        values = (
            100 * used.cpu / used.time / instance_count,
            used.peer_bytes / used.time / instance_count,
            used.store_calls / used.time,
            resident_total / instance_count / 1e6,
        )
        for series, value in zip(points.values(), values, strict=True):
            series.append((size, value))
    for name, series in points.items():
        print_fit(name, parameter, series)


def measure_statements() -> None:
    """Measure the CPU time of an instance that owns no target, and of the owners.

    All requests are sent to the former, which forwards them. The owners are measured
    together with the remaining instance.
    """
    non_owner_points: Points = []
    owner_points: Points = []
    with running_fleet(make_plan(5, 1, 1)) as fleet:
        _create_tables(fleet)
        non_owner = _find_non_owner(fleet)
        other_instances = [name for name in fleet.entry_names if name != non_owner]
        for rate in STATEMENT_RATES_PER_S:
            cpu_before_s_by_series = [
                _total_cpu_seconds(fleet, [non_owner]),
                _total_cpu_seconds(fleet, other_instances),
            ]
            count = _send_reads(fleet, non_owner, rate)
            for points, names, cpu_before_s in zip(
                (non_owner_points, owner_points),
                ([non_owner], other_instances),
                cpu_before_s_by_series,
                strict=True,
            ):
                cores = (
                    _total_cpu_seconds(fleet, names) - cpu_before_s
                ) / OBSERVATION_S
                points.append((count / OBSERVATION_S, 1e6 * cores))
    print_fit("entry CPU (us/s)", "reads/s", non_owner_points)
    print_fit("owner CPU (us/s, 4 instances)", "reads/s", owner_points)


def measure_connections() -> None:
    """Measure the resident memory of an instance with idle client connections."""
    points: Points = []
    with running_fleet(make_plan(1, 1, 1)) as fleet:
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
    print_fit("resident bytes", "idle caller connections", points)


def measure_table_memory() -> None:
    """Measure the memory of tables of several sizes in this process."""
    sizes = (100, 400, 800)
    for name, build in (
        ("rules bytes, groups of 3 targets", _build_group_rules),
        ("rules bytes, accounts with a key", _build_account_rules),
        ("instance table bytes, instances", _build_instance_table),
        ("share bucket bytes, accounts", _build_share_buckets),
        ("watched group bytes, groups", _build_watched_groups),
    ):
        points: Points = []
        for size in sizes:
            tracemalloc.start()
            table = build(size)
            points.append((size, tracemalloc.get_traced_memory()[0]))
            tracemalloc.stop()
            del table
        print_fit(name, "number", points)


def measure_watch_rounds() -> None:
    """Measure the CPU time for computing which groups an instance watches.

    The coordinator does this once per second, and also after each change of the
    instance list.
    """
    now = SystemClock().monotonic()
    for parameter, sizes in (
        ("groups, 730 instances", [(730, 100), (730, 400), (730, 780)]),
        ("instances, 780 groups", [(100, 780), (400, 780), (730, 780)]),
    ):
        first_round: Points = []
        repeated_round: Points = []
        for instances, groups in sizes:
            rules = _build_group_rules(groups)
            table = _build_instance_table(instances)
            for points in (first_round, repeated_round):
                started = time.process_time()
                for targets in rules.targets_by_group.values():
                    table.watchers(targets, now)
                size = groups if parameter.startswith("groups") else instances
                points.append((size, 1000 * (time.process_time() - started)))
        print_fit("CPU ms of a watch round after a change", parameter, first_round)
        print_fit("CPU ms of a watch round without a change", parameter, repeated_round)


def _parse_rules(lines: list[str]) -> RuleSet:
    rules = parse_rules("\n".join(lines) + "\n", 1)
    if not isinstance(rules, RuleSet):
        raise RuntimeError(f"invalid rules: {rules[:3]}")
    return rules


def _target_line(group: str, letter: str, port: int) -> str:
    return (
        f"target {group}{letter} group={group} domain=d address=127.0.0.1:{port}"
        " slots=3 connections=40  # a: b"
    )


def _build_group_rules(count: int) -> Any:
    lines = ["domain d region=r  # a: b"]
    for number in range(count):
        lines.append(f"group g{number}  # a: b")
        ports = range(3 * number + 1, 3 * number + 4)
        lines += [
            _target_line(f"g{number}", letter, port)
            for port, letter in zip(ports, "abc", strict=True)
        ]
        lines.append(f"database g{number} group=g{number}  # a: b")
    return _parse_rules(lines)


def _build_account_rules(count: int) -> Any:
    rng = random.Random(1)
    lines = [
        "domain d region=r  # a: b",
        "group g  # a: b",
        "database g group=g  # a: b",
    ]
    for number in range(count):
        lines.append(f"account a{number} rate=15 burst=15 max_age=1s  # a: b")
        lines.append(f"key a{number} sha256:{rng.randbytes(32).hex()}  # a: b")
        lines.append(f"allow a{number} g  # a: b")
    return _parse_rules(lines)


def _build_instance_entry(number: int) -> InstanceEntry:
    name = f"domain-{number}"
    address = f"10.0.{number // 256}.{number % 256}:9000"
    return InstanceEntry(name, "domain", address, f"{number:012x}", False)


def _build_instance_table(count: int) -> Any:
    table = InstanceTable(_build_instance_entry(0))
    table.update(
        [_build_instance_entry(number) for number in range(count)], timedelta()
    )
    return table


def _build_share_buckets(count: int) -> Any:
    limit = AccountLimit(15, 15)
    now = SystemClock().monotonic()
    return {
        f"account-{number}": ShareBucket(limit.rate, limit.burst, now)
        for number in range(count)
    }


def _build_watched_groups(count: int) -> Any:
    now = SystemClock().monotonic()
    lines = ["domain d region=r  # a: b", "group g  # a: b"]
    lines += [_target_line("g", letter, port) for port, letter in enumerate("abc", 1)]
    rules = _parse_rules(lines)
    groups = []
    for number in range(count):
        group = WatchedGroup(
            f"g{number}", "i", "i.run", FailoverPolicy(), lambda: FairQueue(256)
        )
        group.update(rules.targets_by_group["g"], ["i", "j", "k"])
        group.tick(now)
        groups.append(group)
    return groups


def _find_non_owner(fleet: MeasuredFleet) -> str:
    """Return the name of an instance that owns no target."""
    entries = [
        _build_instance_entry(0)._replace(name=name) for name in fleet.entry_names
    ]
    table = InstanceTable(entries[0])
    table.update(entries, timedelta())
    rules = _parse_rules(fleet.rules_text().splitlines())
    [targets] = rules.targets_by_group.values()
    owners = table.watchers(targets, SystemClock().monotonic())
    return next(name for name in fleet.entry_names if name not in owners)


def _create_tables(fleet: MeasuredFleet) -> None:
    load = Load(fleet, 1)
    load.create_tables()
    load.finish()


def _total_cpu_seconds(fleet: MeasuredFleet, names: list[str]) -> float:
    return sum(cpu_seconds(fleet.process_by_name[name].pid) for name in names)


def _send_reads(fleet: MeasuredFleet, instance: str, rate: int) -> int:
    """Send reads at a rate per second and return the number of successful ones."""
    if not rate:
        time.sleep(OBSERVATION_S)
        return 0
    caller = Caller(fleet.api_key(ADMIN_ACCOUNT))
    url, database = fleet.caller_url(instance), fleet.plan.databases[0]
    deadline = time.monotonic() + OBSERVATION_S
    counts: list[int] = []

    def send_at_rate(number: int) -> None:
        next_at, count = time.monotonic() + number / rate, 0
        while next_at < deadline:
            time.sleep(max(0.0, next_at - time.monotonic()))
            count += caller.query(url, database, "SELECT 1").ok
            next_at = max(next_at + SENDER_COUNT / rate, time.monotonic())
        counts.append(count)

    threads = [
        threading.Thread(target=send_at_rate, args=(n,)) for n in range(SENDER_COUNT)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(max(0.0, deadline - time.monotonic()))
    caller.close()
    return sum(counts)


def main(only: str = "") -> None:
    """Print all measurements, or the one named ``only``."""
    measurement_by_name: dict[str, Callable[[], None]] = {
        "memory": measure_table_memory,
        "watch-rounds": measure_watch_rounds,
        "instances": lambda: measure_idle_fleets(
            [3, 8, 16], lambda n: make_plan(n, 1, 8), "instances"
        ),
        "groups": lambda: measure_idle_fleets(
            [1, 3, 6], lambda n: make_plan(3, n, 8), "groups watched"
        ),
        "accounts": lambda: measure_idle_fleets(
            [8, 200], lambda n: make_plan(3, 1, n), "accounts"
        ),
        "statements": measure_statements,
        "connections": measure_connections,
    }
    for name, measure in measurement_by_name.items():
        if only in ("", name):
            measure()


if __name__ == "__main__":
    fire.Fire(main)
