from datetime import timedelta

import pytest

from bulrushloom.coordination.failover.base import FailoverPolicy, GroupTarget
from bulrushloom.coordination.failover.rounds import REJOIN_TERM_STEP, next_term
from tests.coordination.failover.builders import (
    NODES,
    SERVERS,
    Network,
    SimulatedGroup,
)

SECOND = timedelta(seconds=1)


@pytest.fixture
def group():
    group = SimulatedGroup()
    assert group.run_until(group.primary, 4 * SECOND)
    group.run(3 * SECOND)
    return group


def owner_node_of(name):
    return NODES[SERVERS.index(name)]


def started_rounds(group):
    return [item.fields for item in group.logged if item.event == "round_started"]


def failover_time(group, old):
    start = group.now

    def replaced():
        primary = group.primary()
        return primary is not None and primary.name != old

    assert group.run_until(replaced, 12 * SECOND)
    return group.now - start


def test_new_group_gets_a_primary_that_all_follow(group):
    assert group.primary().name == "a"
    assert {group.server_by_name[name].source for name in "bc"} == {"a"}
    assert [node.view.primary for node in group.monitor_by_node.values()] == ["a"] * 3


@pytest.mark.parametrize(
    ("paused", "limit"),
    [(0, 2.5), (1, 3.5), (2, 4.5)],
    ids=["first", "second", "third"],
)
def test_each_rank_takes_over_a_second_later(group, paused, limit):
    # Guards against a failover gap above the objective when watchers fail as well.
    group.paused_nodes = set(NODES[:paused])
    group.crash("a")
    assert failover_time(group, "a") <= limit * SECOND
    assert len(started_rounds(group)) == 2


def test_lost_answers_do_not_start_a_second_term(group):
    # Guards against abandoning a round that the servers have granted.
    before = len(started_rounds(group))
    group.network = Network(loss=0.25)
    group.crash("a")
    failover_time(group, "a")
    assert len(started_rounds(group)) == before + 1


def test_primary_in_contact_with_servers_and_a_watcher_is_kept(group):
    # Guards against a failover because one watcher cannot reach the primary.
    group.isolated = frozenset({"w1"})
    group.run(10 * SECOND)
    assert (group.primary().name, len(started_rounds(group))) == ("a", 1)


def drop_polls(group, nodes, name):
    """Drop the status calls of ``nodes`` to one server."""
    poll = group._poll
    group._poll = lambda node, target: (
        None if target == name and node in nodes else poll(node, target)
    )


def test_unreachable_primary_is_replaced_if_no_watcher_sees_it(group):
    # Guards against waiting forever for a primary that only other servers can reach.
    drop_polls(group, NODES, "a")
    group.run(4 * SECOND)
    assert group.primary().name == "a"
    assert "majority" in group.monitor_by_node["w1"].view.primary.reason
    group.run(4 * SECOND)
    assert group.primary().name != "a"


def test_report_that_the_primary_answers_prevents_the_override(group):
    # Guards against a failover because two of three watchers cannot reach the primary.
    drop_polls(group, ("w1", "w2"), "a")
    group.run(12 * SECOND)
    assert (group.primary().name, len(started_rounds(group))) == ("a", 1)


def test_leaving_primary_is_moved_without_losing_a_write(group):
    for number in range(5):
        group.write("w1", f"before-{number}")
    group.leaving = {"a"}
    group.update_rules()
    assert failover_time(group, "a") <= SECOND
    primary = group.primary()
    assert {f"before-{n}" for n in range(5)} <= {entry.payload for entry in primary.log}
    assert len(group.acknowledged) == 5


def test_leaving_primary_with_lagging_replicas_is_moved_in_the_end(group):
    # Guards against moves under load that keep the leaving primary again and again.
    group.leaving = {"a"}
    group.update_rules()
    group.copied_per_step = 1
    for number in range(300):
        group.write("w1", f"x{number}")
        group.write("w1", f"y{number}")
        group.run(SECOND / 10)
    assert group.primary().name != "a"


def test_returning_primary_follows_and_discards_its_unacknowledged_entries(group):
    group.isolated = frozenset({"a", "w1"})
    group.write("w1", "lost")
    failover_time(group, "a")
    group.isolated = frozenset()
    group.run(3 * SECOND)
    old, new = group.server_by_name["a"], group.primary()
    assert (old.source, old.log) == (new.name, new.log)
    assert "lost" not in group.acknowledged


def test_server_without_its_log_returns_through_a_rejoin_term(group):
    # Guards against counting a server that lost acknowledged writes.
    group.crash("a")
    failover_time(group, "a")
    group.server_by_name["a"].restart_empty()
    group.run(6 * SECOND)
    assert started_rounds(group)[-1]["term"] % REJOIN_TERM_STEP == 0
    assert group.server_by_name["a"].log == group.primary().log


def test_two_servers_without_their_logs_do_not_make_a_primary(group):
    group.write("w1", "kept")
    group.run(SECOND)
    for name in SERVERS:
        group.crash(name)
    group.run(2 * SECOND)
    group.server_by_name["a"].restart_empty()
    group.server_by_name["b"].restart_empty()
    group.run(10 * SECOND)
    assert group.primary() is None
    group.server_by_name["c"].restart()
    group.run(10 * SECOND)
    assert "kept" in {entry.payload for entry in group.primary().log}


def test_paused_watcher_does_not_suspect_the_primary_when_it_resumes(group):
    group.paused_nodes = {"w1"}
    group.run(20 * SECOND)
    group.paused_nodes = set()
    group.run(5 * SECOND)
    assert len(started_rounds(group)) == 1


def test_group_without_servers_stays_without_a_primary(group):
    # Guards against an empty quorum when the rules remove a group.
    monitor = group.monitor_by_node["w1"]
    monitor.update_servers([], NODES, "w1")
    group.run(10 * SECOND)
    assert "no server" in monitor.view.primary.reason


def test_instance_that_is_no_watcher_never_promotes(group):
    for monitor in group.monitor_by_node.values():
        monitor.update_servers([GroupTarget(name) for name in SERVERS], NODES, "w9")
    group.crash("a")
    group.run(12 * SECOND)
    assert len(started_rounds(group)) == 1


def test_server_without_its_log_does_not_help_to_replace_the_primary(group):
    # Guards against a majority without a server that holds an acknowledged write.
    group.write("w1", "kept")
    group.run(SECOND)
    group.server_by_name["b"].restart_empty()
    group.run(SECOND / 10)
    group.crash("a")
    group.run(12 * SECOND)
    assert group.primary() is None


def test_thresholds_come_from_the_policy():
    assert FailoverPolicy().poll_interval == timedelta(milliseconds=500)
    assert (next_term(1000, False), next_term(1000, True)) == (1001, 2000)
