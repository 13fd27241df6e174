"""Hostile, outdated and malformed peers of an owner."""

from contextlib import ExitStack

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushloom.proxy.exchange.keys import new_keys
from bulrushloom.proxy.sharing.peers import (
    HANDSHAKE_TIMEOUT,
    MAX_UNAUTHENTICATED,
    STALL_LIMIT,
)
from bulrushloom.proxy.sharing.protocol import (
    MAX_FRAME_BYTES,
    MAX_HANDSHAKE_BYTES,
    PROTOCOL_VERSION,
    Close,
    ConnectionState,
    FrameReader,
    Hello,
    LeaseRequest,
    Proof,
    Query,
    Release,
    encode_frame,
    handshake_decoder,
    handshake_tag,
    new_nonce,
)
from standins.platform.network import MemoryStream
from tests.proxy.builders import ms
from tests.proxy.sharing.builders import SharingFleet

OWNER = "north-0"
VALUES = {b"zone": b"utc"}


@pytest.fixture(scope="module")
def fleet():
    with ExitStack() as stack:
        yield SharingFleet(stack)


class Peer:
    """Peer of an owner that sends any bytes."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.stream = MemoryStream(fleet.loop)
        far = MemoryStream(fleet.loop)
        self.stream.peer, far.peer = far, self.stream
        self.owner = fleet.member_by_name[OWNER]
        self.owner.sharing.accept(far)
        self.keys = self.owner.fleet.keys

    def send(self, data):
        self.stream.write(data if isinstance(data, bytes) else encode_frame(data))
        self.fleet.run(ms(10))

    def hello(self, **changes):
        fields = {
            "version": PROTOCOL_VERSION,
            "name": "north-2",
            "owner": OWNER,
            "key_id": self.keys.signing_id,
            "nonce": new_nonce(),
        }
        return Hello(**(fields | changes))

    def authenticate(self):
        hello = self.hello()
        self.send(hello)
        frames = FrameReader()
        frames.feed(self.stream.read_all())
        challenge = handshake_decoder.decode(next(frames.frames()))
        self.send(Proof(handshake_tag(self.keys, b"peer", hello, challenge.nonce)))

    @property
    def is_refused(self):
        self.fleet.run(ms(10))
        return self.stream.at_eof


def check_still_serving(fleet):
    assert not fleet.errors
    client = fleet.client_of(fleet.member_by_name[OWNER])
    assert client.query("WRITE 1 data")[0].startswith("DONE")


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x00\x00\x00\x02\xc1\xc1",
        (MAX_HANDSHAKE_BYTES + 1).to_bytes(4, "big"),
        encode_frame(Proof(bytes(32))),
        encode_frame(LeaseRequest(1, "a", "account-1", {}, 0, 100, 100)),
    ],
)
def test_bytes_before_the_handshake_are_refused(fleet, data):
    # Guards against work for a peer that has not proven to be an instance.
    peer = Peer(fleet)
    peer.send(data)
    assert peer.is_refused
    check_still_serving(fleet)


@pytest.mark.parametrize(
    "changes",
    [{"version": PROTOCOL_VERSION + 1}, {"owner": "north-4"}, {"key_id": "ffffffff"}],
)
def test_outdated_or_misdirected_peer_is_refused(fleet, changes):
    # Guards against two versions that understand the same message differently.
    peer = Peer(fleet)
    peer.send(peer.hello(**changes))
    assert peer.is_refused


def test_peer_without_the_key_is_refused(fleet):
    # Guards against leases for a process that is no instance.
    peer = Peer(fleet)
    hello = peer.hello()
    peer.send(hello)
    known = peer.keys.signing_id
    other = new_keys(0.0)
    stolen = other._replace(secret_by_id={known: other.secret_by_id[other.signing_id]})
    peer.send(Proof(handshake_tag(stolen, b"peer", hello, bytes(16))))
    assert peer.is_refused


def test_challenge_is_no_proof(fleet):
    # Guards against a peer that sends the owner's own proof back.
    peer = Peer(fleet)
    peer.send(peer.hello())
    frames = FrameReader()
    frames.feed(peer.stream.read_all())
    peer.send(Proof(handshake_decoder.decode(next(frames.frames())).tag))
    assert peer.is_refused


def test_peer_that_sends_nothing_is_closed(fleet):
    # Guards against connections that use up the descriptors.
    peer = Peer(fleet)
    fleet.run(HANDSHAKE_TIMEOUT + ms(10))
    assert peer.is_refused
    crowd = [Peer(fleet) for _ in range(MAX_UNAUTHENTICATED + 5)]
    assert sum(peer.is_refused for peer in crowd) >= 5
    fleet.run(HANDSHAKE_TIMEOUT + ms(10))
    check_still_serving(fleet)


@pytest.mark.parametrize(
    "message",
    [
        b"\x00\x00\x00\x01\xc1",
        (MAX_FRAME_BYTES + 1).to_bytes(4, "big"),
        encode_frame(Hello(1, "north-2", OWNER, "00", bytes(16))),
        encode_frame(LeaseRequest(1, "a" * 500, "account-1", {}, 0, 100, 100)),
        encode_frame(LeaseRequest(1, "a", "account-1", {}, 0, 10**9, 100)),
    ],
)
def test_malformed_message_of_an_instance_ends_its_connection(fleet, message):
    # Guards against a process that ends because of a faulty peer.
    peer = Peer(fleet)
    peer.authenticate()
    peer.send(message)
    assert peer.is_refused
    check_still_serving(fleet)


def test_memory_of_peers_counts_until_they_are_gone(fleet):
    # Guards against messages of many peers that exceed the memory of an owner.
    peer = Peer(fleet)
    memory = peer.owner.services.memory
    peer.authenticate()
    before = memory.used
    peer.send(MAX_FRAME_BYTES.to_bytes(4, "big") + bytes(500_000))
    assert memory.used >= before + 500_000
    peer.stream.close()
    fleet.run(ms(10))
    assert memory.used == before


def test_messages_about_unknown_leases_are_ignored(fleet):
    # Guards against late messages about a lease that the owner has ended.
    peer = Peer(fleet)
    peer.authenticate()
    peer.send(Query(7, b"x1", b"WRITE 1 data"))
    peer.send(Close(7, "late"))
    assert not peer.is_refused
    assert "x1" not in fleet.run_ids()


def test_values_reach_the_order_and_number_cannot_be_used_twice(fleet):
    # Guards against a lease that is lost because another one has its number.
    peer = Peer(fleet)
    peer.authenticate()
    request = LeaseRequest(1, "a", "account-1", VALUES, 0, 100, 50)
    peer.send(request)
    assert not peer.is_refused
    peer.send(request)
    assert peer.is_refused
    fleet.run(ms(100))
    assert peer.owner.sharing.owner.lease_count() == 0


NUMBERS = st.integers(1, 3)
TEXTS = st.sampled_from([b"READ 1", b"WRITE 1 x", b"SET a b", b"BEGIN", b"COMMIT"])
REQUEST_IDS = st.sampled_from([b"-", b"q"])
STATES = st.builds(ConnectionState, st.none() | st.just(VALUES), st.none())
MESSAGES = st.lists(
    st.builds(
        LeaseRequest,
        NUMBERS,
        st.sampled_from(["a", "b", "none"]),
        st.just("account-1"),
        st.sampled_from([{}, VALUES]),
        st.integers(-1, 2),
        st.sampled_from([0, 5, 100]),
        st.sampled_from([0, 5, 100]),
    )
    | st.builds(Query, NUMBERS, REQUEST_IDS, TEXTS, st.none(), st.none() | STATES)
    | st.builds(Release, NUMBERS, STATES)
    | st.builds(Close, NUMBERS, st.just("closed")),
    max_size=12,
)


@settings(max_examples=60, deadline=None)
@given(messages=MESSAGES, pauses=st.lists(st.integers(0, 60), min_size=12, max_size=12))
def test_any_order_of_messages_leaves_no_lease_behind(fleet, messages, pauses):
    # Guards against places and connections that are never given back.
    peer = Peer(fleet)
    peer.authenticate()
    for message, pause in zip(messages, pauses, strict=False):
        peer.stream.write(encode_frame(message))
        fleet.run(ms(pause))
    fleet.run(ms(20))
    peer.stream.close("gone")
    fleet.run(ms(400))
    assert not fleet.errors
    owner = peer.owner.sharing.owner
    assert owner.lease_count() == 0
    for target_id in owner.target_ids():
        assert owner.load(target_id)[:2] == (0, 0)
        assert owner.pool.in_flight(target_id) == 0
    assert not any(s.transaction for s in fleet.group.server_by_id["a"].connections)


def test_statements_that_waited_in_a_frozen_owner_do_not_run(fleet):
    # Guards against statements whose permit has ended meanwhile.
    peer = Peer(fleet)
    peer.authenticate()
    peer.send(LeaseRequest(1, "a", "account-1", {}, 0, 100, 100))
    fleet.run(ms(30))
    # The messages wait in the socket while the process does not run.
    peer.stream.peer._received += encode_frame(Query(1, b"late-1", b"WRITE 1 data"))
    fleet.loop.clock.advance(STALL_LIMIT + ms(100))
    peer.stream.peer._notify_reader()
    fleet.run(ms(200))
    assert peer.is_refused
    assert "late-1" not in fleet.run_ids()
    check_still_serving(fleet)
