"""Known instances of the fleet, and target ownership.

The owner of a target is the instance that runs the statements of the target. The owners
of the targets of a group are also its watchers, which replace a failed primary.
"""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.membership.utils import rendezvous_order
from bulrushloom.directories.base import InstanceEntry
from bulrushloom.rules.base import TargetRule

# An instance that did not answer is skipped for this long, or until a message from it
# arrives.
UNREACHABLE_PERIOD = timedelta(seconds=2)

# Time for which an identity from a peer's own message takes precedence over the
# platform's list, which lags behind.
OBSERVED_IDENTITY_TTL = timedelta(seconds=30)

# Number of watchers of a group: one for each target of a group of three.
WATCHERS_PER_GROUP = 3


class _ObservedPeer(NamedTuple):
    entry: InstanceEntry
    seen_at: timedelta


class InstanceTable:
    """Combine the platform's delayed instance list with locally observed state."""

    def __init__(self, local_entry: InstanceEntry):
        self.local_entry = local_entry
        self.instance_by_name: dict[str, InstanceEntry] = {
            local_entry.name: local_entry
        }
        self._unreachable_until_by_name: dict[str, timedelta] = {}
        self._draining: set[str] = set()
        self._observed_by_name: dict[str, _ObservedPeer] = {}
        self._local_owners_by_domain: dict[str, dict[str, list[str]]] = {}

    def update(self, entries: Iterable[InstanceEntry], now: timedelta) -> None:
        """Replace the list, but keep the local entry and recently observed peers."""
        instance_by_name = {entry.name: entry for entry in entries}
        for name, peer in list(self._observed_by_name.items()):
            listed = instance_by_name.get(name)
            if now - peer.seen_at > OBSERVED_IDENTITY_TTL or listed == peer.entry:
                del self._observed_by_name[name]
            elif listed is None or listed.incarnation != peer.entry.incarnation:
                instance_by_name[name] = peer.entry
        instance_by_name[self.local_entry.name] = self.local_entry
        self._draining &= set(instance_by_name)
        self._replace_instances(instance_by_name)

    def observe_peer(
        self, name: str, domain: str, incarnation: str, address: str, now: timedelta
    ) -> bool:
        """Record the identity in a peer's message; return whether it was unknown."""
        known = self.instance_by_name.get(name)
        if known is not None and (known.incarnation, known.address) == (
            incarnation,
            address,
        ):
            return False
        entry = InstanceEntry(name, domain, address, incarnation, False)
        self._observed_by_name[name] = _ObservedPeer(entry, now)
        self._replace_instances(self.instance_by_name | {name: entry})
        return True

    def _replace_instances(self, instance_by_name: dict[str, InstanceEntry]) -> None:
        changed = set(instance_by_name.items()) ^ set(self.instance_by_name.items())
        self.instance_by_name = instance_by_name
        self._invalidate_owners({entry.domain for _, entry in changed})

    def set_draining(self, name: str, draining: bool) -> None:
        """Record the draining state that an instance announces itself.

        It is known earlier than from the platform's list.
        """
        if draining == (name in self._draining):
            return
        if draining:
            self._draining.add(name)
        else:
            self._draining.discard(name)
        entry = self.instance_by_name.get(name)
        if entry is not None:
            self._invalidate_owners({entry.domain})

    def mark_unreachable(self, name: str, now: timedelta) -> None:
        """Skip ``name`` for ``UNREACHABLE_PERIOD``."""
        self._unreachable_until_by_name[name] = now + UNREACHABLE_PERIOD

    def mark_reachable(self, name: str) -> None:
        """Stop skipping ``name``, because a message from it has arrived."""
        self._unreachable_until_by_name.pop(name, None)

    def is_reachable(self, name: str, now: timedelta) -> bool:
        """Return whether ``name`` is not currently marked as unreachable."""
        until = self._unreachable_until_by_name.get(name)
        return until is None or now >= until

    def is_leaving(self, name: str) -> bool:
        """Return whether the platform or the instance itself reports that it leaves."""
        return name in self._draining or self.instance_by_name[name].leaving

    def owners(self, target: TargetRule) -> list[str]:
        """Return all instances by descending priority as owners of ``target``.

        Instances in the failure domain of the target come first. Leaving instances
        come last instead of being excluded, so that the only instance of a fleet
        still serves.
        """
        local = self._local_owners(target)
        order = rendezvous_order(target.name, set(self.instance_by_name) - set(local))
        return local + sorted(order, key=self.is_leaving)

    def reachable_owner(self, target: TargetRule, now: timedelta) -> str | None:
        """Return the first owner that is not marked as unreachable."""
        for name in self._local_owners(target):
            if self.is_reachable(name, now):
                return name
        for name in self.owners(target):
            if self.is_reachable(name, now):
                return name
        return None

    def watchers(self, targets: Iterable[TargetRule], now: timedelta) -> list[str]:
        """Return the watchers of a group, the owners of its targets, in rank order.

        An unreachable owner is replaced by the next one, so that a group keeps its
        watchers while the platform's list is out of date.
        """
        owners = (self.reachable_owner(target, now) for target in targets)
        return list(dict.fromkeys(name for name in owners if name is not None))

    def by_domain(self, domain: str) -> list[InstanceEntry]:
        """Return the instances of one failure domain."""
        return [
            entry for entry in self.instance_by_name.values() if entry.domain == domain
        ]

    def _local_owners(self, target: TargetRule) -> list[str]:
        """Return the instances of the target's domain that are not leaving, ranked.

        The rendezvous order is cached until the domain changes: ranking the whole
        fleet for every target takes a second at 730 instances.
        """
        order_by_target = self._local_owners_by_domain.setdefault(target.domain, {})
        order = order_by_target.get(target.name)
        if order is None:
            remaining = (
                entry.name
                for entry in self.by_domain(target.domain)
                if not self.is_leaving(entry.name)
            )
            order = rendezvous_order(target.name, remaining)
            order_by_target[target.name] = order
        return order

    def _invalidate_owners(self, domains: Iterable[str]) -> None:
        for domain in domains:
            self._local_owners_by_domain.pop(domain, None)
