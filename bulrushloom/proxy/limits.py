"""Rate and burst of each account over all instances; no I/O.

Instances tell each other how many operations they admitted in the last window and how
many they were asked for. Each admits at a speed in proportion to the room that is left
in the window and to its part of the demand, so the sum approaches the limit without
passing it even though every view is a fraction of a second old. Members that are not
heard keep their part of the limit reserved.
"""

from collections import deque
from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.proxy.configuration import Account

# Usage is counted in slots of this length.
SLOT = timedelta(milliseconds=100)
# A view of the others may be this old; admissions per second are the room divided by
# it, so one stale view cannot fill the room.
ROOM_SPREAD = timedelta(seconds=1)
# Demand is averaged over this time; a shift of callers is followed within it.
DEMAND_HALF_LIFE = timedelta(milliseconds=500)
# An instance without recent demand counts as this share of the average one.
IDLE_DEMAND_SHARE = 0.05
# Tokens that an instance may save up while it is idle.
MIN_SAVED_TOKENS = 1.0
SAVED_TIME = timedelta(milliseconds=200)
# Part of the excess and slack that covers views in flight and new members.
USED_EXCESS = 0.8
# A process that has just started knows nothing of what its predecessors admitted.
START_SHARE = 0.15
_SECOND = timedelta(seconds=1)
_ZERO = timedelta()


class Usage(NamedTuple):
    """Tell what one instance admitted in the last window and was asked for per s."""

    admitted: float
    demand_per_s: float


class PeerUsage(NamedTuple):
    """Hold the last report of one or more other instances.

    ``instances`` is how many of them the report sums up, ``fresh_for`` how long it
    speaks for what they are doing.
    """

    heard_at: timedelta
    usage_by_account: Mapping[str, Usage]
    instances: int
    fresh_for: timedelta


class RateWindow(NamedTuple):
    """Hold the span over which use is bounded, and what is allowed beyond."""

    length: timedelta
    excess: float
    slack: float


class _AccountState:
    """Count one account's operations at this instance."""

    def __init__(self, now: timedelta) -> None:
        self.admitted_by_slot: deque[tuple[timedelta, float]] = deque()
        self.admitted = 0.0
        self.demand_per_s = 0.0
        self.demand_at = now
        self.tokens = MIN_SAVED_TOKENS
        self.filled_at = now

    def expire(self, horizon: timedelta) -> None:
        while self.admitted_by_slot and self.admitted_by_slot[0][0] <= horizon:
            self.admitted -= self.admitted_by_slot.popleft()[1]

    def count(self, now: timedelta) -> None:
        slot = now - now % SLOT
        if self.admitted_by_slot and self.admitted_by_slot[-1][0] == slot:
            self.admitted_by_slot[-1] = (slot, self.admitted_by_slot[-1][1] + 1)
        else:
            self.admitted_by_slot.append((slot, 1.0))
        self.admitted += 1

    def decay_demand(self, now: timedelta) -> None:
        elapsed = max(now - self.demand_at, _ZERO)
        self.demand_per_s *= 0.5 ** (elapsed / DEMAND_HALF_LIFE)
        self.demand_at = now

    def ask(self, now: timedelta) -> None:
        self.decay_demand(now)
        # The weight makes a steady demand of n per second settle at n.
        self.demand_per_s += 0.693 / (DEMAND_HALF_LIFE / _SECOND)


class AccountLimiter:
    """Decide whether an operation of an account may run now."""

    def __init__(self, window: RateWindow, started_at: timedelta):
        self.window = window
        self._started_at = started_at
        self._state_by_account: dict[str, _AccountState] = {}
        self._peer_by_name: dict[str, PeerUsage] = {}
        self.member_count = 1

    def forget_old_reports(self, now: timedelta) -> None:
        """Drop reports whose operations have all left the window."""
        self._peer_by_name = {
            name: peer
            for name, peer in self._peer_by_name.items()
            if now - peer.heard_at < self.window.length
        }

    def hear(self, name: str, report: PeerUsage) -> None:
        """Take the report of another instance, or of another domain's instances."""
        known = self._peer_by_name.get(name)
        if known is None or known.heard_at <= report.heard_at:
            self._peer_by_name[name] = report

    def report(self, now: timedelta) -> dict[str, Usage]:
        """Return the usage of this instance for the others; idle accounts left out."""
        reports = {}
        for name, state in self._state_by_account.items():
            state.expire(now - self.window.length)
            state.decay_demand(now)
            if state.admitted or state.demand_per_s > 0.01:
                reports[name] = Usage(state.admitted, state.demand_per_s)
        return reports

    def ask(self, account: Account, now: timedelta) -> None:
        """Count an operation that a caller wants to run, admitted or not."""
        self._state(account, now).ask(now)

    def try_admit(self, account: Account, now: timedelta) -> timedelta:
        """Admit one operation and return zero, or return the time until a token."""
        state = self._state(account, now)
        speed = self._refill(account, state, now)
        if state.tokens >= 1.0:
            state.tokens -= 1.0
            state.count(now)
            return _ZERO
        if speed <= 0.0:
            return self.window.length / 5
        return min(_SECOND * ((1.0 - state.tokens) / speed), self.window.length)

    def _state(self, account: Account, now: timedelta) -> _AccountState:
        state = self._state_by_account.get(account.name)
        if state is None:
            state = self._state_by_account[account.name] = _AccountState(now)
        return state

    def _refill(self, account: Account, state: _AccountState, now: timedelta) -> float:
        """Fill the tokens of this instance and return its speed per second."""
        state.expire(now - self.window.length)
        state.decay_demand(now)
        speed = self._speed(account, state, now)
        elapsed = max(now - state.filled_at, _ZERO) / _SECOND
        state.filled_at = now
        most = max(MIN_SAVED_TOKENS, speed * (SAVED_TIME / _SECOND))
        state.tokens = min(most, state.tokens + elapsed * speed)
        if speed <= 0.0:
            state.tokens = 0.0
        return speed

    def _speed(self, account: Account, state: _AccountState, now: timedelta) -> float:
        used, demand = state.admitted, state.demand_per_s
        heard = 1
        others_demand = 0.0
        for peer in self._peer_by_name.values():
            age = now - peer.heard_at
            usage = peer.usage_by_account.get(account.name)
            if age <= peer.fresh_for:
                heard += peer.instances
                others_demand += usage.demand_per_s if usage else 0.0
                used += usage.admitted if usage else 0.0
            elif usage is not None and age < self.window.length:
                used += usage.admitted * (1.0 - age / self.window.length)
        members = max(self.member_count, heard)
        room = self._limit(account, now) * heard / members - used
        if room <= 0.0:
            return 0.0
        least = IDLE_DEMAND_SHARE * (demand + others_demand) / heard
        demand = max(demand, least, 0.01)
        share = demand / (demand + others_demand)
        return share * room / (ROOM_SPREAD / _SECOND)

    def _limit(self, account: Account, now: timedelta) -> float:
        """Return how many operations all instances may admit in one window."""
        window_s = self.window.length / _SECOND
        owed = account.rate_per_s * window_s + account.burst
        limit = owed * (1 + self.window.excess * USED_EXCESS)
        limit += self.window.slack * USED_EXCESS
        known = min(1.0, max(now - self._started_at, _ZERO) / self.window.length)
        return limit * (START_SHARE + (1 - START_SHARE) * known)
