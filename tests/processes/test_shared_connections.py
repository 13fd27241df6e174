"""Real proxy daemons that share connections, with a simulated platform on loopback."""

import signal
from datetime import timedelta

import pytest

from bulrushloom.proxy.sharing.ownership import OwnerChooser
from standins.platform.host import SERVICE
from tests.processes.test_proxy_daemon import (
    SECOND,
    open_session,
    platform,
    wait_ready,
)
from tests.runtime.builders import wait_until

__all__ = ["platform"]

NAMES = [f"north-{number}" for number in range(6)]
# Less the 6 that are reserved, there are fewer than daemons.
MAX_CONNECTIONS = 10
MILLISECOND = timedelta(milliseconds=1)


@pytest.fixture
def daemons(platform):
    service = {"Name": SERVICE, "MaxConns": MAX_CONNECTIONS, "SyncReplicas": 1}
    platform.configure(2, Services=[service])
    for server in platform.group.server_by_id.values():
        server.max_connections = MAX_CONNECTIONS
    daemons = [platform.start(name) for name in NAMES]
    for daemon in daemons:
        wait_ready(platform, daemon)
    for daemon in daemons:
        wait_until(
            platform.loop,
            lambda daemon=daemon: metric(daemon, "bulrushloom_members") == len(NAMES),
            SECOND * 15,
        )
    chooser = OwnerChooser()
    chooser.update_members(NAMES)
    order = chooser.order("a")
    return sorted(daemons, key=lambda daemon: order.index(daemon.name))


def run(platform, duration):
    end = platform.loop.now() + duration
    while platform.loop.now() < end:
        platform.loop.run_once(MILLISECOND * 20)


def metric(daemon, name):
    _, text = daemon.get("metrics", "/metrics")
    values = [line for line in text.splitlines() if line.startswith(name + " ")]
    return float(values[0].split()[1]) if values else 0.0


def test_frozen_owner_is_replaced_and_runs_nothing_late(platform, daemons):
    # Guards against callers that wait for a frozen owner, and against statements of
    # them that run once it continues.
    owner, _, *others = daemons
    callers = [open_session(platform, daemon) for daemon in others]
    for caller in callers:
        assert caller.query("WRITE 1 data")[-2].startswith("DONE")
    wait_until(platform.loop, lambda: metric(owner, "bulrushloom_peers") >= 1)
    assert sum(metric(d, "bulrushloom_owned_connections") for d in others) == 0
    writer, *others = callers
    assert writer.query("BEGIN")[-2].startswith("DONE")
    assert writer.query("WRITE 2 data")[-2].startswith("DONE")
    owner.signal(signal.SIGSTOP)
    writer.stream.write(b"QUERY late-1 WRITE 3 data\r\n")
    started_at = platform.loop.now()
    for caller in others:
        while not caller.query("WRITE 4 data")[-2].startswith("DONE"):
            assert platform.loop.now() < started_at + SECOND * 2
    run(platform, SECOND * 2)
    owner.signal(signal.SIGCONT)
    run(platform, SECOND)
    assert b"ERR ABORTED" in writer.stream.read_all()
    ids = [run.request_id for run in platform.group.runs]
    assert "late-1" not in ids
    assert len(ids) == len(set(ids))
