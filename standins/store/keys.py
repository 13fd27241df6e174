"""The keys, versions and leases of the configuration store."""

import threading
import time
import uuid
from typing import Any, NamedTuple


class Item(NamedTuple):
    """The value of a key; ``lease`` is empty if the key does not expire."""

    version: int
    value: Any
    lease: str


class Lease(NamedTuple):
    """A lease; ``ttl`` is in seconds, ``expires_at`` in monotonic seconds."""

    ttl: float
    expires_at: float


ABSENT = Item(0, None, "")


class KeySpace:
    """All keys in memory; thread-safe."""

    def __init__(self) -> None:
        self._item_by_key: dict[str, Item] = {}
        self._last_version_by_key: dict[str, int] = {}
        self._lease_by_id: dict[str, Lease] = {}
        self._changed = threading.Condition()
        self._closed = False

    def get(self, key: str) -> Item:
        """Return the item of ``key``, or ``ABSENT``."""
        with self._changed:
            self._expire()
            return self._item_by_key.get(key, ABSENT)

    def swap(self, key: str, version: int, value: Any, lease: str) -> tuple[bool, Item]:
        """Set the value if the version matches; return the item that results.

        The first value tells whether the swap was made. Raises ``KeyError`` if the
        lease has expired. The version of a key keeps growing when the key is deleted
        and written again, so an old version never matches a new value.
        """
        with self._changed:
            self._expire()
            if lease and lease not in self._lease_by_id:
                raise KeyError(lease)
            current = self._item_by_key.get(key, ABSENT)
            if current.version != version:
                return False, current
            item = Item(self._last_version_by_key.get(key, 0) + 1, value, lease)
            self._item_by_key[key] = item
            self._last_version_by_key[key] = item.version
            self._changed.notify_all()
            return True, item

    def watch(self, key: str, version: int, timeout: float) -> Item:
        """Return the item once its version exceeds ``version``, or at the timeout.

        ``timeout`` is in seconds.
        """
        deadline = time.monotonic() + timeout
        with self._changed:
            while True:
                self._expire()
                item = self._item_by_key.get(key, ABSENT)
                remaining = deadline - time.monotonic()
                if item.version > version or remaining <= 0 or self._closed:
                    return item
                self._changed.wait(remaining)

    def grant(self, ttl: float) -> str:
        """Create a lease of ``ttl`` seconds and return its identifier."""
        lease = uuid.uuid4().hex
        with self._changed:
            self._lease_by_id[lease] = Lease(ttl, time.monotonic() + ttl)
        return lease

    def keep_alive(self, lease: str) -> bool:
        """Renew a lease; return whether it was still valid."""
        with self._changed:
            self._expire()
            held = self._lease_by_id.get(lease)
            if held is None:
                return False
            self._lease_by_id[lease] = Lease(held.ttl, time.monotonic() + held.ttl)
            return True

    def close(self) -> None:
        """Wake all watchers."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def _expire(self) -> None:
        now = time.monotonic()
        expired = {
            i for i, lease in self._lease_by_id.items() if lease.expires_at <= now
        }
        if not expired:
            return
        for lease in expired:
            del self._lease_by_id[lease]
        keys = [k for k, item in self._item_by_key.items() if item.lease in expired]
        for key in keys:
            del self._item_by_key[key]
