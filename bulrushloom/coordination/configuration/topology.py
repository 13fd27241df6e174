"""Who reads the store and who asks whom, within the fleet."""

import random
from collections import defaultdict
from collections.abc import Mapping

from bulrushloom.coordination.membership.utils import rendezvous_order

READERS = 2
# Instances that read the store while the readers' confirmations do not arrive.
SUBSTITUTE_READERS = 4
# Instances that ask the same two parents. With all 122 instances of a domain asking
# its two readers, a reader would exceed its 24 KB/s of control traffic.
CHILDREN = 8
RANDOM_PEERS = 2
# Readers of other domains that a reader asks each round.
REMOTE_READERS = 2


class Topology:
    """Rank the instances of each domain and derive a tree below its readers.

    The instances of a domain form levels of 2, 8, 32, ... in rendezvous order. Each
    pair of one level serves 8 instances of the next.
    """

    def __init__(self, name: str, domain: str):
        self._name = name
        self._domain = domain
        self._ranked_by_domain: dict[str, list[str]] = {domain: [name]}
        self._peers: list[str] = []
        self.update({})

    def update(self, domain_by_name: Mapping[str, str]) -> None:
        """Replace the list of instances; the own instance always counts."""
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
        return self.rank < READERS

    @property
    def domains(self) -> frozenset[str]:
        """Return the domains that have instances, the own one included."""
        return frozenset(self._ranked_by_domain)

    def parents(self) -> list[str]:
        """Return whom this instance asks: for a reader, its fellow reader."""
        ranked = self._ranked_by_domain[self._domain]
        if self.is_reader:
            return [name for name in ranked[:READERS] if name != self._name]
        first = (self.rank - READERS) // CHILDREN * READERS
        return ranked[first : first + READERS]

    def children(self) -> list[str]:
        """Return the instances that ask this one."""
        ranked = self._ranked_by_domain[self._domain]
        first = self.rank // READERS * CHILDREN + READERS
        return ranked[first : first + CHILDREN]

    def remote_readers(self) -> list[str]:
        """Return the readers of the other domains."""
        return [
            name
            for domain, ranked in self._ranked_by_domain.items()
            if domain != self._domain
            for name in ranked[:READERS]
        ]

    def ping_recipients(self, source: random.Random) -> list[str]:
        """Return whom to ask in one round."""
        if self.is_reader:
            others = _sample(source, self.remote_readers(), REMOTE_READERS)
        else:
            others = _sample(source, self._peers, RANDOM_PEERS)
        return list(dict.fromkeys([*self.parents(), *others]))

    def push_recipients(self, source: random.Random) -> list[str]:
        """Return whom to tell about a new version at once."""
        others = _sample(source, self._peers, RANDOM_PEERS)
        if self.is_reader:
            others += self.parents() + self.remote_readers()
        return list(dict.fromkeys([*self.children(), *others]))


def _sample(source: random.Random, names: list[str], count: int) -> list[str]:
    return source.sample(names, min(count, len(names)))
