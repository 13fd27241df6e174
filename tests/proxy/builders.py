"""Builders of test data and of a simulated instance with a group of servers."""

import itertools
import os
from collections import deque
from contextlib import ExitStack
from datetime import timedelta

from bulrushloom.core.clock import ManualClock
from bulrushloom.proxy.configuration import (
    Account,
    Configuration,
    Consistency,
    Route,
    Service,
    Target,
)
from bulrushloom.proxy.failover.groups import GroupPhase, GroupRecord
from bulrushloom.proxy.regions import Regions
from bulrushloom.proxy.routing import ReadRouter
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.session import Session
from bulrushloom.proxy.settings import ProxySettings
from bulrushloom.proxy.store_freshness import NEVER
from bulrushloom.proxy.telemetry import EventLog, Metrics
from bulrushloom.runtime.loop import Loop
from standins.platform.group import SimulatedGroup
from standins.platform.network import MemoryNetwork, MemoryStream, run_for

SERVICE = "orders"
SETTINGS = ProxySettings(
    name="north-1",
    domain="north",
    session_address="127.0.0.1:7000",
    probe_address="127.0.0.1:7001",
    peer_address="127.0.0.1:7002",
    metrics_address="127.0.0.1:7003",
    store_address="127.0.0.1:7004",
    duties_address="127.0.0.1:7005",
    withdrawn_key_bound=timedelta(seconds=5),
    configuration_bound=timedelta(seconds=3),
    target_drain_bound=timedelta(seconds=7),
    stop_grace=timedelta(seconds=6),
    rate_window=timedelta(seconds=5),
    rate_excess=0.1,
    rate_slack=20,
    lease_minimum=timedelta(seconds=1),
    evacuation_bound=timedelta(seconds=5),
)


def ms(value: float) -> timedelta:
    """Return ``value`` milliseconds."""
    return timedelta(milliseconds=value)


MAX_STALENESS = ms(1500)
ANSWER_TIMEOUT = ms(1500)


def build_account(name="hotel", rate_per_s=1000.0, burst=1000.0):
    return Account(name, rate_per_s, burst, 1)


def build_route(database, consistency, max_staleness=MAX_STALENESS, **changes):
    route = Route(
        name=f"route-{database}",
        database=database,
        service=SERVICE,
        consistency=consistency,
        max_staleness=max_staleness,
        statement_timeout=ms(1000),
        latency_objective=ms(400),
        priority=1,
        is_public=False,
    )
    return route._replace(**changes)


def build_configuration(revision=1, routes=(), accounts=None, **changes):
    accounts = accounts or {"key-1": build_account()}
    routes = routes or (
        build_route("strict", Consistency.PRIMARY),
        build_route("bounded", Consistency.BOUNDED_STALENESS),
        build_route("own", Consistency.READ_YOUR_WRITES),
    )
    configuration = Configuration(
        version=revision,
        revision=revision,
        route_by_database={route.database: route for route in routes},
        service_by_name={SERVICE: Service(SERVICE, 40, 1)},
        account_by_key=accounts,
        account_by_name={account.name: account for account in accounts.values()},
        transaction_idle_limit=timedelta(seconds=3),
    )
    return configuration._replace(**changes)


def build_target(target_id, domain="north", **changes):
    target = Target(
        target_id=target_id,
        service=SERVICE,
        address=f"{target_id}:1",
        domain=domain,
        slots=3,
        is_draining=False,
        claims_primary=False,
        cold_left=timedelta(),
        born_ms=1,
        revision=1,
    )
    return target._replace(**changes)


def build_group(service=SERVICE, **changes):
    group = GroupRecord(service, GroupPhase.REPLACING, 2, "", "a", 1, 10)
    return group._replace(**changes)


