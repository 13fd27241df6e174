"""Search for a server that has every acknowledged commit, during a failover."""

from concurrent.futures import Future
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.core.sentinels import Missing
from bulrushloom.platform import wire
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.failover.confirmations import InstanceConfirmations
from bulrushloom.proxy.failover.decisions import FailoverState, choose_successor
from bulrushloom.proxy.failover.promotion_orders import ORDER_LIFETIME
from bulrushloom.proxy.messages import LogPosition, ServerRole, ServerStatus
from bulrushloom.proxy.server_status import StatusReader
from bulrushloom.proxy.services import Services
from bulrushloom.runtime.loop import Steps

# Repeating a request more often does not yield an earlier answer.
REPEAT_INTERVAL = timedelta(milliseconds=100)
CATCH_UP_POLL_INTERVAL = timedelta(milliseconds=30)
POLL_INTERVAL = timedelta(milliseconds=10)
# A search continues without the servers that do not answer in this time.
ANSWER_PATIENCE = timedelta(milliseconds=100)
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
# A server registers within this time after it started to receive commits.
LISTING_DELAY = timedelta(milliseconds=150)
# The same if acknowledged commits are known to be missing at all servers that answer. A
# failover has to finish within 12 s.
UNLISTED_SERVER_TIMEOUT = timedelta(seconds=8)


