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
_ZERO = timedelta()


class Permit(NamedTuple):
    """Permission of one operation: its route and account, from one configuration.

    An operation uses its permit from the admission to the answer, so that all its parts
    follow the same configuration, the one with ``revision``. ``account`` is ``None`` if
    the caller has none, which only public routes allow. ``arrival_version`` is the
    version of the configuration at which the operation arrived; it then waited ``wait``
    for its rate token. An open transaction keeps its route if ``keeps_route``.
    """

    route: Route
    account: Account | None
    revision: int
    arrival_version: int
    wait: timedelta = _ZERO
    keeps_route: bool = False

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

    def refusal(self) -> Failure | None:
        """Return why the session may not run operations now, or ``None``."""
        decided = self._decide()
        if isinstance(decided, Failure):
            return decided
        if decided.route.is_public:
            return None
        if not self._services.store_freshness.allows_keys(self._loop.now()):
            reason = "keys cannot be checked: the store has not answered lately"
            return Failure(AnswerCode.NOT_RUN, reason, timedelta(seconds=1))
        return None

    def _decide(self) -> Permit | Failure:
        """Return the permit of an operation by the current configuration."""
        configuration = self._services.configuration
        route = configuration.route_by_database.get(self._database)
        if route is None:
            return Failure(AnswerCode.UNKNOWN_DATABASE, "no route has this database")
        account = configuration.account_by_key.get(self._key)
        if account is None and not route.is_public:
            return Failure(AnswerCode.UNAUTHENTICATED, "the key is not known")
        return Permit(route, account, configuration.revision, configuration.version)

    def refusal_of(self, permit: Permit) -> Failure | None:
        """Return why a statement of an admitted operation may not be sent, or ``None``.

        Asked directly before each statement is sent, because the configuration may have
        changed since the admission. Only a change of the account or of the destination
        ends a permit. The age of the last read of the store does not: the bound for
        withdrawn keys counts from the arrival of a statement.
        """
        if permit.revision == self._services.configuration.revision:
            return None
        decided = self._decide()
        if isinstance(decided, Failure):
            return decided
        if decided.account_name != permit.account_name:
            return Failure(AnswerCode.ABORTED, "the key belongs to another account now")
        if not permit.keeps_route and not decided.route.leads_like(permit.route):
            return Failure(AnswerCode.ABORTED, "the route leads elsewhere now")
        return None

    def refusal_in_transaction(self, permit: Permit) -> Failure | None:
        """Return why a transaction may not continue with a new statement, or ``None``.

        Its connection belongs to the account that held the key at its begin.
        """
        return self.refusal() or self.refusal_of(permit)

    def admit(self, begins_transaction: bool = False) -> Steps:
        """Wait for a rate token; return a ``Permit``, or a ``Failure`` if refused."""
        plan = self._services.stop_plan
        if plan is not None and plan.refuses(self._loop.now(), begins_transaction):
            return REFUSED_BY_STOP
        failure = self.refusal()
        if failure is not None and failure.code is not AnswerCode.NOT_RUN:
            yield from self.refresh_configuration()
            failure = self.refusal()
        if failure is not None:
            return failure
        admitted = yield from self._take_token()
        if isinstance(admitted, Failure):
            return admitted
        return admitted._replace(keeps_route=begins_transaction)

    def renew(self, permit: Permit) -> Steps:
        """Admit a statement again that was not sent under ``permit``.

        Returns a ``Permit`` by the current configuration, or a ``Failure``. Takes a
        rate token only if the key belongs to another account now.
        """
        decided = self._decide()
        if isinstance(decided, Failure):
            return decided
        if decided.account_name == permit.account_name:
            return decided._replace(
                arrival_version=permit.arrival_version, wait=permit.wait
            )
        return (yield from self._take_token())

    def _take_token(self) -> Steps:
        """Wait for a rate token of the key's account; return a permit or a failure.

        The configuration may change during the wait, so each token is taken for the
        account that holds the key at that moment.
        """
        limiter = self._services.limiter
        started_at = self._loop.now()
        arrival_version = self._services.configuration.version
        counted_account = ""
        while True:
            decided, now = self._decide(), self._loop.now()
            if isinstance(decided, Failure):
                return decided
            permit = decided._replace(
                arrival_version=arrival_version, wait=now - started_at
            )
            account = permit.account
            if account is None:
                return permit
            if account.name != counted_account:
                limiter.record_demand(account, now)
                counted_account = account.name
            token_wait = limiter.try_admit(account, now)
            if token_wait <= _ZERO:
                return permit
            longest_wait = permit.route.latency_objective * TOKEN_WAIT_FRACTION
            if permit.wait + token_wait > longest_wait:
                self._services.metrics.count("rate_limited", account.name)
                reason = limiter.describe_refusal(account, now)
                return Failure(AnswerCode.NOT_RUN, reason, token_wait)
            yield self._loop.sleep(token_wait)
