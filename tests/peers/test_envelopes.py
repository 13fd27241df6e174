from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushloom.core.clock import ManualClock
from bulrushloom.peers.envelopes import (
    REPLAY_WINDOW_BATCHES,
    Envelope,
    EnvelopeChecker,
    calendar_milliseconds,
    from_headers,
    to_headers,
)
from tests.peers.builders import SECRET


def envelope(clock, sequence=1, **changes):
    sent = calendar_milliseconds(clock)
    return Envelope("a", "d", "a-1", "127.0.0.1:1", "b", sequence, sent)._replace(
        **changes
    )


def check(checker, item, secret=SECRET, body=b"[]"):
    return checker.check(item, item.signature(secret, b"[]"), body)


def test_headers_round_trip():
    item = envelope(ManualClock())
    signature = item.signature(SECRET, b"")
    lines = to_headers(item, signature).encode().splitlines()
    headers = dict(line.split(b": ") for line in lines)
    assert from_headers(headers) == (item, signature)
    for name in headers:
        assert from_headers(headers | {name: b""}).reason
    for text in (
        b"a d a-1 h:1 b 1 x",
        b"a d a-1 h:1 b 1",
        b"a d a-1 h:1 b 1 2 3",
        b"a  d e h:1 b 1 2",
    ):
        assert from_headers(headers | {b"X-Peer-Envelope": text}).reason
    assert from_headers(headers | {b"X-Peer-Signature": b"0" * 63}).reason


def test_forged_batches_are_refused_without_changing_the_replay_window():
    clock = ManualClock()
    checker = EnvelopeChecker("b", SECRET, clock)
    item = envelope(clock)
    assert check(checker, item, secret="other") == "wrong signature"
    assert check(checker, item, body=b"[1]") == "wrong signature"
    assert check(checker, envelope(clock, recipient="c")) == "another recipient"
    assert check(checker, item) == ""


def test_signature_covers_every_field():
    item = envelope(ManualClock())
    signatures = {item.signature(SECRET, b"")}
    for field, value in item._asdict().items():
        changed = item._replace(**{field: value + type(value)(1)})
        signatures.add(changed.signature(SECRET, b""))
    assert len(signatures) == len(item) + 1


def test_batches_from_the_past_or_future_are_refused():
    clock = ManualClock()
    checker = EnvelopeChecker("b", SECRET, clock)
    item = envelope(clock)
    future = envelope(clock, sent_ms=item.sent_ms + 30_001)
    assert "future" in check(checker, future)
    clock.advance(timedelta(milliseconds=30_001))
    assert "too long ago" in check(checker, item)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(1, 2 * REPLAY_WINDOW_BATCHES), max_size=60))
def test_no_sequence_number_is_accepted_twice(sequences):
    clock = ManualClock()
    checker = EnvelopeChecker("b", SECRET, clock)
    accepted = [n for n in sequences if not check(checker, envelope(clock, n))]
    assert len(accepted) == len(set(accepted))
    highest = 0
    for number in sequences:
        if number > highest:
            assert number in accepted, "a higher number is always accepted"
        highest = max(highest, number)


def test_new_incarnation_has_its_own_sequence():
    clock = ManualClock()
    checker = EnvelopeChecker("b", SECRET, clock)
    assert check(checker, envelope(clock, 5)) == ""
    assert check(checker, envelope(clock, 5)) == "repeated sequence number"
    assert check(checker, envelope(clock, 5, incarnation="a-2")) == ""
