"""Stateful test of three servers of a group, without sockets or threads."""

import time

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bulrushloom.databases.base import Role
from bulrushloom.databases.exceptions import StatementRefused
from standins.database.app import DEFAULTS, DatabaseFaults, GroupSettings
from standins.database.engine import InMemoryDatabase
from standins.database.replication import Replication, ship_entries
from standins.database.state import ServerState
from standins.faults import Faults, TypeAdapter
from tests.standins.builders import INSERT, SCHEMA, SELECT

SERVERS = st.integers(0, 2)
MAJORITY = 2


class GroupMachine(RuleBasedStateMachine):
    """Fence, promote, follow, write and replicate in any order."""

    def __init__(self):
        super().__init__()
        faults = Faults(TypeAdapter(DatabaseFaults), DEFAULTS)
        self.servers = []
        for index in range(3):
            group = GroupSettings(str(index), "g", "d", {}, index == 0)
            state = ServerState(group, SCHEMA)
            state.address = f"127.0.0.1:{index}"
            self.servers.append(state)
        self.replications = [Replication(state, faults) for state in self.servers]
        self.primary_by_term = {1: 0}
        self.acknowledged = {}
        self.items = 0
        self.attempts = 0
        for index in (1, 2):
            with self.servers[index].changed:
                self.servers[index].follow(1, "127.0.0.1:0")

    @rule(index=SERVERS)
    def write(self, index):
        primaries = [row for row in self.servers if row.role is Role.PRIMARY]
        if not primaries:
            return
        state = primaries[index % len(primaries)]
        with state.changed:
            self.items += 1
            params = [f"item-{self.items}"]
            state.workspace.begin()
            state.workspace.write(INSERT, params)
            state.workspace.commit()
            state.append([[INSERT, params]], [])

    @rule(members=st.sets(SERVERS, min_size=1), rounds=st.integers(1, 3))
    def replicate(self, members, rounds):
        for index in sorted(members) * rounds:
            self._replicate(index)

    def _replicate(self, index):
        state = self.servers[index]
        with state.changed:
            if not state.primary_address:
                return
            primary = self.servers[int(state.primary_address[-1])]
            previous = state.log.position
            if primary.log.position == previous:
                return
            try:
                answer = ship_entries(primary, state.term, previous, 0.0)
            except StatementRefused:
                return
            self.replications[index].apply_pull_answer(answer, time.monotonic())

    @rule(
        observer=SERVERS,
        voters=st.sets(SERVERS, min_size=2),
        follows_new_primary=st.booleans(),
    )
    def elect(self, observer, voters, follows_new_primary):
        # Each attempt uses a new candidate name, because repeated fences of one
        # candidate are granted the same term again.
        self.attempts += 1
        term, attempt = self.servers[observer].term + 1, f"attempt-{self.attempts}"
        granted = [row for row in sorted(voters) if self._fence(row, term, attempt)]
        if len(granted) < MAJORITY:
            return
        best = max(granted, key=lambda index: self.servers[index].log.position)
        state = self.servers[best]
        with state.changed:
            state.promote(term, attempt)
        assert self.primary_by_term.setdefault(term, best) == best
        for index in granted if follows_new_primary else []:
            self._follow(index, term)

    def _fence(self, index, term, attempt):
        state = self.servers[index]
        with state.changed:
            try:
                state.fence(term, attempt)
            except StatementRefused:
                return False
            return True

    @rule(members=st.sets(SERVERS, min_size=1), terms_back=st.integers(0, 1))
    def follow(self, members, terms_back):
        terms = sorted(self.primary_by_term)
        for index in sorted(members):
            self._follow(index, terms[max(0, len(terms) - 1 - terms_back)])

    def _follow(self, index, term):
        primary = self.primary_by_term[term]
        if primary == index:
            return
        state = self.servers[index]
        with state.changed:
            try:
                state.follow(term, f"127.0.0.1:{primary}")
            except StatementRefused:
                assert term < state.term or state.role is Role.PRIMARY

    @rule(unreplicated_writes=st.integers(1, 3), writes=st.integers(0, 4))
    def depose(self, unreplicated_writes, writes):
        """Replace a primary that has entries which no other server has."""
        latest = self.primary_by_term[max(self.primary_by_term)]
        for _ in range(unreplicated_writes):
            self.write(latest)
        self.elect(latest, {0, 1, 2} - {latest}, True)
        for _ in range(writes):
            self.write(self.primary_by_term[max(self.primary_by_term)])

    @rule()
    def acknowledge(self):
        """Acknowledge the entries that a majority of the servers of one term has."""
        for state in self.servers:
            peers = [row for row in self.servers if row.term == state.term]
            held = sorted(row.log.position for row in peers)
            if state.role is Role.PRIMARY and len(held) >= MAJORITY:
                position = held[-MAJORITY]
                if position.term == state.term:
                    entry = state.log.entry(position.offset)
                    self.acknowledged[position] = entry.statements

    @invariant()
    def a_term_has_one_primary(self):
        terms = [row.term for row in self.servers if row.role is Role.PRIMARY]
        assert len(terms) == len(set(terms))

    @invariant()
    def acknowledged_entries_are_in_the_log_of_every_later_primary(self):
        for state in self.servers:
            if state.role is not Role.PRIMARY:
                continue
            for position, statements in self.acknowledged.items():
                if position.term <= state.term:
                    entry = state.log.entry(position.offset)
                    assert entry is not None
                    assert (entry.position, entry.statements) == (position, statements)

    def teardown(self):
        """Let all servers catch up, then compare their logs and data."""
        term = max(row.term for row in self.servers) + 1
        for index in range(3):
            assert self._fence(index, term, "last")
        best = max(range(3), key=lambda index: self.servers[index].log.position)
        with self.servers[best].changed:
            self.servers[best].promote(term, "last")
        self.primary_by_term[term] = best
        self.follow({0, 1, 2}, 0)
        # Each round discards at least one divergent entry, and a run has fewer than
        # 500 entries.
        self.replicate({0, 1, 2}, 500)
        entries = [_content(row.log) for row in self.servers]
        assert entries[0] == entries[1] == entries[2]
        for state in self.servers:
            replayed = InMemoryDatabase(SCHEMA)
            for entry in state.log.entries_after(0, state.applied.offset):
                replayed.apply(entry.statements)
            expected = replayed.read(SELECT, []).rows
            assert state.committed_data.read(SELECT, []).rows == expected
            if state.workspace is not None:
                assert state.workspace.read(SELECT, []).rows == expected
            replayed.close()


def _content(log):
    return [(entry.position, entry.statements) for entry in log.entries_after(0, 1000)]


TestGroup = GroupMachine.TestCase
TestGroup.settings = settings(
    derandomize=True, deadline=None, max_examples=100, stateful_step_count=30
)
