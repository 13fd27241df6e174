"""Election of share holders; an error violates invariant 7 or stops all grants."""

import pytest

from bulrushloom.coordination.base import (
    KeySwapped,
    KeyValue,
    ReadKey,
    SendMessage,
    StoreFailed,
    SwapKey,
    select_effects,
)
from bulrushloom.coordination.limits.base import (
    AccountDemand,
    AccountLimit,
    HolderAck,
    HolderHeartbeat,
    Member,
    SealAnswer,
    SealRequest,
    Settlement,
    ShareGrant,
    ShareRefused,
    ShareRequest,
    TokenDemand,
    TokenLoanRequest,
)
from bulrushloom.coordination.limits.holder import ShareHolder
from tests.coordination.limits.builders import Fleet, Network, seconds

KEY = "shares/a/0"
SELF = Member("a0", "a0/1")
OTHER = Member("a1", "a1/1")
OLD = {"epoch": 4, "holder": list(OTHER), "electorate": [list(SELF), list(OTHER)]}


def candidate(members=(SELF,)):
    """Return a share holder that has just requested the stored record."""
    holder = ShareHolder("a0", "a0/1", "a")
    holder.update_instances(members, {}, seconds(0))
    holder.update_accounts({"x": AccountLimit(10, 10)}, 1, seconds(0))
    assert holder.tick(seconds(3)) == [ReadKey(KEY)]
    return holder


def handle_stored_value(holder, value, version, now):
    effects = holder.handle("a0", KeyValue(KEY, version, value), now)
    return select_effects(effects, SwapKey)


def test_first_holder_of_a_domain_starts_at_once():
    holder = candidate()
    (swap,) = handle_stored_value(holder, None, 0, seconds(3))
    assert swap.value["epoch"] == 1
    holder.handle("a0", KeySwapped(KEY, True, 1), seconds(3))
    assert holder.state == "holding"


def test_record_is_read_back_after_a_lost_swap_answer():
    holder = candidate()
    (swap,) = handle_stored_value(holder, None, 0, seconds(3))
    holder.handle("a0", StoreFailed(KEY, "lost"), seconds(3.1))
    assert holder.state == "checking_claim"
    assert holder.tick(seconds(3.2)) == []
    assert holder.tick(seconds(3.7)) == [ReadKey(KEY)]
    holder.handle("a0", KeyValue(KEY, 1, swap.value), seconds(3.8))
    holder.tick(seconds(3.8))
    assert holder.state == "holding"


def test_swap_without_effect_is_repeated():
    holder = candidate()
    (swap,) = handle_stored_value(holder, None, 0, seconds(3))
    holder.handle("a0", StoreFailed(KEY, "lost"), seconds(3.1))
    holder.tick(seconds(3.7))
    assert handle_stored_value(holder, None, 0, seconds(3.8)) == [swap]


def test_candidate_that_loses_a_race_stops_claiming():
    holder = candidate()
    handle_stored_value(holder, None, 0, seconds(3))
    effects = holder.handle("a0", KeySwapped(KEY, False, 1), seconds(3.1))
    assert effects == [ReadKey(KEY)]
    holder.handle("a0", KeyValue(KEY, 1, OLD), seconds(3.2))
    assert holder.state == "watching"


def test_malformed_record_does_not_count_as_absent():
    holder = candidate()
    assert handle_stored_value(holder, {"epoch": "?"}, 7, seconds(3)) == []
    assert holder.state == "watching"


def test_successor_waits_for_a_majority_of_seals():
    holder = candidate([SELF, OTHER])
    assert handle_stored_value(holder, OLD, 9, seconds(3)) == []
    stranger = SealAnswer("a", 0, 4, "a1/2", True, 0)
    assert holder.handle("a1", stranger, seconds(3)) == []
    answer = SealAnswer("a", 0, 4, "a1/1", True, 400)
    (swap,) = select_effects(holder.handle("a1", answer, seconds(3.1)), SwapKey)
    assert (swap.expected_version, swap.value["epoch"]) == (9, 5)


