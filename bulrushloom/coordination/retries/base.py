"""Interface of retry policies."""

from abc import ABC, abstractmethod
from datetime import timedelta


class RetryPolicy(ABC):
    """Limit the number of retries relative to first attempts."""

    @abstractmethod
    def record_request(self, now: timedelta) -> None:
        """Count the first attempt of a request."""

    @abstractmethod
    def acquire_retry(self, now: timedelta) -> bool:
        """Return whether a retry may start now; if so, count it."""
