"""Positions, store freshness, routing, group records and the choice of a successor."""

from datetime import timedelta

import pytest

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.failover.decisions import (
    FailoverState,
    PrimaryProbe,
    choose_successor,
    is_majority,
    reason_to_replace,
)
from bulrushloom.proxy.failover.evacuation import Evacuations
from bulrushloom.proxy.failover.group_table import GroupTable
from bulrushloom.proxy.failover.groups import GroupPhase, StoppedReplica, decode_group
from bulrushloom.proxy.messages import LogPosition, ServerRole, ServerStatus
from bulrushloom.proxy.positions import PositionHistory, PositionSample
from bulrushloom.proxy.routing import Candidate
from bulrushloom.proxy.store_freshness import MAX_PRIMARY_AGE, StoreFreshness
from tests.proxy.builders import (
    SERVICE,
    SETTINGS,
    build_group,
    build_router,
    build_target,
    ms,
)

SECOND = timedelta(seconds=1)


def build_status(offset, term=1, role=ServerRole.REPLICA, held_term=0):
    received = LogPosition(term, offset)
    return ServerStatus(role, term, received, held_term, timedelta(), 0, 0)


def build_steady(**changes):
    fields = {"phase": GroupPhase.STEADY, "primary_id": "a", "old_id": ""}
    return build_group(**(fields | changes))


class TestPositionHistory:
    def test_position_covers_every_commit_of_the_given_age(self):
        # Guards against choosing a sample that was taken before the bound.
        history = PositionHistory()
        for second in range(5):
            history.record(PositionSample(SECOND * second, LogPosition(1, second)))
        assert history.position_for(SECOND * 4, ms(1500)) == LogPosition(1, 3)

    def test_outdated_samples_give_no_position(self):
        history = PositionHistory()
        history.record(PositionSample(SECOND, LogPosition(1, 5)))
        assert isinstance(history.position_for(SECOND * 4, ms(1500)), Missing)

    def test_position_never_decreases(self):
        # Guards against using the position of a replaced primary.
        history = PositionHistory()
        history.record(PositionSample(SECOND, LogPosition(2, 5)))
        history.record(PositionSample(SECOND * 2, LogPosition(1, 9)))
        assert history.position_for(SECOND * 2, ms(500)) == LogPosition(2, 5)


class TestStoreFreshness:
    def test_permissions_expire_with_age(self):
        freshness = StoreFreshness(SETTINGS)
        freshness.record_read(SECOND)
        assert freshness.allows_primary(SECOND + MAX_PRIMARY_AGE)
        assert not freshness.allows_primary(SECOND + MAX_PRIMARY_AGE + ms(1))
        limit = SETTINGS.withdrawn_key_bound
        assert not freshness.allows_keys(SECOND + limit)

    def test_late_answer_does_not_replace_a_newer_one(self):
        freshness = StoreFreshness(SETTINGS)
        freshness.record_read(SECOND * 5)
        freshness.record_read(SECOND)
        assert freshness.last_read_at == SECOND * 5

    def test_nothing_is_allowed_before_the_first_read(self):
        freshness = StoreFreshness(SETTINGS)
        assert not freshness.allows_keys(timedelta())
        assert not freshness.allows_primary(timedelta())


class TestEvacuations:
    def test_held_domains_outlast_a_store_that_lacks_them(self):
        # Guards against an evacuation that ends because the store has returned from a
        # copy without the request.
        evacuations = Evacuations(SECOND * 5)
        evacuations.update({"north"}, SECOND)
        evacuations.hold(SECOND * 6)
        evacuations.update({"south"}, SECOND * 2)
        assert evacuations.domains == {"north", "south"}
        evacuations.update({"north"}, SECOND * 5)
        assert evacuations.domains == {"north"}
        evacuations.update((), SECOND * 6)
        assert evacuations.domains == frozenset()

    def test_grace_counts_from_the_last_read_without_the_request(self):
        # Guards against a grace from the read that listed it: the request may be older.
        evacuations, target = Evacuations(SECOND * 5), build_target("a", "north")
        evacuations.update((), SECOND)
        evacuations.update({"north"}, SECOND * 2)
        assert evacuations.covers(target)
        assert not evacuations.has_ended_grace(target, ms(2990))
        assert evacuations.has_ended_grace(target, SECOND * 3)


