"""Immutable snapshot of the active rules, for threads that check keys."""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.configuration.freshness import (
    FRESHNESS_PERIOD,
    STALE_GRACE_PERIOD,
)
from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.rules.base import EMPTY_RULES, KeyRule, RuleSet
from bulrushloom.rules.keys import find_key


class ConfigurationView(NamedTuple):
    """Hold the rules and the latest time at which no newer version existed.

    ``confirmed_at`` is a reading of the local monotonic clock, or ``None`` if unknown.
    """

    rules: RuleSet = EMPTY_RULES
    confirmed_at: timedelta | None = None

    def find_account(self, presented: str, now: timedelta) -> str | Refusal:
        """Return the account of a presented key, or the reason for refusing it."""
        return self.check_key(find_key(self.rules, presented), now)

    def check_key(self, rule: KeyRule | None, now: timedelta) -> str | Refusal:
        """Return the account of ``rule``; refuse a key that may have been withdrawn.

        After the rules have lost their freshness, a key is still accepted for the grace
        period of all keys, or for its own period ``rule.offline`` if that is longer.
        """
        if rule is None:
            return Refusal(ErrorKind.UNAUTHENTICATED, "the key is not known")
        limit = FRESHNESS_PERIOD + max(STALE_GRACE_PERIOD, rule.offline)
        if self.confirmed_at is None or now - self.confirmed_at > limit:
            return Refusal(
                ErrorKind.CONFIGURATION_STALE,
                "this instance cannot tell whether the key was withdrawn",
            )
        return rule.account

    def find_group(self, database: str, account: str) -> str | Refusal:
        """Return the group of ``database``, or why ``account`` may not use it."""
        group = self.rules.group_by_database.get(database)
        if group is None:
            return Refusal(ErrorKind.UNKNOWN_DATABASE, f"no database {database!r}")
        if account not in self.rules.accounts_by_database.get(database, frozenset()):
            return Refusal(
                ErrorKind.FORBIDDEN, f"the account may not use database {database!r}"
            )
        return group

    def check_access(
        self, digest: str, account: str, database: str, now: timedelta
    ) -> str | Refusal:
        """Return the group of ``database`` for a request that was accepted earlier.

        The result is a refusal if the key with ``digest`` no longer belongs to
        ``account``, may have been withdrawn, or no longer gives access to ``database``.
        """
        holder = self.check_key(self.rules.key_by_digest.get(digest), now)
        if isinstance(holder, Refusal):
            return holder
        if holder != account:
            return Refusal(
                ErrorKind.FORBIDDEN, "the key was moved to another account meanwhile"
            )
        return self.find_group(database, account)
