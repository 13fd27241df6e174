"""Benchmark cases, each of which measures a running fleet and returns its figures."""

import socket
import time
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import orjson
import urllib3

from benchmarks import processes
from benchmarks.callers import Caller
from benchmarks.deployments import ADMIN_ACCOUNT, LARGE_ACCOUNT_RATE_PER_S
from benchmarks.load import USED_RATE_FRACTION, Load
from benchmarks.measures import (
    MeasuredFleet,
    StatementSpan,
    percentile,
    read_usage,
    resident_bytes,
    worst_excess,
)

NETWORK_DELAY_MS = 1
SMALL_LAG_MS = 50
LARGE_LAG_MS = 5_000
EXCESS_RATE_FACTOR = 5.0
LOAD_DURATION_S = 10.0
SETTLE_TIME_S = 5.0
IDLE_DURATION_S = 8.0
IDLE_CONNECTION_COUNT = 500
LATENCY_REQUEST_COUNT = 400
SATURATING_WORKER_COUNT = 12
RATE_REFUSAL_KINDS = {"rate_limited", "configuration_stale"}


class Outcome(NamedTuple):
    """The result of a case: figures by key of the summary, and rows of the table."""

    figures: dict[str, float]
    table_rows: list[tuple[str, str]]
    stale_reads: list[str]


def _count_answered(load: Load, account: str) -> int:
    return sum(sample.reply.ok for sample in load.samples_of(account))


def _worst_account_excess(fleet: MeasuredFleet, load: Load) -> float:
    """Return the largest excess of any account over its rate and burst."""
    worst = 0.0
    for account in fleet.plan.accounts:
        if account.name == ADMIN_ACCOUNT:
            continue
        spans = [
            StatementSpan(sample.reply.started_at, sample.reply.ended_at)
            for sample in load.samples_of(account.name)
            if sample.reply.ok
        ]
        worst = max(worst, worst_excess(spans, account.rate, account.burst))
    return worst


def _wrongful_refusals(
    load: Load, accounts_within_rate: set[str]
) -> tuple[float, Counter[str]]:
    """Return the share of wrongful refusals and the failed requests by kind.

    Only requests of accounts that stay within their rate count. Refused connections
    are no wrongful refusals.
    """
    samples = [
        sample for sample in load.samples if sample.account in accounts_within_rate
    ]
    failure_counts = Counter(
        sample.reply.kind for sample in samples if not sample.reply.ok
    )
    refused = sum(
        not sample.reply.ok
        and sample.reply.ran == "no"
        and sample.reply.kind != "refused"
        for sample in samples
    )
    return refused / max(1, len(samples)), failure_counts


def _build_outcome(
    fleet: MeasuredFleet, load: Load, excess_account: str = "", **figures: float
) -> Outcome:
    accounts_within_rate = {plan.name for plan in fleet.plan.accounts} - {
        ADMIN_ACCOUNT,
        excess_account,
    }
    wrongful_refusals, failure_counts = _wrongful_refusals(load, accounts_within_rate)
    reads = [
        sample for sample in load.samples if not sample.is_write and sample.reply.ok
    ]
    replica_reads = sum(sample.reply.body["role"] == "replica" for sample in reads)
    latencies_ms = [
        sample.reply.seconds * 1000 for sample in load.samples if sample.reply.ok
    ]
    table_rows = [
        ("requests", str(len(load.samples))),
        ("not answered, inside rate", str(dict(failure_counts))),
        ("replica share of reads", f"{replica_reads / max(1, len(reads)):.3f}"),
        (
            "latency p50 / p99 (ms)",
            f"{percentile(latencies_ms, 0.5):.1f}"
            f" / {percentile(latencies_ms, 0.99):.1f}",
        ),
        ("read-your-writes violations", str(len(load.stale_reads))),
    ]
    common_figures = {
        "wrongful_refusals": wrongful_refusals,
        "over_rate": _worst_account_excess(fleet, load),
    }
    table_rows += [
        (name, f"{value:.4f}") for name, value in (common_figures | figures).items()
    ]
    return Outcome(common_figures | figures, table_rows, load.stale_reads)


