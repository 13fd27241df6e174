"""Rendezvous (highest random weight) hashing."""

from collections.abc import Iterable

import xxhash


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` by descending responsibility for ``key``.

    Removing a name does not change the order of the others, so instances whose lists
    differ by a few names mostly agree on the first ones.
    """

    def weight(name: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()), name

    return sorted(names, key=weight, reverse=True)
