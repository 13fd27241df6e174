"""Composition of all decision components of one instance."""

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
from bulrushloom.instance.group_table import GroupTable, MakeQueue, MessageHandler
from bulrushloom.instance.messages import (
    GroupView,
    StatementAnswer,
    TransactionAnswer,
)
from bulrushloom.instance.platform import DirectoryFailed, InstancesListed
from bulrushloom.instance.router import StatementRouter
from bulrushloom.instance.schedule import Tickable, TickSchedule
from bulrushloom.instance.views import GroupViewCache
from bulrushloom.peers.base import MessageUndelivered, PeerIdentity, PeerLost
from bulrushloom.rules.base import RuleSet

# Time from the arrival of the first rules to readiness if all share holders are known.
# Rules reach all instances of a connected fleet within 1.5 s, and a share holder starts
# to fill the bucket of a new account 1 s after it has received the rules.
NEW_ACCOUNT_DELAY = timedelta(seconds=2.5)

# Maximum time that a starting instance waits for the share holders of its domain.
MAX_HOLDER_WAIT = timedelta(seconds=3)


class Admit(NamedTuple):
    """Request to acquire a token of ``account`` and then run ``submit``."""

    account: str
    submit: Submit


class NodeComponents(NamedTuple):
    """Decision components that make up a node."""

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
    """Route messages between the decision components of one instance.

    Effects that concern only other components of the same instance are processed
    internally; ``handle`` and ``tick`` return the others to the caller.
    """

    def __init__(
        self,
        components: NodeComponents,
        policy: FailoverPolicy,
        make_queue: MakeQueue,
    ):
        self.table = components.table
        self.tracker = components.tracker
        self.router = components.router
        self.share_holders = components.share_holders
        self.groups = GroupTable(components.table, policy, make_queue)
        self.draining = False
        self._views = components.views
        self._rate_client = components.rate_client
        self._holder_by_key = {
            holder.key: holder for holder in components.share_holders
        }
        self._submit_by_id: dict[str, Submit] = {}
        self._rules_received_at: timedelta | None = None
        self._ready = False
        others = (self._rate_client, self.router)
        self._components: list[Tickable] = [self.tracker, *self.share_holders, *others]
        self._schedule = TickSchedule()
        self._handlers = self._build_handlers()

    @property
    def name(self) -> str:
        """Return the name of this instance."""
        return self.table.local_entry.name

    @property
    def rules(self) -> RuleSet:
        """Return the active rules."""
        return self.tracker.rules

    @property
    def is_idle(self) -> bool:
        """Return whether this instance has no open request or transaction."""
        waiting = len(self.router) or self._submit_by_id
        return self.groups.is_idle and not waiting

    def is_ready(self, now: timedelta) -> bool:
        """Return whether requests can be served; once true, it stays true.

        Without a share holder, requests would be refused although their account is
        within its rate, and a holder that has just received an account has no tokens
        for it yet. A fleet whose store is down may have no holder, so the instance
        becomes ready after ``MAX_HOLDER_WAIT`` in any case.
        """
        if self._ready or self._rules_received_at is None:
            return self._ready
        waited = now - self._rules_received_at
        holders_known = all(holder.known_holder(now) for holder in self.share_holders)
        self._ready = waited >= (
            NEW_ACCOUNT_DELAY if holders_known else MAX_HOLDER_WAIT
        )
        return self._ready

    def handle(self, sender: str, message: Message, now: timedelta) -> list[Effect]:
        """Handle a message from a peer, an I/O adapter or this instance itself."""
        if sender != self.name:
            self.table.mark_reachable(sender)
        return self._process_internal_effects(self._dispatch(sender, message, now), now)

    def tick(self, now: timedelta) -> list[Effect]:
        """Tick all components that are due."""
        if now >= self.groups.next_watch_update_at:
            self.groups.update_watched_groups(now)
        return self._process_internal_effects(
            self._schedule.tick(self._tickables(), now), now
        )

    def next_tick(self, last: timedelta) -> timedelta:
        """Return when the first component is due."""
        due = self._schedule.next_tick(self._tickables(), last)
        return min(due, self.groups.next_watch_update_at)

    def _tickables(self) -> list[Tickable]:
        return [*self._components, *self.groups.group_by_name.values()]

    def drain(self, now: timedelta) -> list[Effect]:
        """Refuse new work and hand the held shares over; open work continues."""
        self.draining = True
        self.tracker.draining = True
        self.groups.drain()
        effects: list[Effect] = []
        for holder in self.share_holders:
            effects += holder.drain(now)
        return self._process_internal_effects(effects, now)

    def _build_handlers(self) -> dict[type, MessageHandler]:
        router, tracker = self.router.handle, self.tracker.handle
        handlers: dict[type, MessageHandler] = {
            Admit: self._handle_admit,
            StatementAnswer: router,
            TransactionAnswer: router,
            GroupView: router,
            MessageUndelivered: self._handle_undelivered,
            PeerLost: self._handle_peer_lost,
            Ping: self._handle_ping,
            Pong: self._handle_ping,
            RulesRequest: tracker,
            RulesText: tracker,
            KeyValue: self._handle_store_answer,
            KeySwapped: self._handle_store_answer,
            StoreFailed: self._handle_store_answer,
            InstancesListed: self._handle_instances_listed,
            DirectoryFailed: lambda sender, message, now: [],
            ShareGrant: self._rate_client.handle,
            ShareRefused: self._rate_client.handle,
        }
        handlers.update(self.groups.message_handlers())
        handlers.update(dict.fromkeys(_HOLDER_MESSAGES, self._handle_share_message))
        return handlers

    def _dispatch(self, sender: str, message: Message, now: timedelta) -> list[Effect]:
        return self._handlers[type(message)](sender, message, now)

    def _process_internal_effects(
        self, effects: list[Effect], now: timedelta
    ) -> list[Effect]:
        """Execute the effects within the instance and return the others."""
        external: list[Effect] = []
        queue = list(effects)
        while queue:
            effect = queue.pop(0)
            if isinstance(effect, SendMessage) and effect.recipient == self.name:
                queue += self._dispatch(self.name, effect.message, now)
            elif isinstance(effect, TokenGranted):
                submit = self._submit_by_id.pop(effect.request_id, None)
                if submit is not None:
                    queue += self.router.handle(self.name, submit, now)
            elif isinstance(effect, TokenRefused):
                if self._submit_by_id.pop(effect.request_id, None) is not None:
                    external.append(_rate_limited(effect))
            elif isinstance(effect, RulesChanged):
                queue += self._apply_rules(now)
                external.append(effect)
            else:
                external.append(effect)
        return external

    def _handle_admit(
        self, sender: str, message: Admit, now: timedelta
    ) -> list[Effect]:
        submit = message.submit
        if isinstance(submit.request, End):
            # Ending a transaction frees a connection, so it requires no token.
            return self.router.handle(sender, submit, now)
        self._submit_by_id[submit.request_id] = submit
        return self._rate_client.acquire(submit.request_id, message.account, now)

    def _handle_undelivered(
        self, sender: str, message: MessageUndelivered, now: timedelta
    ) -> list[Effect]:
        self.table.mark_unreachable(message.recipient, now)
        effects = self._rate_client.handle_unreachable_peer(message.recipient, now)
        return effects + self.router.handle(sender, message, now)

    def _handle_peer_lost(
        self, sender: str, message: PeerLost, now: timedelta
    ) -> list[Effect]:
        self.table.mark_unreachable(message.peer, now)
        effects = self._rate_client.handle_unreachable_peer(message.peer, now)
        return effects + self.router.handle(sender, message, now)

    def _handle_ping(
        self, sender: str, message: Ping | Pong, now: timedelta
    ) -> list[Effect]:
        self.table.set_draining(sender, message.draining)
        return self.tracker.handle(sender, message, now)

    def _handle_store_answer(
        self, sender: str, message: KeyValue | KeySwapped | StoreFailed, now: timedelta
    ) -> list[Effect]:
        if message.key == RULES_KEY:
            return self.tracker.handle(sender, message, now)
        holder = self._holder_by_key.get(message.key)
        return [] if holder is None else holder.handle(sender, message, now)

    def _handle_share_message(
        self, sender: str, message: Any, now: timedelta
    ) -> list[Effect]:
        # In loans and loan requests, ``domain`` is the domain of the sending holder.
        is_loan = isinstance(message, TokenLoan | TokenLoanRequest)
        domain = self.table.local_entry.domain if is_loan else message.domain
        holder = self._holder_by_key.get(share_subject(domain, message.shard))
        return [] if holder is None else holder.handle(sender, message, now)

    def _handle_instances_listed(
        self, sender: str, message: InstancesListed, now: timedelta
    ) -> list[Effect]:
        self.table.update(message.entries, now)
        return self._instances_changed(now)

    def observe_peer(
        self, sender: str, identity: PeerIdentity, now: timedelta
    ) -> list[Effect] | None:
        """Record a peer's identity; return ``None`` if it was already known."""
        if not self.table.observe_peer(sender, *identity, now):
            return None
        return self._process_internal_effects(self._instances_changed(now), now)

    def _instances_changed(self, now: timedelta) -> list[Effect]:
        instances = self.table.instance_by_name
        domain_by_name = {name: entry.domain for name, entry in instances.items()}
        effects = self.tracker.update_instances(domain_by_name, now)
        effects += self._update_members(now)
        self.groups.update_watched_groups(now)
        return effects

    def _update_members(self, now: timedelta) -> list[Effect]:
        names_by_domain: dict[str, list[str]] = {}
        members = []
        for entry in self.table.instance_by_name.values():
            names_by_domain.setdefault(entry.domain, []).append(entry.name)
            if entry.domain == self.table.local_entry.domain and not entry.leaving:
                members.append(Member(entry.name, entry.incarnation))
        effects = self._rate_client.update_instances(names_by_domain, now)
        del names_by_domain[self.table.local_entry.domain]
        for holder in self.share_holders:
            effects += holder.update_instances(members, names_by_domain, now)
        return effects

    def _apply_rules(self, now: timedelta) -> list[Effect]:
        rules = self.rules
        if self._rules_received_at is None:
            self._rules_received_at = now
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
            accounts_of_shard = {
                name: limit
                for name, limit in limit_by_account.items()
                if shard_of(name, len(self.share_holders)) == holder.shard
            }
            effects += holder.update_accounts(accounts_of_shard, domains, now)
        effects += self._rate_client.update_accounts(limit_by_account, domains, now)
        self.groups.update_watched_groups(now)
        return effects


def _rate_limited(effect: TokenRefused) -> Complete:
    message = "the account is over its rate"
    if not effect.confirmed:
        message = "no share holder answered in time; the rate is unknown"
    refusal = Refusal(ErrorKind.RATE_LIMITED, message, effect.retry_after)
    return Complete(effect.request_id, refusal, effect.confirmed)
