"""In-memory database servers for the calls of real target executors."""

import itertools
from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple

from bulrushloom.coordination.sessions.base import ORIGIN, LogPosition
from bulrushloom.databases.base import (
    DatabaseClient,
    IdempotencyRecord,
    Role,
    ServerStatus,
    StatementCall,
    StatementResult,
)
from bulrushloom.databases.exceptions import (
    AnswerLost,
    RefusalReason,
    ServerUnreachable,
    StatementRefused,
)
from standins.simulated_server import SimulatedServer

READ = "SELECT marker FROM writes"
WRITE = "INSERT INTO writes VALUES (?)"


class Write(NamedTuple):
    """A row and the idempotency record that was committed with it."""

    marker: str
    record: IdempotencyRecord | None


class Run(NamedTuple):
    """A statement that a server has run; ``node`` is the owner's incarnation."""

    at: timedelta
    server: str
    node: str
    marker: str
    account: str
    transaction: str
    read_only: bool


class Connection:
    """One connection; ``writes`` is ``None`` outside a transaction."""

    def __init__(self) -> None:
        self.writes: list[Write] | None = None
        self.lost = False
        # Label of the transaction, chosen by its caller.
        self.label = ""


class MemoryServer(SimulatedServer):
    """Add data, transactions and idempotency records to a replicated log.

    The parameters of a statement are ``[marker, account, transaction label]``. The
    log is the data: a read returns the markers of all applied entries.
    """

    def __init__(self, name: str, domain: str, address: str, runs: list[Run]):
        self.domain = domain
        self.address = address
        self.runs = runs
        self.lag = timedelta()
        self._numbers = itertools.count()
        super().__init__(name)

    def restart(self) -> None:
        super().restart()
        self.connections: dict[str, Connection] = {}
        self.applied_length = len(self.log)
        self.synced_at: timedelta | None = None

    def start(self) -> None:
        """Start again after a crash; the term and the log are kept."""
        if not self.is_up:
            self.restart()

    @property
    def is_primary(self) -> bool:
        return self.is_up and self.role is Role.PRIMARY

    @property
    def applied(self) -> LogPosition:
        if self.role is Role.PRIMARY:
            return self.held
        length = min(self.applied_length, len(self.log))
        return LogPosition(self.log[length - 1].term, length) if length else ORIGIN

    def age(self, now: timedelta) -> timedelta | None:
        if self.role is Role.PRIMARY:
            return timedelta()
        return None if self.synced_at is None else now - self.synced_at

    def status(self, now: timedelta) -> ServerStatus:
        status = super().status(now)
        return status._replace(applied_position=self.applied, age=self.age(now))

    def raise_term(self, term: int, candidate: str) -> None:
        if term > self.term:
            self.synced_at = None
            for connection in self.connections.values():
                connection.lost = connection.lost or connection.writes is not None
        super().raise_term(term, candidate)

    def copy_from(self, primary: SimulatedServer, count: int, now: timedelta) -> None:
        super().copy_from(primary, count, now)
        # Applied entries may lag behind stored entries by one round.
        self.applied_length = len(self.log)
        if len(self.log) == len(primary.log):
            self.synced_at = now

    def markers(self) -> list[str]:
        length = self.applied.offset
        return [write.marker for entry in self.log[:length] for write in entry.payload]

    # Calls

    def connect(self) -> str:
        name = f"{self.name}.{next(self._numbers)}"
        self.connections[name] = Connection()
        return name

    def disconnect(self, name: str) -> None:
        self.connections.pop(name, None)

    def execute(
        self, name: str, work: StatementCall, node: str, now: timedelta
    ) -> StatementResult:
        connection = self._connection(name)
        self._require_term(work.term)
        marker, account, label = work.params
        assert label == connection.label, (
            f"invariant 3: statement of {label!r} on the connection of "
            f"{connection.label!r}"
        )
        if work.read_only:
            self._require_data(work, now)
        run = Run(now, self.name, node, marker, account, label, work.read_only)
        if work.sql == READ:
            self.runs.append(run)
            rows = [[marker], *([row] for row in self.markers())]
            return StatementResult(["marker"], rows, len(rows), self.applied)
        if self.role is not Role.PRIMARY:
            raise StatementRefused(RefusalReason.NOT_PRIMARY, "not the primary")
        if connection.writes is not None:
            connection.writes.append(Write(marker, None))
            return self._written(marker, self.held)
        return self._write(work, run)

    def begin(self, name: str, term: int) -> None:
        connection = self._connection(name)
        self._require_term(term)
        if self.role is not Role.PRIMARY:
            raise StatementRefused(RefusalReason.NOT_PRIMARY, "not the primary")
        assert connection.writes is None, "invariant 3: transaction inside another"
        connection.writes = []

    def commit(self, name: str, term: int, node: str, now: timedelta) -> LogPosition:
        connection = self._connection(name)
        self._require_term(term)
        writes, label = connection.writes, connection.label
        if writes is None or self.role is not Role.PRIMARY:
            raise StatementRefused(RefusalReason.NO_TRANSACTION, "no transaction")
        connection.writes, connection.label = None, ""
        for write in writes:
            run = Run(now, self.name, node, write.marker, "", label, False)
            self.runs.append(run)
        return self._append(writes)

    def rollback(self, name: str) -> None:
        connection = self._connection(name)
        connection.writes, connection.label = None, ""

    # Helpers

    def _connection(self, name: str) -> Connection:
        connection = self.connections.get(name)
        if connection is None:
            raise StatementRefused(RefusalReason.NO_CONNECTION, "not connected")
        if connection.lost:
            raise StatementRefused(RefusalReason.NO_TRANSACTION, "rolled back")
        return connection

    def _require_term(self, term: int) -> None:
        if term != self.term:
            message = f"term is {self.term}, not {term}"
            raise StatementRefused(RefusalReason.WRONG_TERM, message)

    def _require_data(self, work: StatementCall, now: timedelta) -> None:
        if self.applied < work.min_position:
            raise StatementRefused(RefusalReason.NOT_CAUGHT_UP, "behind")
        age = self.age(now)
        if work.max_age is not None and (age is None or age > work.max_age):
            raise StatementRefused(RefusalReason.TOO_OLD, "too old")

    def _write(self, work: StatementCall, run: Run) -> StatementResult:
        record = work.idempotency
        if record is not None:
            assert record.account == run.account, (
                f"invariant 4: request of {run.account} ran for {record.account}"
            )
            found = self._recorded(record)
            if found is not None:
                return found
        self.runs.append(run)
        position = self._append([Write(run.marker, record)])
        return self._written(run.marker, position)

    def _recorded(self, record: IdempotencyRecord) -> StatementResult | None:
        for index, entry in enumerate(self.log, 1):
            for write in entry.payload:
                known = write.record
                if known is None or known[:2] != record[:2]:
                    continue
                if known != record:
                    reason = RefusalReason.IDEMPOTENCY_CONFLICT
                    raise StatementRefused(reason, "another request")
                position = LogPosition(entry.term, index)
                return self._written(write.marker, position)
        return None

    def _append(self, writes: list[Write]) -> LogPosition:
        self.log.append(LogItem(self.term, tuple(writes)))
        return self.held

    def _written(self, marker: str, position: LogPosition) -> StatementResult:
        return StatementResult(["marker"], [[marker]], 1, position)


