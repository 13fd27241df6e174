"""Messages and effects of write acknowledgement (design, section 3.2)."""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.databases.base import ServerStatus


class AwaitAnswered(NamedTuple):
    """Report the answer to an ``AwaitHeld``; the position may not be held yet."""

    target: str
    status: ServerStatus


class AwaitFailed(NamedTuple):
    """Report an ``AwaitHeld`` without an answer."""

    target: str
    reason: str


class AwaitHeld(NamedTuple):
    """Ask the edge for a server's status once it holds ``position``.

    The server answers without it after ``wait``. At most one such call per server
    is outstanding; ``AwaitAnswered`` or ``AwaitFailed`` ends it.
    """

    target: str
    position: LogPosition
    wait: timedelta


class WriteDurable(NamedTuple):
    """Report a write that every later primary holds; it may be acknowledged."""

    request_id: str


class WriteUndecided(NamedTuple):
    """Report a write that may or may not survive; it must not be acknowledged."""

    request_id: str
    reason: str
