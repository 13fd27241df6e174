from datetime import timedelta

import pytest

from bulrushloom.databases.exceptions import (
    AnswerLost,
    RefusalReason,
    ServerUnreachable,
    StatementRefused,
)
from bulrushloom.databases.http import HttpDatabaseClient
from tests.core.builders import http_response, scripted_server


@pytest.mark.parametrize(
    "status, body",
    [
        (200, b"{}"),
        (200, b"[]"),
        (200, b'{"connection":1'),
        (409, b'{"refused":"a reason from the future"}'),
        (409, b"7"),
        (500, b"{}"),
        (503, b'"busy"'),
    ],
)
def test_invalid_response_raises_answer_lost(status, body):
    # Guards against reporting such a response as a refusal, which means that a write
    # has not run.
    with scripted_server(
        http_response(status, body), http_response(status, body)
    ) as address:
        server = HttpDatabaseClient(address, "one/junction", timedelta(seconds=2))
        with pytest.raises(AnswerLost):
            server.connect()
        with pytest.raises(AnswerLost):
            server.status()


def test_refusal_has_a_reason():
    body = b'{"refused":"term_taken","error":"term 3 is taken by one"}'
    with scripted_server(http_response(409, body)) as address:
        server = HttpDatabaseClient(address, "one/junction", timedelta(seconds=2))
        with pytest.raises(StatementRefused, match="taken by one") as caught:
            server.fence(3, "two")
        assert caught.value.reason is RefusalReason.TERM_TAKEN


def test_refused_connection_raises_server_unreachable():
    server = HttpDatabaseClient("127.0.0.1:1", "one/junction")
    with pytest.raises(ServerUnreachable):
        server.connect()


def test_unknown_connection_is_refused_without_a_request():
    server = HttpDatabaseClient("127.0.0.1:1", "one/junction")
    with pytest.raises(StatementRefused) as caught:
        server.begin("gone", 1)
    assert caught.value.reason is RefusalReason.NO_CONNECTION
