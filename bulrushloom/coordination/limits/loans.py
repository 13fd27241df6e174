"""Loans of a share holder from the holders of other domains.

An exchange about an account sends demand and settlements to the lenders. An account is
small if a domain's part of its burst is only a few tokens. The holder of its home
domain borrows the parts of the other domains.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from math import ceil

from bulrushloom.coordination.base import Effect, SendMessage
from bulrushloom.coordination.limits.base import (
    Settlement,
    TokenDemand,
    TokenLoan,
    TokenLoanRequest,
)
from bulrushloom.coordination.limits.buckets import (
    LOAN_UNITS_PER_TOKEN,
    BorrowedBatch,
    ShareBucket,
)
from bulrushloom.coordination.limits.finder import HolderFinder
from bulrushloom.coordination.limits.issuer import TokenIssuer
from bulrushloom.coordination.limits.utils import exchange_interval, is_small

# A request without an answer after this time counts as a failure of the lender.
ANSWER_TIMEOUT = timedelta(milliseconds=100)
# Borrowed tokens that no entry instance needs are returned after this time.
IDLE_BATCH_TIMEOUT = timedelta(milliseconds=150)
# The home domain of a small account keeps borrowed tokens longer, but returns them
# before they expire.
SMALL_ACCOUNT_IDLE_BATCH_TIMEOUT = timedelta(milliseconds=200)
NEGLIGIBLE_DEMAND_PER_S = 0.01
DEMAND_SAMPLE_INTERVAL = timedelta(milliseconds=100)
# Weight of the latest sample in the moving average of the demand.
DEMAND_WEIGHT = 0.4
# To share messages, accounts whose buckets fill slowly wait for the next tick if there
# was another exchange within this time.
MIN_EXCHANGE_DISTANCE = timedelta(milliseconds=20)

# To share messages, accounts that are due within this time are exchanged together with
# others that are due now.
BATCHING_WINDOW = timedelta(milliseconds=20)
# Weight of a sample without demand. It is larger, because callers that moved to another
# holder need the tokens there.
ZERO_DEMAND_WEIGHT = 0.7
# Tokens are borrowed in advance for the demand that is expected in this time.
PREFETCH_WINDOW = timedelta(milliseconds=200)
# Some lenders may have less than an equal part of the missing tokens, so each lender is
# asked for this multiple of it.
OVERREQUEST_FACTOR = 2.0


class PendingLoanRequest:
    """A loan request that waits for the answer of the lender."""

    def __init__(self, lender: str, sent_at: timedelta, tokens: dict[str, float]):
        self.lender = lender
        self.sent_at = sent_at
        self.tokens_by_account = tokens


class Borrower:
    """Borrow tokens for unmet and expected demand, and return unused ones."""

    def __init__(self, domain: str, shard: int, incarnation: str, issuer: TokenIssuer):
        self._domain = domain
        self._shard = shard
        self._incarnation = incarnation
        self._issuer = issuer
        self._sequence = 0
        self._finder_by_domain: dict[str, HolderFinder] = {}
        self._in_flight_by_sequence: dict[int, PendingLoanRequest] = {}
        self._demand_by_account: dict[str, float] = {}
        self._demand_sampled_at = timedelta()
        self._exchanged_at = timedelta.min / 2
        self._due_by_account: dict[str, timedelta] = {}

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in flight and no demand is expected."""
        return not self._in_flight_by_sequence and not self._demand_by_account

    def clear(self) -> None:
        """Drop the requests in flight; their sequences are never reused."""
        self._in_flight_by_sequence.clear()
        self._demand_by_account.clear()
        self._due_by_account.clear()

    def update_lenders(self, candidates_by_domain: Mapping[str, Iterable[str]]) -> None:
        """Replace the instances of other domains that may hold their shares."""
        for domain in list(self._finder_by_domain):
            if domain not in candidates_by_domain:
                del self._finder_by_domain[domain]
        for domain, names in candidates_by_domain.items():
            self._finder_by_domain.setdefault(domain, HolderFinder()).update_candidates(
                names
            )

    def handle_loan(self, sender: str, loan: TokenLoan, now: timedelta) -> None:
        """Credit the tokens of a loan once unless they have expired."""
        request = self._in_flight_by_sequence.get(loan.sequence)
        if loan.incarnation != self._incarnation or request is None:
            return
        if request.lender != sender:
            return
        del self._in_flight_by_sequence[loan.sequence]
        self._record_answer(sender, loan, now)
        for item in loan.loans:
            expires = request.sent_at + timedelta(milliseconds=item.lifetime_ms)
            if expires > now:
                batch = BorrowedBatch(sender, loan.sequence, item.tokens, now, expires)
                self._issuer.credit(item.account, batch)

    def tick(self, now: timedelta) -> list[Effect]:
        """Return unused tokens, report spent ones and request more."""
        self._drop_overdue_requests(now)
        self._sample_demand(now)
        pending = self._issuer.pending_by_account.keys()
        return self._exchange(
            self._issuer.active_accounts,
            sorted(self._demand_by_account.keys() | pending),
            now,
        )

    def exchange_early(self, accounts: Iterable[str], now: timedelta) -> list[Effect]:
        """Request and settle tokens of accounts that changed, before the next tick."""
        recent = now - self._exchanged_at < MIN_EXCHANGE_DISTANCE
        known = []
        for account in accounts:
            bucket = self._issuer.bucket_by_account.get(account)
            urgent = bucket and self._interval(bucket) < MIN_EXCHANGE_DISTANCE
            if bucket is not None and (urgent or not recent):
                known.append(account)
        return self._exchange(known, known, now)

    def _exchange(
        self, settling: Iterable[str], demanding: Iterable[str], now: timedelta
    ) -> list[Effect]:
        settlements = self._collect_settlements(self._due_accounts(settling, now), now)
        demands = self._collect_demands(self._due_accounts(demanding, now), now)
        exchanged = {account for requested in demands.values() for account in requested}
        exchanged |= {item.account for items in settlements.values() for item in items}
        for account in exchanged:
            bucket = self._issuer.bucket_by_account[account]
            self._due_by_account[account] = now + self._interval(bucket)
        if exchanged:
            self._exchanged_at = now
        effects: list[Effect] = []
        for lender in sorted(settlements.keys() | demands.keys()):
            effects.append(
                self._create_request(
                    lender, demands.get(lender, {}), settlements.get(lender, []), now
                )
            )
        return effects

    def _create_request(
        self,
        lender: str,
        tokens_by_account: dict[str, float],
        settlements: list[Settlement],
        now: timedelta,
    ) -> Effect:
        self._sequence += 1
        if tokens_by_account:
            self._in_flight_by_sequence[self._sequence] = PendingLoanRequest(
                lender, now, tokens_by_account
            )
        demands = [TokenDemand(*item) for item in tokens_by_account.items()]
        request = TokenLoanRequest(
            self._domain,
            self._shard,
            self._incarnation,
            self._sequence,
            demands,
            settlements,
        )
        return SendMessage(lender, request)

    def _record_answer(self, sender: str, loan: TokenLoan, now: timedelta) -> None:
        finder = self._finder_by_domain.get(loan.domain)
        if finder is None:
            return
        if loan.holder:
            finder.record_refusal(sender, loan.holder, now)
        else:
            finder.record_answer(sender, now)

    def _drop_overdue_requests(self, now: timedelta) -> None:
        for sequence, request in list(self._in_flight_by_sequence.items()):
            if now - request.sent_at < ANSWER_TIMEOUT:
                continue
            del self._in_flight_by_sequence[sequence]
            for finder in self._finder_by_domain.values():
                finder.record_timeout(request.lender, request.sent_at, now)

    def _sample_demand(self, now: timedelta) -> None:
        elapsed = now - self._demand_sampled_at
        if elapsed < DEMAND_SAMPLE_INTERVAL:
            return
        self._demand_sampled_at = now
        demanded = self._issuer.demanded_by_account
        for account in self._demand_by_account.keys() | demanded.keys():
            sample = demanded.get(account, 0) / elapsed.total_seconds()
            previous = self._demand_by_account.get(account, 0.0)
            weight = DEMAND_WEIGHT if sample else ZERO_DEMAND_WEIGHT
            average = previous + weight * (sample - previous)
            self._demand_by_account[account] = average
            if average < NEGLIGIBLE_DEMAND_PER_S:
                del self._demand_by_account[account]
                self._due_by_account.pop(account, None)
        demanded.clear()

    def _due_accounts(self, accounts: Iterable[str], now: timedelta) -> list[str]:
        """Return the accounts that are due now or within the batching window.

        The result is empty while none of them is due now.
        """
        due = self._due_by_account
        known = [a for a in accounts if a in self._issuer.bucket_by_account]
        limit = now + BATCHING_WINDOW
        if not any(due.get(account, now) <= now for account in known):
            return []
        return [account for account in known if due.get(account, now) <= limit]

    @staticmethod
    def _interval(bucket: ShareBucket) -> timedelta:
        return exchange_interval(bucket.rate, bucket.burst)

    def _collect_settlements(
        self, accounts: Iterable[str], now: timedelta
    ) -> dict[str, list[Settlement]]:
        settlements_by_lender: dict[str, list[Settlement]] = {}
        for account in accounts:
            bucket = self._issuer.bucket_by_account[account]
            idle = not self._issuer.pending_by_account.get(account)
            idle_timeout = (
                SMALL_ACCOUNT_IDLE_BATCH_TIMEOUT
                if self._is_small(bucket)
                else IDLE_BATCH_TIMEOUT
            )
            for batch in bucket.borrowed_batches:
                if idle and now - batch.borrowed_at >= idle_timeout:
                    batch.return_remaining()
                if batch.changed:
                    settlements_by_lender.setdefault(batch.lender, []).append(
                        batch.settlement(account)
                    )
            bucket.borrowed_batches = [
                batch for batch in bucket.borrowed_batches if not batch.is_settled
            ]
        return settlements_by_lender

    def _collect_demands(
        self, accounts: Iterable[str], now: timedelta
    ) -> dict[str, dict[str, float]]:
        lenders = {finder.locate(now) for finder in self._finder_by_domain.values()}
        lenders.discard("")
        tokens_by_lender: dict[str, dict[str, float]] = {}
        if not lenders:
            return tokens_by_lender
        for account in accounts:
            bucket = self._issuer.bucket_by_account.get(account)
            amount = (
                self._tokens_per_lender(account, bucket, len(lenders))
                if bucket
                else 0.0
            )
            # Loans are multiples of the loan unit, which are short in messages.
            amount = ceil(amount * LOAN_UNITS_PER_TOKEN) / LOAN_UNITS_PER_TOKEN
            if amount <= 0:
                continue
            for lender in lenders - self._lenders_in_flight(account):
                tokens_by_lender.setdefault(lender, {})[account] = amount
        return tokens_by_lender

    def _tokens_per_lender(
        self, account: str, bucket: ShareBucket, lenders: int
    ) -> float:
        """Return the tokens to request of each lender for unmet and expected demand."""
        demand = self._demand_by_account.get(account, 0.0)
        spare = max(0.0, bucket.available() - self._issuer.waiting_count(account))
        unmet = self._issuer.unmet_demand(account)
        if self._is_small(bucket):
            return self._tokens_per_lender_at_home(
                bucket, demand, spare, unmet, lenders
            )
        ahead = max(0.0, demand - bucket.rate) * PREFETCH_WINDOW.total_seconds()
        required = unmet + max(0.0, ahead - spare)
        return min(required, required * OVERREQUEST_FACTOR / lenders)

    @staticmethod
    def _tokens_per_lender_at_home(
        bucket: ShareBucket, demand: float, spare: float, unmet: float, lenders: int
    ) -> float:
        """Return the tokens to request of each lender for a small account.

        This is the whole part of the lender while there is demand, otherwise nothing.
        """
        whole_burst = bucket.burst * (lenders + 1)
        expected = demand * SMALL_ACCOUNT_IDLE_BATCH_TIMEOUT.total_seconds()
        low = expected >= 0.5 and spare < whole_burst / 2
        return bucket.burst if unmet > 0 or low else 0.0

    @staticmethod
    def _is_small(bucket: ShareBucket) -> bool:
        return is_small(bucket.burst)

    def _lenders_in_flight(self, account: str) -> set[str]:
        return {
            request.lender
            for request in self._in_flight_by_sequence.values()
            if account in request.tokens_by_account
        }