class TestReadRouter:
    def candidates(self, **domains):
        return [
            Candidate(build_target(name, domain), name == "a", 0, True)
            for name, domain in domains.items()
        ]

    def test_replica_in_the_same_domain_is_preferred(self):
        router = build_router("north")
        candidate = router.choose(
            self.candidates(a="north", b="south", c="north"),
            LogPosition(1, 1),
            timedelta(),
        )
        assert candidate.target.target_id == "c"

    @pytest.mark.parametrize(
        ("in_flight", "expected"),
        # A local replica and one in the region take two waiting statements each before
        # a read crosses the region.
        [(0, "b"), (1, "c"), (2, "d")],
    )
    def test_reads_prefer_their_domain_then_their_region(self, in_flight, expected):
        # Guards against reads that wait 16 ms for an answer of the other region,
        # because every other domain costs the same.
        router = build_router("north", north="coast", south="coast", west="hills")
        _, b, c, d = self.candidates(a="north", b="north", c="south", d="west")
        waiting = [b._replace(in_flight=in_flight), c, d]
        if in_flight > 1:
            waiting[1] = c._replace(in_flight=in_flight)
        chosen = router.choose(waiting, LogPosition(1, 1), timedelta())
        assert chosen.target.target_id == expected

    def test_new_connection_to_another_region_costs_its_round_trips(self):
        router = build_router("north", north="coast", west="hills")
        _, b, d = self.candidates(a="north", b="north", d="west")
        near = b._replace(in_flight=2)
        chosen = router.choose([near, d], LogPosition(1, 1), timedelta())
        assert chosen.target.target_id == "d"
        far = d._replace(has_idle_connection=False)
        chosen = router.choose([near, far], LogPosition(1, 1), timedelta())
        assert chosen.target.target_id == "b"

    @pytest.mark.parametrize("regions", [{}, {"north": "coast", "south": "coast"}])
    def test_one_region_costs_the_same_as_none(self, regions):
        # Guards against a deployment with one region that behaves differently.
        router = build_router("north", **regions)
        _, b, c = self.candidates(a="north", b="north", c="south")
        for in_flight, expected in ((0, "b"), (1, "c")):
            near = b._replace(in_flight=in_flight)
            chosen = router.choose([near, c], LogPosition(1, 1), timedelta())
            assert chosen.target.target_id == expected

    def test_lagging_replica_is_skipped(self):
        # Guards against one failed attempt per read at a lagging replica.
        router = build_router("north")
        router.health("c").record_lag(timedelta())
        candidate = router.choose(
            self.candidates(a="north", b="south", c="north"),
            LogPosition(1, 1),
            ms(10),
        )
        assert candidate.target.target_id == "b"

    def test_lagging_replica_serves_positions_that_it_has_applied(self):
        router = build_router("north")
        router.health("c").record_applied_position(LogPosition(1, 7))
        router.health("c").record_lag(timedelta())
        candidates = self.candidates(a="north", c="north")
        candidate = router.choose(candidates, LogPosition(1, 7), ms(10))
        assert candidate.target.target_id == "c"

    def test_failing_target_is_avoided_with_growing_delays(self):
        # Guards against a partly failing server that keeps receiving reads.
        router = build_router("north")
        health = router.health("c")
        candidates = self.candidates(a="north", b="south", c="north")
        avoided = timedelta()
        now = timedelta()
        for _ in range(4):
            health.record_failure(now)
            assert health.avoided_until - now > avoided
            avoided = health.avoided_until - now
            candidate = router.choose(candidates, LogPosition(1, 1), now + ms(1))
            assert candidate.target.target_id == "b"
            now = health.avoided_until
        assert router.choose(candidates, LogPosition(1, 1), now).target.target_id == "c"

    def test_without_a_position_only_the_primary_is_chosen(self):
        router = build_router("north")
        candidates = self.candidates(a="south", b="north", c="north")
        candidate = router.choose(candidates, Missing("none"), timedelta())
        assert candidate.target.target_id == "a"
        assert not router.choose(candidates[1:], Missing("none"), timedelta())


