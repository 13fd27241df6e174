"""Member entries in the store."""

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bulrushloom.proxy.membership import decode_members
from bulrushloom.proxy.store import Record
from tests.proxy.exchange.builders import build_member


def build_record(value, revision=1):
    return Record(f"members/north-1/{revision}", value, revision, 7)


def build_entry(**changes):
    return orjson.dumps(build_member("north-1")._asdict() | changes)


def test_latest_entry_of_a_name_wins():
    records = {
        "a": build_record(build_entry(incarnation="old"), 3),
        "b": build_record(build_entry(incarnation="new"), 8),
    }
    assert decode_members(records)["north-1"].incarnation == "new"


@pytest.mark.parametrize(
    "changes",
    [
        {"address": "nowhere"},
        {"address": "127.0.0.1:99999"},
        {"document_address": ""},
        {"name": ["north-1"]},
        {"domain": None},
        {"incarnation": 7},
        {"shoe_size": "7"},
    ],
)
def test_entry_with_an_invalid_field_is_ignored(changes):
    # Guards against an address that makes each round of reports fail.
    valid = build_record(build_entry(), 1)
    invalid = build_record(build_entry(**changes), 2)
    assert decode_members({"a": valid, "b": invalid}) == decode_members({"a": valid})


@given(st.binary(max_size=200))
def test_any_bytes_are_ignored(value):
    assert decode_members({"a": build_record(value)}) == {}
