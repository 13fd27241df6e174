"""Who holds the connections of a domain to a target, and how many; no I/O.

Answers targets that accept fewer connections than there are instances. If every
instance opens its own, they replace each other's connections with almost every
statement. In each domain, one instance therefore holds the domain's share and the
others lease from it.
"""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

import xxhash

from bulrushloom.proxy.connection_allowance import (
    ORPHANED_CONNECTION_LIFETIME,
    RESERVED_CONNECTIONS,
)

# Time for which an owner that is silent or refuses is not asked.
SKIP_TIME = timedelta(seconds=2)
# An owner that has requests and sends nothing for this long is silent. Owners send
# something every 50 ms while requests wait.
SILENCE_LIMIT = timedelta(milliseconds=150)
# Owners that are asked for one statement before it uses a direct connection.
MAX_OWNERS_ASKED = 3
# Part of a target's connections that the owners share; direct connections use the rest.
SHARED_PART = (5, 6)
# After a target had too many connections, an owner holds this part of what it had, and
# one more after each interval.
SHRINK_PART = (3, 4)
GROWTH_INTERVAL = timedelta(milliseconds=500)


def is_shared(max_connections: int, member_count: int) -> bool:
    """Return whether the connections to a target are shared.

    That is the case if there are too few for one connection of each instance.
    """
    return 0 < max_connections - RESERVED_CONNECTIONS < member_count


def domain_share(max_connections: int, domain_count: int) -> int:
    """Return how many connections to a target the owner of one domain may have."""
    part, whole = SHARED_PART
    usable = max_connections - RESERVED_CONNECTIONS
    return max(1, usable * part // whole // max(domain_count, 1))


def first_share(max_connections: int, domain_count: int) -> int:
    """Return how many connections an owner may have at first.

    The target may still hold the full share of a previous owner whose host lost power,
    in each domain, and only the part for direct connections is free.
    """
    domain_count = max(domain_count, 1)
    taken = domain_share(max_connections, domain_count) * domain_count
    usable = max_connections - RESERVED_CONNECTIONS
    return max(1, (usable - taken) // domain_count)


class ShareLimiter:
    """Limits the connections of one owner to each target.

    Answers an owner that replaces one whose connections the target still holds, and two
    instances that both believe to be the owner: their connections together exceed the
    limit of the target, which then rejects both.
    """

    def __init__(self) -> None:
        self._owned_since_by_target: dict[str, timedelta] = {}
        self._reduced_by_target: dict[str, tuple[int, timedelta]] = {}

    def set_owned(self, target_id: str, since: timedelta | None) -> None:
        """Record since when this instance owns a target by its own view.

        ``since`` is ``None`` if another instance is the owner.
        """
        if since is None:
            self._owned_since_by_target.pop(target_id, None)
        else:
            self._owned_since_by_target.setdefault(target_id, since)

    def retain_only(self, target_ids: Iterable[str]) -> None:
        """Drop what is known about all targets except ``target_ids``."""
        kept = set(target_ids)
        for by_target in (self._owned_since_by_target, self._reduced_by_target):
            for target_id in by_target.keys() - kept:
                del by_target[target_id]

    def record_too_many(self, target_id: str, open_count: int, now: timedelta) -> None:
        """Record that a target rejected a connection while ``open_count`` were open."""
        part, whole = SHRINK_PART
        limit = max(1, open_count * part // whole)
        self._reduced_by_target[target_id] = (limit, now)

    def allowance(
        self, target_id: str, max_connections: int, domain_count: int, now: timedelta
    ) -> int:
        """Return how many connections this instance may have to a target as owner."""
        owned_since = self._owned_since_by_target.get(target_id)
        if owned_since is None or now - owned_since < ORPHANED_CONNECTION_LIFETIME:
            allowed = first_share(max_connections, domain_count)
        else:
            allowed = domain_share(max_connections, domain_count)
        reduced = self._reduced_by_target.get(target_id)
        if reduced is None:
            return allowed
        limit, reduced_at = reduced
        grown = limit + (now - reduced_at) // GROWTH_INTERVAL
        if grown >= allowed:
            del self._reduced_by_target[target_id]
        return min(allowed, grown)


class OwnerChoice(NamedTuple):
    """The owner to ask, empty if there is none, and others to connect to meanwhile.

    ``returning`` failed earlier and come first in the order. They are asked again once
    a connection to them works, so that no statement waits for one that is still silent.
    """

    name: str
    returning: tuple[str, ...] = ()


class OwnerChooser:
    """Chooses the owner of a target by rendezvous hashing over a domain's instances.

    Answers an owner that is lost, frozen or cut off while it still counts as a member,
    which takes several seconds: it is skipped for ``SKIP_TIME`` and the next one in the
    order is asked. All instances skip it, so they meet at the same next one.
    """

    def __init__(self) -> None:
        self._names: frozenset[str] = frozenset()
        self._order_by_target: dict[str, list[str]] = {}
        self._skipped_until_by_name: dict[str, timedelta] = {}
        self._last_loss_at = timedelta()

    def update_members(self, names: Iterable[str], now: timedelta) -> None:
        """Set the instances of the domain, with this one if it may be an owner."""
        current = frozenset(names)
        if current == self._names:
            return
        if not current.issuperset(self._names) or not self._names:
            self._last_loss_at = now
        self._names = current
        self._order_by_target.clear()
        for name in self._skipped_until_by_name.keys() - current:
            del self._skipped_until_by_name[name]

    def order(self, target_id: str) -> list[str]:
        """Return the instances in the order in which they may own a target."""
        order = self._order_by_target.get(target_id)
        if order is None:
            order = sorted(
                self._names,
                key=lambda name: (_weight(target_id, name), name),
            )
            self._order_by_target[target_id] = order
        return order

    def owned_since(
        self, target_id: str, name: str, now: timedelta
    ) -> timedelta | None:
        """Return since when an instance owns a target, ``None`` if it does not.

        The first in the order has been the owner at least since the last instance left,
        whether or not anybody asked it for the target. Another one owns a target from
        now on, because the first is skipped.
        """
        if self.choose(target_id, now).name != name:
            return None
        return self._last_loss_at if self.order(target_id)[0] == name else now

    def record_failure(self, name: str, now: timedelta) -> None:
        """Skip an instance that is silent, refuses or cannot be connected to."""
        self._skipped_until_by_name[name] = now + SKIP_TIME

    def is_skipped(self, name: str, now: timedelta) -> bool:
        """Return whether an instance is not asked at present."""
        return now < self._skipped_until_by_name.get(name, timedelta())

    def record_contact(self, name: str, now: timedelta) -> None:
        """Record that a connection to an instance works."""
        skipped_until = self._skipped_until_by_name.get(name)
        if skipped_until is not None and now >= skipped_until:
            del self._skipped_until_by_name[name]

    def choose(
        self, target_id: str, now: timedelta, tried: Iterable[str] = ()
    ) -> OwnerChoice:
        """Return the owner to ask that is not in ``tried``."""
        returning: list[str] = []
        for name in self.order(target_id):
            if name in tried:
                continue
            skipped_until = self._skipped_until_by_name.get(name)
            if skipped_until is None:
                return OwnerChoice(name, tuple(returning))
            if now >= skipped_until:
                returning.append(name)
        return OwnerChoice("", tuple(returning))


def _weight(target_id: str, name: str) -> int:
    return int(xxhash.xxh64_intdigest(f"{target_id}\0{name}".encode()))
