"""Rounds of reports: when an instance sends which report, and to whom."""

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.exchange.endpoint import DatagramEndpoint, OnDatagram
from bulrushloom.proxy.exchange.fleet_members import REPORT_TIMEOUT
from bulrushloom.proxy.exchange.messages import Member, Report, ReportKind
from bulrushloom.proxy.exchange.report_content import ReportContent
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
# Time without a report of the parent after which an instance reports to its children on
# its own, so that they do not look for another parent as well.
PARENT_PULSE_TIMEOUT = timedelta(milliseconds=300)
_ZERO = timedelta()


class ReportRounds(ReportContent):
    """Sending of reports, in rounds and at once."""

    def __init__(
        self,
        services: Services,
        member: Member,
        open_endpoint: Callable[[OnDatagram], DatagramEndpoint],
    ):
        super().__init__(services, member, open_endpoint)
        self._last_urgent_at = self._loop.now()
        services.on_suspicion = self.send_immediately
        services.limiter.on_demand_rise = self.spread_usage
        self._is_spreading = False
        self._is_spread_scheduled = False
        services.commits.on_followed = self._confirm_to_leader
        self._round = 0
        self._pulse_at: timedelta | None = None
        # Incarnations of the children whose reports the current collection awaits.
        self._awaited: set[str] = set()
        self._collection = 0

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

    def spread_usage(self) -> None:
        """Report the usage of accounts through the whole fleet without awaiting rounds.

        Answers an account whose demand rises to many times its usual on all instances:
        within a round they admitted 1.1 to 1.5 times what it may have. Each instance
        passes the reports on at most once in ``MIN_URGENT_INTERVAL``.
        """
        if self._is_spread_scheduled or not self.has_keys:
            return
        delay = self._last_urgent_at + MIN_URGENT_INTERVAL - self._loop.now()
        if delay <= _ZERO:
            self._spread_now()
        else:
            self._is_spread_scheduled = True
            self._loop.call_later(delay, self._spread_now)

    def _spread_now(self) -> None:
        self._is_spread_scheduled = False
        self._last_urgent_at = self._loop.now()
        self._services.metrics.count("usage_reports_at_once", "sent")
        # Make the number of the round even: even rounds include the other domains.
        self._round += self._round % ROUNDS_PER_CROSS_DOMAIN_REPORT
        self._is_spreading = True
        self._finish_collection()
        self._is_spreading = False
        if self.is_domain_relay():
            self._send_down(set(self._totals.usage_by_domain))

    def _pass_usage_on(self, report: Report) -> None:
        """Pass on what a child or another domain reported out of turn."""
        if report.member.domain == self._member.domain:
            self.spread_usage()
        elif self.is_domain_relay():
            self._send_down(set(report.usage_by_domain))

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
            self._send_to_relays()

    def _send_to_relays(self) -> None:
        """Report to the relays of the other domains."""
        receivers = self._sightings.relay_receivers(
            self.peers_by_name, self._heard_relays(), self._round
        )
        report = self._build_relay_report()
        self._send(receivers, report._replace(is_urgent=self._is_spreading))

    def _send_up(self, parent: str) -> None:
        member = self.peers_by_name.get(parent)
        if member is None:
            return
        report = self._build_report(ReportKind.UP)
        own_usage = self._services.limiter.own_usage(report.received_at)
        self._subtree.record_sent(report.stamp, own_usage, parent)
        subtree = self._subtree.total(own_usage, parent, report.received_at)
        report = report._replace(
            subtree=subtree,
            own_usage=own_usage,
            suspected=self._subtree_suspects(),
            is_urgent=self._is_spreading,
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

    def announce_directory(self) -> None:
        """Send the version of the directory to the children, as the leader to relays.

        In rounds, a new version needs up to a round for each level of the tree.
        """
        self._send_down(())
        if self.is_leader:
            self._send_to_relays()

    def _send(
        self,
        members: Iterable[Member],
        report: Report,
        included_by_incarnation: Mapping[str, int] | None = None,
    ) -> None:
        """Send a report, in one datagram for each domain.

        A datagram has an echo for each receiver, so one for all instances of a large
        fleet would consist of echoes.
        """
        if not self.has_keys:
            return
        receivers_by_domain: dict[str, list[Member]] = {}
        for member in members:
            receivers_by_domain.setdefault(member.domain, []).append(member)
        for receivers in receivers_by_domain.values():
            self._send_to_domain(receivers, report, included_by_incarnation or {})

    def _send_to_domain(
        self,
        receivers: list[Member],
        report: Report,
        included_by_incarnation: Mapping[str, int],
    ) -> None:
        leaves_domain = receivers[0].domain != self._member.domain
        if leaves_domain:
            names = self._services.configuration.account_by_name
            self._codec.accounts.update(names)
        data = self._codec.encode(
            report,
            receivers,
            included_by_incarnation,
            self._loop.now(),
            is_compact=leaves_domain,
        )
        if isinstance(data, Missing):
            self._services.log.write("report_not_sent", reason=data.reason)
            return
        for receiver in receivers:
            self._endpoint.send(receiver.address, data)
            distance = self._services.regions.distance_to(receiver.domain)
            self._services.metrics.count("gossip_bytes_sent", distance.value, len(data))
