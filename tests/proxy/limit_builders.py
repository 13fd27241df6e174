"""Simulated fleets of rate limiters."""

import random
from datetime import timedelta

from bulrushloom.proxy.limits import (
    NO_USAGE,
    AccountLimiter,
    PeerUsage,
    RateWindow,
    Usage,
)
from tests.proxy.builders import ms

WINDOW = RateWindow(timedelta(seconds=5), 0.1, 20.0)
TICK = ms(20)
REPORT_TICKS = 10
FRESH_FOR = ms(900)
LONG_AGO = timedelta(seconds=-60)


class SimulatedFleet:
    """Limiters that exchange their reports at fixed intervals."""

    def __init__(self, size, started_at=LONG_AGO):
        self.now = timedelta()
        self.limiters = [
            AccountLimiter(WINDOW, started_at, random.Random(number))
            for number in range(size)
        ]
        for limiter in self.limiters:
            limiter.member_count = size
        self.admission_times: list[timedelta] = []
        self.refused = 0
        self.partitioned: set[int] = set()
        self.ticks = 0

    def step(self, account, requests_by_instance):
        self.now += TICK
        self.ticks += 1
        for number, requested in enumerate(requests_by_instance):
            for _ in range(requested):
                self.request(number, account)
        if self.ticks % REPORT_TICKS == 0:
            self.exchange()

    def request(self, number, account):
        limiter = self.limiters[number]
        limiter.record_demand(account, self.now)
        if limiter.try_admit(account, self.now) <= timedelta():
            self.admission_times.append(self.now)
        else:
            self.refused += 1

    def exchange(self):
        for number, limiter in enumerate(self.limiters):
            report = PeerUsage(self.now, limiter.own_usage(self.now), 1, FRESH_FOR)
            for other, peer in enumerate(self.limiters):
                if other != number and (other in self.partitioned) == (
                    number in self.partitioned
                ):
                    peer.record_peer_usage(f"i{number}", report)

    def max_admitted_in_window(self):
        maximum = first = 0
        for last, admitted_at in enumerate(self.admission_times):
            while self.admission_times[first] <= admitted_at - WINDOW.length:
                first += 1
            maximum = max(maximum, last - first + 1)
        return maximum


def upper_bound(account):
    limit = account.rate_per_s * 5 + account.burst
    return limit * (1 + WINDOW.excess) + WINDOW.slack


def uneven_requests(size, per_tick, seed=7):
    """Return the requests per instance; a few instances get most of them."""
    rng = random.Random(seed)
    weights = [rng.random() ** 3 + 0.01 for _ in range(size)]
    requested = [0] * size
    for number in rng.choices(range(size), weights, k=per_tick):
        requested[number] += 1
    return requested


class DelayedTotals:
    """Limiters that all learn the fleet's total usage a fixed delay later.

    With ``urgent_delay_ticks``, a rise of the demand is reported between the rounds,
    and arrives that much later.
    """

    DELAY_TICKS = 20
    MIN_URGENT_TICKS = 5

    def __init__(self, size, delay_ticks=DELAY_TICKS, urgent_delay_ticks=None):
        self.fleet = SimulatedFleet(size)
        self.delay_ticks = delay_ticks
        self.urgent_delay_ticks = urgent_delay_ticks
        self.is_rise_pending = False
        self.urgent_at = 0
        self.pending: list[tuple[int, list[dict]]] = []
        for limiter in self.fleet.limiters:
            limiter.on_demand_rise = self.on_demand_rise

    def on_demand_rise(self):
        self.is_rise_pending = self.urgent_delay_ticks is not None

    def play(self, account, seconds, demand_per_s, rng):
        """Request a steady demand of an account for some seconds."""
        expected = demand_per_s * (TICK / timedelta(seconds=1))
        for _ in range(int(timedelta(seconds=seconds) / TICK)):
            count = int(expected) + (rng.random() < expected % 1)
            self.step(account, count, rng)

    def restart_all(self, down, recorded_usage):
        """Lose all instances; new ones that know what was recorded start later."""
        fleet = self.fleet
        fleet.now += down
        fleet.ticks += int(down / TICK)
        self.pending.clear()
        fleet.limiters = SimulatedFleet(len(fleet.limiters), fleet.now).limiters
        for limiter in fleet.limiters:
            limiter.on_demand_rise = self.on_demand_rise
            limiter.load_recorded_usage(recorded_usage)

    def request_without_reports(self, account, duration, demand_per_s, rng):
        """Request operations before the instances have heard of each other."""
        for _ in range(int(duration / TICK)):
            self.fleet.now += TICK
            self.fleet.ticks += 1
            expected = demand_per_s * (TICK / timedelta(seconds=1))
            count = int(expected) + (rng.random() < expected % 1)
            for number in rng.choices(range(len(self.fleet.limiters)), k=count):
                self.fleet.request(number, account)

    def step(self, account, request_count, rng):
        fleet = self.fleet
        fleet.now += TICK
        fleet.ticks += 1
        for number in rng.choices(range(len(fleet.limiters)), k=request_count):
            fleet.request(number, account)
        if fleet.ticks % REPORT_TICKS == 0:
            self.report(self.delay_ticks)
        if (
            self.is_rise_pending
            and fleet.ticks - self.urgent_at >= self.MIN_URGENT_TICKS
        ):
            self.is_rise_pending, self.urgent_at = False, fleet.ticks
            self.report(self.urgent_delay_ticks)
        if self.pending and self.pending[0][0] <= fleet.ticks:
            self.deliver(account.name, self.pending.pop(0)[1])

    def report(self, delay_ticks):
        fleet = self.fleet
        usages = [limiter.own_usage(fleet.now) for limiter in fleet.limiters]
        self.pending.append((fleet.ticks + delay_ticks, usages))
        self.pending.sort(key=lambda report: report[0])

    def deliver(self, name, usages):
        own = [usage.get(name, NO_USAGE) for usage in usages]
        total = [sum(values) for values in zip(*own, strict=True)]
        for limiter, usage in zip(self.fleet.limiters, own, strict=True):
            others = Usage(*(a - b for a, b in zip(total, usage, strict=True)))
            limiter.record_peer_usage(
                "others",
                PeerUsage(self.fleet.now, {name: others}, len(own) - 1, ms(1600)),
            )