class TestGroupTable:
    def test_group_record_takes_precedence_over_claims_of_servers(self):
        # Guards against an old primary that comes back and claims its role.
        table = GroupTable(SECOND * 7)
        targets = {"a": build_target("a", claims_primary=True), "b": build_target("b")}
        table.update_targets(targets, SECOND)
        assert table.primary_of(SERVICE).target_id == "a"
        table.apply_group_records({SERVICE: build_steady(primary_id="b")})
        assert table.primary_of(SERVICE).target_id == "b"

    def test_there_is_no_primary_during_a_replacement(self):
        table = GroupTable(SECOND * 7)
        table.update_targets({"a": build_target("a", claims_primary=True)}, SECOND)
        table.apply_group_records({SERVICE: build_steady(phase=GroupPhase.REPLACING)})
        assert not table.primary_of(SERVICE)

    def test_outdated_announcement_is_ignored(self):
        table = GroupTable(SECOND * 7)
        table.apply_group_records({SERVICE: build_steady(revision=10, primary_id="b")})
        late = build_steady(revision=9, primary_id="a")
        assert table.apply_group_records({SERVICE: late}) == []
        assert table.group_by_service[SERVICE].primary_id == "b"

    def test_two_claimants_yield_no_primary(self):
        table = GroupTable(SECOND * 7)
        targets = {name: build_target(name, claims_primary=True) for name in ("a", "b")}
        table.update_targets(targets, SECOND)
        assert not table.primary_of(SERVICE)

    def test_drain_bound_starts_at_the_last_read_before_draining(self):
        # Guards against sending work to a draining target after its bound.
        table = GroupTable(SECOND * 7)
        table.update_targets({"a": build_target("a")}, SECOND)
        table.update_targets({"a": build_target("a", is_draining=True)}, SECOND * 3)
        assert table.accepts_new_work("a", SECOND * 7)
        assert not table.accepts_new_work("a", SECOND * 8)

    def test_unlisted_target_is_kept_for_a_limited_time(self):
        table = GroupTable(SECOND * 7)
        table.update_targets({"a": build_target("a")}, SECOND)
        for half_seconds in range(3, 8):
            table.update_targets({}, ms(500) * half_seconds)
            assert "a" in table.listed_target_by_id
        table.update_targets({}, SECOND * 4)
        assert "a" not in table.listed_target_by_id

    def test_draining_replica_that_has_restarted_is_stopped_again(self):
        # Guards against a replica that counts as stopped although a restart made it
        # receive again: it may be the only one with a commit.
        table = GroupTable(SECOND * 7)
        targets = {name: build_target(name) for name in ("a", "b", "d")}
        targets["c"] = build_target("c", is_draining=True, born_ms=5)
        table.update_targets(targets, SECOND)
        stopped_by_id = {"c": StoppedReplica(LogPosition(1, 4), 5)}
        group = build_steady(primary_id="a", stopped_by_id=stopped_by_id)
        table.apply_group_records({SERVICE: group})
        assert table.draining_replicas(SERVICE, "a") == []
        targets["c"] = targets["c"]._replace(born_ms=6)
        table.update_targets(targets, SECOND * 2)
        assert table.draining_replicas(SERVICE, "a") == [targets["c"]]

    def test_group_record_round_trip(self):
        group = build_steady(
            sealed=LogPosition(3, 4),
            stopped_by_id={"c": StoppedReplica(LogPosition(3, 2), 7)},
        )
        assert decode_group(group.encode(), group.revision) == group
        assert not decode_group(b"{}", 1)
        assert not decode_group(b"\xff", 1)


class TestReasonToReplace:
    def reason(self, probe, now=SECOND * 10, **changes):
        return reason_to_replace(build_target("a", **changes), probe, now)

    def test_healthy_primary_is_kept(self):
        assert not self.reason(PrimaryProbe())

    def test_draining_primary_is_replaced(self):
        assert self.reason(PrimaryProbe(), is_draining=True)

    def test_primary_that_refuses_connections_is_replaced(self):
        probe = PrimaryProbe(refused_since=SECOND * 9, is_suspected_widely=True)
        assert self.reason(probe)

    @pytest.mark.parametrize("condition", ["silent_since", "refused_since"])
    def test_failure_of_the_leaders_own_link_is_no_reason(self, condition):
        # Guards against a failover because the leader's own link is down; a broken link
        # can look like a machine that refuses connections.
        probe = PrimaryProbe(**{condition: SECOND})
        assert not self.reason(probe)
        assert self.reason(probe._replace(is_suspected_widely=True))

    def test_primary_without_replication_is_replaced(self):
        assert self.reason(PrimaryProbe(stalled_since=SECOND * 8))

    def test_demoted_primary_is_replaced(self):
        assert self.reason(PrimaryProbe(status=build_status(3)))


class TestMajority:
    @pytest.mark.parametrize(
        "suspecting, domains, expected",
        [(1, 1, True), (1, 2, True), (1, 3, False), (2, 3, True), (2, 4, False)],
    )
    def test_one_of_several_domains_is_no_majority(self, suspecting, domains, expected):
        assert is_majority(suspecting, domains) is expected


