import socket
from datetime import timedelta

import pytest

from bulrushloom.core.exceptions import NoAnswer, NotSent
from bulrushloom.core.http import JsonClient
from tests.core.builders import http_response, scripted_server

TIMEOUT = timedelta(seconds=2)


def test_refused_connection_raises_not_sent():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = "{}:{}".format(*listener.getsockname())
    with pytest.raises(NotSent):
        JsonClient(address, "one/junction").call("POST", "/x", TIMEOUT, {})


@pytest.mark.parametrize(
    "response",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{}",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{",
        b"gibberish\r\n\r\n",
    ],
)
def test_incomplete_response_raises_no_answer(response):
    with scripted_server(response) as address:
        with pytest.raises(NoAnswer):
            JsonClient(address, "one/junction").call("POST", "/x", TIMEOUT, {})


def test_requests_are_not_retried_or_redirected():
    ok = http_response(200, b"{}")
    redirect = http_response(307, b"{}", "Location: /y\r\n")
    with scripted_server(b"", redirect, ok) as address:
        client = JsonClient(address, "one/junction")
        with pytest.raises(NoAnswer):
            client.call("POST", "/x", TIMEOUT, {})
        assert client.call("POST", "/x", TIMEOUT, {}).status == 307
        assert client.call("POST", "/x", TIMEOUT, {}).status == 200
        client.close()


def test_read_timeout_raises_no_answer():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = "{}:{}".format(*listener.getsockname())
        client = JsonClient(address, "one/junction")
        with pytest.raises(NoAnswer):
            client.call("GET", "/x", timedelta(milliseconds=50))
