"""Leases of connections at their owner."""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Mapping, Sequence
from concurrent.futures import Future
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from bulrushloom.platform import wire
from bulrushloom.proxy.base import RefusalKind
from bulrushloom.proxy.connections import ServerConnection
from bulrushloom.proxy.messages import (
    NO_POSITION,
    AnswerCode,
    Failure,
    LogPosition,
    PreparedStatement,
    ServerAnswer,
)
from bulrushloom.proxy.scheduling.base import WorkOutcome

if TYPE_CHECKING:
    from bulrushloom.proxy.sharing.owner import OwnedTarget

# A place without a running statement is given back after this time. The first statement
# follows a grant within a round trip, and a few more if session values are set.
PLACE_IDLE_LIMIT = timedelta(milliseconds=50)
# Holders of leases with a longer statement are told that the owner still runs.
LONG_STATEMENT = timedelta(milliseconds=100)
# Statements of one lease that wait or run at the same time; setting session values is
# pipelined.
MAX_STATEMENTS = 4_000
# Sessions with more values use direct connections.
MAX_VALUES = 1_000
MAX_STATE_BYTES = 64 * 1024
UNKNOWN_NAME = b""


def is_state_small(
    values: Mapping[bytes, bytes], prepared: Sequence[bytes] = ()
) -> bool:
    """Return whether session values and prepared names fit in a message."""
    if len(values) > MAX_VALUES or len(prepared) > MAX_VALUES:
        return False
    size = sum(map(len, values)) + sum(map(len, values.values()))
    return size + sum(map(len, prepared)) <= MAX_STATE_BYTES


class LeaseOrder(NamedTuple):
    """What a lease is needed for.

    A statement that starts after ``in_time_until`` misses its latency objective. The
    lease is useless after ``start_deadline``.
    """

    target_id: str
    account: str
    values: Mapping[bytes, bytes]
    priority: int
    in_time_until: timedelta
    start_deadline: timedelta


class LeaseRefusal(NamedTuple):
    """Refusal of a lease, with the time after which a new request may succeed."""

    kind: RefusalKind
    reason: str
    retry_after: timedelta


class LeaseHolder(ABC):
    """Receiver of what happens to a lease."""

    @abstractmethod
    def on_granted(self, lease: "Lease", connection: ServerConnection) -> None:
        """Use the connection that was leased."""

    @abstractmethod
    def on_refused(self, lease: "Lease", refusal: LeaseRefusal) -> None:
        """Handle the refusal of a lease, which has ended."""

    @abstractmethod
    def on_answer(self, lease: "Lease", answer: ServerAnswer) -> None:
        """Handle the answer to the oldest statement without one."""

    @abstractmethod
    def on_lost(self, lease: "Lease", reason: str, was_sent: bool) -> None:
        """Handle the loss of the connection; the lease has ended.

        ``was_sent`` is false if the statements without an answer did not reach the
        target.
        """


class FinalState(NamedTuple):
    """What a connection has when its lease ends, ``None`` where it has not changed."""

    values: Mapping[bytes, bytes] | None
    prepared: Sequence[bytes] | None


class _Query(NamedTuple):
    request_id: bytes
    text: bytes
    after: LogPosition | None

    @property
    def needs_place(self) -> bool:
        """Return whether the target runs the statement in a slot."""
        return self.request_id != wire.PROXY_REQUEST_ID


