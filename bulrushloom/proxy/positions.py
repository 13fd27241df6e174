"""Log positions that a read of a given age must see; no I/O."""

from collections import deque
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.messages import LogPosition

# Samples closer than this add nothing to the choice of a bound.
SAMPLE_SPACING = timedelta(milliseconds=100)
# No route accepts data older than this, so older samples are of no use.
SAMPLE_LIFETIME = timedelta(seconds=10)
# Covers the way of a request from its caller to this process.
TRANSIT_MARGIN = timedelta(milliseconds=100)

NO_SAMPLE = Missing("no recent position of the primary is known")


class PositionSample(NamedTuple):
    """Hold a position that covers every commit acknowledged before ``taken_at``."""

    taken_at: timedelta
    position: LogPosition


class PositionHistory:
    """Remember the positions of one service's primary over the last seconds."""

    def __init__(self) -> None:
        self._samples: deque[PositionSample] = deque()
        self._latest: PositionSample | None = None

    def record(self, sample: PositionSample) -> None:
        """Add a sample; one that is older than the latest adds nothing."""
        if self._latest is not None and sample.taken_at <= self._latest.taken_at:
            return
        if self._latest is not None and sample.position < self._latest.position:
            # A position never goes back; a lower one is another server's.
            sample = PositionSample(sample.taken_at, self._latest.position)
        self._latest = sample
        spaced = (
            not self._samples
            or sample.taken_at - self._samples[-1].taken_at >= SAMPLE_SPACING
        )
        if spaced:
            self._samples.append(sample)
        horizon = sample.taken_at - SAMPLE_LIFETIME
        while self._samples and self._samples[0].taken_at < horizon:
            self._samples.popleft()

    def latest(self) -> PositionSample | None:
        """Return the newest sample."""
        return self._latest

    def position_for(
        self, now: timedelta, max_staleness: timedelta
    ) -> LogPosition | Missing:
        """Return the lowest position that no read of this age may lack.

        It covers every commit acknowledged more than ``max_staleness`` before ``now``.
        """
        oldest_allowed = now - max_staleness + TRANSIT_MARGIN
        for sample in self._samples:
            if sample.taken_at >= oldest_allowed:
                return sample.position
        if self._latest is not None and self._latest.taken_at >= oldest_allowed:
            return self._latest.position
        return NO_SAMPLE
