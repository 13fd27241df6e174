"""Admission of operations: checks of the route, the API key and the account's rate."""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.proxy.configuration import Account, Route
from bulrushloom.proxy.messages import AnswerCode, Failure
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.stopping import REFUSED_BY_STOP
from bulrushloom.runtime.loop import Steps

# An operation may wait for a rate token for this fraction of its route's latency
# objective.
TOKEN_WAIT_FRACTION = 0.2
# Timeout of the read of the store before an unknown key or database is refused.
LOOKUP_TIMEOUT = timedelta(milliseconds=600)
# Name that servers are told if a caller on a public route has no account.
ANONYMOUS = ""
# Interval in which an instance that has lost the store asks it again.
EVIDENCE_RETRY_DELAY = timedelta(seconds=1)
# What a change of the configuration ended may be repeated after this time.
CHANGE_RETRY_DELAY = timedelta(milliseconds=15)
DATABASE_NOT_KNOWN = Failure(AnswerCode.UNKNOWN_DATABASE, "no route has this database")
KEY_NOT_KNOWN = Failure(AnswerCode.UNAUTHENTICATED, "the key is not known")
KEY_MOVED = Failure(
    AnswerCode.ABORTED, "the key belongs to another account now", CHANGE_RETRY_DELAY
)
_ZERO = timedelta()


class Permit(NamedTuple):
    """Permission of one operation: its route and account, from one configuration.

    An operation uses its permit from the admission to the answer, so that all its parts
    follow the same configuration, the one with ``version``. ``account`` is ``None`` if
    the caller has none, which only public routes allow. ``arrival_version`` is the
    version of the configuration at which the operation arrived; since then it waited
    ``wait`` for rate tokens, and took one of each account in ``charged_accounts``.
    """

    route: Route
    account: Account | None
    version: int
    arrival_version: int
    wait: timedelta = _ZERO
    charged_accounts: frozenset[str] = frozenset()
    in_transaction: bool = False

    @property
    def account_name(self) -> str:
        """Return the name that servers are told."""
        return ANONYMOUS if self.account is None else self.account.name


