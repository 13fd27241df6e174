"""HTTP client of one database server."""

import threading
from datetime import timedelta
from typing import Any

from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.core.clock import milliseconds
from bulrushloom.core.exceptions import NoAnswer, NotSent
from bulrushloom.core.http import JsonAnswer, JsonClient
from bulrushloom.databases.base import DatabaseServer, Role, Rows, ServerStatus, Work
from bulrushloom.databases.exceptions import (
    AnswerLost,
    RefusalReason,
    ServerUnreachable,
    StatementRefused,
)

CALL_TIMEOUT = timedelta(seconds=5)


class HttpDatabaseServer(DatabaseServer):
    """Call the server at ``address`` (``host:port``); thread-safe.

    ``origin`` (``instance/domain``) names the caller. Each connection has a socket
    of its own, whose end closes the connection at the server.
    """

    def __init__(self, address: str, origin: str, timeout: timedelta = CALL_TIMEOUT):
        self.address = address
        self._origin = origin
        self._timeout = timeout
        self._control = JsonClient(address, origin)
        self._client_by_connection: dict[str, JsonClient] = {}
        self._lock = threading.Lock()

    def connect(self) -> str:
        """Open a connection and return its identifier."""
        client = JsonClient(self.address, self._origin, sockets=1)
        try:
            value = _call(client, "/connect", self._timeout, {})
            connection = value["connection"]
        except (KeyError, TypeError) as error:
            client.close()
            raise AnswerLost(f"malformed answer: {error!r}") from error
        except Exception:
            client.close()
            raise
        with self._lock:
            self._client_by_connection[connection] = client
        return str(connection)

    def disconnect(self, connection: str) -> None:
        """Close a connection; an open transaction is rolled back."""
        with self._lock:
            client = self._client_by_connection.pop(connection, None)
        if client is not None:
            client.close()

    def execute(self, connection: str, work: Work) -> Rows:
        """Run one statement, in the open transaction or in one of its own."""
        max_age, record = work.max_age, work.idempotency
        body = {
            "connection": connection,
            "sql": work.sql,
            "params": work.params,
            "term": work.term,
            "read_only": work.read_only,
            "min_position": list(work.min_position),
            "max_age_ms": None if max_age is None else milliseconds(max_age),
            "wait_ms": milliseconds(work.wait),
            "idempotency": None if record is None else record._asdict(),
        }
        value = self._on(connection, "/execute", self._timeout + work.wait, body)
        try:
            position = LogPosition(*value["position"])
            return Rows(value["columns"], value["rows"], value["row_count"], position)
        except (KeyError, TypeError) as error:
            raise AnswerLost(f"malformed answer: {error!r}") from error

    def begin(self, connection: str, term: int) -> None:
        """Begin a transaction."""
        body = {"connection": connection, "term": term}
        self._on(connection, "/begin", self._timeout, body)

    def commit(self, connection: str, term: int) -> LogPosition:
        """Commit and return the position of the log entry."""
        body = {"connection": connection, "term": term}
        value = self._on(connection, "/commit", self._timeout, body)
        try:
            return LogPosition(*value["position"])
        except (KeyError, TypeError) as error:
            raise AnswerLost(f"malformed answer: {error!r}") from error

    def rollback(self, connection: str) -> None:
        """Roll back the open transaction."""
        body = {"connection": connection}
        self._on(connection, "/rollback", self._timeout, body)

    def status(
        self, position: LogPosition | None = None, wait: timedelta = timedelta()
    ) -> ServerStatus:
        """Return the status, once ``position`` is held or ``wait`` has passed."""
        wanted = None if position is None else list(position)
        body = {"position": wanted, "wait_ms": milliseconds(wait)}
        return _status(_call(self._control, "/status", self._timeout + wait, body))

    def fence(self, term: int, candidate: str) -> ServerStatus:
        """Take ``term`` for ``candidate``; raise ``StatementRefused`` if taken."""
        return self._change("/fence", {"term": term, "candidate": candidate})

    def promote(self, term: int, candidate: str) -> ServerStatus:
        """Make the server primary of a term that it granted to ``candidate``."""
        return self._change("/promote", {"term": term, "candidate": candidate})

    def follow(self, term: int, primary: str) -> ServerStatus:
        """Replicate from ``primary`` (``host:port``) in ``term``."""
        return self._change("/follow", {"term": term, "primary": primary})

    def close(self) -> None:
        """Close all sockets."""
        with self._lock:
            clients = list(self._client_by_connection.values())
            self._client_by_connection.clear()
        for client in [*clients, self._control]:
            client.close()

    def _change(self, path: str, body: Any) -> ServerStatus:
        return _status(_call(self._control, path, self._timeout, body))

    def _on(self, connection: str, path: str, timeout: timedelta, body: Any) -> Any:
        with self._lock:
            client = self._client_by_connection.get(connection)
        if client is None:
            message = f"connection {connection} is not open"
            raise StatementRefused(RefusalReason.NO_CONNECTION, message)
        return _call(client, path, timeout, body)


def _call(client: JsonClient, path: str, timeout: timedelta, body: Any) -> Any:
    try:
        answer = client.call("POST", path, timeout, body)
    except NotSent as error:
        raise ServerUnreachable(str(error)) from error
    except NoAnswer as error:
        raise AnswerLost(str(error)) from error
    if answer.status == 200:
        return answer.value
    raise _refusal(answer)


def _refusal(answer: JsonAnswer) -> AnswerLost | StatementRefused:
    try:
        return StatementRefused(RefusalReason(answer.value["refused"]), answer.reason)
    except (KeyError, TypeError, ValueError):
        return AnswerLost(answer.reason)


def _status(value: Any) -> ServerStatus:
    try:
        return ServerStatus(
            value["name"],
            Role(value["role"]),
            value["term"],
            LogPosition(*value["held"]),
            LogPosition(*value["applied"]),
            _duration(value["age_ms"]),
            _duration(value["primary_heard_ms"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise AnswerLost(f"malformed answer: {error!r}") from error


def _duration(value: int | None) -> timedelta | None:
    return None if value is None else timedelta(milliseconds=value)
