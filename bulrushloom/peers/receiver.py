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
from bulrushloom.peers.base import DeliverEvent, MessageReceived, PeerIdentity
from bulrushloom.peers.codec import MessageCodec
from bulrushloom.peers.envelopes import Envelope, EnvelopeChecker
from bulrushloom.peers.faults import Faults

Endpoint = Callable[[], Any]


class PeerReceiver:
    """WSGI application that verifies and delivers batches and serves documents.

    ``endpoint_by_path`` maps a path to the function that returns its JSON document.
    """

    def __init__(
        self,
        domain: str,
        codec: MessageCodec,
        checker: EnvelopeChecker,
        endpoint_by_path: dict[str, Endpoint],
        faults: Faults | None,
    ):
        self.deliver: DeliverEvent | None = None
        self.domain_by_peer: dict[str, str] = {}
        self._codec = codec
        self._checker = checker
        self._endpoint_by_path = endpoint_by_path
        self._faults = faults
        # Senders learn the domains of their peers from this, for a cut of a domain.
        self._accepted_body = orjson.dumps({"domain": domain})

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one request that is not a batch."""
        status, body = self._route(environ)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response(f"{status.value} {status.phrase}", headers)
        return (body,)

    def receive(self, request: RequestParts) -> bytes | Refusal:
        """Verify and deliver one batch; return the body of the response."""
        signed_envelope = envelopes.from_headers(request.headers)
        if isinstance(signed_envelope, Missing):
            return Refusal(ErrorKind.BAD_REQUEST, signed_envelope.reason)
        envelope, signature = signed_envelope
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
        self._deliver_messages(envelope, messages)
        return self._accepted_body

    def _route(self, environ: dict[str, Any]) -> tuple[HTTPStatus, bytes]:
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if path in self._endpoint_by_path and method == "GET":
            return self._call_endpoint(path)
        if path == "/faults" and method == "POST" and self._faults is not None:
            refusal = self._faults.apply(environ["wsgi.input"].read())
            if refusal is not None:
                return _error_response(HTTPStatus.BAD_REQUEST, refusal.reason)
            return HTTPStatus.OK, b"{}"
        return _error_response(HTTPStatus.NOT_FOUND, "no such path or method")

    def _call_endpoint(self, path: str) -> tuple[HTTPStatus, bytes]:
        try:
            value = self._endpoint_by_path[path]()
            body = value if isinstance(value, bytes) else orjson.dumps(value)
        except Exception as error:
            eliot.log_message("peer.view_failed", path=path, error=type(error).__name__)
            return _error_response(HTTPStatus.INTERNAL_SERVER_ERROR, "the view failed")
        return HTTPStatus.OK, body

    def _is_cut(self, envelope: Envelope) -> bool:
        if self._faults is None:
            return False
        return self._faults.is_cut(envelope.sender, envelope.domain)

    def _deliver_messages(self, envelope: Envelope, messages: list[Any]) -> None:
        if self.deliver is None:
            return
        sender = envelope.sender
        identity = PeerIdentity(envelope.domain, envelope.incarnation, envelope.address)
        for message in messages:
            if isinstance(message, Missing):
                reason = message.reason
                eliot.log_message("peer.message_refused", sender=sender, reason=reason)
            else:
                self.deliver(MessageReceived(sender, message, identity))


def _error_response(status: HTTPStatus, reason: str) -> tuple[HTTPStatus, bytes]:
    return status, orjson.dumps({"error": reason})
