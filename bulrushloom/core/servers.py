"""HTTP server for the caller and peer addresses: cheroot with buffered requests."""

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

from bulrushloom.core.connections import BufferedConnection, Direct
from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.core.requests import RequestLimits

# An idle connection that sends nothing for this long in a drain is closed.
DRAIN_IDLE = timedelta(seconds=1)
# Also the wake-up period of the selector thread, hence the cost of an idle server.
EXPIRATION_INTERVAL = timedelta(milliseconds=500)
LISTEN_BACKLOG = 1024

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Application = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


class ServerOptions(NamedTuple):
    """Bound a server: worker threads, waiting requests and connections.

    ``partial_bytes`` bounds the input of all incomplete requests together.

    ``idle_timeout`` ends a connection without a request, ``read_timeout`` one whose
    request has begun and is not complete.
    """

    threads: int = 16
    waiting_requests: int = 512
    connections: int = 4096
    idle_timeout: timedelta = timedelta(seconds=60)
    read_timeout: timedelta = timedelta(seconds=10)
    partial_bytes: int = 64_000_000
    limits: RequestLimits = RequestLimits()


class Wakeup:
    """Stand among the selector's connections to end its wait from another thread."""

    last_used = float("inf")

    def __init__(self) -> None:
        self.reader, self._writer = socket.socketpair()

    def fire(self) -> None:
        """Make the selector return."""
        self._writer.send(b"x")

    def close(self) -> None:
        """Close both ends."""
        self.reader.close()
        self._writer.close()


class BufferedServer(wsgi.Server):
    """Serve a WSGI application with bounded threads, queue and connections."""

    ConnectionClass = BufferedConnection
    expiration_interval = EXPIRATION_INTERVAL.total_seconds()
    # Set by cheroot's ``prepare``; its type stubs do not name it.
    _connections: Any

    def __init__(
        self,
        address: tuple[str, int],
        application: Application,
        options: ServerOptions,
        name: str,
        direct_by_path: dict[str, Direct] | None = None,
    ):
        # cheroot never grows its pool by itself, so the minimum is the size. A put
        # into a full queue must not wait: it would stop the selector thread.
        super().__init__(
            address,
            application,
            numthreads=options.threads,
            max=options.threads,
            server_name="bulrushloom",
            request_queue_size=LISTEN_BACKLOG,
            timeout=int(options.idle_timeout.total_seconds()),
            accepted_queue_size=options.waiting_requests,
            accepted_queue_timeout=0,
        )
        self.options = options
        self._direct_by_path = direct_by_path or {}
        # The selector also counts the wake-up socket.
        self.keep_alive_conn_limit = options.connections + 1
        self.slow_writers = threading.BoundedSemaphore(max(1, options.threads // 2))
        self.draining = False
        self._reserved_bytes = 0
        self._running = 0
        self._idle = threading.Condition()
        self._executor = ThreadPoolExecutor(1, thread_name_prefix=name)
        self._served: Future[None] | None = None

    def open(self) -> None:
        """Bind the address and serve in a thread of its own."""
        self.prepare()
        self._wakeup = Wakeup()
        self._connections._selector.register(
            self._wakeup.reader.fileno(), selectors.EVENT_READ, self._wakeup
        )
        self._served = self._executor.submit(self.serve)

    @property
    def port(self) -> int:
        """Return the bound port."""
        return int(self.bind_addr[1])

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Return whether an answered connection may stay open."""
        return not self.draining and super().can_add_keepalive_connection

    def process_conn(self, conn: Any) -> None:
        """Queue a connection with input; new ones first wait in the selector."""
        if isinstance(conn, Wakeup):
            return
        if not conn.admitted:
            self._admit(conn)
            return
        if self._direct_by_path and self._serve_directly(conn):
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

    def _serve_directly(self, conn: Any) -> bool:
        """Answer a request for a direct path in the selector thread.

        Handing a peer batch to a worker costs more than the batch itself. Return
        false if a worker has to go on with the connection.
        """
        try:
            while conn.answered_directly(self._direct_by_path):
                if not conn.rfile.has_data():
                    self._connections.put(conn)
                    return True
        except OSError:
            conn.close()
            return True
        except Exception:
            # The selector thread serves all connections and must go on.
            self.error_log(level=logging.ERROR)
            conn.close()
            return True
        return False

    def reserve(self, change: int) -> bool:
        """Change the bytes of incomplete requests; return whether they fit."""
        with self._idle:
            self._reserved_bytes += change
            return change < 0 or self._reserved_bytes <= self.options.partial_bytes

    def request_started(self) -> None:
        """Count a request that a worker answers."""
        with self._idle:
            self._running += 1

    def request_ended(self) -> None:
        """Count the end of an answered request."""
        with self._idle:
            self._running -= 1
            if not self._running:
                self._idle.notify_all()

    def begin_drain(self) -> None:
        """Answer with ``Connection: close`` from now on; still accept."""
        self.draining = True

    def close(self, timeout: timedelta, wait_idle: bool = True) -> None:
        """Stop accepting, let running requests end within ``timeout``, then stop.

        With ``wait_idle``, connections without a request are closed only after they
        have been idle for ``DRAIN_IDLE``, so that a caller who is just sending is
        still answered.
        """
        if not self.ready:
            return
        deadline = time.monotonic() + timeout.total_seconds()
        self.begin_drain()
        self._stop_accepting()
        self.timeout = min(self.timeout, DRAIN_IDLE.total_seconds())
        while not self._drained(wait_idle) and time.monotonic() < deadline:
            time.sleep(0.02)
        self.shutdown_timeout = max(0.1, deadline - time.monotonic())
        # cheroot's ``stop`` waits until the selector returns.
        self._connections._stop_requested = True
        self._wakeup.fire()
        self.stop()
        self._wakeup.close()
        if self._served is not None:
            self._served.result()
        self._executor.shutdown()

    def _stop_accepting(self) -> None:
        # Unregistering is safe from another thread: the selector skips events of
        # descriptors that it no longer knows.
        self._connections._selector.unregister(self.socket.fileno())
        self.socket.close()

    def _drained(self, wait_idle: bool) -> bool:
        with self._idle:
            running = self._running
        # The wake-up socket is registered as well.
        connections = len(self._connections._selector) - 1 if wait_idle else 0
        return not running and not self.requests.qsize and not connections

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log that the server failed, without texts that may quote a request."""
        if level >= logging.WARNING:
            error = type(sys.exception()).__name__
            eliot.log_message("http_server.error", level=level, error=error)
