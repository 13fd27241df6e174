"""The replicated log of a group, as one server holds it."""

from typing import Any, NamedTuple

from bulrushloom.coordination.sessions.base import ORIGIN, LogPosition


class Record(NamedTuple):
    """Keep the answer of a write under the caller's idempotency key."""

    account: str
    key: str
    request_hash: str
    answer: dict[str, Any]


class LogEntry(NamedTuple):
    """Hold one transaction: statements as ``[sql, params]`` pairs and records.

    ``received`` is the monotonic time in seconds at which this server got it.
    """

    position: LogPosition
    statements: list[Any]
    records: list[Record]
    received: float


class Log:
    """Hold entries with offsets 1, 2, ... without gaps; not thread-safe."""

    def __init__(self) -> None:
        self._entries: list[LogEntry] = []

    @property
    def position(self) -> LogPosition:
        """Return the position of the last entry."""
        return self._entries[-1].position if self._entries else ORIGIN

    def append(self, entry: LogEntry) -> None:
        """Add an entry at the next offset."""
        if entry.position.offset != len(self._entries) + 1:
            raise ValueError(f"log ends at {self.position}, got {entry.position}")
        self._entries.append(entry)

    def entry(self, offset: int) -> LogEntry | None:
        """Return the entry at ``offset``, or nothing past the end."""
        if 1 <= offset <= len(self._entries):
            return self._entries[offset - 1]
        return None

    def position_at(self, offset: int) -> LogPosition:
        """Return the position of the entry at ``offset``; 0 is the origin."""
        return self._entries[offset - 1].position if offset else ORIGIN

    def contains(self, position: LogPosition) -> bool:
        """Return whether exactly this entry is in the log."""
        if position.offset > len(self._entries):
            return False
        return self.position_at(position.offset) == position

    def after(self, offset: int, limit: int) -> list[LogEntry]:
        """Return up to ``limit`` entries that follow ``offset``."""
        return self._entries[offset : offset + limit]

    def truncate(self, offset: int) -> None:
        """Discard all entries after ``offset``."""
        del self._entries[offset:]

    def common_offset(self, position: LogPosition) -> int:
        """Bound the common prefix with a log that ends at a ``position`` not here.

        Entries up to the common prefix have a term of at most ``position.term``,
        so the result is never less than the length of that prefix.
        """
        offset = min(position.offset - 1, len(self._entries))
        while offset and self.position_at(offset).term > position.term:
            offset -= 1
        return offset


def entry_to_json(entry: LogEntry) -> list[Any]:
    """Return the form in which replicas receive an entry."""
    return [list(entry.position), entry.statements, [list(r) for r in entry.records]]


def entry_from_json(value: Any, received: float) -> LogEntry:
    """Read an entry that came from the primary."""
    position, statements, records = value
    return LogEntry(
        LogPosition(*position), statements, [Record(*row) for row in records], received
    )
