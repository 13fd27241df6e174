"""Allowance of connections to a target for each instance."""

from datetime import timedelta

import pytest

from bulrushloom.proxy.connection_allowance import (
    CHECK_INTERVAL,
    ORPHANED_CONNECTION_LIFETIME,
    RESERVED_CONNECTIONS,
    SCARCE_IDLE_LIFETIME,
    SHARED_IDLE_LIFETIME,
    idle_lifetime,
    quota,
)
from tests.proxy.builders import ms

LONG_AGO = timedelta(hours=1)


@pytest.mark.parametrize(
    "max_connections, member_count, expected",
    [(42, 14, 2), (61, 13, 4), (36, 20, 1), (180, 195, 1), (0, 5, 1)],
)
def test_quota_is_a_part_of_the_limit_and_at_least_one(
    max_connections, member_count, expected
):
    assert quota(max_connections, member_count, LONG_AGO) == expected


def test_quota_leaves_room_for_orphaned_connections_after_the_start():
    assert quota(61, 13, ms(100)) == 2
    assert quota(61, 13, ORPHANED_CONNECTION_LIFETIME) == 4


@pytest.mark.parametrize(
    "max_connections, member_count, expected",
    [
        (42, 14, None),
        (61, 13, None),
        (36, 20, SCARCE_IDLE_LIFETIME),
        (61, 126, SHARED_IDLE_LIFETIME),
        (180, 195, SHARED_IDLE_LIFETIME),
    ],
)
def test_unused_connections_are_kept_where_there_are_enough(
    max_connections, member_count, expected
):
    assert idle_lifetime(max_connections, member_count) == expected


def connections_held(max_connections, member_count, statements_per_s):
    """Return how many connections a target holds if none is found again in time.

    Every instance sends its statements at even intervals.
    """
    lifetime = idle_lifetime(max_connections, member_count)
    interval = timedelta(seconds=member_count / statements_per_s)
    if lifetime is None:
        return member_count
    return member_count * min(1.0, (lifetime + CHECK_INTERVAL) / interval)


@pytest.mark.parametrize(
    "max_connections, member_count, statements_per_s",
    [(180, 195, 120), (36, 20, 13), (61, 126, 60)],
)
def test_returning_instances_find_free_connections(
    max_connections, member_count, statements_per_s
):
    # Replays large/ trouble-1 and further/ trouble-1 from 41 s on: all instances lost
    # power, and each target held one orphaned connection of each of them for 3 s.
    # The 30 targets rejected 740 connections on large/, and 3,432 attempts met a target
    # that was known to be full. On a calm day of further-grown/, the busiest target got
    # 2.9 times the mean: 770 connections rejected in 10 s of a calm day. The rates are
    # those of the busiest target with 126 and 195 instances, and the mean with 20.
    held = connections_held(max_connections, member_count, statements_per_s)
    # The returning instances soon hold as many as before.
    assert held * 2 + RESERVED_CONNECTIONS <= max_connections


def test_idle_connection_to_a_target_with_few_is_closed(instance):
    services = instance.services
    client = instance.client("strict")
    client.query("READ 1")
    services.member_count = 1000
    instance.run(SHARED_IDLE_LIFETIME - ms(10))
    services.close_unused_connections()
    assert services.pool.size() == 1
    instance.run(ms(20))
    services.close_unused_connections()
    assert services.pool.size() == 0
    assert client.query("READ 1")[1].startswith("DONE")


def test_idle_connection_to_a_target_with_enough_is_kept(instance):
    services = instance.services
    instance.client("strict").query("READ 1")
    services.member_count = 2
    instance.run(SCARCE_IDLE_LIFETIME * 3)
    services.close_unused_connections()
    assert services.pool.size() == 1
