"""Builders of a simulated fleet with a store, promotions and one group of servers."""

import os
from collections.abc import Callable
from concurrent.futures import Future
from contextlib import ExitStack
from datetime import timedelta
from itertools import count, cycle

from bulrushloom.core.clock import ManualClock
from bulrushloom.proxy.era_recovery import EraRecovery
from bulrushloom.proxy.exchange.fleet import Copier, Fleet
from bulrushloom.proxy.exchange.messages import Member
from bulrushloom.proxy.failover.group_members import GroupMembersRecorder
from bulrushloom.proxy.failover.primary_monitor import PrimaryMonitor
from bulrushloom.proxy.failover.replacement import FailoverRunner
from bulrushloom.proxy.leadership import Candidacy, Leadership
from bulrushloom.proxy.membership import Registration
from bulrushloom.proxy.server_status import StatusReader
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.store_reader import StoreReader
from bulrushloom.proxy.telemetry import EventLog, Metrics
from bulrushloom.runtime.loop import Loop
from standins.platform.fleet import MemoryDatagrams, MemoryEndpoint
from standins.platform.group import SimulatedGroup
from standins.platform.network import MemoryNetwork, run_for
from standins.platform.store import (
    NO_ANSWER_DELAY,
    SimulatedPromotion,
    SimulatedStore,
)
from tests.proxy.builders import (
    SERVICE,
    SETTINGS,
    SimulatedClient,
    build_configuration,
    build_target,
    ms,
)

SECOND = timedelta(seconds=1)
_write_numbers = count(1)


class SimulatedMember:
    """One instance of the fleet: the components of a node without its sockets."""

    def __init__(
        self, fleet: "SimulatedFleet", name: str, domain: str, incarnation: str = ""
    ):
        self.simulation = fleet
        self.loop = fleet.loop
        self.name = name
        self.is_stopped = False
        # Time that copying the directory of another instance takes.
        self.copy_delay = ms(4)
        self.errors = fleet.errors
        settings = SETTINGS._replace(name=name, domain=domain)
        incarnation = incarnation or f"run-{name}"
        member = Member(name, incarnation, f"{name}:1", domain, f"{name}:2")
        self.network = fleet.network
        self.services = Services(
            fleet.loop, fleet.network, settings, fleet.log, Metrics()
        )
        self.store = fleet.store.client(name)
        self.reader = StoreReader(self.services, self.store, member)
        self.services.request_list = self.reader.request_list
        self.services.request_client_read = self.reader.request_read_for_client
        candidacy = Candidacy(
            name,
            incarnation,
            self.reader.request_read,
            lambda: self.fleet.has_live_leader(),
            lambda: self.fleet.keys,
        )
        self.leadership = Leadership(fleet.loop, self.store, fleet.log, candidacy)
        self.fleet = Fleet(
            self.services,
            member,
            lambda on_datagram: MemoryEndpoint(
                fleet.datagrams, name, on_datagram, fleet.stack
            ),
            Copier(
                self.reader.request_read,
                self.copy_configuration,
                self.copy_directory,
            ),
        )
        self.reader.connect(self.fleet, self.leadership)
        status = StatusReader(self.services, name)
        replacement = FailoverRunner(
            self.services,
            self.store,
            fleet.promotion,
            self.leadership,
            self.fleet,
            status,
            name,
        )
        self.primary_monitor = PrimaryMonitor(
            self.services, self.leadership, self.fleet, status, replacement
        )
        self.registration = Registration(fleet.loop, self.store, fleet.log, member)
        for steps in (self.registration.run, self.fleet.run, self.primary_monitor.run):
            fleet.loop.supervise(steps)
        fleet.loop.supervise(self.reader.run)
        recorder = GroupMembersRecorder(self.services, self.store, self.leadership)
        fleet.loop.supervise(recorder.run)
        recovery = EraRecovery(
            self.services,
            self.store,
            self.leadership,
            self.fleet,
            status,
            self.reader.request_read,
        )
        fleet.loop.supervise(recovery.run)

    def copy_configuration(self, source, version):
        """Copy the configuration of another instance, as ``PeerCopies`` does."""
        self.loop.spawn(self._copy_configuration(source, version))

    def _copy_configuration(self, source, version):
        simulation = self.simulation
        if source.domain != self.services.settings.domain:
            yield self.reader.request_read()
            if self.services.configuration.version >= version:
                return
        yield self.loop.sleep(ms(12))
        configuration = simulation.member_by_name[source.name].services.configuration
        if frozenset((self.name, source.name)) not in simulation.datagrams.cut:
            self.reader.apply_configuration(configuration, source.name)

    def copy_directory(self, source, version, listed_at):
        """Copy the directory of another instance, as the daemons do over HTTP."""
        simulation = self.simulation

        def copy():
            directory = simulation.member_by_name[source.name].fleet.directory
            if directory is not None and directory.version == version:
                self.fleet.update_directory(directory._replace(listed_at=listed_at))

        if frozenset((self.name, source.name)) not in simulation.datagrams.cut:
            self.loop.call_later(self.copy_delay, copy)

    def run(self, duration):
        self.simulation.run(duration)

    def client(self, database):
        client = SimulatedClient(self)
        self.simulation.clients.append(client)
        client.send(f"START {database} key-1")
        self.run(ms(100))
        client.start_answer = client.received()
        return client