class Admission:
    """Admission checks of one session's operations.

    Each check uses the current configuration and the API key of the session.
    """

    def __init__(self, services: Services, database: str, key: str):
        self._services = services
        self._loop = services.loop
        self._database = database
        self._key = key

    def refresh_configuration(self) -> Steps:
        """Wait for a read of the store unless the last one is recent.

        A key or database that is unknown here may have been added since that read.
        """
        services = self._services
        request_read = services.request_client_read
        age = services.store_freshness.age(self._loop.now())
        if request_read is None or age < services.settings.configuration_bound * 0.5:
            return
        read = request_read()
        if read is None:
            return
        try:
            yield self._loop.wait_for(read, LOOKUP_TIMEOUT)
        except TimeoutError:
            return

    def check(self) -> Steps:
        """Return why the session may not run operations now, or ``None``.

        Before a caller is refused as unknown, the configuration is refreshed.
        """
        if isinstance(self._decide(), Failure):
            yield from self.refresh_configuration()
        return self._refusal()

    def _refusal(self) -> Failure | None:
        decided = self._decide()
        if isinstance(decided, Failure):
            return decided
        return None if decided.route.is_public else self._refusal_without_evidence()

    def _refusal_without_evidence(self) -> Failure | None:
        """Return a refusal if a withdrawn key might be taken for a valid one."""
        if self._services.store_freshness.allows_keys(self._loop.now()):
            return None
        reason = "keys cannot be checked: the store has not answered lately"
        return Failure(AnswerCode.NOT_RUN, reason, EVIDENCE_RETRY_DELAY)

    def _deny(self, denial: Failure) -> Failure:
        """Return ``denial``, or a refusal that may be repeated without evidence for it.

        A denial says that no newer configuration allows the operation either.
        """
        if self._services.store_freshness.allows_denial(self._loop.now()):
            return denial
        reason = f"the store has not answered lately; by the last read, {denial.reason}"
        return Failure(AnswerCode.NOT_RUN, reason, EVIDENCE_RETRY_DELAY)

    def _decide(self) -> Permit | Failure:
        """Return the permit of an operation by the current configuration."""
        configuration = self._services.configuration
        route = configuration.route_by_database.get(self._database)
        if route is None:
            return self._deny(DATABASE_NOT_KNOWN)
        account = configuration.account_by_key.get(self._key)
        if account is None and not route.is_public:
            return self._deny(KEY_NOT_KNOWN)
        return Permit(route, account, configuration.version, configuration.version)

    def refusal_to_send(self, permit: Permit) -> Failure | None:
        """Return why a statement of an admitted operation may not be sent, or ``None``.

        Asked directly before each statement is sent, because the configuration may have
        changed since the admission. Only a change of the account or of the destination
        ends a permit. The age of the last read of the store does not: the bound for
        withdrawn keys counts from the arrival of a statement.
        """
        if permit.version == self._services.configuration.version:
            return None
        if permit.in_transaction:
            return self._refusal_to_continue(permit)
        decided = self._decide()
        if isinstance(decided, Failure):
            return decided
        if decided.account_name != permit.account_name:
            return KEY_MOVED
        if not decided.route.leads_like(permit.route):
            return Failure(
                AnswerCode.ABORTED, "the route has changed", CHANGE_RETRY_DELAY
            )
        return None

    def _refusal_to_continue(self, permit: Permit) -> Failure | None:
        """Return why an open transaction may not continue, or ``None``.

        A change to a route applies from the next transaction on. The connection belongs
        to the account that held the key at the begin.
        """
        if permit.route.is_public:
            return None
        account = self._services.configuration.account_by_key.get(self._key)
        if account is None:
            return self._deny(KEY_NOT_KNOWN)
        return None if account.name == permit.account_name else KEY_MOVED

    def refusal_in_transaction(self, permit: Permit) -> Failure | None:
        """Return why a transaction may not run a new statement, or ``None``."""
        refusal = self.refusal_to_send(permit)
        if refusal is None and not permit.route.is_public:
            refusal = self._refusal_without_evidence()
        return refusal

    def admit(self, begins_transaction: bool = False) -> Steps:
        """Wait for a rate token; return a ``Permit``, or a ``Failure`` if refused."""
        plan = self._services.stop_plan
        if plan is not None and plan.refuses(self._loop.now(), begins_transaction):
            return REFUSED_BY_STOP
        arrival_version = self._services.configuration.version
        failure = yield from self.check()
        if failure is not None:
            return failure
        admitted = yield from self._take_token(arrival_version)
        if isinstance(admitted, Failure):
            return admitted
        return admitted._replace(in_transaction=begins_transaction)

    def renew(self, permit: Permit, deadline: timedelta) -> Steps:
        """Admit a statement again that was not sent under ``permit``.

        Returns a ``Permit`` by the current configuration, or a ``Failure``. Takes a
        rate token only of an account that was not charged yet, and by ``deadline``.
        """
        return (yield from self._take_token(permit.arrival_version, permit, deadline))

    def _take_token(
        self,
        arrival_version: int,
        ended: Permit | None = None,
        deadline: timedelta = timedelta.max,
    ) -> Steps:
        """Wait for a rate token of the key's account; return a permit or a failure.

        The configuration may change during the wait, so each token is taken for the
        account that holds the key at that moment.
        """
        limiter = self._services.limiter
        started_at = self._loop.now()
        charged_accounts = ended.charged_accounts if ended else frozenset()
        earlier_wait = ended.wait if ended else _ZERO
        counted_account = ""
        while True:
            decided, now = self._decide(), self._loop.now()
            if isinstance(decided, Failure):
                return decided
            wait = now - started_at
            permit = decided._replace(
                arrival_version=arrival_version,
                wait=earlier_wait + wait,
                charged_accounts=charged_accounts,
            )
            account = permit.account
            if account is None or account.name in charged_accounts:
                return permit
            if now >= deadline:
                reason = "the key was moved at the end of the timeout"
                return Failure(AnswerCode.NOT_RUN, reason, CHANGE_RETRY_DELAY)
            if account.name != counted_account:
                limiter.record_demand(account, now)
                counted_account = account.name
            token_wait = limiter.try_admit(account, now)
            if token_wait <= _ZERO:
                return permit._replace(
                    charged_accounts=charged_accounts | {account.name}
                )
            longest_wait = min(
                permit.route.latency_objective * TOKEN_WAIT_FRACTION,
                deadline - started_at,
            )
            if wait + token_wait > longest_wait:
                self._services.metrics.count("rate_limited", account.name)
                reason = limiter.describe_refusal(account, now)
                return Failure(AnswerCode.NOT_RUN, reason, token_wait)
            yield self._loop.sleep(token_wait)
