"""Pace of a target that has started or recovered; no I/O."""

import math
from collections import deque
from datetime import timedelta

FIRST_LIMIT = 1.0
# A latency above this multiple of the lowest one since the start means that the target
# is loaded already.
LOADED_RATIO = 2.0
# Requests of one second at the scheduler may reach the target within a shorter time,
# because their delays differ.
COLD_WINDOW = timedelta(milliseconds=1050)


class RestartPace:
    """Limit of a target from its start, or from its recovery, until it keeps up.

    Answers a target that returns while many requests wait for it: with the limit from
    before, all of them would reach it while it is slow, and urgent ones would wait
    behind them in its queue. Starts with one request. Each answer allows one more, so
    the limit doubles in a round trip, unless the latency shows that the target is
    loaded. A full queue or a failure halves it. The pace ends once it exceeds the
    concurrency limit, which has started again from its share.
    """

    def __init__(self) -> None:
        self._limit = math.inf
        self._lowest: timedelta | None = None

    @property
    def limit(self) -> float:
        """Return how many requests may run at the same time; infinite if ended."""
        return self._limit

    def restart(self) -> None:
        """Begin with one request."""
        self._limit = FIRST_LIMIT
        self._lowest = None

    def record_answer(self, latency: timedelta, concurrency_limit: float) -> None:
        """Record an answer; end the pace above ``concurrency_limit``."""
        if self._lowest is None or latency < self._lowest:
            self._lowest = latency
        if latency <= self._lowest * LOADED_RATIO:
            self._limit += 1
        if self._limit > concurrency_limit:
            self._limit = math.inf

    def record_refusal(self) -> None:
        """Record that the target was full or did not answer."""
        if math.isfinite(self._limit):
            self._limit = max(FIRST_LIMIT, self._limit / 2)


def cold_part(per_s: float, excess: float, slack: float, domain_count: int) -> int:
    """Return how many requests a second one domain may send to a cold target.

    The limit ``per_s * excess + slack`` counts over all instances, so its parts are
    rounded down.
    """
    return max(0, math.floor((per_s * excess + slack) / max(1, domain_count)))


class ColdRate:
    """Hard limit of the requests that reach a cold target in any second.

    Answers a target that stays slow for a time after its start. Everything that is
    sent is recorded, also while the limit is off: the target may have received it in
    the second before. An owner that has taken over does not know what its predecessor
    sent, so the limit counts the first second as used up unless ``is_first_owner``.
    """

    def __init__(self, now: timedelta, is_first_owner: bool = True):
        self._per_s: int | None = None
        self._sent: deque[timedelta] = deque()
        self._silent_until = now if is_first_owner else now + COLD_WINDOW

    @property
    def per_s(self) -> int | None:
        """Return the requests that may be sent in a second; ``None`` if unlimited."""
        return self._per_s

    def set_limit(self, per_s: int | None) -> None:
        """Set the requests that may be sent in a second; ``None`` for no limit."""
        self._per_s = per_s

    def record(self, now: timedelta) -> None:
        """Record that a request is sent."""
        self._sent.append(now)
        self._forget(now)

    def allows(self, now: timedelta) -> bool:
        """Return whether a request may be sent now."""
        allowed_at = self.allowed_at(now)
        return allowed_at is not None and allowed_at <= now

    def allowed_at(self, now: timedelta, ahead: int = 0) -> timedelta | None:
        """Return when the next request may be sent, ``None`` if never.

        ``ahead`` requests are sent before it.
        """
        if self._per_s is None:
            return now
        if self._per_s == 0:
            return None
        self._forget(now)
        start = max(now, self._silent_until)
        # The request that is ``per_s`` places earlier must be a window old.
        count = len(self._sent)
        index = count + ahead - self._per_s
        rounds = max(0, -(-(index - count + 1) // self._per_s))
        index -= rounds * self._per_s
        if index >= 0:
            start = max(start, self._sent[index] + COLD_WINDOW)
        return start + rounds * COLD_WINDOW

    def _forget(self, now: timedelta) -> None:
        while self._sent and self._sent[0] <= now - COLD_WINDOW:
            self._sent.popleft()
