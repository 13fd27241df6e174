"""Steps of a failover.

The replacement is announced to all instances, the replicas stop replicating, a
successor is chosen and promoted, and the new primary is published.
"""

from datetime import timedelta

from bulrushloom.core.sentinels import Missing
from bulrushloom.platform import wire
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.exchange.fleet import Fleet
from bulrushloom.proxy.failover.confirmations import Announcement, InstanceConfirmations
from bulrushloom.proxy.failover.decisions import stopped_replicas
from bulrushloom.proxy.failover.groups import (
    ALL_EVACUATED,
    GROUP_PREFIX,
    GroupPhase,
    GroupRecord,
    StoppedReplica,
)
from bulrushloom.proxy.failover.successor import (
    REPEAT_INTERVAL,
    Successor,
    SuccessorSearch,
)
from bulrushloom.proxy.leadership import Leadership
from bulrushloom.proxy.messages import ServerRole, ServerStatus
from bulrushloom.proxy.server_status import StatusReader
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.store import (
    ExpectedRevision,
    Promotion,
    ProxyStore,
    Put,
    StoreFailure,
)
from bulrushloom.runtime.loop import Steps

# The successor becomes the primary a few hundred milliseconds after the order.
PROMOTION_POLL_INTERVAL = timedelta(milliseconds=30)
CONFIRMATION_POLL_INTERVAL = timedelta(milliseconds=10)
PROMOTION_TIMEOUT = timedelta(milliseconds=2500)
# Statements that run when a planned failover begins have this time to finish.
PLANNED_GRACE_PERIOD = timedelta(milliseconds=150)
# A replica follows the new primary within this time unless it is still stopped.
RESUME_CHECK_INTERVAL = timedelta(seconds=1)
RESUME_ATTEMPTS = 10
FAILOVER_TIMEOUT = timedelta(seconds=30)
# A successor that does not answer for this long after its order may have crashed.
SUCCESSOR_SILENCE_TIMEOUT = timedelta(seconds=3)
ACCEPTED_STATUSES = (200, 202, 204)


def leads(status: ServerStatus, term: int) -> bool:
    """Return whether a server is the primary, and not one that was replaced."""
    return status.role is ServerRole.PRIMARY and status.term >= term


class Abandoned(Exception):
    """The failover cannot continue on this instance."""


