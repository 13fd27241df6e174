import time
from datetime import timedelta

import eliot
import pytest

from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.core.requests import RequestLimits
from bulrushloom.gateway.base import BeginRequest, EndRequest, QueryRequest
from bulrushloom.gateway.server import create_server
from bulrushloom.rules.keys import key_digest
from tests.gateway.builders import (
    BODY,
    KEY,
    Caller,
    FakeHandler,
    answer,
    request_bytes,
    serving,
)


@pytest.fixture(scope="module")
def shared():
    handler = FakeHandler()
    with serving(handler, limits=RequestLimits(body_bytes=4096)) as server:
        yield handler, server


@pytest.fixture
def gateway(shared):
    handler, server = shared
    handler.requests.clear()
    handler.digests.clear()
    handler.error = handler.not_ready = None
    with Caller(server) as caller:
        yield handler, caller


def test_query_is_parsed_and_answered(gateway):
    handler, caller = gateway
    body = BODY | {"session": "s", "max_age_ms": 500}
    status, headers, answer = caller.request(
        body=body, headers={"Idempotency-Key": "i1"}
    )
    assert (status, answer["rows"], answer["role"]) == (200, [[1]], "replica")
    assert "connection" not in headers
    age = timedelta(milliseconds=500)
    expected = QueryRequest(
        "hotel-orders", "orders", "SELECT 1", BODY["params"], "s", age, None, "i1"
    )
    assert handler.requests == [expected]
    assert handler.digests == [key_digest(KEY)]


def test_transaction_routes(gateway):
    handler, caller = gateway
    begin = {"database": "orders"}
    assert (
        caller.request(path="/v1/transactions", body=begin)[2]["transaction"] == "tx-1"
    )
    assert caller.request(path="/v1/transactions/t.1/commit", body=b"")[0] == 200
    assert caller.request(path="/v1/transactions/t.1/rollback", body={"session": "s"})[
        0
    ]
    assert handler.requests == [
        BeginRequest("hotel-orders", "orders", None),
        EndRequest("hotel-orders", "t.1", True, None),
        EndRequest("hotel-orders", "t.1", False, "s"),
    ]


BAD_BODIES = [
    b"",
    b"{",
    b"[]",
    b"\xff\xfe",
    b'{"database": "orders", "sql": "\xff", "params": []}',
    b'{"database": "orders", "sql": "a", "params": [' + b"[" * 1500,
    b'{"database": "orders", "sql": "a", "params": [NaN]}',
    b'{"database": "orders", "sql": "a", "params": [1e999]}',
    {"database": "orders"},
    BODY | {"params": [[1]]},
    BODY | {"params": [{"a": 1}]},
    BODY | {"params": [2**63]},
    b'{"database": "orders", "sql": "a", "params": [18446744073709551616]}',
    BODY | {"params": "x"},
    BODY | {"database": 1},
    BODY | {"database": ""},
    BODY | {"sql": None},
    BODY | {"max_age_ms": -1},
    BODY | {"max_age_ms": "5"},
    BODY | {"max_age_ms": True},
    BODY | {"session": "s" * 1025},
    BODY | {"extra": 1},
]


@pytest.mark.parametrize("body", BAD_BODIES, ids=range(len(BAD_BODIES)))
def test_bad_body_is_refused_and_nothing_runs(gateway, body):
    handler, caller = gateway
    status, _, answer = caller.request(body=body)
    assert status == 400
    assert answer["error"]["kind"] == "bad_request"
    assert answer["error"]["ran"] == "no"
    assert handler.requests == []
    assert caller.request()[0] == 200, "the connection stays usable"


