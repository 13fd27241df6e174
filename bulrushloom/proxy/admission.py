"""Admission of operations: checks of the route, the API key and the account's rate."""

from datetime import timedelta

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
_ZERO = timedelta()


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
        configuration = self._services.configuration
        route = configuration.route_by_database.get(self._database)
        if route is None:
            return Failure(AnswerCode.UNKNOWN_DATABASE, "no route has this database")
        if route.is_public:
            return None
        if self._key not in configuration.account_by_key:
            return Failure(AnswerCode.UNAUTHENTICATED, "the key is not known")
        if not self._services.store_freshness.allows_keys(self._loop.now()):
            reason = "keys cannot be checked: the store has not answered lately"
            return Failure(AnswerCode.NOT_RUN, reason, timedelta(seconds=1))
        return None

    def refusal_in_transaction(self, account_name: str) -> Failure | None:
        """Return why a transaction of the account may not continue, or ``None``.

        Its connection belongs to the account that held the key at its begin.
        """
        refusal = self.refusal()
        if refusal is None and account_name != self.account_name():
            return Failure(AnswerCode.ABORTED, "the key belongs to another account now")
        return refusal

    def account_name(self) -> str:
        """Return the name of the key's account, or an empty string."""
        account = self.account()
        return account.name if account is not None else ""

    def account(self) -> Account | None:
        """Return the account of the key; ``None`` on public routes without a key."""
        return self._services.configuration.account_by_key.get(self._key)

    def admit(self, route: Route, begins_transaction: bool = False) -> Steps:
        """Wait for a rate token; return why an operation may not start, or ``None``."""
        plan = self._services.stop_plan
        if plan is not None and plan.refuses(self._loop.now(), begins_transaction):
            return REFUSED_BY_STOP
        failure = self.refusal()
        if failure is not None and failure.code is not AnswerCode.NOT_RUN:
            yield from self.refresh_configuration()
            failure = self.refusal()
        if failure is not None:
            return failure
        account = self.account()
        if account is None:
            return None
        limiter, now = self._services.limiter, self._loop.now()
        limiter.record_demand(account, now)
        deadline = now + route.latency_objective * TOKEN_WAIT_FRACTION
        while True:
            wait = limiter.try_admit(account, now)
            if wait <= _ZERO:
                return None
            if now + wait > deadline:
                self._services.metrics.count("rate_limited", account.name)
                reason = limiter.describe_refusal(account, now)
                return Failure(AnswerCode.NOT_RUN, reason, wait)
            yield self._loop.sleep(wait)
            now = self._loop.now()
