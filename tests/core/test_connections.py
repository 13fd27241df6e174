import socket
import time

import pytest

from bulrushloom.core.connections import AnswerWriter


def test_writer_of_the_selector_thread_does_not_wait_for_a_slow_receiver():
    # Waiting there would stop all connections of the server.
    left, right = socket.socketpair()
    with left, right:
        left.setblocking(False)
        writer = AnswerWriter(None, left)
        writer.write(b"x" * 20_000_000)
        begun = time.monotonic()
        with pytest.raises(OSError, match="does not read"):
            writer.flush(wait=False)
        assert time.monotonic() - begun < 1
