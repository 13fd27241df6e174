"""Callers and operators of a fleet, and checks of the answers that they get."""

import itertools
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from bulrushloom.coordination.configuration.base import RULES_KEY
from bulrushloom.coordination.sessions.base import ORIGIN
from bulrushloom.core.errors import Refusal, RunOutcome
from bulrushloom.databases.base import Role
from bulrushloom.instance.base import (
    Begin,
    End,
    Outcome,
    Statement,
    Submit,
    TransactionRef,
)
from bulrushloom.rules.keys import key_digest
from tests.instance.builders import DOMAINS, TARGETS, Fleet, Process, seconds
from tests.instance.servers import READ, WRITE

REQUEST_TIMEOUT = seconds(5)
MAX_AGE = seconds(1)
# Maximum time for which a key is accepted after its withdrawal (design, section 3.5).
WITHDRAWAL_LIMIT = seconds(5)
# Maximum time for which statements in progress may still reach a leaving target.
LEAVING_LIMIT = seconds(5)
RATES = {"shop": (200.0, 100), "agency": (200.0, 100), "small": (6.0, 6)}
KEYS = {f"{account}-{number}": account for account in RATES for number in (1, 2)}


def rules_text(leaving: str = "", withdrawn: frozenset[str] = frozenset()) -> str:
    lines = [f"domain {domain} region=r" for domain in DOMAINS]
    lines.append("group orders")
    lines += [
        f"target {name} group=orders domain={domain} "
        f"address=127.0.0.1:{9001 + index} slots=3 connections=40"
        for index, (name, domain) in enumerate(TARGETS.items())
    ]
    lines.append("database orders group=orders")
    for account, (rate, burst) in RATES.items():
        lines.append(f"account {account} rate={rate:g} burst={burst}")
        lines.append(f"allow {account} orders")
    lines += [f"key {account} {key_digest(key)}" for key, account in KEYS.items()]
    lines += [f"withdraw {key_digest(key)}" for key in sorted(withdrawn)]
    if leaving:
        lines.append(f"leaving {leaving}")
    return "\n".join(f"{line}  # ops: test" for line in lines)


class Request:
    """A request of a caller and its result."""

    def __init__(self, marker: str, kind: str, process: Process, keyed: bool = False):
        self.marker, self.kind, self.keyed = marker, kind, keyed
        self.process = process
        self.sent_at = process.fleet.now
        self.result: Outcome | Refusal | None = None

    @property
    def acknowledged(self) -> bool:
        return isinstance(self.result, Outcome)

    @property
    def not_run(self) -> bool:
        return (
            isinstance(self.result, Refusal)
            and self.result.response.ran is RunOutcome.NO
        )


class Session:
    """A session used at several instances: its position and acknowledged markers."""

    def __init__(self, key: str):
        self.key = key
        self.position = ORIGIN
        self.markers: set[str] = set()


class Transaction:
    """A transaction as seen by its caller."""

    def __init__(self, label: str, session: Session):
        self.label, self.session = label, session
        self.reference: TransactionRef | None = None
        self.markers: list[str] = []
        self.ended = ""


