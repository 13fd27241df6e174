"""Requests that run at a target, and which of them got lost; no I/O."""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

# A statement without an answer after this many times the recent latency of its
# priority, and at least after this time, counts as lost once a statement that was sent
# later has been answered. The longest statements take five times the usual work.
LOST_LATENCY_RATIO = 6
MIN_LOST_TIME = timedelta(milliseconds=120)


class RunningRequest(NamedTuple):
    """Admitted request; ``was_last``: it took the last place, or others waited."""

    priority: int
    was_last: bool
    sent_at: timedelta | None = None
    is_lost: bool = False


class RunningRequests:
    """Admitted requests, of which those that got lost have no place.

    Answers a target of which single answers are lost while it serves all others. Each
    of these statements would keep its place until its timeout, so that a domain with
    two or three places would soon have none, and waiting requests would be refused
    although the slots of the target are free. If such a statement does run, one more
    waits in the queue of the target.

    ``usual_latency`` returns the recent latency of a priority, ``None`` if there is
    none yet.
    """

    def __init__(self, usual_latency: Callable[[int], timedelta | None]):
        self._usual_latency = usual_latency
        self._running_by_id: dict[int, RunningRequest] = {}
        self._lost_ids: set[int] = set()

    def __len__(self) -> int:
        """Return how many requests have a place."""
        return len(self._running_by_id) - len(self._lost_ids)

    def start(self, request_id: int, request: RunningRequest) -> None:
        """Add a request."""
        self._running_by_id[request_id] = request

    def record_sent(self, request_id: int, now: timedelta) -> None:
        """Record that the statement of a request is sent."""
        running = self._running_by_id.get(request_id)
        if running is not None:
            self._running_by_id[request_id] = running._replace(sent_at=now)

    def end(self, request_id: int) -> RunningRequest | None:
        """Remove and return a request, ``None`` if it does not run."""
        running = self._running_by_id.pop(request_id, None)
        if running is None or request_id not in self._lost_ids:
            return running
        self._lost_ids.remove(request_id)
        return running._replace(is_lost=True)

    def record_answer(self, sent_at: timedelta, now: timedelta) -> None:
        """Record an answer; free the places of earlier requests that got lost."""
        for request_id, running in self._running_by_id.items():
            if running.sent_at is None or running.sent_at >= sent_at:
                continue
            usual = self._usual_latency(running.priority) or timedelta()
            if now - running.sent_at > max(MIN_LOST_TIME, usual * LOST_LATENCY_RATIO):
                self._lost_ids.add(request_id)
