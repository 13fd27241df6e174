"""WSGI application on the peer address."""

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

import eliot
import orjson

from bulrushloom.core.sentinels import Missing
from bulrushloom.core.servers import StartResponse
from bulrushloom.peers import envelopes
from bulrushloom.peers.base import Deliver, MessageReceived
from bulrushloom.peers.codec import MessageCodec
from bulrushloom.peers.envelopes import Envelope, EnvelopeChecker
from bulrushloom.peers.faults import Faults

View = Callable[[], Any]
# Answers carry the domain so that senders learn which peers a domain cut concerns.
DOMAIN_HEADER = "X-Peer-Domain"


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
        self._headers = [("Content-Type", "application/json"), (DOMAIN_HEADER, domain)]

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        status, body = self._route(environ)
        length = ("Content-Length", str(len(body)))
        start_response(f"{status.value} {status.phrase}", [*self._headers, length])
        return (body,)

    def _route(self, environ: dict[str, Any]) -> tuple[HTTPStatus, bytes]:
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if path == envelopes.PATH and method == "POST":
            return self._receive(environ)
        if path in self._view_by_path and method == "GET":
            return self._view(path)
        if path == "/faults" and method == "POST" and self._faults is not None:
            refusal = self._faults.apply(environ["wsgi.input"].read())
            return _accepted() if refusal is None else _refused(refusal.reason)
        return _error(HTTPStatus.NOT_FOUND, "no such path or method")

    def _view(self, path: str) -> tuple[HTTPStatus, bytes]:
        try:
            value = self._view_by_path[path]()
            body = value if isinstance(value, bytes) else orjson.dumps(value)
        except Exception as error:
            eliot.log_message("peer.view_failed", path=path, error=type(error).__name__)
            return _error(HTTPStatus.INTERNAL_SERVER_ERROR, "the view failed")
        return HTTPStatus.OK, body

    def _receive(self, environ: dict[str, Any]) -> tuple[HTTPStatus, bytes]:
        signed = envelopes.from_environ(environ)
        if isinstance(signed, Missing):
            return _refused(signed.reason)
        envelope, signature = signed
        if self._is_cut(envelope):
            return _error(HTTPStatus.SERVICE_UNAVAILABLE, "cut off by fault injection")
        body = environ["wsgi.input"].read()
        reason = self._checker.check(envelope, signature, body)
        if reason:
            sender = envelope.sender
            eliot.log_message("peer.batch_refused", sender=sender, reason=reason)
            return _error(HTTPStatus.FORBIDDEN, reason)
        messages = self._codec.decode_batch(body)
        if isinstance(messages, Missing):
            return _refused(messages.reason)
        self.domain_by_peer[envelope.sender] = envelope.domain
        self._deliver_all(envelope.sender, messages)
        return _accepted()

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


def _accepted() -> tuple[HTTPStatus, bytes]:
    return HTTPStatus.OK, b"{}"


def _refused(reason: str) -> tuple[HTTPStatus, bytes]:
    return _error(HTTPStatus.BAD_REQUEST, reason)


def _error(status: HTTPStatus, reason: str) -> tuple[HTTPStatus, bytes]:
    return status, orjson.dumps({"error": reason})
