"""A caller that speaks the platform's protocol for clients, and records what it saw."""

from collections.abc import Callable
from concurrent.futures import Future
from datetime import timedelta
from typing import Any, NamedTuple

from bulrushloom.runtime.loop import Loop, Steps
from bulrushloom.runtime.streams import Stream, TcpNetwork

CONNECT_TIMEOUT = timedelta(seconds=1)
# A client gives up a session whose START is not answered in this time.
START_TIMEOUT = timedelta(seconds=2)
ANSWER_TIMEOUT = timedelta(seconds=4)
RETRY_DELAY = timedelta(milliseconds=50)
MAX_LINE_BYTES = 1 << 20


class NoAnswer(Exception):
    """The session ended, or the answer did not arrive in time."""


class Answered(NamedTuple):
    """A statement with its answer; ``code`` is ``OK``, a code, or ``none``."""

    request_id: str
    text: str
    sent_at: timedelta
    answered_at: timedelta
    code: str


class Session:
    """A session of a client on one connection."""

    def __init__(self, loop: Loop, stream: Stream):
        self._loop = loop
        self.stream = stream
        self._lines: list[str] = []
        self._waiting: Future[list[str]] | None = None
        stream.on_data(self._on_data)

    def _on_data(self) -> None:
        while (line := self.stream.read_line(MAX_LINE_BYTES)) is not None:
            self._lines.append(line.decode())
            if self._lines[-1].startswith("READY"):
                self._finish()
        if self.stream.at_eof or not self.stream.is_open:
            self._finish()

    def _finish(self) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.done():
            lines, self._lines = self._lines, []
            waiting.set_result(lines)

    def request(self, line: str, timeout: timedelta) -> Steps:
        """Send a line; return the lines of the answer, or raise ``NoAnswer``."""
        self._lines = []
        self._waiting = Future()
        waiting = self._waiting
        self.stream.write(line.encode() + b"\r\n")
        try:
            lines: list[str] = yield self._loop.wait_for(waiting, timeout)
        except TimeoutError as error:
            raise NoAnswer("no answer in time") from error
        if not lines or not lines[-1].startswith("READY"):
            raise NoAnswer(f"the session ended: {lines}")
        return lines


class Writer:
    """A caller that sends one write after the other until it is stopped.

    It reconnects after a close and takes the next instance then. ``on_answer`` gets
    each statement with its answer.
    """

    def __init__(
        self,
        loop: Loop,
        name: str,
        addresses: list[str],
        start: str,
        pause: timedelta,
        on_answer: Callable[[Answered], Any],
    ):
        self._loop = loop
        self._name = name
        self._addresses = addresses
        self._start = start
        self._pause = pause
        self._on_answer = on_answer
        self._count = 0
        self.is_stopped = False

    def run(self) -> Steps:
        """Open one session after the other."""
        turn = 0
        while not self.is_stopped:
            address = self._addresses[turn % len(self._addresses)]
            turn += 1
            try:
                yield from self._use_session(address)
            except (NoAnswer, OSError):
                yield self._loop.sleep(RETRY_DELAY)

    def _use_session(self, address: str) -> Steps:
        stream = yield TcpNetwork(self._loop).connect(address, CONNECT_TIMEOUT)
        session = Session(self._loop, stream)
        try:
            yield from session.request(self._start, START_TIMEOUT)
            while not self.is_stopped:
                yield from self._write(session)
                yield self._loop.sleep(self._pause)
        finally:
            stream.close()

    def _write(self, session: Session) -> Steps:
        self._count += 1
        request_id = f"{self._name}{self._count:06x}"
        text = f"WRITE k{self._count % 50} d{self._count}"
        sent_at, code = self._loop.now(), "none"
        try:
            lines = yield from session.request(
                f"QUERY {request_id} {text}", ANSWER_TIMEOUT
            )
            code = "OK" if lines[-2].startswith("DONE") else lines[-2].split()[1]
        finally:
            self._on_answer(Answered(request_id, text, sent_at, self._loop.now(), code))
