"""Log positions that a read with bounded staleness must include; no I/O."""

from collections import deque
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.messages import LogPosition

# Samples at shorter intervals do not make the required position more precise.
MIN_SAMPLE_INTERVAL = timedelta(milliseconds=100)
# No route accepts data older than this, so older samples are not needed.
SAMPLE_LIFETIME = timedelta(seconds=10)
# Covers the transit of a request from its client to this process.
TRANSIT_MARGIN = timedelta(milliseconds=100)

NO_SAMPLE = Missing("no recent position of the primary is known")


class PositionSample(NamedTuple):
    """A log position that covers every commit acknowledged before ``taken_at``."""

    taken_at: timedelta
    position: LogPosition


class PositionHistory:
    """Log positions of one service's primary over the last ``SAMPLE_LIFETIME``."""

    def __init__(self) -> None:
        self._samples: deque[PositionSample] = deque()
        self._latest: PositionSample | None = None

    def record(self, sample: PositionSample) -> None:
        """Add a sample unless it is older than the latest one."""
        if self._latest is not None and sample.taken_at <= self._latest.taken_at:
            return
        if self._latest is not None and sample.position < self._latest.position:
            # Positions never decrease; a lower one comes from another server.
            sample = PositionSample(sample.taken_at, self._latest.position)
        self._latest = sample
        is_due = (
            not self._samples
            or sample.taken_at - self._samples[-1].taken_at >= MIN_SAMPLE_INTERVAL
        )
        if is_due:
            self._samples.append(sample)
        horizon = sample.taken_at - SAMPLE_LIFETIME
        while self._samples and self._samples[0].taken_at < horizon:
            self._samples.popleft()

    def latest(self) -> PositionSample | None:
        """Return the latest sample."""
        return self._latest

    def position_since(self, at: timedelta) -> LogPosition | Missing:
        """Return the lowest known position that covers the commits before ``at``."""
        for sample in self._samples:
            if sample.taken_at >= at:
                return sample.position
        if self._latest is not None and self._latest.taken_at >= at:
            return self._latest.position
        return NO_SAMPLE

    def position_for(
        self, now: timedelta, max_staleness: timedelta
    ) -> LogPosition | Missing:
        """Return the lowest known position that a read must include.

        It covers every commit acknowledged more than ``max_staleness`` before ``now``.
        """
        return self.position_since(now - max_staleness + TRANSIT_MARGIN)
