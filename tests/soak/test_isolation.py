"""The soak cuts single daemons off from the others and from servers."""

import errno
import socket

import pytest

from soak.daemon import Partition, bind_sockets, write_partition
from standins.ports import free_ports

HOST, OTHER_HOST = "127.0.1.201", "127.0.1.202"


@pytest.fixture
def partition(tmp_path):
    return Partition(tmp_path / "partition.txt", HOST)


@pytest.mark.parametrize("isolated", [HOST, OTHER_HOST])
def test_isolated_daemon_is_separated_from_the_others_only(
    partition, tmp_path, isolated
):
    assert not partition.separates(OTHER_HOST)
    write_partition(tmp_path, {isolated})
    assert partition.separates(OTHER_HOST)
    assert not partition.separates(HOST)
    assert not partition.separates("127.0.0.1")
    write_partition(tmp_path, set())
    assert not partition.separates(OTHER_HOST)


def test_other_daemons_stay_connected(partition, tmp_path):
    write_partition(tmp_path, {"127.0.1.203"})
    assert not partition.separates(OTHER_HOST)
    assert partition.separates("127.0.1.203")


@pytest.fixture
def bound(partition, monkeypatch):
    monkeypatch.setattr(socket, "socket", socket.socket)
    bind_sockets(HOST, partition)


def test_separated_sockets_exchange_nothing(bound, tmp_path):
    (port,) = free_ports(1)
    with (
        socket.create_server((OTHER_HOST, port)) as listener,
        socket.socket(type=socket.SOCK_DGRAM) as receiver,
        socket.socket(type=socket.SOCK_DGRAM) as sender,
    ):
        receiver.bind((OTHER_HOST, port))
        sender.bind((HOST, 0))
        write_partition(tmp_path, {OTHER_HOST})
        sender.sendto(b"lost", (OTHER_HOST, port))
        with socket.socket() as client:
            assert client.connect_ex((OTHER_HOST, port)) == errno.EHOSTUNREACH
        write_partition(tmp_path, set())
        sender.sendto(b"arrives", (OTHER_HOST, port))
        receiver.settimeout(5)
        assert receiver.recv(10) == b"arrives"
        with socket.socket() as client:
            assert client.connect_ex((OTHER_HOST, port)) == 0
            assert listener.accept()[1][0] == HOST
