"""Simulated callers, which open sessions and send random statements."""

import random
from collections.abc import Callable, Sequence
from concurrent.futures import Future
from datetime import timedelta
from typing import TYPE_CHECKING

from bulrushloom.runtime.loop import Steps
from bulrushloom.runtime.streams import Stream, TcpNetwork
from soak.denials import check_denial
from soak.operators import CallerAccount
from standins.platform.host import Daemon
from standins.platform.promises import CallerRecord

if TYPE_CHECKING:
    from soak.world import World

CONNECT_TIMEOUT = timedelta(seconds=2)
ANSWER_TIMEOUT = timedelta(seconds=8)
MAX_LINE_BYTES = 1 << 20
MAX_OPERATIONS = 60
THINK_TIME_S = 0.08
MAX_RETRY_DELAY = timedelta(milliseconds=250)
# Probability that a session ends with invalid or incomplete input.
MISBEHAVIOR_PROBABILITY = 0.08


# A function that sends a statement; its second argument is the text of the prepared
# statement that an EXEC runs.
StatementSender = Callable[..., Steps]


class NoAnswer(Exception):
    """The session was closed or timed out before an answer was complete.

    ``lines`` are those that arrived.
    """

    def __init__(self, message: str, lines: Sequence[str] = ()):
        super().__init__(message)
        self.lines = lines


class SessionClient:
    """A client of the session protocol on one connection."""

    def __init__(self, world: "World", stream: Stream):
        self._loop = world.loop
        self.stream = stream
        self._lines: list[str] = []
        self._answer_future: Future[list[str]] | None = None
        stream.on_data(self._on_data)

    def request(self, line: str) -> Steps:
        """Send a line; return the lines of its answer or raise ``NoAnswer``."""
        self._lines = []
        self._answer_future = Future()
        self.stream.write(line.encode() + b"\r\n")
        self._on_data()
        try:
            lines: list[str] = yield self._loop.wait_for(
                self._answer_future, ANSWER_TIMEOUT
            )
        except TimeoutError as error:
            raise NoAnswer(f"no answer to {line!r}") from error
        if not lines or not lines[-1].startswith("READY"):
            raise NoAnswer(f"{line!r} was answered with {lines}", lines)
        return lines

    def _on_data(self) -> None:
        answer_future = self._answer_future
        if answer_future is None or answer_future.done():
            return
        while (line := self.stream.read_line(MAX_LINE_BYTES)) is not None:
            self._lines.append(line.decode())
            if self._lines[-1].startswith("READY"):
                answer_future.set_result(self._lines)
                return
        if self.stream.at_eof:
            answer_future.set_result(self._lines)


