import os
import signal
import subprocess
import sys
from contextlib import ExitStack
from datetime import timedelta

import pytest

from bulrushloom.databases.exceptions import AnswerLost, ServerUnreachable
from bulrushloom.databases.http import HttpDatabaseClient
from tests.standins.builders import (
    INSERT,
    SCHEMA,
    Server,
    read,
    send_raw,
    wait_until,
    write,
)


@pytest.fixture
def launch():
    with ExitStack() as stack:

        def start(*arguments):
            process = subprocess.Popen(
                [sys.executable, "-m", "standins", *arguments, "--port", "0"],
                stdout=subprocess.PIPE,
                text=True,
            )
            stack.callback(process.stdout.close)
            stack.callback(process.wait, 5)
            stack.callback(process.kill)
            word, address = process.stdout.readline().split()
            assert word == "listening"
            return process, address

        yield start


@pytest.mark.parametrize("kind", ["store", "directory"])
def test_process_serves_loopback_and_exits_with_zero_on_sigterm(launch, kind):
    process, address = launch(kind)
    assert address.startswith("127.0.0.1:")
    assert send_raw(address, "/faults").status == 200
    process.terminate()
    assert process.wait(5) == 0


def test_sigterm_ends_a_server_with_a_waiting_request(launch):
    process, address = launch("store")
    blocked = subprocess.Popen(
        [
            sys.executable,
            "-c",
            "import sys, urllib3; urllib3.request('GET', sys.argv[1])",
            f"http://{address}/watch?key=k&timeout_ms=60000",
        ]
    )
    wait_until(lambda: send_raw(address, "/faults").json()["calls"].get("watch"))
    process.terminate()
    assert process.wait(5) == 0
    blocked.wait(5)


def test_frozen_primary_is_replaced_and_fenced_after_it_resumes(launch, tmp_path):
    schema = tmp_path / "schema.sql"
    schema.write_text(SCHEMA)
    common = ["database", "--group", "orders-1", "--domain", "junction"]
    common += ["--schema", str(schema)]
    frozen, first = launch(*common, "--name", "a", "--primary")
    peers = ["--peers", f"a={first}"]
    replicas = [launch(*common, "--name", name, *peers) for name in "bc"]
    servers = [Server(address) for address in (first, *(r[1] for r in replicas))]
    position = servers[0].run(write(INSERT, "kept")).position
    for server in servers[1:]:
        assert server.status(position, timedelta(seconds=5)).stored_position >= position
    os.kill(frozen.pid, signal.SIGSTOP)
    # SIGSTOP takes effect with a delay, in which a thread may still answer.
    os.waitid(os.P_PID, frozen.pid, os.WSTOPPED)
    short_timeout_client = HttpDatabaseClient(
        first, "t/junction", timedelta(milliseconds=100)
    )
    with pytest.raises(AnswerLost):
        short_timeout_client.status()
    for server in servers[1:]:
        server.fence(2, "watcher")
    servers[1].promote(2, "watcher")
    position = servers[1].run(write(INSERT, "new", term=2)).position
    os.kill(frozen.pid, signal.SIGCONT)
    servers[0].run(write(INSERT, "unacknowledged"))
    servers[0].follow(2, servers[1].address)
    assert servers[0].status(position, timedelta(seconds=5)).stored_position == position
    caught_up = read(term=2, position=position, wait_ms=3000)
    assert servers[0].run(caught_up).rows == [["kept"], ["new"]]
    frozen.kill()
    frozen.wait(5)
    with pytest.raises(ServerUnreachable):
        short_timeout_client.status()
