"""Data types of the operators' rules."""

from datetime import timedelta
from typing import NamedTuple


class DomainRule(NamedTuple):
    """Declare a failure domain."""

    name: str
    region: str


class TargetRule(NamedTuple):
    """Declare a target: ``slots`` statements and ``connections`` at the same time."""

    name: str
    group: str
    domain: str
    address: str
    slots: int
    connections: int
    leaving: bool


class AccountRule(NamedTuple):
    """Declare a client account: ``rate`` statements a second and a ``burst``."""

    name: str
    rate: float
    burst: int
    max_age: timedelta


class KeyRule(NamedTuple):
    """Give a key to an account; ``offline`` bounds its use without confirmation."""

    digest: str
    account: str
    offline: timedelta


class RuleSet(NamedTuple):
    """Hold one checked version of the rules, indexed for look-up.

    ``accounts_by_database`` lists the accounts that may use each database, and
    ``targets_by_group`` keeps the order of the file.
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
