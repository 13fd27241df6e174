"""Statements for a primary that is replaced while they wait or their client pauses."""

import pytest

from bulrushloom.proxy.failover.commits import PENDING_COMMIT_TIMEOUT
from bulrushloom.proxy.failover.groups import GroupPhase
from tests.proxy.builders import SERVICE, build_group, ms
from tests.proxy.fleet_builders import (
    SECOND,
    check_acknowledged_commits,
    send_reads,
    write_until_served,
)


def suspend_at_next_answer(instance, duration):
    """Suspend the process for ``duration`` once it has read a server's answer."""
    services, clock = instance.services, instance.loop.clock
    record_answer_position = services.record_answer_position

    def suspend(*arguments):
        services.record_answer_position = record_answer_position
        clock.advance(duration)
        record_answer_position(*arguments)

    services.record_answer_position = suspend


def announce(instance, **changes):
    """Apply a group record; by default the primary ``a`` is being replaced."""
    instance.services.apply_group_records({SERVICE: build_group(**changes)})


def open_transaction(instance, *texts):
    client = instance.client("strict")
    for text in ("BEGIN", *texts):
        assert "DONE" in client.query(text)[-2]
    return client


def texts_run(instance):
    return [run.text for run in instance.group.runs]


@pytest.mark.parametrize("with_stale_evidence", [False, True])
def test_open_transaction_does_not_commit_at_a_replaced_primary(
    instance, with_stale_evidence
):
    # Guards against a commit that is acknowledged after the instance has confirmed that
    # it follows the failover, and that the successor therefore lacks.
    client = open_transaction(instance, "WRITE 1 data")
    if with_stale_evidence:
        instance.store_is_reachable = False
        instance.run(ms(2100))
    else:
        announce(instance)
    assert instance.services.followed_versions() or with_stale_evidence
    lines = client.query("COMMIT")
    assert lines[0].startswith("ERR ABORTED")
    assert lines[1].startswith("READY I")
    assert "COMMIT" not in texts_run(instance)
    instance.run(SECOND)
    assert instance.group.acknowledged == []
    assert all(not s.transaction for s in instance.group.primary().connections)


def test_write_in_an_open_transaction_fails_at_once_at_a_replaced_primary(instance):
    client = open_transaction(instance, "READ 1")
    announce(instance)
    assert client.query("WRITE 2 data")[0].startswith("ERR ABORTED")
    assert client.query("ROLLBACK")[-1].startswith("READY I")
    assert "WRITE 2 data" not in texts_run(instance)


def test_transaction_without_writes_ends_at_a_replaced_primary(instance):
    # The opposite case: it has no commit that a successor could lack.
    client = open_transaction(instance, "READ 1")
    announce(instance)
    assert client.query("COMMIT")[0].startswith("DONE signed")


def test_transaction_commits_if_a_new_record_keeps_its_primary(instance):
    client = open_transaction(instance, "WRITE 1 data")
    announce(instance, phase=GroupPhase.STEADY, primary_id="a", old_id="")
    assert client.query("COMMIT")[0].startswith("DONE signed")


@pytest.mark.parametrize("text", ["WRITE 1 data", "READ 1"])
def test_statement_that_waited_for_a_connection_is_not_sent_to_a_replaced_primary(
    instance, text
):
    # Guards against a statement that was assigned to the primary before a failover and
    # reaches it afterwards.
    client = instance.client("strict")
    instance.group.primary().work = ms(80)
    client.send(f"QUERY waiting-1 {text}")
    instance.run(ms(50))
    announce(instance)
    instance.run(ms(700))
    assert texts_run(instance) == []


@pytest.mark.parametrize("is_transaction", [False, True])
@pytest.mark.parametrize(
    ("suspension", "is_acknowledged"), [(ms(0), True), (PENDING_COMMIT_TIMEOUT, False)]
)
def test_commit_of_a_process_that_is_suspended_past_its_deadline(
    instance, is_transaction, suspension, is_acknowledged
):
    # Guards against a commit that is acknowledged after another server may have been
    # promoted: the process is suspended between the answer and the decision, so the
    # timer that gives up pending commits has not run yet.
    instance.group.primary().work = ms(100)
    if is_transaction:
        client = open_transaction(instance, "WRITE 1 data")
        client.send("QUERY last-1 COMMIT")
    else:
        client = instance.client("strict")
        client.query("READ 1")
        client.send("QUERY last-1 WRITE 1 data")
    instance.run(ms(50))
    assert instance.group.acknowledged == []
    suspend_at_next_answer(instance, suspension)
    announced_at = instance.loop.now()
    announce(instance)
    instance.run(PENDING_COMMIT_TIMEOUT - ms(150))
    assert instance.group.acknowledged, "the commit has not run"
    is_late = instance.loop.now() - announced_at >= PENDING_COMMIT_TIMEOUT
    assert is_late is not is_acknowledged
    instance.run(ms(10))
    expected = "DONE signed" if is_acknowledged else "ERR INDOUBT"
    assert client.received()[0].startswith(expected)


def test_commits_of_open_transactions_are_kept_by_a_failover(fleet):
    # Guards against the loss of transactions that were open at the old primary while
    # the leader reaches neither it nor the replica that receives its commits.
    leader = fleet.leader()
    others = [member for member in fleet.members if member is not leader]
    write_until_served(fleet, others[0].client("strict"))
    clients = [member.client("strict") for member in others]
    for client in clients:
        client.query("BEGIN")
        client.query("WRITE 1 data")
    fleet.group.server_by_id["b"].drops_replication = True
    accept = fleet.network.accept_by_address
    # Connections that are open stay open, and no new ones reach these servers.
    for server_id in ("a", "c"):
        accept.pop(f"{server_id}:1")
    send_reads([member.client("strict") for member in fleet.members])
    for _ in range(200):
        fleet.run(ms(10))
        if fleet.promotion.orders:
            break
    for client in clients:
        client.query("COMMIT", ms(300))
    fleet.run(SECOND * 2)
    check_acknowledged_commits(fleet)
