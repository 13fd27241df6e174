"""HTTP client of the platform's instance directory."""

from datetime import timedelta
from http import HTTPStatus
from typing import Any

from pydantic import TypeAdapter, ValidationError

from bulrushloom.core.exceptions import NoAnswer, NotSent
from bulrushloom.core.http import JsonClient
from bulrushloom.directories.base import InstanceDirectory, InstanceEntry
from bulrushloom.directories.exceptions import DirectoryRefused, DirectoryUnavailable

CALL_TIMEOUT = timedelta(seconds=2)

_INSTANCE_LIST = TypeAdapter(dict[str, list[InstanceEntry]])


class HttpInstanceDirectory(InstanceDirectory):
    """Client of the directory at ``address`` (``host:port``); thread-safe.

    ``origin`` (``instance/domain``) identifies the caller. A call that the directory
    refuses raises ``DirectoryRefused``.
    """

    def __init__(self, address: str, origin: str, timeout: timedelta = CALL_TIMEOUT):
        self._client = JsonClient(address, origin)
        self._timeout = timeout

    def instances(self) -> list[InstanceEntry]:
        """Return the live and leaving instances; the list may be some seconds old."""
        value = self._call("GET", "/instances")
        try:
            return _INSTANCE_LIST.validate_python(value)["instances"]
        except (KeyError, ValidationError) as error:
            raise DirectoryUnavailable(f"malformed response: {error!r}") from error

    def register(self, entry: InstanceEntry) -> None:
        """Add or renew the entry of this instance; it expires unless renewed."""
        self._call("POST", "/register", entry._asdict())

    def deregister(self, name: str, incarnation: str) -> None:
        """Remove the entry of this instance."""
        body = {"name": name, "incarnation": incarnation}
        self._call("POST", "/deregister", body)

    def close(self) -> None:
        """Close all sockets."""
        self._client.close()

    def _call(self, method: str, path: str, body: Any = None) -> Any:
        try:
            response = self._client.call(method, path, self._timeout, body)
        except (NotSent, NoAnswer) as error:
            raise DirectoryUnavailable(str(error)) from error
        if HTTPStatus.BAD_REQUEST <= response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            raise DirectoryRefused(response.reason)
        if response.status != HTTPStatus.OK:
            raise DirectoryUnavailable(response.reason)
        return response.value
