"""What this instance learns from the others, and what it tells them."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.gossip import (
    Directory,
    DomainUsage,
    Gossip,
    Member,
    Report,
    StoreView,
)
from bulrushloom.proxy.groups import decode_group
from bulrushloom.proxy.limits import PeerUsage, Usage
from bulrushloom.proxy.services import Services
from bulrushloom.runtime.loop import Steps

# Within a domain traffic is free and fast.
DOMAIN_INTERVAL = timedelta(milliseconds=200)
# Every second datagram to the other domains; their traffic is paid for.
TURNS_BETWEEN_DOMAINS = 2
URGENT_INTERVAL = timedelta(milliseconds=100)
# Targets and members change slowly.
TURNS_BETWEEN_DIRECTORIES = 4
# Three datagrams in a row were lost, or the instance stands still.
HEARD_LIMIT = timedelta(milliseconds=900)
SPEAKER_LIMIT = timedelta(milliseconds=1600)
# Sums of the other domains come each 0.4 s and reach an instance 0.2 s later.
CUT_OFF_LIMIT = timedelta(milliseconds=1400)
LEADER_LIMIT = timedelta(milliseconds=1300)
DOMAIN_USAGE_LIMIT = timedelta(milliseconds=1600)
# While the store is away entries can lapse; an instance that is heard is still there.
MEMBER_HEARD_LIMIT = timedelta(seconds=4)
POSITION_LIMIT = timedelta(seconds=3)


class SuspectingDomains(NamedTuple):
    """Count the domains that suspect a target, that are heard, and that exist."""

    suspecting: int
    heard: int
    existing: int


class Fleet:
    """Follow the other instances.

    ``read_store`` is called when they know more, and ``fetch_configuration`` when one
    of the own domain has a newer version.
    """

    def __init__(
        self,
        services: Services,
        member: Member,
        gossip: Callable[[Callable[[Report], None]], Gossip],
        read_store: Callable[[], object],
        fetch_configuration: Callable[[Member, int], object],
    ):
        self._services = services
        self._loop = services.loop
        self._member = member
        self._gossip = gossip(self._hear)
        self._urgent_at = self._loop.now()
        services.on_suspicion = self.send_urgently
        self._read_store = read_store
        self._fetch_configuration = fetch_configuration
        self._turn = 0
        self._domain_usage: dict[str, DomainUsage] = {}
        self._directory: Directory | None = None
        self.is_leader = False
        self.peers_by_name: dict[str, Member] = {}
        self.report_by_name: dict[str, Report] = {}

    @property
    def sent_bytes(self) -> int:
        """Return the bytes of all datagrams sent."""
        return self._gossip.sent_bytes

    # Members

    def update_directory(self, directory: Directory) -> None:
        """Follow the targets and members that a read of the store listed."""
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
            if now - report.received_at < MEMBER_HEARD_LIMIT:
                peers[name] = report.member
        if not self.peers_by_name:
            # The others reserve a part of every limit until they hear this instance.
            self._loop.call_soon(self.send_urgently)
        self._set_peers(peers)
        self._gossip.forget_silent()
        services.limiter.forget_old_reports(now)

    def _set_peers(self, peers: dict[str, Member]) -> None:
        if peers.keys() != self.peers_by_name.keys():
            self._services.log.write("members_changed", members=sorted(peers))
        self.peers_by_name = peers
        self._count_members()
        self.report_by_name = {
            name: report
            for name, report in self.report_by_name.items()
            if name in peers
        }

    def _count_members(self) -> None:
        """Count the instances that may hold connections and admit operations.

        An instance that the store turns away drops out of the list, but goes on with
        the news of its domain; the domain's relay counts it.
        """
        now, own = self._loop.now(), self._member.domain
        heard_by_domain = {
            domain: usage.instance_count
            for domain, usage in self._domain_usage.items()
            if now - usage.at <= MEMBER_HEARD_LIMIT
        }
        listed_by_domain = Counter(m.domain for m in self.peers_by_name.values())
        listed_by_domain[own] += 1
        count = sum(
            max(listed_by_domain[domain], heard_by_domain.get(domain, 0))
            for domain in listed_by_domain.keys() | heard_by_domain.keys()
        )
        self._services.member_count = count
        self._services.limiter.member_count = count

    def recent_reports(self, limit: timedelta) -> list[Report]:
        """Return the last reports that are not older than ``limit``."""
        now = self._loop.now()
        return [r for r in self.report_by_name.values() if now - r.received_at <= limit]

    def is_domain_relay(self) -> bool:
        """Return whether this instance talks to the other domains."""
        if self.is_leader:
            return True
        own = self._member
        for report in self.recent_reports(HEARD_LIMIT):
            if report.member.domain != own.domain:
                continue
            if report.is_leader or report.member.name < own.name:
                return False
        return True

    # Sending

    def run(self) -> Steps:
        """Send reports at fixed intervals."""
        while True:
            yield self._loop.sleep(DOMAIN_INTERVAL)
            self._turn += 1
            self._send_turn()

    def send_urgently(self) -> None:
        """Tell the others at once what cannot wait for the next turn."""
        now = self._loop.now()
        if now - self._urgent_at >= URGENT_INTERVAL:
            self._urgent_at = now
            self._turn += self._turn % TURNS_BETWEEN_DOMAINS
            self._send_turn()

    def _send_turn(self) -> None:
        own = self._member.domain
        speaks = self.is_domain_relay()
        neighbours = [m for m in self.peers_by_name.values() if m.domain == own]
        report = self._report(speaks)
        if speaks and self._turn % TURNS_BETWEEN_DIRECTORIES == 0:
            report = report._replace(directory=self._directory)
        self._gossip.send(neighbours, report)
        if speaks and self._turn % TURNS_BETWEEN_DOMAINS == 0:
            total = {own: self._domain_total()}
            report = report._replace(usage_by_account={}, usage_by_domain=total)
            if not self.is_leader:
                # The leader tells the relays itself; traffic there is paid for.
                report = report._replace(directory=None)
            self._gossip.send(self._other_speakers(), report)

    def _other_speakers(self) -> list[Member]:
        """Return a relay of each other domain, or all members where none is known."""
        speakers = {
            report.member.name
            for report in self.recent_reports(SPEAKER_LIMIT)
            if report.is_domain_relay
        }
        members_by_domain: dict[str, list[Member]] = {}
        for member in self.peers_by_name.values():
            if member.domain != self._member.domain:
                members_by_domain.setdefault(member.domain, []).append(member)
        chosen: list[Member] = []
        for members in members_by_domain.values():
            known = [member for member in members if member.name in speakers]
            chosen += known or members
        return chosen

    def _report(self, speaks: bool) -> Report:
        services, now = self._services, self._loop.now()
        positions = {}
        for service, history in services.histories().items():
            latest = history.latest()
            if latest is not None and now - latest.taken_at < POSITION_LIMIT:
                positions[service] = latest
        view = None
        followed = services.followed_groups()
        # Receivers check that they follow as much as the sender knows.
        follows_all = followed.keys() == services.table.group_by_service.keys()
        if follows_all and services.store_freshness.allows_keys(now):
            revision = services.configuration.revision
            view = StoreView(services.store_freshness.confirmed_at, revision)
        return Report(
            member=self._member,
            received_at=now,
            is_domain_relay=speaks,
            is_leader=self.is_leader,
            usage_by_account=services.limiter.report(now),
            usage_by_domain=self._domain_usage if speaks else {},
            position_by_service=positions,
            acknowledged_by_service=services.acknowledged_by_service,
            suspected=self.all_suspected() if speaks else self._own_suspected(),
            view=view,
            directory=None,
            followed_by_service=followed,
            group_by_service={},
        )

    def _own_suspected(self) -> frozenset[str]:
        return self._services.suspected()

    def all_suspected(self) -> frozenset[str]:
        """Return the targets that this instance or one in its reach suspects."""
        suspected = set(self._own_suspected())
        for report in self.recent_reports(HEARD_LIMIT):
            if (
                report.member.domain == self._member.domain
                and not report.is_domain_relay
            ):
                suspected |= report.suspected
        return frozenset(suspected)

    def suspecting_domains(self, target_id: str) -> SuspectingDomains:
        """Return how many domains suspect a target, are heard, and exist."""
        own = self._member.domain
        suspects_by_domain = {own: set(self._own_suspected())}
        for report in self.recent_reports(SPEAKER_LIMIT):
            suspects = suspects_by_domain.setdefault(report.member.domain, set())
            suspects |= report.suspected
        suspecting = sum(target_id in found for found in suspects_by_domain.values())
        domains = {member.domain for member in self.peers_by_name.values()} | {own}
        return SuspectingDomains(suspecting, len(suspects_by_domain), len(domains))

    def is_cut_off(self) -> bool:
        """Return whether neither the store nor another domain was heard lately.

        With one domain it is the other instances that count.
        """
        services, now = self._services, self._loop.now()
        if services.store_freshness.age(now) < CUT_OFF_LIMIT:
            return False
        others = {m.domain for m in self.peers_by_name.values()} - {self._member.domain}
        if not others:
            return bool(self.peers_by_name) and not self.recent_reports(CUT_OFF_LIMIT)
        heard_at = [
            self._domain_usage[d].at for d in others & self._domain_usage.keys()
        ]
        return all(now - at > CUT_OFF_LIMIT for at in heard_at)

    def has_live_leader(self) -> bool:
        """Return whether this instance is the leader or heard it lately."""
        return self.is_leader or any(
            report.is_leader for report in self.recent_reports(LEADER_LIMIT)
        )

    def reported_suspects(self) -> frozenset[str]:
        """Return the targets that anybody suspects."""
        suspected = set(self._own_suspected())
        for report in self.recent_reports(SPEAKER_LIMIT):
            suspected |= report.suspected
        return frozenset(suspected)

    def _domain_total(self) -> DomainUsage:
        now = self._loop.now()
        admitted: Counter[str] = Counter()
        demand: Counter[str] = Counter()
        limiter = self._services.limiter
        usages: list[Mapping[str, Usage]] = [limiter.report(now)]
        counted = {_domain_key(domain) for domain in self._domain_usage}
        for report in self.recent_reports(HEARD_LIMIT):
            if report.member.domain == self._member.domain:
                counted.add(_instance_key(report.member))
                usages.append(report.usage_by_account)
        heard = len(usages)
        for usage_by_account in usages:
            for account, usage in usage_by_account.items():
                admitted[account] += usage.admitted  # type: ignore[assignment]
                demand[account] += usage.demand_per_s  # type: ignore[assignment]
        # What an instance admitted before it was lost stays in the window.
        for account, used in limiter.unreachable_usage(counted, now).items():
            admitted[account] += used  # type: ignore[assignment]
        total = {name: Usage(admitted[name], demand[name]) for name in admitted}
        return DomainUsage(heard, now, total)

    def announce(
        self, members: Iterable[Member], group_by_service: Mapping[str, tuple[int, str]]
    ) -> None:
        """Send group records to ``members`` at once."""
        report = self._report(self.is_domain_relay())
        self._gossip.send(members, report._replace(group_by_service=group_by_service))

    # Hearing

    def _hear(self, report: Report) -> None:
        services, name = self._services, report.member.name
        known = self.report_by_name.get(name)
        self.report_by_name[name] = report
        if known is not None and not report.suspected <= known.suspected:
            self._forward_suspicion()
        if self.peers_by_name.get(name) != report.member:
            # It is new, or it started again, perhaps at another address.
            self._set_peers(self.peers_by_name | {name: report.member})
        if report.member.domain == self._member.domain:
            services.limiter.record_peer_usage(
                _instance_key(report.member),
                PeerUsage(report.received_at, report.usage_by_account, 1, HEARD_LIMIT),
            )
        self._hear_domains(report)
        for service, sample in report.position_by_service.items():
            services.history(service).record(sample)
        for service, position in report.acknowledged_by_service.items():
            services.record_acknowledged_commit(service, position)
        self._hear_groups(report)
        if report.view is not None:
            self._hear_view(report)
        if report.directory is not None:
            self.update_directory(report.directory)

    def _forward_suspicion(self) -> None:
        if self.is_domain_relay():
            self.send_urgently()

    def _hear_domains(self, report: Report) -> None:
        for domain, usage in report.usage_by_domain.items():
            known = self._domain_usage.get(domain)
            if domain == self._member.domain or (known and known.at > usage.at):
                continue
            self._domain_usage[domain] = usage
            self._count_members()
            peer = PeerUsage(
                usage.at,
                usage.usage_by_account,
                usage.instance_count,
                DOMAIN_USAGE_LIMIT,
            )
            self._services.limiter.record_peer_usage(_domain_key(domain), peer)

    def _hear_groups(self, report: Report) -> None:
        groups = {}
        for service, (revision, value) in report.group_by_service.items():
            group = decode_group(value.encode(), revision)
            if not isinstance(group, Missing):
                groups[service] = group
        if groups:
            self._services.apply_group_records(groups)
            # The sender waits until every instance follows the announcement.
            self.announce([report.member], {})

    def _hear_view(self, report: Report) -> None:
        """Rely on what another instance read, if this one knows as much."""
        services, view = self._services, report.view
        assert view is not None
        followed = report.followed_by_service
        own = services.followed_groups()
        knows_groups = all(
            own.get(service, 0) >= revision for service, revision in followed.items()
        )
        knows_rules = services.configuration.revision >= view.configuration_revision
        if knows_groups and knows_rules:
            services.store_freshness.record_read(view.confirmed_at)
            services.record_seals(view.confirmed_at)
        elif view.confirmed_at > services.store_freshness.confirmed_at:
            if knows_groups and report.member.domain == self._member.domain:
                # Within a domain a copy is free; the relay read the store.
                self._fetch_configuration(report.member, view.configuration_revision)
            else:
                self._read_store()

    def close(self) -> None:
        """Close the socket."""
        self._gossip.close()


def _instance_key(member: Member) -> str:
    """Return the name under which the limiter knows one life of an instance."""
    return f"{member.name}/{member.incarnation}"


def _domain_key(domain: str) -> str:
    """Return the name under which the limiter knows the sum of another domain."""
    return f"domain {domain}"
