"""Which versions of the group records one instance has, and which are in effect."""

from bulrushloom.proxy.exchange.messages import Report
from bulrushloom.proxy.failover.commits import CommitAcknowledgements
from bulrushloom.proxy.failover.group_table import GroupTable
from bulrushloom.proxy.failover.groups import GroupPhase
from bulrushloom.proxy.failover.member_records import (
    GROUP_MEMBERS_PREFIX,
    encode_group_members,
)


def known_versions(table: GroupTable) -> dict[str, int]:
    """Return the version of each group record that this instance has received."""
    return {service: group.version for service, group in table.group_by_service.items()}


def followed_versions(
    table: GroupTable, commits: CommitAcknowledgements
) -> dict[str, int]:
    """Return the version of each group record that is fully in effect here.

    The record of a failover is left out while a commit of the old primary may still
    be acknowledged to its client.
    """
    return {
        service: group.version
        for service, group in table.group_by_service.items()
        if group.phase is GroupPhase.STEADY or commits.has_ended(service)
    }


def records_newer_than(table: GroupTable, report: Report) -> dict[str, tuple[int, str]]:
    """Return the records of groups and of their members that a leader may lack.

    Used after a return of the store only, so all members' records are included.
    """
    followed = report.followed_version_by_service
    records = {
        service: (group.revision, group.encode().decode())
        for service, group in table.group_by_service.items()
        if followed.get(service, 0) < group.version
    }
    for service, members in table.recorded_members_by_service.items():
        value = encode_group_members(members).decode()
        records[GROUP_MEMBERS_PREFIX + service] = (members.revision, value)
    return records
