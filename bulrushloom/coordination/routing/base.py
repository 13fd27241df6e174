"""Interface of the policies that select targets for a read."""

from abc import ABC, abstractmethod
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.sessions.base import LogPosition


class Candidate(NamedTuple):
    """Describe a target as known to the entry instance, which receives the request.

    ``age`` is ``None`` if it is unknown.
    """

    target: str
    domain: str
    is_primary: bool
    reachable: bool
    applied: LogPosition
    age: timedelta | None
    in_flight: int


class ReadRequirements(NamedTuple):
    """Describe the requirements that a read has for its target.

    ``domain`` is the domain of the entry instance, so that policies can prefer the
    targets in it.
    """

    domain: str
    min_position: LogPosition
    max_age: timedelta


class ReadPolicy(ABC):
    """Order the targets of a group for one read."""

    @abstractmethod
    def order(self, candidates: list[Candidate], need: ReadRequirements) -> list[str]:
        """Return target names, best first.

        The order is a heuristic; the database server enforces ``need``.
        """
