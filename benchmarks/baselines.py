"""Compare policies with their baselines in a simulation with a manual clock.

The decision objects are those of the product; service times and delays come from a
simple in-memory model. Real processes would be too slow and too noisy for so many
comparisons in one run.
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
from bulrushloom.coordination.routing.base import (
    Candidate,
    ReadPolicy,
    ReadRequirements,
)
from bulrushloom.coordination.routing.policies import (
    FreshReplicaPolicy,
    PrimaryOnlyPolicy,
    RoundRobinPolicy,
)
from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.core.sentinels import Missing
from tests.coordination.failover.builders import SimulatedGroup
from tests.coordination.limits.builders import Fleet

NOISY_ACCOUNT = "noisy"
MILLISECOND = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)

# Read routing: maximum age of an instance's view of the servers, and the maximum time
# that a server waits for the log position that a read requires.
MAX_VIEW_AGE_S = 0.5
MAX_SERVER_WAIT_S = 0.05
READ_COUNT = 20_000

# Slot queue: slots of the target, service time and timeout of a statement.
TARGET_SLOTS = 3
SERVICE_TIME = 10 * MILLISECOND
STATEMENT_TIMEOUT = SECOND

# Retries: attempts that the target serves per tick of 10 ms, normally and during the
# outage.
ATTEMPTS_PER_TICK = 2.0
OUTAGE_ATTEMPTS_PER_TICK = 0.5
MAX_ATTEMPTS = 5


def print_row(name: str, **figures: float) -> None:
    """Print one row of a result table."""
    columns = "  ".join(f"{key} {value:.4g}" for key, value in figures.items())
    print(f"  {name:<28} {columns}", flush=True)


def compare_read_policies(seed: int) -> None:
    """Compare read policies at a small and a large replication lag."""
    for lag_s in (0.05, 5.0):
        print(f"read routing, replicas lag {lag_s:g} s")
        for policy in (FreshReplicaPolicy(), PrimaryOnlyPolicy(), RoundRobinPolicy()):
            print_row(type(policy).__name__, **_simulate_reads(policy, lag_s, seed))


def _simulate_reads(policy: ReadPolicy, lag_s: float, seed: int) -> dict[str, float]:
    """Simulate sessions that read their own write, on average 100 ms after it."""
    rng = random.Random(seed)
    attempts = 0
    total_wait_s = 0.0
    replica_reads = 0
    for _ in range(READ_COUNT):
        # The log grows by one entry per millisecond. The session's write, at time 0,
        # is entry 100000.
        now_s = rng.expovariate(1 / 0.1)
        written_offset = 100_000
        offset_delta = int((now_s - lag_s - MAX_VIEW_AGE_S * rng.random()) * 1000)
        candidates = [
            _build_candidate("a", True, written_offset + 1000, 0.0),
            _build_candidate("b", False, written_offset + offset_delta, lag_s),
            _build_candidate("c", False, written_offset + offset_delta, lag_s),
        ]
        need = ReadRequirements("d0", LogPosition(1, written_offset), SECOND)
        for target in policy.order(candidates, need):
            attempts += 1
            missing_s = lag_s - now_s if target != "a" else 0.0
            is_too_old = target != "a" and lag_s > 1.0
            if missing_s <= MAX_SERVER_WAIT_S and not is_too_old:
                total_wait_s += max(0.0, missing_s)
                now_s += max(0.0, missing_s)
                replica_reads += target != "a"
                break
            total_wait_s += MAX_SERVER_WAIT_S
            now_s += MAX_SERVER_WAIT_S
    return {
        "replica share": replica_reads / READ_COUNT,
        "tries per read": attempts / READ_COUNT,
        "mean wait ms": 1000 * total_wait_s / READ_COUNT,
    }


def _build_candidate(
    name: str, is_primary: bool, applied_offset: int, age_s: float
) -> Candidate:
    domain = f"d{'abc'.index(name)}"
    position = LogPosition(1, max(0, applied_offset))
    return Candidate(
        name, domain, is_primary, True, position, timedelta(seconds=age_s), 0
    )


# Time of a request, name of the instance that receives it, and account.
Arrival = tuple[timedelta, str, str]


def compare_share_clients(seed: int) -> None:
    """Compare share clients, with requests at all instances or at one per account."""
    limits = {f"account-{number}": AccountLimit(40, 40) for number in range(3)}
    limits[NOISY_ACCOUNT] = AccountLimit(40, 40)
    for skewed in (False, True):
        print(f"shares, callers at {'one entry' if skewed else 'all entries'}")
        arrivals, names = _generate_arrivals(limits, skewed, seed)
        for client in ("ShareClient", "StaticShareClient", "UnlimitedShareClient"):
            print_row(
                client, **_simulate_share_client(client, limits, arrivals, names, seed)
            )


def _generate_arrivals(
    limits: dict[str, AccountLimit], skewed: bool, seed: int
) -> tuple[list[Arrival], list[str]]:
    """Return the requests of 20 s by time, and the names of all instances.

    The noisy account sends five times its rate, the others 90% of it. If ``skewed``,
    each account sends all of its requests to one instance.
    """
    rng = random.Random(seed)
    names = [f"d{domain}{index}" for domain in range(4) for index in range(3)]
    arrivals = []
    for number, (account, limit) in enumerate(limits.items()):
        rate = limit.rate * (5.0 if account == NOISY_ACCOUNT else 0.9)
        for index in range(int(rate * 20)):
            name = names[number] if skewed else rng.choice(names)
            arrivals.append((timedelta(seconds=10 + index / rate), name, account))
    return sorted(arrivals), names


def _simulate_share_client(
    client_name: str,
    limits: dict[str, AccountLimit],
    arrivals: list[Arrival],
    names: list[str],
    seed: int,
) -> dict[str, float]:
    granted_at_by_account: dict[str, list[timedelta]] = {
        account: [] for account in limits
    }
    if client_name == "ShareClient":
        fleet = Fleet({f"d{number}": 3 for number in range(4)}, limits, seed)
        for at, name, account in arrivals:
            fleet.at(
                at, lambda name=name, account=account: fleet.request(name, account)
            )
        fleet.run(35)
        granted_at_by_account.update(fleet.spent)
    else:
        clients: dict[str, Any] = {
            name: StaticShareClient(len(names))
            if client_name == "StaticShareClient"
            else UnlimitedShareClient()
            for name in names
        }
        for client in clients.values():
            client.update_accounts(limits, 4, timedelta())
        for at, name, account in arrivals:
            if isinstance(clients[name].acquire("r", account, at)[0], TokenGranted):
                granted_at_by_account[account].append(at)
    sent_by_account = Counter(account for _, _, account in arrivals)
    answered_share_by_account = {
        account: len(granted_at_by_account[account]) / sent_by_account[account]
        for account in limits
    }
    accounts_within_rate = [account for account in limits if account != NOISY_ACCOUNT]
    wrongful_refusals = 1 - sum(
        len(granted_at_by_account[a]) for a in accounts_within_rate
    ) / sum(sent_by_account[a] for a in accounts_within_rate)
    return {
        "wrongful refusals": wrongful_refusals,
        "worst account": min(
            answered_share_by_account[account] for account in accounts_within_rate
        ),
        "count above rate and burst": max(
            0.0, max(_worst_excess(granted_at_by_account[a], limits[a]) for a in limits)
        ),
    }


def _worst_excess(times: list[timedelta], limit: AccountLimit) -> float:
    """Return the largest overdraft of a token bucket with the given limit."""
    level, worst, previous = limit.burst, 0.0, timedelta()
    for at in sorted(times):
        level = min(limit.burst, level + limit.rate * (at - previous) / SECOND) - 1
        worst, previous = max(worst, -level), at
    return worst


def compare_slot_queues(seed: int) -> None:
    """Compare slot queues while one account exceeds the capacity of the target."""
    print("slot queue, one account sends twice the capacity of the target")
    for queue in (FairQueue(256), FifoQueue(256)):
        print_row(type(queue).__name__, **_simulate_queue(queue, seed))


def _simulate_queue(queue: SlotQueue, seed: int) -> dict[str, float]:
    """Simulate a target for 20 s in steps of 1 ms, with random arrivals."""
    rng = random.Random(seed)
    rates = {"a": 40, "b": 40, "c": 40, NOISY_ACCOUNT: 600}
    sent_by_account: Counter[str] = Counter()
    served_by_account: Counter[str] = Counter()
    waits_ms: list[float] = []
    queued_by_item: dict[str, tuple[str, timedelta]] = {}
    # End time and account of each statement that occupies a slot.
    running: list[tuple[timedelta, str]] = []
    for step in range(20_000):
        now = step * MILLISECOND
        for account, rate in rates.items():
            if rng.random() < rate / 1000:
                sent_by_account[account] += 1
                item = f"{account}{step}"
                if queue.push(item, account, now + STATEMENT_TIMEOUT, now):
                    queued_by_item[item] = (account, now)
        for _, account in [job for job in running if job[0] <= now]:
            queue.charge(account, SERVICE_TIME)
        running = [job for job in running if job[0] > now]
        queue.expired(now)
        while len(running) < TARGET_SLOTS:
            popped = queue.pop(now)
            if isinstance(popped, Missing):
                break
            account, arrived_at = queued_by_item.pop(popped)
            running.append((now + SERVICE_TIME, account))
            served_by_account[account] += 1
            if account != NOISY_ACCOUNT:
                waits_ms.append((now - arrived_at) / MILLISECOND)
    accounts_within_rate = [account for account in rates if account != NOISY_ACCOUNT]
    return {
        "worst account": min(
            served_by_account[a] / sent_by_account[a] for a in accounts_within_rate
        ),
        "wait p50 ms": percentile(waits_ms, 0.5),
        "wait p99 ms": percentile(waits_ms, 0.99),
        "slots used": sum(served_by_account.values())
        * SERVICE_TIME
        / (20 * SECOND)
        / TARGET_SLOTS,
    }


def compare_retry_policies(seed: int) -> None:
    """Compare retry policies with isolated failures and during an outage."""
    print("retries, 3% single failures; capacity drops to a quarter for 10 of 30 s")
    for policy in (BudgetedRetries(), NoRetries(), UnboundedRetries()):
        print_row(type(policy).__name__, **_simulate_retries(policy, seed))


def _simulate_retries(policy: RetryPolicy, seed: int) -> dict[str, float]:
    rng = random.Random(seed)
    backoff = Backoff(rng)
    # Attempts that wait for their backoff: tick when due, number of the attempt, and
    # tick of the first attempt.
    scheduled: deque[tuple[int, int, int]] = deque()
    answered_by_outage: Counter[bool] = Counter()
    sent_by_outage: Counter[bool] = Counter()
    attempts_by_outage: Counter[bool] = Counter()
    for tick in range(3000):
        now = tick * 10 * MILLISECOND
        is_outage = 1000 <= tick < 2000
        due = [item for item in scheduled if item[0] <= tick]
        scheduled = deque(item for item in scheduled if item[0] > tick)
        policy.record_request(now)
        sent_by_outage[is_outage] += 1
        due.append((tick, 1, tick))
        rng.shuffle(due)
        capacity = OUTAGE_ATTEMPTS_PER_TICK if is_outage else ATTEMPTS_PER_TICK
        for index, (_, attempt, first_tick) in enumerate(due):
            attempts_by_outage[is_outage] += 1
            # An overloaded server answers only as many attempts as its capacity.
            is_within_capacity = index + rng.random() < capacity
            if is_within_capacity and rng.random() >= 0.03:
                answered_by_outage[1000 <= first_tick < 2000] += 1
            elif attempt < MAX_ATTEMPTS and policy.acquire_retry(now):
                delay = max(1, backoff.delay(attempt) // (10 * MILLISECOND))
                scheduled.append((tick + delay, attempt + 1, first_tick))
    return {
        "answered calm": answered_by_outage[False] / sent_by_outage[False],
        "answered outage": answered_by_outage[True] / sent_by_outage[True],
        "attempts per request calm": attempts_by_outage[False] / sent_by_outage[False],
        "attempts per request outage": attempts_by_outage[True] / sent_by_outage[True],
    }


POLICY_BY_LABEL = {
    "0.5 s polls, 3 missed, 1.5 s": FailoverPolicy(),
    "1 s polls, 3 missed, 3 s": FailoverPolicy(
        poll_interval=SECOND, answer_timeout=3 * SECOND
    ),
    "0.5 s polls, 1 missed, 0.5 s": FailoverPolicy(
        missed_polls=1, answer_timeout=SECOND / 2, contact_timeout=SECOND / 2
    ),
}
PAUSES_S = (0.5, 1.0, 2.0, 4.0)
TRIALS_PER_POLICY = 5


def compare_failover_policies(seed: int) -> None:
    """Compare failure detection settings.

    Prints the mean number of promotions while the primary is paused, and the longest
    time without a primary after a crash.
    """
    print(
        f"failover detection, {TRIALS_PER_POLICY} trials each:"
        " promotions for one pause, gap"
    )
    for label, policy in POLICY_BY_LABEL.items():
        figures = {
            f"pause {pause_s:g} s": sum(
                _count_promotions(policy, pause_s, seed + trial)
                for trial in range(TRIALS_PER_POLICY)
            )
            / TRIALS_PER_POLICY
            for pause_s in PAUSES_S
        }
        gaps = [
            _measure_gap_s(policy, seed + trial) for trial in range(TRIALS_PER_POLICY)
        ]
        print_row(label, **figures, **{"worst gap s": max(gaps)})


def _start_group(policy: FailoverPolicy, seed: int) -> SimulatedGroup:
    class Monitor(GroupMonitor):
        def __init__(self, group: str, node: str, candidate: str):
            super().__init__(group, node, candidate, policy)

    class Group(SimulatedGroup):
        monitor_class = Monitor

    group = Group(seed)
    group.run_until(group.primary, 30 * SECOND)
    group.run(5 * SECOND + seed * 137 * MILLISECOND)
    return group


def _count_promotions(policy: FailoverPolicy, pause_s: float, seed: int) -> int:
    group = _start_group(policy, seed)
    terms_before = len(group.initial_log_by_term)
    primary = group.primary()
    assert primary is not None
    primary.paused = True
    group.run(timedelta(seconds=pause_s))
    primary.paused = False
    group.run(8 * SECOND)
    return len(group.initial_log_by_term) - terms_before


def _measure_gap_s(policy: FailoverPolicy, seed: int) -> float:
    group = _start_group(policy, seed)
    primary = group.primary()
    assert primary is not None
    crashed_at = group.now
    group.crash(primary.name)
    group.run_until(group.primary, 30 * SECOND)
    return (group.now - crashed_at) / SECOND


COMPARISON_BY_NAME: dict[str, Callable[[int], None]] = {
    "reads": compare_read_policies,
    "shares": compare_share_clients,
    "queues": compare_slot_queues,
    "retries": compare_retry_policies,
    "failovers": compare_failover_policies,
}


def main(only: str = "", seed: int = 1) -> None:
    """Print all comparisons, or the one named ``only``."""
    for name, compare in COMPARISON_BY_NAME.items():
        if only in ("", name):
            compare(seed)


if __name__ == "__main__":
    fire.Fire(main)
