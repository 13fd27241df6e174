"""Token bucket of one account at a share holder, with its outstanding tokens."""

from collections.abc import Iterator
from datetime import timedelta
from math import floor
from typing import NamedTuple

from bulrushloom.coordination.limits.base import Settlement

# Loans consist of such pieces of a token. They are exact in binary, so that no error
# accumulates, and short in a message.
LOAN_UNITS_PER_TOKEN = 64
# Borrowed tokens that expire sooner would not reach an entry in time.
MIN_BORROWED_LIFETIME = timedelta(milliseconds=50)


class GrantKey(NamedTuple):
    """Name the request that a grant or a loan answers.

    An instance numbers its requests as an entry and as a borrower separately.
    """

    instance: str
    incarnation: str
    sequence: int
    loan: bool


def round_down_to_loan_units(tokens: float) -> float:
    """Round down to whole pieces of a token."""
    return floor(tokens * LOAN_UNITS_PER_TOKEN) / LOAN_UNITS_PER_TOKEN


class BorrowedBatch:
    """Hold tokens that were borrowed with one loan."""

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
        """Return the report that the lender needs."""
        self.changed = False
        return Settlement(self.sequence, account, self.spent, self.returned)

    @property
    def is_settled(self) -> bool:
        """Return whether the lender has been told about every token."""
        return not self.changed and self.total - self.spent - self.returned <= 1e-9

    def return_remaining(self) -> None:
        """Return what remains to the lender."""
        if self.remaining > 0:
            self.returned += self.remaining
            self.remaining = 0.0
            self.changed = True


class Allocation:
    """Hold what one grant took from the bucket (no batch) or from one batch."""

    def __init__(self, batch: BorrowedBatch | None, amount: float):
        self.batch = batch
        self.amount = amount


class OutstandingGrant:
    """Track one grant or loan; each part comes from the bucket or from a batch."""

    def __init__(self, allocations: list[Allocation], expires: timedelta):
        self.allocations = allocations
        self.expires = expires
        self.total = sum(allocation.amount for allocation in allocations)
        self.spent = 0.0
        self.returned = 0.0

    def update_totals(self, spent: float, returned: float) -> tuple[float, float]:
        """Raise the totals as reported; return by how much each one rose."""
        new_spent = min(max(spent, self.spent), self.total - self.returned)
        spent_increase, self.spent = new_spent - self.spent, new_spent
        new_returned = min(max(returned, self.returned), self.total - self.spent)
        returned_increase, self.returned = new_returned - self.returned, new_returned
        return spent_increase, returned_increase

    def consume(
        self, amount: float, last: bool
    ) -> Iterator[tuple[BorrowedBatch | None, float]]:
        """Remove ``amount`` from the first or the last parts and yield the pieces."""
        allocations = list(reversed(self.allocations)) if last else self.allocations
        for allocation in allocations:
            portion = min(amount, allocation.amount)
            allocation.amount -= portion
            amount -= portion
            if portion > 0:
                yield allocation.batch, portion


class ShareBucket:
    """Hold a domain's part of an account's tokens.

    The level plus the outstanding tokens never exceeds ``burst``, so that all
    instances together spend at most ``rate * W + burst`` in a window ``W``: a token
    counts as outstanding until it is reported spent or can no longer be spent.
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
        """Return whether expiries have to be followed."""
        return bool(self._outstanding_by_key or self.borrowed_batches)

    def resize(self, rate: float, burst: float, now: timedelta) -> None:
        """Change the limits; the level never exceeds the new burst."""
        self.advance(now)
        self.rate = rate
        self.burst = burst
        self.level = max(0.0, min(self.level, burst - self.outstanding))

    def advance(self, now: timedelta) -> None:
        """Refill, then forget what has expired."""
        # Refilling before expiry can only lose tokens, never add any.
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
        """Return the tokens at hand, borrowed ones included."""
        return round_down_to_loan_units(self.level) + self.borrowed()

    def borrowed(self) -> float:
        """Return the borrowed tokens at hand."""
        return sum(batch.remaining for batch in self.borrowed_batches)

    def grant(
        self, key: GrantKey, count: int, expires: timedelta
    ) -> tuple[int, timedelta]:
        """Grant up to ``count`` whole tokens; return how many and their expiry."""
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
        """Debit up to ``tokens`` for a loan and return the amount."""
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
        """Count tokens of an earlier holder as outstanding until they expire."""
        self.outstanding += amount
        self._outstanding_by_key[key] = OutstandingGrant(
            [Allocation(None, amount)], expires
        )

    def settle(self, key: GrantKey, spent: float, returned: float) -> None:
        """Take note of spent and returned tokens of a grant or loan."""
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
