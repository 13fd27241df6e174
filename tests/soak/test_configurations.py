"""The soak knows who held a key, and which databases had a route, at which time."""

from datetime import timedelta

import pytest

from soak.configurations import ConfigurationHistory
from soak.denials import check_denial
from standins.platform.promises import CallerRecord

SECOND = timedelta(seconds=1)


def document(keys_by_account, *databases):
    routes = [{"Host": database} for database in databases]
    accounts = [
        {"Name": name, "ApiKeys": keys} for name, keys in keys_by_account.items()
    ]
    return routes, accounts


@pytest.fixture
def history():
    history = ConfigurationHistory()
    written = (
        (1, document({"hotel": ["k"], "other": []}, "own", "strict")),
        (4, document({"hotel": [], "other": ["k"]}, "own")),
        (6, document({"hotel": [], "other": []}, "own")),
        (8, document({"hotel": ["k"], "new": []}, "own", "strict")),
    )
    for second, (routes, accounts) in written:
        history.record(SECOND * second, routes, accounts)
    return history


@pytest.mark.parametrize(
    "since, until, holders",
    [
        (1, 3.9, {"hotel"}),
        (3.9, 4, {"hotel", "other"}),
        (4, 5, {"other"}),
        (5, 7, {"other"}),
        (6, 7.9, set()),
        (7, 9, {"hotel"}),
        (2, 9, {"hotel", "other"}),
    ],
)
def test_holders_of_a_span(history, since, until, holders):
    assert history.holders("k", SECOND * since, SECOND * until) == holders
    assert history.holders("unknown", SECOND * since, SECOND * until) == set()


@pytest.mark.parametrize(
    "since, until, was_withdrawn",
    [(1, 5.9, False), (5, 6, True), (7, 9, True), (8, 9, False)],
)
def test_key_without_a_holder_at_some_time(history, since, until, was_withdrawn):
    assert history.was_withdrawn("k", SECOND * since, SECOND * until) is was_withdrawn


def test_span_before_the_first_configuration_begins_with_it(history):
    assert history.holders("k", SECOND * -4, SECOND) == {"hotel"}


def test_route_of_a_span(history):
    assert history.had_route("strict", SECOND * 3, SECOND * 5)
    assert not history.had_route("strict", SECOND * 4, SECOND * 7.9)
    assert history.had_route("strict", SECOND * 7, SECOND * 8)
    assert not history.had_route("unknown", SECOND, SECOND * 9)


def test_accounts_exist_from_their_first_configuration_on(history):
    assert history.has_had_account("other", SECOND * 9)
    assert not history.has_had_account("new", SECOND * 7)
    assert history.has_had_account("new", SECOND * 8)
    assert not history.has_had_account("", SECOND * 9)


@pytest.mark.parametrize(
    "lines, sent, answered, is_violation",
    [
        (["ERR NOAUTH unknown"], 6.5, 7, False),
        (["ERR NOAUTH unknown"], 11.1, 12, True),
        (["ERR NODB unknown", "READY I -"], 11.1, 12, True),
        (["ERR BUSY later"], 11.1, 12, False),
        (["ERR NOAUTH unknown"], 10.9, 12, False),
        ([], 11.1, 12, False),
    ],
)
def test_caller_that_was_allowed_for_the_whole_bound_must_not_be_denied(
    history, lines, sent, answered, is_violation
):
    record = CallerRecord("m0", "hotel", "k", "own")
    found = check_denial(history, record, lines, SECOND * sent, SECOND * answered)
    assert bool(found) is is_violation
