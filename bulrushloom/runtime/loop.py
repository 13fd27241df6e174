"""Event loop that runs the tasks of a process in a single thread."""

import contextlib
import heapq
import itertools
import selectors
import socket
import time
from collections import deque
from collections.abc import Callable, Generator, Iterable
from concurrent.futures import Future
from datetime import UTC, datetime, timedelta
from functools import partial
from typing import Any

from bulrushloom.core.clock import Clock

# Body of a task: a generator that yields the futures it waits for.
Steps = Generator["Future[Any]", Any, Any]

# Maximum wait of the selector, so that a request to stop is noticed.
MAX_SELECT_TIMEOUT = timedelta(seconds=1)
# A task that fails immediately must not be restarted in a busy loop.
RESTART_DELAY = timedelta(milliseconds=200)
_SECOND = timedelta(seconds=1)
_ZERO = timedelta()


class BootClock(Clock):
    """Monotonic clock that includes the time during which the system is suspended."""

    def monotonic(self) -> timedelta:
        """Return the time of ``CLOCK_BOOTTIME``."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    def utcnow(self) -> datetime:
        """Return the current date and time in UTC."""
        return datetime.now(UTC)


class Timer:
    """Handle of a callback that the loop calls once unless it is cancelled first."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]):
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the callback."""
        self.callback = None


class Task(Future):
    """Future that runs a generator and has its return value as the result.

    The generator yields the futures it waits for; it gets back their results, or their
    exceptions are raised in it.
    """

    def __init__(self, loop: "Loop", steps: Steps):
        super().__init__()
        self._loop = loop
        self._steps = steps

    def advance(self, awaited: "Future[Any] | None" = None) -> None:
        """Run the generator until it waits for a future that is not done."""
        while True:
            try:
                if awaited is None:
                    awaited = next(self._steps)
                elif (error := awaited.exception()) is not None:
                    awaited = self._steps.throw(error)
                else:
                    awaited = self._steps.send(awaited.result())
            except StopIteration as stop:
                self.set_result(stop.value)
                return
            except Exception as error:
                self.set_exception(error)
                return
            if not awaited.done():
                awaited.add_done_callback(self._resume_soon)
                return

    def _resume_soon(self, awaited: "Future[Any]") -> None:
        self._loop.call_soon(lambda: self.advance(awaited))


class Loop:
    """Event loop that dispatches socket events, timers and tasks in one thread.

    ``on_error`` is called with the exception of a callback, or of a task started by
    ``spawn``; the loop then continues with the next callback. Without ``on_error``, the
    exceptions of callbacks are raised. ``error_count`` counts them.
    """

    def __init__(
        self, clock: Clock, on_error: Callable[[BaseException], None] | None = None
    ):
        self.clock = clock
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[timedelta, int, Timer]] = []
        self._sequence = itertools.count()
        self._ready: deque[Callable[[], None]] = deque()
        self._stop_requested = False
        self.on_error = on_error
        self.error_count = 0
        self.wake_ups = 0

    def now(self) -> timedelta:
        """Return the monotonic time."""
        return self.clock.monotonic()

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` in the current or the next iteration of the loop."""
        self._ready.append(callback)

    def call_later(self, delay: timedelta, callback: Callable[[], None]) -> Timer:
        """Call ``callback`` once after ``delay``."""
        timer = Timer(callback)
        entry = (self.now() + delay, next(self._sequence), timer)
        heapq.heappush(self._timers, entry)
        return timer

    def spawn(self, steps: Steps) -> Task:
        """Start a task; its exception is reported to ``on_error``."""
        task = Task(self, steps)
        task.add_done_callback(self._report)
        self.call_soon(task.advance)
        return task

    def supervise(self, make_steps: Callable[[], Steps]) -> None:
        """Run a task; restart it after an exception, with ``RESTART_DELAY``.

        ``make_steps`` is called for each start. The exceptions are reported to
        ``on_error``.
        """

        def restart(task: "Future[Any]") -> None:
            if task.exception() is not None:
                self.call_later(RESTART_DELAY, lambda: self.supervise(make_steps))

        self.spawn(make_steps()).add_done_callback(restart)

    def spawn_unreported(self, steps: Steps) -> Task:
        """Start a task whose caller handles its exception."""
        task = Task(self, steps)
        self.call_soon(task.advance)
        return task

    def _report(self, task: "Future[Any]") -> None:
        error = task.exception()
        if error is not None and self.on_error is not None:
            self.report_error(error)

    def report_error(self, error: BaseException) -> None:
        """Report an unexpected exception; raise it if there is no ``on_error``."""
        self.error_count += 1
        if self.on_error is None:
            raise error
        # A report that fails must not end the loop either.
        with contextlib.suppress(Exception):
            self.on_error(error)

    def _call(self, callback: Callable[[], None]) -> None:
        try:
            callback()
        except Exception as error:
            self.report_error(error)

    def sleep(self, delay: timedelta) -> "Future[None]":
        """Return a future that is done after ``delay``."""
        future: Future[None] = Future()
        self.call_later(delay, lambda: future.set_result(None))
        return future

    def wait_for(self, future: "Future[Any]", timeout: timedelta) -> "Future[Any]":
        """Return a future that follows ``future`` or fails with ``TimeoutError``."""
        follower: Future[Any] = Future()

        def expire() -> None:
            if not follower.done():
                follower.set_exception(TimeoutError(f"no result within {timeout}"))

        timer = self.call_later(max(timeout, _ZERO), expire)

        def follow(done: "Future[Any]") -> None:
            timer.cancel()
            if follower.done():
                return
            if (error := done.exception()) is not None:
                follower.set_exception(error)
            else:
                follower.set_result(done.result())

        future.add_done_callback(follow)
        return follower

    def first_of(self, futures: Iterable["Future[Any]"]) -> "Future[None]":
        """Return a future that is done when the first of ``futures`` is done."""
        any_done: Future[None] = Future()

        def settle(_: "Future[Any]") -> None:
            if not any_done.done():
                any_done.set_result(None)

        for future in futures:
            future.add_done_callback(settle)
        return any_done

    def watch(
        self, sock: socket.socket, events: int, callback: Callable[[int], None]
    ) -> None:
        """Call ``callback`` with the selector events that occur on ``sock``."""
        try:
            self._selector.modify(sock, events, callback)
        except KeyError:
            self._selector.register(sock, events, callback)

    def unwatch(self, sock: socket.socket) -> None:
        """Stop watching ``sock``; does nothing if it is not watched."""
        try:
            self._selector.unregister(sock)
        except (KeyError, ValueError):
            return

    def stop(self) -> None:
        """Make ``run`` return after the current iteration."""
        self._stop_requested = True

    def run(self) -> None:
        """Dispatch events until ``stop`` is called."""
        while not self._stop_requested:
            self.run_once()

    def run_once(self, max_wait: timedelta = MAX_SELECT_TIMEOUT) -> None:
        """Wait at most ``max_wait`` for events and dispatch them."""
        for key, events in self._selector.select(self._select_timeout_s(max_wait)):
            self._call(partial(key.data, events))
        self.wake_ups += 1
        now = self.now()
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            if timer.callback is not None:
                self._call(timer.callback)
        while self._ready:
            self._call(self._ready.popleft())

    @property
    def is_busy(self) -> bool:
        """Return whether callbacks of ``call_soon`` are queued."""
        return bool(self._ready)

    def next_timer_at(self) -> timedelta | None:
        """Return when the next timer is due; tests advance a simulated clock to it."""
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def _select_timeout_s(self, max_wait: timedelta) -> float:
        if self._ready:
            return 0.0
        due_at = self.next_timer_at()
        if due_at is None:
            return max_wait / _SECOND
        return max(0.0, min(max_wait, due_at - self.now()) / _SECOND)

    def close(self) -> None:
        """Close the selector; tasks close their own sockets."""
        self._selector.close()


def set_result_if_pending(future: "Future[Any]", result: Any) -> None:
    """Set the result unless the future is already done."""
    if not future.done():
        future.set_result(result)


def set_exception_if_pending(future: "Future[Any]", error: BaseException) -> None:
    """Set the exception unless the future is already done."""
    if not future.done():
        future.set_exception(error)
