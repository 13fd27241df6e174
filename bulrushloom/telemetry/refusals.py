"""Log of refused requests, bounded for each account and error kind."""

import threading
from collections import Counter
from datetime import timedelta

from bulrushloom.core.clock import Clock
from bulrushloom.core.errors import Refusal
from bulrushloom.telemetry.logs import log_event

# An entry costs about 0.1 ms; a caller far over its rate must not fill the log.
MAX_ENTRIES_PER_SECOND = 200
_SECOND = timedelta(seconds=1)


class RefusalLog:
    """Log refusals with their request id; callable from any thread.

    Neither the key nor the text of the refusal is logged: that text may quote a
    statement. Entries above the bound are counted in one entry a second.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._second = 0
        self._count_by_series: Counter[tuple[str, str]] = Counter()

    def record(self, request_id: str, account: str, refusal: Refusal) -> None:
        """Log one refusal; ``account`` is empty if the key was not accepted."""
        kind = refusal.kind.value
        with self._lock:
            omitted = self._take_omitted()
            self._count_by_series[account, kind] += 1
            shown = self._count_by_series[account, kind] <= MAX_ENTRIES_PER_SECOND
        for (former, former_kind), count in omitted:
            fields = {"account": former, "kind": former_kind, "count": count}
            log_event("gateway.refusals_omitted", fields)
        if shown:
            fields = {
                "request_id": request_id,
                "account": account,
                "kind": kind,
                "ran": refusal.answer.ran.value,
            }
            log_event("gateway.refused", fields)

    def _take_omitted(self) -> list[tuple[tuple[str, str], int]]:
        """Begin a new second if it is due; return what the last one left out."""
        second = self._clock.monotonic() // _SECOND
        if second == self._second:
            return []
        omitted = [
            (series, count - MAX_ENTRIES_PER_SECOND)
            for series, count in self._count_by_series.items()
            if count > MAX_ENTRIES_PER_SECOND
        ]
        self._second = second
        self._count_by_series.clear()
        return omitted
