"""Exponential backoff with jitter."""

from datetime import timedelta
from random import Random

FIRST_DELAY = timedelta(milliseconds=20)
MAX_DELAY = timedelta(seconds=2)
# The doubling stops here; larger exponents only overflow.
MAX_DOUBLINGS = 30


class Backoff:
    """Compute delays that double with each attempt up to a maximum.

    Each delay is drawn evenly between half of the bound and the bound, so that
    callers which failed together do not come back together. Equal seeds of
    ``random`` give equal delays.
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
        """Return the delay before retry ``attempt``; the first one is 1."""
        doublings = min(max(0, attempt - 1), MAX_DOUBLINGS)
        bound = min(self._maximum, self._first * 2**doublings)
        return bound * self._random.uniform(0.5, 1.0)
