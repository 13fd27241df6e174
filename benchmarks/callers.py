"""A blocking client of the HTTP interface, as an application would write it."""

import time
from typing import Any, NamedTuple

import orjson
import urllib3

REQUEST_TIMEOUT_S = 15.0


class Reply(NamedTuple):
    """The outcome of one request.

    ``kind`` is empty if the request succeeded. Otherwise it is the error kind of the
    response, ``refused`` if the connection was refused, or ``no_answer`` if no
    readable response arrived. ``ran`` tells whether the statement was executed:
    ``yes``, ``no`` or ``unknown``. ``started`` and ``ended`` are readings of the
    monotonic clock in seconds.
    """

    kind: str
    ran: str
    body: dict[str, Any]
    started_at: float
    ended_at: float

    @property
    def ok(self) -> bool:
        """Return whether the request succeeded."""
        return not self.kind

    @property
    def seconds(self) -> float:
        """Return the time from sending the request to its response."""
        return self.ended_at - self.started_at


class Caller:
    """Thread-safe client that uses the key of one account at any instance."""

    def __init__(self, key: str, sockets: int = 64):
        self._headers = {
            "Authorization": f"Bearer {key}",
            "Content-Type": "application/json",
        }
        self._http = urllib3.PoolManager(num_pools=64, maxsize=sockets, retries=False)

    def post(
        self, url: str, path: str, body: dict[str, Any], idempotency_key: str = ""
    ) -> Reply:
        """Send a POST request with a JSON body and return the outcome."""
        headers = dict(self._headers)
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        started = time.monotonic()
        try:
            response = self._http.request(
                "POST",
                url + path,
                body=orjson.dumps(body),
                headers=headers,
                timeout=REQUEST_TIMEOUT_S,
            )
            answer = orjson.loads(response.data)
        except urllib3.exceptions.NewConnectionError:
            return Reply("refused", "no", {}, started, time.monotonic())
        except (urllib3.exceptions.HTTPError, orjson.JSONDecodeError):
            return Reply("no_answer", "unknown", {}, started, time.monotonic())
        ended = time.monotonic()
        if "error" in answer:
            error = answer["error"]
            return Reply(error["kind"], error["ran"], error, started, ended)
        return Reply("", "yes", answer, started, ended)

    def query(
        self,
        url: str,
        database: str,
        sql: str,
        params: list[Any] | None = None,
        *,
        session: str | None = None,
        transaction: str | None = None,
        max_age_ms: int | None = None,
        idempotency_key: str = "",
    ) -> Reply:
        """Run one statement."""
        body: dict[str, Any] = {
            "database": database,
            "sql": sql,
            "params": params or [],
        }
        if session:
            body["session"] = session
        if transaction:
            body["transaction"] = transaction
        if max_age_ms is not None:
            body["max_age_ms"] = max_age_ms
        return self.post(url, "/v1/query", body, idempotency_key)

    def begin(self, url: str, database: str, session: str | None = None) -> Reply:
        """Begin a transaction."""
        body: dict[str, Any] = {"database": database}
        if session:
            body["session"] = session
        return self.post(url, "/v1/transactions", body)

    def end(
        self, url: str, transaction: str, commit: bool, session: str | None = None
    ) -> Reply:
        """Commit or roll back a transaction."""
        action = "commit" if commit else "rollback"
        body = {"session": session} if session else {}
        return self.post(url, f"/v1/transactions/{transaction}/{action}", body)

    def close(self) -> None:
        """Close all connections."""
        self._http.clear()
