"""Decisions about the eras of the store."""

from datetime import timedelta
from types import SimpleNamespace

import orjson
import pytest

from bulrushloom.proxy.era_recovery import LostRecordsFound
from bulrushloom.proxy.failover.group_table import GroupTable
from bulrushloom.proxy.failover.groups import GroupPhase, decode_group
from bulrushloom.proxy.failover.member_records import GroupMembers
from bulrushloom.proxy.failover.record_evidence import confirmed_record
from bulrushloom.proxy.leadership import _era_puts
from bulrushloom.proxy.messages import LogPosition, ServerRole
from bulrushloom.proxy.store_eras import (
    ERA_STRIDE,
    EraKnowledge,
    Knowledge,
    era_of,
    next_fence,
)
from bulrushloom.proxy.store_freshness import StoreFreshness
from tests.proxy.builders import SERVICE, SETTINGS, build_group, ms
from tests.proxy.exchange.builders import build_member, build_report
from tests.proxy.test_decisions import build_status

SECOND = timedelta(seconds=1)
REPLACED = GroupPhase.REPLACING, ""


def build_knowledge(last_read_at=None):
    """Return the knowledge of an instance that has read era 0, or nothing yet."""
    freshness = StoreFreshness(SETTINGS)
    knowledge = EraKnowledge(freshness)
    if last_read_at is not None:
        knowledge.enter(0, last_read_at, True)
        freshness.record_read(last_read_at)
    return knowledge, freshness


def test_era_0_changes_nothing():
    # Guards against a store without eras whose reads do not count.
    knowledge, freshness = build_knowledge(SECOND)
    assert knowledge.knowledge(SECOND) is Knowledge.CURRENT and knowledge.is_settled
    assert freshness.allows_keys(SECOND * 5) and freshness.allows_primary(SECOND * 3)
    assert not knowledge.may_lack_members(SECOND)


def test_read_of_a_new_era_does_not_extend_the_use_of_keys():
    # Guards against a key that is served longer than its bound after its withdrawal,
    # because the copy has it.
    knowledge, freshness = build_knowledge(SECOND)
    assert knowledge.enter(1, SECOND * 2.5, False)
    freshness.record_read(SECOND * 2.5)
    assert knowledge.knowledge(SECOND * 3) is Knowledge.EARLIER
    assert freshness.allows_keys(SECOND * 5.4)
    freshness.record_read(SECOND * 5.4)
    assert knowledge.knowledge(SECOND * 5.4) is Knowledge.EARLIER
    knowledge.enter(2, SECOND * 5.4, False)
    assert not freshness.allows_keys(SECOND * 5.8)
    knowledge.confirm_configuration()
    assert freshness.allows_keys(SECOND * 5.8)


def test_new_instance_waits_for_the_bound_if_nobody_names_a_configuration():
    # Guards against the use of a withdrawn key of the copy, and against an instance
    # that waits for good.
    knowledge, freshness = build_knowledge()
    assert not knowledge.enter(1, SECOND, False)
    freshness.record_read(SECOND * 4)
    assert knowledge.knowledge(SECOND * 3.9) is Knowledge.NONE
    assert not freshness.allows_keys(SECOND * 3.9)
    assert freshness.allows_keys(SECOND * 4)
    assert knowledge.knowledge(SECOND * 4) is Knowledge.CURRENT
    # The bound of one era says nothing about reads before the next one.
    freshness.record_read(SECOND * 60)
    knowledge.enter(2, SECOND * 60, False)
    assert freshness.allows_keys(SECOND * 60)


@pytest.mark.parametrize("age, is_allowed", [(1.9, True), (2.1, False)])
def test_only_a_recent_read_of_the_earlier_era_vouches_for_primaries(age, is_allowed):
    # Guards against the use of a primary whose replacement the instance has not heard
    # of, and which the copy lacks.
    knowledge, freshness = build_knowledge(SECOND)
    entered_at = SECOND * (1 + age)
    knowledge.enter(1, entered_at, False)
    freshness.record_read(entered_at)
    assert freshness.allows_primary(entered_at) is is_allowed
    knowledge.enter(1, entered_at, True)
    assert freshness.allows_primary(entered_at)


def test_earlier_side_that_is_seen_late_is_ignored():
    # Guards against a report or read in flight that brings an instance back.
    knowledge, _ = build_knowledge(SECOND)
    assert knowledge.enter(2, SECOND * 2, False)
    assert not knowledge.enter(1, SECOND * 3, True)
    assert knowledge.era == 2 and not knowledge.is_settled


