"""Measurement of how fast a target takes waiting requests; no I/O."""

from datetime import timedelta

# Assumed before the first measurement, and its weight in measurements. The time of a
# short statement: nothing is refused as hopeless that a fast target could take, or
# because the first statements had to open their connections.
INITIAL_HOLD = timedelta(milliseconds=4)
INITIAL_COUNT = 4
# Weight of a measurement; the first ones are averaged.
WEIGHT = 0.1
# While nothing ends for this many intervals, the target takes requests more slowly.
SILENT_INTERVALS = 4


class DrainRate:
    """Time between two requests that leave a target while others wait for it.

    Answers requests that wait until their deadline although the target cannot take
    them in time. Only times with waiting requests count, because a target with fewer
    requests than places does not show how many it can take.
    """

    def __init__(self, places: float):
        self._interval = INITIAL_HOLD / places
        self._count = INITIAL_COUNT
        self._last_at: timedelta | None = None

    def restart(self, places: float) -> None:
        """Forget what was measured before a restart of the target."""
        self._interval = INITIAL_HOLD / places
        self._count = INITIAL_COUNT
        self._last_at = None

    def record_end(self, now: timedelta, has_waiting: bool) -> None:
        """Record that an answer has freed a place.

        A single long time counts only in part: after a pause of the target, waiting
        requests would be refused although it answers again.
        """
        if self._last_at is not None:
            self._count += 1
            weight = max(WEIGHT, 1 / self._count)
            elapsed = min(now - self._last_at, self._interval * SILENT_INTERVALS)
            self._interval += (elapsed - self._interval) * weight
        self._last_at = now if has_waiting else None

    def record_idle(self) -> None:
        """Record that no request waits; the time until the next end is no measure."""
        self._last_at = None

    def record_wait(self, now: timedelta) -> None:
        """Record that a request waits because all places are in use."""
        if self._last_at is None:
            self._last_at = now

    def interval(self, now: timedelta) -> timedelta:
        """Return the time in which the target takes one request."""
        if self._last_at is None:
            return self._interval
        return max(self._interval, (now - self._last_at) / SILENT_INTERVALS)
