"""Rendezvous (highest random weight) hashing."""

from collections.abc import Iterable

import xxhash


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` in the order in which they are responsible for ``key``.

    Removing a name leaves the order of the others unchanged, so instances whose
    lists differ by a few names mostly agree on the first ones.
    """

    def weight(name: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()), name

    return sorted(names, key=weight, reverse=True)
