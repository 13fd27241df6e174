"""Decision whether commits of a replaced primary may still be acknowledged."""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.exchange.fleet import Fleet
from bulrushloom.proxy.failover.groups import GroupRecord
from bulrushloom.proxy.messages import LogPosition
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.store_freshness import MAX_PRIMARY_AGE


class Announcement(NamedTuple):
    """Time at which a replacement was announced, and the instances known at that time.

    A partitioned instance keeps serving although its entry expires, so it counts until
    it confirms the announcement. ``first_announced_at`` is the time of the first
    announcement if the failover is a repeated attempt.
    """

    announced_at: timedelta
    first_announced_at: timedelta
    instances: frozenset[str]


class InstanceConfirmations:
    """Which instances follow the announcement of a replacement.

    Whether a commit of the old primary may still be acknowledged depends on the
    instances alone: what was ordered from the servers can be undone by a restart, by a
    server that joins the group, or by another order.

    ``confirmed_at`` is the time since which every instance is known to have confirmed.
    """

    def __init__(
        self,
        services: Services,
        fleet: Fleet,
        group: GroupRecord,
        announcement: Announcement,
    ):
        self._services = services
        self._fleet = fleet
        self.group = group
        self.announcement = announcement
        self.confirmed_at: timedelta | None = None

    def closed_at(self) -> timedelta | None:
        """Return since when no commit of the old primary can be acknowledged.

        ``None`` if an instance may still acknowledge one. An instance that has not
        confirmed stops once its last read of the store is too old.
        """
        now = self._services.loop.now()
        has_unconfirmed = self.missing() or self.has_unlisted_instance()
        if self.confirmed_at is None and not has_unconfirmed:
            self.confirmed_at = now
        lapsed_at = self.announcement.first_announced_at + MAX_PRIMARY_AGE
        if self.confirmed_at is not None:
            return min(self.confirmed_at, lapsed_at)
        return lapsed_at if now > lapsed_at else None

    def acknowledged_bound(self) -> LogPosition | None:
        """Return a position that covers every acknowledged commit, if one is known.

        The instances report their own commits with the confirmation. Those of instances
        that ended without one are covered by what the primary reported since.
        """
        if self.confirmed_at is None:
            return None
        service = self.group.service
        sample = self._services.history(service).position_since(
            self._fleet.member_ended_at
        )
        if isinstance(sample, Missing):
            return None
        acknowledged = self._services.commits.position_by_service.get(service)
        return sample if acknowledged is None else max(sample, acknowledged)

    def has_unlisted_instance(self) -> bool:
        """Return whether an instance may run that cannot confirm to this one.

        That is so until a list of members has been read since the announcement, because
        an instance may have started in the meantime.
        After a return of the store from a copy, it has not registered again at once.
        If the store rejects the calls of an instance, the member entry of the instance
        expires, but the instance keeps working with the reports of its domain. Only the
        total of its domain still includes it.
        """
        if not self._fleet.directory_listed_since(self.announcement.announced_at):
            return True
        if self._services.eras.may_lack_members(self._services.loop.now()):
            return True
        return self._services.member_count > len(self._fleet.peers_by_name) + 1

    def missing(self) -> list[str]:
        """Return the instances that have not reported that they follow the record.

        Those that were known at the announcement count even if they are no longer
        listed. This instance counts while commits of its own are pending.
        """
        service, version = self.group.service, self.group.version
        unconfirmed = []
        if self._services.followed_versions().get(service, 0) < version:
            unconfirmed.append(self._services.settings.name)
        for name in self._fleet.peers_by_name.keys() | self.announcement.instances:
            report = self._fleet.report_by_name.get(name)
            member = self._fleet.peers_by_name.get(name)
            followed = report.followed_version_by_service if report else {}
            has_restarted = (
                report is not None
                and member is not None
                and report.member.incarnation != member.incarnation
            )
            if has_restarted or followed.get(service, 0) < version:
                unconfirmed.append(name)
        return unconfirmed

    def announce_again(self) -> None:
        """Send the record to the instances that have not confirmed it."""
        peers = self._fleet.peers_by_name
        members = [peers[name] for name in self.missing() if name in peers]
        group = self.group
        value = group.encode().decode()
        self._fleet.announce(members, {group.service: (group.revision, value)})