class Lease:
    """Lease of one connection, from the request to the release.

    ``number`` identifies it for its holder. ``place`` is the id of the admitted request
    while the lease has a place at the target, and ``waiting`` that of a request which
    waits for one.

    A place is held from the grant to the answer of the first statement that runs in a
    slot of the target. Each further statement of a transaction asks for a place of its
    own, so that a transaction that pauses occupies a connection but no place.
    """

    __slots__ = (
        "_has_sent",
        "_in_flight",
        "_is_opening",
        "_owned",
        "_set_state",
        "_unsent",
        "connection",
        "final_state",
        "has_ended",
        "holder",
        "idle_since",
        "number",
        "order",
        "place",
        "waiting",
    )

    def __init__(
        self, owned: "OwnedTarget", order: LeaseOrder, holder: LeaseHolder, number: int
    ):
        self._owned = owned
        self.order = order
        self.holder = holder
        self.number = number
        self.connection: ServerConnection | None = None
        self.place: int | None = None
        self.waiting: int | None = None
        self.has_ended = False
        self.final_state: FinalState | None = None
        self.idle_since = timedelta()
        self._unsent: deque[_Query] = deque()
        self._in_flight = 0
        self._is_opening = False
        self._has_sent = False
        self._set_state = False

    # Grant

    def take_place(self, place: int) -> None:
        """Use the place that the scheduler admitted the lease to."""
        self.place, self.waiting = place, None
        if self.connection is None:
            self._is_opening = True
            self._owned.provide_connection(self)
        else:
            self._send_unsent()

    def grant(self, connection: ServerConnection, now: timedelta) -> None:
        """Give the connection to the holder."""
        self._is_opening = False
        self.connection = connection
        self.idle_since = now
        self.holder.on_granted(self, connection)

    def leave_place(self) -> None:
        """Give back the place, because there is no connection for it yet."""
        self._is_opening = False
        self.free_place(WorkOutcome.UNUSED)

    def fail_to_open(
        self, refusal: LeaseRefusal, outcome: WorkOutcome = WorkOutcome.FAILED
    ) -> None:
        """End the lease because there is no connection for it."""
        self._is_opening = False
        self.free_place(outcome)
        if not self.has_ended:
            self._end()
            self.holder.on_refused(self, refusal)

    def refuse(self, refusal: LeaseRefusal) -> None:
        """Refuse the lease, or the statement that waits for a place."""
        self.waiting = None
        if self.connection is None:
            self._end()
            self.holder.on_refused(self, refusal)
            return
        self._unsent.popleft()
        failure = Failure(AnswerCode.NOT_RUN, refusal.reason, refusal.retry_after)
        # The last position of the connection may be old, and a position in an answer
        # counts as that of the target when the statement was sent.
        state = self.connection.state
        answer = ServerAnswer((), b"", failure, state, NO_POSITION)
        self.holder.on_answer(self, answer)
        self._send_unsent()
        self._release_if_final()

    # Statements

    def query(
        self,
        request_id: bytes,
        text: bytes,
        after: LogPosition | None,
        final_state: FinalState | None = None,
    ) -> bool:
        """Send a statement; return false if too many have no answer yet.

        With ``final_state``, the lease ends with the answer.
        """
        if self.has_ended:
            return True
        if self.final_state is not None:
            return False
        if self.connection is None or len(self._unsent) + self._in_flight >= (
            MAX_STATEMENTS
        ):
            return False
        self.final_state = final_state
        self._unsent.append(_Query(request_id, text, after))
        if self.waiting is None:
            self._send_unsent()
        return True

    def _send_unsent(self) -> None:
        while self._unsent and not self.has_ended:
            if self._unsent[0].needs_place and self.place is None:
                self._owned.submit_statement(self)
                return
            self._forward(self._unsent.popleft())

    def _forward(self, query: _Query) -> None:
        connection = self.connection
        assert connection is not None
        if not connection.is_open:
            self._lose("the connection to the target was closed", self._in_flight > 0)
            return
        self._in_flight += 1
        self._has_sent = True
        self._set_state = self._set_state or not query.needs_place
        if query.needs_place and self.place is not None:
            self._owned.record_sent(self.place)
        sent_at = self._owned.now()
        future = connection.query(query.request_id, query.text, query.after)
        future.add_done_callback(
            lambda done: self._on_done(done, query.needs_place, sent_at)
        )

    def _on_done(
        self, done: "Future[ServerAnswer]", had_place: bool, sent_at: timedelta
    ) -> None:
        self._in_flight -= 1
        if self.has_ended:
            return
        error = done.exception()
        if error is not None:
            self._lose(str(error), True)
            return
        answer = done.result()
        now = self.idle_since = self._owned.now()
        self.holder.on_answer(self, answer)
        if had_place:
            is_busy = answer.failure is not None and (
                answer.failure.code is AnswerCode.NOT_RUN
            )
            outcome = WorkOutcome.BUSY if is_busy else WorkOutcome.SERVED
            self.free_place(outcome, now - sent_at)
        self._release_if_final()

    def _release_if_final(self) -> None:
        """End the lease after the answer to its last statement."""
        state = self.final_state
        if state is not None and not (self._in_flight or self._unsent):
            self.release(state.values, state.prepared)

    # End

    def release(
        self,
        values: Mapping[bytes, bytes] | None = None,
        prepared: Sequence[bytes] | None = None,
    ) -> None:
        """End the lease; the connection is reused if it can be.

        ``values`` and ``prepared`` are what it has if they have changed.
        """
        if self.has_ended or self.connection is None:
            self.close("released early")
        elif self._in_flight or self._unsent:
            self._discard("released with a statement without an answer")
        elif not is_state_small(values or self.connection.values, prepared or ()):
            self._discard("the session has too many values to share the connection")
        else:
            self._give_back(self.connection, values, prepared)

    def _give_back(
        self,
        connection: ServerConnection,
        values: Mapping[bytes, bytes] | None = None,
        prepared: Sequence[bytes] | None = None,
    ) -> None:
        if values is not None:
            connection.values = dict(values)
        if prepared is not None:
            unknown = PreparedStatement(False, b"")
            connection.prepared_by_name = dict.fromkeys(prepared, unknown)
        self._end()
        self._owned.release(connection)
        self.free_place(WorkOutcome.UNUSED)

    def close(self, reason: str) -> None:
        """End the lease; close the connection unless nothing was sent on it."""
        if self.has_ended:
            return
        if self.connection is not None and not self._has_sent:
            self._give_back(self.connection)
        else:
            # The holder closes a lease whose statement was not answered in time.
            is_running = self._in_flight > 0
            self._discard(
                reason, WorkOutcome.FAILED if is_running else WorkOutcome.UNUSED
            )

    def _discard(self, reason: str, outcome: WorkOutcome = WorkOutcome.UNUSED) -> None:
        """End the lease and close its connection."""
        self._end()
        if self.connection is not None:
            self.connection.close(reason)
        if not self._is_opening:
            self.free_place(outcome)

    def abandon(self, reason: str) -> None:
        """End the lease because its holder is gone.

        The connection is reused if it is idle. What its holder has set is unknown, so
        the next one resets it.
        """
        connection = self.connection
        if self.has_ended:
            return
        is_idle = not self._in_flight and not self._unsent
        if connection is None or not is_idle or not connection.is_reusable:
            self._discard(reason)
            return
        values = {UNKNOWN_NAME: b""} if self._set_state else None
        self._give_back(connection, values)

    def _lose(self, reason: str, was_sent: bool) -> None:
        connection = self.connection
        self._end()
        if connection is not None:
            connection.close(reason)
        self.holder.on_lost(self, reason, was_sent)
        self.free_place(WorkOutcome.FAILED)

    def _end(self) -> None:
        self.has_ended = True
        self._unsent.clear()
        self._owned.forget(self)

    def free_place(
        self, outcome: WorkOutcome, duration: timedelta | None = None
    ) -> None:
        """Give back the place at the target, if the lease has one."""
        place, self.place = self.place, None
        if place is not None:
            self._owned.finish(place, outcome, duration)

    # Limits

    def needs_pulse(self, now: timedelta) -> bool:
        """Return whether the holder has been waiting for long."""
        if self.connection is None or self._unsent:
            return True
        return self._in_flight > 0 and now - self.idle_since > LONG_STATEMENT

    def check(self, now: timedelta, idle_limit: timedelta) -> None:
        """Give back an unused place, and end a lease that its holder does not use."""
        if self.connection is None or self._in_flight or self._unsent:
            return
        if now - self.idle_since > idle_limit:
            self.close("the lease was not used for long")
            self.holder.on_lost(self, "the lease was not used for long", False)
        elif self.place is not None and now - self.idle_since > PLACE_IDLE_LIMIT:
            self.free_place(WorkOutcome.UNUSED)
