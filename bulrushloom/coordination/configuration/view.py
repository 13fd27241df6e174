"""Immutable snapshot of the rules in force, for threads that check keys."""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.configuration.assurance import FRESH_FOR, STALE_GRACE
from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.rules.base import EMPTY_RULES, KeyRule, RuleSet
from bulrushloom.rules.keys import find_key


class ConfigurationView(NamedTuple):
    """Hold the rules and the last time at which no newer version existed.

    ``assured_at`` is a reading of the own monotonic clock, ``None`` if unknown.
    """

    rules: RuleSet = EMPTY_RULES
    assured_at: timedelta | None = None

    def find_account(self, presented: str, now: timedelta) -> str | Refusal:
        """Return the account of a presented key or why the key is refused."""
        return self.check_key(find_key(self.rules, presented), now)

    def check_key(self, rule: KeyRule | None, now: timedelta) -> str | Refusal:
        """Return the account of ``rule`` unless it may have been withdrawn."""
        if rule is None:
            return Refusal(ErrorKind.UNAUTHENTICATED, "the key is not known")
        limit = FRESH_FOR + max(STALE_GRACE, rule.offline)
        if self.assured_at is None or now - self.assured_at > limit:
            return Refusal(
                ErrorKind.CONFIGURATION_STALE,
                "this instance cannot tell whether the key was withdrawn",
            )
        return rule.account
