"""The connections that the instances of a domain share, as one instance takes part."""

from collections.abc import Mapping
from contextlib import ExitStack
from datetime import timedelta

from bulrushloom.proxy.base import RefusalKind, SharedConnections, WaitLimits
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.exchange.fleet import Fleet
from bulrushloom.proxy.exchange.messages import Member
from bulrushloom.proxy.scheduling.pace import cold_part
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.sharing.client import LeaseClient
from bulrushloom.proxy.sharing.leases import LeaseRefusal
from bulrushloom.proxy.sharing.owner import RETRY_DELAY, Owner, TargetEvents
from bulrushloom.proxy.sharing.ownership import ShareLimiter, is_shared
from bulrushloom.proxy.sharing.peers import PeerContext, PeerServer
from bulrushloom.proxy.sharing.schedulers import TargetSchedulers
from bulrushloom.runtime.loop import Steps
from bulrushloom.runtime.streams import Stream

# After a restart, an instance learns of the new entry within this time: copies of the
# list are up to 3.5 s old, and the last attempt to connect was some time before.
RESTART_NOTICE_TIME = timedelta(seconds=5)
CHECK_INTERVAL = timedelta(milliseconds=50)
# Sessions abort a transaction that pauses for too long. A lease that is unused for this
# much longer belongs to an instance that is frozen.
LEASE_IDLE_MARGIN = timedelta(seconds=1)


