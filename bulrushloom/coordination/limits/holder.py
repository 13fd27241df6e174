"""Roles of an instance for one share: candidate, elector and holder."""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Any

from bulrushloom.coordination.base import (
    DecisionComponent,
    Effect,
    KeySwapped,
    KeyValue,
    LogEntry,
    Message,
    SendMessage,
    StoreFailed,
)
from bulrushloom.coordination.limits.base import (
    AccountLimit,
    HolderAck,
    HolderHeartbeat,
    Member,
    SealAnswer,
    SealRequest,
    ShareHandover,
    ShareRefused,
    ShareRequest,
    TokenLoan,
    TokenLoanRequest,
)
from bulrushloom.coordination.limits.election import HolderElection
from bulrushloom.coordination.limits.electorate import LEASE_DURATION, Elector
from bulrushloom.coordination.limits.issuer import TokenIssuer
from bulrushloom.coordination.limits.loans import Borrower
from bulrushloom.coordination.limits.utils import share_subject


class ShareHolder(DecisionComponent):
    """Take part in the election for one domain and shard, and grant its tokens.

    Every instance of the domain runs one such object for each shard. Messages that it
    addresses to its own instance are delivered locally.
    """

    def __init__(self, name: str, incarnation: str, domain: str, shard: int = 0):
        self.member = Member(name, incarnation)
        self.domain = domain
        self.shard = shard
        self.key = share_subject(domain, shard)
        self._limit_by_account: dict[str, AccountLimit] = {}
        self._domain_count = 1
        self._issuer = TokenIssuer(domain, shard)
        self._borrower = Borrower(domain, shard, incarnation, self._issuer)
        self._elector = Elector(domain, shard, incarnation)
        self._election = HolderElection(self.member, domain, shard, self._elector)
        self._is_granting = False
        self._handover: tuple[ShareHandover, str] | None = None
        self._handovers_sent = 0

    @property
    def state(self) -> str:
        """Return the current state of the chart ``holder.yaml``."""
        return self._election.machine.state

    @property
    def epoch(self) -> int:
        """Return the latest epoch that this instance knows."""
        lease = self._election.holder_lease
        return max(self._elector.known_epoch, lease.epoch if lease else 0)

    def known_holder(self, now: timedelta) -> str:
        """Return the name of the holder if this instance knows it, or ``""``."""
        if self._election.lease_until(now) is not None:
            return self.member.name
        known = self._elector.known_holder
        return known if known != self.member.name else ""

    def update_instances(
        self,
        members: Iterable[Member],
        candidates_by_domain: Mapping[str, Iterable[str]],
        now: timedelta,
    ) -> list[Effect]:
        """Replace the live instances.

        ``members`` contains the instances of the local domain, including this one
        unless it is leaving. ``candidates_by_domain`` contains, for each other domain,
        its holder or the instances to try, the most likely holder first.
        """
        self._election.update_members(members, now)
        self._borrower.update_lenders(candidates_by_domain)
        return []

    def update_accounts(
        self, limit_by_account: Mapping[str, AccountLimit], domains: int, now: timedelta
    ) -> list[Effect]:
        """Replace the account limits of this shard and the number of domains."""
        self._limit_by_account = dict(limit_by_account)
        self._domain_count = domains
        if self._is_granting:
            self._issuer.update_accounts(
                self._limit_by_account, domains, now, now + LEASE_DURATION
            )
        return []

    def drain(self, now: timedelta) -> list[Effect]:
        """Stop granting permanently and hand the share over to the next instance."""
        if self.state == "retired":
            return []
        until = self._election.lease_until(now)
        version = self._election.version
        lease = self._election.holder_lease
        self._election.retire()
        next_holder = self._election.next_holder()
        if until is None or lease is None or not next_holder or not self._is_granting:
            return self._stop_granting(now)
        lifetime = -((now - until) // timedelta(milliseconds=1))
        message = ShareHandover(
            self.domain,
            self.shard,
            lease.epoch,
            version,
            lifetime,
            self._issuer.levels(now),
        )
        effects = self._stop_granting(now)
        self._handover = (message, next_holder)
        effects += self._send_handover()
        return [*effects, self._log("share_handed_over", next_holder=next_holder)]

    def handle(self, sender: str, message: Message, now: timedelta) -> list[Effect]:
        """Handle a message of a peer, the store or this instance."""
        if isinstance(message, ShareRequest):
            return self._handle_request(sender, message, now)
        if isinstance(message, TokenLoanRequest):
            return self._handle_loan_request(sender, message, now)
        if isinstance(message, TokenLoan):
            return self._handle_loan(sender, message, now)
        if isinstance(message, HolderHeartbeat):
            return self._handle_heartbeat(sender, message, now)
        if isinstance(message, SealRequest):
            return [SendMessage(sender, self._elector.seal(message, now))]
        return self._handle_election_message(sender, message, now)

    def tick(self, now: timedelta) -> list[Effect]:
        """Advance the election, then borrow tokens and serve waiting demand."""
        effects = self._election.tick(now)
        effects += self._follow_election(now)
        if self._handover is not None:
            effects += self._send_handover()
        if self._is_granting:
            until = self._election.lease_until(now)
            if until is not None:
                effects += self._borrower.tick(now)
            effects += self._issuer.tick(until, now)
        return effects

    def next_tick(self, last: timedelta) -> timedelta:
        """Return when the next tick is due after one at ``last``.

        It is due immediately while a handover is being sent or there are outstanding
        tokens or waiting demand.
        """
        if self._handover is not None or self._is_granting != self._election.holding:
            return last
        if self._is_granting and not (self._issuer.is_idle and self._borrower.is_idle):
            return last
        return self._election.next_tick(last)

    def _handle_election_message(
        self, sender: str, message: Any, now: timedelta
    ) -> list[Effect]:
        if isinstance(message, HolderAck):
            self._election.handle_ack(sender, message)
            return []
        if isinstance(message, SealAnswer):
            effects = self._election.handle_seal(sender, message, now)
        elif isinstance(message, ShareHandover):
            effects = self._election.handle_handover(message, now)
        elif isinstance(message, KeyValue) and message.key == self.key:
            effects = self._election.handle_value(message, now)
        elif isinstance(message, KeySwapped) and message.key == self.key:
            effects = self._election.handle_swapped(message, now)
        elif isinstance(message, StoreFailed) and message.key == self.key:
            effects = self._election.handle_failure(now)
        else:
            return []
        return effects + self._follow_election(now)

    def _handle_heartbeat(
        self, sender: str, message: HolderHeartbeat, now: timedelta
    ) -> list[Effect]:
        ack = self._elector.acknowledge_heartbeat(sender, message, now)
        effects: list[Effect] = [SendMessage(sender, ack)]
        if sender != self.member.name and ack.accepted:
            self._election.observe_epoch(message.epoch, now)
            effects += self._follow_election(now)
        return effects

    def _handle_request(
        self, sender: str, request: ShareRequest, now: timedelta
    ) -> list[Effect]:
        until = self._election.lease_until(now)
        if until is not None and self._is_granting:
            effects = self._issuer.handle_request(sender, request, until, now)
            accounts = {demand.account for demand in request.demands}
            accounts |= {settlement.account for settlement in request.settlements}
            # Tokens that the settlements returned may satisfy waiting demand.
            effects += self._issuer.serve(sorted(accounts), until, now)
            return effects + self._borrower.exchange_early(sorted(accounts), now)
        refusal = ShareRefused(
            self.domain,
            self.shard,
            request.incarnation,
            request.sequence,
            self.known_holder(now),
        )
        return [SendMessage(sender, refusal)]

    def _handle_loan(
        self, sender: str, loan: TokenLoan, now: timedelta
    ) -> list[Effect]:
        self._borrower.handle_loan(sender, loan, now)
        if not self._is_granting:
            return []
        accounts = sorted({item.account for item in loan.loans})
        until = self._election.lease_until(now)
        return self._issuer.serve(accounts, until, now)

    def _handle_loan_request(
        self, sender: str, request: TokenLoanRequest, now: timedelta
    ) -> list[Effect]:
        until = self._election.lease_until(now)
        if until is not None and self._is_granting:
            return self._issuer.handle_loan_request(sender, request, until, now)
        # If no holder is known, the answer names this instance itself, which makes the
        # borrower skip it for a while.
        holder = self.known_holder(now) or self.member.name
        refusal = TokenLoan(
            self.domain, self.shard, request.incarnation, request.sequence, holder, []
        )
        return [SendMessage(sender, refusal)]

    def _follow_election(self, now: timedelta) -> list[Effect]:
        """Start or stop granting tokens according to the election."""
        holding = self._election.holding
        if holding and not self._is_granting:
            return self._start_granting(now)
        if not holding and self._is_granting:
            return [*self._stop_granting(now), self._log("share_lost")]
        return []

    def _start_granting(self, now: timedelta) -> list[Effect]:
        self._is_granting = True
        # No instance could spend tokens since the old epoch ended, so the buckets
        # refill from that time.
        since = min(self._election.ready_at, now)
        self._issuer.update_accounts(
            self._limit_by_account, self._domain_count, since, since
        )
        received_handover = self._election.take_received_handover()
        if received_handover is not None:
            handover, received = received_handover
            expires = received + timedelta(milliseconds=handover.lifetime_ms)
            self._issuer.load_levels(handover.buckets, expires)
        return [self._log("share_held")]

    def _stop_granting(self, now: timedelta) -> list[Effect]:
        effects = self._issuer.answer_pending(now) if self._is_granting else []
        self._is_granting = False
        self._issuer.clear()
        self._borrower.clear()
        return effects

    def _send_handover(self) -> list[Effect]:
        """Send the handover; it is repeated a few times because it may be lost."""
        message, next_holder = self._handover or (None, "")
        self._handovers_sent += 1
        if message is None or self._elector.known_epoch > message.epoch:
            self._handover = None
            return []
        if self._handovers_sent >= 10:
            self._handover = None
        return [SendMessage(next_holder, message)]

    def _log(self, event: str, **fields: Any) -> Effect:
        fields |= {"domain": self.domain, "shard": self.shard, "epoch": self.epoch}
        return LogEntry(event, fields)
