"""Where connections to a target come from, and where they return to.

An instance opens its own connections, or leases them from their owner if the target
admits fewer of them than there are instances.
"""

from datetime import timedelta

from bulrushloom.proxy import connection_allowance
from bulrushloom.proxy.base import (
    LeasedConnection,
    SharedConnections,
    TargetConnection,
)
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.connections import ServerConnection
from bulrushloom.proxy.instance_state import InstanceState

_ZERO = timedelta()


class ConnectionSources:
    """Choice between the pool of one instance and its shared connections."""

    def __init__(self, state: InstanceState):
        self._state = state

    def shared(self, target: Target) -> SharedConnections | None:
        """Return what leases connections to a target, if they are shared.

        Those to a target with a hard limit are, since owners keep that limit.
        """
        is_shared = self.shares(target.service) or self.limits_cold_requests(target)
        return self._state.sharing if is_shared else None

    def shares(self, service: str) -> bool:
        """Return whether the connections to the targets of a service are shared."""
        return self._state.sharing is not None and self._state.sharing.covers(service)

    def limits_cold_requests(self, target: Target) -> bool:
        """Return whether the requests a second to a target have a hard limit now."""
        service = self._state.configuration.service_by_name.get(target.service)
        has_limit = service is not None and service.cold_per_s > 0
        return has_limit and target.cold_left > _ZERO

    def release(self, connection: TargetConnection) -> None:
        """Return a connection to where it came from, or close it."""
        if isinstance(connection, LeasedConnection):
            connection.release()
        else:
            assert isinstance(connection, ServerConnection)
            self._state.pool.release(connection)

    def close_unused_connections(self) -> None:
        """Close idle connections to targets that have few for each instance."""
        for target_id in self._state.pool.target_ids():
            known = self._state.table.listed_target_by_id.get(target_id)
            if known is None:
                continue
            lifetime = connection_allowance.idle_lifetime(
                self._state.max_connections(known.target.service),
                self._state.member_count,
            )
            if lifetime is not None:
                self._state.pool.close_idle_connections(
                    target_id, "not used for long", self._state.loop.now() - lifetime
                )

    def record_too_many_connections(self, target: Target) -> None:
        """Record that a target had too many connections; close idle ones to it."""
        self._state.metrics.count("too_many_connections", target.target_id)
        self._state.pool.close_excess_idle(
            target.target_id, self._state.connection_quota(target) // 2
        )
