"""Steps of a failover.

The replacement is announced to all instances, the replicas stop replicating, a
successor is chosen and promoted, and the new primary is published.
"""

from datetime import timedelta

from bulrushloom.core.sentinels import Missing
from bulrushloom.platform import wire
from bulrushloom.proxy.exchange.fleet import Fleet
from bulrushloom.proxy.failover.abandonment import (
    FAILOVER_TIMEOUT,
    Abandoned,
    check_leadership,
)
from bulrushloom.proxy.failover.confirmations import Announcement, InstanceConfirmations
from bulrushloom.proxy.failover.group_writer import GroupWriter
from bulrushloom.proxy.failover.groups import ALL_EVACUATED, GroupPhase, GroupRecord
from bulrushloom.proxy.failover.promotion import SuccessorPromotion
from bulrushloom.proxy.failover.replica_stops import ReplicaStops
from bulrushloom.proxy.failover.successor import REPEAT_INTERVAL, SuccessorSearch
from bulrushloom.proxy.failover.terms import next_term
from bulrushloom.proxy.leadership import Leadership
from bulrushloom.proxy.server_status import StatusReader
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.store import Promotion, ProxyStore
from bulrushloom.runtime.loop import Steps

CONFIRMATION_POLL_INTERVAL = timedelta(milliseconds=10)
# Statements that run when a planned failover begins have this time to finish.
PLANNED_GRACE_PERIOD = timedelta(milliseconds=150)


class FailoverRunner:
    """Failover steps, which this instance runs while it is the leader.

    ``name`` identifies the instance in promotion orders.
    """

    def __init__(
        self,
        services: Services,
        store: ProxyStore,
        promotion: Promotion,
        leadership: Leadership,
        fleet: Fleet,
        status: StatusReader,
        name: str,
    ):
        self._services = services
        self._orders = services.orders
        self._loop = services.loop
        self._leadership = leadership
        self._fleet = fleet
        self._status = status
        self._writer = GroupWriter(services, store, leadership, fleet)
        self.promotion = SuccessorPromotion(
            services, promotion, leadership, status, self._writer, name
        )
        self.replicas = ReplicaStops(services, leadership, status, self._writer)

    def replace_primary(self, service: str, old_id: str) -> Steps:
        """Replace the primary of a service; return the id of the new one."""
        term = yield from next_term(self._services, self._status, service, old_id)
        group = yield from self._announce_replacing(service, old_id, term)
        confirmations = self._confirmations(group)
        # Finds the instances that registered just before the announcement.
        self._services.request_list()
        demoted = yield from self._demote(group, confirmations)
        successor = yield from self._find_successor(
            SuccessorSearch(self._services, self._status, confirmations, demoted)
        )
        # After a promotion the stopped replicas replicate again.
        group = yield from self._writer.write(
            group._replace(
                sealed=successor.sealed,
                sealed_era=self._leadership.era,
                primary_id=successor.target_id,
                stopped_by_id={},
                unanswered_by_id=self._orders.including(service, successor.target_id),
            )
        )
        group = yield from self.promotion.promote(group, successor)
        yield from self.promotion.outlast_earlier_orders(group, successor)
        # No instance uses the old primary since the search has ended.
        pending = self._orders.pending(service)
        yield from self._writer.write(
            group._replace(phase=GroupPhase.STEADY, unanswered_by_id=pending)
        )
        return successor.target_id

    def _announce_replacing(self, service: str, old_id: str, term: int) -> Steps:
        known = self._services.table.group_by_service.get(service)
        group = GroupRecord(
            service=service,
            phase=GroupPhase.REPLACING,
            term=term,
            primary_id="",
            old_id=old_id,
            fence=self._leadership.fence,
            revision=known.revision if known else 0,
            stopped_by_id=known.stopped_by_id if known else {},
            unanswered_by_id=self._orders.pending(service),
            era=known.era if known else self._leadership.era,
            generation=known.generation if known else 0,
            revision_era=known.revision_era if known else self._leadership.era,
        )
        if known is not None and known.phase is GroupPhase.REPLACING:
            # An order of an earlier attempt may still be executed.
            group = group._replace(
                primary_id=known.primary_id,
                sealed=known.sealed,
                sealed_era=known.sealed_era,
            )
        return (yield from self._writer.write(group))

    def _confirmations(self, group: GroupRecord) -> InstanceConfirmations:
        now = self._loop.now()
        known_since = self._services.commits.replacing_since(group.service)
        announcement = Announcement(
            now, known_since or now, frozenset(self._fleet.peers_by_name)
        )
        return InstanceConfirmations(self._services, self._fleet, group, announcement)

    def _demote(
        self, group: GroupRecord, confirmations: InstanceConfirmations
    ) -> Steps:
        """Order the old primary to step down; return its status if it confirms.

        Nobody waits for one that is suspected.
        """
        # An old primary that is not listed may still serve.
        old = self._services.table.find_target(group.old_id)
        if old is None:
            return None
        command = wire.demote_text(group.term)
        if group.old_id in self._services.suspected_targets():
            self._loop.spawn(self._status.read_all([old], command))
            return None
        deadline = self._loop.now() + PLANNED_GRACE_PERIOD
        yield from self._wait_for_instances(confirmations, deadline)
        answers = yield from self._status.read_all([old], command)
        return answers.get(group.old_id)

    def _wait_for_instances(
        self, confirmations: InstanceConfirmations, deadline: timedelta
    ) -> Steps:
        """Wait until all instances follow the record, or until ``deadline``."""
        last_sent_at = self._loop.now()
        while self._loop.now() < deadline and confirmations.closed_at() is None:
            if self._loop.now() - last_sent_at >= REPEAT_INTERVAL:
                last_sent_at = self._loop.now()
                confirmations.announce_again()
            yield self._loop.sleep(CONFIRMATION_POLL_INTERVAL)

    def _find_successor(self, search: SuccessorSearch) -> Steps:
        """Search until a server is safe to promote; return the ``Successor``."""
        deadline = self._loop.now() + FAILOVER_TIMEOUT
        while self._loop.now() < deadline:
            check_leadership(self._leadership)
            if self._services.table.is_evacuated(search.service):
                raise Abandoned(ALL_EVACUATED)
            found = yield from search.run()
            if not isinstance(found, Missing):
                return found
        raise Abandoned("no server can be promoted safely")
