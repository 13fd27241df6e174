"""Steps of a change of primary: announce, stop, choose, promote, publish."""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.core.sentinels import Missing
from bulrushloom.platform import wire
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.failover import FailoverState, choose_successor
from bulrushloom.proxy.fleet import Fleet
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
from bulrushloom.proxy.store_freshness import PRIMARY_LIMIT
from bulrushloom.runtime.loop import Steps

# A server that is asked again does not answer sooner.
REPEAT_INTERVAL = timedelta(milliseconds=100)
# The successor leads some hundred milliseconds after the order.
LEAD_POLL_INTERVAL = timedelta(milliseconds=30)
LEAD_LIMIT = timedelta(milliseconds=2500)
# A demoted primary's last commits reach the replicas within their usual lag.
CATCH_UP_LIMIT = timedelta(milliseconds=400)
# A demoted primary leads again if no replica has caught up by then.
RETURN_LIMIT = timedelta(seconds=1)
# Statements that run when a planned change begins have this time to end.
PLANNED_PAUSE = timedelta(milliseconds=150)
REPLACE_LIMIT = timedelta(seconds=30)
# A group member that neither answers nor is listed is given up after this; a change of
# primary is to be over within 12 s.
VANISHED_MEMBER_LIMIT = timedelta(seconds=10)
PROMOTED_STATUSES = (200, 202, 204)


class Abandoned(Exception):
    """The change of primary cannot go on at this instance."""


class Announcement(NamedTuple):
    """Hold when a replacement was announced, and the instances known then.

    The entry of an instance behind a cut lapses although it goes on serving; it counts
    until it confirms the announcement.
    """

    at: timedelta
    instances: frozenset[str]


