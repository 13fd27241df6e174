"""Log positions."""

from typing import NamedTuple


class LogPosition(NamedTuple):
    """Locate a log entry; positions compare by term, then by offset.

    An acknowledged entry is in the log of every later term, so a server whose last
    applied entry is at or after a position holds everything up to that position.
    """

    term: int
    offset: int

    def __str__(self) -> str:
        return f"{self.term}.{self.offset}"


ORIGIN = LogPosition(0, 0)
