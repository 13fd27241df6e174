"""Guards against writes that run twice and false reports of "not run"."""

from datetime import timedelta

import pytest

from bulrushloom.coordination.base import SendMessage, select_effects
from bulrushloom.coordination.configuration.view import ConfigurationView
from bulrushloom.coordination.membership.base import InstanceTable
from bulrushloom.coordination.retries.budgets import BudgetedRetries
from bulrushloom.coordination.routing.policies import FreshReplicaPolicy
from bulrushloom.core.errors import ErrorKind, Refusal, RunOutcome
from bulrushloom.instance.base import Begin, Complete, End, Outcome
from bulrushloom.instance.messages import (
    CancelStatement,
    GroupViewRequest,
    StatementRequest,
    TransactionAnswer,
    TransactionRequest,
)
from bulrushloom.instance.router import StatementRouter
from bulrushloom.instance.views import GroupViewCache
from bulrushloom.peers.base import MessageUndelivered, PeerLost
from tests import builders

ZERO = timedelta()
KEYED = builders.statement(read_only=False, idempotency_key="k")
UNKEYED = builders.statement(read_only=False)
READ = builders.statement()


class RouterDriver:
    """Send messages to a router in a fleet of one instance per domain."""

    def __init__(self):
        table = InstanceTable(builders.instance_entry())
        entries = [
            builders.instance_entry(f"{domain}-1", domain)
            for domain in ("east", "west", "north")
        ]
        table.update(entries, ZERO)
        views = GroupViewCache(table)
        self.router = StatementRouter(
            table,
            views,
            FreshReplicaPolicy(),
            BudgetedRetries(),
            lambda: self.configuration,
        )
        self.configuration = ConfigurationView(builders.rule_set(), ZERO)
        views.update_rules(builders.rule_set())
        self.router.update_rules(builders.rule_set())
        self.views = views

    def receive_view(self, now=ZERO, **changes):
        return self.router.handle("east-1", builders.group_view(**changes), now)

    def send(self, message, now=ZERO):
        return self.router.handle("east-1", message, now)

    def submit(self, request, now=ZERO):
        return self.send(builders.submit(request), now)


@pytest.fixture
def driver():
    driver = RouterDriver()
    driver.receive_view()
    return driver


def sent(effects):
    """Return the messages with requests to owners."""
    return [
        effect
        for effect in select_effects(effects, SendMessage)
        if isinstance(effect.message, StatementRequest | TransactionRequest)
    ]


def result(effects):
    [complete] = select_effects(effects, Complete)
    return complete.result


def test_write_goes_to_the_owner_of_the_primary(driver):
    [message] = sent(driver.submit(UNKEYED))
    assert message.recipient == "east-1"
    assert message.message.target == "orders-a"


def test_read_goes_to_a_replica(driver):
    [message] = sent(driver.submit(READ))
    assert message.message.target in ("orders-b", "orders-c")
    assert message.message.read_only


def test_request_waits_for_a_view_and_then_starts():
    driver = RouterDriver()
    effects = driver.submit(UNKEYED)
    assert not sent(effects)
    assert isinstance(select_effects(effects, SendMessage)[0].message, GroupViewRequest)
    assert len(sent(driver.receive_view())) == 1


def test_lost_peer_does_not_repeat_a_write_without_key(driver):
    driver.submit(UNKEYED)
    assert driver.send(PeerLost("east-1", "timeout")) == []
    refusal = result(driver.router.tick(builders.DEADLINE))
    assert refusal.kind is ErrorKind.OUTCOME_UNKNOWN


def test_lost_peer_repeats_a_write_with_key(driver):
    driver.submit(KEYED)
    driver.router._table.mark_unreachable("east-1", ZERO)
    [retry] = sent(driver.send(PeerLost("east-1", "timeout")))
    assert retry.recipient != "east-1"
    assert retry.message.idempotency_key == "k"


def test_write_refused_as_not_run_is_sent_to_the_new_primary(driver):
    [message] = sent(driver.submit(UNKEYED))
    refusal = builders.answer(
        message.message, error="no_target", error_message="x", retry_elsewhere=True
    )
    assert not sent(driver.send(refusal))
    [retry] = sent(driver.receive_view(primary="orders-b", term=2))
    assert retry.recipient == "west-1"
    assert retry.message.request_id != message.message.request_id


def test_refusal_after_a_possible_run_is_never_not_run(driver):
    [first] = sent(driver.submit(KEYED))
    unknown = builders.answer(first.message, error="outcome_unknown")
    driver.send(unknown)
    [second] = sent(driver.receive_view(primary="orders-b", term=2))
    refused = builders.answer(second.message, error="overloaded", error_message="full")
    refusal = result(driver.send(refused))
    assert refusal.response.ran is RunOutcome.UNKNOWN


def test_abandoned_attempt_is_cancelled_with_its_request(driver):
    # The first attempt still waits for a slot when the second one is not sent.
    [first] = sent(driver.submit(READ))
    rules = driver.configuration.rules._replace(accounts_by_database={})
    driver.configuration = ConfigurationView(rules, ZERO)
    effects = driver.router.tick(timedelta(seconds=1))
    cancellations = [
        message.message for message in select_effects(effects, SendMessage)
    ]
    target = first.message.target
    assert cancellations == [CancelStatement(first.message.request_id, target)]
    assert result(effects).response.ran is RunOutcome.UNKNOWN


