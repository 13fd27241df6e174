"""Clock interface and its system implementation."""

import time
from abc import ABC, abstractmethod
from datetime import UTC, datetime, timedelta


class Clock(ABC):
    """Give monotonic and calendar time."""

    @abstractmethod
    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary origin; it never goes back."""

    @abstractmethod
    def utcnow(self) -> datetime:
        """Return the calendar time in UTC."""


class SystemClock(Clock):
    """Read the clocks of the operating system."""

    def monotonic(self) -> timedelta:
        """Return the reading of ``time.monotonic``."""
        return timedelta(seconds=time.monotonic())

    def utcnow(self) -> datetime:
        """Return the current calendar time in UTC."""
        return datetime.now(UTC)


class ManualClock(Clock):
    """Advance only when told to; for tests and simulations."""

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)):
        self._elapsed = timedelta()
        self._start = start

    def monotonic(self) -> timedelta:
        """Return the time advanced so far."""
        return self._elapsed

    def utcnow(self) -> datetime:
        """Return the start time plus the time advanced so far."""
        return self._start + self._elapsed

    def advance(self, duration: timedelta) -> None:
        """Move both clocks forward by ``duration``."""
        self._elapsed += duration


def milliseconds(duration: timedelta) -> int:
    """Return ``duration`` in whole milliseconds, rounded down."""
    return duration // timedelta(milliseconds=1)
