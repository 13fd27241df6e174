"""Mapping of accounts to shards, exchange intervals and conversions."""

from datetime import timedelta

import xxhash

# An account is small if a domain's part of its burst is below this number of tokens.
# Small accounts have a home domain, because single tokens do not divide well between
# domains.
SMALL_BURST_TOKENS = 10

# Demand and settlements of an account are exchanged this many times while its bucket
# fills, within the limits below. A bucket that fills quickly would otherwise stop
# refilling until its tokens are reported as spent.
EXCHANGES_PER_FILL = 8
MIN_EXCHANGE_INTERVAL = timedelta(milliseconds=5)
MAX_EXCHANGE_INTERVAL = timedelta(milliseconds=50)


def shard_of(account: str, shards: int) -> int:
    """Return the shard that ``account`` belongs to."""
    return xxhash.xxh64_intdigest(account.encode()) % shards


def share_subject(domain: str, shard: int) -> str:
    """Return the store key of a share, which is also its rendezvous hashing key."""
    return f"shares/{domain}/{shard}"


def whole_milliseconds(duration: timedelta) -> int:
    """Return ``duration`` in milliseconds, rounded down and at least 0."""
    return max(0, duration // timedelta(milliseconds=1))


def is_small(burst_part: float) -> bool:
    """Return whether an account with this burst per domain has a home domain."""
    return burst_part < SMALL_BURST_TOKENS


def exchange_interval(rate: float, burst: float) -> timedelta:
    """Return the interval between messages about an account."""
    if rate <= 0:
        return MAX_EXCHANGE_INTERVAL
    interval = timedelta(seconds=min(3600.0, burst / rate)) / EXCHANGES_PER_FILL
    return min(max(interval, MIN_EXCHANGE_INTERVAL), MAX_EXCHANGE_INTERVAL)
