"""HTTP interface of the database server."""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus
from typing import Annotated, Any

from annotated_types import Ge, Le, MaxLen, MinLen
from pydantic import ConfigDict, TypeAdapter, with_config
from typing_extensions import NotRequired, TypedDict

from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.databases.exceptions import RefusalReason, StatementRefused
from standins.base import Answer, Request, Standin, ok
from standins.database.replication import Replication, ship_entries
from standins.database.sessions import Session
from standins.database.state import GroupSettings, ServerState
from standins.database.statements import Statement, StatementExecutor
from standins.faults import CommonFaults, Count, Faults, Milliseconds
from standins.utils import BadRequest, DropConnection, parse_body

MAX_POLL_MS = 60_000

Number = Annotated[int, Ge(0), Le(2**62)]
Term = Annotated[int, Ge(1), Le(2**62)]
Position = Annotated[list[Number], MinLen(2), MaxLen(2)]
Name = Annotated[str, MinLen(1), MaxLen(200)]
Parameter = Annotated[int, Ge(-(2**63)), Le(2**63 - 1)] | float | str | bool | None
PollTime = Annotated[int, Ge(0), Le(MAX_POLL_MS)]


@with_config(ConfigDict(extra="forbid"))
class DatabaseFaults(CommonFaults, total=False):
    """Capacity and fault settings of a database server.

    ``slots`` is the number of statements that run at the same time, ``queue`` the
    number that may wait for a slot. ``connections`` limits the open connections. A
    replica receives entries ``ship_lag_ms`` late and applies them ``lag_ms`` after
    that. ``lose_control_answers`` is the number of next fence, promote and follow
    calls that take effect but are not answered.
    """

    slots: Annotated[int, Ge(1), Le(1000)]
    queue: Count
    connections: Count
    connect_ms: Milliseconds
    service_ms: Milliseconds
    lock_timeout_ms: Milliseconds
    transaction_idle_ms: Milliseconds
    lag_ms: Milliseconds
    ship_lag_ms: Milliseconds
    pause_replication: bool
    refuse_connections: bool
    lose_control_answers: Count


DEFAULTS: dict[str, Any] = {
    "slots": 3,
    "queue": 32,
    "connections": 40,
    "connect_ms": 10,
    "service_ms": 0,
    "lock_timeout_ms": 2_000,
    # Longer than 30 s, after which an instance itself ends an idle transaction.
    "transaction_idle_ms": 35_000,
    "lag_ms": 0,
    "ship_lag_ms": 0,
    "pause_replication": False,
    "refuse_connections": False,
    "lose_control_answers": 0,
}


@with_config(ConfigDict(extra="forbid"))
class IdempotencyBody(TypedDict):
    """The idempotency key of a write."""

    account: str
    key: str
    request_hash: str


@with_config(ConfigDict(extra="forbid"))
class ExecuteBody(TypedDict):
    """Request body of ``/execute``: a statement on a connection."""

    connection: str
    sql: str
    params: list[Parameter]
    term: Term
    read_only: bool
    min_position: Position
    max_age_ms: Number | None
    wait_ms: PollTime
    idempotency: IdempotencyBody | None


@with_config(ConfigDict(extra="forbid"))
class ConnectionBody(TypedDict):
    """Request body of ``/disconnect`` and ``/rollback``."""

    connection: str


@with_config(ConfigDict(extra="forbid"))
class TransactionBody(TypedDict):
    """Request body of ``/begin`` and ``/commit``."""

    connection: str
    term: Term


@with_config(ConfigDict(extra="forbid"))
class StatusBody(TypedDict):
    """Request body of ``/status``.

    The call waits up to ``wait_ms`` until the log reaches ``position``.
    """

    position: NotRequired[Position | None]
    wait_ms: NotRequired[PollTime]


@with_config(ConfigDict(extra="forbid"))
class CandidateBody(TypedDict):
    """Request body of ``/fence`` and ``/promote``."""

    term: Term
    candidate: Name


@with_config(ConfigDict(extra="forbid"))
class FollowBody(TypedDict):
    """Request body of ``/follow``: a term and the address of its primary."""

    term: Term
    primary: Name


