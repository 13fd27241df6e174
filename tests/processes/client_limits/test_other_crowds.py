"""Crowds of misbehaving clients at the probe, metrics and peer addresses."""

import socket
from contextlib import closing

import pytest

from bulrushloom.runtime.streams import split_address
from tests.processes.client_limits.builders import (
    SECOND,
    START,
    Crowd,
    check,
    limited_daemon,
)
from tests.runtime.builders import wait_until

GET = b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 900000000\r\n\r\n"


@pytest.fixture
def limited(tmp_path):
    with limited_daemon(tmp_path) as limited:
        yield limited


@pytest.mark.parametrize("kind", ["probe", "metrics"])
@pytest.mark.parametrize(
    "count, payload",
    [
        (400, b""),
        (400, GET[:20]),
        (100, b"GET /metrics HTTP/1.1\r\nHost: " + b"x" * 1_000_000),
        (60, POST + b"x" * 2_000_000),
        (60, GET * 4_000),
    ],
    ids=["silent", "half a head", "long head", "large body", "sent ahead"],
)
def test_crowd_at_an_http_address(limited, kind, count, payload):
    platform, daemon = limited
    address = daemon.addresses[f"{kind}_address"]
    crowd = Crowd(platform, address, count, payload)
    crowd.run()
    check(platform, daemon, crowd)
    wait_until(platform.loop, daemon.is_ready, SECOND * 20)


def test_crowd_at_the_peer_address(limited):
    platform, daemon = limited
    address = daemon.addresses["peer_address"]
    crowd = Crowd(platform, address, 400, START + b"x" * 1_000_000)
    with closing(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) as sock:
        for number in range(20_000):
            sock.sendto(b"%d" % number * 200, split_address(address))
            if number % 100 == 0:
                crowd.step()
    crowd.run()
    check(platform, daemon, crowd)
    wait_until(platform.loop, daemon.is_ready, SECOND * 20)
