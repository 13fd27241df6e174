"""Failures guarded against: a write that runs twice, a false "not run"."""

from datetime import timedelta

import pytest

from bulrushloom.coordination.base import SendMessage, effects_of
from bulrushloom.coordination.membership.base import InstanceTable
from bulrushloom.coordination.retries.budgets import BudgetedRetries
from bulrushloom.coordination.routing.policies import FreshReplicaPolicy
from bulrushloom.core.errors import ErrorKind, Ran, Refusal
from bulrushloom.instance.base import Begin, Complete, End, Outcome
from bulrushloom.instance.messages import (
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


class Entry:
    """Drive one router whose fleet is one instance per domain."""

    def __init__(self):
        table = InstanceTable(builders.instance_entry())
        entries = [
            builders.instance_entry(f"{domain}-1", domain)
            for domain in ("east", "west", "north")
        ]
        table.update(entries, ZERO)
        views = GroupViewCache(table)
        self.router = StatementRouter(
            table, views, FreshReplicaPolicy(), BudgetedRetries()
        )
        views.update_rules(builders.rule_set())
        self.router.update_rules(builders.rule_set())
        self.views = views

    def see(self, now=ZERO, **changes):
        return self.router.handle("east-1", builders.group_view(**changes), now)

    def give(self, message, now=ZERO):
        return self.router.handle("east-1", message, now)

    def submit(self, request, now=ZERO):
        return self.give(builders.submit(request), now)


@pytest.fixture
def entry():
    entry = Entry()
    entry.see()
    return entry


def sent(effects):
    """Return the statements sent, with the owners that they went to."""
    return [
        effect
        for effect in effects_of(effects, SendMessage)
        if isinstance(effect.message, StatementRequest | TransactionRequest)
    ]


def result(effects):
    [complete] = effects_of(effects, Complete)
    return complete.result


def test_write_goes_to_the_owner_of_the_primary(entry):
    [message] = sent(entry.submit(UNKEYED))
    assert message.recipient == "east-1"
    assert message.message.target == "orders-a"


def test_read_goes_to_a_replica(entry):
    [message] = sent(entry.submit(READ))
    assert message.message.target in ("orders-b", "orders-c")
    assert message.message.read_only


def test_request_waits_for_a_view_and_then_starts():
    entry = Entry()
    effects = entry.submit(UNKEYED)
    assert not sent(effects)
    assert isinstance(effects_of(effects, SendMessage)[0].message, GroupViewRequest)
    assert len(sent(entry.see())) == 1


def test_lost_peer_does_not_repeat_a_write_without_key(entry):
    entry.submit(UNKEYED)
    assert entry.give(PeerLost("east-1", "timeout")) == []
    refusal = result(entry.router.tick(builders.DEADLINE))
    assert refusal.kind is ErrorKind.OUTCOME_UNKNOWN


def test_lost_peer_repeats_a_write_with_key(entry):
    entry.submit(KEYED)
    entry.router._table.mark_unreachable("east-1", ZERO)
    [again] = sent(entry.give(PeerLost("east-1", "timeout")))
    assert again.recipient != "east-1"
    assert again.message.idempotency_key == "k"


def test_write_refused_as_not_run_is_sent_to_the_new_primary(entry):
    [message] = sent(entry.submit(UNKEYED))
    refusal = builders.answer(
        message.message, error="no_target", error_message="x", retry_elsewhere=True
    )
    assert not sent(entry.give(refusal))
    [again] = sent(entry.see(primary="orders-b", term=2))
    assert again.recipient == "west-1"
    assert again.message.request_id != message.message.request_id


def test_refusal_after_a_possible_run_is_never_not_run(entry):
    [first] = sent(entry.submit(KEYED))
    unknown = builders.answer(first.message, error="outcome_unknown")
    entry.give(unknown)
    [second] = sent(entry.see(primary="orders-b", term=2))
    refused = builders.answer(second.message, error="overloaded", error_message="full")
    refusal = result(entry.give(refused))
    assert refusal.answer.ran is Ran.UNKNOWN


def test_expiry_before_anything_was_sent_is_not_run():
    entry = Entry()
    entry.submit(UNKEYED)
    refusal = result(entry.router.tick(builders.DEADLINE))
    assert refusal.answer.ran is Ran.NO


def test_expiry_while_waiting_for_an_answer_is_unknown(entry):
    entry.submit(UNKEYED)
    refusal = result(entry.router.tick(builders.DEADLINE))
    assert refusal.answer.ran is Ran.UNKNOWN


def test_late_answer_after_the_end_is_dropped(entry):
    [message] = sent(entry.submit(UNKEYED))
    entry.router.tick(builders.DEADLINE)
    assert entry.give(builders.answer(message.message)) == []


def test_error_of_an_abandoned_attempt_does_not_end_the_request(entry):
    [first] = sent(entry.submit(READ))
    [second] = sent(entry.router.tick(timedelta(seconds=1)))
    assert second.message.target != first.message.target
    late = builders.answer(first.message, error="sql_error", error_message="x")
    assert entry.give(late, timedelta(seconds=1)) == []
    found = result(entry.give(builders.answer(second.message), timedelta(seconds=1)))
    assert isinstance(found, Outcome)


def test_doubled_answer_ends_a_request_once(entry):
    [message] = sent(entry.submit(UNKEYED))
    assert isinstance(result(entry.give(builders.answer(message.message))), Outcome)
    assert entry.give(builders.answer(message.message)) == []


def test_undelivered_statement_goes_to_the_next_owner(entry):
    [message] = sent(entry.submit(UNKEYED))
    entry.router._table.mark_unreachable("east-1", ZERO)
    [again] = sent(entry.give(MessageUndelivered("east-1", message.message)))
    assert again.recipient != "east-1"
    assert again.message.target == "orders-a"


def test_view_of_an_older_term_is_ignored(entry):
    entry.see(primary="orders-b", term=3)
    entry.see(primary="orders-a", term=2)
    [message] = sent(entry.submit(UNKEYED))
    assert message.message.target == "orders-b"


def test_only_writes_move_the_session(entry):
    [read] = sent(entry.submit(READ))
    assert result(entry.give(builders.answer(read.message))).write_position is None
    [write] = sent(entry.submit(UNKEYED))
    position = result(entry.give(builders.answer(write.message))).write_position
    assert position == builders.answer(write.message).position


def test_statement_of_a_transaction_stays_with_its_owner(entry):
    transaction = builders.transaction_ref(owner="north-1")
    effects = entry.submit(UNKEYED._replace(transaction=transaction))
    [message] = sent(effects)
    assert message.recipient == "north-1"
    assert message.message.transaction == "h1"
    undelivered = MessageUndelivered("north-1", message.message)
    assert isinstance(result(entry.give(undelivered)), Refusal)


def test_begin_is_repeated_until_there_is_a_primary(entry):
    [message] = sent(entry.submit(Begin("hotel", "orders", "orders")))
    refused = TransactionAnswer(
        message.message.request_id, "", (0, 0), "no_target", "not the primary"
    )
    entry.give(refused)
    [again] = sent(entry.see(primary="orders-b", term=2))
    answered = TransactionAnswer(again.message.request_id, "h9", (0, 0), "", "")
    found = result(entry.give(answered))
    assert found.transaction.handle == "h9"
    assert found.transaction.owner == "west-1"


def test_commit_without_an_answer_is_unknown_and_not_repeated(entry):
    transaction = builders.transaction_ref()
    effects = entry.submit(End("hotel", "orders", "orders", transaction, True))
    assert len(sent(effects)) == 1
    assert entry.give(PeerLost("east-1", "timeout")) == []
    refusal = result(entry.router.tick(builders.DEADLINE))
    assert refusal.kind is ErrorKind.OUTCOME_UNKNOWN


def test_replicas_that_were_behind_are_looked_at_again_soon(entry):
    # Reads stayed at the primary for 10 s after the replicas had caught up.
    view = builders.group_view()
    old = [server._replace(age_ms=9000) for server in view.servers[1:]]
    entry.give(view._replace(servers=[view.servers[0], *old]))
    [read] = sent(entry.submit(READ))
    assert read.message.target == "orders-a"
    later = timedelta(seconds=1.5)
    asked = entry.give(builders.submit(READ, "r2"), later)
    requests = [effect.message for effect in effects_of(asked, SendMessage)]
    assert GroupViewRequest("orders") in requests


def test_leaving_target_gets_no_new_statement(entry):
    rules = builders.rule_set(
        builders.target_rule("orders-a", "east"),
        builders.target_rule("orders-b", "west", leaving=True),
        builders.target_rule("orders-c", "north", leaving=True),
    )
    entry.router.update_rules(rules)
    [message] = sent(entry.submit(READ))
    assert message.message.target == "orders-a"
