"""Guards against requests that are validated under rules without their account."""

from datetime import timedelta

from bulrushloom.coordination.configuration.view import ConfigurationView
from bulrushloom.core.clock import ManualClock
from bulrushloom.core.errors import ErrorKind
from bulrushloom.gateway.base import BeginRequest, QueryRequest
from bulrushloom.instance.frontend import Frontend
from tests import builders

KEY = "test key"


def test_account_removed_after_the_authentication_is_refused():
    clock = ManualClock()
    posted = []
    frontend = Frontend(posted.append, clock, "s" * 32, "east-1.run", timedelta(5))
    rules = builders.rule_set()
    frontend.configuration = ConfigurationView(rules, clock.monotonic())
    account = frontend.authenticate(KEY)
    assert account == "hotel"
    without_account = rules._replace(
        account_by_name={}, key_by_digest={}, accounts_by_database={}
    )
    frontend.configuration = ConfigurationView(without_account, clock.monotonic())
    query = QueryRequest(account, "orders", "SELECT 1", [], None, None, None, None)
    for request in (query, BeginRequest(account, "orders", None)):
        answer = frontend.submit(request, builders.KEY_DIGEST).result(0)
        assert answer.kind is ErrorKind.FORBIDDEN
    assert not posted
