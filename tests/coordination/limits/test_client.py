"""Share client: holder discovery, batched requests, late grants and timeouts."""

from bulrushloom.coordination.base import SendMessage, select_effects
from bulrushloom.coordination.limits.base import (
    AccountGrant,
    ShareGrant,
    ShareRefused,
    TokenGranted,
    TokenRefused,
)
from bulrushloom.coordination.limits.client import ShareClient
from bulrushloom.coordination.limits.utils import share_subject
from bulrushloom.coordination.membership.utils import rendezvous_order
from tests.coordination.limits.builders import seconds

NAMES = ["a0", "a1", "a2"]
FIRST, SECOND, THIRD = rendezvous_order(share_subject("a", 0), NAMES)


def new_client():
    client = ShareClient("a0", "a0/1", "a")
    client.update_instances({"a": NAMES, "b": ["b0"]}, seconds(0))
    return client


def acquire_token(client, request_id="1", account="x", now=0.0):
    (send,) = client.acquire(request_id, account, seconds(now))
    return send


def grant(sequence, tokens, account="x", lifetime_ms=900):
    item = AccountGrant(sequence, account, tokens, lifetime_ms, 70)
    return ShareGrant("a", 0, "a0/1", sequence, [item])


def test_hint_in_a_refusal_is_followed_at_once():
    client = new_client()
    send = acquire_token(client)
    assert send.recipient == FIRST
    refusal = ShareRefused("a", 0, "a0/1", send.message.sequence, THIRD)
    (send,) = client.handle(FIRST, refusal, seconds(0.01))
    assert send.recipient == THIRD
    assert client.handle(THIRD, grant(2, 1), seconds(0.02)) == [TokenGranted("1")]
    assert acquire_token(client, "2", now=0.05).recipient == THIRD


def test_other_domain_is_asked_when_no_instance_holds_the_share():
    client = new_client()
    send, recipients_before = acquire_token(client), []
    while send.recipient != "b0":
        recipients_before.append(send.recipient)
        refusal = ShareRefused("a", 0, "a0/1", send.message.sequence, "")
        (send,) = client.handle(send.recipient, refusal, seconds(0.01))
    assert recipients_before == [FIRST, SECOND, THIRD]


def test_peer_that_refuses_connections_is_replaced_at_once():
    client = new_client()
    assert acquire_token(client).recipient == FIRST
    (send,) = client.handle_unreachable_peer(FIRST, seconds(0.01))
    assert send.recipient == SECOND


def test_unresponsive_holder_is_replaced_while_the_caller_waits():
    client = new_client()
    acquire_token(client)
    recipients = []
    for step in range(1, 15):
        sent = select_effects(client.tick(seconds(step * 0.02)), SendMessage)
        recipients += [send.recipient for send in sent]
    assert recipients == [FIRST, SECOND]


def test_caller_waits_at_most_three_tenths_of_a_second():
    client = new_client()
    acquire_token(client)
    assert not select_effects(client.tick(seconds(0.29)), TokenRefused)
    (refused,) = select_effects(client.tick(seconds(0.3)), TokenRefused)
    assert refused == TokenRefused("1", seconds(1))


def test_accounts_share_one_request_to_a_holder():
    """Guards against control traffic of one message per account and caller."""
    client = new_client()
    acquire_token(client)
    for index, account in enumerate(["x", "y", "y", "z"]):
        assert not client.acquire(f"r{index}", account, seconds(0.005))
    (send,) = client.tick(seconds(0.02))
    demands = {d.account: d.waiting for d in send.message.demands}
    assert demands == {"x": 1, "y": 2, "z": 1}


def test_tokens_of_a_late_grant_are_returned_unused():
    client = new_client()
    acquire_token(client)
    client.tick(seconds(0.31))
    assert client.handle(FIRST, grant(1, 3), seconds(0.55)) == []
    (send,) = client.acquire("2", "x", seconds(0.56))
    settlements = list(send.message.settlements)
    for sent in select_effects(client.tick(seconds(0.65)), SendMessage):
        settlements += sent.message.settlements
    assert (1, "x", 0, 3) in settlements


def test_duplicate_and_foreign_grants_are_ignored():
    client = new_client()
    acquire_token(client)
    client.acquire("2", "x", seconds(0.001))
    assert client.handle(SECOND, grant(1, 1), seconds(0.01)) == []
    assert client.handle(FIRST, grant(1, 1), seconds(0.01)) == [TokenGranted("1")]
    assert client.handle(FIRST, grant(1, 1), seconds(0.01)) == []
    other_run = grant(1, 1)._replace(incarnation="a0/0")
    assert client.handle(FIRST, other_run, seconds(0.01)) == []


def test_token_lifetime_starts_when_the_request_is_sent():
    """Guards against tokens that are spent after the holder refilled (invariant 7)."""
    client = new_client()
    acquire_token(client)
    client.handle(FIRST, grant(1, 2, lifetime_ms=300), seconds(0.25))
    assert client.acquire("2", "x", seconds(0.3)) != [TokenGranted("2")]
