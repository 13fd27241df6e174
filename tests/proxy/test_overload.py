"""Waiting and refusals when servers are full or the primary is down."""

from datetime import timedelta

from tests.proxy.builders import ms


def test_full_server_does_not_receive_a_connection_per_statement(instance):
    # Guards against a connection storm at a server that rejects all connections.
    for server in instance.group.server_by_id.values():
        server.max_connections = 0
    opened = instance.services.pool.opened
    clients = [instance.client("strict") for _ in range(4)]
    for client in clients:
        client.send("QUERY x-1 READ 1")
    instance.run(ms(200))
    assert instance.services.pool.opened - opened <= 4
    assert instance.group.runs == []


def test_full_server_is_used_again_when_it_accepts_connections(instance):
    server = instance.group.primary()
    server.max_connections = 0
    client = instance.client("strict")
    assert client.query("READ 1")[0].startswith("ERR BUSY")
    server.max_connections = 40
    instance.run(ms(300))
    assert client.query("READ 1")[1].startswith("DONE")


def test_statement_that_no_server_takes_is_refused_early_with_a_retry_time(instance):
    # Guards against clients that wait in vain until the statement timeout.
    instance.network.accept_by_address.clear()
    client = instance.client("strict")
    started_at = instance.loop.now()
    lines = client.query("READ 1")
    assert lines[0].startswith("ERR BUSY") and "retry after" in lines[0]
    assert instance.loop.now() - started_at <= ms(400)


def test_write_is_refused_at_once_while_the_primary_is_unknown(instance):
    client = instance.client("strict")
    instance.store_is_reachable = False
    instance.run(timedelta(seconds=3))
    started_at = instance.loop.now()
    assert client.query("WRITE 1 data")[0].startswith("ERR BUSY")
    assert instance.loop.now() - started_at <= ms(20)


def test_reads_continue_at_replicas_while_the_primary_is_down(instance):
    # Guards against a failover that also blocks reads that do not need a primary.
    client = instance.client("bounded")
    instance.client("strict").query("READ 1")
    instance.network.accept_by_address.pop("a:1")
    instance.network.cut("a:1")
    for _ in range(5):
        assert client.query("READ 1")[1].startswith("DONE")
    assert {run.server for run in instance.group.runs[1:]} <= {"b", "c"}


def test_reads_avoid_a_slow_server(instance):
    instance.client("strict").query("READ 1")
    client = instance.client("bounded")
    client.query("READ 1")
    slow = instance.group.server_by_id[instance.group.runs[-1].server]
    slow.work = ms(150)
    for _ in range(20):
        client.query("READ 1")
    slow_runs = [
        run for run in instance.group.runs[-10:] if run.server == slow.server_id
    ]
    assert len(slow_runs) <= 2
