"""Bytes between domains and regions, and age of what they carry, at two deployments."""

from contextlib import ExitStack
from datetime import timedelta

import pytest

from bulrushloom.proxy.limits import HEADROOM_SPREAD_TIME
from bulrushloom.proxy.store_freshness import MAX_PRIMARY_AGE
from tests.proxy.builders import build_target, ms
from tests.proxy.exchange.traffic_builders import (
    DEPLOYMENT_1,
    DEPLOYMENT_2,
    TrafficExchange,
    measure,
    measure_announcement,
    measure_usage_delays,
)

SECOND = timedelta(seconds=1)
# Bytes a second of all instances before totals went without names and were compressed,
# measured by these builders.
BEFORE = {
    DEPLOYMENT_1: {"own_region": 21_845},
    DEPLOYMENT_2: {"own_region": 37_817, "other_region": 56_725},
}

# Bytes of one announcement of a group record to all instances, measured likewise.
ANNOUNCEMENT_BEFORE = {
    DEPLOYMENT_1: {"own_region": 68_773},
    DEPLOYMENT_2: {"own_region": 27_690, "other_region": 41_535},
}


@pytest.fixture
def stack():
    with ExitStack() as stack:
        yield stack


@pytest.mark.parametrize("deployment", [DEPLOYMENT_1, DEPLOYMENT_2])
def test_bytes_between_domains_and_regions_are_halved(stack, deployment):
    # Guards against totals that repeat the names of all accounts in each report.
    sizes = measure(TrafficExchange(stack, deployment))
    for distance, before in BEFORE[deployment].items():
        assert sizes[distance] <= before / 2


@pytest.mark.parametrize("deployment", [DEPLOYMENT_1, DEPLOYMENT_2])
def test_announcement_of_a_record_is_halved(stack, deployment):
    # Guards against failovers whose announcements consist of the echoes of all others.
    sizes = measure_announcement(TrafficExchange(stack, deployment))
    for distance, before in ANNOUNCEMENT_BEFORE[deployment].items():
        assert sizes[distance] <= before / 2


@pytest.mark.parametrize("deployment", [DEPLOYMENT_1, DEPLOYMENT_2])
def test_evidence_is_not_older_than_its_bounds(stack, deployment):
    # Guards against smaller reports at the price of later ones.
    exchange = TrafficExchange(stack, deployment)
    exchange.run(SECOND * 2)
    for _ in range(20):
        exchange.run(ms(100))
        assert max(exchange.store_ages().values()) < MAX_PRIMARY_AGE
    delays = measure_usage_delays(exchange)
    assert max(delays) <= HEADROOM_SPREAD_TIME * 0.65


def test_suspicion_reaches_the_leader_at_once(stack):
    # Guards against a failover that waits for the next round of the other region.
    exchange = TrafficExchange(stack, DEPLOYMENT_2)
    exchange.run(SECOND * 3)
    leader = exchange.fleet_by_name[exchange.leader_name]
    for domain in exchange.region_by_domain:
        name = [n for n in exchange.fleet_by_name if n.startswith(domain)][-1]
        target = build_target(f"target-{domain}")
        exchange.services_by_name[name].report_failure(target, "it does not answer")
    exchange.run(ms(120))
    for domain in exchange.region_by_domain:
        assert leader.count_suspecting_domains(f"target-{domain}").suspecting == 1


def test_bytes_are_counted_by_distance(stack):
    exchange = TrafficExchange(stack, DEPLOYMENT_2)
    for name, services in exchange.services_by_name.items():
        domain = exchange.member_by_name[name].domain
        services.apply_settings(
            services.settings._replace(
                domain=domain, region_by_domain=exchange.region_by_domain
            )
        )
    exchange.bytes_by_distance.clear()
    for services in exchange.services_by_name.values():
        services.metrics._counts.clear()
    exchange.offer(SECOND * 2)
    counted = {
        distance: sum(
            services.metrics._counts["gossip_bytes_sent", distance]
            for services in exchange.services_by_name.values()
        )
        for distance in exchange.bytes_by_distance
    }
    assert counted == exchange.bytes_by_distance
