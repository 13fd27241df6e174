"""Task of the leader that records the servers of each group in the store."""

from datetime import timedelta

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.failover.member_records import (
    GROUP_MEMBERS_PREFIX,
    GroupMembers,
    build_member,
    encode_group_members,
)
from bulrushloom.proxy.leadership import Leadership
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.store import ExpectedRevision, ProxyStore, Put, StoreFailure
from bulrushloom.runtime.loop import Steps

CHECK_INTERVAL = timedelta(milliseconds=500)


class GroupMembersRecorder:
    """Writer of the records, active while this instance is the leader."""

    def __init__(
        self, services: Services, store: ProxyStore, leadership: Leadership
    ) -> None:
        self._services = services
        self._store = store
        self._leadership = leadership

    def run(self) -> Steps:
        """Compare the records with the list of servers at fixed intervals."""
        while True:
            yield self._services.loop.sleep(CHECK_INTERVAL)
            for service in self._services.configuration.service_by_name:
                if self._leadership.may_decide():
                    yield from self._record(service)

    def _record(self, service: str) -> Steps:
        """Record the members of a group unless the record is up to date.

        A server is left out only while the primary, which has every commit, answers.
        """
        table = self._services.table
        primary = table.recorded_primary(service)
        if isinstance(primary, Missing) or not table.is_complete:
            return
        if primary.target_id in self._services.suspected_targets():
            return
        known = table.recorded_members_by_service.get(service)
        members = GroupMembers(
            service,
            primary.target_id,
            {
                target.target_id: build_member(
                    target.target_id,
                    service,
                    target.address,
                    target.domain,
                    target.born_ms,
                )
                for target in table.commit_holders(service)
            },
            0,
        )
        yield from self._write(members, known)

    def _write(self, members: GroupMembers, known: GroupMembers | None) -> Steps:
        """Replace the known record unless it has the same content."""
        service, era = members.service, self._leadership.era
        if known is not None:
            members = members._replace(
                revision=known.revision,
                era=known.era,
                generation=known.generation,
                revision_era=known.revision_era,
            )
        if members == known or (known is not None and known.revision_era != era):
            return
        generation = 1 + (members.generation or members.revision)
        members = members._replace(era=era, generation=generation, revision_era=era)
        key = GROUP_MEMBERS_PREFIX + service
        written = yield self._store.commit(
            (ExpectedRevision(key, members.revision),),
            (Put(key, encode_group_members(members)),),
            era,
        )
        if isinstance(written, StoreFailure):
            self._services.log.write(
                "group_members_not_recorded", service=service, reason=written.reason
            )
            return
        table = self._services.table
        table.record_members(members._replace(revision=written))
        self._services.log.write(
            "group_members_recorded",
            service=service,
            primary=members.primary_id,
            servers=sorted(members.target_by_id),
        )
