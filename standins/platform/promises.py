"""What callers were told against what the servers ran: the product's promises.

A ``History`` collects the statements of all callers with their answers. Its checks
return the violations that they find as text; none of them looks inside the product.
"""

from collections.abc import Iterable
from datetime import timedelta

from standins.platform.group import SimulatedGroup
from standins.platform.records import Run

# Answers that promise that nothing of the caller's attempt is kept.
PROMISES = frozenset({"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"})
SERVER_WORDS = ("READ", "WRITE", "EXEC", "COMMIT")
COMMITTING_WORDS = ("WRITE", "EXEC", "COMMIT")


class Sent:
    """Hold a statement that a caller sent, and how it was answered.

    ``group`` is shared by the statements of one transaction. ``code`` is empty until
    the answer came, and ``OK`` after a success.
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
    def word(self) -> str:
        """Return the first word of the statement."""
        return self.text.split(" ", 1)[0]


class CallerRecord:
    """Hold what one caller knows of its session.

    ``is_strict`` and ``reads_own_writes`` tell what its route promises for reads.
    """

    def __init__(self, name: str, account: str, key: str, database: str):
        self.name = name
        self.account = account
        self.key = key
        self.database = database
        self.values: dict[str, str] = {}
        self.shapes: dict[str, tuple[str, str]] = {}
        self.in_transaction: list[str] | None = None
        self.told_at_by_commit: dict[str, timedelta] = {}
        self.count = 0

    @property
    def is_strict(self) -> bool:
        """Return whether reads must see every commit."""
        return self.database == "strict"

    @property
    def reads_own_writes(self) -> bool:
        """Return whether reads must see the session's own commits."""
        return self.database == "own"


class History:
    """Collect statements and answers, and check the promises."""

    def __init__(self, group: SimulatedGroup, staleness: timedelta):
        self._group = group
        self._staleness = staleness
        self._checked_runs = 0
        self.sent_by_id: dict[str, Sent] = {}

    # Collecting

    def send(
        self, caller: CallerRecord, text: str, now: timedelta, shape: str = ""
    ) -> str:
        """Note a statement and return its request id."""
        caller.count += 1
        request_id = f"{caller.name}-{caller.count}"
        group = caller.in_transaction if caller.in_transaction is not None else []
        group.append(request_id)
        sent = Sent(caller, text, now, shape, group)
        if sent.word == "BEGIN":
            caller.in_transaction = group
        self.sent_by_id[request_id] = sent
        return request_id

    def answer(self, request_id: str, lines: list[str], now: timedelta) -> list[str]:
        """Note the complete answer to a statement; return violations."""
        sent = self.sent_by_id[request_id]
        caller = sent.caller
        sent.answered_at = now
        state = lines[-1].split()[1]
        violations = []
        if lines[-2].startswith("ERR"):
            sent.code = lines[-2].split()[1]
        else:
            sent.code = "OK"
            violations = _mixed(request_id, sent, lines)
        if sent.word == "SET" and sent.code == "OK":
            name, value = sent.text.split()[1:]
            caller.values[name] = value
        if state == "I":
            if sent.code == "OK" and sent.word in COMMITTING_WORDS:
                caller.told_at_by_commit |= dict.fromkeys(sent.group, now)
            caller.in_transaction = None
        elif caller.in_transaction is None:
            caller.in_transaction = sent.group
        return violations

    # Promises

    def check_runs(self) -> list[str]:
        """Check the statements that ran since the last call."""
        runs = self._group.runs[self._checked_runs :]
        self._checked_runs += len(runs)
        violations = []
        for run in runs:
            sent = self.sent_by_id.get(run.request_id)
            if sent is None:
                violations.append(f"{run.request_id} ran, and no caller sent it")
                continue
            violations += _unlike(run, sent)
            if run.text.startswith("READ"):
                violations += self._stale(run, sent)
        return violations

    def _stale(self, run: Run, sent: Sent) -> Iterable[str]:
        caller = sent.caller
        first = self.sent_by_id[sent.group[0]].sent_at
        bound = first if caller.is_strict else first - self._staleness
        for commit, acknowledged_at in self._group.acknowledged:
            if run.position >= (commit.term, commit.number):
                continue
            told_at = [
                caller.told_at_by_commit[request_id]
                for request_id in commit.request_ids
                if request_id in caller.told_at_by_commit
            ]
            is_own = caller.reads_own_writes and any(at <= first for at in told_at)
            if not is_own and acknowledged_at >= bound:
                continue
            if commit in self._group.primary().log:
                yield (
                    f"{run.request_id} read {run.server} at {run.position} without "
                    f"{commit}, acknowledged {first - acknowledged_at} before"
                )

    def check_transactions(self) -> list[str]:
        """A transaction runs on one connection, alone."""
        members: dict[int, set[str]] = {}
        connections: dict[int, set[int]] = {}
        for run in self._group.runs:
            if run.transaction:
                members.setdefault(run.transaction, set()).add(run.request_id)
                connections.setdefault(run.transaction, set()).add(run.connection)
        violations = []
        transaction_by_group: dict[int, int] = {}
        for transaction, request_ids in members.items():
            groups = {id(self.sent_by_id[i].group) for i in request_ids}
            if len(connections[transaction]) != 1 or len(groups) != 1:
                violations.append(f"transaction {transaction} is mixed: {request_ids}")
            group = groups.pop()
            if transaction_by_group.setdefault(group, transaction) != transaction:
                violations.append(f"the transaction of {request_ids} is split")
        return violations

    def check_log(self) -> list[str]:
        """Nothing is kept twice, or against a promise that nothing is kept."""
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
            if codes & PROMISES:
                violations.append(f"{request_id} is kept, its caller was told {codes}")
        return violations

    def check_acknowledged_commits(self) -> list[str]:
        """Every commit that a caller was told of is in the log of the primary."""
        kept = {i for c in self._group.primary().log for i in c.request_ids}
        violations = []
        for request_id, sent in self.sent_by_id.items():
            is_write = sent.word == "WRITE" or (
                sent.word == "EXEC" and sent.caller.shapes["s"][0] == "WRITE"
            )
            was_told = request_id in sent.caller.told_at_by_commit
            is_kept = request_id in kept
            if is_write and was_told and sent.code == "OK" and not is_kept:
                violations.append(f"{request_id} was acknowledged and is lost")
        return violations


def _mixed(request_id: str, sent: Sent, lines: list[str]) -> list[str]:
    """A success of a statement for a server carries that server's answer."""
    if sent.word not in SERVER_WORDS:
        return []
    is_signed = lines[-2] == f"DONE signed-{request_id}"
    if is_signed and all(line == f"ROW {request_id}" for line in lines[:-2]):
        return []
    return [f"{request_id} ({sent.text}) got another answer: {lines}"]


def _unlike(run: Run, sent: Sent) -> Iterable[str]:
    """A statement runs as it was sent, for its account, with its session's values."""
    if sent.shape:
        same_text = run.text.split(" ")[2:] == sent.text.split(" ")[2:]
        same_text = same_text and run.shape == sent.shape
    else:
        same_text = run.text == sent.text
    if not same_text:
        yield f"{run.request_id} ran as {run.text!r} instead of {sent.text!r}"
    if run.values != sent.values:
        yield f"{run.request_id} ran with {run.values} instead of {sent.values}"
    if run.account != sent.caller.account:
        yield f"{run.request_id} ran for {run.account}"
