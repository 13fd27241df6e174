"""Authentication and validation of caller requests, ahead of the coordinator."""

import itertools
from collections.abc import Callable
from concurrent.futures import Future
from datetime import timedelta
from typing import Any, NamedTuple

from bulrushloom.coordination.configuration.view import ConfigurationView
from bulrushloom.coordination.sessions.tokens import SessionCodec, SessionToken
from bulrushloom.core.clock import Clock
from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.core.exceptions import BadSignature
from bulrushloom.core.signing import Signer
from bulrushloom.gateway.base import (
    BeginAnswer,
    BeginRequest,
    CallerAnswer,
    CallerRequest,
    EndAnswer,
    EndRequest,
    QueryAnswer,
    QueryRequest,
    RequestHandler,
)
from bulrushloom.instance.base import (
    Begin,
    End,
    EntryRequest,
    Outcome,
    Statement,
    Submit,
    TransactionRef,
)
from bulrushloom.instance.utils import classify_statement
from bulrushloom.rules.base import RuleSet

MAX_TRANSACTION_ID_BYTES = 1024


class CallerSubmit(NamedTuple):
    """Message to the coordinator: run ``submit`` and complete ``future``."""

    account: str
    submit: Submit
    future: "Future[Outcome | Refusal]"


class StatusRequest(NamedTuple):
    """Message to the coordinator: return the instance's view of the fleet."""

    future: "Future[dict[str, Any]]"


Post = Callable[[Any], None]