class Successor(NamedTuple):
    """The server to promote, and a position that covers every commit acknowledged.

    ``term`` is the highest term of another server that is a primary. A primary of a
    lower term has been replaced.
    """

    target_id: str
    sealed: LogPosition
    term: int


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
        demoted: ServerStatus | None,
    ):
        self._services = services
        self._loop = services.loop
        self._status = status
        self._confirmations = confirmations
        self._group = confirmations.group
        self.service = confirmations.group.service
        self._demoted = demoted
        self._started_at = services.loop.now()
        # When the last status of the demoted primary was requested, or earlier.
        self._demoted_at = confirmations.announcement.announced_at
        self._instances_asked_at = self._started_at
        # The announcement requests the first list.
        self._listed_since = confirmations.announcement.announced_at
        self._logged_at: timedelta | None = None
        self._status_by_id: dict[str, ServerStatus] = {}
        # When a status that was received was requested, and the last request.
        self._reported_at_by_id: dict[str, timedelta] = {}
        self._asked_at_by_id: dict[str, timedelta] = {}
        self._answer_by_id: dict[str, Future[None]] = {}
        # Servers that may have acknowledged commits.
        self._required_ids: set[str] = set()
        self._given_up_ids: set[str] = set()

    def run(self) -> Steps:
        """Take one step; return a ``Successor``, or why none is safe yet."""
        self._ask_members()
        yield from self._wait_for_answers()
        if self._demoted is not None and self._is_catching_up(self._demoted):
            yield self._loop.sleep(CATCH_UP_POLL_INTERVAL)
            return Missing("the replicas receive the last commits")
        listed = self._listed_replicas()
        targets = {
            target_id: target
            for target_id, target in listed.items()
            if not self._services.table.evacuations.covers(target)
        }
        elapsed = self._loop.now() - self._started_at
        if self._demoted is not None and elapsed >= REINSTATEMENT_DELAY:
            targets |= self._reinstatable_primary(self._demoted)
        self._update_required_ids(listed | targets)
        closed_at = self._confirmations.closed_at()
        if closed_at is not None:
            yield from self._check_demotion(closed_at)
        state = self._state(closed_at)
        choice = choose_successor(targets, state)
        if isinstance(choice, Missing):
            self._log_delay(choice, state)
            self._ask_instances(closed_at)
            yield self._loop.sleep(POLL_INTERVAL)
            return choice
        self._log_choice(choice, state)
        terms = [
            status.term
            for target_id, status in self._status_by_id.items()
            if target_id != choice and status.role is ServerRole.PRIMARY
        ]
        received = self._status_by_id[choice].received
        return Successor(choice, received, max(terms, default=0))

    def _check_demotion(self, closed_at: timedelta) -> Steps:
        """Ask the demoted primary again, since a restart ends its demotion.

        Until the failover was closed, it may have acknowledged further commits then.
        """
        if self._demoted is None or self._demoted_at >= closed_at:
            return
        self._demoted_at = self._loop.now()
        old = self._services.table.find_target(self._group.old_id)
        status = None
        if old is not None:
            status = yield from self._status.read(old)
        is_replica = isinstance(status, ServerStatus) and (
            status.role is ServerRole.REPLICA
        )
        self._demoted = status if is_replica else None

    def _is_catching_up(self, demoted: ServerStatus) -> bool:
        if self._loop.now() - self._started_at >= CATCH_UP_TIMEOUT:
            return False
        received = [status.received for status in self._status_by_id.values()]
        return not received or max(received) < demoted.received

    def _ask_instances(self, closed_at: timedelta | None) -> None:
        """Announce the replacement again, or read the list of servers, if needed."""
        now, since = self._loop.now(), self._confirmations.announcement.announced_at
        if closed_at is not None and now >= closed_at + LISTING_DELAY:
            since = closed_at + LISTING_DELAY
        is_first = self._listed_since != since
        if not is_first and now - self._instances_asked_at < REPEAT_INTERVAL:
            return
        self._instances_asked_at, self._listed_since = now, since
        if closed_at is None and not is_first:
            self._confirmations.announce_again()
        if not self._services.table.is_read_since(since):
            self._services.request_list()

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

    def _ask_members(self) -> None:
        """Order the members to stop replicating, and ask for the status of each.

        Once the failover is closed, servers that answered before are asked again. A
        demoted primary sends the rest of its log, so replication continues then.
        """
        now, closed_at = self._loop.now(), self._confirmations.closed_at()
        members = self._members()
        for target_id, target in members.items():
            if target_id in self._answer_by_id:
                continue
            is_current = self._demoted is None and not self._needs_answer(
                target_id, closed_at
            )
            if self._is_left_alone(target, closed_at):
                continue
            asked_at = self._asked_at_by_id.get(target_id)
            is_recent = asked_at is not None and now - asked_at < REPEAT_INTERVAL
            is_outdated = target_id in self._status_by_id and not is_current
            if is_current or (is_recent and not is_outdated):
                continue
            self._asked_at_by_id[target_id] = now
            self._answer_by_id[target_id] = self._loop.spawn(self._ask(target))
        self._status_by_id = {
            target_id: status
            for target_id, status in self._status_by_id.items()
            if target_id in members
        }

    def _is_left_alone(self, target: Target, closed_at: timedelta | None) -> bool:
        """Return whether an evacuated server has told what the search needs to know.

        No commit is acknowledged since the failover was closed, so its position from
        then on suffices until it can be a candidate again.
        """
        evacuations = self._services.table.evacuations
        if not evacuations.has_ended_grace(target, self._loop.now()):
            return False
        return closed_at is not None and not self._needs_answer(
            target.target_id, closed_at
        )

    def _ask(self, target: Target) -> Steps:
        target_id, asked_at = target.target_id, self._loop.now()
        command = None
        if self._demoted is None:
            command = wire.pause_text(self._group.term)
        status = yield from self._status.read(target, command)
        del self._answer_by_id[target_id]
        if isinstance(status, Missing):
            self._services.log.write(
                "status_missing", target=target_id, reason=status.reason
            )
        else:
            self._status_by_id[target_id] = status
            self._reported_at_by_id[target_id] = asked_at

    def _wait_for_answers(self) -> Steps:
        """Wait for the servers that were asked, but not long for a silent one."""
        deadline = self._loop.now() + ANSWER_PATIENCE
        for answer in list(self._answer_by_id.values()):
            remaining = deadline - self._loop.now()
            if remaining > timedelta():
                yield self._loop.first_of([answer, self._loop.sleep(remaining)])

    def _needs_answer(self, target_id: str, closed_at: timedelta | None) -> bool:
        """Return whether the server has not reported since the failover was closed."""
        if target_id not in self._status_by_id:
            return True
        return closed_at is not None and self._reported_at_by_id[target_id] < closed_at

    def _reinstatable_primary(self, demoted: ServerStatus) -> dict[str, Target]:
        """Return the demoted primary unless it has to go; it has every commit."""
        old_id = self._group.old_id
        known = self._services.table.listed_target_by_id.get(old_id)
        if known is None or known.target.is_draining:
            return {}
        if self._services.table.evacuations.covers(known.target):
            return {}
        self._status_by_id[old_id] = demoted
        self._reported_at_by_id[old_id] = self._loop.now()
        return {old_id: known.target}

    def _update_required_ids(self, targets: dict[str, Target]) -> None:
        """Require every member to answer, and give up those that are away for long."""
        elapsed = self._loop.now() - self._confirmations.announcement.announced_at
        members = self._members()
        self._required_ids |= members.keys()
        kept = members if elapsed < VANISHED_SERVER_TIMEOUT else targets
        given_up = self._required_ids - kept.keys()
        self._given_up_ids |= given_up - self._status_by_id.keys()
        self._required_ids -= given_up

    def _state(self, closed_at: timedelta | None) -> FailoverState:
        services, group = self._services, self._group
        members = self._members()
        # A server that has restarted or is no longer draining replicates again.
        stopped_position_by_id = {
            target_id: stopped.position
            for target_id, stopped in group.stopped_by_id.items()
            if target_id not in members or stopped.describes(members[target_id])
        }
        now = self._loop.now()
        waited = now - self._confirmations.announcement.first_announced_at
        return FailoverState(
            is_closed=closed_at is not None,
            is_confirmed=self._confirmations.confirmed_at is not None,
            status_by_id=self._status_by_id,
            missing=frozenset(
                target_id
                for target_id in self._required_ids
                if self._needs_answer(target_id, closed_at)
            ),
            demoted=self._demoted,
            acknowledged=services.acknowledged_position(group.service),
            acknowledged_bound=self._confirmations.acknowledged_bound(),
            stopped_position_by_id=stopped_position_by_id,
            is_list_complete=services.table.is_complete
            and closed_at is not None
            and services.table.is_read_since(closed_at + LISTING_DELAY),
            ordered_id=group.primary_id,
            sealed=group.sealed,
            is_sealed_in_era=group.is_sealed_in(services.eras.era),
            has_given_up_servers=bool(self._given_up_ids - self._status_by_id.keys()),
            awaits_ordered_server=self._awaits_ordered_server(),
            awaits_unlisted_servers=closed_at is not None
            and not services.table.is_read_since(closed_at + UNLISTED_SERVER_TIMEOUT),
            accepts_missing_commits=waited >= MISSING_COMMITS_TIMEOUT,
        )

    def _awaits_ordered_server(self) -> bool:
        """Return whether an order of an earlier attempt may still be executed.

        The commits of a server that is ordered next would then be lost. A server that
        has restarted since answers with a lower position.
        """
        ordered_id = self._group.primary_id
        if ordered_id in self._status_by_id:
            return False
        is_listed = ordered_id in self._services.table.listed_target_by_id
        return is_listed and self._loop.now() - self._started_at < ORDER_LIFETIME

    def _log_delay(self, choice: Missing, state: FailoverState) -> None:
        now, confirmations = self._loop.now(), self._confirmations
        if self._logged_at is not None and now - self._logged_at < REPEAT_INTERVAL:
            return
        self._logged_at = now
        self._services.log.write(
            "successor_delayed",
            service=self._group.service,
            reason=choice.reason,
            is_closed=state.is_closed,
            missing=sorted(state.missing),
            instances_missing=sorted(confirmations.missing()),
            has_unlisted_instance=confirmations.has_unlisted_instance(),
            is_list_complete=state.is_list_complete,
            positions=self._positions(),
            terms=self._terms(),
            paused_terms=self._paused_terms(),
            ordered=self._group.primary_id,
            sealed=str(self._group.sealed),
            sealed_era=self._group.sealed_era,
            acknowledged=str(state.acknowledged),
            acknowledged_bound=str(state.acknowledged_bound),
        )

    def _positions(self) -> dict[str, str]:
        return {
            target_id: str(status.received)
            for target_id, status in self._status_by_id.items()
        }

    def _terms(self) -> dict[str, int]:
        return {
            target_id: status.term for target_id, status in self._status_by_id.items()
        }

    def _paused_terms(self) -> dict[str, int]:
        return {
            target_id: status.paused_term
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
            terms=self._terms(),
            paused_terms=self._paused_terms(),
            ordered=self._group.primary_id,
            sealed=str(self._group.sealed),
            sealed_era=self._group.sealed_era,
            missing=sorted(state.missing),
            unlisted=sorted(
                self._members().keys() - self._services.table.listed_target_by_id.keys()
            ),
            instances_missing=sorted(self._confirmations.missing()),
            demoted=str(state.demoted.received) if state.demoted else "",
            acknowledged=str(acknowledged),
            acknowledged_bound=str(state.acknowledged_bound),
            is_list_complete=state.is_list_complete,
        )
        if acknowledged is not None and position < acknowledged:
            self._services.log.write(
                "acknowledged_commits_missing",
                service=service,
                successor=target_id,
                position=str(position),
                acknowledged=str(acknowledged),
            )
