"""Groups that an instance watches or serves, and dispatch of their messages."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from bulrushloom.coordination.base import Effect
from bulrushloom.coordination.failover.base import (
    FailoverPolicy,
    Fenced,
    FenceFailed,
    FenceRefused,
    Followed,
    FollowFailed,
    Promoted,
    PromoteFailed,
    StatusFailed,
    StatusReceived,
    WatcherReport,
)
from bulrushloom.coordination.membership.base import InstanceTable
from bulrushloom.coordination.queueing.base import SlotQueue
from bulrushloom.coordination.replication.base import (
    AwaitPositionAnswered,
    AwaitPositionFailed,
)
from bulrushloom.instance.base import Executed
from bulrushloom.instance.groups import GROUP_RETENTION, WatchedGroup
from bulrushloom.instance.messages import (
    CancelStatement,
    GroupViewRequest,
    StatementRequest,
    TransactionRequest,
)
from bulrushloom.instance.rejected_requests import RejectedRequests
from bulrushloom.rules.base import EMPTY_RULES, RuleSet

# Interval at which the watchers of all groups are recomputed. A change of the instance
# list or of the rules recomputes them immediately.
WATCH_UPDATE_INTERVAL = timedelta(seconds=1)

MakeQueue = Callable[[], SlotQueue]
MessageHandler = Callable[[str, Any, timedelta], list[Effect]]

_OBSERVATIONS = (
    StatusReceived,
    StatusFailed,
    Fenced,
    FenceRefused,
    FenceFailed,
    Promoted,
    PromoteFailed,
    Followed,
    FollowFailed,
    AwaitPositionAnswered,
    AwaitPositionFailed,
)


class GroupTable:
    """Hold the groups that this instance watches or serves; dispatch messages to them.

    An instance watches a group if the instance list makes it a watcher, which polls the
    servers and replaces a failed primary. It serves a group while it gets requests for
    the group from other instances or from itself.
    """

    def __init__(
        self, table: InstanceTable, policy: FailoverPolicy, make_queue: MakeQueue
    ):
        self.group_by_name: dict[str, WatchedGroup] = {}
        self.next_watch_update_at = timedelta()
        self._table = table
        self._policy = policy
        self._make_queue = make_queue
        self._rules = EMPTY_RULES
        self._rejected = RejectedRequests(table.local_entry.name)
        self._created_count = 0
        self._draining = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request and no transaction is open."""
        return all(group.is_idle for group in self.group_by_name.values())

    def message_handlers(self) -> dict[type, MessageHandler]:
        """Return the handlers of the message classes that concern groups."""
        handlers: dict[type, MessageHandler] = {
            StatementRequest: self._handle_request,
            TransactionRequest: self._handle_request,
            GroupViewRequest: self._handle_view_request,
            WatcherReport: self._handle_report,
            Executed: self._handle_owner_message,
            CancelStatement: self._handle_owner_message,
        }
        handlers.update(dict.fromkeys(_OBSERVATIONS, self._handle_observation))
        return handlers

    def update_rules(self, rules: RuleSet) -> None:
        """Set a new rules version; ``update_watched_groups`` must be called next."""
        self._rules = rules

    def drain(self) -> None:
        """Refuse new work for all groups."""
        self._draining = True
        for group in self.group_by_name.values():
            group.drain()

    def update_watched_groups(self, now: timedelta) -> None:
        """Watch the groups that this instance is responsible for; drop unused ones."""
        self.next_watch_update_at = now + WATCH_UPDATE_INTERVAL
        for name, targets in self._rules.targets_by_group.items():
            watchers = self._table.watchers(targets, now)
            if self._table.local_entry.name in watchers:
                self._get_or_create_group(name, now).used_at = now
            group = self.group_by_name.get(name)
            if group is not None:
                group.update(targets, watchers)
        for name, group in list(self.group_by_name.items()):
            unused = group.is_idle and now - group.used_at > GROUP_RETENTION
            if unused or name not in self._rules.targets_by_group:
                del self.group_by_name[name]

    def _handle_request(
        self,
        sender: str,
        message: StatementRequest | TransactionRequest,
        now: timedelta,
    ) -> list[Effect]:
        duplicate_answer = self._rejected.answer_duplicate(sender, message.request_id)
        if duplicate_answer is not None:
            return duplicate_answer
        rule = self._rules.target_by_name.get(message.target)
        if rule is None:
            return self._rejected.refuse_unknown_target(sender, message, now)
        if message.incarnation != self._table.local_entry.incarnation:
            return self._rejected.refuse_former_incarnation(sender, message, now)
        group = self._get_or_create_group(rule.group, now)
        return group.handle_request(sender, message, rule, now, self._draining)

    def _handle_view_request(
        self, sender: str, message: GroupViewRequest, now: timedelta
    ) -> list[Effect]:
        if message.group not in self._rules.targets_by_group:
            return []
        return self._get_or_create_group(message.group, now).answer_view(
            sender, message, now
        )

    def _handle_report(
        self, sender: str, message: WatcherReport, now: timedelta
    ) -> list[Effect]:
        group = self.group_by_name.get(message.group)
        return [] if group is None else group.observe(sender, message, now)

    def _handle_observation(
        self, sender: str, message: Any, now: timedelta
    ) -> list[Effect]:
        group = self._group_of(message.target)
        return [] if group is None else group.observe(sender, message, now)

    def _handle_owner_message(
        self, sender: str, message: Executed | CancelStatement, now: timedelta
    ) -> list[Effect]:
        group = self._group_of(message.target)
        if group is None:
            return []
        return group.handle_owner_message(sender, message, now)

    def _get_or_create_group(self, name: str, now: timedelta) -> WatchedGroup:
        group = self.group_by_name.get(name)
        if group is None:
            entry = self._table.local_entry
            # A group that was dropped and is watched again must not reuse its
            # transaction handles or its candidate identifier in promotions.
            self._created_count += 1
            prefix = f"{entry.name}.{entry.incarnation}.{self._created_count}"
            group = WatchedGroup(
                name, entry.name, prefix, self._policy, self._make_queue
            )
            targets = self._rules.targets_by_group[name]
            group.update(targets, self._table.watchers(targets, now))
            group.used_at = now
            self.group_by_name[name] = group
        return group

    def _group_of(self, target: str) -> WatchedGroup | None:
        rule = self._rules.target_by_name.get(target)
        return None if rule is None else self.group_by_name.get(rule.group)
