"""Problems and differences that are found before a document is written."""

import copy

import orjson
import pytest

from bulrushloom.platform.document_changes import describe_changes, version_problem
from bulrushloom.platform.document_check import MAX_DOCUMENT_BYTES, check_document
from bulrushloom.platform.documents import decode_configuration
from standins.platform.documents import build_document


def check(document):
    return check_document(orjson.dumps(document)).problems


def document_with(section, index, **changes):
    """Return a document in which one entry has other fields."""
    document = copy.deepcopy(build_document())
    document[section][index] |= changes
    return document


def test_document_without_problems():
    assert check(build_document()) == []
    checked = check_document(orjson.dumps(build_document()))
    assert checked.configuration is not None
    assert checked.configuration.version == 7


@pytest.mark.parametrize(
    "data, problem",
    [
        (b"{", "not valid JSON"),
        (b"[]", "not a JSON object"),
        (b"x" * (MAX_DOCUMENT_BYTES + 1), "more than"),
        (b"{}", "Version is not a whole number"),
        (b'{"Version": true}', "Version is not a whole number"),
        (b'{"Version": 0}', "Version is below 1"),
        (b'{"Version": 1, "Routes": {}}', "Routes is not a list"),
        (b'{"Version": 1, "Routes": [1]}', "Routes[0] is not an object"),
        (b'{"Version": 1, "Limits": 3}', "Limits is not an object"),
        (b'{"Version": 1, "Limits": {"TxIdleMs": "x"}}', "TxIdleMs"),
        (b'{"Version": 1, "Limits": {"TxIdleMs": 1e300}}', "too large"),
    ],
)
def test_document_that_cannot_be_read(data, problem):
    checked = check_document(data)
    assert len(checked.problems) == 1
    assert problem in checked.problems[0]


@pytest.mark.parametrize(
    "section, changes, problem",
    [
        ("Routes", {"Host": ""}, "Host is missing"),
        ("Routes", {"Type": None}, "Type is missing"),
        ("Routes", {"SloMs": -1}, "SloMs is not a non-negative number"),
        ("Services", {"MaxConns": "40"}, "MaxConns is not a non-negative number"),
        ("Tenants", {"RatePerS": True}, "RatePerS is not a non-negative number"),
        ("Tenants", {"ApiKeys": "key-1"}, "ApiKeys is not a list of texts"),
        ("Routes", {"Service": "gone"}, "there is no service gone"),
        ("Routes", {"Type": "eventual"}, "type eventual is unknown"),
        ("Routes", {"Public": "yes"}, "Public is neither true nor false"),
        ("Routes", {"MaxStalenessMs": 0}, "no replica may serve reads"),
        ("Routes", {"TimeoutMs": 500}, "500 ms is below the latency objective"),
        ("Services", {"MaxConns": 6}, "6 are reserved for status requests"),
        ("Tenants", {"ApiKeys": []}, "has no keys"),
        ("Tenants", {"RatePerS": 0}, "the rate is 0"),
        ("Tenants", {"Burst": 0.5}, "the burst is below 1"),
    ],
)
def test_entry_that_cannot_be_intended(section, changes, problem):
    problems = check(document_with(section, 0, **changes))
    assert len(problems) == 1 and problem in problems[0]


def test_staleness_bound_of_a_primary_route_has_no_effect():
    problems = check(document_with("Routes", 1, MaxStalenessMs=10))
    assert problems == [
        "database booking: MaxStalenessMs has no effect on a primary route"
    ]


def test_entries_that_hide_each_other_are_found_and_keys_are_not_printed():
    document = build_document()
    document["Routes"].append(document["Routes"][0])
    document["Services"].append(document["Services"][0])
    account = document["Tenants"][0]
    document["Tenants"] += [account | {"Name": "train", "ApiKeys": ["key-2", "key-3"]}]
    problems = check(document)
    assert problems == [
        "database stock has 2 routes; only the last one applies",
        "service orders is listed 2 times; only the last one applies",
        "one key is listed 2 times: accounts hotel, train",
    ]
    document["Tenants"].append(account)
    assert "account hotel is listed 2 times" in check(document)


def configuration(document):
    return decode_configuration(orjson.dumps(document), 0)


def test_differences_name_what_changes_but_no_key():
    old, new = build_document(7), document_with("Routes", 0, SloMs=500)
    new["Version"] = 8
    new["Routes"][1]["Host"] = "cargo"
    new["Tenants"][0] |= {"ApiKeys": ["key-2", "secret"], "Burst": 5}
    lines = list(describe_changes(configuration(old), configuration(new)))
    assert lines == [
        "version: 7 -> 8",
        "route of database booking: removed",
        "route of database cargo: added",
        "route of database stock: latency_objective 0:00:00.600000 -> 0:00:00.500000",
        "account hotel: burst 70.0 -> 5.0",
        "keys of account hotel: 1 added, 1 withdrawn",
    ]


def test_version_has_to_be_higher_than_the_one_in_force():
    old = configuration(build_document(7))
    assert version_problem(old, configuration(build_document(8))) == ""
    assert "not higher than 7" in version_problem(old, old)
