"""Grants and loans of a share holder during its lease."""

from collections import deque
from collections.abc import Iterable, Mapping
from datetime import timedelta
from math import ceil, floor
from typing import NamedTuple

from bulrushloom.coordination.base import Effect, SendMessage
from bulrushloom.coordination.limits.base import (
    AccountDemand,
    AccountGrant,
    AccountLimit,
    BucketLevel,
    LoanItem,
    ShareGrant,
    ShareRequest,
    TokenLoan,
    TokenLoanRequest,
)
from bulrushloom.coordination.limits.buckets import BorrowedBatch, GrantKey, ShareBucket
from bulrushloom.coordination.limits.utils import whole_milliseconds

# Demand that cannot be met immediately is answered after this time, with no tokens if
# there are still none. It is less than the time that a caller waits for a token.
MAX_DEMAND_WAIT = timedelta(milliseconds=250)
DEFAULT_RETRY_AFTER = timedelta(seconds=1)
MAX_RETRY_AFTER = timedelta(seconds=30)
# Request keys are kept for longer than the lifetime of grants, to detect duplicates.
REQUEST_RETENTION = timedelta(seconds=3)

# Key of the tokens that a previous bucket of the account granted.
PREVIOUS_BUCKET_KEY = GrantKey("", "", 0, False)


class PendingDemand(NamedTuple):
    """Demand of a request that waits for tokens until a deadline."""

    key: GrantKey
    waiting: int
    until: timedelta