class SimulatedInstance:
    """Sessions of one instance in front of simulated groups of servers.

    ``group`` is the one of ``SERVICE`` and has three servers. While
    ``store_is_reachable`` is false, simulated reads of the store fail;
    ``store_read_at`` is the time of the last one that succeeded.
    """

    def __init__(self, stack: ExitStack, **configuration_changes):
        self.loop = Loop(ManualClock(), self._on_task_error)
        self.errors: list[BaseException] = []
        stack.callback(self.loop.close)
        descriptor = os.open(os.devnull, os.O_WRONLY)
        stack.callback(os.close, descriptor)
        self.log = EventLog(self.loop, SETTINGS.name, descriptor)
        stack.callback(self.log.close)
        self.network = MemoryNetwork(self.loop)
        self.services = Services(self.loop, self.network, SETTINGS, self.log, Metrics())
        self.services.configuration = build_configuration(**configuration_changes)
        self.groups: list[SimulatedGroup] = []
        self.store_is_reachable = True
        self.store_read_at = NEVER
        self.group = self.add_group(SERVICE, ("a", "b", "c"))
        self.run(ms(6000))

    def add_group(self, service: str, target_ids: tuple[str, ...]) -> SimulatedGroup:
        """Add a service; the first of its servers is the primary."""
        group = SimulatedGroup(self.loop, service)
        self.groups.append(group)
        for number, target_id in enumerate(target_ids):
            server = group.add(target_id, f"{target_id}:1", number == 0)
            self.network.accept_by_address[server.address] = server.accept
        self.refresh()
        return group

    def _on_task_error(self, error: BaseException) -> None:
        self.errors.append(error)

    def refresh(self) -> None:
        """Apply a read of the store, as an instance does at intervals."""
        if not self.store_is_reachable:
            return
        now = self.loop.now()
        self.store_read_at = now
        targets = {
            server.server_id: build_target(
                server.server_id,
                service=group.service,
                claims_primary=server.is_primary,
            )
            for group in self.groups
            for server in group.server_by_id.values()
        }
        self.services.store_freshness.record_read(now)
        self.services.update_targets(targets, now)

    def run(self, duration: timedelta) -> None:
        """Advance the simulated time; the store is read four times per second."""
        step = ms(250)
        while duration > timedelta():
            run_for(self.loop, min(step, duration))
            duration -= step
            self.refresh()
        assert not self.errors, self.errors

    def client(self, database: str, key: str = "key-1") -> "SimulatedClient":
        """Start a session and wait until it is ready or refused."""
        client = SimulatedClient(self)
        client.send(f"START {database} {key}")
        self.run(ms(100))
        client.start_answer = client.received()
        return client


class SimulatedClient:
    """Client of one session; ``greeting`` is the answer to its START message.

    ``acknowledged_at_by_id`` has the request ids of the WRITE statements whose commit
    the client was told of with DONE, and when it read that.
    """

    _numbers = itertools.count(1)

    def __init__(self, instance: SimulatedInstance):
        self.number = next(self._numbers)
        self.instance = instance
        self.stream = MemoryStream(instance.loop)
        server_end = MemoryStream(instance.loop)
        self.stream.peer, server_end.peer = server_end, self.stream
        self.is_ended = False
        self.start_answer: list[str] = []
        self.session = Session(instance.services, server_end, self._on_end)
        self.sent = 0
        self._unanswered: deque[tuple[str, str]] = deque()
        self._transaction_ids: list[str] | None = None
        self.acknowledged_at_by_id: dict[str, timedelta] = {}

    def _on_end(self, _: Session) -> None:
        self.is_ended = True

    def send(self, line: str) -> None:
        """Send one line."""
        word, _, rest = line.partition(" ")
        if word == "QUERY":
            request_id, _, text = rest.partition(" ")
            self._unanswered.append((request_id, text.partition(" ")[0]))
        self.stream.write(line.encode() + b"\r\n")

    def received(self) -> list[str]:
        """Consume and return the received lines."""
        lines = self.stream.read_all().decode().splitlines()
        for line in lines:
            word = line.partition(" ")[0]
            if word in ("DONE", "ERR") and self._unanswered:
                self._record_answer(*self._unanswered.popleft(), word == "DONE")
        return lines

    def _record_answer(self, request_id: str, statement: str, is_done: bool) -> None:
        written_ids: list[str] = []
        if statement == "BEGIN" and is_done:
            self._transaction_ids = []
        elif statement == "WRITE" and self._transaction_ids is not None:
            self._transaction_ids.append(request_id)
        elif statement == "WRITE":
            written_ids = [request_id]
        elif statement in ("COMMIT", "ROLLBACK"):
            if statement == "COMMIT":
                written_ids = self._transaction_ids or []
            self._transaction_ids = None
        if is_done:
            now = self.instance.loop.now()
            self.acknowledged_at_by_id |= dict.fromkeys(written_ids, now)

    def query(self, text: str, wait: timedelta = ANSWER_TIMEOUT) -> list[str]:
        """Send a statement and return the lines of its answer."""
        self.sent += 1
        self.send(f"QUERY {self.request_id(self.sent)} {text}")
        lines: list[str] = []
        for _ in range(int(wait / ms(10))):
            self.instance.run(ms(10))
            lines += self.received()
            if lines and lines[-1].startswith("READY"):
                break
        return lines

    def request_id(self, number: int) -> str:
        """Return the request id of the session's statement ``number``."""
        return f"{self.number:05d}x{number}"


def build_router(domain, **region_by_domain):
    settings = SETTINGS._replace(domain=domain, region_by_domain=region_by_domain)
    return ReadRouter(Regions(settings).distance_to)
