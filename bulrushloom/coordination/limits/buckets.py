"""Token bucket of one account at a share holder.

The bucket tracks the tokens that were granted or lent but not yet settled (outstanding
tokens) and the tokens that the holder borrowed from other domains.
"""

from collections.abc import Iterator
from datetime import timedelta
from math import floor
from typing import NamedTuple

from bulrushloom.coordination.limits.base import Settlement

# Loans are multiples of this fraction of a token. A power of two is exact in binary, so
# rounding errors do not accumulate, and its multiples are short in messages.
LOAN_UNITS_PER_TOKEN = 64
# Borrowed tokens with a shorter remaining lifetime would not reach an entry instance in
# time.
MIN_BORROWED_LIFETIME = timedelta(milliseconds=50)


class GrantKey(NamedTuple):
    """Identify the request that a grant or a loan answers.

    Token requests and loan requests of an instance have separate sequences, which
    ``loan`` distinguishes.
    """

    instance: str
    incarnation: str
    sequence: int
    loan: bool


def round_down_to_loan_units(tokens: float) -> float:
    """Round down to a multiple of the loan unit."""
    return floor(tokens * LOAN_UNITS_PER_TOKEN) / LOAN_UNITS_PER_TOKEN


class BorrowedBatch:
    """Tokens that were borrowed with one loan."""

    def __init__(
        self,
        lender: str,
        sequence: int,
        tokens: float,
        borrowed_at: timedelta,
        expires: timedelta,
    ):
        self.lender = lender
        self.sequence = sequence
        self.total = tokens
        self.remaining = tokens
        self.borrowed_at = borrowed_at
        self.expires = expires
        self.spent = 0.0
        self.returned = 0.0
        self.changed = False

    def settlement(self, account: str) -> Settlement:
        """Return the settlement for the lender and mark it as reported."""
        self.changed = False
        return Settlement(self.sequence, account, self.spent, self.returned)

    @property
    def is_settled(self) -> bool:
        """Return whether every token was spent or returned and reported so."""
        return not self.changed and self.total - self.spent - self.returned <= 1e-9

    def return_remaining(self) -> None:
        """Mark the remaining tokens as returned to the lender."""
        if self.remaining > 0:
            self.returned += self.remaining
            self.remaining = 0.0
            self.changed = True


class Allocation:
    """Tokens of a grant or loan that came from the bucket or from one batch.

    ``batch`` is ``None`` for tokens of the bucket itself.
    """

    def __init__(self, batch: BorrowedBatch | None, amount: float):
        self.batch = batch
        self.amount = amount


class OutstandingGrant:
    """Track the tokens of one grant or loan until they are settled or expire."""

    def __init__(self, allocations: list[Allocation], expires: timedelta):
        self.allocations = allocations
        self.expires = expires
        self.total = sum(allocation.amount for allocation in allocations)
        self.spent = 0.0
        self.returned = 0.0

    def update_totals(self, spent: float, returned: float) -> tuple[float, float]:
        """Update the totals from a settlement and return both increases.

        Totals never decrease, and together they never exceed the granted amount.
        """
        new_spent = min(max(spent, self.spent), self.total - self.returned)
        spent_increase, self.spent = new_spent - self.spent, new_spent
        new_returned = min(max(returned, self.returned), self.total - self.spent)
        returned_increase, self.returned = new_returned - self.returned, new_returned
        return spent_increase, returned_increase

    def consume(
        self, amount: float, last: bool
    ) -> Iterator[tuple[BorrowedBatch | None, float]]:
        """Remove ``amount`` from the allocations and yield what each one contributed.

        Tokens are removed from the first allocation on or, with ``last``, from the last
        one on.
        """
        allocations = list(reversed(self.allocations)) if last else self.allocations
        for allocation in allocations:
            portion = min(amount, allocation.amount)
            allocation.amount -= portion
            amount -= portion
            if portion > 0:
                yield allocation.batch, portion


