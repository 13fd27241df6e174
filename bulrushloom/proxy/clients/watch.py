"""Enforcement of the limits of clients: closes connections, logs and counts."""

from collections.abc import Callable
from datetime import timedelta

from bulrushloom.platform import wire
from bulrushloom.proxy.clients.limited_log import LimitedLog
from bulrushloom.proxy.clients.memory_budget import AccountKind, MemoryAccount
from bulrushloom.proxy.clients.session_bounds import (
    TOO_MANY_SESSIONS,
    session_to_replace,
)
from bulrushloom.proxy.messages import AnswerCode, Failure
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.session import Session
from bulrushloom.runtime.http import MAX_REQUEST_BYTES, HttpServerLimits
from bulrushloom.runtime.loop import Steps
from bulrushloom.runtime.streams import Stream

MEMORY_CHECK_INTERVAL = timedelta(milliseconds=100)
TIME_CHECK_INTERVAL = timedelta(seconds=1)
# Requests of probes and peers are one segment; a peer in another region needs 16 ms.
HTTP_REQUEST_TIMEOUT = timedelta(seconds=10)
NO_MEMORY_REASON = "the instance has no memory for this client"


class ClientWatch:
    """Closes connections that exceed the limits of the process.

    ``sessions`` is the set of open sessions, which the caller changes.
    """

    def __init__(self, services: Services, sessions: set[Session]):
        self._services = services
        self._loop = services.loop
        self._sessions = sessions
        self._log = LimitedLog(services.loop, services.log, "client_closed")

    def http_limits(self) -> HttpServerLimits:
        """Return the limits of an HTTP server of this process."""
        return HttpServerLimits(
            max_connections=self._services.limits.max_http_connections,
            max_body_bytes=MAX_REQUEST_BYTES,
            request_timeout=HTTP_REQUEST_TIMEOUT,
            open_account=self._open_http_account,
        )

    def _open_http_account(
        self, close: Callable[[str], None]
    ) -> tuple[MemoryAccount, Callable[[], None]]:
        account = self._services.memory.open_account(AccountKind.CLIENT)
        account.is_closable = lambda: True
        account.close_connection = close
        return account, account.close

    def make_room_for_session(self, stream: Stream) -> bool:
        """Return whether ``stream`` may become a session; refuse it otherwise.

        At the limit, a session that has not started or is idle is closed for it.
        """
        if len(self._sessions) < self._services.limits.max_sessions:
            return True
        session = session_to_replace(self._sessions, self._loop.now())
        if isinstance(session, Session):
            self._record("replaced by a new session")
            session.refuse(TOO_MANY_SESSIONS.reason)
            self._sessions.discard(session)
            return True
        self._record("not accepted")
        reason, retry_after = TOO_MANY_SESSIONS
        stream.write(
            wire.encode_failure(Failure(AnswerCode.NOT_RUN, reason, retry_after))
        )
        stream.close(reason)
        return False

    def watch_memory(self) -> Steps:
        """Close the heaviest connections while the memory budget is exceeded."""
        while True:
            yield self._loop.sleep(MEMORY_CHECK_INTERVAL)
            memory = self._services.memory
            for account in memory.accounts_to_close(self._loop.now()):
                self._record(f"memory of a {account.kind.value}", account.used)
                account.close_connection(NO_MEMORY_REASON)

    def watch_times(self) -> Steps:
        """Close sessions whose message or answer makes no progress."""
        while True:
            yield self._loop.sleep(TIME_CHECK_INTERVAL)
            for session in list(self._sessions):
                reason = session.overdue_reason()
                if reason:
                    self._record(reason)
                    session.refuse(reason)

    def set_gauges(self) -> None:
        """Update the gauges of the limits."""
        services, gauges = self._services, self._services.metrics.gauges
        gauges["sessions_limit"] = services.limits.max_sessions
        gauges["client_memory_bytes"] = services.memory.used
        gauges["client_memory_limit_bytes"] = services.limits.memory.budget_bytes
        gauges["connections_paused"] = services.memory.paused_count

    def _record(self, reason: str, size: int = 0) -> None:
        """Count a closed connection, and log at most one line per interval."""
        self._services.metrics.count("clients_closed", reason)
        services = self._services
        self._log.write(
            reason=reason,
            size=size,
            memory=services.memory.used,
            memory_limit=services.limits.memory.budget_bytes,
            sessions=len(self._sessions),
            sessions_limit=services.limits.max_sessions,
        )
