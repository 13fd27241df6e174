"""Messages, data types and interface of the fleet-wide rate limits."""

from abc import abstractmethod
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.base import DecisionComponent, Effect


class Member(NamedTuple):
    """Identify one run of an instance."""

    name: str
    incarnation: str


class ShareRecord(NamedTuple):
    """Hold the value stored for one domain and shard."""

    epoch: int
    holder: Member
    electorate: list[Member]


class AccountLimit(NamedTuple):
    """Give the fleet-wide rate (tokens a second) and burst of an account."""

    rate: float
    burst: float


class AccountDemand(NamedTuple):
    """Ask for tokens: ``waiting`` for callers, ``ahead`` for expected ones."""

    account: str
    waiting: int
    ahead: int


class Settlement(NamedTuple):
    """Report totals for one grant or loan; repeats and old reports are harmless."""

    sequence: int
    account: str
    spent: float
    returned: float


class ShareRequest(NamedTuple):
    """Ask the holder of a domain and shard for tokens and settle earlier grants.

    ``sequence`` is unique for the sender's ``incarnation``.
    """

    domain: str
    shard: int
    incarnation: str
    sequence: int
    demands: list[AccountDemand]
    settlements: list[Settlement]


class AccountGrant(NamedTuple):
    """Answer one ``AccountDemand`` of the request ``sequence``.

    The tokens live ``lifetime_ms`` from the sending of the request, which the
    requester measures by its own clock.
    """

    sequence: int
    account: str
    tokens: int
    lifetime_ms: int
    retry_after_ms: int


class ShareGrant(NamedTuple):
    """Acknowledge the request ``received`` (0: none) and carry grants."""

    domain: str
    shard: int
    incarnation: str
    received: int
    grants: list[AccountGrant]


class ShareRefused(NamedTuple):
    """Say that the receiver of a request holds no share; ``holder`` may be empty."""

    domain: str
    shard: int
    incarnation: str
    sequence: int
    holder: str


class HolderHeartbeat(NamedTuple):
    """Ask a member of the electorate to confirm the holder of ``epoch``."""

    domain: str
    shard: int
    epoch: int
    sequence: int


class HolderAck(NamedTuple):
    """Answer a heartbeat; not ``accepted`` once the epoch is sealed."""

    domain: str
    shard: int
    epoch: int
    sequence: int
    incarnation: str
    accepted: bool


class SealRequest(NamedTuple):
    """Ask a member to confirm no holder up to ``epoch`` any more."""

    domain: str
    shard: int
    epoch: int


class SealAnswer(NamedTuple):
    """Answer a ``SealRequest``; not ``sealed`` while the holder is heard.

    ``confirmed_age_ms`` tells how long ago the member last confirmed any holder;
    it is negative if it never did.
    """

    domain: str
    shard: int
    epoch: int
    incarnation: str
    sealed: bool
    confirmed_age_ms: int


class TokenDemand(NamedTuple):
    """Ask for ``tokens``, possibly a fraction, of an account."""

    account: str
    tokens: float


class TokenLoanRequest(NamedTuple):
    """Ask the holder of another domain for a loan and settle earlier loans."""

    domain: str
    shard: int
    incarnation: str
    sequence: int
    demands: list[TokenDemand]
    settlements: list[Settlement]


class LoanItem(NamedTuple):
    """Lend tokens that live ``lifetime_ms`` from the sending of the request."""

    account: str
    tokens: float
    lifetime_ms: int


class TokenLoan(NamedTuple):
    """Answer a ``TokenLoanRequest``.

    A receiver that holds no share lends nothing and names the ``holder`` it knows.
    """

    domain: str
    shard: int
    incarnation: str
    sequence: int
    holder: str
    loans: list[LoanItem]


class BucketLevel(NamedTuple):
    """Describe a bucket: its level and the tokens that may still be spent."""

    account: str
    level: float
    outstanding: float


class ShareHandover(NamedTuple):
    """Pass an epoch on; the sender has stopped granting before it sent this.

    Outstanding tokens expire within ``lifetime_ms``. ``version`` is that of the
    stored record.
    """

    domain: str
    shard: int
    epoch: int
    version: int
    lifetime_ms: int
    buckets: list[BucketLevel]


class TokenGranted(NamedTuple):
    """Let a request run."""

    request_id: str


class TokenRefused(NamedTuple):
    """Refuse a request as ``rate_limited``.

    ``confirmed`` tells that a share holder answered while the request waited. Without
    an answer the account may have been inside its rate.
    """

    request_id: str
    retry_after: timedelta
    confirmed: bool = False


class RateClient(DecisionComponent):
    """Decide at the entry whether a request is inside its account's rate."""

    @abstractmethod
    def acquire(self, request_id: str, account: str, now: timedelta) -> list[Effect]:
        """Ask for one token; the decision may follow from ``handle`` or ``tick``."""

    def update_instances(
        self, names_by_domain: Mapping[str, Iterable[str]], now: timedelta
    ) -> list[Effect]:
        """Replace the live instances of all domains, the own one included."""
        return []

    def peer_lost(self, name: str, now: timedelta) -> list[Effect]:
        """Ask another instance at once for what was asked of a lost one."""
        return []

    def update_accounts(
        self, limit_by_account: Mapping[str, AccountLimit], domains: int, now: timedelta
    ) -> list[Effect]:
        """Replace the accounts and the number of domains."""
        return []