class SimulatedFleet:
    """Instances in up to three domains that serve one group of three servers.

    ``prepare`` changes the simulated platform before the instances start.
    """

    def __init__(
        self,
        stack: ExitStack,
        size=3,
        domains=("north", "south", "west"),
        prepare: "Callable[[SimulatedFleet], None]" = lambda _: None,
    ):
        self.stack = stack
        self.errors: list[BaseException] = []
        self.loop = Loop(ManualClock(), self.errors.append)
        stack.callback(self.loop.close)
        descriptor = os.open(os.devnull, os.O_WRONLY)
        stack.callback(os.close, descriptor)
        self.log = EventLog(self.loop, "fleet", descriptor)
        stack.callback(self.log.close)
        self.network = MemoryNetwork(self.loop)
        self.group = SimulatedGroup(self.loop, SERVICE)
        self.draining: set[str] = set()
        self.deregistered: set[str] = set()
        self.domain_by_server_id: dict[str, str] = {}
        for number, target_id in enumerate(("a", "b", "c")):
            server = self.group.add(target_id, f"{target_id}:1", number == 0)
            self.network.accept_by_address[server.address] = server.accept
        self.store = SimulatedStore(self.loop, build_configuration(), self.targets)
        self.promotion = SimulatedPromotion(self.loop, self.group)
        self.datagrams = MemoryDatagrams(self.loop)
        self.clients: list[SimulatedClient] = []
        self.member_by_name: dict[str, SimulatedMember] = {}
        prepare(self)
        for number, domain in zip(range(size), cycle(domains)):
            name = f"{domain}-{number}"
            self.member_by_name[name] = SimulatedMember(self, name, domain)
        self.members = list(self.member_by_name.values())
        self.run(timedelta(seconds=6))

    def targets(self):
        return {
            server.server_id: build_target(
                server.server_id,
                self.domain_by_server_id.get(server.server_id, "north"),
                claims_primary=server.is_primary,
                is_draining=server.server_id in self.draining,
                born_ms=server.born_ms,
            )
            for server in self.group.server_by_id.values()
            if server.server_id not in self.deregistered
        }

    def join(self, server_id, listed_after):
        """Let a new replica follow the primary; it registers after ``listed_after``."""
        self.deregistered.add(server_id)
        server = self.group.join(server_id, f"{server_id}:1")
        self.network.accept_by_address[server.address] = server.accept
        self.loop.call_later(listed_after, lambda: self.deregistered.discard(server_id))

    def run(self, duration):
        run_for(self.loop, duration)
        assert not self.errors, self.errors

    def run_until(self, condition, limit=SECOND * 5):
        """Run until ``condition`` holds."""
        end = self.loop.now() + limit
        while not condition():
            assert self.loop.now() < end, "the condition does not hold in time"
            self.run(ms(1))

    def leader(self):
        holders = [m for m in self.members if m.leadership.is_leader()]
        assert len(holders) <= 1
        return holders[0] if holders else None

    def crash(self, server_id, is_unresponsive=False):
        address = f"{server_id}:1"
        self.network.accept_by_address.pop(address, None)
        if is_unresponsive:
            self.network.dark.add(address)
            self.network.silence(address)
        else:
            self.network.cut(address)
        server = self.group.server_by_id[server_id]
        server.drops_replication = True
        for connection in server.connections:
            connection.stream.close("crashed")

    def kill(self, member):
        """Kill an instance; its entry in the store expires later."""
        member.fleet.close()
        member.store.close()
        member.services.network = PartitionedNetwork(self.network, frozenset())
        member.services.pool._network = member.services.network
        self.members.remove(member)

    def restart(self, member):
        """Start an instance that was killed again; return its new incarnation."""
        settings = member.services.settings
        successor = SimulatedMember(
            self, member.name, settings.domain, f"second-run-{member.name}"
        )
        self.member_by_name[member.name] = successor
        self.members.append(successor)
        return successor

    def isolate(self, server_id, is_unresponsive=True):
        """Cut a server off from all instances; return a function that ends it.

        The server stays listed, and keeps its log and its replication.
        """
        address = f"{server_id}:1"
        accept = self.network.accept_by_address.pop(address)
        if is_unresponsive:
            self.network.dark.add(address)
            self.network.silence(address)
        else:
            self.network.cut(address)

        def reconnect():
            self.network.dark.discard(address)
            self.network.accept_by_address[address] = accept

        return reconnect

    def suffer_store_outage(self, duration, return_delay_by_id):
        """Make the store unavailable, and let all entries of servers expire meanwhile.

        The servers register again after their delays; those without one do not.
        """
        self.store.is_down = True
        self.run(duration)
        self.deregistered |= self.group.server_by_id.keys()
        self.store.is_down = False
        for server_id, delay in return_delay_by_id.items():
            self.loop.call_later(
                delay, lambda server_id=server_id: self.deregistered.discard(server_id)
            )

    def acknowledged_ids(self):
        return {
            request_id
            for commit, _ in self.group.acknowledged
            for request_id in commit.request_ids
        }


