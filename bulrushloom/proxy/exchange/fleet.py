"""The fleet as one instance sees it: members, reports, and state that they carry."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.exchange.aggregation import SubtreeTotals
from bulrushloom.proxy.exchange.codec import ReportCodec
from bulrushloom.proxy.exchange.endpoint import (
    DatagramEndpoint,
    OnDatagram,
    RejectionLog,
)
from bulrushloom.proxy.exchange.keys import ExchangeKeys
from bulrushloom.proxy.exchange.messages import (
    Directory,
    GroupUsage,
    Member,
    Report,
    ReportKind,
)
from bulrushloom.proxy.exchange.reporting import build_report, directory_version
from bulrushloom.proxy.exchange.sightings import Sightings
from bulrushloom.proxy.exchange.totals import DomainTotals
from bulrushloom.proxy.exchange.tree import ParentChooser
from bulrushloom.proxy.failover.groups import decode_group
from bulrushloom.proxy.services import Services
from bulrushloom.runtime.loop import Steps

# Interval of the rounds within a domain, where traffic is free and fast.
ROUND_INTERVAL = timedelta(milliseconds=200)
# Only every second round includes the other domains, because that traffic is billed.
ROUNDS_PER_CROSS_DOMAIN_REPORT = 2
MIN_URGENT_INTERVAL = timedelta(milliseconds=100)
# Time for which an instance waits for the reports of its children before its own one.
# Reports take a few milliseconds; a child that needs longer is frozen or overloaded.
COLLECTION_TIMEOUT = timedelta(milliseconds=60)
# Age from which the last report of a child is ignored: three consecutive datagrams were
# lost, or the sender is frozen. RELAY_TIMEOUT applies to the relays of other domains,
# which send half as often.
REPORT_TIMEOUT = timedelta(milliseconds=900)
RELAY_TIMEOUT = timedelta(milliseconds=1600)
# Time without a report of the parent after which an instance reports to its children on
# its own, so that they do not look for another parent as well.
PARENT_PULSE_TIMEOUT = timedelta(milliseconds=300)
# Time without the store and without other domains after which this instance is cut off.
# Other domains' totals are sent every 0.4 s and reach an instance within 0.2 s.
ISOLATION_TIMEOUT = timedelta(milliseconds=1400)
# Member entries in the store can expire while the store is unavailable. If the last
# list is older than LIST_GAP, its members are kept for this long.
REPORTING_MEMBER_LIFETIME = timedelta(seconds=4)
LIST_GAP = timedelta(seconds=3)
# An answer to an unproven report may itself be unproven to its receiver, so answers to
# one sender are limited.
MIN_ANSWER_INTERVAL = timedelta(milliseconds=50)


class SuspicionCount(NamedTuple):
    """Numbers of domains that suspect a target, that report, and that exist.

    ``suspecting`` and ``reporting`` include the instance's own domain.
    """

    suspecting: int
    reporting: int
    total: int


class Copier(NamedTuple):
    """Functions that bring the state up to date with what a report announces.

    ``read_store`` reads the store. ``fetch_configuration`` and ``fetch_directory`` copy
    a revision of the configuration or a version of the directory from an instance.
    """

    read_store: Callable[[], object]
    fetch_configuration: Callable[[Member, int], object]
    fetch_directory: Callable[[Member, str, timedelta], object]


class Fleet:
    """Membership and shared state of the fleet, as seen by one instance.

    ``peers_by_name`` has the other instances. ``report_by_name`` has the last report of
    those that this instance is in contact with. ``member_ended_at`` is when an instance
    was last found to have ended or restarted; its last commits may not be reported.
    """

    def __init__(
        self,
        services: Services,
        member: Member,
        open_endpoint: Callable[[OnDatagram], DatagramEndpoint],
        copier: Copier,
    ):
        self._services = services
        self._loop = services.loop
        self._member = member
        self._codec = ReportCodec(member)
        self._endpoint = open_endpoint(self._on_datagram)
        self._rejections = RejectionLog(services.loop, services.log, services.metrics)
        self._copier = copier
        self._last_urgent_at = self._loop.now()
        services.on_suspicion = self.send_immediately
        services.commits.on_followed = self._confirm_to_leader
        self._round = 0
        self._chooser = ParentChooser(member, services.random)
        self._subtree = SubtreeTotals(
            member.incarnation, REPORT_TIMEOUT, services.limiter.window.length
        )
        self._totals = DomainTotals(member, services.limiter, self._subtree)
        self._sightings = Sightings(member)
        self._pulse_at: timedelta | None = None
        # Incarnations of the children whose reports the current collection awaits.
        self._awaited: set[str] = set()
        self._collection = 0
        self._directory: Directory | None = None
        self._kept_members_until = self._loop.now()
        self._answered_at_by_name: dict[str, timedelta] = {}
        self.leader_hint = ""
        self.is_leader = False
        self.member_ended_at = self._loop.now()
        self.peers_by_name: dict[str, Member] = {}
        self.report_by_name: dict[str, Report] = {}

    @property
    def sent_bytes(self) -> int:
        """Return the total size of the datagrams sent."""
        return self._endpoint.sent_bytes

    @property
    def sent_count(self) -> int:
        """Return the number of datagrams sent."""
        return self._endpoint.sent_count

    @property
    def has_keys(self) -> bool:
        """Return whether datagrams can be signed and verified."""
        return self._codec.keys is not None

    @property
    def keys(self) -> ExchangeKeys | None:
        """Return the keys, ``None`` until they were read from the store."""
        return self._codec.keys

    def set_keys(self, keys: ExchangeKeys) -> None:
        """Use the keys that were read from the store."""
        self._codec.keys = keys

    # Membership

    @property
    def directory(self) -> Directory | None:
        """Return the latest known directory."""
        return self._directory

    def update_directory(self, directory: Directory) -> None:
        """Apply the targets and members of a store read unless they are outdated."""
        previous, now = self._directory, self._loop.now()
        if previous and directory.listed_at <= previous.listed_at:
            return
        self._directory = directory
        if previous is None:
            # An instance may have restarted before this one knew of any.
            self.member_ended_at = now
        self._services.update_targets(directory.target_by_id, directory.listed_at)
        if previous and directory.listed_at - previous.listed_at > LIST_GAP:
            self._kept_members_until = now + REPORTING_MEMBER_LIFETIME
        peers = dict(self.peers_by_name) if now < self._kept_members_until else {}
        for name, report in self.report_by_name.items():
            if now - report.received_at < REPORTING_MEMBER_LIFETIME:
                peers[name] = report.member
        peers |= directory.member_by_name
        peers.pop(self._member.name, None)
        if not self.peers_by_name:
            # The others reserve this instance's part of every limit until it reports.
            self._loop.call_soon(self.send_immediately)
        self._set_peers(peers)
        self._codec.drop_expired(now)
        self._answered_at_by_name = {
            name: at
            for name, at in self._answered_at_by_name.items()
            if now - at < MIN_ANSWER_INTERVAL
        }
        self._services.limiter.forget_old_reports(now)

    def _refresh_directory(self, listed_at: timedelta) -> None:
        """Record that a later store read listed the same targets and members."""
        if self._directory is not None:
            self.update_directory(self._directory._replace(listed_at=listed_at))

    def _set_peers(self, peers: dict[str, Member]) -> None:
        if peers.keys() != self.peers_by_name.keys():
            self._services.log.write(
                "members_changed",
                count=len(peers) + 1,
                joined=sorted(peers.keys() - self.peers_by_name.keys()),
                left=sorted(self.peers_by_name.keys() - peers.keys()),
            )
        if not self.peers_by_name.items() <= peers.items():
            self.member_ended_at = self._loop.now()
        self.peers_by_name = peers
        self._update_member_count()
        self.report_by_name = {
            name: report
            for name, report in self.report_by_name.items()
            if name in peers
        }

    def _update_member_count(self) -> None:
        """Update the number of instances that hold connections and admit operations.

        If the store rejects the calls of an instance, the member entry of the instance
        expires, but the instance keeps working with the reports of its domain. The
        total that the domain's relay reports includes it.
        """
        now = self._loop.now()
        reporting_by_domain = self._totals.reporting_counts(
            now - REPORTING_MEMBER_LIFETIME
        )
        listed_by_domain = Counter(m.domain for m in self.peers_by_name.values())
        listed_by_domain[self._member.domain] += 1
        count = sum(
            max(listed_by_domain[domain], reporting_by_domain.get(domain, 0))
            for domain in listed_by_domain.keys() | reporting_by_domain.keys()
        )
        self._services.member_count = count
        self._services.limiter.member_count = count

    def _domain_names(self) -> list[str]:
        domain = self._member.domain
        return [n for n, m in self.peers_by_name.items() if m.domain == domain]

    def _leader_name(self) -> str:
        """Return the name of the leader, or an empty string if it is not heard."""
        if self.is_leader:
            return self._member.name
        return self._sightings.leader_name(self._loop.now())

    def is_domain_relay(self) -> bool:
        """Return whether this instance exchanges reports with the other domains.

        That is the leader in its domain, and otherwise the first reporting instance of
        the domain by name: the root of the tree.
        """
        names, leader = self._domain_names(), self._leader_name()
        return self._chooser.is_root(names, leader)

    def recent_reports(self, max_age: timedelta) -> list[Report]:
        """Return the latest reports that are not older than ``max_age``."""
        now = self._loop.now()
        return [
            r for r in self.report_by_name.values() if now - r.received_at <= max_age
        ]

    def _heard_relays(self) -> list[Report]:
        return [r for r in self.recent_reports(RELAY_TIMEOUT) if r.is_domain_relay]

    # Sending

    def run(self) -> Steps:
        """Send a round of reports at fixed intervals."""
        while True:
            yield self._loop.sleep(ROUND_INTERVAL)
            self._round += 1
            self._send_round()

    def send_immediately(self) -> None:
        """Report upwards now; a relay includes the other domains.

        Calls within ``MIN_URGENT_INTERVAL`` of the last one are ignored.
        """
        now = self._loop.now()
        if now - self._last_urgent_at >= MIN_URGENT_INTERVAL:
            self._last_urgent_at = now
            # Make the number of the round even: even rounds include the other domains.
            self._round += self._round % ROUNDS_PER_CROSS_DOMAIN_REPORT
            self._send_round(is_urgent=True)

    def _send_round(self, is_urgent: bool = False) -> None:
        """Look for a parent, and start what no report of a parent started.

        The reports of a parent set the pace of the instances below it, so that a total
        contains what they admitted just now, however many levels the tree has.
        """
        if not self.has_keys:
            return
        now = self._loop.now()
        previous_parent = self._chooser.parent_name
        probes = self._chooser.update(self._domain_names(), self._leader_name(), now)
        parent = self._chooser.parent_name
        if previous_parent not in ("", parent):
            self._report_leaving(previous_parent)
        if parent not in ("", previous_parent):
            self._send_up(parent)
        if probes:
            report = self._build_report(ReportKind.PROBE)
            self._send([self.peers_by_name[name] for name in probes], report)
        is_relay, pulse_at = self.is_domain_relay(), self._pulse_at
        if is_relay or pulse_at is None or now - pulse_at >= PARENT_PULSE_TIMEOUT:
            domains = set(self._totals.usage_by_domain)
            if self._round % ROUNDS_PER_CROSS_DOMAIN_REPORT:
                domains &= {self._member.domain}
            self._send_down(domains)
            self._collect()
        if is_urgent:
            self._finish_collection()
        self._introduce_to_leader()

    def _collect(self) -> None:
        """Await the reports of the children; report when all of them have arrived."""
        children = self._subtree.children(self._loop.now())
        self._awaited = {report.member.incarnation for report in children}
        self._collection += 1
        number = self._collection
        if not self._awaited:
            self._finish_collection()
            return

        def stop_waiting() -> None:
            if number == self._collection and self._awaited:
                self._finish_collection()

        self._loop.call_later(COLLECTION_TIMEOUT, stop_waiting)

    def _record_collected(self, report: Report) -> None:
        if report.member.incarnation in self._awaited:
            self._awaited.discard(report.member.incarnation)
            if not self._awaited:
                self._finish_collection()

    def _finish_collection(self) -> None:
        """Report to the parent; a relay reports to the other domains at intervals."""
        self._awaited.clear()
        if self._chooser.parent_name:
            self._send_up(self._chooser.parent_name)
        if not self.is_domain_relay():
            self._totals.resign()
            return
        self._record_own_domain_total()
        if self._round % ROUNDS_PER_CROSS_DOMAIN_REPORT == 0:
            receivers = self._sightings.relay_receivers(
                self.peers_by_name, self._heard_relays(), self._round
            )
            self._send(receivers, self._build_relay_report())

    def _send_up(self, parent: str) -> None:
        member = self.peers_by_name.get(parent)
        if member is None:
            return
        report = self._build_report(ReportKind.UP)
        own_usage = self._services.limiter.own_usage(report.received_at)
        self._subtree.record_sent(report.stamp, own_usage, parent)
        subtree = self._subtree.total(own_usage, parent, report.received_at)
        report = report._replace(
            subtree=subtree, own_usage=own_usage, suspected=self._subtree_suspects()
        )
        self._send([member], report)

    def _report_leaving(self, parent: str) -> None:
        """Tell the previous parent that this instance reports to another one."""
        member, now = self.peers_by_name.get(parent), self._loop.now()
        if member is None:
            return
        own_usage = self._services.limiter.own_usage(now)
        subtree = self._subtree.total(own_usage, parent, now)
        report = self._build_report(ReportKind.UP)._replace(
            subtree=subtree, own_usage=own_usage, has_left=True
        )
        self._send([member], report)

    def _record_own_domain_total(self) -> None:
        """Calculate the total of the domain, as the root of the tree."""
        now = self._loop.now()
        is_in_contact = not self.peers_by_name or bool(
            self.recent_reports(REPORT_TIMEOUT)
        )
        own_usage = self._services.limiter.own_usage(now)
        stamp = self._codec.next_stamp(now)
        if self._totals.record_own_domain(stamp, own_usage, is_in_contact, now):
            self._update_member_count()

    def _send_down(self, domains: Iterable[str]) -> None:
        """Report to the children, with the totals of ``domains``."""
        now = self._loop.now()
        reports = self._subtree.children(now)
        children = [report.member for report in reports]
        if not children:
            return
        report = self._build_down_report(domains)._replace(
            group_by_service=self._records_missing_at(reports)
        )
        included = self._subtree.included_stamps(self._totals.included_stamp)
        self._send(children, report, included)

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
                report.followed_revision_by_service.get(service, 0) < group.revision
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

    def _introduce_to_leader(self) -> None:
        """Report to the leader until the directory lists this incarnation.

        The leader must know of every instance that may use a primary.
        """
        directory = self._directory
        listed = directory.member_by_name.get(self._member.name) if directory else None
        if listed is not None and listed.incarnation == self._member.incarnation:
            return
        leader = self.peers_by_name.get(self._leader_name() or self.leader_hint)
        if leader is not None:
            self._send([leader], self._build_report(ReportKind.DIRECT))

    def _confirm_to_leader(self) -> None:
        """Report to the leader that this instance follows a group record now."""
        leader = self.peers_by_name.get(self._leader_name())
        if leader is not None:
            self._send([leader], self._build_report(ReportKind.DIRECT))

    def announce(
        self, members: Iterable[Member], group_by_service: Mapping[str, tuple[int, str]]
    ) -> None:
        """Send group records to ``members`` immediately."""
        report = self._build_report(ReportKind.DIRECT)
        self._send(members, report._replace(group_by_service=group_by_service))

    def _send(
        self,
        members: Iterable[Member],
        report: Report,
        included_by_incarnation: Mapping[str, int] | None = None,
    ) -> None:
        receivers = list(members)
        if not receivers or not self.has_keys:
            return
        data = self._codec.encode(
            report, receivers, included_by_incarnation or {}, self._loop.now()
        )
        if isinstance(data, Missing):
            self._services.log.write("report_not_sent", reason=data.reason)
            return
        for receiver in receivers:
            self._endpoint.send(receiver.address, data)

    # Receiving

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
        announced = report.followed_revision_by_service
        has_configuration = (
            services.configuration.revision >= view.configuration_revision
        )
        if _contains(services.followed_revisions(), announced) and has_configuration:
            services.store_freshness.record_read(view.last_read_at)
            services.record_sealed_positions(view.last_read_at)
        elif view.last_read_at <= services.store_freshness.last_read_at:
            return
        elif not _contains(services.known_revisions(), announced):
            self._copier.read_store()
        elif not has_configuration and report.member.domain == self._member.domain:
            # Copies within a domain are free, and the relay has read the store.
            self._copier.fetch_configuration(report.member, view.configuration_revision)
        elif not has_configuration:
            self._copier.read_store()
        # Otherwise a commit at an old primary is pending; reading would not help.

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

    # What the reports say

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

    def has_live_leader(self) -> bool:
        """Return whether this instance is the leader or the leader was heard lately."""
        return bool(self._leader_name())

    def directory_listed_since(self, at: timedelta) -> bool:
        """Return whether the members were listed by a store read sent since ``at``."""
        return self._directory is not None and self._directory.listed_at >= at

    def close(self) -> None:
        """Close the socket."""
        self._endpoint.close()


def _contains(
    revision_by_service: Mapping[str, int], announced_by_service: Mapping[str, int]
) -> bool:
    """Return whether no announced revision is newer."""
    return all(
        revision_by_service.get(service, 0) >= revision
        for service, revision in announced_by_service.items()
    )
