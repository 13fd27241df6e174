"""The cases of the benchmark; each one loads a running fleet and returns figures."""

import socket
import time
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import orjson
import urllib3

from benchmarks import processes
from benchmarks.callers import Caller
from benchmarks.deployments import ADMIN, LARGE_RATE
from benchmarks.load import RATE_USED, Load
from benchmarks.measures import (
    MeasuredFleet,
    Span,
    percentile,
    resident_bytes,
    usage,
    worst_excess,
)

NETWORK_MS = 1
LAG_MS = 50
FAR_BEHIND_MS = 5_000
EXCESS_FACTOR = 5.0
STEADY_S = 10.0
SETTLE_S = 5.0
IDLE_S = 8.0
IDLE_CONNECTIONS = 500
LATENCY_REQUESTS = 400
SATURATING_WORKERS = 12
RATE_KINDS = {"rate_limited", "configuration_stale"}


class Outcome(NamedTuple):
    """Hold the figures of a case, by key of the summary, and lines for the table."""

    figures: dict[str, float]
    lines: list[tuple[str, str]]
    stale_reads: list[str]


def _answered(load: Load, account: str) -> int:
    return sum(sample.reply.ok for sample in load.of(account))


def _excess(fleet: MeasuredFleet, load: Load) -> float:
    worst = 0.0
    for account in fleet.plan.accounts:
        if account.name == ADMIN:
            continue
        spans = [
            Span(sample.reply.started, sample.reply.ended)
            for sample in load.of(account.name)
            if sample.reply.ok
        ]
        worst = max(worst, worst_excess(spans, account.rate, account.burst))
    return worst


def _refused(load: Load, inside: set[str]) -> tuple[float, Counter[str]]:
    """Return the share of requests inside the rate that were refused, by kind."""
    samples = [sample for sample in load.samples if sample.account in inside]
    kinds = Counter(sample.reply.kind for sample in samples if not sample.reply.ok)
    refused = sum(
        not sample.reply.ok
        and sample.reply.ran == "no"
        and sample.reply.kind != "refused"
        for sample in samples
    )
    return refused / max(1, len(samples)), kinds


def _outcome(
    fleet: MeasuredFleet, load: Load, outside: str = "", **figures: float
) -> Outcome:
    inside = {plan.name for plan in fleet.plan.accounts} - {ADMIN, outside}
    wrongful, kinds = _refused(load, inside)
    reads = [s for s in load.samples if not s.write and s.reply.ok]
    replica = sum(s.reply.body["role"] == "replica" for s in reads)
    latencies = [s.reply.seconds * 1000 for s in load.samples if s.reply.ok]
    lines = [
        ("requests", str(len(load.samples))),
        ("not answered, inside rate", str(dict(kinds))),
        ("replica share of reads", f"{replica / max(1, len(reads)):.3f}"),
        (
            "latency p50 / p99 (ms)",
            f"{percentile(latencies, 0.5):.1f} / {percentile(latencies, 0.99):.1f}",
        ),
        ("read-your-writes violations", str(len(load.stale_reads))),
    ]
    known = {"wrongful_refusals": wrongful, "over_rate": _excess(fleet, load)}
    lines += [(name, f"{value:.4f}") for name, value in (known | figures).items()]
    return Outcome(known | figures, lines, load.stale_reads)


def _replica_share(load: Load) -> float:
    reads = [s for s in load.samples if not s.write and s.reply.ok]
    return sum(s.reply.body["role"] == "replica" for s in reads) / len(reads)


def idle(fleet: MeasuredFleet, seed: int) -> Outcome:
    """Measure the control cost of the fleet without callers."""
    # The work of starting the fleet is not part of its idle cost.
    time.sleep(SETTLE_S)
    before = usage(fleet)
    time.sleep(IDLE_S)
    spent = usage(fleet).since(before)
    count = len(fleet.entry_names)
    figures = {
        "control_cpu_percent": 100 * spent.cpu / spent.time / count,
        "control_bytes_per_s": spent.peer_bytes / spent.time / count,
        "store_calls_per_s": spent.store_calls / spent.time,
    }
    lines = [(name, f"{value:.2f}") for name, value in figures.items()]
    return Outcome(figures, lines, [])


def steady(fleet: MeasuredFleet, seed: int) -> Outcome:
    """Send what every account is entitled to."""
    load = Load(fleet, seed)
    load.start()
    load.run(STEADY_S)
    return _outcome(fleet, load)


