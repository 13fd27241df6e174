"""Planned stops of instances and targets that leave their group."""

import time

from benchmarks import processes
from tests.processes import builders
from tests.processes.test_platform import apply_rules


def test_stopped_instance_cuts_no_request(tmp_path):
    with builders.running_fleet(tmp_path) as fleet:
        load = builders.load(fleet, 8)
        time.sleep(2)
        stopped = fleet.entry_names[0]
        status = processes.stop(fleet.process_by_name[stopped])
        findings = load.finish()
    assert status == 0
    assert findings.is_clean, findings
    cut = [reply for _, _, reply in load.history.replies if reply.kind == "no_answer"]
    assert not cut


def test_leaving_primary_is_moved_and_gets_no_new_work(tmp_path):
    with builders.running_fleet(tmp_path) as fleet:
        load = builders.load(fleet, 12)
        time.sleep(1)
        leaving = fleet.find_primary("orders")
        path = tmp_path / "leaving.txt"
        path.write_text(fleet.rules_text(f"leaving {leaving}  # ann: retires\n"))
        assert apply_rules(fleet, path).returncode == 0
        builders.wait_until(
            lambda: fleet.find_primary("orders") not in ("", leaving),
            6,
            "primary moved",
        )
        time.sleep(2)
        before = fleet.call_counts(leaving).get("execute", 0)
        time.sleep(2)
        assert fleet.call_counts(leaving).get("execute", 0) == before
        findings = load.finish()
    assert findings.is_clean, findings
    assert load.longest_gap("hotel-orders") <= builders.MAX_FAILOVER_GAP_S
