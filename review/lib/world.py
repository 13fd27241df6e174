"""Stand-ins of the platform for the cases of the review: store, duties, databases.

Everything runs in one asyncio loop on loopback addresses. The proxy instances are
separate processes, started with the command of the deploy file. Only the standard
library is used.
"""

import asyncio
import base64
import itertools
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
# Bounds and limits as on the sheet of the deployment bmdc-shared.
BOUNDS = {
    "DrainMs": 7000,
    "GraceS": 6,
    "ConfigApplyMs": 3000,
    "RevokeMs": 5000,
    "QuotaWindowS": 5,
    "QuotaExcess": 0.1,
    "QuotaSlack": 20,
}
HEARTBEAT_S = 1.2
ENTRY_LIFETIME_S = 3 * HEARTBEAT_S
STORE_ANSWER_S = 0.004
PROMOTE_S = 0.3
STEP_DOWN_S = 1.0
CONNECT_WORK_S = 0.012
REPLICATION_S = 0.001
APPLY_LAG_S = 0.02
SLOTS = 3
QUEUE = 24
MAX_CONNECTIONS = 42


SERVERS = (("i-a1", "north"), ("i-b2", "south"), ("i-c3", "west"))
# Like the configuration of the deployment bmdc-shared.
CONFIGURATION = {
    "Version": 3,
    "Routes": [
        {
            "Name": "order-place",
            "Host": "orders",
            "Type": "primary",
            "TimeoutMs": 1000,
            "SloMs": 200,
            "Priority": 1,
            "Service": "orders",
            "Public": False,
        },
        {
            "Name": "catalogue-view",
            "Host": "catalogue",
            "Type": "bounded_staleness",
            "TimeoutMs": 2000,
            "SloMs": 600,
            "Priority": 2,
            "Service": "orders",
            "MaxStalenessMs": 1500,
            "Public": False,
        },
        {
            "Name": "dispatch-book",
            "Host": "dispatch",
            "Type": "read_your_writes",
            "TimeoutMs": 1000,
            "SloMs": 400,
            "Priority": 2,
            "Service": "orders",
            "MaxStalenessMs": 2500,
            "Public": False,
        },
    ],
    "Services": [{"Name": "orders", "MaxConns": MAX_CONNECTIONS, "SyncReplicas": 1}],
    "Limits": {"TxIdleMs": 3000},
    "Tenants": [
        {
            "Name": "hotel",
            "ApiKeys": ["key-hotel"],
            "Priority": 1,
            "RatePerS": 400,
            "Burst": 400,
        }
    ],
}


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._started:9.3f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


