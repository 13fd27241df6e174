"""Encoding of usage totals; no I/O.

A total has an entry for each account that is in use, and the names make up half of it.
Instances that know the same accounts therefore send the figures alone, in the order of
the names.
"""

import math
from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from datetime import timedelta
from typing import Annotated, NamedTuple

import xxhash
from msgspec import Meta

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.exchange.messages import GroupUsage
from bulrushloom.proxy.limits import NO_USAGE, Usage

# Admitted operations and rates are sent as integers in these units.
ADMITTED_UNIT = 0.1
RATE_UNIT_PER_S = 0.01
# Earlier lists of accounts that are kept: a report in flight may follow one of them.
KEPT_ACCOUNT_LISTS = 4
_MILLISECOND = timedelta(milliseconds=1)

Name = Annotated[str, Meta(min_length=1, max_length=200)]
Count = Annotated[int, Meta(ge=0, le=2**53)]
Milliseconds = Annotated[int, Meta(ge=0, le=2**45)]
LargeMap = Meta(max_length=20_000)


class WireUsage(NamedTuple):
    """Encoded ``Usage``."""

    admitted: Count
    demand: Count
    leaving: Count


class WireGroupUsage(NamedTuple):
    """Encoded ``GroupUsage``."""

    instance_count: Count
    age_ms: Milliseconds
    source: Name
    usage: Annotated[dict[Name, WireUsage], LargeMap]


class WireIndexedUsage(NamedTuple):
    """Encoded ``GroupUsage`` whose figures are in the order of a list of accounts.

    ``usage`` has the accounts that the list lacks.
    """

    instance_count: Count
    age_ms: Milliseconds
    source: Name
    admitted: Annotated[list[Count], LargeMap]
    demand: Annotated[list[Count], LargeMap]
    leaving: Annotated[list[Count], LargeMap]
    usage: Annotated[dict[Name, WireUsage], LargeMap]


class ReceivedUsage(Mapping[str, Usage]):
    """Usage by account that is converted only for the accounts that are asked for.

    Totals of domains are received several times a second, contain hundreds of accounts
    and are mostly passed on, in the form in which they came.
    """

    __slots__ = ("wire_by_account",)

    def __init__(self, wire_by_account: dict[str, WireUsage]):
        self.wire_by_account = wire_by_account

    def __getitem__(self, account: str) -> Usage:
        admitted, demand, leaving = self.wire_by_account[account]
        return Usage(
            admitted * ADMITTED_UNIT,
            demand * RATE_UNIT_PER_S,
            leaving * RATE_UNIT_PER_S,
        )

    def __iter__(self) -> Iterator[str]:
        return iter(self.wire_by_account)

    def __len__(self) -> int:
        return len(self.wire_by_account)


class AccountList(NamedTuple):
    """Names of accounts in a fixed order; equal lists have equal digests."""

    digest: int
    names: tuple[str, ...]


NO_ACCOUNTS = AccountList(0, ())


def make_account_list(names: Iterable[str]) -> AccountList:
    """Return the list of ``names``; the digest of an empty one is 0."""
    ordered = tuple(sorted(names))
    if not ordered:
        return NO_ACCOUNTS
    text = "\n".join(ordered).encode()
    # Integers on the wire have at most 53 bits.
    return AccountList(xxhash.xxh64_intdigest(text) >> 11, ordered)


class AccountLists:
    """The latest list of accounts, and some earlier ones by which reports may come."""

    def __init__(self) -> None:
        self._lists: deque[AccountList] = deque([NO_ACCOUNTS], KEPT_ACCOUNT_LISTS)

    @property
    def latest(self) -> AccountList:
        """Return the latest list."""
        return self._lists[-1]

    def update(self, names: Iterable[str]) -> None:
        """Use the list of ``names`` from now on."""
        latest = make_account_list(names)
        if latest.digest != self.latest.digest:
            self._lists.append(latest)

    def find(self, digest: int) -> AccountList | Missing:
        """Return the list with ``digest``, if it is known and not empty."""
        for known in self._lists:
            if known.digest == digest and known.names:
                return known
        return Missing("the accounts of a total are not known")


def to_wire_usage(usage_by_account: Mapping[str, Usage]) -> dict[str, WireUsage]:
    """Return the encoded usage by account."""
    if isinstance(usage_by_account, ReceivedUsage):
        return usage_by_account.wire_by_account
    return {
        # Rounded up: an operation must never be missing in a total.
        account: WireUsage(
            math.ceil(round(usage.admitted / ADMITTED_UNIT, 3)),
            round(usage.demand_per_s / RATE_UNIT_PER_S),
            round(usage.leaving_per_s / RATE_UNIT_PER_S),
        )
        for account, usage in usage_by_account.items()
    }


def to_wire_total(total: GroupUsage, now: timedelta) -> WireGroupUsage:
    """Return the encoded total."""
    return WireGroupUsage(
        total.instance_count,
        age_ms(now, total.reported_at),
        total.source,
        to_wire_usage(total.usage_by_account),
    )


def to_group_usage(wire: WireGroupUsage, now: timedelta) -> GroupUsage:
    """Return the total that was received at ``now``."""
    return GroupUsage(
        wire.instance_count,
        now - wire.age_ms * _MILLISECOND,
        wire.source,
        ReceivedUsage(wire.usage),
    )


def to_indexed(wire: WireGroupUsage, accounts: AccountList) -> WireIndexedUsage:
    """Return a total in the order of ``accounts``."""
    unlisted = dict(wire.usage)
    none = WireUsage(*map(int, NO_USAGE))
    rows = [unlisted.pop(name, none) for name in accounts.names]
    admitted, demand, leaving = (
        [row[column] for row in rows] for column in range(len(none))
    )
    return WireIndexedUsage(*wire[:3], admitted, demand, leaving, unlisted)


def from_indexed(
    wire: WireIndexedUsage, accounts: AccountList
) -> WireGroupUsage | Missing:
    """Return the same total by name, or why it is invalid."""
    columns = wire.admitted, wire.demand, wire.leaving
    if any(len(column) != len(accounts.names) for column in columns):
        return Missing("malformed: a total of another number of accounts")
    usage = dict(wire.usage)
    for name, *figures in zip(accounts.names, *columns, strict=True):
        if any(figures):
            usage[name] = WireUsage(*figures)
    return WireGroupUsage(*wire[:3], usage)


def age_ms(now: timedelta, at: timedelta) -> int:
    """Return an age, rounded up: content must never seem newer than it is."""
    return max(0, (now - at) // _MILLISECOND + 1)