class TestChooseSuccessor:
    targets = {name: build_target(name) for name in ("b", "c")}

    def test_server_stopped_earlier_blocks_only_if_it_is_ahead(self):
        state = self.state(
            status_by_id={"b": build_status(4)},
            missing=frozenset({"c"}),
            stopped_position_by_id={"c": LogPosition(1, 4)},
        )
        assert choose_successor(self.targets, state) == "b"
        ahead = state._replace(stopped_position_by_id={"c": LogPosition(1, 5)})
        assert not choose_successor(self.targets, ahead)

    def state(self, **changes):
        state = FailoverState(
            is_closed=True,
            is_confirmed=True,
            status_by_id={},
            missing=frozenset(),
            demoted=None,
            acknowledged=None,
            acknowledged_bound=None,
            stopped_position_by_id={},
        )
        return state._replace(**changes)

    def test_no_server_is_chosen_while_commits_may_still_be_acknowledged(self):
        # Guards against a commit that is acknowledged after the choice, by way of a
        # replica that has restarted or joined since it was asked.
        state = self.state(
            is_closed=False,
            status_by_id={"b": build_status(4), "c": build_status(4)},
            demoted=build_status(4),
            acknowledged_bound=LogPosition(1, 4),
        )
        assert not choose_successor(self.targets, state)
        assert choose_successor(self.targets, state._replace(is_closed=True)) == "b"

    def test_highest_position_wins(self):
        statuses = {"b": build_status(4), "c": build_status(5)}
        state = self.state(status_by_id=statuses)
        assert choose_successor(self.targets, state) == "c"

    def test_later_term_wins_over_a_higher_offset(self):
        statuses = {"b": build_status(9), "c": build_status(5, term=2)}
        state = self.state(status_by_id=statuses)
        assert choose_successor(self.targets, state) == "c"

    def test_unreachable_replica_blocks_the_choice(self):
        # Guards against losing a commit that only an unreachable replica has confirmed.
        state = self.state(
            status_by_id={"b": build_status(4)}, missing=frozenset({"c"})
        )
        assert not choose_successor(self.targets, state)

    def test_acknowledged_position_makes_an_unreachable_replica_dispensable(self):
        state = self.state(
            status_by_id={"b": build_status(4)},
            missing=frozenset({"c"}),
            acknowledged_bound=LogPosition(1, 4),
        )
        assert choose_successor(self.targets, state) == "b"
        higher = state._replace(acknowledged_bound=LogPosition(1, 5))
        assert not choose_successor(self.targets, higher)
        # An instance that ended may have acknowledged more than is known.
        unbounded = state._replace(
            acknowledged=LogPosition(1, 4), acknowledged_bound=None
        )
        assert not choose_successor(self.targets, unbounded)

    def test_already_promoted_server_is_kept(self):
        # Guards against a second promotion if the answer to the first one was lost.
        statuses = {
            "b": build_status(4, term=2, role=ServerRole.PRIMARY),
            "c": build_status(5),
        }
        state = self.state(
            status_by_id=statuses, ordered_id="b", sealed=LogPosition(1, 4)
        )
        assert choose_successor(self.targets, state) == "b"
        # It is one already, so nothing that happens since then matters.
        reopened = state._replace(is_closed=False, missing=frozenset({"c"}))
        assert choose_successor(self.targets, reopened) == "b"

    def test_primary_of_an_earlier_term_is_not_taken_for_the_promoted_one(self):
        # Guards against a primary that was replaced behind a cut, and comes back while
        # its successor is being replaced: it lacks the commits of the later term.
        statuses = {
            "b": build_status(9, term=1, role=ServerRole.PRIMARY),
            "c": build_status(5, term=2),
        }
        state = self.state(status_by_id=statuses)
        assert choose_successor(self.targets, state) == "c"
        alone = self.state(
            status_by_id={"b": statuses["b"]},
            missing=frozenset({"c"}),
            acknowledged=LogPosition(2, 5),
            acknowledged_bound=LogPosition(2, 5),
        )
        assert not choose_successor(self.targets, alone)

    def test_demoted_primary_that_lost_its_log_says_nothing_about_commits(self):
        # Guards against a primary that restarted with an empty log under its id and
        # confirms that it is a replica.
        state = self.state(
            status_by_id={"b": build_status(4)},
            missing=frozenset({"c"}),
            demoted=build_status(0),
        )
        assert not choose_successor(self.targets, state)
        acknowledged = state._replace(
            demoted=build_status(4), acknowledged=LogPosition(1, 5)
        )
        assert not choose_successor(self.targets, acknowledged)
        whole = state._replace(demoted=build_status(4))
        assert choose_successor(self.targets, whole) == "b"

    def test_server_whose_promotion_was_ordered_is_kept(self):
        # Guards against two orders for different servers around a hand-over: the first
        # one may be executed last.
        statuses = {"b": build_status(4), "c": build_status(4)}
        state = self.state(
            status_by_id=statuses, ordered_id="c", sealed=LogPosition(1, 4)
        )
        assert choose_successor(self.targets, state) == "c"
        # No commit above the sealed position was acknowledged.
        other_ahead = state._replace(
            status_by_id=statuses | {"b": build_status(5)},
        )
        assert choose_successor(self.targets, other_ahead) == "c"
        without_log = state._replace(status_by_id=statuses | {"c": build_status(0)})
        assert choose_successor(self.targets, without_log) == "b"

    def test_primary_of_unknown_origin_is_kept_if_it_has_every_commit(self):
        # Guards against a change of the primary without a reason after a return of the
        # store, when the record does not tell who led last.
        statuses = {
            "b": build_status(4, term=2),
            "c": build_status(4, term=2, role=ServerRole.PRIMARY),
        }
        state = self.state(status_by_id=statuses)
        assert choose_successor(self.targets, state) == "c"
        earlier = statuses | {"c": statuses["c"]._replace(term=1)}
        assert choose_successor(self.targets, self.state(status_by_id=earlier)) == "b"

    def test_order_of_an_earlier_era_does_not_outweigh_later_commits(self):
        # Guards against the promotion of a server that a copy of the store names as
        # ordered, while another one has commits of a later primary (review/6).
        statuses = {"b": build_status(4), "c": build_status(4)}
        state = self.state(
            status_by_id=statuses,
            ordered_id="c",
            sealed=LogPosition(1, 4),
            is_sealed_in_era=False,
        )
        assert choose_successor(self.targets, state) == "c"
        # Commits of the sealed term were not acknowledged above the position.
        same_term = state._replace(status_by_id=statuses | {"b": build_status(5)})
        assert choose_successor(self.targets, same_term) == "c"
        later_term = state._replace(
            status_by_id=statuses | {"b": build_status(5, term=2)}
        )
        assert choose_successor(self.targets, later_term) == "b"
        # A server that does not answer may have them.
        assert not choose_successor(
            self.targets,
            state._replace(missing=frozenset({"a"}), acknowledged_bound=None),
        )
        assert not choose_successor(
            self.targets,
            state._replace(is_list_complete=False, acknowledged_bound=None),
        )

    def test_incomplete_list_does_not_show_that_all_servers_answered(self):
        state = self.state(status_by_id={"b": build_status(4)}, is_list_complete=False)
        assert not choose_successor(self.targets, state)
        bounded = state._replace(acknowledged_bound=LogPosition(1, 4))
        assert choose_successor(self.targets, bounded) == "b"
        # After a restart no instance knows what was acknowledged before.
        assert not choose_successor(self.targets, state)

    def test_answer_of_an_unlisted_server_that_is_ahead_blocks_the_choice(self):
        statuses = {"b": build_status(4), "unlisted": build_status(5)}
        assert not choose_successor(self.targets, self.state(status_by_id=statuses))

    def test_servers_that_are_given_up_must_not_have_been_needed(self):
        state = self.state(
            status_by_id={"b": build_status(4)},
            acknowledged=LogPosition(1, 5),
            has_given_up_servers=True,
        )
        assert not choose_successor(self.targets, state)
        covered = state._replace(acknowledged=LogPosition(1, 4))
        assert choose_successor(self.targets, covered)
        # An instance that was cut off may have acknowledged more by way of them.
        assert not choose_successor(self.targets, covered._replace(is_confirmed=False))
        assert choose_successor(
            self.targets, state._replace(accepts_missing_commits=True)
        )

    def test_server_that_joined_just_before_is_waited_for_if_commits_are_missing(self):
        state = self.state(
            status_by_id={"b": build_status(4)},
            acknowledged=LogPosition(1, 5),
            awaits_unlisted_servers=True,
        )
        assert not choose_successor(self.targets, state)
        assert choose_successor(
            self.targets, state._replace(acknowledged=LogPosition(1, 4))
        )
        # The position of an answer may cover commits that no client was told of.
        assert choose_successor(
            self.targets, state._replace(awaits_unlisted_servers=False)
        )

    @pytest.mark.parametrize("draining", ["b", "c"])
    def test_draining_server_is_the_last_choice_among_equals(self, draining):
        targets = self.targets | {draining: build_target(draining, is_draining=True)}
        statuses = {"b": build_status(4), "c": build_status(4)}
        state = self.state(status_by_id=statuses)
        assert choose_successor(targets, state) == ({"b", "c"} - {draining}).pop()

    def test_no_answers_yield_no_successor(self):
        assert not choose_successor(self.targets, self.state())
