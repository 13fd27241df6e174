"""Times in which writes waited for a new primary."""

from datetime import timedelta

# A caller that sent nothing for this long was not waiting. Above the objective of the
# failover gap (12 s), so that no gap within the objective is cut short.
IDLE_LIMIT = timedelta(seconds=15)
NO_GAP = timedelta()


class _Writes:
    """Hold the writes of one account and group; ``since`` begins the wait."""

    def __init__(self) -> None:
        self.open = 0
        self.term = 0
        self.since = timedelta()
        self.seen = timedelta()


class WriteGaps:
    """Measure the failover gap as a caller of one instance sees it.

    A gap runs from the first write that was not acknowledged, or from the last
    acknowledgement if writes were open then, to the first write that is acknowledged
    in a higher term. A gap that never ends is not counted.
    """

    def __init__(self) -> None:
        self._writes_by_key: dict[tuple[str, str], _Writes] = {}

    def started(self, account: str, group: str, now: timedelta) -> None:
        """Note a write that was submitted."""
        writes = self._writes_by_key.setdefault((account, group), _Writes())
        if not writes.open and now - writes.seen > IDLE_LIMIT:
            writes.since = NO_GAP
        writes.open += 1
        writes.since = writes.since or now
        writes.seen = now

    def acknowledged(
        self, account: str, group: str, term: int, now: timedelta
    ) -> timedelta:
        """Note an acknowledgement in ``term`` and return the gap that it ends."""
        writes = self._writes_by_key[account, group]
        is_later = 0 < writes.term < term
        gap = now - writes.since if is_later else NO_GAP
        writes.term = max(term, writes.term)
        writes.open -= 1
        writes.since = now if writes.open else NO_GAP
        writes.seen = now
        return gap

    def failed(self, account: str, group: str, now: timedelta) -> None:
        """Note a write that ended without an acknowledgement."""
        writes = self._writes_by_key[account, group]
        writes.open -= 1
        writes.seen = now