def noisy(fleet: MeasuredFleet, seed: int) -> Outcome:
    """Let one large account send five times its rate."""
    large = next(plan for plan in fleet.plan.accounts if plan.rate == LARGE_RATE)
    load = Load(fleet, seed)
    started = time.monotonic()
    load.start({large.name: EXCESS_FACTOR})
    load.run(STEADY_S)
    seconds = time.monotonic() - started
    shares = {}
    for plan in fleet.plan.accounts:
        if plan.name not in (ADMIN, large.name):
            # Entitled to all that it sent inside its rate.
            shares[plan.name] = _answered(load, plan.name) / max(
                1, len(load.of(plan.name))
            )
    outcome = _outcome(
        fleet, load, large.name, worst_account_share=min(shares.values())
    )
    sent = len(load.of(large.name)) / seconds / large.rate
    got = _answered(load, large.name) / seconds / large.rate
    outcome.lines.append(
        ("excess account sent / got, of rate", f"{sent:.2f}/{got:.2f}")
    )
    paced = [
        len(load.of(plan.name)) / seconds / plan.rate / RATE_USED
        for plan in fleet.plan.accounts
        if plan.name in shares
    ]
    outcome.lines.append(("least sent of the paced demand", f"{min(paced):.2f}"))
    return outcome


def lagging(fleet: MeasuredFleet, seed: int) -> Outcome:
    """Let replicas lag 50 ms; the other figures come from replicas far behind."""
    outcomes = []
    for lag in (LAG_MS, FAR_BEHIND_MS):
        for name in fleet.target_names:
            fleet.fault(name, lag_ms=lag)
        load = Load(fleet, seed)
        load.start()
        load.run(STEADY_S)
        outcomes.append(_outcome(fleet, load, replica_read_share=_replica_share(load)))
    for name in fleet.target_names:
        fleet.fault(name, lag_ms=0)
    near, far = outcomes
    figures = near.figures | {
        key: max(near.figures[key], far.figures[key])
        for key in ("wrongful_refusals", "over_rate")
    }
    lines = [(f"{LAG_MS} ms: {name}", value) for name, value in near.lines]
    lines += [(f"{FAR_BEHIND_MS} ms: {name}", value) for name, value in far.lines]
    return Outcome(figures, lines, near.stale_reads + far.stale_reads)


def killed_instance(fleet: MeasuredFleet, seed: int) -> Outcome:
    """Kill an instance, then a share holder, and start both again afterwards."""
    holder = next(
        name
        for name in fleet.entry_names
        if "holding" in fleet.status(name)["shares"].values()
    )
    domain = fleet.domain_by_name[holder]
    other = next(n for n in fleet.entry_names if fleet.domain_by_name[n] != domain)
    load = Load(fleet, seed)
    load.start()
    time.sleep(3)
    processes.kill(fleet.process_by_name[other])
    time.sleep(4)
    processes.kill(fleet.process_by_name[holder])
    load.run(6)
    outcome = _outcome(fleet, load)
    for name in (other, holder):
        fleet.start_entry(name)
        processes.wait_listening(fleet.process_by_name[name])
    fleet.wait_ready()
    return outcome


def killed_primary(fleet: MeasuredFleet, seed: int) -> Outcome:
    """Kill the primary of every group while the store loses half of its answers."""
    load = Load(fleet, seed)
    load.start()
    load.start_writers(0.1)
    time.sleep(3)
    fleet.fault("store", lose_rate=0.5, lose_seed=seed)
    killed_at = time.monotonic()
    for group in fleet.plan.databases:
        processes.kill(fleet.process_by_name[fleet.primary(group)])
    load.run(14)
    fleet.fault("store", lose_rate=0.0)
    gap_by_group = {
        group: _gap(load, group, killed_at) for group in fleet.plan.databases
    }
    outcome = _outcome(fleet, load, failover_gap_s=max(gap_by_group.values()))
    gaps = {group: round(gap, 2) for group, gap in gap_by_group.items()}
    outcome.lines.append(("gap by group (s)", str(gaps)))
    # Requests may also be refused for want of a primary; that is the gap's figure.
    figures = dict(outcome.figures)
    inside = [s for s in load.samples if s.account != ADMIN]
    limited = sum(s.reply.kind in RATE_KINDS for s in inside)
    figures["wrongful_refusals"] = limited / len(inside)
    return outcome._replace(figures=figures)


