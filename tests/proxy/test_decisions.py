"""Positions, store freshness, routing, group records and the choice of a successor."""

from datetime import timedelta

import pytest

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.failover import (
    FailoverState,
    PrimaryProbe,
    choose_successor,
    is_majority,
    reason_to_replace,
)
from bulrushloom.proxy.groups import GroupPhase, GroupTable, decode_group
from bulrushloom.proxy.messages import LogPosition, ServerRole, ServerStatus
from bulrushloom.proxy.positions import PositionHistory, PositionSample
from bulrushloom.proxy.routing import Candidate, ReadRouter
from bulrushloom.proxy.store_freshness import PRIMARY_LIMIT, StoreFreshness
from tests.proxy.builders import SERVICE, SETTINGS, build_group, build_target, ms

SECOND = timedelta(seconds=1)


def build_status(number, term=1, role=ServerRole.REPLICA, held_term=0):
    received = LogPosition(term, number)
    return ServerStatus(role, term, received, held_term, timedelta(), 0, 0)


def build_steady(**changes):
    steady = {"phase": GroupPhase.STEADY, "primary_id": "a", "old_id": ""}
    return build_group(**(steady | changes))


class TestPositionHistory:
    def test_bound_covers_every_commit_of_the_stated_age(self):
        # Guards against a sample that was taken before the bound.
        history = PositionHistory()
        for second in range(5):
            history.record(PositionSample(SECOND * second, LogPosition(1, second)))
        assert history.position_for(SECOND * 4, ms(1500)) == LogPosition(1, 3)

    def test_old_samples_give_no_bound(self):
        history = PositionHistory()
        history.record(PositionSample(SECOND, LogPosition(1, 5)))
        assert isinstance(history.position_for(SECOND * 4, ms(1500)), Missing)

    def test_position_never_goes_back(self):
        # Guards against the position of a replaced primary.
        history = PositionHistory()
        history.record(PositionSample(SECOND, LogPosition(2, 5)))
        history.record(PositionSample(SECOND * 2, LogPosition(1, 9)))
        assert history.position_for(SECOND * 2, ms(500)) == LogPosition(2, 5)


class TestEvidence:
    def test_every_use_ends_by_itself(self):
        freshness = StoreFreshness(SETTINGS)
        freshness.record_read(SECOND)
        assert freshness.allows_primary(SECOND + PRIMARY_LIMIT)
        assert not freshness.allows_primary(SECOND + PRIMARY_LIMIT + ms(1))
        limit = SETTINGS.withdrawn_key_bound
        assert not freshness.allows_keys(SECOND + limit)

    def test_late_answer_does_not_replace_a_newer_one(self):
        freshness = StoreFreshness(SETTINGS)
        freshness.record_read(SECOND * 5)
        freshness.record_read(SECOND)
        assert freshness.confirmed_at == SECOND * 5

    def test_nothing_is_allowed_before_the_first_read(self):
        freshness = StoreFreshness(SETTINGS)
        assert not freshness.allows_keys(timedelta())
        assert not freshness.allows_primary(timedelta())


