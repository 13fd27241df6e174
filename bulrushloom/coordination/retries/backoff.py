"""Exponential backoff with jitter."""

from datetime import timedelta
from random import Random

FIRST_DELAY = timedelta(milliseconds=20)
MAX_DELAY = timedelta(seconds=2)
# Larger exponents would overflow without effect on the delay.
MAX_DOUBLINGS = 30


class Backoff:
    """Compute delays whose bound doubles with each attempt, up to a maximum.

    Each delay is uniformly distributed between half of the bound and the bound, so
    that callers that failed at the same time do not retry at the same time. Equal
    seeds of ``random`` produce equal delays.
    """

    def __init__(
        self,
        random: Random,
        first: timedelta = FIRST_DELAY,
        maximum: timedelta = MAX_DELAY,
    ):
        self._random = random
        self._first = first
        self._maximum = maximum

    def delay(self, attempt: int) -> timedelta:
        """Return the delay before retry number ``attempt``, starting at 1."""
        doublings = min(max(0, attempt - 1), MAX_DOUBLINGS)
        bound = min(self._maximum, self._first * 2**doublings)
        return bound * self._random.uniform(0.5, 1.0)
