"""Problems and differences that are found before a document is written."""

import copy
import time
from datetime import timedelta

import orjson
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from bulrushloom.core.sentinels import Missing
from bulrushloom.platform.document_changes import describe_changes, version_problem
from bulrushloom.platform.document_check import (
    MAX_DOCUMENT_BYTES,
    MAX_STALENESS,
    MIN_STALENESS,
    check_document,
)
from bulrushloom.platform.documents import decode_configuration
from bulrushloom.proxy.messages import LogPosition
from bulrushloom.proxy.positions import PositionHistory, PositionSample
from bulrushloom.proxy.store import DocumentError
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


def changes(old, new):
    return list(describe_changes(configuration(old), configuration(new)))


def test_moved_key_is_not_called_withdrawn():
    # Guards against a key that is taken for one that is refused, or for a new one.
    old, new = build_document(7), build_document(8)
    account = old["Tenants"][0]
    old["Tenants"] = [account, account | {"Name": "train", "ApiKeys": ["key-3"]}]
    new["Tenants"] = [
        account | {"ApiKeys": ["key-1", "key-4"]},
        account | {"Name": "train", "ApiKeys": ["key-2"]},
        account | {"Name": "bus", "ApiKeys": []},
    ]
    assert changes(old, new) == [
        "version: 7 -> 8",
        "account bus: added",
        "keys of account hotel: 1 added, 0 withdrawn, 1 moved to train",
        "keys of account train: 0 added, 1 withdrawn, 1 moved from hotel",
    ]


def test_limits_of_an_account_that_is_listed_twice_are_compared_by_key():
    # Guards against a change of limits that is not shown, because only the last entry
    # of an account is compared. Keys of the first entry have the limits of that entry.
    old, new = build_document(7), build_document(8)
    account = old["Tenants"][0]
    last = account | {"ApiKeys": ["key-3"]}
    old["Tenants"], new["Tenants"] = [account, last], [account | {"Burst": 5}, last]
    assert changes(old, new) == [
        "version: 7 -> 8",
        "account hotel: burst 70.0 -> 5.0 for 2 keys of an earlier entry",
    ]
    # Otherwise the change of the account tells it already.
    new["Tenants"] = old["Tenants"] = [account]
    new["Tenants"] = [account | {"Burst": 5}]
    assert changes(old, new) == ["version: 7 -> 8", "account hotel: burst 70.0 -> 5.0"]


def test_differences_of_many_accounts_take_little_time():
    # Guards against a comparison of each account with each key, which took 15 s of
    # processor time for a document of this size.
    old, new = build_document(7), build_document(8)
    account = old["Tenants"][0]
    for document, prefix in ((old, "old"), (new, "new")):
        document["Tenants"] = [
            account | {"Name": f"a{number}", "ApiKeys": [f"{prefix}-{number}"]}
            for number in range(9000)
        ]
    started_at = time.process_time()
    assert len(changes(old, new)) == 9001
    assert time.process_time() - started_at < 5


def test_unchanged_version_is_no_difference():
    old = build_document(7)
    assert changes(old, old) == []
    new = build_document(7, Limits={"TxIdleMs": 1000})
    assert changes(old, new) == [
        "transaction idle limit: 0:00:02.500000 -> 0:00:01",
    ]
    assert changes(build_document(8), old) == ["version: 8 -> 7"]


def test_version_in_force_with_other_content_is_named():
    # Guards against two contents of one version: instances that have it keep theirs,
    # and those that start later read the other one.
    old = configuration(build_document(7))
    new = configuration(build_document(7, Limits={"TxIdleMs": 1000}))
    assert version_problem(old, new) == (
        "version 7 is not higher than 7, which is in force with other content"
    )
    keys = build_document(7)
    keys["Tenants"][0]["ApiKeys"] = ["key-1", "key-3"]
    assert "with other content" in version_problem(old, configuration(keys))
    assert version_problem(old, old) == (
        "version 7 is not higher than 7, which is in force"
    )
    assert version_problem(configuration(build_document(9)), new) == (
        "version 7 is not higher than 9, which is in force"
    )


def is_refused(document):
    try:
        configuration(document)
    except DocumentError:
        return True
    return False


