"""HTTP client of the platform's configuration store."""

from datetime import timedelta
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

from bulrushloom.core.clock import milliseconds
from bulrushloom.core.exceptions import NoAnswer, NotSent
from bulrushloom.core.http import JsonAnswer, JsonClient
from bulrushloom.stores.base import ConfigurationStore, StoredValue, SwapOutcome
from bulrushloom.stores.exceptions import StoreRefused, StoreUnavailable

CALL_TIMEOUT = timedelta(seconds=2)


class HttpConfigurationStore(ConfigurationStore):
    """Call the store at ``address`` (``host:port``); thread-safe.

    ``origin`` (``instance/domain``) names the caller. A call that the store turned
    down, for example because of its call rate, raises ``StoreRefused``, which is a
    ``StoreUnavailable`` that certainly had no effect.
    """

    def __init__(self, address: str, origin: str, timeout: timedelta = CALL_TIMEOUT):
        self._client = JsonClient(address, origin)
        self._timeout = timeout
        # The last value of each key with the tag that the store gave it.
        self._tagged_by_key: dict[str, tuple[str, StoredValue]] = {}

    def get(self, key: str) -> StoredValue:
        """Return the value of ``key``, which is sent only if it has changed.

        The rules are read every second and can have several hundred kilobytes. The
        store compares a tag of the content, not the version alone: a store that lost
        its data can give a known version to another value.
        """
        tag, known = self._tagged_by_key.get(key, ("", None))
        query = {"key": key, "known": tag} if tag else {"key": key}
        answer = self._call("GET", "/keys?" + urlencode(query)).value
        if known is not None and isinstance(answer, dict) and "unchanged" in answer:
            if answer["unchanged"] != tag:
                raise StoreUnavailable("the answer is about another value")
            return known
        stored = _stored(answer)
        self._tagged_by_key[key] = (str(answer.get("tag", "")), stored)
        return stored

    def compare_and_swap(
        self, key: str, version: int, value: Any, lease: str = ""
    ) -> SwapOutcome:
        """Set ``key`` if its version matches; with a lease it expires."""
        body = {"key": key, "version": version, "value": value, "lease": lease}
        answer = self._call("POST", "/swap", body).value
        try:
            return SwapOutcome(bool(answer["swapped"]), _stored(answer))
        except (KeyError, TypeError) as error:
            raise StoreUnavailable(f"malformed answer: {error!r}") from error

    def watch(self, key: str, version: int, timeout: timedelta) -> StoredValue:
        """Return the value once its version exceeds ``version``, or at timeout."""
        query = {"key": key, "version": version, "timeout_ms": milliseconds(timeout)}
        answer = self._call("GET", "/watch?" + urlencode(query), wait=timeout)
        return _stored(answer.value)

    def grant_lease(self, ttl: timedelta) -> str:
        """Return the identifier of a new lease that lasts ``ttl``."""
        answer = self._call("POST", "/leases", {"ttl_ms": milliseconds(ttl)})
        try:
            return str(answer.value["lease"])
        except (KeyError, TypeError) as error:
            raise StoreUnavailable(f"malformed answer: {error!r}") from error

    def keep_alive(self, lease: str) -> bool:
        """Renew a lease; return false if it has expired."""
        answer = self._send("POST", "/leases/keep", {"lease": lease}, timedelta())
        if answer.status == HTTPStatus.NOT_FOUND:
            return False
        _check(answer)
        return True

    def close(self) -> None:
        """Close all sockets."""
        self._client.close()

    def _call(
        self, method: str, path: str, body: Any = None, wait: timedelta = timedelta()
    ) -> JsonAnswer:
        answer = self._send(method, path, body, wait)
        _check(answer)
        return answer

    def _send(self, method: str, path: str, body: Any, wait: timedelta) -> JsonAnswer:
        try:
            return self._client.call(method, path, self._timeout + wait, body)
        except (NotSent, NoAnswer) as error:
            raise StoreUnavailable(str(error)) from error


def _check(answer: JsonAnswer) -> None:
    if HTTPStatus.BAD_REQUEST <= answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        raise StoreRefused(answer.reason)
    if answer.status != HTTPStatus.OK:
        raise StoreUnavailable(answer.reason)


def _stored(value: Any) -> StoredValue:
    try:
        return StoredValue(int(value["version"]), value["value"])
    except (KeyError, TypeError, ValueError) as error:
        raise StoreUnavailable(f"malformed answer: {error!r}") from error
