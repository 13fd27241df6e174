"""Order of the requests that wait for a place at a target; no I/O."""

from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Iterator
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.proxy.scheduling.base import WorkRequest

# By how much later each further waiting request of an account counts. About the work of
# one statement: the tenth request of an account is behind first requests of others that
# have up to 0.2 s more time.
FAIRNESS_STEP = timedelta(milliseconds=20)


class _Place(NamedTuple):
    """Place in the order; ``sequence`` is unique, so requests are not compared."""

    priority: int
    is_late: bool
    fair_deadline: timedelta
    sequence: int


class WaitingRequests:
    """Waiting requests, ordered by priority, start deadline and fairness.

    Answers a burst of less urgent requests in front of urgent ones, an account with
    many waiting requests beside others of the same priority, and requests that miss
    their objective in front of others that can meet it. Requests of a priority are
    ordered by when they have to start, where each request counts ``FAIRNESS_STEP``
    later for each request of its account and priority that waited when it came. An
    account with one waiting request is therefore ordered by its deadline alone. Late
    requests are behind all others of their priority.
    """

    def __init__(self) -> None:
        self._places: list[_Place] = []
        self._place_by_id: dict[int, _Place] = {}
        self._request_by_sequence: dict[int, WorkRequest] = {}
        self._deadlines: list[tuple[timedelta, int]] = []
        self._count_by_account: Counter[tuple[str, int]] = Counter()
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._places)

    def __iter__(self) -> Iterator[WorkRequest]:
        """Iterate in order; the request that was returned last may be removed."""
        for place in tuple(self._places):
            yield self._request_by_sequence[place.sequence]

    @property
    def earliest_deadline(self) -> timedelta | None:
        """Return the earliest start deadline of all requests."""
        return self._deadlines[0][0] if self._deadlines else None

    def count_ahead(self, request: WorkRequest, is_late: bool) -> int:
        """Return how many requests would be ahead of a new ``request``."""
        return bisect_left(self._places, self._place(request, is_late))

    def is_late(self, request_id: int) -> bool:
        """Return whether a waiting request was added as a late one."""
        return self._place_by_id[request_id].is_late

    def add(self, request: WorkRequest, is_late: bool) -> None:
        """Add a request that does not wait yet; a late one misses its objective."""
        place = self._place(request, is_late)
        self._sequence += 1
        insort(self._places, place)
        self._place_by_id[request.request_id] = place
        self._request_by_sequence[place.sequence] = request
        insort(self._deadlines, (request.start_deadline, request.request_id))
        self._count_by_account[request.account, request.priority] += 1

    def remove(self, request_id: int) -> WorkRequest | None:
        """Remove and return a request, ``None`` if it does not wait."""
        place = self._place_by_id.pop(request_id, None)
        if place is None:
            return None
        request = self._request_by_sequence.pop(place.sequence)
        del self._places[bisect_left(self._places, place)]
        deadline = (request.start_deadline, request_id)
        del self._deadlines[bisect_left(self._deadlines, deadline)]
        key = (request.account, request.priority)
        self._count_by_account[key] -= 1
        if not self._count_by_account[key]:
            del self._count_by_account[key]
        return request

    def last(self) -> WorkRequest:
        """Return the request that would be displaced first."""
        return self._request_by_sequence[self._places[-1].sequence]

    def _place(self, request: WorkRequest, is_late: bool) -> _Place:
        count = self._count_by_account[request.account, request.priority]
        deadline = request.start_deadline if is_late else request.in_time_until
        return _Place(
            request.priority,
            is_late,
            deadline + count * FAIRNESS_STEP,
            self._sequence,
        )
