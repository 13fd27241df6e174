"""Entry's side of the rate limits."""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from bulrushloom.coordination.base import Effect, Message, SendMessage
from bulrushloom.coordination.limits.base import (
    AccountDemand,
    AccountGrant,
    RateClient,
    Settlement,
    ShareGrant,
    ShareRefused,
    ShareRequest,
    TokenGranted,
    TokenRefused,
)
from bulrushloom.coordination.limits.finder import HolderFinder
from bulrushloom.coordination.limits.tokens import AccountTokens, HeldTokens
from bulrushloom.coordination.limits.utils import (
    rendezvous_order,
    shard_of,
    share_subject,
)

TOKEN_WAIT = timedelta(milliseconds=300)
# A grant that arrives later than this after its request is given back unused.
LATE_GRANT = timedelta(milliseconds=500)
# A holder acknowledges a request at once; without an acknowledgement by then, the
# next instance is asked while the caller still waits.
ACK_TIMEOUT = timedelta(milliseconds=100)
# Requests to one holder follow each other at this distance, which bounds the
# control traffic; demand that arrives in between is sent together.
REQUEST_DISTANCE = timedelta(milliseconds=20)
DEFAULT_RETRY = timedelta(seconds=1)


class SentRequest:
    """Remember a request until its answers are late."""

    def __init__(
        self,
        recipient: str,
        domain: str,
        shard: int,
        sent: timedelta,
        demands: Iterable[AccountDemand],
    ):
        self.recipient = recipient
        self.domain = domain
        self.shard = shard
        self.sent = sent
        self.demand_by_account = {demand.account: demand for demand in demands}
        self.acknowledged = False
        # Demand of an abandoned request is sent again to another instance.
        self.abandoned = False


