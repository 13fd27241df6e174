"""Scheduling of one instance's store reads, and detection of store outages."""

from datetime import timedelta

READ_INTERVAL = timedelta(seconds=1)
# A read that is unanswered for this long indicates an unreachable store.
SLOW_READ_THRESHOLD = timedelta(seconds=1)
# An unanswered read blocks the next one for this long. The timeout of the store
# client is shorter.
READ_TIMEOUT = timedelta(seconds=5)
# Maximum time after the start of a read at which its answer can still arrive.
MAX_ANSWER_DELAY = timedelta(seconds=30)


class StoreReads:
    """Schedule store reads and assign start times to their answers.

    An answer does not identify its read. It gets the start time of the oldest read
    that may still be answered, so a late answer never appears more recent than it is.
    """

    def __init__(self) -> None:
        self._started_at: list[timedelta] = []
        # Earliest start of the next read.
        self.next_at = timedelta()
        self._failing = False

    def is_due(self, now: timedelta) -> bool:
        """Return whether the next read may start."""
        self._started_at = [
            at for at in self._started_at if now - at < MAX_ANSWER_DELAY
        ]
        waiting = bool(self._started_at) and now - self._started_at[-1] < READ_TIMEOUT
        return now >= self.next_at and not waiting

    def start(self, now: timedelta) -> None:
        """Record the start of a read."""
        self._started_at.append(now)
        self.next_at = now + READ_INTERVAL

    def finish(self, usable: bool) -> timedelta | None:
        """Record an answer and return the start of its read, if one was expected."""
        if not self._started_at:
            return None
        self._failing = not usable
        started_at = self._started_at[0]
        # Removes the latest start: the oldest one stays a safe bound for answers that
        # are still missing.
        self._started_at.pop()
        return started_at

    def is_failing(self, now: timedelta) -> bool:
        """Return whether this instance is reading the store without success."""
        if now >= self.next_at + READ_TIMEOUT:
            return False
        slow = (
            bool(self._started_at) and now - self._started_at[-1] >= SLOW_READ_THRESHOLD
        )
        return self._failing or slow
