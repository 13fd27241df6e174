"""All groups that an instance watches or serves, and the messages about them."""

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
from bulrushloom.coordination.replication.base import AwaitAnswered, AwaitFailed
from bulrushloom.instance.base import Executed
from bulrushloom.instance.groups import GROUP_RETENTION, WatchedGroup
from bulrushloom.instance.messages import (
    GroupViewRequest,
    StatementRequest,
    TransactionRequest,
)
from bulrushloom.instance.unplaced import UnplacedRequests
from bulrushloom.rules.base import EMPTY_RULES, RuleSet

# The watchers of all groups are computed anew this often; a change of the list of
# instances or of the rules does it at once.
WATCH_INTERVAL = timedelta(seconds=1)

MakeQueue = Callable[[], SlotQueue]
Route = Callable[[str, Any, timedelta], list[Effect]]

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
    AwaitAnswered,
    AwaitFailed,
)


class GroupTable:
    """Hold the watched groups by name and hand messages to them."""

    def __init__(
        self, table: InstanceTable, policy: FailoverPolicy, make_queue: MakeQueue
    ):
        self.group_by_name: dict[str, WatchedGroup] = {}
        self.next_watch_at = timedelta()
        self._table = table
        self._policy = policy
        self._make_queue = make_queue
        self._rules = EMPTY_RULES
        self._unplaced = UnplacedRequests(table.own.name)
        self._created = 0
        self._draining = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request and no transaction is open."""
        return all(group.is_idle for group in self.group_by_name.values())

    def routes(self) -> dict[type, Route]:
        """Return the handler of each message class that concerns groups."""
        routes: dict[type, Route] = {
            StatementRequest: self._request,
            TransactionRequest: self._request,
            GroupViewRequest: self._view_request,
            WatcherReport: self._report,
            Executed: self._executed,
        }
        routes.update(dict.fromkeys(_OBSERVATIONS, self._observe))
        return routes

    def update_rules(self, rules: RuleSet) -> None:
        """Use a new version of the rules; ``watch`` follows."""
        self._rules = rules

    def drain(self) -> None:
        """Refuse new work in all groups."""
        self._draining = True
        for group in self.group_by_name.values():
            group.drain()

    def watch(self, now: timedelta) -> None:
        """Watch the groups that this instance is responsible for, and no others."""
        self.next_watch_at = now + WATCH_INTERVAL
        for name, targets in self._rules.targets_by_group.items():
            watchers = self._table.watchers(targets, now)
            if self._table.own.name in watchers:
                self._group(name, now).used_at = now
            group = self.group_by_name.get(name)
            if group is not None:
                group.update(targets, watchers)
        for name, group in list(self.group_by_name.items()):
            unused = group.is_idle and now - group.used_at > GROUP_RETENTION
            if unused or name not in self._rules.targets_by_group:
                del self.group_by_name[name]

    def _request(
        self,
        sender: str,
        message: StatementRequest | TransactionRequest,
        now: timedelta,
    ) -> list[Effect]:
        known = self._unplaced.repeat(sender, message.request_id)
        if known is not None:
            return known
        rule = self._rules.target_by_name.get(message.target)
        if rule is None:
            return self._unplaced.refuse_unknown(sender, message, now)
        if message.incarnation != self._table.own.incarnation:
            return self._unplaced.refuse_forgotten(sender, message, now)
        group = self._group(rule.group, now)
        return group.request(sender, message, rule, now, self._draining)

    def _view_request(
        self, sender: str, message: GroupViewRequest, now: timedelta
    ) -> list[Effect]:
        if message.group not in self._rules.targets_by_group:
            return []
        return self._group(message.group, now).answer_view(sender, message, now)

    def _report(
        self, sender: str, message: WatcherReport, now: timedelta
    ) -> list[Effect]:
        group = self.group_by_name.get(message.group)
        return [] if group is None else group.observe(sender, message, now)

    def _observe(self, sender: str, message: Any, now: timedelta) -> list[Effect]:
        group = self._group_of(message.target)
        return [] if group is None else group.observe(sender, message, now)

    def _executed(self, sender: str, message: Executed, now: timedelta) -> list[Effect]:
        group = self._group_of(message.target)
        return [] if group is None else group.executed(message, now)

    def _group(self, name: str, now: timedelta) -> WatchedGroup:
        group = self.group_by_name.get(name)
        if group is None:
            own = self._table.own
            # A group that was dropped and is watched again must not repeat the
            # handles of its transactions nor its candidate in promotions.
            self._created += 1
            prefix = f"{own.name}.{own.incarnation}.{self._created}"
            group = WatchedGroup(name, own.name, prefix, self._policy, self._make_queue)
            targets = self._rules.targets_by_group[name]
            group.update(targets, self._table.watchers(targets, now))
            group.used_at = now
            self.group_by_name[name] = group
        return group

    def _group_of(self, target: str) -> WatchedGroup | None:
        rule = self._rules.target_by_name.get(target)
        return None if rule is None else self.group_by_name.get(rule.group)
