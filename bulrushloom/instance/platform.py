"""Blocking calls to the platform's store and directory, each on its own thread."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

from bulrushloom.coordination.base import (
    KeySwapped,
    KeyValue,
    ReadKey,
    StoreFailed,
    SwapKey,
)
from bulrushloom.directories.base import InstanceDirectory, InstanceEntry
from bulrushloom.directories.exceptions import DirectoryUnavailable
from bulrushloom.stores.base import ConfigurationStore
from bulrushloom.stores.exceptions import StoreUnavailable

Post = Callable[[Any], None]

# Maximum number of waiting store calls. During an outage, further calls fail
# immediately, so that no call is made long after it was requested.
MAX_WAITING_STORE_CALLS = 32


class InstancesListed(NamedTuple):
    """Report the instance list of the platform's directory."""

    entries: list[InstanceEntry]


class DirectoryFailed(NamedTuple):
    """Report a directory call that failed."""

    reason: str


class StoreTask:
    """Make store calls one at a time and post their results."""

    def __init__(self, store: ConfigurationStore, post: Post):
        self._store = store
        self._post = post
        self._free_places = threading.Semaphore(MAX_WAITING_STORE_CALLS)
        self._executor = ThreadPoolExecutor(1, "store")

    def submit(self, call: ReadKey | SwapKey) -> None:
        """Queue a call, or post a failure if too many are waiting."""
        if not self._free_places.acquire(blocking=False):
            self._post(StoreFailed(call.key, "too many calls are waiting"))
            return
        self._executor.submit(self._run, call)

    def close(self) -> None:
        """Cancel waiting calls, wait for a running one and close the sockets."""
        self._executor.shutdown(cancel_futures=True)
        self._store.close()

    def _run(self, call: ReadKey | SwapKey) -> None:
        try:
            result = self._call(call)
        except StoreUnavailable as error:
            result = StoreFailed(call.key, str(error))
        except Exception as error:
            # The caller waits for a result, so unexpected errors become one too.
            result = StoreFailed(call.key, f"unexpected error: {error!r}")
        finally:
            self._free_places.release()
        self._post(result)

    def _call(self, call: ReadKey | SwapKey) -> KeyValue | KeySwapped | StoreFailed:
        if isinstance(call, ReadKey):
            stored = self._store.get(call.key)
            return KeyValue(call.key, stored.version, stored.value)
        outcome = self._store.compare_and_swap(
            call.key, call.expected_version, call.value
        )
        return KeySwapped(call.key, outcome.swapped, outcome.current.version)


class DirectoryTask:
    """Register the local instance and read the instance list."""

    def __init__(self, directory: InstanceDirectory, post: Post):
        self._directory = directory
        self._post = post
        self._busy = False
        self._executor = ThreadPoolExecutor(1, "directory")

    def refresh(self, entry: InstanceEntry) -> None:
        """Renew the local entry and read the list, unless a call is in progress."""
        if not self._busy:
            self._busy = True
            self._executor.submit(self._refresh, entry)

    def close(self, entry: InstanceEntry) -> None:
        """Remove the local entry and close the sockets."""
        self._executor.submit(self._deregister, entry)
        self._executor.shutdown()
        self._directory.close()

    def _refresh(self, entry: InstanceEntry) -> None:
        result: InstancesListed | DirectoryFailed
        try:
            self._directory.register(entry)
            result = InstancesListed(self._directory.instances())
        except DirectoryUnavailable as error:
            result = DirectoryFailed(str(error))
        self._busy = False
        self._post(result)

    def _deregister(self, entry: InstanceEntry) -> None:
        try:
            self._directory.deregister(entry.name, entry.incarnation)
        except DirectoryUnavailable:
            # The directory expires the entry.
            return
