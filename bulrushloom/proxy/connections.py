"""Connections to targets, and a pool that keeps their number within a quota."""

from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from datetime import timedelta

from bulrushloom.platform import wire
from bulrushloom.proxy.base import TargetConnection
from bulrushloom.proxy.clients.connection_memory import ConnectionMemory
from bulrushloom.proxy.clients.memory_budget import (
    MemoryAccount,
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
