"""State of one watched group and of its targets that the instance owns."""

from collections.abc import Callable
from datetime import timedelta

from bulrushloom.coordination.base import Effect, SendMessage
from bulrushloom.coordination.failover.base import (
    FailoverPolicy,
    GroupTarget,
    WatcherReport,
    is_serving,
)
from bulrushloom.coordination.failover.monitor import GroupMonitor
from bulrushloom.coordination.queueing.base import SlotQueue
from bulrushloom.coordination.replication.base import (
    AwaitPositionAnswered,
    AwaitPositionFailed,
    WriteDurable,
    WriteUndecided,
)
from bulrushloom.coordination.replication.tracker import AcknowledgementTracker
from bulrushloom.core.clock import milliseconds
from bulrushloom.core.sentinels import Missing
from bulrushloom.instance.base import Executed
from bulrushloom.instance.jobs import AwaitDurable
from bulrushloom.instance.messages import (
    CancelStatement,
    GroupView,
    GroupViewRequest,
    ServerView,
    StatementRequest,
    TransactionRequest,
)
from bulrushloom.instance.owner import TargetOwner
from bulrushloom.rules.base import TargetRule

# Time after which a group that this instance neither watches nor serves is dropped.
GROUP_RETENTION = timedelta(seconds=60)


class WatchedGroup:
    """Monitor of a group, with the owners and acknowledgement trackers of its targets.

    The owner runs the statements of a target, and the tracker tells it when a majority
    of the group has stored a write. A target gets both with its first request to this
    instance.
    """

    def __init__(
        self,
        group: str,
        instance: str,
        handle_prefix: str,
        policy: FailoverPolicy,
        make_queue: Callable[[], SlotQueue],
    ):
        self.group = group
        self.used_at = timedelta()
        self.monitor = GroupMonitor(group, instance, handle_prefix, policy)
        self.owner_by_target: dict[str, TargetOwner] = {}
        self._instance = instance
        self._handle_prefix = handle_prefix
        self._make_queue = make_queue
        self._tracker_by_target: dict[str, AcknowledgementTracker] = {}
        self._targets: tuple[TargetRule, ...] = ()

    @property
    def is_idle(self) -> bool:
        """Return whether no owned target has an open request."""
        return all(owner.is_idle for owner in self.owner_by_target.values())

    def update(self, targets: tuple[TargetRule, ...], watchers: list[str]) -> None:
        """Apply the targets of a new rules version, and the current watchers."""
        self._targets = targets
        self.monitor.update_servers(
            [GroupTarget(target.name, target.leaving) for target in targets],
            watchers,
            self._instance,
        )
        names = [target.name for target in targets]
        for name, tracker in self._tracker_by_target.items():
            tracker.update(name, names)
        for target in targets:
            owner = self.owner_by_target.get(target.name)
            if owner is not None:
                owner.rule = target

    def drain(self) -> None:
        """Refuse new work for all owned targets."""
        for owner in self.owner_by_target.values():
            owner.drain()

    def handle_request(
        self,
        sender: str,
        message: StatementRequest | TransactionRequest,
        rule: TargetRule,
        now: timedelta,
        draining: bool,
    ) -> list[Effect]:
        """Pass a request to the owner of its target."""
        self.used_at = now
        owner = self.owner_by_target.get(rule.name)
        if owner is None:
            owner = self._add_owner(rule)
        if draining:
            owner.drain()
        effects = self._update_owner(owner, now)
        return effects + self._process_internal_effects(
            owner, owner.handle(sender, message, now), now
        )

    def handle_owner_message(
        self, sender: str, message: Executed | CancelStatement, now: timedelta
    ) -> list[Effect]:
        """Pass a result or a cancellation to the owner of its target, if it exists."""
        owner = self.owner_by_target.get(message.target)
        if owner is None:
            return []
        return self._process_internal_effects(
            owner, owner.handle(sender, message, now), now
        )

    def observe(self, sender: str, message: object, now: timedelta) -> list[Effect]:
        """Pass a status or a report to the monitor and the acknowledgement trackers."""
        effects: list[Effect] = []
        if not isinstance(message, AwaitPositionAnswered | AwaitPositionFailed):
            assert isinstance(message, tuple)
            effects += self.monitor.handle(sender, message, now)
        if isinstance(message, WatcherReport):
            return effects
        return effects + self._update_trackers(message, now) + self._update_owners(now)

    def tick(self, now: timedelta) -> list[Effect]:
        """Tick the monitor, the owners and the trackers."""
        effects = self.monitor.tick(now) + self._update_owners(now)
        for name, owner in self.owner_by_target.items():
            effects += self._process_internal_effects(owner, owner.tick(now), now)
            tracker = self._tracker_by_target[name]
            effects += self._process_internal_effects(owner, tracker.tick(now), now)
        return effects

    def next_tick(self, last: timedelta) -> timedelta:
        """Return when the next tick is due after one at ``last``.

        It is due immediately while an owned target has an open request.
        """
        return self.monitor.next_tick(last) if self.is_idle else last

    def view(self, now: timedelta) -> GroupView:
        """Return the answer to a ``GroupViewRequest``."""
        state = self.monitor.view
        servers = []
        for target, server in state.server_by_target.items():
            status = server.status
            if isinstance(status, Missing):
                continue
            age_ms = -1
            if status.age is not None and server.status_received_at is not None:
                age_ms = milliseconds(status.age)
            servers.append(
                ServerView(
                    target,
                    server.reachable,
                    status.term,
                    status.applied_position,
                    age_ms,
                )
            )
        primary = "" if isinstance(state.primary, Missing) else state.primary
        return GroupView(self.group, state.term, primary, servers)

    def answer_view(
        self, sender: str, request: GroupViewRequest, now: timedelta
    ) -> list[Effect]:
        """Answer with the view, unless no server has been observed yet."""
        self.used_at = now
        view = self.view(now)
        return [SendMessage(sender, view)] if view.servers else []

    def _add_owner(self, rule: TargetRule) -> TargetOwner:
        prefix = f"{self._handle_prefix}.{rule.name}"
        owner = TargetOwner(rule, self._make_queue(), prefix)
        self.owner_by_target[rule.name] = owner
        names = [target.name for target in self._targets]
        self._tracker_by_target[rule.name] = AcknowledgementTracker(rule.name, names)
        return owner

    def _update_owners(self, now: timedelta) -> list[Effect]:
        effects: list[Effect] = []
        for owner in self.owner_by_target.values():
            effects += self._update_owner(owner, now)
        return effects

    def _update_owner(self, owner: TargetOwner, now: timedelta) -> list[Effect]:
        state = self.monitor.view
        server = state.server_by_target.get(owner.rule.name)
        if server is None or isinstance(server.status, Missing):
            return []
        is_primary = state.primary == owner.rule.name and is_serving(server.status)
        return owner.update_server(server.status.term, is_primary, now)

    def _update_trackers(self, message: object, now: timedelta) -> list[Effect]:
        effects: list[Effect] = []
        assert isinstance(message, tuple)
        for name, tracker in self._tracker_by_target.items():
            owner = self.owner_by_target[name]
            effects += self._process_internal_effects(
                owner, tracker.handle("", message, now), now
            )
        return effects

    def _process_internal_effects(
        self, owner: TargetOwner, effects: list[Effect], now: timedelta
    ) -> list[Effect]:
        """Execute the effects between an owner and its tracker; return the others."""
        tracker = self._tracker_by_target[owner.rule.name]
        external: list[Effect] = []
        queue = list(effects)
        while queue:
            effect = queue.pop(0)
            if isinstance(effect, AwaitDurable):
                queue += tracker.track_write(
                    effect.request_id,
                    effect.position,
                    effect.deadline,
                    now,
                    effect.term,
                )
            elif isinstance(effect, WriteDurable):
                queue += owner.write_durable(effect.request_id, now)
            elif isinstance(effect, WriteUndecided):
                queue += owner.write_undecided(effect.request_id, effect.reason, now)
            else:
                external.append(effect)
        return external
