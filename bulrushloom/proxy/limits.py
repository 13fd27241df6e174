"""Distributed rate limiter of client accounts; no I/O.

An account has a rate and a burst for the whole fleet, counted over a sliding window.
Instances exchange reports of the operations they admitted in the last window and of
their demand. Each instance admits at a rate proportional to the headroom, the unused
part of the limit, and to its fraction of the total demand. Thus the fleet approaches
the limit without exceeding it although every report is a fraction of a second old. For
members without a recent report, their part of the limit stays reserved.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from datetime import timedelta
from math import exp
from random import Random
from typing import NamedTuple

from bulrushloom.proxy.configuration import Account

# Admissions are counted per slot of this length, the resolution of the sliding window.
SLOT_LENGTH = timedelta(milliseconds=100)
# Reports may be this old. The admission rate is the headroom divided by this time, so
# instances that decide on the same outdated report cannot use up the headroom.
HEADROOM_SPREAD_TIME = timedelta(milliseconds=1300)
# Fraction of a report's validity during which it has full weight: two report intervals.
FULL_WEIGHT_FRACTION = 0.35
# A partitioned member is detected within this time, so an older snapshot dates from
# before the partition.
MIN_REFERENCE_AGE = timedelta(milliseconds=1500)
# Half-life of the moving average of demand; load that moves between instances is
# followed within this time.
DEMAND_HALF_LIFE = timedelta(milliseconds=500)
# Minimum demand of an idle instance, as a fraction of the average demand.
IDLE_DEMAND_FRACTION = 0.05
# Capacity of an instance's token bucket: what it refills in BUCKET_FILL_TIME, but at
# least MIN_BUCKET_TOKENS.
MIN_BUCKET_TOKENS = 1.0
BUCKET_FILL_TIME = timedelta(milliseconds=200)
# Demand below which an instance gets too few requests for a bucket that is refilled by
# time: it would admit each of them with the token that it stored since the last one.
MAX_SPARSE_DEMAND_PER_S = 3.0
# Operations that have left the window stay reserved for this time, in which the fleet
# admits others in their place. That does not raise the total, however old the reports
# of the instances are.
REPLACEMENT_PERIOD = timedelta(milliseconds=300)
# Fraction of the operations that leave the window which is replaced. The rest makes up
# for clients that move, whose demand counts at two instances for a moment.
REPLACED_FRACTION = 0.9
# Fraction of the permitted excess and slack that is added to the limit; the rest covers
# reports in flight and new members.
TOLERANCE_FRACTION = 0.8
# Accounts above this fraction of their limit are recorded in the store for instances
# that restart. For an account without a record a restarted instance assumes this usage.
HOT_ACCOUNT_SHARE = 0.6
# Fraction of the limit available right after a restart, whatever usage is recorded.
MIN_START_FRACTION = 0.1
# Key of the instance's own usage in ``UsageSnapshot``; peers have other keys.
OWN_KEY = ""
_SECOND = timedelta(seconds=1)
_ZERO = timedelta()


class Usage(NamedTuple):
    """Operations that an instance admitted in the last window, and its demand.

    ``admitted`` includes those that have just left the window and are about to be
    replaced, ``leaving_per_s`` is the rate at which they left it.
    """

    admitted: float
    demand_per_s: float
    leaving_per_s: float = 0.0


NO_USAGE = Usage(0.0, 0.0)


def add_usage(first: Usage, second: Usage) -> Usage:
    """Return the usage of two groups of instances together."""
    return Usage(*(a + b for a, b in zip(first, second, strict=True)))


class PeerUsage(NamedTuple):
    """Last usage report of one instance, or the sum of several.

    ``instance_count`` is the number of instances that the report covers. It represents
    their current usage for ``fresh_for`` after ``reported_at``. ``source`` identifies
    the process that calculated it: another one may not know what was admitted before.
    """

    reported_at: timedelta
    usage_by_account: Mapping[str, Usage]
    instance_count: int
    fresh_for: timedelta
    source: str = ""


class RateWindow(NamedTuple):
    """Length of the sliding window and the permitted overrun of a limit in it.

    ``excess`` is a fraction of the limit, ``slack`` a number of operations.
    """

    length: timedelta
    excess: float
    slack: float


class _Headroom(NamedTuple):
    """What an instance may admit of an account's operations, given the headroom.

    ``admit_rate_per_s`` is the refill rate of the token bucket, ``admit_fraction`` the
    part of the fleet's demand that the headroom can serve, ``operations`` the headroom
    itself, ``starting_share`` the part of it that no other instance uses while this one
    starts.
    """

    admit_rate_per_s: float
    admit_fraction: float
    operations: float
    starting_share: float = 0.0


class UsageSnapshot(NamedTuple):
    """Usage of all instances at one moment, by peer and account."""

    taken_at: timedelta
    usage_by_peer: Mapping[str, Mapping[str, Usage]]


def _report_weight(age: timedelta, fresh_for: timedelta) -> float:
    """Return the weight of a report, falling from 1 to 0 as it becomes outdated."""
    full_weight_for = fresh_for * FULL_WEIGHT_FRACTION
    return min(1.0, max(0.0, (fresh_for - age) / (fresh_for - full_weight_for)))


class _AccountState:
    """Sliding-window counter, demand and token bucket of one account.

    ``admitted_by_slot`` holds pairs of a slot's start and its admitted operations,
    ``left_by_slot`` the same of slots that left the window in ``REPLACEMENT_PERIOD``.
    """

    def __init__(self, now: timedelta) -> None:
        self.admitted_by_slot: deque[tuple[timedelta, float]] = deque()
        self.admitted = 0.0
        self.left_by_slot: deque[tuple[timedelta, float]] = deque()
        self.left = 0.0
        self.demand_per_s = 0.0
        self.demand_updated_at = now
        self.tokens = MIN_BUCKET_TOKENS
        self.refilled_at = now
        self.is_refilled_by_demand = False

    @property
    def reserved(self) -> float:
        """Return the admitted operations plus those that are about to be replaced."""
        return self.admitted + self.left

    @property
    def leaving_per_s(self) -> float:
        """Return the rate at which operations have left the window lately."""
        return self.left / (REPLACEMENT_PERIOD / _SECOND)

    def expire(self, now: timedelta, window: timedelta) -> None:
        """Remove operations that have left the window."""
        while self.admitted_by_slot and self.admitted_by_slot[0][0] <= now - window:
            slot, count = self.admitted_by_slot.popleft()
            self.admitted -= count
            self.left += count
            self.left_by_slot.append((slot, count))
        horizon = now - window - REPLACEMENT_PERIOD
        while self.left_by_slot and self.left_by_slot[0][0] <= horizon:
            self.left -= self.left_by_slot.popleft()[1]

    def record_admission(self, now: timedelta) -> None:
        slot = now - now % SLOT_LENGTH
        if self.admitted_by_slot and self.admitted_by_slot[-1][0] == slot:
            self.admitted_by_slot[-1] = (slot, self.admitted_by_slot[-1][1] + 1)
        else:
            self.admitted_by_slot.append((slot, 1.0))
        self.admitted += 1

    def decay_demand(self, now: timedelta) -> None:
        elapsed = max(now - self.demand_updated_at, _ZERO)
        self.demand_per_s *= 0.5 ** (elapsed / DEMAND_HALF_LIFE)
        self.demand_updated_at = now

    def add_demand(self, now: timedelta) -> None:
        self.decay_demand(now)
        # With a weight of ln 2, a steady demand of n per second converges to n.
        self.demand_per_s += 0.693 / (DEMAND_HALF_LIFE / _SECOND)


class AccountLimiter:
    """Rate limiter of the client accounts on one instance.

    ``member_count`` is the number of instances among which the limits are divided;
    the owner keeps it up to date.
    """

    def __init__(
        self, window: RateWindow, started_at: timedelta, random: Random | None = None
    ):
        self.window = window
        self._random = random if random is not None else Random(0)
        self._started_at = started_at
        self._state_by_account: dict[str, _AccountState] = {}
        self._peer_by_name: dict[str, PeerUsage] = {}
        self._retained_by_source: dict[tuple[str, str], PeerUsage] = {}
        # Usage at a time at which all members reported, and a newer candidate for it.
        # The candidate replaces the reference if all members still report
        # MIN_REFERENCE_AGE after the candidate was taken.
        self._reference = UsageSnapshot(started_at, {})
        self._next_reference = UsageSnapshot(started_at, {})
        self.member_count = 1
        self._recorded_usage_by_account: dict[str, float] = {}
        self._is_record_outdated = False

    def load_recorded_usage(
        self, recorded_usage_by_account: Mapping[str, float], is_outdated: bool = False
    ) -> None:
        """Load the usage that was recorded in the store before this process started.

        The record ``is_outdated`` if the store returned from a copy. Each account may
        then have used its whole limit.
        """
        self._recorded_usage_by_account = dict(recorded_usage_by_account)
        self._is_record_outdated = is_outdated

    def hot_usage(
        self, accounts: Iterable[Account], horizon: timedelta, now: timedelta
    ) -> dict[str, float]:
        """Return the usage of hot accounts that may be reached within ``horizon``.

        Until this process has observed a whole window, what was recorded before its
        start still counts in part. The headroom shrinks by the admissions of one
        ``HEADROOM_SPREAD_TIME`` after the other, so its use is bounded.
        """
        used_fraction = 1.0 - exp(-(horizon / HEADROOM_SPREAD_TIME))
        recorded_fraction = 1.0 - self._observed_fraction(now)
        hot = {}
        for account in accounts:
            recorded = self._recorded_usage(account, 0.0)
            used = self.admitted(account.name, now) + recorded * recorded_fraction
            limit = max(self._full_limit(account), 1.0)
            if used > limit * HOT_ACCOUNT_SHARE:
                hot[account.name] = used + max(limit - used, 0.0) * used_fraction
        return hot

    def describe_refusal(self, account: Account, now: timedelta) -> str:
        """Return the reason for a refusal, with the figures, for the client."""
        reachable_count = sum(
            peer.instance_count
            for peer in self._peer_by_name.values()
            if now - peer.reported_at <= peer.fresh_for
        )
        return (
            f"account {account.name} is above its rate: "
            f"{self.admitted(account.name, now):.0f} of "
            f"{self._window_limit(account, now):.0f} operations in the window, "
            f"{reachable_count + 1} of {self.member_count} instances heard"
        )

    def admitted(self, name: str, now: timedelta) -> float:
        """Return the operations of an account that all instances admitted lately."""
        state = self._state_by_account.get(name)
        used = 0.0
        if state is not None:
            state.expire(now, self.window.length)
            used = state.admitted
        for peer in self._peer_by_name.values():
            usage = peer.usage_by_account.get(name)
            if usage is not None and now - peer.reported_at < self.window.length:
                used += usage.admitted
        return used + self._retained(name, now)

    def forget_old_reports(self, now: timedelta) -> None:
        """Remove reports whose operations have all left the window."""
        self._peer_by_name = {
            name: peer
            for name, peer in self._peer_by_name.items()
            if now - peer.reported_at < self.window.length
        }
        self._retained_by_source = {
            key: peer
            for key, peer in self._retained_by_source.items()
            if now - peer.reported_at < self.window.length
        }

    def record_peer_usage(self, name: str, report: PeerUsage) -> None:
        """Store the report of another instance or the sum of another domain."""
        previous = self._peer_by_name.get(name)
        if previous is None or previous.reported_at <= report.reported_at:
            if previous is not None and previous.source != report.source:
                self._retain(name, previous, report)
            self._peer_by_name[name] = report
            self._update_reference(report.reported_at)

    def _retain(self, name: str, previous: PeerUsage, report: PeerUsage) -> None:
        """Keep what a new source does not know of the usage that the old one reported.

        An instance that has restarted, or replaced a relay that was killed, has not
        observed the whole window. The operations that its report lacks still count.
        """
        self._retained_by_source.pop((name, report.source), None)
        lacking = {}
        for account, usage in previous.usage_by_account.items():
            known = report.usage_by_account.get(account)
            missing = usage.admitted - (known.admitted if known else 0.0)
            if missing > 0.0:
                lacking[account] = Usage(missing, 0.0)
        if lacking:
            self._retained_by_source[name, previous.source] = previous._replace(
                usage_by_account=lacking
            )

    def _retained(self, account: str, now: timedelta) -> float:
        """Return the retained operations that are still in the window."""
        total = 0.0
        for peer in self._retained_by_source.values():
            usage = peer.usage_by_account.get(account)
            if usage is not None and now - peer.reported_at < self.window.length:
                total += usage.admitted
        return total

    def _update_reference(self, now: timedelta) -> None:
        """Renew the reference while all members report; otherwise keep it unchanged."""
        reachable_count = 1 + sum(
            peer.instance_count
            for peer in self._peer_by_name.values()
            if now - peer.reported_at <= peer.fresh_for
        )
        if reachable_count < self.member_count:
            self._next_reference = self._reference
        elif now - self._next_reference.taken_at >= MIN_REFERENCE_AGE:
            self._reference = self._next_reference
            usage_by_peer = {
                name: peer.usage_by_account for name, peer in self._peer_by_name.items()
            }
            usage_by_peer[OWN_KEY] = self.own_usage(now)
            self._next_reference = UsageSnapshot(now, usage_by_peer)

    def own_usage(self, now: timedelta) -> dict[str, Usage]:
        """Return this instance's usage for its peers, without idle accounts."""
        usage_by_account = {}
        for name, state in self._state_by_account.items():
            state.expire(now, self.window.length)
            state.decay_demand(now)
            if state.reserved or state.demand_per_s > 0.01:
                usage_by_account[name] = Usage(
                    state.reserved, state.demand_per_s, state.leaving_per_s
                )
        return usage_by_account

    def record_demand(self, account: Account, now: timedelta) -> None:
        """Count a requested operation, whether it is admitted or not."""
        self._state(account, now).add_demand(now)

    def try_admit(self, account: Account, now: timedelta) -> timedelta:
        """Admit one operation and return zero, or return the wait for a token."""
        state = self._state(account, now)
        headroom = self._refill(account, state, now)
        if state.tokens >= 1.0:
            state.tokens -= 1.0
            state.record_admission(now)
            return _ZERO
        admit_rate_per_s = headroom.admit_rate_per_s
        if admit_rate_per_s <= 0.0:
            return self.window.length / 5
        wait = _SECOND * ((1.0 - state.tokens) / admit_rate_per_s)
        # A wait that rounds to zero must not look like an admission.
        return min(max(wait, timedelta.resolution), self.window.length)

    def _state(self, account: Account, now: timedelta) -> _AccountState:
        state = self._state_by_account.get(account.name)
        if state is None:
            state = self._state_by_account[account.name] = _AccountState(now)
        return state

    def _refill(
        self, account: Account, state: _AccountState, now: timedelta
    ) -> _Headroom:
        """Refill the token bucket and return the headroom of the account."""
        state.expire(now, self.window.length)
        state.decay_demand(now)
        headroom = self._headroom(account, state, now)
        admit_rate_per_s = headroom.admit_rate_per_s
        elapsed = max(now - state.refilled_at, _ZERO) / _SECOND
        state.refilled_at = now
        is_sparse = state.demand_per_s < MAX_SPARSE_DEMAND_PER_S and self._peer_by_name
        exceeds_headroom = self.member_count * MIN_BUCKET_TOKENS > headroom.operations
        if is_sparse and headroom.admit_fraction < 1.0 and exceeds_headroom:
            self._refill_by_demand(state, headroom.admit_fraction)
            return headroom
        capacity = max(
            MIN_BUCKET_TOKENS, admit_rate_per_s * (BUCKET_FILL_TIME / _SECOND)
        )
        state.tokens = min(capacity, state.tokens + elapsed * admit_rate_per_s)
        state.is_refilled_by_demand = False
        if is_sparse and headroom.admit_fraction >= 1.0:
            # The headroom serves all demand, so two requests at once are served too.
            state.tokens = max(state.tokens, MIN_BUCKET_TOKENS)
        if admit_rate_per_s <= 0.0:
            state.tokens = 0.0
        state.tokens = max(state.tokens, headroom.starting_share)
        return headroom

    def _refill_by_demand(self, state: _AccountState, admit_fraction: float) -> None:
        """Add the part of a token that each request of the fleet gets.

        Answers demand above the limit that is spread over many instances. Refilled by
        time, each of them has a whole token stored when the account exceeds its limit,
        and all of these together exceed the bound.
        The stored token is replaced by a random part of it, so that instances with a
        single request each admit the fraction as well.
        """
        if not state.is_refilled_by_demand:
            state.is_refilled_by_demand = True
            state.tokens = min(state.tokens, self._random.random())
        state.tokens = min(MIN_BUCKET_TOKENS, state.tokens + admit_fraction)

    def _headroom(
        self, account: Account, state: _AccountState, now: timedelta
    ) -> _Headroom:
        """Calculate what this instance may admit from its own and its peers' usage.

        ``effective_count`` is the number of reachable instances, weighted by the age of
        their reports. While members are unreachable, the usage is also limited to the
        part of the limit that the reachable ones may use.
        """
        used, demand = state.reserved, state.demand_per_s
        leaving_per_s = state.leaving_per_s
        reachable_count = 1
        effective_count = 1.0
        others_demand = 0.0
        reachable_names = {OWN_KEY}
        unreachable = self._retained(account.name, now)
        for name, peer in self._peer_by_name.items():
            age = now - peer.reported_at
            usage = peer.usage_by_account.get(account.name)
            if age <= peer.fresh_for:
                reachable_count += peer.instance_count
                effective_count += peer.instance_count * _report_weight(
                    age, peer.fresh_for
                )
                reachable_names.add(name)
                others_demand += usage.demand_per_s if usage else 0.0
                used += usage.admitted if usage else 0.0
                leaving_per_s += usage.leaving_per_s if usage else 0.0
            elif usage is not None and age < self.window.length:
                # All of it may have been admitted just before the last report.
                unreachable += usage.admitted
        limit = self._window_limit(account, now)
        fleet_size = max(self.member_count, reachable_count)
        # The factor reserves what others may have admitted since their last reports.
        headroom = (limit - used - unreachable) * effective_count / fleet_size
        if reachable_count < fleet_size:
            quota = self._reachable_quota(
                account, limit, reachable_count, reachable_names
            )
            headroom = min(headroom, quota - used)
        if headroom <= 0.0:
            return _Headroom(0.0, 0.0, 0.0)
        min_demand = IDLE_DEMAND_FRACTION * (demand + others_demand) / reachable_count
        demand = max(demand, min_demand, 0.01)
        demand_fraction = demand / (demand + others_demand)
        fleet_rate_per_s = headroom / (HEADROOM_SPREAD_TIME / _SECOND)
        fleet_rate_per_s += leaving_per_s * REPLACED_FRACTION
        return _Headroom(
            demand_fraction * fleet_rate_per_s,
            fleet_rate_per_s / (demand + others_demand),
            headroom,
            self._starting_share(account, headroom, reachable_count, now),
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
        is_starting = self._observed_fraction(now) < 1.0
        if not is_starting or reachable_count >= self.member_count:
            return 0.0
        if account.name in self._recorded_usage_by_account or self._is_record_outdated:
            return 0.0
        own_part = self._window_limit(account, now) / self.member_count
        used = self._state(account, now).reserved
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
        for name, usage_by_account in self._reference.usage_by_peer.items():
            usage = usage_by_account.get(account.name)
            if usage is None:
                continue
            if name in reachable_names:
                reachable_admitted += usage.admitted
            else:
                unreachable_admitted += usage.admitted
        unused = max(0.0, limit - reachable_admitted - unreachable_admitted)
        return reachable_admitted + unused * reachable_count / self.member_count

    def _window_limit(self, account: Account, now: timedelta) -> float:
        """Return how many operations all instances may admit in one window.

        Until this process has observed a whole window, the limit is reduced by the
        usage that the store recorded before the start, or by an assumed usage.
        """
        limit = self._full_limit(account)
        recorded = self._recorded_usage(account, limit * HOT_ACCOUNT_SHARE)
        start = max(limit - recorded, limit * MIN_START_FRACTION)
        return start + (limit - start) * self._observed_fraction(now)

    def _recorded_usage(self, account: Account, assumed: float) -> float:
        """Return the recorded usage, or what is assumed for an unrecorded account."""
        if self._is_record_outdated:
            return self._full_limit(account)
        return self._recorded_usage_by_account.get(account.name, assumed)

    def _full_limit(self, account: Account) -> float:
        """Return the limit of a window that this process has observed as a whole."""
        window_s = self.window.length / _SECOND
        nominal = account.rate_per_s * window_s + account.burst
        limit = nominal * (1 + self.window.excess * TOLERANCE_FRACTION)
        return limit + self.window.slack * TOLERANCE_FRACTION

    def _observed_fraction(self, now: timedelta) -> float:
        """Return the fraction of the current window that this process has observed."""
        observed = max(now - self._started_at, _ZERO)
        return min(1.0, observed / self.window.length)