@pytest.mark.parametrize(("age_ms", "ready"), [(0, 4.0), (400, 3.6), (2000, 3.0)])
def test_successor_waits_until_old_acknowledgements_have_expired(age_ms, ready):
    holder = candidate([SELF, OTHER])
    handle_stored_value(holder, OLD, 9, seconds(3))
    answer = SealAnswer("a", 0, 4, "a1/1", True, age_ms)
    holder.handle("a1", answer, seconds(3))
    holder.handle("a0", KeySwapped(KEY, True, 10), seconds(3))
    if ready > 3:
        holder.tick(seconds(ready - 0.01))
        assert holder.state == "waiting"
    holder.tick(seconds(ready))
    assert holder.state == "holding"


def test_member_with_a_recent_heartbeat_refuses_to_seal():
    """Guards against an isolated candidate that stops a healthy holder."""
    holder = ShareHolder("a0", "a0/1", "a")
    holder.handle("a1", HolderHeartbeat("a", 0, 4, 1), seconds(5))
    refused = holder.handle("a2", SealRequest("a", 0, 4), seconds(6))
    assert refused == [SendMessage("a2", SealAnswer("a", 0, 4, "a0/1", False, 1000))]
    (sealed,) = holder.handle("a2", SealRequest("a", 0, 4), seconds(7))
    assert sealed.message.sealed
    (late,) = holder.handle("a1", HolderHeartbeat("a", 0, 4, 2), seconds(7.1))
    assert late.message == HolderAck("a", 0, 4, 2, "a0/1", False)


def holder_with_lease():
    """Return a holder whose electorate is itself and another instance."""
    holder = candidate([SELF, OTHER])
    handle_stored_value(holder, None, 0, seconds(3))
    holder.handle("a0", KeySwapped(KEY, True, 1), seconds(3))
    holder.handle("a1", HolderAck("a", 0, 1, 1, "a1/1", True), seconds(3.01))
    return holder


def request_token(holder, now, sequence=1):
    request = ShareRequest("a", 0, "e/1", sequence, [AccountDemand("x", 1, 0)], [])
    return holder.handle("e", request, now)[0].message


def test_holder_grants_only_while_its_heartbeat_is_confirmed():
    holder = holder_with_lease()
    grant = request_token(holder, seconds(3.5))
    assert isinstance(grant, ShareGrant)
    assert grant.grants[0].tokens == 1
    # Grants expire with the lease, which starts when the heartbeat is sent.
    assert grant.grants[0].lifetime_ms == 500
    assert isinstance(request_token(holder, seconds(4.0), 2), ShareRefused)


def test_confirmation_of_another_incarnation_does_not_count():
    holder = holder_with_lease()
    holder.tick(seconds(3.9))
    holder.handle("a1", HolderAck("a", 0, 1, 2, "a1/2", True), seconds(3.91))
    assert isinstance(request_token(holder, seconds(4.0)), ShareRefused)


def test_repeated_request_is_granted_once():
    holder = holder_with_lease()
    assert request_token(holder, seconds(3.6)).grants[0].tokens == 1
    assert request_token(holder, seconds(3.6)).grants == []


def test_entry_and_borrower_of_an_instance_have_separate_sequences():
    """Guards against a request that is ignored as a duplicate of a loan request."""
    holder = holder_with_lease()
    now = seconds(3.6)
    loan = TokenLoanRequest("b", 0, "e/1", 1, [TokenDemand("x", 2.0)], [])
    assert holder.handle("e", loan, now)[0].message.loans[0].tokens == 2.0
    assert request_token(holder, now).grants[0].tokens == 1
    spent = [Settlement(1, "x", 1.0, 0.0)]
    holder.handle("e", ShareRequest("a", 0, "e/1", 2, [], spent), now)
    assert holder._issuer.levels(now)[0].outstanding == 2.0


