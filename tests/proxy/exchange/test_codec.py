"""Datagrams: age of their content, authenticity, and malformed ones."""

import zlib
from datetime import timedelta

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.exchange import codec as codec_module
from bulrushloom.proxy.exchange.keys import new_keys
from bulrushloom.proxy.exchange.messages import (
    DirectoryVersion,
    LeaderSighting,
    ReportKind,
    StoreView,
)
from bulrushloom.proxy.exchange.usage_codec import WireIndexedUsage, from_indexed
from bulrushloom.proxy.messages import LogPosition
from bulrushloom.proxy.positions import PositionSample
from tests.proxy.builders import ms
from tests.proxy.exchange.builders import KEYS, NOW, Pair, build_codec, build_usage

SECOND = timedelta(seconds=1)


@pytest.fixture
def pair():
    return Pair()


def test_content_of_an_unproven_report_is_dropped(pair):
    # Guards against a replayed datagram, and a position whose age has no upper bound.
    view = StoreView(pair.now_a, 3)
    groups = {"orders": (5, "value")}
    data = pair.from_a(view=view, group_by_service=groups, suspected=frozenset("a"))
    report = pair.b.decode(data, pair.now_b)
    assert not report.proven
    assert report.view is None and not report.suspected
    assert report.group_by_service == groups


def test_ages_are_bounded_by_the_receivers_clock(pair):
    # Guards against reports that a frozen instance or a slow network delivers late.
    pair.introduce()
    heard_at = pair.now_b
    pair.advance(ms(300))
    data = pair.from_a(
        view=StoreView(pair.now_a - ms(100), 3),
        position_by_service={
            "orders": PositionSample(pair.now_a - ms(50), LogPosition(1, 2))
        },
        directory=DirectoryVersion(pair.now_a - ms(100), "v1"),
    )
    pair.advance(SECOND * 4)
    report = pair.b.decode(data, pair.now_b)
    assert heard_at + ms(198) <= report.view.last_read_at <= heard_at + ms(200)
    taken_at = report.position_by_service["orders"].taken_at
    assert heard_at + ms(248) <= taken_at <= heard_at + ms(250)
    assert heard_at + ms(198) <= report.directory.listed_at <= heard_at + ms(200)


def test_all_content_survives_encoding(pair):
    pair.introduce()
    usage = build_usage(4, pair.now_a, hotel=3.0)
    leader = LeaderSighting("south-1", pair.now_a)
    data = pair.from_a(
        kind=ReportKind.DOWN,
        is_domain_relay=True,
        is_leader=True,
        has_left=True,
        subtree=usage,
        usage_by_domain={"north": usage},
        suspected=frozenset({"a"}),
        acknowledged_by_service={"orders": LogPosition(2, 7)},
        followed_version_by_service={"orders": 8},
        leader=leader,
        relay_by_domain={"south": "south-1"},
    )
    report = pair.b.decode(data, pair.now_b)
    assert report.proven and report.kind is ReportKind.DOWN
    assert report.is_domain_relay and report.is_leader and report.has_left
    assert report.subtree.usage_by_account["hotel"].admitted == 3.0
    assert dict(report.usage_by_domain["north"].usage_by_account)["hotel"] == (
        3.0,
        1.0,
        0.5,
    )
    assert report.suspected == {"a"}
    assert report.acknowledged_by_service == {"orders": LogPosition(2, 7)}
    assert report.followed_version_by_service == {"orders": 8}
    assert report.leader.name == "south-1"
    assert report.relay_by_domain == {"south": "south-1"}


def test_reports_sent_in_the_same_millisecond_are_all_proven(pair):
    # Guards against numbers of reports that run ahead of the sender's clock: an echo
    # from the future proves nothing, and its report has to be answered again.
    datagrams = [pair.from_a() for _ in range(20)]
    pair.advance(ms(1))
    for data in datagrams:
        pair.b.decode(data, pair.now_b)
    pair.advance(ms(1))
    assert pair.a.decode(pair.from_b(), pair.now_a).proven