def _gap(load: Load, group: str, killed_at: float) -> float:
    ends = sorted(
        sample.reply.ended
        for sample in load.samples
        if sample.database == group and sample.write and sample.reply.ok
    )
    after = [end for end in ends if end > killed_at]
    if not after:
        return float("inf")
    before = [end for end in ends if end <= killed_at][-1:]
    steps = zip(before + after, after, strict=False)
    return max(later - earlier for earlier, later in steps)


def capacity(fleet: MeasuredFleet, seed: int) -> Outcome:
    """Measure processor time for each statement under closed-loop load."""
    before = usage(fleet)
    time.sleep(4)
    quiet = usage(fleet).since(before)
    control = quiet.cpu / quiet.time
    load = Load(fleet, seed)
    before = usage(fleet)
    load.start_saturating(SATURATING_WORKERS)
    load.run(6)
    spent = usage(fleet).since(before)
    count = _answered(load, ADMIN)
    each = (spent.cpu - control * spent.time) / count
    # A node spends its control share first and the rest on statements.
    control_share = control / len(fleet.entry_names)
    rate = (1 - control_share) / each
    lines = [
        ("statements/s", f"{count / spent.time:.0f}"),
        ("instance CPU for each (us)", f"{each * 1e6:.0f}"),
        ("statements_per_s_per_core", f"{rate:.0f}"),
    ]
    return Outcome({"statements_per_s_per_core": rate}, lines, load.stale_reads)


def latency(fleet: MeasuredFleet, seed: int) -> Outcome:
    """Compare reads through the proxy with reads at the target, in turns."""
    database = fleet.plan.databases[0]
    target = next(
        name
        for name in fleet.target_names
        if fleet.group_by_target[name] == database and name != fleet.primary(database)
    )
    pool = urllib3.HTTPConnectionPool(
        *_host_port(fleet.process_by_name[target].address), maxsize=1
    )
    headers = {"Content-Type": "application/json"}
    answer = pool.request("POST", "/connect", body=b"{}", headers=headers)
    status = orjson.loads(pool.request("GET", "/status").data)
    body = orjson.dumps(
        {
            "connection": orjson.loads(answer.data)["connection"],
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
    caller = Caller(fleet.key(ADMIN))
    direct, proxied = [], []
    for number in range(LATENCY_REQUESTS):
        started = time.perf_counter()
        answer = pool.request("POST", "/execute", body=body, headers=headers)
        direct.append(time.perf_counter() - started)
        if answer.status != 200:
            raise RuntimeError(f"direct read failed: {answer.data!r}")
        entry = fleet.entry_names[number % len(fleet.entry_names)]
        reply = caller.query(fleet.caller_url(entry), database, "SELECT 1")
        if reply.ok:
            proxied.append(reply.seconds)
    pool.close()
    caller.close()
    figures = {
        f"added_latency_ratio.{name}": percentile(proxied, part)
        / percentile(direct, part)
        for name, part in (("p50", 0.5), ("p99", 0.99))
    }
    lines = [(name, f"{value:.2f}") for name, value in figures.items()]
    for name, times in (("direct", direct), ("proxied", proxied)):
        p50, p99 = percentile(times, 0.5) * 1000, percentile(times, 0.99) * 1000
        lines.append((f"{name} p50 / p99 (ms)", f"{p50:.2f} / {p99:.2f}"))
    return Outcome(figures, lines, [])


def connections(fleet: MeasuredFleet, seed: int) -> Outcome:
    """Open idle caller connections, each used once, to one instance."""
    name = fleet.entry_names[-1]
    pid = fleet.process_by_name[name].pid
    address = _host_port(fleet.caller_address_by_entry[name])
    before = resident_bytes(pid)
    sockets = []
    for _ in range(IDLE_CONNECTIONS):
        connection = socket.create_connection(address)
        connection.sendall(b"GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n")
        connection.recv(4096)
        sockets.append(connection)
    time.sleep(1)
    each = (resident_bytes(pid) - before) / IDLE_CONNECTIONS
    for connection in sockets:
        connection.close()
    figures = {"idle_connection_bytes": each}
    return Outcome(figures, [("idle_connection_bytes", f"{each:.0f}")], [])


def _host_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


CASES: dict[str, Callable[[MeasuredFleet, int], Outcome]] = {
    "idle": idle,
    "connections": connections,
    "latency": latency,
    "capacity": capacity,
    "steady": steady,
    "noisy": noisy,
    "lagging": lagging,
    "killed-instance": killed_instance,
    # Last, because killed primaries are not started again.
    "killed-primary": killed_primary,
}
