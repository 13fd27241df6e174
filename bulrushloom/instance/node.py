"""All decision objects of one instance, joined into one."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple

from bulrushloom.coordination.base import (
    DecisionPart,
    Effect,
    KeySwapped,
    KeyValue,
    Message,
    SendMessage,
    StoreFailed,
)
from bulrushloom.coordination.configuration.base import (
    RULES_KEY,
    Ping,
    Pong,
    RulesChanged,
    RulesRequest,
    RulesText,
)
from bulrushloom.coordination.configuration.tracker import ConfigurationTracker
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
from bulrushloom.coordination.limits.base import (
    AccountLimit,
    HolderAck,
    HolderHeartbeat,
    Member,
    RateClient,
    SealAnswer,
    SealRequest,
    ShareGrant,
    ShareHandover,
    ShareRefused,
    ShareRequest,
    TokenGranted,
    TokenLoan,
    TokenLoanRequest,
    TokenRefused,
)
from bulrushloom.coordination.limits.holder import ShareHolder
from bulrushloom.coordination.limits.utils import shard_of, share_subject
from bulrushloom.coordination.membership.base import InstanceTable
from bulrushloom.coordination.queueing.base import SlotQueue
from bulrushloom.coordination.replication.base import AwaitAnswered, AwaitFailed
from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.instance.base import Complete, End, Executed, Submit
from bulrushloom.instance.groups import GROUP_RETENTION, WatchedGroup
from bulrushloom.instance.messages import (
    GroupView,
    GroupViewRequest,
    StatementAnswer,
    StatementRequest,
    TransactionAnswer,
    TransactionRequest,
)
from bulrushloom.instance.platform import DirectoryFailed, InstancesListed
from bulrushloom.instance.router import StatementRouter
from bulrushloom.instance.schedule import Ticking, TickSchedule
from bulrushloom.instance.unplaced import UnplacedRequests
from bulrushloom.instance.views import ViewCache
from bulrushloom.peers.base import MessageUndelivered, PeerIdentity, PeerLost
from bulrushloom.rules.base import RuleSet

# The watchers of all groups are computed anew this often; a change of the list of
# instances or of the rules does it at once.
WATCH_INTERVAL = timedelta(seconds=1)

# Rules reach all instances of a connected fleet within 1.5 s, and a share holder
# begins to fill the bucket of a new account 1 s after it learned of it.
NEW_ACCOUNT_DELAY = timedelta(seconds=2.5)

# Longest time that a starting instance waits for the share holders of its domain.
MAX_HOLDER_WAIT = timedelta(seconds=3)

MakeQueue = Callable[[], SlotQueue]


class Admit(NamedTuple):
    """Ask for a token of ``account``, then run ``submit``."""

    account: str
    submit: Submit


class NodeParts(NamedTuple):
    """Name the parts that a node is made of."""

    table: InstanceTable
    views: ViewCache
    router: StatementRouter
    tracker: ConfigurationTracker
    rate_client: RateClient
    share_holders: list[ShareHolder]


_GROUP_OBSERVATIONS = (
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


_HOLDER_MESSAGES = (
    ShareRequest,
    HolderHeartbeat,
    HolderAck,
    SealRequest,
    SealAnswer,
    ShareHandover,
    TokenLoanRequest,
    TokenLoan,
)


class Node(DecisionPart):
    """Route messages between the decision objects of one instance.

    Effects that only concern other parts of the same instance are carried out
    inside; the caller carries out those that ``handle`` and ``tick`` return.
    """

    def __init__(
        self,
        parts: NodeParts,
        policy: FailoverPolicy,
        make_queue: MakeQueue,
    ):
        self.table = parts.table
        self.tracker = parts.tracker
        self.router = parts.router
        self.share_holders = parts.share_holders
        self.group_by_name: dict[str, WatchedGroup] = {}
        self.draining = False
        self._views = parts.views
        self._rate_client = parts.rate_client
        self._holder_by_key = {holder.key: holder for holder in parts.share_holders}
        self._policy = policy
        self._make_queue = make_queue
        self._unplaced = UnplacedRequests(parts.table.own.name)
        self._submit_by_id: dict[str, Submit] = {}
        self._next_watch_at = timedelta()
        self._rules_since: timedelta | None = None
        self._ready = False
        others = (self._rate_client, self.router)
        self._parts: list[Ticking] = [self.tracker, *self.share_holders, *others]
        self._schedule = TickSchedule()
        self._routes = self._build_routes()

    @property
    def own(self) -> str:
        """Return the name of this instance."""
        return self.table.own.name

    @property
    def rules(self) -> RuleSet:
        """Return the rules in force."""
        return self.tracker.rules

    @property
    def is_idle(self) -> bool:
        """Return whether no request and no transaction is open here."""
        idle = all(group.is_idle for group in self.group_by_name.values())
        return idle and not len(self.router) and not self._submit_by_id

    def is_ready(self, now: timedelta) -> bool:
        """Return whether requests can be served; true for good once it was true.

        Without a share holder a request would be refused although its account is
        inside its rate, and a holder that has just learned of an account has no
        tokens yet. A fleet whose store is down may have no holder, so after
        ``MAX_HOLDER_WAIT`` the instance serves what it can.
        """
        if self._ready or self._rules_since is None:
            return self._ready
        waited = now - self._rules_since
        held = all(holder.known_holder(now) for holder in self.share_holders)
        self._ready = waited >= (NEW_ACCOUNT_DELAY if held else MAX_HOLDER_WAIT)
        return self._ready

    def handle(self, sender: str, message: Message, now: timedelta) -> list[Effect]:
        """Handle a message of a peer, an edge or the own instance."""
        if sender != self.own:
            self.table.mark_reachable(sender)
        return self._settle(self._dispatch(sender, message, now), now)

    def tick(self, now: timedelta) -> list[Effect]:
        """Let every part whose next tick has come do what is due."""
        if now >= self._next_watch_at:
            self._watch(now)
        return self._settle(self._schedule.tick(self._ticking(), now), now)

    def next_tick(self, last: timedelta) -> timedelta:
        """Return when the first part is due."""
        due = self._schedule.next_tick(self._ticking(), last)
        return min(due, self._next_watch_at)

    def _ticking(self) -> list[Ticking]:
        return [*self._parts, *self.group_by_name.values()]

    def drain(self, now: timedelta) -> list[Effect]:
        """Take no new ownership; work that is open goes on."""
        self.draining = True
        self.tracker.draining = True
        for group in self.group_by_name.values():
            group.drain()
        effects: list[Effect] = []
        for holder in self.share_holders:
            effects += holder.drain(now)
        return self._settle(effects, now)

    def _build_routes(
        self,
    ) -> dict[type, Callable[[str, Any, timedelta], list[Effect]]]:
        router, tracker = self.router.handle, self.tracker.handle
        routes: dict[type, Callable[[str, Any, timedelta], list[Effect]]] = {
            Admit: self._admit,
            StatementAnswer: router,
            TransactionAnswer: router,
            GroupView: router,
            MessageUndelivered: self._undelivered,
            PeerLost: self._peer_lost,
            StatementRequest: self._request,
            TransactionRequest: self._request,
            GroupViewRequest: self._view_request,
            WatcherReport: self._report,
            Executed: self._executed,
            Ping: self._ping,
            Pong: self._ping,
            RulesRequest: tracker,
            RulesText: tracker,
            KeyValue: self._store_answer,
            KeySwapped: self._store_answer,
            StoreFailed: self._store_answer,
            InstancesListed: self._instances_listed,
            DirectoryFailed: lambda sender, message, now: [],
            ShareGrant: self._rate_client.handle,
            ShareRefused: self._rate_client.handle,
        }
        routes.update(dict.fromkeys(_GROUP_OBSERVATIONS, self._observe))
        routes.update(dict.fromkeys(_HOLDER_MESSAGES, self._share_message))
        return routes

    def _dispatch(self, sender: str, message: Message, now: timedelta) -> list[Effect]:
        return self._routes[type(message)](sender, message, now)

    def _settle(self, effects: list[Effect], now: timedelta) -> list[Effect]:
        """Carry out the effects inside the instance and return the others."""
        outside: list[Effect] = []
        todo = list(effects)
        while todo:
            effect = todo.pop(0)
            if isinstance(effect, SendMessage) and effect.recipient == self.own:
                todo += self._dispatch(self.own, effect.message, now)
            elif isinstance(effect, TokenGranted):
                submit = self._submit_by_id.pop(effect.request_id, None)
                if submit is not None:
                    todo += self.router.handle(self.own, submit, now)
            elif isinstance(effect, TokenRefused):
                if self._submit_by_id.pop(effect.request_id, None) is not None:
                    outside.append(_rate_limited(effect))
            elif isinstance(effect, RulesChanged):
                todo += self._apply_rules(now)
                outside.append(effect)
            else:
                outside.append(effect)
        return outside

    def _admit(self, sender: str, message: Admit, now: timedelta) -> list[Effect]:
        submit = message.submit
        if isinstance(submit.request, End):
            # Ending a transaction frees a connection; it takes no token.
            return self.router.handle(sender, submit, now)
        self._submit_by_id[submit.request_id] = submit
        return self._rate_client.acquire(submit.request_id, message.account, now)

    def _undelivered(
        self, sender: str, message: MessageUndelivered, now: timedelta
    ) -> list[Effect]:
        self.table.mark_unreachable(message.recipient, now)
        effects = self._rate_client.peer_lost(message.recipient, now)
        return effects + self.router.handle(sender, message, now)

    def _peer_lost(
        self, sender: str, message: PeerLost, now: timedelta
    ) -> list[Effect]:
        self.table.mark_unreachable(message.peer, now)
        effects = self._rate_client.peer_lost(message.peer, now)
        return effects + self.router.handle(sender, message, now)

    def _request(
        self,
        sender: str,
        message: StatementRequest | TransactionRequest,
        now: timedelta,
    ) -> list[Effect]:
        known = self._unplaced.repeat(sender, message.request_id)
        if known is not None:
            return known
        rule = self.rules.target_by_name.get(message.target)
        if rule is None:
            return self._unplaced.refuse_unknown(sender, message, now)
        if message.incarnation != self.table.own.incarnation:
            return self._unplaced.refuse_forgotten(sender, message, now)
        group = self._group(rule.group, now)
        return group.request(sender, message, rule, now, self.draining)

    def _view_request(
        self, sender: str, message: GroupViewRequest, now: timedelta
    ) -> list[Effect]:
        if message.group not in self.rules.targets_by_group:
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

    def _ping(self, sender: str, message: Ping | Pong, now: timedelta) -> list[Effect]:
        self.table.set_draining(sender, message.draining)
        return self.tracker.handle(sender, message, now)

    def _store_answer(
        self, sender: str, message: KeyValue | KeySwapped | StoreFailed, now: timedelta
    ) -> list[Effect]:
        if message.key == RULES_KEY:
            return self.tracker.handle(sender, message, now)
        holder = self._holder_by_key.get(message.key)
        return [] if holder is None else holder.handle(sender, message, now)

    def _share_message(self, sender: str, message: Any, now: timedelta) -> list[Effect]:
        # Loans and requests for them name the domain of the holder that sent them.
        is_loan = isinstance(message, TokenLoan | TokenLoanRequest)
        domain = self.table.own.domain if is_loan else message.domain
        holder = self._holder_by_key.get(share_subject(domain, message.shard))
        return [] if holder is None else holder.handle(sender, message, now)

    def _instances_listed(
        self, sender: str, message: InstancesListed, now: timedelta
    ) -> list[Effect]:
        self.table.update(message.entries, now)
        return self._instances_changed(now)

    def hear(
        self, sender: str, identity: PeerIdentity, now: timedelta
    ) -> list[Effect] | None:
        """Learn who a peer is; return ``None`` if that was known."""
        if not self.table.hear(sender, *identity, now):
            return None
        return self._settle(self._instances_changed(now), now)

    def _instances_changed(self, now: timedelta) -> list[Effect]:
        instances = self.table.instance_by_name
        domain_by_name = {name: entry.domain for name, entry in instances.items()}
        effects = self.tracker.update_instances(domain_by_name, now)
        effects += self._update_members(now)
        self._watch(now)
        return effects

    def _update_members(self, now: timedelta) -> list[Effect]:
        names_by_domain: dict[str, list[str]] = {}
        members = []
        for entry in self.table.instance_by_name.values():
            names_by_domain.setdefault(entry.domain, []).append(entry.name)
            if entry.domain == self.table.own.domain and not entry.leaving:
                members.append(Member(entry.name, entry.incarnation))
        effects = self._rate_client.update_instances(names_by_domain, now)
        del names_by_domain[self.table.own.domain]
        for holder in self.share_holders:
            effects += holder.update_instances(members, names_by_domain, now)
        return effects

    def _apply_rules(self, now: timedelta) -> list[Effect]:
        rules = self.rules
        if self._rules_since is None:
            self._rules_since = now
        self._views.update_rules(rules)
        self.router.update_rules(rules)
        limit_by_account = {
            account.name: AccountLimit(account.rate, float(account.burst))
            for account in rules.account_by_name.values()
        }
        domains = max(1, len(rules.domain_by_name))
        effects: list[Effect] = []
        for holder in self.share_holders:
            own_shard = {
                name: limit
                for name, limit in limit_by_account.items()
                if shard_of(name, len(self.share_holders)) == holder.shard
            }
            effects += holder.update_accounts(own_shard, domains, now)
        effects += self._rate_client.update_accounts(limit_by_account, domains, now)
        self._watch(now)
        return effects

    def _watch(self, now: timedelta) -> None:
        """Watch the groups that this instance is responsible for, and no others."""
        self._next_watch_at = now + WATCH_INTERVAL
        for name, targets in self.rules.targets_by_group.items():
            watchers = self.table.watchers(targets, now)
            if self.own in watchers:
                self._group(name, now).used_at = now
            group = self.group_by_name.get(name)
            if group is not None:
                group.update(targets, watchers)
        for name, group in list(self.group_by_name.items()):
            unused = group.is_idle and now - group.used_at > GROUP_RETENTION
            if unused or name not in self.rules.targets_by_group:
                del self.group_by_name[name]

    def _group(self, name: str, now: timedelta) -> WatchedGroup:
        group = self.group_by_name.get(name)
        if group is None:
            group = WatchedGroup(
                name,
                self.own,
                f"{self.own}.{self.table.own.incarnation}",
                self._policy,
                self._make_queue,
            )
            targets = self.rules.targets_by_group[name]
            group.update(targets, self.table.watchers(targets, now))
            group.used_at = now
            self.group_by_name[name] = group
        return group

    def _group_of(self, target: str) -> WatchedGroup | None:
        rule = self.rules.target_by_name.get(target)
        return None if rule is None else self.group_by_name.get(rule.group)


def _rate_limited(effect: TokenRefused) -> Complete:
    message = "the account is over its rate"
    if not effect.confirmed:
        message = "no share holder answered in time; the rate is unknown"
    refusal = Refusal(ErrorKind.RATE_LIMITED, message, effect.retry_after)
    return Complete(effect.request_id, refusal, effect.confirmed)
