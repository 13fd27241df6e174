"""Search for a server that has every acknowledged commit, during a failover."""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.core.sentinels import Missing
from bulrushloom.platform import wire
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.confirmations import InstanceConfirmations
from bulrushloom.proxy.failover import FailoverState, choose_successor
from bulrushloom.proxy.groups import GroupRecord
from bulrushloom.proxy.messages import LogPosition, ServerStatus
from bulrushloom.proxy.server_status import StatusReader
from bulrushloom.proxy.services import Services
from bulrushloom.runtime.loop import Steps

# Repeating a request more often does not yield an earlier answer.
REPEAT_INTERVAL = timedelta(milliseconds=100)
CATCH_UP_POLL_INTERVAL = timedelta(milliseconds=30)
# Time after a demotion for the replicas to receive the last commits of the old primary,
# which takes the usual lag.
CATCH_UP_TIMEOUT = timedelta(milliseconds=400)
# If no replica has caught up this long after the demotion, the demoted primary is a
# candidate again.
REINSTATEMENT_DELAY = timedelta(seconds=1)
# A server that neither answers nor is listed is given up after this time, since a
# failover has to finish within 12 s.
VANISHED_SERVER_TIMEOUT = timedelta(seconds=10)
# The same while acknowledged commits are known to be missing at all servers that
# answer. A server that has them may come back with its log.
MISSING_COMMITS_TIMEOUT = timedelta(seconds=60)


class Announcement(NamedTuple):
    """Time at which a replacement was announced, and the instances known at that time.

    A partitioned instance keeps serving although its entry expires, so it counts until
    it confirms the announcement. ``first_announced_at`` is the time of the first
    announcement if the failover is a repeated attempt.
    """

    announced_at: timedelta
    first_announced_at: timedelta
    instances: frozenset[str]


class Successor(NamedTuple):
    """The server to promote, and a position that covers every commit acknowledged."""

    target_id: str
    sealed: LogPosition


