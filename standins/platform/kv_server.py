"""HTTP server for the platform's key-value store and its promotion call."""

import base64
from collections.abc import Mapping
from datetime import timedelta
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import orjson

from bulrushloom.runtime.http import HttpServer
from bulrushloom.runtime.loop import Loop
from standins.platform.group import SimulatedGroup

PAGE_ITEMS = 500
PROMOTE_DELAY = timedelta(milliseconds=200)
_MILLISECOND = timedelta(milliseconds=1)

Reply = tuple[int, Mapping[str, str], bytes]


class StoreCopy(NamedTuple):
    """State of the store at one moment, from which it can return."""

    item_by_key: dict[str, dict[str, Any]]
    lease_expiry_by_id: dict[int, tuple[timedelta, timedelta]]
    revision: int
    last_lease: int


class KeyValueServer:
    """An in-memory key-value store with leases, and the promotion of servers.

    If ``status`` is not 200, every call is refused with it. ``calls`` records the
    method and the path of each call. ``era`` rises with each return from a copy; the
    answers of a store that never returned name no era.
    """

    def __init__(self, loop: Loop, address: str, group: SimulatedGroup | None = None):
        self._loop = loop
        self._group = group
        self._server = HttpServer(loop, address, self.handle)
        self.port = self._server.port
        self.status = 200
        self.page_items = PAGE_ITEMS
        self.item_by_key: dict[str, dict[str, Any]] = {}
        self.lease_expiry_by_id: dict[int, tuple[timedelta, timedelta]] = {}
        self.revision = 1
        self.oldest_revision = 1
        self.last_lease = 76
        self.era = 0
        self.calls: list[tuple[str, str]] = []

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item."""
        self.revision += 1
        self.item_by_key[key] = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Rev": self.revision,
            "Created": self.revision,
            "Lease": lease,
        }

    def delete(self, key: str) -> None:
        """Delete an item if it exists."""
        if self.item_by_key.pop(key, None) is not None:
            self.revision += 1

    def put_json(self, key: str, value: Any) -> None:
        """Write an item whose value is a JSON document."""
        self.put(key, orjson.dumps(value))

    def copy(self) -> StoreCopy:
        """Return a copy of the present state."""
        self._expire()
        return StoreCopy(
            dict(self.item_by_key),
            dict(self.lease_expiry_by_id),
            self.revision,
            self.last_lease,
        )

    def return_from(self, copy: StoreCopy) -> None:
        """Lose what was written since ``copy``, and begin the next era.

        Leases of the copy last for their full time to live. Revisions and lease numbers
        are given out again.
        """
        self.era += 1
        self.item_by_key = dict(copy.item_by_key)
        now = self._loop.now()
        self.lease_expiry_by_id = {
            lease: (now + ttl, ttl)
            for lease, (_, ttl) in copy.lease_expiry_by_id.items()
        }
        self.revision, self.last_lease = copy.revision, copy.last_lease

    def _expire(self) -> None:
        now = self._loop.now()
        ended = {i for i, (end, _) in self.lease_expiry_by_id.items() if end <= now}
        for lease in ended:
            self._end_lease(lease)

    def end_leases(self) -> None:
        """End all leases at once and delete their items."""
        for lease in list(self.lease_expiry_by_id):
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.lease_expiry_by_id.pop(lease, None)
        for key, item in list(self.item_by_key.items()):
            if item["Lease"] == lease:
                self.revision += 1
                del self.item_by_key[key]

    def handle(self, method: str, target: str, body: bytes) -> Reply:
        """Handle a call and return its status, headers and body."""
        status, headers, content = self._handle(method, target, body)
        if self.era:
            headers = {**headers, "Store-Era": str(self.era)}
        return status, headers, content

    def _handle(self, method: str, target: str, body: bytes) -> Reply:
        self.calls.append((method, target))
        if self.status != 200:
            return self.status, {}, b""
        self._expire()
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        content = orjson.loads(body) if body else {}
        if url.path == "/v1/kv-range":
            return self._range(query)
        if url.path == "/v1/kv-watch":
            return self._watch(query)
        if url.path == "/v1/kv-txn":
            return self._transaction(content)
        if url.path == "/v1/kv-lease":
            ttl = timedelta(milliseconds=content["TtlMs"])
            self.last_lease += 1
            lease = self.last_lease
            self.lease_expiry_by_id[lease] = (self._loop.now() + ttl, ttl)
            return _reply(200, {"Lease": lease, "TtlMs": content["TtlMs"]})
        if url.path.startswith("/v1/kv-keep/"):
            return self._renew_lease(int(url.path.rpartition("/")[2]))
        if url.path.startswith("/v1/kv-lease-end/"):
            self._end_lease(int(url.path.rpartition("/")[2]))
            return _reply(200, {})
        if url.path == "/promote" and self._group is not None:
            return self._promote(content)
        return _reply(404, {})

    def _range(self, query: Mapping[str, str]) -> Reply:
        prefix, after = query.get("Prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.item_by_key if k.startswith(prefix) and k > after)
        items = [self.item_by_key[key] for key in keys[: self.page_items]]
        has_more = len(keys) > len(items)
        return _reply(
            200, {"items": items, "HasMore": has_more, "CurrentRev": self.revision}
        )

    def _watch(self, query: Mapping[str, str]) -> Reply:
        """Return the changes since a revision; removed items are not told."""
        after = int(query["after"])
        if not self.oldest_revision <= after <= self.revision:
            return _reply(410, {})
        events = [
            item
            for key, item in sorted(self.item_by_key.items())
            if key.startswith(query["Prefix"]) and item["Rev"] > after
        ]
        return _reply(200, {"events": events, "CurrentRev": self.revision})

    def _transaction(self, content: dict[str, Any]) -> Reply:
        for expected in content.get("ExpectRev", ()):
            item = self.item_by_key.get(expected["Key"])
            if (item["Rev"] if item else 0) != expected["Rev"]:
                return _reply(412, {"items": [item] if item else []})
        for put in content.get("Puts", ()):
            lease = put.get("Lease", 0)
            if lease and lease not in self.lease_expiry_by_id:
                return _reply(404, {})
            self.put(put["Key"], base64.b64decode(put["Value"]), lease)
            self.revision -= 1
        self.revision += 1
        return _reply(200, {"Rev": self.revision})

    def _renew_lease(self, lease: int) -> Reply:
        known = self.lease_expiry_by_id.get(lease)
        if known is None:
            return _reply(404, {})
        ttl = known[1]
        self.lease_expiry_by_id[lease] = (self._loop.now() + ttl, ttl)
        return _reply(200, {"TtlMs": ttl // _MILLISECOND})

    def _promote(self, content: dict[str, Any]) -> Reply:
        assert self._group is not None
        server = self._group.server_by_id.get(content["Id"])
        if server is None or not server.is_running:
            return _reply(409, {})
        if not server.is_primary:
            self._group.promote(content["Id"], PROMOTE_DELAY)
        return _reply(200, {})

    def close(self) -> None:
        """Stop accepting connections."""
        self._server.close()


def _reply(status: int, content: Any) -> Reply:
    return status, {"Content-Type": "application/json"}, orjson.dumps(content)
