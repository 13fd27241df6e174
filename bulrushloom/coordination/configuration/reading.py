"""Store reads of one instance and what they say about the store."""

from datetime import timedelta

READ_INTERVAL = timedelta(seconds=1)
# A read without an answer for this long counts as an unreachable store.
SLOW_READ = timedelta(seconds=1)
# Another read starts after this time without an answer; the store client reports
# its own timeout earlier.
READ_EXPIRY = timedelta(seconds=5)
# An answer can still arrive this long after its read.
LATEST_ANSWER = timedelta(seconds=30)


class StoreReading:
    """Time the reads and date their answers.

    An answer does not name its read. It is dated as the oldest read that may still
    be answered, so a late answer never looks newer than it is.
    """

    def __init__(self) -> None:
        self._started: list[timedelta] = []
        # When the next read may start.
        self.next_at = timedelta()
        self._failing = False

    def is_due(self, now: timedelta) -> bool:
        """Return whether another read may start."""
        self._started = [at for at in self._started if now - at < LATEST_ANSWER]
        waiting = bool(self._started) and now - self._started[-1] < READ_EXPIRY
        return now >= self.next_at and not waiting

    def start(self, now: timedelta) -> None:
        """Record the start of a read."""
        self._started.append(now)
        self.next_at = now + READ_INTERVAL

    def finish(self, usable: bool) -> timedelta | None:
        """Record an answer and return the time of its read, if one was expected."""
        if not self._started:
            return None
        self._failing = not usable
        moment = self._started[0]
        self._started.pop()
        return moment

    def is_failing(self, now: timedelta) -> bool:
        """Return whether this instance reads the store and cannot reach it."""
        if now >= self.next_at + READ_EXPIRY:
            return False
        slow = bool(self._started) and now - self._started[-1] >= SLOW_READ
        return self._failing or slow
