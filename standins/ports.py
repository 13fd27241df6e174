"""Allocation of loopback ports for processes that are about to start."""

import os
import random
import socket
from collections.abc import Iterator

FIRST_PORT = 10_000
PORT_COUNT = 20_000


def _candidate_ports() -> Iterator[int]:
    port = random.Random(os.getpid()).randrange(PORT_COUNT)
    while True:
        yield FIRST_PORT + port
        port = (port + 1) % PORT_COUNT


_CANDIDATE_PORTS = _candidate_ports()


def free_ports(count: int) -> list[int]:
    """Return ports that are unused by TCP and by UDP at all loopback addresses.

    The ports are below the ephemeral range, from which the system takes the ports of
    outgoing connections. Each process starts its search at a different port, so that
    fleets that start at the same time do not get the same ports.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_CANDIDATE_PORTS)
        if _is_free(port, socket.SOCK_STREAM) and _is_free(port, socket.SOCK_DGRAM):
            ports.append(port)
    return ports


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(type=kind) as sock:
        if kind is socket.SOCK_STREAM:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("", port))
        except OSError:
            return False
    return True