class Callers:
    """Send requests to a fleet and check the answers."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.requests: list[Request] = []
        self.transactions: list[Transaction] = []
        self.admitted: dict[str, list[timedelta]] = {name: [] for name in RATES}
        self.withdrawn_at: dict[str, timedelta] = {}
        self.leaving = ""
        self._numbers = itertools.count(1)

    # Operators

    def apply_rules(self, leaving: str, withdrawn: set[str], delay: timedelta) -> None:
        """Read the rules now and swap in the changed text later, like an operator."""
        version, _ = self.fleet.platform.value_by_key.get(RULES_KEY, (0, None))
        everyone = frozenset(withdrawn | set(self.withdrawn_at))

        def swap() -> None:
            text = rules_text(leaving, everyone)
            if self.fleet.platform.apply_rules(text, version):
                self.leaving = leaving
                for key in everyone:
                    self.withdrawn_at.setdefault(key, self.fleet.now)

        self.fleet.at(self.fleet.now + delay, swap)

    # Requests

    def submit(
        self, process: Process, key: str, kind: str, make: Callable, done: Callable
    ) -> Request | None:
        """Submit a request to an instance like the frontend, unless it is refused."""
        if not process.is_ready:
            return None
        account = process.node.tracker.find_account(key, process.now)
        if isinstance(account, Refusal):
            return None
        withdrawn = self.withdrawn_at.get(key)
        assert withdrawn is None or self.fleet.now - withdrawn <= WITHDRAWAL_LIMIT, (
            f"invariant 6: key {key} was accepted after its withdrawal"
        )
        number = next(self._numbers)
        request = Request(f"m{number}", kind, process)
        self.requests.append(request)

        def answered(result: Outcome | Refusal) -> None:
            assert request.result is None, "invariant 8: answered twice"
            request.result = result
            done(request)

        self._count_admissions(process)
        entry_request = make(request, account)
        submit = Submit(
            f"{process.incarnation}.{number}",
            entry_request,
            process.now + REQUEST_TIMEOUT,
            key_digest(key),
        )
        process.admit(account, submit, answered)
        return request

    def _count_admissions(self, process: Process) -> None:
        """Record each request that the instance starts after acquiring a token."""
        router: Any = process.node.router
        if "handle" in vars(router):
            return
        handle = router.handle

        def record_admission(sender: str, message: Any, now: timedelta) -> Any:
            if isinstance(message, Submit) and not isinstance(message.request, End):
                self.admitted[message.request.account].append(self.fleet.now)
            return handle(sender, message, now)

        router.handle = record_admission

    def _statement(
        self,
        session: Session,
        sql: str,
        request: Request,
        account: str,
        transaction: Transaction | None = None,
    ) -> Statement:
        label = transaction.label if transaction else ""
        return Statement(
            account,
            "orders",
            "orders",
            sql,
            [request.marker, account, label],
            sql == READ,
            session.position,
            MAX_AGE,
            transaction.reference if transaction else None,
            f"key-{request.marker}" if request.keyed else "",
        )

    def write(self, process: Process, session: Session, keyed: bool) -> Request | None:
        def make(request: Request, account: str) -> Statement:
            request.keyed = keyed
            return self._statement(session, WRITE, request, account)

        def done(request: Request) -> None:
            result = request.result
            if isinstance(result, Outcome):
                assert result.rows == [[request.marker]], (
                    f"invariant 8: write {request.marker} got {result.rows}"
                )
                assert result.write_position is not None
                session.position = max(session.position, result.write_position)
                session.markers.add(request.marker)

        return self.submit(process, session.key, "write", make, done)

    def read(self, process: Process, session: Session) -> Request | None:
        acknowledged_markers = set(session.markers)

        def make(request: Request, account: str) -> Statement:
            return self._statement(session, READ, request, account)

        def done(request: Request) -> None:
            if isinstance(request.result, Outcome):
                [[echo], *rows] = request.result.rows
                assert echo == request.marker, (
                    f"invariant 8: read {request.marker} got the answer of {echo}"
                )
                missing = acknowledged_markers - {row[0] for row in rows}
                assert not missing, f"invariant 1: read does not see {missing}"

        return self.submit(process, session.key, "read", make, done)

    # Transactions

    def transact(self, session: Session, statements: int, commit: bool) -> None:
        """Begin a transaction and continue it as its answers arrive."""
        process = self.any_entry()
        if process is None:
            return
        transaction = Transaction(f"t{next(self._numbers)}", session)

        def make(request: Request, account: str) -> Begin:
            return Begin(account, "orders", "orders")

        def on_begin(request: Request) -> None:
            if isinstance(request.result, Outcome):
                transaction.reference = request.result.transaction
                self._run_later(
                    lambda: self._continue_transaction(transaction, statements, commit)
                )

        if self.submit(process, session.key, "begin", make, on_begin):
            self.transactions.append(transaction)

    def _run_later(self, action: Callable[[], None]) -> None:
        delay = seconds(self.fleet.random.uniform(0, 0.5))
        self.fleet.at(self.fleet.now + delay, action)

    def _continue_transaction(
        self, transaction: Transaction, statements: int, commit: bool
    ) -> None:
        process = self.any_entry()
        if process is None:
            return
        if not statements:
            self._end(process, transaction, commit)
            return

        def make(request: Request, account: str) -> Statement:
            transaction.markers.append(request.marker)
            return self._statement(
                transaction.session, WRITE, request, account, transaction
            )

        def done(request: Request) -> None:
            if isinstance(request.result, Outcome):
                self._run_later(
                    lambda: self._continue_transaction(
                        transaction, statements - 1, commit
                    )
                )
            elif request.not_run:
                transaction.ended = "lost"
            else:
                transaction.ended = "unknown"

        self.submit(process, transaction.session.key, "inside", make, done)

    def _end(self, process: Process, transaction: Transaction, commit: bool) -> None:
        def make(request: Request, account: str) -> End:
            assert transaction.reference is not None
            return End(account, "orders", "orders", transaction.reference, commit)

        def done(request: Request) -> None:
            result, session = request.result, transaction.session
            if not commit:
                transaction.ended = "rolled back"
            elif isinstance(result, Outcome):
                transaction.ended = "committed"
                assert result.write_position is not None
                session.position = max(session.position, result.write_position)
                session.markers.update(transaction.markers)
            else:
                transaction.ended = "lost" if request.not_run else "unknown"

        if not commit:
            transaction.ended = "rolled back"
        self.submit(process, transaction.session.key, "end", make, done)

    def steal(self, key: str) -> None:
        """Use another account's open transaction, which must be refused."""
        account = KEYS[key]
        references = [
            one
            for one in self.transactions
            if one.reference and one.reference.account != account and not one.ended
        ]
        process = self.any_entry()
        if not references or process is None:
            return
        stolen = references[-1]

        def make(request: Request, account: str) -> Statement:
            return self._statement(Session(key), WRITE, request, account, stolen)

        def done(request: Request) -> None:
            assert not request.acknowledged, (
                "invariant 4: a transaction took a statement of another account"
            )

        self.submit(process, key, "stolen", make, done)

    # Choices

    def any_entry(self) -> Process | None:
        ready = [one for one in self.fleet.processes.values() if one.is_ready]
        return self.fleet.random.choice(ready) if ready else None

    # Checks

    def check(self) -> None:
        """Check the invariants that must hold at any time."""
        for account, times in self.admitted.items():
            self._check_rate(account, times)
        self._check_runs()

    def _check_rate(self, account: str, times: list[timedelta]) -> None:
        rate, burst = RATES[account]
        level, previous = float(burst), timedelta()
        for time in times:
            passed = (time - previous).total_seconds()
            level, previous = min(burst, level + rate * passed) - 1, time
            assert level > -1e-3, f"invariant 7: {account} got more than its rate"

    def _check_runs(self) -> None:
        unkeyed = {one.marker for one in self.requests if not one.keyed}
        account_of = {one.marker: one for one in self.requests}
        counts = Counter(run.marker for run in self.fleet.runs if not run.read_only)
        for marker, count in counts.items():
            assert count == 1 or marker not in unkeyed, (
                f"invariant 10: write {marker} without a key ran {count} times"
            )
            request = account_of[marker]
            assert request.kind == "inside" or not request.not_run or request.keyed, (
                f"invariant 9: {marker} ran, but its caller received {request.result}"
            )
        for run in self.fleet.runs:
            process = self.fleet.process_of_run[run.node]
            since = process.leaving_since.get(run.server)
            assert (
                run.transaction or since is None or (run.at - since <= LEAVING_LIMIT)
            ), f"invariant 11: {run.server} is leaving and got a statement"

    def check_final(self) -> None:
        """Check the data of the final primary."""
        self.check()
        for process in self.fleet.processes.values():
            assert not process.open_requests, "invariant 8: requests without answer"
        present = Counter(self.final_markers())
        repeated = [marker for marker, count in present.items() if count > 1]
        assert not repeated, f"invariant 10: {repeated} took effect more than once"
        for request in self.requests:
            if request.kind == "write" and request.acknowledged:
                assert request.marker in present, (
                    f"invariant 2: acknowledged write {request.marker} is lost"
                )
            if request.kind in ("write", "stolen") and request.not_run:
                assert request.marker not in present, (
                    f"invariant 9: {request.marker} took effect: {request.result}"
                )
        for transaction in self.transactions:
            self._check_transaction(transaction, present)

    def _check_transaction(
        self, transaction: Transaction, present: Counter[str]
    ) -> None:
        took_effect = [marker in present for marker in transaction.markers]
        assert len(set(took_effect)) < 2, (
            "invariant 3: a transaction took effect in part"
        )
        if transaction.ended == "committed":
            assert all(took_effect), "invariant 2: an acknowledged commit is lost"
        if transaction.ended in ("lost", "rolled back"):
            assert not any(took_effect), (
                f"invariant 9: {transaction.ended} transaction ran"
            )

    def final_markers(self) -> list[str]:
        primaries = [
            server
            for server in self.fleet.servers.values()
            if server.role is Role.PRIMARY
        ]
        return max(primaries, key=lambda server: server.term).markers()
