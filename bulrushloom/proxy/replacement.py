"""Steps of a failover.

The replacement is announced to all instances, the replicas stop replicating, a
successor is chosen and promoted, and the new primary is published.
"""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.core.sentinels import Missing
from bulrushloom.platform import wire
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.exchange.fleet import Fleet
from bulrushloom.proxy.failover import FailoverState, choose_successor
from bulrushloom.proxy.groups import GROUP_PREFIX, GroupPhase, GroupRecord
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
from bulrushloom.proxy.store_freshness import MAX_PRIMARY_AGE
from bulrushloom.runtime.loop import Steps

# Repeating a request more often does not yield an earlier answer.
REPEAT_INTERVAL = timedelta(milliseconds=100)
# The successor becomes the primary a few hundred milliseconds after the order.
PROMOTION_POLL_INTERVAL = timedelta(milliseconds=30)
PROMOTION_TIMEOUT = timedelta(milliseconds=2500)
# Time after a demotion for the replicas to receive the last commits of the old primary,
# which takes the usual lag.
CATCH_UP_TIMEOUT = timedelta(milliseconds=400)
# If no replica has caught up this long after the demotion, the demoted primary is a
# candidate again.
REINSTATEMENT_DELAY = timedelta(seconds=1)
# Statements that run when a planned failover begins have this time to finish.
PLANNED_GRACE_PERIOD = timedelta(milliseconds=150)
FAILOVER_TIMEOUT = timedelta(seconds=30)
# A server that neither answers nor is listed is given up after this time, since a
# failover has to finish within 12 s.
VANISHED_SERVER_TIMEOUT = timedelta(seconds=10)
ACCEPTED_STATUSES = (200, 202, 204)


class Abandoned(Exception):
    """The failover cannot continue on this instance."""


