"""What the session proxy needs of the platform's store."""

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from concurrent.futures import Future
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from bulrushloom.proxy.configuration import Configuration, Target


class StoreProblem(Enum):
    """Name why a call brought no result.

    NOT_DONE: the store refused it. UNKNOWN: no answer; it may have been done, or may
    be done later. CONFLICT: a condition did not hold. NO_LEASE: the lease has ended.
    """

    NOT_DONE = "not done"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"
    NO_LEASE = "no lease"


class StoreFailure(NamedTuple):
    """Stand in for a result, with the reason."""

    problem: StoreProblem
    reason: str


class Record(NamedTuple):
    """Hold one record of the proxy's own; ``lease_id`` is 0 without a lease."""

    key: str
    value: bytes
    revision: int
    lease_id: int = 0


class StoreSnapshot(NamedTuple):
    """Hold one linearizable read of everything that the proxy follows.

    ``asked_at`` is the monotonic time just before the call was sent: every change
    acknowledged before it is included. ``member_by_key`` is ``None`` if the call did
    not ask for the members.
    """

    asked_at: timedelta
    revision: int
    configuration: Configuration | None
    target_by_id: Mapping[str, Target]
    record_by_key: Mapping[str, Record]
    member_by_key: Mapping[str, Record] | None


class Lease(NamedTuple):
    """Hold a lease and the time to live that applies."""

    lease_id: int
    ttl: timedelta


class ExpectedRevision(NamedTuple):
    """Require that ``key`` was last changed at ``revision``; 0 if it must not exist."""

    key: str
    revision: int


class Put(NamedTuple):
    """Write ``value``; the record ends with the lease unless that is 0."""

    key: str
    value: bytes
    lease_id: int = 0


class DocumentError(ValueError):
    """A document of the operators cannot be understood."""


class ConfigurationDocument(NamedTuple):
    """Hold a version of the configuration as the operators wrote it."""

    revision: int
    value: bytes


class ProxyStore(ABC):
    """Read and change the platform's store; every call ends within its own limit.

    Futures never fail: a call without a result gives a ``StoreFailure``.
    """

    @abstractmethod
    def snapshot(self, with_members: bool) -> "Future[StoreSnapshot | StoreFailure]":
        """Read configuration, targets and records; linearizable."""

    @abstractmethod
    def document(self) -> ConfigurationDocument | None:
        """Return the configuration in force as it was written."""

    @abstractmethod
    def apply_document(self, document: ConfigurationDocument) -> Configuration:
        """Take a version from another instance; raise ``DocumentError`` if broken.

        The newest version that is known is returned, whatever ``document`` holds.
        """

    @abstractmethod
    def create_lease(self, ttl: timedelta) -> "Future[Lease | StoreFailure]":
        """Create a lease."""

    @abstractmethod
    def renew_lease(self, lease_id: int) -> "Future[Lease | StoreFailure]":
        """Extend a lease by its time to live."""

    @abstractmethod
    def revoke_lease(self, lease_id: int) -> "Future[StoreFailure | None]":
        """End a lease at once; its records are removed."""

    @abstractmethod
    def commit(
        self, expected: Sequence[ExpectedRevision], puts: Sequence[Put]
    ) -> "Future[int | StoreFailure]":
        """Write all ``puts`` if all expectations hold; give the new revision."""


class Promotion(ABC):
    """Order the platform to make a target the primary of its service."""

    @abstractmethod
    def promote(
        self, service: str, target_id: str, holder: str, fence: int
    ) -> "Future[int]":
        """Send the order; give the HTTP status, or 0 if there was no answer."""
