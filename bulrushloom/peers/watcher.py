"""Thread that waits for the answers of all peers at once."""

import select
import socket
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import suppress
from datetime import timedelta

import eliot

# Bounds how late a missing answer is noticed; ten wake-ups a second cost little.
TICK = timedelta(milliseconds=100)


class SocketWatcher:
    """Call back when a watched socket has input or room, and once per ``TICK``."""

    def __init__(self, name: str, tick: Callable[[], None]):
        self._tick = tick
        self._epoll = select.epoll()
        self._callback_by_descriptor: dict[int, Callable[[], None]] = {}
        self._stopping = threading.Event()
        self._executor = ThreadPoolExecutor(1, thread_name_prefix=name)
        self._done: Future[None] | None = None

    def start(self) -> None:
        """Start the thread."""
        self._done = self._executor.submit(self._run)

    def watch(self, sock: socket.socket, callback: Callable[[], None]) -> None:
        """Watch for input; a socket leaves the watch when it is closed."""
        self._callback_by_descriptor[sock.fileno()] = callback
        self._epoll.register(sock, select.EPOLLIN)

    def watch_writable(self, sock: socket.socket, wanted: bool) -> None:
        """Also watch for room to send, or stop doing so."""
        events = select.EPOLLIN | select.EPOLLOUT if wanted else select.EPOLLIN
        with suppress(OSError):
            self._epoll.modify(sock, events)

    def _run(self) -> None:
        while not self._stopping.is_set():
            for descriptor, _ in self._epoll.poll(TICK.total_seconds()):
                # A descriptor may have been closed and used again since the
                # event; the callback finds no input then, which does no harm.
                callback = self._callback_by_descriptor.get(descriptor)
                if callback is not None:
                    self._guard(callback)
            self._guard(self._tick)

    def _guard(self, callback: Callable[[], None]) -> None:
        # One failed callback must not end the thread that serves all peers.
        try:
            callback()
        except Exception as error:
            eliot.log_message("peer.watch_failed", error=type(error).__name__)

    def close(self) -> None:
        """Stop the thread."""
        self._stopping.set()
        if self._done is not None:
            self._done.result()
        self._executor.shutdown()
        self._epoll.close()
