from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushloom.core.errors import Refusal
from bulrushloom.core.requests import RequestBuffer, RequestLimits
from tests.gateway.builders import request_bytes

PIECES = [
    b"POST /v1/query HTTP/1.1",
    b"\r\n",
    b"\r\n\r\n",
    b"\n",
    b"Content-Length: 3",
    b"Content-Length: -3",
    b"Transfer-Encoding: chunked",
    b"abc",
    b": ",
    b"\x00",
    b"\xff",
]


@settings(derandomize=True, deadline=None)
@given(st.lists(st.sampled_from(PIECES) | st.binary(max_size=6), max_size=20))
def test_any_input_is_incomplete_complete_or_refused(pieces):
    whole, parts = RequestBuffer(RequestLimits()), RequestBuffer(RequestLimits())
    whole.append(b"".join(pieces))
    outcomes = []
    for piece in pieces:
        parts.append(piece)
        outcomes.append(parts.parse_next())
        if isinstance(outcomes[-1], Refusal) or outcomes[-1].complete:
            break
    decided = outcomes[-1] if outcomes else None
    if isinstance(decided, Refusal):
        assert isinstance(whole.parse_next(), Refusal), "splitting must not matter"
    elif decided is not None and decided.complete:
        assert whole.parse_next().complete


@settings(derandomize=True, deadline=None)
@given(st.integers(1, 200), st.integers(1, 5))
def test_requests_are_cut_apart_wherever_the_input_is_split(step, count):
    buffer = RequestBuffer(RequestLimits())
    data = request_bytes() * count
    bodies = []
    for start in range(0, len(data), step):
        buffer.append(data[start : start + step])
        while buffer.parse_next().complete:
            bodies.append(buffer.current_request().body)
            buffer.discard_request()
    expected = request_bytes().partition(b"\r\n\r\n")[2]
    assert bodies == [expected] * count
