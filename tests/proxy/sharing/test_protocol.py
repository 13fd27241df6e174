"""Frames and messages between owners and the instances that lease from them."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushloom.proxy.messages import (
    NO_POSITION,
    AnswerCode,
    Failure,
    LogPosition,
    ServerAnswer,
    TransactionState,
)
from bulrushloom.proxy.sharing.protocol import (
    MAX_FRAME_BYTES,
    FrameReader,
    PeerProtocolError,
    Query,
    answer_decoder,
    decode_answer,
    encode_answer,
    encode_frame,
    request_decoder,
)
from tests.proxy.builders import ms

ANSWERS = st.builds(
    ServerAnswer,
    st.lists(st.binary(max_size=50)).map(tuple),
    st.binary(max_size=50),
    st.none()
    | st.builds(
        Failure,
        st.sampled_from(AnswerCode),
        st.text(max_size=50),
        st.none() | st.integers(1, 600_000).map(ms),
    ),
    st.sampled_from(TransactionState),
    st.just(NO_POSITION)
    | st.builds(LogPosition, st.integers(0, 2**40), st.integers(0, 2**53)),
)


def read_frames(data, *cuts):
    reader = FrameReader()
    reader.max_bytes = MAX_FRAME_BYTES
    frames = []
    for start, end in zip((0, *cuts), (*cuts, len(data)), strict=True):
        reader.feed(data[start:end])
        frames += reader.frames()
    return frames


@given(ANSWERS)
def test_answers_pass_the_hop_unchanged(answer):
    # Guards against rows or proofs of a target that are changed on the way.
    (frame,) = read_frames(encode_answer(3, answer))
    assert decode_answer(answer_decoder.decode(frame)) == answer


@given(st.binary(), st.binary(), st.integers(0, 40))
def test_statements_pass_the_hop_unchanged_in_any_pieces(request_id, text, cut):
    # Guards against statements whose id or text is changed, also if the bytes arrive
    # in pieces.
    query = Query(5, request_id, text, (2, 7))
    data = encode_frame(query) * 2
    frames = read_frames(data, min(cut, len(data)))
    assert [request_decoder.decode(frame) for frame in frames] == [query, query]


def test_frame_over_the_limit_is_refused_before_it_is_buffered():
    # Guards against peers that make an instance buffer without bounds.
    reader = FrameReader()
    reader.feed((2**31).to_bytes(4, "big"))
    with pytest.raises(PeerProtocolError):
        list(reader.frames())
