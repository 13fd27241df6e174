"""Data types of the rules."""

from datetime import timedelta
from typing import NamedTuple


class DomainRule(NamedTuple):
    """Declaration of a failure domain."""

    name: str
    region: str


class TargetRule(NamedTuple):
    """Declaration of a target; at most ``slots`` statements run there at a time."""

    name: str
    group: str
    domain: str
    address: str
    slots: int
    connections: int
    leaving: bool


class AccountRule(NamedTuple):
    """Declaration of a client account; ``rate`` is in statements a second."""

    name: str
    rate: float
    burst: int
    max_age: timedelta


class KeyRule(NamedTuple):
    """Key of an account.

    ``offline`` is how long the key stays valid without confirmation that the rules are
    up to date.
    """

    digest: str
    account: str
    offline: timedelta


class RuleSet(NamedTuple):
    """One validated version of the rules, indexed for lookups.

    ``accounts_by_database`` contains the accounts that may use each database.
    ``targets_by_group`` preserves the order of the file.
    """

    version: int
    domain_by_name: dict[str, DomainRule]
    target_by_name: dict[str, TargetRule]
    targets_by_group: dict[str, tuple[TargetRule, ...]]
    group_by_database: dict[str, str]
    account_by_name: dict[str, AccountRule]
    key_by_digest: dict[str, KeyRule]
    accounts_by_database: dict[str, frozenset[str]]


EMPTY_RULES = RuleSet(0, {}, {}, {}, {}, {}, {}, {})
