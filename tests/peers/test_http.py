import socket
import threading
import time
from datetime import timedelta

import orjson
import pytest
import urllib3

from bulrushloom.peers.base import (
    MessageReceived,
    MessageUndelivered,
    PeerIdentity,
    PeerLost,
)
from bulrushloom.peers.connections import BatchConnection
from bulrushloom.peers.envelopes import MESSAGES_PATH
from bulrushloom.peers.outbox import Outbox, OutboxLimits, QueuedMessage
from tests.peers.builders import fleet, group, wait_until


@pytest.fixture
def unresponsive_address():
    """Address of a server that accepts connections but never responds."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield "127.0.0.1:{}".format(server.getsockname()[1])


def closed_address():
    with socket.create_server(("127.0.0.1", 0)) as server:
        return "127.0.0.1:{}".format(server.getsockname()[1])


def get_json(node, path):
    return urllib3.request("GET", f"http://{node.transport.address}{path}").json()


def inject_faults(node, **faults):
    url = f"http://{node.transport.address}/faults"
    return urllib3.request("POST", url, body=orjson.dumps(faults)).status


def test_messages_arrive_in_order_and_in_batches():
    with fleet("a", "b") as (a, b):
        sent = [group(str(i)) for i in range(500)]
        for message in sent:
            a.transport.send("b", message)
        assert [b.next_event().message for _ in sent] == sent
        wait_until(lambda: a.transport.counts.messages == 500)
        assert a.transport.counts.batches < 250
        assert a.remaining_events() == []


def test_refused_connection_reports_each_message_undelivered():
    with fleet("a") as (a,):
        a.transport.update_peers({"b": closed_address()})
        a.transport.send("b", group("1"))
        assert a.next_event() == MessageUndelivered("b", group("1"))
        a.transport.send("c", group("2"))
        assert a.next_event() == MessageUndelivered("c", group("2"))


def test_peer_that_does_not_respond_is_lost_not_undelivered(unresponsive_address):
    with fleet("a", read_timeout=timedelta(milliseconds=100)) as (a,):
        a.transport.update_peers({"b": unresponsive_address})
        a.transport.send("b", group("1"))
        assert a.next_event() == PeerLost("b", "no answer in time")


def test_unresponsive_peers_do_not_delay_the_others(unresponsive_address):
    options = {"sender_threads": 2, "suspect_threads": 1}
    timeout = timedelta(milliseconds=300)
    with fleet("a", "b", read_timeout=timeout, **options) as (a, b):
        unresponsive = {f"s{i}": unresponsive_address for i in range(2)}
        a.transport.update_peers({"b": b.transport.address} | unresponsive)
        for name in unresponsive:
            a.transport.send(name, group("x"))
        assert {type(a.next_event()) for _ in unresponsive} == {PeerLost}
        for name in unresponsive:
            a.transport.send(name, group("x"))
        started_at = time.monotonic()
        a.transport.send("b", group("1"))
        assert b.next_event().message == group("1")
        assert time.monotonic() - started_at < 0.25


def test_overflow_is_reported_undelivered(unresponsive_address):
    limits = OutboxLimits(queued_messages=2)
    with fleet("a", outbox=limits, read_timeout=timedelta(seconds=1)) as (a,):
        a.transport.update_peers({"b": unresponsive_address})
        a.transport.send("b", group("0"))
        wait_until(lambda: a.transport._outbox_by_name["b"]._queued_bytes == 0)
        for i in range(1, 4):
            a.transport.send("b", group(str(i)))
        assert a.next_event() == MessageUndelivered("b", group("3"))


def test_batches_are_bounded_in_messages_and_bytes():
    outbox = Outbox("b", OutboxLimits(batch_messages=3, batch_bytes=10), None)
    for size in (4, 4, 4, 1, 1, 1):
        outbox.put(QueuedMessage(group("x"), b"x" * size))
    assert outbox.put(QueuedMessage(group("x"), b"x" * 11)) == (False, False)
    sizes = [[len(item.encoded) for item in outbox.take_batch()] for _ in range(3)]
    assert sizes == [[4, 4], [4, 1, 1], [1]]
    assert outbox.take_batch() == []
    assert outbox.put(QueuedMessage(group("x"), b"x")) == (True, True)


def test_wrong_secret_and_replay_are_refused():
    with fleet("a", "b", "c", secrets={"c": "other"}) as (a, b, c):
        c.transport.send("b", group("1"))
        assert c.next_event() == PeerLost("b", "status 403")
        a.transport.send("b", group("2"))
        identity = PeerIdentity("domain-a", "a-1", a.transport.address)
        assert b.next_event() == MessageReceived("a", group("2"), identity)
        assert b.remaining_events() == []


def test_restarted_peer_is_reached_over_a_new_connection():
    with fleet("a") as (a,):
        with fleet("b") as (b,):
            a.transport.update_peers({"b": b.transport.address})
            a.transport.send("b", group("1"))
            b.next_event()
        with fleet("b") as (b,):
            a.transport.update_peers({"b": b.transport.address})
            a.transport.send("b", group("2"))
            assert b.next_event().message == group("2")
        assert a.remaining_events() == []


def test_failing_delivery_does_not_stop_the_receiver():
    with fleet("a", "b") as (a, b):
        events = []

        def deliver(event):
            events.append(event)
            raise RuntimeError("broken task")

        b.transport._receiver.deliver = deliver
        for i in range(3):
            a.transport.send("b", group(str(i)))
            assert isinstance(a.next_event(), PeerLost)
        assert len(events) == 3


def test_large_batch_is_sent_in_parts():
    with fleet("a", "b") as (a, b):
        messages = [group(str(i) + "x" * 900_000) for i in range(6)]
        for message in messages:
            a.transport.send("b", message)
        assert [b.next_event().message for _ in messages] == messages
        assert a.remaining_events() == []


def test_slow_connect_does_not_delay_other_peers(monkeypatch):
    # Guards against a lock that the watcher thread, which receives all responses, has
    # to wait for while another thread is connecting.
    with fleet("a", "b") as (a, b):
        a.transport.update_peers({"b": b.transport.address, "c": "127.0.0.1:1"})
        a.transport.send("b", group("0"))
        b.next_event()
        release = threading.Event()
        connect = BatchConnection.connect
        monkeypatch.setattr(
            BatchConnection,
            "connect",
            lambda self, address: release.wait(5) and connect(self, address),
        )
        a.transport.send("c", group("x"))
        time.sleep(0.3)
        for i in range(20):
            a.transport.send("b", group(str(i)))
            assert b.next_event().message == group(str(i))
            wait_until(lambda: a.transport._outbox_by_name["b"].is_empty, 1)
        release.set()
        assert a.next_event() == MessageUndelivered("c", group("x"))


def test_peer_that_returns_to_the_table_is_reached_again():
    # Guards against a sequence that restarts with the new outbox: the peer would refuse
    # its numbers as repeated.
    with fleet("a", "b") as (a, b):
        table = {"b": b.transport.address}
        for i in range(3):
            a.transport.update_peers(table)
            a.transport.send("b", group(str(i)))
            assert b.next_event().message == group(str(i))
            wait_until(lambda: a.transport._outbox_by_name["b"].is_empty)
            a.transport.update_peers({})
        assert a.remaining_events() == []


def test_documents_are_served_and_faults_need_the_setting():
    with fleet("a") as (a,):
        assert get_json(a, "/metrics") == {"m": 1}
        assert get_json(a, "/v1/status") == {"s": 2}
        assert inject_faults(a, cut=["b"]) == 404
        url = f"http://{a.transport.address}{MESSAGES_PATH}"
        assert urllib3.request("POST", url, body=b"[]").status == 400


@pytest.mark.parametrize("cut", ["b", "domain-b"])
def test_cut_blocks_messages_both_ways_until_it_is_removed(cut):
    options = {"fault_injection": True, "read_timeout": timedelta(milliseconds=100)}
    with fleet("a", "b", **options) as (a, b):
        a.transport.send("b", group("0"))
        b.next_event()
        assert inject_faults(a, cut=[cut]) == 200
        a.transport.send("b", group("1"))
        assert isinstance(a.next_event(), PeerLost)
        b.transport.send("a", group("2"))
        assert isinstance(b.next_event(), PeerLost)
        assert inject_faults(a) == 200
        a.transport.send("b", group("3"))
        assert b.next_event().message == group("3")


def test_drop_rate_loses_batches_and_invalid_faults_are_refused():
    with fleet("a", "b", fault_injection=True) as (a, b):
        assert inject_faults(a, drop_rate=1.0, seed=7) == 200
        a.transport.send("b", group("1"))
        wait_until(lambda: a.transport._outbox_by_name["b"].is_empty)
        assert inject_faults(a, drop_rate=2) == 400
        assert inject_faults(a, other=1) == 400
        assert inject_faults(a) == 200
        a.transport.send("b", group("2"))
        assert b.next_event().message == group("2")


def test_close_sends_queued_messages():
    with fleet("b") as (b,):
        with fleet("a") as (a,):
            a.transport.update_peers({"b": b.transport.address})
            for i in range(200):
                a.transport.send("b", group(str(i)))
        assert [b.next_event().message.group for _ in range(200)] == [
            str(i) for i in range(200)
        ]
    names = [thread.name for thread in threading.enumerate()]
    assert not [name for name in names if name.startswith("peer-")]
