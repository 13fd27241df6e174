"""Task of the leader that writes back what the store lost when it returned from a copy.

Until that is done, the leader starts no failover and writes no group record.
"""

from collections.abc import Callable, Mapping
from concurrent.futures import Future
from datetime import timedelta
from typing import Any

from bulrushloom.proxy.exchange.fleet import Fleet
from bulrushloom.proxy.failover.groups import (
    GROUP_PREFIX,
    GroupPhase,
    GroupRecord,
    decode_group_records,
)
from bulrushloom.proxy.failover.member_records import (
    GROUP_MEMBERS_PREFIX,
    GroupMembers,
    decode_all_group_members,
    encode_group_members,
)
from bulrushloom.proxy.failover.record_evidence import confirmed_record
from bulrushloom.proxy.leadership import LEASE_TTL, Leadership
from bulrushloom.proxy.messages import ServerStatus
from bulrushloom.proxy.server_status import StatusReader
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.store import (
    ExpectedRevision,
    ProxyStore,
    Put,
    StoreFailure,
    StoreSnapshot,
)
from bulrushloom.proxy.store_eras import SETTLED_VALUE, era_key
from bulrushloom.runtime.loop import Steps

CHECK_INTERVAL = timedelta(milliseconds=100)
# A member answers within milliseconds; a datagram may be lost.
PROBE_INTERVAL = timedelta(milliseconds=300)
# Members that have not answered after this time are out of reach. Records that only
# they have lose against those that are written now.
MEMBER_TIMEOUT = timedelta(seconds=1)


class LostRecordsFound:
    """Whether the leader of a new era has heard what the copy of the store lacks.

    Answers the return of the store from a copy that lacks a promotion: a leader that
    acted on the copy would order another one, and lose the commits since. It waits
    until the leader of the earlier era has no valid lease any more, and until the
    members have named the records that they follow, or for ``MEMBER_TIMEOUT``.
    """

    def __init__(self, services: Services, fleet: Fleet):
        self._services = services
        self._fleet = fleet
        self._asked_at = services.loop.now()

    def is_complete(self) -> bool:
        """Return whether records may be written now."""
        now = self._services.loop.now()
        earliest = self._services.eras.entered_at + LEASE_TTL
        if now < earliest:
            return False
        return not self.unheard() or now >= max(
            earliest + MEMBER_TIMEOUT, self._asked_at + MEMBER_TIMEOUT
        )

    def unheard(self) -> list[str]:
        """Return the members that have not reported, or follow unknown records."""
        known = self._services.known_versions()
        return [
            name
            for name in self._fleet.peers_by_name
            if not self._has_reported(name)
            or any(
                known.get(service, 0) < version
                for service, version in self._followed(name).items()
            )
        ]

    def _has_reported(self, name: str) -> bool:
        report = self._fleet.report_by_name.get(name)
        return report is not None and report.received_at > self._asked_at

    def _followed(self, name: str) -> dict[str, int]:
        return dict(self._fleet.report_by_name[name].followed_version_by_service)