class ShareBucket:
    """Token bucket with one domain's part of the limits of an account.

    The level plus the outstanding tokens never exceeds ``burst``. A token is
    outstanding until it is reported as spent or has expired, so all instances together
    spend at most ``rate * W + burst`` tokens in a window of length ``W``.
    """

    def __init__(self, rate: float, burst: float, now: timedelta):
        self.rate = rate
        self.burst = burst
        self.level = 0.0
        self.outstanding = 0.0
        self.borrowed_batches: list[BorrowedBatch] = []
        self._updated_at = now
        self._outstanding_by_key: dict[GrantKey, OutstandingGrant] = {}

    @property
    def has_open_tokens(self) -> bool:
        """Return whether there are outstanding or borrowed tokens that may expire."""
        return bool(self._outstanding_by_key or self.borrowed_batches)

    def resize(self, rate: float, burst: float, now: timedelta) -> None:
        """Change the limits and reduce the level to the new burst if necessary."""
        self.advance(now)
        self.rate = rate
        self.burst = burst
        self.level = max(0.0, min(self.level, burst - self.outstanding))

    def advance(self, now: timedelta) -> None:
        """Refill the bucket for the time up to ``now``, then drop expired tokens."""
        # In this order, tokens that expire now still limit the refill. That can lose
        # tokens but never adds any.
        elapsed = (now - self._updated_at).total_seconds()
        self._updated_at = now
        headroom = max(0.0, self.burst - self.outstanding)
        self.level = min(self.level + self.rate * elapsed, max(headroom, 0.0))
        expired = [k for k, o in self._outstanding_by_key.items() if o.expires <= now]
        for key in expired:
            self._remove(key)
        usable_from = now + MIN_BORROWED_LIFETIME
        if any(batch.expires <= usable_from for batch in self.borrowed_batches):
            self.borrowed_batches = [
                batch for batch in self.borrowed_batches if batch.expires > usable_from
            ]

    def available(self) -> float:
        """Return the number of tokens that can be granted, including borrowed ones."""
        return round_down_to_loan_units(self.level) + self.borrowed()

    def borrowed(self) -> float:
        """Return the number of borrowed tokens that can be granted."""
        return sum(batch.remaining for batch in self.borrowed_batches)

    def grant(
        self, key: GrantKey, count: int, expires: timedelta
    ) -> tuple[int, timedelta]:
        """Grant up to ``count`` whole tokens and return their number and expiry.

        Own tokens are used before borrowed ones. The grant expires with the first of
        the borrowed batches that it includes.
        """
        tokens = min(count, floor(self.available()))
        if tokens < 1 or key in self._outstanding_by_key:
            return 0, expires
        own = min(float(tokens), round_down_to_loan_units(self.level))
        allocations = [Allocation(None, own)] if own > 0 else []
        missing = tokens - own
        for batch in self.borrowed_batches:
            portion = min(missing, batch.remaining)
            if portion > 0:
                batch.remaining -= portion
                missing -= portion
                expires = min(expires, batch.expires)
                allocations.insert(0, Allocation(batch, portion))
        self.level -= own
        self.outstanding += own
        self._outstanding_by_key[key] = OutstandingGrant(allocations, expires)
        return tokens, expires

    def lend(self, key: GrantKey, tokens: float, expires: timedelta) -> float:
        """Debit up to ``tokens`` own tokens for a loan and return the amount."""
        amount = round_down_to_loan_units(min(tokens, self.level))
        if amount <= 0 or key in self._outstanding_by_key:
            return 0.0
        self.level -= amount
        self.outstanding += amount
        self._outstanding_by_key[key] = OutstandingGrant(
            [Allocation(None, amount)], expires
        )
        return amount

    def reserve(self, key: GrantKey, amount: float, expires: timedelta) -> None:
        """Count tokens that a previous holder granted as outstanding until expiry."""
        self.outstanding += amount
        self._outstanding_by_key[key] = OutstandingGrant(
            [Allocation(None, amount)], expires
        )

    def settle(self, key: GrantKey, spent: float, returned: float) -> None:
        """Apply the settlement of a grant or loan; unknown keys are ignored."""
        outstanding = self._outstanding_by_key.get(key)
        if outstanding is None:
            return
        spent_increase, returned_increase = outstanding.update_totals(spent, returned)
        for batch, portion in outstanding.consume(spent_increase, last=False):
            self._spend_portion(batch, portion)
        for batch, portion in outstanding.consume(returned_increase, last=True):
            self._return_portion(batch, portion)
        if outstanding.total - outstanding.spent - outstanding.returned <= 1e-9:
            self._remove(key)

    def _spend_portion(self, batch: BorrowedBatch | None, portion: float) -> None:
        if batch is None:
            self.outstanding -= portion
        else:
            batch.spent += portion
            batch.changed = True

    def _return_portion(self, batch: BorrowedBatch | None, portion: float) -> None:
        if batch is None:
            self.outstanding -= portion
            self.level += portion
        else:
            batch.remaining += portion

    def _remove(self, key: GrantKey) -> None:
        outstanding = self._outstanding_by_key.pop(key)
        self.outstanding -= sum(
            allocation.amount
            for allocation in outstanding.allocations
            if allocation.batch is None
        )
        if not self._outstanding_by_key:
            self.outstanding = 0.0
