"""Malformed input to a running instance: clients, probes, datagrams and store entries.

The number of examples is small in CI; ``BULRUSHLOOM_SOAK_EXAMPLES`` sets a larger one.
"""

import os
import signal
import socket
from contextlib import ExitStack, closing
from datetime import timedelta

import orjson
import pytest
import yaml
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bulrushloom.proxy.node import Node
from bulrushloom.runtime.loop import BootClock, Loop
from bulrushloom.runtime.streams import split_address
from standins.platform.documents import build_document, build_entry
from standins.platform.kv_server import KeyValueServer
from tests.proxy.test_settings import VALID

EXAMPLES = int(os.environ.get("BULRUSHLOOM_SOAK_EXAMPLES", "40"))
STEP = timedelta(milliseconds=5)
SECOND = timedelta(seconds=1)
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)
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


def free_address(kind=socket.SOCK_STREAM):
    with closing(socket.socket(socket.AF_INET, kind)) as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class RunningNode:
    """A whole instance with a store, on loopback addresses and one event loop."""

    def __init__(self, stack, path):
        self.errors = []
        self.loop = Loop(BootClock(), self.errors.append)
        stack.callback(self.loop.close)
        store_address = free_address()
        self.store = KeyValueServer(self.loop, store_address)
        stack.callback(self.store.close)
        self.store.put_json("op/config", build_document())
        addresses = {
            name: free_address()
            for name in ("session_address", "probe_address", "metrics_address")
        }
        addresses["peer_address"] = free_address(socket.SOCK_DGRAM)
        path.write_text(
            yaml.safe_dump(VALID | addresses | {"store_address": store_address})
        )
        for number in HANDLED_SIGNALS:
            stack.callback(signal.signal, number, signal.getsignal(number))
        self.node = Node(str(path), self.loop, stack)
        self.node.start()
        self.address_by_name = addresses

    def run(self, duration):
        end = self.loop.now() + duration
        while self.loop.now() < end:
            self.loop.run_once(STEP)

    def send(self, name, data):
        """Send bytes on a new connection and close it."""
        with closing(socket.create_connection(self.address(name))) as sock:
            sock.sendall(data)
            self.run(STEP)

    def send_datagram(self, data):
        with closing(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) as sock:
            sock.sendto(data, self.address("peer_address"))
        self.run(STEP)

    def address(self, name):
        return split_address(self.address_by_name[name])

    def answer(self, name, data, ending):
        """Return what the instance answers, up to ``ending``."""
        received = b""
        with closing(socket.create_connection(self.address(name))) as sock:
            sock.setblocking(False)
            sock.sendall(data)
            end = self.loop.now() + SECOND * 3
            while ending not in received and self.loop.now() < end:
                self.loop.run_once(STEP)
                try:
                    received += sock.recv(65536)
                except BlockingIOError:
                    continue
        return received

    def check(self):
        """Check that the instance serves, and that no task or callback failed."""
        assert not self.errors
        ready = b"GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n"
        assert b" 200 " in self.answer("probe_address", ready, b"\r\n\r\n")
        started = self.answer("session_address", b"START stock key-2\r\n", b"\r\n")
        assert started == b"READY I -\r\n"


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
    for address in ("session_address", "probe_address", "metrics_address"):
        running.send(address, b"\xff\x00\r\n" * 50)
    running.send_datagram(b'{"from":[]}')
    running.run(SECOND * 3)
    running.check()
