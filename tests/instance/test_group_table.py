"""Guards against reuse of transaction handles and of promotion candidates."""

from datetime import timedelta

import pytest

from bulrushloom.coordination.base import select_effects
from bulrushloom.coordination.failover.base import (
    FailoverPolicy,
    FenceServer,
    PollStatus,
    StatusReceived,
)
from bulrushloom.coordination.membership.base import InstanceTable
from bulrushloom.coordination.queueing.fair import FairQueue
from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.databases.base import Role, ServerStatus
from bulrushloom.instance.base import RunBegin
from bulrushloom.instance.group_table import GroupTable
from bulrushloom.instance.groups import GROUP_RETENTION
from tests import builders

ZERO = timedelta()
LATER = GROUP_RETENTION + timedelta(seconds=1)


@pytest.fixture
def groups():
    """Return the groups of an instance that owns no target.

    Each target has an owner in its own failure domain.
    """
    table = InstanceTable(builders.instance_entry("south-1", "south"))
    entries = [
        builders.instance_entry(f"{domain}-1", domain)
        for domain in ("east", "west", "north")
    ]
    table.update(entries, ZERO)
    groups = GroupTable(table, FailoverPolicy(), lambda: FairQueue(4))
    groups.update_rules(builders.rule_set())
    groups.update_watched_groups(ZERO)
    return groups


def send(groups, message, now):
    return groups.message_handlers()[type(message)]("west-1", message, now)


def begin(groups, request_id, now):
    """Begin a transaction at the primary and return its handle."""
    request = builders.transaction_request(
        request_id=request_id, incarnation="south-1.run"
    )
    send(groups, request._replace(request_id=f"{request_id}.early"), now)
    position = LogPosition(1, 1)
    status = ServerStatus("orders-a", Role.PRIMARY, 1, position, position, ZERO, ZERO)
    send(groups, StatusReceived("orders-a", status), now)
    [run] = select_effects(send(groups, request, now), RunBegin)
    return run.handle


def test_group_that_is_served_again_does_not_repeat_handles(groups):
    # With an old handle, a caller could use another transaction of its account.
    first = begin(groups, "t1", ZERO)
    groups.group_by_name.clear()
    assert begin(groups, "t2", LATER) != first


def test_unused_group_is_dropped(groups):
    send(groups, builders.statement_request(incarnation="south-1.run"), ZERO)
    assert list(groups.group_by_name) == ["orders"]
    groups.update_watched_groups(LATER)
    assert not groups.group_by_name


def test_group_that_is_watched_again_is_another_candidate(groups):
    # A server grants a term to one candidate, so two promotions must not use the same.
    candidates = set()
    for start in (ZERO, LATER):
        groups.group_by_name.clear()
        send(groups, builders.statement_request(incarnation="south-1.run"), start)
        [group] = groups.group_by_name.values()
        group.update(builders.rule_set().targets_by_group["orders"], ["south-1"])
        candidates |= _candidates(groups, group, start)
    assert len(candidates) == 2


def _candidates(groups, group, start):
    """Answer as replicas for all servers until the monitor requests a fence."""
    position = LogPosition(1, 1)
    found = set()
    for step in range(100):
        now = start + step * timedelta(milliseconds=100)
        for effect in group.tick(now):
            if isinstance(effect, FenceServer):
                found.add(effect.candidate)
            if isinstance(effect, PollStatus):
                status = ServerStatus(
                    effect.target, Role.REPLICA, 1, position, position, ZERO, None
                )
                for follow_up in send(
                    groups, StatusReceived(effect.target, status), now
                ):
                    if isinstance(follow_up, FenceServer):
                        found.add(follow_up.candidate)
        if found:
            return found
    return found
