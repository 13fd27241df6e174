"""Allocation of loopback ports."""

import socket

from standins import ports


def test_port_that_only_a_datagram_socket_uses_is_not_free(monkeypatch):
    # Guards against a daemon that does not start, because its port for datagrams is in
    # use by a daemon of another process.
    (port,) = ports.free_ports(1)
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.1.5", port))
        monkeypatch.setattr(ports, "_CANDIDATE_PORTS", iter([port, port + 1, port + 2]))
        assert ports.free_ports(1) != [port]
