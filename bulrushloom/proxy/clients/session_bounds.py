"""Bounds on the number of sessions and on the time of a message; without I/O.

They answer crowds that open connections and say nothing, stop half-way through a
message, or read their answers very slowly, and so use up the descriptors.
"""

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple, Protocol

from bulrushloom.proxy.clients.memory_budget import SESSION_BYTES, MemoryLimits

# Sockets for the store, peers, targets and probes: at most a quarter of the sockets,
# which leaves 1,054 for sessions on the smallest machine (1,605 descriptors).
RESERVED_FRACTION = 0.25
MAX_RESERVED_SOCKETS = 400
# Sessions may use half of the memory at which reading is paused.
SESSION_MEMORY_FRACTION = 0.5
MIN_SESSIONS = 16
# A client sends its start message at once; a busy instance reads it later.
MIN_START_TIME = timedelta(milliseconds=200)
# A session that was idle for a shorter time may be in constant use.
MIN_IDLE_TIME = timedelta(seconds=2)
# The largest message takes 1.7 s at 5 Mbit/s; many clients may share this bandwidth.
MAX_MESSAGE_TIME = timedelta(seconds=60)
# Without a byte for this time the client has stopped or is out of reach.
MAX_MESSAGE_SILENCE = timedelta(seconds=15)
# A client that reads nothing for this time has stopped or is out of reach. At 0.9 s, as
# for targets and peers, a client that paused for 1 s in a large answer lost it.
MAX_READER_SILENCE = timedelta(seconds=15)
# A client that does not take its answer is not served for longer.
MAX_ANSWER_TIME = timedelta(seconds=60)


def max_sessions(sockets: int, limits: MemoryLimits) -> int:
    """Return how many client sessions a process with that many sockets accepts."""
    reserved = min(int(sockets * RESERVED_FRACTION), MAX_RESERVED_SOCKETS)
    by_memory = int(limits.pause_bytes * SESSION_MEMORY_FRACTION) // SESSION_BYTES
    return max(MIN_SESSIONS, min(sockets - reserved, by_memory))


def max_http_connections(sockets: int) -> int:
    """Return how many connections each HTTP server accepts, part of the reserve."""
    reserved = min(int(sockets * RESERVED_FRACTION), MAX_RESERVED_SOCKETS)
    return max(4, reserved // 4)


class SessionActivity(Protocol):
    """What decides whether a session may be closed."""

    is_started: bool
    client: tuple[str, str]
    awaiting_since: timedelta

    @property
    def has_transaction(self) -> bool:
        """Return whether a transaction is open, which a close would end."""

    @property
    def is_closable(self) -> bool:
        """Return whether a close interrupts no running statement."""


class SessionRefusal(NamedTuple):
    """The reason why a new connection is not accepted."""

    reason: str
    retry_after: timedelta


TOO_MANY_SESSIONS = SessionRefusal("too many sessions", MIN_IDLE_TIME)


def session_to_replace(
    sessions: Iterable[SessionActivity], now: timedelta
) -> SessionActivity | None:
    """Return the session that is closed for a new one; ``None`` if there is none.

    That is the session that has not started for the longest time, unless it was
    accepted just now. Otherwise it is the longest idle one of the client (database and
    key) that has the most sessions, so a client with few sessions keeps them; one
    without a transaction goes first.
    """
    unstarted = [s for s in sessions if not s.is_started and s.is_closable]
    unstarted = [s for s in unstarted if now - s.awaiting_since >= MIN_START_TIME]
    if unstarted:
        return min(unstarted, key=lambda s: s.awaiting_since)
    count_by_client = Counter(s.client for s in sessions)
    idle = [
        s for s in sessions if s.is_closable and now - s.awaiting_since >= MIN_IDLE_TIME
    ]
    return max(
        idle,
        key=lambda s: (
            count_by_client[s.client],
            not s.has_transaction,
            now - s.awaiting_since,
        ),
        default=None,
    )


class MessageProgress:
    """Progress of the message that a session receives, or of the answer it sends."""

    def __init__(self) -> None:
        self._began_at: timedelta | None = None
        self._received_at = timedelta()
        self._draining_since: timedelta | None = None

    def receive(self, now: timedelta) -> None:
        """Record bytes of a message that is not complete."""
        if self._began_at is None:
            self._began_at = now
        self._received_at = now

    def complete(self) -> None:
        """Record that the message is complete."""
        self._began_at = None

    def start_draining(self, now: timedelta) -> None:
        """Record that the session waits until the client has read an answer."""
        self._draining_since = now

    def end_draining(self) -> None:
        """Record that the client has read the answer."""
        self._draining_since = None

    def overdue_reason(self, now: timedelta) -> str:
        """Return why the session ends, empty if it goes on."""
        draining = self._draining_since
        if draining is not None:
            overdue = now - draining >= MAX_ANSWER_TIME
            return "the answer was not read in time" if overdue else ""
        if self._began_at is None:
            return ""
        if now - self._began_at >= MAX_MESSAGE_TIME:
            return "the message was not complete in time"
        if now - self._received_at >= MAX_MESSAGE_SILENCE:
            return "the message stopped half-way"
        return ""
