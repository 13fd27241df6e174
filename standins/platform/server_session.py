"""The server side of a connection from the proxy to a simulated server."""

from typing import TYPE_CHECKING

from bulrushloom.runtime.streams import Stream
from standins.platform.records import Query, Run, Start

if TYPE_CHECKING:
    from standins.platform.group import SimulatedServer

MAX_LINE_BYTES = 1024 * 1024


class ServerSession:
    """The session of a simulated server on one connection from the proxy.

    ``values`` are the session values, ``prepared`` has mode and text of the prepared
    statements by name, and ``writes`` the request ids of the open transaction's writes.
    """

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
        self.is_busy = False
        stream.on_data(self.on_data)

    def on_data(self) -> None:
        """Handle the received lines, one at a time."""
        while not self.is_busy and self.stream.is_open:
            line = self.stream.read_line(MAX_LINE_BYTES)
            if line is None:
                break
            self.handle_line(line.decode())
        if self.stream.at_eof and not self.is_busy:
            self.server.connections.discard(self)
            self.stream.close("closed by the peer")

    def handle_line(self, line: str) -> None:
        """Handle one START or QUERY message."""
        word, _, rest = line.partition(" ")
        if word == "START":
            self.handle_start(rest.split(" "))
        elif word == "QUERY":
            request_id, _, text = rest.partition(" ")
            self.handle_query(request_id, text)

    def handle_start(self, fields: list[str]) -> None:
        """Check service name, server id and connection limit; start the session."""
        start = Start(self.server.server_id, fields[1], self.loop.now())
        self.group.starts.append(start)
        is_misrouted = fields[0] != self.group.service
        if len(fields) > 2 and fields[2] != self.server.server_id:
            is_misrouted = True
        if is_misrouted:
            self.stream.write(b"ERR MISROUTED another server\r\n")
            self.stream.close("wrong server")
            return
        if len(self.server.connections) > self.server.max_connections:
            self.stream.write(b"ERR TOOMANY connections\r\n")
            self.server.connections.discard(self)
            self.stream.close("too many connections")
            return
        self.account = fields[1]
        self.is_busy = True
        if not self.server.run(self.send_ready):
            self.server.refusals += 1
            self.stream.write(b"ERR BUSY queue\r\n")
            self.server.connections.discard(self)
            self.stream.close("busy")

    def transaction_state(self) -> str:
        """Return the transaction state: I (idle), T (open) or E (failed)."""
        if not self.transaction:
            return "I"
        return "E" if self.has_failed else "T"

    def send_ready(self, *lines: str) -> None:
        """Send the last lines of an answer and handle the next message."""
        term, number = self.server.applied_position()
        text = "".join(line + "\r\n" for line in lines)
        self.is_busy = False
        self.stream.write(
            f"{text}READY {self.transaction_state()} {term}.{number}\r\n".encode()
        )
        self.on_data()

    def send_error(self, code: str) -> None:
        """Send an error; all codes but BUSY make an open transaction fail."""
        self.server.refusals += 1
        if self.transaction and code != "BUSY":
            self.has_failed = True
        self.send_ready(f"ERR {code} simulated")

    def handle_query(self, request_id: str, text: str) -> None:
        """Handle a statement; reads, writes and commits are queued."""
        query = Query(self.server.server_id, request_id, text, self.loop.now())
        self.group.queries.append(query)
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, number = position.split(".")
            if self.server.applied_position() < (int(term), int(number)):
                self.send_error("LAGGING")
                return
        word, _, rest = text.partition(" ")
        if self.has_failed and word not in ("ROLLBACK", "COMMIT"):
            self.send_error("BADMSG")
            return
        match word:
            case "SET":
                name, _, value = rest.partition(" ")
                self.values[name] = value
                self.send_ready("DONE -")
            case "RESET":
                self.values.clear()
                self.prepared.clear()
                self.send_ready("DONE -")
            case "PREPARE":
                name, mode, shape = rest.split(" ", 2)
                self.prepared[name] = (mode, shape)
                self.send_ready("DONE -")
            case "STATUS":
                self.is_busy = True
                row = self.server.status_row()
                if not self.server.run(lambda: self.send_ready(row, "DONE -")):
                    self.send_error("BUSY")
            case "PAUSE":
                self.server.paused_term = int(rest)
                self.send_ready(self.server.status_row(), "DONE -")
            case "RESUME":
                self.server.paused_term = 0
                if not self.server.is_primary:
                    self.group.rejoin(self.server)
                self.send_ready(self.server.status_row(), "DONE -")
            case "DEMOTE":
                self.server.demote(int(rest))
                self.send_ready(self.server.status_row(), "DONE -")
            case "BEGIN":
                self.begin_transaction(rest == "READ")
            case "ROLLBACK":
                self.end_transaction()
                self.send_ready("DONE -")
            case _:
                self.enqueue_statement(request_id, text)

    def begin_transaction(self, is_read_only: bool) -> None:
        """Begin a transaction; a read-write transaction requires the primary."""
        if not is_read_only and not self.server.is_primary:
            self.send_error("READONLY")
            return
        self.transaction = next(self.group.transaction_numbers)
        self.is_read_only = is_read_only
        self.send_ready("DONE -")

    def end_transaction(self) -> None:
        """Reset the transaction state."""
        self.transaction = 0
        self.has_failed = False
        self.writes.clear()

    def enqueue_statement(self, request_id: str, text: str) -> None:
        """Queue a read, a write or a commit for an execution slot."""
        if self.server.statements_to_refuse:
            self.server.statements_to_refuse -= 1
            self.send_error("BUSY")
            return
        self.is_busy = True
        if not self.server.run(lambda: self.execute(request_id, text)):
            self.send_error("BUSY")

    def execute(self, request_id: str, text: str) -> None:
        """Run a queued statement unless the connection was closed meanwhile."""
        if self.stream.at_eof:
            self.is_busy = False
            self.server.connections.discard(self)
            return
        word, _, rest = text.partition(" ")
        shape, writes = "", word == "WRITE"
        if word == "EXEC":
            name = rest.partition(" ")[0]
            if name not in self.prepared:
                self.send_error("NOSTMT")
                return
            mode, shape = self.prepared[name]
            writes = mode == "WRITE"
        was_demoted = self.transaction and not self.is_read_only
        if (writes or was_demoted) and not self.server.is_primary:
            self.send_error("READONLY")
            return
        self.record_run(request_id, text, shape)
        if word == "COMMIT":
            ids = tuple(self.writes)
            self.end_transaction()
            self.finish_commit(ids, request_id)
        elif writes and not self.transaction:
            self.finish_commit((request_id,), request_id)
        else:
            if writes:
                self.writes.append(request_id)
            padding = " " + "x" * self.server.row_bytes if self.server.row_bytes else ""
            self.send_answer(request_id, f"ROW {request_id}{padding}")

    def finish_commit(self, ids: tuple[str, ...], request_id: str) -> None:
        """Commit the writes, if any, and send the answer."""
        if ids:
            self.server.commit(ids, lambda: self.send_answer(request_id))
        else:
            self.send_answer(request_id)

    def record_run(self, request_id: str, text: str, shape: str) -> None:
        """Record that the statement ran."""
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

    def send_answer(self, request_id: str, *rows: str) -> None:
        """Send the answer unless fault injection loses or truncates it."""
        server = self.server
        if server.answers_to_lose:
            server.answers_to_lose -= 1
            return
        if server.answers_to_cut:
            server.answers_to_cut -= 1
            self.stream.write(f"ROW {request_id}".encode())
            self.stream.close("answer truncated")
            return
        self.send_ready(*rows, f"DONE signed-{request_id}")
