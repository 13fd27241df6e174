"""Guards against messages that do not reach the components of an instance."""

import random
from datetime import timedelta

import pytest

from bulrushloom.coordination.base import SendMessage
from bulrushloom.coordination.configuration.base import RulesText
from bulrushloom.coordination.configuration.tracker import ConfigurationTracker
from bulrushloom.coordination.configuration.utils import pack_text
from bulrushloom.coordination.failover.base import FailoverPolicy
from bulrushloom.coordination.limits.base import TokenLoan, TokenLoanRequest
from bulrushloom.coordination.limits.baselines import UnlimitedShareClient
from bulrushloom.coordination.limits.holder import ShareHolder
from bulrushloom.coordination.membership.base import InstanceTable
from bulrushloom.coordination.queueing.fair import FairQueue
from bulrushloom.coordination.retries.budgets import BudgetedRetries
from bulrushloom.coordination.routing.policies import FreshReplicaPolicy
from bulrushloom.instance.node import Node, NodeComponents
from bulrushloom.instance.router import StatementRouter
from bulrushloom.instance.views import GroupViewCache
from tests import builders

NOW = timedelta(seconds=1)
RULES = """\
domain east region=r  # ops: site
domain west region=r  # ops: site
account hotel rate=15 burst=12 max_age=1s  # ops: account
"""


class RecordingClient(UnlimitedShareClient):
    def __init__(self):
        self.updates = []

    def update_accounts(self, limit_by_account, domains, now):
        self.updates.append((dict(limit_by_account), domains))
        return []


@pytest.fixture
def client():
    return RecordingClient()


@pytest.fixture
def node(client):
    table = InstanceTable(builders.instance_entry())
    views = GroupViewCache(table)
    tracker = ConfigurationTracker("east-1", "east", random.Random(1))
    router = StatementRouter(
        table, views, FreshReplicaPolicy(), BudgetedRetries(), lambda: tracker.view
    )
    holders = [ShareHolder("east-1", "east-1.run", "east", 0)]
    parts = NodeComponents(table, views, router, tracker, client, holders)
    return Node(parts, FailoverPolicy(), lambda: FairQueue(256))


def test_rules_reach_the_rate_client(node, client):
    """Without limits, the client spreads a small account's tokens over all domains."""
    node.handle("east-2", RulesText(1, pack_text(RULES)), NOW)
    assert client.updates == [({"hotel": (15.0, 12.0)}, 2)]


def test_loan_request_of_another_domain_reaches_the_holder(node):
    """If it is dropped, each domain can use only its own part of an account's rate."""
    request = TokenLoanRequest("west", 0, "west-1.run", 1, [], [])
    [effect] = node.handle("west-1", request, NOW)
    assert isinstance(effect, SendMessage) and effect.recipient == "west-1"
    assert isinstance(effect.message, TokenLoan)
    assert effect.message.sequence == 1