def write_until_served(fleet, client, limit=SECOND * 8):
    """Return the time until a write succeeded."""
    started_at = fleet.loop.now()
    while fleet.loop.now() - started_at < limit:
        answer = client.query("WRITE 1 data")
        if answer and answer[0].startswith("DONE"):
            return fleet.loop.now() - started_at
        fleet.run(ms(20))
    raise AssertionError(f"no write was served within {limit}")


def open_clients(fleet, members=None):
    """Return one client per instance; their statements detect a failed primary."""
    return [member.client("strict") for member in members or fleet.members]


def send_reads(clients):
    for client in clients:
        client.sent += 1
        client.send(f"QUERY {client.request_id(client.sent)} READ 1")


def primary_id(fleet):
    record = fleet.members[0].services.table.group_by_service.get(SERVICE)
    return record.primary_id if record else ""


def check_acknowledged_commits(fleet):
    """Check that the primary's log contains every acknowledged commit exactly once."""
    logged_ids = [
        request_id
        for commit in fleet.group.primary().log
        for request_id in commit.request_ids
    ]
    assert len(logged_ids) == len(set(logged_ids))
    assert fleet.acknowledged_ids() <= set(logged_ids)


def check_commits_told_to_clients(fleet):
    """Check that the primary's log contains every commit that a client was told of.

    A commit that only an instance was told of does not count: its client may have been
    told that the outcome is in doubt. Returns the number of these commits.
    """
    acknowledged_at_by_id = {}
    for client in fleet.clients:
        client.received()
        acknowledged_at_by_id |= client.acknowledged_at_by_id
    primary = fleet.group.primary()
    logged_ids = [id for commit in primary.log for id in commit.request_ids]
    assert len(logged_ids) == len(set(logged_ids))
    missing = sorted(
        (at, request_id)
        for request_id, at in acknowledged_at_by_id.items()
        if request_id not in logged_ids
    )
    assert not missing, (
        f"{len(missing)} of {len(acknowledged_at_by_id)} commits that clients were "
        f"told of are not in the log of {primary.server_id}, "
        f"first at {missing[0][0]}, last at {missing[-1][0]}"
    )
    return len(acknowledged_at_by_id)


class ContinuousWriter:
    """Client that sends one write after the other until ``is_stopped`` is set."""

    def __init__(self, client):
        self.client = client
        self.is_stopped = False
        client.instance.loop.spawn(self._run())

    def _run(self):
        client = self.client
        while not self.is_stopped:
            client.sent += 1
            client.send(f"QUERY {client.request_id(client.sent)} WRITE 1 data")
            lines = []
            while not lines or not lines[-1].startswith("READY"):
                yield client.instance.loop.sleep(ms(2))
                lines += client.received()
                if client.is_ended:
                    return


def start_writers(member, count):
    """Start ``count`` clients that write through an instance without a pause."""
    return [ContinuousWriter(member.client("strict")) for _ in range(count)]


def cut_off_instance(fleet):
    """Cut an instance off from the store and from the others; return it."""
    leader = fleet.leader()
    isolated = next(member for member in fleet.members if member is not leader)
    fleet.store.refused.add(isolated.name)
    for member in fleet.members:
        if member is not isolated:
            fleet.datagrams.cut.add(frozenset((isolated.name, member.name)))
    return isolated


def cut_servers_off(fleet, members, server_ids):
    """Let ``members`` no longer reach some servers; close all connections to these."""
    addresses = {f"{server_id}:1" for server_id in server_ids}
    for member in members:
        member.services.network = CutNetwork(fleet.network, addresses)
        member.services.pool._network = member.services.network
    for address in addresses:
        fleet.network.cut(address)


