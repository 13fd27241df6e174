"""Composition, start and shutdown of one instance."""

import os
import random
import secrets
import signal
import threading
import time
from concurrent.futures import Future
from contextlib import ExitStack
from datetime import timedelta
from types import FrameType
from typing import Any

from bulrushloom.conf.base import Settings
from bulrushloom.coordination.configuration.tracker import ConfigurationTracker
from bulrushloom.coordination.failover.base import FailoverPolicy
from bulrushloom.coordination.limits.client import ShareClient
from bulrushloom.coordination.limits.holder import ShareHolder
from bulrushloom.coordination.membership.base import InstanceTable
from bulrushloom.coordination.queueing.fair import FairQueue
from bulrushloom.coordination.retries.budgets import BudgetedRetries
from bulrushloom.coordination.routing.policies import FreshReplicaPolicy
from bulrushloom.core.clock import Clock, SystemClock
from bulrushloom.core.errors import Refusal
from bulrushloom.core.requests import RequestLimits
from bulrushloom.core.servers import ServerOptions
from bulrushloom.databases.http import HttpDatabaseClient
from bulrushloom.directories.base import InstanceEntry
from bulrushloom.directories.http import HttpInstanceDirectory
from bulrushloom.gateway.server import GatewayServer, create_server
from bulrushloom.instance.coordinator import Adapters, Coordinator, Drain, IdleQuery
from bulrushloom.instance.executor import TargetExecutor
from bulrushloom.instance.frontend import Frontend
from bulrushloom.instance.metering import MetricsEndpoint
from bulrushloom.instance.node import Node, NodeComponents
from bulrushloom.instance.platform import DirectoryTask, StoreTask
from bulrushloom.instance.protocol import peer_codec
from bulrushloom.instance.recorder import RequestRecorder
from bulrushloom.instance.router import StatementRouter
from bulrushloom.instance.views import GroupViewCache
from bulrushloom.peers.http import HTTPPeerTransport, TransportOptions, split_address
from bulrushloom.stores.http import HttpConfigurationStore
from bulrushloom.telemetry.logs import log_effects, log_event, opened_logs
from bulrushloom.telemetry.refusals import RefusalLog

# A draining instance still accepts requests for this long, until the load balancer has
# stopped sending them.
LOAD_BALANCER_DELAY = timedelta(seconds=1)

# Number of shards into which the accounts are divided. Each domain has one share holder
# for each shard. The number must be the same on all instances.
SHARDS_PER_DOMAIN = 4

# Maximum number of statements of one account that wait for a slot of one target.
MAX_QUEUED_STATEMENTS_PER_ACCOUNT = 256

IDLE_CHECK_INTERVAL = timedelta(milliseconds=50)


