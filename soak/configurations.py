"""The configurations of a run, and what each of them allowed at which time."""

from bisect import bisect_right
from collections.abc import Iterable
from datetime import timedelta
from typing import Any, NamedTuple

CONFIGURATION_BOUND = timedelta(milliseconds=3000)


class WrittenConfiguration(NamedTuple):
    """The content of a configuration that decides who may run what."""

    written_at: timedelta
    account_by_key: dict[str, str]
    accounts: frozenset[str]
    databases: frozenset[str]


class ConfigurationHistory:
    """A record of all configurations with the times at which they were written.

    An instance may use a former configuration until its bound has passed, so each
    question is asked for a span of time. Both ends of a span are included.
    """

    def __init__(self) -> None:
        self._written: list[WrittenConfiguration] = []

    def record(
        self,
        written_at: timedelta,
        routes: Iterable[dict[str, Any]],
        accounts: Iterable[dict[str, Any]],
    ) -> None:
        """Record the routes and accounts of a configuration document."""
        accounts = list(accounts)
        account_by_key = {
            key: account["Name"] for account in accounts for key in account["ApiKeys"]
        }
        names = frozenset(account["Name"] for account in accounts)
        databases = frozenset(route["Host"] for route in routes)
        self._written.append(
            WrittenConfiguration(written_at, account_by_key, names, databases)
        )

    def newest_during(
        self, since: timedelta, until: timedelta
    ) -> list[WrittenConfiguration]:
        """Return the configurations that were the newest at a time in a span."""
        return self._written[max(self._count(since) - 1, 0) : self._count(until)]

    def _count(self, until: timedelta) -> int:
        """Return the number of configurations that were written up to a time."""
        return bisect_right(self._written, until, key=lambda c: c.written_at)

    def holders(self, key: str, since: timedelta, until: timedelta) -> set[str]:
        """Return the accounts that held a key at a time in a span."""
        return {
            configuration.account_by_key[key]
            for configuration in self.newest_during(since, until)
            if key in configuration.account_by_key
        }

    def was_withdrawn(self, key: str, since: timedelta, until: timedelta) -> bool:
        """Return whether no account held a key at some time in a span."""
        return any(
            key not in configuration.account_by_key
            for configuration in self.newest_during(since, until)
        )

    def had_route(self, database: str, since: timedelta, until: timedelta) -> bool:
        """Return whether a database had a route at a time in a span."""
        return any(
            database in configuration.databases
            for configuration in self.newest_during(since, until)
        )

    def has_allowed(
        self, key: str, database: str, since: timedelta, until: timedelta
    ) -> bool:
        """Return whether a key was held and a database had a route all the time."""
        return all(
            key in configuration.account_by_key and database in configuration.databases
            for configuration in self.newest_during(since, until)
        )

    def has_had_account(self, name: str, until: timedelta) -> bool:
        """Return whether a configuration up to a time had an account of this name."""
        return any(
            name in configuration.accounts
            for configuration in self.newest_during(timedelta(), until)
        )
