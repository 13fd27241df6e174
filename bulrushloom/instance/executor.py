"""Blocking calls to targets, on a pool of threads."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from typing import Any

from bulrushloom.coordination.base import Effect
from bulrushloom.coordination.failover.base import (
    Fenced,
    FenceFailed,
    FenceRefused,
    FenceServer,
    Followed,
    FollowFailed,
    FollowPrimary,
    PollStatus,
    Promoted,
    PromoteFailed,
    PromoteServer,
    StatusFailed,
    StatusReceived,
)
from bulrushloom.coordination.replication.base import (
    AwaitPosition,
    AwaitPositionAnswered,
    AwaitPositionFailed,
)
from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.core.clock import Clock
from bulrushloom.databases.base import DatabaseClient
from bulrushloom.databases.exceptions import (
    DatabaseError,
    RefusalReason,
    ServerUnreachable,
    StatementRefused,
)
from bulrushloom.databases.pool import ConnectionPool, is_reusable_after
from bulrushloom.instance.base import Executed, RunBegin, RunEnd, RunStatement
from bulrushloom.instance.owner import connection_limit
from bulrushloom.rules.base import TargetRule

STATEMENT_THREADS = 48
CONTROL_THREADS = 24

# Maximum wait for a connection to a target while other statements of this instance use
# all of its connections to the target.
POOL_TIMEOUT = timedelta(seconds=1)

Post = Callable[[Any], None]
MakeServer = Callable[[str], DatabaseClient]


class _Endpoint:
    """Hold the connection pool of one target and the connections of transactions."""

    def __init__(self, rule: TargetRule, server: DatabaseClient):
        self.rule = rule
        self.server = server
        self.pool = ConnectionPool(server, connection_limit(rule))
        self.connection_by_handle: dict[str, str] = {}
        # Handles of the transactions in which a statement got no answer. The statement
        # may still reach the server.
        self.unanswered_handles: set[str] = set()

    def close(self) -> None:
        self.pool.close()
        self.server.close()


class TargetExecutor:
    """Execute the effects that call targets and post their results.

    Statements and control calls use separate threads, so that slow statements do not
    delay failure detection.
    """

    def __init__(self, make_server: MakeServer, clock: Clock, post: Post):
        self._make_server = make_server
        self._clock = clock
        self._post = post
        self._endpoint_by_target: dict[str, _Endpoint] = {}
        self._address_by_target: dict[str, str] = {}
        self._statements = ThreadPoolExecutor(STATEMENT_THREADS, "statement")
        self._control = ThreadPoolExecutor(CONTROL_THREADS, "control")

    def update_targets(self, rules: dict[str, TargetRule]) -> None:
        """Apply the addresses of a new rules version.

        This method and ``submit`` must be called from the same thread.
        """
        self._address_by_target = {name: rule.address for name, rule in rules.items()}
        for name, endpoint in list(self._endpoint_by_target.items()):
            rule = rules.get(name)
            if rule is None or rule.address != endpoint.rule.address:
                del self._endpoint_by_target[name]
                self._control.submit(endpoint.close)

    def submit(self, effect: Effect, rule: TargetRule) -> None:
        """Start the call that ``effect`` describes.

        This method and ``update_targets`` must be called from the same thread.
        """
        endpoint = self._endpoint_by_target.get(rule.name)
        if endpoint is None:
            endpoint = _Endpoint(rule, self._make_server(rule.address))
            self._endpoint_by_target[rule.name] = endpoint
        if isinstance(effect, RunStatement | RunBegin | RunEnd):
            self._statements.submit(self._run, effect, endpoint)
        else:
            self._control.submit(self._run_control_call, effect, endpoint)

    def close(self) -> None:
        """Wait for running calls and close all sockets."""
        self._statements.shutdown()
        self._control.shutdown()
        for endpoint in self._endpoint_by_target.values():
            endpoint.close()

    def _run(
        self, effect: RunStatement | RunBegin | RunEnd, endpoint: _Endpoint
    ) -> None:
        started = self._clock.monotonic()
        result: Any = None
        try:
            if isinstance(effect, RunStatement):
                result = self._run_statement(effect, endpoint)
            elif isinstance(effect, RunBegin):
                self._run_begin(effect, endpoint)
            else:
                result = self._run_end(effect, endpoint)
        except Exception as error:
            result = error
        duration = self._clock.monotonic() - started
        self._post(Executed(effect.target, effect.request_id, result, duration))

    def _run_statement(self, effect: RunStatement, endpoint: _Endpoint) -> Any:
        if not effect.handle:
            with endpoint.pool.connection(POOL_TIMEOUT) as connection:
                return endpoint.server.execute(connection, effect.work)
        connection = _connection_of(endpoint, effect.handle)
        try:
            return endpoint.server.execute(connection, effect.work)
        except BaseException as error:
            if not is_reusable_after(error):
                endpoint.unanswered_handles.add(effect.handle)
            raise

    def _run_begin(self, effect: RunBegin, endpoint: _Endpoint) -> None:
        connection = endpoint.pool.acquire(POOL_TIMEOUT)
        try:
            endpoint.server.begin(connection, effect.term)
        except DatabaseError:
            endpoint.pool.discard(connection)
            raise
        endpoint.connection_by_handle[effect.handle] = connection

    def _run_end(self, effect: RunEnd, endpoint: _Endpoint) -> Any:
        connection = endpoint.connection_by_handle.pop(effect.handle, None)
        if connection is None:
            raise _no_transaction(effect.handle)
        if effect.handle in endpoint.unanswered_handles:
            return self._roll_back_by_closing(effect, connection, endpoint)
        try:
            position = self._commit_or_roll_back(effect, connection, endpoint.server)
        except Exception:
            # The server rolls back the open transaction of a closed connection.
            endpoint.pool.discard(connection)
            raise
        endpoint.pool.release(connection)
        return position

    def _roll_back_by_closing(
        self, effect: RunEnd, connection: str, endpoint: _Endpoint
    ) -> None:
        """Roll back by closing the connection, so that a late statement cannot use it.

        If the connection stayed open after a rollback, a late statement would run
        outside of its transaction, or in the transaction of the next user.
        """
        endpoint.unanswered_handles.discard(effect.handle)
        endpoint.pool.discard(connection)
        if effect.commit:
            raise _no_transaction(effect.handle)

    def _commit_or_roll_back(
        self, effect: RunEnd, connection: str, server: DatabaseClient
    ) -> LogPosition | None:
        if effect.commit:
            return server.commit(connection, effect.term)
        server.rollback(connection)
        return None

    def _run_control_call(self, effect: Effect, endpoint: _Endpoint) -> None:
        self._post(self._control_result(effect, endpoint))

    def _control_result(self, effect: Effect, endpoint: _Endpoint) -> Effect:
        server = endpoint.server
        if isinstance(effect, PollStatus):
            try:
                return StatusReceived(effect.target, server.status())
            except DatabaseError as error:
                return StatusFailed(effect.target, str(error))
        if isinstance(effect, AwaitPosition):
            try:
                status = server.status(effect.position, effect.wait)
                return AwaitPositionAnswered(effect.target, status)
            except DatabaseError as error:
                return AwaitPositionFailed(effect.target, str(error))
        if isinstance(effect, FenceServer):
            return _fence(effect, server)
        if isinstance(effect, PromoteServer):
            try:
                status = server.promote(effect.term, effect.candidate)
                return Promoted(effect.target, effect.term, status)
            except DatabaseError as error:
                return PromoteFailed(effect.target, effect.term, str(error))
        if isinstance(effect, FollowPrimary):
            return self._follow(effect, server)
        raise TypeError(f"unsupported effect {type(effect).__name__}")

    def _follow(self, effect: FollowPrimary, server: DatabaseClient) -> Effect:
        address = self._address_by_target.get(effect.primary, "")
        try:
            status = server.follow(effect.term, address)
            return Followed(effect.target, effect.term, status)
        except DatabaseError as error:
            return FollowFailed(effect.target, effect.term, str(error))


def _fence(effect: FenceServer, server: DatabaseClient) -> Effect:
    try:
        status = server.fence(effect.term, effect.candidate)
        return Fenced(effect.target, effect.term, status)
    except (StatementRefused, ServerUnreachable) as error:
        return FenceRefused(effect.target, effect.term, str(error))
    except DatabaseError as error:
        return FenceFailed(effect.target, effect.term, str(error))


def _connection_of(endpoint: _Endpoint, handle: str) -> str:
    connection = endpoint.connection_by_handle.get(handle)
    if connection is None:
        raise _no_transaction(handle)
    return connection


def _no_transaction(handle: str) -> StatementRefused:
    return StatementRefused(
        RefusalReason.NO_TRANSACTION, f"transaction {handle} has no connection"
    )
