"""Totals of the usage of each domain; no I/O.

The relay of a domain calculates the total of its domain, and every instance records the
totals of all domains in its rate limiter, without its own part.
"""

from collections.abc import Mapping
from datetime import timedelta

from bulrushloom.proxy.exchange.aggregation import SubtreeTotals
from bulrushloom.proxy.exchange.messages import GroupUsage, Member
from bulrushloom.proxy.limits import AccountLimiter, PeerUsage, Usage

# Age up to which the total of a domain represents its current usage.
DOMAIN_USAGE_LIFETIME = timedelta(milliseconds=1600)
# Time for which a new relay passes on the total of its predecessor, until the instances
# of its domain report to it. A total without them would count as a new one beside what
# the predecessor reported of them.
TAKEOVER_TIMEOUT = timedelta(milliseconds=600)


class DomainTotals:
    """The latest total of each domain, as one instance knows it.

    ``usage_by_domain`` contains the own part of this instance, which the limiter gets
    without it. ``included_stamp`` is the number of the own report that the total of the
    own domain includes.
    """

    def __init__(self, member: Member, limiter: AccountLimiter, subtree: SubtreeTotals):
        self._member = member
        self._limiter = limiter
        self._subtree = subtree
        self._has_taken_over = False
        self._taking_over_since: timedelta | None = None
        self.usage_by_domain: dict[str, GroupUsage] = {}
        self.included_stamp = 0

    @property
    def own(self) -> GroupUsage | None:
        """Return the latest total of the own domain."""
        return self.usage_by_domain.get(self._member.domain)

    @property
    def shareable(self) -> Mapping[str, GroupUsage]:
        """Return the totals that the instances below this one may use.

        While this instance takes over, new children do not know what the predecessor's
        total includes of them.
        """
        if self._taking_over_since is None:
            return self.usage_by_domain
        return {
            domain: usage
            for domain, usage in self.usage_by_domain.items()
            if domain != self._member.domain
        }

    def record(self, domain: str, usage: GroupUsage) -> bool:
        """Record a total and return ``True``, or ``False`` if it is outdated."""
        previous = self.usage_by_domain.get(domain)
        if previous and previous.reported_at > usage.reported_at:
            return False
        self.usage_by_domain[domain] = usage
        if domain == self._member.domain:
            usage = self._subtree.without_own_part(usage, self.included_stamp)
        self._limiter.record_peer_usage(
            f"domain {domain}",
            PeerUsage(
                usage.reported_at,
                usage.usage_by_account,
                usage.instance_count,
                DOMAIN_USAGE_LIFETIME,
                usage.source,
            ),
        )
        return True

    def record_own_domain(
        self,
        stamp: int,
        own_usage: Mapping[str, Usage],
        is_in_contact: bool,
        now: timedelta,
    ) -> bool:
        """Calculate and record the total of the own domain, as its relay.

        ``stamp`` numbers this calculation. Return ``False`` if the last known total is
        still more complete.
        """
        total = self._subtree.total(own_usage, "", now)
        if self._is_taking_over(total, is_in_contact, now):
            return False
        self.included_stamp = stamp
        self._subtree.record_sent(stamp, own_usage, "")
        return self.record(self._member.domain, total)

    def resign(self) -> None:
        """Record that this instance is not the relay of its domain."""
        self._has_taken_over, self._taking_over_since = False, None

    def _is_taking_over(
        self, total: GroupUsage, is_in_contact: bool, now: timedelta
    ) -> bool:
        """Return whether the last known total of the domain is still more complete.

        That is so on a relay that is new, was frozen, or is not in contact with anyone.
        """
        previous = self.own
        if previous is None:
            return False
        if not is_in_contact:
            self.resign()
            return True
        if previous.source != self._member.incarnation:
            self._has_taken_over = False
        if self._has_taken_over:
            return False
        if self._taking_over_since is None:
            self._taking_over_since = now
        is_complete = total.instance_count >= previous.instance_count
        if not is_complete and now - self._taking_over_since < TAKEOVER_TIMEOUT:
            return True
        self._has_taken_over, self._taking_over_since = True, None
        return False

    def reporting_counts(self, oldest: timedelta) -> dict[str, int]:
        """Return the instances of each domain whose total is from ``oldest`` or later.

        The counts include instances that the store does not list.
        """
        return {
            domain: usage.instance_count
            for domain, usage in self.usage_by_domain.items()
            if usage.reported_at >= oldest
        }
