"""Rules that change while a request waits: rollbacks, cancellations and answers."""

import json

import pytest

from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.instance.base import Begin, End, Outcome
from bulrushloom.instance.messages import CancelStatement
from bulrushloom.instance.protocol import PEER_MESSAGES
from bulrushloom.peers.codec import MessageCodec
from tests.instance.test_access_during_waits import (
    CHANGES,
    KEY,
    OTHER_KEY,
    RULES,
    World,
    rules_text,
)


@pytest.fixture
def world():
    return World()


def roll_back(world, transaction):
    def make(request, account):
        return End(account, "orders", "orders", transaction, False)

    return world.callers.submit(world.entry, KEY, "end", make, lambda request: None)


def test_rollback_is_allowed_after_the_access_was_removed(world):
    # Guards against a transaction that keeps its connection until its idle timeout.
    transaction = world.begin()
    inside = world.send_inside(transaction)
    world.run(0.2)
    assert isinstance(inside.result, Outcome)
    world.change_rules(CHANGES["access removed"])
    request = roll_back(world, transaction)
    world.run(1)
    assert isinstance(request.result, Outcome), request.result
    assert not world.has_run(inside)


def test_statement_of_a_transaction_whose_database_moved_says_that_it_is_lost(world):
    transaction = world.begin()
    world.change_rules(CHANGES["database moved"])
    request = world.send_inside(transaction)
    world.run(1)
    assert isinstance(request.result, Refusal)
    assert request.result.kind is ErrorKind.TRANSACTION_LOST, request.result


def test_statement_of_a_transaction_with_a_withdrawn_key_in_the_queue_says_why(world):
    transaction = world.begin()
    held = world.hold_statements()
    for _ in range(3):
        world.send("write", OTHER_KEY)
    world.run(0.1)
    waiting = world.send_inside(transaction)
    world.run(0.1)
    world.change_rules(CHANGES["key withdrawn"])
    world.run(1)
    world.release(held)
    assert isinstance(waiting.result, Refusal)
    assert waiting.result.kind is ErrorKind.UNAUTHENTICATED, waiting.result


@pytest.mark.parametrize("is_inside", [False, True])
def test_statement_that_waits_long_for_a_slot_is_not_cancelled(world, is_inside):
    # Guards against a cancellation of statements whose key still holds.
    transaction = world.begin() if is_inside else None
    held = world.hold_statements()
    for _ in range(3):
        world.send("write", OTHER_KEY)
    world.run(0.1)
    waiting = world.send_inside(transaction) if is_inside else world.send("write")
    world.run(0.2)
    world.change_rules(rules_text(withdrawn=frozenset({"small-2"})))
    world.run(1.4)
    assert waiting.result is None, waiting.result
    world.release(held)
    world.run(1)
    assert isinstance(waiting.result, Outcome), waiting.result


def test_begin_whose_key_is_withdrawn_on_its_way_is_refused(world):
    def make(request, account):
        return Begin(account, "orders", "orders")

    world.set_servers_up(False)
    pending = world.callers.submit(
        world.entry, KEY, "begin", make, lambda request: None
    )
    world.run(0.1)
    world.change_rules(CHANGES["key withdrawn"])
    world.set_servers_up(True)
    world.run(2)
    assert isinstance(pending.result, Refusal), pending.result


def test_key_that_is_withdrawn_and_returns_during_a_wait_is_served(world):
    held = world.hold_statements()
    for _ in range(3):
        world.send("write", OTHER_KEY)
    world.run(0.1)
    waiting = world.send("write")
    world.run(0.1)
    world.change_rules(CHANGES["key withdrawn"])
    world.run(0.1)
    world.change_rules(RULES)
    world.run(1)
    world.release(held)
    world.run(1)
    assert isinstance(waiting.result, Outcome), waiting.result
    assert world.has_run(waiting)


def test_cancellation_passes_between_instances():
    # Guards against a message that only the in-memory fleet of the tests can carry.
    codec = MessageCodec(PEER_MESSAGES)
    message = CancelStatement("east-1.7.1", "orders-a")
    assert codec.decode(json.loads(codec.encode(message))) == message
