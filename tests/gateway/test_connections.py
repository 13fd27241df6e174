"""Handling of slow, pipelined, half-closed and idle connections, and draining."""

import threading
import time
from datetime import timedelta

from bulrushloom.core import connections
from bulrushloom.core.requests import RequestLimits
from tests.gateway.builders import Caller, FakeHandler, answer, request_bytes, serving


def wait_until(condition, seconds=5.0):
    deadline = time.monotonic() + seconds
    while not condition() and time.monotonic() < deadline:
        time.sleep(0.005)
    assert condition()


def test_silent_and_partial_connections_hold_no_thread():
    with serving(FakeHandler(), threads=1) as server:
        slow = [Caller(server) for _ in range(20)]
        for caller in slow[10:]:
            caller.send(request_bytes()[:40])
        with Caller(server) as caller:
            assert caller.request()[0] == 200
        slow[10].send(request_bytes()[40:])
        assert slow[10].receive()[0] == 200
        for caller in slow:
            caller.__exit__()


def test_request_sent_byte_by_byte_is_answered():
    with serving(FakeHandler(), threads=1) as server, Caller(server) as caller:
        for byte in request_bytes():
            caller.send(bytes([byte]))
        assert caller.receive()[0] == 200


def test_slow_request_is_timed_out_even_if_it_trickles():
    handler = FakeHandler()
    limit = timedelta(milliseconds=300)
    with serving(handler, read_timeout=limit) as server, Caller(server) as caller:
        caller.send(request_bytes()[:-1])
        status, _, body = caller.receive()
        assert (status, body["error"]["message"]) == (400, "the request is too slow")
        assert caller.ended()
    assert handler.requests == []


def test_pipelined_requests_are_answered_in_order():
    handler = FakeHandler()
    with serving(handler, threads=4) as server, Caller(server) as caller:
        bodies = [{"database": "d", "sql": f"SELECT {i}"} for i in range(20)]
        data = b"".join(request_bytes(body=body) for body in bodies)
        caller.send(data + request_bytes()[:30])
        assert [caller.receive()[0] for _ in bodies] == [200] * 20
        assert [request.sql for request in handler.requests] == [
            body["sql"] for body in bodies
        ]


def test_half_closed_connection_gets_its_answer():
    with serving(FakeHandler()) as server, Caller(server) as caller:
        caller.send(request_bytes())
        caller.socket.shutdown(1)
        assert caller.receive()[0] == 200
        assert caller.ended()


def test_expect_continue_is_answered_before_the_body():
    with serving(FakeHandler()) as server, Caller(server) as caller:
        data = request_bytes(headers={"Expect": "100-continue"})
        head, _, body = data.partition(b"\r\n\r\n")
        caller.send(head + b"\r\n\r\n")
        assert caller.receive()[0] == 100
        caller.send(body)
        assert caller.receive()[0] == 200


def test_full_queue_refuses_without_running():
    handler = FakeHandler()
    handler.open_futures = []
    options = {"threads": 1, "queued_requests": 1}
    with serving(handler, **options) as server:
        callers = [Caller(server) for _ in range(3)]
        callers[0].send(request_bytes())
        wait_until(lambda: handler.open_futures)
        callers[1].send(request_bytes())
        wait_until(lambda: server.requests.qsize == 1)
        status, _, body = callers[2].request()
        assert (status, body["error"]["kind"]) == (503, "overloaded")
        handler.open_futures[0].set_result(answer(handler.requests[0]))
        assert callers[0].receive()[0] == 200
        wait_until(lambda: len(handler.open_futures) == 2)
        handler.open_futures[1].set_result(answer(handler.requests[1]))
        assert callers[1].receive()[0] == 200


def test_connections_above_the_limit_are_refused():
    with serving(FakeHandler(), connections=2) as server:
        first, second, third = (Caller(server) for _ in range(3))
        assert third.receive()[0] == 503
        assert first.request()[0] == 200
        assert second.request()[0] == 200


def test_answer_to_an_oversized_body_survives_unread_input():
    limits = RequestLimits(body_bytes=1000)
    with serving(FakeHandler(), limits=limits) as server, Caller(server) as caller:
        caller.send(request_bytes(body=b"x" * 1_000_000))
        assert caller.receive()[0] == 413


def test_input_of_incomplete_requests_is_bounded_in_total():
    with serving(FakeHandler(), partial_bytes=1000) as server, Caller(server) as caller:
        data = request_bytes(body=b"x" * 5000)
        caller.send(data[:2000])
        status, _, body = caller.receive()
        assert (status, body["error"]["kind"]) == (503, "overloaded")
        with Caller(server) as other:
            assert other.request()[0] == 200


class LargeAnswers(FakeHandler):
    """Answer with more data than fits into socket buffers."""

    def submit(self, request, key_digest):
        future = super().submit(request, key_digest)
        large = future.result()._replace(rows=[["x" * 20_000_000]])
        future = type(future)()
        future.set_result(large)
        return future


def test_receivers_that_do_not_read_leave_threads_for_others():
    with serving(LargeAnswers(), threads=4) as server:
        slow = [Caller(server) for _ in range(8)]
        for caller in slow:
            caller.send(request_bytes())
        with Caller(server) as caller:
            status, _, body = caller.request("GET", "/healthz", b"", None)
            assert status == 200
        for caller in slow:
            caller.__exit__()


def test_large_answer_arrives_whole():
    with serving(LargeAnswers()) as server, Caller(server) as caller:
        status, _, body = caller.request()
        assert (status, len(body["rows"][0][0])) == (200, 20_000_000)


def test_refused_caller_that_stays_is_disconnected(monkeypatch):
    monkeypatch.setattr(connections, "DISCARD_TIMEOUT", timedelta(milliseconds=100))
    with serving(FakeHandler()) as server, Caller(server) as caller:
        caller.send(b"hello\r\n\r\n")
        assert caller.receive()[0] == 400
        wait_until(lambda: server._connections._num_connections == 1)


def test_close_ends_when_its_time_is_over():
    with serving(FakeHandler()) as server, Caller(server) as caller:
        assert caller.request()[0] == 200
        started_at = time.monotonic()
        server.close(timedelta(milliseconds=200))
        assert time.monotonic() - started_at < 2
        assert caller.ended()


def test_close_lets_running_requests_finish_and_ends_idle_connections():
    handler = FakeHandler()
    with serving(handler, threads=2) as server:
        running, idle = Caller(server), Caller(server)
        assert idle.request()[0] == 200
        handler.open_futures = []
        running.send(request_bytes())
        wait_until(lambda: handler.open_futures)
        closing = threading.Thread(target=server.close, args=(timedelta(seconds=10),))
        closing.start()
        wait_until(lambda: server.draining)
        open_futures, handler.open_futures = handler.open_futures, None
        status, headers, _ = idle.request()
        assert (status, headers["connection"]) == (200, "close")
        assert idle.ended()
        open_futures[0].set_result(answer(handler.requests[1]))
        status, headers, _ = running.receive()
        assert (status, headers["connection"]) == (200, "close")
        closing.join(5)
        assert not closing.is_alive()
