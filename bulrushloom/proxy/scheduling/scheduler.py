"""Scheduler of the requests of one domain to one target; no I/O."""

from datetime import timedelta

from bulrushloom.proxy.scheduling.base import (
    Refusal,
    TargetLoad,
    TargetScheduler,
    WorkOutcome,
    WorkRequest,
)

RETRY_AFTER = timedelta(milliseconds=50)


class DomainTargetScheduler(TargetScheduler):
    """Scheduler that admits as many requests at a time as the target has slots.

    ``slots`` is the number of statements that the target runs at the same time, and
    ``domain_count`` the number of domains that have schedulers for it.
    """

    def __init__(self, slots: int, domain_count: int, now: timedelta):
        self._limit = max(1, slots, domain_count)
        self._waiting_by_id: dict[int, WorkRequest] = {}
        self._running: set[int] = set()

    def submit(self, request: WorkRequest, now: timedelta) -> Refusal | None:
        """Add a request; return a refusal if its start deadline has passed."""
        if now > request.start_deadline:
            return _refusal(request)
        self._waiting_by_id[request.request_id] = request
        return None

    def admit(self, now: timedelta) -> list[int]:
        """Return the ids of the requests that start now, the next one first."""
        ready = sorted(
            (
                request
                for request in self._waiting_by_id.values()
                if now <= request.start_deadline
            ),
            key=lambda request: (request.priority, request.start_deadline),
        )
        admitted = [
            request.request_id
            for request in ready[: max(0, self._limit - len(self._running))]
        ]
        for request_id in admitted:
            del self._waiting_by_id[request_id]
            self._running.add(request_id)
        return admitted

    def expire(self, now: timedelta) -> list[Refusal]:
        """Remove and return the requests whose start deadline has passed."""
        late = [
            request
            for request in self._waiting_by_id.values()
            if now >= request.start_deadline
        ]
        for request in late:
            del self._waiting_by_id[request.request_id]
        return [_refusal(request) for request in late]

    def cancel(self, request_id: int) -> None:
        """Remove a waiting request whose caller does not wait any more."""
        self._waiting_by_id.pop(request_id, None)

    def finish(
        self,
        request_id: int,
        outcome: WorkOutcome,
        duration: timedelta | None,
        now: timedelta,
    ) -> None:
        """Free the place of an admitted request."""
        self._running.discard(request_id)

    def record_restart(self, now: timedelta) -> None:
        """Record that the target has started or answers again after a failure."""

    def next_event_at(self, now: timedelta) -> timedelta | None:
        """Return the earliest start deadline of a waiting request."""
        return min(
            (request.start_deadline for request in self._waiting_by_id.values()),
            default=None,
        )

    @property
    def load(self) -> TargetLoad:
        """Return the current load."""
        return TargetLoad(
            len(self._running), len(self._waiting_by_id), float(self._limit)
        )


def _refusal(request: WorkRequest) -> Refusal:
    return Refusal(request.request_id, "the request cannot start in time", RETRY_AFTER)
