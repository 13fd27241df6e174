"""HTTP clients of the platform: metadata store and promotion of targets."""

import base64
import binascii
from collections.abc import Callable, Sequence
from concurrent.futures import Future
from datetime import timedelta
from typing import Any
from urllib.parse import quote

import orjson

from bulrushloom.core.sentinels import Missing
from bulrushloom.platform.documents import decode_configuration, decode_target
from bulrushloom.proxy.configuration import Configuration, Target
from bulrushloom.proxy.store import (
    ConfigurationDocument,
    DocumentError,
    ExpectedRevision,
    Lease,
    Promotion,
    ProxyStore,
    Put,
    Record,
    StoreFailure,
    StoreFailureKind,
    StoreSnapshot,
)
from bulrushloom.proxy.store_eras import MAX_ERA, era_key
from bulrushloom.runtime.http import HttpClient, HttpError, Response
from bulrushloom.runtime.loop import Loop, Steps

# ``Store-Era`` in the store's answers; h11 gives names in lower case.
ERA_HEADER = "store-era"
CONFIGURATION_KEY = "op/config"
TARGET_PREFIX = "servers/"
# The rest of such a key is the name of a domain; its value has no meaning.
EVACUATION_PREFIX = "op/evacuate/"
MAX_DOMAIN_LENGTH = 200
# The keys of members sort before the configuration key, so that a read can start after
# them; ``0`` is the character that follows ``/``.
MEMBER_PREFIX = "members/"
AFTER_MEMBERS = "members0"
# The slowest answers of the store take 60 to 90 times the usual 4 ms.
CALL_TIMEOUT = timedelta(milliseconds=900)
# When hundreds of instances start at the same moment, the store's network carries the
# answers to all of them for seconds. An answer that is given up would be asked for, and
# sent, once more.
MAX_READ_TIME = timedelta(seconds=6)
# A promotion is answered within milliseconds; a slow platform must not block the
# leader, which is the instance that requests promotions.
PROMOTION_TIMEOUT = timedelta(seconds=1)
_ZERO = timedelta()
_MILLISECOND = timedelta(milliseconds=1)

LogEvent = Callable[..., None]
# Raised by the decoding of answers with missing fields or fields of another type.
_MALFORMED = (AttributeError, KeyError, TypeError, ValueError, OverflowError)


