"""Invariant 7: no account exceeds its rate and burst over all instances."""

import hypothesis.strategies as st
import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from bulrushloom.coordination.limits.base import AccountLimit
from bulrushloom.coordination.limits.buckets import ShareBucket
from bulrushloom.coordination.limits.client import ShareClient
from bulrushloom.coordination.limits.election import HolderElection
from bulrushloom.coordination.limits.electorate import LEASE_DURATION
from bulrushloom.coordination.limits.holder import ShareHolder
from tests.coordination.limits.builders import Fleet, Network, seconds

LIMITS = {"large": AccountLimit(40, 30), "small": AccountLimit(8, 4)}
DOMAIN_SIZES = {"a": 3, "b": 2}
INSTANCES = ["a0", "a1", "a2", "b0", "b1"]
# Bucket levels are computed from rates and seconds with floating-point rounding.
TOLERANCE_TOKENS = 1e-6


class LimitMachine(RuleBasedStateMachine):
    """Run a fleet through lost messages, pauses, restarts, partitions and outages."""

    holder_class = ShareHolder
    client_class = ShareClient

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.fleet = Fleet(
            DOMAIN_SIZES, LIMITS, seed, self.holder_class, self.client_class
        )
        self.fleet.run(3)

    @rule(duration=st.sampled_from([0.05, 0.3, 1.0, 6.0]))
    def advance(self, duration):
        self.fleet.run(duration)

    @rule(
        name=st.sampled_from(INSTANCES),
        account=st.sampled_from(sorted(LIMITS)),
        count=st.sampled_from([3, 40]),
        gap=st.sampled_from([0.0, 0.01]),
    )
    def call(self, name, account, count, gap):
        for index in range(count):
            self.fleet.at(
                self.fleet.now + seconds(index * gap),
                lambda: self.fleet.request(name, account),
            )
        self.fleet.run(0.2)

    @rule(account=st.sampled_from(sorted(LIMITS)))
    def call_everywhere(self, account):
        for name in INSTANCES:
            self.fleet.burst(name, account, 30)
        self.fleet.run(0.4)

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.5]),
        doubling=st.sampled_from([0.0, 0.5]),
        max_delay=st.sampled_from([0.002, 0.1, 1.5]),
    )
    def change_network(self, loss, doubling, max_delay):
        self.fleet.network = self.fleet.network._replace(
            loss=loss, doubling=doubling, max_delay=max_delay
        )

    @rule(up=st.booleans(), lost=st.sampled_from([0.0, 0.5]))
    def change_store(self, up, lost):
        self.fleet.network = self.fleet.network._replace(store_up=up, store_lost=lost)

    @rule()
    def heal(self):
        self.fleet.network = Network()
        self.fleet.cut.clear()

    @rule(name=st.sampled_from([*DOMAIN_SIZES, *INSTANCES]))
    def cut(self, name):
        self.fleet.cut.symmetric_difference_update({name})

    @rule(domain=st.sampled_from(sorted(DOMAIN_SIZES)))
    def cut_off_a_holder(self, domain):
        """Isolate a holder that keeps running until a successor takes over."""
        self.heal()
        self.fleet.cut.update(self.fleet.holders(domain))
        self.fleet.run(5)

    @rule(name=st.sampled_from(INSTANCES), duration=st.sampled_from([0.4, 1.5, 4.0]))
    def pause(self, name, duration):
        self.fleet.pause(name, duration)

    @rule(name=st.sampled_from(INSTANCES))
    def restart(self, name):
        self.fleet.restart(name)

    @rule(name=st.sampled_from(INSTANCES))
    def drain_and_restart(self, name):
        self.fleet.drain(name)
        self.fleet.run(0.1)
        self.fleet.restart(name)

    @invariant()
    def no_account_exceeds_its_rate_and_burst(self):
        for account in LIMITS:
            assert self.fleet.excess(account) <= TOLERANCE_TOKENS


TestLimitMachine = LimitMachine.TestCase
TestLimitMachine.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=25,
    suppress_health_check=[HealthCheck.too_slow],
)


class OutstandingIgnoringBucket(ShareBucket):
    """Refill as if granted tokens were spent immediately."""

    def advance(self, now):
        outstanding, self.outstanding = self.outstanding, 0.0
        super().advance(now)
        self.outstanding = outstanding


