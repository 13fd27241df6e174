"""Who owns the connections to a target, and how many; no I/O."""

from collections import Counter
from datetime import timedelta

import pytest

from bulrushloom.proxy.connection_allowance import (
    ORPHANED_CONNECTION_LIFETIME,
    RESERVED_CONNECTIONS,
    quota,
)
from bulrushloom.proxy.sharing.ownership import (
    GROWTH_INTERVAL,
    SKIP_TIME,
    OwnerChooser,
    ShareLimiter,
    domain_share,
    first_share,
    is_shared,
)
from tests.proxy.builders import ms

NAMES = [f"north-{number}" for number in range(49)]
# Connections of a target and domains of the two deployments.
DEPLOYMENTS = [(112, 3, 146), (70, 6, 79)]
STARTED_AT = timedelta(seconds=40)
NOW = timedelta(seconds=100)


def build_chooser(names=NAMES):
    chooser = OwnerChooser()
    chooser.update_members(names, STARTED_AT)
    return chooser


@pytest.mark.parametrize(
    "max_connections, member_count, expected",
    [(112, 146, True), (70, 79, True), (42, 14, False), (20, 14, False), (0, 5, False)],
)
def test_connections_are_shared_where_there_are_too_few(
    max_connections, member_count, expected
):
    assert is_shared(max_connections, member_count) is expected


@pytest.mark.parametrize("max_connections, domain_count, member_count", DEPLOYMENTS)
def test_shares_leave_room_when_all_instances_return(
    max_connections, domain_count, member_count
):
    # Guards against rejected connections after all hosts lost power: the target still
    # holds the full share of every domain for 3 s while the owners return.
    orphaned = domain_share(max_connections, domain_count) * domain_count
    returned = first_share(max_connections, domain_count) * domain_count
    assert orphaned + returned <= max_connections - RESERVED_CONNECTIONS
    assert is_shared(max_connections, member_count)
    assert quota(max_connections, member_count, timedelta(hours=1)) == 1


def test_owner_starts_with_few_connections_and_gets_its_share_later():
    # Guards against an owner that replaces one whose host lost power.
    limiter = ShareLimiter()
    limiter.set_owned("a", NOW)
    assert limiter.allowance("a", 112, 3, NOW) == first_share(112, 3) == 6
    later = NOW + ORPHANED_CONNECTION_LIFETIME
    assert limiter.allowance("a", 112, 3, later) == domain_share(112, 3) == 29
    limiter.set_owned("a", None)
    assert limiter.allowance("a", 112, 3, later) == 6


def test_owners_that_are_rejected_shrink_and_grow_again():
    # Guards against two owners that each keep the share of the domain.
    limiter = ShareLimiter()
    limiter.set_owned("a", NOW - timedelta(minutes=1))
    limiter.record_too_many("a", 20, NOW)
    assert limiter.allowance("a", 112, 3, NOW) == 15
    assert limiter.allowance("a", 112, 3, NOW + GROWTH_INTERVAL * 4) == 19
    assert limiter.allowance("a", 112, 3, NOW + GROWTH_INTERVAL * 14) == 29
    assert limiter.allowance("a", 112, 3, NOW) == 29


def test_instances_with_the_same_members_choose_the_same_owner():
    # Guards against several owners of one target.
    orders = [build_chooser(reversed(NAMES)), build_chooser(NAMES)]
    for target_id in ("a", "b", "c"):
        assert len({chooser.choose(target_id, NOW) for chooser in orders}) == 1


def test_owner_that_leaves_moves_only_its_own_targets():
    # Guards against connections that are all opened again with each member change.
    chooser = build_chooser()
    targets = [f"target-{number}" for number in range(200)]
    before = {target_id: chooser.choose(target_id, NOW).name for target_id in targets}
    assert max(Counter(before.values()).values()) < 15
    gone = before[targets[0]]
    chooser.update_members(set(NAMES) - {gone}, NOW)
    for target_id in targets:
        if before[target_id] != gone:
            assert chooser.choose(target_id, NOW).name == before[target_id]


def test_owner_that_nobody_has_asked_yet_has_owned_the_target():
    # Guards against a first transaction that takes the only connection of an owner
    # which has been the first in the order all the time.
    chooser = build_chooser()
    first, second, *_ = chooser.order("a")
    assert chooser.owned_since("a", first, NOW) == STARTED_AT
    assert chooser.owned_since("a", second, NOW) is None
    chooser.update_members(NAMES + ["north-49"], NOW)
    first, second, *_ = chooser.order("a")
    assert chooser.owned_since("a", first, NOW) == STARTED_AT


def test_owner_that_replaces_another_owns_the_target_from_then_on():
    # Guards against more connections than a target has, while it still holds those of
    # an owner that is lost or silent.
    chooser = build_chooser()
    first, second, third, *_ = chooser.order("a")
    chooser.record_failure(first, NOW)
    assert chooser.owned_since("a", second, NOW) == NOW
    chooser.record_failure(second, NOW)
    chooser.update_members(set(NAMES) - {first}, NOW + ms(1))
    assert chooser.owned_since("a", second, NOW + SKIP_TIME) is None
    assert chooser.owned_since("a", third, NOW + SKIP_TIME) == NOW + SKIP_TIME
    chooser.record_contact(second, NOW + SKIP_TIME)
    assert chooser.owned_since("a", second, NOW + SKIP_TIME) == NOW + ms(1)


def test_silent_owner_is_skipped_and_returns_only_after_contact():
    # Guards against a statement that waits for an owner that is still silent.
    chooser = build_chooser()
    first, second, *_ = chooser.order("a")
    chooser.record_failure(first, NOW)
    assert chooser.choose("a", NOW + SKIP_TIME - ms(1)) == (second, ())
    after = NOW + SKIP_TIME
    assert chooser.choose("a", after) == (second, (first,))
    chooser.record_contact(first, after)
    assert chooser.choose("a", after) == (first, ())


def test_no_owner_is_chosen_if_all_were_tried_or_skipped():
    chooser = build_chooser(NAMES[:2])
    chooser.record_failure(NAMES[0], NOW)
    assert chooser.choose("a", NOW, [NAMES[1]]).name == ""
