"""Forged, replayed or leaked keys, tokens and identifiers."""

import pytest

from benchmarks.callers import Caller
from tests.processes import builders


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with builders.running_fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        builders.load(fleet, 2).finish()
        yield fleet


def urls(fleet):
    return [fleet.caller_url(name) for name in fleet.entry_names]


def test_no_target_and_no_log_sees_a_key(fleet):
    secrets = [key.key.encode() for key in fleet.api_key_by_account.values()]
    texts = [fleet.received_requests(name) for name in fleet.target_names]
    texts += [fleet.received_requests(name) for name in ("store", "directory")]
    texts += [
        path.read_bytes()
        for path in fleet.directory.iterdir()
        if path.suffix in (".log", ".err")
    ]
    # Checks that the search finds what targets do receive.
    assert any(b"INSERT INTO orders" in text for text in texts)
    assert sum(len(text) for text in texts) > 10_000
    for text in texts:
        for secret in secrets:
            assert secret not in text


def test_unknown_key_runs_nothing(fleet):
    reply = Caller("no-such-key").query(urls(fleet)[0], "stock", "SELECT 1")
    assert (reply.kind, reply.ran) == ("unauthenticated", "no")


def test_transaction_of_another_account_is_unknown(fleet):
    url = urls(fleet)[0]
    owner = builders.caller(fleet, "dispatch")
    other = builders.caller(fleet, "hotel-orders")
    transaction = owner.begin(url, "stock").body["transaction"]
    reply = other.query(url, "stock", "SELECT 1", transaction=transaction)
    assert reply.kind == "transaction_unknown"
    assert other.end(url, transaction, commit=True).kind == "transaction_unknown"
    assert owner.end(url, transaction, commit=False).ok


def test_session_of_another_account_is_refused(fleet):
    url = urls(fleet)[0]
    session = builders.caller(fleet, "dispatch").query(url, "stock", "SELECT 1")
    reply = builders.caller(fleet, "catalogue").query(
        url, "stock", "SELECT 1", session=session.body["session"]
    )
    assert (reply.kind, reply.ran) == ("invalid_session", "no")


@pytest.mark.parametrize(
    ("session", "kind"),
    [
        ("x", "invalid_session"),
        ("eyJhIjoiYSJ9.AAAA", "invalid_session"),
        # The gateway bounds the length before anything is decoded.
        ("x" * 5000, "bad_request"),
    ],
)
def test_forged_session_is_refused(fleet, session, kind):
    caller = builders.caller(fleet, "catalogue")
    reply = caller.query(urls(fleet)[0], "stock", "SELECT 1", session=session)
    assert (reply.kind, reply.ran) == (kind, "no")


@pytest.mark.parametrize(
    ("body", "kind"),
    [
        ({}, "bad_request"),
        ({"database": "nowhere", "sql": "SELECT 1", "params": []}, "unknown_database"),
        ({"database": 5, "sql": "SELECT 1", "params": []}, "bad_request"),
        ({"database": "stock", "sql": "COMMIT", "params": []}, "statement_not_allowed"),
        ({"database": "stock", "sql": "SELECT nothing", "params": []}, "sql_error"),
        (
            {"database": "stock", "sql": "SELECT 1", "params": [], "extra": 1},
            "bad_request",
        ),
        ({"database": "stock", "sql": "x" * 2_000_000, "params": []}, "body_too_large"),
    ],
)
def test_bad_request_is_refused_and_the_process_goes_on(fleet, body, kind):
    caller = builders.caller(fleet, "catalogue")
    reply = caller.post(urls(fleet)[0], "/v1/query", body)
    assert (reply.kind, reply.ran) == (kind, "no")
    assert caller.query(urls(fleet)[0], "stock", "SELECT 1").ok


def test_unsigned_peer_message_is_refused(fleet):
    process = fleet.process_by_name[fleet.entry_names[0]]
    response = fleet.http.request(
        "POST", f"{process.url}/peer/v1/messages", body=b"[]", timeout=5
    )
    assert response.status in (400, 401, 403)
