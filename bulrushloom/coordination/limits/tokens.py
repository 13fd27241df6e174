"""Tokens, waiting requests and demand of one account at an entry instance."""

from collections import OrderedDict
from datetime import timedelta
from math import floor

from bulrushloom.coordination.limits.base import (
    AccountDemand,
    AccountGrant,
    Settlement,
)
from bulrushloom.coordination.limits.requests import Share

# Unused tokens are returned after this time, so that they do not starve other entry
# instances.
IDLE_TOKEN_TIMEOUT = timedelta(milliseconds=100)
# Weight of the latest sample in the moving average of the demand.
DEMAND_WEIGHT = 0.3
# Tokens are requested in advance for the demand that is expected in this time.
PREFETCH_WINDOW = timedelta(milliseconds=100)
NEGLIGIBLE_DEMAND_PER_S = 0.01


class GrantedTokens:
    """Tokens of one grant until they are spent, returned or expired."""

    def __init__(
        self,
        share: Share,
        grant: AccountGrant,
        received_at: timedelta,
        expires: timedelta,
    ):
        self.share = share
        self.account = grant.account
        self.sequence = grant.sequence
        self.remaining = grant.tokens
        self.received_at = received_at
        self.expires = expires
        self.spent = 0
        self.returned = 0

    def return_remaining(self) -> None:
        """Mark the remaining tokens as returned to the holder."""
        self.returned += self.remaining
        self.remaining = 0

    def settlement(self) -> Settlement:
        """Return the settlement of this grant for the holder."""
        return Settlement(self.sequence, self.account, self.spent, self.returned)


class AccountTokens:
    """Spend tokens in order of expiry and serve callers in order of arrival."""

    def __init__(self) -> None:
        self.granted: list[GrantedTokens] = []
        self.deadline_by_request: OrderedDict[str, timedelta] = OrderedDict()
        self.retry_after: timedelta | None = None
        # Demand of requests to holders that are still unanswered.
        self.requested_waiting = 0
        self.requested_ahead = 0
        self.next_request_at: timedelta | None = None
        self.answered_at: timedelta | None = None
        self._arrivals = 0
        self._demand = 0.0

    @property
    def is_busy(self) -> bool:
        """Return whether there are granted tokens or waiting requests."""
        return bool(self.granted or self.deadline_by_request)

    @property
    def is_idle(self) -> bool:
        """Return whether the account has no state that must be kept."""
        requested = self.requested_waiting or self.requested_ahead or self._arrivals
        return (
            not self.is_busy
            and not requested
            and self._demand < NEGLIGIBLE_DEMAND_PER_S
        )

    def was_answered_since(self, since: timedelta) -> bool:
        """Return whether a share holder answered at ``since`` or later."""
        return self.answered_at is not None and self.answered_at >= since

    def count_arrival(self) -> None:
        """Count a request of a caller for the demand estimate."""
        self._arrivals += 1

    def spend(self, now: timedelta) -> GrantedTokens | None:
        """Spend one unexpired token and return its grant, or ``None`` without any."""
        usable = [
            granted
            for granted in self.granted
            if granted.remaining and granted.expires > now
        ]
        if not usable:
            return None
        granted = min(usable, key=lambda granted: granted.expires)
        granted.remaining -= 1
        granted.spent += 1
        return granted

    def remove_overdue(self, now: timedelta) -> list[str]:
        """Remove and return the waiting requests whose deadline has passed."""
        overdue = []
        for request_id, deadline in self.deadline_by_request.items():
            if deadline > now:
                break
            overdue.append(request_id)
        for request_id in overdue:
            del self.deadline_by_request[request_id]
        return overdue

    def return_idle_tokens(self, now: timedelta) -> list[GrantedTokens]:
        """Mark idle tokens as returned and return the grants that they belong to.

        Used and expired grants are dropped.
        """
        self.granted = [h for h in self.granted if h.remaining and h.expires > now]
        idle = [
            granted
            for granted in self.granted
            if now - granted.received_at >= IDLE_TOKEN_TIMEOUT
        ]
        for granted in idle:
            granted.return_remaining()
        return idle

    def sample_demand(self, elapsed: timedelta) -> None:
        """Update the average demand with the arrivals since the last sample."""
        sample = self._arrivals / elapsed.total_seconds()
        self._demand += DEMAND_WEIGHT * (sample - self._demand)
        self._arrivals = 0

    def unrequested_demand(self, account: str, now: timedelta) -> AccountDemand | None:
        """Return the demand that was not requested yet, if a request is due."""
        if self.next_request_at is not None and now < self.next_request_at:
            return None
        waiting = max(0, len(self.deadline_by_request) - self.requested_waiting)
        expected = floor(self._demand * PREFETCH_WINDOW.total_seconds())
        covered = (
            sum(granted.remaining for granted in self.granted) + self.requested_ahead
        )
        # Prefetching only when half is left avoids one message for each small refill.
        ahead = expected - covered if covered <= expected // 2 else 0
        return AccountDemand(account, waiting, ahead) if waiting or ahead else None
