"""Killed and paused processes: no acknowledged write is lost or run twice."""

import time

from benchmarks import processes
from tests.processes import builders


def test_killed_primary_is_replaced_without_a_lost_write(tmp_path):
    with builders.running_fleet(tmp_path) as fleet:
        load = builders.load(fleet, 8)
        time.sleep(2)
        killed = fleet.find_primary("orders")
        processes.kill(fleet.process_by_name[killed])
        findings = load.finish()
        assert fleet.find_primary("orders") not in ("", killed)
    assert findings.is_clean, findings
    assert load.longest_gap("hotel-orders") <= builders.MAX_FAILOVER_GAP_S


def test_paused_primary_does_not_acknowledge_after_its_replacement(tmp_path):
    with builders.running_fleet(tmp_path) as fleet:
        load = builders.load(fleet, 12)
        time.sleep(2)
        paused = fleet.find_primary("orders")
        processes.pause(fleet.process_by_name[paused])
        time.sleep(6)
        processes.resume(fleet.process_by_name[paused])
        findings = load.finish()
        assert fleet.find_primary("orders") != paused
    assert findings.is_clean, findings
    assert load.longest_gap("hotel-orders") <= builders.MAX_FAILOVER_GAP_S


def test_killed_entry_loses_no_acknowledged_write(tmp_path):
    with builders.running_fleet(tmp_path) as fleet:
        load = builders.load(fleet, 8)
        time.sleep(2)
        killed = fleet.entry_names[0]
        processes.kill(fleet.process_by_name[killed])
        time.sleep(2)
        fleet.start_entry(killed)
        findings = load.finish()
    assert findings.is_clean, findings


def test_killed_entry_rolls_its_transaction_back(tmp_path):
    with builders.running_fleet(tmp_path) as fleet:
        load = builders.load(fleet, 0.1)
        assert load.finish().is_clean
        caller = builders.caller(fleet, "dispatch")
        url = fleet.caller_url(fleet.entry_names[0])
        begun = caller.begin(url, "stock").body
        insert = "INSERT INTO bookings VALUES ('t', 's', 'dispatch')"
        transaction = begun["transaction"]
        assert caller.query(url, "stock", insert, transaction=transaction).ok
        for name in fleet.entry_names[1:]:
            processes.kill(fleet.process_by_name[name])
        processes.kill(fleet.process_by_name[fleet.entry_names[0]])
        for name in fleet.entry_names:
            fleet.start_entry(name)
        fleet.wait_ready()
        ended = caller.end(url, transaction, commit=True)
        assert not ended.ok
        count = "SELECT count(*) FROM bookings WHERE token = 't'"
        builders.wait_until(
            lambda: caller.query(url, "stock", count, max_age_ms=0).ok, 10, "a read"
        )
        reply = caller.query(url, "stock", count, max_age_ms=0)
        assert reply.body["rows"] == [[0]]


def test_paused_instance_that_owned_the_primary(tmp_path):
    with builders.running_fleet(tmp_path) as fleet:
        load = builders.load(fleet, 12)
        time.sleep(2)
        paused = [name for name in fleet.entry_names if name.startswith("santa-cruz")]
        for name in paused:
            processes.pause(fleet.process_by_name[name])
        time.sleep(4)
        for name in paused:
            processes.resume(fleet.process_by_name[name])
        findings = load.finish()
    assert findings.is_clean, findings