def test_changed_electorate_needs_both_majorities_until_it_is_written():
    """Guards against a holder that one electorate confirms after the other sealed."""
    holder = holder_with_lease()
    new = Member("a2", "a2/1")
    holder.update_instances([SELF, new], {}, seconds(3.1))
    holder.tick(seconds(3.2))
    holder.handle("a2", HolderAck("a", 0, 1, 2, "a2/1", True), seconds(3.21))
    effects = holder.tick(seconds(3.5))
    (swap,) = select_effects(effects, SwapKey)
    assert swap.value["electorate"] == [list(m) for m in proposed_electorate(holder)]
    holder.handle("a0", StoreFailed(KEY, "lost"), seconds(3.6))
    # The new electorate confirms; the old one last confirmed a heartbeat of 3.0 s.
    assert isinstance(request_token(holder, seconds(3.9)), ShareGrant)
    assert isinstance(request_token(holder, seconds(4.05), 2), ShareRefused)
    holder.tick(seconds(4.1))
    holder.handle("a0", KeyValue(KEY, 2, swap.value), seconds(4.11))
    assert holder.state == "holding"
    assert isinstance(request_token(holder, seconds(4.12), 3), ShareGrant)


def test_new_electorate_must_have_confirmed_the_tokens_granted_so_far():
    """Guards against a successor that takes over before granted tokens expired.

    The new electorate, which it asks, knows only of an older confirmation.
    """
    holder = holder_with_lease()
    holder.update_instances([SELF, Member("a2", "a2/1")], {}, seconds(3.01))
    holder.handle("a2", HolderAck("a", 0, 1, 1, "a2/1", True), seconds(3.02))
    holder.tick(seconds(3.2))
    holder.handle("a1", HolderAck("a", 0, 1, 2, "a1/1", True), seconds(3.21))
    assert isinstance(request_token(holder, seconds(3.25)), ShareGrant)
    holder.tick(seconds(3.26))
    assert not select_effects(holder.tick(seconds(3.5)), SwapKey)
    holder.handle("a2", HolderAck("a", 0, 1, 2, "a2/1", True), seconds(3.51))
    assert select_effects(holder.tick(seconds(3.52)), SwapKey)


def proposed_electorate(holder):
    return holder._election.holder_lease.proposed


def test_domain_recovers_after_a_majority_of_its_electorate_is_gone():
    fleet = Fleet({"a": 3}, {"x": AccountLimit(10, 10)})
    fleet.run(5)
    for number, name in enumerate(list(fleet.nodes)):
        fleet.kill(name)
        fleet.start(f"a{number + 7}", "a")
    fleet.run(10)
    assert fleet.holders("a") == []
    fleet.run(30)
    assert len(fleet.holders("a")) == 1


def test_domain_recovers_sooner_after_its_instances_restarted():
    fleet = Fleet({"a": 3}, {"x": AccountLimit(10, 10)})
    fleet.run(5)
    for name in fleet.nodes:
        fleet.restart(name)
    fleet.run(2)
    assert fleet.holders("a") == []
    fleet.run(8)
    assert len(fleet.holders("a")) == 1


def test_holder_is_elected_despite_lost_store_answers():
    fleet = Fleet({"a": 4}, {"x": AccountLimit(10, 10)}, seed=3)
    fleet.network = Network(store_lost=0.6)
    fleet.run(20)
    assert len(fleet.holders("a")) == 1
    first = fleet.holders("a")[0]
    fleet.kill(first)
    fleet.run(20)
    assert len(fleet.holders("a")) == 1
    assert fleet.holders("a") != [first]


def test_steady_state_needs_no_store_call():
    fleet = Fleet({"a": 5, "b": 5}, {"x": AccountLimit(10, 10)})
    fleet.run(5)
    calls = fleet.store_calls
    fleet.run(30)
    assert fleet.store_calls == calls
