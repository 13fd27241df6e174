"""HTTP client of the platform's configuration store."""

from datetime import timedelta
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

from bulrushloom.core.clock import milliseconds
from bulrushloom.core.exceptions import NoAnswer, NotSent
from bulrushloom.core.http import JsonClient, JsonResponse
from bulrushloom.stores.base import ConfigurationStore, StoredValue, SwapOutcome
from bulrushloom.stores.exceptions import StoreRefused, StoreUnavailable

CALL_TIMEOUT = timedelta(seconds=2)


class HttpConfigurationStore(ConfigurationStore):
    """Client of the store at ``address`` (``host:port``); thread-safe.

    ``origin`` (``instance/domain``) identifies the caller. A call that the store
    refuses, for example because of its rate limit, raises ``StoreRefused``. This is a
    ``StoreUnavailable`` that certainly had no effect.
    """

    def __init__(self, address: str, origin: str, timeout: timedelta = CALL_TIMEOUT):
        self._client = JsonClient(address, origin)
        self._timeout = timeout
        # The last read value of each key, with its tag (compare ETag in HTTP).
        self._cached_by_key: dict[str, tuple[str, StoredValue]] = {}

    def get(self, key: str) -> StoredValue:
        """Return the value of ``key``; the store only sends it if it has changed.

        The rules are read every second and can take several hundred kilobytes. The
        tag identifies the content. Versions are not enough for that, because a store
        that lost its data may reuse a version for another value.
        """
        tag, cached = self._cached_by_key.get(key, ("", None))
        query = {"key": key, "known": tag} if tag else {"key": key}
        response = self._call("GET", "/keys?" + urlencode(query)).value
        if (
            cached is not None
            and isinstance(response, dict)
            and "unchanged" in response
        ):
            if response["unchanged"] != tag:
                raise StoreUnavailable(
                    "the response refers to another tag than the request"
                )
            return cached
        stored = _parse_stored_value(response)
        self._cached_by_key[key] = (str(response.get("tag", "")), stored)
        return stored

    def compare_and_swap(
        self, key: str, version: int, value: Any, lease: str = ""
    ) -> SwapOutcome:
        """Set ``key`` if its version matches; it expires with ``lease``, if given."""
        body = {"key": key, "version": version, "value": value, "lease": lease}
        response = self._call("POST", "/swap", body).value
        try:
            return SwapOutcome(bool(response["swapped"]), _parse_stored_value(response))
        except (KeyError, TypeError) as error:
            raise StoreUnavailable(f"malformed response: {error!r}") from error

    def watch(self, key: str, version: int, timeout: timedelta) -> StoredValue:
        """Return the value once its version is above ``version``, or at timeout."""
        query = {"key": key, "version": version, "timeout_ms": milliseconds(timeout)}
        response = self._call("GET", "/watch?" + urlencode(query), wait=timeout)
        return _parse_stored_value(response.value)

    def grant_lease(self, ttl: timedelta) -> str:
        """Return the identifier of a new lease that expires after ``ttl``."""
        response = self._call("POST", "/leases", {"ttl_ms": milliseconds(ttl)})
        try:
            return str(response.value["lease"])
        except (KeyError, TypeError) as error:
            raise StoreUnavailable(f"malformed response: {error!r}") from error

    def keep_alive(self, lease: str) -> bool:
        """Renew a lease; return false if it has expired."""
        response = self._send("POST", "/leases/keep", {"lease": lease}, timedelta())
        if response.status == HTTPStatus.NOT_FOUND:
            return False
        _raise_for_status(response)
        return True

    def close(self) -> None:
        """Close all sockets."""
        self._client.close()

    def _call(
        self, method: str, path: str, body: Any = None, wait: timedelta = timedelta()
    ) -> JsonResponse:
        response = self._send(method, path, body, wait)
        _raise_for_status(response)
        return response

    def _send(self, method: str, path: str, body: Any, wait: timedelta) -> JsonResponse:
        try:
            return self._client.call(method, path, self._timeout + wait, body)
        except (NotSent, NoAnswer) as error:
            raise StoreUnavailable(str(error)) from error


def _raise_for_status(response: JsonResponse) -> None:
    if HTTPStatus.BAD_REQUEST <= response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        raise StoreRefused(response.reason)
    if response.status != HTTPStatus.OK:
        raise StoreUnavailable(response.reason)


def _parse_stored_value(value: Any) -> StoredValue:
    try:
        return StoredValue(int(value["version"]), value["value"])
    except (KeyError, TypeError, ValueError) as error:
        raise StoreUnavailable(f"malformed response: {error!r}") from error