def test_fencing_tokens_grow_over_eras():
    # Guards against a token that a leader of an earlier era has used.
    tokens = [0]
    for era in (0, 0, 1, 1, 4, 4):
        tokens.append(next_fence(tokens[-1], era))
    assert tokens == sorted(set(tokens)) and era_of(tokens[-1]) == 4
    # The copy may lack all tokens of era 1.
    assert next_fence(tokens[2], 2) > tokens[4]
    assert tokens[1:3] == [1, 2]


def test_leader_that_skipped_eras_writes_the_keys_between():
    # Guards against a write that was decided in an era without a leader.
    assert [put.key for put in _era_puts(1, 4)] == [
        "proxy/eras/2",
        "proxy/eras/3",
        "proxy/eras/4",
    ]
    assert _era_puts(2, 2) == []
    assert len(_era_puts(0, 10_000)) < 20


def test_records_are_ordered_by_era_and_generation():
    # Guards against a lost record that replaces one written since, and against a
    # condition with a revision of another era.
    table = GroupTable(SECOND)
    written_by_earlier_release = build_group(revision=900)
    lost = build_group(revision=20, era=1, generation=902, primary_id="b")
    later = build_group(revision=5, era=2, generation=7, primary_id="c")
    for group in (written_by_earlier_release, lost, later, lost):
        table.apply_group_records({SERVICE: group})
    assert table.group_by_service[SERVICE].primary_id == "c"
    assert decode_group(later.encode(), 5) == later._replace(revision_era=2)
    # The same record gets the revision that it has in a later era.
    table.apply_group_records({SERVICE: later._replace(revision=3, revision_era=3)})
    assert table.group_by_service[SERVICE].revision == 3


def test_members_of_a_group_are_ordered_in_the_same_way():
    # Guards against a list of servers of the copy that replaces a later one.
    table = GroupTable(SECOND)
    assert table.record_members(GroupMembers(SERVICE, "a", {}, 50))
    assert table.record_members(GroupMembers(SERVICE, "b", {}, 9, 1, 51, 1))
    assert not table.record_members(GroupMembers(SERVICE, "a", {}, 70))


def test_leader_waits_for_the_records_of_the_members():
    # Guards against a leader that acts on the copy although a member could have told
    # it of a promotion.
    now, version = SECOND * 10, ERA_STRIDE
    services = SimpleNamespace(
        loop=SimpleNamespace(now=lambda: now),
        eras=SimpleNamespace(entered_at=SECOND * 9),
        known_versions=lambda: {SERVICE: version},
    )
    names = ("north-1", "north-2")
    fleet = SimpleNamespace(
        peers_by_name={name: build_member(name) for name in names}, report_by_name={}
    )
    found = LostRecordsFound(services, fleet)

    def report(name, followed):
        fleet.report_by_name[name] = build_report(
            name, 1, now=now, followed_version_by_service={SERVICE: followed}
        )

    report("north-1", version)
    assert found.unheard() == list(names), "a report from before the question"
    now += ms(950)
    report("north-1", version)
    report("north-2", version)
    assert not found.unheard() and not found.is_complete(), "a lease may be valid"
    now += ms(100)
    assert found.is_complete()
    report("north-2", version + 1)
    assert found.unheard() == ["north-2"] and not found.is_complete()
    now += SECOND
    assert found.is_complete(), "it is out of reach"


def primary(term):
    return build_status(5, term, ServerRole.PRIMARY)


@pytest.mark.parametrize(
    "status_by_id, phase, primary_id, term",
    [
        ({}, GroupPhase.STEADY, "a", 2),
        ({"a": primary(2), "b": build_status(5, 2)}, GroupPhase.STEADY, "a", 2),
        # An order to promote that was executed twice raises the term once more.
        ({"a": primary(3), "b": build_status(5, 3)}, GroupPhase.STEADY, "a", 2),
        ({"b": build_status(5, 2)}, GroupPhase.STEADY, "a", 2),
        ({"a": build_status(5, 3), "b": primary(3)}, GroupPhase.STEADY, "b", 3),
        ({"a": primary(2), "b": primary(3)}, GroupPhase.STEADY, "b", 3),
        # The latest primary does not answer.
        ({"a": build_status(5, 3), "c": build_status(5, 3)}, *REPLACED, 4),
        ({"a": primary(2), "c": build_status(5, 3)}, *REPLACED, 4),
        ({"c": build_status(5, 3, held_term=6)}, *REPLACED, 7),
        # The recorded primary was told to step down.
        ({"a": build_status(5, 2), "b": build_status(5, 2)}, *REPLACED, 3),
    ],
)
def test_servers_show_that_the_record_is_outdated(
    status_by_id, phase, primary_id, term
):
    # Guards against a service whose recorded primary is a replica, for good: the one
    # that replaced it was away when the servers were asked.
    steady = build_group(phase=GroupPhase.STEADY, primary_id="a", old_id="", term=2)
    found = confirmed_record(steady, status_by_id)
    assert (found.phase, found.primary_id, found.term) == (phase, primary_id, term)
    assert (found == steady) is (term == 2)


