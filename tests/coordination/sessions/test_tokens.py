import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushloom.coordination.sessions.base import ORIGIN, LogPosition
from bulrushloom.coordination.sessions.tokens import (
    MAX_GROUPS_PER_TOKEN,
    MAX_TOKEN_BYTES,
    SessionCodec,
    SessionToken,
)
from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.core.signing import Signer

CODEC = SessionCodec("fleet-secret")
positions = st.builds(LogPosition, st.integers(0, 2**20), st.integers(0, 2**40))
tables = st.dictionaries(st.sampled_from("abcdef"), positions)


def token_of(count):
    groups = {f"orders-{number}": LogPosition(1001, 5) for number in range(count)}
    return SessionToken("hotel-orders", groups)


@given(tables, tables)
@settings(derandomize=True, deadline=None)
def test_merge_keeps_the_higher_position_of_each_group(left, right):
    # Guards against a merge that loses a write of either session (invariant 1:
    # read-your-writes).
    merged = SessionToken("x", left).merge(SessionToken("x", right))
    for group in "abcdef":
        expected = max(left.get(group, ORIGIN), right.get(group, ORIGIN))
        assert merged.position(group) == expected


@given(tables)
@settings(derandomize=True, deadline=None)
def test_decode_returns_what_was_encoded(table):
    token = SessionToken("hotel-orders", table)
    decoded = CODEC.decode(CODEC.encode(token), "hotel-orders")
    assert decoded == token
    assert list(decoded.position_by_group) == list(table)


FORGED = Signer("another-secret", "session").dumps({"a": "hotel-orders", "g": []})
MALFORMED = [
    Signer("fleet-secret", "session").dumps(value)
    for value in (
        [],
        {"a": "hotel-orders"},
        {"a": "hotel-orders", "g": [["orders-1", -1, 2]]},
        {"a": "hotel-orders", "g": [["orders-1", 1]]},
        {"a": "hotel-orders", "g": [], "more": 1},
    )
]


@pytest.mark.parametrize(
    "text",
    ["", ".", "\ud800", "é.é", FORGED, CODEC.encode(token_of(1))[:-1], *MALFORMED],
)
def test_bad_token_is_refused(text):
    # Guards against forged positions and against an exception instead of a refusal.
    refusal = CODEC.decode(text, "hotel-orders")
    assert isinstance(refusal, Refusal)
    assert refusal.kind is ErrorKind.INVALID_SESSION


def test_oversized_token_is_refused_before_its_signature_is_computed():
    refusal = CODEC.decode("x" * (MAX_TOKEN_BYTES + 1), "hotel-orders")
    assert "exceeds" in refusal.message


def test_token_of_another_account_is_refused():
    # Guards against access to the positions of another account (invariant 4).
    refusal = CODEC.decode(CODEC.encode(token_of(2)), "dispatch")
    assert "another account" in refusal.message


def test_full_token_refuses_a_new_group_before_the_statement_runs():
    # Guards against a write whose position does not fit into the token.
    full = token_of(MAX_GROUPS_PER_TOKEN)
    assert isinstance(CODEC.encode(full), str)
    assert CODEC.check_capacity(full, "orders-0") is None
    assert CODEC.check_capacity(full, "stock-1").kind is ErrorKind.INVALID_SESSION
    assert isinstance(CODEC.encode(token_of(MAX_GROUPS_PER_TOKEN + 1)), Refusal)


def test_only_a_group_that_every_server_satisfies_is_dropped():
    # Guards against dropping a position that a lagging replica has not applied.
    full = token_of(MAX_GROUPS_PER_TOKEN)
    floors = {"orders-3": LogPosition(1001, 5), "orders-0": LogPosition(1001, 4)}
    assert CODEC.check_capacity(full, "stock-1", floors) is None
    text = CODEC.encode(full.advance("stock-1", LogPosition(1, 1)), floors)
    kept = CODEC.decode(text, "hotel-orders").position_by_group
    assert "orders-3" not in kept
    assert len(kept) == MAX_GROUPS_PER_TOKEN


def test_long_group_names_do_not_exceed_the_limit():
    names = {
        f"{'long-name-' * 9}{number}": LogPosition(1, number) for number in range(16)
    }
    answer = CODEC.encode(SessionToken("hotel-orders", names))
    assert isinstance(answer, Refusal) or len(answer) <= MAX_TOKEN_BYTES
