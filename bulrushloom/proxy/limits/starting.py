"""Limits of an instance that has not observed a whole window since its start; no I/O.

What the fleet admitted before the start is known from a record in the store, which only
has the accounts that used much of their limit.
"""

from collections.abc import Mapping
from datetime import timedelta

# Accounts above this fraction of their limit are recorded in the store for instances
# that restart. For an account without a record a restarted instance assumes this usage.
HOT_ACCOUNT_SHARE = 0.6
# Fraction of the limit available right after a restart, whatever usage is recorded.
MIN_START_FRACTION = 0.1
_ZERO = timedelta()


class StartingLimits:
    """Reduction of the limits of an instance after its start.

    The usage before the start is assumed to leave the window evenly. Where all of it
    was admitted just before the start, this admits too much. Counting it for a whole
    window refused 0.2 to 0.8 of what usual accounts were owed for 4 s after the loss of
    all instances.
    """

    def __init__(self, started_at: timedelta):
        self._started_at = started_at
        self._recorded_by_account: dict[str, float] = {}
        self._is_record_outdated = False

    def load(
        self, recorded_by_account: Mapping[str, float], is_outdated: bool = False
    ) -> None:
        """Use the operations that the store recorded for each hot account.

        The record ``is_outdated`` if the store returned from a copy. Each account may
        then have used its whole limit.
        """
        self._recorded_by_account = dict(recorded_by_account)
        self._is_record_outdated = is_outdated

    def is_over(self, now: timedelta, window: timedelta) -> bool:
        """Return whether this process has observed a whole window."""
        return self._observed_fraction(now, window) >= 1.0

    def is_recorded(self, account: str) -> bool:
        """Return whether the account was near its limit before the start."""
        return self._is_record_outdated or account in self._recorded_by_account

    def limits_first_use(self, account: str, now: timedelta, window: timedelta) -> bool:
        """Return whether the first operation must fit in this instance's part.

        Answers the loss of all instances while an account floods: hundreds of instances
        that admit one operation each, before they hear of the others, exceed the limit.
        Accounts that were below their limit before the start get the operation.
        """
        return self.is_recorded(account) and not self.is_over(now, window)

    def recorded(
        self, account: str, limit: float, now: timedelta, window: timedelta
    ) -> float:
        """Return the recorded operations that still count, out of ``limit``."""
        recorded = self._used_before(account, limit, 0.0)
        return recorded * (1.0 - self._observed_fraction(now, window))

    def reduced(
        self, account: str, limit: float, now: timedelta, window: timedelta
    ) -> float:
        """Return what is left of ``limit`` after the usage before the start."""
        used = self._used_before(account, limit, limit * HOT_ACCOUNT_SHARE)
        start = max(limit - used, limit * MIN_START_FRACTION)
        return start + (limit - start) * self._observed_fraction(now, window)

    def _used_before(self, account: str, limit: float, assumed: float) -> float:
        if self._is_record_outdated:
            return limit
        return self._recorded_by_account.get(account, assumed)

    def _observed_fraction(self, now: timedelta, window: timedelta) -> float:
        """Return the fraction of the current window that this process has observed."""
        return min(1.0, max(now - self._started_at, _ZERO) / window)
