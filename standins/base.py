"""Base classes of the stand-ins: routing, request recording and the HTTP server."""

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

LOOPBACK_HOST = "127.0.0.1"
# Each long poll occupies a thread, and so does each waiting statement or replica.
WORKER_THREADS = 96
# Idle connections stay open, as they do at a database server.
IDLE_TIMEOUT_S = 3600
MAX_KEEP_ALIVE_SOCKETS = 10_000
# Upper bound for the time until the server loop notices a stop request.
STOP_POLL_INTERVAL_S = 0.05
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_RECORDED_REQUESTS = 5000
MAX_RECORDED_BYTES = 32 * 1024 * 1024


class Request(NamedTuple):
    """An HTTP request.

    ``sender`` is the ``X-From`` header, ``port`` the port of the client's socket.
    """

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    sender: str
    port: int


class Answer(NamedTuple):
    """The status and the JSON body of an HTTP response."""

    status: HTTPStatus
    value: Any


Handler = Callable[[Request], Answer]


class Recorder:
    """A bounded buffer of the raw bytes of the latest requests; thread-safe."""

    def __init__(self) -> None:
        self._requests: deque[bytes] = deque()
        self._bytes = 0
        self._lock = threading.Lock()

    def add(self, request: bytes) -> None:
        """Append a request and drop the oldest ones that exceed the limits."""
        with self._lock:
            self._requests.append(request)
            self._bytes += len(request)
            while (
                len(self._requests) > MAX_RECORDED_REQUESTS
                or self._bytes > MAX_RECORDED_BYTES
            ):
                self._bytes -= len(self._requests.popleft())

    def last(self, count: int) -> list[bytes]:
        """Return up to ``count`` of the latest requests, oldest first."""
        with self._lock:
            return list(self._requests)[-count:] if count else []


def ok(value: Any) -> Answer:
    """Return an answer with status 200 and the given JSON value."""
    return Answer(HTTPStatus.OK, value)


class Standin:
    """A WSGI application with fault injection.

    Subclasses fill ``handler_by_route`` and override the hooks that they need:
    ``start``, ``close``, ``socket_closed`` and ``faults_changed``.
    """

    def __init__(self, faults: Faults):
        self.faults = faults
        self.recorder = Recorder()
        self.handler_by_route: dict[tuple[str, str], Handler] = {}

    def close(self) -> None:
        """Wake all waiting requests and stop background threads."""

    def start(self, address: str) -> None:
        """Start background threads; ``address`` is the listening ``host:port``."""

    def socket_closed(self, port: int) -> None:
        """Handle the close of the client socket with this port."""

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle a WSGI request."""
        content_type = "application/json"
        if environ["PATH_INFO"] == "/received":
            content_type, status, body = self._handle_received(environ)
        else:
            answer = self._handle_request(environ)
            status, body = answer.status, orjson.dumps(answer.value)
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(f"{status.value} {status.phrase}", headers)
        return [body]

    def _handle_request(self, environ: dict[str, Any]) -> Answer:
        try:
            request = _parse_request(environ)
            if request.path == "/faults":
                return self._handle_faults(request)
            self.faults.apply_before_request(request.sender)
            handler = self.handler_by_route.get((request.method, request.path))
            if handler is None:
                reason = f"unknown route {request.method} {request.path}"
                return Answer(HTTPStatus.NOT_FOUND, {"error": reason})
            try:
                return handler(request)
            finally:
                # A fault may have started while the request was running; its answer
                # must not be sent then.
                self.faults.drop_unreachable(request.sender)
        except BadRequest as error:
            self.faults.count("bad_requests")
            return self.bad_request(str(error))

    def bad_request(self, reason: str) -> Answer:
        """Return the answer to an invalid request."""
        return Answer(HTTPStatus.BAD_REQUEST, {"error": reason})

    def _handle_faults(self, request: Request) -> Answer:
        if request.method == "POST":
            self.faults.update(request.body)
            self.faults_changed()
        return ok(self.faults.as_json())

    def faults_changed(self) -> None:
        """Handle a change of the fault settings."""

    def _handle_received(
        self, environ: dict[str, Any]
    ) -> tuple[str, HTTPStatus, bytes]:
        query = dict(parse_qsl(environ["QUERY_STRING"]))
        try:
            last = query_integer(
                query, "last", MAX_RECORDED_REQUESTS, MAX_RECORDED_REQUESTS
            )
        except BadRequest as error:
            return "text/plain", HTTPStatus.BAD_REQUEST, str(error).encode()
        recorded = b"\n".join(self.recorder.last(last))
        return "application/octet-stream", HTTPStatus.OK, recorded


def _parse_request(environ: dict[str, Any]) -> Request:
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
    """A socket wrapper that keeps a copy of the received bytes."""

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
    """A connection that records each raw request and reports its own close."""

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
    """An HTTP server for one stand-in on a loopback port; 0 picks a free port."""

    def __init__(self, standin: Standin, port: int = 0):
        self.standin = standin
        self._server = wsgi.Server(
            (LOOPBACK_HOST, port),
            standin,
            numthreads=WORKER_THREADS,
            timeout=IDLE_TIMEOUT_S,
            request_queue_size=128,
            shutdown_timeout=1,
        )
        self._server.ConnectionClass = _RecordingConnection
        self._server.keep_alive_conn_limit = MAX_KEEP_ALIVE_SOCKETS
        self._server.expiration_interval = STOP_POLL_INTERVAL_S
        self._server.prepare()
        self.address = "{}:{}".format(*self._server.bind_addr)
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    def start(self) -> "StandinServer":
        """Start serving in a background thread."""
        self._thread.start()
        self.standin.start(self.address)
        return self

    def close(self) -> None:
        """Stop serving and close all sockets."""
        self.standin.close()
        self._server.stop()
        self._thread.join(timeout=2)


def serve(standin: Standin, port: int) -> None:
    """Serve until SIGTERM or SIGINT; print the listening address once it is bound."""
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    server = StandinServer(standin, port).start()
    print(f"listening {server.address}", flush=True)
    stopping.wait()
    server.close()
