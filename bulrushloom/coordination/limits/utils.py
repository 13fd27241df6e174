"""Rendezvous order, shards and conversions."""

from collections.abc import Iterable
from datetime import timedelta

import xxhash


def shard_of(account: str, shards: int) -> int:
    """Return the shard that ``account`` belongs to."""
    return xxhash.xxh64_intdigest(account.encode()) % shards


def rendezvous_order(names: Iterable[str], subject: str) -> list[str]:
    """Rank ``names`` by highest random weight for ``subject``."""
    return sorted(
        names,
        key=lambda name: (xxhash.xxh64_intdigest(f"{subject}\0{name}".encode()), name),
        reverse=True,
    )


def share_subject(domain: str, shard: int) -> str:
    """Return the rendezvous subject and the store key of a share."""
    return f"shares/{domain}/{shard}"


def whole_milliseconds(duration: timedelta) -> int:
    """Return ``duration`` in milliseconds, rounded down and at least 0."""
    return max(0, duration // timedelta(milliseconds=1))
