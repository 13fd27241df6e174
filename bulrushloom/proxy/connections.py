"""Connections to targets, and a pool that keeps their number within a quota."""

import itertools
from collections import deque
from collections.abc import Callable, Mapping
from concurrent.futures import Future
from datetime import timedelta

from bulrushloom.platform import wire
from bulrushloom.proxy.base import TargetConnection
from bulrushloom.proxy.clients.connection_memory import ConnectionMemory
from bulrushloom.proxy.clients.memory_budget import (
    AccountKind,
    MemoryAccount,
    MemoryBudget,
)
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.messages import (
    Failure,
    LogPosition,
    ServerAnswer,
    TransactionState,
)
from bulrushloom.runtime.loop import (
    Loop,
    Steps,
    set_exception_if_pending,
    set_result_if_pending,
)
from bulrushloom.runtime.streams import LineTooLong, Network, Stream

# Connecting within a region takes 2 ms. A lost SYN packet is retransmitted only after
# 1 s, so a new attempt is faster than waiting for it.
CONNECT_TIMEOUT = timedelta(milliseconds=300)
# A server runs one statement in each of its slots, and accepts a session when a slot is
# free; 24 statements may be queued before it.
SESSION_START_TIMEOUT = timedelta(milliseconds=1000)


class ConnectionLost(Exception):
    """A connection to a target ended or could not be opened.

    ``refused`` is true if the host of the target actively refused the connection,
    because no process listens at the address. ``was_sent`` is false if the statement
    certainly did not reach the target. ``is_at_owner`` is true if the instance was lost
    from which the connection was leased.
    """

    def __init__(
        self,
        reason: str,
        refused: bool = False,
        was_sent: bool = True,
        is_at_owner: bool = False,
    ):
        super().__init__(reason)
        self.refused = refused
        self.was_sent = was_sent
        self.is_at_owner = is_at_owner


class ConnectionRejected(Exception):
    """A target refused the session of a new connection."""

    def __init__(self, failure: Failure):
        super().__init__(f"{failure.code}: {failure.reason}")
        self.failure = failure


class ServerConnection(TargetConnection):
    """Connection of this instance to a target."""

    def __init__(self, loop: Loop, stream: Stream, target: Target, account: str):
        super().__init__(target, account)
        self._loop = loop
        self._stream = stream
        self._rows: list[bytes] = []
        self._signature = b""
        self._failure: Failure | None = None
        self._pending_answers: deque[Future[ServerAnswer]] = deque()
        self.released_at = loop.now()
        self.in_use = True
        self._session_started = False
        self._memory = ConnectionMemory()
        self.on_close: Callable[[ServerConnection], None] | None = None
        stream.on_data(self._on_data)

    @property
    def is_open(self) -> bool:
        """Return whether statements can be sent."""
        return self._stream.is_open

    @property
    def is_reusable(self) -> bool:
        """Return whether another session may use the connection."""
        idle = self.state is TransactionState.IDLE and not self._pending_answers
        return idle and self._stream.is_open and not self._stream.at_eof

    def limit_memory(self, account: MemoryAccount) -> None:
        """Count the connection's buffers, rows and session state in ``account``."""
        self._stream.limit_memory(account)
        self._memory.start(account, lambda: not self.in_use, self.close)

    def count_state(self) -> None:
        """Count the session values and prepared statements anew."""
        self._memory.set_state(self.values, self.prepared_by_name)

    def start(self) -> "Future[ServerAnswer]":
        """Open the session at the server."""
        target = self.target
        return self._send(
            wire.encode_start(target.service, self.account, target.target_id)
        )

    def query(
        self, request_id: bytes, text: bytes, after: LogPosition | None = None
    ) -> "Future[ServerAnswer]":
        """Send one statement; the future may fail with ``ConnectionLost``."""
        return self._send(wire.encode_query(request_id, text, after))

    def _send(self, data: bytes) -> "Future[ServerAnswer]":
        future: Future[ServerAnswer] = Future()
        if not self._stream.is_open:
            future.set_exception(ConnectionLost(self._stream.closed_reason))
            return future
        self._pending_answers.append(future)
        self._stream.write(data)
        return future

    def _on_data(self) -> None:
        try:
            while self._stream.is_open:
                line = self._stream.read_line(wire.MAX_LINE_BYTES)
                if line is None:
                    break
                self._handle_line(line)
        except (LineTooLong, wire.ProtocolError) as error:
            self._stream.close(f"protocol error: {error}")
        if self._stream.at_eof:
            self.close(self._stream.closed_reason or "closed by the target")

    def _handle_line(self, line: bytes) -> None:
        if not self._pending_answers:
            raise wire.ProtocolError("an answer to no statement")
        word, _, rest = line.partition(b" ")
        if word == b"ROW":
            self._rows.append(line + wire.LINE_END)
            if not self._memory.add_row(len(line)):
                raise wire.ProtocolError("the answer is too large for this instance")
        elif word == b"DONE":
            self._signature = rest
        elif word == b"ERR":
            self._failure = wire.decode_failure(rest)
        elif word == b"READY":
            self.state, self.position = wire.decode_ready(rest)
            self._session_started = True
            self._complete_answer()
        else:
            raise wire.ProtocolError(f"unknown message {word[:20]!r}")

    def _complete_answer(self) -> None:
        answer = ServerAnswer(
            tuple(self._rows), self._signature, self._failure, self.state, self.position
        )
        self._rows.clear()
        self._memory.end_answer()
        self._signature = b""
        self._failure = None
        set_result_if_pending(self._pending_answers.popleft(), answer)

    def close(self, reason: str = "closed") -> None:
        """Close the connection; the server rolls back an open transaction."""
        self._stream.close(reason)
        self._rows.clear()
        self.values.clear()
        self.prepared_by_name.clear()
        self._memory.close()
        failure, self._failure = self._failure, None
        while self._pending_answers:
            answer_future = self._pending_answers.popleft()
            if failure is not None and not self._session_started:
                set_exception_if_pending(answer_future, ConnectionRejected(failure))
            else:
                set_exception_if_pending(answer_future, ConnectionLost(reason))
        on_close, self.on_close = self.on_close, None
        if on_close is not None:
            on_close(self)


