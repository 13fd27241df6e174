"""Blocking calls to the platform's store and directory, one thread each."""

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

# More store calls than this wait at most: during an outage further ones fail at
# once, so that a stale call is not made long after it was asked for.
MAX_WAITING_STORE_CALLS = 32


class InstancesListed(NamedTuple):
    """Report the platform's list of instances."""

    entries: list[InstanceEntry]


class DirectoryFailed(NamedTuple):
    """Report a directory call without an answer."""

    reason: str


class StoreTask:
    """Make store calls one after another and post their results."""

    def __init__(self, store: ConfigurationStore, post: Post):
        self._store = store
        self._post = post
        self._waiting = 0
        self._executor = ThreadPoolExecutor(1, "store")

    def submit(self, call: ReadKey | SwapKey) -> None:
        """Queue a call; from one thread only."""
        if self._waiting >= MAX_WAITING_STORE_CALLS:
            self._post(StoreFailed(call.key, "too many calls are waiting"))
            return
        self._waiting += 1
        self._executor.submit(self._run, call)

    def close(self) -> None:
        """Finish the waiting calls and close the sockets."""
        self._executor.shutdown(cancel_futures=True)
        self._store.close()

    def _run(self, call: ReadKey | SwapKey) -> None:
        try:
            result = self._call(call)
        except StoreUnavailable as error:
            result = StoreFailed(call.key, str(error))
        self._waiting -= 1
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
    """Register the own instance and read the list of instances."""

    def __init__(self, directory: InstanceDirectory, post: Post):
        self._directory = directory
        self._post = post
        self._busy = False
        self._executor = ThreadPoolExecutor(1, "directory")

    def refresh(self, own: InstanceEntry) -> None:
        """Renew the own entry and read the list, unless a call is under way."""
        if not self._busy:
            self._busy = True
            self._executor.submit(self._refresh, own)

    def close(self, own: InstanceEntry) -> None:
        """Remove the own entry and close the sockets."""
        self._executor.submit(self._deregister, own)
        self._executor.shutdown()
        self._directory.close()

    def _refresh(self, own: InstanceEntry) -> None:
        result: InstancesListed | DirectoryFailed
        try:
            self._directory.register(own)
            result = InstancesListed(self._directory.instances())
        except DirectoryUnavailable as error:
            result = DirectoryFailed(str(error))
        self._busy = False
        self._post(result)

    def _deregister(self, own: InstanceEntry) -> None:
        try:
            self._directory.deregister(own.name, own.incarnation)
        except DirectoryUnavailable:
            # The entry expires by itself.
            return
