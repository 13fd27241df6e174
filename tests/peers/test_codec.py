import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.core.sentinels import Missing
from bulrushloom.instance.messages import GroupView, ServerView, StatementAnswer
from bulrushloom.peers.codec import MessageCodec, join_batch
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


def test_broken_message_does_not_lose_the_rest_of_the_batch():
    body = join_batch([b'["GroupViewRequest",[7]]', CODEC.encode(group("g"))])
    broken, good = CODEC.decode_batch(body)
    assert isinstance(broken, Missing)
    assert "GroupViewRequest" in broken.reason
    assert good == group("g")


@pytest.mark.parametrize("body", [b"", b"{}", b"[", b"\xff", b"[" * 5000])
def test_broken_batch_has_a_reason(body):
    assert CODEC.decode_batch(body).reason


@settings(derandomize=True, deadline=None)
@given(st.sampled_from([c.__name__ for c in CLASSES]), JSON)
def test_any_json_decodes_or_has_a_reason(name, fields):
    body = orjson.dumps([[name, fields], fields])
    for message in CODEC.decode_batch(body):
        assert isinstance(message, (tuple, Missing))


def test_unregistered_class_is_refused():
    with pytest.raises(TypeError, match="LogPosition is not a registered"):
        CODEC.encode(LogPosition(1, 2))
