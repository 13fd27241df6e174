"""Messages and effects of write acknowledgement (design, section 3.2)."""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.databases.base import ServerStatus


class AwaitPositionAnswered(NamedTuple):
    """Report the answer to ``AwaitPosition``; the server may still lack the entry."""

    target: str
    status: ServerStatus


class AwaitPositionFailed(NamedTuple):
    """Report that an ``AwaitPosition`` got no answer."""

    target: str
    reason: str


class AwaitPosition(NamedTuple):
    """Request a server's status as soon as its log contains ``position``.

    After ``wait``, the server answers without it. At most one such call per server is
    outstanding; the I/O layer completes it with ``AwaitPositionAnswered`` or
    ``AwaitPositionFailed``.
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
