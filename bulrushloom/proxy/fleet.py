"""Gossip protocol of the fleet: what instances report and how reports are applied.

Every instance sends its report to its own domain. One instance per domain, the domain
relay, also exchanges reports with the relays of the other domains.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.gossip import (
    Directory,
    DomainUsage,
    GossipSocket,
    Member,
    Report,
    StoreView,
)
from bulrushloom.proxy.groups import decode_group
from bulrushloom.proxy.limits import PeerUsage, Usage
from bulrushloom.proxy.services import Services
from bulrushloom.runtime.loop import Steps

# Interval of the rounds within a domain, where traffic is free and fast.
ROUND_INTERVAL = timedelta(milliseconds=200)
# Only every second round includes the other domains, because that traffic is billed.
ROUNDS_PER_CROSS_DOMAIN_REPORT = 2
MIN_URGENT_INTERVAL = timedelta(milliseconds=100)
# The directory of targets and members is sent in every fourth round, because it changes
# slowly.
ROUNDS_PER_DIRECTORY = 4
# Age from which the last report of an instance is ignored: three consecutive datagrams
# were lost, or the sender is frozen. RELAY_TIMEOUT applies to decisions that use the
# reports of other domains, which are sent half as often.
REPORT_TIMEOUT = timedelta(milliseconds=900)
RELAY_TIMEOUT = timedelta(milliseconds=1600)
# Time without the store and without other domains after which this instance is cut off.
# Other domains' totals are sent every 0.4 s and reach an instance 0.2 s later.
ISOLATION_TIMEOUT = timedelta(milliseconds=1400)
# Time without a report of the leader after which there may be none.
LEADER_TIMEOUT = timedelta(milliseconds=1300)
# Age up to which the total of another domain represents its current usage.
DOMAIN_USAGE_LIFETIME = timedelta(milliseconds=1600)
# Member entries in the store can expire while the store is unavailable, so an instance
# that still reports remains a member for this long after its last report.
REPORTING_MEMBER_LIFETIME = timedelta(seconds=4)
# Older log positions of a primary are not reported.
MAX_POSITION_AGE = timedelta(seconds=3)


class SuspicionCount(NamedTuple):
    """Numbers of domains that suspect a target, that report, and that exist.

    ``suspecting`` and ``reporting`` include the instance's own domain.
    """

    suspecting: int
    reporting: int
    total: int


class Fleet:
    """Membership and shared state of the fleet, as seen by one instance.

    ``read_store`` is called when another instance has read newer state from the store,
    and ``fetch_configuration`` when an instance of the same domain has a newer
    configuration.
    """

    def __init__(
        self,
        services: Services,
        member: Member,
        open_gossip: Callable[[Callable[[Report], None]], GossipSocket],
        read_store: Callable[[], object],
        fetch_configuration: Callable[[Member, int], object],
    ):
        self._services = services
        self._loop = services.loop
        self._member = member
        self._gossip = open_gossip(self._on_report)
        self._last_urgent_at = self._loop.now()
        services.on_suspicion = self.send_immediately
        self._read_store = read_store
        self._fetch_configuration = fetch_configuration
        self._round = 0
        self._domain_usage: dict[str, DomainUsage] = {}
        self._directory: Directory | None = None
        self.is_leader = False
        self.peers_by_name: dict[str, Member] = {}
        self.report_by_name: dict[str, Report] = {}

    @property
    def sent_bytes(self) -> int:
        """Return the total size of the datagrams sent."""
        return self._gossip.sent_bytes

    # Membership

    def update_directory(self, directory: Directory) -> None:
        """Apply the targets and members of a store read unless they are outdated."""
        if self._directory and directory.listed_at <= self._directory.listed_at:
            return
        self._directory = directory
        services, now = self._services, self._loop.now()
        services.update_targets(directory.target_by_id, directory.listed_at)
        peers = {
            name: member
            for name, member in directory.member_by_name.items()
            if name != self._member.name
        }
        for name, report in self.report_by_name.items():
            if now - report.received_at < REPORTING_MEMBER_LIFETIME:
                peers[name] = report.member
        if not self.peers_by_name:
            # Peers reserve this instance's part of every limit until it reports.
            self._loop.call_soon(self.send_immediately)
        self._set_peers(peers)
        self._gossip.drop_expired()
        services.limiter.forget_old_reports(now)

    def _set_peers(self, peers: dict[str, Member]) -> None:
        if peers.keys() != self.peers_by_name.keys():
            self._services.log.write("members_changed", members=sorted(peers))
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
        now, own_domain = self._loop.now(), self._member.domain
        reporting_by_domain = {
            domain: usage.instance_count
            for domain, usage in self._domain_usage.items()
            if now - usage.reported_at <= REPORTING_MEMBER_LIFETIME
        }
        listed_by_domain = Counter(m.domain for m in self.peers_by_name.values())
        listed_by_domain[own_domain] += 1
        count = sum(
            max(listed_by_domain[domain], reporting_by_domain.get(domain, 0))
            for domain in listed_by_domain.keys() | reporting_by_domain.keys()
        )
        self._services.member_count = count
        self._services.limiter.member_count = count

    def recent_reports(self, max_age: timedelta) -> list[Report]:
        """Return the latest report of each peer that is not older than ``max_age``."""
        now = self._loop.now()
        return [
            r for r in self.report_by_name.values() if now - r.received_at <= max_age
        ]

    def is_domain_relay(self) -> bool:
        """Return whether this instance exchanges reports with the other domains.

        That is the leader in its domain, and otherwise the first reporting instance of
        the domain by name.
        """
        if self.is_leader:
            return True
        own = self._member
        for report in self.recent_reports(REPORT_TIMEOUT):
            if report.member.domain != own.domain:
                continue
            if report.is_leader or report.member.name < own.name:
                return False
        return True

    # Sending

    def run(self) -> Steps:
        """Send a round of reports at fixed intervals."""
        while True:
            yield self._loop.sleep(ROUND_INTERVAL)
            self._round += 1
            self._send_round()

    def send_immediately(self) -> None:
        """Send a round of reports now; a relay includes the other domains.

        Calls within ``MIN_URGENT_INTERVAL`` of the last one are ignored.
        """
        now = self._loop.now()
        if now - self._last_urgent_at >= MIN_URGENT_INTERVAL:
            self._last_urgent_at = now
            # Make the number of the round even: even rounds include the other domains.
            self._round += self._round % ROUNDS_PER_CROSS_DOMAIN_REPORT
            self._send_round()

    def _send_round(self) -> None:
        """Send a report to the domain and, if due, to the relays of other domains."""
        own_domain = self._member.domain
        is_relay = self.is_domain_relay()
        domain_peers = [
            m for m in self.peers_by_name.values() if m.domain == own_domain
        ]
        report = self._build_report(is_relay)
        if is_relay and self._round % ROUNDS_PER_DIRECTORY == 0:
            report = report._replace(directory=self._directory)
        self._gossip.send(domain_peers, report)
        if is_relay and self._round % ROUNDS_PER_CROSS_DOMAIN_REPORT == 0:
            total = {own_domain: self._domain_total()}
            report = report._replace(usage_by_account={}, usage_by_domain=total)
            if not self.is_leader:
                # The leader itself sends the directory to all relays, and traffic
                # between domains is billed.
                report = report._replace(directory=None)
            self._gossip.send(self._other_relays(), report)

    def _other_relays(self) -> list[Member]:
        """Return the relays of the other domains.

        Of a domain without a known relay, all members are returned.
        """
        relays = {
            report.member.name
            for report in self.recent_reports(RELAY_TIMEOUT)
            if report.is_domain_relay
        }
        members_by_domain: dict[str, list[Member]] = {}
        for member in self.peers_by_name.values():
            if member.domain != self._member.domain:
                members_by_domain.setdefault(member.domain, []).append(member)
        receivers: list[Member] = []
        for members in members_by_domain.values():
            known_relays = [member for member in members if member.name in relays]
            receivers += known_relays or members
        return receivers

    def _build_report(self, is_relay: bool) -> Report:
        services, now = self._services, self._loop.now()
        positions = {}
        for service, history in services.position_histories().items():
            latest = history.latest()
            if latest is not None and now - latest.taken_at < MAX_POSITION_AGE:
                positions[service] = latest
        view = None
        followed = services.followed_revisions()
        # A receiver adopts the view only if it follows these records or newer ones, so
        # the view is sent only if they include every known group.
        follows_all = followed.keys() == services.table.group_by_service.keys()
        if follows_all and services.store_freshness.allows_keys(now):
            revision = services.configuration.revision
            view = StoreView(services.store_freshness.last_read_at, revision)
        return Report(
            member=self._member,
            received_at=now,
            is_domain_relay=is_relay,
            is_leader=self.is_leader,
            usage_by_account=services.limiter.own_usage(now),
            usage_by_domain=self._domain_usage if is_relay else {},
            position_by_service=positions,
            acknowledged_by_service=services.acknowledged_by_service,
            suspected=self.domain_suspects() if is_relay else self._own_suspects(),
            view=view,
            directory=None,
            followed_revision_by_service=followed,
            group_by_service={},
        )

    def _own_suspects(self) -> frozenset[str]:
        return self._services.suspected_targets()

    def domain_suspects(self) -> frozenset[str]:
        """Return the targets that this instance or its domain suspects.

        Reports of other relays are left out: they already contain such a union.
        """
        suspected = set(self._own_suspects())
        for report in self.recent_reports(REPORT_TIMEOUT):
            if (
                report.member.domain == self._member.domain
                and not report.is_domain_relay
            ):
                suspected |= report.suspected
        return frozenset(suspected)

    def count_suspecting_domains(self, target_id: str) -> SuspicionCount:
        """Count the domains that suspect a target, that report, and that exist."""
        own_domain = self._member.domain
        suspects_by_domain = {own_domain: set(self._own_suspects())}
        for report in self.recent_reports(RELAY_TIMEOUT):
            suspects = suspects_by_domain.setdefault(report.member.domain, set())
            suspects |= report.suspected
        suspecting = sum(
            target_id in suspects for suspects in suspects_by_domain.values()
        )
        domains = {member.domain for member in self.peers_by_name.values()} | {
            own_domain
        }
        return SuspicionCount(suspecting, len(suspects_by_domain), len(domains))

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
            self._domain_usage[d].reported_at
            for d in others & self._domain_usage.keys()
        ]
        return all(now - at > ISOLATION_TIMEOUT for at in report_times)

    def has_live_leader(self) -> bool:
        """Return whether this instance is the leader or has a recent report from it."""
        return self.is_leader or any(
            report.is_leader for report in self.recent_reports(LEADER_TIMEOUT)
        )

    def fleet_suspects(self) -> frozenset[str]:
        """Return the targets that any instance in reach suspects."""
        suspected = set(self._own_suspects())
        for report in self.recent_reports(RELAY_TIMEOUT):
            suspected |= report.suspected
        return frozenset(suspected)

    def _domain_total(self) -> DomainUsage:
        """Return the usage of this domain, as a relay reports it to the others."""
        now = self._loop.now()
        admitted: Counter[str] = Counter()
        demand: Counter[str] = Counter()
        limiter = self._services.limiter
        usages: list[Mapping[str, Usage]] = [limiter.own_usage(now)]
        counted_keys = {_domain_key(domain) for domain in self._domain_usage}
        for report in self.recent_reports(REPORT_TIMEOUT):
            if report.member.domain == self._member.domain:
                counted_keys.add(_instance_key(report.member))
                usages.append(report.usage_by_account)
        instance_count = len(usages)
        for usage_by_account in usages:
            for account, usage in usage_by_account.items():
                admitted[account] += usage.admitted  # type: ignore[assignment]
                demand[account] += usage.demand_per_s  # type: ignore[assignment]
        # Operations of an instance that became unreachable still count in the window.
        for account, admitted_before in limiter.unreachable_usage(
            counted_keys, now
        ).items():
            admitted[account] += admitted_before  # type: ignore[assignment]
        total = {name: Usage(admitted[name], demand[name]) for name in admitted}
        return DomainUsage(instance_count, now, total)

    def announce(
        self, members: Iterable[Member], group_by_service: Mapping[str, tuple[int, str]]
    ) -> None:
        """Send group records to ``members`` immediately."""
        report = self._build_report(self.is_domain_relay())
        self._gossip.send(members, report._replace(group_by_service=group_by_service))

    # Receiving

    def _on_report(self, report: Report) -> None:
        services, name = self._services, report.member.name
        previous = self.report_by_name.get(name)
        self.report_by_name[name] = report
        if previous is not None and not report.suspected <= previous.suspected:
            self._forward_suspicions()
        if self.peers_by_name.get(name) != report.member:
            # The sender is new or has restarted, perhaps with another address.
            self._set_peers(self.peers_by_name | {name: report.member})
        if report.member.domain == self._member.domain:
            services.limiter.record_peer_usage(
                _instance_key(report.member),
                PeerUsage(
                    report.received_at, report.usage_by_account, 1, REPORT_TIMEOUT
                ),
            )
        self._apply_domain_usage(report)
        for service, sample in report.position_by_service.items():
            services.history(service).record(sample)
        for service, position in report.acknowledged_by_service.items():
            services.record_acknowledged_commit(service, position)
        self._apply_group_records(report)
        if report.view is not None:
            self._apply_store_view(report)
        if report.directory is not None:
            self.update_directory(report.directory)

    def _forward_suspicions(self) -> None:
        if self.is_domain_relay():
            self.send_immediately()

    def _apply_domain_usage(self, report: Report) -> None:
        for domain, usage in report.usage_by_domain.items():
            previous = self._domain_usage.get(domain)
            if domain == self._member.domain or (
                previous and previous.reported_at > usage.reported_at
            ):
                continue
            self._domain_usage[domain] = usage
            self._update_member_count()
            peer = PeerUsage(
                usage.reported_at,
                usage.usage_by_account,
                usage.instance_count,
                DOMAIN_USAGE_LIFETIME,
            )
            self._services.limiter.record_peer_usage(_domain_key(domain), peer)

    def _apply_group_records(self, report: Report) -> None:
        groups = {}
        for service, (revision, value) in report.group_by_service.items():
            group = decode_group(value.encode(), revision)
            if not isinstance(group, Missing):
                groups[service] = group
        if groups:
            self._services.apply_group_records(groups)
            # Confirms the announcement: the sender waits until all instances follow it.
            self.announce([report.member], {})

    def _apply_store_view(self, report: Report) -> None:
        """Adopt the sender's store read if this instance knows the same or newer state.

        Otherwise fetch what is missing.
        """
        services, view = self._services, report.view
        assert view is not None
        followed = report.followed_revision_by_service
        own = services.followed_revisions()
        has_groups = all(
            own.get(service, 0) >= revision for service, revision in followed.items()
        )
        has_configuration = (
            services.configuration.revision >= view.configuration_revision
        )
        if has_groups and has_configuration:
            services.store_freshness.record_read(view.last_read_at)
            services.record_sealed_positions(view.last_read_at)
        elif view.last_read_at > services.store_freshness.last_read_at:
            if has_groups and report.member.domain == self._member.domain:
                # Copies within a domain are free, and the relay has read the store.
                self._fetch_configuration(report.member, view.configuration_revision)
            else:
                self._read_store()

    def close(self) -> None:
        """Close the socket."""
        self._gossip.close()


def _instance_key(member: Member) -> str:
    """Return the limiter's key for one incarnation of an instance."""
    return f"{member.name}/{member.incarnation}"


def _domain_key(domain: str) -> str:
    """Return the limiter's key for the total of another domain."""
    return f"domain {domain}"