class Instance:
    """All tasks and sockets of one instance, with their start and shutdown."""

    def __init__(self, settings: Settings, clock: Clock):
        self.settings = settings
        self._clock = clock
        self._stack = ExitStack()
        self._incarnation = secrets.token_hex(6)
        self._entry = InstanceEntry(
            settings.name,
            settings.domain,
            settings.peer_address,
            self._incarnation,
            False,
        )
        self._node = self._build_node()
        self._coordinator = Coordinator(self._node, clock)
        self._frontend = Frontend(
            self._coordinator.post,
            clock,
            settings.fleet_secret,
            f"{settings.name}.{self._incarnation}",
            timedelta(milliseconds=settings.request_timeout_ms),
        )
        self._refusals = RefusalLog(clock)
        self._metrics_endpoint = MetricsEndpoint(
            settings.name,
            settings.domain,
            clock,
            self._coordinator.post,
            lambda: self._transport.counts.body_bytes,
        )
        self._transport = self._build_transport()
        self._gateway = self._build_gateway()

    def start(self) -> None:
        """Open all sockets and start all tasks."""
        settings, post = self.settings, self._coordinator.post
        origin = f"{settings.name}/{settings.domain}"
        store = HttpConfigurationStore(settings.store_address, origin)
        directory = HttpInstanceDirectory(settings.directory_address, origin)
        adapters = Adapters(
            self._transport,
            TargetExecutor(
                lambda address: HttpDatabaseClient(address, origin), self._clock, post
            ),
            StoreTask(store, post),
            DirectoryTask(directory, post),
            self._frontend,
            lambda entry: log_effects([entry]),
        )
        metrics = self._metrics_endpoint.metrics
        recorder = RequestRecorder(metrics, self._clock.monotonic())
        self._coordinator.connect(adapters, recorder)
        # Closed in reverse order, from the coordinator to the platform's clients.
        self._stack.callback(metrics.close)
        self._stack.callback(adapters.store.close)
        self._stack.callback(adapters.directory.close, self._entry)
        self._stack.callback(adapters.executor.close)
        self._stack.callback(self._transport.close)
        self._stack.callback(self._coordinator.close)
        self._transport.start(post)
        self._coordinator.start()
        self._gateway.open()
        log_event("instance_started", {"incarnation": self._incarnation})

    def drain(self) -> None:
        """Stop accepting work, finish open work until the deadline and shut down."""
        deadline = self._clock.monotonic() + timedelta(
            milliseconds=self.settings.drain_timeout_ms
        )
        log_event("drain_started", {"incarnation": self._incarnation})
        self._frontend.draining = True
        self._coordinator.post(Drain())
        time.sleep(LOAD_BALANCER_DELAY.total_seconds())
        self._gateway.close(deadline - self._clock.monotonic())
        while self._clock.monotonic() < deadline and not self._is_idle():
            time.sleep(IDLE_CHECK_INTERVAL.total_seconds())
        fields = {"incarnation": self._incarnation, "work_open": not self._is_idle()}
        self._stack.close()
        log_event("drain_finished", fields)

    def _is_idle(self) -> bool:
        future: Future[bool] = Future()
        self._coordinator.post(IdleQuery(future))
        return future.result()

    def _build_node(self) -> Node:
        settings = self.settings
        rng = random.Random(secrets.randbits(64))
        table = InstanceTable(self._entry)
        views = GroupViewCache(table)
        retries = BudgetedRetries()
        tracker = ConfigurationTracker(settings.name, settings.domain, rng)
        router = StatementRouter(
            table, views, FreshReplicaPolicy(), retries, lambda: tracker.view
        )
        member = (settings.name, self._incarnation, settings.domain)
        client = ShareClient(*member, shards=SHARDS_PER_DOMAIN)
        holders = [ShareHolder(*member, shard) for shard in range(SHARDS_PER_DOMAIN)]
        policy = FailoverPolicy(
            poll_interval=timedelta(milliseconds=settings.poll_interval_ms)
        )
        parts = NodeComponents(table, views, router, tracker, client, holders)
        return Node(parts, policy, lambda: FairQueue(MAX_QUEUED_STATEMENTS_PER_ACCOUNT))

    def _build_transport(self) -> HTTPPeerTransport:
        settings = self.settings
        return HTTPPeerTransport(
            settings.name,
            settings.domain,
            self._incarnation,
            settings.fleet_secret,
            settings.peer_address,
            self._clock,
            peer_codec(),
            metrics=self._metrics_endpoint,
            status=self._status,
            options=TransportOptions(fault_injection=settings.fault_injection),
        )

    def _status(self) -> dict[str, Any]:
        sent = self._transport.counts._asdict()
        return {**self._frontend.status(), "sent": sent}

    def _build_gateway(self) -> GatewayServer:
        settings = self.settings
        options = ServerOptions(
            threads=settings.gateway_threads,
            limits=RequestLimits(body_bytes=settings.max_body_bytes),
        )
        address = split_address(settings.caller_address)
        return create_server(
            self._frontend, address, options, record_refusal=self._record_refusal
        )

    def _record_refusal(self, request_id: str, account: str, refusal: Refusal) -> None:
        self._metrics_endpoint.metrics.record_refusal(account, refusal.kind.value)
        self._refusals.record(request_id, account, refusal)


def run_instance(settings: Settings) -> None:
    """Run an instance until SIGTERM or SIGINT, then drain it."""
    with opened_logs(settings.log_path, settings.name):
        _run(settings)


def _run(settings: Settings) -> None:
    stopped = threading.Event()

    def stop(signum: int, frame: FrameType | None) -> None:
        stopped.set()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    instance = Instance(settings, SystemClock())
    instance.start()
    print(f"listening {settings.caller_address} pid {os.getpid()}", flush=True)
    stopped.wait()
    instance.drain()
