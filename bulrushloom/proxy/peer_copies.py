"""Copies of the configuration and of the directory from other instances.

Copies within a domain are free, and spare the store a read of each instance.
"""

from collections.abc import Callable
from concurrent.futures import Future
from datetime import timedelta
from typing import Any

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.configuration import Configuration
from bulrushloom.proxy.exchange.directory import Directory, decode_directory
from bulrushloom.proxy.exchange.messages import Member
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.store import ConfigurationDocument, DocumentError, ProxyStore
from bulrushloom.runtime.http import HttpClient, HttpError
from bulrushloom.runtime.loop import Steps

# Copying the configuration within a domain takes milliseconds; if that fails, the store
# is read instead.
FETCH_TIMEOUT = timedelta(milliseconds=500)
DOCUMENT_PATH = "/configuration/"
DIRECTORY_PATH = "/directory/"


class PeerCopies:
    """Copies what other instances know and this one does not.

    ``request_read`` reads the store, ``apply_configuration`` and ``update_directory``
    use what was copied.
    """

    def __init__(
        self,
        services: Services,
        store: ProxyStore,
        member: Member,
        request_read: "Callable[[], Future[Any]]",
        apply_configuration: Callable[[Configuration, str], None],
        update_directory: Callable[[Directory], object],
    ):
        self._services = services
        self._loop = services.loop
        self._log = services.log
        self._store = store
        self._member = member
        self._request_read = request_read
        self._apply_configuration = apply_configuration
        self._update_directory = update_directory
        self._announced_version = 0
        self._fetching: Future[Any] | None = None
        self._fetching_directory: Future[Any] | None = None

    def fetch_configuration(self, member: Member, version: int) -> None:
        """Copy a newer configuration from an instance.

        The store is read first if the instance is in another domain, because copies
        within a domain are free. The store may turn this instance away, or have an
        older one since its return.
        """
        if version > self._announced_version:
            self._announced_version = version
            self._log.write(
                "configuration_announced",
                version=version,
                source=member.name,
                configuration=self._services.configuration.version,
                evidence_age=self._services.store_freshness.age(self._loop.now()),
            )
        if self._fetching is None or self._fetching.done():
            self._fetching = self._loop.spawn(self._fetch(member, version))

    def _fetch(self, member: Member, version: int) -> Steps:
        if member.domain != self._member.domain:
            yield self._request_read()
            if self._services.configuration.version >= version:
                return
        yield from self.copy_configuration(member, version)

    def copy_configuration(self, member: Member, version: int) -> Steps:
        """Copy a configuration over HTTP; read the store if that fails."""
        client = HttpClient(self._loop, member.document_address)
        path = f"{DOCUMENT_PATH}{version}"
        try:
            response = yield client.request("GET", path, b"", FETCH_TIMEOUT)
            if response.status != 200:
                raise HttpError(f"status {response.status}")
            document = ConfigurationDocument(version, response.body)
            self._apply_configuration(self._store.apply_document(document), member.name)
        except (HttpError, DocumentError) as error:
            self._log.write(
                "configuration_not_fetched", source=member.name, reason=str(error)
            )
            yield self._request_read()
        finally:
            client.close()

    def fetch_directory(
        self, member: Member, version: str, listed_at: timedelta
    ) -> None:
        """Copy a newer directory from another instance."""
        if self._fetching_directory is None or self._fetching_directory.done():
            steps = self._fetch_directory(member, version, listed_at)
            self._fetching_directory = self._loop.spawn(steps)

    def _fetch_directory(
        self, member: Member, version: str, listed_at: timedelta
    ) -> Steps:
        client = HttpClient(self._loop, member.document_address)
        path = f"{DIRECTORY_PATH}{version}"
        try:
            response = yield client.request("GET", path, b"", FETCH_TIMEOUT)
            if response.status != 200:
                raise HttpError(f"status {response.status}")
            directory = decode_directory(response.body, listed_at)
            if isinstance(directory, Missing):
                raise HttpError(directory.reason)
            self._update_directory(directory)
        except HttpError as error:
            # The sender may have a newer one by now. If it does not answer at all, the
            # store is read once the directory is too old.
            self._log.write(
                "directory_not_fetched", source=member.name, reason=str(error)
            )
        finally:
            client.close()
