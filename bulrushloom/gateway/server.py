"""HTTP interface for callers, a WSGI application on a cheroot server."""

import re
import time
import traceback
from collections.abc import Callable, Iterable
from datetime import timedelta
from http import HTTPStatus
from typing import Any

import eliot
import orjson

from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.core.servers import BufferedServer, ServerOptions, StartResponse
from bulrushloom.gateway import bodies
from bulrushloom.gateway.base import CallerAnswer, CallerRequest, RequestHandler
from bulrushloom.rules.keys import key_digest

# Maximum wait of a thread for the answer of the handler. It is far above all request
# deadlines and frees the thread if a handler violates its contract and does not
# complete a request by its deadline.
ANSWER_TIMEOUT = timedelta(seconds=120)
_END_PATH = re.compile(
    r"/v1/transactions/([\x21-\x2e\x30-\x7e]{1,1024})/(commit|rollback)"
)
_GET_PATHS = frozenset(("/healthz", "/readyz"))
_POST_PATHS = frozenset(("/v1/query", "/v1/transactions"))
_STATUS_LINE = {status: f"{status.value} {status.phrase}" for status in HTTPStatus}

# Each running statement occupies a thread. While a group has no primary, its writes
# wait for seconds and must not leave the statements of other groups without threads.
DEFAULT_OPTIONS = ServerOptions(threads=256)

# Called with the account (empty if unknown), the error kind or "ok", and the duration.
Observe = Callable[[str, str, timedelta], None]

# Called with the request id, the account (empty if unknown) and the refusal.
RecordRefusal = Callable[[str, str, Refusal], None]
REQUEST_ID_HEADER = "X-Request-Id"