@pytest.mark.parametrize("primary_term, expected_id", [(3, "b"), (4, "a"), (0, "a")])
def test_term_of_the_record_may_be_above_that_of_its_primary(primary_term, expected_id):
    # Guards against a later promotion that is not seen, because the term of the record
    # is above the one in which its primary led: a leaving replica had been stopped for
    # that term.
    steady = build_group(
        phase=GroupPhase.STEADY, primary_id="a", term=4, primary_term=primary_term
    )
    found = confirmed_record(steady, {"b": primary(4), "c": build_status(5, 4)})
    assert found.primary_id == expected_id


SEALED = LogPosition(2, 5)


def replica(term, offset, entry_term=None):
    status = build_status(offset, term)
    return status._replace(received=LogPosition(entry_term or term, offset))


@pytest.mark.parametrize(
    "status_by_id, phase, primary_id, old_id",
    [
        # The order may still be executed, or its server does not answer.
        ({}, GroupPhase.REPLACING, "b", "a"),
        ({"a": primary(2), "b": replica(2, 5)}, GroupPhase.REPLACING, "b", "a"),
        ({"b": replica(2, 5), "c": replica(2, 9)}, GroupPhase.REPLACING, "b", "a"),
        # It has been executed, and nothing shows a later one.
        ({"b": primary(3), "c": replica(3, 9)}, GroupPhase.REPLACING, "b", "a"),
        # Another server was promoted since, be it the one that was replaced.
        ({"b": replica(4, 6), "c": primary(4)}, GroupPhase.STEADY, "c", "b"),
        ({"b": primary(3), "c": primary(4)}, GroupPhase.STEADY, "c", "b"),
        ({"a": primary(4), "b": replica(4, 5)}, GroupPhase.STEADY, "a", "b"),
        # The latest primary does not answer.
        ({"b": replica(4, 6), "c": replica(4, 7)}, GroupPhase.REPLACING, "", ""),
        ({"b": replica(2, 9), "c": replica(2, 7, 3)}, GroupPhase.REPLACING, "", ""),
        # It is not clear whether this primary was promoted before or since.
        ({"b": replica(2, 5), "c": primary(2)}, GroupPhase.REPLACING, "", ""),
    ],
)
def test_servers_show_that_a_failover_has_ended(
    status_by_id, phase, primary_id, old_id
):
    # Guards against a failover of the copy that goes on although a later primary has
    # acknowledged commits (review/6).
    failover = build_group(primary_id="b", old_id="a", term=3, sealed=SEALED)
    found = confirmed_record(failover, status_by_id)
    assert (found.phase, found.primary_id, found.old_id) == (phase, primary_id, old_id)
    assert found.sealed == (SEALED if found == failover else None)
    if found != failover and phase is GroupPhase.REPLACING:
        assert found.term > max(status.term for status in status_by_id.values())


def test_era_of_a_sealed_position_outlives_the_record():
    # Guards against a leader that writes the record of the copy again, and then takes
    # its sealed position for one of the present era.
    sealed = build_group(era=1, generation=3, sealed=SEALED, sealed_era=1)
    restored = sealed.next_record(2, 9)
    assert decode_group(restored.encode(), restored.revision) == restored
    assert not restored.is_sealed_in(2) and restored.is_sealed_in(1)
    # A record of an earlier release was sealed in the era in which it was written.
    fields = orjson.loads(sealed.encode())
    del fields["sealed_era"]
    assert decode_group(orjson.dumps(fields), 5).sealed_era == 1


@pytest.mark.parametrize("sealed_era, is_known", [(2, True), (1, False)])
def test_position_sealed_in_an_earlier_era_is_no_sample(instance, sealed_era, is_known):
    # Guards against bounded reads without commits that were acknowledged after the
    # failover of the copy had ended.
    services, now = instance.services, instance.loop.now()
    services.enter_era(2, True)
    group = build_group(sealed=SEALED, sealed_era=sealed_era, era=2)
    services.apply_group_records({SERVICE: group})
    services.record_sealed_positions(now)
    latest = services.history(SERVICE).latest()
    assert (latest is not None and latest.position == SEALED) is is_known