class LogItem(NamedTuple):
    """Log entry; the first one of a term has an empty payload."""

    term: int
    payload: Any


class Exchange(NamedTuple):
    """Network faults of one call to a server."""

    arrives: bool = True
    answered: bool = True
    refused: bool = False
    # Delay after which the call arrives although the caller no longer waits for it.
    late: timedelta | None = None


class MemoryClient(DatabaseClient):
    """Call one server from one instance, through a network that may fail."""

    def __init__(
        self,
        server: MemoryServer,
        servers: dict[str, MemoryServer],
        node: str,
        exchange: Callable[[MemoryServer], Exchange],
        schedule: Callable[[timedelta, Callable[[], Any]], None],
        clock: Callable[[], timedelta],
    ):
        self._server = server
        self._server_by_address = {one.address: one for one in servers.values()}
        self._node = node
        self._exchange = exchange
        self._schedule = schedule
        self._clock = clock
        self._opened: list[str] = []

    def _call(self, action: Callable[[], Any]) -> Any:
        outcome = self._exchange(self._server)
        if outcome.refused:
            raise ServerUnreachable(f"{self._server.name} refused the connection")
        if outcome.late is not None:
            self._schedule(outcome.late, lambda: self._run_late(action))
        result = action() if outcome.arrives else None
        if not outcome.arrives or not outcome.answered:
            raise AnswerLost(f"no answer from {self._server.name}")
        return result

    def _run_late(self, action: Callable[[], Any]) -> None:
        if not self._server.is_up:
            return
        try:
            action()
        except StatementRefused:
            return

    def drop_connections(self) -> None:
        """Close all connections, as when the process ends."""
        for connection in self._opened:
            self._server.disconnect(connection)

    def connect(self) -> str:
        connection: str = self._call(self._server.connect)
        self._opened.append(connection)
        return connection

    def disconnect(self, connection: str) -> None:
        try:
            self._call(lambda: self._server.disconnect(connection))
        except (AnswerLost, ServerUnreachable):
            return

    def execute(self, connection: str, work: StatementCall) -> StatementResult:
        def run() -> StatementResult:
            known = self._server.connections.get(connection)
            if known is not None and known.writes is not None and not known.label:
                # The first statement of a transaction determines its label.
                known.label = work.params[2]
            return self._server.execute(connection, work, self._node, self._clock())

        return self._call(run)

    def begin(self, connection: str, term: int) -> None:
        self._call(lambda: self._server.begin(connection, term))

    def commit(self, connection: str, term: int) -> LogPosition:
        return self._call(
            lambda: self._server.commit(connection, term, self._node, self._clock())
        )

    def rollback(self, connection: str) -> None:
        self._call(lambda: self._server.rollback(connection))

    def status(
        self, position: LogPosition | None = None, wait: timedelta = timedelta()
    ) -> ServerStatus:
        return self._call(lambda: self._server.status(self._clock()))

    def fence(self, term: int, candidate: str) -> ServerStatus:
        def run() -> ServerStatus:
            if not self._server.fence(term, candidate):
                raise StatementRefused(RefusalReason.TERM_TAKEN, "term is taken")
            return self._server.status(self._clock())

        return self._call(run)

    def promote(self, term: int, candidate: str) -> ServerStatus:
        def run() -> ServerStatus:
            if not self._server.promote(term, candidate):
                raise StatementRefused(RefusalReason.WRONG_TERM, "not granted")
            return self._server.status(self._clock())

        return self._call(run)

    def follow(self, term: int, primary: str) -> ServerStatus:
        def run() -> ServerStatus:
            source = self._server_by_address.get(primary)
            if source is None or not self._server.follow(term, source.name):
                raise StatementRefused(RefusalReason.WRONG_TERM, "not followed")
            return self._server.status(self._clock())

        return self._call(run)

    def close(self) -> None:
        return
