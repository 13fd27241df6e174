"""Calls to the store that wait for each other."""

import queue
import threading

from bulrushloom.coordination.base import KeyValue, ReadKey, StoreFailed
from bulrushloom.instance.platform import MAX_WAITING_STORE_CALLS, StoreTask
from bulrushloom.stores.base import ConfigurationStore, StoredValue


class FaultyStore(ConfigurationStore):
    """A store whose calls wait for ``resume``, and fail while ``is_faulty``."""

    def __init__(self):
        self.resume = threading.Event()
        self.is_faulty = True

    def get(self, key):
        self.resume.wait(5)
        if self.is_faulty:
            raise ValueError("not a document")
        return StoredValue(3, "rules")

    def compare_and_swap(self, key, version, value):
        raise NotImplementedError

    def watch(self, key, version, timeout):
        raise NotImplementedError

    def close(self):
        self.resume.set()


def test_places_of_failed_calls_are_free_again():
    # Guards against a store task that refuses every call after 32 unexpected errors,
    # and against one whose callers wait forever for the result of such a call.
    store, results = FaultyStore(), queue.Queue()
    task = StoreTask(store, results.put)
    for _ in range(MAX_WAITING_STORE_CALLS + 3):
        task.submit(ReadKey("rules"))
    refused = [results.get(timeout=5) for _ in range(3)]
    assert {result.reason for result in refused} == {"too many calls are waiting"}
    store.resume.set()
    failed = [results.get(timeout=5) for _ in range(MAX_WAITING_STORE_CALLS)]
    assert all(isinstance(result, StoreFailed) for result in failed)
    store.is_faulty = False
    task.submit(ReadKey("rules"))
    assert results.get(timeout=5) == KeyValue("rules", 3, "rules")
    task.close()
