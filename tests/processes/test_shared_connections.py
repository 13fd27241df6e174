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


def run(platform, duration):
    end = platform.loop.now() + duration
    while platform.loop.now() < end:
        platform.loop.run_once(MILLISECOND * 20)


def metric(daemon, name):
    _, text = daemon.get("metrics", "/metrics")
    values = [line for line in text.splitlines() if line.startswith(name + " ")]
    return float(values[0].split()[1]) if values else 0.0


@pytest.fixture
def daemons(platform):
    service = {"Name": SERVICE, "MaxConns": MAX_CONNECTIONS, "SyncReplicas": 1}
    # Transactions pause while the daemons are asked for metrics on a loaded machine.
    platform.configure(2, Services=[service], Limits={"TxIdleMs": 15_000})
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
    chooser.update_members(NAMES, SECOND)
    order = chooser.order("a")
    daemons.sort(key=lambda daemon: order.index(daemon.name))
    # An owner has only one connection until 3.5 s after it knows all members.
    caller = open_session(platform, daemons[-1])
    assert caller.query("WRITE 0 data")[-2].startswith("DONE")
    run(platform, SECOND * 4)
    return daemons


def begin_transaction(platform, daemons):
    """Write in a transaction; return its caller, its daemon and the lease's owner.

    On a loaded machine, all owners may count as silent; then it is tried again.
    """
    daemon = daemons[-1]
    end = platform.loop.now() + SECOND * 20
    while platform.loop.now() < end:
        writer = open_session(platform, daemon)
        assert writer.query("BEGIN")[-2].startswith("DONE")
        assert writer.query("WRITE 1 data")[-2].startswith("DONE")
        others = [d for d in daemons if d is not daemon]
        owners = [d for d in others if metric(d, "bulrushloom_leases") == 1]
        if len(owners) == 1:
            return writer, daemon, owners[0]
        writer.query("ROLLBACK")
        run(platform, SECOND)
    raise AssertionError("no transaction uses a leased connection")


def test_frozen_owner_is_replaced_and_runs_nothing_late(platform, daemons):
    # Guards against callers that wait for a frozen owner, and against statements of
    # them that run once it continues.
    writer, daemon, owner = begin_transaction(platform, daemons)
    others = [d for d in daemons if d not in (daemon, owner)]
    callers = [open_session(platform, other) for other in others]
    for caller in callers:
        assert caller.query("WRITE 2 data")[-2].startswith("DONE")
    owner.signal(signal.SIGSTOP)
    writer.stream.write(b"QUERY late-1 WRITE 3 data\r\n")
    started_at = platform.loop.now()
    for caller in callers:
        while not caller.query("WRITE 4 data")[-2].startswith("DONE"):
            assert platform.loop.now() < started_at + SECOND * 2
    run(platform, SECOND * 2)
    owner.signal(signal.SIGCONT)
    run(platform, SECOND)
    assert b"ERR ABORTED" in writer.stream.read_all()
    ids = [run.request_id for run in platform.group.runs]
    assert "late-1" not in ids
    assert len(ids) == len(set(ids))


def test_stopping_owner_waits_for_the_leases_of_others(platform, daemons):
    # Guards against a planned stop that cuts a transaction of another instance.
    writer, daemon, owner = begin_transaction(platform, daemons)
    other = next(d for d in daemons if d not in (daemon, owner))
    owner.signal(signal.SIGTERM)
    # Without sessions of its own, the owner would be gone after 1.6 s.
    run(platform, SECOND * 2.2)
    assert owner.is_running
    caller = open_session(platform, other)
    assert caller.query("WRITE 2 data")[-2].startswith("DONE")
    assert writer.query("COMMIT")[-2].startswith("DONE")
    wait_until(platform.loop, lambda: not owner.is_running)
    assert owner.process.returncode == 0
