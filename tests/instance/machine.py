"""Hypothesis state machine for a fleet of nodes, run by ``test_node_machine``."""

from datetime import timedelta

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from bulrushloom.coordination.configuration.base import RULES_KEY
from bulrushloom.instance.node import Node
from bulrushloom.instance.router import StatementRouter
from tests.instance.builders import (
    DOMAINS,
    INSTANCES,
    TARGETS,
    Fleet,
    Network,
    seconds,
)
from tests.instance.callers import Callers, Session

PROGRESS_LIMIT = seconds(12)
CONVERGENCE_LIMIT = seconds(6)
DRAIN_LIMIT = seconds(25)
# An instance stops only after the others have detected the previous restart, and an
# instance of the same domain only after the electorate has been able to change.
RESTART_INTERVAL = seconds(8)
DOMAIN_RESTART_INTERVAL = seconds(35)

instances = st.sampled_from(sorted(INSTANCES))
targets = st.sampled_from(sorted(TARGETS))
domains = st.sampled_from(DOMAINS)
session_numbers = st.integers(0, 3)
durations = st.sampled_from([0.1, 0.4, 1.2, 3]).map(seconds)


class NodeMachine(RuleBasedStateMachine):
    node_class: type[Node] = Node
    router_class: type[StatementRouter] = StatementRouter

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed: int) -> None:
        self.fleet = Fleet(seed, self.node_class, self.router_class)
        self.callers = Callers(self.fleet)
        self.sessions = [Session(f"shop-{1 + number % 2}") for number in range(2)]
        self.sessions += [Session(f"agency-{1 + number % 2}") for number in range(2)]
        self.restarted_at: dict[str, timedelta] = {}
        self.drains: list[tuple[str, object, timedelta]] = []
        self.callers.apply_rules("", set(), timedelta())
        self.fleet.run(seconds(0.1))
        ready = self.fleet.run_until(
            lambda: all(one.is_ready for one in self.fleet.processes.values()),
            PROGRESS_LIMIT,
        )
        assert ready, "the fleet does not become ready"
        self.fleet.run(seconds(2))

    def _run(self, duration: timedelta) -> None:
        self.fleet.run(duration)
        self._end_drains()
        self.callers.check()

    # Callers

    @rule(number=session_numbers, keyed=st.booleans(), count=st.integers(1, 4))
    def write(self, number: int, keyed: bool, count: int) -> None:
        for _ in range(count):
            process = self.callers.any_entry()
            if process is not None:
                self.callers.write(process, self.sessions[number], keyed)

    @rule(number=session_numbers, count=st.integers(1, 4))
    def read(self, number: int, count: int) -> None:
        for _ in range(count):
            process = self.callers.any_entry()
            if process is not None:
                self.callers.read(process, self.sessions[number])

    @rule(number=session_numbers, keyed=st.booleans(), duration=durations)
    def write_then_read(self, number: int, keyed: bool, duration: timedelta) -> None:
        self.write(number, keyed, 2)
        self._run(duration)
        self.read(number, 2)

    @rule(number=session_numbers, count=st.integers(0, 3), commit=st.booleans())
    def transact(self, number: int, count: int, commit: bool) -> None:
        self.callers.transact(self.sessions[number], count, commit)

    @rule(number=session_numbers, key=st.sampled_from(["small-1", "agency-1"]))
    def steal(self, number: int, key: str) -> None:
        self.callers.transact(self.sessions[number], 4, True)
        self._run(seconds(0.4))
        self.callers.steal(key)

    @rule(count=st.integers(5, 15))
    def flood(self, count: int) -> None:
        for _ in range(count):
            process = self.callers.any_entry()
            if process is not None:
                self.callers.read(process, Session("small-1"))

    @rule(duration=durations)
    def run(self, duration: timedelta) -> None:
        self._run(duration)

    # Operators

    @rule(name=targets, leaving=st.booleans(), delay=durations)
    def change_leaving(self, name: str, leaving: bool, delay: timedelta) -> None:
        self.callers.apply_rules(name if leaving else "", set(), delay)

    @rule(name=targets, number=session_numbers)
    def retire(self, name: str, number: int) -> None:
        self.callers.apply_rules(name, set(), timedelta())
        self._run(seconds(7))
        self.read(number, 4)
        self.write(number, True, 2)
        self._run(seconds(0.4))

    @rule(key=st.sampled_from(["shop-2", "agency-2", "small-2"]), delay=durations)
    def withdraw(self, key: str, delay: timedelta) -> None:
        self.callers.apply_rules(self.callers.leaving, {key}, delay)

    # Faults

    @rule(
        loss=st.sampled_from([0.0, 0.05, 0.3]),
        doubled=st.sampled_from([0.0, 0.3]),
        max_delay=st.sampled_from([0.002, 0.05, 0.5, 2.0]),
        call_loss=st.sampled_from([0.0, 0.05, 0.2]),
    )
    def network(
        self, loss: float, doubled: float, max_delay: float, call_loss: float
    ) -> None:
        self.fleet.network = Network(loss, doubled, max_delay, call_loss)

    @rule(
        number=session_numbers,
        keyed=st.booleans(),
        duration=durations,
        network=st.sampled_from(
            [
                Network(doubled=0.5),
                Network(loss=0.3),
                Network(call_loss=0.3),
            ]
        ),
    )
    def write_in_storm(
        self,
        number: int,
        keyed: bool,
        duration: timedelta,
        network: Network,
    ) -> None:
        self.fleet.network = network
        self.write(number, keyed, 4)
        self.callers.transact(self.sessions[number], 2, True)
        self._run(duration)
        self._restart_owner()
        self.write(number, keyed, 4)
        self._run(seconds(2))

    def _restart_owner(self) -> None:
        """Restart the owner that ran the last statement, if it is allowed to stop."""
        if self.fleet.runs:
            last = self.fleet.process_of_run[self.fleet.runs[-1].node]
            self.crash(last.name, 0.01)

    @rule(name=domains)
    def cut(self, name: str) -> None:
        self.fleet.cut = {name}

    @rule()
    def join(self) -> None:
        self.fleet.cut = set()

    @rule(up=st.booleans(), lost=st.sampled_from([0.0, 0.5]))
    def store(self, up: bool, lost: float) -> None:
        self.fleet.platform.store_up = up
        self.fleet.platform.lost_answers = lost

    @rule(name=instances, restart=st.sampled_from([0.01, 1.0, 5.0]))
    def crash(self, name: str, restart: float) -> None:
        if self._may_stop(name):
            self.fleet.crash(name)
            again = self.fleet.now + seconds(restart)
            self.fleet.at(again, lambda: self._restart(name))

    @rule(name=instances, duration=durations)
    def pause(self, name: str, duration: timedelta) -> None:
        process = self.fleet.processes[name]
        process.paused_until = self.fleet.now + duration

    @rule(name=targets, duration=durations)
    def crash_server(self, name: str, duration: timedelta) -> None:
        if all(server.is_up for server in self.fleet.servers.values()):
            self.fleet.servers[name].is_up = False
            self.fleet.at(self.fleet.now + duration, self.fleet.servers[name].start)

    @rule(name=targets, number=session_numbers)
    def read_while_lagging(self, name: str, number: int) -> None:
        self.fleet.lagging = {name}
        self.write(number, True, 2)
        self._run(seconds(0.4))
        self.read(number, 4)
        self._run(seconds(0.1))

    @rule(number=session_numbers)
    def lose_primary(self, number: int) -> None:
        """Write while no replica copies the log, then stop the primary for 8 s."""
        primaries = [one for one in self.fleet.servers.values() if one.is_primary]
        if not primaries:
            return
        name = max(primaries, key=lambda one: one.term).name
        self.fleet.lagging = set(TARGETS)
        self.write(number, False, 2)
        self._run(seconds(0.4))
        self.crash_server(name, seconds(8))
        self._run(seconds(1))
        self.fleet.lagging = set()
        self._run(seconds(8))

    @rule(name=instances)
    def drain(self, name: str) -> None:
        if self._may_stop(name):
            process = self.fleet.processes[name]
            process.drain()
            self.drains.append((name, process, self.fleet.now))

    def _may_stop(self, name: str) -> bool:
        """Return whether an instance may stop: one at a time, at safe intervals."""
        last = max(self.restarted_at.values(), default=-RESTART_INTERVAL)
        process = self.fleet.processes[name]
        last_here = max(
            (
                at
                for other, at in self.restarted_at.items()
                if INSTANCES[other] == process.domain
            ),
            default=-DOMAIN_RESTART_INTERVAL,
        )
        if self.fleet.now - last_here < DOMAIN_RESTART_INTERVAL:
            return False
        stopping = any(
            not one.alive or one.node.draining for one in self.fleet.processes.values()
        )
        allowed = not stopping and self.fleet.now - last >= RESTART_INTERVAL
        return allowed and process.alive

    def _restart(self, name: str) -> None:
        self.restarted_at[name] = self.fleet.now
        if not self.fleet.processes[name].alive:
            self.fleet.start(name)

    def _end_drains(self) -> None:
        for name, process, begun in list(self.drains):
            if process.node.is_idle and not process.open_requests:
                self.fleet.crash(name)
                self.drains.remove((name, process, begun))
                self._restart(name)
            else:
                assert self.fleet.now - begun <= DRAIN_LIMIT, (
                    f"invariant 12: {name} does not end its drain"
                )

    # Progress

    @precondition(lambda self: hasattr(self, "fleet"))
    @rule()
    def heal_and_write(self) -> None:
        self.fleet.heal()
        self._check_progress()

    def _check_progress(self) -> None:
        waiting = set(INSTANCES)
        ends = self.fleet.now + PROGRESS_LIMIT
        while waiting and self.fleet.now < ends:
            for name in sorted(waiting):
                process = self.fleet.processes[name]
                self.callers.write(process, self.sessions[0], True)
            before = len(self.callers.requests)
            self._run(seconds(0.5))
            assert len(self.callers.requests) >= before
            waiting = {name for name in waiting if not self._has_written(name)}
            waiting -= {name for name, *_ in self.drains}
        assert not waiting, f"no write succeeds through {sorted(waiting)}"

    def _has_written(self, name: str) -> bool:
        since = self.fleet.now - PROGRESS_LIMIT
        return any(
            one.process is self.fleet.processes[name]
            and one.acknowledged
            and one.sent_at >= since
            for one in self.callers.requests[-400:]
        )

    def teardown(self) -> None:
        if not hasattr(self, "fleet"):
            return
        self.fleet.heal()
        self._check_progress()
        while self.drains:
            self._run(seconds(1))
        self.callers.apply_rules("", set(), timedelta())
        self._run(CONVERGENCE_LIMIT)
        version, _ = self.fleet.platform.value_by_key[RULES_KEY]
        for process in self.fleet.processes.values():
            assert process.node.tracker.version == version, (
                f"invariant 13: {process.name} stays at an old version"
            )
            text = self.fleet.platform.text_by_version[version]
            assert process.node.tracker.text == text, "invariant 13: other text"
        self.callers.check_final()
