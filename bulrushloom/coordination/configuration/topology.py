"""Selection of store readers, and of the peers that each instance contacts."""

import random
from collections import defaultdict
from collections.abc import Mapping

from bulrushloom.coordination.membership.utils import rendezvous_order

READERS_PER_DOMAIN = 2
# Instances per domain that read the store when the readers' confirmations are late.
SUBSTITUTE_READERS_PER_DOMAIN = 4
# Instances that ping the same two parents. If all 122 instances of a domain pinged
# its two readers, each reader would exceed its limit of 24 KB/s of control traffic.
CHILDREN_PER_PAIR = 8
RANDOM_PEER_COUNT = 2
# Readers of other domains that a reader pings in each round.
REMOTE_READER_COUNT = 2


class Topology:
    """Rank the instances of each domain and derive a tree below its readers.

    The instances of a domain form levels of 2, 8, 32, ... in rendezvous order. Each
    pair of instances on one level answers the pings of 8 instances on the next.
    """

    def __init__(self, name: str, domain: str):
        self._name = name
        self._domain = domain
        self._ranked_by_domain: dict[str, list[str]] = {domain: [name]}
        self._peers: list[str] = []
        self.update({})

    def update(self, domain_by_name: Mapping[str, str]) -> None:
        """Replace the list of instances; the local instance is always included."""
        names_by_domain: dict[str, set[str]] = defaultdict(set)
        for name, domain in domain_by_name.items():
            if name != self._name:
                names_by_domain[domain].add(name)
        self._peers = sorted(name for name in domain_by_name if name != self._name)
        names_by_domain[self._domain].add(self._name)
        self._ranked_by_domain = {
            domain: rendezvous_order(f"readers {domain}", names)
            for domain, names in sorted(names_by_domain.items())
        }
        self.rank = self._ranked_by_domain[self._domain].index(self._name)

    @property
    def is_reader(self) -> bool:
        """Return whether this instance always reads the store."""
        return self.rank < READERS_PER_DOMAIN

    @property
    def domains(self) -> frozenset[str]:
        """Return the domains that have instances, including the local domain."""
        return frozenset(self._ranked_by_domain)

    def parents(self) -> list[str]:
        """Return the instances of the domain that this one pings in every round.

        A reader pings the other readers, and other instances ping a pair on the level
        above.
        """
        ranked = self._ranked_by_domain[self._domain]
        if self.is_reader:
            return [name for name in ranked[:READERS_PER_DOMAIN] if name != self._name]
        first = (
            (self.rank - READERS_PER_DOMAIN) // CHILDREN_PER_PAIR * READERS_PER_DOMAIN
        )
        return ranked[first : first + READERS_PER_DOMAIN]

    def children(self) -> list[str]:
        """Return the instances on the level below that ping this one."""
        ranked = self._ranked_by_domain[self._domain]
        first = self.rank // READERS_PER_DOMAIN * CHILDREN_PER_PAIR + READERS_PER_DOMAIN
        return ranked[first : first + CHILDREN_PER_PAIR]

    def remote_readers(self) -> list[str]:
        """Return the readers of the other domains."""
        return [
            name
            for domain, ranked in self._ranked_by_domain.items()
            if domain != self._domain
            for name in ranked[:READERS_PER_DOMAIN]
        ]

    def ping_recipients(self, rng: random.Random) -> list[str]:
        """Return the instances to ping in one round."""
        if self.is_reader:
            others = _sample(rng, self.remote_readers(), REMOTE_READER_COUNT)
        else:
            others = _sample(rng, self._peers, RANDOM_PEER_COUNT)
        return list(dict.fromkeys([*self.parents(), *others]))

    def push_recipients(self, rng: random.Random) -> list[str]:
        """Return the instances to notify immediately of a new version."""
        others = _sample(rng, self._peers, RANDOM_PEER_COUNT)
        if self.is_reader:
            others += self.parents() + self.remote_readers()
        return list(dict.fromkeys([*self.children(), *others]))


def _sample(rng: random.Random, names: list[str], count: int) -> list[str]:
    return rng.sample(names, min(count, len(names)))
