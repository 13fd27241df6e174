"""Distributed rate limiter of client accounts; no I/O.

An account has a rate and a burst for the whole fleet, counted over a sliding window.
Instances exchange reports of the operations they admitted in the last window and of
their demand. Each instance admits at a rate proportional to the headroom, the unused
part of the limit, and to its fraction of the total demand. Thus the fleet approaches
the limit without exceeding it although every report is a fraction of a second old. For
members without a recent report, their part of the limit stays reserved.
"""

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from math import exp
from random import Random

from bulrushloom.proxy.configuration import Account
from bulrushloom.proxy.limits.counters import MIN_BUCKET_TOKENS, AccountCounter
from bulrushloom.proxy.limits.headroom import Headroom
from bulrushloom.proxy.limits.reports import MemberCount, PeerReports, report_weight
from bulrushloom.proxy.limits.starting import HOT_ACCOUNT_SHARE, StartingLimits
from bulrushloom.proxy.limits.tolerance import tolerated_limit
from bulrushloom.proxy.limits.usage import OWN_KEY, PeerUsage, RateWindow, Usage

# Reports may be this old. The admission rate is the headroom divided by this time, so
# instances that decide on the same outdated report cannot use up the headroom.
HEADROOM_SPREAD_TIME = timedelta(milliseconds=1300)
# Minimum demand of an idle instance, as a fraction of the average demand.
IDLE_DEMAND_FRACTION = 0.05
# Time in which an instance's token bucket fills, unless its capacity is the minimum.
BUCKET_FILL_TIME = timedelta(milliseconds=200)
# Demand below which an instance gets too few requests for a bucket that is refilled by
# time: it would admit each of them with the token that it stored since the last one.
MAX_SPARSE_DEMAND_PER_S = 3.0
# Increase of the demand since the last report that may be reported at once. A single
# request raises the demand by 1.4.
MIN_RISE_PER_S = 2.0
# Time in which a report reaches all instances if it awaits its round.
ROUND_DELAY = timedelta(milliseconds=600)
# Part of the headroom that all instances may use up in ROUND_DELAY, if their demand
# rises like that of this instance, before it is reported at once.
RISK_FRACTION = 0.5
# Demand, as a multiple of the limit, from which the others know that they have to
# refuse. A further rise changes little.
KNOWN_OVERLOAD_FACTOR = 4.0
# Wait of a request while the increase of the demand is being reported.
RISE_WAIT = timedelta(milliseconds=20)
# Fraction of the operations that leave the window which is replaced. The rest makes up
# for clients that move, whose demand counts at two instances for a moment.
REPLACED_FRACTION = 0.9
_SECOND = timedelta(seconds=1)
_ZERO = timedelta()