class TestReadRouter:
    def candidates(self, **domains):
        return [
            Candidate(build_target(name, domain), name == "a", 0, True)
            for name, domain in domains.items()
        ]

    def test_replica_of_the_own_domain_comes_first(self):
        router = ReadRouter("north")
        found = router.choose(
            self.candidates(a="north", b="south", c="north"),
            LogPosition(1, 1),
            timedelta(),
        )
        assert found.target.target_id == "c"

    def test_lagging_replica_is_left_without_a_try(self):
        # Guards against a failed attempt for each read at a replica that lags.
        router = ReadRouter("north")
        router.health("c").lagged(timedelta())
        found = router.choose(
            self.candidates(a="north", b="south", c="north"),
            LogPosition(1, 1),
            ms(10),
        )
        assert found.target.target_id == "b"

    def test_lagging_replica_is_used_for_what_it_has_applied(self):
        router = ReadRouter("north")
        router.health("c").applied_position(LogPosition(1, 7))
        router.health("c").lagged(timedelta())
        candidates = self.candidates(a="north", c="north")
        found = router.choose(candidates, LogPosition(1, 7), ms(10))
        assert found.target.target_id == "c"

    def test_failing_target_is_left_and_tried_again_sparingly(self):
        # Guards against a half-dead server that keeps getting reads.
        router = ReadRouter("north")
        health = router.health("c")
        candidates = self.candidates(a="north", b="south", c="north")
        avoided = timedelta()
        now = timedelta()
        for _ in range(4):
            health.failed(now)
            assert health.avoided_until - now > avoided
            avoided = health.avoided_until - now
            found = router.choose(candidates, LogPosition(1, 1), now + ms(1))
            assert found.target.target_id == "b"
            now = health.avoided_until
        assert router.choose(candidates, LogPosition(1, 1), now).target.target_id == "c"

    def test_without_a_position_only_the_primary_serves(self):
        router = ReadRouter("north")
        candidates = self.candidates(a="south", b="north", c="north")
        found = router.choose(candidates, Missing("none"), timedelta())
        assert found.target.target_id == "a"
        assert not router.choose(candidates[1:], Missing("none"), timedelta())


class TestGroupTable:
    def test_record_goes_before_what_servers_claim(self):
        # Guards against an old primary that comes back and claims to lead.
        table = GroupTable(SECOND * 7)
        targets = {"a": build_target("a", claims_primary=True), "b": build_target("b")}
        table.update_targets(targets, SECOND)
        assert table.primary_of(SERVICE).target_id == "a"
        table.apply_group_records({SERVICE: build_steady(primary_id="b")})
        assert table.primary_of(SERVICE).target_id == "b"

    def test_nobody_is_primary_while_it_is_replaced(self):
        table = GroupTable(SECOND * 7)
        table.update_targets({"a": build_target("a", claims_primary=True)}, SECOND)
        table.apply_group_records({SERVICE: build_steady(phase=GroupPhase.REPLACING)})
        assert not table.primary_of(SERVICE)

    def test_late_announcement_changes_nothing(self):
        table = GroupTable(SECOND * 7)
        table.apply_group_records({SERVICE: build_steady(revision=10, primary_id="b")})
        late = build_steady(revision=9, primary_id="a")
        assert table.apply_group_records({SERVICE: late}) == []
        assert table.group_by_service[SERVICE].primary_id == "b"

    def test_two_claims_name_no_primary(self):
        table = GroupTable(SECOND * 7)
        targets = {name: build_target(name, claims_primary=True) for name in ("a", "b")}
        table.update_targets(targets, SECOND)
        assert not table.primary_of(SERVICE)

    def test_leaving_target_is_counted_from_the_last_read_that_listed_it_ready(self):
        # Guards against work for a leaving target after its bound.
        table = GroupTable(SECOND * 7)
        table.update_targets({"a": build_target("a")}, SECOND)
        table.update_targets({"a": build_target("a", is_draining=True)}, SECOND * 3)
        assert table.may_receive("a", SECOND * 7)
        assert not table.may_receive("a", SECOND * 8)

    def test_vanished_target_is_kept_for_its_return_only(self):
        table = GroupTable(SECOND * 7)
        table.update_targets({"a": build_target("a")}, SECOND)
        table.update_targets({}, SECOND * 2)
        assert "a" in table.listed_target_by_id
        table.update_targets({}, SECOND * 4)
        assert "a" not in table.listed_target_by_id

    def test_record_survives_its_encoding(self):
        group = build_steady(sealed=LogPosition(3, 4))
        assert decode_group(group.encode(), group.revision) == group
        assert not decode_group(b"{}", 1)
        assert not decode_group(b"\xff", 1)


