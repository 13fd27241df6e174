"""Rate and burst of each account over all instances; no I/O.

Instances tell each other how many operations they admitted in the last window and how
many they were asked for. Each admits at a speed in proportion to the room that is left
in the window and to its part of the demand, so the sum approaches the limit without
passing it even though every view is a fraction of a second old. Members that are not
heard keep their part of the limit reserved.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.proxy.configuration import Account

# Usage is counted in slots of this length.
SLOT = timedelta(milliseconds=100)
# A view of the others may be this old; admissions per second are the room divided by
# it, so one stale view cannot fill the room.
ROOM_SPREAD = timedelta(milliseconds=1300)
# Part of a report's life in which it is as good as new: two intervals between reports.
SURE_SHARE = 0.35
# A member that is cut off is noticed within this time.
REFERENCE_AGE = timedelta(milliseconds=1500)
# Demand is averaged over this time; a shift of callers is followed within it.
DEMAND_HALF_LIFE = timedelta(milliseconds=500)
# An instance without recent demand counts as this share of the average one.
IDLE_DEMAND_SHARE = 0.05
# Tokens that an instance may save up while it is idle.
MIN_SAVED_TOKENS = 1.0
SAVED_TIME = timedelta(milliseconds=200)
# Operations that leave the window may be replaced for this long at the instance that
# admitted them; the sum does not grow by that, however old the views of others are.
REUSE_TIME = timedelta(milliseconds=300)
# Part of the limit that stays free of replacements, for views that are in flight and
# for callers that move to other instances.
REUSE_RESERVE = 0.05
# Part of the excess and slack that covers views in flight and new members.
USED_EXCESS = 0.8
# Use above this share of the limit is noted in the store for instances that restart;
# one that finds no note assumes that this much was used just before.
HOT_ACCOUNT_SHARE = 0.6
# What a restarted instance may use at least, whatever the note says.
MIN_START_SHARE = 0.1
# The name under which an instance keeps its own usage among the others'.
OWN = ""
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

    reported_at: timedelta
    usage_by_account: Mapping[str, Usage]
    instances: int
    fresh_for: timedelta


class RateWindow(NamedTuple):
    """Hold the span over which use is bounded, and what is allowed beyond."""

    length: timedelta
    excess: float
    slack: float


class _Room(NamedTuple):
    """Tell how fast an instance may fill the window.

    ``speed`` is in operations per second; ``is_reusable`` tells whether what leaves
    the window may be replaced at once besides.
    """

    speed: float
    is_reusable: bool


class Reference(NamedTuple):
    """Hold what each instance had admitted at one moment."""

    taken_at: timedelta
    usage_by_peer: Mapping[str, Mapping[str, Usage]]


def _certainty(age: timedelta, fresh_for: timedelta) -> float:
    """Return how far a report still tells what its sender is doing, from 0 to 1."""
    sure_for = fresh_for * SURE_SHARE
    return min(1.0, max(0.0, (fresh_for - age) / (fresh_for - sure_for)))


class _AccountState:
    """Count one account's operations at this instance."""

    def __init__(self, now: timedelta) -> None:
        self.admitted_by_slot: deque[tuple[timedelta, float]] = deque()
        self.admitted = 0.0
        self.demand_per_s = 0.0
        self.demand_at = now
        self.tokens = MIN_SAVED_TOKENS
        self.filled_at = now
        self.reusable_by_end: deque[tuple[timedelta, float]] = deque()
        self.reusable = 0.0

    @property
    def claimed(self) -> float:
        """Return what was admitted and what may still be replaced.

        The others must not take what this instance is about to replace.
        """
        return self.admitted + self.reusable

    def expire(self, now: timedelta, window: timedelta) -> None:
        """Drop what has left the window; it may be replaced for a short time."""
        while self.admitted_by_slot and self.admitted_by_slot[0][0] <= now - window:
            slot, left = self.admitted_by_slot.popleft()
            self.admitted -= left
            self.reusable += left
            self.reusable_by_end.append((slot + window + REUSE_TIME, left))
        while self.reusable_by_end and self.reusable_by_end[0][0] <= now:
            self.reusable -= self.reusable_by_end.popleft()[1]

    def reuse(self) -> bool:
        """Replace one operation that has left the window, if there is one."""
        while self.reusable_by_end and self.reusable_by_end[0][1] < 1.0:
            self.reusable -= self.reusable_by_end.popleft()[1]
        if not self.reusable_by_end:
            return False
        end, left = self.reusable_by_end[0]
        self.reusable_by_end[0] = (end, left - 1.0)
        self.reusable -= 1.0
        return True

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
        # What everybody had admitted when all members were heard, and a newer one
        # that counts once all members are still heard some time later.
        self._reference = Reference(started_at, {})
        self._next_reference = Reference(started_at, {})
        self.member_count = 1
        self._noted_by_account: dict[str, float] = {}

    def start_from(self, noted_by_account: Mapping[str, float]) -> None:
        """Take what was noted of the window before this process started."""
        self._noted_by_account = dict(noted_by_account)

    def used_shares(
        self, accounts: Iterable[Account], now: timedelta
    ) -> dict[str, tuple[float, float]]:
        """Return by account what was admitted, and its share of the limit."""
        shares = {}
        for account in accounts:
            used = self._admitted(account.name, now)
            if used:
                shares[account.name] = used, used / max(self._limit(account, now), 1.0)
        return shares

    def describe(self, account: Account, now: timedelta) -> str:
        """Return why an operation of the account is refused, with the figures."""
        heard = sum(
            peer.instances
            for peer in self._peer_by_name.values()
            if now - peer.reported_at <= peer.fresh_for
        )
        return (
            f"account {account.name} is above its rate: "
            f"{self._admitted(account.name, now):.0f} of "
            f"{self._limit(account, now):.0f} operations in the window, "
            f"{heard + 1} of {self.member_count} instances heard"
        )

    def _admitted(self, name: str, now: timedelta) -> float:
        state = self._state_by_account.get(name)
        used = 0.0
        if state is not None:
            state.expire(now, self.window.length)
            used = state.admitted
        for peer in self._peer_by_name.values():
            usage = peer.usage_by_account.get(name)
            if usage is not None and now - peer.reported_at < self.window.length:
                used += usage.admitted
        return used

    def forget_old_reports(self, now: timedelta) -> None:
        """Drop reports whose operations have all left the window."""
        self._peer_by_name = {
            name: peer
            for name, peer in self._peer_by_name.items()
            if now - peer.reported_at < self.window.length
        }

    def record_peer_usage(self, name: str, report: PeerUsage) -> None:
        """Take the report of another instance, or of another domain's instances."""
        known = self._peer_by_name.get(name)
        if known is None or known.reported_at <= report.reported_at:
            self._peer_by_name[name] = report
            self._remember_reference(report.reported_at)

    def _remember_reference(self, now: timedelta) -> None:
        heard = 1 + sum(
            peer.instances
            for peer in self._peer_by_name.values()
            if now - peer.reported_at <= peer.fresh_for
        )
        if heard < self.member_count:
            self._next_reference = self._reference
        elif now - self._next_reference.taken_at >= REFERENCE_AGE:
            self._reference = self._next_reference
            usage_by_peer = {
                name: peer.usage_by_account for name, peer in self._peer_by_name.items()
            }
            usage_by_peer[OWN] = self.report(now)
            self._next_reference = Reference(now, usage_by_peer)

    def report(self, now: timedelta) -> dict[str, Usage]:
        """Return the usage of this instance for the others; idle accounts left out."""
        reports = {}
        for name, state in self._state_by_account.items():
            state.expire(now, self.window.length)
            state.decay_demand(now)
            if state.claimed or state.demand_per_s > 0.01:
                reports[name] = Usage(state.claimed, state.demand_per_s)
        return reports

    def record_demand(self, account: Account, now: timedelta) -> None:
        """Count an operation that a caller wants to run, admitted or not."""
        self._state(account, now).ask(now)

    def try_admit(self, account: Account, now: timedelta) -> timedelta:
        """Admit one operation and return zero, or return the time until a token."""
        state = self._state(account, now)
        room = self._refill(account, state, now)
        if room.is_reusable and state.reuse():
            state.count(now)
            return _ZERO
        if state.tokens >= 1.0:
            state.tokens -= 1.0
            state.count(now)
            return _ZERO
        speed = room.speed
        if speed <= 0.0:
            return self.window.length / 5
        return min(_SECOND * ((1.0 - state.tokens) / speed), self.window.length)

    def _state(self, account: Account, now: timedelta) -> _AccountState:
        state = self._state_by_account.get(account.name)
        if state is None:
            state = self._state_by_account[account.name] = _AccountState(now)
        return state

    def _refill(self, account: Account, state: _AccountState, now: timedelta) -> _Room:
        """Fill the tokens of this instance and return the room of the account."""
        state.expire(now, self.window.length)
        state.decay_demand(now)
        room = self._room(account, state, now)
        speed = room.speed
        elapsed = max(now - state.filled_at, _ZERO) / _SECOND
        state.filled_at = now
        most = max(MIN_SAVED_TOKENS, speed * (SAVED_TIME / _SECOND))
        state.tokens = min(most, state.tokens + elapsed * speed)
        if speed <= 0.0:
            state.tokens = 0.0
        return room

    def _room(self, account: Account, state: _AccountState, now: timedelta) -> _Room:
        used, demand = state.claimed, state.demand_per_s
        heard = 1
        known = 1.0
        others_demand = 0.0
        heard_names = {OWN}
        silent = 0.0
        for name, peer in self._peer_by_name.items():
            age = now - peer.reported_at
            usage = peer.usage_by_account.get(account.name)
            if age <= peer.fresh_for:
                heard += peer.instances
                known += peer.instances * _certainty(age, peer.fresh_for)
                heard_names.add(name)
                others_demand += usage.demand_per_s if usage else 0.0
                used += usage.admitted if usage else 0.0
            elif usage is not None and age < self.window.length:
                # All of it may be of the sender's last moments.
                silent += usage.admitted
        limit = self._limit(account, now)
        members = max(self.member_count, heard)
        # What the others may have admitted since their reports is left to them.
        allowed = limit * known / members
        room = (limit - used - silent) * known / members
        if heard < members:
            part = self._part(account, limit, heard, heard_names)
            room = min(room, part - used)
        if room <= 0.0:
            return _Room(0.0, False)
        least = IDLE_DEMAND_SHARE * (demand + others_demand) / heard
        demand = max(demand, least, 0.01)
        share = demand / (demand + others_demand)
        speed = share * room / (ROOM_SPREAD / _SECOND)
        return _Room(speed, room >= allowed * REUSE_RESERVE)

    def unreachable_usage(
        self, names: Iterable[str], now: timedelta
    ) -> dict[str, float]:
        """Return by account what silent instances have admitted in the window.

        ``names`` are those whose reports are counted elsewhere.
        """
        counted = set(names)
        found: dict[str, float] = {}
        for name, peer in self._peer_by_name.items():
            if name in counted or now - peer.reported_at >= self.window.length:
                continue
            for account, usage in peer.usage_by_account.items():
                found[account] = found.get(account, 0.0) + usage.admitted
        return found

    def _part(
        self, account: Account, limit: float, heard: int, heard_names: set[str]
    ) -> float:
        """Return how much of the limit the heard members may use.

        Each side of a cut keeps what it had when all members were heard, and its part
        of what was left then. Both sides reckon with the same figures.
        """
        mine = others = 0.0
        for name, usage_by_account in self._reference.usage_by_peer.items():
            usage = usage_by_account.get(account.name)
            if usage is None:
                continue
            if name in heard_names:
                mine += usage.admitted
            else:
                others += usage.admitted
        left = max(0.0, limit - mine - others)
        return mine + left * heard / self.member_count

    def _limit(self, account: Account, now: timedelta) -> float:
        """Return how many operations all instances may admit in one window."""
        window_s = self.window.length / _SECOND
        owed = account.rate_per_s * window_s + account.burst
        limit = owed * (1 + self.window.excess * USED_EXCESS)
        limit += self.window.slack * USED_EXCESS
        known = min(1.0, max(now - self._started_at, _ZERO) / self.window.length)
        noted = self._noted_by_account.get(account.name, limit * HOT_ACCOUNT_SHARE)
        start = max(limit - noted, limit * MIN_START_SHARE)
        return start + (limit - start) * known