class AccountLimiter:
    """Rate limiter of the client accounts on one instance.

    ``member_count`` is the number of instances among which the limits are divided;
    the owner keeps it up to date. ``on_demand_rise`` is called when the others should
    hear of a higher demand before the next round of reports.
    """

    def __init__(
        self, window: RateWindow, started_at: timedelta, random: Random | None = None
    ):
        self.window = window
        self._random = random if random is not None else Random(0)
        self._counter_by_account: dict[str, AccountCounter] = {}
        self._reports = PeerReports(started_at)
        self._start = StartingLimits(started_at)
        self._members = MemberCount()
        self.member_count = 1
        self.on_demand_rise: Callable[[], None] = lambda: None

    # State of the fleet

    def load_recorded_usage(
        self, recorded_usage_by_account: Mapping[str, float], is_outdated: bool = False
    ) -> None:
        """Load the usage that was recorded in the store before this process started.

        See ``StartingLimits.load``.
        """
        self._start.load(recorded_usage_by_account, is_outdated)

    def update_member_count(self, count: int, now: timedelta) -> None:
        """Record the present number of members; a lower one applies a window later."""
        self.member_count = self._members.update(count, now, self.window.length)

    def record_peer_usage(self, name: str, report: PeerUsage) -> None:
        """Store the report of another instance or the sum of another domain."""
        if self._reports.record(name, report):
            now = report.reported_at
            self._reports.update_reference(self._usage(now), self.member_count, now)

    def forget_old_reports(self, now: timedelta) -> None:
        """Remove reports whose operations have all left the window."""
        self._reports.forget_old(now, self.window.length)

    def own_usage(self, now: timedelta) -> dict[str, Usage]:
        """Return this instance's usage for a report to its peers."""
        for counter in self._counter_by_account.values():
            counter.decay_demand(now)
            counter.reported_demand_per_s = counter.demand_per_s
        return self._usage(now)

    def _usage(self, now: timedelta) -> dict[str, Usage]:
        """Return this instance's usage, without idle accounts."""
        usage_by_account = {}
        for name, counter in self._counter_by_account.items():
            counter.expire(now, self.window.length)
            counter.decay_demand(now)
            if counter.reserved or counter.demand_per_s > 0.01:
                usage_by_account[name] = Usage(
                    counter.reserved, counter.demand_per_s, counter.leaving_per_s
                )
        return usage_by_account

    # Figures for records and logs

    def hot_usage(
        self, accounts: Iterable[Account], horizon: timedelta, now: timedelta
    ) -> dict[str, float]:
        """Return the usage of hot accounts that may be reached within ``horizon``.

        Until this process has observed a whole window, what was recorded before its
        start still counts. The headroom shrinks by the admissions of one
        ``HEADROOM_SPREAD_TIME`` after the other, so its use is bounded.
        """
        used_fraction = 1.0 - exp(-(horizon / HEADROOM_SPREAD_TIME))
        hot = {}
        for account in accounts:
            limit = max(tolerated_limit(account, self.window), 1.0)
            used = self.admitted(account.name, now) + self._start.recorded(
                account.name, limit, now, self.window.length
            )
            if used > limit * HOT_ACCOUNT_SHARE:
                hot[account.name] = used + max(limit - used, 0.0) * used_fraction
        return hot

    def describe_refusal(self, account: Account, now: timedelta) -> str:
        """Return the reason for a refusal, with the figures, for the client."""
        counter = self._counter(account, now)
        demand_per_s = self._reported_demand(account.name, counter)
        return (
            f"account {account.name} is above its rate: "
            f"{self.admitted(account.name, now):.0f} of "
            f"{self._window_limit(account, now, demand_per_s):.0f} "
            f"operations in the window, "
            f"{self._reports.reachable_count(now)} of {self.member_count} "
            f"instances heard"
        )

    def admitted(self, name: str, now: timedelta) -> float:
        """Return the operations of an account that all instances admitted lately."""
        counter = self._counter_by_account.get(name)
        used = 0.0
        if counter is not None:
            counter.expire(now, self.window.length)
            used = counter.admitted
        for peer in self._reports.by_name.values():
            usage = peer.usage_by_account.get(name)
            if usage is not None and now - peer.reported_at < self.window.length:
                used += usage.admitted
        return used + self._reports.retained(name, now, self.window.length)

    # Admission

    def record_demand(self, account: Account, now: timedelta) -> None:
        """Count a requested operation, whether it is admitted or not."""
        counter = self._counter(account, now)
        counter.add_demand(now)
        if self._is_rise_unreported(account, counter, now):
            self.on_demand_rise()

    def try_admit(self, account: Account, now: timedelta) -> timedelta:
        """Admit one operation and return zero, or return the wait for a token."""
        counter = self._counter(account, now)
        headroom = self._refill(account, counter, now)
        if counter.tokens >= 1.0:
            counter.tokens -= 1.0
            counter.record_admission(now)
            return _ZERO
        admit_rate_per_s = headroom.admit_rate_per_s
        if admit_rate_per_s <= 0.0:
            return self.window.length / 5
        # A tiny headroom gives waits that no duration can hold.
        wait_s = (1.0 - counter.tokens) / admit_rate_per_s
        wait = _SECOND * min(wait_s, self.window.length / _SECOND)
        if self._is_rise_unreported(account, counter, now):
            wait = min(wait, RISE_WAIT)
        # A wait that rounds to zero must not look like an admission.
        return min(max(wait, timedelta.resolution), self.window.length)

    def _is_rise_unreported(
        self, account: Account, counter: AccountCounter, now: timedelta
    ) -> bool:
        """Return whether the others must hear of the demand before the next round.

        Answers an account whose demand rises to many times its usual at all instances
        at once. Until the reports arrive, each instance takes a part of the headroom
        that fits the demand of before, and all parts together exceed it.
        """
        rise = counter.demand_per_s - counter.reported_demand_per_s
        if rise < max(MIN_RISE_PER_S, counter.reported_demand_per_s):
            return False
        limit = tolerated_limit(account, self.window)
        window_s = self.window.length / _SECOND
        known_demand = self._reported_demand(account.name, counter)
        if known_demand * window_s >= limit * KNOWN_OVERLOAD_FACTOR:
            return False
        admitted_soon = rise * self.member_count * (ROUND_DELAY / _SECOND)
        headroom = limit - self.admitted(account.name, now)
        return admitted_soon >= headroom * RISK_FRACTION

    def _reported_demand(self, name: str, counter: AccountCounter) -> float:
        """Return the demand of all instances in their latest reports."""
        usages = (p.usage_by_account.get(name) for p in self._reports.by_name.values())
        others = sum(usage.demand_per_s for usage in usages if usage is not None)
        return others + counter.reported_demand_per_s

    def _counter(self, account: Account, now: timedelta) -> AccountCounter:
        counter = self._counter_by_account.get(account.name)
        if counter is None:
            counter = self._counter_by_account[account.name] = AccountCounter(now)
        return counter

    def _refill(
        self, account: Account, counter: AccountCounter, now: timedelta
    ) -> Headroom:
        """Refill the token bucket and return the headroom of the account."""
        counter.expire(now, self.window.length)
        counter.decay_demand(now)
        headroom = self._headroom(account, counter, now)
        if not counter.is_used:
            counter.is_used = True
            self._limit_first_use(account, counter, headroom, now)
        admit_rate_per_s = headroom.admit_rate_per_s
        elapsed = max(now - counter.refilled_at, _ZERO) / _SECOND
        counter.refilled_at = now
        is_sparse = (
            counter.demand_per_s < MAX_SPARSE_DEMAND_PER_S and self._reports.by_name
        )
        exceeds_headroom = self.member_count * MIN_BUCKET_TOKENS > headroom.operations
        if is_sparse and headroom.admit_fraction < 1.0 and exceeds_headroom:
            self._refill_by_demand(counter, headroom.admit_fraction)
            return headroom
        capacity = max(
            MIN_BUCKET_TOKENS, admit_rate_per_s * (BUCKET_FILL_TIME / _SECOND)
        )
        counter.tokens = min(capacity, counter.tokens + elapsed * admit_rate_per_s)
        counter.is_refilled_by_demand = False
        if is_sparse and headroom.admit_fraction >= 1.0:
            # The headroom serves all demand, so two requests at once are served too.
            counter.tokens = max(counter.tokens, MIN_BUCKET_TOKENS)
        if admit_rate_per_s <= 0.0:
            counter.tokens = 0.0
        counter.tokens = max(counter.tokens, headroom.starting_share)
        return headroom

    def _limit_first_use(
        self,
        account: Account,
        counter: AccountCounter,
        headroom: Headroom,
        now: timedelta,
    ) -> None:
        """Draw the first token if all instances together must not have one each."""
        limits = self._start.limits_first_use(account.name, now, self.window.length)
        if limits and not headroom.is_complete:
            # The expected sum over all instances is the sum of their parts.
            drawn = headroom.own_part + self._random.random()
            counter.tokens = min(drawn, MIN_BUCKET_TOKENS)

    def _refill_by_demand(self, counter: AccountCounter, admit_fraction: float) -> None:
        """Add the part of a token that each request of the fleet gets.

        Answers demand above the limit that is spread over many instances. Refilled by
        time, each of them has a whole token stored when the account exceeds its limit,
        and all of these together exceed the bound.
        The stored token is replaced by a random part of it, so that instances with a
        single request each admit the fraction as well.
        """
        if not counter.is_refilled_by_demand:
            counter.is_refilled_by_demand = True
            counter.tokens = min(counter.tokens, self._random.random())
        counter.tokens = min(MIN_BUCKET_TOKENS, counter.tokens + admit_fraction)

    def _headroom(
        self, account: Account, counter: AccountCounter, now: timedelta
    ) -> Headroom:
        """Calculate what this instance may admit from its own and its peers' usage.

        ``effective_count`` is the number of reachable instances, weighted by the age of
        their reports. While members are unreachable, the usage is also limited to the
        part of the limit that the reachable ones may use.
        """
        used = counter.reserved
        leaving_per_s = counter.leaving_per_s
        reachable_count = 1
        effective_count = 1.0
        others_demand = 0.0
        reachable_names = {OWN_KEY}
        unreachable = self._reports.retained(account.name, now, self.window.length)
        for name, peer in self._reports.by_name.items():
            age = now - peer.reported_at
            usage = peer.usage_by_account.get(account.name)
            if age <= peer.fresh_for:
                reachable_count += peer.instance_count
                effective_count += peer.instance_count * report_weight(
                    age, peer.fresh_for
                )
                reachable_names.add(name)
                others_demand += usage.demand_per_s if usage else 0.0
                used += usage.admitted if usage else 0.0
                leaving_per_s += usage.leaving_per_s if usage else 0.0
            elif usage is not None and age < self.window.length:
                # All of it may have been admitted just before the last report.
                unreachable += usage.admitted
        limit = self._window_limit(account, now, counter.demand_per_s + others_demand)
        fleet_size = max(self.member_count, reachable_count)
        # The factor reserves what others may have admitted since their last reports.
        headroom = (limit - used - unreachable) * effective_count / fleet_size
        if reachable_count < fleet_size:
            quota = self._reachable_quota(
                account, limit, reachable_count, reachable_names
            )
            headroom = min(headroom, quota - used)
        if headroom <= 0.0:
            return Headroom(0.0, 0.0, 0.0)
        fleet_rate_per_s = headroom / (HEADROOM_SPREAD_TIME / _SECOND)
        fleet_rate_per_s += leaving_per_s * REPLACED_FRACTION
        demand = counter.demand_per_s
        min_demand = IDLE_DEMAND_FRACTION * (demand + others_demand) / reachable_count
        demand = max(demand, min_demand, 0.01)
        demand_fraction = demand / (demand + others_demand)
        return Headroom(
            demand_fraction * fleet_rate_per_s,
            fleet_rate_per_s / (demand + others_demand),
            headroom,
            self._starting_share(account, headroom, reachable_count, now),
            headroom / reachable_count,
            reachable_count >= self.member_count,
        )

    def _starting_share(
        self, account: Account, headroom: float, reachable_count: int, now: timedelta
    ) -> float:
        """Return what this instance may admit at once because no other one uses it.

        Answers the loss of all instances: their clients reconnect within the same
        second, before the instances have heard of each other. Each instance then has
        its part of the limit for itself, and spreading it over time would refuse
        clients that are far below their rate. Accounts that were near their limit
        before the restart do not get it.
        """
        is_starting = not self._start.is_over(now, self.window.length)
        if not is_starting or reachable_count >= self.member_count:
            return 0.0
        if self._start.is_recorded(account.name):
            return 0.0
        own_part = self._window_limit(account, now) / self.member_count
        used = self._counter(account, now).reserved
        return max(0.0, min(own_part - used, headroom))

    def _reachable_quota(
        self,
        account: Account,
        limit: float,
        reachable_count: int,
        reachable_names: set[str],
    ) -> float:
        """Return the part of the limit that the reachable members may use.

        Each side of a network partition keeps what it had admitted when all members
        last reported, plus its part of what was unused then. Both sides calculate with
        the same snapshot.
        """
        reachable_admitted = unreachable_admitted = 0.0
        for name, usage_by_account in self._reports.reference.usage_by_peer.items():
            usage = usage_by_account.get(account.name)
            if usage is None:
                continue
            if name in reachable_names:
                reachable_admitted += usage.admitted
            else:
                unreachable_admitted += usage.admitted
        unused = max(0.0, limit - reachable_admitted - unreachable_admitted)
        return reachable_admitted + unused * reachable_count / self.member_count

    def _window_limit(
        self, account: Account, now: timedelta, demand_per_s: float = 0.0
    ) -> float:
        """Return how many operations all instances may admit in one window.

        ``demand_per_s`` is the demand of all instances. Until this process has observed
        a whole window, the limit is reduced by the usage that the store recorded before
        the start, or by an assumed usage.
        """
        limit = tolerated_limit(account, self.window, demand_per_s)
        return self._start.reduced(account.name, limit, now, self.window.length)
