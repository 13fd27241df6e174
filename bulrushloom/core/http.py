"""JSON over HTTP with keep-alive sockets, for the clients of outside systems."""

from datetime import timedelta
from typing import Any, NamedTuple

import orjson
from urllib3 import HTTPConnectionPool
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError
from urllib3.util import Timeout

from bulrushloom.core.exceptions import NoAnswer, NotSent

CONNECT_TIMEOUT = timedelta(seconds=1)


class JsonAnswer(NamedTuple):
    """Hold the status and the decoded body of an answer."""

    status: int
    value: Any

    @property
    def reason(self) -> str:
        """Return the reason that a refusal gives."""
        if isinstance(self.value, dict) and "error" in self.value:
            return str(self.value["error"])
        return f"status {self.status}"


class JsonClient:
    """Call one server (``host:port``) over up to ``sockets`` idle sockets.

    ``origin`` (``instance/domain``) names the caller to the server. Thread-safe.
    """

    def __init__(self, address: str, origin: str, sockets: int = 8):
        host, _, port = address.rpartition(":")
        self.address = address
        self._headers = {"Content-Type": "application/json", "X-From": origin}
        # Retries stay off: a request that was sent must not be sent again.
        self._pool = HTTPConnectionPool(
            host, int(port), maxsize=sockets, retries=False, headers=self._headers
        )

    def call(self, method: str, path: str, timeout: timedelta, body: Any = None) -> Any:
        """Return the ``JsonAnswer`` of one request.

        Raise ``NotSent`` if no connection was made, ``NoAnswer`` if the request may
        have arrived and no complete JSON answer came within ``timeout``.
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
            return JsonAnswer(response.status, orjson.loads(response.data))
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise NotSent(f"{self.address}: {error}") from error
        except (HTTPError, OSError, orjson.JSONDecodeError) as error:
            raise NoAnswer(f"{self.address}: {error!r}") from error

    def close(self) -> None:
        """Close all sockets."""
        self._pool.close()
