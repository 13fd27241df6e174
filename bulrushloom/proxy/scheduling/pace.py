"""Pace of a target that has started or recovered; no I/O."""

import math
from collections import deque
from datetime import timedelta

# The pace ends after this many answers at the earliest: the first ones may have opened
# connections, and the averaged latency follows them slowly.
MIN_ANSWERS = 8

# Requests of one second at the scheduler may reach the target within a shorter time,
# because their delays differ.
COLD_WINDOW = timedelta(milliseconds=1050)


class RestartPace:
    """Limit of a target from its start, or from its recovery, until it keeps up.

    Answers a target that returns while many requests wait for it: with the limit from
    before, all of them would reach it while it is slow, and urgent ones would wait
    behind them in its queue. The domain keeps to its share of the slots, which together
    fill them, until the answers come near the baseline from before the restart, or the
    concurrency limit has learnt another one. Missing answers and a full queue halve it.
    """

    def __init__(self) -> None:
        self._limit = math.inf
        self._answers = 0

    @property
    def limit(self) -> float:
        """Return how many requests may run at the same time; infinite if ended."""
        return self._limit

    @property
    def is_active(self) -> bool:
        """Return whether the target has not caught up since its restart."""
        return math.isfinite(self._limit)

    def restart(self, share: float) -> None:
        """Begin with the domain's ``share`` of the slots."""
        self._limit = share
        self._answers = 0

    def record_answer(self, is_near_baseline: bool) -> None:
        """Record an answer; the pace ends if the latency is near its baseline."""
        self._answers += 1
        if is_near_baseline and self._answers >= MIN_ANSWERS:
            self._limit = math.inf

    def record_refusal(self) -> None:
        """Record that the target was full or did not answer."""
        if self.is_active:
            self._limit = max(1.0, self._limit / 2)
            self._answers = 0


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
    the second before. An admitted request is reserved until it is sent, because its
    connection may take long to open, or not be opened at all; it counts as sent now.
    An owner that has taken over does not know what its predecessor sent, so the limit
    counts the first second as used up unless ``is_first_owner``.
    """

    def __init__(self, now: timedelta, is_first_owner: bool = True):
        self._per_s: int | None = None
        self._reserved = 0
        self._sent: deque[timedelta] = deque()
        self._silent_until = now if is_first_owner else now + COLD_WINDOW

    @property
    def per_s(self) -> int | None:
        """Return the requests that may be sent in a second; ``None`` if unlimited."""
        return self._per_s

    def set_limit(self, per_s: int | None) -> None:
        """Set the requests that may be sent in a second; ``None`` for no limit."""
        self._per_s = per_s

    def reserve(self) -> None:
        """Count a request that may be sent at any time from now on."""
        self._reserved += 1

    def end_reservation(self) -> None:
        """Stop counting a reserved request, which was sent or will not be."""
        self._reserved -= 1

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
        sent = [*self._sent, *[now] * self._reserved]
        count = len(sent)
        index = count + ahead - self._per_s
        rounds = max(0, -(-(index - count + 1) // self._per_s))
        index -= rounds * self._per_s
        if index >= 0:
            start = max(start, sent[index] + COLD_WINDOW)
        return start + rounds * COLD_WINDOW

    def _forget(self, now: timedelta) -> None:
        while self._sent and self._sent[0] <= now - COLD_WINDOW:
            self._sent.popleft()
