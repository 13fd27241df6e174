"""Leaders, promotions and records after the store returned from a copy."""

from datetime import timedelta

import pytest

from bulrushloom.proxy.failover.confirmations import Announcement, InstanceConfirmations
from bulrushloom.proxy.failover.groups import GROUP_PREFIX, LEADER_KEY, GroupPhase
from bulrushloom.proxy.membership import decode_members
from bulrushloom.proxy.store import ExpectedRevision, Put
from tests.proxy.builders import SERVICE, build_group, ms
from tests.proxy.era_builders import (
    fail_over,
    primaries,
    recover,
    restart_all,
    return_store,
    run_checked,
)
from tests.proxy.fleet_builders import (
    SECOND,
    Writers,
    check_commits_told_to_clients,
    open_clients,
    send_reads,
    write_until_served,
)


def test_fence_is_not_reused(fleet):
    # Guards against two leaders with one fencing token: the copy lacks the first one.
    fleet.run(SECOND)
    copy = fleet.store.copy()
    leader = fleet.leader()
    fleet.store.refused.add(leader.name)
    run_checked(fleet, SECOND * 5)
    second = fleet.leader()
    assert second is not leader
    fleet.store.refused.clear()
    return_store(fleet, copy)
    fleet.kill(second)
    run_checked(fleet, SECOND * 10)
    assert fleet.leader() is not None
    assert fleet.leader().leadership.fence > second.leadership.fence


def test_lease_number_that_is_given_out_again(fleet):
    # Guards against a leader that renews the lease of another holder, and leads beside
    # the instance that has acquired the leader lease since.
    copy = fleet.store.copy()
    fleet.store.end_lease(fleet.store.record_by_key[LEADER_KEY].lease_id)
    copy = fleet.store.copy()
    run_checked(fleet, SECOND * 4)
    lease_id = fleet.store.record_by_key[LEADER_KEY].lease_id
    return_store(fleet, copy, outage=ms(20))
    other = fleet.store.client("other")
    while fleet.store.last_lease_id < lease_id:
        other.create_lease(SECOND * 60)
        run_checked(fleet, ms(20))
    run_checked(fleet, SECOND * 8)
    record = fleet.store.record_by_key[LEADER_KEY]
    assert fleet.leader() is not None and record.lease_id > lease_id


def test_promotion_that_the_copy_lacks(fleet):
    # Guards against a new instance that uses the replaced primary, and a new leader
    # that writes on top of the copy.
    copy = fleet.store.copy()
    writers = Writers(fleet, open_clients(fleet))
    writers.write_for(SECOND)
    primary = fail_over(fleet)
    writers.write_for(SECOND)
    recover(fleet, "a")
    run_checked(fleet, SECOND * 3)
    return_store(fleet, copy)
    leader = fleet.leader() or fleet.members[0]
    fleet.kill(leader)
    fleet.restart(leader)
    for _ in range(500):
        run_checked(fleet, ms(20))
        assert primaries(fleet) <= {primary, None}
    assert primaries(fleet) == {primary}
    assert fleet.store.record_by_key[f"{GROUP_PREFIX}{SERVICE}"]
    restarted = fleet.members[-1].services
    assert restarted.table.group_by_service[SERVICE].primary_id == primary
    writers.check()


def test_condition_that_holds_by_accident(fleet):
    # Guards against a write that was decided before the return, and whose expected
    # revision was given out again for the same key.
    store, key = fleet.store, "proxy/something"
    client = store.client("writer")
    copy = store.copy()
    first = client.commit((), (Put(key, b"first"),))
    run_checked(fleet, ms(20))
    return_store(fleet, copy, outage=ms(20))
    run_checked(fleet, SECOND * 6)
    store.record_by_key[key] = store.record_by_key[LEADER_KEY]._replace(
        key=key, value=b"other", revision=first.result()
    )
    late = client.commit((ExpectedRevision(key, first.result()),), (Put(key, b"late"),))
    run_checked(fleet, ms(20))
    assert not isinstance(late.result(), int)
    assert store.record_by_key[key].value == b"other"