class Caller:
    """A caller that opens one session after another at random instances.

    With ``daemon``, it uses this instance only.
    """

    def __init__(
        self,
        world: "World",
        name: str,
        account: CallerAccount,
        think_time_s: float,
        daemon: Daemon | None = None,
    ):
        self._daemon = daemon
        self._has_stopped = False
        self._world = world
        self._loop = world.loop
        self._name = name
        self._account = account
        self._think_time_s = think_time_s
        self._random = random.Random(f"{world.seed}/{name}")
        self._session_count = 0
        self.served = 0
        self.failed = 0

    def run(self) -> Steps:
        """Open sessions until the caller is stopped or the run is over."""
        while not self._is_done():
            daemon = self._daemon or self._random.choice(self._world.daemons)
            try:
                yield from self._session(daemon)
            except (NoAnswer, OSError):
                self.failed += 1
            yield self._loop.sleep(MAX_RETRY_DELAY * self._random.random())

    def stop(self) -> None:
        """Stop after the current operation."""
        self._has_stopped = True

    def _is_done(self) -> bool:
        return self._has_stopped or self._world.is_over

    def _session(self, daemon: Daemon) -> Steps:
        self._session_count += 1
        account = self._account
        key = self._random.choice(account.keys)
        database = self._random.choice(account.databases)
        name = f"{self._name}s{self._session_count}"
        record = CallerRecord(name, account.name, key, database)
        stream = yield TcpNetwork(self._loop).connect(
            daemon.addresses["session_address"], CONNECT_TIMEOUT
        )
        try:
            client = SessionClient(self._world, stream)
            yield from self._start(client, record)
            for _ in range(self._random.randint(1, MAX_OPERATIONS)):
                if self._is_done():
                    return
                yield from self._operation(daemon, client, record)
                pause = self._random.expovariate(1 / self._think_time_s)
                yield self._loop.sleep(timedelta(seconds=pause))
            if self._random.random() < MISBEHAVIOR_PROBABILITY:
                yield from self._misbehave(client)
        finally:
            stream.close("caller disconnected")

    def _start(self, client: SessionClient, record: CallerRecord) -> Steps:
        sent_at = self._loop.now()
        try:
            yield from client.request(f"START {record.database} {record.key}")
        except NoAnswer as error:
            self._check_denial(record, error.lines, sent_at)
            raise

    def _check_denial(
        self, record: CallerRecord, lines: Sequence[str], sent_at: timedelta
    ) -> None:
        configurations = self._world.operator.configurations
        now = self._loop.now()
        self._world.report_violations(
            check_denial(configurations, record, lines, sent_at, now)
        )

    def _operation(
        self, daemon: Daemon, client: SessionClient, record: CallerRecord
    ) -> Steps:
        kind = self._random.choices(
            ("read", "write", "value", "prepare", "execute", "transaction"),
            (50, 15, 5, 5, 10, 15),
        )[0]
        send_statement = self._statement_sender(daemon, client, record)
        item = self._random.randint(1, 9)
        if kind == "read":
            yield from send_statement(f"READ {item}")
        elif kind == "write":
            yield from send_statement(f"WRITE {item} data")
        elif kind == "value":
            yield from send_statement(f"SET zone {self._random.choice('xyz')}")
        elif kind == "prepare" and "s" not in record.shapes:
            mode = self._random.choice(("READ", "WRITE"))
            record.shapes["s"] = (mode, f"shape-{record.name}-{mode}")
            yield from send_statement(f"PREPARE s {mode} {record.shapes['s'][1]}")
        elif kind == "execute" and "s" in record.shapes:
            yield from send_statement(f"EXEC s {item} data", record.shapes["s"][1])
        elif kind == "transaction":
            yield from self._transaction(send_statement, record)

    def _transaction(
        self, send_statement: StatementSender, record: CallerRecord
    ) -> Steps:
        is_read_only = self._random.random() < 0.3
        yield from send_statement("BEGIN READ" if is_read_only else "BEGIN")
        for _ in range(self._random.randint(0, 4)):
            if record.in_transaction is None:
                return
            writes = not is_read_only and self._random.random() < 0.4
            yield from send_statement("WRITE 1 data" if writes else "READ 1")
            pause = self._random.expovariate(1 / self._think_time_s)
            yield self._loop.sleep(timedelta(seconds=pause))
        if record.in_transaction is not None:
            yield from send_statement(
                "COMMIT" if self._random.random() < 0.8 else "ROLLBACK"
            )

    def _statement_sender(
        self, daemon: Daemon, client: SessionClient, record: CallerRecord
    ) -> StatementSender:
        world = self._world

        def send_statement(text: str, shape: str = "") -> Steps:
            history = world.history
            sent_at = self._loop.now()
            request_id = history.send(record, text, sent_at, shape)
            try:
                lines = yield from client.request(f"QUERY {request_id} {text}")
            except NoAnswer:
                world.record_unanswered(daemon, request_id)
                raise
            world.report_violations(history.answer(request_id, lines, self._loop.now()))
            self._check_denial(record, lines, sent_at)
            if lines[-2].startswith("ERR"):
                self.failed += 1
            else:
                self.served += 1

        return send_statement

    def _misbehave(self, client: SessionClient) -> Steps:
        client.stream.write(
            self._random.choice(
                (
                    b"QUERY half a line",
                    b"\x00\xff\r\n" * 3,
                    b"QUERY x\r\n",
                    b"START\r\n",
                    b"QUERY x WRITE 1 a\nQUERY y WRITE 2 b\r\n",
                    b"QUERY x WRITE 1 a\rQUERY y WRITE 2 b\r\n",
                )
            )
        )
        yield self._loop.sleep(MAX_RETRY_DELAY)
