"""Random releases during which the store returns from a copy of an earlier moment.

The seed draws how the primaries are replaced, the moment of the copy, what follows it,
and what is lost at the return. ``BULRUSHLOOM_RETURN_SEEDS`` sets the number of seeds.
"""

import os
from contextlib import ExitStack
from random import Random

import pytest

from tests.proxy.builders import ms
from tests.proxy.fleet_builders import LateOrder, SimulatedFleet
from tests.proxy.release_builders import (
    CAUSES,
    CONDITION_BY_STEP,
    Loss,
    Release,
    place_servers,
)

SEEDS = int(os.environ.get("BULRUSHLOOM_RETURN_SEEDS", "24"))
FIRST_SEED = int(os.environ.get("BULRUSHLOOM_FIRST_RETURN_SEED", "1"))


class RandomReturn:
    """One random release with a return of the store."""

    def __init__(self, release, rng):
        self.release = release
        self.rng = rng
        # Servers that all have received the commits of the latest primary.
        self.deaf_ids = []

    def milliseconds(self, longest):
        return ms(self.rng.uniform(0, longest))

    def run(self):
        """Release servers, return the store, and check the promotions."""
        release, rng = self.release, self.rng
        release.join()
        for _ in range(rng.randint(0, 1)):
            release.change_primary(rng.choice(CAUSES))
            release.join()
        order = None
        if rng.random() < 0.2:
            order = LateOrder(release.fleet, self.milliseconds(8000))
        copy, old_id = release.copy_at(
            rng.choice(CAUSES), rng.choice([*CONDITION_BY_STEP])
        )
        if order is None:
            self.go_on(old_id)
        copies = [copy]
        for _ in range(rng.choice([1, 1, 1, 2])):
            release.lose(rng.choice(copies), self.draw_loss())
            copies.append(release.fleet.store.copy())
            # The next return, if any, comes during or after the recovery.
            release.write_for(self.milliseconds(4000))
        for server_id in self.deaf_ids:
            release.group.server_by_id[server_id].drops_replication = False
        release.serve_again()
        release.check()

    def go_on(self, old_id):
        """Let a random part of the release follow the copy."""
        release, rng = self.release, self.rng
        if rng.random() < 0.2:
            release.write_for(self.milliseconds(600))
            return
        release.finish_change(old_id)
        for _ in range(rng.randint(0, 2)):
            release.write_for(self.milliseconds(1500))
            if rng.random() < 0.7:
                release.join()
            release.write_for(self.milliseconds(1500))
            release.change_primary(rng.choice(CAUSES))
        if rng.random() < 0.3:
            self.silence_replica()
        release.write_for(self.milliseconds(1500))

    def silence_replica(self):
        """Cut one replica off from the primary, but not from the instances."""
        fleet = self.release.fleet
        self.deaf_ids = [self.rng.choice(sorted(self.replica_ids()))]
        for server_id in self.deaf_ids:
            self.release.group.server_by_id[server_id].drops_replication = True
        fleet.run(ms(5))

    def replica_ids(self):
        """Return the running replicas."""
        release = self.release
        return {
            server_id
            for server_id, server in release.group.server_by_id.items()
            if not server.is_primary and not server.drops_replication
        } - {release.group.promoted_id}

    def draw_loss(self):
        """Return what is lost; one server with the last commits always comes back."""
        rng, release = self.rng, self.release
        away_by_id = {}
        if rng.random() < 0.5:
            server_ids = [release.group.promoted_id, *sorted(self.replica_ids())]
            for server_id in rng.sample(server_ids, min(2, len(server_ids))):
                away_by_id[server_id] = ms(rng.uniform(300, 4000))
        kept = rng.choice([0, 0, 0, 1])
        return Loss(kept, ms(rng.uniform(20, 1500)), away_by_id)


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEEDS))
def test_no_acknowledged_commit_is_lost(seed):
    # Guards against a decision that relies on a field of the copy that no instance and
    # no server confirms.
    with ExitStack() as stack:
        release = Release(SimulatedFleet(stack, prepare=place_servers))
        RandomReturn(release, Random(seed)).run()