class ShareClient(RateClient):
    """Obtain tokens from share holders, the one of the own domain first."""

    def __init__(self, name: str, incarnation: str, domain: str, shards: int = 1):
        self.name = name
        self.domain = domain
        self._incarnation = incarnation
        self._shards = shards
        self._sequence = 0
        self._domains: list[str] = [domain]
        self._finder_by_share: dict[tuple[str, int], HolderFinder] = {}
        self._tokens_by_account: dict[str, AccountTokens] = {}
        self._request_by_sequence: dict[int, SentRequest] = {}
        self._sent_at_by_recipient: dict[str, timedelta] = {}

    def update_instances(
        self, names_by_domain: Mapping[str, Iterable[str]], now: timedelta
    ) -> list[Effect]:
        """Replace the live instances of all domains, the own one included."""
        others = [domain for domain in names_by_domain if domain != self.domain]
        self._domains = [self.domain, *rendezvous_order(others, self.name)]
        for domain, names in names_by_domain.items():
            known = list(names)
            for shard in range(self._shards):
                finder = self._finder_by_share.setdefault(
                    (domain, shard), HolderFinder()
                )
                finder.update(rendezvous_order(known, share_subject(domain, shard)))
        return []

    def acquire(self, request_id: str, account: str, now: timedelta) -> list[Effect]:
        """Ask for one token; the decision follows within 0.3 s."""
        tokens = self._tokens_by_account.get(account)
        if tokens is None:
            tokens = self._tokens_by_account[account] = AccountTokens(now)
        tokens.arrived()
        if not tokens.deadline_by_request and tokens.spend(now):
            return [TokenGranted(request_id)]
        tokens.deadline_by_request[request_id] = now + TOKEN_WAIT
        return self._ask(shard_of(account, self._shards), now, force=False)

    def handle(self, sender: str, message: Message, now: timedelta) -> list[Effect]:
        """Handle the answer of an instance that was asked."""
        if isinstance(message, ShareGrant):
            return self._handle_grant(sender, message, now)
        if isinstance(message, ShareRefused):
            return self._handle_refusal(sender, message, now)
        return []

    def tick(self, now: timedelta) -> list[Effect]:
        """Refuse overdue requests, give idle tokens back and ask for more."""
        effects: list[Effect] = []
        for account, tokens in list(self._tokens_by_account.items()):
            confirmed = tokens.was_answered(now - TOKEN_WAIT)
            for request_id in tokens.overdue(now):
                retry_after = tokens.retry_after or DEFAULT_RETRY
                effects.append(TokenRefused(request_id, retry_after, confirmed))
            tokens.tick(now)
            if tokens.idle:
                del self._tokens_by_account[account]
        self._time_out(now)
        for shard in range(self._shards):
            effects += self._ask(shard, now, force=True)
        return effects + self._settle(now)

    def peer_lost(self, name: str, now: timedelta) -> list[Effect]:
        """Ask another instance at once for what was asked of a lost one."""
        shards = set()
        for request in self._request_by_sequence.values():
            if request.recipient == name and not request.acknowledged:
                request.abandoned = True
                shards.add(request.shard)
        for finder in self._finder_by_share.values():
            finder.silent(name, now)
        return [e for shard in sorted(shards) for e in self._ask(shard, now, True)]

    def _handle_grant(
        self, sender: str, message: ShareGrant, now: timedelta
    ) -> list[Effect]:
        if message.incarnation != self._incarnation:
            return []
        acknowledged = self._request_by_sequence.get(message.received)
        if acknowledged is not None and acknowledged.recipient == sender:
            acknowledged.acknowledged = True
            self._finder(acknowledged.domain, acknowledged.shard).answered(sender)
        effects: list[Effect] = []
        for grant in message.grants:
            effects += self._credit(sender, grant, now)
        return effects

    def _credit(self, sender: str, grant: AccountGrant, now: timedelta) -> list[Effect]:
        request = self._request_by_sequence.get(grant.sequence)
        if request is None or request.recipient != sender:
            return []
        if request.demand_by_account.pop(grant.account, None) is None:
            return []
        tokens = self._tokens_by_account.get(grant.account)
        if tokens is None:
            tokens = self._tokens_by_account[grant.account] = AccountTokens(now)
        tokens.retry_after = timedelta(milliseconds=grant.retry_after_ms)
        tokens.answered_at = now
        if grant.tokens <= 0:
            return []
        expires = request.sent + timedelta(milliseconds=grant.lifetime_ms)
        held = HeldTokens(
            sender, request.domain, grant.sequence, grant.tokens, now, expires
        )
        tokens.held.append(held)
        if now - request.sent > LATE_GRANT:
            held.give_back()
        return [TokenGranted(request_id) for request_id in tokens.serve(now)]

    def _handle_refusal(
        self, sender: str, message: ShareRefused, now: timedelta
    ) -> list[Effect]:
        request = self._request_by_sequence.get(message.sequence)
        if message.incarnation != self._incarnation or request is None:
            return []
        if request.recipient != sender or request.acknowledged:
            return []
        del self._request_by_sequence[message.sequence]
        finder = self._finder(request.domain, request.shard)
        finder.refused(sender, message.holder, now)
        return self._ask(request.shard, now, force=True)

    def _finder(self, domain: str, shard: int) -> HolderFinder:
        return self._finder_by_share.setdefault((domain, shard), HolderFinder())

    def _locate(self, shard: int, now: timedelta) -> tuple[str, str]:
        """Return the first domain with an instance worth asking, and its name."""
        for domain in self._domains:
            name = self._finder(domain, shard).locate(now)
            if name:
                return domain, name
        return "", ""

    def _ask(self, shard: int, now: timedelta, force: bool) -> list[Effect]:
        domain, recipient = self._locate(shard, now)
        if not recipient:
            return []
        sent_at = self._sent_at_by_recipient.get(recipient)
        recent = sent_at is not None and now - sent_at < REQUEST_DISTANCE
        if recent and not force:
            return []
        demands = self._demands(shard)
        if not demands:
            return []
        return [self._send(recipient, domain, shard, demands, now)]

    def _send(
        self,
        recipient: str,
        domain: str,
        shard: int,
        demands: list[AccountDemand],
        now: timedelta,
    ) -> Effect:
        self._sequence += 1
        self._sent_at_by_recipient[recipient] = now
        if demands:
            self._request_by_sequence[self._sequence] = SentRequest(
                recipient, domain, shard, now, demands
            )
        settlements = self._settlements(recipient, domain, shard)
        request = ShareRequest(
            domain, shard, self._incarnation, self._sequence, demands, settlements
        )
        return SendMessage(recipient, request)

    def _demands(self, shard: int) -> list[AccountDemand]:
        asked: dict[str, tuple[int, int]] = {}
        for request in self._request_by_sequence.values():
            if request.abandoned:
                continue
            for account, demand in request.demand_by_account.items():
                waiting, ahead = asked.get(account, (0, 0))
                asked[account] = (waiting + demand.waiting, ahead + demand.ahead)
        demands = []
        for account, tokens in self._tokens_by_account.items():
            if self._shards > 1 and shard_of(account, self._shards) != shard:
                continue
            waiting, ahead = asked.get(account, (0, 0))
            new_waiting = max(0, len(tokens.deadline_by_request) - waiting)
            expected = tokens.expected()
            # Small refills would cost a message each.
            low = tokens.at_hand + ahead <= expected // 2
            new_ahead = expected - tokens.at_hand - ahead if low else 0
            if new_waiting or new_ahead > 0:
                demands.append(AccountDemand(account, new_waiting, max(0, new_ahead)))
        return demands

    def _settlements(self, recipient: str, domain: str, shard: int) -> list[Settlement]:
        settlements = []
        for account, tokens in self._tokens_by_account.items():
            if self._shards > 1 and shard_of(account, self._shards) != shard:
                continue
            for held in tokens.held:
                if held.changed and (held.holder, held.domain) == (recipient, domain):
                    settlements.append(held.settlement(account))
        return settlements

    def _settle(self, now: timedelta) -> list[Effect]:
        """Report what no request has reported since the last tick."""
        shares = {
            (held.holder, held.domain, shard_of(account, self._shards))
            for account, tokens in self._tokens_by_account.items()
            for held in tokens.held
            if held.changed
        }
        return [
            self._send(holder, domain, shard, [], now)
            for holder, domain, shard in sorted(shares)
        ]

    def _time_out(self, now: timedelta) -> None:
        for sequence, request in list(self._request_by_sequence.items()):
            age = now - request.sent
            if not request.acknowledged and not request.abandoned:
                if age >= ACK_TIMEOUT:
                    request.abandoned = True
                    self._finder(request.domain, request.shard).silent(
                        request.recipient, now
                    )
            elif age > LATE_GRANT:
                del self._request_by_sequence[sequence]
