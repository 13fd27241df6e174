"""HTTP client of one database server."""

import threading
from datetime import timedelta
from typing import Any

from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.core.clock import milliseconds
from bulrushloom.core.exceptions import NoAnswer, NotSent
from bulrushloom.core.http import JsonClient, JsonResponse
from bulrushloom.databases.base import (
    DatabaseClient,
    Role,
    ServerStatus,
    StatementCall,
    StatementResult,
)
from bulrushloom.databases.exceptions import (
    AnswerLost,
    RefusalReason,
    ServerUnreachable,
    StatementRefused,
)

CALL_TIMEOUT = timedelta(seconds=5)


class HttpDatabaseClient(DatabaseClient):
    """Client of the server at ``address`` (``host:port``); thread-safe.

    ``origin`` (``instance/domain``) identifies the caller. Each connection has its own
    socket, and the server closes the connection when the socket is closed.
    """

    def __init__(self, address: str, origin: str, timeout: timedelta = CALL_TIMEOUT):
        self.address = address
        self._origin = origin
        self._timeout = timeout
        self._status_client = JsonClient(address, origin)
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

    def execute(self, connection: str, work: StatementCall) -> StatementResult:
        """Run one statement, in the open transaction or else in its own."""
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
        value = self._call_on_connection(
            connection, "/execute", self._timeout + work.wait, body
        )
        try:
            position = LogPosition(*value["position"])
            return StatementResult(
                value["columns"], value["rows"], value["row_count"], position
            )
        except (KeyError, TypeError) as error:
            raise AnswerLost(f"malformed answer: {error!r}") from error

    def begin(self, connection: str, term: int) -> None:
        """Begin a transaction."""
        body = {"connection": connection, "term": term}
        self._call_on_connection(connection, "/begin", self._timeout, body)

    def commit(self, connection: str, term: int) -> LogPosition:
        """Commit the open transaction and return the position of its log entry."""
        body = {"connection": connection, "term": term}
        value = self._call_on_connection(connection, "/commit", self._timeout, body)
        try:
            return LogPosition(*value["position"])
        except (KeyError, TypeError) as error:
            raise AnswerLost(f"malformed answer: {error!r}") from error

    def rollback(self, connection: str) -> None:
        """Roll back the open transaction."""
        body = {"connection": connection}
        self._call_on_connection(connection, "/rollback", self._timeout, body)

    def status(
        self, position: LogPosition | None = None, wait: timedelta = timedelta()
    ) -> ServerStatus:
        """Return the status once the server stores ``position``, or after ``wait``."""
        awaited_position = None if position is None else list(position)
        body = {"position": awaited_position, "wait_ms": milliseconds(wait)}
        return _parse_status(
            _call(self._status_client, "/status", self._timeout + wait, body)
        )

    def fence(self, term: int, candidate: str) -> ServerStatus:
        """Grant ``term`` to ``candidate``; raise ``StatementRefused`` if taken."""
        return self._change_role("/fence", {"term": term, "candidate": candidate})

    def promote(self, term: int, candidate: str) -> ServerStatus:
        """Make the server the primary of a term that it granted to ``candidate``."""
        return self._change_role("/promote", {"term": term, "candidate": candidate})

    def follow(self, term: int, primary: str) -> ServerStatus:
        """Replicate from ``primary`` (``host:port``) in ``term``."""
        return self._change_role("/follow", {"term": term, "primary": primary})

    def close(self) -> None:
        """Close all sockets."""
        with self._lock:
            clients = list(self._client_by_connection.values())
            self._client_by_connection.clear()
        for client in [*clients, self._status_client]:
            client.close()

    def _change_role(self, path: str, body: Any) -> ServerStatus:
        return _parse_status(_call(self._status_client, path, self._timeout, body))

    def _call_on_connection(
        self, connection: str, path: str, timeout: timedelta, body: Any
    ) -> Any:
        with self._lock:
            client = self._client_by_connection.get(connection)
        if client is None:
            message = f"connection {connection} is not open"
            raise StatementRefused(RefusalReason.NO_CONNECTION, message)
        return _call(client, path, timeout, body)


def _call(client: JsonClient, path: str, timeout: timedelta, body: Any) -> Any:
    try:
        response = client.call("POST", path, timeout, body)
    except NotSent as error:
        raise ServerUnreachable(str(error)) from error
    except NoAnswer as error:
        raise AnswerLost(str(error)) from error
    if response.status == 200:
        return response.value
    raise _refusal_error(response)


def _refusal_error(response: JsonResponse) -> AnswerLost | StatementRefused:
    try:
        return StatementRefused(
            RefusalReason(response.value["refused"]), response.reason
        )
    except (KeyError, TypeError, ValueError):
        return AnswerLost(response.reason)


def _parse_status(value: Any) -> ServerStatus:
    try:
        return ServerStatus(
            value["name"],
            Role(value["role"]),
            value["term"],
            LogPosition(*value["held"]),
            LogPosition(*value["applied"]),
            _parse_age(value["age_ms"]),
            _parse_age(value["primary_heard_ms"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise AnswerLost(f"malformed answer: {error!r}") from error


def _parse_age(value: int | None) -> timedelta | None:
    return None if value is None else timedelta(milliseconds=value)
