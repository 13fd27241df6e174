"""Token requests of an entry instance that wait for an answer."""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.limits.base import AccountDemand

# Holders acknowledge a request immediately. Without an acknowledgement after this time,
# the next instance is tried while the caller is still waiting.
ACK_TIMEOUT = timedelta(milliseconds=100)
# Demand that an acknowledged request did not satisfy in this time is requested again.
ANSWER_TIMEOUT = timedelta(milliseconds=400)
# Grants that arrive later than this after the request have expired.
REQUEST_RETENTION = timedelta(seconds=1)


class Share(NamedTuple):
    """Share of one domain and shard, and the instance that is asked for its tokens."""

    domain: str
    shard: int
    holder: str


class SentRequest:
    """A token request, kept until the grants for it have expired."""

    def __init__(
        self, share: Share, sent_at: timedelta, demands: Iterable[AccountDemand]
    ):
        self.share = share
        self.sent_at = sent_at
        self.demand_by_account = {demand.account: demand for demand in demands}
        self.acknowledged = False
        # The demand of an abandoned request counts as unrequested again.
        self.abandoned = False


class RequestTable:
    """Assign sequences to requests and match answers with them."""

    def __init__(self) -> None:
        self._sequence = 0
        self._request_by_sequence: dict[int, SentRequest] = {}

    def __len__(self) -> int:
        return len(self._request_by_sequence)

    def add(self, share: Share, demands: list[AccountDemand], now: timedelta) -> int:
        """Return the sequence of a new request and store it if it has demands."""
        self._sequence += 1
        if demands:
            request = SentRequest(share, now, demands)
            self._request_by_sequence[self._sequence] = request
        return self._sequence

    def find(self, sender: str, sequence: int) -> SentRequest | None:
        """Return the request with this sequence if it was sent to ``sender``."""
        request = self._request_by_sequence.get(sequence)
        return request if request and request.share.holder == sender else None

    def acknowledge(self, sender: str, sequence: int) -> None:
        """Mark a request as acknowledged by its recipient."""
        request = self.find(sender, sequence)
        if request is not None:
            request.acknowledged = True

    def remove_refused(self, sender: str, sequence: int) -> SentRequest | None:
        """Remove a refused request and return it unless it was already abandoned."""
        request = self.find(sender, sequence)
        if request is None or request.acknowledged:
            return None
        del self._request_by_sequence[sequence]
        return None if request.abandoned else request

    def abandon_unacknowledged(self, holder: str) -> list[SentRequest]:
        """Abandon the unacknowledged requests to ``holder`` and return them."""
        found = [
            request
            for request in self._request_by_sequence.values()
            if request.share.holder == holder
            and not request.acknowledged
            and not request.abandoned
        ]
        for request in found:
            request.abandoned = True
        return found

    def abandon_overdue(self, now: timedelta) -> list[SentRequest]:
        """Abandon overdue requests and return them; drop those that have expired."""
        overdue = []
        for sequence, request in list(self._request_by_sequence.items()):
            age = now - request.sent_at
            limit = ANSWER_TIMEOUT if request.acknowledged else ACK_TIMEOUT
            if not request.abandoned and age >= limit and request.demand_by_account:
                request.abandoned = True
                overdue.append(request)
            if age >= REQUEST_RETENTION or not request.demand_by_account:
                del self._request_by_sequence[sequence]
        return overdue