def test_all_instances_are_lost_together_with_a_promotion(fleet):
    # Guards against the use of the recorded primary, which a later one has replaced:
    # only the servers know of it.
    writers = Writers(fleet, open_clients(fleet))
    writers.write_for(SECOND)
    first = fail_over(fleet)
    recover(fleet, "a")
    run_checked(fleet, SECOND * 3)
    copy = fleet.store.copy()
    second = fail_over(fleet)
    recover(fleet, first)
    run_checked(fleet, SECOND * 3)
    assert second != first
    restart_all(fleet)
    return_store(fleet, copy)
    for _ in range(400):
        run_checked(fleet, ms(20))
        assert primaries(fleet) <= {second, None}
    assert primaries(fleet) == {second}
    write_until_served(fleet, fleet.members[0].client("strict"))
    check_commits_told_to_clients(fleet)


def test_era_that_rises_though_nothing_was_lost(fleet):
    # Guards against a fleet that stops serving, or fails over, without a reason.
    clients = open_clients(fleet)
    writers = Writers(fleet, clients)
    writers.write_for(SECOND)
    fleet.store.return_from(fleet.store.copy())
    longest, last_at = ms(0), fleet.loop.now()
    for _ in range(500):
        writers.write_for(ms(20))
        now = max(writers.done_at_by_id.values())
        longest, last_at = max(longest, now - last_at), now
    assert fleet.loop.now() - last_at < ms(500) and longest < ms(500)
    assert not fleet.promotion.orders
    run_checked(fleet, SECOND)
    assert fleet.leader() is not None
    writers.check()


@pytest.mark.parametrize("offset", [50, 400, 700, 1000, 1300, 1600, 2000, 2600])
def test_return_during_a_failover(fleet, offset):
    # Guards against two primaries, a lost commit or a fleet that stays without one if
    # the store returns between two steps of a failover.
    copy = fleet.store.copy()
    writers = Writers(fleet, open_clients(fleet))
    writers.write_for(SECOND)
    fleet.crash("a")
    send_reads(open_clients(fleet))
    writers.write_for(ms(offset))
    return_store(fleet, copy)
    writers.write_for(SECOND * 12)
    run_checked(fleet, SECOND)
    (primary,) = primaries(fleet)
    assert primary == fleet.group.primary().server_id
    assert max(writers.done_at_by_id.values()) > fleet.loop.now() - SECOND * 2
    group = fleet.store.record_by_key[f"{GROUP_PREFIX}{SERVICE}"]
    assert GroupPhase.STEADY.value.encode() in group.value
    writers.check()


@pytest.mark.parametrize("is_first_new", [True, False])
def test_two_instances_see_the_sides_in_either_order(fleet, is_first_new):
    # Guards against an instance that follows a report with the records of the earlier
    # era after it has seen the later one.
    copy = fleet.store.copy()
    primary = fail_over(fleet)
    late = next(m for m in fleet.members if m is not fleet.leader())
    others = [member for member in fleet.members if member is not late]
    cut = [frozenset((late.name, other.name)) for other in others]
    fleet.datagrams.cut.update(cut)
    if is_first_new:
        for other in others:
            fleet.store.refused.add(other.name)
    else:
        fleet.store.refused.add(late.name)
    return_store(fleet, copy)
    run_checked(fleet, SECOND)
    fleet.datagrams.cut.clear()
    fleet.store.refused.clear()
    for _ in range(400):
        run_checked(fleet, ms(20))
        assert primaries(fleet) <= {primary, None}
    assert primaries(fleet) == {primary}
    records = {
        member.services.table.group_by_service[SERVICE].encode()
        for member in fleet.members
    }
    assert records == {fleet.store.record_by_key[f"{GROUP_PREFIX}{SERVICE}"].value}


