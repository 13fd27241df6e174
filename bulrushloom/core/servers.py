"""HTTP server based on cheroot, for the caller and peer addresses."""

import logging
import queue
import selectors
import socket
import sys
import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import Future, ThreadPoolExecutor
from datetime import timedelta
from typing import Any, NamedTuple

import eliot
from cheroot import wsgi

from bulrushloom.core.connections import BufferedConnection, DirectHandler
from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.core.requests import RequestLimits

# While draining, a connection that has been idle for this long is closed.
DRAIN_IDLE_TIMEOUT = timedelta(seconds=1)
# The selector thread also wakes up at this interval, which determines the CPU time of
# an idle server.
EXPIRATION_INTERVAL = timedelta(milliseconds=500)
LISTEN_BACKLOG = 1024

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Application = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


class ServerOptions(NamedTuple):
    """Limits of a server: worker threads, queued requests and open connections.

    ``partial_bytes`` limits the total input of all incomplete requests.

    A connection is closed after ``idle_timeout`` without a request, and when its
    request is still incomplete after ``read_timeout``.
    """

    threads: int = 16
    queued_requests: int = 512
    connections: int = 4096
    idle_timeout: timedelta = timedelta(seconds=60)
    read_timeout: timedelta = timedelta(seconds=10)
    partial_bytes: int = 64_000_000
    limits: RequestLimits = RequestLimits()


class SelectorWakeup:
    """Selector entry with which another thread interrupts the selector's wait.

    ``last_used`` keeps cheroot's connection manager from expiring the entry.
    """

    last_used = float("inf")

    def __init__(self) -> None:
        self.reader, self._writer = socket.socketpair()

    def wake(self) -> None:
        """Wake up the selector thread."""
        self._writer.send(b"x")

    def close(self) -> None:
        """Close both sockets."""
        self.reader.close()
        self._writer.close()


class BufferedServer(wsgi.Server):
    """WSGI server with a fixed thread pool and limits on queue and connections."""

    ConnectionClass = BufferedConnection
    expiration_interval = EXPIRATION_INTERVAL.total_seconds()
    # Set by cheroot's ``prepare``, but missing from its type stubs.
    _connections: Any

    def __init__(
        self,
        address: tuple[str, int],
        application: Application,
        options: ServerOptions,
        name: str,
        direct_by_path: dict[str, DirectHandler] | None = None,
    ):
        # cheroot never grows its thread pool by itself, so the minimum is its size.
        # A put into a full queue must not block, because that would stop the
        # selector thread.
        super().__init__(
            address,
            application,
            numthreads=options.threads,
            max=options.threads,
            server_name="bulrushloom",
            request_queue_size=LISTEN_BACKLOG,
            timeout=int(options.idle_timeout.total_seconds()),
            accepted_queue_size=options.queued_requests,
            accepted_queue_timeout=0,
        )
        self.options = options
        self._direct_by_path = direct_by_path or {}
        # One more, because the wake-up socket is registered with the selector too.
        self.keep_alive_conn_limit = options.connections + 1
        self.blocking_write_slots = threading.BoundedSemaphore(
            max(1, options.threads // 2)
        )
        self.draining = False
        self._reserved_bytes = 0
        self._running_requests = 0
        self._idle_condition = threading.Condition()
        self._executor = ThreadPoolExecutor(1, thread_name_prefix=name)
        self._serve_future: Future[None] | None = None

    def open(self) -> None:
        """Bind the address and start the server thread."""
        self.prepare()
        self._wakeup = SelectorWakeup()
        self._connections._selector.register(
            self._wakeup.reader.fileno(), selectors.EVENT_READ, self._wakeup
        )
        self._serve_future = self._executor.submit(self.serve)

    @property
    def port(self) -> int:
        """Return the bound port."""
        return int(self.bind_addr[1])

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Return whether a connection may stay open after its response."""
        return not self.draining and super().can_add_keepalive_connection

    def process_conn(self, conn: Any) -> None:
        """Queue a connection that has input; register a new one with the selector."""
        if isinstance(conn, SelectorWakeup):
            return
        if not conn.admitted:
            self._admit(conn)
            return
        if self._direct_by_path and self._answer_directly(conn):
            return
        try:
            self.requests.put(conn)
        except queue.Full:
            conn.try_refuse(Refusal(ErrorKind.OVERLOADED, "too many requests wait"))
            conn.close()

    def _admit(self, conn: Any) -> None:
        conn.admitted = True
        if self._connections._num_connections >= self.keep_alive_conn_limit:
            conn.try_refuse(Refusal(ErrorKind.OVERLOADED, "too many connections"))
            conn.close()
            return
        self._connections.put(conn)

    def _answer_directly(self, conn: Any) -> bool:
        """Answer requests for direct paths in the selector thread.

        Passing a peer batch to a worker thread costs more than handling the batch.
        Return whether the connection is done; if not, a worker has to handle it.
        """
        try:
            while conn.try_answer_directly(self._direct_by_path):
                if not conn.rfile.has_data():
                    self._connections.put(conn)
                    return True
        except OSError:
            conn.close()
            return True
        except Exception:
            # An error of one connection must not stop the selector thread, which
            # serves all connections.
            self.error_log(level=logging.ERROR)
            conn.close()
            return True
        return False

    def reserve_bytes(self, change: int) -> bool:
        """Add ``change`` bytes to the incomplete requests; return whether they fit."""
        with self._idle_condition:
            self._reserved_bytes += change
            return change < 0 or self._reserved_bytes <= self.options.partial_bytes

    def request_started(self) -> None:
        """Count a request whose handling starts."""
        with self._idle_condition:
            self._running_requests += 1

    def request_ended(self) -> None:
        """Count a request whose handling ended."""
        with self._idle_condition:
            self._running_requests -= 1
            if not self._running_requests:
                self._idle_condition.notify_all()

    def begin_drain(self) -> None:
        """Send ``Connection: close`` from now on, but keep accepting connections."""
        self.draining = True

    def close(self, timeout: timedelta, wait_idle: bool = True) -> None:
        """Stop accepting, wait up to ``timeout`` for running requests, then stop.

        With ``wait_idle``, a connection without a request is closed only after it has
        been idle for ``DRAIN_IDLE_TIMEOUT``, so that a request on its way is still
        answered.
        """
        if not self.ready:
            return
        deadline = time.monotonic() + timeout.total_seconds()
        self.begin_drain()
        self._stop_accepting()
        self.timeout = min(self.timeout, DRAIN_IDLE_TIMEOUT.total_seconds())
        while not self._is_drained(wait_idle) and time.monotonic() < deadline:
            time.sleep(0.02)
        self.shutdown_timeout = max(0.1, deadline - time.monotonic())
        # cheroot's ``stop`` blocks until the selector thread returns.
        self._connections._stop_requested = True
        self._wakeup.wake()
        self.stop()
        self._wakeup.close()
        if self._serve_future is not None:
            self._serve_future.result()
        self._executor.shutdown()

    def _stop_accepting(self) -> None:
        # Unregistering from another thread is safe, because the selector ignores
        # events of descriptors that are no longer registered.
        self._connections._selector.unregister(self.socket.fileno())
        self.socket.close()

    def _is_drained(self, wait_idle: bool) -> bool:
        with self._idle_condition:
            running = self._running_requests
        # The wake-up socket is registered too and does not count.
        connections = len(self._connections._selector) - 1 if wait_idle else 0
        return not running and not self.requests.qsize and not connections

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log the type of a server error; its text may quote a request."""
        if level >= logging.WARNING:
            error = type(sys.exception()).__name__
            eliot.log_message("http_server.error", level=level, error=error)
