from datetime import timedelta

import pytest

from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.databases.base import Role
from bulrushloom.databases.exceptions import RefusalReason, StatementRefused
from tests.standins.builders import (
    INSERT,
    call_counts,
    read,
    set_faults,
    wait_until,
    write,
)


def refusal_reason(call, *arguments):
    with pytest.raises(StatementRefused) as caught:
        call(*arguments)
    return caught.value.reason


def test_replicas_receive_and_apply_each_transaction(group):
    primary, *replicas = group.servers
    position = primary.run(write(INSERT, "vat")).position
    assert position == LogPosition(1, 2)
    for replica in replicas:
        rows = replica.run(read(position=position, wait_ms=3000))
        assert (rows.rows, rows.position) == ([["vat"]], position)
        status = replica.status()
        assert (status.role, status.term) == (Role.REPLICA, 1)
        assert status.age < timedelta(seconds=1)
        assert status.primary_contact_age < timedelta(seconds=1)


def test_lagging_replica_holds_an_entry_before_its_reads_see_it(group):
    primary, replica, _ = group.servers
    replica.faults(lag_ms=400)
    position = primary.run(write(INSERT, "vat")).position
    status = replica.status(position, timedelta(seconds=3))
    assert status.stored_position == position > status.applied_position
    early = read(position=position, wait_ms=10)
    assert refusal_reason(replica.run, early) is RefusalReason.NOT_CAUGHT_UP
    assert replica.items() == []
    assert replica.run(read(position=position, wait_ms=3000)).rows == [["vat"]]


def test_slow_shipping_delays_what_a_replica_holds(group):
    primary, slow, quick = group.servers
    slow.faults(ship_lag_ms=400)
    # The pull that was waiting when the lag was set ends after the poll interval.
    wait_until(lambda: slow.status().age > timedelta(milliseconds=1))
    slow.status(LogPosition(1, 9), timedelta(milliseconds=250))
    position = primary.run(write(INSERT, "vat")).position
    assert quick.status(position, timedelta(seconds=3)).stored_position == position
    assert slow.status().stored_position < position
    assert slow.status(position, timedelta(seconds=3)).stored_position == position


def test_age_grows_while_replication_is_paused(group):
    primary, replica, _ = group.servers
    replica.faults(pause_replication=True)
    wait_until(lambda: replica.status().age > timedelta(milliseconds=400))
    assert replica.status().primary_contact_age > timedelta(milliseconds=300)
    stale = read(max_age_ms=300, wait_ms=20)
    assert refusal_reason(replica.run, stale) is RefusalReason.TOO_OLD
    assert replica.items() == []
    primary.run(write(INSERT, "vat"))
    replica.faults(pause_replication=False)
    assert replica.run(read(max_age_ms=300, wait_ms=3000)).rows == [["vat"]]
    assert primary.run(read(max_age_ms=0)).rows == [["vat"]]


def test_cut_between_servers_stops_replication_only_for_that_domain(group):
    primary, cut_off, replica = group.servers
    primary.faults(cut=["domain-b"])
    wait_until(lambda: call_counts(primary.address).get("cut", 0) > 1)
    position = primary.run(write(INSERT, "vat")).position
    assert replica.status(position, timedelta(seconds=3)).stored_position == position
    assert (
        cut_off.status(position, timedelta(milliseconds=100)).stored_position < position
    )
    primary.faults(cut=[])
    assert cut_off.status(position, timedelta(seconds=3)).stored_position == position


def test_replica_is_read_only_even_for_a_statement_sent_as_a_read(group):
    primary, replica, _ = group.servers
    wrong = read("INSERT INTO orders (item) VALUES ('vat')")
    assert refusal_reason(replica.run, wrong) is RefusalReason.READ_ONLY
    assert refusal_reason(primary.run, wrong) is RefusalReason.READ_ONLY
    assert (
        refusal_reason(replica.run, write(INSERT, "vat")) is RefusalReason.NOT_PRIMARY
    )
    assert primary.items() == replica.items() == []


def test_status_poll_returns_at_its_timeout(group):
    replica = group.servers[1]
    status = replica.status(LogPosition(1, 99), timedelta(milliseconds=50))
    assert status.stored_position == LogPosition(1, 1)


def test_schema_changes_are_replicated(group):
    primary, replica, _ = group.servers
    primary.run(write("CREATE TABLE trucks (plate TEXT)"))
    position = primary.run(write("INSERT INTO trucks VALUES ('8712')")).position
    rows = replica.run(read("SELECT * FROM trucks", position=position, wait_ms=3000))
    assert rows.rows == [["8712"]]


def test_replica_reports_how_long_it_has_not_heard_the_primary(group):
    replica = group.servers[1]
    set_faults(group.servers[0].address, outage=True)
    wait_until(
        lambda: replica.status().primary_contact_age > timedelta(milliseconds=400)
    )
