"""Proof that no newer version of the rules exists."""

from collections.abc import Mapping, Set
from datetime import timedelta

FRESH_FOR = timedelta(seconds=3)
# Time after the loss of freshness during which every key is still accepted.
STALE_GRACE = timedelta(seconds=2)


class Assurance:
    """Keep the latest time at which no newer version than the own one existed.

    There are two proofs. A *confirmation* is a store read that found no newer
    version. An *outage majority* is a majority of the domains, the own one included,
    whose readers reported that the store is unreachable or unusable. Times are own
    clock readings, never later than the fact they prove. Raising the own version
    keeps every proof valid.

    An outage majority does not see a change that reaches only the minority, while
    the majority has lost both the store and the minority.
    """

    def __init__(self, domain: str):
        self._domain = domain
        self.assured_at: timedelta | None = None
        self._outage_at_by_domain: dict[str, timedelta] = {}

    def confirm(self, moment: timedelta) -> None:
        """Record that no newer version existed at ``moment``."""
        if self.assured_at is None or moment > self.assured_at:
            self.assured_at = moment

    def report_outage(self, domain: str, moment: timedelta) -> None:
        """Record that a reader of ``domain`` could not reach the store."""
        known = self._outage_at_by_domain.get(domain)
        if known is None or moment > known:
            self._outage_at_by_domain[domain] = moment

    def combine_outages(self, domains: Set[str]) -> None:
        """Confirm as of the time at which a majority of ``domains`` had no store."""
        own = self._outage_at_by_domain.get(self._domain)
        if own is None:
            return
        others = sorted(
            (
                moment
                for domain, moment in self._outage_at_by_domain.items()
                if domain in domains and domain != self._domain
            ),
            reverse=True,
        )
        # In a fleet of one domain, an instance that is cut off from everything
        # would be its own majority.
        needed = max(1, len(domains) // 2)
        if len(others) >= needed:
            self.confirm(min([own, *others[:needed]]))

    def age(self, now: timedelta) -> timedelta | None:
        """Return the time since the latest proof or ``None`` without one."""
        return None if self.assured_at is None else now - self.assured_at

    def outage_ages(self, now: timedelta) -> Mapping[str, timedelta]:
        """Return the ages of the outage reports that can still matter."""
        return {
            domain: now - moment
            for domain, moment in self._outage_at_by_domain.items()
            if now - moment <= FRESH_FOR + STALE_GRACE
        }
