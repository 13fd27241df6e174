"""Builder of a whole running instance with a store, on loopback addresses."""

import signal
import socket
from contextlib import closing
from datetime import timedelta

import yaml

from bulrushloom.proxy.node import Node
from bulrushloom.runtime.loop import BootClock, Loop
from bulrushloom.runtime.streams import split_address
from standins.platform.documents import build_document
from standins.platform.kv_server import KeyValueServer
from standins.ports import free_ports
from tests.proxy.test_settings import VALID

STEP = timedelta(milliseconds=5)
SECOND = timedelta(seconds=1)
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)


def free_address():
    return f"127.0.0.1:{free_ports(1)[0]}"


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
        # Datagrams and streams of other instances arrive at the same port.
        addresses["peer_address"] = free_address()
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
