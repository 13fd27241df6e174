"""Evidence that the active rules are the latest version."""

from collections.abc import Mapping, Set
from datetime import timedelta

# The active rules are fresh until this time after the latest confirmation.
FRESHNESS_PERIOD = timedelta(seconds=3)
# Period after the loss of freshness in which all keys are still accepted.
STALE_GRACE_PERIOD = timedelta(seconds=2)


class RulesFreshness:
    """Track the latest time at which no version newer than the local one existed.

    Two kinds of evidence establish this. A *confirmation* is a store read that found
    no newer version. An *outage majority* is a majority of the domains, including the
    local domain, whose readers reported the store as unreachable or unusable. Times
    are readings of the local clock. The time of a piece of evidence is never later than
    the moment for which it holds, so the rules never appear fresher than they are.
    Evidence stays valid when the local version increases.

    An outage majority does not detect a change that reaches only a minority of the
    domains while the majority has lost both the store and that minority.
    """

    def __init__(self, domain: str):
        self._domain = domain
        self.confirmed_at: timedelta | None = None
        self._outage_at_by_domain: dict[str, timedelta] = {}

    def confirm(self, moment: timedelta) -> None:
        """Record that no newer version existed at ``moment``."""
        if self.confirmed_at is None or moment > self.confirmed_at:
            self.confirmed_at = moment

    def report_outage(self, domain: str, moment: timedelta) -> None:
        """Record that a reader of ``domain`` could not use the store at ``moment``."""
        known = self._outage_at_by_domain.get(domain)
        if known is None or moment > known:
            self._outage_at_by_domain[domain] = moment

    def combine_outages(self, domains: Set[str]) -> None:
        """Confirm as of the time at which a majority of ``domains`` had no store."""
        local = self._outage_at_by_domain.get(self._domain)
        if local is None:
            return
        others = sorted(
            (
                moment
                for domain, moment in self._outage_at_by_domain.items()
                if domain in domains and domain != self._domain
            ),
            reverse=True,
        )
        # At least one other domain is required. Otherwise an isolated instance in a
        # fleet of one domain would form a majority by itself.
        needed = max(1, len(domains) // 2)
        if len(others) >= needed:
            self.confirm(min([local, *others[:needed]]))

    def age(self, now: timedelta) -> timedelta | None:
        """Return the time since the latest confirmation, or ``None`` without one."""
        return None if self.confirmed_at is None else now - self.confirmed_at

    def outage_ages(self, now: timedelta) -> Mapping[str, timedelta]:
        """Return the ages of the outage reports that are recent enough to be used."""
        return {
            domain: now - moment
            for domain, moment in self._outage_at_by_domain.items()
            if now - moment <= FRESHNESS_PERIOD + STALE_GRACE_PERIOD
        }
