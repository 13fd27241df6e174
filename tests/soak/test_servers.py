"""Restarts, joins and promotions of the soak's simulated servers."""

import base64
from contextlib import ExitStack
from datetime import timedelta

import orjson
import pytest

from bulrushloom.core.clock import ManualClock
from bulrushloom.runtime.loop import Loop
from standins.platform.host import Platform
from standins.platform.network import MemoryNetwork, run_for

SECOND = timedelta(seconds=1)
PROMOTION = orjson.dumps({"Id": "b"})


@pytest.fixture
def platform(tmp_path):
    with ExitStack() as stack:
        loop = Loop(ManualClock())
        stack.callback(loop.close)
        yield Platform(stack, loop, tmp_path)


@pytest.fixture
def servers(platform):
    return platform.group.server_by_id


def commit(platform, server, request_id):
    """Commit a write; return a list that is not empty once it is acknowledged."""
    acknowledgements = []
    server.commit((request_id,), lambda: acknowledgements.append(request_id))
    run_for(platform.loop, SECOND / 10)
    return acknowledgements


def test_restart_ends_the_pause_and_acknowledges_pending_commits(platform, servers):
    for server_id in "bc":
        servers[server_id].paused_term = 2
    acknowledgements = commit(platform, servers["a"], "w-1")
    assert acknowledgements == []
    platform.crash("c")
    run_for(platform.loop, SECOND / 10)
    assert acknowledgements == []
    platform.restart("c")
    assert acknowledgements == ["w-1"] and servers["c"].paused_term == 0
    assert servers["c"].log == servers["a"].log and servers["b"].log == []


def test_restart_changes_the_start_time_of_the_entry(platform):
    def start_time():
        platform.write_server_entries()
        value = platform.store.item_by_key["servers/b"]["Value"]
        return orjson.loads(base64.b64decode(value))["born"]

    first = start_time()
    run_for(platform.loop, SECOND)
    platform.crash("b")
    platform.restart("b")
    assert start_time() - first == 1000


def test_replica_that_lost_its_log_copies_it_from_the_primary(platform, servers):
    commit(platform, servers["a"], "w-1")
    platform.crash("b")
    platform.restart("b", SECOND / 20)
    assert servers["b"].log == []
    run_for(platform.loop, SECOND / 10)
    assert servers["b"].log == servers["a"].log != []


def test_replica_without_its_log_gets_nothing_from_a_stopped_primary(platform, servers):
    commit(platform, servers["a"], "w-1")
    platform.crash("a")
    platform.crash("b")
    platform.restart("b", SECOND / 20)
    run_for(platform.loop, SECOND)
    assert servers["b"].log == []
    platform.restart("a")
    run_for(platform.loop, SECOND)
    assert servers["b"].log == servers["a"].log != []


def test_joining_replica_that_is_paused_copies_nothing(platform, servers):
    commit(platform, servers["a"], "w-1")
    platform.crash("a")
    added = platform.add_server("d")
    platform.group.rejoin(added)
    added.paused_term = 2
    platform.restart("a")
    run_for(platform.loop, SECOND)
    assert added.log == []
    added.paused_term = 0
    run_for(platform.loop, SECOND)
    assert added.log == servers["a"].log != []


def test_resumed_replica_has_no_gap_in_its_log(platform, servers):
    # A replica that received later commits only was promoted as the most advanced.
    servers["b"].paused_term = 2
    commit(platform, servers["a"], "w-1")
    servers["b"].paused_term = 0
    platform.group.rejoin(servers["b"])
    commit(platform, servers["a"], "w-2")
    assert servers["b"].log == servers["a"].log


def test_server_that_does_not_run_is_not_promoted(platform, servers):
    def promote():
        status, _, _ = platform.store.handle("POST", "/promote", PROMOTION)
        return status

    platform.crash("b")
    assert promote() == 409
    platform.restart("b")
    assert promote() == 200
    platform.crash("b")
    run_for(platform.loop, SECOND)
    assert platform.group.primary() is servers["a"] and not platform.group.promotions
    platform.restart("b")
    promote()
    run_for(platform.loop, SECOND)
    assert platform.group.primary() is servers["b"]
    assert [promotion.server for promotion in platform.group.promotions] == ["b"]


def test_server_that_restarts_after_a_demotion_waits_for_the_promotion(
    platform, servers
):
    # With seed 31008, a restart failed because the group had no primary.
    commit(platform, servers["a"], "w-1")
    servers["a"].demote(2)
    platform.crash("c")
    platform.restart("c", SECOND / 20)
    run_for(platform.loop, SECOND)
    assert servers["c"].log == []
    platform.group.promote("b", SECOND / 10)
    run_for(platform.loop, SECOND)
    assert servers["c"].log == servers["b"].log != []


def test_overlapping_crashes_of_a_server_restart_it_once(platform, servers):
    platform.crash("b")
    platform.crash("b")
    platform.restart("b")
    platform.restart("b")
    assert servers["b"].is_running and platform.crashed_ids == set()


def test_accounts_that_servers_are_told_are_recorded(platform, servers):
    # Guards against a connection for a wrong account on which no statement runs.
    network = MemoryNetwork(platform.loop)
    network.accept_by_address["a:1"] = servers["a"].accept
    for line in (b"START orders hotel a", b"START orders  a", b"START orders x b"):
        connecting = network.connect("a:1", SECOND)
        run_for(platform.loop, SECOND / 10)
        connecting.result().write(line + b"\r\n")
        run_for(platform.loop, SECOND / 10)
    starts = [(start.server, start.account) for start in platform.group.starts]
    assert starts == [("a", "hotel"), ("a", ""), ("a", "x")]
