"""Messages and effects of write acknowledgement (design, section 3.2)."""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.databases.base import ServerStatus


class AwaitAnswered(NamedTuple):
    """Report the answer to an ``AwaitHeld``; the server may still lack the position."""

    target: str
    status: ServerStatus


class AwaitFailed(NamedTuple):
    """Report that an ``AwaitHeld`` got no answer."""

    target: str
    reason: str


class AwaitHeld(NamedTuple):
    """Request a server's status as soon as its log contains ``position``.

    After ``wait``, the server answers without it. At most one such call per server is
    outstanding; the I/O layer completes it with ``AwaitAnswered`` or ``AwaitFailed``.
    """

    target: str
    position: LogPosition
    wait: timedelta


class WriteDurable(NamedTuple):
    """Report a write that every later primary will have; it may be acknowledged."""

    request_id: str


class WriteUndecided(NamedTuple):
    """Report a write that may still be lost; it must not be acknowledged."""

    request_id: str
    reason: str