def open_connection(
    loop: Loop, network: Network, target: Target, account: str
) -> Steps:
    """Connect to a target and start a session there; return a ``ServerConnection``.

    Raise ``ConnectionLost`` or ``ConnectionRejected``.
    """
    try:
        stream = yield network.connect(target.address, CONNECT_TIMEOUT)
    except ConnectionRefusedError as error:
        raise ConnectionLost(str(error), refused=True) from error
    except OSError as error:
        raise ConnectionLost(str(error)) from error
    connection = ServerConnection(loop, stream, target, account)
    try:
        yield loop.wait_for(connection.start(), SESSION_START_TIMEOUT)
    except TimeoutError as error:
        connection.close("no answer to the start")
        raise ConnectionLost("no answer to the start") from error
    return connection


class ConnectionPool:
    """Pool of the connections of this instance to all targets.

    ``connection_quota`` returns the limit of connections to a target.
    """

    def __init__(
        self, loop: Loop, network: Network, connection_quota: Callable[[Target], int]
    ):
        self._loop = loop
        self._network = network
        self._connection_quota = connection_quota
        self._connections_by_target: dict[str, list[ServerConnection]] = {}
        self._opening_by_target: dict[str, int] = {}
        self._waiters_by_target: dict[str, list[tuple[int, int, Future[None]]]] = {}
        self._order = itertools.count()
        self.opened = 0
        self.memory: MemoryBudget | None = None

    def in_flight(self, target_id: str) -> int:
        """Return the number of connections to a target in use or being opened."""
        used = sum(c.in_use for c in self._connections_by_target.get(target_id, ()))
        return used + self._opening_by_target.get(target_id, 0)

    def opening(self, target_id: str) -> int:
        """Return the number of connections to a target that are being opened."""
        return self._opening_by_target.get(target_id, 0)

    def has_idle(self, target_id: str, account: str) -> bool:
        """Return whether an idle connection for the account exists."""
        return any(
            not c.in_use and c.account == account
            for c in self._connections_by_target.get(target_id, ())
        )

    def size_of(self, target_id: str) -> int:
        """Return the number of open connections to a target."""
        return len(self._connections_by_target.get(target_id, ()))

    def size(self) -> int:
        """Return the number of open connections."""
        return sum(
            len(connections) for connections in self._connections_by_target.values()
        )

    def acquire(
        self,
        target: Target,
        account: str,
        values: Mapping[bytes, bytes],
        priority: int,
        timeout: timedelta,
    ) -> Steps:
        """Return a connection for the account; wait at most ``timeout`` for a free one.

        Prefers an idle connection that already has the session values ``values``.
        Waiters with a lower ``priority`` number are served first.

        Raise ``TimeoutError`` if none became free, or what ``open_connection`` raises.
        """
        deadline = self._loop.now() + timeout
        while True:
            connection = self.acquire_idle(target.target_id, account, values)
            if connection is not None:
                return connection
            if self._ensure_capacity(target):
                return (yield from self._open(target, account))
            yield from self._wait_for_release(target.target_id, priority, deadline)

    def acquire_idle(
        self, target_id: str, account: str, values: Mapping[bytes, bytes]
    ) -> ServerConnection | None:
        """Return an idle connection for the account, if there is one."""
        idle = [
            connection
            for connection in self._connections_by_target.get(target_id, ())
            if not connection.in_use and connection.account == account
        ]
        if not idle:
            return None
        with_same_values = [
            connection for connection in idle if connection.values == values
        ]
        connection = max(with_same_values or idle, key=lambda c: c.released_at)
        connection.in_use = True
        return connection

    def _ensure_capacity(self, target: Target) -> bool:
        """Return whether a connection may be opened; close an idle one if needed."""
        connections = self._connections_by_target.get(target.target_id, [])
        open_count = len(connections) + self._opening_by_target.get(target.target_id, 0)
        if open_count < self._connection_quota(target):
            return True
        idle = [connection for connection in connections if not connection.in_use]
        if not idle:
            return False
        min(idle, key=lambda c: c.released_at).close("another account needs it")
        return True

    def _open(self, target: Target, account: str) -> Steps:
        target_id = target.target_id
        opening = self._opening_by_target
        opening[target_id] = opening.get(target_id, 0) + 1
        self.opened += 1
        try:
            connection = yield from open_connection(
                self._loop, self._network, target, account
            )
        finally:
            opening[target_id] -= 1
            self._wake_waiter(target_id)
        connection.on_close = self._remove
        if self.memory is not None:
            connection.limit_memory(self.memory.open_account(AccountKind.TARGET))
        self._connections_by_target.setdefault(target_id, []).append(connection)
        return connection

    def _wait_for_release(
        self, target_id: str, priority: int, deadline: timedelta
    ) -> Steps:
        released: Future[None] = Future()
        waiters = self._waiters_by_target.setdefault(target_id, [])
        entry = (priority, next(self._order), released)
        waiters.append(entry)
        waiters.sort(key=lambda waiter: waiter[:2])
        try:
            yield self._loop.wait_for(released, deadline - self._loop.now())
        except TimeoutError:
            if released.done():
                # Released in the same moment: the next waiter gets the connection.
                self._wake_waiter(target_id)
            raise
        finally:
            if entry in waiters:
                waiters.remove(entry)

    def release(self, connection: ServerConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        if not connection.is_reusable:
            connection.close("not reusable")
            return
        connection.in_use = False
        connection.released_at = self._loop.now()
        connection.count_state()
        self._wake_waiter(connection.target.target_id)

    def _remove(self, connection: ServerConnection) -> None:
        connections = self._connections_by_target.get(connection.target.target_id, [])
        if connection in connections:
            connections.remove(connection)
        self._wake_waiter(connection.target.target_id)

    def _wake_waiter(self, target_id: str) -> None:
        waiters = self._waiters_by_target.get(target_id)
        while waiters:
            released = waiters.pop(0)[2]
            if not released.done():
                set_result_if_pending(released, None)
                return

    def close_excess_idle(self, target_id: str, allowed: int) -> None:
        """Close idle connections to a target while more than ``allowed`` are open."""
        connections = self._connections_by_target.get(target_id, [])
        idle = sorted(
            (c for c in connections if not c.in_use), key=lambda c: c.released_at
        )
        for connection in idle[: max(0, len(connections) - allowed)]:
            connection.close("the target has too many connections")

    def close_idle_connections(
        self, target_id: str, reason: str, idle_since: timedelta = timedelta.max
    ) -> None:
        """Close connections to a target that have been idle since ``idle_since``."""
        for connection in list(self._connections_by_target.get(target_id, ())):
            if not connection.in_use and connection.released_at <= idle_since:
                connection.close(reason)

    def target_ids(self) -> list[str]:
        """Return the ids of the targets with open connections."""
        return [
            key
            for key, connections in self._connections_by_target.items()
            if connections
        ]

    def close(self) -> None:
        """Close all connections."""
        for connections in list(self._connections_by_target.values()):
            for connection in list(connections):
                connection.close("the instance stops")