def _replica_share(load: Load) -> float:
    reads = [
        sample for sample in load.samples if not sample.is_write and sample.reply.ok
    ]
    return sum(sample.reply.body["role"] == "replica" for sample in reads) / len(reads)


def measure_idle(fleet: MeasuredFleet, seed: int) -> Outcome:
    """Measure the cost of control work in a fleet without client requests."""
    # Wait until startup work has ended; it isn't part of the idle cost.
    time.sleep(SETTLE_TIME_S)
    before = read_usage(fleet)
    time.sleep(IDLE_DURATION_S)
    used = read_usage(fleet).since(before)
    instance_count = len(fleet.entry_names)
    figures = {
        "control_cpu_percent": 100 * used.cpu / used.time / instance_count,
        "control_bytes_per_s": used.peer_bytes / used.time / instance_count,
        "store_calls_per_s": used.store_calls / used.time,
    }
    table_rows = [(name, f"{value:.2f}") for name, value in figures.items()]
    return Outcome(figures, table_rows, [])


def measure_steady_load(fleet: MeasuredFleet, seed: int) -> Outcome:
    """Measure with every account sending slightly less than its rate."""
    load = Load(fleet, seed)
    load.start()
    load.run_for(LOAD_DURATION_S)
    return _build_outcome(fleet, load)


def measure_noisy_account(fleet: MeasuredFleet, seed: int) -> Outcome:
    """Measure with one large account sending five times its rate."""
    noisy_account = next(
        plan for plan in fleet.plan.accounts if plan.rate == LARGE_ACCOUNT_RATE_PER_S
    )
    load = Load(fleet, seed)
    started = time.monotonic()
    load.start({noisy_account.name: EXCESS_RATE_FACTOR})
    load.run_for(LOAD_DURATION_S)
    seconds = time.monotonic() - started
    answered_share_by_account = {}
    for plan in fleet.plan.accounts:
        if plan.name not in (ADMIN_ACCOUNT, noisy_account.name):
            # It stayed within its rate, so all of its requests should be answered.
            answered_share_by_account[plan.name] = _count_answered(
                load, plan.name
            ) / max(1, len(load.samples_of(plan.name)))
    outcome = _build_outcome(
        fleet,
        load,
        noisy_account.name,
        worst_account_share=min(answered_share_by_account.values()),
    )
    sent_rate_ratio = (
        len(load.samples_of(noisy_account.name)) / seconds / noisy_account.rate
    )
    answered_rate_ratio = (
        _count_answered(load, noisy_account.name) / seconds / noisy_account.rate
    )
    outcome.table_rows.append(
        (
            "excess account sent / got, of rate",
            f"{sent_rate_ratio:.2f}/{answered_rate_ratio:.2f}",
        )
    )
    sent_demand_ratios = [
        len(load.samples_of(plan.name)) / seconds / plan.rate / USED_RATE_FRACTION
        for plan in fleet.plan.accounts
        if plan.name in answered_share_by_account
    ]
    outcome.table_rows.append(
        ("least sent of the paced demand", f"{min(sent_demand_ratios):.2f}")
    )
    return outcome


def measure_replica_lag(fleet: MeasuredFleet, seed: int) -> Outcome:
    """Measure with replicas that lag by 50 ms and then by 5 s.

    The replica share of reads comes from the small lag; refusals and excess are the
    worse of both.
    """
    outcomes = []
    for lag_ms in (SMALL_LAG_MS, LARGE_LAG_MS):
        for name in fleet.target_names:
            fleet.set_faults(name, lag_ms=lag_ms)
        load = Load(fleet, seed)
        load.start()
        load.run_for(LOAD_DURATION_S)
        outcomes.append(
            _build_outcome(fleet, load, replica_read_share=_replica_share(load))
        )
    for name in fleet.target_names:
        fleet.set_faults(name, lag_ms=0)
    small_lag, large_lag = outcomes
    figures = small_lag.figures | {
        key: max(small_lag.figures[key], large_lag.figures[key])
        for key in ("wrongful_refusals", "over_rate")
    }
    table_rows = [
        (f"{SMALL_LAG_MS} ms: {name}", value) for name, value in small_lag.table_rows
    ]
    table_rows += [
        (f"{LARGE_LAG_MS} ms: {name}", value) for name, value in large_lag.table_rows
    ]
    return Outcome(figures, table_rows, small_lag.stale_reads + large_lag.stale_reads)


