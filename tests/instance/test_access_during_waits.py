"""Guards against statements that run under rules that have been replaced.

The account of a request is found when it arrives. Then the request waits for a token,
for a target, or for a slot, and the rules may change meanwhile.
"""

import pytest

from bulrushloom.coordination.configuration.base import RULES_KEY, RulesText
from bulrushloom.coordination.configuration.utils import pack_text
from bulrushloom.core.errors import ErrorKind, Refusal, RunOutcome
from bulrushloom.instance.base import Begin, End, Outcome
from bulrushloom.rules.keys import key_digest
from tests.instance.builders import DOMAINS, Fleet, InlinePool, seconds
from tests.instance.callers import WITHDRAWAL_LIMIT, Callers, Session, rules_text
from tests.instance.servers import WRITE

# Time after which a withdrawn key has stopped working (design, section 1.3).
WITHDRAWAL_OBJECTIVE = seconds(3)
KEY = "small-1"
OTHER_KEY = "shop-1"
RULES = rules_text()


def without(start):
    return "\n".join(line for line in RULES.splitlines() if not line.startswith(start))


CHANGES = {
    "key withdrawn": rules_text(withdrawn=frozenset({KEY})),
    "key moved": RULES.replace(
        f"key small {key_digest(KEY)}", f"key shop {key_digest(KEY)}"
    ),
    "access removed": without("allow small "),
    "account removed": without(("account small ", "allow small ", "key small ")),
    "database moved": RULES.replace(
        "database orders group=orders",
        "group spare  # ops: test\ndatabase orders group=spare",
    ),
}
OTHER_CHANGES = {
    "another key": rules_text(withdrawn=frozenset({"small-2", OTHER_KEY})),
    "another account": without(("account agency ", "allow agency ", "key agency ")),
    "the rate": RULES.replace("account small rate=6", "account small rate=7"),
}
changes = pytest.mark.parametrize("change", CHANGES)
other_changes = pytest.mark.parametrize("change", OTHER_CHANGES)


class World:
    """A fleet that is ready, and callers at one of its instances."""

    def __init__(self):
        self.fleet = Fleet(7)
        self.callers = Callers(self.fleet)
        self.callers.apply_rules("", set(), seconds(0))
        self.run(8)
        self.entry = self.fleet.processes["east-1"]
        self.session = Session(KEY)
        self.primary = next(s for s in self.fleet.servers.values() if s.is_primary)

    def run(self, duration):
        self.fleet.run(seconds(duration))

    def change_rules(self, text):
        """Apply rules that reach all instances at once."""
        version, _ = self.fleet.platform.value_by_key[RULES_KEY]
        assert self.fleet.platform.apply_rules(text, version)
        message = RulesText(version + 1, pack_text(text))
        for process in self.fleet.processes.values():
            process.receive(message, self.fleet.processes["west-1"])

    def send(self, kind, key=KEY):
        """Send a read, a write, or a write with an idempotency key."""
        if kind == "read":
            return self.callers.read(self.entry, Session(key))
        return self.callers.write(self.entry, Session(key), kind == "keyed write")

    def begin(self):
        request = self.callers.submit(
            self.entry,
            KEY,
            "begin",
            lambda request, account: Begin(account, "orders", "orders"),
            lambda request: None,
        )
        self.run(0.2)
        return request.result.transaction

    def send_inside(self, transaction, key=KEY):
        def make(request, account):
            statement = self.callers._statement(self.session, WRITE, request, account)
            params = [request.marker, account, "t"]
            return statement._replace(transaction=transaction, params=params)

        return self.callers.submit(self.entry, key, "in", make, lambda request: None)

    def commit(self, transaction, key=KEY):
        def make(request, account):
            return End(account, "orders", "orders", transaction, True)

        return self.callers.submit(self.entry, key, "end", make, lambda request: None)

    def exhaust_rate(self):
        """Use the tokens of the account, so that its next request waits for one."""
        for _ in range(8):
            self.send("read")
        self.run(0.5)
        while True:
            request = self.send("read")
            self.run(0.01)
            if request.result is None:
                return request

    def set_servers_up(self, is_up):
        for server in self.fleet.servers.values():
            server.is_up = is_up

    def hold_statements(self):
        """Let statements that were started wait; return the list of their calls."""
        held = []
        for process in self.fleet.processes.values():
            process.executor._statements = InlinePool(held.append)
        return held

    def release(self, held):
        for process in self.fleet.processes.values():
            process.executor._statements = InlinePool(process.start_call)
        for call in held:
            call()

    def has_run(self, request):
        markers = {run.marker for run in self.fleet.runs}
        return request.marker in markers


@pytest.fixture
def world():
    return World()


def assert_not_run(world, request):
    assert not world.has_run(request)
    assert isinstance(request.result, Refusal)
    assert request.result.response.ran is RunOutcome.NO


@changes
def test_statement_that_waits_for_a_token_is_decided_again(world, change):
    request = world.exhaust_rate()
    world.change_rules(CHANGES[change])
    world.run(1)
    assert_not_run(world, request)