class TokenIssuer:
    """Grant tokens to entry instances and lend tokens to holders of other domains."""

    bucket_class = ShareBucket

    def __init__(self, domain: str, shard: int):
        self._domain = domain
        self._shard = shard
        self.bucket_by_account: dict[str, ShareBucket] = {}
        self.pending_by_account: dict[str, deque[PendingDemand]] = {}
        # Accounts with outstanding or borrowed tokens.
        self.active_accounts: set[str] = set()
        # Tokens demanded since the borrower last sampled the demand.
        self.demanded_by_account: dict[str, int] = {}
        self._handled_at_by_key: dict[GrantKey, timedelta] = {}
        self._pruned_at = timedelta()

    @property
    def is_idle(self) -> bool:
        """Return whether no tokens are outstanding and no demand is known."""
        busy = self.active_accounts or self.pending_by_account
        return not busy and not self.demanded_by_account

    def clear(self) -> None:
        """Drop all state; tokens that were granted before expire by themselves."""
        self.bucket_by_account.clear()
        self.pending_by_account.clear()
        self.demanded_by_account.clear()
        self.active_accounts.clear()
        self._handled_at_by_key.clear()

    def update_accounts(
        self,
        limit_by_account: Mapping[str, AccountLimit],
        domain_count: int,
        now: timedelta,
        blocked_until: timedelta,
    ) -> None:
        """Set the domain's part of each account's limits.

        A new bucket starts empty. It refills from ``blocked_until`` on, when the tokens
        of a previous bucket of the account have expired.
        """
        for account, limit in limit_by_account.items():
            rate, burst = limit.rate / domain_count, limit.burst / domain_count
            bucket = self.bucket_by_account.get(account)
            if bucket is None:
                bucket = self.bucket_class(rate, burst, now)
                self.bucket_by_account[account] = bucket
                if blocked_until > now:
                    bucket.reserve(PREVIOUS_BUCKET_KEY, burst, blocked_until)
                    self.active_accounts.add(account)
            else:
                bucket.resize(rate, burst, now)
        for account in list(self.bucket_by_account):
            if account not in limit_by_account:
                del self.bucket_by_account[account]
                self.pending_by_account.pop(account, None)
                self.active_accounts.discard(account)

    def levels(self, now: timedelta) -> list[BucketLevel]:
        """Return the level and the outstanding tokens of every account."""
        levels = []
        for account, bucket in self.bucket_by_account.items():
            bucket.advance(now)
            levels.append(BucketLevel(account, bucket.level, bucket.outstanding))
        return levels

    def load_levels(self, levels: Iterable[BucketLevel], expires: timedelta) -> None:
        """Set the buckets to the levels that the previous holder handed over.

        The outstanding tokens of that holder expire at ``expires``.
        """
        for level in levels:
            bucket = self.bucket_by_account.get(level.account)
            if bucket is None:
                continue
            if level.outstanding > 0:
                bucket.reserve(PREVIOUS_BUCKET_KEY, level.outstanding, expires)
                self.active_accounts.add(level.account)
            bucket.level = max(0.0, min(level.level, bucket.burst - bucket.outstanding))

    def handle_request(
        self, sender: str, request: ShareRequest, until: timedelta, now: timedelta
    ) -> list[Effect]:
        """Apply settlements, grant the available tokens and acknowledge the request.

        ``until`` is the end of the holder's lease and the latest expiry of the tokens.
        """
        self._apply_settlements(sender, request, now)
        key = GrantKey(sender, request.incarnation, request.sequence, False)
        grants = []
        if self._record_if_new(key, now):
            for demand in request.demands:
                grants += self._handle_demand(key, demand, until, now)
        if not request.demands:
            return []
        answer = ShareGrant(
            self._domain, self._shard, request.incarnation, request.sequence, grants
        )
        return [SendMessage(sender, answer)]

    def handle_loan_request(
        self, sender: str, request: TokenLoanRequest, until: timedelta, now: timedelta
    ) -> list[Effect]:
        """Apply settlements and lend tokens that no entry instance is waiting for."""
        self._apply_settlements(sender, request, now)
        key = GrantKey(sender, request.incarnation, request.sequence, True)
        loans = []
        if self._record_if_new(key, now):
            for demand in request.demands:
                tokens = self._lend(key, demand.account, demand.tokens, until, now)
                if tokens > 0:
                    lifetime = whole_milliseconds(until - now)
                    loans.append(LoanItem(demand.account, tokens, lifetime))
        answer = TokenLoan(
            self._domain, self._shard, request.incarnation, request.sequence, "", loans
        )
        return [SendMessage(sender, answer)]

    def tick(self, until: timedelta | None, now: timedelta) -> list[Effect]:
        """Expire tokens, serve waiting demand and answer overdue demand."""
        for account in list(self.active_accounts):
            bucket = self.bucket_by_account[account]
            bucket.advance(now)
            if not bucket.has_open_tokens:
                self.active_accounts.discard(account)
        self._prune_handled_requests(now)
        return self.serve(list(self.pending_by_account), until, now)

    def credit(self, account: str, batch: BorrowedBatch) -> None:
        """Add the tokens of a loan to the bucket of the account."""
        bucket = self.bucket_by_account.get(account)
        if bucket is not None:
            bucket.borrowed_batches.append(batch)
            self.active_accounts.add(account)

    def serve(
        self, accounts: Iterable[str], until: timedelta | None, now: timedelta
    ) -> list[Effect]:
        """Serve the waiting demand of ``accounts``, one message per entry instance."""
        grants_by_client: dict[tuple[str, str], list[AccountGrant]] = {}
        for account in accounts:
            for key, grant in self._serve_account(account, until, now):
                grants_by_client.setdefault(key[:2], []).append(grant)
        return [
            SendMessage(
                client,
                ShareGrant(self._domain, self._shard, incarnation, 0, grants),
            )
            for (client, incarnation), grants in grants_by_client.items()
        ]

    def waiting_count(self, account: str) -> int:
        """Return the number of tokens in waiting demand."""
        pending = self.pending_by_account.get(account, ())
        return sum(demand.waiting for demand in pending)

    def answer_pending(self, now: timedelta) -> list[Effect]:
        """Answer all waiting demand without tokens.

        The entry instances then try elsewhere.
        """
        for account, queue in self.pending_by_account.items():
            self.pending_by_account[account] = deque(
                demand._replace(until=now) for demand in queue
            )
        return self.serve(list(self.pending_by_account), None, now)

    def unmet_demand(self, account: str) -> float:
        """Return the number of tokens that waiting demand lacks."""
        waiting = self.waiting_count(account)
        if not waiting:
            return 0.0
        return max(0.0, waiting - self.bucket_by_account[account].available())

    def _apply_settlements(
        self, sender: str, request: ShareRequest | TokenLoanRequest, now: timedelta
    ) -> None:
        loan = isinstance(request, TokenLoanRequest)
        for settlement in request.settlements:
            bucket = self.bucket_by_account.get(settlement.account)
            if bucket is not None:
                bucket.advance(now)
                key = GrantKey(sender, request.incarnation, settlement.sequence, loan)
                bucket.settle(key, settlement.spent, settlement.returned)

    def _handle_demand(
        self, key: GrantKey, demand: AccountDemand, until: timedelta, now: timedelta
    ) -> list[AccountGrant]:
        account = demand.account
        bucket = self.bucket_by_account.get(account)
        if bucket is None:
            retry = whole_milliseconds(DEFAULT_RETRY_AFTER)
            return [AccountGrant(key.sequence, account, 0, 0, retry)]
        bucket.advance(now)
        self.demanded_by_account[account] = (
            self.demanded_by_account.get(account, 0) + demand.waiting
        )
        queue = self.pending_by_account.get(account)
        can_serve = bucket.available() >= 1 and until > now
        if demand.waiting and (queue or not can_serve):
            pending = PendingDemand(key, demand.waiting, now + MAX_DEMAND_WAIT)
            self.pending_by_account.setdefault(account, deque()).append(pending)
            return []
        ahead = 0 if queue else self._prefetch_count(bucket, demand)
        self.demanded_by_account[account] += ahead
        return [self._grant(key, account, demand.waiting + ahead, until, now)]

    @staticmethod
    def _prefetch_count(bucket: ShareBucket, demand: AccountDemand) -> int:
        # Prefetched tokens are idle at one entry instance while others may need them,
        # so at least half of the burst remains in the bucket.
        spare = bucket.available() - demand.waiting - bucket.burst / 2
        return max(0, min(demand.ahead, floor(spare / 4)))

    def _grant(
        self, key: GrantKey, account: str, count: int, until: timedelta, now: timedelta
    ) -> AccountGrant:
        bucket = self.bucket_by_account[account]
        tokens, expires = bucket.grant(key, count, until) if count else (0, until)
        if tokens:
            self.active_accounts.add(account)
        lifetime = whole_milliseconds(expires - now)
        return AccountGrant(
            key.sequence, account, tokens, lifetime, self._retry_after_ms(account)
        )

    def _retry_after_ms(self, account: str) -> int:
        """Return the time in milliseconds until waiting demand can be served."""
        bucket = self.bucket_by_account[account]
        if bucket.rate <= 0:
            return whole_milliseconds(MAX_RETRY_AFTER)
        missing = ceil(self.unmet_demand(account)) + 1
        delay = timedelta(seconds=min(30.0, missing / bucket.rate))
        return whole_milliseconds(delay)

    def _serve_account(
        self, account: str, until: timedelta | None, now: timedelta
    ) -> list[tuple[GrantKey, AccountGrant]]:
        queue = self.pending_by_account.get(account)
        if queue is None:
            return []
        bucket = self.bucket_by_account[account]
        bucket.advance(now)
        served = []
        while queue:
            demand = queue[0]
            can_grant = until is not None and until > now and bucket.available() >= 1
            if not can_grant and demand.until > now:
                break
            queue.popleft()
            count = demand.waiting if can_grant else 0
            grant = self._grant(demand.key, account, count, until or now, now)
            served.append((demand.key, grant))
        if not queue:
            del self.pending_by_account[account]
        return served

    def _lend(
        self,
        key: GrantKey,
        account: str,
        tokens: float,
        until: timedelta,
        now: timedelta,
    ) -> float:
        bucket = self.bucket_by_account.get(account)
        if bucket is None or self.pending_by_account.get(account):
            return 0.0
        bucket.advance(now)
        lent = bucket.lend(key, tokens, until) if until > now else 0.0
        if lent:
            self.active_accounts.add(account)
        return lent

    def _record_if_new(self, key: GrantKey, now: timedelta) -> bool:
        if key in self._handled_at_by_key:
            return False
        self._handled_at_by_key[key] = now
        return True

    def _prune_handled_requests(self, now: timedelta) -> None:
        if now - self._pruned_at < REQUEST_RETENTION:
            return
        self._pruned_at = now
        oldest = now - REQUEST_RETENTION
        self._handled_at_by_key = {
            key: at for key, at in self._handled_at_by_key.items() if at > oldest
        }
