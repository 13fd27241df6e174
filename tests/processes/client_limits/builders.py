"""A daemon with lowered limits, and crowds of clients that do not behave.

The crowds and bounds of these tests are fixed: they were chosen before the limits were
implemented, and each test states what it showed without them.
"""

import errno
import os
import re
import socket
from contextlib import ExitStack, contextmanager
from datetime import timedelta

from bulrushloom.runtime.streams import TcpNetwork, split_address
from standins.platform.documents import build_document
from standins.platform.host import Platform
from tests.runtime.builders import running_loop, wait_until

SECOND = timedelta(seconds=1)
# A daemon uses about 30 MB without load.
MEMORY_LIMIT_MB = 72
# 200 of these are for files.
DESCRIPTOR_LIMIT = 320
SOCKET_LIMIT = DESCRIPTOR_LIMIT - 200
MAX_LINE_BYTES = 1024 * 1024
START = b"START booking key-crowd\r\n"
START_LIMITED = b"START booking key-limited\r\n"
# A crowd ends once none of its clients has sent or received anything for this time.
QUIET_TIME = SECOND * 1.5
MAX_CROWD_TIME = SECOND * 20
ORDINARY_REQUEST_TIME = SECOND * 45
STEP = timedelta(milliseconds=2)
SEND_BYTES = 262_144


@contextmanager
def limited_daemon(folder):
    """Yield the platform and a ready daemon with lowered limits."""
    with ExitStack() as stack:
        loop = stack.enter_context(running_loop())
        platform = Platform(stack, loop, folder)
        crowd = {"Name": "crowd", "ApiKeys": ["key-crowd"], "Priority": 1}
        crowd |= {"RatePerS": 100_000, "Burst": 100_000}
        limited = crowd | {"Name": "limited", "ApiKeys": ["key-limited"]}
        limited |= {"RatePerS": 5, "Burst": 5}
        tenants = [*build_document()["Tenants"], crowd, limited]
        platform.configure(2, Tenants=tenants)
        platform.send_heartbeats()
        daemon = platform.start(
            "north-1",
            memory_limit_mb=MEMORY_LIMIT_MB,
            descriptor_limit=DESCRIPTOR_LIMIT,
        )
        wait_until(loop, daemon.is_ready, SECOND * 20)
        yield platform, daemon


class CrowdClient:
    """One TCP connection that sends ``payload`` and reads ``read_bytes`` a step.

    It sends ``piece_bytes`` a step, or as much as the socket accepts if that is 0.
    After the payload it sends ``trickle`` once a step. It reads nothing before
    ``read_bytes`` is set.
    """

    def __init__(self, address, payload, piece_bytes=0, read_bytes=0, trickle=b""):
        self._unsent = memoryview(payload)
        self._piece_bytes = piece_bytes
        self.read_bytes = read_bytes
        self._trickle = trickle
        self.is_closed = False
        self._sock = socket.socket()
        # Answers that are not read must stay in the daemon, not in the kernel.
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        self._sock.setblocking(False)
        self._sock.connect_ex(split_address(address))

    def step(self):
        """Send and read; return whether the connection made progress."""
        if self.is_closed:
            return False
        try:
            return self._send() | self._receive()
        except BlockingIOError:
            return False
        except OSError as error:
            if error.errno == errno.ENOTCONN:
                return False
            self.close()
            return True

    def _send(self):
        if not self._unsent:
            if self._trickle:
                self._sock.send(self._trickle)
            return False
        size = self._piece_bytes or SEND_BYTES
        try:
            sent = self._sock.send(self._unsent[:size])
        except BlockingIOError:
            return False
        self._unsent = self._unsent[sent:]
        return True

    def _receive(self):
        if not self.read_bytes:
            return False
        data = self._sock.recv(self.read_bytes)
        if not data:
            self.close()
        return True

    def close(self):
        self.is_closed = True
        self._sock.close()


class Crowd:
    """Clients that are stepped together with the loop of the platform."""

    def __init__(self, platform, address, count, payload, **options):
        self._platform = platform
        make = payload if callable(payload) else lambda _: payload
        self.clients = [
            CrowdClient(address, make(number), **options) for number in range(count)
        ]
        platform.stack.callback(self.close)

    def step(self):
        self._platform.loop.run_once(STEP)
        steps = [client.step() for client in self.clients]
        return any(steps)

    def run(self):
        """Step the clients until they make no progress; they stay connected."""
        loop = self._platform.loop
        end = loop.now() + MAX_CROWD_TIME
        quiet_since = loop.now()
        while loop.now() < end and loop.now() - quiet_since < QUIET_TIME:
            if self.step():
                quiet_since = loop.now()

    def close(self):
        for client in self.clients:
            client.close()


def peak_resident_mb(daemon):
    """Return the largest resident memory of the process so far, in MB."""
    with open(f"/proc/{daemon.process.pid}/status") as status:
        return int(re.search(r"VmHWM:\s+(\d+) kB", status.read())[1]) / 1024


def socket_count(daemon):
    """Return the number of sockets that the process has open."""
    folder = f"/proc/{daemon.process.pid}/fd"
    count = 0
    for name in os.listdir(folder):
        try:
            count += os.readlink(f"{folder}/{name}").startswith("socket:")
        except FileNotFoundError:
            continue
    return count


def is_served(platform, daemon, statement=b"READ 1", key=b"key-1"):
    """Return whether one new session gets one statement answered with success."""
    loop = platform.loop
    opening = TcpNetwork(loop).connect(daemon.addresses["session_address"], SECOND * 5)
    wait_until(loop, opening.done, SECOND * 10)
    if opening.exception() is not None:
        return False
    stream = opening.result()
    try:
        for message in (b"START booking " + key, b"QUERY ordinary " + statement):
            stream.write(message + b"\r\n")
            answer = _read_answer(loop, stream)
            if not answer or answer[0].startswith(b"ERR"):
                return False
        return True
    finally:
        stream.close()


def _read_answer(loop, stream):
    lines = []
    end = loop.now() + SECOND * 10

    def is_complete():
        while (line := stream.read_line(MAX_LINE_BYTES)) is not None:
            lines.append(line)
        ended = stream.at_eof or loop.now() > end
        return ended or (lines and lines[-1].startswith((b"READY", b"ERR")))

    wait_until(loop, is_complete, SECOND * 11)
    return lines if lines and lines[-1].startswith(b"READY") else []


def check(platform, daemon, *crowds):
    """Check the process, its memory and sockets, and one ordinary request.

    The crowds stay connected during the request, which is repeated until it is served.
    """
    assert daemon.is_running
    sockets = socket_count(daemon)
    end = platform.loop.now() + ORDINARY_REQUEST_TIME
    served = is_served(platform, daemon)
    while not served and platform.loop.now() < end:
        for crowd in crowds:
            crowd.step()
        served = is_served(platform, daemon)
    peak = peak_resident_mb(daemon)
    print(f"peak {peak:.0f} MB, {sockets} sockets, served: {served}")
    assert daemon.is_running
    assert peak <= MEMORY_LIMIT_MB
    assert max(sockets, socket_count(daemon)) <= SOCKET_LIMIT
    assert served
