"""Real monitors and trackers with a simulated group under faults."""

from datetime import timedelta

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from bulrushloom.coordination.failover import planning
from bulrushloom.coordination.failover.monitor import GroupMonitor
from bulrushloom.coordination.failover.rounds import PromotionRound
from bulrushloom.coordination.replication.base import WriteDurable
from bulrushloom.coordination.replication.tracker import AcknowledgementTracker
from bulrushloom.coordination.sessions.tokens import SessionCodec, SessionToken
from tests.coordination.failover.builders import (
    GROUP,
    NODES,
    SERVERS,
    Network,
    SimulatedGroup,
)

PROGRESS_LIMIT = timedelta(seconds=12)
# A restart without the log takes longer than the delay of any message.
WIPE_DOWNTIME = timedelta(seconds=2)
SECRET = "fleet-secret"
ACCOUNT = "hotel-orders"

servers = st.sampled_from(SERVERS)
nodes = st.sampled_from(NODES)
durations = st.sampled_from([100, 400, 700, 1200, 3000]).map(
    lambda ms: timedelta(milliseconds=ms)
)


class FailoverMachine(RuleBasedStateMachine):
    group_class = SimulatedGroup

    def __init__(self):
        super().__init__()
        self.writes = 0
        self.incomplete: set[str] = set()
        self.seen_by_session: set[str] = set()
        self.session_text = SessionCodec(SECRET).encode(SessionToken(ACCOUNT))

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.group = self.group_class(seed)
        assert self.group.run_until(self.group.primary, PROGRESS_LIMIT)
        self.group.run(timedelta(seconds=2))

    @rule(duration=durations)
    def run(self, duration):
        self.group.run(duration)

    @rule(node=nodes, count=st.integers(1, 4), duration=durations)
    def write(self, node, count, duration):
        for _ in range(count):
            self.writes += 1
            self.group.write(node, f"w{self.writes}")
        self.group.run(duration)

    @rule(duration=durations)
    def write_everywhere(self, duration):
        for node in NODES:
            self.write(node, 1, timedelta())
        self.group.run(duration)

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.3]),
        doubled=st.sampled_from([0.0, 0.3]),
        delay=st.sampled_from([2, 100, 1000]),
    )
    def change_network(self, loss, doubled, delay):
        self.group.network = Network(loss, doubled, timedelta(milliseconds=delay))

    @rule(count=st.sampled_from([0, 1, 3]))
    def change_replication_speed(self, count):
        self.group.copied_per_step = count

    @rule(names=st.sets(st.sampled_from(SERVERS + NODES), max_size=4))
    def cut(self, names):
        self.group.isolated = frozenset(names)

    @rule()
    def cut_off_primary_with_its_owner(self):
        primary = self.group.primary()
        if primary is not None:
            owner = NODES[SERVERS.index(primary.name)]
            self.group.isolated = frozenset({primary.name, owner})

    @rule()
    def write_to_cut_off_primary(self):
        """Let a write wait at the isolated owner until after a failover."""
        primary = self.group.primary()
        if primary is not None:
            owner = NODES[SERVERS.index(primary.name)]
            self.cut_off_primary_with_its_owner()
            self.write(owner, 1, timedelta(milliseconds=2300))
            self.write_everywhere(timedelta(milliseconds=300))
            self.group.isolated = frozenset()
            self.group.run(timedelta(milliseconds=700))

    @rule(name=servers)
    def crash(self, name):
        self.group.crash(name)

    @rule(name=servers)
    def restart(self, name):
        if not self.group.server_by_name[name].is_up:
            self.group.server_by_name[name].restart()

    @precondition(lambda self: not self._incomplete())
    @rule(name=servers, duration=durations)
    def lose_log(self, name, duration):
        self.group.crash(name)
        self.group.run(WIPE_DOWNTIME)
        self.group.server_by_name[name].restart_empty()
        self.incomplete.add(name)
        self.group.run(duration)

    @precondition(lambda self: not self._incomplete())
    @rule(crash_first=st.booleans(), duration=durations)
    def lose_log_of_only_caught_up_replica(self, crash_first, duration):
        self.settle()
        primary = self.group.primary()
        lagging, other = [name for name in SERVERS if name != primary.name]
        self.group.lagging = {lagging}
        for _ in range(3):
            self.write(NODES[SERVERS.index(primary.name)], 8, timedelta(seconds=1))
        if crash_first:
            self.group.crash(primary.name)
        self.group.copied_per_step = 1
        self.lose_log(other, duration)
        self.group.crash(primary.name)
        self.group.run(timedelta(seconds=4))

    @rule(names=st.sets(servers, max_size=2))
    def hold_back(self, names):
        self.group.lagging = names

    @rule(name=servers)
    def pause_server(self, name):
        self.group.server_by_name[name].paused = True

    @rule(node=nodes)
    def pause_node(self, node):
        self.group.paused_nodes.add(node)

    @rule(node=nodes)
    def restart_node(self, node):
        self.group.paused_nodes.discard(node)
        self.group.restart_node(node)

    @rule()
    def resume_all(self):
        self.group.paused_nodes.clear()
        for server in self.group.server_by_name.values():
            server.paused = False

    @rule(name=st.none() | servers)
    def set_leaving(self, name):
        self.group.leaving = {name} - {None}
        self.group.update_rules()

    @rule()
    def take_session_along(self):
        codec = SessionCodec(SECRET)
        token = codec.decode(self.session_text, ACCOUNT)
        for payload, position in self.group.acknowledged.items():
            token = token.advance(GROUP, position)
            self.seen_by_session.add(payload)
        self.session_text = codec.encode(token)

    @rule(name=servers)
    def read_with_session(self, name):
        server = self.group.server_by_name[name]
        token = SessionCodec(SECRET).decode(self.session_text, ACCOUNT)
        if server.is_up and server.held >= token.position(GROUP):
            visible = {entry.payload for entry in server.log}
            assert self.seen_by_session <= visible, "read-your-writes violated"

    @rule()
    def settle(self):
        """Check that writes succeed again within the limit without faults."""
        self.group.heal()
        before = len(self.group.acknowledged)

        def write_works():
            for node in NODES:
                self.write(node, 1, timedelta())
            return len(self.group.acknowledged) > before

        assert self.group.run_until(write_works, PROGRESS_LIMIT), "no progress"
        # A planned move may be in progress.
        assert self.group.run_until(self.group.primary, PROGRESS_LIMIT)

    def _incomplete(self):
        """Return the servers that lost their log and may not have copied all of it."""
        for name in list(self.incomplete):
            server = self.group.server_by_name[name]
            if server.log and server.log[-1].term == server.term >= 1000:
                self.incomplete.discard(name)
        return self.incomplete


