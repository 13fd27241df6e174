"""Budget of the retries and hedged reads of one instance; no I/O."""

from datetime import timedelta

# Part of the recent first attempts that may be sent a further time.
FRACTION = 0.2
# First attempts count for about this long.
MEMORY = timedelta(seconds=5)
# An instance with few statements can still retry those that run when a target fails.
MIN_TOKENS = 4.0
# 146 instances that only retry add 29 attempts a second, under a tenth of the first
# attempts of the larger deployment.
REFILL_PER_S = 0.2
# Part of the tokens that is left for the most urgent retries, and the part left for all
# retries by hedged reads, which only save time.
URGENT_RESERVE = 0.25
HEDGE_RESERVE = 0.5
_ZERO = timedelta()


class RetryBudget:
    """Bucket of tokens for further attempts, filled by first attempts.

    Answers retries in an overload: without a bound, each refusal adds an attempt, and
    the targets get several times the load that callers ask for.
    """

    def __init__(self, now: timedelta, fraction: float = FRACTION):
        self._fraction = fraction
        self._tokens = MIN_TOKENS
        self._recent = 0.0
        self._updated_at = now

    def record_first_attempt(self, now: timedelta) -> None:
        """Record that a statement is sent for the first time."""
        self._update(now)
        self._recent += 1
        self._tokens = min(self._tokens + self._fraction, self._capacity())

    def take_retry(self, priority: int, now: timedelta) -> bool:
        """Take a token for a retry; return whether there was one."""
        return self._take(0.0 if priority <= 0 else URGENT_RESERVE, now)

    def take_hedged_read(self, now: timedelta) -> bool:
        """Take a token for a further copy of a read; return whether there was one."""
        return self._take(HEDGE_RESERVE, now)

    @property
    def tokens(self) -> float:
        """Return the tokens at the last call."""
        return self._tokens

    def _take(self, reserve: float, now: timedelta) -> bool:
        self._update(now)
        if self._tokens < 1 + reserve * self._capacity():
            return False
        self._tokens -= 1
        return True

    def _capacity(self) -> float:
        return max(MIN_TOKENS, self._fraction * self._recent)

    def _update(self, now: timedelta) -> None:
        elapsed = max(now - self._updated_at, _ZERO)
        self._updated_at = now
        self._recent *= 0.5 ** (elapsed / MEMORY)
        refilled = self._tokens + REFILL_PER_S * elapsed.total_seconds()
        self._tokens = min(refilled, self._capacity())