class KeyValueStore(ProxyStore):
    """Client of the platform's store over HTTP.

    Everything that is cached by revision is dropped when the store names a new era.
    Leases last at least ``lease_minimum``, because the store rejects shorter ones.
    Invalid target entries are logged once and left out; an invalid configuration is
    logged, and the last valid one stays.
    """

    def __init__(
        self,
        loop: Loop,
        address: str,
        log: LogEvent,
        lease_minimum: timedelta = timedelta(),
    ):
        self._loop = loop
        self._log = log
        self._lease_minimum = lease_minimum
        # Separate connections: a slow read must not delay the renewal of a lease.
        self._read_client = HttpClient(loop, address)
        self._write_client = HttpClient(loop, address)
        self._lease_client = HttpClient(loop, address)
        # The era of the last snapshot, and the latest one that an answer named.
        self._era = 0
        self._seen_era = 0
        # The configuration in the store, and the latest one that is known.
        self._stored: Configuration | None = None
        self._configuration: Configuration | None = None
        self._document: ConfigurationDocument | None = None
        self._target_by_key: dict[str, tuple[int, Target | Missing]] = {}
        self.calls = 0

    def snapshot(self, with_members: bool) -> "Future[StoreSnapshot | StoreFailure]":
        """Read all keys, or all but the members, linearizably.

        The pages are read one after the other, so later ones may have newer changes.
        The read fails if they are of different eras.
        """
        return self._loop.spawn(self._snapshot("" if with_members else AFTER_MEMBERS))

    def _snapshot(self, start_after: str) -> Steps:
        sent_at = self._loop.now()
        items: list[dict[str, Any]] = []
        after, revision, first_era = start_after, None, None
        while True:
            path = f"/v1/kv-range?Prefix=&after={quote(after, safe='')}"
            answer = yield from self._call(
                self._read_client, "GET", path, max_duration=MAX_READ_TIME
            )
            if isinstance(answer, StoreFailure):
                return answer
            page, era = answer
            first_era = era if first_era is None else first_era
            if first_era != era:
                reason = "the store returned from a copy during the read"
                return StoreFailure(StoreFailureKind.UNKNOWN, reason)
            try:
                items += page["items"]
                # Each page includes all changes up to the revision of the first one.
                revision = page["CurrentRev"] if revision is None else revision
                has_more = page.get("HasMore") and page["items"]
                after = page["items"][-1]["Key"] if has_more else ""
            except _MALFORMED as error:
                return _malformed(error)
            if not has_more:
                break
        self._enter_era(era)
        try:
            return self._read_items(sent_at, revision, items, start_after == "")
        except _MALFORMED as error:
            return _malformed(error)

    def _enter_era(self, era: int) -> None:
        """Drop what is cached by revision if the store has returned from a copy."""
        if era > self._era:
            self._era = era
            self._stored = None
            self._target_by_key = {}

    def _read_items(
        self,
        sent_at: timedelta,
        revision: int,
        items: list[dict[str, Any]],
        with_members: bool,
    ) -> StoreSnapshot:
        records: dict[str, Record] = {}
        members: dict[str, Record] = {}
        target_by_key = {}
        evacuated_domains = set()
        for item in items:
            key = item["Key"]
            if key == CONFIGURATION_KEY:
                self._read_configuration(item)
            elif key.startswith(TARGET_PREFIX):
                target_by_key[key] = self._read_target(item)
            elif key.startswith(EVACUATION_PREFIX):
                evacuated_domains.add(key.removeprefix(EVACUATION_PREFIX))
            elif key.startswith(MEMBER_PREFIX):
                members[key] = _record(item)
            else:
                records[key] = _record(item)
        self._target_by_key = target_by_key
        targets = (target for _, target in target_by_key.values())
        return StoreSnapshot(
            sent_at,
            revision,
            self._stored,
            {t.target_id: t for t in targets if not isinstance(t, Missing)},
            records,
            members if with_members else None,
            frozenset(d for d in evacuated_domains if 0 < len(d) <= MAX_DOMAIN_LENGTH),
            self._era,
        )

    def _read_configuration(self, item: dict[str, Any]) -> None:
        if self._stored and item["Rev"] == self._stored.revision:
            return
        try:
            value = base64.b64decode(item["Value"])
            stored = decode_configuration(value, item["Rev"])
        except (DocumentError, binascii.Error) as error:
            self._log("configuration_unreadable", reason=str(error))
            return
        self._stored = stored
        if self._configuration is None or self._configuration.version < stored.version:
            self._configuration = stored
            self._document = ConfigurationDocument(stored.version, value)

    def document(self) -> ConfigurationDocument | None:
        """Return the latest known configuration in its stored form."""
        return self._document

    def apply_document(self, document: ConfigurationDocument) -> Configuration:
        """Apply a configuration if it is newer; return the latest known one.

        Raise ``DocumentError`` if it is newer and invalid.
        """
        known = self._configuration
        if known is None or known.version < document.version:
            known = decode_configuration(document.value, 0)
            if known.version != document.version:
                reason = f"version {known.version} instead of {document.version}"
                raise DocumentError(reason)
            self._configuration, self._document = known, document
        return known

    def _read_target(self, item: dict[str, Any]) -> tuple[int, Target | Missing]:
        key, revision = item["Key"], item["Rev"]
        known = self._target_by_key.get(key)
        if known is not None and known[0] == revision:
            return known
        try:
            value = base64.b64decode(item["Value"])
        except binascii.Error:
            value = b""
        target = decode_target(key.removeprefix(TARGET_PREFIX), value, revision)
        if isinstance(target, Missing) and not (
            known is not None and isinstance(known[1], Missing)
        ):
            self._log("target_entry_unreadable", key=key, reason=target.reason)
        return revision, target

    def create_lease(self, ttl: timedelta) -> "Future[Lease | StoreFailure]":
        """Create a lease."""
        body = orjson.dumps({"TtlMs": max(ttl, self._lease_minimum) // _MILLISECOND})
        return self._loop.spawn(self._lease("/v1/kv-lease", body, None))

    def renew_lease(
        self, lease_id: int, era: int = 0
    ) -> "Future[Lease | StoreFailure]":
        """Renew a lease of an era for its full time to live."""
        path = f"/v1/kv-keep/{lease_id}"
        return self._loop.spawn(self._lease(path, b"", Lease(lease_id, _ZERO, era)))

    def _lease(self, path: str, body: bytes, renewed: Lease | None) -> Steps:
        answer = yield from self._call(self._lease_client, "POST", path, body)
        if isinstance(answer, StoreFailure):
            return answer
        content, era = answer
        if renewed is not None and renewed.era != era:
            # The number may belong to another lease in this era.
            reason = "the store returned from a copy"
            return StoreFailure(StoreFailureKind.NO_LEASE, reason)
        try:
            ttl = timedelta(milliseconds=content["TtlMs"])
            lease_id = renewed.lease_id if renewed else int(content["Lease"])
            return Lease(lease_id, ttl, era)
        except _MALFORMED as error:
            return _malformed(error)

    def revoke_lease(
        self, lease_id: int, era: int = 0
    ) -> "Future[StoreFailure | None]":
        """Revoke a lease of an era, which deletes its records."""
        return self._loop.spawn(self._revoke_lease(lease_id, era))

    def _revoke_lease(self, lease_id: int, era: int) -> Steps:
        if era < self._seen_era:
            reason = "the lease is of an earlier era"
            return StoreFailure(StoreFailureKind.NO_LEASE, reason)
        path = f"/v1/kv-lease-end/{lease_id}"
        answer = yield from self._call(self._lease_client, "DELETE", path)
        return answer if isinstance(answer, StoreFailure) else None

    def commit(
        self, expected: Sequence[ExpectedRevision], puts: Sequence[Put], era: int = 0
    ) -> "Future[int | StoreFailure]":
        """Write all ``puts`` if all expectations hold; return the new revision."""
        conditions = [*expected, ExpectedRevision(era_key(era + 1), 0)]
        return self._loop.spawn(self._commit(conditions, puts, era))

    def _commit(
        self, expected: Sequence[ExpectedRevision], puts: Sequence[Put], era: int
    ) -> Steps:
        body = orjson.dumps(
            {
                "ExpectRev": [{"Key": e.key, "Rev": e.revision} for e in expected],
                "Puts": [
                    {
                        "Key": put.key,
                        "Value": base64.b64encode(put.value).decode(),
                        "Lease": put.lease_id,
                    }
                    for put in puts
                ],
                "Deletes": [],
            }
        )
        answer = yield from self._call(self._write_client, "POST", "/v1/kv-txn", body)
        if isinstance(answer, StoreFailure):
            return answer
        content, answered_era = answer
        if answered_era != era:
            reason = "the store returned from a copy"
            return StoreFailure(StoreFailureKind.UNKNOWN, reason)
        try:
            return int(content.get("Rev", 0))
        except _MALFORMED as error:
            return _malformed(error)

    def _call(
        self,
        client: HttpClient,
        method: str,
        path: str,
        body: bytes = b"",
        max_duration: timedelta = CALL_TIMEOUT,
    ) -> Steps:
        """Return the content and the era of the answer, or a ``StoreFailure``."""
        self.calls += 1
        try:
            response = yield client.request(
                method, path, body, CALL_TIMEOUT, max_duration=max_duration
            )
        except HttpError as error:
            return StoreFailure(StoreFailureKind.UNKNOWN, str(error))
        content = _decode_response(method, path, response)
        era = _decode_era(response)
        if isinstance(content, StoreFailure) or isinstance(era, StoreFailure):
            return content if isinstance(content, StoreFailure) else era
        if era < self._seen_era:
            # A late answer of an earlier era, or one without the header.
            reason = f"an answer of era {era} after one of {self._seen_era}"
            return StoreFailure(StoreFailureKind.UNKNOWN, reason)
        self._seen_era = era
        return content, era

    def close(self) -> None:
        """Close the connections."""
        for client in (self._read_client, self._write_client, self._lease_client):
            client.close()


def _malformed(error: Exception) -> StoreFailure:
    return StoreFailure(StoreFailureKind.UNKNOWN, f"malformed answer: {error!r}")


def _decode_era(response: Response) -> int | StoreFailure:
    """Return the era that an answer names; older stores name none, which is era 0."""
    text = response.headers.get(ERA_HEADER, "0")
    is_number = text.isascii() and text.isdecimal() and len(text) < 10
    if not is_number or int(text) > MAX_ERA:
        return StoreFailure(StoreFailureKind.UNKNOWN, f"malformed era: {text!r}")
    return int(text)


def _record(item: dict[str, Any]) -> Record:
    value = base64.b64decode(item["Value"])
    return Record(item["Key"], value, item["Rev"], item.get("Lease") or 0)


# Statuses with which the store states that it has not executed a call. After any other
# failure the outcome is unknown.
_KIND_BY_STATUS = {
    404: StoreFailureKind.NO_LEASE,
    412: StoreFailureKind.CONFLICT,
    429: StoreFailureKind.NOT_DONE,
    503: StoreFailureKind.NOT_DONE,
    403: StoreFailureKind.NOT_DONE,
    400: StoreFailureKind.NOT_DONE,
}


def _decode_response(method: str, path: str, response: Response) -> Any:
    if response.status in (200, 204):
        try:
            return orjson.loads(response.body) if response.body else {}
        except orjson.JSONDecodeError as error:
            return StoreFailure(StoreFailureKind.UNKNOWN, f"malformed answer: {error}")
    kind = _KIND_BY_STATUS.get(response.status, StoreFailureKind.UNKNOWN)
    return StoreFailure(kind, f"{method} {path}: status {response.status}")


class DutyPromotion(Promotion):
    """Client that requests promotions from the platform over HTTP.

    The platform calls this a duty, which only one instance may hold at a time.
    """

    def __init__(self, loop: Loop, address: str):
        self._loop = loop
        self._address = address

    def promote(
        self,
        service: str,
        target_id: str,
        holder: str,
        fence: int,
        is_allowed: Callable[[], bool],
    ) -> "Future[int]":
        """Request a promotion; return the HTTP status, or 0 without an answer."""
        body = orjson.dumps({"Service": service, "Id": target_id})
        headers = (("Duty-Holder", holder), ("Fence-Token", str(fence)))
        return self._loop.spawn(self._promote(body, headers, is_allowed))

    def _promote(
        self,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
        is_allowed: Callable[[], bool],
    ) -> Steps:
        # A new connection each time: on a broken connection, the request could wait in
        # a send buffer and arrive late.
        client = HttpClient(self._loop, self._address)
        try:
            response = yield client.request(
                "POST", "/promote", body, PROMOTION_TIMEOUT, headers, is_allowed
            )
        except HttpError:
            return 0
        finally:
            client.close()
        return response.status
