"""Streams and HTTP servers whose clients do not read, or send too much."""

import socket
from contextlib import ExitStack, closing
from datetime import timedelta

import pytest

from bulrushloom.proxy.clients.session_bounds import MAX_READER_SILENCE
from bulrushloom.runtime.buffers import BufferAccount
from bulrushloom.runtime.http import HttpServer, HttpServerLimits
from bulrushloom.runtime.streams import MAX_UNREAD_BYTES, Listener, TcpStream
from tests.runtime.builders import running_loop, wait_until

SECOND = timedelta(seconds=1)
# More than the socket buffers of both sides hold.
LARGE_ANSWER = 12_000_000
GET = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.fixture
def loop():
    with running_loop() as loop:
        yield loop


@pytest.fixture
def pair(loop):
    with ExitStack() as stack:
        near, far = socket.socketpair()
        stack.callback(far.close)
        for sock in (near, far):
            sock.setblocking(False)
        stream = TcpStream(loop, near)
        stack.callback(stream.close)
        yield stream, far


class RecordedAccount(BufferAccount):
    def __init__(self):
        self.sizes = []
        self.allowance = 10

    def set_buffered(self, size):
        self.sizes.append(size)

    def receivable(self):
        return self.allowance


def run(loop, seconds=0.1):
    end = loop.now() + SECOND * seconds
    while loop.now() < end:
        loop.run_once(SECOND / 100)


def send_all(sock, data):
    """Send as much as the socket accepts and return its size."""
    sent = 0
    while sent < len(data):
        try:
            sent += sock.send(data[sent : sent + 65_536])
        except BlockingIOError:
            break
    return sent


def test_account_limits_and_pauses_the_reading(loop, pair):
    stream, far = pair
    account = RecordedAccount()
    stream.limit_memory(account)
    far.send(b"x" * 25)
    account.allowance = 0
    run(loop)
    assert stream.unread_bytes == 0
    account.allowance = 10
    account.on_room()
    wait_until(loop, lambda: stream.unread_bytes == 25)
    assert account.sizes == [10, 20, 25]
    stream.close()
    assert account.sizes[-1] == 0


def test_reading_pauses_while_answers_are_unsent(loop, pair):
    # Guards against a client that sends statements ahead and reads no answer.
    stream, far = pair
    stream.max_unsent_while_reading = 1000
    stream.write(b"x" * 1_000_000)
    drained = stream.drained(1000)
    far.send(b"more")
    run(loop)
    assert stream.unread_bytes == 0 and not drained.done()
    received = 0
    while received < 1_000_000:
        loop.run_once(SECOND / 100)
        try:
            received += len(far.recv(65_536))
        except BlockingIOError:
            continue
    wait_until(loop, lambda: stream.unread_bytes == 4)
    assert drained.done() and stream.unsent_bytes == 0


def test_wait_for_the_reader_ends_with_the_stream(pair):
    stream, _ = pair
    stream.write(b"x" * 3_000_000)
    assert stream.is_open, "a single large answer must be buffered"
    drained = stream.drained(0)
    stream.write(b"x")
    assert stream.closed_reason == "the peer does not read"
    assert drained.done()


def test_largest_line_is_received_behind_a_short_one(loop, pair):
    # Guards against a pause that never ends, because the buffer is full of one line.
    stream, far = pair
    line = b"y" * (1024 * 1024)
    data = b"short\r\n" + line + b"\r\n"
    while data:
        data = data[send_all(far, data) :]
        loop.run_once(SECOND / 100)
        if data and stream.unread_bytes >= MAX_UNREAD_BYTES:
            break
    assert stream.read_line(len(line)) == b"short"
    while data:
        data = data[send_all(far, data) :]
        loop.run_once(SECOND / 100)
    lines = []
    stream.on_data(lambda: lines.append(stream.read_line(len(line))))
    run(loop)
    lines.append(stream.read_line(len(line)))
    assert line in lines


