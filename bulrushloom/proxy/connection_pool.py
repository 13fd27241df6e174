"""Pool that keeps the connections to targets, and their number within a quota."""

import itertools
from collections import Counter
from collections.abc import Callable, Mapping
from concurrent.futures import Future
from datetime import timedelta

from bulrushloom.proxy.account_uses import AccountUses
from bulrushloom.proxy.clients.memory_budget import AccountKind, MemoryBudget
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.connections import ServerConnection, open_connection
from bulrushloom.runtime.loop import Loop, Steps, set_result_if_pending
from bulrushloom.runtime.streams import Network

# Need of a second idle connection of an account, compared with its first one.
FURTHER_CONNECTION_NEED = 0.25


class ConnectionPool:
    """Pool of the connections of this instance to all targets.

    ``connection_quota`` returns the limit of connections to a target.
    """

    def __init__(
        self, loop: Loop, network: Network, connection_quota: Callable[[Target], int]
    ):
        self._loop = loop
        self._network = network
        self._connection_quota = connection_quota
        self._connections_by_target: dict[str, list[ServerConnection]] = {}
        self._opening_by_target: dict[str, int] = {}
        self._waiters_by_target: dict[str, list[tuple[int, int, Future[None]]]] = {}
        self._order = itertools.count()
        self._uses = AccountUses()
        self.opened = 0
        self.memory: MemoryBudget | None = None

    def in_flight(self, target_id: str) -> int:
        """Return the number of connections to a target in use or being opened."""
        used = sum(c.in_use for c in self._connections_by_target.get(target_id, ()))
        return used + self._opening_by_target.get(target_id, 0)

    def opening(self, target_id: str) -> int:
        """Return the number of connections to a target that are being opened."""
        return self._opening_by_target.get(target_id, 0)

    def has_idle(self, target_id: str, account: str) -> bool:
        """Return whether an idle connection for the account exists."""
        return any(
            not c.in_use and c.account == account
            for c in self._connections_by_target.get(target_id, ())
        )

    def size_of(self, target_id: str) -> int:
        """Return the number of open connections to a target."""
        return len(self._connections_by_target.get(target_id, ()))

    def size(self) -> int:
        """Return the number of open connections."""
        return sum(
            len(connections) for connections in self._connections_by_target.values()
        )

    def acquire(
        self,
        target: Target,
        account: str,
        values: Mapping[bytes, bytes],
        priority: int,
        timeout: timedelta,
    ) -> Steps:
        """Return a connection for the account; wait at most ``timeout`` for a free one.

        Prefers an idle connection that already has the session values ``values``.
        Waiters with a lower ``priority`` number are served first.

        Raise ``TimeoutError`` if none became free, or what ``open_connection`` raises.
        """
        deadline = self._loop.now() + timeout
        while True:
            connection = self.acquire_idle(target.target_id, account, values)
            if connection is not None:
                return connection
            if self._ensure_capacity(target):
                return (yield from self._open(target, account))
            yield from self._wait_for_release(target.target_id, priority, deadline)

    def acquire_idle(
        self, target_id: str, account: str, values: Mapping[bytes, bytes]
    ) -> ServerConnection | None:
        """Return an idle connection for the account, if there is one."""
        idle = [
            connection
            for connection in self._connections_by_target.get(target_id, ())
            if not connection.in_use and connection.account == account
        ]
        if not idle:
            return None
        with_same_values = [
            connection for connection in idle if connection.values == values
        ]
        connection = max(with_same_values or idle, key=lambda c: c.released_at)
        connection.in_use = True
        self._uses.record(target_id, account, self._loop.now())
        return connection

    def _ensure_capacity(self, target: Target) -> bool:
        """Return whether a connection may be opened; close an idle one if needed."""
        connections = self._connections_by_target.get(target.target_id, [])
        open_count = len(connections) + self._opening_by_target.get(target.target_id, 0)
        if open_count < self._connection_quota(target):
            return True
        idle = self._idle_least_needed_first(target.target_id)
        if not idle:
            return False
        idle[0].close("another account needs it")
        return True

    def _idle_least_needed_first(self, target_id: str) -> list[ServerConnection]:
        """Return the idle connections in the order in which to close them.

        Those of the accounts with the fewest uses come first. A further idle connection
        of an account is only needed for statements that run at the same time.
        """
        idle = [
            connection
            for connection in self._connections_by_target.get(target_id, ())
            if not connection.in_use
        ]
        idle.sort(key=lambda connection: connection.released_at, reverse=True)
        now = self._loop.now()
        newer_by_account: Counter[str] = Counter()
        need_by_connection: dict[ServerConnection, float] = {}
        for connection in idle:
            account = connection.account
            uses = self._uses.count(target_id, account, now)
            need_by_connection[connection] = uses * (
                FURTHER_CONNECTION_NEED ** newer_by_account[account]
            )
            newer_by_account[account] += 1
        return sorted(
            idle, key=lambda each: (need_by_connection[each], each.released_at)
        )

    def _open(self, target: Target, account: str) -> Steps:
        target_id = target.target_id
        opening = self._opening_by_target
        opening[target_id] = opening.get(target_id, 0) + 1
        self.opened += 1
        self._uses.record(target_id, account, self._loop.now())
        try:
            connection = yield from open_connection(
                self._loop, self._network, target, account
            )
        finally:
            opening[target_id] -= 1
            self._wake_waiter(target_id)
        connection.on_close = self._remove
        if self.memory is not None:
            connection.limit_memory(self.memory.open_account(AccountKind.TARGET))
        self._connections_by_target.setdefault(target_id, []).append(connection)
        return connection

    def _wait_for_release(
        self, target_id: str, priority: int, deadline: timedelta
    ) -> Steps:
        released: Future[None] = Future()
        waiters = self._waiters_by_target.setdefault(target_id, [])
        entry = (priority, next(self._order), released)
        waiters.append(entry)
        waiters.sort(key=lambda waiter: waiter[:2])
        try:
            yield self._loop.wait_for(released, deadline - self._loop.now())
        except TimeoutError:
            if released.done():
                # Released in the same moment: the next waiter gets the connection.
                self._wake_waiter(target_id)
            raise
        finally:
            if entry in waiters:
                waiters.remove(entry)

    def release(self, connection: ServerConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        if not connection.is_reusable:
            connection.close("not reusable")
            return
        connection.in_use = False
        connection.released_at = self._loop.now()
        connection.count_state()
        self._wake_waiter(connection.target.target_id)

    def _remove(self, connection: ServerConnection) -> None:
        connections = self._connections_by_target.get(connection.target.target_id, [])
        if connection in connections:
            connections.remove(connection)
        if not connections:
            self._uses.forget(connection.target.target_id)
        self._wake_waiter(connection.target.target_id)

    def _wake_waiter(self, target_id: str) -> None:
        waiters = self._waiters_by_target.get(target_id)
        while waiters:
            released = waiters.pop(0)[2]
            if not released.done():
                set_result_if_pending(released, None)
                return

    def close_excess_idle(self, target_id: str, allowed: int) -> None:
        """Close idle connections to a target while more than ``allowed`` are open."""
        excess = max(0, self.size_of(target_id) - allowed)
        for connection in self._idle_least_needed_first(target_id)[:excess]:
            connection.close("the target has too many connections")

    def close_idle_connections(
        self, target_id: str, reason: str, idle_since: timedelta = timedelta.max
    ) -> None:
        """Close connections to a target that have been idle since ``idle_since``."""
        for connection in list(self._connections_by_target.get(target_id, ())):
            if not connection.in_use and connection.released_at <= idle_since:
                connection.close(reason)

    def target_ids(self) -> list[str]:
        """Return the ids of the targets with open connections."""
        return [
            key
            for key, connections in self._connections_by_target.items()
            if connections
        ]

    def close(self) -> None:
        """Close all connections."""
        for connections in list(self._connections_by_target.values()):
            for connection in list(connections):
                connection.close("the instance stops")
