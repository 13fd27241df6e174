"""TCP streams and HTTP on loopback addresses."""

import socket
from contextlib import closing
from datetime import timedelta

import pytest

from bulrushloom.runtime.http import HttpClient, HttpError, HttpServer
from bulrushloom.runtime.loop import BootClock, Loop
from bulrushloom.runtime.streams import (
    MAX_UNSENT_BYTES,
    LineTooLong,
    Listener,
    TcpNetwork,
    split_address,
)
from tests.runtime.builders import running_loop, wait_for, wait_until

SECOND = timedelta(seconds=1)


@pytest.fixture
def loop():
    with running_loop() as loop:
        yield loop


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def connected_pair(loop):
    accepted = []
    port = free_port()
    listener = Listener(loop, f"127.0.0.1:{port}", accepted.append)
    client_end = wait_for(loop, TcpNetwork(loop).connect(f"127.0.0.1:{port}", SECOND))
    wait_until(loop, lambda: accepted)
    listener.close()
    return client_end, accepted[0]


def test_lines_are_read_complete_and_in_order(loop):
    client_end, server_end = connected_pair(loop)
    client_end.write(b"first\r\nsec")
    client_end.write(b"ond\r\nthird")
    wait_until(loop, lambda: server_end.unread_bytes >= 18)
    assert [server_end.read_line(100) for _ in range(3)] == [b"first", b"second", None]


def test_only_both_characters_of_a_line_end_end_a_line(loop):
    # Guards against a second line that its sender wrote as a part of the first one.
    client_end, server_end = connected_pair(loop)
    for part in (b"first\nfi", b"rst\rfirst\r", b"\nsecond\n\r", b"\r\n\n"):
        client_end.write(part)
        wait_until(loop, lambda part=part: server_end._received.endswith(part))
        if part == b"rst\rfirst\r":
            assert server_end.read_line(100) is None
    lines = [server_end.read_line(100) for _ in range(3)]
    assert lines == [b"first\nfirst\rfirst", b"second\n\r", None]
    assert server_end.unread_bytes == 1
    client_end.close()
    wait_until(loop, lambda: server_end.at_eof)
    server_end.close()


def test_line_beyond_the_limit_is_an_error(loop):
    client_end, server_end = connected_pair(loop)
    client_end.write(b"x" * 200)
    wait_until(loop, lambda: server_end.unread_bytes >= 200)
    with pytest.raises(LineTooLong):
        server_end.read_line(100)
    client_end.close()
    server_end.close()


