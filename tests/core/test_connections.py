import socket
import time

import pytest

from bulrushloom.core.connections import ResponseWriter


def test_flush_without_wait_does_not_block_on_a_slow_client():
    # Guards against blocking the selector thread, which serves all connections.
    server_socket, client_socket = socket.socketpair()
    with server_socket, client_socket:
        server_socket.setblocking(False)
        writer = ResponseWriter(None, server_socket)
        writer.write(b"x" * 20_000_000)
        started_at = time.monotonic()
        with pytest.raises(OSError, match="does not read"):
            writer.flush(wait=False)
        assert time.monotonic() - started_at < 1
