"""Status of all instances, read over HTTP."""

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
    """Pair an instance of the directory with its status."""

    entry: InstanceEntry
    status: InstanceStatus | Missing

    def runs(self, version: int) -> bool:
        """Return whether ``version`` or a later one is in force there."""
        return not isinstance(self.status, Missing) and (
            self.status["rules_version"] >= version
        )


class HTTPStatusReader(StatusReader):
    """Read ``/v1/status`` on peer addresses."""

    def __init__(self, timeout: timedelta = STATUS_TIMEOUT):
        self._pool = urllib3.PoolManager(
            num_pools=MAX_CONCURRENT_READS,
            timeout=timeout.total_seconds(),
            retries=False,
        )

    def read(self, address: str) -> InstanceStatus | Missing:
        """Return the status from the peer address or why there is none."""
        try:
            answer = self._pool.request("GET", f"http://{address}/v1/status")
            if answer.status != 200:
                return Missing(f"answered with status {answer.status}")
            if len(answer.data) > MAX_STATUS_BYTES:
                return Missing("the status is too large")
            return INSTANCE_STATUS.validate_python(orjson.loads(answer.data))
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
    """Return all listed instances with their status, sorted by domain and name."""
    entries = sorted(
        directory.instances(), key=lambda entry: (entry.domain, entry.name)
    )
    with ThreadPoolExecutor(MAX_CONCURRENT_READS) as executor:
        statuses = executor.map(reader.read, [entry.address for entry in entries])
        return [
            InstanceReport(entry, status)
            for entry, status in zip(entries, statuses, strict=True)
        ]
