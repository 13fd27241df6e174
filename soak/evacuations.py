"""Fault of operators: the evacuation of domains, and the check that it is obeyed."""

import random
from datetime import timedelta
from typing import TYPE_CHECKING

from bulrushloom.runtime.loop import Steps
from soak.faults import Fault

if TYPE_CHECKING:
    from soak.world import World

SERVER_DOMAINS = ("north", "south", "west")
EVACUATION_BOUND = timedelta(seconds=5)
# Requests of the instances themselves: a failover needs the positions of all servers.
CONTROL_WORDS = frozenset({"STATUS", "DEMOTE", "PAUSE", "RESUME"})


class Evacuate(Fault):
    """Evacuate one, two or all domains, and end that later.

    It changes nothing of the servers, so it may coincide with a failover, but not with
    another fault that makes servers unavailable.
    """

    is_planned = True
    exclusion_tag = "server"

    def __init__(self, world: "World", rng: random.Random):
        super().__init__(world, rng)
        count = rng.choice((1, 1, 2, 3))
        self.domains = rng.sample(SERVER_DOMAINS, count)

    def describe(self) -> str:
        """Return the kind of fault and the domains."""
        return f"{type(self).__name__} {' '.join(sorted(self.domains))}"

    def run(self, duration: timedelta) -> Steps:
        """Evacuate the domains for ``duration`` beyond the bound of the request."""
        platform = self.world.platform
        for domain in self.domains:
            platform.evacuate(domain)
        binding_from = self.loop.now() + EVACUATION_BOUND
        yield self.loop.sleep(EVACUATION_BOUND + duration)
        late = [
            query
            for query in platform.group.queries
            if query.at > binding_from
            and platform.domain_of(query.server) in self.domains
            and query.text.partition(" ")[0] not in CONTROL_WORDS
        ]
        if late:
            self.world.report_violations(
                [f"EVACUATION {len(late)} late statements, first {late[0]}"]
            )
        for domain in self.domains:
            platform.end_evacuation(domain)
