"""In-memory database server without SQL, with terms, term grants and a log."""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.sessions.base import ORIGIN, LogPosition
from bulrushloom.databases.base import Role, ServerStatus


class Entry(NamedTuple):
    """A log entry; the first entry of a term has an empty payload."""

    term: int
    payload: str


class SimulatedServer:
    """A database server whose term and log survive a crash."""

    def __init__(self, name: str):
        self.name = name
        self.restart_empty()

    def restart_empty(self) -> None:
        """Restart with an empty disk, that is without term and log."""
        self.term, self.granted_to, self.promoted_term = 0, "", 0
        self.log: list[Entry] = []
        self.restart()

    def restart(self) -> None:
        """Restart with term and log, as a replica that follows no primary."""
        self.is_up = True
        self.paused = False
        self.role = Role.REPLICA
        self.source: str | None = None
        self.last_contact_at: timedelta | None = None

    @property
    def held(self) -> LogPosition:
        """Return the position of the last entry."""
        return LogPosition(self.log[-1].term, len(self.log)) if self.log else ORIGIN

    def status(self, now: timedelta) -> ServerStatus:
        """Return the answer to a status call."""
        contact_age = (
            None if self.last_contact_at is None else now - self.last_contact_at
        )
        return ServerStatus(
            self.name, self.role, self.term, self.held, self.held, None, contact_age
        )

    def raise_term(self, term: int, candidate: str) -> None:
        """Enter ``term`` if it is higher and grant it to ``candidate``."""
        if term > self.term:
            self.role, self.source, self.last_contact_at = Role.REPLICA, None, None
            self.term, self.granted_to = term, candidate

    def fence(self, term: int, candidate: str) -> bool:
        """Grant ``term`` to ``candidate`` if possible; return whether it is granted."""
        self.raise_term(term, candidate)
        return self.term == term and self.granted_to == candidate

    def promote(self, term: int, candidate: str) -> bool:
        """Become the primary of a granted term; repeated calls have no effect."""
        granted = self.term == term and self.granted_to == candidate
        if not granted or self.promoted_term >= term:
            return False
        self.role, self.promoted_term, self.source = Role.PRIMARY, term, None
        self.log.append(Entry(term, ""))
        return True

    def follow(self, term: int, primary: str) -> bool:
        """Replicate from ``primary`` in ``term`` unless the own term is higher."""
        if term < self.term:
            return False
        self.raise_term(term, "")
        if self.role is Role.REPLICA:
            self.source = primary
        return True

    def copy_from(self, primary: "SimulatedServer", count: int, now: timedelta) -> None:
        """Copy up to ``count`` entries of ``primary`` after the common prefix.

        Entries that conflict with a copied entry are discarded.
        """
        self.last_contact_at = now
        same = 0
        for mine, theirs in zip(self.log, primary.log, strict=False):
            if mine != theirs:
                break
            same += 1
        missing = primary.log[same : same + count]
        if missing:
            self.log[same:] = missing