def measure_killed_instances(fleet: MeasuredFleet, seed: int) -> Outcome:
    """Kill an instance and then a share holder during load; restart both afterwards."""
    holder = next(
        name
        for name in fleet.entry_names
        if "holding" in fleet.status(name)["shares"].values()
    )
    domain = fleet.domain_by_name[holder]
    other_instance = next(
        name for name in fleet.entry_names if fleet.domain_by_name[name] != domain
    )
    load = Load(fleet, seed)
    load.start()
    time.sleep(3)
    processes.kill(fleet.process_by_name[other_instance])
    time.sleep(4)
    processes.kill(fleet.process_by_name[holder])
    load.run_for(6)
    outcome = _build_outcome(fleet, load)
    for name in (other_instance, holder):
        fleet.start_entry(name)
        processes.wait_until_listening(fleet.process_by_name[name])
    fleet.wait_ready()
    return outcome


def measure_killed_primaries(fleet: MeasuredFleet, seed: int) -> Outcome:
    """Kill the primary of every group while the store drops half of its responses."""
    load = Load(fleet, seed)
    load.start()
    load.start_writers(0.1)
    time.sleep(3)
    fleet.set_faults("store", lose_rate=0.5, lose_seed=seed)
    killed_at = time.monotonic()
    for group in fleet.plan.databases:
        processes.kill(fleet.process_by_name[fleet.find_primary(group)])
    load.run_for(14)
    fleet.set_faults("store", lose_rate=0.0)
    gap_by_group = {
        group: _longest_write_gap_s(load, group, killed_at)
        for group in fleet.plan.databases
    }
    outcome = _build_outcome(fleet, load, failover_gap_s=max(gap_by_group.values()))
    gaps = {group: round(gap_s, 2) for group, gap_s in gap_by_group.items()}
    outcome.table_rows.append(("gap by group (s)", str(gaps)))
    # Refusals due to a missing primary are measured by the failover gap, so only
    # those of the rate limiter count here.
    figures = dict(outcome.figures)
    samples = [sample for sample in load.samples if sample.account != ADMIN_ACCOUNT]
    rate_refusals = sum(sample.reply.kind in RATE_REFUSAL_KINDS for sample in samples)
    figures["wrongful_refusals"] = rate_refusals / len(samples)
    return outcome._replace(figures=figures)


def _longest_write_gap_s(load: Load, group: str, killed_at: float) -> float:
    """Return the longest time without a successful write to a group after a kill."""
    ends = sorted(
        sample.reply.ended_at
        for sample in load.samples
        if sample.database == group and sample.is_write and sample.reply.ok
    )
    ends_after = [end for end in ends if end > killed_at]
    if not ends_after:
        return float("inf")
    last_end_before = [end for end in ends if end <= killed_at][-1:]
    intervals = zip(last_end_before + ends_after, ends_after, strict=False)
    return max(later - earlier for earlier, later in intervals)


def measure_capacity(fleet: MeasuredFleet, seed: int) -> Outcome:
    """Measure the CPU time per statement under closed-loop load."""
    before = read_usage(fleet)
    time.sleep(4)
    idle_used = read_usage(fleet).since(before)
    control_cores = idle_used.cpu / idle_used.time
    load = Load(fleet, seed)
    before = read_usage(fleet)
    load.start_saturating(SATURATING_WORKER_COUNT)
    load.run_for(6)
    used = read_usage(fleet).since(before)
    answered = _count_answered(load, ADMIN_ACCOUNT)
    cpu_s_per_statement = (used.cpu - control_cores * used.time) / answered
    # Only the CPU time that control work leaves is available for statements.
    control_cores_per_instance = control_cores / len(fleet.entry_names)
    statements_per_s = (1 - control_cores_per_instance) / cpu_s_per_statement
    table_rows = [
        ("statements/s", f"{answered / used.time:.0f}"),
        ("instance CPU for each (us)", f"{cpu_s_per_statement * 1e6:.0f}"),
        ("statements_per_s_per_core", f"{statements_per_s:.0f}"),
    ]
    return Outcome(
        {"statements_per_s_per_core": statements_per_s}, table_rows, load.stale_reads
    )


