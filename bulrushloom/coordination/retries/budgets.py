"""Retry budget, and baseline policies for comparison."""

from datetime import timedelta

from bulrushloom.coordination.retries.base import RetryPolicy

RETRIES_PER_REQUEST = 0.1
RETRIES_PER_SECOND = 1.0
# Bounds the budget that accumulates while idle; it could allow a retry storm later.
MAX_SAVED_RETRIES = 10.0


class BudgetedRetries(RetryPolicy):
    """Allow retries in proportion to requests, plus a constant rate.

    In any period, the number of retries is at most ``share`` times the number of
    requests, plus ``per_second`` times the seconds, plus ``saved``.
    """

    def __init__(
        self,
        share: float = RETRIES_PER_REQUEST,
        per_second: float = RETRIES_PER_SECOND,
        saved: float = MAX_SAVED_RETRIES,
    ):
        self._share = share
        self._per_second = per_second
        self._saved = saved
        self._budget = min(1.0, saved)
        self._updated_at: timedelta | None = None

    def record_request(self, now: timedelta) -> None:
        """Add ``share`` of a retry to the budget."""
        self._refill(now)
        self._budget = min(self._saved, self._budget + self._share)

    def acquire_retry(self, now: timedelta) -> bool:
        """Take one retry from the budget, unless it is exhausted."""
        self._refill(now)
        if self._budget < 1.0:
            return False
        self._budget -= 1.0
        return True

    def _refill(self, now: timedelta) -> None:
        if self._updated_at is not None:
            refill = (now - self._updated_at).total_seconds() * self._per_second
            self._budget = min(self._saved, self._budget + refill)
        self._updated_at = now


class NoRetries(RetryPolicy):
    """Allow no retries."""

    def record_request(self, now: timedelta) -> None:
        """Do nothing; requests are not counted."""

    def acquire_retry(self, now: timedelta) -> bool:
        """Return ``False``."""
        return False


class UnboundedRetries(RetryPolicy):
    """Allow every retry."""

    def record_request(self, now: timedelta) -> None:
        """Do nothing; requests are not counted."""

    def acquire_retry(self, now: timedelta) -> bool:
        """Return ``True``."""
        return True
