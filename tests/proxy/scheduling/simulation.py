"""Simulation of one server behind the schedulers of several domains."""

import itertools
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from heapq import heappop, heappush

from bulrushloom.proxy.scheduling.base import WorkOutcome, WorkRequest
from tests.proxy.builders import ms

QUEUE = 32
CONNECTION_WORK = ms(12)
ONE_WAY = ms(1)
STATEMENT_TIMEOUT = ms(800)


@dataclass
class Operation:
    """Operation of a caller; the last four fields tell how it ended.

    It is in time if it starts within ``patience``, and useless ``late_wait`` later.
    """

    priority: int
    work: timedelta
    patience: timedelta
    account: str = "hotel"
    retries: int = 0
    late_wait: timedelta = timedelta()
    arrived_at: timedelta = timedelta()
    sent_at: timedelta | None = None
    answered_at: timedelta | None = None
    refused_at: list[timedelta] = field(default_factory=list)
    retry_after: list[timedelta] = field(default_factory=list)

    def was_served_within(self, objective):
        """Return whether the first answer came within ``objective``."""
        answered_at = self.answered_at
        return answered_at is not None and answered_at - self.arrived_at <= objective


class Simulation:
    """One server with ``slots`` and the schedulers of its domains.

    ``slowness`` is a function of the time by which the server's work is multiplied.
    ``loses_answer`` tells whether the next answer is lost; its caller then gives up
    after ``STATEMENT_TIMEOUT``.
    """

    def __init__(
        self,
        schedulers,
        slots=4,
        slowness=lambda now: 1,
        loses_answer=lambda: False,
    ):
        self.schedulers = schedulers
        self.slots = slots
        self.slowness = slowness
        self.loses_answer = loses_answer
        self.lost = []
        self.now = timedelta()
        self.busy_count = self.deepest_queue = 0
        self.slot_time = timedelta()
        self.received_at = []
        self.down_until = timedelta()
        self._events = []
        self._sequence = itertools.count()
        self._operation_by_id = {}
        self._queue = deque()
        self._in_slots = 0
        self.open_connections = [0] * len(schedulers)
        self._used_connections = [0] * len(schedulers)
        self._wake_at = [None] * len(schedulers)

    def at(self, at, call, *arguments):
        """Call ``call`` at a time."""
        heappush(self._events, (at, next(self._sequence), call, arguments))

    def arrive(self, at, domain, operation):
        """Let an operation arrive at the scheduler of a domain."""
        operation.arrived_at = at
        self.at(at, self._submit, domain, operation)
        return operation

    def run(self, until):
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call, arguments = heappop(self._events)
            call(*arguments)
        self.now = until

    def restart(self, has_pace):
        """Let the server answer again; all connections were closed."""
        self.open_connections = [0] * len(self.schedulers)
        self.deepest_queue = self.busy_count = 0
        for domain, scheduler in enumerate(self.schedulers):
            if has_pace:
                scheduler.record_restart(self.now)
            self._poll(domain)

    def _submit(self, domain, operation):
        request_id = next(self._sequence)
        self._operation_by_id[request_id] = operation
        in_time_until = self.now + operation.patience
        request = WorkRequest(
            request_id,
            operation.account,
            operation.priority,
            self.now,
            in_time_until,
            in_time_until + operation.late_wait,
        )
        refusal = self.schedulers[domain].submit(request, self.now)
        if refusal:
            self._refuse(domain, refusal)
        self._poll(domain)

    def _poll(self, domain):
        scheduler = self.schedulers[domain]
        is_down = self.now < self.down_until
        for request_id in [] if is_down else scheduler.admit(self.now):
            operation = self._operation_by_id[request_id]
            operation.sent_at = self.now
            scheduler.record_sent(request_id, self.now)
            self._used_connections[domain] += 1
            is_new = self._used_connections[domain] > self.open_connections[domain]
            self.open_connections[domain] += is_new
            work = operation.work + (CONNECTION_WORK if is_new else timedelta())
            self.at(self.now + ONE_WAY, self._receive, domain, request_id, work)
        next_at = scheduler.next_event_at(self.now)
        if next_at is None:
            return
        next_at = max(next_at, self.now + ms(10) if is_down else self.now)
        if next_at != self._wake_at[domain]:
            self._wake_at[domain] = next_at
            self.at(next_at, self._wake, domain)

    def _wake(self, domain):
        if self._wake_at[domain] != self.now:
            return
        self._wake_at[domain] = None
        for refusal in self.schedulers[domain].expire(self.now):
            self._refuse(domain, refusal)
        self._poll(domain)

    def _refuse(self, domain, refusal):
        operation = self._operation_by_id.pop(refusal.request_id)
        operation.refused_at.append(self.now)
        operation.retry_after.append(refusal.retry_after)
        if len(operation.refused_at) <= operation.retries:
            self.at(self.now + refusal.retry_after, self._submit, domain, operation)

    def _receive(self, domain, request_id, work):
        self.received_at.append(self.now)
        if self._in_slots < self.slots:
            self._run(domain, request_id, work)
        elif len(self._queue) < QUEUE:
            self._queue.append((domain, request_id, work))
            self.deepest_queue = max(self.deepest_queue, len(self._queue))
        else:
            self.busy_count += 1
            arguments = (domain, request_id, WorkOutcome.BUSY)
            self.at(self.now + ONE_WAY, self._finish, *arguments)

    def _run(self, domain, request_id, work):
        self._in_slots += 1
        work *= self.slowness(self.now)
        self.slot_time += work
        self.at(self.now + work, self._end, domain, request_id)

    def _end(self, domain, request_id):
        self._in_slots -= 1
        if self._queue:
            self._run(*self._queue.popleft())
        outcome = WorkOutcome.SERVED
        at = self.now + ONE_WAY
        if self.loses_answer():
            operation = self._operation_by_id[request_id]
            self.lost.append(operation)
            outcome = WorkOutcome.FAILED
            at = operation.sent_at + STATEMENT_TIMEOUT
        self.at(at, self._finish, domain, request_id, outcome)

    def _finish(self, domain, request_id, outcome):
        operation = self._operation_by_id.pop(request_id)
        self._used_connections[domain] -= 1
        if outcome is WorkOutcome.SERVED:
            operation.answered_at = self.now
        duration = self.now - operation.sent_at
        self.schedulers[domain].finish(request_id, outcome, duration, self.now)
        self._poll(domain)


def share_served(operations, objective):
    """Return the fraction of the operations answered within ``objective``."""
    served = [operation.was_served_within(objective) for operation in operations]
    return sum(served) / len(served)
