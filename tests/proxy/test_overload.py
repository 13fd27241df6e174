"""Waiting and refusing when servers are full or the primary is gone."""

from datetime import timedelta

from tests.proxy.builders import ms


def test_full_server_is_not_asked_for_a_connection_each_time(instance):
    # Guards against a storm of connections at a server that rejects them all.
    for server in instance.group.server_by_id.values():
        server.max_connections = 0
    opened = instance.services.pool.opened
    clients = [instance.client("strict") for _ in range(4)]
    for client in clients:
        client.send("QUERY x-1 READ 1")
    instance.run(ms(200))
    assert instance.services.pool.opened - opened <= 4
    assert instance.group.runs == []


def test_full_server_is_used_again_when_it_has_room(instance):
    server = instance.group.primary()
    server.max_connections = 0
    client = instance.client("strict")
    assert client.query("READ 1")[0].startswith("ERR BUSY")
    server.max_connections = 40
    instance.run(ms(300))
    assert client.query("READ 1")[1].startswith("DONE")


def test_refusal_that_nothing_took_comes_early_and_names_a_time(instance):
    # Guards against callers that wait for nothing until their deadline.
    instance.network.accept_by_address.clear()
    client = instance.client("strict")
    started_at = instance.loop.now()
    lines = client.query("READ 1")
    assert lines[0].startswith("ERR BUSY") and "retry after" in lines[0]
    assert instance.loop.now() - started_at <= ms(400)


def test_write_is_refused_at_once_while_no_primary_can_be_known(instance):
    client = instance.client("strict")
    instance.confirms_evidence = False
    instance.run(timedelta(seconds=3))
    started_at = instance.loop.now()
    assert client.query("WRITE 1 data")[0].startswith("ERR BUSY")
    assert instance.loop.now() - started_at <= ms(20)


def test_reads_go_on_at_replicas_while_the_primary_is_dead(instance):
    # Guards against a failover that also stops the reads which need no primary.
    client = instance.client("bounded")
    instance.client("strict").query("READ 1")
    instance.network.accept_by_address.pop("a:1")
    instance.network.cut("a:1")
    for _ in range(5):
        assert client.query("READ 1")[1].startswith("DONE")
    assert {run.server for run in instance.group.runs[1:]} <= {"b", "c"}


def test_slow_server_is_left_by_reads(instance):
    instance.client("strict").query("READ 1")
    client = instance.client("bounded")
    client.query("READ 1")
    slow = instance.group.server_by_id[instance.group.runs[-1].server]
    slow.work = ms(150)
    for _ in range(20):
        client.query("READ 1")
    late = [run for run in instance.group.runs[-10:] if run.server == slow.server_id]
    assert len(late) <= 2
