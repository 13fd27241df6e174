"""Event loop on which the tasks of one process run in a single thread."""

import heapq
import itertools
import selectors
import socket
import time
from collections import deque
from collections.abc import Callable, Generator, Iterable
from concurrent.futures import Future
from datetime import UTC, datetime, timedelta
from typing import Any

from bulrushloom.core.clock import Clock

# The step of a task: yields the futures that it waits for.
Steps = Generator["Future[Any]", Any, Any]

# Longest sleep of the selector, so that a stop flag is noticed.
MAX_SLEEP = timedelta(seconds=1)
# A task that fails at once must not keep the processor busy.
RESTART_DELAY = timedelta(milliseconds=200)
_SECOND = timedelta(seconds=1)
_ZERO = timedelta()


class BootClock(Clock):
    """Read a monotonic clock that also counts the time of a suspended machine."""

    def monotonic(self) -> timedelta:
        """Return the reading of ``CLOCK_BOOTTIME``."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    def utcnow(self) -> datetime:
        """Return the current calendar time in UTC."""
        return datetime.now(UTC)


class Timer:
    """Hold a callback that the loop calls once, unless it is cancelled first."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]):
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Drop the callback."""
        self.callback = None


class Task(Future):
    """Run a generator; its return value is the result of this future."""

    def __init__(self, loop: "Loop", steps: Steps):
        super().__init__()
        self._loop = loop
        self._steps = steps

    def advance(self, awaited: "Future[Any] | None" = None) -> None:
        """Resume the generator until it waits for a future that is not done."""
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
                awaited.add_done_callback(self._wake)
                return

    def _wake(self, awaited: "Future[Any]") -> None:
        self._loop.call_soon(lambda: self.advance(awaited))


class Loop:
    """Dispatch socket events, timers and tasks, all in the calling thread.

    ``on_task_error`` receives the exception of a spawned task that nobody awaits.
    """

    def __init__(
        self, clock: Clock, on_task_error: Callable[[BaseException], None] | None = None
    ):
        self.clock = clock
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[timedelta, int, Timer]] = []
        self._order = itertools.count()
        self._ready: deque[Callable[[], None]] = deque()
        self._stopped = False
        self.on_task_error = on_task_error
        self.wake_ups = 0

    def now(self) -> timedelta:
        """Return the monotonic time."""
        return self.clock.monotonic()

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` in the present or next turn of the loop."""
        self._ready.append(callback)

    def call_later(self, delay: timedelta, callback: Callable[[], None]) -> Timer:
        """Call ``callback`` once after ``delay``."""
        timer = Timer(callback)
        entry = (self.now() + delay, next(self._order), timer)
        heapq.heappush(self._timers, entry)
        return timer

    def spawn(self, steps: Steps) -> Task:
        """Start a task; an exception that it raises is reported."""
        task = Task(self, steps)
        task.add_done_callback(self._report)
        self.call_soon(task.advance)
        return task

    def supervise(self, make_steps: Callable[[], Steps]) -> None:
        """Run a task for as long as the loop runs; start it again if it fails."""

        def restart(task: "Future[Any]") -> None:
            if task.exception() is not None:
                self.call_later(RESTART_DELAY, lambda: self.supervise(make_steps))

        self.spawn(make_steps()).add_done_callback(restart)

    def spawn_quietly(self, steps: Steps) -> Task:
        """Start a task whose exceptions its owner looks at."""
        task = Task(self, steps)
        self.call_soon(task.advance)
        return task

    def _report(self, task: "Future[Any]") -> None:
        error = task.exception()
        if error is not None and self.on_task_error is not None:
            self.on_task_error(error)

    def sleep(self, delay: timedelta) -> "Future[None]":
        """Return a future that is done after ``delay``."""
        future: Future[None] = Future()
        self.call_later(delay, lambda: future.set_result(None))
        return future

    def wait_for(self, future: "Future[Any]", limit: timedelta) -> "Future[Any]":
        """Return a future that follows ``future`` or fails with ``TimeoutError``."""
        follower: Future[Any] = Future()

        def expire() -> None:
            if not follower.done():
                follower.set_exception(TimeoutError(f"no result within {limit}"))

        timer = self.call_later(max(limit, _ZERO), expire)

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
        """Stop watching ``sock``; a socket that is not watched is allowed."""
        try:
            self._selector.unregister(sock)
        except (KeyError, ValueError):
            return

    def stop(self) -> None:
        """End ``run`` after the present turn."""
        self._stopped = True

    def run(self) -> None:
        """Dispatch until ``stop`` is called."""
        while not self._stopped:
            self.run_once()

    def run_once(self, longest: timedelta = MAX_SLEEP) -> None:
        """Wait for events for ``longest`` at most and dispatch them."""
        for key, events in self._selector.select(self._sleep_seconds(longest)):
            key.data(events)
        self.wake_ups += 1
        now = self.now()
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            if timer.callback is not None:
                timer.callback()
        while self._ready:
            self._ready.popleft()()

    @property
    def is_busy(self) -> bool:
        """Return whether callbacks wait for the next turn."""
        return bool(self._ready)

    def next_timer_at(self) -> timedelta | None:
        """Return when the next timer is due; used to advance a simulated clock."""
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def _sleep_seconds(self, longest: timedelta) -> float:
        if self._ready:
            return 0.0
        due_at = self.next_timer_at()
        if due_at is None:
            return longest / _SECOND
        return max(0.0, min(longest, due_at - self.now()) / _SECOND)

    def close(self) -> None:
        """Close the selector; the sockets belong to their tasks."""
        self._selector.close()


def settle(future: "Future[Any]", result: Any) -> None:
    """Set the result unless the future is done already."""
    if not future.done():
        future.set_result(result)


def fail(future: "Future[Any]", error: BaseException) -> None:
    """Set the exception unless the future is done already."""
    if not future.done():
        future.set_exception(error)
