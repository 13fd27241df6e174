"""First start of a platform whose store begins with an era above 0."""

from contextlib import ExitStack

import pytest

from bulrushloom.proxy.failover.groups import LEADER_KEY
from bulrushloom.proxy.store import Record
from tests.proxy.builders import build_account, ms
from tests.proxy.fleet_builders import SECOND, SimulatedFleet


class StartingFleet(SimulatedFleet):
    """A fleet that notes what it may serve while it starts."""

    def __init__(self, stack, era):
        self.serves_from = None
        super().__init__(stack, prepare=lambda fleet: setattr(fleet.store, "era", era))

    def run(self, duration):
        end = self.loop.now() + duration
        while self.loop.now() < end:
            super().run(ms(20))
            if self.serves_from is None and self.may_serve():
                self.serves_from = self.loop.now()

    def may_serve(self):
        """Return whether all instances may use keys and primaries."""
        now = self.loop.now()
        services = [member.services for member in self.member_by_name.values()]
        return all(
            s.store_freshness.allows_keys(now) and s.store_freshness.allows_primary(now)
            for s in services
        )


@pytest.mark.parametrize("era, limit", [(0, ms(600)), (1, SECOND * 4), (7, SECOND * 4)])
def test_first_start_serves_within_seconds(era, limit):
    # Guards against instances that wait for each other, because the leader waits for
    # reports of instances that do not have the keys of the exchange yet.
    with ExitStack() as stack:
        fleet = StartingFleet(stack, era)
        assert fleet.serves_from is not None and fleet.serves_from <= limit


def test_instance_alone_reads_a_slow_store_at_its_pace():
    # Guards against hundreds of instances that start at the same moment and keep the
    # store overloaded with their reads, so that none of them ever starts.
    def prepare(fleet):
        fleet.store.read_delay = SECOND * 2
        # The leader is still listed, and this instance has not been told of others.
        fleet.store.record_by_key[LEADER_KEY] = Record(LEADER_KEY, b"{}", 1, 0)

    with ExitStack() as stack:
        fleet = SimulatedFleet(stack, 1, prepare=prepare)
        fleet.run(SECOND * 14)
        assert fleet.store.reads <= 20 / (2 * 3) + 1


def test_first_start_does_not_assume_that_limits_are_used_up():
    # Guards against accounts that get a tenth of their limit for a whole window, as if
    # the store had lost the record of hot accounts.
    with ExitStack() as stack:
        fleets = [StartingFleet(stack, era) for era in (0, 1)]
        account = build_account(rate_per_s=20.0, burst=10.0)
        limits = [
            [
                m.services.limiter._start.reduced(account.name, 100.0, ms(0), SECOND)
                for m in fleet.members
            ]
            for fleet in fleets
        ]
        assert limits[0] == limits[1]