def run_machine(machine, examples, steps=30, phases=tuple(Phase)):
    run_state_machine_as_test(
        machine,
        settings=settings(
            derandomize=True,
            deadline=None,
            database=None,
            max_examples=examples,
            stateful_step_count=steps,
            print_blob=False,
            phases=phases,
        ),
    )


def test_writes_survive_and_primaries_return():
    # Guards against lost acknowledged writes, two primaries in a term,
    # read-your-writes violations and a group that stays without a primary.
    run_machine(FailoverMachine, 200)


class MinorityRound(PromotionRound):
    def has_quorum(self, table):
        return len(self.grant_by_target) >= 1


class EmptyCountingRound(PromotionRound):
    def has_quorum(self, table):
        return len(self.grant_by_target) >= table.majority


class LowestLogRound(PromotionRound):
    def choose(self, table, current, exclude_leaving):
        if self.chosen is None:
            grants = self.grant_by_target
            self.chosen = min(grants, key=lambda name: grants[name].stored_position)
        return self.chosen


class OneRoundMonitor(GroupMonitor):
    """Start no further failover after the first round."""

    def _start_failover_if_due(self):
        return [] if self._last_term else super()._start_failover_if_due()


class LonePrimaryTracker(AcknowledgementTracker):
    def _evaluate_write(self, request_id, waiting, now):
        return WriteDurable(request_id)


class OffsetTracker(AcknowledgementTracker):
    """Compare offsets without terms."""

    def _has_entry(self, target, position):
        known = self._progress_by_target.get(target)
        return known is not None and known.held.offset >= position.offset


def broken(monitor=GroupMonitor, tracker=AcknowledgementTracker, promotion=None):
    """Return the state machine with one deliberately wrong component."""
    classes = {"round_class": promotion} if promotion else {}
    group = type(
        "BrokenGroup",
        (SimulatedGroup,),
        {
            "monitor_class": type("BrokenMonitor", (monitor,), classes),
            "tracker_class": tracker,
        },
    )
    return type("BrokenMachine", (FailoverMachine,), {"group_class": group})


@pytest.mark.parametrize(
    ("machine", "message"),
    [
        (broken(promotion=MinorityRound), "acknowledged write|two primaries"),
        (broken(promotion=EmptyCountingRound), "acknowledged write"),
        (broken(promotion=LowestLogRound), "acknowledged write"),
        (broken(monitor=OneRoundMonitor), "no progress|None"),
        (broken(tracker=LonePrimaryTracker), "acknowledged write"),
        (broken(tracker=OffsetTracker), "acknowledged write"),
    ],
    ids=["minority", "empty-counts", "lowest-log", "one-round", "alone", "offset"],
)
def test_broken_variant_is_caught(machine, message):
    # Guards against a state machine that cannot detect such faults.
    with pytest.raises(AssertionError, match=message):
        run_machine(machine, 300, phases=(Phase.generate,))


def test_early_return_of_a_server_without_its_log_is_caught(monkeypatch):
    # Guards against an incomplete copy of the log that counts as a complete one.
    monkeypatch.setattr(planning, "may_rejoin", lambda *_: True)
    with pytest.raises(AssertionError, match="acknowledged write"):
        run_machine(FailoverMachine, 400, phases=(Phase.generate,))
