"""Rate client of an entry instance, which obtains tokens from share holders."""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from bulrushloom.coordination.base import (
    Effect,
    Message,
    SendMessage,
    next_idle_tick,
)
from bulrushloom.coordination.limits.base import (
    AccountDemand,
    AccountGrant,
    AccountLimit,
    RateClient,
    ShareGrant,
    ShareRefused,
    ShareRequest,
    TokenGranted,
    TokenRefused,
)
from bulrushloom.coordination.limits.requests import RequestTable, Share
from bulrushloom.coordination.limits.routes import Routes
from bulrushloom.coordination.limits.tokens import AccountTokens, GrantedTokens

TOKEN_WAIT_TIMEOUT = timedelta(milliseconds=300)
# Tokens of a grant that arrives later than this after its request are returned unused.
MAX_GRANT_AGE = timedelta(milliseconds=500)
# Minimum interval between requests to one holder. It bounds the control traffic; demand
# that arises within the interval is sent in one request.
MIN_REQUEST_INTERVAL = timedelta(milliseconds=20)
DEMAND_SAMPLE_INTERVAL = timedelta(milliseconds=100)
DEFAULT_RETRY_AFTER = timedelta(seconds=1)


class ShareClient(RateClient):
    """Request tokens from share holders and spend them on waiting requests."""

    max_grant_age = MAX_GRANT_AGE

    def __init__(self, name: str, incarnation: str, domain: str, shards: int = 1):
        self.name = name
        self.domain = domain
        self._incarnation = incarnation
        self._routes = Routes(name, domain, shards)
        self._requests = RequestTable()
        self._tokens_by_account: dict[str, AccountTokens] = {}
        self._busy_accounts: set[str] = set()
        self._unreported_by_share: dict[Share, set[GrantedTokens]] = {}
        self._report_due_by_share: dict[Share, timedelta] = {}
        self._sent_at_by_share: dict[Share, timedelta] = {}
        self._demand_sampled_at: timedelta | None = None

    def update_instances(
        self, names_by_domain: Mapping[str, Iterable[str]], now: timedelta
    ) -> list[Effect]:
        """Replace the live instances of all domains, including the local domain."""
        self._routes.update_instances(names_by_domain)
        return []

    def update_accounts(
        self, limit_by_account: Mapping[str, AccountLimit], domains: int, now: timedelta
    ) -> list[Effect]:
        """Replace the account limits and the number of domains."""
        self._routes.update_accounts(limit_by_account, domains)
        return []

    def acquire(self, request_id: str, account: str, now: timedelta) -> list[Effect]:
        """Request one token; the decision follows within 0.3 s."""
        tokens = self._account_tokens(account)
        tokens.count_arrival()
        if not tokens.deadline_by_request:
            granted_tokens = tokens.spend(now)
            if granted_tokens is not None:
                self._schedule_report(granted_tokens, now)
                return [TokenGranted(request_id)]
        tokens.deadline_by_request[request_id] = now + TOKEN_WAIT_TIMEOUT
        self._busy_accounts.add(account)
        return self._request_unless_recent(account, now)

    def handle(self, sender: str, message: Message, now: timedelta) -> list[Effect]:
        """Handle the answer of an instance to a token request."""
        if isinstance(message, ShareGrant):
            return self._handle_grant(sender, message, now)
        if isinstance(message, ShareRefused):
            return self._handle_refusal(sender, message, now)
        return []

    def tick(self, now: timedelta) -> list[Effect]:
        """Refuse overdue requests, return idle tokens and request more tokens."""
        effects: list[Effect] = []
        for account in sorted(self._busy_accounts):
            effects += self._clean_up_account(account, now)
        self._sample_demand(now)
        for request in self._requests.abandon_overdue(now):
            self._retry_demand(request.demand_by_account)
            if not request.acknowledged:
                self._routes.record_timeout(request.share, request.sent_at, now)
        return (
            effects
            + self._request_tokens(sorted(self._busy_accounts), now)
            + self._send_due_reports(now)
        )

    def next_tick(self, last: timedelta) -> timedelta:
        """Return when the next tick is due after one at ``last``.

        It is due immediately while an account has tokens, waiting requests or demand.
        """
        busy = self._tokens_by_account or self._report_due_by_share or self._requests
        return last if busy else next_idle_tick(last)

    def handle_unreachable_peer(self, name: str, now: timedelta) -> list[Effect]:
        """Repeat at another instance the requests that ``name`` did not acknowledge."""
        self._routes.mark_unreachable(name, now)
        accounts: set[str] = set()
        for request in self._requests.abandon_unacknowledged(name):
            self._retry_demand(request.demand_by_account)
            accounts.update(request.demand_by_account)
        return self._request_tokens(sorted(accounts), now)

    def _account_tokens(self, account: str) -> AccountTokens:
        tokens = self._tokens_by_account.get(account)
        if tokens is None:
            tokens = self._tokens_by_account[account] = AccountTokens()
        return tokens

    def _schedule_report(self, granted_tokens: GrantedTokens, now: timedelta) -> None:
        """Report the grant with the next request to its holder.

        Without a request, it is reported after the exchange interval of its account.
        """
        self._unreported_by_share.setdefault(granted_tokens.share, set()).add(
            granted_tokens
        )
        due = now + self._routes.exchange_interval(granted_tokens.account)
        previous = self._report_due_by_share.get(granted_tokens.share, due)
        self._report_due_by_share[granted_tokens.share] = min(due, previous)

    def _was_request_sent_within(
        self, share: Share | None, min_interval: timedelta, now: timedelta
    ) -> bool:
        sent_at = self._sent_at_by_share.get(share) if share is not None else None
        return sent_at is not None and now - sent_at < min_interval

    def _clean_up_account(self, account: str, now: timedelta) -> list[Effect]:
        tokens = self._tokens_by_account[account]
        retry_after = tokens.retry_after or DEFAULT_RETRY_AFTER
        confirmed = tokens.was_answered_since(now - TOKEN_WAIT_TIMEOUT)
        effects: list[Effect] = [
            TokenRefused(request_id, retry_after, confirmed)
            for request_id in tokens.remove_overdue(now)
        ]
        for granted_tokens in tokens.return_idle_tokens(now):
            self._schedule_report(granted_tokens, now)
        if not tokens.is_busy:
            self._busy_accounts.discard(account)
        return effects

    def _sample_demand(self, now: timedelta) -> None:
        elapsed = now - (self._demand_sampled_at or now)
        if self._demand_sampled_at is not None and elapsed < DEMAND_SAMPLE_INTERVAL:
            return
        self._demand_sampled_at = now
        if not elapsed:
            return
        for account, tokens in list(self._tokens_by_account.items()):
            tokens.sample_demand(elapsed)
            if tokens.is_idle:
                del self._tokens_by_account[account]

    def _handle_grant(
        self, sender: str, message: ShareGrant, now: timedelta
    ) -> list[Effect]:
        if message.incarnation != self._incarnation:
            return []
        self._requests.acknowledge(sender, message.received)
        self._routes.record_answer(Share(message.domain, message.shard, sender), now)
        effects: list[Effect] = []
        for grant in message.grants:
            effects += self._credit_grant(sender, grant, now)
        return effects

    def _credit_grant(
        self, sender: str, grant: AccountGrant, now: timedelta
    ) -> list[Effect]:
        request = self._requests.find(sender, grant.sequence)
        if request is None or grant.account not in request.demand_by_account:
            return []
        demand = request.demand_by_account.pop(grant.account)
        if not request.abandoned:
            self._release_demand([demand])
        tokens = self._account_tokens(grant.account)
        tokens.retry_after = timedelta(milliseconds=grant.retry_after_ms)
        tokens.answered_at = now
        if grant.tokens <= 0:
            return []
        expires = request.sent_at + timedelta(milliseconds=grant.lifetime_ms)
        granted_tokens = GrantedTokens(request.share, grant, now, expires)
        if now - request.sent_at > self.max_grant_age:
            granted_tokens.return_remaining()
            self._schedule_report(granted_tokens, now)
            return []
        tokens.granted.append(granted_tokens)
        self._busy_accounts.add(grant.account)
        return self._serve_waiting_requests(tokens, request.share, now)

    def _serve_waiting_requests(
        self, tokens: AccountTokens, share: Share, now: timedelta
    ) -> list[Effect]:
        effects: list[Effect] = []
        account = ""
        while tokens.deadline_by_request:
            granted_tokens = tokens.spend(now)
            if granted_tokens is None:
                break
            account = granted_tokens.account
            self._schedule_report(granted_tokens, now)
            request_id, _ = tokens.deadline_by_request.popitem(last=False)
            effects.append(TokenGranted(request_id))
        # A bucket that fills quickly needs the settlement immediately, because spent
        # tokens limit its refill until they are reported.
        interval = self._routes.exchange_interval(account)
        urgent = account and interval < MIN_REQUEST_INTERVAL
        if urgent and not self._was_request_sent_within(share, interval, now):
            effects += self._send_request(share, [], now)
        return effects

    def _handle_refusal(
        self, sender: str, message: ShareRefused, now: timedelta
    ) -> list[Effect]:
        if message.incarnation != self._incarnation:
            return []
        request = self._requests.remove_refused(sender, message.sequence)
        if request is None:
            return []
        self._retry_demand(request.demand_by_account)
        self._routes.record_refusal(request.share, message.holder, now)
        return self._request_tokens(sorted(request.demand_by_account), now)

    def _release_demand(self, demands: Iterable[AccountDemand]) -> None:
        """Stop counting demand as requested.

        It was answered, or its request was refused or abandoned.
        """
        for demand in demands:
            tokens = self._account_tokens(demand.account)
            tokens.requested_waiting -= demand.waiting
            tokens.requested_ahead -= demand.ahead

    def _retry_demand(self, demands: Mapping[str, AccountDemand]) -> None:
        """Release demand and allow it to be requested again immediately."""
        self._release_demand(demands.values())
        for account in demands:
            self._account_tokens(account).next_request_at = None

    def _request_unless_recent(self, account: str, now: timedelta) -> list[Effect]:
        """Request tokens now, unless a request was sent a moment ago.

        In that case the next tick requests them.
        """
        interval = self._routes.exchange_interval(account)
        min_interval = min(interval, MIN_REQUEST_INTERVAL)
        if self._was_request_sent_within(
            self._routes.locate(account, now), min_interval, now
        ):
            return []
        return self._request_tokens([account], now)

    def _request_tokens(self, accounts: Iterable[str], now: timedelta) -> list[Effect]:
        """Request the tokens that the accounts need, with one message per holder."""
        demands_by_share: dict[Share, list[AccountDemand]] = {}
        for account in accounts:
            demand = self._account_tokens(account).unrequested_demand(account, now)
            share = self._routes.locate(account, now) if demand is not None else None
            if demand is not None and share is not None:
                demands_by_share.setdefault(share, []).append(demand)
        effects: list[Effect] = []
        for share, demands in demands_by_share.items():
            effects += self._send_request(share, demands, now)
        return effects

    def _send_request(
        self, share: Share, demands: list[AccountDemand], now: timedelta
    ) -> list[Effect]:
        for demand in demands:
            tokens = self._account_tokens(demand.account)
            interval = self._routes.exchange_interval(demand.account)
            # Demand behind earlier demand that waits at the holder is not urgent.
            min_interval = (
                interval if tokens.requested_waiting else MIN_REQUEST_INTERVAL
            )
            tokens.next_request_at = now + min(interval, min_interval)
            tokens.requested_waiting += demand.waiting
            tokens.requested_ahead += demand.ahead
        sequence = self._requests.add(share, demands, now)
        self._sent_at_by_share[share] = now
        self._report_due_by_share.pop(share, None)
        unreported = self._unreported_by_share.pop(share, set())
        settlements = sorted(
            granted_tokens.settlement() for granted_tokens in unreported
        )
        request = ShareRequest(
            share.domain,
            share.shard,
            self._incarnation,
            sequence,
            demands,
            settlements,
        )
        return [SendMessage(share.holder, request)]

    def _send_due_reports(self, now: timedelta) -> list[Effect]:
        """Send the settlements that are due and were not sent with a request."""
        effects: list[Effect] = []
        for share, due in sorted(self._report_due_by_share.items()):
            if due <= now:
                effects += self._send_request(share, [], now)
        return effects
