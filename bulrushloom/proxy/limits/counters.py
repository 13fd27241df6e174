"""Counters of one account's operations and demand on this instance; no I/O."""

from collections import deque
from datetime import timedelta

# Admissions are counted per slot of this length, the resolution of the sliding window.
SLOT_LENGTH = timedelta(milliseconds=100)
# Half-life of the moving average of demand; load that moves between instances is
# followed within this time.
DEMAND_HALF_LIFE = timedelta(milliseconds=500)
# Minimum capacity of an instance's token bucket.
MIN_BUCKET_TOKENS = 1.0
# Operations that have left the window stay reserved for this time, in which the fleet
# admits others in their place. That does not raise the total, however old the reports
# of the instances are.
REPLACEMENT_PERIOD = timedelta(milliseconds=300)
_SECOND = timedelta(seconds=1)
_ZERO = timedelta()


class AccountCounter:
    """Sliding-window counter, demand and token bucket of one account.

    ``admitted_by_slot`` holds pairs of a slot's start and its admitted operations,
    ``left_by_slot`` the same of slots that left the window in ``REPLACEMENT_PERIOD``.
    ``reported_demand_per_s`` is the demand in the latest report to the others.
    ``is_used`` is whether a token was asked for.
    """

    def __init__(self, now: timedelta) -> None:
        self.admitted_by_slot: deque[tuple[timedelta, float]] = deque()
        self.admitted = 0.0
        self.left_by_slot: deque[tuple[timedelta, float]] = deque()
        self.left = 0.0
        self.demand_per_s = 0.0
        self.demand_updated_at = now
        self.reported_demand_per_s = 0.0
        self.tokens = MIN_BUCKET_TOKENS
        self.refilled_at = now
        self.is_used = False
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
        """Count an operation that was admitted."""
        slot = now - now % SLOT_LENGTH
        if self.admitted_by_slot and self.admitted_by_slot[-1][0] == slot:
            self.admitted_by_slot[-1] = (slot, self.admitted_by_slot[-1][1] + 1)
        else:
            self.admitted_by_slot.append((slot, 1.0))
        self.admitted += 1

    def decay_demand(self, now: timedelta) -> None:
        """Bring the moving average of the demand up to date."""
        elapsed = max(now - self.demand_updated_at, _ZERO)
        self.demand_per_s *= 0.5 ** (elapsed / DEMAND_HALF_LIFE)
        self.demand_updated_at = now

    def add_demand(self, now: timedelta) -> None:
        """Count a requested operation."""
        self.decay_demand(now)
        # With a weight of ln 2, a steady demand of n per second converges to n.
        self.demand_per_s += 0.693 / (DEMAND_HALF_LIFE / _SECOND)
