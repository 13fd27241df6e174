"""Builders of releases during which the store returns from a copy of an earlier step.

A release replaces the servers of a group one after the other, so its primary changes
several times.
"""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.proxy.failover.groups import GROUP_PREFIX, GroupPhase, decode_group
from tests.proxy.builders import SERVICE, ms
from tests.proxy.era_builders import recover, return_store
from tests.proxy.fleet_builders import (
    SECOND,
    Writers,
    open_clients,
    send_reads,
)

STEP = ms(5)
DOMAINS = ("north", "south", "west")
CHANGE_TIMEOUT = SECOND * 14
# Time after which writes must be served again.
RECOVERY_TIMEOUT = SECOND * 30


def recorded_group(fleet):
    """Return the group record in the store, or ``None``."""
    record = fleet.store.record_by_key.get(f"{GROUP_PREFIX}{SERVICE}")
    return decode_group(record.value, record.revision) if record else None


def is_announced(fleet, old_id):
    group = recorded_group(fleet)
    return group is not None and group.phase is GroupPhase.REPLACING


def is_ordered(fleet, old_id):
    return is_announced(fleet, old_id) and bool(recorded_group(fleet).primary_id)


def is_executed(fleet, old_id):
    return is_ordered(fleet, old_id) and fleet.group.promoted_id != old_id


def is_recorded(fleet, old_id):
    group = recorded_group(fleet)
    return (
        group is not None
        and group.phase is GroupPhase.STEADY
        and group.primary_id not in ("", old_id)
    )


CONDITION_BY_STEP = {
    "announced": is_announced,
    "ordered": is_ordered,
    "executed": is_executed,
    "recorded": is_recorded,
}
CAUSES = ("drain", "crash", "evacuation")


def place_servers(fleet):
    """Place the first servers in one domain each."""
    fleet.domain_by_server_id.update(zip("abc", DOMAINS, strict=True))


class Loss(NamedTuple):
    """What is lost at the return; ``away_by_id`` has servers that come back later."""

    kept_instances: int = 0
    outage: timedelta = ms(100)
    away_by_id: dict[str, timedelta] = {}


class Release:
    """A simulated fleet whose servers are replaced while clients write.

    Each promoted server is checked for the writes that clients were told of.
    ``joined_ids`` has the servers that the release has added so far.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.group = fleet.group
        self.joined_ids = []
        self.acknowledged_ids = set()
        self.lost_by_promotion = {}
        self._writers = Writers(fleet, open_clients(fleet))
        self._seen_promotions = 0
        self.write_for(SECOND)

    def write_for(self, duration):
        """Write for ``duration`` and check the promotions."""
        until = self.fleet.loop.now() + duration
        while self.fleet.loop.now() < until:
            self._writers.send()
            self.fleet.run(STEP)
            self._writers.receive()
            self.acknowledged_ids |= self._writers.done_at_by_id.keys()
            self._check_promotions()

    def write_until(self, condition, limit):
        """Write until ``condition`` holds."""
        until = self.fleet.loop.now() + limit
        while not condition():
            assert self.fleet.loop.now() < until, "the condition does not hold in time"
            self.write_for(STEP)

    def _check_promotions(self):
        for promotion in self.group.promotions[self._seen_promotions :]:
            lost = self.ids_missing_at(promotion.server)
            if lost:
                self.lost_by_promotion[promotion] = len(lost)
        self._seen_promotions = len(self.group.promotions)

    def ids_missing_at(self, server_id):
        """Return the acknowledged writes that the log of a server lacks."""
        log = self.group.server_by_id[server_id].log
        logged_ids = {id for commit in log for id in commit.request_ids}
        return self.acknowledged_ids - logged_ids

    def join(self):
        """Add a server that copies the log of the primary; return its id."""
        server_id = "defghijk"[len(self.joined_ids)]
        self.joined_ids.append(server_id)
        domain = DOMAINS[len(self.joined_ids) % len(DOMAINS)]
        self.fleet.domain_by_server_id[server_id] = domain
        self.fleet.join(server_id, ms(0))
        return server_id

    def begin_change(self, cause):
        """Give the fleet a cause to replace the primary; return the id of that one."""
        fleet, old_id = self.fleet, self.group.primary().server_id
        if cause == "drain":
            fleet.draining.add(old_id)
        elif cause == "crash":
            fleet.crash(old_id)
            send_reads(open_clients(fleet))
            fleet.loop.call_later(SECOND * 2, lambda: recover(fleet, old_id))
        else:
            fleet.store.evacuated_domains = {fleet.domain_by_server_id[old_id]}
        return old_id

    def change_primary(self, cause):
        """Replace the primary and wait until its successor is recorded."""
        old_id = self.begin_change(cause)
        self.write_until(lambda: is_recorded(self.fleet, old_id), CHANGE_TIMEOUT)
        self.fleet.store.evacuated_domains = set()

    def copy_at(self, cause, step):
        """Begin to replace the primary; return a copy of the store from a step of it.

        Also returns the id of the primary.
        """
        old_id = self.begin_change(cause)
        reached = CONDITION_BY_STEP[step]
        self.write_until(lambda: reached(self.fleet, old_id), CHANGE_TIMEOUT)
        return self.fleet.store.copy(), old_id

    def finish_change(self, old_id):
        """Wait until the successor of ``old_id`` is recorded."""
        self.write_until(lambda: is_recorded(self.fleet, old_id), CHANGE_TIMEOUT)
        self.fleet.store.evacuated_domains = set()

    def lose(self, copy, loss):
        """Let the store return from ``copy``, and lose servers and instances."""
        fleet = self.fleet
        for server_id, away in loss.away_by_id.items():
            self._lose_server(server_id, away)
        kept = fleet.members[: loss.kept_instances]
        lost = fleet.members[loss.kept_instances :]
        for member in lost:
            fleet.kill(member)
        return_store(fleet, copy, loss.outage)
        fleet.run(ms(300))
        for member in lost:
            fleet.restart(member)
        self._writers = Writers(fleet, open_clients(fleet, kept or None))

    def _lose_server(self, server_id, away):
        fleet = self.fleet
        fleet.crash(server_id)
        if server_id in self.joined_ids:
            # The copy lacks its entry.
            fleet.deregistered.add(server_id)

        def come_back():
            fleet.deregistered.discard(server_id)
            recover(fleet, server_id)

        fleet.loop.call_later(away, come_back)

    def serve_again(self):
        """Run until writes are served, then longer than an order may be under way."""
        started_at = self.fleet.loop.now()
        known_ids = set(self.acknowledged_ids)
        while self.acknowledged_ids <= known_ids:
            assert self.fleet.loop.now() < started_at + RECOVERY_TIMEOUT, "no primary"
            self._writers = Writers(self.fleet, open_clients(self.fleet))
            self.write_for(ms(500))
        served_after = self.fleet.loop.now() - started_at
        self.write_for(SECOND * 10)
        return served_after

    def check(self):
        """Check that no promoted server lacked an acknowledged write."""
        assert self.acknowledged_ids, "no write was acknowledged"
        assert not self.lost_by_promotion, self.lost_by_promotion
        assert not self.ids_missing_at(self.group.primary().server_id)
