from datetime import timedelta

from bulrushloom.coordination.routing.base import Candidate, ReadRequirements
from bulrushloom.coordination.routing.policies import (
    FreshReplicaPolicy,
    PrimaryOnlyPolicy,
    RoundRobinPolicy,
)
from bulrushloom.coordination.sessions.base import LogPosition

MILLISECOND = timedelta(milliseconds=1)
NEED = ReadRequirements("east", LogPosition(1, 5), 100 * MILLISECOND)


def candidate(target, domain="east", **changes):
    built = Candidate(
        target, domain, False, True, LogPosition(1, 5), 10 * MILLISECOND, 0
    )
    return built._replace(**changes)


PRIMARY = candidate("p", is_primary=True)


def order(*candidates):
    return FreshReplicaPolicy().order([PRIMARY, *candidates], NEED)


def test_replica_known_to_be_caught_up_comes_first():
    behind = candidate("b", applied=LogPosition(1, 4))
    assert order(behind, candidate("c")) == ["c", "b", "p"]


def test_later_term_satisfies_an_older_position():
    newer = candidate("b", applied=LogPosition(2, 1))
    assert order(newer)[0] == "b"


def test_less_loaded_and_near_replicas_are_preferred():
    busy = candidate("b", in_flight=3)
    far = candidate("c", domain="west")
    assert order(busy, far) == ["c", "b", "p"]
    assert order(candidate("b"), far) == ["b", "c", "p"]


def test_replica_that_is_far_too_old_comes_after_the_primary():
    old = candidate("b", age=timedelta(seconds=9))
    assert order(old) == ["p", "b"]


def test_unreachable_replica_comes_last():
    assert order(candidate("b", reachable=False), candidate("c")) == ["c", "p", "b"]


def test_baselines():
    candidates = [PRIMARY, candidate("b"), candidate("c")]
    assert PrimaryOnlyPolicy().order(candidates, NEED) == ["p"]
    rotating = RoundRobinPolicy()
    firsts = [rotating.order(candidates, NEED)[0] for _ in range(4)]
    assert firsts == ["p", "b", "c", "p"]