def test_echo_for_a_previous_incarnation_is_ignored(pair):
    # Guards against store reads that seem to lie in the future: after a power failure a
    # machine starts with a lower clock, and its peers echo timestamps of the previous
    # incarnation (found by mix --seed 61982880990).
    pair.introduce()
    data = pair.from_a(view=StoreView(pair.now_a, 3))
    restarted = build_codec("north-2", incarnation="run-again")
    assert not restarted.decode(data, SECOND).proven


def test_repeated_datagram_changes_nothing(pair):
    # Guards against an attacker, or a network, that delivers datagrams again.
    pair.introduce()
    first, second = pair.from_a(), pair.from_a()
    assert pair.b.decode(second, pair.now_b).proven
    for data in (first, second):
        assert "repeated" in pair.b.decode(data, pair.now_b).reason


def test_datagram_that_was_kept_for_long_is_not_proven(pair):
    pair.introduce()
    data = pair.from_a(suspected=frozenset("a"))
    pair.advance(SECOND * 6)
    pair.b.drop_expired(pair.now_b)
    assert not pair.b.decode(data, pair.now_b).proven


@pytest.mark.parametrize("position", [0, 3, 4, 19, 20, 30, -1])
def test_changed_datagram_is_rejected(pair, position):
    # Guards against forged reports: datagrams are taken from any address.
    data = bytearray(pair.from_a())
    data[position] ^= 1
    rejection = pair.b.decode(bytes(data), pair.now_b)
    assert isinstance(rejection, Missing)


def test_datagram_with_another_key_is_rejected(pair):
    pair.a.keys = new_keys(0.0)
    assert "unknown key" in pair.b.decode(pair.from_a(), pair.now_b).reason


def test_nothing_is_sent_or_accepted_without_keys(pair):
    data = pair.from_a()
    pair.b.keys = None
    assert isinstance(pair.b.decode(data, pair.now_b), Missing)
    assert isinstance(pair.from_b(), Missing)


def valid_body():
    pair = Pair()
    pair.introduce()
    usage = build_usage(4, pair.now_a, hotel=3.0)
    data = pair.from_a(
        subtree=usage,
        usage_by_domain={"north": usage},
        view=StoreView(pair.now_a, 3),
        position_by_service={"orders": PositionSample(pair.now_a, LogPosition(1, 2))},
        group_by_service={"orders": (5, "value")},
    )
    return msgspec.msgpack.decode(KEYS.verify(data))


def decode_signed(body):
    pair = Pair()
    pair.introduce()
    return pair.b.decode(KEYS.sign(body), pair.now_b)


@pytest.mark.parametrize(
    "field, value",
    [
        (0, 1),
        (0, 3),
        (1, 4),
        (1, True),
        (2, 16),
        (3, []),
        (3, ["north-1"]),
        (3, ["north-1", "run", "not an address", "north", "127.0.0.1:1"]),
        (3, ["north-1", "run", "127.0.0.1:99999", "north", "127.0.0.1:1"]),
        (4, -1),
        (4, 2**60),
        (4, 1.5),
        (5, {"run-north-2": [1, 2]}),
        (6, [1, 2, "run", {"hotel": [float("nan"), 1]}]),
        (6, [1, 2, "run", {"hotel": [-1, 1]}]),
        (8, {"orders": [1, 2, None]}),
        (10, [1]),
        (11, [1, "3"]),
        (14, {"orders": [5, b"value"]}),
        (14, {7: [5, "value"]}),
        (12, [5, 7]),
        (12, [5, 7, -1, 0]),
        (12, [5, 7, 2**21, 0]),
        (12, [5, 7, 1, 7]),
        (16, ["south"]),
    ],
)
def test_signed_datagram_with_a_wrong_field_is_rejected(field, value):
    # Guards against an instance of another version, or a faulty one, that ends the
    # processes of all others.
    body = valid_body()
    body[field] = value
    rejection = decode_signed(msgspec.msgpack.encode(body))
    assert isinstance(rejection, Missing)
    assert "malformed" in rejection.reason