class Frontend(RequestHandler):
    """Authenticate callers, validate requests and convert answers.

    This class runs on gateway threads; it reads the configuration through an
    immutable view that the coordinator replaces.
    """

    def __init__(
        self,
        post: Post,
        clock: Clock,
        secret: str,
        request_prefix: str,
        request_timeout: timedelta,
    ):
        self._post = post
        self._clock = clock
        self._session_codec = SessionCodec(secret)
        self._transaction_signer = Signer(secret, "transaction")
        self._request_prefix = request_prefix
        # Unlike a generator, ``count`` can be advanced by several threads at once.
        self._request_numbers = itertools.count(1)
        self._request_timeout = request_timeout
        self.configuration = ConfigurationView()
        self.draining = False
        self.ready = False

    def new_request_id(self) -> str:
        """Return an identifier that is unique in the fleet."""
        return f"{self._request_prefix}.{next(self._request_numbers)}"

    def authenticate(self, key: str) -> str | Refusal:
        """Return the account of ``key``; refuse a key that may have been withdrawn."""
        configuration = self.configuration
        if not configuration.rules.version:
            return Refusal(ErrorKind.NOT_READY, "the rules are not known yet")
        return configuration.find_account(key, self._clock.monotonic())

    def readiness(self) -> Refusal | None:
        """Return why the instance accepts no new work, or ``None`` if it is ready."""
        if self.draining:
            return Refusal(ErrorKind.DRAINING, "the instance is shutting down")
        if not self.configuration.rules.version:
            return Refusal(ErrorKind.NOT_READY, "the rules are not known yet")
        if not self.ready:
            return Refusal(ErrorKind.NOT_READY, "no share holder is known yet")
        return None

    def status(self) -> dict[str, Any]:
        """Return the instance's view of the fleet as JSON values."""
        future: Future[dict[str, Any]] = Future()
        self._post(StatusRequest(future))
        return future.result(self._request_timeout.total_seconds())

    def submit(
        self, request: CallerRequest, key_digest: str
    ) -> "Future[CallerAnswer | Refusal]":
        """Validate the request and pass it to the coordinator."""
        answer_future: Future[CallerAnswer | Refusal] = Future()
        validated = self._validate(request)
        if isinstance(validated, Refusal):
            answer_future.set_result(validated)
            return answer_future
        token, entry_request = validated
        future: Future[Outcome | Refusal] = Future()
        future.add_done_callback(
            lambda done: answer_future.set_result(
                self._build_answer(request, token, done)
            )
        )
        request_id = request.request_id or self.new_request_id()
        deadline = self._clock.monotonic() + self._request_timeout
        submit = Submit(request_id, entry_request, deadline, key_digest)
        self._post(CallerSubmit(request.account, submit, future))
        return answer_future

    def _validate(
        self, request: CallerRequest
    ) -> tuple[SessionToken, EntryRequest] | Refusal:
        token = self._decode_session(request.account, request.session)
        if isinstance(token, Refusal):
            return token
        if isinstance(request, EndRequest):
            transaction = self._decode_transaction(request.account, request.transaction)
            if isinstance(transaction, Refusal):
                return transaction
            end = End(
                request.account,
                transaction.database,
                transaction.group,
                transaction,
                request.commit,
            )
            return token, end
        configuration = self.configuration
        group = configuration.find_group(request.database, request.account)
        if isinstance(group, Refusal):
            return group
        capacity_refusal = self._session_codec.check_capacity(token, group)
        if capacity_refusal is not None:
            return capacity_refusal
        if isinstance(request, BeginRequest):
            return token, Begin(request.account, request.database, group)
        statement = self._validate_statement(request, token, group, configuration.rules)
        return statement if isinstance(statement, Refusal) else (token, statement)

    def _validate_statement(
        self, request: QueryRequest, token: SessionToken, group: str, rules: RuleSet
    ) -> Statement | Refusal:
        read_only = classify_statement(request.sql)
        if isinstance(read_only, Refusal):
            return read_only
        transaction = None
        if request.transaction is not None:
            found = self._decode_transaction(request.account, request.transaction)
            if isinstance(found, Refusal):
                return found
            if found.database != request.database:
                return Refusal(
                    ErrorKind.BAD_REQUEST, "the transaction is of another database"
                )
            transaction = found
        max_age = request.max_age
        if max_age is None:
            max_age = rules.account_by_name[request.account].max_age
        return Statement(
            request.account,
            request.database,
            group,
            request.sql,
            request.params,
            read_only,
            token.position(group),
            max_age,
            transaction,
            request.idempotency_key or "",
        )

    def _decode_session(self, account: str, text: str | None) -> SessionToken | Refusal:
        if text is None:
            return SessionToken(account)
        return self._session_codec.decode(text, account)

    def _decode_transaction(self, account: str, text: str) -> TransactionRef | Refusal:
        unknown = Refusal(ErrorKind.TRANSACTION_UNKNOWN, "no such transaction")
        if len(text) > MAX_TRANSACTION_ID_BYTES:
            return unknown
        try:
            transaction = TransactionRef(*self._transaction_signer.loads(text))
        except (BadSignature, TypeError):
            return unknown
        # Another account's identifier is treated like one that does not exist.
        return transaction if transaction.account == account else unknown

    def _build_answer(
        self,
        request: CallerRequest,
        token: SessionToken,
        done: "Future[Outcome | Refusal]",
    ) -> CallerAnswer | Refusal:
        outcome = done.result()
        if isinstance(outcome, Refusal):
            return outcome
        if outcome.write_position is not None:
            token = token.advance(outcome.group, outcome.write_position)
        session = self._session_codec.encode(token)
        if isinstance(session, Refusal):
            # Unexpected: the capacity was checked before the statement ran.
            return Refusal(ErrorKind.INTERNAL, session.message)
        if isinstance(request, BeginRequest) and outcome.transaction is not None:
            identifier = self._transaction_signer.dumps(list(outcome.transaction))
            return BeginAnswer(identifier, session)
        if isinstance(request, EndRequest):
            return EndAnswer("committed" if request.commit else "rolled_back", session)
        return QueryAnswer(
            outcome.columns,
            outcome.rows,
            outcome.row_count,
            session,
            outcome.target,
            outcome.role,
        )
