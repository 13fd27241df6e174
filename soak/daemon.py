"""A proxy daemon that the soak can cut off from the other daemons.

It runs like ``python -m bulrushloom``. Its sockets use the loopback host of its peer
address, so that links can tell the daemons apart. While the partition file separates
two daemons, they send no datagrams to each other and open no connections.
"""

import errno
import os
import socket
import sys
from pathlib import Path
from typing import Any

# Daemons have hosts in this network; the platform is outside it.
HOST_PREFIX = "127.0.1."
PARTITION_FILE = "partition.txt"


class Partition:
    """The daemons that are isolated from the others, according to a file.

    The file has their hosts, one in each line.
    """

    def __init__(self, path: Path, host: str):
        self._path = path
        self._host = host
        self._read_version = (0, 0)
        self._isolated: frozenset[str] = frozenset()

    def separates(self, host: str) -> bool:
        """Return whether this daemon and the one at ``host`` are separated."""
        if host == self._host or not host.startswith(HOST_PREFIX):
            return False
        try:
            status = os.stat(self._path)
        except FileNotFoundError:
            return False
        # Two files that were written within a tick have the same time.
        version = (status.st_mtime_ns, status.st_ino)
        if version != self._read_version:
            self._read_version = version
            self._isolated = frozenset(self._path.read_text().split())
        return host in self._isolated or self._host in self._isolated


def write_partition(folder: Path, hosts: set[str]) -> None:
    """Isolate the daemons at ``hosts``, and no others."""
    new = folder / f"{PARTITION_FILE}.new"
    new.write_text("\n".join(sorted(hosts)))
    new.replace(folder / PARTITION_FILE)


def bind_sockets(host: str, partition: Partition) -> None:
    """Make all sockets of this process use ``host`` and obey the partition."""

    class BoundSocket(socket.socket):
        def connect_ex(self, address: Any) -> int:
            if partition.separates(address[0]):
                return errno.EHOSTUNREACH
            self.bind((host, 0))
            return super().connect_ex(address)

        def sendto(self, data: Any, address: Any) -> int:  # type: ignore[override]
            if partition.separates(address[0]):
                return len(data)
            return super().sendto(data, address)

    socket.socket = BoundSocket  # type: ignore[misc]


def main(arguments: list[str]) -> None:
    """Run the proxy daemon with bound sockets."""
    from bulrushloom.proxy.serve import main as serve_main
    from bulrushloom.proxy.settings import load_proxy_settings

    path = arguments[-1].partition("=")[2]
    host = load_proxy_settings(path).peer_address.partition(":")[0]
    bind_sockets(host, Partition(Path(path).with_name(PARTITION_FILE), host))
    serve_main(arguments)


if __name__ == "__main__":
    main(sys.argv[2:])