BAD_REQUESTS = [
    (request_bytes(key=None), 401, "unauthenticated"),
    (request_bytes(key="wrong"), 401, "unauthenticated"),
    (request_bytes(key="two words"), 401, "unauthenticated"),
    (request_bytes(key="k" * 300), 401, "unauthenticated"),
    (request_bytes(key=None, headers={"Authorization": "Basic x"}), 401, None),
    (request_bytes(headers={"authorization": "Bearer x"}), 400, "bad_request"),
    (request_bytes(headers={"content-length": "3"}), 400, "bad_request"),
    (request_bytes(headers={"Transfer-Encoding": "chunked"}), 400, "bad_request"),
    (request_bytes(headers={"Idempotency-Key": "i" * 200}), 400, "bad_request"),
    (request_bytes(headers={"X": "y" * 9000}), 400, "bad_request"),
    (request_bytes(headers={f"X-{i}": "y" for i in range(70)}), 400, "bad_request"),
    (request_bytes(headers={"bad name": "y"}), 400, "bad_request"),
    (request_bytes(headers={"X": "a\x00b"}), 400, "bad_request"),
    (request_bytes(body=b"x" * 5000), 413, "body_too_large"),
    (request_bytes(method="GET"), 405, "method_not_allowed"),
    (request_bytes(path="/healthz"), 405, "method_not_allowed"),
    (request_bytes(path="/v2/query"), 404, "not_found"),
    (request_bytes(path="/v1/transactions//commit"), 404, "not_found"),
    (request_bytes(path="/v1/query?a=1"), 400, "bad_request"),
    (b"POST /v1/query HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400, "bad_request"),
    (b"POST /v1/query HTTP/1.1\r\nContent-Length: +5\r\n\r\n", 400, "bad_request"),
    (b"POST /v1/query HTTP/2.0\r\n\r\n", 400, "bad_request"),
    (b"hello\r\n\r\n", 400, "bad_request"),
    (b"GET /" + b"a" * 20_000, 400, "bad_request"),
    (b"GET /healthz HTTP/1.1\nHost: x\n\r\n\r\n", 400, "bad_request"),
]


@pytest.mark.parametrize(
    ("data", "status", "kind"), BAD_REQUESTS, ids=range(len(BAD_REQUESTS))
)
def test_bad_request_is_refused_and_nothing_runs(gateway, data, status, kind):
    handler, caller = gateway
    caller.send(data)
    got, _, answer = caller.receive()
    assert got == status
    assert kind is None or answer["error"]["kind"] == kind
    assert handler.requests == []


def test_header_with_underscore_does_not_replace_another(gateway):
    handler, caller = gateway
    caller.request(headers={"Idempotency-Key": "real", "Idempotency_Key": "forged"})
    assert handler.requests[0].idempotency_key == "real"


def test_health_and_readiness_need_no_key(gateway):
    handler, caller = gateway
    handler.not_ready = Refusal(ErrorKind.NOT_READY, "no rules yet")
    assert caller.request("GET", "/healthz", b"", None)[0] == 200
    status, _, body = caller.request("GET", "/readyz", b"", None)
    assert (status, body["error"]["message"]) == (503, "no rules yet")
    handler.not_ready = None
    assert caller.request("GET", "/readyz", b"", None)[0] == 200


@pytest.fixture
def logged():
    """Collect all log messages."""
    messages = []
    eliot.add_destinations(messages.append)
    yield messages
    eliot.remove_destination(messages.append)


def test_unexpected_exception_is_internal_and_hides_the_key(gateway, logged, capfd):
    handler, caller = gateway
    handler.error = ValueError(f"broken by {KEY}")
    status, _, answer = caller.request()
    assert (status, answer["error"]["ran"]) == (500, "unknown")
    assert "gateway.internal_error" in str(logged)
    assert "ValueError" in str(logged)
    assert KEY not in f"{answer}{logged}{capfd.readouterr()}"


def test_answer_that_is_not_json_is_internal(gateway, logged):
    handler, caller = gateway
    handler.open_futures = []
    caller.send(request_bytes())
    while not handler.open_futures:
        time.sleep(0.005)
    open_futures, handler.open_futures = handler.open_futures, None
    open_futures[0].set_result(answer(handler.requests[0])._replace(rows=[[object()]]))
    status, _, body = caller.receive()
    assert (status, body["error"]["ran"]) == (500, "unknown")


def test_outcomes_are_observed_without_the_key():
    seen = []
    handler = FakeHandler()
    server = create_server(
        handler,
        ("127.0.0.1", 0),
        observe=lambda account, outcome, _: seen.append((account, outcome)),
    )
    server.open()
    with Caller(server) as caller:
        caller.request()
        caller.request(key="wrong")
        caller.request(body=b"{")
    server.close(timedelta())
    expected = [("hotel-orders", "ok"), ("", "unauthenticated")]
    assert seen == [*expected, ("hotel-orders", "bad_request")]


def test_refusals_carry_an_id_and_are_recorded_without_the_key():
    # Operators look up a caller's refusal in the log by this id.
    recorded = []
    handler = FakeHandler()
    handler.new_request_id = lambda: "i-1.7"
    server = create_server(
        handler,
        ("127.0.0.1", 0),
        record_refusal=lambda *fields: recorded.append(fields),
    )
    server.open()
    with Caller(server) as caller:
        _, headers, _ = caller.request()
        assert "x-request-id" not in headers
        _, headers, body = caller.request(key="wrong")
        assert headers["x-request-id"] == "i-1.7"
        caller.request(body=b"{")
    server.close(timedelta())
    assert handler.requests[0].request_id == "i-1.7"
    kinds = [(number, account, str(of.kind)) for number, account, of in recorded]
    assert kinds == [
        ("i-1.7", "", "unauthenticated"),
        ("i-1.7", "hotel-orders", "bad_request"),
    ]
    assert "wrong" not in repr(recorded)
