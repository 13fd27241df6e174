"""The state of one server: term, role, log, data and transactions."""

import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from bulrushloom.coordination.sessions.base import ORIGIN, LogPosition
from bulrushloom.databases.base import Role
from bulrushloom.databases.exceptions import RefusalReason, StatementRefused
from standins.database.engine import InMemoryDatabase
from standins.database.log import Log, LogEntry, RecordedAnswer
from standins.database.sessions import Session, Sessions


class GroupSettings(NamedTuple):
    """The settings of a server; ``address_by_peer`` has the rest of its group."""

    name: str
    group: str
    domain: str
    address_by_peer: dict[str, str]
    primary: bool


class FreshnessMark(NamedTuple):
    """The end of the primary's log at ``read_at``, in monotonic seconds."""

    end: LogPosition
    read_at: float


class ServerState:
    """Everything that a server stores.

    All attributes are guarded by ``changed``; callers of the methods must hold it.
    Reads use ``committed_data``. A primary also has a ``workspace``, a copy of the data
    in which the transaction with the write lock runs, so that reads never see
    uncommitted changes.
    """

    def __init__(self, settings: GroupSettings, schema: str):
        self.changed = threading.Condition(threading.RLock())
        self.settings = settings
        self.schema = schema
        self.address = ""
        self.closed = False
        self.term = 0
        self.candidate = ""
        self.role = Role.REPLICA
        self.primary_address = ""
        self.log = Log()
        self.committed_data = InMemoryDatabase(schema)
        self.applied = ORIGIN
        self.record_by_key: dict[
            tuple[str, str], tuple[RecordedAnswer, LogPosition]
        ] = {}
        self.workspace: InMemoryDatabase | None = None
        self.sessions = Sessions()
        self.write_lock_holder: Session | None = None
        self.write_lock_queue: deque[Session] = deque()
        self.fresh_as_of: float | None = None
        self.last_contact_at: float | None = None
        self.freshness_marks: deque[FreshnessMark] = deque()
        if settings.primary:
            with self.changed:
                self.term = 1
                self.become_primary()

    def require_term(self, term: int) -> None:
        """Raise ``StatementRefused`` unless ``term`` is the server's term."""
        if term != self.term:
            message = f"server is in term {self.term}, not {term}"
            raise StatementRefused(RefusalReason.WRONG_TERM, message)

    def require_primary(self, term: int) -> InMemoryDatabase:
        """Return the workspace; refuse unless the server is primary of ``term``."""
        self.require_term(term)
        if self.workspace is None:
            message = f"server is not the primary of term {term}"
            raise StatementRefused(RefusalReason.NOT_PRIMARY, message)
        return self.workspace

    def fence(self, term: int, candidate: str) -> None:
        """Grant a higher term to a candidate and stop serving the former term.

        Each term is granted once. Repeating the call of its candidate has no effect.
        """
        if term == self.term and candidate == self.candidate:
            return
        if term <= self.term:
            message = f"term {self.term} is taken by {self.candidate or 'a primary'}"
            raise StatementRefused(RefusalReason.TERM_TAKEN, message)
        self._enter_term(term, candidate)

    def promote(self, term: int, candidate: str) -> None:
        """Become the primary of a granted term; repeated calls have no effect."""
        if term != self.term or candidate != self.candidate or self.primary_address:
            message = f"{candidate} does not hold the fence of term {term}"
            raise StatementRefused(RefusalReason.TERM_TAKEN, message)
        if self.role is not Role.PRIMARY:
            self.become_primary()

    def follow(self, term: int, primary: str) -> None:
        """Replicate from ``primary`` in ``term``."""
        if primary == self.address:
            message = "a server cannot follow itself"
            raise StatementRefused(RefusalReason.BAD_REQUEST, message)
        if term < self.term:
            self.require_term(term)
        if term == self.term and self.role is Role.PRIMARY:
            message = f"server is the primary of term {term}"
            raise StatementRefused(RefusalReason.TERM_TAKEN, message)
        if term > self.term:
            self._enter_term(term, "")
        if self.primary_address != primary:
            self.primary_address = primary
            self.last_contact_at = None
            self.freshness_marks.clear()
        self.changed.notify_all()

    def become_primary(self) -> None:
        """Apply the whole log, accept writes and append an empty entry."""
        self.apply_entries(lambda entry: True)
        self.role = Role.PRIMARY
        self.workspace = self.committed_data.fork()
        self.append([], [])

    def append(
        self, statements: list[Any], records: list[RecordedAnswer]
    ) -> LogPosition:
        """Append an entry of the current term and make it visible to reads."""
        position = LogPosition(self.term, self.log.position.offset + 1)
        self.log.append(LogEntry(position, statements, records, time.monotonic()))
        self.apply_entries(lambda entry: True)
        self.changed.notify_all()
        return position

    def apply_entries(self, due: Callable[[LogEntry], bool]) -> None:
        """Apply the log in order, up to the first entry that is not ``due``."""
        while (entry := self.log.entry(self.applied.offset + 1)) and due(entry):
            self.committed_data.apply(entry.statements)
            for record in entry.records:
                by_key = (record.account, record.key)
                self.record_by_key[by_key] = (record, entry.position)
            self.applied = entry.position
            self.changed.notify_all()
        while self.freshness_marks and self.applied >= self.freshness_marks[0].end:
            self.fresh_as_of = self.freshness_marks.popleft().read_at

    def truncate(self, offset: int) -> None:
        """Discard the entries after ``offset`` and rebuild the data if necessary."""
        self.log.truncate(offset)
        if self.applied.offset <= offset:
            return
        target = self.log.position
        self.committed_data.close()
        self.committed_data = InMemoryDatabase(self.schema)
        self.applied = ORIGIN
        self.record_by_key.clear()
        self.apply_entries(lambda entry: entry.position <= target)

    def roll_back(self, session: Session) -> None:
        """Roll back the transaction of a connection and release the write lock."""
        if session.transaction is not None:
            session.transaction = None
            session.transaction_lost = True
        if self.write_lock_holder is session:
            self.write_lock_holder = None
            if self.workspace is not None:
                self.workspace.rollback()
            self.changed.notify_all()

    def close_session(self, session: Session) -> None:
        """Close a connection and roll back its transaction."""
        self.roll_back(session)
        self.sessions.session_by_id.pop(session.id, None)

    def status(self) -> dict[str, Any]:
        """Return the JSON form of ``ServerStatus``."""
        now = time.monotonic()
        primary = self.role is Role.PRIMARY
        return {
            "name": self.settings.name,
            "role": self.role.value,
            "term": self.term,
            "held": list(self.log.position),
            "applied": list(self.applied),
            "age_ms": 0 if primary else _elapsed_ms(self.fresh_as_of, now),
            "primary_heard_ms": 0
            if primary
            else _elapsed_ms(self.last_contact_at, now),
        }

    def age(self) -> float | None:
        """Return the age of the data in seconds, or ``None`` if it is unknown."""
        if self.role is Role.PRIMARY:
            return 0.0
        if self.fresh_as_of is None:
            return None
        return time.monotonic() - self.fresh_as_of

    def _enter_term(self, term: int, candidate: str) -> None:
        if self.role is Role.PRIMARY:
            self.fresh_as_of = time.monotonic()
        for session in self.sessions.session_by_id.values():
            self.roll_back(session)
        if self.workspace is not None:
            self.workspace.close()
        self.workspace = None
        self.role = Role.REPLICA
        self.term = term
        self.candidate = candidate
        self.primary_address = ""
        self.last_contact_at = None
        self.freshness_marks.clear()
        self.changed.notify_all()


def _elapsed_ms(moment: float | None, now: float) -> int | None:
    # Rounded up, because callers use the value as an upper bound.
    return None if moment is None else int((now - moment) * 1000) + 1
