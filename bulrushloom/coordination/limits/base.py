"""Messages, data types and client interface of the fleet-wide rate limits.

Each domain holds an equal part of every client account's token bucket. The accounts
are divided into shards. For each domain and shard, one elected instance, the share
holder, grants tokens to the instances that receive requests from callers (the entry
instances). A holder that runs out of tokens borrows from the holders of the other
domains. Entry instances and borrowers report spent and returned tokens as settlements.
"""

from abc import abstractmethod
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.base import DecisionComponent, Effect


class Member(NamedTuple):
    """Identify an instance and its incarnation, that is, one run of its process."""

    name: str
    incarnation: str


class ShareRecord(NamedTuple):
    """Stored record of the share holder of one domain and shard.

    Every write of the record has the next ``epoch``. A majority of the ``electorate``
    must confirm the holder in that epoch before it may grant tokens.
    """

    epoch: int
    holder: Member
    electorate: list[Member]


class AccountLimit(NamedTuple):
    """Fleet-wide rate (tokens per second) and burst (tokens) of an account."""

    rate: float
    burst: float


class AccountDemand(NamedTuple):
    """Request tokens of an account.

    ``waiting`` is the number of tokens for requests that are already waiting and
    ``ahead`` the number for requests that are expected soon.
    """

    account: str
    waiting: int
    ahead: int


class Settlement(NamedTuple):
    """Report the cumulative use of one grant or loan.

    Because the values are totals, duplicate and outdated reports are harmless.
    """

    sequence: int
    account: str
    spent: float
    returned: float


class ShareRequest(NamedTuple):
    """Request tokens from a share holder and settle earlier grants.

    ``sequence`` is unique within the sender's ``incarnation``.
    """

    domain: str
    shard: int
    incarnation: str
    sequence: int
    demands: list[AccountDemand]
    settlements: list[Settlement]


class AccountGrant(NamedTuple):
    """Answer one ``AccountDemand`` of the request ``sequence``.

    The tokens expire ``lifetime_ms`` after the request was sent, which the requester
    measures with its own clock. ``retry_after_ms`` is the estimated time until more
    tokens are available.
    """

    sequence: int
    account: str
    tokens: int
    lifetime_ms: int
    retry_after_ms: int


class ShareGrant(NamedTuple):
    """Deliver grants and acknowledge the request ``received`` (0 for none)."""

    domain: str
    shard: int
    incarnation: str
    received: int
    grants: list[AccountGrant]


class ShareRefused(NamedTuple):
    """Refuse a request because the receiver does not hold the share.

    ``holder`` names the holder that the receiver knows, or is empty.
    """

    domain: str
    shard: int
    incarnation: str
    sequence: int
    holder: str


class HolderHeartbeat(NamedTuple):
    """Ask a member of the electorate to confirm the sender as holder of ``epoch``."""

    domain: str
    shard: int
    epoch: int
    sequence: int


class HolderAck(NamedTuple):
    """Answer a heartbeat; ``accepted`` is false once the epoch is sealed."""

    domain: str
    shard: int
    epoch: int
    sequence: int
    incarnation: str
    accepted: bool


class SealRequest(NamedTuple):
    """Ask a member to stop confirming holders of epochs up to ``epoch``."""

    domain: str
    shard: int
    epoch: int


class SealAnswer(NamedTuple):
    """Answer a ``SealRequest``.

    ``sealed`` is false while the member still receives heartbeats of the holder.
    ``confirmed_age_ms`` is the time since the member last confirmed any holder, or
    negative if it never has.
    """

    domain: str
    shard: int
    epoch: int
    incarnation: str
    sealed: bool
    confirmed_age_ms: int


class TokenDemand(NamedTuple):
    """Request tokens of an account as a loan; ``tokens`` may be fractional."""

    account: str
    tokens: float


class TokenLoanRequest(NamedTuple):
    """Request a loan from the holder of another domain and settle earlier loans."""

    domain: str
    shard: int
    incarnation: str
    sequence: int
    demands: list[TokenDemand]
    settlements: list[Settlement]


class LoanItem(NamedTuple):
    """Tokens on loan, which expire ``lifetime_ms`` after the request was sent."""

    account: str
    tokens: float
    lifetime_ms: int


class TokenLoan(NamedTuple):
    """Answer a ``TokenLoanRequest``.

    A receiver that does not hold the share lends nothing and sets ``holder`` to the
    name of the holder that it knows.
    """

    domain: str
    shard: int
    incarnation: str
    sequence: int
    holder: str
    loans: list[LoanItem]


class BucketLevel(NamedTuple):
    """Level of a bucket and its granted tokens that may still be spent."""

    account: str
    level: float
    outstanding: float


class ShareHandover(NamedTuple):
    """Hand the share over to the next holder.

    The sender stops granting tokens before it sends this message. Outstanding tokens
    expire within ``lifetime_ms``. ``version`` is the version of the stored record.
    """

    domain: str
    shard: int
    epoch: int
    version: int
    lifetime_ms: int
    buckets: list[BucketLevel]


class TokenGranted(NamedTuple):
    """Effect: let a request run."""

    request_id: str


class TokenRefused(NamedTuple):
    """Effect: refuse a request as ``rate_limited``.

    ``confirmed`` is true if a share holder answered while the request was waiting.
    Otherwise the account may have been within its rate.
    """

    request_id: str
    retry_after: timedelta
    confirmed: bool = False


class RateClient(DecisionComponent):
    """Decide at an entry instance whether a request is within its account's rate."""

    @abstractmethod
    def acquire(self, request_id: str, account: str, now: timedelta) -> list[Effect]:
        """Request one token for ``request_id``.

        The decision is returned as an effect here or by a later call of ``handle`` or
        ``tick``.
        """

    def update_instances(
        self, names_by_domain: Mapping[str, Iterable[str]], now: timedelta
    ) -> list[Effect]:
        """Replace the live instances of all domains, including the local domain."""
        return []

    def handle_unreachable_peer(self, name: str, now: timedelta) -> list[Effect]:
        """Repeat at another instance the requests that ``name`` has not answered."""
        return []

    def update_accounts(
        self, limit_by_account: Mapping[str, AccountLimit], domains: int, now: timedelta
    ) -> list[Effect]:
        """Replace the account limits and the number of domains."""
        return []
