"""Builders of a simulated fleet whose domains share the connections to targets."""

from bulrushloom.proxy.configuration import Service
from bulrushloom.proxy.sharing.domain import DomainConnections
from bulrushloom.proxy.stopping import StopPlan
from tests.proxy.builders import (
    SERVICE,
    SimulatedClient,
    build_account,
    build_configuration,
    ms,
)
from tests.proxy.fleet_builders import SECOND, PartitionedNetwork, SimulatedFleet

# Twelve instances in two domains. Each owner has four connections to a target.
SIZE = 12
DOMAINS = ("north", "south")
MAX_CONNECTIONS = 17
ACCOUNT_COUNT = 6


def key_of(number):
    return f"key-{number % ACCOUNT_COUNT + 1}"


class SharingFleet(SimulatedFleet):
    """Fleet with fewer connections to each target than instances."""

    def __init__(self, stack, max_connections=MAX_CONNECTIONS, cold_per_s=0):
        self._max_connections = max_connections
        self._cold_per_s = cold_per_s
        self.cold_ids = set()
        super().__init__(stack, SIZE, DOMAINS, prepare=self._prepare)
        for member in self.members:
            self.share(member)
        self.run(SECOND)

    def _prepare(self, _):
        accounts = {
            f"key-{number}": build_account(f"account-{number}")
            for number in range(1, ACCOUNT_COUNT + 1)
        }
        service = Service(SERVICE, self._max_connections, 1, self._cold_per_s)
        self.store.configuration = build_configuration(
            accounts=accounts, service_by_name={SERVICE: service}
        )
        for server in self.group.server_by_id.values():
            server.max_connections = self._max_connections

    def targets(self):
        """Return the entries of the targets in the store."""
        return {
            target_id: target._replace(cold_left=SECOND * (target_id in self.cold_ids))
            for target_id, target in super().targets().items()
        }

    def share(self, member):
        """Let an instance take part in sharing."""
        sharing = DomainConnections(
            member.services, member.reader._member, member.fleet
        )
        member.services.sharing = member.sharing = sharing
        self.network.accept_by_address[f"{member.name}:1"] = sharing.accept
        self.loop.supervise(sharing.run)
        self.stack.callback(sharing.close)

    def kill(self, member):
        """Kill an instance; its streams are closed by its host."""
        super().kill(member)
        del self.network.accept_by_address[f"{member.name}:1"]
        member.sharing.close()
        member.sharing.client._network = PartitionedNetwork(self.network, frozenset())

    def silence(self, member):
        """Cut an instance off from its domain, or freeze it, without a notice."""
        self.datagrams.freeze(member.name)
        self.network.dark.add(f"{member.name}:1")
        self.network.silence(f"{member.name}:1")

    def stop(self, member):
        """Begin a planned stop of an instance."""
        member.services.stop_plan = StopPlan(self.loop.now(), SECOND * 6)

    def others(self, owner):
        """Return the other instances of the domain of ``owner``."""
        domain = owner.name.partition("-")[0]
        return [m for m in self.in_domain(domain) if m is not owner]

    def client_of(self, member, database="strict", number=0):
        """Start a session of one of the accounts."""
        client = SimulatedClient(member)
        self.clients.append(client)
        client.send(f"START {database} {key_of(number)}")
        self.run(ms(100))
        client.start_answer = client.received()
        assert client.start_answer == ["READY I -"], client.start_answer
        return client

    def in_domain(self, domain="north"):
        return [m for m in self.members if m.name.startswith(domain)]

    def owner_of(self, target_id, domain="north"):
        """Return the instance that owns a target by the view of its domain."""
        members = self.in_domain(domain)
        owners = {m.sharing.client.chooser.order(target_id)[0] for m in members}
        assert len(owners) == 1
        return self.member_by_name[owners.pop()]

    def opened(self):
        return sum(
            m.services.pool.opened + m.sharing.owner.pool.opened for m in self.members
        )

    def direct_opened(self):
        return sum(m.services.pool.opened for m in self.members)

    def run_ids(self):
        return [run.request_id for run in self.group.runs]


def check_no_statement_ran_twice(fleet):
    """Check that no statement of a client ran twice, except for hedged reads."""
    ids = [
        run.request_id for run in fleet.group.runs if not run.text.startswith("READ")
    ]
    assert len(ids) == len(set(ids))


def streams_to(fleet, owner):
    """Return the ends at an owner of the connections of other instances."""
    return list(fleet.network.streams_by_address.get(f"{owner.name}:1", ()))
