"""Selection of the share holder from which an entry instance requests tokens."""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from bulrushloom.coordination.limits.base import AccountLimit
from bulrushloom.coordination.limits.finder import HolderFinder
from bulrushloom.coordination.limits.requests import Share
from bulrushloom.coordination.limits.utils import (
    MAX_EXCHANGE_INTERVAL,
    exchange_interval,
    is_small,
    shard_of,
    share_subject,
)
from bulrushloom.coordination.membership.utils import rendezvous_order

# Number of domains whose holders are tried for a small account before the local one.
HOME_DOMAIN_COUNT = 2


class Routes:
    """Select the holder of the local domain, or of a small account's home domain.

    Split over the domains, a small account would have less than one token in each.
    All entry instances therefore ask the holder of its home domain, which borrows the
    parts of the other domains. Other holders are asked while that one is unreachable.
    """

    def __init__(self, name: str, domain: str, shards: int):
        self._name = name
        self._domain = domain
        self._shards = shards
        self._domains = [domain]
        self._finder_by_share: dict[tuple[str, int], HolderFinder] = {}
        self._home_domains_by_account: dict[str, list[str]] = {}
        self._limit_by_account: dict[str, AccountLimit] = {}
        self._domain_count = 1

    def update_instances(self, names_by_domain: Mapping[str, Iterable[str]]) -> None:
        """Replace the live instances of all domains."""
        others = [domain for domain in names_by_domain if domain != self._domain]
        self._domains = [self._domain, *rendezvous_order(self._name, others)]
        for domain, names in names_by_domain.items():
            known = list(names)
            for shard in range(self._shards):
                order = rendezvous_order(share_subject(domain, shard), known)
                self._finder(domain, shard).update_candidates(order)
        self._assign_home_domains()

    def update_accounts(
        self, limit_by_account: Mapping[str, AccountLimit], domain_count: int
    ) -> None:
        """Replace the account limits and the number of domains."""
        self._limit_by_account = dict(limit_by_account)
        self._domain_count = domain_count
        self._assign_home_domains()

    def exchange_interval(self, account: str) -> timedelta:
        """Return the interval between messages about an account."""
        limit = self._limit_by_account.get(account)
        if limit is None:
            return MAX_EXCHANGE_INTERVAL
        return exchange_interval(limit.rate, limit.burst)

    def locate(self, account: str, now: timedelta) -> Share | None:
        """Return the holder to ask, or ``None`` while every candidate is skipped."""
        shard = shard_of(account, self._shards)
        home_domains = self._home_domains_by_account.get(account, [])
        for domain in [*home_domains, *self._domains]:
            name = self._finder(domain, shard).locate(now)
            if name:
                return Share(domain, shard, name)
        return None

    def record_answer(self, share: Share, now: timedelta) -> None:
        """Record that the instance answered as holder of the share."""
        self._finder(share.domain, share.shard).record_answer(share.holder, now)

    def record_timeout(self, share: Share, sent_at: timedelta, now: timedelta) -> None:
        """Record a request that the instance did not acknowledge in time."""
        self._finder(share.domain, share.shard).record_timeout(
            share.holder, sent_at, now
        )

    def record_refusal(self, share: Share, hint: str, now: timedelta) -> None:
        """Record that the instance does not hold the share."""
        self._finder(share.domain, share.shard).record_refusal(share.holder, hint, now)

    def mark_unreachable(self, name: str, now: timedelta) -> None:
        """Skip an unreachable instance for a while, for all shares."""
        for finder in self._finder_by_share.values():
            finder.mark_unreachable(name, now)

    def _finder(self, domain: str, shard: int) -> HolderFinder:
        return self._finder_by_share.setdefault((domain, shard), HolderFinder())

    def _assign_home_domains(self) -> None:
        domains = sorted(self._domains)
        self._home_domains_by_account = {
            account: rendezvous_order(account, domains)[:HOME_DOMAIN_COUNT]
            for account, limit in self._limit_by_account.items()
            if is_small(limit.burst / self._domain_count)
        }
