"""First-in, first-out queue, a baseline for comparison with ``FairQueue``."""

from collections import OrderedDict
from datetime import timedelta

from bulrushloom.coordination.queueing.base import EMPTY, SlotQueue
from bulrushloom.core.sentinels import Missing


class FifoQueue(SlotQueue):
    """Serve items in order of arrival, regardless of their account."""

    def __init__(self, limit: int):
        self._limit = limit
        self._deadline_by_item: OrderedDict[str, timedelta] = OrderedDict()

    def push(
        self, item_id: str, account: str, deadline: timedelta, now: timedelta
    ) -> bool:
        """Add an item; return false if the queue is full."""
        if len(self) >= self._limit or item_id in self._deadline_by_item:
            return False
        self._deadline_by_item[item_id] = deadline
        return True

    def pop(self, now: timedelta) -> str | Missing:
        """Remove and return the oldest item whose deadline has not passed."""
        for item_id, deadline in self._deadline_by_item.items():
            if deadline > now:
                del self._deadline_by_item[item_id]
                return item_id
        return EMPTY

    def expired(self, now: timedelta) -> list[str]:
        """Remove and return the items whose deadline has passed, oldest first."""
        expired = [i for i, until in self._deadline_by_item.items() if until <= now]
        for item_id in expired:
            del self._deadline_by_item[item_id]
        return expired

    def remove(self, item_id: str) -> bool:
        """Remove an item; return false if it is not in the queue."""
        return self._deadline_by_item.pop(item_id, None) is not None

    def charge(self, account: str, duration: timedelta) -> None:
        """Ignore the duration; the order does not depend on it."""

    def __len__(self) -> int:
        """Return the number of waiting items."""
        return len(self._deadline_by_item)