_candidates = itertools.cycle(range(10_000, 30_000))
for _ in range(os.getpid() * 37 % 20_000):
    next(_candidates)


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are free and were not returned before.

    They are below the ephemeral range.
    """
    ports: list[int] = []
    while len(ports) < count:
        candidate = next(_candidates)
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram,
        ):
            try:
                stream.bind(("127.0.0.1", candidate))
                datagram.bind(("127.0.0.1", candidate))
            except OSError:
                continue
        ports.append(candidate)
    return ports


# Store and duties


class Store:
    """The platform's metadata store over HTTP."""

    def __init__(self, record: Record):
        self.record = record
        self.item_by_key: dict[str, dict[str, Any]] = {}
        self.revision = 10
        self.lease_by_id: dict[int, tuple[float, float]] = {}
        self._ids = itertools.count(501)
        self.is_down = False
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        port = free_ports(1)[0]
        await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await serve_http(reader, writer, self._handle)

    async def _handle(
        self, method: str, target: str, body: bytes, _headers: dict[str, str]
    ) -> tuple[int, Any] | None:
        if self.is_down:
            raise ConnectionResetError
        await asyncio.sleep(STORE_ANSWER_S)
        return self.call(method, target, json.loads(body) if body else {})

    def call(self, method: str, target: str, content: dict[str, Any]) -> Any:
        """Execute one call."""
        self.expire()
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        tail = url.path.rpartition("/")[2]
        if url.path == "/v1/kv-range":
            prefix, after = query.get("Prefix", ""), query.get("after", "")
            items = [
                item
                for key, item in sorted(self.item_by_key.items())
                if key.startswith(prefix) and key > after
            ]
            return 200, {
                "items": items[:500],
                "HasMore": len(items) > 500,
                "CurrentRev": self.revision,
            }
        if url.path == "/v1/kv-key":
            item = self.item_by_key.get(query.get("Key", ""))
            return (200, item) if item else (404, {})
        if url.path == "/v1/kv-lease":
            ttl_ms = max(1000, content["TtlMs"])
            lease = next(self._ids)
            self.lease_by_id[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"Lease": lease, "TtlMs": ttl_ms}
        if url.path.startswith("/v1/kv-keep/"):
            known = self.lease_by_id.get(int(tail))
            if known is None:
                return 404, {}
            self.lease_by_id[int(tail)] = (time.monotonic() + known[1] / 1000, known[1])
            return 200, {"TtlMs": known[1]}
        if method == "DELETE" and url.path.startswith("/v1/kv-lease-end/"):
            self._end_lease(int(tail))
            return 200, {}
        if url.path == "/v1/kv-txn":
            return self._transaction(content)
        return 404, {}

    def _transaction(self, content: dict[str, Any]) -> tuple[int, Any]:
        for expected in content.get("ExpectRev") or ():
            item = self.item_by_key.get(expected["Key"])
            if (item["Rev"] if item else 0) != expected["Rev"]:
                items = [
                    self.item_by_key[e["Key"]]
                    for e in content["ExpectRev"]
                    if e["Key"] in self.item_by_key
                ]
                return 412, {"items": items}
        for put in content.get("Puts") or ():
            if put.get("Lease") and put["Lease"] not in self.lease_by_id:
                return 404, {}
        self.revision += 1
        for put in content.get("Puts") or ():
            self._put(put["Key"], put["Value"], put.get("Lease") or 0)
        for key in content.get("Deletes") or ():
            self.item_by_key.pop(key, None)
        return 200, {"Rev": self.revision}

    def _put(self, key: str, value: str, lease: int) -> None:
        known = self.item_by_key.get(key)
        self.item_by_key[key] = {
            "Key": key,
            "Value": value,
            "Rev": self.revision,
            "Created": known["Created"] if known else self.revision,
            "Lease": lease,
        }

    def put_json(self, key: str, content: Any) -> None:
        """Write an item as operators and servers do."""
        self.revision += 1
        self._put(key, base64.b64encode(json.dumps(content).encode()).decode(), 0)

    def read_json(self, key: str) -> Any:
        """Return the content of an item, or ``None``."""
        self.expire()
        item = self.item_by_key.get(key)
        return json.loads(base64.b64decode(item["Value"])) if item else None

    def delete(self, key: str) -> None:
        """Remove an item."""
        if self.item_by_key.pop(key, None) is not None:
            self.revision += 1

    def expire(self) -> None:
        """End the leases that ran out."""
        now = time.monotonic()
        for lease in [i for i, (end, _) in self.lease_by_id.items() if end <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.lease_by_id.pop(lease, None)
        for key in [k for k, i in self.item_by_key.items() if i["Lease"] == lease]:
            self.delete(key)


class Duties:
    """The platform's calls for singleton duties: ``POST /promote``."""

    def __init__(self, record: Record, group: "Group"):
        self.record = record
        self.group = group
        self.address = ""
        # Time, holder, fencing token, id and answer of each call.
        self.calls: list[tuple[float, str, int, str, int]] = []

    async def start(self) -> None:
        """Listen on a free port."""
        port = free_ports(1)[0]
        await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await serve_http(reader, writer, self._handle)

    async def _handle(
        self, method: str, target: str, body: bytes, headers: dict[str, str]
    ) -> tuple[int, Any] | None:
        if method != "POST" or urlsplit(target).path != "/promote":
            return 404, {}
        content = json.loads(body)
        status = self.group.order_promotion(content["Id"])
        holder, fence = headers.get("duty-holder", ""), headers.get("fence-token", "")
        self.calls.append((time.monotonic(), holder, int(fence), content["Id"], status))
        self.record.write(
            f"duties: promote {content['Id']} holder {holder} fence {fence}: {status}"
        )
        return status, {}


HttpHandler = Callable[
    [str, str, bytes, dict[str, str]], Awaitable[tuple[int, Any] | None]
]


async def serve_http(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handle: HttpHandler
) -> None:
    """Serve HTTP/1.1 on one connection; no answer is sent if the result is None."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *rest = head.strip().split("\r\n")
            headers = {
                name.strip().lower(): value.strip()
                for name, _, value in (line.partition(":") for line in rest)
            }
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            method, target, _ = first.split(" ")
            answer = await handle(method, target, body, headers)
            if answer is None:
                await asyncio.sleep(60)
                return
            data = json.dumps(answer[1]).encode()
            writer.write(
                f"HTTP/1.1 {answer[0]} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n".encode()
                + data
            )
            await writer.drain()
    except ConnectionResetError:
        writer.transport.abort()
    except (asyncio.IncompleteReadError, ConnectionError):
        return
    finally:
        writer.close()


# Databases


class Commit:
    """An entry of a log."""

    def __init__(self, term: int, number: int, writes: tuple[str, ...]):
        self.position = (term, number)
        self.writes = writes


class Server:
    """A database server; it speaks the wire protocol on its address."""

    def __init__(self, group: "Group", server_id: str, zone: str):
        self.group = group
        self.record = group.record
        self.server_id = server_id
        self.zone = zone
        self.port = 0
        self.is_primary = False
        self.is_running = True
        self.is_draining = False
        self.next_beat = 0.0
        self.term = 1
        self.paused_term = 0
        self.log: list[Commit] = []
        self.applied = 0
        self.work_s = 0.008
        self.work_by_text: Callable[[str], float] | None = None
        self.connections: set[ServerConnection] = set()
        self.busy = 0
        self.waiting = 0
        self.slots = asyncio.Semaphore(SLOTS)
        # Futures of commits that wait for the first replica.
        self.pending: list[tuple[Commit, asyncio.Future[bool]]] = []
        # Names of instances whose path to this server is cut; it resets connections.
        self.reset_from: set[str] = set()
        self.seq = 0
        self._listener: asyncio.AbstractServer | None = None

    async def start(self) -> None:
        """Listen on a free port, or on the port of before."""
        self.port = self.port or free_ports(1)[0]
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ServerConnection(self), "127.0.0.1", self.port
        )
        self.is_running = True

    def crash(self) -> None:
        """Stop the process: connections are reset and the address refuses."""
        self.record.write(f"{self.server_id} crashes at {self.received()}")
        self.is_running = False
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.abort()

    def cut_with_resets(self, names: set[str]) -> None:
        """Cut the paths from some instances; an empty set heals them."""
        self.reset_from = names
        self.record.write(f"{self.server_id} is cut from {sorted(names)}")
        for connection in list(self.connections):
            if connection.instance in names:
                connection.abort()

    def received(self) -> tuple[int, int]:
        """Return the position of the last entry received."""
        return self.log[-1].position if self.log else (1, 0)

    def applied_position(self) -> tuple[int, int]:
        """Return the position of the last entry applied."""
        return self.log[self.applied - 1].position if self.applied else (1, 0)

    def status_row(self) -> str:
        """Return the row of STATUS."""
        role = "primary" if self.is_primary else "replica"
        term, number = self.received()
        lag = 0 if self.applied == len(self.log) else int(APPLY_LAG_S * 1000)
        return (
            f"ROW {role} {self.term} {term}.{number} {self.paused_term} {lag} "
            f"{self.busy} {len(self.connections)}"
        )

    def heartbeat(self) -> None:
        """Write the entry to the store."""
        self.seq += 1
        self.group.store.put_json(
            f"servers/{self.server_id}",
            {
                "Service": self.group.service,
                "Addr": f"127.0.0.1:{self.port}",
                "Zone": self.zone,
                "Version": "v1",
                "Slots": SLOTS,
                "State": "draining" if self.is_draining else "ready",
                "ColdLeftMs": 0,
                "Seq": self.seq,
                "DbRole": "primary" if self.is_primary else "replica",
                "born": self.group.born_ms,
            },
        )

    async def run_in_slot(self, work_s: float) -> bool:
        """Occupy a slot for ``work_s``; return False if the queue is full."""
        if self.waiting >= QUEUE:
            return False
        self.waiting += 1
        await self.slots.acquire()
        self.waiting -= 1
        self.busy += 1
        try:
            await asyncio.sleep(work_s)
        finally:
            self.busy -= 1
            self.slots.release()
        return True

    async def commit(self, writes: tuple[str, ...]) -> bool:
        """Append a commit; return whether it was acknowledged."""
        commit = Commit(self.term, self.received()[1] + 1, writes)
        self.log.append(commit)
        self.applied = len(self.log)
        done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.pending.append((commit, done))
        asyncio.get_running_loop().call_later(REPLICATION_S, self.group.replicate)
        return await done

    def become_replica(self, term: int) -> None:
        """Stop to be the primary; commits without a replica stay unanswered."""
        self.record.write(f"{self.server_id} steps down at {self.received()}")
        self.is_primary = False
        self.term = term
        for _, done in self.pending:
            if not done.done():
                done.set_result(False)
        self.pending.clear()
        self.heartbeat_if_possible()

    def heartbeat_if_possible(self) -> None:
        """Report a change at once."""
        if self.is_running and not self.group.store.is_down:
            self.heartbeat()

    def follow(self, primary: "Server") -> None:
        """Take over the log of a new primary; what it lacks is rolled back."""
        self.term = primary.term
        self.paused_term = 0
        common = 0
        for mine, other in zip(self.log, primary.log, strict=False):
            if mine is not other:
                break
            common += 1
        if common < len(self.log):
            lost = [w for c in self.log[common:] for w in c.writes]
            self.record.write(f"{self.server_id} rolls back {lost}")
        self.log = list(primary.log)
        self.applied = min(self.applied, common)
        asyncio.get_running_loop().call_later(APPLY_LAG_S, self.apply_all)

    def apply_all(self) -> None:
        """Apply what was received."""
        self.applied = len(self.log)


class Group:
    """The servers of one service."""

    def __init__(self, store: Store, record: Record, service: str = "orders"):
        self.store = store
        self.record = record
        self.service = service
        self.server_by_id: dict[str, Server] = {}
        self.instance_by_port: Callable[[int, int], str] = lambda _l, _p: ""
        # Time, id, server and text of each statement that ran.
        self.runs: list[tuple[float, str, str, str]] = []
        # Time at which each statement arrived at a server.
        self.arrived_at: dict[str, float] = {}
        # Time and id of each server that became the primary.
        self.promoted_at: list[tuple[float, str]] = []
        self.born_ms = int(time.time() * 1000)
        # Replicas that receive nothing.
        self.deaf: set[str] = set()

    def add(self, server_id: str, zone: str) -> Server:
        """Add a server; the first one is the primary."""
        server = Server(self, server_id, zone)
        server.is_primary = not self.server_by_id
        self.server_by_id[server_id] = server
        return server

    def primary(self) -> Server:
        """Return the primary of the highest term."""
        primaries = [s for s in self.server_by_id.values() if s.is_primary]
        return max(primaries, key=lambda server: server.term)

    async def run(self) -> None:
        """Send heartbeats, expire entries and replicate what is missing."""
        last_beat: dict[str, float] = {}
        while True:
            now = time.monotonic()
            for server_id, server in self.server_by_id.items():
                while server.next_beat <= now:
                    # A heartbeat that fails is not repeated before the next one.
                    server.next_beat = max(server.next_beat, now - 1) + HEARTBEAT_S
                    if server.is_running and not self.store.is_down:
                        last_beat[server_id] = now
                        server.heartbeat()
                if now - last_beat.get(server_id, now) > ENTRY_LIFETIME_S:
                    self.store.delete(f"servers/{server_id}")
            self.replicate()
            await asyncio.sleep(0.05)

    def replicate(self) -> None:
        """Send the log of each primary to the replicas that receive from it."""
        for source in self.server_by_id.values():
            if source.is_primary and source.is_running:
                self._replicate_from(source)

    def _replicate_from(self, source: Server) -> None:
        for replica in self.server_by_id.values():
            receives = (
                replica is not source
                and replica.is_running
                and not replica.is_primary
                and replica.paused_term <= source.term
                and replica.term <= source.term
                and replica.server_id not in self.deaf
            )
            if not receives:
                continue
            if replica.term < source.term:
                replica.follow(source)
            missing = source.log[len(replica.log) :]
            if missing:
                replica.log += missing
                asyncio.get_running_loop().call_later(APPLY_LAG_S, replica.apply_all)
            for commit, done in list(source.pending):
                if commit in replica.log and not done.done():
                    done.set_result(True)
            source.pending = [(c, d) for c, d in source.pending if not d.done()]

    def order_promotion(self, server_id: str) -> int:
        """Start a promotion; return the status of the call."""
        server = self.server_by_id.get(server_id)
        if server is None or not server.is_running:
            return 409
        if not server.is_primary:
            loop = asyncio.get_running_loop()
            loop.call_later(PROMOTE_S, self._become_primary, server)
        return 200

    def _become_primary(self, server: Server) -> None:
        if server.is_primary or not server.is_running:
            return
        server.term = max(s.term for s in self.server_by_id.values()) + 1
        server.is_primary = True
        server.paused_term = 0
        server.applied = len(server.log)
        self.promoted_at.append((time.monotonic(), server.server_id))
        writes = [w for c in server.log for w in c.writes]
        self.record.write(
            f"{server.server_id} leads term {server.term} at {server.received()}, "
            f"{len(writes)} writes"
        )
        server.heartbeat_if_possible()
        for other in self.server_by_id.values():
            if other is server or not other.is_running:
                continue
            if other.is_primary:
                loop = asyncio.get_running_loop()
                loop.call_later(STEP_DOWN_S, self._step_down, other)
            else:
                other.follow(server)

    def _step_down(self, server: Server) -> None:
        primary = self.primary()
        if server is not primary and server.is_primary and server.is_running:
            server.become_replica(primary.term)
            server.follow(primary)


class ServerConnection(asyncio.Protocol):
    """A session at a server."""

    def __init__(self, server: Server):
        self.server = server
        self.group = server.group
        self.buffer = b""
        self.has_ended = False
        self.instance = ""
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.state = "I"
        self.is_read_only = False
        self.writes: list[str] = []
        self.is_started = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve."""
        self.transport = transport
        peer = transport.get_extra_info("peername")
        self.instance = self.group.instance_by_port(peer[1], self.server.port)
        self.server.connections.add(self)
        self.more = asyncio.Event()
        self.task = asyncio.ensure_future(self._serve())
        if self.instance in self.server.reset_from:
            self.abort()

    def data_received(self, data: bytes) -> None:
        """Keep the bytes."""
        self.buffer += data
        self.more.set()

    def connection_lost(self, _error: Exception | None) -> None:
        """Roll back and forget what was not handled."""
        self.has_ended = True
        self.server.connections.discard(self)
        self.more.set()

    def abort(self) -> None:
        """Reset the connection."""
        self.task.cancel()
        self.transport.abort()

    async def _serve(self) -> None:
        while True:
            while b"\r\n" not in self.buffer:
                self.more.clear()
                if self.has_ended:
                    return
                await self.more.wait()
            line, _, self.buffer = self.buffer.partition(b"\r\n")
            lines = await self._handle(line.decode())
            if self.has_ended:
                return
            if lines is None:
                # The answer is lost with the connection.
                self.transport.abort()
                return
            self.transport.write("".join(f"{x}\r\n" for x in lines).encode())
            if not self.is_started:
                self.transport.close()
                return

    def _ready(self) -> str:
        term, number = self.server.applied_position()
        return f"READY {self.state} {term}.{number}"

    def _error(self, code: str) -> list[str]:
        if self.state == "T" and code != "BUSY":
            self.state = "E"
        return [f"ERR {code} {self.server.server_id}", self._ready()]

    async def _handle(self, line: str) -> list[str] | None:
        word, _, rest = line.partition(" ")
        if word == "START":
            return await self._start(rest.split(" "))
        if word == "BYE":
            self.transport.close()
            return []
        request_id, _, text = rest.partition(" ")
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, number = position.split(".")
            if self.server.applied_position() < (int(term), int(number)):
                return self._error("LAGGING")
        return await self._query(request_id, text)

    async def _start(self, fields: list[str]) -> list[str]:
        if fields[0] != self.group.service or (
            len(fields) > 2 and fields[2] != self.server.server_id
        ):
            return [f"ERR MISROUTED {self.server.server_id}"]
        if len(self.server.connections) > MAX_CONNECTIONS:
            return [f"ERR TOOMANY {self.server.server_id}"]
        if not await self.server.run_in_slot(CONNECT_WORK_S):
            return [f"ERR BUSY {self.server.server_id}"]
        self.is_started = True
        return [self._ready()]

    async def _query(self, request_id: str, text: str) -> list[str] | None:
        word, _, rest = text.partition(" ")
        server = self.server
        if self.state == "E" and word not in ("ROLLBACK", "COMMIT"):
            return self._error("BADMSG")
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
        elif word == "RESET":
            self.values.clear()
            self.prepared.clear()
        elif word == "PREPARE":
            name, mode, shape = rest.split(" ", 2)
            self.prepared[name] = (mode, shape)
        elif word == "DEALLOC":
            self.prepared.pop(rest, None)
        elif word == "BEGIN":
            if rest != "READ" and not server.is_primary:
                return self._error("READONLY")
            self.state, self.is_read_only = "T", rest == "READ"
        elif word == "ROLLBACK" or (word == "COMMIT" and self.state == "E"):
            self.state = "I"
            self.writes.clear()
        elif word in ("STATUS", "PAUSE", "RESUME", "DEMOTE"):
            return await self._command(word, rest)
        else:
            return await self._run(request_id, word, rest, text)
        return ["DONE -", self._ready()]

    async def _command(self, word: str, rest: str) -> list[str]:
        server = self.server
        if word == "STATUS" and not await server.run_in_slot(0.001):
            return self._error("BUSY")
        if word == "PAUSE" and int(rest) > server.term:
            server.paused_term = int(rest)
        if word == "RESUME":
            server.paused_term = 0
        if word == "DEMOTE" and server.is_primary and int(rest) > server.term:
            server.become_replica(int(rest) - 1)
        if word != "STATUS":
            self.group.record.write(
                f"{server.server_id} {word} {rest} from {self.instance}: "
                f"{server.status_row()}"
            )
        return [server.status_row(), "DONE -", self._ready()]

    async def _run(
        self, request_id: str, word: str, rest: str, text: str
    ) -> list[str] | None:
        server = self.server
        self.group.arrived_at[request_id] = time.monotonic()
        writes = word == "WRITE"
        if word == "EXEC":
            name = rest.partition(" ")[0]
            if name not in self.prepared:
                return self._error("NOSTMT")
            writes = self.prepared[name][0] == "WRITE"
        work_s = server.work_by_text(text) if server.work_by_text else server.work_s
        if not await server.run_in_slot(work_s):
            return self._error("BUSY")
        if self.has_ended:
            return None
        has_lost_lead = self.state == "T" and not self.is_read_only
        if word == "COMMIT" and not self.writes:
            has_lost_lead = False
        if (writes or has_lost_lead) and not server.is_primary:
            return self._error("READONLY")
        self.group.runs.append((time.monotonic(), request_id, server.server_id, text))
        term, number = server.applied_position()
        self.group.record.write(
            f"{server.server_id} runs {request_id} {text!r} at {term}.{number}"
        )
        committed: tuple[str, ...] = ()
        if word == "COMMIT":
            committed, self.writes, self.state = tuple(self.writes), [], "I"
        elif writes and self.state == "I":
            committed = (request_id,)
        elif writes:
            self.writes.append(request_id)
        if committed and not await server.commit(committed):
            return None
        rows = [] if writes or word == "COMMIT" else [f"ROW {request_id}"]
        return [*rows, f"DONE signed-{request_id}", self._ready()]


# Instances


class Instance:
    """A proxy process, started with the command and template of the deploy file."""

    def __init__(self, world: "World", name: str, zone: str):
        self.world = world
        self.name = name
        self.zone = zone
        ports = free_ports(4)
        self.front = ("127.0.0.1", ports[0])
        self.ready = ("127.0.0.1", ports[1])
        self.settings_path = world.folder / f"{name}.yaml"
        self.log_path = world.folder / f"{name}.log"
        fields = {
            "NodeName": name,
            "Zone": zone,
            "Ip": "127.0.0.1",
            "Listen": {
                "Front": f"127.0.0.1:{ports[0]}",
                "Ready": f"127.0.0.1:{ports[1]}",
            },
            "PortRange": [ports[2], ports[3]],
            "platform": {
                "Addr": world.store.address,
                "TtlMinMs": 1000,
            },
            "CloudApi": {"Addr": world.duties.address},
            "Bounds": BOUNDS,
        }
        template = (ROOT / world.role["template"]).read_text()
        self.settings_path.write_text(render(template, fields))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.world.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BULRUSHLOOM_CONFIG": str(self.settings_path),
        }
        with self.log_path.open("ab") as output:
            self.process = subprocess.Popen(
                self.world.role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.world.record.write(f"{self.name} starts")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            name = signal.Signals(number).name
            self.world.record.write(f"{self.name} gets {name}")
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness probe is answered with 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                status = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200" in status

    def events(self, *kinds: str) -> list[dict[str, Any]]:
        """Return the log lines of some kinds."""
        found = []
        for line in self.log_path.read_bytes().splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if event.get("message_type") in kinds:
                found.append(event)
        return found


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the placeholders of a settings template."""

    def value(match: re.Match[str]) -> str:
        path, _, form = match.group(1).partition("|")
        found: Any = fields
        for step in path.split("."):
            found = found[int(step)] if isinstance(found, list) else found[step]
        return json.dumps(found) if form == "json" else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, template)


class World:
    """A small deployment: store, duties, one service of three servers, instances."""

    def __init__(self, case: Path):
        self.record = Record(case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        [self.role] = deploy["roles"].values()
        self.store = Store(self.record)
        self.group = Group(self.store, self.record)
        self.group.instance_by_port = self._instance_of
        self.duties = Duties(self.record, self.group)
        self.instances: list[Instance] = []

    async def start(
        self,
        instances: Iterable[tuple[str, str]],
        servers: Iterable[tuple[str, str]] = SERVERS,
    ) -> None:
        """Start everything and wait until all instances are ready."""
        await self.store.start()
        await self.duties.start()
        for server_id, zone in servers:
            await self.group.add(server_id, zone).start()
        self.store.put_json("op/config", CONFIGURATION)
        self.tasks = [asyncio.ensure_future(self.group.run())]
        await asyncio.sleep(0.1)
        for name, zone in instances:
            self.instances.append(Instance(self, name, zone))
        for instance in self.instances:
            instance.start()
        deadline = time.monotonic() + 20
        for instance in self.instances:
            while not await instance.is_ready():
                if time.monotonic() > deadline:
                    raise NotRunnable(f"{instance.name} is not ready")
                await asyncio.sleep(0.1)
        while self.leader() is None:
            if time.monotonic() > deadline:
                raise NotRunnable("no leader")
            await asyncio.sleep(0.1)
        self.record.write(f"all ready, the leader is {self.leader_name()}")

    def leader_name(self) -> str:
        """Return the name in the leader record."""
        holder = self.store.read_json("proxy/leader")
        return holder["name"] if holder else ""

    def leader(self) -> Instance | None:
        """Return the instance that wrote the leader record."""
        name = self.leader_name()
        return next((i for i in self.instances if i.name == name), None)

    def _instance_of(self, port: int, server_port: int) -> str:
        """Return the instance that owns the far end of a connection to a server."""
        wanted = (f"0100007F:{port:04X}", f"0100007F:{server_port:04X}")
        inode = ""
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if (fields[1], fields[2]) == wanted:
                inode = fields[9]
        for instance in self.instances:
            if instance.process is None:
                continue
            try:
                for link in Path(f"/proc/{instance.process.pid}/fd").iterdir():
                    if os.readlink(link) == f"socket:[{inode}]":
                        return instance.name
            except OSError:
                continue
        return ""

    def close(self) -> None:
        """End all processes that were started and remove the folder."""
        for instance in self.instances:
            instance.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for instance in self.instances:
                shutil.copy(instance.log_path, keep)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


class NotRunnable(Exception):
    """The case could not run."""


# Clients


class Broken(Exception):
    """The connection ended before an answer was complete."""


class Client:
    """A client session."""

    numbers = itertools.count(1)

    def __init__(self, world: World, instance: Instance):
        self.record = world.record
        self.instance = instance
        self.name = f"c{next(self.numbers)}"
        self._count = itertools.count(1)

    async def open(self, database: str, key: str = "key-hotel") -> None:
        """Start the session; raise ``Broken`` if it is refused."""
        try:
            self.reader, self.writer = await asyncio.open_connection(
                *self.instance.front
            )
        except OSError as error:
            raise Broken(str(error)) from error
        self.writer.write(f"START {database} {key}\r\n".encode())
        lines = await self._answer()
        if not lines[-1].startswith("READY I"):
            raise Broken(str(lines))

    async def _answer(self) -> list[str]:
        lines: list[str] = []
        # A refused start is followed by a close, any other error by READY.
        while not lines or not lines[-1].startswith("READY"):
            try:
                line = await self.reader.readuntil(b"\r\n")
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                raise Broken(f"connection ended after {lines}") from error
            lines.append(line.decode().removesuffix("\r\n"))
        return lines

    async def query(self, text: str, request_id: str = "") -> tuple[str, list[str]]:
        """Send a statement; return its id and the lines of the answer."""
        request_id = request_id or f"{self.name}-{next(self._count)}"
        self.record.write(
            f"{self.name} sends {request_id} {text!r} to {self.instance.name}"
        )
        self.writer.write(f"QUERY {request_id} {text}\r\n".encode())
        try:
            lines = await self._answer()
        except Broken:
            self.record.write(f"{self.name} gets no answer to {request_id}")
            raise
        self.record.write(f"{self.name} gets {lines} to {request_id}")
        return request_id, lines

    def close(self) -> None:
        """Close the connection."""
        if hasattr(self, "writer"):
            self.writer.close()


def is_done(lines: list[str]) -> bool:
    """Return whether an answer is a success."""
    return len(lines) >= 2 and lines[-2].startswith("DONE")


def run_case(case: Path, main: Callable[[World, bool], Awaitable[bool]]) -> int:
    """Run a case; return the exit status: 1 broken, 0 held, 2 could not run."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World(case)

    async def guarded() -> bool:
        async with asyncio.timeout(110):
            return await main(world, with_trouble)

    try:
        is_broken = asyncio.run(guarded())
    except (NotRunnable, TimeoutError, Broken) as error:
        world.record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    finally:
        world.close()
    print("the rule was broken" if is_broken else "the rule held")
    return 1 if is_broken else 0
