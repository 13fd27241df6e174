import socket
import threading
import time
from datetime import timedelta

import orjson
import pytest
import urllib3

from bulrushloom.peers.base import MessageReceived, MessageUndelivered, PeerLost
from bulrushloom.peers.connections import BatchConnection
from bulrushloom.peers.envelopes import PATH
from bulrushloom.peers.outbox import Outbox, OutboxLimits, Waiting
from tests.peers.builders import fleet, group, wait_until


@pytest.fixture
def silent_address():
    """Accept connections and never answer."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield "127.0.0.1:{}".format(server.getsockname()[1])


def closed_address():
    with socket.create_server(("127.0.0.1", 0)) as server:
        return "127.0.0.1:{}".format(server.getsockname()[1])


def get(node, path):
    return urllib3.request("GET", f"http://{node.transport.address}{path}").json()


def order_faults(node, **order):
    url = f"http://{node.transport.address}/faults"
    return urllib3.request("POST", url, body=orjson.dumps(order)).status


def test_messages_arrive_in_order_and_in_batches():
    with fleet("a", "b") as (a, b):
        sent = [group(str(i)) for i in range(500)]
        for message in sent:
            a.transport.send("b", message)
        assert [b.next_event().message for _ in sent] == sent
        wait_until(lambda: a.transport.counts.messages == 500)
        assert a.transport.counts.batches < 250
        assert a.drained() == []


def test_refused_connection_reports_each_message_undelivered():
    with fleet("a") as (a,):
        a.transport.update_peers({"b": closed_address()})
        a.transport.send("b", group("1"))
        assert a.next_event() == MessageUndelivered("b", group("1"))
        a.transport.send("c", group("2"))
        assert a.next_event() == MessageUndelivered("c", group("2"))


def test_peer_without_answer_is_lost_not_undelivered(silent_address):
    with fleet("a", read_timeout=timedelta(milliseconds=100)) as (a,):
        a.transport.update_peers({"b": silent_address})
        a.transport.send("b", group("1"))
        assert a.next_event() == PeerLost("b", "no answer in time")


def test_cut_off_peers_do_not_starve_the_others(silent_address):
    options = {"sender_threads": 2, "suspect_threads": 1}
    timeout = timedelta(milliseconds=300)
    with fleet("a", "b", read_timeout=timeout, **options) as (a, b):
        silent = {f"s{i}": silent_address for i in range(2)}
        a.transport.update_peers({"b": b.transport.address} | silent)
        for name in silent:
            a.transport.send(name, group("x"))
        assert {type(a.next_event()) for _ in silent} == {PeerLost}
        for name in silent:
            a.transport.send(name, group("x"))
        begun = time.monotonic()
        a.transport.send("b", group("1"))
        assert b.next_event().message == group("1")
        assert time.monotonic() - begun < 0.25


def test_overflow_is_reported_undelivered(silent_address):
    limits = OutboxLimits(waiting_messages=2)
    with fleet("a", outbox=limits, read_timeout=timedelta(seconds=1)) as (a,):
        a.transport.update_peers({"b": silent_address})
        a.transport.send("b", group("0"))
        wait_until(lambda: a.transport._outbox_by_name["b"]._waiting_bytes == 0)
        for i in range(1, 4):
            a.transport.send("b", group(str(i)))
        assert a.next_event() == MessageUndelivered("b", group("3"))


def test_batches_are_bounded_in_messages_and_bytes():
    outbox = Outbox("b", OutboxLimits(batch_messages=3, batch_bytes=10), None)
    for size in (4, 4, 4, 1, 1, 1):
        outbox.put(Waiting(group("x"), b"x" * size))
    assert outbox.put(Waiting(group("x"), b"x" * 11)) == (False, False)
    sizes = [[len(item.encoded) for item in outbox.take()] for _ in range(3)]
    assert sizes == [[4, 4], [4, 1, 1], [1]]
    assert outbox.take() == []
    assert outbox.put(Waiting(group("x"), b"x")) == (True, True)


def test_wrong_secret_and_replay_are_refused():
    with fleet("a", "b", "c", secrets={"c": "other"}) as (a, b, c):
        c.transport.send("b", group("1"))
        assert c.next_event() == PeerLost("b", "status 403")
        a.transport.send("b", group("2"))
        assert b.next_event() == MessageReceived("a", group("2"))
        assert b.drained() == []


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
        assert a.drained() == []


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
        assert a.drained() == []


def test_slow_connect_does_not_hold_up_other_peers(monkeypatch):
    # The thread that waits for all answers must not wait for a connecting thread.
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
            wait_until(lambda: a.transport._outbox_by_name["b"].empty, 1)
        release.set()
        assert a.next_event() == MessageUndelivered("c", group("x"))


def test_peer_that_returns_to_the_table_is_heard_again():
    # A sequence number that starts again would be refused as a repetition.
    with fleet("a", "b") as (a, b):
        table = {"b": b.transport.address}
        for i in range(3):
            a.transport.update_peers(table)
            a.transport.send("b", group(str(i)))
            assert b.next_event().message == group(str(i))
            wait_until(lambda: a.transport._outbox_by_name["b"].empty)
            a.transport.update_peers({})
        assert a.drained() == []


def test_views_are_served_and_faults_need_the_setting():
    with fleet("a") as (a,):
        assert get(a, "/metrics") == {"m": 1}
        assert get(a, "/v1/status") == {"s": 2}
        assert order_faults(a, cut=["b"]) == 404
        url = f"http://{a.transport.address}{PATH}"
        assert urllib3.request("POST", url, body=b"[]").status == 400


@pytest.mark.parametrize("cut", ["b", "domain-b"])
def test_cut_stops_messages_both_ways_until_it_is_lifted(cut):
    options = {"fault_injection": True, "read_timeout": timedelta(milliseconds=100)}
    with fleet("a", "b", **options) as (a, b):
        a.transport.send("b", group("0"))
        b.next_event()
        assert order_faults(a, cut=[cut]) == 200
        a.transport.send("b", group("1"))
        assert isinstance(a.next_event(), PeerLost)
        b.transport.send("a", group("2"))
        assert isinstance(b.next_event(), PeerLost)
        assert order_faults(a) == 200
        a.transport.send("b", group("3"))
        assert b.next_event().message == group("3")


def test_drop_rate_loses_batches_and_bad_orders_are_refused():
    with fleet("a", "b", fault_injection=True) as (a, b):
        assert order_faults(a, drop_rate=1.0, seed=7) == 200
        a.transport.send("b", group("1"))
        wait_until(lambda: a.transport._outbox_by_name["b"].empty)
        assert order_faults(a, drop_rate=2) == 400
        assert order_faults(a, other=1) == 400
        assert order_faults(a) == 200
        a.transport.send("b", group("2"))
        assert b.next_event().message == group("2")


def test_close_sends_what_is_queued():
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
