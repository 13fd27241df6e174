"""Members of the fleet, the directory and the last reports that one instance has."""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from bulrushloom.proxy.exchange.aggregation import SubtreeTotals
from bulrushloom.proxy.exchange.codec import ReportCodec
from bulrushloom.proxy.exchange.endpoint import (
    DatagramEndpoint,
    OnDatagram,
    RejectionLog,
)
from bulrushloom.proxy.exchange.keys import ExchangeKeys
from bulrushloom.proxy.exchange.messages import Directory, Member, Report
from bulrushloom.proxy.exchange.sightings import Sightings
from bulrushloom.proxy.exchange.totals import DomainTotals
from bulrushloom.proxy.exchange.tree import ParentChooser
from bulrushloom.proxy.services import Services

# Age from which the last report of a child is ignored: three consecutive datagrams were
# lost, or the sender is frozen. RELAY_TIMEOUT applies to the relays of other domains,
# which send half as often.
REPORT_TIMEOUT = timedelta(milliseconds=900)
RELAY_TIMEOUT = timedelta(milliseconds=1600)
# Member entries in the store can expire while the store is unavailable. If the last
# list is older than LIST_GAP, its members are kept for this long.
REPORTING_MEMBER_LIFETIME = timedelta(seconds=4)
LIST_GAP = timedelta(seconds=3)
# An answer to an unproven report may itself be unproven to its receiver, so answers to
# one sender are limited.
MIN_ANSWER_INTERVAL = timedelta(milliseconds=50)


class FleetMembers(ABC):
    """Members of the fleet and the directory.

    ``peers_by_name`` has the other instances. ``report_by_name`` has the last report of
    those that this instance is in contact with. ``member_ended_at`` is when an instance
    was last found to have ended or restarted; its last commits may not be reported.
    """

    def __init__(
        self,
        services: Services,
        member: Member,
        open_endpoint: Callable[[OnDatagram], DatagramEndpoint],
    ):
        self._services = services
        self._loop = services.loop
        self._member = member
        self._codec = ReportCodec(member)
        self._endpoint = open_endpoint(self._on_datagram)
        self._rejections = RejectionLog(services.loop, services.log, services.metrics)
        self._chooser = ParentChooser(member, services.random)
        self._subtree = SubtreeTotals(
            member.incarnation, REPORT_TIMEOUT, services.limiter.window.length
        )
        self._totals = DomainTotals(member, services.limiter, self._subtree)
        self._sightings = Sightings(member)
        self._directory: Directory | None = None
        self._kept_members_until = self._loop.now()
        self._answered_at_by_name: dict[str, timedelta] = {}
        self.leader_hint = ""
        self.is_leader = False
        self.member_ended_at = self._loop.now()
        self.peers_by_name: dict[str, Member] = {}
        self.report_by_name: dict[str, Report] = {}

    @abstractmethod
    def send_immediately(self) -> None:
        """Report to the other instances now."""

    @abstractmethod
    def announce_directory(self) -> None:
        """Tell the instances that copy the directory from this one of a new version."""

    @abstractmethod
    def _on_datagram(self, data: bytes, sender: str) -> None:
        """Handle a received datagram."""

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

    @property
    def directory(self) -> Directory | None:
        """Return the latest known directory."""
        return self._directory

    def keep_members(self) -> None:
        """Keep all members although the store may not list them.

        After a return of the store from a copy, they have to register again.
        """
        self._kept_members_until = self._loop.now() + REPORTING_MEMBER_LIFETIME

    def update_directory(self, directory: Directory) -> None:
        """Apply the targets and members of a store read unless they are outdated."""
        previous, now = self._directory, self._loop.now()
        if previous and directory.listed_at <= previous.listed_at:
            return
        self._directory = directory
        if previous is None:
            # An instance may have restarted before this one knew of any.
            self.member_ended_at = now
        if self._services.update_evacuated_domains(
            directory.evacuated_domains, directory.listed_at
        ):
            self._loop.call_soon(self.announce_directory)
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
        self._services.limiter.update_member_count(count, now)

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

    def has_live_leader(self) -> bool:
        """Return whether this instance is the leader or the leader was heard lately."""
        return bool(self._leader_name())

    def directory_listed_since(self, at: timedelta) -> bool:
        """Return whether the members were listed by a store read sent since ``at``."""
        return self._directory is not None and self._directory.listed_at >= at

    def close(self) -> None:
        """Close the socket."""
        self._endpoint.close()
