"""Scripted HTTP servers for client tests."""

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager


def http_response(status: int, body: bytes, headers: str = "") -> bytes:
    """Return a response with ``Connection: close``."""
    head = f"HTTP/1.1 {status} X\r\nConnection: close\r\n{headers}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


@contextmanager
def scripted_server(*responses: bytes) -> Iterator[str]:
    """Run a server that sends one of ``responses`` per connection, then closes it."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(5)

        def serve() -> None:
            for response in responses:
                with listener.accept()[0] as client:
                    client.recv(65536)
                    client.sendall(response)

        thread = threading.Thread(target=serve)
        thread.start()
        yield "{}:{}".format(*listener.getsockname())
        thread.join()