@pytest.mark.parametrize(
    "section, changes, problem",
    [
        ("Routes", {"Host": ["stock"]}, "Routes[0]: Host is missing or not text"),
        ("Routes", {"SloMs": "400"}, "Routes[0]: SloMs is not a non-negative number"),
        ("Routes", {"TimeoutMs": 1e300}, "Routes[0]: TimeoutMs is too large"),
        ("Services", {"MaxConns": "x"}, "Services[0]: MaxConns is not a non-negative"),
        ("Services", {"ColdPerS": -1}, "Services[0]: ColdPerS is not a non-negative"),
        ("Services", {"ColdPerS": 1e18}, "Services[0]: ColdPerS is too large"),
        ("Tenants", {"ApiKeys": [["key-1"]]}, "Tenants[0]: ApiKeys is not a list of"),
        ("Tenants", {"ApiKeys": 5}, "Tenants[0]: ApiKeys is not a list of texts"),
    ],
)
def test_entry_that_instances_refuse_is_named_as_an_error(section, changes, problem):
    # Guards against the text of a Python exception that names no entry.
    document = document_with(section, 0, **changes)
    assert is_refused(document)
    checked = check_document(orjson.dumps(document))
    assert checked.configuration is None and checked.warnings == []
    assert len(checked.errors) == 1 and checked.errors[0].startswith(problem)


@pytest.mark.parametrize("field", ["Host", "Service", "Type"])
def test_route_without_a_field_that_instances_need_is_an_error(field):
    document = build_document()
    del document["Routes"][1][field]
    checked = check_document(orjson.dumps(document))
    assert checked.errors == [f"Routes[1]: {field} is missing or not text"]


@pytest.mark.parametrize(
    "section, changes, problem",
    [
        ("Routes", {"Host": 5}, "Host is missing or not text"),
        ("Routes", {"Service": []}, "Service is missing or not text"),
        ("Routes", {"Type": None}, "Type is missing or not text"),
        ("Routes", {"TimeoutMs": True}, "TimeoutMs is not a non-negative number"),
        ("Services", {"MaxConns": "40"}, "MaxConns is not a non-negative number"),
        ("Tenants", {"ApiKeys": "key-11"}, "ApiKeys is not a list of texts"),
        ("Tenants", {"ApiKeys": [5]}, "ApiKeys is not a list of texts"),
        ("Tenants", {"RatePerS": "nan"}, "RatePerS is not a non-negative number"),
        ("Tenants", {"Name": ""}, "Name is missing or not text"),
    ],
)
def test_odd_entry_that_instances_accept_is_a_warning(section, changes, problem):
    # Guards against an error, and no differences, for a document that instances apply.
    document = document_with(section, 0, **changes)
    checked = check_document(orjson.dumps(document))
    # As text, because NaN is not equal to itself.
    assert repr(checked.configuration) == repr(configuration(document))
    assert checked.errors == []
    assert any(problem in text for text in checked.warnings)


@pytest.mark.parametrize("version", [True, "7", 7.5])
@pytest.mark.parametrize("section", ["Routes", "Services", "Tenants", "Limits"])
@pytest.mark.parametrize("value", [{}, "", 0, False])
def test_odd_document_that_instances_accept_is_a_warning(version, section, value):
    document = build_document(version, **{section: value})
    assert not is_refused(document)
    checked = check_document(orjson.dumps(document))
    assert checked.configuration == configuration(document)
    assert checked.errors == []
    assert "Version is not a whole number" in checked.warnings


@pytest.mark.parametrize("document", [{"Routes": {"Host": "a"}}, {"Limits": [1]}])
def test_section_that_instances_refuse_is_an_error(document):
    checked = check_document(orjson.dumps(build_document() | document))
    assert len(checked.errors) == 1 and checked.configuration is None


@pytest.mark.parametrize(
    "old, new, problem",
    [
        ('"Version":7', '"Version":9,"Version":7', "Version is given 2 times"),
        ('"Routes":[', '"Routes":[],"Routes":[', "Routes is given 2 times"),
        ('"Limits":{', '"Limits":{"TxIdleMs":1,', "Limits: TxIdleMs is given 2 times"),
        ('"SloMs":400', '"SloMs":9,"SloMs":400', "Routes[1]: SloMs is given 2 times"),
        ('"ApiKeys":[', '"ApiKeys":[],"ApiKeys":[', "Tenants[0]: ApiKeys is given 2"),
        # Instances do not read this field.
        ('"SomethingNew":{', '"SomethingNew":{"x":1,"x":2,', ""),
    ],
)
def test_field_that_is_given_twice_is_a_warning(old, new, problem):
    # Guards against a value that the last one of the same name hides.
    data = orjson.dumps(build_document()).decode()
    assert data.count(old) == 1
    checked = check_document(data.replace(old, new).encode())
    assert checked.configuration == configuration(build_document())
    assert checked.errors == []
    assert [text[: len(problem)] for text in checked.warnings] == [problem] * bool(
        problem
    )


