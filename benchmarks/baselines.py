"""Policies against their baselines: real decision objects and a manual clock.

Every figure is made in memory with a simple model of service times and delays. Real
processes would be too slow and too noisy for so many comparisons in one run.
"""

import random
from collections import Counter, deque
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import fire

from benchmarks.measures import percentile
from bulrushloom.coordination.failover.base import FailoverPolicy
from bulrushloom.coordination.failover.monitor import GroupMonitor
from bulrushloom.coordination.limits.base import AccountLimit, TokenGranted
from bulrushloom.coordination.limits.baselines import (
    StaticShareClient,
    UnlimitedShareClient,
)
from bulrushloom.coordination.queueing.base import SlotQueue
from bulrushloom.coordination.queueing.fair import FairQueue
from bulrushloom.coordination.queueing.fifo import FifoQueue
from bulrushloom.coordination.retries.backoff import Backoff
from bulrushloom.coordination.retries.base import RetryPolicy
from bulrushloom.coordination.retries.budgets import (
    BudgetedRetries,
    NoRetries,
    UnboundedRetries,
)
from bulrushloom.coordination.routing.base import Candidate, ReadNeed, ReadPolicy
from bulrushloom.coordination.routing.policies import (
    FreshReplicaPolicy,
    PrimaryOnlyPolicy,
    RoundRobinPolicy,
)
from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.core.sentinels import Missing
from tests.coordination.failover.builders import SimulatedGroup
from tests.coordination.limits.builders import Fleet

NOISY = "noisy"
MILLISECOND = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)

# Reads: the view of an entry is this old, and a server waits this long at most.
VIEW_AGE_S = 0.5
SERVER_WAIT_S = 0.05
READS = 20_000

# Queue: slots of one target, service time, deadline of a statement.
SLOTS = 3
SERVICE = 10 * MILLISECOND
DEADLINE = SECOND

# Retries: a target that serves this many attempts per tick of 10 ms.
CAPACITY_PER_TICK = 2.0
REDUCED_PER_TICK = 0.5
MAX_ATTEMPTS = 5


def row(name: str, **figures: float) -> None:
    """Print one line of a table."""
    shown = "  ".join(f"{key} {value:.4g}" for key, value in figures.items())
    print(f"  {name:<28} {shown}", flush=True)


def reads(seed: int) -> None:
    """Compare read policies with replicas that lag."""
    for lag in (0.05, 5.0):
        print(f"read routing, replicas lag {lag:g} s")
        for policy in (FreshReplicaPolicy(), PrimaryOnlyPolicy(), RoundRobinPolicy()):
            row(type(policy).__name__, **_read_run(policy, lag, seed))


def _read_run(policy: ReadPolicy, lag: float, seed: int) -> dict[str, float]:
    """Let sessions read a time after their write that is 100 ms on average."""
    source = random.Random(seed)
    tries = 0
    wait = 0.0
    replica = 0
    for _ in range(READS):
        # One log entry each millisecond; the session wrote at time 0 as entry 100000.
        now = source.expovariate(1 / 0.1)
        written = 100_000
        behind_view = int((now - lag - VIEW_AGE_S * source.random()) * 1000)
        candidates = [
            _candidate("a", True, written + 1000, 0.0),
            _candidate("b", False, written + behind_view, lag),
            _candidate("c", False, written + behind_view, lag),
        ]
        need = ReadNeed("d0", LogPosition(1, written), SECOND)
        for target in policy.order(candidates, need):
            tries += 1
            missing = lag - now if target != "a" else 0.0
            too_old = target != "a" and lag > 1.0
            if missing <= SERVER_WAIT_S and not too_old:
                wait += max(0.0, missing)
                now += max(0.0, missing)
                replica += target != "a"
                break
            wait += SERVER_WAIT_S
            now += SERVER_WAIT_S
    return {
        "replica share": replica / READS,
        "tries per read": tries / READS,
        "mean wait ms": 1000 * wait / READS,
    }


def _candidate(name: str, primary: bool, applied: int, age: float) -> Candidate:
    domain = f"d{'abc'.index(name)}"
    position = LogPosition(1, max(0, applied))
    return Candidate(name, domain, primary, True, position, timedelta(seconds=age), 0)


Arrival = tuple[timedelta, str, str]


