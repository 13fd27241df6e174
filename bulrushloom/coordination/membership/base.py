"""Live instances and the owners of targets."""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.membership.utils import rendezvous_order
from bulrushloom.directories.base import InstanceEntry
from bulrushloom.rules.base import TargetRule

# An instance that failed to answer is passed over for this long, unless it is heard.
UNREACHABLE_PERIOD = timedelta(seconds=2)

# An identity learned from a peer's own message goes before the platform's lagging
# list for this long.
HEARD_PERIOD = timedelta(seconds=30)

# Instances that watch one group: one for each target of a group of three.
WATCHERS_PER_GROUP = 3


class _Heard(NamedTuple):
    entry: InstanceEntry
    at: timedelta


class InstanceTable:
    """Combine the platform's lagging list with local evidence of reachability."""

    def __init__(self, own: InstanceEntry):
        self.own = own
        self.instance_by_name: dict[str, InstanceEntry] = {own.name: own}
        self._unreachable_until_by_name: dict[str, timedelta] = {}
        self._draining: set[str] = set()
        self._heard_by_name: dict[str, _Heard] = {}
        self._near_by_domain: dict[str, dict[str, list[str]]] = {}

    def update(self, entries: Iterable[InstanceEntry], now: timedelta) -> None:
        """Replace the list; the own entry and those heard lately stay in it."""
        instance_by_name = {entry.name: entry for entry in entries}
        for name, heard in list(self._heard_by_name.items()):
            listed = instance_by_name.get(name)
            if now - heard.at > HEARD_PERIOD or listed == heard.entry:
                del self._heard_by_name[name]
            elif listed is None or listed.incarnation != heard.entry.incarnation:
                instance_by_name[name] = heard.entry
        instance_by_name[self.own.name] = self.own
        self._draining &= set(instance_by_name)
        self._replace(instance_by_name)

    def observe_peer(
        self, name: str, domain: str, incarnation: str, address: str, now: timedelta
    ) -> bool:
        """Learn who a peer is from its own message; return whether that is news."""
        known = self.instance_by_name.get(name)
        if known is not None and (known.incarnation, known.address) == (
            incarnation,
            address,
        ):
            return False
        entry = InstanceEntry(name, domain, address, incarnation, False)
        self._heard_by_name[name] = _Heard(entry, now)
        self._replace(self.instance_by_name | {name: entry})
        return True

    def _replace(self, instance_by_name: dict[str, InstanceEntry]) -> None:
        changed = set(instance_by_name.items()) ^ set(self.instance_by_name.items())
        self.instance_by_name = instance_by_name
        self._forget_owners({entry.domain for _, entry in changed})

    def set_draining(self, name: str, draining: bool) -> None:
        """Note what an instance says about itself, ahead of the platform's list."""
        if draining == (name in self._draining):
            return
        if draining:
            self._draining.add(name)
        else:
            self._draining.discard(name)
        entry = self.instance_by_name.get(name)
        if entry is not None:
            self._forget_owners({entry.domain})

    def mark_unreachable(self, name: str, now: timedelta) -> None:
        """Pass over ``name`` for ``UNREACHABLE_PERIOD``."""
        self._unreachable_until_by_name[name] = now + UNREACHABLE_PERIOD

    def mark_reachable(self, name: str) -> None:
        """Use ``name`` again: a message from it has arrived."""
        self._unreachable_until_by_name.pop(name, None)

    def is_reachable(self, name: str, now: timedelta) -> bool:
        """Return whether nothing speaks against sending to ``name``."""
        until = self._unreachable_until_by_name.get(name)
        return until is None or now >= until

    def is_leaving(self, name: str) -> bool:
        """Return whether the platform or the instance itself says it is leaving."""
        return name in self._draining or self.instance_by_name[name].leaving

    def owners(self, target: TargetRule) -> list[str]:
        """Return all instances in the order in which they own ``target``.

        Instances in the failure domain of the target come first; those that are
        leaving come last, so that an instance alone in the fleet still serves.
        """
        near = self._near_owners(target)
        order = rendezvous_order(target.name, set(self.instance_by_name) - set(near))
        return near + sorted(order, key=self.is_leaving)

    def reachable_owner(self, target: TargetRule, now: timedelta) -> str | None:
        """Return the first owner that nothing speaks against."""
        for name in self._near_owners(target):
            if self.is_reachable(name, now):
                return name
        for name in self.owners(target):
            if self.is_reachable(name, now):
                return name
        return None

    def watchers(self, targets: Iterable[TargetRule], now: timedelta) -> list[str]:
        """Return the watchers of a group in rank order: the owners of its targets.

        An owner that cannot be reached is replaced by the next one, so that a group
        keeps its watchers while the platform's list lags.
        """
        owners = (self.reachable_owner(target, now) for target in targets)
        return list(dict.fromkeys(name for name in owners if name is not None))

    def by_domain(self, domain: str) -> list[InstanceEntry]:
        """Return the listed instances of one failure domain."""
        return [
            entry for entry in self.instance_by_name.values() if entry.domain == domain
        ]

    def _near_owners(self, target: TargetRule) -> list[str]:
        """Return the staying instances of the target's domain in rendezvous order.

        They are ranked once for each change of their domain: ranking the whole fleet
        for every target takes a second at 730 instances.
        """
        order_by_target = self._near_by_domain.setdefault(target.domain, {})
        order = order_by_target.get(target.name)
        if order is None:
            staying = (
                entry.name
                for entry in self.by_domain(target.domain)
                if not self.is_leaving(entry.name)
            )
            order = rendezvous_order(target.name, staying)
            order_by_target[target.name] = order
        return order

    def _forget_owners(self, domains: Iterable[str]) -> None:
        for domain in domains:
            self._near_by_domain.pop(domain, None)
