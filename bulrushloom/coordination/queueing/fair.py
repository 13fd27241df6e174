"""Weighted fair queueing between accounts."""

from collections import OrderedDict, deque
from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.queueing.base import EMPTY, SlotQueue
from bulrushloom.core.sentinels import Missing

DEFAULT_WEIGHT = 1.0
# Estimated cost of an account's items until the first one has finished.
INITIAL_COST = timedelta(milliseconds=5)
# Weight of the latest duration in the moving average of an account's costs.
COST_SMOOTHING = 0.2


class QueuedItem(NamedTuple):
    """Hold the deadline of an item and its position in the order of arrival."""

    deadline: timedelta
    arrival_number: int


class AccountQueue:
    """Hold the waiting items of an account and the service it has received.

    ``service`` is the slot time in seconds, divided by the account's weight.
    """

    def __init__(self, weight: float):
        self.weight = weight
        self.service = 0.0
        self.average_cost = INITIAL_COST.total_seconds()
        self.estimated_costs: deque[float] = deque()
        self.items: OrderedDict[str, QueuedItem] = OrderedDict()

    def first_unexpired(self, now: timedelta) -> str | None:
        """Return the first item whose deadline has not passed."""
        for item_id, item in self.items.items():
            if item.deadline > now:
                return item_id
        return None

    def charge_estimate(self) -> None:
        """Charge the average cost for an item that is about to run."""
        self.estimated_costs.append(self.average_cost)
        self.service += self.average_cost / self.weight

    def correct_charge(self, cost: float) -> None:
        """Replace the oldest estimated cost with a measured one."""
        if not self.estimated_costs:
            return
        self.service += (cost - self.estimated_costs.popleft()) / self.weight
        self.average_cost += COST_SMOOTHING * (cost - self.average_cost)


class FairQueue(SlotQueue):
    """Serve the account that has received the least slot time for its weight.

    When an item is popped, its account is charged the average cost; the charge is
    corrected once the duration is known, so that slow statements count in full. An
    account that becomes active again starts at the virtual time, the highest service
    at which an account was served, so idle accounts accumulate no credit.
    """

    def __init__(
        self,
        limit_per_account: int,
        weight_by_account: Mapping[str, float] | None = None,
    ):
        self._limit = limit_per_account
        self._weight_by_account = dict(weight_by_account or {})
        self._queue_by_account: dict[str, AccountQueue] = {}
        self._account_by_item: dict[str, str] = {}
        self._virtual_time = 0.0
        self._push_count = 0

    def update_weights(self, weight_by_account: Mapping[str, float]) -> None:
        """Replace the weights; an account without one has weight 1."""
        self._weight_by_account = dict(weight_by_account)
        for account, queue in self._queue_by_account.items():
            queue.weight = self._weight(account)

    def push(
        self, item_id: str, account: str, deadline: timedelta, now: timedelta
    ) -> bool:
        """Add an item; return false if the account's queue is full."""
        queue = self._queue_by_account.get(account)
        if queue is None:
            queue = self._queue_by_account[account] = AccountQueue(
                self._weight(account)
            )
        if len(queue.items) >= self._limit or item_id in self._account_by_item:
            return False
        if not queue.items:
            queue.service = max(queue.service, self._virtual_time)
        self._push_count += 1
        queue.items[item_id] = QueuedItem(deadline, self._push_count)
        self._account_by_item[item_id] = account
        return True

    def pop(self, now: timedelta) -> str | Missing:
        """Remove and return the next item of the account with the least service."""
        candidates = []
        for account, queue in self._queue_by_account.items():
            item_id = queue.first_unexpired(now)
            if item_id is not None:
                number = queue.items[item_id].arrival_number
                candidates.append((queue.service, number, account, item_id))
        if not candidates:
            return EMPTY
        service, _, account, item_id = min(candidates)
        self._virtual_time = max(self._virtual_time, service)
        self._queue_by_account[account].charge_estimate()
        self.remove(item_id)
        return item_id

    def expired(self, now: timedelta) -> list[str]:
        """Remove and return the items whose deadline has passed, oldest first."""
        found = [
            (item.arrival_number, item_id)
            for queue in self._queue_by_account.values()
            for item_id, item in queue.items.items()
            if item.deadline <= now
        ]
        expired = [item_id for _, item_id in sorted(found)]
        for item_id in expired:
            self.remove(item_id)
        return expired

    def remove(self, item_id: str) -> bool:
        """Remove an item; return false if it is not in the queue."""
        account = self._account_by_item.pop(item_id, None)
        if account is None:
            return False
        del self._queue_by_account[account].items[item_id]
        return True

    def charge(self, account: str, duration: timedelta) -> None:
        """Correct the cost that was estimated when the item was popped."""
        queue = self._queue_by_account.get(account)
        if queue is not None:
            queue.correct_charge(duration.total_seconds())

    def __len__(self) -> int:
        """Return the number of waiting items."""
        return len(self._account_by_item)

    def _weight(self, account: str) -> float:
        return self._weight_by_account.get(account, DEFAULT_WEIGHT)
