"""WSGI application on the peer address."""

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

import eliot
import orjson

from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.core.requests import RequestParts
from bulrushloom.core.sentinels import Missing
from bulrushloom.core.servers import StartResponse
from bulrushloom.peers import envelopes
from bulrushloom.peers.base import Deliver, MessageReceived
from bulrushloom.peers.codec import MessageCodec
from bulrushloom.peers.envelopes import Envelope, EnvelopeChecker
from bulrushloom.peers.faults import Faults

View = Callable[[], Any]


class PeerReceiver:
    """Check received batches, deliver their messages, and serve the views."""

    def __init__(
        self,
        domain: str,
        codec: MessageCodec,
        checker: EnvelopeChecker,
        view_by_path: dict[str, View],
        faults: Faults | None,
    ):
        self.deliver: Deliver | None = None
        self.domain_by_peer: dict[str, str] = {}
        self._codec = codec
        self._checker = checker
        self._view_by_path = view_by_path
        self._faults = faults
        # Senders learn which peers the cut of a domain concerns.
        self._accepted = orjson.dumps({"domain": domain})

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        status, body = self._route(environ)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response(f"{status.value} {status.phrase}", headers)
        return (body,)

    def receive(self, request: RequestParts) -> bytes | Refusal:
        """Check and deliver one batch; return the body of the answer."""
        signed = envelopes.from_headers(request.headers)
        if isinstance(signed, Missing):
            return Refusal(ErrorKind.BAD_REQUEST, signed.reason)
        envelope, signature = signed
        if self._is_cut(envelope):
            return Refusal(ErrorKind.NOT_READY, "cut off by fault injection")
        reason = self._checker.check(envelope, signature, request.body)
        if reason:
            sender = envelope.sender
            eliot.log_message("peer.batch_refused", sender=sender, reason=reason)
            return Refusal(ErrorKind.FORBIDDEN, reason)
        messages = self._codec.decode_batch(request.body)
        if isinstance(messages, Missing):
            return Refusal(ErrorKind.BAD_REQUEST, messages.reason)
        self.domain_by_peer[envelope.sender] = envelope.domain
        self._deliver_all(envelope.sender, messages)
        return self._accepted

    def _route(self, environ: dict[str, Any]) -> tuple[HTTPStatus, bytes]:
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if path in self._view_by_path and method == "GET":
            return self._view(path)
        if path == "/faults" and method == "POST" and self._faults is not None:
            refusal = self._faults.apply(environ["wsgi.input"].read())
            if refusal is not None:
                return _error(HTTPStatus.BAD_REQUEST, refusal.reason)
            return HTTPStatus.OK, b"{}"
        return _error(HTTPStatus.NOT_FOUND, "no such path or method")

    def _view(self, path: str) -> tuple[HTTPStatus, bytes]:
        try:
            value = self._view_by_path[path]()
            body = value if isinstance(value, bytes) else orjson.dumps(value)
        except Exception as error:
            eliot.log_message("peer.view_failed", path=path, error=type(error).__name__)
            return _error(HTTPStatus.INTERNAL_SERVER_ERROR, "the view failed")
        return HTTPStatus.OK, body

    def _is_cut(self, envelope: Envelope) -> bool:
        if self._faults is None:
            return False
        return self._faults.is_cut(envelope.sender, envelope.domain)

    def _deliver_all(self, sender: str, messages: list[Any]) -> None:
        if self.deliver is None:
            return
        for message in messages:
            if isinstance(message, Missing):
                reason = message.reason
                eliot.log_message("peer.message_refused", sender=sender, reason=reason)
            else:
                self.deliver(MessageReceived(sender, message))


def _error(status: HTTPStatus, reason: str) -> tuple[HTTPStatus, bytes]:
    return status, orjson.dumps({"error": reason})
