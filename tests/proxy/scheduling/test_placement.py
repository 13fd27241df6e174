"""Placement of reads on replicas."""

from collections import Counter
from random import Random

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.messages import LogPosition
from bulrushloom.proxy.routing import Candidate
from bulrushloom.proxy.scheduling.base import TargetLoad
from bulrushloom.proxy.scheduling.placement import LoadReports, place, preference
from tests.proxy.builders import build_router, build_target, ms
from tests.proxy.scheduling.builders import LOOKUP, build_operation, build_schedulers
from tests.proxy.scheduling.simulation import Simulation, share_served

POSITION = LogPosition(1, 1)


def build_candidates(loads, **load_by_id):
    for target_id, running in load_by_id.items():
        loads.record(target_id, TargetLoad(running, 0, 4.0), ms(0), ms(0))
    return [
        Candidate(build_target(name), name == "a", 0, True, loads.get(name))
        for name in load_by_id
    ]


class TestReadRouter:
    def choose(self, router, account="hotel", **load_by_id):
        candidates = build_candidates(router.loads, **load_by_id)
        return router.choose(candidates, POSITION, ms(0), account).target.target_id

    def test_account_keeps_its_replica_up_to_a_quarter_above_the_mean(self):
        # Guards against accounts that alternate and find no open connection.
        first, second = preference("hotel", "bc")
        loads = {"a": 0, first: 12, second: 8}
        assert self.choose(build_router("north"), **loads) == first
        loads = {"a": 0, first: 14, second: 8}
        assert self.choose(build_router("north"), **loads) == second

    def test_replica_that_fails_or_lags_is_left_out(self):
        # Guards against a preference for a replica that does not serve the read.
        first, second = preference("hotel", "bc")
        router = build_router("north")
        router.health(first).record_failure(ms(0))
        assert self.choose(router, a=0, b=0, c=0) == second
        router = build_router("north")
        router.health(first).record_lag(ms(0))
        assert self.choose(router, a=0, b=0, c=0) == second

    def test_read_without_a_replica_runs_on_the_primary(self):
        # Guards against reads without a target while only the primary has the position.
        router = build_router("north")
        candidates = build_candidates(router.loads, a=9, b=0)
        chosen = router.choose(candidates, Missing("none"), ms(0), "hotel")
        assert chosen.target.target_id == "a"


class TestPlace:
    def test_report_counts_less_as_it_gets_older(self):
        # Guards against a replica that is avoided because of a load of long ago.
        first, second = preference("hotel", "bc")
        loads = LoadReports()
        loads.record(first, TargetLoad(20, 0, 4.0), ms(0), ms(0))
        loads.record(second, TargetLoad(2, 0, 4.0), ms(0), ms(0))
        reports = {name: loads.get(name) for name in "bc"}
        assert place("hotel", reports, ms(0)) == second
        assert place("hotel", reports, ms(10_000)) == first

    def test_report_that_arrives_late_does_not_replace_a_newer_one(self):
        loads = LoadReports()
        loads.record("b", TargetLoad(2, 0, 4.0), ms(0), ms(500))
        loads.record("b", TargetLoad(30, 0, 4.0), ms(400), ms(600))
        assert loads.get("b").requests == 2

    def test_account_moves_only_if_its_replica_is_removed(self):
        # Guards against all accounts that open new connections after a replica is gone.
        for account in map(str, range(100)):
            order = preference(account, "bcd")
            kept = [name for name in order if name != "d"]
            assert preference(account, "bc") == kept


class TestLookupsOfUnequalAccounts:
    def play(self, factor_of_d, is_placed):
        """Play lookups of 88 accounts at 3 replicas, ``d`` with another work."""
        simulations = {
            name: Simulation(build_schedulers(1), slowness=lambda now, f=factor: f)
            for name, factor in (("b", 1), ("c", 1), ("d", factor_of_d))
        }
        loads, random, lookups = LoadReports(), Random(1), []
        counts = Counter()
        for at in range(0, 10_000, 5):
            for name, simulation in simulations.items():
                simulation.run(ms(at))
                load = simulation.schedulers[0].load
                loads.record(name, load, ms(0), ms(at))
            account = f"account-{min(87, int(random.paretovariate(1.2)))}"
            reports = {name: loads.get(name) for name in simulations}
            name = preference(account, reports)[0]
            if is_placed:
                name = place(account, reports, ms(at))
            counts[name] += 1
            operation = build_operation(LOOKUP, account)
            lookups.append(simulations[name].arrive(ms(at), 0, operation))
        for simulation in simulations.values():
            simulation.run(ms(12_000))
        return share_served(lookups, LOOKUP.objective), counts

    def test_slow_replica_gets_what_it_can_serve(self):
        # Guards against accounts that stay with a replica that cannot serve them.
        with_loads, counts = self.play(5, is_placed=True)
        without_loads, _ = self.play(5, is_placed=False)
        assert with_loads > 0.99 > without_loads
        assert counts["d"] < min(counts["b"], counts["c"])

    def test_replicas_are_used_evenly_beside_large_accounts(self):
        # Guards against a replica that gets the reads of several large accounts: the
        # largest one has 56% of these reads.
        served, counts = self.play(1, is_placed=True)
        assert served == 1
        assert max(counts.values()) < 1.5 * counts.total() / 3


def test_reads_stay_near_while_the_near_replica_has_room():
    # Guards against reads that cross domains although the own one has a free replica:
    # the load of the other domains is not known, so a near one always seems busier.
    reports = LoadReports()
    reports.record("near", TargetLoad(2, 0, 3.0), ms(0), ms(0))
    reports.record("far", TargetLoad(0, 0, 3.0), ms(0), ms(0))
    known = {target_id: reports.get(target_id) for target_id in ("near", "far")}
    ranks = {"near": 0, "far": 1}
    assert {place(f"account-{n}", known, ms(0), ranks) for n in range(20)} == {"near"}
    reports.record("near", TargetLoad(3, 9, 3.0), ms(0), ms(5000))
    known["near"] = reports.get("near")
    placed = {place(f"account-{n}", known, ms(5000), ranks) for n in range(20)}
    assert placed == {"far"}
