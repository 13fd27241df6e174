"""Planned stop of a running instance."""

import socket
from contextlib import ExitStack, closing

import pytest

from bulrushloom.proxy.node import SHUTDOWN_MARGIN
from tests.proxy.node_builders import SECOND, STEP, RunningNode


@pytest.fixture
def running(tmp_path):
    with ExitStack() as stack:
        node = RunningNode(stack, tmp_path / "settings.yaml")
        node.run(SECOND)
        yield node


def accepts(running):
    with closing(socket.socket(socket.AF_INET, socket.SOCK_STREAM)) as sock:
        sock.settimeout(0.5)
        return sock.connect_ex(running.address("session_address")) == 0


def test_no_session_is_accepted_once_the_instance_ends_its_registration(running):
    # Guards against a statement that is cut: while the entry in the store was removed,
    # which takes up to 0.35 s, a stopping instance accepted sessions that could not end
    # any more. The load balancer uses it if its whole domain is stopping.
    running.node._on_signal(15)
    was_accepted = accepts(running)
    while any(key.startswith("members/") for key in running.store.item_by_key):
        running.loop.run_once(STEP)
    assert was_accepted
    assert not accepts(running)


def test_session_that_was_accepted_last_is_served(running):
    # Guards against the opposite: a session that is cut because the listener closes.
    running.node._on_signal(15)
    greeting = running.answer("session_address", b"START stock key-2\r\n", b"\r\n")
    assert greeting == b"READY I -\r\n"
    answer = running.answer(
        "session_address",
        b"START stock key-2\r\nQUERY 1 SET a b\r\n",
        b"DONE -\r\nREADY I -\r\n",
    )
    assert answer.endswith(b"DONE -\r\nREADY I -\r\n")


def test_stop_ends_although_the_store_does_not_answer(running):
    running.node.settings = running.node.settings._replace(stop_grace=SECOND * 2)
    running.store.status = 503
    running.node._on_signal(15)
    end = running.loop.now() + SECOND * 2
    stopped = []
    running.loop.stop = lambda: stopped.append(running.loop.now())
    while not stopped and running.loop.now() < end:
        running.loop.run_once(STEP)
    assert stopped and stopped[0] <= end - SHUTDOWN_MARGIN * 0.4