class FailoverRunner:
    """Failover steps, which this instance runs while it is the leader.

    ``name`` identifies the instance in promotion orders. ``orders_in_flight`` is the
    number of promotion orders without an answer.
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
        self._log = services.log
        self._store = store
        self._promotion = promotion
        self._leadership = leadership
        self._fleet = fleet
        self._name = name
        self._status = status
        self.orders_in_flight = 0
        # Services of which replicas are being resumed.
        self._resuming: set[str] = set()

    def replace_primary(self, service: str, old_id: str) -> Steps:
        """Replace the primary of a service; return the id of the new one."""
        term = yield from self._next_term(service, old_id)
        group = yield from self._announce_replacing(service, old_id, term)
        confirmations = self._confirmations(group)
        # Finds the instances that registered just before the announcement.
        self._services.request_list()
        demoted = yield from self._demote(group, confirmations)
        successor = yield from self._find_successor(
            SuccessorSearch(self._services, self._status, confirmations, demoted)
        )
        # After a promotion the stopped replicas replicate again.
        group = yield from self._write(
            group._replace(
                sealed=successor.sealed,
                primary_id=successor.target_id,
                stopped_by_id={},
                unanswered_by_id=self._orders.including(service, successor.target_id),
            )
        )
        group = yield from self._promote_successor(group, successor)
        yield from self._outlast_earlier_orders(group, successor)
        # No instance uses the old primary since the search has ended.
        pending = self._orders.pending(service)
        yield from self._write(
            group._replace(phase=GroupPhase.STEADY, unanswered_by_id=pending)
        )
        return successor.target_id

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

    def _find_successor(self, search: SuccessorSearch) -> Steps:
        """Search until a server is safe to promote; return the ``Successor``."""
        deadline = self._loop.now() + FAILOVER_TIMEOUT
        while self._loop.now() < deadline:
            if not self._leadership.may_decide():
                raise Abandoned("this instance no longer holds the leader lease")
            if self._services.table.is_evacuated(search.service):
                raise Abandoned(ALL_EVACUATED)
            found = yield from search.run()
            if not isinstance(found, Missing):
                return found
        raise Abandoned("no server can be promoted safely")

    def stop_draining_replicas(self, service: str, primary: Target) -> Steps:
        """Stop replication to the draining replicas of a service.

        A commit that only a draining replica confirmed would be lost with that replica,
        or unreachable if a network partition cuts it off together with the primary.
        """
        if service in self._resuming:
            # The order to resume carries no term, and could follow the one to stop.
            return
        draining = self._services.table.draining_replicas(service, primary.target_id)
        term = yield from self._next_term(service, "")
        answers = yield from self._status.read_all(draining, wire.pause_text(term))
        stopped_by_id = {
            target.target_id: StoppedReplica(
                answers[target.target_id].received, target.born_ms
            )
            for target in draining
            if target.target_id in answers
        }
        self._log.write(
            "leaving_replicas_stopped",
            service=service,
            term=term,
            positions={
                target_id: str(stopped.position)
                for target_id, stopped in stopped_by_id.items()
            },
        )
        if not stopped_by_id:
            return
        group = self._services.table.group_by_service.get(service) or GroupRecord(
            service=service,
            phase=GroupPhase.STEADY,
            term=term - 1,
            primary_id=primary.target_id,
            old_id="",
            fence=self._leadership.fence,
            revision=0,
            revision_era=self._leadership.era,
        )
        if group.phase is not GroupPhase.STEADY:
            raise Abandoned("the primary is being replaced")
        yield from self._write(
            group._replace(stopped_by_id=dict(group.stopped_by_id) | stopped_by_id)
        )

    def resume_replicas(self, service: str, primary_id: str) -> Steps:
        """Let the replicas receive again that a failover has stopped.

        A promotion does that for those that the new primary reaches, unless they were
        stopped for a term above the new one. A replica that stays stopped would miss
        every commit from then on.
        """
        for _ in range(RESUME_ATTEMPTS):
            yield self._loop.sleep(RESUME_CHECK_INTERVAL)
            group = self._services.table.group_by_service.get(service)
            if group is None or group.phase is not GroupPhase.STEADY:
                return
            if group.primary_id != primary_id or not self._leadership.may_decide():
                return
            evacuations = self._services.table.evacuations
            targets = {
                known.target.target_id: known.target
                for known in self._services.table.targets_of(service)
                if not known.target.is_draining and not evacuations.covers(known.target)
            }
            statuses = yield from self._status.read_all(targets.values(), None)
            if self._services.table.group_by_service.get(service) != group:
                # Another failover may have stopped the replicas meanwhile.
                return
            stopped = stopped_replicas(statuses, primary_id)
            if not stopped and targets.keys() == statuses.keys():
                return
            if stopped:
                yield from self._resume(service, [targets[name] for name in stopped])

    def _resume(self, service: str, replicas: list[Target]) -> Steps:
        self._resuming.add(service)
        try:
            answers = yield from self._status.read_all(replicas, wire.RESUME)
        finally:
            self._resuming.discard(service)
        self._log.write(
            "replicas_resumed",
            service=service,
            stopped=sorted(replica.target_id for replica in replicas),
            confirmed=sorted(answers),
        )

    def _next_term(self, service: str, old_id: str) -> Steps:
        """Return a term above all known ones; an unfinished failover keeps its term."""
        group = self._services.table.group_by_service.get(service)
        if group is not None and group.phase is GroupPhase.REPLACING:
            return group.term
        unreachable = self._services.suspected_targets() | {old_id}
        targets = [
            known.target
            for target_id, known in self._services.table.listed_target_by_id.items()
            if known.target.service == service and target_id not in unreachable
        ]
        statuses = yield from self._status.read_all(targets, None)
        terms = [max(s.term, s.paused_term) for s in statuses.values()]
        latest = self._services.history(service).latest()
        if latest is not None:
            terms.append(latest.position.term)
        if group is not None:
            terms.append(group.term)
        if not terms:
            raise Abandoned("no server of the group reports its term")
        return max(terms) + 1

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
            group = group._replace(primary_id=known.primary_id, sealed=known.sealed)
        return (yield from self._write(group))

    def _write(self, group: GroupRecord) -> Steps:
        """Store and announce the record, provided that nobody else has changed it.

        ``group`` has the version and the revision of the record that it replaces.
        """
        era = self._leadership.era
        if not self._leadership.may_decide():
            raise Abandoned("this instance no longer holds the leader lease")
        if group.revision_era != era:
            raise Abandoned("the group record was read before the store returned")
        key = GROUP_PREFIX + group.service
        group = group.next_record(era, self._leadership.fence)
        value = group.encode()
        written = yield self._store.commit(
            (ExpectedRevision(key, group.revision),), (Put(key, value),), era
        )
        if isinstance(written, StoreFailure):
            raise Abandoned(f"the group record was not written: {written.reason}")
        group = group._replace(revision=written)
        self._services.apply_group_records({group.service: group})
        self._fleet.announce(
            self._fleet.peers_by_name.values(),
            {group.service: (written, value.decode())},
        )
        return group

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

    def _promote_successor(self, group: GroupRecord, successor: Successor) -> Steps:
        """Order the promotion and wait until the successor is the primary.

        Returns the last record written. The successor is asked again before the order
        is repeated: it may have restarted without its log.
        """
        service, target_id = group.service, successor.target_id
        deadline = self._loop.now() + FAILOVER_TIMEOUT
        answered_at = self._loop.now()
        is_ordered = False
        while self._loop.now() < deadline:
            known = self._services.table.listed_target_by_id.get(target_id)
            if known is None:
                raise Abandoned("the successor is no longer listed")
            if not self._leadership.may_decide():
                raise Abandoned("this instance no longer holds the leader lease")
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
                    return group
                yield from self._withdraw_choice(group, target_id, is_ordered)
            if is_ordered:
                unanswered_by_id = self._orders.including(service, target_id)
                group = yield from self._write(
                    group._replace(unanswered_by_id=unanswered_by_id)
                )
            code = yield from self._order_promotion(service, target_id)
            is_ordered = True
            if code:
                self._orders.record_end(service, target_id)
            if code == 409:
                yield from self._withdraw_choice(group, target_id, True)
            is_primary = yield from self._wait_until_primary(
                known.target, successor.term, code in ACCEPTED_STATUSES
            )
            was_primary = isinstance(status, Missing) or leads(status, successor.term)
            if is_primary and not code and not was_primary:
                self._orders.record_end(service, target_id)
            if is_primary:
                return group
        raise Abandoned("the successor did not become the primary")

    def _withdraw_choice(
        self, group: GroupRecord, target_id: str, is_ordered: bool
    ) -> Steps:
        """Record that a successor was not promoted, and abandon this attempt."""
        if not is_ordered:
            # Its order is recorded as one that may be executed, but was not sent.
            self._orders.record_end(group.service, target_id)
        pending = self._orders.pending(group.service)
        yield from self._write(group._replace(primary_id="", unanswered_by_id=pending))
        raise Abandoned("the successor is not running, or its domain is evacuated")

    def _order_promotion(self, service: str, target_id: str) -> Steps:
        """Order a promotion; return the status of the answer, or 0 without one."""
        self.orders_in_flight += 1
        try:
            code = yield self._promotion.promote(
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

    def _outlast_earlier_orders(
        self, group: GroupRecord, successor: Successor
    ) -> Steps:
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
            if not self._leadership.may_decide():
                raise Abandoned("this instance no longer holds the leader lease")
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

    def _wait_until_primary(
        self, target: Target, term: int, is_accepted: bool
    ) -> Steps:
        timeout = PROMOTION_TIMEOUT if is_accepted else REPEAT_INTERVAL * 3
        deadline = self._loop.now() + timeout
        while self._loop.now() < deadline:
            status = yield from self._status.read(target)
            if not isinstance(status, Missing) and leads(status, term):
                return True
            yield self._loop.sleep(PROMOTION_POLL_INTERVAL)
        return False