def test_document_that_is_nested_deeply_is_checked():
    # Guards against a traceback for a document that instances accept.
    data = orjson.dumps(build_document()).decode()
    nested = "[" * 1000 + "]" * 1000
    checked = check_document(data.replace('{"field":1}', nested).encode())
    assert checked.configuration == configuration(build_document())
    assert checked.errors == []


@pytest.mark.parametrize(
    "section, changes, problem",
    [
        # The limit of a window is rate x window + burst, so both cases serve callers.
        (
            "Tenants",
            {"RatePerS": 0},
            "account hotel: the rate is 0, so only its burst of 70 is served in each "
            "window",
        ),
        (
            "Tenants",
            {"Burst": 0},
            "account hotel: the burst is below 1 operation, so only its rate is served",
        ),
        (
            "Tenants",
            {"RatePerS": 0, "Burst": 0.5},
            "account hotel: the rate is 0 and the burst is below 1 operation, so its "
            "operations are refused",
        ),
        (
            "Routes",
            {"MaxStalenessMs": 100},
            "database stock: MaxStalenessMs is 100, so no replica may serve reads: "
            "100 ms of it are for the transit of a request",
        ),
        (
            "Routes",
            {"Type": "read_your_writes", "MaxStalenessMs": None},
            "database stock: MaxStalenessMs is 0, so no replica may serve reads: "
            "100 ms of it are for the transit of a request",
        ),
        (
            "Routes",
            {"MaxStalenessMs": 10_101},
            "database stock: MaxStalenessMs is 10101, but no bound above 10100 ms has "
            "an effect of its own",
        ),
    ],
)
def test_limits_that_contradict_each_other(section, changes, problem):
    # Guards against a wrong reason: callers of an account without a rate or a burst are
    # served, and a staleness bound above 0 may still keep reads from replicas.
    checked = check_document(orjson.dumps(document_with(section, 0, **changes)))
    assert (checked.errors, checked.warnings) == ([], [problem])


def test_staleness_bounds_agree_with_the_position_history():
    history = PositionHistory()
    for second in range(31):
        at = timedelta(seconds=second)
        history.record(PositionSample(at, LogPosition(1, second)))
    now = timedelta(seconds=30)
    later = now + timedelta(milliseconds=1)
    assert isinstance(history.position_for(later, MIN_STALENESS), Missing)
    longest = history.position_for(now, MAX_STALENESS)
    assert longest == history.position_for(now, MAX_STALENESS * 2)
    assert longest == LogPosition(1, 20)


@pytest.mark.parametrize(
    "section, changes, problem",
    [
        ("Routes", {"Host": "s tock"}, "database s tock: no client can name it"),
        ("Routes", {"Host": "\u043a"}, "database \u043a: no client can name it"),
        ("Routes", {"Host": "a\r"}, "database 'a\\r': no client can name it"),
        (
            "Tenants",
            {"ApiKeys": ["secr\u00e9t", "a\nb", "key 1"]},
            "account hotel: 2 of its keys cannot be sent by clients",
        ),
        (
            "Tenants",
            {"Name": "ho tel"},
            "account ho tel: servers cannot read a name with a space or line break",
        ),
        (
            "Tenants",
            {"Name": "h" * 201},
            f"account {'h' * 201}: instances refuse messages with names of more than "
            "200 characters",
        ),
    ],
)
def test_entry_that_can_never_match(section, changes, problem):
    # Guards against a route, an account or a key that no client or server can use.
    checked = check_document(orjson.dumps(document_with(section, 0, **changes)))
    assert checked.errors == [] and len(checked.warnings) == 1
    assert checked.warnings[0].startswith(problem)
    assert "secr" not in checked.warnings[0]


@pytest.mark.parametrize(
    "name, problem",
    [
        ("or ders", "servers cannot read a name with a space or line break"),
        ("o" * 201, "instances refuse targets that name a service of more than 200"),
    ],
)
def test_service_that_can_have_no_target(name, problem):
    document = build_document()
    document["Services"][0]["Name"] = name
    for route in document["Routes"]:
        route["Service"] = name
    (warning,) = check(document)
    assert warning.startswith(f"service {name}: {problem}")


def test_service_without_routes_is_a_warning():
    document = build_document()
    document["Services"].append(document["Services"][0] | {"Name": "billing"})
    assert check(document) == ["service billing: no route leads to it"]
    # Only the last route of a database applies.
    document["Routes"][0]["Service"] = "billing"
    assert check(document) == []
    document["Routes"].append(document["Routes"][0] | {"Service": "orders"})
    assert check(document) == [
        "database stock has 2 routes; only the last one applies",
        "service billing: no route leads to it",
    ]


