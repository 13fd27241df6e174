"""The leader and the domain relays, as reports name them; no I/O."""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from bulrushloom.proxy.exchange.messages import LeaderSighting, Member, Report

# Time without a report of the leader after which there may be none.
LEADER_TIMEOUT = timedelta(milliseconds=1300)
# Instances of a domain without a known relay that get a report in one round.
UNKNOWN_RELAY_RECEIVERS = 3


class Sightings:
    """What one instance knows of the leader and of the relays of the other domains.

    ``leader`` is the last sighting of another instance as the leader.
    """

    def __init__(self, member: Member):
        self._member = member
        self.leader: LeaderSighting | None = None
        self.relay_by_domain: dict[str, str] = {}

    def leader_name(self, now: timedelta) -> str:
        """Return the name of a leader that was heard lately, or an empty string."""
        if self.leader is None or now - self.leader.seen_at > LEADER_TIMEOUT:
            return ""
        return self.leader.name

    def record(self, report: Report, heard_relays: Iterable[Report]) -> None:
        """Apply a report; ``heard_relays`` are the recent reports of relays."""
        self._record_leader(report)
        domain, name = report.member.domain, report.member.name
        if report.is_domain_relay:
            self.relay_by_domain[domain] = name
        elif self.relay_by_domain.get(domain) == name:
            del self.relay_by_domain[domain]
        heard_domains = {relay.member.domain for relay in heard_relays}
        for other_domain, relay in report.relay_by_domain.items():
            if other_domain not in heard_domains and relay != self._member.name:
                self.relay_by_domain[other_domain] = relay

    def _record_leader(self, report: Report) -> None:
        sighting = report.leader
        if report.is_leader:
            sighting = LeaderSighting(report.member.name, report.received_at)
        elif self.leader is not None and self.leader.name == report.member.name:
            # It is not the leader any more.
            self.leader = None
        if sighting is None or sighting.name == self._member.name:
            return
        if self.leader is None or sighting.seen_at > self.leader.seen_at:
            self.leader = sighting

    def relay_receivers(
        self,
        peers_by_name: Mapping[str, Member],
        heard_relays: Iterable[Report],
        round_number: int,
    ) -> list[Member]:
        """Return the relays of the other domains.

        Of a domain without a known relay, a few members are returned, by turns; they
        answer with the name of the relay. If this instance has replaced the relay of
        its own domain, the previous one is included.
        """
        relays = {report.member.name for report in heard_relays}
        relays |= set(self.relay_by_domain.values())
        relays.discard(self._member.name)
        members_by_domain: dict[str, list[Member]] = {}
        for _, member in sorted(peers_by_name.items()):
            members_by_domain.setdefault(member.domain, []).append(member)
        receivers: list[Member] = []
        for domain, members in members_by_domain.items():
            known_relays = [member for member in members if member.name in relays]
            if known_relays or domain == self._member.domain:
                receivers += known_relays
                continue
            first = round_number * UNKNOWN_RELAY_RECEIVERS // 2 % len(members)
            receivers += (members + members)[first : first + UNKNOWN_RELAY_RECEIVERS]
        return receivers
