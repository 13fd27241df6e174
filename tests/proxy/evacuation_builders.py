"""Builders of a simulated fleet with one server in each domain, to be evacuated."""

from bulrushloom.proxy.failover.groups import GroupPhase
from tests.proxy.builders import SERVICE, ms
from tests.proxy.fleet_builders import SECOND, SimulatedFleet, start_writers

DOMAIN_BY_SERVER_ID = {"a": "north", "b": "south", "c": "west"}
CONTROL_WORDS = frozenset({"STATUS", "DEMOTE", "PAUSE", "RESUME"})


def build_fleet(stack):
    """Return a fleet whose primary ``a`` is in the domain north."""
    return SimulatedFleet(
        stack,
        prepare=lambda fleet: fleet.domain_by_server_id.update(DOMAIN_BY_SERVER_ID),
    )


def evacuate(fleet, *domains):
    """Request the evacuation of ``domains``; return when that was acknowledged."""
    fleet.store.evacuated_domains |= set(domains)
    return fleet.loop.now()


def statements_at(fleet, domains, since):
    """Return what the servers of ``domains`` received since then for callers."""
    return [
        query
        for query in fleet.group.queries
        if DOMAIN_BY_SERVER_ID[query.server] in domains
        and query.at >= since
        and query.text.partition(" ")[0] not in CONTROL_WORDS
    ]


def has_phase(fleet, phase):
    """Return whether the group record that the first member knows has ``phase``."""
    group = fleet.members[0].services.table.group_by_service.get(SERVICE)
    return group is not None and group.phase is phase


def is_replacing(fleet):
    return has_phase(fleet, GroupPhase.REPLACING)


class ContinuousReader:
    """Client that sends one bounded read after the other until it is stopped."""

    def __init__(self, client):
        self.client = client
        self.is_stopped = False
        self.served_at = []
        self.refusals = []
        client.instance.loop.spawn(self._run())

    def _run(self):
        client = self.client
        loop = client.instance.loop
        while not self.is_stopped and not client.is_ended:
            client.sent += 1
            client.send(f"QUERY {client.request_id(client.sent)} READ 1")
            lines = []
            while not lines or not lines[-1].startswith("READY"):
                yield loop.sleep(ms(2))
                lines += client.received()
                if client.is_ended:
                    return
            if any(line.startswith("DONE") for line in lines):
                self.served_at.append(loop.now())
            else:
                self.refusals.append(lines[0])
            yield loop.sleep(ms(5))


class Load:
    """Callers that write and read through all instances of a fleet."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.writers = [
            writer for member in fleet.members for writer in start_writers(member, 1)
        ]
        self.readers = [
            ContinuousReader(member.client("bounded")) for member in fleet.members
        ]

    def longest_write_gap(self, since):
        """Return the longest time since then without an acknowledged write."""
        times = sorted(
            at
            for writer in self.writers
            for at in writer.client.acknowledged_at_by_id.values()
            if at >= since
        )
        ends = [*times, self.fleet.loop.now()]
        return max(
            end - start for start, end in zip([since, *times], ends, strict=True)
        )

    def stop(self):
        for caller in self.writers + self.readers:
            caller.is_stopped = True
        self.fleet.run(SECOND)
