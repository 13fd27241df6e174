"""A caller of the HTTP interface, as an application would write it."""

import time
from typing import Any, NamedTuple

import orjson
import urllib3

REQUEST_TIMEOUT_S = 15.0


class Reply(NamedTuple):
    """Hold what one request gave.

    ``kind`` is empty for an answer, else the kind of the refusal or ``no_answer``;
    ``ran`` is ``yes``, ``no`` or ``unknown``.
    """

    kind: str
    ran: str
    body: dict[str, Any]
    started: float
    ended: float

    @property
    def ok(self) -> bool:
        """Return whether the request was answered."""
        return not self.kind

    @property
    def seconds(self) -> float:
        """Return the time from sending to the answer."""
        return self.ended - self.started


class Caller:
    """Call any entry with the key of one account; thread-safe."""

    def __init__(self, key: str, sockets: int = 64):
        self._headers = {
            "Authorization": f"Bearer {key}",
            "Content-Type": "application/json",
        }
        self._http = urllib3.PoolManager(num_pools=64, maxsize=sockets, retries=False)

    def post(
        self, url: str, path: str, body: dict[str, Any], idempotency_key: str = ""
    ) -> Reply:
        """Send one request and return its reply."""
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
        """Close all sockets."""
        self._http.clear()
