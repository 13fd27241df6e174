"""Builders of fleets whose store returns from a copy, and checks of what they do."""

from bulrushloom.proxy.failover.groups import GroupPhase
from tests.proxy.builders import SERVICE, build_account, build_configuration, ms
from tests.proxy.fleet_builders import SECOND, open_clients, send_reads

OUTAGE = ms(300)
KEY, OTHER_KEY = "key-1", "key-2"


def configure(fleet, version, keys=(KEY,), revision=None):
    """Write a configuration with these keys, as operators do."""
    account = build_account()
    fleet.store.revision += 1
    fleet.store.configuration = build_configuration(
        revision or fleet.store.revision,
        accounts=dict.fromkeys(keys, account),
        version=version,
    )


def return_store(fleet, copy, outage=OUTAGE):
    """Let the store be away and return from a copy."""
    fleet.store.is_down = True
    run_checked(fleet, outage)
    fleet.store.return_from(copy)
    fleet.store.is_down = False


def run_checked(fleet, duration):
    """Run; check that there is one leader at a time and that no fence is shared."""
    seen = fleet.__dict__.setdefault("holder_by_fence", {})
    end = fleet.loop.now() + duration
    while fleet.loop.now() < end:
        fleet.run(ms(20))
        leader = fleet.leader()
        if leader is None:
            continue
        holder = seen.setdefault(leader.leadership.fence, leader)
        assert holder is leader, f"fence {leader.leadership.fence} is used again"
        assert leader.leadership.fence == max(seen), "a fencing token decreased"


def restart_all(fleet):
    """Kill all instances at the same moment and start them again."""
    members = list(fleet.members)
    for member in members:
        fleet.kill(member)
    return [fleet.restart(member) for member in members]


def fail_over(fleet):
    """Crash the primary; run until another one serves; return the id of that one."""
    primary = fleet.group.primary().server_id
    fleet.crash(primary)
    send_reads(open_clients(fleet))
    service = SERVICE

    def is_replaced():
        groups = [m.services.table.group_by_service.get(service) for m in fleet.members]
        return all(
            group is not None
            and group.phase is GroupPhase.STEADY
            and group.primary_id != primary
            for group in groups
        )

    fleet.run_until(is_replaced, SECOND * 12)
    return fleet.group.primary().server_id


def recover(fleet, server_id):
    """Start a crashed server again; it follows the primary if it was replaced."""
    server = fleet.group.server_by_id[server_id]
    server.drops_replication = False
    server.restart()
    fleet.group.rejoin(server)
    fleet.network.accept_by_address[server.address] = server.accept
    fleet.network.dark.discard(server.address)


def primaries(fleet):
    """Return the ids of the primaries that the instances use."""
    return {
        getattr(member.services.primary(SERVICE), "target_id", None)
        for member in fleet.members
    }


def versions(fleet):
    """Return the versions of the configuration in force at the instances."""
    return {member.services.configuration.version for member in fleet.members}