class Replacement:
    """Replace the primary of a service while this instance is the leader."""

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

    def replace_primary(self, service: str, old_id: str) -> Steps:
        """Replace the primary of a service and return the new one's id."""
        term = yield from self._next_term(service, old_id)
        group = yield from self._announce_replacing(service, old_id, term)
        announced_at = self._loop.now()
        instances = frozenset(self._fleet.peers_by_name)
        old = self._services.table.listed_target_by_id.get(old_id)
        demoted = None
        if old is not None and old_id in self._services.suspected():
            # It is told as soon as it can be reached; nobody waits for it.
            self._loop.spawn(
                self._status.read_all([old.target], wire.demote_text(term))
            )
        elif old is not None:
            yield from self._wait_for_instances(group, announced_at + PLANNED_PAUSE)
            answers = yield from self._status.read_all(
                [old.target], wire.demote_text(term)
            )
            demoted = answers.get(old_id)
        successor, sealed = yield from self._choose(
            service, group, demoted, Announcement(announced_at, instances)
        )
        # A promotion lets the stopped replicas receive again.
        group = yield from self._write(
            group._replace(
                sealed=sealed, primary_id=successor, stopped_position_by_id={}
            )
        )
        yield from self._promote(service, successor)
        yield from self._wait_for_instances(group, announced_at + PRIMARY_LIMIT)
        group = yield from self._write(group._replace(phase=GroupPhase.STEADY))
        return successor

    def stop_leaving(self, service: str, primary: Target) -> Steps:
        """Let the leaving replicas of a steady service receive nothing more.

        A commit that only they confirmed would be gone with them, or out of reach
        behind a cut that takes the primary too.
        """
        leaving = self._services.table.draining_replicas(service, primary.target_id)
        term = yield from self._next_term(service, "")
        answers = yield from self._status.read_all(leaving, wire.pause_text(term))
        stopped = {i: status.received for i, status in answers.items()}
        self._log.write(
            "leaving_replicas_stopped",
            service=service,
            term=term,
            positions={i: str(position) for i, position in stopped.items()},
        )
        if not stopped:
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
        stopped = dict(group.stopped_position_by_id) | stopped
        yield from self._write(group._replace(stopped_position_by_id=stopped))

    def _next_term(self, service: str, old_id: str) -> Steps:
        group = self._services.table.group_by_service.get(service)
        if group is not None and group.phase is GroupPhase.REPLACING:
            return group.term
        unheard = self._services.suspected() | {old_id}
        targets = [
            known.target
            for target_id, known in self._services.table.listed_target_by_id.items()
            if known.target.service == service and target_id not in unheard
        ]
        statuses = yield from self._status.read_all(targets, None)
        terms = [max(s.term, s.held_term) for s in statuses.values()]
        latest = self._services.history(service).latest()
        if latest is not None:
            terms.append(latest.position.term)
        if group is not None:
            terms.append(group.term)
        if not terms:
            raise Abandoned("no server of the group tells its term")
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
        """Store the record under the condition that nobody else changed it."""
        if not self._leadership.is_leader():
            raise Abandoned("the lease has ended")
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

    def _wait_for_instances(self, group: GroupRecord, until: timedelta) -> Steps:
        """Wait until all instances follow the record, ``until`` at the latest."""
        announced_at = self._loop.now()
        while self._loop.now() < until and self._is_awaited(group):
            if self._loop.now() - announced_at >= REPEAT_INTERVAL:
                announced_at = self._loop.now()
                missing = self._followers_missing(group)
                peers = self._fleet.peers_by_name
                members = [peers[name] for name in missing if name in peers]
                value = group.encode().decode()
                self._fleet.announce(members, {group.service: (group.revision, value)})
            yield self._loop.sleep(timedelta(milliseconds=10))

    def _is_awaited(self, group: GroupRecord) -> bool:
        return bool(self._followers_missing(group)) or self._has_unlisted_instance()

    def _has_unlisted_instance(self) -> bool:
        """Return whether an instance lives that cannot confirm to this one.

        One that the store turns away drops out of the list and goes on with the news
        of its domain; only the sum of its domain tells of it.
        """
        return self._services.member_count > len(self._fleet.peers_by_name) + 1

    def _followers_missing(
        self, group: GroupRecord, known_before: frozenset[str] = frozenset()
    ) -> list[str]:
        missing = []
        for name in self._fleet.peers_by_name.keys() | known_before:
            report = self._fleet.report_by_name.get(name)
            followed = report.followed_revision_by_service if report else {}
            if followed.get(group.service, 0) < group.revision:
                missing.append(name)
        return missing

    def _choose(
        self,
        service: str,
        group: GroupRecord,
        demoted: ServerStatus | None,
        announcement: Announcement,
    ) -> Steps:
        """Stop the replicas; return the server to promote and the sealed position."""
        give_up_at = self._loop.now() + REPLACE_LIMIT
        paused: dict[str, ServerStatus] = {}
        required: set[str] = set()
        asked_at = self._loop.now()
        while self._loop.now() < give_up_at:
            if not self._leadership.is_leader():
                raise Abandoned("the lease has ended")
            targets = {
                known.target.target_id: known.target
                for known in self._services.table.targets_of(service)
                if known.target.target_id != group.old_id
            }
            # A demoted primary sends the rest of its log, so the replicas go on.
            command = wire.pause_text(group.term) if demoted is None else None
            answers = yield from self._status.read_all(
                (t for i, t in targets.items() if demoted or i not in paused), command
            )
            paused |= answers
            paused = {i: s for i, s in paused.items() if i in targets}
            waited = self._loop.now() - asked_at
            if demoted is not None and waited >= RETURN_LIMIT:
                targets |= self._returning(group.old_id)
                paused |= {i: demoted for i in targets if i == group.old_id}
            if demoted is not None and waited < CATCH_UP_LIMIT:
                received = [s.received for s in paused.values()]
                if not received or max(received) < demoted.received:
                    yield self._loop.sleep(LEAD_POLL_INTERVAL)
                    continue
            if self._loop.now() - announcement.at < VANISHED_MEMBER_LIMIT:
                # A cut hides the entry of a server that still acknowledges commits.
                required |= targets.keys()
            else:
                required &= targets.keys()
            unconfirmed = self._followers_missing(group, announcement.instances)
            state = FailoverState(
                paused,
                frozenset(required - paused.keys()),
                demoted,
                self._services.acknowledged_by_service.get(service),
                not unconfirmed and not self._has_unlisted_instance(),
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
                    has_unlisted_instance=self._has_unlisted_instance(),
                )
            if not isinstance(successor, Missing):
                sealed = max(status.received for status in paused.values())
                self._log.write(
                    "successor_chosen",
                    service=service,
                    successor=successor,
                    positions={i: str(s.received) for i, s in paused.items()},
                    missing=sorted(state.missing),
                    demoted=str(demoted.received) if demoted else "",
                    acknowledged=str(state.acknowledged),
                )
                return successor, sealed
            yield self._loop.sleep(REPEAT_INTERVAL)
        raise Abandoned("no server can be promoted safely")

    def _returning(self, old_id: str) -> dict[str, Target]:
        """Return the demoted primary if it can lead again: it has every commit."""
        known = self._services.table.listed_target_by_id.get(old_id)
        if known is None or known.target.is_draining:
            return {}
        return {old_id: known.target}

    def _promote(self, service: str, successor: str) -> Steps:
        """Order the promotion and wait until the successor leads."""
        give_up_at = self._loop.now() + REPLACE_LIMIT
        while self._loop.now() < give_up_at:
            known = self._services.table.listed_target_by_id.get(successor)
            if known is None:
                raise Abandoned("the successor is gone")
            if not self._leadership.is_leader():
                raise Abandoned("the lease has ended")
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
            leads = yield from self._wait_until_it_leads(
                known.target, status in PROMOTED_STATUSES
            )
            if leads:
                return
        raise Abandoned("the successor does not lead")

    def _wait_until_it_leads(self, target: Target, is_ordered: bool) -> Steps:
        limit = LEAD_LIMIT if is_ordered else REPEAT_INTERVAL * 3
        give_up_at = self._loop.now() + limit
        while self._loop.now() < give_up_at:
            status = yield from self._status.read(target)
            if not isinstance(status, Missing) and status.role is ServerRole.PRIMARY:
                return True
            yield self._loop.sleep(LEAD_POLL_INTERVAL)
        return False