class EraRecovery:
    """Writer of the lost records, active while this instance leads an unsettled era."""

    def __init__(
        self,
        services: Services,
        store: ProxyStore,
        leadership: Leadership,
        fleet: Fleet,
        status: StatusReader,
        read_store: Callable[[], "Future[Any]"],
    ):
        self._services = services
        self._loop = services.loop
        self._log = services.log
        self._store = store
        self._leadership = leadership
        self._fleet = fleet
        self._status = status
        self._read_store = read_store

    def run(self) -> Steps:
        """Settle the era at fixed intervals until that has succeeded."""
        while True:
            yield self._loop.sleep(CHECK_INTERVAL)
            if self._leadership.is_leader() and not self._leadership.is_settled:
                yield from self._settle()

    def _settle(self) -> Steps:
        found = LostRecordsFound(self._services, self._fleet)
        probed_at = None
        while not found.is_complete():
            now = self._loop.now()
            if not self._leadership.is_leader():
                return
            if probed_at is None or now - probed_at >= PROBE_INTERVAL:
                probed_at = now
                self._fleet.probe_all()
            yield self._loop.sleep(CHECK_INTERVAL)
        snapshot = yield self._read_store()
        if isinstance(snapshot, StoreFailure) or snapshot.era != self._leadership.era:
            return
        restored = yield from self._restore(snapshot)
        if restored is None or not (yield from self._follow_servers()):
            return
        if (yield from self._write_settled(snapshot)):
            self._leadership.is_settled = True
            self._services.eras.settle()
            self._log.write(
                "store_era_settled",
                era=snapshot.era,
                restored=restored,
                unheard=found.unheard(),
            )

    def _restore(self, snapshot: StoreSnapshot) -> Steps:
        """Write back records; return their keys, or ``None`` if a write failed."""
        records, era = snapshot.record_by_key.values(), snapshot.era
        stored_groups = decode_group_records(records, era)
        stored_members = decode_all_group_members(records, era)
        table, restored = self._services.table, []
        for service, group in list(table.group_by_service.items()):
            stored = stored_groups.get(service)
            if stored is None or stored.version < group.version:
                restored.append(GROUP_PREFIX + service)
                if not (yield from self._write_group(group, stored)):
                    return None
        for service, members in list(table.recorded_members_by_service.items()):
            known = stored_members.get(service)
            if known is None or known.version < members.version:
                restored.append(GROUP_MEMBERS_PREFIX + service)
                if not (yield from self._write_members(members, known)):
                    return None
        return restored

    def _write_group(self, group: GroupRecord, stored: GroupRecord | None) -> Steps:
        era = self._leadership.era
        group = group.next_record(era, self._leadership.fence)
        revision = stored.revision if stored is not None else 0
        key, value = GROUP_PREFIX + group.service, group.encode()
        written = yield from self._write(key, revision, value)
        if written:
            group = group._replace(revision=written)
            self._services.apply_group_records({group.service: group})
            self._fleet.announce(
                self._fleet.peers_by_name.values(),
                {group.service: (written, value.decode())},
            )
        return written

    def _write_members(
        self, members: GroupMembers, stored: GroupMembers | None
    ) -> Steps:
        era = self._leadership.era
        generation = 1 + (members.generation or members.revision)
        members = members._replace(era=era, generation=generation, revision_era=era)
        revision = stored.revision if stored is not None else 0
        key = GROUP_MEMBERS_PREFIX + members.service
        value = encode_group_members(members)
        written = yield from self._write(key, revision, value)
        if written:
            record = members._replace(revision=written)
            self._services.table.record_members(record)
        return written

    def _write_settled(self, snapshot: StoreSnapshot) -> Steps:
        key = era_key(snapshot.era)
        record = snapshot.record_by_key.get(key)
        revision = record.revision if record is not None else 0
        return (yield from self._write(key, revision, SETTLED_VALUE))

    def _write(self, key: str, revision: int, value: bytes) -> Steps:
        """Return the revision of a record that was written, or 0 after a failure."""
        if not self._leadership.is_leader():
            return 0
        written = yield self._store.commit(
            (ExpectedRevision(key, revision),),
            (Put(key, value),),
            self._leadership.era,
        )
        if isinstance(written, StoreFailure):
            self._log.write("record_not_restored", key=key, reason=written.reason)
            return 0
        return written

    def _follow_servers(self) -> Steps:
        """Correct the recorded primaries that the servers have replaced since.

        All instances that knew of a promotion may have been lost together with its
        record. Returns whether no write failed.
        """
        table = self._services.table
        services = self._services.configuration.service_by_name.keys()
        for service in sorted(services | table.group_by_service.keys()):
            targets = [known.target for known in table.targets_of(service)]
            statuses = yield from self._status.read_all(targets, None)
            stored = table.group_by_service.get(service)
            group = stored or self._claimed_record(service, statuses)
            if group is None:
                continue
            found = confirmed_record(group, statuses)
            self._log_comparison(group, statuses, found)
            if found != group and not (yield from self._follow(group, found)):
                return False
        return True

    def _claimed_record(
        self, service: str, status_by_id: Mapping[str, ServerStatus]
    ) -> GroupRecord | None:
        """Return what a record of the last known primary would say, if it answers.

        The store may have returned to a time before the first failover of a service.
        """
        primary_id = self._services.table.last_primary_id(service)
        status = status_by_id.get(primary_id)
        if status is None:
            return None
        return GroupRecord(
            service=service,
            phase=GroupPhase.STEADY,
            term=status.term,
            primary_id=primary_id,
            old_id="",
            fence=self._leadership.fence,
            revision=0,
            revision_era=self._leadership.era,
            primary_term=status.term,
        )

    def _log_comparison(
        self,
        group: GroupRecord,
        status_by_id: Mapping[str, ServerStatus],
        found: GroupRecord,
    ) -> None:
        self._log.write(
            "group_record_checked",
            service=group.service,
            phase=group.phase.value,
            recorded=group.primary_id,
            term=group.term,
            sealed=str(group.sealed),
            sealed_era=group.sealed_era,
            is_confirmed=(found.phase, found.primary_id, found.term)
            == (group.phase, group.primary_id, group.term),
            roles={name: status.role.value for name, status in status_by_id.items()},
            terms={name: status.term for name, status in status_by_id.items()},
            positions={
                name: str(status.received) for name, status in status_by_id.items()
            },
        )

    def _follow(self, group: GroupRecord, found: GroupRecord) -> Steps:
        """Write what the servers show; return whether that succeeded."""
        if (found.phase, found.primary_id) != (group.phase, group.primary_id):
            self._log.write(
                "lost_promotion_found",
                service=group.service,
                recorded=group.primary_id,
                primary=found.primary_id,
                term=found.term,
            )
        stored = group if group.revision else None
        return (yield from self._write_group(found, stored))