def heal_network(fleet):
    """Undo ``cut_off_instance`` and ``cut_servers_off``; let all replicas receive."""
    fleet.datagrams.cut.clear()
    fleet.store.refused.clear()
    for member in fleet.members:
        member.services.network = fleet.network
        member.services.pool._network = fleet.network
    for server in fleet.group.server_by_id.values():
        server.drops_replication = False
    for server in fleet.group.server_by_id.values():
        server.copy_from_primary()


def never_complete(loop):
    yield loop.sleep(SECOND * 60)


def send_concurrent_writes(fleet, count):
    """Send ``count`` writes at once through all instances; return their clients."""
    clients = [
        fleet.members[number % len(fleet.members)].client("strict")
        for number in range(count)
    ]
    for client in clients:
        client.sent += 1
        client.send(f"QUERY {client.request_id(client.sent)} WRITE 1 data")
    return clients


class Writers:
    """Clients that write one statement after the other.

    ``done_at_by_id`` has the request ids of the writes that were answered with DONE.
    """

    def __init__(self, fleet, clients):
        self._fleet = fleet
        self._clients = list(clients)
        for client in self._clients:
            # Answers to earlier statements belong to no write.
            client.received()
        self._outstanding_by_client = {}
        self.done_at_by_id = {}

    def pending_ids(self):
        """Return the ids of the writes without an answer."""
        return set(self._outstanding_by_client.values())

    def send(self):
        """Send a write from each client that waits for no answer."""
        for client in self._clients:
            if client in self._outstanding_by_client or client.is_ended:
                continue
            request_id = f"{client.instance.name}-{next(_write_numbers)}"
            self._outstanding_by_client[client] = request_id
            client.send(f"QUERY {request_id} WRITE 1 data")

    def receive(self):
        """Record the answers that have arrived."""
        for client in self._clients:
            for line in client.received():
                request_id = self._outstanding_by_client.get(client, "")
                if line.startswith("DONE"):
                    self.done_at_by_id[request_id] = self._fleet.loop.now()
                elif line.startswith("READY"):
                    self._outstanding_by_client.pop(client, None)

    def write_for(self, duration):
        """Write for ``duration``; wait for no answer at the end."""
        until = self._fleet.loop.now() + duration
        while self._fleet.loop.now() < until:
            self.send()
            self._fleet.run(ms(10))
            self.receive()

    def missing_ids(self):
        """Return the ids answered with DONE that the primary's log lacks."""
        logged_ids = {
            request_id
            for commit in self._fleet.group.primary().log
            for request_id in commit.request_ids
        }
        return sorted(self.done_at_by_id.keys() - logged_ids)

    def check(self):
        """Check that the primary's log has every write answered with DONE."""
        missing, done = self.missing_ids(), len(self.done_at_by_id)
        assert done, "no write was acknowledged"
        assert not missing, f"{len(missing)} of {done} acknowledged commits are missing"


class LateOrder:
    """The first order is executed after ``delay`` and not answered.

    Orders for a server that is not running are answered 409.
    """

    def __init__(self, fleet, delay):
        self.fleet, self.delay = fleet, delay
        self.promote = fleet.promotion.promote
        self.ordered = []
        fleet.promotion.promote = self.order

    def order(self, *arguments):
        loop, target_id = self.fleet.loop, arguments[1]
        self.ordered.append((target_id, loop.now()))
        if len(self.ordered) == 1:
            loop.call_later(self.delay, lambda: self.execute(arguments))
            return self.answer(0, NO_ANSWER_DELAY)
        if not self.is_running(target_id):
            return self.answer(409, ms(4))
        return self.promote(*arguments)

    def is_running(self, target_id):
        return f"{target_id}:1" in self.fleet.network.accept_by_address

    def execute(self, arguments):
        if (
            self.is_running(arguments[1])
            and self.fleet.group.primary().server_id != (arguments[1])
        ):
            self.promote(*arguments)

    def answer(self, status, delay):
        future = Future()
        self.fleet.loop.call_later(delay, lambda: future.set_result(status))
        return future


class CutNetwork:
    """Network in which some addresses refuse connections."""

    def __init__(self, network, addresses):
        self._network = network
        self._addresses = addresses

    def connect(self, address, limit):
        if address in self._addresses:
            return self._network.connect("nowhere:1", limit)
        return self._network.connect(address, limit)


class PartitionedNetwork:
    """Network that reaches only some addresses; all others refuse connections."""

    def __init__(self, network, addresses):
        self._network = network
        self._addresses = addresses

    def connect(self, address, limit):
        if address in self._addresses:
            return self._network.connect(address, limit)
        return self._network.connect("nowhere:1", limit)
