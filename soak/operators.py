"""Configuration changes during a run, and checks of API keys and rate limits."""

import random
from collections import deque
from datetime import timedelta
from typing import Any

from standins.platform.group import SimulatedGroup
from standins.platform.host import (
    RATE_EXCESS,
    RATE_SLACK,
    RATE_WINDOW,
    WITHDRAWN_KEY_BOUND,
    Platform,
)
from standins.platform.promises import History

STALENESS = timedelta(milliseconds=1500)
# A lower limit becomes active within 3 s and holds for windows that start after that.
RATE_CHANGE_DELAY = timedelta(seconds=3) + RATE_WINDOW
STEADY_KEY, ROTATED_KEY, FLOOD_KEY = "key-1", "key-2", "key-3"
INITIAL_RATE_PER_S = 20
FLOOD_BURST = 10
_SECOND = timedelta(seconds=1)


class Operator:
    """The operators, who write configurations during a run.

    ``rate_changes`` has the rates of the account "flood", each with the time of the
    change, and ``withdrawal_periods`` the periods without the second key.
    """

    def __init__(self, platform: Platform, rng: random.Random):
        self._platform = platform
        self._rng = rng
        self._is_key_withdrawn = False
        self._version = 1
        self.rate_changes: list[tuple[timedelta, int]] = []
        self.withdrawal_periods: list[tuple[timedelta, timedelta]] = []

    def keys_for(self, account: str) -> tuple[str, ...]:
        """Return the keys that callers of an account use, even if withdrawn."""
        return (FLOOD_KEY,) if account == "flood" else (STEADY_KEY, ROTATED_KEY)

    def change_limit(self, rate_per_s: int) -> None:
        """Change the rate limit of the account "flood"."""
        self.rate_changes.append((self._platform.loop.now(), rate_per_s))
        self._configure()

    def withdraw_key(self) -> None:
        """Withdraw the second key, which must be refused after its bound."""
        self._is_key_withdrawn = True
        self.withdrawal_periods.append((self._platform.loop.now(), timedelta.max))
        self._configure()

    def restore_key(self) -> None:
        """Restore the withdrawn key."""
        self._is_key_withdrawn = False
        self.withdrawal_periods[-1] = (
            self.withdrawal_periods[-1][0],
            self._platform.loop.now(),
        )
        self._configure()

    def _configure(self) -> None:
        self._version += self._rng.randint(1, 3)
        routes = [
            {
                "Name": f"r-{database}",
                "Host": database,
                "Type": kind,
                "TimeoutMs": 2000,
                "SloMs": 600,
                "Priority": 1,
                "Service": "orders",
                "MaxStalenessMs": STALENESS // timedelta(milliseconds=1),
                "Public": False,
            }
            for database, kind in (
                ("strict", "primary"),
                ("bounded", "bounded_staleness"),
                ("own", "read_your_writes"),
            )
        ]
        keys = [STEADY_KEY] if self._is_key_withdrawn else [STEADY_KEY, ROTATED_KEY]
        rate_per_s = self.rate_changes[-1][1]
        accounts: list[dict[str, Any]] = [
            {"Name": "hotel", "ApiKeys": keys, "RatePerS": 2000, "Burst": 2000},
            {
                "Name": "flood",
                "ApiKeys": [FLOOD_KEY],
                "RatePerS": rate_per_s,
                "Burst": FLOOD_BURST,
            },
        ]
        self._platform.configure(self._version, Routes=routes, Tenants=accounts)


class AccountChecks:
    """Checks that statements ran with valid keys and within the rate limits."""

    def __init__(self, group: SimulatedGroup, history: History, operator: Operator):
        self._group = group
        self._history = history
        self._operator = operator
        self._checked_run_count = 0
        self._flood_times: deque[tuple[timedelta, timedelta]] = deque()
        self._seen_operations: set[str] = set()

    def check(self) -> list[str]:
        """Check the statements that ran since the last call; return violations.

        A withdrawn key must be refused after its bound, and an account must not exceed
        its rate limit.
        """
        runs = self._group.runs[self._checked_run_count :]
        self._checked_run_count += len(runs)
        violations = []
        for run in runs:
            sent = self._history.sent_by_id.get(run.request_id)
            if sent is None:
                continue
            if sent.caller.key == ROTATED_KEY and self._was_withdrawn(sent.sent_at):
                violations.append(f"{run.request_id} ran with a withdrawn key")
            operation = sent.group[0]
            if run.account == "flood" and operation not in self._seen_operations:
                self._seen_operations.add(operation)
                sent_at = self._history.sent_by_id[operation].sent_at
                violations += self._check_flood_rate(run.at, sent_at)
        return violations

    def _was_withdrawn(self, sent_at: timedelta) -> bool:
        return any(
            since + WITHDRAWN_KEY_BOUND < sent_at < until
            for since, until in self._operator.withdrawal_periods
        )

    def _check_flood_rate(self, at: timedelta, sent_at: timedelta) -> list[str]:
        times = self._flood_times
        times.append((at, sent_at))
        while times[0][0] <= at - RATE_WINDOW:
            times.popleft()
        allowed = (
            self._highest_applicable_rate(at) * (RATE_WINDOW / _SECOND) + FLOOD_BURST
        )
        bound = allowed * (1 + RATE_EXCESS) + RATE_SLACK
        # The bound does not cover operations that were sent before the window and ran
        # within it.
        count = sum(sent > at - RATE_WINDOW for _, sent in times)
        if count <= bound:
            return []
        return [
            f"{count} operations of flood were sent and ran in the window that ends at "
            f"{at}, above the bound of {bound}; rates {self._operator.rate_changes}"
        ]

    def _highest_applicable_rate(self, at: timedelta) -> int:
        """Return the highest rate that may apply in the window that ends at ``at``."""
        rate_changes = self._operator.rate_changes
        end_times = [since for since, _ in rate_changes[1:]] + [timedelta.max]
        return max(
            rate
            for (since, rate), end in zip(rate_changes, end_times, strict=True)
            if since <= at and end >= at - RATE_WINDOW - RATE_CHANGE_DELAY
        )
