"""Malformed input to a running instance: clients, probes, datagrams and store entries.

The number of examples is small in CI; ``BULRUSHLOOM_SOAK_EXAMPLES`` sets a larger one.
"""

import os
from contextlib import ExitStack
from datetime import timedelta

import orjson
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from standins.platform.documents import build_entry
from tests.proxy.node_builders import RunningNode

EXAMPLES = int(os.environ.get("BULRUSHLOOM_SOAK_EXAMPLES", "40"))
SECOND = timedelta(seconds=1)
LINES = st.lists(
    st.sampled_from(
        [b"START stock key-2", b"QUERY", b"QUERY 1 READ 1", b"QUERY 1 BEGIN", b"BYE"]
        + [b"QUERY 1 PREPARE s READ x", b"QUERY 1 EXEC s 1", b"QUERY 1 COMMIT", b""]
    )
    | st.binary(max_size=60)
).map(b"\r\n".join)
REQUESTS = st.sampled_from(
    [b"GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n", b"GET /configuration/x HTTP/1.1\r\n"]
    + [b"POST /metrics HTTP/1.1\r\nContent-Length: -1\r\n\r\n", b"\r\n\r\n"]
) | st.binary(max_size=200)


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    path = tmp_path_factory.mktemp("node") / "settings.yaml"
    with ExitStack() as stack:
        node = RunningNode(stack, path)
        node.run(SECOND * 2)
        yield node


FUZZ = settings(
    max_examples=EXAMPLES,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)


@FUZZ
@given(data=LINES)
def test_any_bytes_of_a_client_end_at_most_its_session(running, data):
    running.send("session_address", data)
    assert not running.errors


@FUZZ
@given(name=st.sampled_from(["probe_address", "metrics_address"]), data=REQUESTS)
def test_any_request_ends_at_most_its_connection(running, name, data):
    running.send(name, data)
    assert not running.errors


@FUZZ
@given(data=st.binary(max_size=400))
def test_any_datagram_changes_nothing(running, data):
    members = dict(running.node.fleet.peers_by_name)
    running.send_datagram(data)
    assert running.node.fleet.peers_by_name == members
    assert not running.errors


def frame(body):
    return len(body).to_bytes(4, "big") + body


@FUZZ
@given(data=st.binary(max_size=200) | st.binary(max_size=200).map(frame))
def test_any_bytes_of_a_peer_end_at_most_its_connection(running, data):
    running.send("peer_address", data)
    assert not running.errors


KEYS = st.sampled_from(
    ["servers/i-1", "members/x/y", "proxy/leader", "proxy/fence", "proxy/hot-accounts"]
    + ["proxy/groups/orders", "proxy/exchange-keys", "op/config", "other"]
)


@settings(FUZZ, max_examples=max(EXAMPLES // 4, 10))
@given(
    key=KEYS,
    value=st.binary(max_size=100)
    | st.sampled_from([b"null", b"[]", b"{}", b"7", b'"x"', b'{"a": {}}', b"1e999"])
    | st.builds(
        lambda field, content: orjson.dumps(build_entry(**{field: content})),
        st.sampled_from(["Addr", "Slots", "born", "ColdLeftMs", "State"]),
        st.none() | st.text(max_size=9) | st.floats(allow_nan=False),
    ),
)
def test_any_value_in_the_store_is_read_or_left_out(running, key, value):
    # Guards against one record that ends the task which reads the store.
    known = running.store.item_by_key.get(key)
    running.store.put(key, value)
    running.run(SECOND * 0.6)
    del running.store.item_by_key[key]
    if known is not None:
        running.store.item_by_key[key] = known
    assert not running.errors


def test_instance_serves_after_malformed_input(running):
    for address in running.address_by_name:
        running.send(address, b"\xff\x00\r\n" * 50)
    running.send_datagram(b'{"from":[]}')
    running.run(SECOND * 3)
    running.check()
