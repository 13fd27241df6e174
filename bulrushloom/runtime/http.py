"""HTTP/1.1 client and server on the event loop, based on h11."""

from collections.abc import Callable, Mapping
from concurrent.futures import Future
from datetime import timedelta
from types import MappingProxyType
from typing import Any, NamedTuple

import h11

from bulrushloom.runtime.buffers import BufferAccount
from bulrushloom.runtime.loop import (
    Loop,
    Steps,
    Timer,
    set_exception_if_pending,
    set_result_if_pending,
)
from bulrushloom.runtime.streams import Listener, Stream, TcpNetwork

# Requests to the servers of this process consist of one short head; larger
# heads are refused.
MAX_REQUEST_BYTES = 64 * 1024


# Requests that were sent ahead are answered while fewer bytes than this are unsent.
MAX_UNSENT_WHILE_ANSWERING = 64 * 1024


Headers = tuple[tuple[str, str], ...]


class HttpError(Exception):
    """No complete response arrived; the request may or may not have been executed."""


class Response(NamedTuple):
    """Complete HTTP response; the names of ``headers`` are in lower case."""

    status: int
    body: bytes
    headers: Mapping[str, str] = MappingProxyType({})


class HttpClient:
    """HTTP client with one persistent connection to a server.

    Requests are sent one after the other, each after the response to the last.
    """

    def __init__(self, loop: Loop, address: str):
        self._loop = loop
        self.address = address
        self._stream: Stream | None = None
        self._http: h11.Connection | None = None
        self._pending_response: Future[Response] | None = None
        self._active_request: Future[None] | None = None
        self._status = 0
        self._headers: Mapping[str, str] = {}
        self._body = bytearray()
        self._received_at = timedelta()

    def request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout: timedelta,
        headers: Headers = (),
        is_allowed: Callable[[], bool] = lambda: True,
        max_duration: timedelta | None = None,
    ) -> "Future[Response]":
        """Send a request and return a future of the response.

        ``is_allowed`` is asked once the connection is open, right before the request is
        sent.

        The future fails with ``HttpError`` if no response arrives within ``timeout``,
        which includes the wait for earlier requests and for the connection. With
        ``max_duration``, a response that is arriving may take until then, as long as
        each part of it arrives within ``timeout`` of the one before.
        """
        return self._loop.spawn_unreported(
            self._request(
                method,
                path,
                body,
                timeout,
                headers,
                is_allowed,
                max_duration or timeout,
            )
        )

    def _request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout: timedelta,
        headers: Headers,
        is_allowed: Callable[[], bool],
        max_duration: timedelta,
    ) -> Steps:
        requested_at = self._loop.now()
        deadline = requested_at + timeout
        while self._active_request is not None:
            waiting = self._loop.wait_for(
                self._active_request, deadline - self._loop.now()
            )
            try:
                yield waiting
            except TimeoutError as error:
                raise HttpError(
                    f"{method} {self.address}: not sent: {error}"
                ) from error
        request_done: Future[None] = Future()
        self._active_request = request_done
        try:
            if self._stream is None or not self._stream.is_open:
                yield from self._open(deadline - self._loop.now())
            if not is_allowed():
                raise HttpError(f"{method} {self.address}: no longer allowed")
            answer = self._send(method, path, body, headers)
            self._received_at = requested_at
            response = yield from self._wait_while_receiving(
                answer, timeout, requested_at + max_duration
            )
        except (OSError, h11.ProtocolError) as error:
            self.close()
            raise HttpError(f"{method} {self.address}: {error}") from error
        finally:
            self._active_request = None
            request_done.set_result(None)
        return response

    def _wait_while_receiving(
        self, answer: "Future[Response]", timeout: timedelta, latest: timedelta
    ) -> Steps:
        """Wait until ``latest``, or until nothing has arrived for ``timeout``."""
        while True:
            deadline = min(self._received_at + timeout, latest)
            try:
                return (yield self._loop.wait_for(answer, deadline - self._loop.now()))
            except TimeoutError:
                if deadline in (latest, self._received_at + timeout):
                    raise

    def _open(self, timeout: timedelta) -> Steps:
        self._stream = yield TcpNetwork(self._loop).connect(self.address, timeout)
        self._http = h11.Connection(h11.CLIENT)
        self._stream.on_data(self._on_data)

    def _send(
        self, method: str, path: str, body: bytes, headers: Headers
    ) -> "Future[Response]":
        assert self._http is not None
        assert self._stream is not None
        fields = [("Host", self.address), ("Content-Length", str(len(body))), *headers]
        if body:
            fields.append(("Content-Type", "application/json"))
        request = h11.Request(method=method, target=path, headers=fields)
        data = self._http.send(request) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self._body.clear()
        self._pending_response = Future()
        self._stream.write(data)
        return self._pending_response

    def _on_data(self) -> None:
        stream, http = self._stream, self._http
        if stream is None or http is None:
            return
        self._received_at = self._loop.now()
        try:
            data = stream.read_all()
            if data:
                http.receive_data(data)
            if stream.at_eof:
                http.receive_data(b"")
            self._read_events(http)
        except h11.ProtocolError as error:
            self._fail_request(f"malformed response: {error}")
            return
        if stream.at_eof:
            self._fail_request(stream.closed_reason or "closed by the server")

    def _read_events(self, http: h11.Connection) -> None:
        while True:
            event = http.next_event()
            if isinstance(event, h11.Response):
                self._status = event.status_code
                self._headers = {
                    name.decode("latin-1"): value.decode("latin-1")
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                self._body += event.data
            elif isinstance(event, h11.EndOfMessage):
                pending_response, self._pending_response = self._pending_response, None
                if http.our_state is h11.DONE and http.their_state is h11.DONE:
                    http.start_next_cycle()
                if pending_response is not None:
                    set_result_if_pending(
                        pending_response,
                        Response(self._status, bytes(self._body), self._headers),
                    )
                if http.their_state is h11.MUST_CLOSE:
                    self.close()
                return
            else:
                return

    def _fail_request(self, reason: str) -> None:
        pending_response, self._pending_response = self._pending_response, None
        self.close()
        if pending_response is not None:
            set_exception_if_pending(pending_response, OSError(reason))

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        stream, self._stream = self._stream, None
        self._http = None
        self._pending_response = None
        if stream is not None:
            stream.close()


Handler = Callable[[str, str, bytes], tuple[int, Mapping[str, str], bytes]]


class HttpServerLimits(NamedTuple):
    """Bounds on the clients of an HTTP server; ``None`` means no limit.

    When a connection exceeds ``max_connections``, the one that has sent no complete
    request for the longest time is closed. A connection with a request that is
    incomplete for ``request_timeout`` is closed. ``open_account`` opens an account for
    the buffers of a connection and returns it with the function that closes it.
    """

    max_connections: int | None = None
    max_body_bytes: int | None = None
    request_timeout: timedelta | None = None
    open_account: (
        Callable[[Callable[[str], None]], tuple[BufferAccount, Callable[[], None]]]
        | None
    ) = None


class _Exchange:
    """State of one connection to an HTTP server.

    ``request`` is being received: its head, then the parts of its body. ``waits_since``
    is when the connection was accepted or its last request was answered.
    """

    def __init__(self, stream: Stream, now: timedelta):
        self.stream = stream
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_REQUEST_BYTES
        )
        self.request: list[Any] = []
        self.body_bytes = 0
        self.waits_since = now
        self.timer: Timer | None = None
        self.close_account: Callable[[], None] = lambda: None


