"""State that all sessions and background tasks of one instance share.

The parts that decide, such as ``UsableTargets``, all read it. It has no decisions of
its own, so that each part can be read without the others.
"""

from collections.abc import Callable
from random import Random
from typing import Any

from bulrushloom.proxy import connection_allowance
from bulrushloom.proxy.base import SharedConnections
from bulrushloom.proxy.clients.limited_log import LimitedLog
from bulrushloom.proxy.clients.limits import client_limits
from bulrushloom.proxy.clients.memory_budget import MemoryBudget
from bulrushloom.proxy.configuration import EMPTY_CONFIGURATION, Configuration, Target
from bulrushloom.proxy.connection_pool import ConnectionPool
from bulrushloom.proxy.failover.commits import CommitAcknowledgements
from bulrushloom.proxy.failover.evacuation import DEFAULT_BOUND
from bulrushloom.proxy.failover.group_table import GroupTable
from bulrushloom.proxy.failover.promotion_orders import PromotionOrders
from bulrushloom.proxy.limits import AccountLimiter, RateWindow
from bulrushloom.proxy.regions import Regions
from bulrushloom.proxy.routing import ReadRouter
from bulrushloom.proxy.scheduling.budget import RetryBudget
from bulrushloom.proxy.settings import ProxySettings
from bulrushloom.proxy.stopping import StopPlan
from bulrushloom.proxy.store_eras import EraKnowledge
from bulrushloom.proxy.store_freshness import StoreFreshness
from bulrushloom.proxy.telemetry import EventLog, Metrics
from bulrushloom.runtime.loop import Loop
from bulrushloom.runtime.streams import Network


class InstanceState:
    """State of one instance, without the decisions based on it.

    ``on_suspicion`` is called when a target becomes suspected of a failure.
    ``request_list`` starts a read of the list of targets and instances at once, and
    ``request_client_read`` a read of the store on behalf of a client; ``None`` if not
    available.
    ``stop_plan`` is set once the instance stops. While ``session_close_reason`` is not
    empty, a refusal closes the session. ``sharing`` leases connections to targets that
    have fewer of them than there are instances; ``retry_budget`` bounds the further
    attempts at these.
    """

    def __init__(
        self,
        loop: Loop,
        network: Network,
        settings: ProxySettings,
        log: EventLog,
        metrics: Metrics,
    ):
        self.loop = loop
        self.network = network
        self.settings = settings
        self.log = log
        self.metrics = metrics
        self.configuration: Configuration = EMPTY_CONFIGURATION
        self.store_freshness = StoreFreshness(settings)
        self.eras = EraKnowledge(self.store_freshness)
        self.commits = CommitAcknowledgements(loop, self.store_freshness)
        self.orders = PromotionOrders(loop)
        self.table = GroupTable(settings.target_drain_bound, settings.evacuation_bound)
        # Seeded by name: instances that fail together must not retry at the same time.
        self.random = Random(settings.name)
        self.limiter = AccountLimiter(_rate_window(settings), loop.now(), self.random)
        self.regions = Regions(settings)
        self.router = ReadRouter(lambda domain: self.regions.distance_to(domain))
        self.pool = ConnectionPool(loop, network, self.connection_quota)
        self.limits = client_limits(settings)
        self.memory = MemoryBudget(self.limits.memory, loop.call_soon)
        self.pool.memory = self.memory
        self.memory_refusal_log = LimitedLog(loop, log, "statement_refused_for_memory")
        self.sharing: SharedConnections | None = None
        self.retry_budget = RetryBudget(loop.now())
        self.member_count = 1
        self.stop_plan: StopPlan | None = None
        self.session_close_reason = ""
        self._started_at = loop.now()
        self.on_suspicion: Callable[[], None] = lambda: None
        self.request_list: Callable[[], object] = lambda: None
        self.request_client_read: Any = None

    @property
    def is_stopping(self) -> bool:
        """Return whether a planned stop has begun."""
        return self.stop_plan is not None

    def connection_quota(self, target: Target) -> int:
        """Return how many connections this instance may have to ``target``."""
        return connection_allowance.quota(
            self.max_connections(target.service),
            self.member_count,
            self.loop.now() - self._started_at,
        )

    def max_connections(self, service_name: str) -> int:
        """Return the limit of each target of a service for all connections."""
        service = self.configuration.service_by_name.get(service_name)
        return service.max_connections if service else 0

    def apply_settings(self, settings: ProxySettings) -> None:
        """Apply the time bounds and rate tolerances of changed settings."""
        self.settings = settings
        self.store_freshness.settings = settings
        self.regions = Regions(settings)
        self.table.drain_bound = settings.target_drain_bound
        self.table.evacuations.bound = settings.evacuation_bound or DEFAULT_BOUND
        self.limiter.window = _rate_window(settings)


def _rate_window(settings: ProxySettings) -> RateWindow:
    return RateWindow(settings.rate_window, settings.rate_excess, settings.rate_slack)
