import zlib

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.core.sentinels import Missing
from bulrushloom.instance.messages import GroupView, ServerView, StatementAnswer
from bulrushloom.peers.codec import (
    MAX_UNPACKED_BYTES,
    PACKED_PREFIX,
    MessageCodec,
    join_batch,
)
from tests.peers.builders import CLASSES, group

CODEC = MessageCodec(CLASSES)
VIEW = GroupView("g", 3, "a", [ServerView("a", True, 3, LogPosition(3, 9), -1)])
JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**63) | st.text(),
    lambda inner: st.lists(inner, max_size=3),
    max_leaves=8,
)


def test_nested_messages_keep_their_types():
    answer = StatementAnswer(
        "r",
        ["a"],
        [[1, None, "x", 2.5]],
        1,
        LogPosition(1, 2),
        "replica",
        "",
        "",
        False,
    )
    batch = CODEC.decode_batch(join_batch(map(CODEC.encode, [VIEW, answer])))
    assert batch == [VIEW, answer]
    assert isinstance(batch[0].servers[0].applied, LogPosition)


def test_invalid_message_does_not_affect_the_rest_of_the_batch():
    body = join_batch([b'["GroupViewRequest",[7]]', CODEC.encode(group("g"))])
    invalid, valid = CODEC.decode_batch(body)
    assert isinstance(invalid, Missing)
    assert "GroupViewRequest" in invalid.reason
    assert valid == group("g")


@pytest.mark.parametrize("body", [b"", b"{}", b"[", b"\xff", b"[" * 5000])
def test_invalid_batch_has_a_reason(body):
    assert CODEC.decode_batch(body).reason


@settings(derandomize=True, deadline=None)
@given(st.sampled_from([c.__name__ for c in CLASSES]), JSON)
def test_any_json_decodes_or_has_a_reason(name, fields):
    body = orjson.dumps([[name, fields], fields])
    for message in CODEC.decode_batch(body):
        assert isinstance(message, (tuple, Missing))


def test_batches_of_packed_classes_are_compressed():
    codec = MessageCodec(CLASSES, packed=[GroupView])
    for messages, is_compressed in (
        ([VIEW], False),
        ([VIEW] * 10, True),
        ([group("g")] * 10, False),
    ):
        encoded = [codec.encode(message) for message in messages]
        body = codec.encode_batch(messages, encoded)
        assert (len(body) < len(join_batch(encoded)) / 2) == is_compressed
        assert codec.decode_batch(body) == messages


def test_oversized_or_truncated_compressed_batch_is_invalid():
    """Guards against decompression bombs and truncated batches."""
    deflater = zlib.compressobj(wbits=-zlib.MAX_WBITS)
    expanding_body = (
        deflater.compress(b" " * (MAX_UNPACKED_BYTES + 1)) + deflater.flush()
    )
    assert "too long" in CODEC.decode_batch(PACKED_PREFIX + expanding_body).reason
    codec = MessageCodec(CLASSES, packed=[GroupView])
    compressed = codec.encode_batch([VIEW] * 10, [codec.encode(VIEW)] * 10)
    for length in range(len(compressed)):
        assert codec.decode_batch(compressed[:length]).reason


def test_unregistered_class_is_refused():
    with pytest.raises(TypeError, match="LogPosition is not a registered"):
        CODEC.encode(LogPosition(1, 2))