def shares(seed: int) -> None:
    """Compare rate clients, with even and with skewed entries."""
    limits = {f"account-{number}": AccountLimit(40, 40) for number in range(3)}
    limits[NOISY] = AccountLimit(40, 40)
    for skewed in (False, True):
        print(f"shares, callers at {'one entry' if skewed else 'all entries'}")
        arrivals, names = _arrivals(limits, skewed, seed)
        for client in ("ShareClient", "StaticShareClient", "UnlimitedShareClient"):
            row(client, **_share_run(client, limits, arrivals, names, seed))


def _arrivals(
    limits: dict[str, AccountLimit], skewed: bool, seed: int
) -> tuple[list[Arrival], list[str]]:
    source = random.Random(seed)
    names = [f"d{domain}{index}" for domain in range(4) for index in range(3)]
    arrivals = []
    for number, (account, limit) in enumerate(limits.items()):
        rate = limit.rate * (5.0 if account == NOISY else 0.9)
        for index in range(int(rate * 20)):
            name = names[number] if skewed else source.choice(names)
            arrivals.append((timedelta(seconds=10 + index / rate), name, account))
    return sorted(arrivals), names


def _share_run(
    kind: str,
    limits: dict[str, AccountLimit],
    arrivals: list[Arrival],
    names: list[str],
    seed: int,
) -> dict[str, float]:
    granted: dict[str, list[timedelta]] = {account: [] for account in limits}
    if kind == "ShareClient":
        fleet = Fleet({f"d{number}": 3 for number in range(4)}, limits, seed)
        for at, name, account in arrivals:
            fleet.at(
                at, lambda name=name, account=account: fleet.request(name, account)
            )
        fleet.run(35)
        granted.update(fleet.spent)
    else:
        clients: dict[str, Any] = {
            name: StaticShareClient(len(names))
            if kind == "StaticShareClient"
            else UnlimitedShareClient()
            for name in names
        }
        for client in clients.values():
            client.update_accounts(limits, 4, timedelta())
        for at, name, account in arrivals:
            if isinstance(clients[name].acquire("r", account, at)[0], TokenGranted):
                granted[account].append(at)
    sent = Counter(account for _, _, account in arrivals)
    part = {account: len(granted[account]) / sent[account] for account in limits}
    inside = [account for account in limits if account != NOISY]
    wrongful = 1 - sum(len(granted[a]) for a in inside) / sum(sent[a] for a in inside)
    return {
        "wrongful refusals": wrongful,
        "worst account": min(part[account] for account in inside),
        "count above rate and burst": max(
            0.0, max(_excess(granted[a], limits[a]) for a in limits)
        ),
    }


def _excess(times: list[timedelta], limit: AccountLimit) -> float:
    level, worst, previous = limit.burst, 0.0, timedelta()
    for at in sorted(times):
        level = min(limit.burst, level + limit.rate * (at - previous) / SECOND) - 1
        worst, previous = max(worst, -level), at
    return worst


def queues(seed: int) -> None:
    """Compare slot queues while one account sends more than a target can do."""
    print("slot queue, one account sends twice the capacity of the target")
    for queue in (FairQueue(256), FifoQueue(256)):
        row(type(queue).__name__, **_queue_run(queue, seed))


def _queue_run(queue: SlotQueue, seed: int) -> dict[str, float]:
    source = random.Random(seed)
    rates = {"a": 40, "b": 40, "c": 40, NOISY: 600}
    sent: Counter[str] = Counter()
    served: Counter[str] = Counter()
    waits: list[float] = []
    known: dict[str, tuple[str, timedelta]] = {}
    running: list[tuple[timedelta, str]] = []
    for step in range(20_000):
        now = step * MILLISECOND
        for account, rate in rates.items():
            if source.random() < rate / 1000:
                sent[account] += 1
                item = f"{account}{step}"
                if queue.push(item, account, now + DEADLINE, now):
                    known[item] = (account, now)
        for _, account in [one for one in running if one[0] <= now]:
            queue.charge(account, SERVICE)
        running = [one for one in running if one[0] > now]
        queue.expired(now)
        while len(running) < SLOTS:
            popped = queue.pop(now)
            if isinstance(popped, Missing):
                break
            account, arrived = known.pop(popped)
            running.append((now + SERVICE, account))
            served[account] += 1
            if account != NOISY:
                waits.append((now - arrived) / MILLISECOND)
    calm = [account for account in rates if account != NOISY]
    return {
        "worst account": min(served[a] / sent[a] for a in calm),
        "wait p50 ms": percentile(waits, 0.5),
        "wait p99 ms": percentile(waits, 0.99),
        "slots used": sum(served.values()) * SERVICE / (20 * SECOND) / SLOTS,
    }