@with_config(ConfigDict(extra="forbid"))
class ReplicateBody(TypedDict):
    """Request body of ``/replicate``: a request for the entries after ``previous``."""

    term: Term
    previous: Position
    ship_lag_ms: Milliseconds


_FAULTS = TypeAdapter(DatabaseFaults)
_EXECUTE = TypeAdapter(ExecuteBody)
_CONNECTION = TypeAdapter(ConnectionBody)
_TRANSACTION = TypeAdapter(TransactionBody)
_STATUS = TypeAdapter(StatusBody)
_CANDIDATE = TypeAdapter(CandidateBody)
_FOLLOW = TypeAdapter(FollowBody)
_REPLICATE = TypeAdapter(ReplicateBody)
_EMPTY = TypeAdapter(dict[str, str])


def group_settings(
    name: str, group: str, domain: str, peers: str, primary: bool
) -> GroupSettings:
    """Parse ``peers``, which is ``name=host:port,...`` and may include ``name``."""
    address_by_peer = {}
    for item in filter(None, peers.split(",")):
        peer, separator, address = item.partition("=")
        if not separator or not address.rpartition(":")[2].isdigit():
            raise ValueError(f"peers: {item!r} is not name=host:port")
        if peer != name:
            address_by_peer[peer] = address
    return GroupSettings(name, group, domain, address_by_peer, primary)


