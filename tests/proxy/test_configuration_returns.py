"""What operators and servers wrote, after the store returned from a copy."""

import pytest

from bulrushloom.proxy.exchange.keys import EXCHANGE_KEYS_KEY, new_keys
from bulrushloom.proxy.store import Put
from tests.proxy.builders import ms
from tests.proxy.era_builders import (
    KEY,
    OTHER_KEY,
    configure,
    return_store,
    run_checked,
    versions,
)
from tests.proxy.fleet_builders import (
    SECOND,
)


def serves_key(member, key):
    """Return whether an instance accepts statements with a key now."""
    known = key in member.services.configuration.account_by_key
    return known and member.services.store_freshness.allows_keys(member.loop.now())


def test_newer_configuration_with_a_lower_revision(fleet):
    # Guards against a configuration that never comes into force, because its revision
    # was seen before the store returned.
    copy = fleet.store.copy()
    fleet.store.revision += 20
    configure(fleet, version=2)
    run_checked(fleet, SECOND)
    assert versions(fleet) == {2}
    return_store(fleet, copy)
    configure(fleet, version=3)
    run_checked(fleet, SECOND * 3)
    assert versions(fleet) == {3}


def test_older_configuration_with_a_higher_revision(fleet):
    # Guards against the configuration of the copy, which an operator's later write of
    # the old document gives a revision that was not seen before.
    copy = fleet.store.copy()
    configure(fleet, version=5)
    run_checked(fleet, SECOND)
    return_store(fleet, copy)
    configure(fleet, version=4, revision=fleet.store.revision + 50)
    run_checked(fleet, SECOND * 3)
    assert versions(fleet) == {5}


def test_withdrawn_key_after_the_return(fleet):
    # Guards against an instance that starts after the return, reads the copy, and
    # serves a key that was withdrawn.
    copy = fleet.store.copy()
    configure(fleet, version=2, keys=(OTHER_KEY,))
    run_checked(fleet, SECOND * 2)
    return_store(fleet, copy)
    member = fleet.members[0]
    fleet.kill(member)
    fleet.restart(member)
    for _ in range(400):
        run_checked(fleet, ms(20))
        assert not any(serves_key(member, KEY) for member in fleet.members)
    assert all(serves_key(member, OTHER_KEY) for member in fleet.members)
    assert versions(fleet) == {2}


@pytest.mark.parametrize("number", [0, 1, 2])
def test_new_instance_agrees_with_the_others(fleet, number):
    # Guards against instances on different configurations until operators write again.
    copy = fleet.store.copy()
    configure(fleet, version=2)
    run_checked(fleet, SECOND)
    return_store(fleet, copy)
    member = fleet.members[number]
    fleet.kill(member)
    fleet.restart(member)
    run_checked(fleet, SECOND * 5)
    assert versions(fleet) == {2}


def test_instance_that_missed_the_return_agrees_with_the_others(fleet):
    # Guards against a frozen instance that takes reads of both eras for the same.
    copy = fleet.store.copy()
    fleet.datagrams.freeze(fleet.members[0].name)
    fleet.store.refused.add(fleet.members[0].name)
    run_checked(fleet, ms(500))
    configure(fleet, version=2, keys=(OTHER_KEY,))
    run_checked(fleet, SECOND)
    return_store(fleet, copy)
    run_checked(fleet, SECOND * 3)
    fleet.store.refused.clear()
    fleet.datagrams.thaw(fleet.members[0].name)
    for _ in range(250):
        run_checked(fleet, ms(20))
        late = fleet.members[0].services
        allows = late.store_freshness.allows_keys(fleet.loop.now())
        assert not allows or late.configuration.version == 2
    assert versions(fleet) == {2}


def test_keys_of_the_exchange_that_the_copy_lacks(fleet):
    # Guards against an instance that starts after the return and is in contact with
    # nobody, because its copy has keys that the others have dropped.
    leader = fleet.leader()
    copy = fleet.store.copy()
    keys = fleet.store.record_by_key[EXCHANGE_KEYS_KEY]
    rotated = new_keys(1.0)._replace(generation=7)
    fleet.store.commit((), (Put(EXCHANGE_KEYS_KEY, rotated.encode()),))
    for member in fleet.members:
        member.reader.request_read()
    run_checked(fleet, SECOND)
    return_store(fleet, copy)
    fleet.kill(leader)
    restarted = fleet.restart(leader)
    run_checked(fleet, SECOND * 6)
    assert fleet.store.record_by_key[EXCHANGE_KEYS_KEY].value != keys.value
    assert {m.fleet.keys.signing_id for m in fleet.members} == {rotated.signing_id}
    assert len(restarted.fleet.recent_reports(SECOND)) >= 1


def test_draining_target_after_the_return(fleet):
    # Guards against new work for a draining target: the copy says that it is ready.
    fleet.draining.add("c")
    run_checked(fleet, SECOND * 8)
    return_store(fleet, fleet.store.copy())
    fleet.draining.clear()
    run_checked(fleet, SECOND)
    fleet.draining.add("c")
    now, tables = fleet.loop.now(), [m.services.table for m in fleet.members]
    assert not any(table.accepts_new_work("c", now) for table in tables)
    run_checked(fleet, SECOND)
    assert not any(table.accepts_new_work("c", now) for table in tables)
