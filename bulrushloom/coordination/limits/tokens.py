"""Tokens, waiting callers and demand of one account at an entry."""

from collections import OrderedDict
from datetime import timedelta
from math import floor

from bulrushloom.coordination.limits.base import Settlement

# Unused tokens go back after this time, so that they do not starve other entries.
IDLE_TOKENS = timedelta(milliseconds=100)
DEMAND_INTERVAL = timedelta(milliseconds=100)
DEMAND_WEIGHT = 0.3
# Tokens are asked for ahead of demand for this time.
AHEAD = timedelta(milliseconds=100)


class HeldTokens:
    """Hold the tokens of one grant until they are spent, returned or expired."""

    def __init__(
        self,
        holder: str,
        domain: str,
        sequence: int,
        tokens: int,
        received: timedelta,
        expires: timedelta,
    ):
        self.holder = holder
        self.domain = domain
        self.sequence = sequence
        self.remaining = tokens
        self.received = received
        self.expires = expires
        self.spent = 0
        self.returned = 0
        self.changed = False

    def spend(self) -> None:
        """Spend one token."""
        self.remaining -= 1
        self.spent += 1
        self.changed = True

    def give_back(self) -> None:
        """Give up the remaining tokens."""
        self.returned += self.remaining
        self.remaining = 0
        self.changed = True

    def settlement(self, account: str) -> Settlement:
        """Return the report that the holder needs."""
        self.changed = False
        return Settlement(self.sequence, account, self.spent, self.returned)


class AccountTokens:
    """Spend tokens in order of expiry and serve callers in order of arrival."""

    def __init__(self, now: timedelta) -> None:
        self.held: list[HeldTokens] = []
        self.deadline_by_request: OrderedDict[str, timedelta] = OrderedDict()
        self.retry_after: timedelta | None = None
        self.answered_at: timedelta | None = None
        self._arrivals = 0
        self._demand = 0.0
        self._demand_read_at = now

    @property
    def idle(self) -> bool:
        """Return whether there is nothing left to do for the account."""
        waiting = bool(self.held or self.deadline_by_request or self._arrivals)
        return not waiting and self._demand < 0.01

    @property
    def at_hand(self) -> int:
        """Return how many tokens can be spent."""
        return sum(held.remaining for held in self.held)

    def was_answered(self, since: timedelta) -> bool:
        """Return whether a share holder answered at ``since`` or later."""
        return self.answered_at is not None and self.answered_at >= since

    def arrived(self) -> None:
        """Count a caller's request."""
        self._arrivals += 1

    def spend(self, now: timedelta) -> bool:
        """Spend one unexpired token if there is one."""
        usable = [held for held in self.held if held.remaining and held.expires > now]
        if not usable:
            return False
        min(usable, key=lambda held: held.expires).spend()
        return True

    def serve(self, now: timedelta) -> list[str]:
        """Spend tokens on waiting requests and return these."""
        served = []
        while self.deadline_by_request and self.spend(now):
            request_id, _ = self.deadline_by_request.popitem(last=False)
            served.append(request_id)
        return served

    def overdue(self, now: timedelta) -> list[str]:
        """Remove and return the requests that have waited long enough."""
        overdue = [r for r, until in self.deadline_by_request.items() if until <= now]
        for request_id in overdue:
            del self.deadline_by_request[request_id]
        return overdue

    def expected(self) -> int:
        """Return how many tokens the near future needs."""
        return floor(self._demand * AHEAD.total_seconds())

    def tick(self, now: timedelta) -> None:
        """Drop expired tokens, give idle ones back and read the demand."""
        self.held = [
            held
            for held in self.held
            if held.expires > now and (held.remaining or held.changed)
        ]
        for held in self.held:
            if held.remaining and now - held.received >= IDLE_TOKENS:
                held.give_back()
        elapsed = now - self._demand_read_at
        if elapsed >= DEMAND_INTERVAL:
            reading = self._arrivals / elapsed.total_seconds()
            self._demand += DEMAND_WEIGHT * (reading - self._demand)
            self._arrivals = 0
            self._demand_read_at = now
