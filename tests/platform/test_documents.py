"""Decoding of the configuration and of the entries of servers."""

from datetime import timedelta

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushloom.core.sentinels import Missing
from bulrushloom.platform.documents import decode_configuration, decode_target
from bulrushloom.proxy.configuration import Consistency
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
    ],
)
def test_entry_with_an_invalid_field_is_no_target(changes):
    # Guards against statements to a server that another writer of the store made up.
    value = orjson.dumps(build_entry(**changes))
    assert isinstance(decode_target("i-1", value, 9), Missing)


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_without_an_exception(value):
    decode_target("i-1", value, 1)
