"""State machine: sessions while keys and routes change, statements wait and fail.

The invariants compare the account and the service of each statement that ran with the
configurations that were in force between its sending and its run.
"""

from contextlib import ExitStack
from datetime import timedelta
from typing import NamedTuple

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bulrushloom.proxy.configuration import Consistency
from bulrushloom.proxy.failover.groups import GroupPhase
from tests.proxy.builders import (
    SERVICE,
    SimulatedClient,
    SimulatedInstance,
    build_account,
    build_configuration,
    build_group,
    build_route,
    ms,
)

OTHER_SERVICE = "stock"
# The rate of "hotel" leaves waits for a token that are within the latency objective.
ACCOUNTS = {
    "hotel": build_account("hotel", rate_per_s=15.0, burst=1.0),
    "shop": build_account("shop"),
}
KEYS = ("key-1", "key-2")
CONSISTENCY_BY_DATABASE = {
    "strict": Consistency.PRIMARY,
    "own": Consistency.READ_YOUR_WRITES,
}
DATABASES = tuple(CONSISTENCY_BY_DATABASE)
MAX_SESSIONS = 6
TEXTS = ("READ 1", "WRITE 1 data", "BEGIN", "COMMIT", "ROLLBACK")
# A server may run a statement this long after it was sent to it.
MAX_EXECUTION_TIME = ms(200)


class Version(NamedTuple):
    """Holders of the keys and services of the databases from a time on."""

    since: timedelta
    holder_by_key: dict[str, str]
    service_by_database: dict[str, str]
    public_databases: frozenset[str]

    def account_for(self, key, database):
        """Return the account that a server may be told, or ``None`` if refused."""
        if database not in self.service_by_database:
            return None
        if key in self.holder_by_key:
            return self.holder_by_key[key]
        return "" if database in self.public_databases else None


class Operation:
    """A statement or a transaction, admitted before ``admitted_until``."""

    def __init__(self, began_at):
        self.began_at = began_at
        self.admitted_until = timedelta.max


class Sent(NamedTuple):
    """A statement that a session sent."""

    key: str
    database: str
    text: str
    sent_at: timedelta
    operation: Operation


class Caller:
    """One session, and the request id of the statement that awaits its answer."""

    def __init__(self, client: SimulatedClient, key: str, database: str):
        self.client = client
        self.key = key
        self.database = database
        self.pending = ""
        self.transaction: Operation | None = None


