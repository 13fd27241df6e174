"""The entry's side: search for the holder, batches, late grants, waiting time."""

from bulrushloom.coordination.base import SendMessage, effects_of
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


def ask(client, request_id="1", account="x", now=0.0):
    (send,) = client.acquire(request_id, account, seconds(now))
    return send


def grant(sequence, tokens, account="x", lifetime_ms=900):
    item = AccountGrant(sequence, account, tokens, lifetime_ms, 70)
    return ShareGrant("a", 0, "a0/1", sequence, [item])


def test_hint_in_a_refusal_is_followed_at_once():
    client = new_client()
    send = ask(client)
    assert send.recipient == FIRST
    refusal = ShareRefused("a", 0, "a0/1", send.message.sequence, THIRD)
    (send,) = client.handle(FIRST, refusal, seconds(0.01))
    assert send.recipient == THIRD
    assert client.handle(THIRD, grant(2, 1), seconds(0.02)) == [TokenGranted("1")]
    assert ask(client, "2", now=0.05).recipient == THIRD


def test_other_domain_is_asked_when_no_instance_holds_the_share():
    client = new_client()
    send, asked = ask(client), []
    while send.recipient != "b0":
        asked.append(send.recipient)
        refusal = ShareRefused("a", 0, "a0/1", send.message.sequence, "")
        (send,) = client.handle(send.recipient, refusal, seconds(0.01))
    assert asked == [FIRST, SECOND, THIRD]


def test_peer_that_refuses_connections_is_replaced_at_once():
    client = new_client()
    assert ask(client).recipient == FIRST
    (send,) = client.peer_lost(FIRST, seconds(0.01))
    assert send.recipient == SECOND


def test_silent_holder_is_replaced_while_the_caller_waits():
    client = new_client()
    ask(client)
    recipients = []
    for step in range(1, 15):
        sent = effects_of(client.tick(seconds(step * 0.02)), SendMessage)
        recipients += [send.recipient for send in sent]
    assert recipients == [FIRST, SECOND]


def test_caller_waits_at_most_three_tenths_of_a_second():
    client = new_client()
    ask(client)
    assert not effects_of(client.tick(seconds(0.29)), TokenRefused)
    (refused,) = effects_of(client.tick(seconds(0.3)), TokenRefused)
    assert refused == TokenRefused("1", seconds(1))


def test_accounts_share_one_request_to_a_holder():
    """Guards against one message for each account and caller (control traffic)."""
    client = new_client()
    ask(client)
    for index, account in enumerate(["x", "y", "y", "z"]):
        assert not client.acquire(f"r{index}", account, seconds(0.005))
    (send,) = client.tick(seconds(0.02))
    demands = {d.account: d.waiting for d in send.message.demands}
    assert demands == {"x": 1, "y": 2, "z": 1}


def test_late_grant_is_given_back_unused():
    client = new_client()
    ask(client)
    client.tick(seconds(0.31))
    assert client.handle(FIRST, grant(1, 3), seconds(0.55)) == []
    (send,) = client.acquire("2", "x", seconds(0.56))
    settlements = list(send.message.settlements)
    for sent in effects_of(client.tick(seconds(0.65)), SendMessage):
        settlements += sent.message.settlements
    assert (1, "x", 0, 3) in settlements


def test_copies_and_grants_of_strangers_are_ignored():
    client = new_client()
    ask(client)
    client.acquire("2", "x", seconds(0.001))
    assert client.handle(SECOND, grant(1, 1), seconds(0.01)) == []
    assert client.handle(FIRST, grant(1, 1), seconds(0.01)) == [TokenGranted("1")]
    assert client.handle(FIRST, grant(1, 1), seconds(0.01)) == []
    other_run = grant(1, 1)._replace(incarnation="a0/0")
    assert client.handle(FIRST, other_run, seconds(0.01)) == []


def test_tokens_expire_by_the_sending_of_the_request():
    """Guards against tokens spent after the holder has refilled (invariant 7)."""
    client = new_client()
    ask(client)
    client.handle(FIRST, grant(1, 2, lifetime_ms=300), seconds(0.25))
    assert client.acquire("2", "x", seconds(0.3)) != [TokenGranted("2")]
