"""Black-box checks of the consistency guarantees of the proxy.

A ``History`` records the statements and the answers of all callers. Its checks compare
them with the statements that the servers ran and return violations as texts. No check
uses the internal state of the proxy.
"""

from collections.abc import Iterable
from datetime import timedelta

from bulrushloom.core.sentinels import Missing
from standins.platform.group import SimulatedGroup
from standins.platform.records import Run

# Error codes that guarantee that no write of the statement or transaction is kept.
NOT_KEPT_CODES = frozenset(
    {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}
)
SERVER_STATEMENTS = ("READ", "WRITE", "EXEC", "COMMIT")
COMMITTING_STATEMENTS = ("WRITE", "EXEC", "COMMIT")
# Databases whose route has the type ``primary``.
STRICT_DATABASES = frozenset({"strict", "patient"})


class SentStatement:
    """A statement that a caller sent, and its answer.

    ``group`` has the request ids of the transaction and is shared by its statements.
    ``shape`` is the text of the prepared statement that an EXEC runs. ``code`` is empty
    until the answer arrives, ``OK`` after a success and else the error code.
    """

    def __init__(
        self,
        caller: "CallerRecord",
        text: str,
        sent_at: timedelta,
        shape: str,
        group: list[str],
    ):
        self.caller = caller
        self.text = text
        self.sent_at = sent_at
        self.values = dict(caller.values)
        self.shape = shape
        self.group = group
        self.code = ""
        self.answered_at: timedelta | None = None

    @property
    def keyword(self) -> str:
        """Return the keyword that the statement starts with."""
        return self.text.split(" ", 1)[0]


class CallerRecord:
    """The client side of one session.

    ``is_strict`` and ``reads_own_writes`` are the guarantees of its route for reads.
    ``account`` is missing if the key moves between accounts.
    """

    def __init__(self, name: str, account: str | Missing, key: str, database: str):
        self.name = name
        self.account = account
        self.key = key
        self.database = database
        self.values: dict[str, str] = {}
        self.shapes: dict[str, tuple[str, str]] = {}
        self.in_transaction: list[str] | None = None
        self.acknowledged_at_by_request: dict[str, timedelta] = {}
        self.count = 0

    @property
    def is_strict(self) -> bool:
        """Return whether reads must see every commit."""
        return self.database in STRICT_DATABASES

    @property
    def reads_own_writes(self) -> bool:
        """Return whether reads must see the commits of the same session."""
        return self.database == "own"