def measure_latency(fleet: MeasuredFleet, seed: int) -> Outcome:
    """Compare the latency of alternating reads through the proxy and at the target."""
    database = fleet.plan.databases[0]
    target = next(
        name
        for name in fleet.target_names
        if fleet.group_by_target[name] == database
        and name != fleet.find_primary(database)
    )
    pool = urllib3.HTTPConnectionPool(
        *_host_port(fleet.process_by_name[target].address), maxsize=1
    )
    headers = {"Content-Type": "application/json"}
    response = pool.request("POST", "/connect", body=b"{}", headers=headers)
    status = orjson.loads(pool.request("GET", "/status").data)
    body = orjson.dumps(
        {
            "connection": orjson.loads(response.data)["connection"],
            "sql": "SELECT 1",
            "params": [],
            "term": status["term"],
            "read_only": True,
            "min_position": [0, 0],
            "max_age_ms": 1000,
            "wait_ms": 50,
            "idempotency": None,
        }
    )
    caller = Caller(fleet.api_key(ADMIN_ACCOUNT))
    direct_s, proxied_s = [], []
    for number in range(LATENCY_REQUEST_COUNT):
        started = time.perf_counter()
        response = pool.request("POST", "/execute", body=body, headers=headers)
        direct_s.append(time.perf_counter() - started)
        if response.status != 200:
            raise RuntimeError(f"read at the target failed: {response.data!r}")
        instance = fleet.entry_names[number % len(fleet.entry_names)]
        reply = caller.query(fleet.caller_url(instance), database, "SELECT 1")
        if reply.ok:
            proxied_s.append(reply.seconds)
    pool.close()
    caller.close()
    figures = {
        f"added_latency_ratio.{name}": percentile(proxied_s, fraction)
        / percentile(direct_s, fraction)
        for name, fraction in (("p50", 0.5), ("p99", 0.99))
    }
    table_rows = [(name, f"{value:.2f}") for name, value in figures.items()]
    for name, times_s in (("direct", direct_s), ("proxied", proxied_s)):
        p50, p99 = percentile(times_s, 0.5) * 1000, percentile(times_s, 0.99) * 1000
        table_rows.append((f"{name} p50 / p99 (ms)", f"{p50:.2f} / {p99:.2f}"))
    return Outcome(figures, table_rows, [])


def measure_idle_connections(fleet: MeasuredFleet, seed: int) -> Outcome:
    """Measure the memory of idle connections, each used once, at one instance."""
    name = fleet.entry_names[-1]
    pid = fleet.process_by_name[name].pid
    address = _host_port(fleet.caller_address_by_entry[name])
    before = resident_bytes(pid)
    sockets = []
    for _ in range(IDLE_CONNECTION_COUNT):
        connection = socket.create_connection(address)
        connection.sendall(b"GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n")
        connection.recv(4096)
        sockets.append(connection)
    time.sleep(1)
    bytes_per_connection = (resident_bytes(pid) - before) / IDLE_CONNECTION_COUNT
    for connection in sockets:
        connection.close()
    figures = {"idle_connection_bytes": bytes_per_connection}
    return Outcome(
        figures, [("idle_connection_bytes", f"{bytes_per_connection:.0f}")], []
    )


def _host_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


CASE_BY_NAME: dict[str, Callable[[MeasuredFleet, int], Outcome]] = {
    "idle": measure_idle,
    "connections": measure_idle_connections,
    "latency": measure_latency,
    "capacity": measure_capacity,
    "steady": measure_steady_load,
    "noisy": measure_noisy_account,
    "lagging": measure_replica_lag,
    "killed-instance": measure_killed_instances,
    # Must run last, because the killed primaries aren't restarted.
    "killed-primary": measure_killed_primaries,
}
