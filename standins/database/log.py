"""One server's copy of the replicated log."""

from typing import Any, NamedTuple

from bulrushloom.coordination.sessions.base import ORIGIN, LogPosition


class RecordedAnswer(NamedTuple):
    """The answer of a write, stored under the client's idempotency key."""

    account: str
    key: str
    request_hash: str
    answer: dict[str, Any]


class LogEntry(NamedTuple):
    """A committed transaction with its recorded answers.

    ``statements`` are ``[sql, params]`` pairs. ``received_at`` is the time at which
    this server received the entry, in monotonic seconds.
    """

    position: LogPosition
    statements: list[Any]
    records: list[RecordedAnswer]
    received_at: float


class Log:
    """Log entries at the offsets 1, 2, ... without gaps; not thread-safe."""

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
        """Return the entry at ``offset``, or ``None`` if there is none."""
        if 1 <= offset <= len(self._entries):
            return self._entries[offset - 1]
        return None

    def position_at(self, offset: int) -> LogPosition:
        """Return the position of the entry at ``offset``, ``ORIGIN`` for offset 0."""
        return self._entries[offset - 1].position if offset else ORIGIN

    def contains(self, position: LogPosition) -> bool:
        """Return whether the log has an entry of this term at this offset."""
        if position.offset > len(self._entries):
            return False
        return self.position_at(position.offset) == position

    def entries_after(self, offset: int, limit: int) -> list[LogEntry]:
        """Return up to ``limit`` entries after ``offset``."""
        return self._entries[offset : offset + limit]

    def truncate(self, offset: int) -> None:
        """Discard all entries after ``offset``."""
        del self._entries[offset:]

    def common_offset(self, position: LogPosition) -> int:
        """Return an upper bound for the common prefix with another log.

        The other log ends at ``position``, which is not in this log. Entries in the
        common prefix have a term of at most ``position.term``, so the result is never
        less than the length of the prefix.
        """
        offset = min(position.offset - 1, len(self._entries))
        while offset and self.position_at(offset).term > position.term:
            offset -= 1
        return offset


def entry_to_json(entry: LogEntry) -> list[Any]:
    """Return the JSON form of an entry, as sent to replicas."""
    return [list(entry.position), entry.statements, [list(r) for r in entry.records]]


def entry_from_json(value: Any, received_at: float) -> LogEntry:
    """Return the entry for a JSON value that the primary sent."""
    position, statements, records = value
    return LogEntry(
        LogPosition(*position),
        statements,
        [RecordedAnswer(*row) for row in records],
        received_at,
    )