class DatabaseStandin(Standin):
    """HTTP interface of one database server of a group."""

    def __init__(self, settings: GroupSettings, schema: str = ""):
        super().__init__(Faults(_FAULTS, DEFAULTS))
        self.state = ServerState(settings, schema)
        self._executor = StatementExecutor(self.state, self.faults)
        self._replication = Replication(self.state, self.faults)
        self.handler_by_route = {
            ("GET", "/status"): self._status,
            ("POST", "/status"): self._status,
            ("POST", "/connect"): self._connect,
            ("POST", "/disconnect"): self._disconnect,
            ("POST", "/execute"): self._execute,
            ("POST", "/begin"): self._begin,
            ("POST", "/commit"): self._commit,
            ("POST", "/rollback"): self._rollback,
            ("POST", "/fence"): self._fence,
            ("POST", "/promote"): self._promote,
            ("POST", "/follow"): self._follow,
            ("POST", "/replicate"): self._replicate,
        }

    def start(self, address: str) -> None:
        """Start the replication threads."""
        self.state.address = address
        self._replication.start()

    def close(self) -> None:
        """Wake all waiting requests and stop replication."""
        with self.state.changed:
            self.state.closed = True
            self.state.changed.notify_all()
        self._replication.close()

    def socket_closed(self, port: int) -> None:
        """Close the connections of a socket and roll back their transactions."""
        with self.state.changed:
            for session in self.state.sessions.on_port(port):
                self.state.close_session(session)

    def faults_changed(self) -> None:
        """Wake waiting threads so that they apply the new settings."""
        with self.state.changed:
            self.state.changed.notify_all()

    def bad_request(self, reason: str) -> Answer:
        """Return the answer to an invalid request."""
        refusal = RefusalReason.BAD_REQUEST.value
        return Answer(HTTPStatus.BAD_REQUEST, {"refused": refusal, "error": reason})

    def _handle_request(self, environ: dict[str, Any]) -> Answer:
        try:
            return super()._handle_request(environ)
        except StatementRefused as error:
            self.faults.count(f"refused_{error.reason.value}")
            value = {"refused": error.reason.value, "error": str(error)}
            return Answer(HTTPStatus.CONFLICT, value)

    def _connect(self, request: Request) -> Answer:
        parse_body(_EMPTY, request.body)
        if self.faults["refuse_connections"]:
            self.faults.count("connections_refused")
            raise DropConnection("connections are refused")
        with self.state.changed:
            session = self.state.sessions.open(request.port, self.faults["connections"])
        self.faults.count("connect")
        time.sleep(self.faults["connect_ms"] / 1000)
        return ok({"connection": session.id})

    def _disconnect(self, request: Request) -> Answer:
        body = parse_body(_CONNECTION, request.body)
        with self.state.changed:
            session = self.state.sessions.find(body["connection"], request.port)
            self.state.close_session(session)
        return ok({})

    def _execute(self, request: Request) -> Answer:
        body = parse_body(_EXECUTE, request.body)
        with self._reserve_connection(body["connection"], request.port) as session:
            self.faults.count("execute")
            value, committed = self._executor.execute(session, _statement(body))
        if committed:
            self.faults.maybe_lose_answer()
        return ok(value)

    def _begin(self, request: Request) -> Answer:
        body = parse_body(_TRANSACTION, request.body)
        with self._reserve_connection(body["connection"], request.port) as session:
            self.faults.count("begin")
            self._executor.begin(session, body["term"])
        return ok({})

    def _commit(self, request: Request) -> Answer:
        body = parse_body(_TRANSACTION, request.body)
        with self._reserve_connection(body["connection"], request.port) as session:
            self.faults.count("commit")
            position = self._executor.commit(session, body["term"])
        self.faults.maybe_lose_answer()
        return ok({"position": list(position)})

    def _rollback(self, request: Request) -> Answer:
        body = parse_body(_CONNECTION, request.body)
        with self._reserve_connection(body["connection"], request.port) as session:
            self.faults.count("rollback")
            self._executor.rollback(session)
        return ok({})

    def _status(self, request: Request) -> Answer:
        body = parse_body(_STATUS, request.body)
        self.faults.count("status")
        position = body.get("position")
        deadline = time.monotonic() + body.get("wait_ms", 0) / 1000
        with self.state.changed:
            while position and self.state.log.position < LogPosition(*position):
                remaining = deadline - time.monotonic()
                if remaining <= 0 or self.state.closed:
                    break
                self.state.changed.wait(remaining)
            return ok(self.state.status())

    def _fence(self, request: Request) -> Answer:
        body = parse_body(_CANDIDATE, request.body)
        self.faults.count("fence")
        with self.state.changed:
            self.state.fence(body["term"], body["candidate"])
        return self._control_answer()

    def _promote(self, request: Request) -> Answer:
        body = parse_body(_CANDIDATE, request.body)
        self.faults.count("promote")
        with self.state.changed:
            self.state.promote(body["term"], body["candidate"])
        return self._control_answer()

    def _follow(self, request: Request) -> Answer:
        body = parse_body(_FOLLOW, request.body)
        if not body["primary"].rpartition(":")[2].isdigit():
            raise BadRequest("primary: not host:port")
        self.faults.count("follow")
        with self.state.changed:
            self.state.follow(body["term"], body["primary"])
        return self._control_answer()

    def _control_answer(self) -> Answer:
        self.faults.maybe_lose_answer("lose_control_answers")
        with self.state.changed:
            return ok(self.state.status())

    def _replicate(self, request: Request) -> Answer:
        body = parse_body(_REPLICATE, request.body)
        if self.faults["pause_replication"]:
            raise DropConnection("replication is paused")
        previous = LogPosition(*body["previous"])
        lag = body["ship_lag_ms"] / 1000
        return ok(ship_entries(self.state, body["term"], previous, lag))

    @contextmanager
    def _reserve_connection(self, connection: str, port: int) -> Iterator[Session]:
        """Reserve a connection for one request; refuse concurrent requests."""
        with self.state.changed:
            session = self.state.sessions.find(connection, port)
            if session.is_busy:
                message = "another request is using the connection"
                raise StatementRefused(RefusalReason.BAD_REQUEST, message)
            session.is_busy = True
        try:
            yield session
        finally:
            with self.state.changed:
                session.is_busy = False
                session.last_used_at = time.monotonic()


def _statement(body: dict[str, Any]) -> Statement:
    max_age = body["max_age_ms"]
    return Statement(
        body["sql"],
        body["params"],
        body["term"],
        body["read_only"],
        LogPosition(*body["min_position"]),
        None if max_age is None else max_age / 1000,
        body["wait_ms"] / 1000,
        body["idempotency"],
    )
