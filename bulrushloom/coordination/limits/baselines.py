"""Simple rate clients that the benchmarks compare with ``ShareClient``."""

from collections.abc import Mapping
from datetime import timedelta

from bulrushloom.coordination.base import Effect, Message
from bulrushloom.coordination.limits.base import (
    AccountLimit,
    RateClient,
    TokenGranted,
    TokenRefused,
)
from bulrushloom.coordination.limits.buckets import ShareBucket

UNKNOWN_ACCOUNT_RETRY = timedelta(seconds=1)


class StaticShareClient(RateClient):
    """Split the limits of every account equally between a fixed number of instances."""

    def __init__(self, instances: int):
        self._instances = instances
        self._bucket_by_account: dict[str, ShareBucket] = {}

    def update_accounts(
        self, limit_by_account: Mapping[str, AccountLimit], domains: int, now: timedelta
    ) -> list[Effect]:
        """Replace the account limits; the bucket of a new account starts empty."""
        previous = self._bucket_by_account
        self._bucket_by_account = {}
        for account, limit in limit_by_account.items():
            rate, burst = limit.rate / self._instances, limit.burst / self._instances
            bucket = previous.get(account) or ShareBucket(rate, burst, now)
            bucket.resize(rate, burst, now)
            self._bucket_by_account[account] = bucket
        return []

    def acquire(self, request_id: str, account: str, now: timedelta) -> list[Effect]:
        """Decide immediately from the local bucket."""
        bucket = self._bucket_by_account.get(account)
        if bucket is None:
            return [TokenRefused(request_id, UNKNOWN_ACCOUNT_RETRY)]
        bucket.advance(now)
        if bucket.level >= 1:
            bucket.level -= 1
            return [TokenGranted(request_id)]
        missing = (1 - bucket.level) / bucket.rate
        return [TokenRefused(request_id, timedelta(seconds=missing))]

    def handle(self, sender: str, message: Message, now: timedelta) -> list[Effect]:
        """Ignore messages; instances with a static split do not communicate."""
        return []

    def tick(self, now: timedelta) -> list[Effect]:
        """Do nothing; buckets are refilled when they are used."""
        return []


class UnlimitedShareClient(RateClient):
    """Grant every request."""

    def acquire(self, request_id: str, account: str, now: timedelta) -> list[Effect]:
        """Grant the request."""
        return [TokenGranted(request_id)]

    def handle(self, sender: str, message: Message, now: timedelta) -> list[Effect]:
        """Ignore messages."""
        return []

    def tick(self, now: timedelta) -> list[Effect]:
        """Do nothing."""
        return []
