"""Configuration changes during a run, and checks of API keys and rate limits."""

import random
from collections import deque
from collections.abc import Callable, Collection, Iterable
from datetime import timedelta
from typing import Any, NamedTuple

from bulrushloom.core.sentinels import Missing
from soak.configurations import CONFIGURATION_BOUND, ConfigurationHistory
from standins.platform.group import SimulatedGroup
from standins.platform.host import (
    RATE_EXCESS,
    RATE_SLACK,
    RATE_WINDOW,
    WITHDRAWN_KEY_BOUND,
    Platform,
)
from standins.platform.promises import History, SentStatement
from standins.platform.records import Run

STALENESS = timedelta(milliseconds=1500)
# A lower limit becomes active within 3 s and holds for windows that start after that.
RATE_CHANGE_DELAY = CONFIGURATION_BOUND + RATE_WINDOW
STEADY_KEY, ROTATED_KEY, FLOOD_KEY = "key-1", "key-2", "key-3"
MOVING_KEYS = ("key-4", "key-5")
OTHER_KEY = "key-6"
INITIAL_RATE_PER_S = 20
FLOOD_BURST = 10
DATABASES = ("strict", "bounded", "own")
# On routes with a long latency objective, a statement waits longer for a rate token.
PATIENT_DATABASE, CHANGING_DATABASE = "patient", "changing"
LONG_OBJECTIVE_MS = 2500
# Longer than an outage of all servers together with the bound of a change.
LONG_TIMEOUT_MS = 7000
LIMITED_ACCOUNT, OTHER_ACCOUNT = "limited", "other"
# The account of a withdrawn key.
NO_ACCOUNT = ""
_SECOND = timedelta(seconds=1)


class CallerAccount(NamedTuple):
    """The account of callers, the keys that they use, and the databases they open.

    The name is missing if the keys move between accounts.
    """

    name: str | Missing
    keys: tuple[str, ...]
    databases: tuple[str, ...] = DATABASES


HOTEL = CallerAccount("hotel", (STEADY_KEY, ROTATED_KEY))
FLOOD = CallerAccount("flood", (FLOOD_KEY,))
MOVING = CallerAccount(
    Missing("the keys move between accounts"),
    MOVING_KEYS,
    (PATIENT_DATABASE, CHANGING_DATABASE, "own"),
)
OTHER = CallerAccount(OTHER_ACCOUNT, (OTHER_KEY,), (PATIENT_DATABASE, "own"))


class Operator:
    """The operators, who write configurations during a run.

    ``rate_changes`` has the rates of the account "flood", each with the time of the
    change, and ``configurations`` everything that was written. The moving keys and
    their accounts and databases exist only if ``has_moving_keys``.
    """

    def __init__(
        self, platform: Platform, rng: random.Random, has_moving_keys: bool = False
    ):
        self._platform = platform
        self._rng = rng
        self._has_moving_keys = has_moving_keys
        self._version = 1
        self._changes: dict[str, Any] = {}
        self._account_by_key = {
            STEADY_KEY: "hotel",
            ROTATED_KEY: "hotel",
            FLOOD_KEY: "flood",
        }
        self._routes = {
            "strict": _route("strict", "primary"),
            "bounded": _route("bounded", "bounded_staleness"),
            "own": _route("own", "read_your_writes"),
        }
        if has_moving_keys:
            self._account_by_key |= dict.fromkeys(MOVING_KEYS, LIMITED_ACCOUNT)
            self._account_by_key[OTHER_KEY] = OTHER_ACCOUNT
            self._routes |= {
                PATIENT_DATABASE: _route(
                    PATIENT_DATABASE,
                    "primary",
                    TimeoutMs=LONG_TIMEOUT_MS,
                    SloMs=LONG_OBJECTIVE_MS,
                ),
                CHANGING_DATABASE: _route(
                    CHANGING_DATABASE, "bounded_staleness", SloMs=LONG_OBJECTIVE_MS
                ),
            }
        self.rate_changes: list[tuple[timedelta, int]] = []
        self.configurations = ConfigurationHistory()

    def account_of(self, key: str) -> str:
        """Return the account that holds a key, or ``NO_ACCOUNT``."""
        return self._account_by_key.get(key, NO_ACCOUNT)

    def change_limit(self, rate_per_s: int) -> None:
        """Change the rate limit of the account "flood"."""
        self.rate_changes.append((self._platform.loop.now(), rate_per_s))
        self._configure()

    def withdraw_key(self) -> None:
        """Withdraw the second key, which must be refused after its bound."""
        self.assign_key(ROTATED_KEY, NO_ACCOUNT)

    def restore_key(self) -> None:
        """Restore the withdrawn key."""
        self.assign_key(ROTATED_KEY, "hotel")

    def assign_key(self, key: str, account: str) -> None:
        """Give a key to an account; ``NO_ACCOUNT`` withdraws it."""
        self._account_by_key[key] = account
        self._configure()

    def remove_route(self, database: str) -> None:
        """Remove the route of a database."""
        self._routes.pop(database, None)
        self._configure()

    def set_route_timeout(self, database: str, timeout_ms: int) -> None:
        """Set the timeout of the route of a moving database, and add a removed one."""
        self._routes[database] = _route(
            database, "bounded_staleness", TimeoutMs=timeout_ms, SloMs=LONG_OBJECTIVE_MS
        )
        self._configure()

    def _configure(self) -> None:
        self._version += self._rng.randint(1, 3)
        rate_per_s = self.rate_changes[-1][1]
        accounts = [
            self._account("hotel", 2000, 2000),
            self._account("flood", rate_per_s, FLOOD_BURST),
        ]
        if self._has_moving_keys:
            accounts += [
                self._account(LIMITED_ACCOUNT, 20, 5),
                self._account(OTHER_ACCOUNT, 60, 10),
            ]
        routes = list(self._routes.values())
        self._changes = {"Routes": routes, "Tenants": accounts}
        self.repeat()
        self.configurations.record(self._platform.loop.now(), routes, accounts)

    def repeat(self) -> None:
        """Write again what the store may have lost."""
        self._platform.configure(self._version, **self._changes)
        self._platform.repeat_evacuations()

    def _account(self, name: str, rate_per_s: int, burst: int) -> dict[str, Any]:
        keys = [key for key, account in self._account_by_key.items() if account == name]
        return {"Name": name, "ApiKeys": keys, "RatePerS": rate_per_s, "Burst": burst}


