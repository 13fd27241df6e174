"""Event loop thread for the sockets of all peer connections."""

import select
import socket
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import suppress
from datetime import timedelta

import eliot

# Upper bound on the delay with which an overdue response is detected; ten wake-ups a
# second cost little CPU time.
TICK_INTERVAL = timedelta(milliseconds=100)


class SocketWatcher:
    """Thread with callbacks for readable or writable sockets and for each tick.

    ``tick`` is called after each wake-up, at least once per ``TICK_INTERVAL``.
    """

    def __init__(self, name: str, tick: Callable[[], None]):
        self._tick = tick
        self._epoll = select.epoll()
        self._callback_by_descriptor: dict[int, Callable[[], None]] = {}
        self._stopping = threading.Event()
        self._executor = ThreadPoolExecutor(1, thread_name_prefix=name)
        self._run_future: Future[None] | None = None

    def start(self) -> None:
        """Start the thread."""
        self._run_future = self._executor.submit(self._run)

    def watch(self, sock: socket.socket, callback: Callable[[], None]) -> None:
        """Call ``callback`` when the socket is readable, until it is closed."""
        self._callback_by_descriptor[sock.fileno()] = callback
        self._epoll.register(sock, select.EPOLLIN)

    def watch_writable(self, sock: socket.socket, enabled: bool) -> None:
        """Also watch whether the socket is writable, or stop doing so."""
        events = select.EPOLLIN | select.EPOLLOUT if enabled else select.EPOLLIN
        with suppress(OSError):
            self._epoll.modify(sock, events)

    def _run(self) -> None:
        while not self._stopping.is_set():
            for descriptor, _ in self._epoll.poll(TICK_INTERVAL.total_seconds()):
                # The descriptor may have been closed and reused since the event.
                # This is harmless: the callback then finds no input.
                callback = self._callback_by_descriptor.get(descriptor)
                if callback is not None:
                    self._call_safely(callback)
            self._call_safely(self._tick)

    def _call_safely(self, callback: Callable[[], None]) -> None:
        # A failed callback must not stop the thread, which serves all peers.
        try:
            callback()
        except Exception as error:
            eliot.log_message("peer.watch_failed", error=type(error).__name__)

    def close(self) -> None:
        """Stop the thread."""
        self._stopping.set()
        if self._run_future is not None:
            self._run_future.result()
        self._executor.shutdown()
        self._epoll.close()