def test_account_whose_keys_all_belong_to_a_later_one_is_a_warning():
    document = build_document()
    account = document["Tenants"][0]
    document["Tenants"].append(account | {"Name": "train", "ApiKeys": ["key-2"]})
    hidden = "account hotel: all its keys belong to later accounts, so nobody can use "
    assert not any(hidden in text for text in check(document))
    document["Tenants"].append(account | {"Name": "bus", "ApiKeys": ["key-1"]})
    assert hidden + "it" in check(document)


@pytest.mark.parametrize(
    "section, changes, problem",
    [
        (
            "Services",
            {"SyncReplicas": 0.5},
            "Services[0]: SyncReplicas is not a whole number and is read as 0",
        ),
        (
            "Services",
            {"MaxConns": 41.9},
            "Services[0]: MaxConns is not a whole number and is read as 41",
        ),
        (
            "Routes",
            {"Priority": 1.5},
            "Routes[0]: Priority is not a whole number and is read as 1",
        ),
        (
            "Routes",
            {"Priority": 2**31 + 1},
            "database stock: owners of shared connections refuse statements of "
            "priority 2147483649",
        ),
        (
            "Routes",
            {"Priority": -(2**31) - 1},
            "database stock: owners of shared connections refuse statements of "
            "priority -2147483649",
        ),
    ],
)
def test_number_that_is_read_differently_or_refused_later(section, changes, problem):
    # Guards against commits that wait for no replica although a replica was asked for,
    # and against statements that fail only where connections are shared.
    assert check(document_with(section, 0, **changes)) == [problem]


@pytest.mark.parametrize("priority", [-1, -1.0, -(2**31), 2**31])
def test_priority_may_be_any_whole_number_that_instances_handle(priority):
    assert check(document_with("Routes", 0, Priority=priority)) == []
    assert check(document_with("Tenants", 0, Priority=-1)) == []


def test_versions_that_reports_between_instances_cannot_hold_are_warned_of():
    # Guards against instances that refuse all reports of those that apply the version.
    # No lower version can replace it.
    assert check(build_document(2**53)) == []
    for version in (2**53 + 1, 1e300):
        document = build_document(version)
        (warning,) = check(document)
        assert warning == "Version is above 9007199254740992, so instances refuse " + (
            "each other's reports"
        )


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.sampled_from(["", "x", "orders", "stock", "nan", "7", "\n", "\u2028"])
    | st.sampled_from([-1, 0, 0.5, 7, 2**53, 2**64 - 1, 1e17, 1e300, -1e300]),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(st.sampled_from(["Host", "Name", "x"]), inner, max_size=2)
    ),
    max_leaves=4,
)
FIELDS = st.sampled_from(
    [
        *[("Routes", field) for field in ("Host", "Service", "Type", "TimeoutMs")],
        *[("Routes", field) for field in ("SloMs", "MaxStalenessMs", "Priority")],
        *[("Routes", field) for field in ("Public", "Name")],
        *[("Services", field) for field in ("Name", "MaxConns", "SyncReplicas")],
        *[("Services", "ColdPerS"), ("Tenants", "Name"), ("Tenants", "ApiKeys")],
        *[("Tenants", field) for field in ("RatePerS", "Burst", "Priority")],
        *[(section, "") for section in ("Routes", "Services", "Tenants")],
        *[("Limits", "TxIdleMs"), ("Limits", ""), ("Version", "")],
    ]
)


@settings(deadline=None)
@example([(("Routes", "Service"), [])])
@given(st.lists(st.tuples(FIELDS, VALUES), min_size=1, max_size=3))
def test_errors_are_what_instances_refuse(changes):
    # Guards against exceptions of the check and of the comparison, and against an error
    # for a document that instances accept, or none for one that they refuse.
    document = copy.deepcopy(build_document())
    for (section, field), value in changes:
        if not field:
            document[section] = value
        elif isinstance(document[section], list) and document[section]:
            entry = document[section][0]
            if isinstance(entry, dict):
                entry[field] = value
        elif isinstance(document[section], dict):
            document[section][field] = value
    checked = check_document(orjson.dumps(document))
    if is_refused(document):
        assert checked.configuration is None and checked.errors
        return
    new = checked.configuration
    assert new is not None and new.version == configuration(document).version
    assert bool(checked.errors) == (new.version < 1)
    for line in describe_changes(configuration(build_document()), new):
        assert line.isprintable()
    assert all(text.isprintable() for text in checked.problems)
    assert checked.problems == check_document(orjson.dumps(document)).problems
