"""Decoding of the configuration and of the entries of servers."""

from datetime import timedelta

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushloom.core.sentinels import Missing
from bulrushloom.platform.documents import decode_configuration, decode_target
from bulrushloom.proxy.configuration import Consistency
from bulrushloom.proxy.exchange.directory import (
    decode_directory,
    encode_directory,
    make_directory,
)
from bulrushloom.proxy.store import DocumentError
from standins.platform.documents import build_document, build_entry


def test_configuration_is_decoded_into_named_fields():
    configuration = decode_configuration(orjson.dumps(build_document()), 12)
    assert (configuration.version, configuration.revision) == (7, 12)
    route = configuration.route_by_database["stock"]
    assert route.consistency is Consistency.BOUNDED_STALENESS
    assert route.max_staleness == timedelta(milliseconds=1500)
    assert route.statement_timeout == timedelta(seconds=2)
    assert configuration.account_by_key["key-2"].burst == 70
    assert configuration.service_by_name["orders"].max_connections == 42
    assert configuration.transaction_idle_limit == timedelta(milliseconds=2500)


@pytest.mark.parametrize(
    ("entry", "cold_per_s"),
    [
        ({}, 0),
        ({"ColdPerS": 0}, 0),
        ({"ColdPerS": None}, 0),
        ({"ColdPerS": 12.5}, 12.5),
    ],
)
def test_rate_of_cold_targets_is_optional(entry, cold_per_s):
    # Guards against a refused configuration of a deployment without this limit.
    services = [{"Name": "orders", **entry}]
    document = build_document() | {"Services": services}
    configuration = decode_configuration(orjson.dumps(document), 1)
    assert configuration.service_by_name["orders"].cold_per_s == cold_per_s


@pytest.mark.parametrize("rate", [-1, 1e18, "many"])
def test_invalid_rate_of_cold_targets_is_an_error(rate):
    services = [{"Name": "orders", "ColdPerS": rate}]
    with pytest.raises(DocumentError):
        decode_configuration(orjson.dumps(build_document() | {"Services": services}), 1)


@pytest.mark.parametrize(
    "value", [b"", b"[]", b"{}", b'{"Version": "x"}', b'{"Version": 1, "Routes": [1]}']
)
def test_invalid_configuration_is_an_error(value):
    with pytest.raises(DocumentError):
        decode_configuration(value, 1)


def test_entry_is_decoded_into_a_target():
    value = orjson.dumps(build_entry(State="draining", DbRole="primary"))
    target = decode_target("i-1", value, 9)
    assert target.is_draining and target.claims_primary
    assert target.domain == "north"


@pytest.mark.parametrize(
    "changes",
    [
        {"Service": None},
        {"Service": 7},
        {"Addr": ""},
        {"Zone": []},
        {"State": "sleeping"},
        {"DbRole": "leader"},
        {"Slots": "many"},
        {"born": True},
        {"ColdLeftMs": None},
        {"ColdLeftMs": 1e18},
        {"ColdLeftMs": -1},
        {"born": -1},
        {"born": 2**60},
        {"Slots": 1e300},
        {"Addr": "nowhere"},
        {"Addr": "10.0.0.1:99999"},
        {"Service": "s" * 300},
        {"Zone": "z" * 300},
    ],
)
def test_entry_with_an_invalid_field_is_no_target(changes):
    # Guards against statements to a server that another writer of the store made up.
    value = orjson.dumps(build_entry(**changes))
    assert isinstance(decode_target("i-1", value, 9), Missing)


NUMBERS = st.integers() | st.floats(allow_nan=False, allow_infinity=False)
VALUES = st.none() | st.booleans() | NUMBERS | st.text() | st.lists(st.integers())


@given(
    st.sampled_from(["Service", "Addr", "Zone", "State", "DbRole"])
    | st.sampled_from(["Slots", "ColdLeftMs", "born", "Seq", "Version"]),
    VALUES,
)
def test_directory_with_any_accepted_entry_can_be_copied(field, value):
    # Guards against one entry that makes every instance reject the whole directory, or
    # every read of the store fail.
    try:
        encoded = orjson.dumps(build_entry(**{field: value}))
    except TypeError:
        return  # Not a JSON document: a larger integer or an unpaired surrogate.
    target = decode_target("i-1", encoded, 9)
    if isinstance(target, Missing):
        return
    directory = make_directory(timedelta(), {"i-1": target}, {})
    assert decode_directory(encode_directory(directory), timedelta()) == directory


def test_directory_says_which_targets_are_cold():
    # Guards against owners that do not know that a target is cold, since they copy the
    # directory, and against a copy by all instances with each heartbeat of the target.
    entries = [build_entry(ColdLeftMs=left) for left in (900, 400, 0)]
    first, second, last = (
        make_directory(
            timedelta(), {"i-1": decode_target("i-1", orjson.dumps(entry), 9)}, {}
        )
        for entry in entries
    )
    copied = decode_directory(encode_directory(first), timedelta())
    assert copied.target_by_id["i-1"].cold_left > timedelta()
    assert last.target_by_id["i-1"].cold_left == timedelta()
    assert first.version == second.version != last.version


def test_target_with_an_id_that_is_too_long_is_no_target():
    entry = orjson.dumps(build_entry())
    assert isinstance(decode_target("i" * 300, entry, 9), Missing)


@pytest.mark.parametrize("field", ["MaxStalenessMs", "TimeoutMs", "SloMs"])
@pytest.mark.parametrize("value", [1e300, "soon"])
def test_configuration_with_an_invalid_duration_is_an_error(field, value):
    # Guards against a document that ends the task that reads the store.
    document = build_document()
    document["Routes"][0][field] = value
    with pytest.raises(DocumentError):
        decode_configuration(orjson.dumps(document), 1)


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_without_an_exception(value):
    decode_target("i-1", value, 1)
