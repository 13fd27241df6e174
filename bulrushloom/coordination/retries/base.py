"""Interface of retry limits."""

from abc import ABC, abstractmethod
from datetime import timedelta


class RetryPolicy(ABC):
    """Limit retries in relation to first attempts."""

    @abstractmethod
    def request_started(self, now: timedelta) -> None:
        """Count the first attempt of a request."""

    @abstractmethod
    def allows_retry(self, now: timedelta) -> bool:
        """Return whether one retry may start now, and count it if so."""