ACCOUNTS = tuple(f"account-{number}" for number in range(40))


def send_total(pair, **admitted_by_account):
    """Return the totals of a compact report from ``a`` as ``b`` decodes them."""
    usage = build_usage(reported_at=pair.now_a, **admitted_by_account)
    data = pair.from_a(is_compact=True, usage_by_domain={"north": usage})
    pair.advance(ms(1))
    return len(data), pair.b.decode(data, pair.now_b).usage_by_domain


def test_compact_totals_are_the_same_by_name_and_by_list(pair):
    # Guards against figures that count for another account.
    pair.introduce()
    admitted = {name: float(n) for n, name in enumerate(ACCOUNTS, 1)}
    size_by_name, by_name = send_total(pair, unlisted=3.0, **admitted)
    for codec in (pair.a, pair.b):
        codec.accounts.update(ACCOUNTS)
    pair.introduce()
    size_by_list, by_list = send_total(pair, unlisted=3.0, **admitted)
    assert dict(by_list["north"].usage_by_account) == dict(
        by_name["north"].usage_by_account
    )
    assert by_list["north"].usage_by_account["account-7"].admitted == 8
    assert by_list["north"].usage_by_account["unlisted"].admitted == 3
    assert size_by_list < size_by_name


@pytest.mark.parametrize("is_newer_known", [False, True])
def test_totals_by_another_list_of_accounts(pair, is_newer_known):
    # Guards against figures in the order of a list that the receiver does not have:
    # instances apply a configuration at different moments.
    for codec in (pair.a, pair.b):
        codec.accounts.update(ACCOUNTS)
    pair.introduce()
    pair.b.accounts.update((*ACCOUNTS, "account-10a"))
    if not is_newer_known:
        for number in range(4):
            pair.b.accounts.update((*ACCOUNTS, f"account-{number}a"))
    _, totals = send_total(pair, **{"account-12": 5.0})
    if is_newer_known:
        assert totals["north"].usage_by_account["account-12"].admitted == 5
    else:
        assert totals == {}
    # Once the sender knows of the other list, it sends the names.
    pair.introduce()
    _, totals = send_total(pair, **{"account-12": 6.0})
    assert totals["north"].usage_by_account["account-12"].admitted == 6


@pytest.mark.parametrize(
    "body",
    [
        zlib.compress(b"\x00" * 10_000_000),
        zlib.compress(b"\x00" * 1000)[:-3],
        zlib.compress(b"\x00")[:2],
        b"\x78" + b"\x00" * 40,
    ],
)
def test_compressed_body_that_is_too_large_or_malformed_is_rejected(body):
    # Guards against a small datagram that takes the memory of a process.
    rejection = decode_signed(body)
    assert isinstance(rejection, Missing)
    assert "malformed" in rejection.reason


@pytest.mark.parametrize("length", [0, 39, 41])
def test_total_of_another_number_of_accounts_is_left_out(pair, length):
    pair.b.accounts.update(ACCOUNTS)
    wire = WireIndexedUsage(1, 1, "run", [1] * length, [0] * length, [0] * length, {})
    rejection = from_indexed(wire, pair.b.accounts.latest)
    assert isinstance(rejection, Missing)


def test_fields_of_a_newer_version_are_rejected():
    body = [*valid_body(), "new"]
    assert isinstance(decode_signed(msgspec.msgpack.encode(body)), Missing)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**63) | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=6,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    field=st.integers(0, len(codec_module.WireReport.__struct_fields__) - 1),
    value=json_values,
)
def test_any_value_in_a_field_is_decoded_or_rejected(field, value):
    body = valid_body()
    body[field] = value
    try:
        encoded = msgspec.msgpack.encode(body)
    except (OverflowError, UnicodeEncodeError):
        return
    decode_signed(encoded)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_any_bytes_are_rejected(data):
    pair = Pair()
    assert isinstance(pair.b.decode(data, NOW), Missing)
    decode_signed(data)