def test_latest_primary_is_away_when_the_servers_are_asked(fleet):
    # Guards against a fleet that uses a replica as the primary for good: all instances
    # were lost with the record of the promotion, and the promoted server was down.
    writers = Writers(fleet, open_clients(fleet))
    writers.write_for(SECOND)
    first = fail_over(fleet)
    recover(fleet, "a")
    run_checked(fleet, SECOND * 3)
    copy = fleet.store.copy()
    second = fail_over(fleet)
    recover(fleet, first)
    run_checked(fleet, SECOND * 3)
    fleet.crash(second)
    restart_all(fleet)
    return_store(fleet, copy)
    run_checked(fleet, SECOND * 5)
    recover(fleet, second)
    run_checked(fleet, SECOND * 6)
    assert primaries(fleet) == {fleet.group.primary().server_id}
    write_until_served(fleet, fleet.members[0].client("strict"))
    writers.check()


def test_failover_waits_for_instances_that_have_not_registered_again(fleet):
    # Guards against a commit that an instance acknowledges although the failover is
    # closed: the copy lacks the entry of the instance, so nobody asked it.
    copy = fleet.store.copy()
    run_checked(fleet, SECOND)
    return_store(fleet, copy)
    # The leader of the earlier era believes in its lease for up to this time.
    run_checked(fleet, SECOND * 2)
    fleet.run_until(lambda: fleet.leader() is not None)
    services = fleet.leader().services
    announcement = Announcement(timedelta(), timedelta(), frozenset())
    confirmations = InstanceConfirmations(
        services, fleet.leader().fleet, build_group(), announcement
    )
    while fleet.loop.now() < services.eras.entered_at + ms(3400):
        assert confirmations.has_unlisted_instance()
        run_checked(fleet, ms(100))
    run_checked(fleet, ms(200))
    assert not confirmations.has_unlisted_instance()
    assert len(decode_members(fleet.store.record_by_key)) == len(fleet.members)


def test_return_costs_no_store_calls_beyond_a_new_election(fleet):
    # Guards against a fleet that reads and writes the store at a higher rate for long.
    run_checked(fleet, SECOND * 5)
    before = fleet.store.calls
    run_checked(fleet, SECOND * 20)
    usual = fleet.store.calls - before
    fleet.store.return_from(fleet.store.copy())
    run_checked(fleet, SECOND * 10)
    before = fleet.store.calls
    run_checked(fleet, SECOND * 20)
    assert fleet.store.calls - before <= usual * 1.05


def test_leader_of_the_earlier_era_that_does_not_hear_of_the_return(fleet):
    # Guards against two leaders: the copy lacks the lease of one that is cut off from
    # the store, and believes in its lease until that has expired.
    fleet.store.end_lease(fleet.store.record_by_key[LEADER_KEY].lease_id)
    copy = fleet.store.copy()
    fleet.run_until(lambda: LEADER_KEY in fleet.store.record_by_key, SECOND * 8)
    run_checked(fleet, SECOND)
    leader = fleet.leader()
    fleet.store.refused.add(leader.name)
    for member in fleet.members:
        fleet.datagrams.cut.add(frozenset((leader.name, member.name)))
    others = [member for member in fleet.members if member is not leader]
    for member in others:
        fleet.kill(member)
    return_store(fleet, copy, outage=ms(20))
    for member in others:
        fleet.restart(member)
    run_checked(fleet, SECOND * 6)
    assert fleet.leader() not in (None, leader)


def test_candidate_of_an_earlier_era_does_not_acquire_the_lease(fleet):
    # Guards against two leaders: a candidate decided before the return that the lease
    # is free, and reads the store again just before it acquires the lease.
    leader, candidate = fleet.leader(), fleet.members[0]
    if candidate is leader:
        candidate = fleet.members[1]
    fleet.store.end_lease(fleet.store.record_by_key[LEADER_KEY].lease_id)
    snapshot = candidate.store.snapshot(True)
    fleet.run(ms(10))
    candidate.leadership.try_acquire(snapshot.result(), ms(100))
    for member in list(fleet.members):
        if member is not candidate:
            fleet.kill(member)
    candidate.fleet.report_by_name.clear()
    candidate.fleet._sightings.leader = None
    fleet.store.return_from(fleet.store.copy())
    for _ in range(95):
        run_checked(fleet, ms(20))
        assert not candidate.leadership.is_leader()
    run_checked(fleet, SECOND * 3)
    assert fleet.leader() is candidate