def test_client_that_pauses_in_a_large_answer_gets_the_rest(loop):
    # Guards against TCP_USER_TIMEOUT, which also ends connections of peers that
    # acknowledge but do not read.
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{sock.getsockname()[1]}"
    accepted, received = [], 0
    listener = Listener(
        loop, address, accepted.append, unacknowledged_timeout=MAX_READER_SILENCE
    )
    with (
        closing(listener),
        socket.create_connection(("127.0.0.1", listener.port)) as far,
    ):
        wait_until(loop, lambda: accepted)
        accepted[0].write(b"x" * LARGE_ANSWER)
        run(loop, 2.5)
        far.setblocking(False)
        end = loop.now() + SECOND * 5
        while received < LARGE_ANSWER and loop.now() < end:
            loop.run_once(SECOND / 1000)
            try:
                received += len(far.recv(1_000_000))
            except BlockingIOError:
                continue
        assert accepted[0].closed_reason == "" and received == LARGE_ANSWER
        accepted[0].close()


def test_listener_pauses_without_a_free_descriptor(loop):
    # Guards against a busy loop while a connection waits and cannot be accepted.
    errors, accepted = [], []
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{sock.getsockname()[1]}"
    listener = Listener(loop, address, accepted.append, errors.append)

    class FullSocket:
        def __init__(self, sock):
            self.sock = sock

        def accept(self):
            raise OSError(24, "Too many open files")

        def fileno(self):
            return self.sock.fileno()

    real = listener._sock
    with closing(socket.create_connection(real.getsockname())):
        listener._sock = FullSocket(real)
        run(loop, 0.05)
        assert errors == ["accept failed: Too many open files"]
        listener._sock = real
        wait_until(loop, lambda: len(accepted) == 1)
        accepted[0].close()
    listener.close()


@pytest.fixture
def serve(loop):
    with ExitStack() as stack:

        def serve(body=b"ok", **limits):
            with socket.socket() as sock:
                sock.bind(("127.0.0.1", 0))
                address = "127.0.0.1:%d" % sock.getsockname()[1]
            server = HttpServer(
                loop,
                address,
                lambda *_: (200, {}, body),
                HttpServerLimits(**limits),
            )
            stack.callback(server.close)

            def connect(data):
                sock = socket.create_connection(("127.0.0.1", server.port))
                stack.callback(sock.close)
                sock.sendall(data)
                sock.setblocking(False)
                run(loop, 0.05)
                return sock

            return server, connect

        yield serve


def is_closed(sock):
    try:
        while sock.recv(65_536):
            continue
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def test_connection_that_waited_longest_is_closed_for_a_new_one(serve):
    server, connect = serve(max_connections=2)
    first, second = connect(GET), connect(b"")
    answered = connect(GET)
    assert is_closed(first) and not is_closed(second) and not is_closed(answered)
    assert server.connection_count == 2


def test_incomplete_request_is_closed_after_its_time(loop, serve):
    _, connect = serve(request_timeout=SECOND / 5)
    silent, half, answered = connect(b""), connect(GET[:9]), connect(GET)
    run(loop, 0.5)
    assert is_closed(silent) and is_closed(half) and not is_closed(answered)


def test_large_body_is_refused(loop, serve):
    _, connect = serve(max_body_bytes=1000)
    head = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n"
    sock = connect(head + b"x" * 2000)
    run(loop)
    assert is_closed(sock)


def test_requests_sent_ahead_are_answered_as_the_client_reads(loop, serve):
    server, connect = serve(body=b"x" * 200_000)
    sock = connect(GET * 40)
    exchange = next(iter(server._exchanges))
    assert exchange.stream.unsent_bytes <= 400_000
    received, end = 0, loop.now() + SECOND * 5
    while received < 40 * 200_000 and loop.now() < end:
        loop.run_once(SECOND / 100)
        try:
            received += len(sock.recv(1_000_000))
        except BlockingIOError:
            continue
    assert received >= 40 * 200_000
