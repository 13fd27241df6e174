"""Log of refused requests, rate-limited per account and error kind."""

import threading
from collections import Counter
from datetime import timedelta

from bulrushloom.core.clock import Clock
from bulrushloom.core.errors import Refusal
from bulrushloom.telemetry.logs import log_event

# An entry takes about 0.1 ms. A caller far above its rate must not flood the log.
MAX_ENTRIES_PER_SECOND = 200
_SECOND = timedelta(seconds=1)


class RefusalLog:
    """Log of refusals with their request ids; thread-safe.

    Neither the key nor the text of the refusal is logged, because the text may quote a
    statement. Entries above the limit are only counted, in one entry a second for each
    account and error kind.
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
            omitted = self._start_second_if_due()
            self._count_by_series[account, kind] += 1
            is_logged = self._count_by_series[account, kind] <= MAX_ENTRIES_PER_SECOND
        for (omitted_account, omitted_kind), count in omitted:
            fields = {"account": omitted_account, "kind": omitted_kind, "count": count}
            log_event("gateway.refusals_omitted", fields)
        if is_logged:
            fields = {
                "request_id": request_id,
                "account": account,
                "kind": kind,
                "ran": refusal.response.ran.value,
            }
            log_event("gateway.refused", fields)

    def _start_second_if_due(self) -> list[tuple[tuple[str, str], int]]:
        """Return the counts of omitted entries if a new second has begun."""
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
