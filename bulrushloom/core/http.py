"""JSON-over-HTTP client with keep-alive connections, for external services."""

from datetime import timedelta
from typing import Any, NamedTuple

import orjson
from urllib3 import HTTPConnectionPool
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError
from urllib3.util import Timeout

from bulrushloom.core.exceptions import NoAnswer, NotSent

CONNECT_TIMEOUT = timedelta(seconds=1)


class JsonResponse(NamedTuple):
    """Status and decoded JSON body of a response."""

    status: int
    value: Any

    @property
    def reason(self) -> str:
        """Return the error text of the body, or else the status."""
        if isinstance(self.value, dict) and "error" in self.value:
            return str(self.value["error"])
        return f"status {self.status}"


class JsonClient:
    """Client of one server (``host:port``) that keeps up to ``sockets`` idle sockets.

    ``origin`` (``instance/domain``) names the caller to the server. Thread-safe.
    """

    def __init__(self, address: str, origin: str, sockets: int = 8):
        host, _, port = address.rpartition(":")
        self.address = address
        self._headers = {"Content-Type": "application/json", "X-From": origin}
        # No retries: a request that was sent may have taken effect already.
        self._pool = HTTPConnectionPool(
            host, int(port), maxsize=sockets, retries=False, headers=self._headers
        )

    def call(self, method: str, path: str, timeout: timedelta, body: Any = None) -> Any:
        """Send one request and return its ``JsonResponse``.

        Raise ``NotSent`` if no connection was established, and ``NoAnswer`` if the
        request may have arrived but no complete JSON response came within
        ``timeout``.
        """
        connect = min(CONNECT_TIMEOUT, timeout).total_seconds()
        try:
            response = self._pool.urlopen(
                method,
                path,
                body=None if body is None else orjson.dumps(body),
                headers=self._headers,
                timeout=Timeout(connect=connect, read=timeout.total_seconds()),
            )
            return JsonResponse(response.status, orjson.loads(response.data))
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise NotSent(f"{self.address}: {error}") from error
        except (HTTPError, OSError, orjson.JSONDecodeError) as error:
            raise NoAnswer(f"{self.address}: {error!r}") from error

    def close(self) -> None:
        """Close all sockets."""
        self._pool.close()
