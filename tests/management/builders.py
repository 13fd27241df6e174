"""Fake platform for tests of the commands."""

from datetime import timedelta

from bulrushloom.core.clock import ManualClock
from bulrushloom.core.sentinels import Missing
from bulrushloom.directories.base import InstanceDirectory, InstanceEntry
from bulrushloom.management.base import StatusReader
from bulrushloom.stores.base import ConfigurationStore, StoredValue, SwapOutcome
from bulrushloom.stores.exceptions import StoreUnavailable


class MemoryStore(ConfigurationStore):
    """Hold one value; ``faults`` names what happens to the next calls."""

    def __init__(self):
        self.current = StoredValue(0, None)
        self.faults: list[str] = []
        self.before_swap = lambda: None
        self.swaps = 0

    def get(self, key):
        self._fail_if("lost")
        return self.current

    def compare_and_swap(self, key, version, value):
        self.before_swap()
        self._fail_if("lost")
        if version != self.current.version:
            return SwapOutcome(False, self.current)
        self.current = StoredValue(version + 1, value)
        self.swaps += 1
        self._fail_if("lost after")
        return SwapOutcome(True, self.current)

    def watch(self, key, version, timeout):
        return self.get(key)

    def close(self):
        pass

    def _fail_if(self, fault):
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
    """Answer with a version by address; ``None`` stands for no answer."""

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


class Sleeper:
    """Advance a manual clock in place of sleeping."""

    def __init__(self, clock: ManualClock):
        self.clock = clock

    def __call__(self, seconds: float) -> None:
        self.clock.advance(timedelta(seconds=seconds))
