"""The history of a workload and the check of its consistency guarantees."""

import threading
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from benchmarks.callers import Reply


class WriteRecord(NamedTuple):
    """A write with its unique token and the reply that the client received."""

    database: str
    account: str
    token: str
    reply: Reply
    idempotent: bool


class ReadRecord(NamedTuple):
    """A read of a session's own rows.

    ``expected`` contains the tokens of the writes that were acknowledged to the
    session before the read, ``found`` the tokens in the reply.
    """

    account: str
    session: str
    reply: Reply
    expected: frozenset[str]
    found: frozenset[str]


class Findings(NamedTuple):
    """The violations that a check found, each as a description.

    ``stale_reads`` lists reads that miss an acknowledged write of their session,
    ``lost_writes`` acknowledged writes that aren't stored, ``duplicate_writes`` writes
    stored more than once, ``executed_refusals`` stored writes that were reported as not
    executed, and ``foreign_rows`` reads that returned rows of other sessions.
    """

    stale_reads: list[str]
    lost_writes: list[str]
    duplicate_writes: list[str]
    executed_refusals: list[str]
    foreign_rows: list[str]

    @property
    def is_clean(self) -> bool:
        """Return whether there is no violation."""
        return not any(self)


class History:
    """Thread-safe collection of the records of a workload."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.writes: list[WriteRecord] = []
        self.reads: list[ReadRecord] = []
        self.replies: list[tuple[str, str, Reply]] = []

    def add_reply(self, account: str, kind: str, reply: Reply) -> None:
        """Add a reply; ``kind`` is ``read``, ``write`` or ``transaction``."""
        with self._lock:
            self.replies.append((account, kind, reply))

    def add_write(self, record: WriteRecord) -> None:
        """Add a write, which ``check`` compares with the stored rows."""
        with self._lock:
            self.writes.append(record)

    def add_read(self, record: ReadRecord) -> None:
        """Add a read of a session's own rows."""
        with self._lock:
            self.reads.append(record)

    def check(self, stored_by_database: Mapping[str, Iterable[str]]) -> Findings:
        """Compare the history with the tokens stored at the end of the workload."""
        findings = Findings([], [], [], [], [])
        self._check_reads(findings)
        count_by_database = {
            name: Counter(tokens) for name, tokens in stored_by_database.items()
        }
        for write in self.writes:
            count = count_by_database[write.database][write.token]
            text = f"{write.database} {write.token}: {count} rows, {write.reply.kind}"
            if write.reply.ok and count == 0:
                findings.lost_writes.append(text)
            if count > 1:
                findings.duplicate_writes.append(text)
            if write.reply.ran == "no" and count:
                findings.executed_refusals.append(text)
        return findings

    def _check_reads(self, findings: Findings) -> None:
        for read in self.reads:
            missing = read.expected - read.found
            if missing:
                findings.stale_reads.append(f"{read.session} misses {sorted(missing)}")
            foreign = [
                token for token in read.found if not token.startswith(read.session)
            ]
            if foreign:
                findings.foreign_rows.append(f"{read.session} got {foreign[:3]}")

    def replica_read_fraction(self) -> float:
        """Return the fraction of successful reads that replicas served."""
        roles = Counter(
            reply.body["role"]
            for _, kind, reply in self.replies
            if kind == "read" and reply.ok
        )
        total = sum(roles.values())
        return roles["replica"] / total if total else 0.0
