"""What the reports of an instance say, and what those of the others told it."""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.proxy.exchange.fleet_members import RELAY_TIMEOUT, FleetMembers
from bulrushloom.proxy.exchange.messages import Report, ReportKind
from bulrushloom.proxy.exchange.reporting import build_report, directory_version

# Time without the store and without other domains after which this instance is cut off.
# Other domains' totals are sent every 0.4 s and reach an instance within 0.2 s.
ISOLATION_TIMEOUT = timedelta(milliseconds=1400)


class SuspicionCount(NamedTuple):
    """Numbers of domains that suspect a target, that report, and that exist.

    ``suspecting`` and ``reporting`` include the instance's own domain.
    """

    suspecting: int
    reporting: int
    total: int


class ReportContent(FleetMembers):
    """Content of the reports that are sent, and decisions from those received."""

    def _records_missing_at(
        self, reports: Iterable[Report]
    ) -> dict[str, tuple[int, str]]:
        """Return the group records that a sender of ``reports`` does not follow yet.

        A child that lacked one would read the store when it hears of it.
        """
        return {
            service: (group.revision, group.encode().decode())
            for service, group in self._services.table.group_by_service.items()
            if any(
                report.followed_version_by_service.get(service, 0) < group.version
                for report in reports
            )
        }

    def _build_down_report(self, domains: Iterable[str]) -> Report:
        report = self._build_report(ReportKind.DOWN)
        usage_by_domain = self._totals.shareable
        return report._replace(
            usage_by_domain={
                domain: usage_by_domain[domain]
                for domain in domains
                if domain in usage_by_domain
            },
            directory=directory_version(self._directory),
        )

    def _build_relay_report(self) -> Report:
        """Return the report to the relays of the other domains.

        Only the leader adds the version of the directory, which it has read.
        """
        report = self._build_report(ReportKind.DIRECT)
        usage = self._totals.own
        return report._replace(
            usage_by_domain={self._member.domain: usage} if usage is not None else {},
            suspected=self._subtree_suspects(),
            directory=directory_version(self._directory) if self.is_leader else None,
        )

    def _build_report(self, kind: ReportKind) -> Report:
        stamp = self._codec.next_stamp(self._loop.now())
        report = build_report(self._services, self._member, kind, stamp)
        leader = self._sightings.leader if not self.is_leader else None
        is_relay = self.is_domain_relay()
        relays = dict(self._sightings.relay_by_domain)
        if is_relay:
            relays[self._member.domain] = self._member.name
        return report._replace(
            is_domain_relay=is_relay,
            is_leader=self.is_leader,
            leader=leader,
            relay_by_domain=relays,
        )

    def _subtree_suspects(self) -> frozenset[str]:
        """Return the targets that this instance or an instance below it suspects."""
        suspected = set(self._services.suspected_targets())
        for report in self._subtree.children(self._loop.now()):
            suspected |= report.suspected
        return frozenset(suspected)

    def _suspects_by_domain(self) -> dict[str, frozenset[str]]:
        suspects_by_domain = {self._member.domain: self._subtree_suspects()}
        for report in self.recent_reports(RELAY_TIMEOUT):
            domain = report.member.domain
            if report.is_domain_relay and domain != self._member.domain:
                suspects_by_domain[domain] = (
                    suspects_by_domain.get(domain, frozenset()) | report.suspected
                )
        return suspects_by_domain

    def count_suspecting_domains(self, target_id: str) -> SuspicionCount:
        """Count the domains that suspect a target, that report, and that exist."""
        suspects_by_domain = self._suspects_by_domain()
        suspecting = sum(
            target_id in suspects for suspects in suspects_by_domain.values()
        )
        domains = {member.domain for member in self.peers_by_name.values()}
        total = len(domains | {self._member.domain})
        return SuspicionCount(suspecting, len(suspects_by_domain), total)

    def fleet_suspects(self) -> frozenset[str]:
        """Return the targets that any instance in reach suspects."""
        return frozenset().union(*self._suspects_by_domain().values())

    def is_isolated(self) -> bool:
        """Return whether neither the store nor another domain is reachable.

        In a fleet with a single domain, the other instances are checked instead.
        """
        services, now = self._services, self._loop.now()
        if services.store_freshness.age(now) < ISOLATION_TIMEOUT:
            return False
        others = {m.domain for m in self.peers_by_name.values()} - {self._member.domain}
        if not others:
            return bool(self.peers_by_name) and not self.recent_reports(
                ISOLATION_TIMEOUT
            )
        report_times = [
            self._totals.usage_by_domain[d].reported_at
            for d in others & self._totals.usage_by_domain.keys()
        ]
        return all(now - at > ISOLATION_TIMEOUT for at in report_times)