def retries(seed: int) -> None:
    """Compare retry policies in an outage and with single failures."""
    print("retries, 3% single failures; capacity drops to a quarter for 10 of 30 s")
    for policy in (BudgetedRetries(), NoRetries(), UnboundedRetries()):
        row(type(policy).__name__, **_retry_run(policy, seed))


def _retry_run(policy: RetryPolicy, seed: int) -> dict[str, float]:
    source = random.Random(seed)
    backoff = Backoff(source)
    waiting: deque[tuple[int, int, int]] = deque()
    answered: Counter[bool] = Counter()
    sent: Counter[bool] = Counter()
    attempts: Counter[bool] = Counter()
    for tick in range(3000):
        now = tick * 10 * MILLISECOND
        outage = 1000 <= tick < 2000
        due = [item for item in waiting if item[0] <= tick]
        waiting = deque(item for item in waiting if item[0] > tick)
        policy.request_started(now)
        sent[outage] += 1
        due.append((tick, 1, tick))
        source.shuffle(due)
        room = REDUCED_PER_TICK if outage else CAPACITY_PER_TICK
        for number, (_, attempt, began) in enumerate(due):
            attempts[outage] += 1
            # An overloaded server answers only what it has room for.
            fits = number + source.random() < room
            if fits and source.random() >= 0.03:
                answered[1000 <= began < 2000] += 1
            elif attempt < MAX_ATTEMPTS and policy.allows_retry(now):
                delay = max(1, backoff.delay(attempt) // (10 * MILLISECOND))
                waiting.append((tick + delay, attempt + 1, began))
    return {
        "answered calm": answered[False] / sent[False],
        "answered outage": answered[True] / sent[True],
        "attempts per request calm": attempts[False] / sent[False],
        "attempts per request outage": attempts[True] / sent[True],
    }


DETECTION = {
    "0.5 s polls, 3 missed, 1.5 s": FailoverPolicy(),
    "1 s polls, 3 missed, 3 s": FailoverPolicy(
        poll_interval=SECOND, silence=3 * SECOND
    ),
    "0.5 s polls, 1 missed, 0.5 s": FailoverPolicy(
        missed_polls=1, silence=SECOND / 2, contact_timeout=SECOND / 2
    ),
}
PAUSES = (0.5, 1.0, 2.0, 4.0)
TRIALS = 5


def failovers(seed: int) -> None:
    """Compare detection settings: promotions in pauses, and gap after a crash."""
    print(f"failover detection, {TRIALS} trials each: promotions for one pause, gap")
    for name, policy in DETECTION.items():
        figures = {
            f"pause {pause:g} s": sum(
                _promotions(policy, pause, seed + trial) for trial in range(TRIALS)
            )
            / TRIALS
            for pause in PAUSES
        }
        gaps = [_gap(policy, seed + trial) for trial in range(TRIALS)]
        row(name, **figures, **{"worst gap s": max(gaps)})


def _group(policy: FailoverPolicy, seed: int) -> SimulatedGroup:
    class Monitor(GroupMonitor):
        def __init__(self, group: str, node: str, candidate: str):
            super().__init__(group, node, candidate, policy)

    class Group(SimulatedGroup):
        monitor_class = Monitor

    group = Group(seed)
    group.run_until(group.primary, 30 * SECOND)
    group.run(5 * SECOND + seed * 137 * MILLISECOND)
    return group


def _promotions(policy: FailoverPolicy, pause: float, seed: int) -> int:
    group = _group(policy, seed)
    before = len(group.initial_log_by_term)
    primary = group.primary()
    assert primary is not None
    primary.paused = True
    group.run(timedelta(seconds=pause))
    primary.paused = False
    group.run(8 * SECOND)
    return len(group.initial_log_by_term) - before


def _gap(policy: FailoverPolicy, seed: int) -> float:
    group = _group(policy, seed)
    primary = group.primary()
    assert primary is not None
    crashed_at = group.now
    group.crash(primary.name)
    group.run_until(group.primary, 30 * SECOND)
    return (group.now - crashed_at) / SECOND


PARTS: dict[str, Callable[[int], None]] = {
    "reads": reads,
    "shares": shares,
    "queues": queues,
    "retries": retries,
    "failovers": failovers,
}


def main(only: str = "", seed: int = 1) -> None:
    """Print all comparisons, or one."""
    for name, compare in PARTS.items():
        if only in ("", name):
            compare(seed)


if __name__ == "__main__":
    fire.Fire(main)
