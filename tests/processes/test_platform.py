"""Platform outages, concurrent changes by operators, and withdrawn API keys."""

import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor

from benchmarks import processes
from benchmarks.fleet import Fleet
from bulrushloom.management.applying import RULES_KEY
from tests.processes import builders

# Objectives on the design page for a rule change and for the withdrawal of a key.
MAX_CHANGE_S = 6.0
MAX_WITHDRAWAL_S = 3.0


def apply_rules(fleet: Fleet, path) -> subprocess.CompletedProcess:
    settings = fleet.directory / f"{fleet.entry_names[0]}.yaml"
    command = [sys.executable, "-m", "bulrushloom", "rules", "apply", str(path)]
    command.append(f"--settings={settings}")
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


def versions(fleet: Fleet) -> set[int]:
    return {fleet.status(name)["rules_version"] for name in fleet.entry_names}


def test_failover_during_a_store_outage(tmp_path):
    with builders.running_fleet(tmp_path) as fleet:
        load = builders.load(fleet, 12)
        fleet.set_faults("store", outage=True)
        time.sleep(4)
        processes.kill(fleet.process_by_name[fleet.find_primary("orders")])
        findings = load.finish()
        fleet.set_faults("store", outage=False)
    assert findings.is_clean, findings
    assert load.longest_gap("hotel-orders") <= builders.MAX_FAILOVER_GAP_S


def test_slow_store_that_loses_answers_does_not_stop_callers(tmp_path):
    with builders.running_fleet(tmp_path) as fleet:
        load = builders.load(fleet, 8)
        fleet.set_faults("store", slow_ms=800, lose_rate=0.5, lose_seed=7)
        killed = builders.share_holders(fleet)[0]
        processes.kill(fleet.process_by_name[killed])
        time.sleep(1)
        fleet.start_entry(killed)
        findings = load.finish()
        fleet.set_faults("store", slow_ms=0, lose_rate=0.0)
    assert findings.is_clean, findings


def test_lost_store_answer_does_not_hide_an_accepted_change(tmp_path):
    with builders.running_fleet(tmp_path) as fleet:
        path = tmp_path / "changed.txt"
        path.write_text(fleet.rules_text("# a change\n"))
        [before] = versions(fleet)
        fleet.set_faults("store", lose_answers=1)
        done = apply_rules(fleet, path)
        assert done.returncode == 0, done.stderr
        took = builders.wait_until(
            lambda: versions(fleet) == {before + 1}, MAX_CHANGE_S, "change in force"
        )
        assert took <= MAX_CHANGE_S


def test_two_operators_race_and_one_is_told(tmp_path):
    with builders.running_fleet(tmp_path) as fleet:
        paths = []
        for number in range(2):
            path = tmp_path / f"changed{number}.txt"
            extra = f"account extra-{number} rate=1 burst=1  # ann: race\n"
            path.write_text(fleet.rules_text(extra))
            paths.append(path)
        # The store holds both writes until the second arrives, so that both commands
        # have read version 1.
        fleet.set_faults("store", race_key=RULES_KEY)
        with ThreadPoolExecutor(2) as executor:
            results = list(executor.map(lambda path: apply_rules(fleet, path), paths))
        fleet.set_faults("store", race_key="")
        assert sorted(done.returncode for done in results) == [0, 1]
        loser = max(results, key=lambda done: done.returncode)
        assert "version 2" in loser.stderr + loser.stdout
        builders.wait_until(lambda: versions(fleet) == {2}, MAX_CHANGE_S, "version 2")


def test_withdrawn_key_stops_on_a_connected_caller(tmp_path):
    with builders.running_fleet(tmp_path) as fleet:
        load = builders.load(fleet, 0.1)
        load.finish()
        caller = builders.caller(fleet, "catalogue")
        urls = [fleet.caller_url(name) for name in fleet.entry_names]

        def kinds() -> set[str]:
            return {caller.query(url, "stock", "SELECT 1").kind for url in urls}

        assert kinds() == {""}
        digest = fleet.api_key_by_account["catalogue"].digest
        path = tmp_path / "withdrawn.txt"
        path.write_text(fleet.rules_text(f"withdraw {digest}  # ann: laptop stolen\n"))
        with ThreadPoolExecutor(1) as executor:
            applying = executor.submit(apply_rules, fleet, path)
            builders.wait_until(
                lambda: fleet.store_version() == 2, 10, "the change is accepted"
            )
            builders.wait_until(
                lambda: kinds() == {"unauthenticated"},
                MAX_WITHDRAWAL_S,
                "the key is refused everywhere",
            )
            assert applying.result().returncode == 0


def test_withdrawn_key_in_a_domain_that_is_cut_off(tmp_path):
    with builders.running_fleet(tmp_path) as fleet:
        load = builders.load(fleet, 0.1)
        load.finish()
        caller = builders.caller(fleet, "catalogue")
        domain = "mandeville"
        inside = [
            fleet.caller_url(name)
            for name in fleet.entry_names
            if fleet.domain_by_name[name] == domain
        ]
        outside = [
            fleet.caller_url(name)
            for name in fleet.entry_names
            if fleet.domain_by_name[name] != domain
        ]
        builders.cut_domain(fleet, domain)
        # Keys are refused 5 s after the last confirmation that the rules are current.
        builders.wait_until(
            lambda: (
                {caller.query(url, "stock", "SELECT 1").kind for url in inside}
                == {"configuration_stale"}
            ),
            8,
            "keys are refused in the domain that is cut off",
        )
        for url in outside:
            assert caller.query(url, "stock", "SELECT 1").ok
        builders.heal(fleet)
        builders.wait_until(
            lambda: all(caller.query(url, "stock", "SELECT 1").ok for url in inside),
            12,
            "keys work again",
        )
