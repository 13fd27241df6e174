"""Retry budget and its measured baselines."""

from datetime import timedelta

from bulrushloom.coordination.retries.base import RetryPolicy

RETRY_SHARE = 0.1
RETRIES_PER_SECOND = 1.0
# Unused budget of quiet times must not allow a storm of retries later.
MAX_SAVED_RETRIES = 10.0


class BudgetedRetries(RetryPolicy):
    """Allow retries for a share of requests and at least a few a second.

    Over any time, at most ``share`` of the requests plus ``per_second`` times the
    seconds plus ``saved`` retries are allowed.
    """

    def __init__(
        self,
        share: float = RETRY_SHARE,
        per_second: float = RETRIES_PER_SECOND,
        saved: float = MAX_SAVED_RETRIES,
    ):
        self._share = share
        self._per_second = per_second
        self._saved = saved
        self._budget = min(1.0, saved)
        self._updated: timedelta | None = None

    def request_started(self, now: timedelta) -> None:
        """Add the request's share to the budget."""
        self._advance(now)
        self._budget = min(self._saved, self._budget + self._share)

    def allows_retry(self, now: timedelta) -> bool:
        """Take one retry from the budget if it is there."""
        self._advance(now)
        if self._budget < 1.0:
            return False
        self._budget -= 1.0
        return True

    def _advance(self, now: timedelta) -> None:
        if self._updated is not None:
            earned = (now - self._updated).total_seconds() * self._per_second
            self._budget = min(self._saved, self._budget + earned)
        self._updated = now


class NoRetries(RetryPolicy):
    """Allow no retry."""

    def request_started(self, now: timedelta) -> None:
        """Ignore the request."""

    def allows_retry(self, now: timedelta) -> bool:
        """Return false."""
        return False


class UnboundedRetries(RetryPolicy):
    """Allow every retry."""

    def request_started(self, now: timedelta) -> None:
        """Ignore the request."""

    def allows_retry(self, now: timedelta) -> bool:
        """Return true."""
        return True
