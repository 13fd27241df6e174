"""State machine: sessions with servers that lose, interrupt and refuse answers.

The invariants compare the answers to clients with the statements that servers ran.
"""

from contextlib import ExitStack
from datetime import timedelta

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bulrushloom.proxy.store_freshness import KEY_CHECK_MARGIN
from standins.platform.network import ONE_WAY
from standins.platform.promises import CallerRecord, History
from tests.proxy.builders import SETTINGS, SimulatedClient, SimulatedInstance, ms

DATABASES = ("strict", "bounded", "own")
MAX_SESSIONS = 5
MAX_STALENESS = timedelta(milliseconds=1500)
# Keys are accepted while the last read of the store is not older than this.
MAX_KEY_AGE = SETTINGS.withdrawn_key_bound - KEY_CHECK_MARGIN


class Caller(CallerRecord):
    """Record of one session with the statement that awaits its answer."""

    def __init__(self, instance, database, name):
        super().__init__(name, "hotel", "key-1", database)
        self.client: SimulatedClient = instance.client(database)
        self.pending = ""
        self.lines: list[str] = []


class SessionMachine(RuleBasedStateMachine):
    """Drive several concurrent sessions.

    Hypothesis orders the rules by name, so renaming one changes the examples drawn.
    """

    def __init__(self):
        super().__init__()
        self.stack = ExitStack()
        self.instance = SimulatedInstance(self.stack)
        self.callers: list[Caller] = []
        self.history = History(self.instance.group, MAX_STALENESS)
        self.opened = 0

    def teardown(self):
        self.stack.close()

    # Client actions

    @precondition(lambda self: len(self.callers) < MAX_SESSIONS)
    @rule(database=st.sampled_from(DATABASES))
    def open_session(self, database):
        self.opened += 1
        # The START message is decided on arrival, before the next read of the store.
        decided_at = self.instance.loop.now() + ONE_WAY
        key_age = decided_at - self.instance.store_read_at
        caller = Caller(self.instance, database, f"c{self.opened}")
        if caller.client.start_answer == ["READY I -"]:
            self.callers.append(caller)
            assert key_age <= MAX_KEY_AGE
        else:
            assert caller.client.start_answer[0].startswith("ERR BUSY")
            assert key_age > MAX_KEY_AGE

    def idle_caller(self, number):
        callers = [c for c in self.callers if not c.pending]
        return callers[number % len(callers)] if callers else None

    def send(self, caller, text, shape=""):
        now = self.instance.loop.now()
        caller.pending = self.history.send(caller, text, now, shape)
        caller.client.send(f"QUERY {caller.pending} {text}")

    @rule(number=st.integers(0, 9), item=st.integers(1, 3))
    def read(self, number, item):
        if caller := self.idle_caller(number):
            self.send(caller, f"READ {item}")

    @rule(number=st.integers(0, 9), item=st.integers(1, 3))
    def write(self, number, item):
        if caller := self.idle_caller(number):
            self.send(caller, f"WRITE {item} data")

    @rule(number=st.integers(0, 9), value=st.sampled_from("xyz"))
    def set_value(self, number, value):
        if caller := self.idle_caller(number):
            self.send(caller, f"SET zone {value}")

    @rule(number=st.integers(0, 9), mode=st.sampled_from(("READ", "WRITE")))
    def prepare(self, number, mode):
        if caller := self.idle_caller(number):
            shape = f"shape-{caller.name}-{mode}"
            caller.shapes["s"] = (mode, shape)
            self.send(caller, f"PREPARE s {mode} {shape}")

    @rule(number=st.integers(0, 9))
    def execute(self, number):
        caller = self.idle_caller(number)
        if caller and "s" in caller.shapes:
            self.send(caller, "EXEC s 1 data", caller.shapes["s"][1])

    @rule(number=st.integers(0, 9), read_only=st.booleans())
    def begin(self, number, read_only):
        caller = self.idle_caller(number)
        if caller and caller.in_transaction is None:
            self.send(caller, "BEGIN READ" if read_only else "BEGIN")

    @rule(number=st.integers(0, 9), word=st.sampled_from(("COMMIT", "ROLLBACK")))
    def end(self, number, word):
        caller = self.idle_caller(number)
        if caller and caller.in_transaction is not None:
            self.send(caller, word)

    def run_and_wait(self, caller, text):
        """Send a statement and wait for its answer; return whether it arrived."""
        self.send(caller, text)
        for _ in range(30):
            self.advance(50)
            if not caller.pending:
                return True
        return False

    @rule(number=st.integers(0, 9), value=st.sampled_from("xyz"))
    def read_with_value(self, number, value):
        """Set a value in one session, then read in all sessions."""
        caller = self.idle_caller(number)
        if caller is not None and self.run_and_wait(caller, f"SET zone {value}"):
            self.read_everywhere()

    @rule()
    def lose_all_answers(self):
        """Read while no server answers, after reads that succeeded."""
        self.read_everywhere()
        for server_id in "abc":
            self.instance.group.server_by_id[server_id].answers_to_lose = 4
        self.read_everywhere()
        for server_id in "abc":
            self.instance.group.server_by_id[server_id].answers_to_lose = 0

    def read_everywhere(self):
        for reader in self.callers:
            if not reader.pending:
                self.run_and_wait(reader, "READ 1")

    @rule(
        number=st.integers(0, 9),
        cut_answer=st.booleans(),
        wait=st.booleans(),
        lag=st.sampled_from((20, 3000)),
    )
    def write_and_read(self, number, cut_answer, wait, lag):
        """Write twice, perhaps let the commits age, and read in all sessions."""
        caller = self.idle_caller(number)
        if caller is None or caller.in_transaction is not None:
            return
        # The replicas apply the first commit before the second one is written.
        for server_id in "bc":
            self.change_lag(server_id, 20)
        self.run_and_wait(caller, "WRITE 1 data")
        self.advance(150)
        if caller.pending:
            return
        for server_id in "bc":
            self.change_lag(server_id, lag)
        if cut_answer:
            self.harm_answer(self.instance.group.primary().server_id, "answers_to_cut")
        if not self.run_and_wait(caller, "WRITE 1 data"):
            return
        if wait:
            self.advance(1700)
        self.read_everywhere()

    @precondition(lambda self: len(self.callers) < MAX_SESSIONS)
    @rule()
    def read_own_commit_while_replicas_lag(self):
        """Write in a new session and read there before the replicas apply the write.

        The replicas have applied an earlier commit, so that they may serve the read of
        a session that has not written.
        """
        opened_before = self.opened
        self.open_session("own")
        caller = self.callers[-1] if self.callers else None
        if caller is None or caller.name != f"c{opened_before + 1}":
            return
        for server_id in "bc":
            self.change_lag(server_id, 20)
        if not self.run_and_wait(caller, "WRITE 1 data"):
            return
        self.advance(150)
        for server_id in "bc":
            self.change_lag(server_id, 3000)
        if self.run_and_wait(caller, "WRITE 1 data"):
            self.run_and_wait(caller, "READ 1")

    @rule(number=st.integers(0, 9), cut_answer=st.booleans())
    def run_transaction(self, number, cut_answer):
        """Run a transaction whose commit may lose its answer."""
        caller = self.idle_caller(number)
        if caller is None or caller.in_transaction is not None:
            return
        for text in ("BEGIN", "WRITE 1 data", "READ 1"):
            if not self.run_and_wait(caller, text) or caller.in_transaction is None:
                return
        if cut_answer:
            self.harm_answer(self.instance.group.primary().server_id, "answers_to_cut")
        self.run_and_wait(caller, "COMMIT")

    @rule(number=st.integers(0, 9))
    def leave(self, number):
        if self.callers:
            caller = self.callers.pop(number % len(self.callers))
            caller.client.stream.close("leaves")

    # Faults

    @rule(
        server_id=st.sampled_from("abc"),
        fault=st.sampled_from(
            ("answers_to_lose", "answers_to_cut", "statements_to_refuse")
        ),
    )
    def harm_answer(self, server_id, fault):
        setattr(self.instance.group.server_by_id[server_id], fault, 1)

    @rule(server_id=st.sampled_from("abc"), silent=st.booleans())
    def harm_connections(self, server_id, silent):
        address = f"{server_id}:1"
        if silent:
            self.instance.network.silence(address)
        else:
            self.instance.network.cut(address)

    @rule(server_id=st.sampled_from("bc"), lag=st.sampled_from((20, 800, 3000)))
    def change_lag(self, server_id, lag):
        self.instance.group.server_by_id[server_id].lag = ms(lag)

    @rule()
    def lose_store(self):
        self.instance.store_is_reachable = not self.instance.store_is_reachable

    @rule(duration=st.sampled_from((1, 5, 20, 100, 400, 1200)))
    def advance(self, duration):
        self.instance.run(ms(duration))
        for caller in self.callers:
            self.receive_answer(caller)

    def receive_answer(self, caller):
        caller.lines += caller.client.received()
        if not caller.lines or not caller.lines[-1].startswith("READY"):
            return
        lines, caller.lines = caller.lines, []
        assert caller.pending, f"answer to nothing: {lines}"
        request_id, caller.pending = caller.pending, ""
        now = self.instance.loop.now()
        assert not self.history.answer(request_id, lines, now)

    # Invariants

    @invariant()
    def statements_run_as_sent(self):
        violations = self.history.check_runs()
        assert not violations, violations

    @invariant()
    def transactions_are_isolated(self):
        violations = self.history.check_transactions()
        assert not violations, violations

    @invariant()
    def no_write_is_applied_twice_or_after_a_refusal(self):
        violations = self.history.check_log()
        assert not violations, violations


TestSessionMachine = SessionMachine.TestCase
TestSessionMachine.settings = settings(
    max_examples=40,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
