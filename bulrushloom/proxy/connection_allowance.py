"""Allowance of connections to a target for each instance; no I/O.

A server limits its connections over all callers, and keeps those of a host that lost
power for some seconds.
"""

from datetime import timedelta

# Every instance may open a connection to every target for at least one account.
MIN_QUOTA = 1
# Reserved for the leader and the relays of six domains, which query the status of the
# servers when a primary fails.
RESERVED_CONNECTIONS = 6
# Servers keep the connections of a host that lost power for 3 s. If all hosts lose
# power, a server has to hold these and the new connections at the same time, so an
# instance uses half of its quota for this long after its start.
ORPHANED_CONNECTION_LIFETIME = timedelta(milliseconds=3500)
# With fewer connections than this for each instance, idle ones are not kept for long.
SCARCE_QUOTA = 2
# Time for which an unused connection to such a target is kept, and the same with fewer
# connections than instances: the statements of one caller still find their connection.
SCARCE_IDLE_LIFETIME = timedelta(seconds=1)
SHARED_IDLE_LIFETIME = timedelta(milliseconds=250)
CHECK_INTERVAL = timedelta(milliseconds=100)


def quota(max_connections: int, member_count: int, uptime: timedelta) -> int:
    """Return how many connections one of ``member_count`` instances may have.

    ``uptime`` is the time since the start of the instance.
    """
    share = _share(max_connections, member_count)
    if uptime < ORPHANED_CONNECTION_LIFETIME:
        share //= 2
    return max(MIN_QUOTA, share)


def idle_lifetime(max_connections: int, member_count: int) -> timedelta | None:
    """Return how long an unused connection is kept, ``None`` without a limit.

    Answers the loss of all instances where a target has about as many connections as
    there are instances: if each instance keeps one, the target holds as many orphaned
    connections when the instances return, and rejects their new ones. An account rarely
    finds its own connection again on such an instance, so little is lost by closing it.

    With fewer connections than instances, it also answers calm load: idle connections
    of some instances fill a busy primary, which then rejects the others.
    """
    share = _share(max_connections, member_count)
    if share >= SCARCE_QUOTA:
        return None
    return SCARCE_IDLE_LIFETIME if share else SHARED_IDLE_LIFETIME


def _share(max_connections: int, member_count: int) -> int:
    return (max_connections - RESERVED_CONNECTIONS) // max(member_count, 1)
