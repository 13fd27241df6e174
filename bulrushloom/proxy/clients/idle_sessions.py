"""Closing of sessions whose clients have to continue at another instance."""

from collections.abc import Iterable
from datetime import timedelta

from bulrushloom.proxy.services import Services
from bulrushloom.proxy.session import Session

# A session that was idle for a shorter time may be in constant use: a request may be on
# its way.
MIN_IDLE_TIME = timedelta(milliseconds=100)


def close_idle_sessions(
    services: Services, sessions: Iterable[Session], reason: str
) -> None:
    """Close idle sessions now, and others when a request is refused."""
    services.session_close_reason = reason
    idle_since = services.loop.now() - MIN_IDLE_TIME
    for session in list(sessions):
        if session.is_idle and session.awaiting_since <= idle_since:
            session.close(reason)
