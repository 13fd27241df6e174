"""Measurement of failover gaps: periods in which writes wait for a new primary."""

from datetime import timedelta

# A caller that sent no write for this long is considered idle, not waiting. The limit
# exceeds the objective for the failover gap (12 s), so that no gap within the objective
# is truncated.
CALLER_IDLE_LIMIT = timedelta(seconds=15)
NO_GAP = timedelta()


class _WriteState:
    """State of the writes of one account to one group.

    ``open_count`` is the number of writes without a result, and ``term`` is the highest
    term in which a write was acknowledged. ``since`` is the start of the current wait,
    or ``NO_GAP`` if no write waits. ``seen_at`` is the time of the last start or end of
    a write.
    """

    def __init__(self) -> None:
        self.open_count = 0
        self.term = 0
        self.since = timedelta()
        self.seen_at = timedelta()


class FailoverGapMeter:
    """Measure the failover gap as seen by the callers of one instance.

    A gap ends when a write is acknowledged in a higher term than before. It starts at
    the preceding acknowledgement if other writes were open at that time, otherwise at
    the start of the first write after it. A gap that never ends is not counted.
    """

    def __init__(self) -> None:
        self._writes_by_key: dict[tuple[str, str], _WriteState] = {}

    def write_started(self, account: str, group: str, now: timedelta) -> None:
        """Record the submission of a write."""
        writes = self._writes_by_key.setdefault((account, group), _WriteState())
        if not writes.open_count and now - writes.seen_at > CALLER_IDLE_LIMIT:
            writes.since = NO_GAP
        writes.open_count += 1
        writes.since = writes.since or now
        writes.seen_at = now

    def write_acknowledged(
        self, account: str, group: str, term: int, now: timedelta
    ) -> timedelta:
        """Record an acknowledgement in ``term`` and return the gap that it ends.

        The result is ``NO_GAP`` if it ends none.
        """
        writes = self._writes_by_key[account, group]
        is_later = 0 < writes.term < term
        gap = now - writes.since if is_later else NO_GAP
        writes.term = max(term, writes.term)
        writes.open_count -= 1
        writes.since = now if writes.open_count else NO_GAP
        writes.seen_at = now
        return gap

    def write_failed(self, account: str, group: str, now: timedelta) -> None:
        """Record a write that ended without an acknowledgement."""
        writes = self._writes_by_key[account, group]
        writes.open_count -= 1
        writes.seen_at = now
