"""Status reports of all instances."""

from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from typing import NamedTuple

import orjson
import urllib3
from pydantic import ValidationError

from bulrushloom.core.sentinels import Missing
from bulrushloom.directories.base import InstanceDirectory, InstanceEntry
from bulrushloom.management.base import INSTANCE_STATUS, InstanceStatus, StatusReader

STATUS_TIMEOUT = timedelta(seconds=1)
MAX_CONCURRENT_READS = 32
MAX_STATUS_BYTES = 4 * 1024 * 1024


class InstanceReport(NamedTuple):
    """An instance listed in the directory, and its status."""

    entry: InstanceEntry
    status: InstanceStatus | Missing

    def runs(self, version: int) -> bool:
        """Return whether ``version`` or a later one is active there."""
        return not isinstance(self.status, Missing) and (
            self.status["rules_version"] >= version
        )


class HTTPStatusReader(StatusReader):
    """Client that reads ``/v1/status`` on peer addresses."""

    def __init__(self, timeout: timedelta = STATUS_TIMEOUT):
        self._pool = urllib3.PoolManager(
            num_pools=MAX_CONCURRENT_READS,
            timeout=timeout.total_seconds(),
            retries=False,
        )

    def read(self, address: str) -> InstanceStatus | Missing:
        """Return the status served on a peer address, or why it is missing."""
        try:
            response = self._pool.request("GET", f"http://{address}/v1/status")
            if response.status != 200:
                return Missing(f"answered with status {response.status}")
            if len(response.data) > MAX_STATUS_BYTES:
                return Missing("the status is too large")
            return INSTANCE_STATUS.validate_python(orjson.loads(response.data))
        except urllib3.exceptions.HTTPError:
            return Missing("no answer")
        except (orjson.JSONDecodeError, ValidationError):
            return Missing("the status is malformed")

    def close(self) -> None:
        """Close all sockets."""
        self._pool.clear()


def read_fleet(
    directory: InstanceDirectory, reader: StatusReader
) -> list[InstanceReport]:
    """Return the reports of all listed instances, sorted by domain and name."""
    entries = sorted(
        directory.instances(), key=lambda entry: (entry.domain, entry.name)
    )
    with ThreadPoolExecutor(MAX_CONCURRENT_READS) as executor:
        statuses = executor.map(reader.read, [entry.address for entry in entries])
        return [
            InstanceReport(entry, status)
            for entry, status in zip(entries, statuses, strict=True)
        ]