class SuccessorSearch:
    """Search for the successor of one service's primary, in steps.

    ``demoted`` is the status of the old primary if it confirmed its demotion. It then
    acknowledges nothing, and replication continues so that the others catch up.
    """

    def __init__(
        self,
        services: Services,
        status: StatusReader,
        confirmations: InstanceConfirmations,
        group: GroupRecord,
        demoted: ServerStatus | None,
        announcement: Announcement,
    ):
        self._services = services
        self._loop = services.loop
        self._status = status
        self._confirmations = confirmations
        self._group = group
        self._demoted = demoted
        self._announcement = announcement
        self._started_at = services.loop.now()
        self._status_by_id: dict[str, ServerStatus] = {}
        # Servers that may have acknowledged commits.
        self._required_ids: set[str] = set()
        self._given_up_ids: set[str] = set()

    def run(self) -> Steps:
        """Take one step; return a ``Successor``, or why none is safe yet."""
        targets = self._listed_replicas()
        yield from self._stop_replication()
        elapsed = self._loop.now() - self._started_at
        if self._demoted is not None and elapsed >= REINSTATEMENT_DELAY:
            targets |= self._reinstatable_primary(self._demoted)
        if self._demoted is not None and elapsed < CATCH_UP_TIMEOUT:
            received = [status.received for status in self._status_by_id.values()]
            if not received or max(received) < self._demoted.received:
                yield self._loop.sleep(CATCH_UP_POLL_INTERVAL)
                return Missing("the replicas receive the last commits")
        self._update_required_ids(targets)
        unconfirmed = self._confirmations.missing(
            self._group, self._announcement.instances
        )
        state = self._state(unconfirmed)
        choice = choose_successor(targets, state)
        if isinstance(choice, Missing):
            self._services.log.write(
                "successor_delayed",
                service=self._group.service,
                reason=choice.reason,
                missing=sorted(state.missing),
                instances_missing=sorted(unconfirmed),
                has_unlisted_instance=self._confirmations.has_unlisted_instance(
                    self._group.service
                ),
                is_list_complete=state.is_list_complete,
                positions=self._positions(),
                acknowledged=str(state.acknowledged),
            )
            yield self._loop.sleep(REPEAT_INTERVAL)
            return choice
        self._log_choice(choice, state)
        sealed = max(status.received for status in self._status_by_id.values())
        return Successor(choice, sealed)

    def _listed_replicas(self) -> dict[str, Target]:
        return {
            known.target.target_id: known.target
            for known in self._services.table.targets_of(self._group.service)
            if known.target.target_id != self._group.old_id
        }

    def _members(self) -> dict[str, Target]:
        """Return the replicas that may receive commits, listed or not."""
        members = self._services.table.replication_members(self._group.service)
        members.pop(self._group.old_id, None)
        return members

    def _stop_replication(self) -> Steps:
        """Order the members to stop replicating; record the status of each.

        A demoted primary sends the rest of its log, so replication continues then.
        """
        members = self._members()
        is_demoted = self._demoted is not None
        answers = yield from self._status.read_all(
            (
                target
                for target_id, target in members.items()
                if is_demoted or target_id not in self._status_by_id
            ),
            None if is_demoted else wire.pause_text(self._group.term),
        )
        self._status_by_id |= answers
        members = self._members()
        self._status_by_id = {
            target_id: status
            for target_id, status in self._status_by_id.items()
            if target_id in members
        }

    def _reinstatable_primary(self, demoted: ServerStatus) -> dict[str, Target]:
        """Return the demoted primary unless it is draining; it has every commit."""
        old_id = self._group.old_id
        known = self._services.table.listed_target_by_id.get(old_id)
        if known is None or known.target.is_draining:
            return {}
        self._status_by_id[old_id] = demoted
        return {old_id: known.target}

    def _update_required_ids(self, targets: dict[str, Target]) -> None:
        elapsed = self._loop.now() - self._announcement.announced_at
        if elapsed < VANISHED_SERVER_TIMEOUT:
            self._required_ids |= self._members().keys()
        else:
            silent = self._required_ids - self._status_by_id.keys()
            self._given_up_ids |= silent - targets.keys()
            self._required_ids &= targets.keys()

    def _state(self, unconfirmed: list[str]) -> FailoverState:
        services, group = self._services, self._group
        members = self._members()
        # A server that is no longer draining replicates again.
        stopped_position_by_id = {
            target_id: position
            for target_id, position in group.stopped_position_by_id.items()
            if target_id not in members or members[target_id].is_draining
        }
        waited = self._loop.now() - self._announcement.first_announced_at
        return FailoverState(
            status_by_id=self._status_by_id,
            missing=frozenset(self._required_ids - self._status_by_id.keys()),
            demoted=self._demoted,
            acknowledged=services.acknowledged_position(group.service),
            all_instances_left=not unconfirmed
            and not self._confirmations.has_unlisted_instance(group.service),
            stopped_position_by_id=stopped_position_by_id,
            is_list_complete=services.table.is_complete,
            ordered_id=group.primary_id,
            has_given_up_servers=bool(self._given_up_ids - self._status_by_id.keys()),
            accepts_missing_commits=waited >= MISSING_COMMITS_TIMEOUT,
        )

    def _positions(self) -> dict[str, str]:
        return {
            target_id: str(status.received)
            for target_id, status in self._status_by_id.items()
        }

    def _log_choice(self, target_id: str, state: FailoverState) -> None:
        service = self._group.service
        acknowledged = state.acknowledged
        position = self._status_by_id[target_id].received
        self._services.log.write(
            "successor_chosen",
            service=service,
            successor=target_id,
            positions=self._positions(),
            missing=sorted(state.missing),
            demoted=str(state.demoted.received) if state.demoted else "",
            acknowledged=str(acknowledged),
            is_list_complete=state.is_list_complete,
        )
        if state.accepts_missing_commits and acknowledged and position < acknowledged:
            self._services.log.write(
                "acknowledged_commits_missing",
                service=service,
                successor=target_id,
                position=str(position),
                acknowledged=str(acknowledged),
            )