def _route(database: str, kind: str, **changes: int) -> dict[str, Any]:
    route = {
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
    return route | changes


class AccountChecks:
    """Checks that statements ran for the holder of their key and within its limit.

    Servers also see the connections that an instance opens for itself, under a name of
    ``instances``. ``were_in_touch`` tells whether no fault of instances, their links or
    the store disturbed a span of time.
    """

    def __init__(
        self,
        group: SimulatedGroup,
        history: History,
        operator: Operator,
        instances: Collection[str],
        were_in_touch: Callable[[timedelta, timedelta], bool],
    ):
        self._group = group
        self._history = history
        self._operator = operator
        self._configurations = operator.configurations
        self._instances = instances
        self._were_in_touch = were_in_touch
        self._checked_run_count = 0
        self._checked_start_count = 0
        self._flood_times: deque[tuple[timedelta, timedelta]] = deque()
        self._seen_operations: set[str] = set()

    def check(self) -> list[str]:
        """Check what servers were told and ran since the last call.

        Returns violations: an account that did not hold the key, a key or a route that
        was used later than its bound after its removal, and an account above its rate.
        """
        runs = self._group.runs[self._checked_run_count :]
        self._checked_run_count += len(runs)
        violations = self._check_starts()
        for run in runs:
            sent = self._history.sent_by_id.get(run.request_id)
            if sent is None:
                continue
            violations += self._check_account(run, sent)
            violations += self._check_route(run, sent)
            operation = sent.group[0]
            if run.account == "flood" and operation not in self._seen_operations:
                self._seen_operations.add(operation)
                sent_at = self._history.sent_by_id[operation].sent_at
                violations += self._check_flood_rate(run.at, sent_at)
        return violations

    def _check_starts(self) -> list[str]:
        """Check that servers were told only accounts of configurations."""
        starts = self._group.starts[self._checked_start_count :]
        self._checked_start_count += len(starts)
        return [
            f"{start.server} was told the account {start.account!r}, which does not "
            f"exist, at {start.at}"
            for start in starts
            if start.account not in self._instances
            and not self._configurations.has_had_account(start.account, start.at)
        ]

    def _check_account(self, run: Run, sent: SentStatement) -> Iterable[str]:
        """Check that a statement ran for an account that may have held its key.

        The route of no database is public. An instance may use a former configuration
        for the bound of a withdrawn key; if it is in touch, and another account holds
        the key, for the bound of a configuration. The time counts up to the run,
        because an instance that waits knows the change before it sends the statement.
        """
        configurations, key = self._configurations, sent.caller.key
        since = sent.sent_at - WITHDRAWN_KEY_BOUND
        holders = configurations.holders(key, since, run.at)
        if run.account not in holders:
            yield (
                f"{run.request_id} ran for {run.account!r} at {run.at}; its key "
                f"belonged to {sorted(holders)} since {since}"
            )
        elif not configurations.holders(key, since, sent.sent_at):
            yield f"{run.request_id} ran with a withdrawn key"
        elif self._were_in_touch(run.at - CONFIGURATION_BOUND, run.at):
            bound = CONFIGURATION_BOUND
            since = run.at - WITHDRAWN_KEY_BOUND
            if configurations.was_withdrawn(key, since, run.at):
                bound = WITHDRAWN_KEY_BOUND
            holders = configurations.holders(key, run.at - bound, run.at)
            if run.account not in holders:
                yield (
                    f"{run.request_id} ran for the former account {run.account!r} at "
                    f"{run.at}, sent at {sent.sent_at}; its key belonged to "
                    f"{sorted(holders)} for more than {bound}"
                )

    def _check_route(self, run: Run, sent: SentStatement) -> Iterable[str]:
        """Check that a database had a route when its operation was sent, or later."""
        since = self._history.sent_by_id[sent.group[0]].sent_at - CONFIGURATION_BOUND
        database = sent.caller.database
        has_route = self._configurations.had_route(database, since, run.at)
        if not has_route and self._were_in_touch(since, run.at):
            yield f"{run.request_id} ran on {database} without a route since {since}"

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