class History:
    """A record of statements and answers with checks of the guarantees."""

    def __init__(self, group: SimulatedGroup, staleness: timedelta):
        self._group = group
        self._staleness = staleness
        self._checked_run_count = 0
        self.sent_by_id: dict[str, SentStatement] = {}

    # Recording

    def send(
        self, caller: CallerRecord, text: str, now: timedelta, shape: str = ""
    ) -> str:
        """Record a statement and return its request id."""
        caller.count += 1
        request_id = f"{caller.name}-{caller.count}"
        group = caller.in_transaction if caller.in_transaction is not None else []
        group.append(request_id)
        sent = SentStatement(caller, text, now, shape, group)
        if sent.keyword == "BEGIN":
            caller.in_transaction = group
        self.sent_by_id[request_id] = sent
        return request_id

    def answer(self, request_id: str, lines: list[str], now: timedelta) -> list[str]:
        """Record the complete answer to a statement; return violations."""
        sent = self.sent_by_id[request_id]
        caller = sent.caller
        sent.answered_at = now
        state = lines[-1].split()[1]
        violations = []
        if lines[-2].startswith("ERR"):
            sent.code = lines[-2].split()[1]
        else:
            sent.code = "OK"
            violations = _check_answer(request_id, sent, lines)
        if sent.keyword == "SET" and sent.code == "OK":
            name, value = sent.text.split()[1:]
            caller.values[name] = value
        if state == "I":
            if sent.code == "OK" and sent.keyword in COMMITTING_STATEMENTS:
                caller.acknowledged_at_by_request |= dict.fromkeys(sent.group, now)
            caller.in_transaction = None
        elif caller.in_transaction is None:
            caller.in_transaction = sent.group
        return violations

    # Checks

    def check_runs(self) -> list[str]:
        """Check the statements that ran since the last call; return violations."""
        runs = self._group.runs[self._checked_run_count :]
        self._checked_run_count += len(runs)
        violations = []
        for run in runs:
            sent = self.sent_by_id.get(run.request_id)
            if sent is None:
                violations.append(f"{run.request_id} ran but was sent by no caller")
                continue
            violations += _check_run(run, sent)
            if run.text.startswith("READ"):
                violations += self._check_freshness(run, sent)
        return violations

    def _check_freshness(self, run: Run, sent: SentStatement) -> Iterable[str]:
        caller = sent.caller
        first = self.sent_by_id[sent.group[0]].sent_at
        bound = first if caller.is_strict else first - self._staleness
        for commit, acknowledged_at in self._group.acknowledged:
            if run.position >= (commit.term, commit.number):
                continue
            acknowledgements = [
                caller.acknowledged_at_by_request[request_id]
                for request_id in commit.request_ids
                if request_id in caller.acknowledged_at_by_request
            ]
            is_own = caller.reads_own_writes and any(
                at <= first for at in acknowledgements
            )
            if not is_own and acknowledged_at >= bound:
                continue
            if commit in self._group.primary().log:
                was_told = any(map(self._was_acknowledged, commit.request_ids))
                yield (
                    f"{run.request_id} read {run.server} at {run.position} without "
                    f"{commit}, acknowledged {first - acknowledged_at} earlier"
                    f"{'' if was_told else ', of which its caller was not told'}"
                )

    def _was_acknowledged(self, request_id: str) -> bool:
        """Return whether the caller of a write was told that it is committed."""
        sent = self.sent_by_id.get(request_id)
        return sent is not None and (
            request_id in sent.caller.acknowledged_at_by_request
        )

    def check_transactions(self) -> list[str]:
        """Check that each transaction runs on one connection, apart from others."""
        request_ids_by_transaction: dict[int, set[str]] = {}
        connections_by_transaction: dict[int, set[int]] = {}
        for run in self._group.runs:
            if run.transaction:
                request_ids_by_transaction.setdefault(run.transaction, set()).add(
                    run.request_id
                )
                connections_by_transaction.setdefault(run.transaction, set()).add(
                    run.connection
                )
        violations = []
        transaction_by_group: dict[int, int] = {}
        for transaction, request_ids in request_ids_by_transaction.items():
            groups = {id(self.sent_by_id[i].group) for i in request_ids}
            if len(connections_by_transaction[transaction]) != 1 or len(groups) != 1:
                violations.append(
                    f"transaction {transaction} is not isolated: {request_ids}"
                )
            group = groups.pop()
            if transaction_by_group.setdefault(group, transaction) != transaction:
                violations.append(
                    f"the transaction of {request_ids} ran as two transactions"
                )
        return violations

    def check_log(self) -> list[str]:
        """Check that no write is kept twice or after an error that rules it out."""
        kept: list[str] = []
        for commit in self._group.primary().log:
            kept += commit.request_ids
        violations = []
        if len(kept) != len(set(kept)):
            twice = {i for i in kept if kept.count(i) > 1}
            violations.append(f"kept twice: {sorted(twice)}")
        for request_id in kept:
            sent = self.sent_by_id.get(request_id)
            codes = {self.sent_by_id[i].code for i in sent.group} if sent else set()
            if codes & NOT_KEPT_CODES:
                violations.append(
                    f"{request_id} is kept although it was answered with {codes}"
                )
        return violations

    def check_acknowledged_commits(self) -> list[str]:
        """Check that the primary's log has every acknowledged commit."""
        kept = {i for c in self._group.primary().log for i in c.request_ids}
        violations = []
        for request_id, sent in self.sent_by_id.items():
            is_write = sent.keyword == "WRITE" or (
                sent.keyword == "EXEC" and sent.caller.shapes["s"][0] == "WRITE"
            )
            was_acknowledged = self._was_acknowledged(request_id)
            is_kept = request_id in kept
            if is_write and was_acknowledged and sent.code == "OK" and not is_kept:
                violations.append(f"{request_id} was acknowledged but is lost")
        return violations


def _check_answer(request_id: str, sent: SentStatement, lines: list[str]) -> list[str]:
    """Check that a successful answer is the one that the server gave the statement."""
    if sent.keyword not in SERVER_STATEMENTS:
        return []
    is_signed = lines[-2] == f"DONE signed-{request_id}"
    if is_signed and all(line == f"ROW {request_id}" for line in lines[:-2]):
        return []
    return [f"{request_id} ({sent.text}) got the answer of another statement: {lines}"]


def _check_run(run: Run, sent: SentStatement) -> Iterable[str]:
    """Check that a statement ran as sent, with its account and session values."""
    if sent.shape:
        same_text = run.text.split(" ")[2:] == sent.text.split(" ")[2:]
        same_text = same_text and run.shape == sent.shape
    else:
        same_text = run.text == sent.text
    if not same_text:
        yield f"{run.request_id} ran as {run.text!r} instead of {sent.text!r}"
    if run.values != sent.values:
        yield f"{run.request_id} ran with {run.values} instead of {sent.values}"
    account = sent.caller.account
    if not isinstance(account, Missing) and run.account != account:
        yield f"{run.request_id} ran for {run.account}"