class Announcement(NamedTuple):
    """Time at which a replacement was announced, and the instances known at that time.

    A partitioned instance keeps serving although its entry expires, so it counts until
    it confirms the announcement.
    """

    announced_at: timedelta
    instances: frozenset[str]


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
        self._loop = services.loop
        self._log = services.log
        self._store = store
        self._promotion = promotion
        self._leadership = leadership
        self._fleet = fleet
        self._name = name
        self._status = status
        self._announced_at_by_service: dict[str, timedelta] = {}

    def replace_primary(self, service: str, old_id: str) -> Steps:
        """Replace the primary of a service; return the id of the new one."""
        term = yield from self._next_term(service, old_id)
        group = yield from self._announce_replacing(service, old_id, term)
        announced_at = self._loop.now()
        self._announced_at_by_service[service] = announced_at
        if self._services.request_store_read is not None:
            # Finds the instances that registered just before the announcement.
            self._services.request_store_read()
        instances = frozenset(self._fleet.peers_by_name)
        old = self._services.table.listed_target_by_id.get(old_id)
        demoted = None
        if old is not None and old_id in self._services.suspected_targets():
            # The old primary gets the order if it is reachable; nobody waits for it.
            self._loop.spawn(
                self._status.read_all([old.target], wire.demote_text(term))
            )
        elif old is not None:
            yield from self._wait_for_instances(
                group, announced_at + PLANNED_GRACE_PERIOD
            )
            answers = yield from self._status.read_all(
                [old.target], wire.demote_text(term)
            )
            demoted = answers.get(old_id)
        successor, sealed = yield from self._choose_successor(
            service, group, demoted, Announcement(announced_at, instances)
        )
        # After a promotion the stopped replicas replicate again.
        group = yield from self._write(
            group._replace(
                sealed=sealed, primary_id=successor, stopped_position_by_id={}
            )
        )
        yield from self._promote_successor(service, successor)
        # An instance that has not confirmed by the deadline no longer uses the old
        # primary, because its last read of the store is then too old.
        yield from self._wait_for_instances(group, announced_at + MAX_PRIMARY_AGE)
        group = yield from self._write(group._replace(phase=GroupPhase.STEADY))
        return successor

    def stop_draining_replicas(self, service: str, primary: Target) -> Steps:
        """Stop replication to the draining replicas of a service.

        A commit that only a draining replica confirmed would be lost with that replica,
        or unreachable if a network partition cuts it off together with the primary.
        """
        draining = self._services.table.draining_replicas(service, primary.target_id)
        term = yield from self._next_term(service, "")
        answers = yield from self._status.read_all(draining, wire.pause_text(term))
        stopped_position_by_id = {
            target_id: status.received for target_id, status in answers.items()
        }
        self._log.write(
            "leaving_replicas_stopped",
            service=service,
            term=term,
            positions={
                target_id: str(position)
                for target_id, position in stopped_position_by_id.items()
            },
        )
        if not stopped_position_by_id:
            return
        group = self._services.table.group_by_service.get(service) or GroupRecord(
            service=service,
            phase=GroupPhase.STEADY,
            term=term - 1,
            primary_id=primary.target_id,
            old_id="",
            fence=self._leadership.fence,
            revision=0,
        )
        if group.phase is not GroupPhase.STEADY:
            raise Abandoned("the primary is being replaced")
        stopped_position_by_id = (
            dict(group.stopped_position_by_id) | stopped_position_by_id
        )
        yield from self._write(
            group._replace(stopped_position_by_id=stopped_position_by_id)
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
            stopped_position_by_id=known.stopped_position_by_id if known else {},
        )
        return (yield from self._write(group))

    def _write(self, group: GroupRecord) -> Steps:
        """Store and announce the record, provided that nobody else has changed it."""
        if not self._leadership.is_leader():
            raise Abandoned("this instance no longer holds the leader lease")
        key = GROUP_PREFIX + group.service
        value = group._replace(fence=self._leadership.fence).encode()
        written = yield self._store.commit(
            (ExpectedRevision(key, group.revision),), (Put(key, value),)
        )
        if isinstance(written, StoreFailure):
            raise Abandoned(f"the group record was not written: {written.reason}")
        group = group._replace(revision=written, fence=self._leadership.fence)
        self._services.apply_group_records({group.service: group})
        self._fleet.announce(
            self._fleet.peers_by_name.values(),
            {group.service: (written, value.decode())},
        )
        return group

    def _wait_for_instances(self, group: GroupRecord, deadline: timedelta) -> Steps:
        """Wait until all instances follow the record, or until ``deadline``."""
        last_sent_at = self._loop.now()
        while self._loop.now() < deadline and self._is_unconfirmed(group):
            if self._loop.now() - last_sent_at >= REPEAT_INTERVAL:
                last_sent_at = self._loop.now()
                unconfirmed = self._unconfirmed_instances(group)
                peers = self._fleet.peers_by_name
                members = [peers[name] for name in unconfirmed if name in peers]
                value = group.encode().decode()
                self._fleet.announce(members, {group.service: (group.revision, value)})
            yield self._loop.sleep(timedelta(milliseconds=10))

    def _is_unconfirmed(self, group: GroupRecord) -> bool:
        return bool(self._unconfirmed_instances(group)) or self._has_unlisted_instance(
            group.service
        )

    def _has_unlisted_instance(self, service: str) -> bool:
        """Return whether an instance may run that cannot confirm to this one.

        That is so until a list of members has been read since the announcement, because
        an instance may have started in the meantime.
        If the store rejects the calls of an instance, the member entry of the instance
        expires, but the instance keeps working with the reports of its domain. Only the
        total of its domain still includes it.
        """
        announced_at = self._announced_at_by_service.get(service)
        if announced_at and not self._fleet.directory_listed_since(announced_at):
            return True
        return self._services.member_count > len(self._fleet.peers_by_name) + 1

    def _unconfirmed_instances(
        self, group: GroupRecord, announced_to: frozenset[str] = frozenset()
    ) -> list[str]:
        """Return the instances that have not reported that they follow the record.

        Instances in ``announced_to`` count even if they are no longer listed.
        """
        unconfirmed = []
        for name in self._fleet.peers_by_name.keys() | announced_to:
            report = self._fleet.report_by_name.get(name)
            member = self._fleet.peers_by_name.get(name)
            followed = report.followed_revision_by_service if report else {}
            has_restarted = (
                report is not None
                and member is not None
                and report.member.incarnation != member.incarnation
            )
            if has_restarted or followed.get(group.service, 0) < group.revision:
                unconfirmed.append(name)
        return unconfirmed

    def _choose_successor(
        self,
        service: str,
        group: GroupRecord,
        demoted: ServerStatus | None,
        announcement: Announcement,
    ) -> Steps:
        """Wait until a server is safe to promote; return it and the sealed position.

        Stops replication first, unless the old primary confirmed its demotion.
        The sealed position covers every commit acknowledged so far.
        """
        deadline = self._loop.now() + FAILOVER_TIMEOUT
        status_by_id: dict[str, ServerStatus] = {}
        required_ids: set[str] = set()
        started_at = self._loop.now()
        while self._loop.now() < deadline:
            if not self._leadership.is_leader():
                raise Abandoned("this instance no longer holds the leader lease")
            targets = {
                known.target.target_id: known.target
                for known in self._services.table.targets_of(service)
                if known.target.target_id != group.old_id
            }
            # A demoted primary sends the rest of its log, so replication continues.
            command = wire.pause_text(group.term) if demoted is None else None
            answers = yield from self._status.read_all(
                (
                    target
                    for target_id, target in targets.items()
                    if demoted or target_id not in status_by_id
                ),
                command,
            )
            status_by_id |= answers
            status_by_id = {
                target_id: status
                for target_id, status in status_by_id.items()
                if target_id in targets
            }
            elapsed = self._loop.now() - started_at
            if demoted is not None and elapsed >= REINSTATEMENT_DELAY:
                targets |= self._reinstatable_primary(group.old_id)
                status_by_id |= {
                    target_id: demoted
                    for target_id in targets
                    if target_id == group.old_id
                }
            if demoted is not None and elapsed < CATCH_UP_TIMEOUT:
                received = [status.received for status in status_by_id.values()]
                if not received or max(received) < demoted.received:
                    yield self._loop.sleep(PROMOTION_POLL_INTERVAL)
                    continue
            if self._loop.now() - announcement.announced_at < VANISHED_SERVER_TIMEOUT:
                # A partition can hide the entry of a server that still acknowledges
                # commits.
                required_ids |= targets.keys()
            else:
                required_ids &= targets.keys()
            unconfirmed = self._unconfirmed_instances(group, announcement.instances)
            state = FailoverState(
                status_by_id,
                frozenset(required_ids - status_by_id.keys()),
                demoted,
                self._services.acknowledged_by_service.get(service),
                not unconfirmed and not self._has_unlisted_instance(service),
                group.stopped_position_by_id,
            )
            successor = choose_successor(targets, state)
            if isinstance(successor, Missing):
                self._log.write(
                    "successor_delayed",
                    service=service,
                    reason=successor.reason,
                    missing=sorted(state.missing),
                    instances_missing=sorted(unconfirmed),
                    has_unlisted_instance=self._has_unlisted_instance(service),
                )
            if not isinstance(successor, Missing):
                sealed = max(status.received for status in status_by_id.values())
                self._log.write(
                    "successor_chosen",
                    service=service,
                    successor=successor,
                    positions={
                        target_id: str(status.received)
                        for target_id, status in status_by_id.items()
                    },
                    missing=sorted(state.missing),
                    demoted=str(demoted.received) if demoted else "",
                    acknowledged=str(state.acknowledged),
                )
                return successor, sealed
            yield self._loop.sleep(REPEAT_INTERVAL)
        raise Abandoned("no server can be promoted safely")

    def _reinstatable_primary(self, old_id: str) -> dict[str, Target]:
        """Return the demoted primary unless it is draining; it has every commit."""
        known = self._services.table.listed_target_by_id.get(old_id)
        if known is None or known.target.is_draining:
            return {}
        return {old_id: known.target}

    def _promote_successor(self, service: str, successor: str) -> Steps:
        """Order the promotion and wait until the successor is the primary."""
        deadline = self._loop.now() + FAILOVER_TIMEOUT
        while self._loop.now() < deadline:
            known = self._services.table.listed_target_by_id.get(successor)
            if known is None:
                raise Abandoned("the successor is no longer listed")
            if not self._leadership.is_leader():
                raise Abandoned("this instance no longer holds the leader lease")
            status = yield self._promotion.promote(
                service, successor, self._name, self._leadership.fence
            )
            self._log.write(
                "promotion_ordered",
                service=service,
                successor=successor,
                fence=self._leadership.fence,
                status=status,
            )
            if status == 409:
                raise Abandoned("the successor is not running")
            is_primary = yield from self._wait_until_primary(
                known.target, status in ACCEPTED_STATUSES
            )
            if is_primary:
                return
        raise Abandoned("the successor did not become the primary")

    def _wait_until_primary(self, target: Target, is_accepted: bool) -> Steps:
        timeout = PROMOTION_TIMEOUT if is_accepted else REPEAT_INTERVAL * 3
        deadline = self._loop.now() + timeout
        while self._loop.now() < deadline:
            status = yield from self._status.read(target)
            if not isinstance(status, Missing) and status.role is ServerRole.PRIMARY:
                return True
            yield self._loop.sleep(PROMOTION_POLL_INTERVAL)
        return False