class OutstandingIgnoringHolder(ShareHolder):
    """Ignore outstanding tokens when refilling."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._issuer.bucket_class = OutstandingIgnoringBucket


class UndebitedLoanBucket(ShareBucket):
    """Lend tokens without debiting them."""

    def lend(self, key, tokens, expires):
        level, outstanding = self.level, self.outstanding
        lent = super().lend(key, tokens, expires)
        self.level, self.outstanding = level, outstanding
        return lent


class UndebitedLoanHolder(ShareHolder):
    """Credit the borrower without debiting the lender."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._issuer.bucket_class = UndebitedLoanBucket


class UnconfirmedLeaseElection(HolderElection):
    """Assume a valid lease without confirmations of the electorate."""

    def lease_until(self, now):
        return now + LEASE_DURATION if self.holding else None


class UnconfirmedLeaseHolder(ShareHolder):
    """Continue to grant after a pause or while cut off."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._election.__class__ = UnconfirmedLeaseElection


class DuplicateCreditingClient(ShareClient):
    """Credit duplicate grants again."""

    def _credit_grant(self, sender, grant, now):
        request = self._requests.find(sender, grant.sequence)
        demand = request and request.demand_by_account.get(grant.account)
        effects = super()._credit_grant(sender, grant, now)
        if demand is not None:
            request.demand_by_account[grant.account] = demand
        return effects


class ExpiredTokenClient(ShareClient):
    """Spend tokens after they have expired."""

    max_grant_age = seconds(3600)

    def _credit_grant(self, sender, grant, now):
        return super()._credit_grant(sender, grant._replace(lifetime_ms=60_000), now)

    def tick(self, now):
        for tokens in self._tokens_by_account.values():
            tokens.return_idle_tokens = lambda now: []
        return super().tick(now)


def fill(sizes, holder_class, client_class):
    """Return a fleet with full buckets, the name of a holder and of a non-holder."""
    fleet = Fleet(sizes, LIMITS, 1, holder_class, client_class)
    fleet.run(6)
    holder = fleet.holders("a")[0]
    others = [name for name in fleet.nodes if name != holder]
    return fleet, holder, others[0]


def spend_slow_grants_and_the_refill(*classes):
    fleet, holder, other = fill({"a": 3}, *classes)
    fleet.network = Network(min_delay=0.13, max_delay=0.13)
    fleet.burst(other, "large", 30)
    fleet.run(0.255)
    fleet.burst(holder, "large", 30)
    fleet.run(1)
    return fleet


def spend_in_two_domains(*classes):
    fleet, _, _ = fill({"a": 1, "b": 1}, *classes)
    fleet.burst("a0", "large", 30)
    fleet.run(0.05)
    fleet.burst("b0", "large", 30)
    fleet.run(1)
    return fleet


def spend_beside_a_holder_that_is_cut_off(*classes):
    fleet, holder, other = fill({"a": 3}, *classes)
    fleet.cut = {holder}
    fleet.run(6)
    fleet.burst(holder, "large", 30)
    fleet.burst(other, "large", 30)
    fleet.run(1)
    return fleet


def spend_duplicate_grants(*classes):
    fleet, _, other = fill({"a": 3}, *classes)
    fleet.network = Network(doubling=1.0, max_delay=0.002)
    fleet.burst(other, "large", 40)
    fleet.run(1)
    return fleet


def spend_after_a_pause(*classes):
    fleet, holder, other = fill({"a": 3}, *classes)
    for index in range(36):
        fleet.at(fleet.now + seconds(index / 36), lambda: fleet.request(other, "large"))
    fleet.run(1)
    # The entry has tokens that were granted in advance of demand.
    fleet.pause(other, 3)
    fleet.run(3.02)
    fleet.burst(holder, "large", 30)
    fleet.burst(other, "large", 30)
    fleet.run(1)
    return fleet


SCENARIOS = [
    (OutstandingIgnoringHolder, ShareClient, spend_slow_grants_and_the_refill),
    (UndebitedLoanHolder, ShareClient, spend_in_two_domains),
    (UnconfirmedLeaseHolder, ShareClient, spend_beside_a_holder_that_is_cut_off),
    (ShareHolder, DuplicateCreditingClient, spend_duplicate_grants),
    (ShareHolder, ExpiredTokenClient, spend_after_a_pause),
]


@pytest.mark.parametrize(("holder_class", "client_class", "scenario"), SCENARIOS)
def test_broken_variant_exceeds_what_the_real_objects_keep(
    holder_class, client_class, scenario
):
    real = scenario(ShareHolder, ShareClient)
    assert len(real.spent["large"]) >= 20
    assert real.excess("large") <= TOLERANCE_TOKENS
    assert scenario(holder_class, client_class).excess("large") > 0.5
