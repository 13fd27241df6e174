"""The fleet as one instance sees it: receives reports and applies what they carry."""

from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.exchange.endpoint import DatagramEndpoint, OnDatagram
from bulrushloom.proxy.exchange.fleet_members import MIN_ANSWER_INTERVAL
from bulrushloom.proxy.exchange.messages import GroupUsage, Member, Report, ReportKind
from bulrushloom.proxy.exchange.rounds import ReportRounds
from bulrushloom.proxy.failover.groups import decode_group
from bulrushloom.proxy.failover.member_records import (
    GROUP_MEMBERS_PREFIX,
    decode_group_members,
)
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.store_eras import Knowledge


class Copier(NamedTuple):
    """Functions that bring the state up to date with what a report announces.

    ``read_store`` reads the store. ``fetch_configuration`` and ``fetch_directory`` copy
    a version of the configuration or a version of the directory from an instance.
    """

    read_store: Callable[[], object]
    fetch_configuration: Callable[[Member, int], object]
    fetch_directory: Callable[[Member, str, timedelta], object]


class Fleet(ReportRounds):
    """Membership and shared state of the fleet, as seen by one instance."""

    def __init__(
        self,
        services: Services,
        member: Member,
        open_endpoint: Callable[[OnDatagram], DatagramEndpoint],
        copier: Copier,
    ):
        super().__init__(services, member, open_endpoint)
        self._copier = copier

    def _on_datagram(self, data: bytes, sender: str) -> None:
        report = self._codec.decode(data, self._loop.now())
        if isinstance(report, Missing):
            self._rejections.record(sender, report.reason, data)
            return
        self._apply_group_records(report)
        if report.proven:
            self._on_report(report)
        self._answer(report)

    def _answer(self, report: Report) -> None:
        """Answer a report that needs one at once.

        The answer echoes the timestamp of a sender that could not prove yet that its
        report is recent, tells a probing instance that this one runs, and confirms
        group records.
        """
        is_probe = report.kind is ReportKind.PROBE
        if report.group_by_service:
            self._send([report.member], self._build_report(ReportKind.DIRECT))
        elif (is_probe or not report.proven) and self._may_answer(report.member):
            is_own_domain = report.member.domain == self._member.domain
            if is_own_domain and (is_probe or report.kind is ReportKind.UP):
                answer = self._build_down_report(self._totals.usage_by_domain)
            else:
                answer = self._build_report(ReportKind.DIRECT)
            if report.is_leader and not self._services.eras.is_settled:
                records = self._services.records_newer_than(report)
                answer = answer._replace(group_by_service=records)
            self._send([report.member], answer)

    def _may_answer(self, member: Member) -> bool:
        """Return whether ``member`` was not answered just now; record an answer."""
        now, answered_at = self._loop.now(), self._answered_at_by_name.get(member.name)
        if answered_at is not None and now - answered_at < MIN_ANSWER_INTERVAL:
            return False
        self._answered_at_by_name[member.name] = now
        return True

    def _on_report(self, report: Report) -> None:
        services, name, now = self._services, report.member.name, self._loop.now()
        is_own_domain = report.member.domain == self._member.domain
        suspects_before = self._subtree_suspects()
        self.report_by_name[name] = report
        if self.peers_by_name.get(name) != report.member:
            # The sender is new or has restarted, perhaps with another address.
            self._set_peers(self.peers_by_name | {name: report.member})
        if is_own_domain:
            self._chooser.record_heard(name, now)
        if report.kind is ReportKind.UP and is_own_domain:
            self._subtree.record_child(report)
            self._record_collected(report)
        self._sightings.record(report, self._heard_relays())
        for service, sample in report.position_by_service.items():
            services.history(service).record(sample)
        for service, position in report.acknowledged_by_service.items():
            services.commits.record_position(service, position)
        if report.view is not None:
            self._apply_store_view(report)
        if report.directory is not None:
            self._apply_directory_version(report)
        self._apply_totals(report)
        if report.is_urgent:
            self._pass_usage_on(report)
        if not self._subtree_suspects() <= suspects_before:
            self.send_immediately()

    def _apply_totals(self, report: Report) -> None:
        """Record the totals of domains; pass those of the parent on to the children."""
        own_domain = self._member.domain
        is_parent = (
            report.kind is ReportKind.DOWN
            and report.member.name == self._chooser.parent_name
        )
        for domain, usage in report.usage_by_domain.items():
            if domain != own_domain:
                self._record_domain_usage(domain, usage)
        if not is_parent:
            return
        self._pulse_at = report.received_at
        total = report.usage_by_domain.get(own_domain)
        if total is not None:
            self._totals.included_stamp = report.included_stamp
            self._record_domain_usage(own_domain, total)
        self._send_down(report.usage_by_domain)
        self._collect()

    def _record_domain_usage(self, domain: str, usage: GroupUsage) -> None:
        if self._totals.record(domain, usage):
            self._update_member_count()

    def _apply_group_records(self, report: Report) -> None:
        groups = {}
        for service, (revision, value) in report.group_by_service.items():
            if service.startswith(GROUP_MEMBERS_PREFIX):
                members = decode_group_members(value.encode(), revision)
                if not isinstance(members, Missing):
                    self._services.table.record_members(members)
                continue
            group = decode_group(value.encode(), revision)
            if not isinstance(group, Missing):
                groups[service] = group
        if groups:
            self._services.apply_group_records(groups)

    def _apply_store_view(self, report: Report) -> None:
        """Adopt the sender's store read if this instance knows the same or newer state.

        Otherwise fetch what is missing.
        """
        services, view = self._services, report.view
        assert view is not None
        if view.era != services.eras.era and not self._enter_era(view.era):
            # What the sender knows of an earlier era may have been lost.
            return
        announced = report.followed_version_by_service
        has_configuration = services.configuration.version >= view.configuration_version
        if has_configuration:
            self._apply_knowledge(report)
        elif services.eras.era > 0:
            # This instance's later read may be one of an older copy.
            version = view.configuration_version
            self._copier.fetch_configuration(report.member, version)
            return
        if _contains(services.followed_versions(), announced) and has_configuration:
            services.store_freshness.record_read(view.last_read_at)
            services.record_sealed_positions(view.last_read_at)
        elif view.last_read_at <= services.store_freshness.last_read_at:
            return
        elif not _contains(services.known_versions(), announced):
            self._copier.read_store()
        elif not has_configuration:
            self._copier.fetch_configuration(report.member, view.configuration_version)
        # Otherwise a commit at an old primary is pending; reading would not help.

    def _enter_era(self, era: int) -> bool:
        """Return whether a report showed first that the store has returned."""
        if era <= self._services.eras.era:
            return False
        self._services.enter_era(era, is_settled=False)
        self.keep_members()
        return True

    def _apply_knowledge(self, report: Report) -> None:
        """Apply what the sender knows of the era; its configuration is not newer."""
        eras, view = self._services.eras, report.view
        assert view is not None
        is_elsewhere = report.member.domain != self._member.domain
        if view.knowledge is Knowledge.CURRENT or (
            view.knowledge is Knowledge.EARLIER and (report.is_leader or is_elsewhere)
        ):
            eras.confirm_configuration()
        has_records = _contains(
            self._services.known_versions(), report.followed_version_by_service
        )
        if view.is_settled and not eras.is_settled and has_records:
            eras.settle()

    def probe_all(self) -> None:
        """Ask all members for a report, as the leader for records that it lacks."""
        self._send(self.peers_by_name.values(), self._build_report(ReportKind.PROBE))

    def _apply_directory_version(self, report: Report) -> None:
        announced, known = report.directory, self._directory
        assert announced is not None
        if known is not None and announced.listed_at <= known.listed_at:
            return
        if known is not None and announced.version == known.version:
            self._refresh_directory(announced.listed_at)
        else:
            self._copier.fetch_directory(
                report.member, announced.version, announced.listed_at
            )


def _contains(
    version_by_service: Mapping[str, int], announced_by_service: Mapping[str, int]
) -> bool:
    """Return whether no announced version is newer."""
    return all(
        version_by_service.get(service, 0) >= version
        for service, version in announced_by_service.items()
    )
