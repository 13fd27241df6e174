"""Usage of accounts, as instances count and report it."""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

# Key of the instance's own usage in ``UsageSnapshot``; peers have other keys.
OWN_KEY = ""


class Usage(NamedTuple):
    """Operations that an instance admitted in the last window, and its demand.

    ``admitted`` includes those that have just left the window and are about to be
    replaced, ``leaving_per_s`` is the rate at which they left it.
    """

    admitted: float
    demand_per_s: float
    leaving_per_s: float = 0.0


NO_USAGE = Usage(0.0, 0.0)


def add_usage(first: Usage, second: Usage) -> Usage:
    """Return the usage of two groups of instances together."""
    return Usage(*(a + b for a, b in zip(first, second, strict=True)))


class PeerUsage(NamedTuple):
    """Last usage report of one instance, or the sum of several.

    ``instance_count`` is the number of instances that the report covers. It represents
    their current usage for ``fresh_for`` after ``reported_at``. ``source`` identifies
    the process that calculated it: another one may not know what was admitted before.
    """

    reported_at: timedelta
    usage_by_account: Mapping[str, Usage]
    instance_count: int
    fresh_for: timedelta
    source: str = ""


class RateWindow(NamedTuple):
    """Length of the sliding window and the permitted overrun of a limit in it.

    ``excess`` is a fraction of the limit, ``slack`` a number of operations.
    """

    length: timedelta
    excess: float
    slack: float


class UsageSnapshot(NamedTuple):
    """Usage of all instances at one moment, by peer and account."""

    taken_at: timedelta
    usage_by_peer: Mapping[str, Mapping[str, Usage]]
