"""Policies that choose the targets for a read."""

from abc import ABC, abstractmethod
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.sessions.base import LogPosition


class Candidate(NamedTuple):
    """Describe a target as the entry knows it; ``age`` is ``None`` when unknown."""

    target: str
    domain: str
    is_primary: bool
    reachable: bool
    applied: LogPosition
    age: timedelta | None
    in_flight: int


class ReadNeed(NamedTuple):
    """State what a read requires of its target."""

    domain: str
    min_position: LogPosition
    max_age: timedelta


class ReadPolicy(ABC):
    """Order the targets of a group for one read."""

    @abstractmethod
    def order(self, candidates: list[Candidate], need: ReadNeed) -> list[str]:
        """Return target names, best first; the server itself checks ``need``."""
