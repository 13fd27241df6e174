"""Codec of the statement protocol."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushloom.core.sentinels import Missing
from bulrushloom.platform import wire
from bulrushloom.proxy.messages import (
    NO_POSITION,
    AnswerCode,
    DisconnectRequest,
    Failure,
    LogPosition,
    Malformed,
    ServerRole,
    StartRequest,
    Statement,
    StatementKind,
    TransactionState,
)


@pytest.mark.parametrize(
    "line, kind, name, arguments",
    [
        (b"QUERY x1 READ 1a4", StatementKind.READ, b"1a4", b""),
        (b"QUERY x1 WRITE 1a4 some data", StatementKind.WRITE, b"1a4", b"some data"),
        (b"QUERY x1 EXEC s1 1a4 xk qp", StatementKind.EXECUTE, b"s1", b"1a4 xk qp"),
        (b"QUERY x1 SET zone a b", StatementKind.SET_VALUE, b"zone", b"a b"),
        (b"QUERY x1 DEALLOC s1", StatementKind.DEALLOCATE, b"s1", b""),
        (b"QUERY x1 BEGIN", StatementKind.BEGIN, b"", b""),
        (b"QUERY x1 BEGIN READ", StatementKind.BEGIN_READ_ONLY, b"", b""),
        (b"QUERY x1 COMMIT", StatementKind.COMMIT, b"", b""),
    ],
)
def test_statements_are_decoded(line, kind, name, arguments):
    statement = wire.decode_client_line(line)
    assert isinstance(statement, Statement)
    assert (statement.kind, statement.name) == (kind, name)
    assert statement.arguments == arguments
    assert statement.text == line.removeprefix(b"QUERY x1 ")


def test_other_messages_are_decoded():
    start = wire.decode_client_line(b"START lepu270 u3f1")
    assert start == StartRequest("lepu270", "u3f1")
    assert wire.decode_client_line(b"START open") == StartRequest("open", "")
    assert wire.decode_client_line(b"BYE") == DisconnectRequest()


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"QUERY",
        b"QUERY x",
        b"QUERY - READ 1",
        b"QUERY x READ",
        b"QUERY x AFTER 1.2 READ 1",
        b"QUERY x PREPARE s BOTH q",
        b"QUERY x PREPARE s READ",
        b"START \xff\xfe key",
    ],
)
def test_invalid_message_is_malformed(line):
    # Guards against fields that only the proxy may send, such as a log position.
    assert isinstance(wire.decode_client_line(line), Malformed)


@given(st.binary(max_size=100))
def test_any_line_is_decoded_without_an_exception(line):
    wire.decode_client_line(line)


def test_statement_for_a_server_contains_the_required_position():
    assert (
        wire.encode_query(b"x1", b"READ 1", LogPosition(3, 1207))
        == b"QUERY x1 AFTER 3.1207 READ 1\r\n"
    )
    assert wire.encode_query(b"x1", b"READ 1") == b"QUERY x1 READ 1\r\n"


def test_refusal_contains_the_retry_delay():
    failure = Failure(AnswerCode.NOT_RUN, "above the rate", timedelta(milliseconds=80))
    encoded = wire.encode_failure(failure)
    assert encoded == b"ERR BUSY above the rate; retry after 80 ms\r\n"


def test_ready_message_is_decoded():
    assert wire.decode_ready(b"E 3.9") == (TransactionState.FAILED, LogPosition(3, 9))
    assert wire.decode_ready(b"I -") == (TransactionState.IDLE, NO_POSITION)
    huge = b"9" * 5000
    for broken in (b"", b"X -", b"I 3", b"I 3.x", b"I", b"I 1." + huge):
        with pytest.raises(wire.ProtocolError):
            wire.decode_ready(broken)


def test_every_code_is_decoded_and_unknown_ones_as_failed():
    for word, code in wire.CODE_BY_WORD.items():
        assert wire.decode_failure(word + b" text") == Failure(code, "text")
    assert wire.decode_failure(b"NEWCODE text").code is AnswerCode.FAILED


def test_status_is_decoded():
    status = wire.decode_status(b"ROW replica 3 3.1209 4 12 2 17")
    assert status.role is ServerRole.REPLICA
    assert (status.term, status.received) == (3, LogPosition(3, 1209))
    assert (status.paused_term, status.connections) == (4, 17)
    for broken in (
        b"ROW",
        b"ROW leader 3 3.1 0 0 0 0",
        b"ROW replica x 3.1 0 0 0 0",
        b"ROW replica inf 3.1 0 0 0 0",
        b"ROW replica 3 3.1 0 1e300 0 0",
    ):
        with pytest.raises(wire.ProtocolError):
            wire.decode_status(broken)


SERVER_FIELDS = st.lists(
    st.sampled_from([b"replica", b"primary", b"I", b"T", b"-", b"1.2", b"inf", b"nan"])
    | st.integers().map(lambda number: str(number).encode())
    | st.binary(max_size=20)
).map(b" ".join)


@given(SERVER_FIELDS, st.sampled_from([wire.decode_ready, wire.decode_status]))
def test_any_answer_of_a_server_is_decoded_or_a_protocol_error(rest, decode):
    # Guards against an answer whose error ends more than its connection.
    try:
        decode(rest)
    except wire.ProtocolError:
        return


def test_missing_position_is_encoded_as_a_dash():
    assert not isinstance(wire.decode_position(b"3.4"), Missing)
    assert wire.encode_ready(TransactionState.IDLE, NO_POSITION) == b"READY I -\r\n"
