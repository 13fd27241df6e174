"""Scripted HTTP servers for tests of clients."""

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager


def http_answer(status: int, body: bytes, headers: str = "") -> bytes:
    """Return an answer after which the client opens a new connection."""
    head = f"HTTP/1.1 {status} X\r\nConnection: close\r\n{headers}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


@contextmanager
def scripted(*answers: bytes) -> Iterator[str]:
    """Answer one request per connection with the given bytes, then close."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(5)

        def run() -> None:
            for answer in answers:
                with listener.accept()[0] as client:
                    client.recv(65536)
                    client.sendall(answer)

        thread = threading.Thread(target=run)
        thread.start()
        yield "{}:{}".format(*listener.getsockname())
        thread.join()
