"""HTTP client of the platform's metadata store."""

import base64
from collections.abc import Sequence
from concurrent.futures import Future
from datetime import timedelta
from typing import Any
from urllib.parse import quote

import orjson

from bulrushloom.platform.known_configuration import KnownConfiguration
from bulrushloom.platform.store_answers import (
    MALFORMED_ERRORS,
    decode_era,
    decode_response,
    malformed,
)
from bulrushloom.platform.store_content import (
    CONFIGURATION_KEY,
    MEMBER_PREFIX,
    LogEvent,
    StoreContent,
)
from bulrushloom.proxy.configuration import Configuration
from bulrushloom.proxy.store import (
    ConfigurationDocument,
    ExpectedRevision,
    Lease,
    ProxyStore,
    Put,
    StoreFailure,
    StoreFailureKind,
    StoreSnapshot,
)
from bulrushloom.proxy.store_eras import era_key
from bulrushloom.runtime.http import HttpClient, HttpError
from bulrushloom.runtime.loop import Loop, Steps

# The keys of members sort before the configuration key, so that a read can start after
# them; ``0`` is the character that follows ``/``.
AFTER_MEMBERS = "members0"
# The slowest answers of the store take 60 to 90 times the usual 4 ms.
CALL_TIMEOUT = timedelta(milliseconds=900)
# When hundreds of instances start at the same moment, the store's network carries the
# answers to all of them for seconds. An answer that is given up would be asked for, and
# sent, once more.
MAX_READ_TIME = timedelta(seconds=6)
_ZERO = timedelta()
_MILLISECOND = timedelta(milliseconds=1)


class KeyValueStore(ProxyStore):
    """Client of the platform's store over HTTP.

    Leases last at least ``lease_minimum``, because the store rejects shorter ones.
    ``StoreContent`` decodes what a read returns.
    """

    def __init__(
        self,
        loop: Loop,
        address: str,
        log: LogEvent,
        lease_minimum: timedelta = timedelta(),
    ):
        self._loop = loop
        self._content = StoreContent(log)
        self._lease_minimum = lease_minimum
        # Separate connections: a slow read must not delay the renewal of a lease.
        self._read_client = HttpClient(loop, address)
        self._write_client = HttpClient(loop, address)
        self._lease_client = HttpClient(loop, address)
        # The latest era that an answer named.
        self._seen_era = 0
        self._known: KnownConfiguration | None = None
        self.calls = 0

    def snapshot(self, with_members: bool) -> "Future[StoreSnapshot | StoreFailure]":
        """Read all keys, or all but the members, linearizably.

        The pages are read one after the other, so later ones may have newer changes.
        The read fails if they are of different eras.
        """
        return self._loop.spawn(self._snapshot("" if with_members else AFTER_MEMBERS))

    def _snapshot(self, start_after: str) -> Steps:
        sent_at = self._loop.now()
        content = None
        if self._known is not None:
            content = yield from self._read_around_configuration(start_after)
        if content is None:
            content = yield from self._read_pages("", start_after)
        if isinstance(content, StoreFailure):
            self._known = None
            return content
        items, revision, era = content
        self._content.enter_era(era)
        try:
            self._known = KnownConfiguration.from_read(items, revision, era)
            return self._content.read_items(sent_at, revision, items, start_after == "")
        except MALFORMED_ERRORS as error:
            return malformed(error)

    def _read_around_configuration(self, start_after: str) -> Steps:
        """Read all but the configuration, if it has not changed since the last read.

        Return ``None`` if everything has to be read.
        """
        known = self._known
        assert known is not None
        path = (
            f"/v1/kv-watch?Prefix={quote(CONFIGURATION_KEY, safe='')}"
            f"&after={known.revision}&WaitMs=1"
        )
        answer = yield from self._call(self._read_client, "GET", path)
        if isinstance(answer, StoreFailure):
            return None if answer.kind is StoreFailureKind.GONE else answer
        changes, era = answer
        if era != known.era or not _is_unchanged(changes):
            return None
        items = [known.item]
        ranges = [("", CONFIGURATION_KEY)]
        if start_after == "":
            ranges.append((MEMBER_PREFIX, ""))
        for prefix, after in ranges:
            content = yield from self._read_pages(prefix, after)
            if isinstance(content, StoreFailure):
                return content
            further, _, further_era = content
            if further_era != era:
                return _returned_during_read()
            items += further
        return items, changes["CurrentRev"], era

    def _read_pages(self, prefix: str, after: str) -> Steps:
        """Return the items of a range after a key, the revision and the era."""
        items: list[dict[str, Any]] = []
        revision, first_era = None, None
        while True:
            path = (
                f"/v1/kv-range?Prefix={quote(prefix, safe='')}"
                f"&after={quote(after, safe='')}"
            )
            answer = yield from self._call(
                self._read_client, "GET", path, max_duration=MAX_READ_TIME
            )
            if isinstance(answer, StoreFailure):
                return answer
            page, era = answer
            first_era = era if first_era is None else first_era
            if first_era != era:
                return _returned_during_read()
            try:
                items += page["items"]
                # Each page includes all changes up to the revision of the first one.
                revision = page["CurrentRev"] if revision is None else revision
                has_more = page.get("HasMore") and page["items"]
                after = page["items"][-1]["Key"] if has_more else ""
            except MALFORMED_ERRORS as error:
                return malformed(error)
            if not has_more:
                return items, revision, era

    def document(self) -> ConfigurationDocument | None:
        """Return the latest known configuration in its stored form."""
        return self._content.document()

    def apply_document(self, document: ConfigurationDocument) -> Configuration:
        """Apply a configuration if it is newer; return the latest known one.

        Raise ``DocumentError`` if it is newer and invalid.
        """
        return self._content.apply_document(document)

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
        except MALFORMED_ERRORS as error:
            return malformed(error)

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
        except MALFORMED_ERRORS as error:
            return malformed(error)

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
        content = decode_response(method, path, response)
        era = decode_era(response)
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


def _returned_during_read() -> StoreFailure:
    reason = "the store returned from a copy during the read"
    return StoreFailure(StoreFailureKind.UNKNOWN, reason)


def _is_unchanged(changes: Any) -> bool:
    """Return whether a watch has returned, with a revision and without changes."""
    return (
        isinstance(changes, dict)
        and changes.get("events") == []
        and isinstance(changes.get("CurrentRev"), int)
    )
