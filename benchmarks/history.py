"""History of a workload and the check of what must always hold."""

import threading
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from benchmarks.callers import Reply


class WriteRecord(NamedTuple):
    """Record a write: its unique token and what the caller was told."""

    database: str
    account: str
    token: str
    reply: Reply
    idempotent: bool


class ReadRecord(NamedTuple):
    """Record a read of a session's own rows.

    ``expected`` are tokens that were acknowledged to the session before the read,
    ``found`` the tokens in the answer.
    """

    account: str
    session: str
    reply: Reply
    expected: frozenset[str]
    found: frozenset[str]


class Findings(NamedTuple):
    """List violations, each as a readable text."""

    stale_reads: list[str]
    lost: list[str]
    doubled: list[str]
    false_refusals: list[str]
    foreign_rows: list[str]

    @property
    def clean(self) -> bool:
        """Return whether there is no violation."""
        return not any(self)


class History:
    """Collect records from many threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.writes: list[WriteRecord] = []
        self.reads: list[ReadRecord] = []
        self.replies: list[tuple[str, str, Reply]] = []

    def add_reply(self, account: str, kind: str, reply: Reply) -> None:
        """Count any reply; ``kind`` is ``read``, ``write`` or ``transaction``."""
        with self._lock:
            self.replies.append((account, kind, reply))

    def add_write(self, record: WriteRecord) -> None:
        """Add a write for the final check."""
        with self._lock:
            self.writes.append(record)

    def add_read(self, record: ReadRecord) -> None:
        """Add a read of a session's own rows."""
        with self._lock:
            self.reads.append(record)

    def check(self, stored_by_database: Mapping[str, Iterable[str]]) -> Findings:
        """Compare the history with the tokens that the databases hold at the end."""
        findings = Findings([], [], [], [], [])
        self._check_reads(findings)
        count_by_database = {
            name: Counter(tokens) for name, tokens in stored_by_database.items()
        }
        for write in self.writes:
            count = count_by_database[write.database][write.token]
            text = f"{write.database} {write.token}: {count} rows, {write.reply.kind}"
            if write.reply.ok and count == 0:
                findings.lost.append(text)
            if count > 1:
                findings.doubled.append(text)
            if write.reply.ran == "no" and count:
                findings.false_refusals.append(text)
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

    def share_of_replica_reads(self) -> float:
        """Return the share of answered reads that replicas served."""
        roles = Counter(
            reply.body["role"]
            for _, kind, reply in self.replies
            if kind == "read" and reply.ok
        )
        total = sum(roles.values())
        return roles["replica"] / total if total else 0.0
