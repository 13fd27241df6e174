"""Promotion of the chosen successor, and of no other server.

An order to the platform may be executed although its answer was lost, so each one is
recorded before it is sent, until it can no longer take effect.
"""

from datetime import timedelta

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.failover.abandonment import (
    FAILOVER_TIMEOUT,
    Abandoned,
    check_leadership,
)
from bulrushloom.proxy.failover.group_writer import GroupWriter
from bulrushloom.proxy.failover.groups import GroupRecord
from bulrushloom.proxy.failover.successor import REPEAT_INTERVAL, Successor
from bulrushloom.proxy.failover.terms import leads
from bulrushloom.proxy.leadership import Leadership
from bulrushloom.proxy.messages import ServerRole, ServerStatus
from bulrushloom.proxy.server_status import StatusReader
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.store import Promotion
from bulrushloom.runtime.loop import Steps

# The successor becomes the primary a few hundred milliseconds after the order.
PROMOTION_POLL_INTERVAL = timedelta(milliseconds=30)
PROMOTION_TIMEOUT = timedelta(milliseconds=2500)
# A successor that does not answer for this long after its order may have crashed.
SUCCESSOR_SILENCE_TIMEOUT = timedelta(seconds=3)
ACCEPTED_STATUSES = (200, 202, 204)


class SuccessorPromotion:
    """Orders promotions and waits until they have taken effect.

    ``name`` identifies the instance in the orders. ``orders_in_flight`` is the number
    of orders without an answer.
    """

    def __init__(
        self,
        services: Services,
        platform: Promotion,
        leadership: Leadership,
        status: StatusReader,
        writer: GroupWriter,
        name: str,
    ):
        self._services = services
        self._orders = services.orders
        self._loop = services.loop
        self._log = services.log
        self._platform = platform
        self._leadership = leadership
        self._status = status
        self._writer = writer
        self._name = name
        self.orders_in_flight = 0

    def promote(self, group: GroupRecord, successor: Successor) -> Steps:
        """Order the promotion and wait until the successor is the primary.

        Returns the last record written, with the term in which the successor leads. The
        successor is asked again before the order is repeated: it may have restarted
        without its log.
        """
        service, target_id = group.service, successor.target_id
        deadline = self._loop.now() + FAILOVER_TIMEOUT
        answered_at = self._loop.now()
        is_ordered = False
        while self._loop.now() < deadline:
            known = self._services.table.listed_target_by_id.get(target_id)
            if known is None:
                raise Abandoned("the successor is no longer listed")
            check_leadership(self._leadership)
            status = yield from self._status.read(known.target)
            if not isinstance(status, Missing):
                answered_at = self._loop.now()
                if status.received < successor.sealed:
                    raise Abandoned("the successor no longer has every commit")
            elif is_ordered:
                if self._loop.now() - answered_at >= SUCCESSOR_SILENCE_TIMEOUT:
                    raise Abandoned("the successor does not answer")
                yield self._loop.sleep(REPEAT_INTERVAL)
                continue
            if self._services.table.evacuations.covers(known.target):
                if not isinstance(status, Missing) and leads(status, successor.term):
                    # It is replaced again at once.
                    return group._replace(primary_term=status.term)
                yield from self._withdraw_choice(group, target_id, is_ordered)
            if is_ordered:
                unanswered_by_id = self._orders.including(service, target_id)
                group = yield from self._writer.write(
                    group._replace(unanswered_by_id=unanswered_by_id)
                )
            leading = yield from self._order_and_wait(
                group, successor, known.target, status
            )
            is_ordered = True
            if leading is not None:
                return group._replace(primary_term=leading.term)
        raise Abandoned("the successor did not become the primary")

    def _order_and_wait(
        self,
        group: GroupRecord,
        successor: Successor,
        target: Target,
        status: ServerStatus | Missing,
    ) -> Steps:
        """Order the promotion; return the status of the successor once it leads.

        ``status`` is the last one before the order. Returns ``None`` if it did not
        become the primary.
        """
        service, target_id = group.service, successor.target_id
        code = yield from self._order_promotion(service, target_id)
        if code:
            self._orders.record_end(service, target_id)
        if code == 409:
            yield from self._withdraw_choice(group, target_id, True)
        leading = yield from self._wait_until_primary(
            target, successor.term, code in ACCEPTED_STATUSES
        )
        was_primary = isinstance(status, Missing) or leads(status, successor.term)
        if leading is not None and not code and not was_primary:
            self._orders.record_end(service, target_id)
        return leading

    def _withdraw_choice(
        self, group: GroupRecord, target_id: str, is_ordered: bool
    ) -> Steps:
        """Record that a successor was not promoted, and abandon this attempt."""
        if not is_ordered:
            # Its order is recorded as one that may be executed, but was not sent.
            self._orders.record_end(group.service, target_id)
        pending = self._orders.pending(group.service)
        yield from self._writer.write(
            group._replace(primary_id="", unanswered_by_id=pending)
        )
        raise Abandoned("the successor is not running, or its domain is evacuated")

    def _order_promotion(self, service: str, target_id: str) -> Steps:
        """Order a promotion; return the status of the answer, or 0 without one."""
        self.orders_in_flight += 1
        try:
            code = yield self._platform.promote(
                service,
                target_id,
                self._name,
                self._leadership.fence,
                self._leadership.may_decide,
            )
        finally:
            self.orders_in_flight -= 1
        self._log.write(
            "promotion_ordered",
            service=service,
            successor=target_id,
            fence=self._leadership.fence,
            status=code,
        )
        return code

    def _wait_until_primary(
        self, target: Target, term: int, is_accepted: bool
    ) -> Steps:
        timeout = PROMOTION_TIMEOUT if is_accepted else REPEAT_INTERVAL * 3
        deadline = self._loop.now() + timeout
        while self._loop.now() < deadline:
            status = yield from self._status.read(target)
            if not isinstance(status, Missing) and leads(status, term):
                return status
            yield self._loop.sleep(PROMOTION_POLL_INTERVAL)
        return None

    def outlast_earlier_orders(self, group: GroupRecord, successor: Successor) -> Steps:
        """Wait until no earlier order can make another server the primary.

        No instance uses the successor meanwhile, so nothing is lost if that happens.
        """
        service, target_id = group.service, successor.target_id
        ordered_ids = group.unanswered_by_id.keys() - {target_id}
        answered_at = self._loop.now()
        if ordered_ids:
            self._log.write(
                "earlier_orders_awaited",
                service=service,
                successor=target_id,
                ordered=sorted(ordered_ids),
            )
        while ordered_ids:
            check_leadership(self._leadership)
            pending_ids = self._orders.pending(service).keys() - {target_id}
            found = map(self._services.table.find_target, {target_id, *ordered_ids})
            statuses = yield from self._status.read_all(
                [target for target in found if target is not None], None
            )
            status = statuses.pop(target_id, None)
            if status is not None:
                answered_at = self._loop.now()
                terms = [
                    other.term
                    for other in statuses.values()
                    if other.role is ServerRole.PRIMARY
                ]
                if not leads(status, max(terms, default=0)):
                    raise Abandoned("an earlier order has promoted another server")
                if not pending_ids:
                    return
            if self._loop.now() - answered_at >= SUCCESSOR_SILENCE_TIMEOUT:
                raise Abandoned("the successor does not answer")
            yield self._loop.sleep(REPEAT_INTERVAL)
