"""Clock interface with a system and a manual implementation."""

import time
from abc import ABC, abstractmethod
from datetime import UTC, datetime, timedelta


class Clock(ABC):
    """Source of monotonic and calendar time."""

    @abstractmethod
    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary origin; it never decreases."""

    @abstractmethod
    def utcnow(self) -> datetime:
        """Return the calendar time in UTC."""


class SystemClock(Clock):
    """Clock of the operating system."""

    def monotonic(self) -> timedelta:
        """Return ``time.monotonic`` as a duration."""
        return timedelta(seconds=time.monotonic())

    def utcnow(self) -> datetime:
        """Return the current calendar time in UTC."""
        return datetime.now(UTC)


class ManualClock(Clock):
    """Clock for tests and simulations that only moves with ``advance``."""

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)):
        self._elapsed = timedelta()
        self._start = start

    def monotonic(self) -> timedelta:
        """Return the total time advanced so far."""
        return self._elapsed

    def utcnow(self) -> datetime:
        """Return the start time plus the total time advanced so far."""
        return self._start + self._elapsed

    def advance(self, duration: timedelta) -> None:
        """Move monotonic and calendar time forward by ``duration``."""
        self._elapsed += duration


def milliseconds(duration: timedelta) -> int:
    """Return ``duration`` in whole milliseconds, rounded down."""
    return duration // timedelta(milliseconds=1)
