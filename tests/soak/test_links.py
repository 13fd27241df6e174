"""The soak's TCP proxy delays, holds, silences and resets connections."""

from datetime import timedelta

import pytest

from bulrushloom.runtime.streams import Listener, TcpNetwork
from soak.links import FaultLink
from standins.ports import free_ports
from tests.runtime.builders import running_loop, wait_for, wait_until

SECOND = timedelta(seconds=1)


class LinkedStreams:
    """Both ends of a connection through a link."""

    def __init__(self, loop):
        self.loop = loop
        target, address = (f"127.0.0.1:{port}" for port in free_ports(2))
        accepted = []
        self.listener = Listener(loop, target, accepted.append)
        self.link = FaultLink(loop, address, target)
        self.near = wait_for(loop, TcpNetwork(loop).connect(address, SECOND))
        self.near.write(b"early")
        wait_until(loop, lambda: accepted and accepted[0].unread_bytes == 5)
        self.far = accepted[0]
        assert self.far.read_all() == b"early"

    def wait(self, duration):
        end = self.loop.now() + duration
        wait_until(self.loop, lambda: self.loop.now() >= end)


@pytest.fixture
def ends():
    with running_loop() as loop:
        ends = LinkedStreams(loop)
        yield ends
        ends.link.close()
        ends.listener.close()


def test_delay_holds_bytes_back_and_keeps_their_order(ends):
    ends.link.delay = SECOND * 0.2
    sent_at = ends.loop.now()
    ends.near.write(b"one")
    ends.wait(SECOND * 0.05)
    ends.link.delay = timedelta()
    ends.near.write(b"two")
    wait_until(ends.loop, lambda: ends.far.unread_bytes == 6)
    assert ends.loop.now() - sent_at >= SECOND * 0.2
    assert ends.far.read_all() == b"onetwo"


def test_timers_that_fire_in_another_order_keep_the_order_of_bytes(ends, monkeypatch):
    # Guards against bytes that overtake earlier ones when the process is interrupted
    # while it starts a timer.
    callbacks = []
    ends.link.delay = SECOND
    monkeypatch.setattr(
        ends.loop, "call_later", lambda _, callback: callbacks.append(callback)
    )
    for number, data in enumerate((b"one", b"two"), 1):
        ends.near.write(data)
        while len(callbacks) < number:
            ends.loop.run_once(timedelta(milliseconds=5))
    for callback in reversed(callbacks):
        callback()
    monkeypatch.undo()
    wait_until(ends.loop, lambda: ends.far.unread_bytes == 6)
    assert ends.far.read_all() == b"onetwo"


def test_held_direction_delivers_after_it_heals(ends):
    ends.link.held_directions.add("there")
    ends.near.write(b"late")
    ends.far.write(b"back")
    wait_until(ends.loop, lambda: ends.near.unread_bytes == 4)
    ends.wait(SECOND * 0.1)
    assert ends.far.unread_bytes == 0
    ends.link.heal()
    wait_until(ends.loop, lambda: ends.far.unread_bytes == 4)


def test_silenced_connection_stays_silent(ends):
    ends.link.silence()
    ends.near.write(b"lost")
    ends.wait(SECOND * 0.1)
    ends.link.heal()
    ends.wait(SECOND * 0.1)
    assert ends.far.unread_bytes == 0 and not ends.near.at_eof


def test_reset_ends_both_sides(ends):
    ends.link.reset()
    wait_until(ends.loop, lambda: ends.near.at_eof and ends.far.at_eof)


def test_connections_of_a_held_host_are_held(ends):
    ends.link.held_hosts.add("127.0.0.2")
    ends.near.write(b"early")
    wait_until(ends.loop, lambda: ends.far.unread_bytes == 5)
    ends.link.held_hosts.add("127.0.0.1")
    ends.near.write(b"late")
    ends.wait(SECOND * 0.1)
    assert ends.far.unread_bytes == 5
    ends.link.heal()
    wait_until(ends.loop, lambda: ends.far.unread_bytes == 9)


def test_connections_of_a_refused_host_are_closed(ends):
    ends.link.refuse({"127.0.0.2"})
    ends.wait(SECOND * 0.1)
    assert not ends.near.at_eof
    ends.link.refuse({"127.0.0.1"})
    wait_until(ends.loop, lambda: ends.near.at_eof and ends.far.at_eof)
    later = wait_for(
        ends.loop, TcpNetwork(ends.loop).connect(ends.link.address, SECOND)
    )
    wait_until(ends.loop, lambda: later.at_eof)