class ConfigurationMachine(RuleBasedStateMachine):
    """Change the configuration while sessions send statements."""

    def __init__(self):
        super().__init__()
        self.stack = ExitStack()
        self.instance = SimulatedInstance(self.stack)
        self.instance.add_group(OTHER_SERVICE, ("d", "e", "f"))
        self.callers: list[Caller] = []
        self.sent_by_id: dict[str, Sent] = {}
        self.versions: list[Version] = []
        self.record = build_group(SERVICE, old_id="a", phase=GroupPhase.STEADY)
        holders = dict(zip(KEYS, ACCOUNTS, strict=True))
        services = dict.fromkeys(DATABASES, SERVICE)
        self.apply(holders, services, frozenset())

    def teardown(self):
        self.stack.close()

    @property
    def now(self):
        return self.instance.loop.now()

    def apply(self, holders, services, public):
        self.versions.append(Version(self.now, holders, services, public))
        service = build_configuration().service_by_name[SERVICE]
        self.instance.services.configuration = build_configuration(
            len(self.versions) + 1,
            route_by_database={
                database: build_route(
                    database,
                    CONSISTENCY_BY_DATABASE[database],
                    service=service_name,
                    is_public=database in public,
                )
                for database, service_name in services.items()
            },
            account_by_key={key: ACCOUNTS[name] for key, name in holders.items()},
            account_by_name=ACCOUNTS,
            service_by_name={
                name: service._replace(name=name) for name in (SERVICE, OTHER_SERVICE)
            },
        )

    # Changes

    @rule(
        key=st.sampled_from(KEYS),
        holder=st.sampled_from((None, *ACCOUNTS)),
        and_back=st.booleans(),
    )
    def change_key(self, key, holder, and_back):
        last = self.versions[-1]
        holders = {k: v for k, v in last.holder_by_key.items() if k != key}
        if holder is not None:
            holders[key] = holder
        self.apply(holders, last.service_by_database, last.public_databases)
        if and_back:
            self.advance(5)
            self.apply(
                last.holder_by_key, last.service_by_database, last.public_databases
            )

    @rule(
        database=st.sampled_from(DATABASES),
        service=st.sampled_from((None, SERVICE, OTHER_SERVICE)),
        is_public=st.booleans(),
    )
    def change_route(self, database, service, is_public):
        last = self.versions[-1]
        services = {k: v for k, v in last.service_by_database.items() if k != database}
        if service is not None:
            services[database] = service
        public = last.public_databases - {database}
        if is_public:
            public |= {database}
        self.apply(last.holder_by_key, services, public)

    @rule()
    def change_nothing(self):
        last = self.versions[-1]
        self.apply(last.holder_by_key, last.service_by_database, last.public_databases)

    # Clients

    @precondition(lambda self: len(self.callers) < MAX_SESSIONS)
    @rule(key=st.sampled_from(KEYS), database=st.sampled_from(DATABASES))
    def open_session(self, key, database):
        client = self.instance.client(database, key)
        if client.start_answer == ["READY I -"]:
            self.callers.append(Caller(client, key, database))

    @rule(number=st.integers(0, 9), text=st.sampled_from(TEXTS))
    def send(self, number, text):
        idle = [caller for caller in self.callers if not caller.pending]
        if not idle:
            return
        caller = idle[number % len(idle)]
        if (caller.transaction is None) == (text in ("COMMIT", "ROLLBACK")):
            return
        if caller.transaction is not None and text == "BEGIN":
            return
        caller.client.sent += 1
        caller.pending = caller.client.request_id(caller.client.sent)
        operation = caller.transaction or Operation(self.now)
        if text == "BEGIN":
            caller.transaction = operation
        self.sent_by_id[caller.pending] = Sent(
            caller.key, caller.database, text, self.now, operation
        )
        caller.client.send(f"QUERY {caller.pending} {text}")

    @rule()
    def use_all_tokens(self):
        limiter = self.instance.services.limiter
        while limiter.try_admit(ACCOUNTS["hotel"], self.now) <= ms(0):
            pass

    # Faults

    @rule()
    def replace_primary(self):
        """Announce a replacement, or end it with the same primary."""
        is_steady = self.record.phase is GroupPhase.STEADY
        self.record = self.record._replace(
            phase=GroupPhase.REPLACING if is_steady else GroupPhase.STEADY,
            primary_id="" if is_steady else "a",
            revision=self.record.revision + 1,
        )
        self.instance.services.apply_group_records({SERVICE: self.record})

    @rule(count=st.integers(1, 4))
    def refuse_statements(self, count):
        for group in self.instance.groups:
            for server in group.server_by_id.values():
                server.statements_to_refuse = count

    @rule(
        cause=st.sampled_from(("token", "primary", "busy")),
        texts=st.lists(st.sampled_from(TEXTS), min_size=1, max_size=MAX_SESSIONS),
        key=st.sampled_from(KEYS),
        holder=st.sampled_from((None, *ACCOUNTS)),
        and_back=st.booleans(),
    )
    def change_key_while_statements_wait(self, cause, texts, key, holder, and_back):
        self.make_statements_wait(cause)
        for number, text in enumerate(texts):
            self.send(number, text)
        self.advance(3)
        self.change_key(key, holder, and_back)
        if cause == "primary":
            self.replace_primary()
        self.advance(100)

    @rule(
        cause=st.sampled_from(("token", "primary", "busy")),
        texts=st.lists(st.sampled_from(TEXTS), min_size=1, max_size=MAX_SESSIONS),
        database=st.sampled_from(DATABASES),
        service=st.sampled_from((None, SERVICE, OTHER_SERVICE)),
        is_public=st.booleans(),
    )
    def change_route_while_statements_wait(
        self, cause, texts, database, service, is_public
    ):
        self.make_statements_wait(cause)
        for number, text in enumerate(texts):
            self.send(number, text)
        self.advance(3)
        self.change_route(database, service, is_public)
        if cause == "primary":
            self.replace_primary()
        self.advance(100)

    def make_statements_wait(self, cause):
        if cause == "token":
            self.use_all_tokens()
        elif cause == "busy":
            self.refuse_statements(4)
        else:
            if self.record.phase is GroupPhase.STEADY:
                self.replace_primary()
            self.advance(700)

    @rule(duration=st.sampled_from((1, 5, 20, 60, 100, 700)))
    def advance(self, duration):
        self.instance.run(ms(duration))
        for caller in self.callers:
            self.receive_answer(caller)

    def receive_answer(self, caller):
        lines = caller.client.received()
        if not lines:
            return
        assert caller.pending
        assert lines[-1].startswith("READY")
        sent = self.sent_by_id[caller.pending]
        caller.pending = ""
        in_transaction = caller.transaction is not None and sent.text != "BEGIN"
        if sent.text == "BEGIN":
            sent.operation.admitted_until = self.now
        if lines[-1].split()[1] == "I":
            caller.transaction = None
        if lines[0].startswith(("ERR NOAUTH", "ERR NODB")):
            # A statement whose key and route held all the time is not refused so. A
            # transaction keeps its route.
            assert any(
                sent.key not in version.holder_by_key
                if in_transaction
                else version.account_for(sent.key, sent.database) is None
                for version in self.versions_between(sent.sent_at, self.now)
            ), (sent, lines)

    def versions_between(self, since, until):
        ends = [version.since for version in self.versions[1:]] + [timedelta.max]
        return [
            version
            for version, end in zip(self.versions, ends, strict=True)
            if version.since <= until and end >= since
        ]

    # Invariants

    @invariant()
    def statements_run_for_a_holder_of_their_key(self):
        runs = [
            (group.service, run) for group in self.instance.groups for run in group.runs
        ]
        for service, run in sorted(runs, key=lambda entry: entry[1].at):
            sent = self.sent_by_id.get(run.request_id)
            if sent is None:
                continue
            # Nothing that was decided before the sending, or long before the run,
            # may be used.
            since = max(sent.sent_at, run.at - MAX_EXECUTION_TIME)
            versions = self.versions_between(since, run.at)
            accounts = {v.account_for(sent.key, sent.database) for v in versions}
            if run.transaction:
                # A transaction keeps the route that it began with; on a public one it
                # also keeps its account.
                accounts |= {v.holder_by_key.get(sent.key) for v in versions}
                operation = sent.operation
                until = min(operation.admitted_until, run.at)
                versions = self.versions_between(operation.began_at, until)
                accounts |= {
                    v.account_for(sent.key, sent.database)
                    for v in versions
                    if sent.database in v.public_databases
                }
            assert run.account in accounts, (run, sent, versions)
            services = {v.service_by_database.get(sent.database) for v in versions}
            assert service in services, (run, sent, versions)

    @invariant()
    def operations_are_counted_for_their_account(self):
        """Check that no account ran more operations than its limiter admitted."""
        usage = self.instance.services.limiter.own_usage(self.now)
        window = self.instance.services.limiter.window.length
        operations = {
            (run.account, id(sent.operation))
            for group in self.instance.groups
            for run in group.runs
            if (sent := self.sent_by_id.get(run.request_id)) is not None
            and sent.operation.began_at > self.now - window + MAX_EXECUTION_TIME
        }
        for name in ACCOUNTS:
            count = sum(account == name for account, _ in operations)
            admitted = usage[name].admitted if name in usage else 0
            assert count <= admitted, (name, count, admitted)


TestConfigurationMachine = ConfigurationMachine.TestCase
TestConfigurationMachine.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