def test_connection_of_a_peer_that_does_not_read_is_closed(loop):
    # Guards against a peer that exhausts the memory by not reading.
    client_end, server_end = connected_pair(loop)
    for _ in range(200):
        client_end.write(b"x" * (MAX_UNSENT_BYTES // 20))
    assert not client_end.is_open
    assert client_end.closed_reason == "the peer does not read"
    server_end.close()


def test_refused_connection_fails_at_once(loop):
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    opening = TcpNetwork(loop).connect(f"127.0.0.1:{port}", SECOND)
    with pytest.raises(ConnectionRefusedError):
        wait_for(loop, opening)


@pytest.mark.parametrize("address", ["", "host", "host:", ":1", "host:x", "h:70000"])
def test_malformed_address_is_an_error(address):
    with pytest.raises(ValueError):
        split_address(address)


@pytest.fixture
def server(loop):
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{sock.getsockname()[1]}"
    requests = []

    def handle(method, path, body):
        requests.append((method, path, body))
        return 200, {}, b"answer to " + body

    server = HttpServer(loop, address, handle)
    server.address, server.requests = address, requests
    yield server
    server.close()


def test_requests_share_a_connection_and_keep_their_order(loop, server):
    with closing(HttpClient(loop, server.address)) as client:
        bodies = [b"1", b"2", b"3"]
        answers = [client.request("POST", "/x", body, SECOND) for body in bodies]
        results = [wait_for(loop, answer).body for answer in answers]
    assert results == [b"answer to 1", b"answer to 2", b"answer to 3"]


def test_request_without_a_response_fails_within_the_limit(loop):
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        address = f"127.0.0.1:{sock.getsockname()[1]}"
        with closing(HttpClient(loop, address)) as client:
            limit = timedelta(milliseconds=100)
            answer = client.request("GET", "/", b"", limit)
            with pytest.raises(HttpError):
                wait_for(loop, answer)


@pytest.mark.parametrize("max_duration, is_complete", [(3, True), (0.6, False)])
def test_response_that_is_arriving_may_take_longer(loop, max_duration, is_complete):
    # Guards against a large answer that is given up and asked for again, because the
    # network of its sender is slow.
    parts = [b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", b"1", b"2", b"3", b"4"]

    def send_parts(stream):
        for number, part in enumerate(parts):
            loop.call_later(SECOND * 0.2 * number, lambda part=part: stream.write(part))

    listener = Listener(loop, f"127.0.0.1:{free_port()}", send_parts)
    with closing(HttpClient(loop, f"127.0.0.1:{listener.port}")) as client:
        answer = client.request(
            "GET", "/", b"", SECOND / 2, max_duration=SECOND * max_duration
        )
        if is_complete:
            assert wait_for(loop, answer).body == b"1234"
        else:
            with pytest.raises(HttpError):
                wait_for(loop, answer)
    listener.close()


@pytest.mark.parametrize(
    "data", [b"\x00\x01\x02\r\n\r\n", b"GET\r\n\r\n", b"GET / HTTP/1.1\r\nHost" * 9000]
)
def test_malformed_request_closes_only_its_connection(loop, server, data):
    client_end = wait_for(loop, TcpNetwork(loop).connect(server.address, SECOND))
    client_end.write(data)
    wait_until(loop, lambda: client_end.at_eof)
    client_end.close()
    with closing(HttpClient(loop, server.address)) as client:
        answer = wait_for(loop, client.request("GET", "/", b"", SECOND))
    assert answer.status == 200


@pytest.fixture
def faulty_loop():
    """Yield a loop that records errors instead of failing the test."""
    errors = []
    loop = Loop(BootClock(), errors.append)
    loop.errors = errors
    yield loop
    loop.close()


def raise_error(*_):
    raise KeyError("unexpected")


def test_error_of_a_reader_ends_only_its_connection(faulty_loop):
    # Guards against a malformed message that ends the whole process.
    loop = faulty_loop
    client_end, server_end = connected_pair(loop)
    other_client_end, other_server_end = connected_pair(loop)
    server_end.on_data(raise_error)
    client_end.write(b"x")
    other_client_end.write(b"y")
    wait_until(loop, lambda: not server_end.is_open and other_server_end.unread_bytes)
    wait_until(loop, lambda: client_end.at_eof)
    assert other_server_end.is_open
    assert loop.errors
    for stream in (client_end, other_client_end, other_server_end):
        stream.close()


def test_error_of_accept_closes_the_connection(faulty_loop):
    loop = faulty_loop
    listener = Listener(loop, f"127.0.0.1:{free_port()}", raise_error)
    connecting = TcpNetwork(loop).connect(f"127.0.0.1:{listener.port}", SECOND)
    client_end = wait_for(loop, connecting)
    wait_until(loop, lambda: client_end.at_eof)
    assert [type(error) for error in loop.errors] == [KeyError]
    client_end.close()
    listener.close()


def test_error_of_a_handler_is_answered_with_status_500(faulty_loop):
    loop = faulty_loop
    address = f"127.0.0.1:{free_port()}"
    server = HttpServer(loop, address, raise_error)
    client = HttpClient(loop, address)
    response = wait_for(loop, client.request("GET", "/", b"", SECOND))
    assert response.status == 500
    client.close()
    server.close()


def test_timeout_of_a_request_includes_the_wait_for_earlier_ones(loop):
    # Guards against calls that wait behind a slow one for longer than their timeout.
    address = f"127.0.0.1:{free_port()}"
    accepted = []
    listener = Listener(loop, address, accepted.append)
    client = HttpClient(loop, address)
    first = client.request("GET", "/slow", b"", SECOND)
    started_at = loop.now()
    second = client.request("GET", "/queued", b"", SECOND / 10)
    with pytest.raises(HttpError, match="not sent"):
        wait_for(loop, second)
    assert loop.now() - started_at < SECOND / 2
    with pytest.raises(HttpError):
        wait_for(loop, first)
    client.close()
    listener.close()
