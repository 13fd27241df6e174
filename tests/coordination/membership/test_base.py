from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from bulrushloom.coordination.membership.base import (
    OBSERVED_IDENTITY_TTL,
    UNREACHABLE_PERIOD,
    InstanceTable,
)
from bulrushloom.coordination.membership.utils import rendezvous_order
from tests import builders

ZERO = timedelta()
NAMES = st.sets(st.text("abc", min_size=1, max_size=4), min_size=2, max_size=12)


def table_of(*domains):
    table = InstanceTable(builders.instance_entry("east-1", "east"))
    entries = [
        builders.instance_entry(f"{domain}-{number}", domain)
        for domain in domains
        for number in (1, 2)
    ]
    table.update(entries, ZERO)
    return table


@given(NAMES, st.data())
def test_removing_an_instance_moves_only_what_it_owned(names, data):
    gone = data.draw(st.sampled_from(sorted(names)))
    before = rendezvous_order("target", names)
    after = rendezvous_order("target", names - {gone})
    assert after == [name for name in before if name != gone]


def test_owner_is_in_the_domain_of_its_target():
    table = table_of("east", "west")
    owners = table.owners(builders.target_rule(domain="west"))
    assert [name[:4] for name in owners] == ["west", "west", "east", "east"]


def test_unreachable_owner_is_passed_over_for_a_while():
    table = table_of("east", "west")
    rule = builders.target_rule(domain="west")
    first, second = table.owners(rule)[:2]
    table.mark_unreachable(first, ZERO)
    assert table.reachable_owner(rule, ZERO) == second
    assert table.reachable_owner(rule, UNREACHABLE_PERIOD) == first
    table.mark_unreachable(first, UNREACHABLE_PERIOD)
    table.mark_reachable(first)
    assert table.reachable_owner(rule, UNREACHABLE_PERIOD) == first


def test_draining_instance_owns_nothing_while_there_are_others():
    table = table_of("east", "west")
    rule = builders.target_rule(domain="west")
    first = table.owners(rule)[0]
    table.set_draining(first, True)
    assert table.owners(rule)[-1] == first


def test_own_entry_survives_a_list_without_it():
    table = table_of("west")
    assert "east-1" in table.instance_by_name


def test_watchers_of_a_group_are_distinct():
    table = table_of("east")
    rules = builders.rule_set().targets_by_group["orders"]
    watchers = table.watchers(rules, ZERO)
    assert len(watchers) == len(set(watchers))


def test_peer_is_known_before_the_platform_lists_it():
    # Without the peer's address, its first statement could not be answered.
    table = table_of("east")
    assert table.observe_peer("west-9", "west", "run-1", "127.0.0.1:9", ZERO)
    assert not table.observe_peer("west-9", "west", "run-1", "127.0.0.1:9", ZERO)
    table.update([], ZERO)
    assert table.instance_by_name["west-9"].address == "127.0.0.1:9"
    table.update([], OBSERVED_IDENTITY_TTL + timedelta(seconds=1))
    assert "west-9" not in table.instance_by_name


def test_restarted_peer_is_known_before_the_platform_lists_it():
    table = table_of("east", "west")
    old = table.instance_by_name["west-1"]
    assert table.observe_peer("west-1", "west", "run-2", old.address, ZERO)
    table.update([old], ZERO)
    assert table.instance_by_name["west-1"].incarnation == "run-2"
