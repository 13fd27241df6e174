"""Promotion orders without an answer, which may still be executed."""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.proxy.failover.groups import GroupRecord
from bulrushloom.runtime.loop import Loop

# An order without an answer may be executed for this time.
ORDER_LIFETIME = timedelta(seconds=9)


class _Orders(NamedTuple):
    """Number of orders for a server, and the announcement of the last one."""

    number: int
    announced_at: timedelta


class PromotionOrders:
    """Servers that may become the primary by an order that got no answer.

    Such an order may be executed seconds later, even if its server has restarted
    without its log since. What another server has committed by then is lost.
    """

    def __init__(self, loop: Loop):
        self._loop = loop
        self._orders_by_service: dict[str, dict[str, _Orders]] = {}

    def apply_group_record(self, group: GroupRecord) -> None:
        """Apply a new record; one is written before each order."""
        known_by_id = self._orders_by_service.get(group.service, {})
        new = _Orders(0, self._loop.now())
        orders_by_id = {}
        for target_id, number in group.unanswered_by_id.items():
            known = known_by_id.get(target_id, new)
            latest = known if known.number >= number else new
            orders_by_id[target_id] = latest._replace(number=number)
        self._orders_by_service[group.service] = orders_by_id

    def record_end(self, service: str, target_id: str) -> None:
        """Record that an order for a server was answered, or has taken effect."""
        orders_by_id = self._orders_by_service.get(service, {})
        known = orders_by_id.pop(target_id, None)
        if known is not None and known.number > 1:
            orders_by_id[target_id] = known._replace(number=known.number - 1)

    def pending(self, service: str) -> dict[str, int]:
        """Return the number of orders that may be executed, by server."""
        oldest = self._loop.now() - ORDER_LIFETIME
        return {
            target_id: orders.number
            for target_id, orders in self._orders_by_service.get(service, {}).items()
            if orders.announced_at >= oldest
        }

    def including(self, service: str, target_id: str) -> Mapping[str, int]:
        """Return the same with a further order for a server."""
        known = self._orders_by_service.get(service, {}).get(target_id)
        number = known.number if known is not None else 0
        return self.pending(service) | {target_id: number + 1}
