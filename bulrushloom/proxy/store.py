"""Interfaces of the session proxy to the platform's store and to promotions."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import Future
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from bulrushloom.proxy.configuration import Configuration, Target


class StoreFailureKind(Enum):
    """Kinds of failures of a call to the store.

    NOT_DONE: the store refused the call. UNKNOWN: there was no valid answer, and the
    call may have been executed, or may still be. CONFLICT: a precondition did not
    hold. NO_LEASE: the lease has expired or was revoked. GONE: the history that was
    asked for is no longer available.
    """

    NOT_DONE = "not done"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"
    NO_LEASE = "no lease"
    GONE = "gone"


class StoreFailure(NamedTuple):
    """Failure of a call, returned instead of its result."""

    kind: StoreFailureKind
    reason: str


class Record(NamedTuple):
    """Record that a proxy instance wrote; ``lease_id`` is 0 without a lease."""

    key: str
    value: bytes
    revision: int
    lease_id: int = 0


class StoreSnapshot(NamedTuple):
    """Result of one linearizable read of all data that the proxy uses.

    ``requested_at`` is the monotonic time just before the request was sent; all changes
    acknowledged before it are included. ``member_by_key`` is ``None`` if the members
    were not requested. ``evacuated_domains`` are the domains whose targets must get no
    more statements. ``configuration`` is the one in the store, which may be older
    than the one in force if the store has returned from a copy. ``era`` rises with each
    such return. Revisions can only be compared with others of the same era.
    """

    requested_at: timedelta
    revision: int
    configuration: Configuration | None
    target_by_id: Mapping[str, Target]
    record_by_key: Mapping[str, Record]
    member_by_key: Mapping[str, Record] | None
    evacuated_domains: frozenset[str] = frozenset()
    era: int = 0


class Lease(NamedTuple):
    """Lease with the time to live that the store granted in an era.

    In a later era, the same number may be that of another lease.
    """

    lease_id: int
    ttl: timedelta
    era: int = 0


class ExpectedRevision(NamedTuple):
    """Condition that ``key`` was last changed at ``revision``; 0 means it is absent."""

    key: str
    revision: int


class Put(NamedTuple):
    """Write of a record, which is deleted with its lease unless ``lease_id`` is 0."""

    key: str
    value: bytes
    lease_id: int = 0


class DocumentError(ValueError):
    """A document that an operator wrote is invalid."""


class ConfigurationDocument(NamedTuple):
    """Version of the configuration in the form that the operators wrote."""

    version: int
    value: bytes


class ProxyStore(ABC):
    """The platform's store; every call has a timeout.

    The futures never raise: a failed call returns a ``StoreFailure``.
    """

    @abstractmethod
    def snapshot(self, with_members: bool) -> "Future[StoreSnapshot | StoreFailure]":
        """Read the configuration, the targets and the records; linearizable."""

    @abstractmethod
    def document(self) -> ConfigurationDocument | None:
        """Return the current configuration in its stored form."""

    @abstractmethod
    def apply_document(self, document: ConfigurationDocument) -> Configuration:
        """Apply a version from another instance; raise ``DocumentError`` if invalid.

        Returns the latest known version, which is not ``document`` if that is older.
        """

    @abstractmethod
    def create_lease(self, ttl: timedelta) -> "Future[Lease | StoreFailure]":
        """Create a lease."""

    @abstractmethod
    def renew_lease(
        self, lease_id: int, era: int = 0
    ) -> "Future[Lease | StoreFailure]":
        """Renew a lease of an era for its full time to live.

        It is lost (NO_LEASE) if the store answers in another era.
        """

    @abstractmethod
    def revoke_lease(
        self, lease_id: int, era: int = 0
    ) -> "Future[StoreFailure | None]":
        """Revoke a lease, which deletes its records.

        Nothing is sent if the lease is known to be of an earlier era.
        """

    @abstractmethod
    def commit(
        self, expected: Sequence[ExpectedRevision], puts: Sequence[Put], era: int = 0
    ) -> "Future[int | StoreFailure]":
        """Write all ``puts`` if all expectations hold; return the new revision.

        ``era`` is the one in which the write was decided. Nothing is written once a
        later era has a leader. The outcome is unknown if the store answers in another
        era.
        """


class Promotion(ABC):
    """Interface of the platform for promotions of targets to primaries."""

    @abstractmethod
    def promote(
        self,
        service: str,
        target_id: str,
        holder: str,
        fence: int,
        is_allowed: Callable[[], bool],
    ) -> "Future[int]":
        """Request a promotion; return the HTTP status, or 0 without an answer.

        ``holder`` is the name of the requesting instance, ``fence`` its fencing token.
        ``is_allowed`` is asked right before the request is sent.
        """
