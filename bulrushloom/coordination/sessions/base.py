"""Positions in a group's replicated log."""

from typing import NamedTuple


class LogPosition(NamedTuple):
    """Position of a log entry; positions compare by term, then by offset.

    The log of every later term contains all acknowledged entries, so a server whose
    last applied entry is at or after a position has all data up to that position.
    """

    term: int
    offset: int

    def __str__(self) -> str:
        return f"{self.term}.{self.offset}"


ORIGIN = LogPosition(0, 0)
