"""Interface of the scheduler of one target; no I/O.

The instance that owns the connections of a domain to a target has one scheduler for the
target. It decides how many requests of the domain run there at the same time, which of
the waiting ones is next, and which is refused because it cannot be served in time.
"""

from abc import ABC, abstractmethod
from datetime import timedelta
from enum import Enum
from typing import NamedTuple


class WorkRequest(NamedTuple):
    """Request to run a statement, or a transaction, at a target.

    ``request_id`` is unique within the scheduler. The lowest ``priority`` is the most
    urgent one. A request that starts after ``in_time_until`` misses its latency
    objective, and one that cannot start by ``start_deadline`` is useless to its caller.
    """

    request_id: int
    account: str
    priority: int
    requested_at: timedelta
    in_time_until: timedelta
    start_deadline: timedelta


class Refusal(NamedTuple):
    """Refusal of a request that has not run; ``retry_after`` is when to return."""

    request_id: int
    reason: str
    retry_after: timedelta


class WorkOutcome(Enum):
    """How the use of a place at a target ended.

    SERVED: the target answered. BUSY: it refused because its queue is full. FAILED: it
    did not answer, or the connection failed. UNUSED: nothing was sent.
    """

    SERVED = "served"
    BUSY = "busy"
    FAILED = "failed"
    UNUSED = "unused"


class TargetLoad(NamedTuple):
    """Load of a target as its scheduler sees it.

    ``limit`` is the number of requests that may run at the same time.
    """

    running: int
    waiting: int
    limit: float


class TargetScheduler(ABC):
    """Scheduler of the requests of one domain to one target.

    The caller asks ``admit`` after each ``submit``, ``finish`` and ``expire``, and at
    ``next_event_at`` if that is set. Each admitted request is ended by ``finish``.
    """

    @abstractmethod
    def submit(self, request: WorkRequest, now: timedelta) -> Refusal | None:
        """Add a request; return a refusal if it surely cannot be served in time."""

    @abstractmethod
    def admit(self, now: timedelta) -> list[int]:
        """Return the ids of the requests that start now, the next one first."""

    @abstractmethod
    def expire(self, now: timedelta) -> list[Refusal]:
        """Remove and return the waiting requests that can no longer start in time."""

    @abstractmethod
    def cancel(self, request_id: int) -> None:
        """Remove a waiting request whose caller does not wait any more."""

    @abstractmethod
    def record_sent(self, request_id: int, now: timedelta) -> None:
        """Record that a statement of an admitted request is sent to the target."""

    @abstractmethod
    def finish(
        self,
        request_id: int,
        outcome: WorkOutcome,
        duration: timedelta | None,
        now: timedelta,
    ) -> None:
        """Free the place of an admitted request.

        ``duration`` is the time from sending one statement to its answer, if one was
        answered.
        """

    @abstractmethod
    def record_restart(self, now: timedelta) -> None:
        """Record that the target has started or answers again after a failure."""

    @abstractmethod
    def next_event_at(self, now: timedelta) -> timedelta | None:
        """Return when ``admit`` or ``expire`` may have a result without a call."""

    @property
    @abstractmethod
    def load(self) -> TargetLoad:
        """Return the current load."""
