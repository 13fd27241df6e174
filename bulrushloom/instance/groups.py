"""The groups that an instance watches and the targets that it owns."""

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
    AwaitAnswered,
    AwaitFailed,
    WriteDurable,
    WriteUndecided,
)
from bulrushloom.coordination.replication.tracker import AcknowledgementTracker
from bulrushloom.core.clock import milliseconds
from bulrushloom.core.sentinels import Missing
from bulrushloom.instance.base import Executed
from bulrushloom.instance.jobs import AwaitDurable
from bulrushloom.instance.messages import (
    GroupView,
    GroupViewRequest,
    ServerView,
    StatementRequest,
    TransactionRequest,
)
from bulrushloom.instance.owner import TargetOwner
from bulrushloom.rules.base import TargetRule

# A group that this instance neither watches nor serves is dropped after this long.
GROUP_RETENTION = timedelta(seconds=60)


class WatchedGroup:
    """Keep one group's monitor, acknowledgements and the targets owned here."""

    def __init__(
        self,
        group: str,
        own: str,
        handle_prefix: str,
        policy: FailoverPolicy,
        make_queue: Callable[[], SlotQueue],
    ):
        self.group = group
        self.used_at = timedelta()
        self.monitor = GroupMonitor(group, own, handle_prefix, policy)
        self.owner_by_target: dict[str, TargetOwner] = {}
        self._own = own
        self._handle_prefix = handle_prefix
        self._make_queue = make_queue
        self._tracker_by_target: dict[str, AcknowledgementTracker] = {}
        self._targets: tuple[TargetRule, ...] = ()

    @property
    def is_idle(self) -> bool:
        """Return whether no owned target has an open request."""
        return all(owner.is_idle for owner in self.owner_by_target.values())

    def update(self, targets: tuple[TargetRule, ...], watchers: list[str]) -> None:
        """Use the targets of a new version of the rules and the present watchers."""
        self._targets = targets
        self.monitor.update(
            [GroupTarget(target.name, target.leaving) for target in targets],
            watchers,
            self._own,
        )
        names = [target.name for target in targets]
        for name, tracker in self._tracker_by_target.items():
            tracker.update(name, names)
        for target in targets:
            owner = self.owner_by_target.get(target.name)
            if owner is not None:
                owner.rule = target

    def drain(self) -> None:
        """Refuse new work at all owned targets."""
        for owner in self.owner_by_target.values():
            owner.drain()

    def request(
        self,
        sender: str,
        message: StatementRequest | TransactionRequest,
        rule: TargetRule,
        now: timedelta,
        draining: bool,
    ) -> list[Effect]:
        """Give a request to the owner of its target."""
        self.used_at = now
        owner = self.owner_by_target.get(rule.name)
        if owner is None:
            owner = self._add_owner(rule)
        if draining:
            owner.drain()
        effects = self._update_owner(owner, now)
        return effects + self._settle(owner, owner.handle(sender, message, now), now)

    def executed(self, message: Executed, now: timedelta) -> list[Effect]:
        """Give the result of an operation to the owner of its target."""
        owner = self.owner_by_target.get(message.target)
        if owner is None:
            return []
        return self._settle(owner, owner.handle(self._own, message, now), now)

    def observe(self, sender: str, message: object, now: timedelta) -> list[Effect]:
        """Give a status or a report to the monitor and the acknowledgements."""
        effects: list[Effect] = []
        if not isinstance(message, AwaitAnswered | AwaitFailed):
            assert isinstance(message, tuple)
            effects += self.monitor.handle(sender, message, now)
        if isinstance(message, WatcherReport):
            return effects
        return effects + self._track(message, now) + self._update_owners(now)

    def tick(self, now: timedelta) -> list[Effect]:
        """Let all parts of the group do what is due."""
        effects = self.monitor.tick(now) + self._update_owners(now)
        for name, owner in self.owner_by_target.items():
            effects += self._settle(owner, owner.tick(now), now)
            tracker = self._tracker_by_target[name]
            effects += self._settle(owner, tracker.tick(now), now)
        return effects

    def next_tick(self, last: timedelta) -> timedelta:
        """Return ``last`` while an owned target has an open request."""
        return self.monitor.next_tick(last) if self.is_idle else last

    def view(self, now: timedelta) -> GroupView:
        """Return what a caller of ``GroupViewRequest`` gets."""
        state = self.monitor.view
        servers = []
        for target, server in state.server_by_target.items():
            status = server.status
            if isinstance(status, Missing):
                continue
            age_ms = -1
            if status.age is not None and server.seen_at is not None:
                age_ms = milliseconds(status.age)
            servers.append(
                ServerView(
                    target, server.reachable, status.term, status.applied, age_ms
                )
            )
        primary = "" if isinstance(state.primary, Missing) else state.primary
        return GroupView(self.group, state.term, primary, servers)

    def answer_view(
        self, sender: str, request: GroupViewRequest, now: timedelta
    ) -> list[Effect]:
        """Answer with the view, unless nothing was seen yet."""
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

    def _track(self, message: object, now: timedelta) -> list[Effect]:
        effects: list[Effect] = []
        assert isinstance(message, tuple)
        for name, tracker in self._tracker_by_target.items():
            owner = self.owner_by_target[name]
            effects += self._settle(owner, tracker.handle("", message, now), now)
        return effects

    def _settle(
        self, owner: TargetOwner, effects: list[Effect], now: timedelta
    ) -> list[Effect]:
        """Carry out the effects that pass between an owner and its tracker."""
        tracker = self._tracker_by_target[owner.rule.name]
        rest: list[Effect] = []
        todo = list(effects)
        while todo:
            effect = todo.pop(0)
            if isinstance(effect, AwaitDurable):
                todo += tracker.wait_for(
                    effect.request_id,
                    effect.position,
                    effect.deadline,
                    now,
                    effect.term,
                )
            elif isinstance(effect, WriteDurable):
                todo += owner.durable(effect.request_id, now)
            elif isinstance(effect, WriteUndecided):
                todo += owner.undecided(effect.request_id, effect.reason, now)
            else:
                rest.append(effect)
        return rest
