"""Requests within the rate and burst are granted, with bounded control traffic."""

from itertools import cycle

import pytest

from bulrushloom.coordination.limits.base import (
    AccountLimit,
    TokenGranted,
    TokenRefused,
)
from bulrushloom.coordination.limits.baselines import (
    StaticShareClient,
    UnlimitedShareClient,
)
from tests.coordination.limits.builders import Fleet, Network, seconds

INSTANCES_OF_A = ["a0", "a1", "a2", "a3"]
DOMAIN_SIZES = {"a": 4, "b": 4, "c": 3, "d": 3}
MAX_BYTES_PER_SECOND = 24 * 1024


def loaded_fleet(rate, burst, sizes=DOMAIN_SIZES):
    fleet = Fleet(sizes, {"x": AccountLimit(rate, burst)})
    fleet.run(6)
    return fleet


def call_evenly(fleet, names, rate, duration):
    """Send requests at ``rate``, in turn to the instances that accept them."""
    start, order = fleet.now, cycle(names)

    def call():
        serving = (fleet.nodes[name] for name in order)
        node = next(n for n in serving if n.alive and not n.leaving)
        fleet.request(node.name, "x")

    for index in range(int(rate * duration)):
        fleet.at(start + seconds(index / rate), call)
    fleet.run(duration + 0.5)


@pytest.mark.parametrize(
    ("rate", "burst"), [(200, 100), (600, 50), (200, 14), (50, 5), (10, 2)]
)
@pytest.mark.parametrize("entries", ["all", "one domain", "one instance"])
def test_no_request_inside_the_rate_is_refused(rate, burst, entries):
    fleet = loaded_fleet(rate, burst)
    names = {
        "all": list(fleet.nodes),
        "one domain": [n.name for n in fleet.nodes.values() if n.domain == "b"],
        "one instance": ["c2"],
    }
    call_evenly(fleet, names[entries], rate, 3)
    assert not fleet.refused
    assert len(fleet.spent["x"]) == int(rate * 3)


@pytest.mark.parametrize("burst", [100, 14, 5])
def test_whole_burst_is_granted_to_one_instance(burst):
    """Guards against loans that arrive too late for a burst at one instance."""
    fleet = loaded_fleet(100, burst)
    fleet.burst("d0", "x", burst)
    fleet.run(0.5)
    assert not fleet.refused


def test_tokens_left_idle_at_an_entry_serve_others():
    """Guards against idle tokens that other entries lack until they expire."""
    fleet = loaded_fleet(40, 40, {"a": 3})
    for name in ("a0", "a1", "a2", "a0"):
        fleet.burst(name, "x", 38)
        fleet.run(0.05)
        fleet.burst(name, "x", 2)
        fleet.run(1.2)
    assert not fleet.refused


def test_account_over_its_rate_still_gets_its_rate():
    fleet = loaded_fleet(100, 20)
    call_evenly(fleet, list(fleet.nodes), 500, 4)
    assert len(fleet.spent["x"]) >= 400
    assert all(retry > seconds(0) for retry in fleet.retry_delays)


def test_rolling_restart_refuses_nothing():
    """Guards against a drain that does not hand the share over (invariant 12)."""
    fleet = loaded_fleet(100, 50)
    for index, name in enumerate(list(fleet.nodes)):
        at = fleet.now + seconds(index * 1.5)
        fleet.at(at, lambda name=name: fleet.drain(name))
        fleet.at(at + seconds(1), lambda name=name: fleet.restart(name))
    call_evenly(fleet, list(fleet.nodes), 90, 21)
    assert not fleet.refused


@pytest.mark.parametrize("fault", ["kill", "pause"])
def test_loss_of_a_holder_is_covered_by_other_domains(fault):
    fleet = loaded_fleet(100, 50)
    holder = fleet.holders("a")[0]
    others = [name for name in fleet.nodes if name != holder]
    if fault == "kill":
        fleet.kill(holder)
    else:
        fleet.pause(holder, 4)
    call_evenly(fleet, others, 80, 8)
    assert not fleet.refused
    assert fleet.holders("a") not in ([], [holder])


def test_store_outage_changes_nothing_while_holders_live():
    fleet = loaded_fleet(100, 50)
    calls = fleet.store_calls
    fleet.network = Network(store_up=False)
    call_evenly(fleet, list(fleet.nodes), 100, 8)
    assert not fleet.refused
    assert fleet.store_calls == calls


def test_domain_without_a_holder_borrows_during_a_store_outage():
    fleet = loaded_fleet(100, 50)
    holder = fleet.holders("a")[0]
    fleet.network = Network(store_up=False)
    fleet.kill(holder)
    fleet.run(5)
    assert not fleet.holders("a")
    call_evenly(fleet, [n for n in INSTANCES_OF_A if n != holder], 60, 4)
    assert not fleet.refused


def test_domain_that_is_cut_off_keeps_its_part_of_the_rate():
    fleet = loaded_fleet(80, 80)
    fleet.cut = {"a"}
    fleet.run(1)
    call_evenly(fleet, INSTANCES_OF_A, 19, 5)
    assert not fleet.refused


def test_single_instance_grants_its_whole_rate():
    fleet = loaded_fleet(50, 10, {"a": 1})
    call_evenly(fleet, ["a0"], 50, 3)
    assert not fleet.refused


@pytest.mark.parametrize("load", [1, 5])
def test_control_traffic_is_bounded(load):
    """Guards against one message per request or per waiting caller."""
    fleet = loaded_fleet(200, 100)
    fleet.sizes.clear()
    call_evenly(fleet, list(fleet.nodes), 200 * load, 5)
    for name in fleet.nodes:
        sizes = [sum(s) for (node, _), s in fleet.sizes.items() if node == name]
        assert sum(sizes) / 5 < MAX_BYTES_PER_SECOND


def test_static_split_refuses_skewed_demand_and_unlimited_refuses_nothing():
    """Shows that the baselines refuse too much or too little."""
    static, unlimited = StaticShareClient(10), UnlimitedShareClient()
    static.update_accounts({"x": AccountLimit(10, 10)}, 1, seconds(0))
    now = seconds(20)
    assert static.acquire("1", "x", now) == [TokenGranted("1")]
    assert static.acquire("2", "x", now) == [TokenRefused("2", seconds(1))]
    assert isinstance(static.acquire("3", "unknown", now)[0], TokenRefused)
    for index in range(100):
        request_id = str(index)
        assert unlimited.acquire(request_id, "x", now) == [TokenGranted(request_id)]