class GatewayApplication:
    """Validate caller requests, pass them to the handler and render its answers."""

    def __init__(
        self,
        handler: RequestHandler,
        observe: Observe | None = None,
        record_refusal: RecordRefusal | None = None,
    ):
        self._handler = handler
        self._observe = observe
        self._record_refusal = record_refusal

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one request."""
        path = environ["PATH_INFO"]
        if path in _GET_PATHS and environ["REQUEST_METHOD"] in ("GET", "HEAD"):
            status, body, headers = self._answer_health_check(path)
        else:
            status, body, headers = self._serve(environ, path)
        headers.append(("Content-Type", "application/json"))
        headers.append(("Content-Length", str(len(body))))
        start_response(_STATUS_LINE[status], headers)
        return () if environ["REQUEST_METHOD"] == "HEAD" else (body,)

    def _answer_health_check(
        self, path: str
    ) -> tuple[HTTPStatus, bytes, list[tuple[str, str]]]:
        reason = None
        if path == "/readyz":
            try:
                reason = self._handler.readiness()
            except Exception as error:
                reason = _internal_error(error, "")
        if reason is None:
            return HTTPStatus.OK, b'{"state":"ok"}', []
        body = orjson.dumps(reason.body())
        return HTTPStatus.SERVICE_UNAVAILABLE, body, []

    def _serve(
        self, environ: dict[str, Any], path: str
    ) -> tuple[HTTPStatus, bytes, list[tuple[str, str]]]:
        started_at = time.monotonic()
        request_id = self._handler.new_request_id()
        account, answer = self._authenticate_and_run(environ, path, request_id)
        try:
            status, body = _render(answer)
        except TypeError as error:
            answer = _internal_error(error, "")
            status, body = _render(answer)
        if self._observe is not None:
            outcome = answer.kind.value if isinstance(answer, Refusal) else "ok"
            elapsed = timedelta(seconds=time.monotonic() - started_at)
            self._observe(account, outcome, elapsed)
        headers = _answer_headers(answer, path)
        if isinstance(answer, Refusal) and request_id:
            headers.append((REQUEST_ID_HEADER, request_id))
        if isinstance(answer, Refusal) and self._record_refusal is not None:
            self._record_refusal(request_id, account, answer)
        return status, body, headers

    def _authenticate_and_run(
        self, environ: dict[str, Any], path: str, request_id: str
    ) -> tuple[str, CallerAnswer | Refusal]:
        refusal = _check_route(environ, path)
        if refusal is not None:
            return "", refusal
        # Removing the key from ``environ`` prevents its disclosure in later errors.
        key = bodies.parse_api_key(environ.pop("HTTP_AUTHORIZATION", None))
        if isinstance(key, Refusal):
            return "", key
        try:
            account = self._handler.authenticate(key)
        except Exception as error:
            return "", _internal_error(error, key)
        if isinstance(account, Refusal):
            return "", account
        return account, self._submit_request(environ, path, account, key, request_id)

    def _submit_request(
        self,
        environ: dict[str, Any],
        path: str,
        account: str,
        key: str,
        request_id: str,
    ) -> CallerAnswer | Refusal:
        try:
            request = _parse_request(environ, path, account)
            if isinstance(request, Refusal):
                return request
            future = self._handler.submit(
                request._replace(request_id=request_id), key_digest(key)
            )
            return future.result(ANSWER_TIMEOUT.total_seconds())
        except Exception as error:
            return _internal_error(error, key)


class GatewayServer(BufferedServer):
    """Server of the caller interface.

    The base class provides ``open``, ``begin_drain`` and ``close``.
    """

    def __init__(
        self,
        handler: RequestHandler,
        address: tuple[str, int],
        options: ServerOptions,
        observe: Observe | None,
        record_refusal: RecordRefusal | None = None,
    ):
        application = GatewayApplication(handler, observe, record_refusal)
        super().__init__(address, application, options, "gateway")


def create_server(
    handler: RequestHandler,
    address: tuple[str, int],
    options: ServerOptions = DEFAULT_OPTIONS,
    observe: Observe | None = None,
    record_refusal: RecordRefusal | None = None,
) -> GatewayServer:
    """Return a server for the caller address; its ``open`` must be called."""
    return GatewayServer(handler, address, options, observe, record_refusal)


def _check_route(environ: dict[str, Any], path: str) -> Refusal | None:
    known = path in _GET_PATHS or path in _POST_PATHS or _END_PATH.fullmatch(path)
    if not known:
        return Refusal(ErrorKind.NOT_FOUND, "no such path")
    if path in _GET_PATHS or environ["REQUEST_METHOD"] != "POST":
        return Refusal(ErrorKind.METHOD_NOT_ALLOWED, f"use {_allowed(path)}")
    if environ["QUERY_STRING"]:
        return Refusal(ErrorKind.BAD_REQUEST, "a query string is not supported")
    return None


def _allowed(path: str) -> str:
    return "GET, HEAD" if path in _GET_PATHS else "POST"


def _parse_request(
    environ: dict[str, Any], path: str, account: str
) -> CallerRequest | Refusal:
    body = environ["wsgi.input"].read()
    if path == "/v1/query":
        idempotency_key = environ.get("HTTP_IDEMPOTENCY_KEY")
        return bodies.parse_query(body, account, idempotency_key)
    if path == "/v1/transactions":
        return bodies.parse_begin(body, account)
    match = _END_PATH.fullmatch(path)
    assert match is not None
    return bodies.parse_end(body, account, match[1], match[2] == "commit")


def _render(answer: CallerAnswer | Refusal) -> tuple[HTTPStatus, bytes]:
    if isinstance(answer, Refusal):
        return answer.response.status, orjson.dumps(answer.body())
    return HTTPStatus.OK, orjson.dumps(answer._asdict())


def _answer_headers(answer: CallerAnswer | Refusal, path: str) -> list[tuple[str, str]]:
    if not isinstance(answer, Refusal):
        return []
    if answer.kind is ErrorKind.METHOD_NOT_ALLOWED:
        return [("Allow", _allowed(path))]
    if answer.kind is ErrorKind.UNAUTHENTICATED:
        return [("WWW-Authenticate", "Bearer")]
    return []


def _internal_error(error: Exception, key: str) -> Refusal:
    """Log an unexpected exception and return the refusal for it.

    The message of an exception may contain parts of the request, so only the type of
    the exception and the functions and lines of its stack are logged. ``key`` is
    replaced in this text as well.
    """
    frames = traceback.extract_tb(error.__traceback__)
    locations = [f"{frame.name}:{frame.lineno}" for frame in frames]
    text = " ".join([type(error).__name__, *locations])
    if key:
        text = text.replace(key, "[key]")
    eliot.log_message("gateway.internal_error", error=text)
    return Refusal(ErrorKind.INTERNAL, "unexpected failure; the request may have run")
