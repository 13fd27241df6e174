"""Task: a thread that owns its state and receives messages through a mailbox."""

import queue
from abc import ABC, abstractmethod
from concurrent.futures import Future, ThreadPoolExecutor
from datetime import timedelta
from typing import Any

from bulrushloom.core.clock import Clock

_STOP_MESSAGE = object()


class MailboxTask(ABC):
    """Thread that calls ``handle`` for each message and ``tick`` at intervals.

    Ticks are at least ``tick_interval`` apart; ``next_tick`` may delay the next one
    further.
    """

    def __init__(self, name: str, clock: Clock, tick_interval: timedelta):
        self.name = name
        self.clock = clock
        self._tick_interval = tick_interval
        self._ticked_at = clock.monotonic() - tick_interval
        self._next_tick_at = clock.monotonic()
        self._mailbox: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._executor = ThreadPoolExecutor(1, thread_name_prefix=name)
        self._run_future: Future[None] | None = None

    def start(self) -> None:
        """Start the thread."""
        self._run_future = self._executor.submit(self._run)

    def post(self, message: Any) -> None:
        """Put ``message`` into the mailbox; thread-safe."""
        self._mailbox.put(message)

    def close(self) -> None:
        """Handle the messages that are in the mailbox, then stop the thread."""
        self._mailbox.put(_STOP_MESSAGE)
        if self._run_future is not None:
            self._run_future.result()
        self._executor.shutdown()

    @abstractmethod
    def handle(self, message: Any, now: timedelta) -> None:
        """Handle one message."""

    @abstractmethod
    def tick(self, now: timedelta) -> None:
        """Do periodic work; ``now`` is a reading of the monotonic clock."""

    def next_tick(self, now: timedelta) -> timedelta:
        """Return when the tick that follows the one at ``now`` is due.

        ``request_tick`` can make it due earlier.
        """
        return now

    def request_tick(self) -> None:
        """Make the next tick due one interval after the last tick."""
        self._next_tick_at = self._ticked_at + self._tick_interval

    @abstractmethod
    def report_failure(self, error: Exception) -> None:
        """Report an exception that ``handle`` or ``tick`` raised."""

    def _run(self) -> None:
        while True:
            wait = (self._next_tick_at - self.clock.monotonic()).total_seconds()
            try:
                message = self._mailbox.get(timeout=max(0.0, wait))
            except queue.Empty:
                pass
            else:
                if message is _STOP_MESSAGE:
                    return
                self._call_safely(self.handle, message, self.clock.monotonic())
            now = self.clock.monotonic()
            if now >= self._next_tick_at:
                self._ticked_at = now
                self.request_tick()
                self._call_safely(self._tick, now)

    def _tick(self, now: timedelta) -> None:
        self.tick(now)
        self._next_tick_at = max(self._next_tick_at, self.next_tick(now))

    def _call_safely(self, function: Any, *arguments: Any) -> None:
        try:
            function(*arguments)
        except Exception as error:
            self.report_failure(error)
