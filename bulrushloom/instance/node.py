"""All decision objects of one instance, joined into one."""

from datetime import timedelta
from typing import Any, NamedTuple

from bulrushloom.coordination.base import (
    DecisionComponent,
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
from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.instance.base import Complete, End, Submit
from bulrushloom.instance.group_table import GroupTable, MakeQueue, Route
from bulrushloom.instance.messages import (
    GroupView,
    StatementAnswer,
    TransactionAnswer,
)
from bulrushloom.instance.platform import DirectoryFailed, InstancesListed
from bulrushloom.instance.router import StatementRouter
from bulrushloom.instance.schedule import Ticking, TickSchedule
from bulrushloom.instance.views import GroupViewCache
from bulrushloom.peers.base import MessageUndelivered, PeerIdentity, PeerLost
from bulrushloom.rules.base import RuleSet

# Rules reach all instances of a connected fleet within 1.5 s, and a share holder
# begins to fill the bucket of a new account 1 s after it learned of it.
NEW_ACCOUNT_DELAY = timedelta(seconds=2.5)

# Longest time that a starting instance waits for the share holders of its domain.
MAX_HOLDER_WAIT = timedelta(seconds=3)


class Admit(NamedTuple):
    """Ask for a token of ``account``, then run ``submit``."""

    account: str
    submit: Submit


class NodeParts(NamedTuple):
    """Name the parts that a node is made of."""

    table: InstanceTable
    views: GroupViewCache
    router: StatementRouter
    tracker: ConfigurationTracker
    rate_client: RateClient
    share_holders: list[ShareHolder]


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


class Node(DecisionComponent):
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
        self.groups = GroupTable(parts.table, policy, make_queue)
        self.draining = False
        self._views = parts.views
        self._rate_client = parts.rate_client
        self._holder_by_key = {holder.key: holder for holder in parts.share_holders}
        self._submit_by_id: dict[str, Submit] = {}
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
        waiting = len(self.router) or self._submit_by_id
        return self.groups.is_idle and not waiting

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
        if now >= self.groups.next_watch_at:
            self.groups.watch(now)
        return self._settle(self._schedule.tick(self._ticking(), now), now)

    def next_tick(self, last: timedelta) -> timedelta:
        """Return when the first part is due."""
        due = self._schedule.next_tick(self._ticking(), last)
        return min(due, self.groups.next_watch_at)

    def _ticking(self) -> list[Ticking]:
        return [*self._parts, *self.groups.group_by_name.values()]

    def drain(self, now: timedelta) -> list[Effect]:
        """Take no new ownership; work that is open goes on."""
        self.draining = True
        self.tracker.draining = True
        self.groups.drain()
        effects: list[Effect] = []
        for holder in self.share_holders:
            effects += holder.drain(now)
        return self._settle(effects, now)

    def _build_routes(self) -> dict[type, Route]:
        router, tracker = self.router.handle, self.tracker.handle
        routes: dict[type, Route] = {
            Admit: self._admit,
            StatementAnswer: router,
            TransactionAnswer: router,
            GroupView: router,
            MessageUndelivered: self._undelivered,
            PeerLost: self._peer_lost,
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
        routes.update(self.groups.routes())
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

    def observe_peer(
        self, sender: str, identity: PeerIdentity, now: timedelta
    ) -> list[Effect] | None:
        """Learn who a peer is; return ``None`` if that was known."""
        if not self.table.observe_peer(sender, *identity, now):
            return None
        return self._settle(self._instances_changed(now), now)

    def _instances_changed(self, now: timedelta) -> list[Effect]:
        instances = self.table.instance_by_name
        domain_by_name = {name: entry.domain for name, entry in instances.items()}
        effects = self.tracker.update_instances(domain_by_name, now)
        effects += self._update_members(now)
        self.groups.watch(now)
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
        self.groups.update_rules(rules)
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
        self.groups.watch(now)
        return effects


def _rate_limited(effect: TokenRefused) -> Complete:
    message = "the account is over its rate"
    if not effect.confirmed:
        message = "no share holder answered in time; the rate is unknown"
    refusal = Refusal(ErrorKind.RATE_LIMITED, message, effect.retry_after)
    return Complete(effect.request_id, refusal, effect.confirmed)