@changes
@pytest.mark.parametrize("kind", ["read", "write", "keyed write"])
def test_statement_that_waits_for_a_target_is_decided_again(world, kind, change):
    world.set_servers_up(False)
    request = world.send(kind)
    world.run(1)
    assert request.result is None
    world.change_rules(CHANGES[change])
    world.run(0.3)
    result = request.result
    world.set_servers_up(True)
    world.run(6)
    assert_not_run(world, request)
    assert result is not None, "refused only after its wait"


@changes
@pytest.mark.parametrize("is_inside", [False, True])
def test_statement_that_waits_for_a_slot_is_decided_again(world, is_inside, change):
    transaction = world.begin() if is_inside else None
    held = world.hold_statements()
    for _ in range(3):
        world.send("write", OTHER_KEY)
    world.run(0.1)
    waiting = world.send_inside(transaction) if is_inside else world.send("write")
    world.run(0.1)
    assert len(held) == 3
    world.change_rules(CHANGES[change])
    world.run(1)
    result = waiting.result
    world.release(held)
    world.run(1)
    if is_inside:
        world.commit(transaction)
        world.run(1)
    assert_not_run(world, waiting)
    assert result is not None, "refused only after its wait"


@pytest.mark.parametrize("wait", ["target", "slot"])
def test_withdrawn_key_runs_nothing_after_the_promised_time(world, wait):
    # The rules reach the instances as usual, from the store and from each other.
    held = []
    if wait == "target":
        world.set_servers_up(False)
    else:
        held = world.hold_statements()
        for _ in range(3):
            world.send("write", OTHER_KEY)
        world.run(0.1)
    request = world.send("write")
    world.run(0.2)
    world.callers.apply_rules("", {KEY}, seconds(0))
    world.run(WITHDRAWAL_OBJECTIVE.total_seconds())
    world.set_servers_up(True)
    world.release(held)
    world.run(3)
    assert_not_run(world, request)


def test_cancelled_statement_leaves_its_transaction_to_other_keys(world):
    transaction = world.begin()
    held = world.hold_statements()
    for _ in range(3):
        world.send("write", OTHER_KEY)
    world.run(0.1)
    cancelled = world.send_inside(transaction)
    world.run(0.1)
    world.change_rules(CHANGES["key withdrawn"])
    world.run(1)
    world.release(held)
    inside = world.send_inside(transaction, "small-2")
    world.run(0.5)
    request = world.commit(transaction, "small-2")
    world.run(0.5)
    assert isinstance(cancelled.result, Refusal)
    assert isinstance(inside.result, Outcome)
    assert isinstance(request.result, Outcome)
    assert not world.has_run(cancelled)


@pytest.mark.parametrize("change", ["access removed", "database moved"])
def test_transaction_is_not_committed_without_access(world, change):
    transaction = world.begin()
    inside = world.send_inside(transaction)
    world.run(0.2)
    assert isinstance(inside.result, Outcome)
    world.change_rules(CHANGES[change])
    request = world.commit(transaction)
    world.run(1)
    assert_not_run(world, request)
    assert not world.has_run(inside)


def test_statement_is_not_sent_when_the_rules_are_no_longer_fresh(world):
    # No instance learns of a withdrawal any more.
    world.fleet.platform.store_up = False
    world.fleet.cut = set(DOMAINS)
    domain = world.primary.domain
    world.entry = world.fleet.processes[f"{domain}-1"]
    world.run(WITHDRAWAL_LIMIT.total_seconds() - 1.2)
    world.primary.is_up = False
    request = world.send("write", OTHER_KEY)
    assert request is not None
    world.run(3)
    world.primary.is_up = True
    world.run(3)
    assert_not_run(world, request)
    assert request.result.kind is ErrorKind.CONFIGURATION_STALE


@other_changes
@pytest.mark.parametrize("wait", ["token", "target", "slot"])
def test_other_change_of_the_rules_does_not_end_a_wait(world, wait, change):
    held = []
    if wait == "token":
        request = world.exhaust_rate()
    elif wait == "target":
        world.set_servers_up(False)
        request = world.send("write")
        world.run(0.5)
    else:
        held = world.hold_statements()
        for _ in range(3):
            world.send("write", "agency-2")
        world.run(0.1)
        request = world.send("write")
        world.run(0.1)
    assert request.result is None
    world.change_rules(OTHER_CHANGES[change])
    world.run(1)
    world.set_servers_up(True)
    world.release(held)
    world.run(3)
    assert isinstance(request.result, Outcome)


@other_changes
def test_other_change_of_the_rules_does_not_end_a_transaction(world, change):
    transaction = world.begin()
    first = world.send_inside(transaction)
    world.run(0.2)
    world.change_rules(OTHER_CHANGES[change])
    second = world.send_inside(transaction)
    world.run(0.5)
    request = world.commit(transaction)
    world.run(0.5)
    assert all(isinstance(one.result, Outcome) for one in (first, second, request))
