"""Crowds of misbehaving clients at the session address of a real daemon.

Each test guards against a load that made the process grow beyond the memory of its
machine, use up its descriptors or stop answering.
"""

import pytest

from tests.processes.client_limits.builders import (
    MAX_LINE_BYTES,
    START,
    START_LIMITED,
    Crowd,
    check,
    is_served,
    limited_daemon,
)

END = b"\r\n"
LARGE = b"x" * 900_000


@pytest.fixture
def limited(tmp_path):
    with limited_daemon(tmp_path) as limited:
        yield limited


def run_crowd(limited, count, payload, **options):
    platform, daemon = limited
    crowd = Crowd(
        platform, daemon.addresses["session_address"], count, payload, **options
    )
    crowd.run()
    check(platform, daemon, crowd)


def write(number, text=LARGE):
    return b"QUERY w%d WRITE 1 %s\r\n" % (number, text)


@pytest.mark.parametrize("start", [b"", START])
@pytest.mark.parametrize("trickle", [b"", b"x"])
def test_unfinished_line_of_each_client(limited, start, trickle):
    line = start + b"QUERY q WRITE 1 " + b"x" * 1_000_000
    run_crowd(limited, 100, line, trickle=trickle)


def test_many_large_messages_at_once(limited):
    payload = START + b"".join(write(number) for number in range(3))
    run_crowd(limited, 100, payload, read_bytes=4096)


def test_many_large_messages_in_small_pieces(limited):
    payload = START + write(1)
    run_crowd(limited, 100, payload, piece_bytes=4_000, read_bytes=4096)


def test_messages_far_over_the_limit(limited):
    run_crowd(limited, 60, START + b"QUERY q WRITE 1 " + b"x" * 8_000_000)


@pytest.mark.parametrize("start", [START, START_LIMITED])
def test_short_reads_sent_ahead_without_reading(limited, start):
    # With the limited key the reads are refused at once, in one turn of the loop.
    reads = b"".join(b"QUERY q%d READ 1\r\n" % number for number in range(150_000))
    run_crowd(limited, 30, start + reads)


def test_large_writes_sent_ahead_without_reading(limited):
    payload = START + b"".join(write(number) for number in range(60))
    run_crowd(limited, 1, payload)


def test_slow_readers_of_large_answers(limited):
    platform, _ = limited
    for server in platform.group.server_by_id.values():
        server.row_bytes = 900_000
    reads = b"".join(b"QUERY q%d READ 1\r\n" % number for number in range(8))
    run_crowd(limited, 60, START + reads, read_bytes=256)


@pytest.mark.parametrize("payload", [b"", START, START + b"QUERY q WRI"])
def test_many_connections_that_say_nothing_more(limited, payload):
    run_crowd(limited, 400, payload)


@pytest.mark.parametrize("statement", [b"SET v%d %s", b"PREPARE p%d READ %s"])
@pytest.mark.parametrize("size, count, clients", [(100_000, 60, 20), (8, 40_000, 8)])
def test_many_session_values_and_prepared_names(
    limited, statement, size, count, clients
):
    text = b"x" * size
    lines = [b"QUERY q " + statement % (number, text) for number in range(count)]
    payload = START + END.join(lines) + END
    run_crowd(limited, clients, payload, read_bytes=65_536)


def test_large_ids_and_names_in_refusals(limited):
    # The log keeps lines that are not written yet, so long ids must not get into it.
    messages = [b"QUERY %s EXEC p 1\r\n" % (b"i" * 500_000) for _ in range(4)]
    run_crowd(limited, 60, START + b"".join(messages), read_bytes=65_536)
    database = b"START %s key\r\n" % (b"d" * 900_000)
    run_crowd(limited, 60, database, read_bytes=65_536)


@pytest.mark.parametrize("statement", [b"WRITE 1 ", b"SET v ", b"READ 1 "])
def test_largest_message_is_served_in_calm(limited, statement):
    platform, daemon = limited
    size = MAX_LINE_BYTES - len(b"QUERY ordinary ") - len(statement)
    assert is_served(platform, daemon, statement + b"x" * size)
    check(platform, daemon)


def test_largest_row_is_served_in_calm(limited):
    platform, daemon = limited
    for server in platform.group.server_by_id.values():
        server.row_bytes = MAX_LINE_BYTES - 20
    assert is_served(platform, daemon)
    check(platform, daemon)


def test_idle_sessions_below_the_limits_are_kept(limited):
    # Guards against limits that close sessions of well-behaved clients.
    platform, daemon = limited
    crowd = Crowd(platform, daemon.addresses["session_address"], 60, START)
    crowd.run()
    for client in crowd.clients:
        client.read_bytes = 100
        client.step()
    assert not any(client.is_closed for client in crowd.clients)
    check(platform, daemon)