class DomainConnections(SharedConnections, TargetEvents):
    """Owner and client of the shared connections of a domain in one instance."""

    def __init__(self, services: Services, member: Member, fleet: Fleet):
        self._services = services
        self._loop = loop = services.loop
        self._member = member
        self._fleet = fleet
        self._peers_by_name: Mapping[str, Member] | None = None
        self._was_stopping = False
        self._domain_count = 1
        self._down_by_target: dict[str, tuple[int, timedelta]] = {}
        self._limiter = ShareLimiter()
        self._schedulers = TargetSchedulers(
            lambda: self._domain_count,
            self._cold_limit,
            services.random,
            services.log,
            services.metrics,
        )
        self.owner = Owner(
            loop,
            services.network,
            self._find_usable_target,
            self._schedulers,
            self._connection_quota,
            self,
        )
        self.owner.pool.memory = services.memory
        self.client = LeaseClient(
            loop,
            services.network,
            member,
            self.owner,
            lambda: fleet.keys,
            services.log,
            services.metrics,
            services.router.loads,
            services.memory,
        )
        context = PeerContext(
            member.name,
            lambda: fleet.keys,
            lambda: services.is_stopping,
            services.memory,
        )
        self.peers = PeerServer(
            loop, self.owner, context, services.log, services.metrics
        )

    # What the owner asks

    def _find_target(self, target_id: str) -> Target | None:
        known = self._services.table.listed_target_by_id.get(target_id)
        return known.target if known is not None else None

    def _find_usable_target(self, target_id: str) -> Target | LeaseRefusal:
        """Return a target, or why nothing new may be sent there.

        An instance may ask for a target although its list does not name the evacuated
        domain yet.
        """
        target = self._find_target(target_id)
        if target is None:
            reason = "the target is not listed here"
            return LeaseRefusal(RefusalKind.UNKNOWN_TARGET, reason, RETRY_DELAY)
        reason = self._services.table.evacuations.reason(target)
        if reason:
            return LeaseRefusal(RefusalKind.NO_CONNECTION, reason, RETRY_DELAY)
        return target

    def _cold_limit(self, target: Target) -> int | None:
        service = self._services.configuration.service_by_name.get(target.service)
        if service is None or service.cold_per_s <= 0:
            return None
        if target.cold_left <= timedelta() and not self._may_have_restarted(target):
            return None
        settings = self._services.settings
        return cold_part(
            service.cold_per_s,
            settings.cold_excess,
            settings.cold_slack,
            # The instances of a domain may be running although they are not known.
            max(self._domain_count, len(settings.region_by_domain)),
        )

    def _may_have_restarted(self, target: Target) -> bool:
        """Return whether a target was down and its new entry is not known yet.

        Answers a cold target that is flooded before the list says that it is cold.
        """
        born_ms, down_at = self._down_by_target.get(target.target_id, (-1, timedelta()))
        if target.born_ms != born_ms:
            return False
        return self._loop.now() - down_at < RESTART_NOTICE_TIME

    def _connection_quota(self, target: Target) -> int:
        return self._limiter.allowance(
            target.target_id,
            self._services.max_connections(target.service),
            self._domain_count,
            self._loop.now(),
        )

    def on_unreachable(self, target: Target, reason: str, is_down: bool) -> None:
        """Suspect a target to which no connection could be opened."""
        self._services.report_failure(target, reason)
        if is_down:
            self._down_by_target[target.target_id] = (target.born_ms, self._loop.now())
            self._schedulers.adapt(target)

    def on_too_many(self, target: Target) -> None:
        """Reduce the share of this owner."""
        services, pool = self._services, self.owner.pool
        open_count = pool.size_of(target.target_id)
        self._limiter.record_too_many(target.target_id, open_count, self._loop.now())
        services.metrics.count("too_many_connections", target.target_id)
        services.log.write(
            "share_reduced",
            target=target.target_id,
            open=open_count,
            allowed=self._connection_quota(target),
        )
        pool.close_excess_idle(target.target_id, self._connection_quota(target))

    # What sessions ask

    def covers(self, service: str) -> bool:
        """Return whether the connections to the targets of a service are shared."""
        services = self._services
        return is_shared(services.max_connections(service), services.member_count)

    def acquire(
        self,
        target: Target,
        account: str,
        values: Mapping[bytes, bytes],
        priority: int,
        wait_limits: WaitLimits,
    ) -> Steps:
        """Lease a connection; see ``SharedConnections.acquire``."""
        return self.client.acquire(target, account, values, priority, wait_limits)

    def in_flight(self, target_id: str) -> int:
        """Return the number of requests of the domain that run or wait at a target."""
        return self.client.in_flight(target_id)

    def update_targets(self, target_by_id: Mapping[str, Target]) -> None:
        """Use the listed targets; close what belongs to those that are gone."""
        self.owner.update_targets(target_by_id)
        self.client.retain_only(target_by_id)
        self._limiter.retain_only(target_by_id)
        for target_id in self._down_by_target.keys() - target_by_id.keys():
            del self._down_by_target[target_id]

    # Peers and upkeep

    def accept(self, stream: Stream) -> None:
        """Accept the connection of another instance."""
        self.peers.accept(stream)

    def run(self) -> Steps:
        """Check members, leases and owners at short intervals."""
        while True:
            self._update_members()
            idle_limit = (
                self._services.configuration.transaction_idle_limit + LEASE_IDLE_MARGIN
            )
            self.owner.check(idle_limit, self._is_owner)
            self.peers.check()
            self.client.check()
            self._schedulers.report(self._loop.now())
            yield self._loop.sleep(CHECK_INTERVAL)

    def _is_owner(self, target_id: str) -> bool:
        """Return whether this instance shares its connections to a target."""
        target = self._find_target(target_id)
        if target is None or self._services.shared(target) is None:
            return False
        return self.client.is_owner(target_id)

    def _update_members(self) -> None:
        peers, services = self._fleet.peers_by_name, self._services
        is_stopping = services.is_stopping
        if peers is not self._peers_by_name or is_stopping != self._was_stopping:
            self._peers_by_name, self._was_stopping = peers, is_stopping
            domain = self._member.domain
            self._domain_count = len({m.domain for m in peers.values()} | {domain})
            self.client.update_members(
                [m for m in peers.values() if m.domain == domain], is_stopping
            )
        for target_id in self.owner.target_ids():
            self._limiter.set_owned(target_id, self.client.owned_since(target_id))

    def gauges(self) -> dict[str, float]:
        """Return the values for the metrics of this instance."""
        return {
            "owned_connections": self.owner.pool.size(),
            "owned_connections_opened": self.owner.pool.opened,
            "leases": self.owner.lease_count(),
            "peers": self.peers.peer_count,
            **self._schedulers.gauges(),
        }

    def close(self) -> None:
        """Close all connections."""
        with ExitStack() as stack:
            for part in (self.owner, self.peers, self.client):
                stack.callback(part.close)
