"""Callers of the soak: sessions that last, ask, pause, leave and come back."""

import random
from collections.abc import Callable
from concurrent.futures import Future
from datetime import timedelta
from typing import TYPE_CHECKING

from bulrushloom.runtime.loop import Steps
from bulrushloom.runtime.streams import Stream, TcpNetwork
from standins.platform.host import Daemon
from standins.platform.promises import CallerRecord

if TYPE_CHECKING:
    from soak.world import World

CONNECT_LIMIT = timedelta(seconds=2)
ANSWER_LIMIT = timedelta(seconds=8)
MAX_LINE = 1 << 20
MAX_OPERATIONS = 60
THINK_S = 0.08
RETRY_PAUSE = timedelta(milliseconds=250)
DATABASES = ("strict", "bounded", "own")
# Part of the sessions that misbehave: half a line, no reading, leaving midway.
RUDE_SHARE = 0.08


# Sends one statement of a session, with the shape that its prepared name stands for.
Asker = Callable[..., Steps]


class NoAnswer(Exception):
    """The session ended, or fell silent, before an answer was complete."""


class Conversation:
    """Send lines on one connection and wait for complete answers."""

    def __init__(self, world: "World", stream: Stream):
        self._loop = world.loop
        self.stream = stream
        self._lines: list[str] = []
        self._waiting: Future[list[str]] | None = None
        stream.on_data(self._on_data)

    def ask(self, line: str) -> Steps:
        """Return the lines of the answer; raise ``NoAnswer``."""
        self._lines = []
        self._waiting = Future()
        self.stream.write(line.encode() + b"\r\n")
        self._on_data()
        try:
            lines: list[str] = yield self._loop.wait_for(self._waiting, ANSWER_LIMIT)
        except TimeoutError as error:
            raise NoAnswer(f"no answer to {line!r}") from error
        if not lines or not lines[-1].startswith("READY"):
            raise NoAnswer(f"{line!r} was answered with {lines}")
        return lines

    def _on_data(self) -> None:
        waiting = self._waiting
        if waiting is None or waiting.done():
            return
        while (line := self.stream.read_line(MAX_LINE)) is not None:
            self._lines.append(line.decode())
            if self._lines[-1].startswith("READY"):
                waiting.set_result(self._lines)
                return
        if self.stream.at_eof:
            waiting.set_result(self._lines)


class Caller:
    """Open sessions one after the other at any instance."""

    def __init__(self, world: "World", name: str, account: str, think_s: float):
        self._world = world
        self._loop = world.loop
        self._name = name
        self._account = account
        self._think_s = think_s
        self._random = random.Random(f"{world.seed}/{name}")
        self._sessions = 0
        self.served = 0
        self.failed = 0

    def run(self) -> Steps:
        """Call until the world asks no more."""
        while not self._world.is_over:
            daemon = self._random.choice(self._world.daemons)
            try:
                yield from self._session(daemon)
            except (NoAnswer, OSError):
                self.failed += 1
            yield self._loop.sleep(RETRY_PAUSE * self._random.random())

    def _session(self, daemon: Daemon) -> Steps:
        self._sessions += 1
        key = self._random.choice(self._world.operator.keys_of(self._account))
        database = self._random.choice(DATABASES)
        name = f"{self._name}s{self._sessions}"
        record = CallerRecord(name, self._account, key, database)
        stream = yield TcpNetwork(self._loop).connect(
            daemon.addresses["session_address"], CONNECT_LIMIT
        )
        try:
            conversation = Conversation(self._world, stream)
            yield from conversation.ask(f"START {database} {key}")
            for _ in range(self._random.randint(1, MAX_OPERATIONS)):
                if self._world.is_over:
                    return
                yield from self._operation(daemon, conversation, record)
                pause = self._random.expovariate(1 / self._think_s)
                yield self._loop.sleep(timedelta(seconds=pause))
            if self._random.random() < RUDE_SHARE:
                yield from self._be_rude(conversation)
        finally:
            stream.close("the caller left")

    def _operation(
        self, daemon: Daemon, conversation: Conversation, record: CallerRecord
    ) -> Steps:
        kind = self._random.choices(
            ("read", "write", "value", "prepare", "execute", "transaction"),
            (50, 15, 5, 5, 10, 15),
        )[0]
        ask = self._asker(daemon, conversation, record)
        item = self._random.randint(1, 9)
        if kind == "read":
            yield from ask(f"READ {item}")
        elif kind == "write":
            yield from ask(f"WRITE {item} data")
        elif kind == "value":
            yield from ask(f"SET zone {self._random.choice('xyz')}")
        elif kind == "prepare" and "s" not in record.shapes:
            mode = self._random.choice(("READ", "WRITE"))
            record.shapes["s"] = (mode, f"shape-{record.name}-{mode}")
            yield from ask(f"PREPARE s {mode} {record.shapes['s'][1]}")
        elif kind == "execute" and "s" in record.shapes:
            yield from ask(f"EXEC s {item} data", record.shapes["s"][1])
        elif kind == "transaction":
            yield from self._transaction(ask, record)

    def _transaction(self, ask: Asker, record: CallerRecord) -> Steps:
        is_read_only = self._random.random() < 0.3
        yield from ask("BEGIN READ" if is_read_only else "BEGIN")
        for _ in range(self._random.randint(0, 4)):
            if record.in_transaction is None:
                return
            writes = not is_read_only and self._random.random() < 0.4
            yield from ask("WRITE 1 data" if writes else "READ 1")
            pause = self._random.expovariate(1 / self._think_s)
            yield self._loop.sleep(timedelta(seconds=pause))
        if record.in_transaction is not None:
            yield from ask("COMMIT" if self._random.random() < 0.8 else "ROLLBACK")

    def _asker(
        self, daemon: Daemon, conversation: Conversation, record: CallerRecord
    ) -> Asker:
        world = self._world

        def ask(text: str, shape: str = "") -> Steps:
            history = world.history
            request_id = history.send(record, text, self._loop.now(), shape)
            try:
                lines = yield from conversation.ask(f"QUERY {request_id} {text}")
            except NoAnswer:
                world.record_unanswered(daemon, request_id)
                raise
            world.report(history.answer(request_id, lines, self._loop.now()))
            if lines[-2].startswith("ERR"):
                self.failed += 1
            else:
                self.served += 1

        return ask

    def _be_rude(self, conversation: Conversation) -> Steps:
        conversation.stream.write(
            self._random.choice(
                (
                    b"QUERY half a line",
                    b"\x00\xff\r\n" * 3,
                    b"QUERY x\r\n",
                    b"START\r\n",
                )
            )
        )
        yield self._loop.sleep(RETRY_PAUSE)
