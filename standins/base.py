"""Base of all stand-ins: routing, recording, and one cheroot server each."""

import signal
import threading
from collections import deque
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

import orjson
from cheroot import wsgi
from cheroot.server import HTTPConnection

from standins.faults import Faults
from standins.utils import BadRequest, query_integer

HOST = "127.0.0.1"
# Long polls occupy a thread each; waiting statements and replication need more.
THREADS = 96
# Idle keep-alive sockets stay open, as those of a database server do.
IDLE_TIMEOUT_S = 3600
KEEP_ALIVE_SOCKETS = 10_000
# A server that is told to stop notices it within this time.
POLL_S = 0.05
MAX_BODY_BYTES = 4 * 1024 * 1024
RECORDED_REQUESTS = 5000
RECORDED_BYTES = 32 * 1024 * 1024


class Request(NamedTuple):
    """Hold one HTTP request; ``sender`` is ``X-From``, ``port`` the client's port."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    sender: str
    port: int


class Answer(NamedTuple):
    """Hold the status and the JSON value of an HTTP answer."""

    status: HTTPStatus
    value: Any


Handler = Callable[[Request], Answer]


class Recorder:
    """Keep the bytes of the last requests, within a limit; thread-safe."""

    def __init__(self) -> None:
        self._requests: deque[bytes] = deque()
        self._bytes = 0
        self._lock = threading.Lock()

    def add(self, request: bytes) -> None:
        """Keep one more request and forget the oldest ones beyond the limits."""
        with self._lock:
            self._requests.append(request)
            self._bytes += len(request)
            while (
                len(self._requests) > RECORDED_REQUESTS or self._bytes > RECORDED_BYTES
            ):
                self._bytes -= len(self._requests.popleft())

    def last(self, count: int) -> list[bytes]:
        """Return up to ``count`` requests, the newest last."""
        with self._lock:
            return list(self._requests)[-count:] if count else []


def ok(value: Any) -> Answer:
    """Return an answer with status 200."""
    return Answer(HTTPStatus.OK, value)


class Standin:
    """Answer requests; subclasses add routes and override the hooks they need."""

    def __init__(self, faults: Faults):
        self.faults = faults
        self.recorder = Recorder()
        self.handler_by_route: dict[tuple[str, str], Handler] = {}

    def close(self) -> None:
        """Wake all waiting requests and end own threads."""

    def start(self, address: str) -> None:
        """Start own threads; ``address`` is the listening ``host:port``."""

    def socket_closed(self, port: int) -> None:
        """Learn that the client socket with this port was closed."""

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve WSGI."""
        content_type = "application/json"
        if environ["PATH_INFO"] == "/received":
            content_type, status, body = self._received(environ)
        else:
            answer = self._answer(environ)
            status, body = answer.status, orjson.dumps(answer.value)
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(f"{status.value} {status.phrase}", headers)
        return [body]

    def _answer(self, environ: dict[str, Any]) -> Answer:
        try:
            request = _request(environ)
            if request.path == "/faults":
                return self._faults(request)
            self.faults.before(request.sender)
            handler = self.handler_by_route.get((request.method, request.path))
            if handler is None:
                reason = f"unknown route {request.method} {request.path}"
                return Answer(HTTPStatus.NOT_FOUND, {"error": reason})
            try:
                return handler(request)
            finally:
                # A fault that began while the request was running hides its answer.
                self.faults.drop_unreachable(request.sender)
        except BadRequest as error:
            self.faults.count("bad_requests")
            return self.bad_request(str(error))

    def bad_request(self, reason: str) -> Answer:
        """Return the answer to input that is not understood."""
        return Answer(HTTPStatus.BAD_REQUEST, {"error": reason})

    def _faults(self, request: Request) -> Answer:
        if request.method == "POST":
            self.faults.update(request.body)
            self.faults_changed()
        return ok(self.faults.as_json())

    def faults_changed(self) -> None:
        """React to new fault settings."""

    def _received(self, environ: dict[str, Any]) -> tuple[str, HTTPStatus, bytes]:
        query = dict(parse_qsl(environ["QUERY_STRING"]))
        try:
            last = query_integer(query, "last", RECORDED_REQUESTS, RECORDED_REQUESTS)
        except BadRequest as error:
            return "text/plain", HTTPStatus.BAD_REQUEST, str(error).encode()
        recorded = b"\n".join(self.recorder.last(last))
        return "application/octet-stream", HTTPStatus.OK, recorded


def _request(environ: dict[str, Any]) -> Request:
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdigit() or int(length) > MAX_BODY_BYTES:
        raise BadRequest(f"body is larger than {MAX_BODY_BYTES} bytes")
    return Request(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        dict(parse_qsl(environ["QUERY_STRING"], keep_blank_values=True)),
        environ["wsgi.input"].read(int(length)),
        environ.get("HTTP_X_FROM", ""),
        int(environ["REMOTE_PORT"]),
    )


class _RecordingSocket:
    """Pass calls to a socket and keep a copy of the bytes that it receives."""

    def __init__(self, sock: Any):
        self._sock = sock
        self.recorded = bytearray()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def recv_into(self, buffer: Any, *arguments: Any) -> int:
        size = self._sock.recv_into(buffer, *arguments)
        self.recorded += memoryview(buffer)[:size]
        return size


class _RecordingConnection(HTTPConnection):
    """Record each request as received and report when the socket closes."""

    def __init__(self, server: Any, sock: Any, makefile: Any):
        self._recording = _RecordingSocket(sock)
        super().__init__(server, self._recording, makefile)

    def communicate(self) -> bool:
        keep_open = super().communicate()
        if self._recording.recorded:
            self.server.wsgi_app.recorder.add(bytes(self._recording.recorded))
            self._recording.recorded.clear()
        return keep_open

    def close(self) -> None:
        self.server.wsgi_app.socket_closed(int(self.remote_port))
        super().close()


class StandinServer:
    """Serve one stand-in on a loopback port; port 0 takes a free one."""

    def __init__(self, standin: Standin, port: int = 0):
        self.standin = standin
        self._server = wsgi.Server(
            (HOST, port),
            standin,
            numthreads=THREADS,
            timeout=IDLE_TIMEOUT_S,
            request_queue_size=128,
            shutdown_timeout=1,
        )
        self._server.ConnectionClass = _RecordingConnection
        self._server.keep_alive_conn_limit = KEEP_ALIVE_SOCKETS
        self._server.expiration_interval = POLL_S
        self._server.prepare()
        self.address = "{}:{}".format(*self._server.bind_addr)
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    def start(self) -> "StandinServer":
        """Start serving in a thread."""
        self._thread.start()
        self.standin.start(self.address)
        return self

    def close(self) -> None:
        """Stop serving and close all sockets."""
        self.standin.close()
        self._server.stop()
        self._thread.join(timeout=2)


def serve(standin: Standin, port: int) -> None:
    """Serve until SIGTERM or SIGINT; print the address once it is bound."""
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    server = StandinServer(standin, port).start()
    print(f"listening {server.address}", flush=True)
    stopping.wait()
    server.close()
