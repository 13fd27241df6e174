"""Network partitions of a failure domain from the others and from the platform."""

import time

from tests.processes import builders


def test_cut_domain_with_the_primary(tmp_path):
    with builders.running_fleet(tmp_path) as fleet:
        load = builders.load(fleet, 14)
        time.sleep(2)
        primary = fleet.find_primary("orders")
        builders.cut_domain(fleet, fleet.domain_by_name[primary])
        time.sleep(6)
        builders.heal(fleet)
        findings = load.finish()
        assert fleet.find_primary("orders") != primary
    assert findings.is_clean, findings
    assert load.longest_gap("hotel-orders") <= builders.MAX_FAILOVER_GAP_S


def test_cut_domain_serves_reads_at_its_replicas(tmp_path):
    with builders.running_fleet(tmp_path) as fleet:
        load = builders.load(fleet, 0.1)
        load.finish()
        primary = fleet.find_primary("stock")
        domain = next(
            fleet.domain_by_name[name]
            for name in fleet.target_names
            if fleet.group_by_target[name] == "stock" and name != primary
        )
        url = next(
            fleet.caller_url(name)
            for name in fleet.entry_names
            if fleet.domain_by_name[name] == domain
        )
        caller = builders.caller(fleet, "catalogue")
        builders.cut_domain(fleet, domain)
        time.sleep(1)
        reply = caller.query(
            url, "stock", "SELECT count(*) FROM stock", max_age_ms=60_000
        )
        assert reply.ok, reply
        assert fleet.domain_by_name[reply.body["target"]] == domain