def test_cancellation_is_repeated_until_the_owner_answers(driver):
    [first] = sent(driver.submit(UNKEYED))
    rules = driver.configuration.rules._replace(accounts_by_database={})
    driver.configuration = ConfigurationView(rules, ZERO)
    cancel = CancelStatement(first.message.request_id, "orders-a")
    for count in (0.5, 1, 1.5):
        [message] = driver.router.tick(timedelta(seconds=count))
        assert message == SendMessage("east-1", cancel)
    answered = builders.answer(
        first.message, error="no_target", error_message="x", retry_elsewhere=True
    )
    later = timedelta(seconds=2)
    driver.send(answered, later)
    refusal = result(driver.router.tick(later + timedelta(milliseconds=100)))
    assert refusal.kind is ErrorKind.FORBIDDEN


def test_expiry_before_anything_was_sent_is_not_run():
    driver = RouterDriver()
    driver.submit(UNKEYED)
    refusal = result(driver.router.tick(builders.DEADLINE))
    assert refusal.response.ran is RunOutcome.NO


def test_expiry_while_waiting_for_an_answer_is_unknown(driver):
    driver.submit(UNKEYED)
    refusal = result(driver.router.tick(builders.DEADLINE))
    assert refusal.response.ran is RunOutcome.UNKNOWN


def test_late_answer_after_the_end_is_dropped(driver):
    [message] = sent(driver.submit(UNKEYED))
    driver.router.tick(builders.DEADLINE)
    assert driver.send(builders.answer(message.message)) == []


def test_error_of_an_abandoned_attempt_does_not_end_the_request(driver):
    [first] = sent(driver.submit(READ))
    [second] = sent(driver.router.tick(timedelta(seconds=1)))
    assert second.message.target != first.message.target
    late = builders.answer(first.message, error="sql_error", error_message="x")
    assert driver.send(late, timedelta(seconds=1)) == []
    found = result(driver.send(builders.answer(second.message), timedelta(seconds=1)))
    assert isinstance(found, Outcome)


def test_doubled_answer_ends_a_request_once(driver):
    [message] = sent(driver.submit(UNKEYED))
    assert isinstance(result(driver.send(builders.answer(message.message))), Outcome)
    assert driver.send(builders.answer(message.message)) == []


def test_undelivered_statement_goes_to_the_next_owner(driver):
    [message] = sent(driver.submit(UNKEYED))
    driver.router._table.mark_unreachable("east-1", ZERO)
    [retry] = sent(driver.send(MessageUndelivered("east-1", message.message)))
    assert retry.recipient != "east-1"
    assert retry.message.target == "orders-a"


def test_view_of_an_older_term_is_ignored(driver):
    driver.receive_view(primary="orders-b", term=3)
    driver.receive_view(primary="orders-a", term=2)
    [message] = sent(driver.submit(UNKEYED))
    assert message.message.target == "orders-b"


def test_only_writes_move_the_session(driver):
    [read] = sent(driver.submit(READ))
    assert result(driver.send(builders.answer(read.message))).write_position is None
    [write] = sent(driver.submit(UNKEYED))
    position = result(driver.send(builders.answer(write.message))).write_position
    assert position == builders.answer(write.message).position


def test_statement_of_a_transaction_stays_with_its_owner(driver):
    transaction = builders.transaction_ref(owner="north-1")
    effects = driver.submit(UNKEYED._replace(transaction=transaction))
    [message] = sent(effects)
    assert message.recipient == "north-1"
    assert message.message.transaction == "h1"
    undelivered = MessageUndelivered("north-1", message.message)
    assert isinstance(result(driver.send(undelivered)), Refusal)


def test_begin_is_repeated_until_there_is_a_primary(driver):
    [message] = sent(driver.submit(Begin("hotel", "orders", "orders")))
    refused = TransactionAnswer(
        message.message.request_id, "", (0, 0), "no_target", "not the primary"
    )
    driver.send(refused)
    [retry] = sent(driver.receive_view(primary="orders-b", term=2))
    answered = TransactionAnswer(retry.message.request_id, "h9", (0, 0), "", "")
    found = result(driver.send(answered))
    assert found.transaction.handle == "h9"
    assert found.transaction.owner == "west-1"


def test_commit_without_an_answer_is_unknown_and_not_repeated(driver):
    transaction = builders.transaction_ref()
    effects = driver.submit(End("hotel", "orders", "orders", transaction, True))
    assert len(sent(effects)) == 1
    assert driver.send(PeerLost("east-1", "timeout")) == []
    refusal = result(driver.router.tick(builders.DEADLINE))
    assert refusal.kind is ErrorKind.OUTCOME_UNKNOWN


def test_replicas_that_were_behind_are_looked_at_again_soon(driver):
    # Guards against reads that stay at the primary for 10 s after the replicas have
    # caught up.
    view = builders.group_view()
    old = [server._replace(age_ms=9000) for server in view.servers[1:]]
    driver.send(view._replace(servers=[view.servers[0], *old]))
    [read] = sent(driver.submit(READ))
    assert read.message.target == "orders-a"
    later = timedelta(seconds=1.5)
    effects = driver.send(builders.submit(READ, "r2"), later)
    requests = [effect.message for effect in select_effects(effects, SendMessage)]
    assert GroupViewRequest("orders") in requests


def test_leaving_target_gets_no_new_statement(driver):
    rules = builders.rule_set(
        builders.target_rule("orders-a", "east"),
        builders.target_rule("orders-b", "west", leaving=True),
        builders.target_rule("orders-c", "north", leaving=True),
    )
    driver.router.update_rules(rules)
    [message] = sent(driver.submit(READ))
    assert message.message.target == "orders-a"
