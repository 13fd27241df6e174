"""State of one server: term, role, log, data copies and transactions."""

import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from bulrushloom.coordination.sessions.base import ORIGIN, LogPosition
from bulrushloom.databases.base import Role
from bulrushloom.databases.exceptions import RefusalReason, StatementRefused
from standins.database.engine import DataCopy
from standins.database.log import Log, LogEntry, Record
from standins.database.sessions import Session, Sessions


class GroupSettings(NamedTuple):
    """Describe a server; ``address_by_peer`` has the other servers of its group."""

    name: str
    group: str
    domain: str
    address_by_peer: dict[str, str]
    primary: bool


class FreshnessMark(NamedTuple):
    """Record that the primary's log ended at ``end`` at a monotonic time."""

    end: LogPosition
    at: float


class ServerState:
    """Hold everything that a server stores; ``changed`` guards every attribute.

    ``copy`` is the data that reads see. A primary also has a ``workspace``, in which
    the one open writing transaction runs, so that reads never see open changes.
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
        self.copy = DataCopy(schema)
        self.applied = ORIGIN
        self.record_by_key: dict[tuple[str, str], tuple[Record, LogPosition]] = {}
        self.workspace: DataCopy | None = None
        self.sessions = Sessions()
        self.writer: Session | None = None
        self.writers_waiting: deque[Session] = deque()
        self.fresh_as_of: float | None = None
        self.heard_at: float | None = None
        self.marks: deque[FreshnessMark] = deque()
        if settings.primary:
            with self.changed:
                self.term = 1
                self.promote_now()

    def require_term(self, term: int) -> None:
        """Refuse unless ``term`` is the server's term."""
        if term != self.term:
            message = f"server is in term {self.term}, not {term}"
            raise StatementRefused(RefusalReason.WRONG_TERM, message)

    def require_primary(self, term: int) -> DataCopy:
        """Refuse unless the server is primary of ``term``; return the workspace."""
        self.require_term(term)
        if self.workspace is None:
            message = f"server is not the primary of term {term}"
            raise StatementRefused(RefusalReason.NOT_PRIMARY, message)
        return self.workspace

    def fence(self, term: int, candidate: str) -> None:
        """Grant a new term to a candidate, once; a repeat changes nothing."""
        if term == self.term and candidate == self.candidate:
            return
        if term <= self.term:
            message = f"term {self.term} is taken by {self.candidate or 'a primary'}"
            raise StatementRefused(RefusalReason.TERM_TAKEN, message)
        self._enter_term(term, candidate)

    def promote(self, term: int, candidate: str) -> None:
        """Become primary of a granted term; a repeat changes nothing."""
        if term != self.term or candidate != self.candidate or self.primary_address:
            message = f"{candidate} does not hold the fence of term {term}"
            raise StatementRefused(RefusalReason.TERM_TAKEN, message)
        if self.role is not Role.PRIMARY:
            self.promote_now()

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
            self.heard_at = None
            self.marks.clear()
        self.changed.notify_all()

    def promote_now(self) -> None:
        """Apply all held entries, accept writes and append an empty entry."""
        self.apply_where(lambda entry: True)
        self.role = Role.PRIMARY
        self.workspace = self.copy.fork()
        self.append([], [])

    def append(self, statements: list[Any], records: list[Record]) -> LogPosition:
        """Append one entry of the own term and make it visible to reads."""
        position = LogPosition(self.term, self.log.position.offset + 1)
        self.log.append(LogEntry(position, statements, records, time.monotonic()))
        self.apply_where(lambda entry: True)
        self.changed.notify_all()
        return position

    def apply_where(self, due: Callable[[LogEntry], bool]) -> None:
        """Apply held entries in order as long as they are ``due``."""
        while (entry := self.log.entry(self.applied.offset + 1)) and due(entry):
            self.copy.apply(entry.statements)
            for record in entry.records:
                by_key = (record.account, record.key)
                self.record_by_key[by_key] = (record, entry.position)
            self.applied = entry.position
            self.changed.notify_all()
        while self.marks and self.applied >= self.marks[0].end:
            self.fresh_as_of = self.marks.popleft().at

    def truncate(self, offset: int) -> None:
        """Discard entries after ``offset`` and rebuild the data without them."""
        self.log.truncate(offset)
        if self.applied.offset <= offset:
            return
        target = self.log.position
        self.copy.close()
        self.copy = DataCopy(self.schema)
        self.applied = ORIGIN
        self.record_by_key.clear()
        self.apply_where(lambda entry: entry.position <= target)

    def roll_back(self, session: Session) -> None:
        """End the transaction of a connection without effect."""
        if session.transaction is not None:
            session.transaction = None
            session.transaction_lost = True
        if self.writer is session:
            self.writer = None
            if self.workspace is not None:
                self.workspace.rollback()
            self.changed.notify_all()

    def close_session(self, session: Session) -> None:
        """Close a connection; its transaction is rolled back."""
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
            "age_ms": 0 if primary else _since(self.fresh_as_of, now),
            "primary_heard_ms": 0 if primary else _since(self.heard_at, now),
        }

    def age(self) -> float | None:
        """Return the age of the data in seconds, or nothing if unknown."""
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
        self.heard_at = None
        self.marks.clear()
        self.changed.notify_all()


def _since(moment: float | None, now: float) -> int | None:
    # Rounded up, because the value is an upper bound.
    return None if moment is None else int((now - moment) * 1000) + 1
