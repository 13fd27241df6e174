"""Limit of the requests that one domain runs at a target; no I/O."""

from datetime import timedelta

# Ratio of the latency to the baseline below which the limit grows, and above which it
# shrinks. A ratio of 1.5 means half as many requests in flight as the target has slots
# wait in its own queue, which keeps the slots busy over round trips of 2 ms.
GROWTH_RATIO = 1.6
SHRINK_RATIO = 1.9
SHRINK_FACTOR = 0.85
# The queue of the target was full, or it did not answer.
BUSY_FACTOR = 0.7
# Answers to requests that were sent together count once.
BUSY_INTERVAL = timedelta(milliseconds=50)
SMOOTHING = 0.1
# Weights by which the baseline follows the smoothed latency down and up. It rises only
# within some 20 s: while requests wait, it would otherwise follow the latency that the
# domains themselves cause, and the limits of some domains would grow at the expense of
# others.
BASELINE_FALL = 0.05
BASELINE_RISE = 0.0005
# After this many answers far above the baseline, at a limit of one share, the target
# itself has become slower: the other domains have shrunk in this time as well.
RELEARN_ANSWERS = 15


class LatencyBaseline:
    """Latency of the statements of one priority on a target that is not loaded."""

    def __init__(self, latency: timedelta):
        self.value = self._smoothed = latency

    @property
    def recent(self) -> timedelta:
        """Return the smoothed latency, with the load that the target has now."""
        return self._smoothed

    def record(self, latency: timedelta) -> None:
        """Record a latency."""
        self._smoothed += (latency - self._smoothed) * SMOOTHING
        weight = BASELINE_FALL if self._smoothed < self.value else BASELINE_RISE
        self.value += (self._smoothed - self.value) * weight

    def relearn(self) -> None:
        """Take the present latency as the baseline."""
        self.value = self._smoothed


class ConcurrencyLimit:
    """Limit that follows the answers of a target.

    Answers a domain that is cut off from a target, or calm, and comes back: the others
    use its part of the slots meanwhile and give it back. Answers slow targets as well.
    Starts from the target's slots, shared among the domains. Grows by one for each
    round of answers while the limit is in use and the latency stays near its baseline;
    shrinks by a factor on BUSY, on failures and on latency far above the baseline.
    Latency alone never takes a domain's share of the slots.

    Baselines are kept by priority, because the work of the priorities differs.
    """

    def __init__(self, slots: int, domain_count: int):
        self._baseline_by_priority: dict[int, LatencyBaseline] = {}
        self._ratio = 1.0
        self._answers_until_shrink = 0
        self._slow_answers = 0
        self._shrunk_at: timedelta | None = None
        self._set_size(slots, domain_count)
        self._value = self._share

    @property
    def value(self) -> float:
        """Return how many requests may run at the same time."""
        return self._value

    @property
    def share(self) -> float:
        """Return the domain's part of the slots, rounded up."""
        return self._share

    @property
    def latency_ratio(self) -> float:
        """Return the ratio of recent latencies to their baselines."""
        return self._ratio

    @property
    def is_near_baseline(self) -> bool:
        """Return whether the target answers as fast as when it is not loaded."""
        return self._ratio < GROWTH_RATIO

    def usual_latency(self, priority: int) -> timedelta | None:
        """Return the recent latency of a priority, ``None`` before its first answer."""
        baseline = self._baseline_by_priority.get(priority)
        return baseline.recent if baseline is not None else None

    def resize(self, slots: int, domain_count: int) -> None:
        """Apply another number of slots or domains."""
        self._set_size(slots, domain_count)
        self._value = min(self._value, self._ceiling)

    def restart(self) -> None:
        """Start again from the share: the target may answer at another pace now.

        Baselines are kept. If they were learnt again while the target is cold, the
        limit would grow as it gets warm, and its queue with it.
        """
        self._ratio = 1.0
        self._value = self._share

    def record_answer(self, latency: timedelta, priority: int, is_in_use: bool) -> None:
        """Record an answer. ``is_in_use``: requests waited or the limit was reached."""
        baseline = self._baseline_by_priority.get(priority)
        if baseline is None:
            baseline = self._baseline_by_priority[priority] = LatencyBaseline(latency)
        if baseline.value > timedelta():
            self._ratio += (latency / baseline.value - self._ratio) * SMOOTHING
        baseline.record(latency)
        self._relearn_if_slow()
        self._answers_until_shrink -= 1
        if self._ratio > SHRINK_RATIO:
            self._shrink_by_latency()
        elif self.is_near_baseline and is_in_use:
            self._value = min(self._value + 1 / self._value, self._ceiling)

    def record_refusal(self, now: timedelta) -> None:
        """Record that the target was full or did not answer."""
        if self._shrunk_at is None or now - self._shrunk_at >= BUSY_INTERVAL:
            self._shrunk_at = now
            self._value = max(1.0, self._value * BUSY_FACTOR)

    def _set_size(self, slots: int, domain_count: int) -> None:
        slots, domain_count = max(1, slots), max(1, domain_count)
        self._share = float(-(-slots // domain_count))
        # A domain may use all slots, and have its share as many again on the way or in
        # the target's queue. More would only move the order to that queue.
        self._ceiling = slots + self._share

    def _relearn_if_slow(self) -> None:
        if self._ratio <= SHRINK_RATIO or self._value > self._share:
            self._slow_answers = 0
            return
        self._slow_answers += 1
        if self._slow_answers >= RELEARN_ANSWERS:
            self._slow_answers = 0
            self._ratio = 1.0
            for baseline in self._baseline_by_priority.values():
                baseline.relearn()

    def _shrink_by_latency(self) -> None:
        # Answers to requests sent before the last change do not show its effect.
        if self._answers_until_shrink > 0 or self._value <= self._share:
            return
        self._value = max(self._share, self._value * SHRINK_FACTOR)
        self._answers_until_shrink = int(self._value) + 1