class TestReasonToReplace:
    def reason(self, probe, now=SECOND * 10, **changes):
        return reason_to_replace(build_target("a", **changes), probe, now)

    def test_healthy_primary_stays(self):
        assert not self.reason(PrimaryProbe())

    def test_leaving_primary_is_replaced(self):
        assert self.reason(PrimaryProbe(), is_draining=True)

    def test_refusing_primary_is_replaced(self):
        probe = PrimaryProbe(refused_since=SECOND * 9, is_suspected_widely=True)
        assert self.reason(probe)

    @pytest.mark.parametrize("sign", ["silent_since", "refused_since"])
    def test_leaders_own_link_is_no_reason(self, sign):
        # Guards against a change of primary because the leader's own link is cut; a
        # cut may answer like a machine without the process.
        probe = PrimaryProbe(**{sign: SECOND})
        assert not self.reason(probe)
        assert self.reason(probe._replace(is_suspected_widely=True))

    def test_primary_without_replicas_is_replaced(self):
        assert self.reason(PrimaryProbe(stalled_since=SECOND * 8))

    def test_demoted_primary_is_replaced(self):
        assert self.reason(PrimaryProbe(status=build_status(3)))


class TestMajority:
    @pytest.mark.parametrize(
        "suspecting, domains, expected",
        [(1, 1, True), (1, 2, True), (1, 3, False), (2, 3, True), (2, 4, False)],
    )
    def test_one_domain_of_several_does_not_decide(self, suspecting, domains, expected):
        assert is_majority(suspecting, domains) is expected


class TestChooseSuccessor:
    targets = {name: build_target(name) for name in ("b", "c")}

    def test_server_that_stopped_before_blocks_only_if_it_is_ahead(self):
        state = self.state(
            status_by_id={"b": build_status(4)},
            missing=frozenset({"c"}),
            stopped_position_by_id={"c": LogPosition(1, 4)},
        )
        assert choose_successor(self.targets, state) == "b"
        ahead = state._replace(stopped_position_by_id={"c": LogPosition(1, 5)})
        assert not choose_successor(self.targets, ahead)

    def state(self, **changes):
        state = FailoverState({}, frozenset(), None, None, False, {})
        return state._replace(**changes)

    def test_highest_position_wins(self):
        statuses = {"b": build_status(4), "c": build_status(5)}
        state = self.state(status_by_id=statuses)
        assert choose_successor(self.targets, state) == "c"

    def test_later_term_goes_before_a_higher_number(self):
        statuses = {"b": build_status(9), "c": build_status(5, term=2)}
        state = self.state(status_by_id=statuses)
        assert choose_successor(self.targets, state) == "c"

    def test_unreachable_replica_may_hold_the_only_copy(self):
        # Guards against the loss of a commit that one silent replica acknowledged.
        state = self.state(
            status_by_id={"b": build_status(4)}, missing=frozenset({"c"})
        )
        assert not choose_successor(self.targets, state)

    def test_acknowledged_positions_replace_a_silent_replica(self):
        state = self.state(
            status_by_id={"b": build_status(4)},
            missing=frozenset({"c"}),
            acknowledged=LogPosition(1, 4),
            all_instances_left=True,
        )
        assert choose_successor(self.targets, state) == "b"
        higher = state._replace(acknowledged=LogPosition(1, 5))
        assert not choose_successor(self.targets, higher)
        unsure = state._replace(all_instances_left=False)
        assert not choose_successor(self.targets, unsure)

    def test_server_that_leads_already_is_kept(self):
        # Guards against a second promotion after a lost answer to the first.
        statuses = {
            "b": build_status(4, term=2, role=ServerRole.PRIMARY),
            "c": build_status(5),
        }
        state = self.state(status_by_id=statuses)
        assert choose_successor(self.targets, state) == "b"

    @pytest.mark.parametrize("leaving", ["b", "c"])
    def test_leaving_server_is_the_last_choice_among_equals(self, leaving):
        targets = self.targets | {leaving: build_target(leaving, is_draining=True)}
        statuses = {"b": build_status(4), "c": build_status(4)}
        state = self.state(status_by_id=statuses)
        assert choose_successor(targets, state) == ({"b", "c"} - {leaving}).pop()

    def test_no_answer_names_no_successor(self):
        assert not choose_successor(self.targets, self.state())
