"""Fake platform clients for tests of the commands."""

from datetime import timedelta

from bulrushloom.core.clock import ManualClock
from bulrushloom.core.sentinels import Missing
from bulrushloom.directories.base import InstanceDirectory, InstanceEntry
from bulrushloom.management.base import StatusReader
from bulrushloom.stores.base import ConfigurationStore, StoredValue, SwapOutcome
from bulrushloom.stores.exceptions import StoreUnavailable


class MemoryStore(ConfigurationStore):
    """In-memory store of one value.

    ``faults`` lists the calls that fail: "lost" before the call takes effect, and
    "lost after" once it has taken effect.
    """

    def __init__(self):
        self.current = StoredValue(0, None)
        self.faults: list[str] = []
        self.before_swap = lambda: None
        self.swap_count = 0

    def get(self, key):
        self._raise_if_next_fault("lost")
        return self.current

    def compare_and_swap(self, key, version, value):
        self.before_swap()
        self._raise_if_next_fault("lost")
        if version != self.current.version:
            return SwapOutcome(False, self.current)
        self.current = StoredValue(version + 1, value)
        self.swap_count += 1
        self._raise_if_next_fault("lost after")
        return SwapOutcome(True, self.current)

    def watch(self, key, version, timeout):
        return self.get(key)

    def close(self):
        pass

    def _raise_if_next_fault(self, fault):
        if self.faults and self.faults[0] == fault:
            self.faults.pop(0)
            raise StoreUnavailable("no answer")


class MemoryDirectory(InstanceDirectory):
    def __init__(self, leaving=()):
        self.entries = [
            InstanceEntry(f"n{i}", "d", f"127.0.0.1:{i}", "x", f"n{i}" in leaving)
            for i in range(3)
        ]

    def instances(self):
        return self.entries

    def register(self, entry):
        pass

    def deregister(self, name, incarnation):
        pass

    def close(self):
        pass


class FakeStatusReader(StatusReader):
    """Reader that returns the version by address; ``None`` means no answer."""

    def __init__(self, version_by_address):
        self.version_by_address = version_by_address

    def read(self, address):
        version = self.version_by_address[address]
        if version is None:
            return Missing("no answer")
        return {
            "name": address,
            "domain": "d",
            "incarnation": "x",
            "rules_version": version,
            "draining": False,
            "fresh": True,
            "groups": {},
        }

    def close(self):
        pass


class ClockAdvancingSleep:
    """Replacement for ``time.sleep`` that advances a manual clock."""

    def __init__(self, clock: ManualClock):
        self.clock = clock

    def __call__(self, seconds: float) -> None:
        self.clock.advance(timedelta(seconds=seconds))
