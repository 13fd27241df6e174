"""Distribution time and traffic at design scale: 730 instances in 6 domains."""

from bulrushloom.coordination.configuration.topology import Topology
from tests.coordination.configuration.builders import (
    QUIET_BOUND,
    SECOND,
    Fleet,
)

INSTANCES = 730
DOMAINS = 6
MAX_BYTES_PER_S = 24_000
MAX_READS_PER_S = 2 * DOMAINS + 2


def test_withdrawal_spreads_in_time_within_the_traffic_budget():
    fleet = Fleet(INSTANCES, DOMAINS)
    fleet.run(3 * SECOND)
    fleet.bytes_by_name.clear()
    fleet.reads = 0
    fleet.run(4 * SECOND)
    assert max(fleet.bytes_by_name.values()) <= 4 * MAX_BYTES_PER_S
    assert fleet.reads <= 4 * MAX_READS_PER_S
    fleet.write(withdraw=True)
    fleet.run(QUIET_BOUND)
    fleet.check_converged()


def test_parents_and_children_match():
    domain_by_name = {f"n{i}": "d0" for i in range(INSTANCES // DOMAINS)}
    topology_by_name = {name: Topology(name, "d0") for name in domain_by_name}
    for topology in topology_by_name.values():
        topology.update(domain_by_name)
    for name, topology in topology_by_name.items():
        for child in topology.children():
            assert name in topology_by_name[child].parents()
        if not topology.is_reader:
            assert len(topology.parents()) == 2
            for parent in topology.parents():
                assert name in topology_by_name[parent].children()
                assert topology_by_name[parent].rank < topology.rank
