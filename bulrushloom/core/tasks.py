"""A task: one thread that owns its state and is reached by messages."""

import queue
from abc import ABC, abstractmethod
from concurrent.futures import Future, ThreadPoolExecutor
from datetime import timedelta
from typing import Any

from bulrushloom.core.clock import Clock

_STOP = object()


class MailboxTask(ABC):
    """Run ``handle`` for each message and ``tick`` when it is due.

    Two ticks lie at least ``tick_interval`` apart; ``next_tick`` may ask for more.
    """

    def __init__(self, name: str, clock: Clock, tick_interval: timedelta):
        self.name = name
        self.clock = clock
        self._interval = tick_interval
        self._ticked_at = clock.monotonic() - tick_interval
        self._next_tick_at = clock.monotonic()
        self._mailbox: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._executor = ThreadPoolExecutor(1, thread_name_prefix=name)
        self._done: Future[None] | None = None

    def start(self) -> None:
        """Start the thread."""
        self._done = self._executor.submit(self._run)

    def post(self, message: Any) -> None:
        """Put ``message`` into the mailbox; callable from any thread."""
        self._mailbox.put(message)

    def close(self) -> None:
        """Handle what is in the mailbox, then end the thread."""
        self._mailbox.put(_STOP)
        if self._done is not None:
            self._done.result()
        self._executor.shutdown()

    @abstractmethod
    def handle(self, message: Any, now: timedelta) -> None:
        """Handle one message."""

    @abstractmethod
    def tick(self, now: timedelta) -> None:
        """Do what is due at ``now``."""

    def next_tick(self, now: timedelta) -> timedelta:
        """Return when the tick after one at ``now`` is due, without messages."""
        return now

    def hasten_tick(self) -> None:
        """Let the next tick follow the last one at the shortest distance."""
        self._next_tick_at = self._ticked_at + self._interval

    @abstractmethod
    def failed(self, error: Exception) -> None:
        """Report an exception that ``handle`` or ``tick`` raised."""

    def _run(self) -> None:
        while True:
            wait = (self._next_tick_at - self.clock.monotonic()).total_seconds()
            try:
                message = self._mailbox.get(timeout=max(0.0, wait))
            except queue.Empty:
                pass
            else:
                if message is _STOP:
                    return
                self._guard(self.handle, message, self.clock.monotonic())
            now = self.clock.monotonic()
            if now >= self._next_tick_at:
                self._ticked_at = now
                self.hasten_tick()
                self._guard(self._tick, now)

    def _tick(self, now: timedelta) -> None:
        self.tick(now)
        self._next_tick_at = max(self._next_tick_at, self.next_tick(now))

    def _guard(self, function: Any, *arguments: Any) -> None:
        try:
            function(*arguments)
        except Exception as error:
            self.failed(error)