class HttpServer:
    """HTTP server that answers requests with ``handler``.

    The handler maps method, path and body to status, headers and body. It must not
    block, because it runs on the event loop.
    """

    def __init__(
        self,
        loop: Loop,
        address: str,
        handler: Handler,
        limits: HttpServerLimits = HttpServerLimits(),  # noqa: B008
    ):
        self._loop = loop
        self._handler = handler
        self._limits = limits
        self._exchanges: dict[_Exchange, None] = {}
        self._listener = Listener(loop, address, self._accept)
        self.port = self._listener.port

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._exchanges)

    def _accept(self, stream: Stream) -> None:
        limits = self._limits
        max_count = limits.max_connections
        if max_count is not None and len(self._exchanges) >= max_count:
            silent = min(self._exchanges, key=lambda e: e.waits_since)
            self._close(silent, "too many connections")
        exchange = _Exchange(stream, self._loop.now())
        self._exchanges[exchange] = None
        stream.max_unsent_while_reading = MAX_UNSENT_WHILE_ANSWERING
        if limits.open_account is not None:
            account, exchange.close_account = limits.open_account(
                lambda reason: self._close(exchange, reason)
            )
            stream.limit_memory(account)
        stream.on_data(lambda: self._on_data(exchange))
        self._start_timer(exchange)

    def _start_timer(self, exchange: _Exchange) -> None:
        """Close the connection if no complete request arrives in time."""
        timeout = self._limits.request_timeout
        if timeout is not None and exchange.timer is None:
            exchange.timer = self._loop.call_later(
                timeout, lambda: self._close(exchange, "no complete request in time")
            )

    def _stop_timer(self, exchange: _Exchange) -> None:
        if exchange.timer is not None:
            exchange.timer.cancel()
            exchange.timer = None

    def _close(self, exchange: _Exchange, reason: str) -> None:
        self._stop_timer(exchange)
        self._exchanges.pop(exchange, None)
        exchange.request.clear()
        exchange.stream.close(reason)
        exchange.close_account()

    def _on_data(self, exchange: _Exchange) -> None:
        stream, http = exchange.stream, exchange.http
        if not stream.is_open:
            self._close(exchange, "closed")
            return
        try:
            data = stream.read_all()
            if data or stream.at_eof:
                http.receive_data(data)
                self._start_timer(exchange)
            self._answer(exchange)
        except h11.ProtocolError as error:
            self._close(exchange, f"bad request: {error}")
            return
        if stream.at_eof or http.our_state is h11.MUST_CLOSE:
            self._close(exchange, "closed")

    def _answer(self, exchange: _Exchange) -> None:
        stream, http, request = exchange.stream, exchange.http, exchange.request
        while stream.is_open:
            if stream.unsent_bytes > MAX_UNSENT_WHILE_ANSWERING:
                drained = stream.drained(MAX_UNSENT_WHILE_ANSWERING)
                drained.add_done_callback(
                    lambda _: self._loop.call_soon(lambda: self._on_data(exchange))
                )
                return
            event = http.next_event()
            if isinstance(event, h11.Request):
                request.clear()
                request.append(event)
            elif isinstance(event, h11.Data):
                request.append(bytes(event.data))
                exchange.body_bytes += len(event.data)
                limit = self._limits.max_body_bytes
                if limit is not None and exchange.body_bytes > limit:
                    self._close(exchange, "the body is too large")
            elif isinstance(event, h11.EndOfMessage) and request:
                self._respond(stream, http, request[0], b"".join(request[1:]))
                request.clear()
                exchange.body_bytes = 0
                exchange.waits_since = self._loop.now()
                self._stop_timer(exchange)
                if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                    return
                http.start_next_cycle()
            else:
                return

    def _respond(
        self, stream: Stream, http: h11.Connection, request: h11.Request, data: bytes
    ) -> None:
        method, path = request.method.decode(), request.target.decode("latin-1")
        try:
            status, headers, body = self._handler(method, path, data)
        except Exception as error:
            self._loop.report_error(error)
            status, headers, body = 500, {}, b""
        fields = [*headers.items(), ("Content-Length", str(len(body)))]
        answer = http.send(h11.Response(status_code=status, headers=fields)) or b""
        answer += http.send(h11.Data(data=body)) or b""
        answer += http.send(h11.EndOfMessage()) or b""
        stream.write(answer)

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()
