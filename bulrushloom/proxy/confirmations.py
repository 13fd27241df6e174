"""Confirmations by the instances that they no longer use a replaced primary."""

from datetime import timedelta

from bulrushloom.proxy.exchange.fleet import Fleet
from bulrushloom.proxy.groups import GroupRecord
from bulrushloom.proxy.services import Services


class InstanceConfirmations:
    """Which instances follow a group record, according to their reports."""

    def __init__(self, services: Services, fleet: Fleet):
        self._services = services
        self._fleet = fleet
        self._announced_at_by_service: dict[str, timedelta] = {}

    def record_announcement(self, service: str, announced_at: timedelta) -> None:
        """Record when the current replacement of a primary was announced."""
        self._announced_at_by_service[service] = announced_at

    def are_complete(self, group: GroupRecord) -> bool:
        """Return whether every instance that may run follows the record."""
        return not self.missing(group) and not self.has_unlisted_instance(group.service)

    def has_unlisted_instance(self, service: str) -> bool:
        """Return whether an instance may run that cannot confirm to this one.

        That is so until a list of members has been read since the announcement, because
        an instance may have started in the meantime.
        If the store rejects the calls of an instance, the member entry of the instance
        expires, but the instance keeps working with the reports of its domain. Only the
        total of its domain still includes it.
        """
        announced_at = self._announced_at_by_service.get(service)
        if announced_at and not self._fleet.directory_listed_since(announced_at):
            return True
        return self._services.member_count > len(self._fleet.peers_by_name) + 1

    def missing(
        self, group: GroupRecord, announced_to: frozenset[str] = frozenset()
    ) -> list[str]:
        """Return the instances that have not reported that they follow the record.

        Instances in ``announced_to`` count even if they are no longer listed.
        """
        unconfirmed = []
        for name in self._fleet.peers_by_name.keys() | announced_to:
            report = self._fleet.report_by_name.get(name)
            member = self._fleet.peers_by_name.get(name)
            followed = report.followed_revision_by_service if report else {}
            has_restarted = (
                report is not None
                and member is not None
                and report.member.incarnation != member.incarnation
            )
            if has_restarted or followed.get(group.service, 0) < group.revision:
                unconfirmed.append(name)
        return unconfirmed
