"""One connection of the proxy to a simulated server."""

from typing import TYPE_CHECKING

from bulrushloom.runtime.streams import Stream
from standins.platform.records import Run

if TYPE_CHECKING:
    from standins.platform.group import SimulatedServer

MAX_LINE = 1024 * 1024


class ServerSession:
    """Serve one connection of the proxy."""

    def __init__(self, server: "SimulatedServer", stream: Stream):
        self.server = server
        self.group = server.group
        self.loop = server.loop
        self.stream = stream
        self.number = next(self.group.connection_numbers)
        self.account = ""
        self.started = False
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.transaction = 0
        self.is_read_only = False
        self.has_failed = False
        self.writes: list[str] = []
        self.busy = False
        stream.on_data(self.on_data)

    def on_data(self) -> None:
        """Handle the lines one after the other."""
        while not self.busy and self.stream.is_open:
            line = self.stream.read_line(MAX_LINE)
            if line is None:
                break
            self.handle(line.decode())
        if self.stream.at_eof and not self.busy:
            self.server.connections.discard(self)
            self.stream.close("the far end closed")

    def handle(self, line: str) -> None:
        """Answer one message."""
        word, _, rest = line.partition(" ")
        if word == "START":
            self.start(rest.split(" "))
        elif word == "QUERY":
            request_id, _, text = rest.partition(" ")
            self.query(request_id, text)

    def start(self, fields: list[str]) -> None:
        """Check the name, the id and the number of connections."""
        wrong = fields[0] != self.group.service
        if len(fields) > 2 and fields[2] != self.server.server_id:
            wrong = True
        if wrong:
            self.stream.write(b"ERR MISROUTED another server\r\n")
            self.stream.close("wrong server")
            return
        if len(self.server.connections) > self.server.max_connections:
            self.stream.write(b"ERR TOOMANY connections\r\n")
            self.server.connections.discard(self)
            self.stream.close("too many")
            return
        self.account = fields[1]
        self.busy = True
        if not self.server.run(self.ready):
            self.server.refusals += 1
            self.stream.write(b"ERR BUSY queue\r\n")
            self.stream.close("busy")

    def state(self) -> str:
        """Return the letter of the transaction state."""
        if not self.transaction:
            return "I"
        return "E" if self.has_failed else "T"

    def ready(self, *lines: str) -> None:
        """Send the end of an answer and go on."""
        term, number = self.server.applied_position()
        text = "".join(line + "\r\n" for line in lines)
        self.busy = False
        self.stream.write(f"{text}READY {self.state()} {term}.{number}\r\n".encode())
        self.on_data()

    def fail(self, code: str) -> None:
        """Answer with an error that ends an open transaction's usefulness."""
        self.server.refusals += 1
        if self.transaction and code != "BUSY":
            self.has_failed = True
        self.ready(f"ERR {code} simulated")

    def query(self, request_id: str, text: str) -> None:
        """Run one statement."""
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, number = position.split(".")
            if self.server.applied_position() < (int(term), int(number)):
                self.fail("LAGGING")
                return
        word, _, rest = text.partition(" ")
        if self.has_failed and word not in ("ROLLBACK", "COMMIT"):
            self.fail("BADMSG")
            return
        match word:
            case "SET":
                name, _, value = rest.partition(" ")
                self.values[name] = value
                self.ready("DONE -")
            case "RESET":
                self.values.clear()
                self.prepared.clear()
                self.ready("DONE -")
            case "PREPARE":
                name, mode, shape = rest.split(" ", 2)
                self.prepared[name] = (mode, shape)
                self.ready("DONE -")
            case "STATUS":
                self.busy = True
                row = self.server.status_row()
                if not self.server.run(lambda: self.ready(row, "DONE -")):
                    self.fail("BUSY")
            case "PAUSE":
                self.server.paused_term = int(rest)
                self.ready(self.server.status_row(), "DONE -")
            case "DEMOTE":
                self.server.demote(int(rest))
                self.ready(self.server.status_row(), "DONE -")
            case "BEGIN":
                self.begin(rest == "READ")
            case "ROLLBACK":
                self.end()
                self.ready("DONE -")
            case _:
                self.work_on(request_id, text)

    def begin(self, is_read_only: bool) -> None:
        """Begin a transaction; a plain one needs the primary."""
        if not is_read_only and not self.server.is_primary:
            self.fail("READONLY")
            return
        self.transaction = next(self.group.transaction_numbers)
        self.is_read_only = is_read_only
        self.ready("DONE -")

    def end(self) -> None:
        """Leave the transaction."""
        self.transaction = 0
        self.has_failed = False
        self.writes.clear()

    def work_on(self, request_id: str, text: str) -> None:
        """Queue a read, a write or a commit."""
        if self.server.statements_to_refuse:
            self.server.statements_to_refuse -= 1
            self.fail("BUSY")
            return
        self.busy = True
        if not self.server.run(lambda: self.execute(request_id, text)):
            self.fail("BUSY")

    def execute(self, request_id: str, text: str) -> None:
        """Run a queued statement, unless the connection has gone meanwhile."""
        if self.stream.at_eof:
            self.busy = False
            return
        word, _, rest = text.partition(" ")
        shape, writes = "", word == "WRITE"
        if word == "EXEC":
            name = rest.partition(" ")[0]
            if name not in self.prepared:
                self.fail("NOSTMT")
                return
            mode, shape = self.prepared[name]
            writes = mode == "WRITE"
        lost_lead = self.transaction and not self.is_read_only
        if (writes or lost_lead) and not self.server.is_primary:
            self.fail("READONLY")
            return
        self.record(request_id, text, shape)
        if word == "COMMIT":
            ids = tuple(self.writes)
            self.end()
            self.finish_commit(ids, request_id)
        elif writes and not self.transaction:
            self.finish_commit((request_id,), request_id)
        else:
            if writes:
                self.writes.append(request_id)
            self.answer(request_id, f"ROW {request_id}")

    def finish_commit(self, ids: tuple[str, ...], request_id: str) -> None:
        """Commit what was written and answer."""
        if ids:
            self.server.commit(ids, lambda: self.answer(request_id))
        else:
            self.answer(request_id)

    def record(self, request_id: str, text: str, shape: str) -> None:
        """Remember the run."""
        self.group.runs.append(
            Run(
                self.server.server_id,
                request_id,
                text,
                shape,
                self.account,
                self.number,
                self.transaction,
                dict(self.values),
                self.server.applied_position(),
                self.loop.now(),
            )
        )

    def answer(self, request_id: str, *rows: str) -> None:
        """Send the answer, unless a fault takes it."""
        server = self.server
        if server.answers_to_lose:
            server.answers_to_lose -= 1
            return
        if server.answers_to_cut:
            server.answers_to_cut -= 1
            self.stream.write(f"ROW {request_id}".encode())
            self.stream.close("cut midway")
            return
        self.ready(*rows, f"DONE signed-{request_id}")
