"""When an attempt at a failover ends without a new primary."""

from datetime import timedelta

from bulrushloom.proxy.leadership import Leadership

FAILOVER_TIMEOUT = timedelta(seconds=30)


class Abandoned(Exception):
    """The failover cannot continue on this instance."""


def check_leadership(leadership: Leadership) -> None:
    """Raise ``Abandoned`` unless this instance may decide as the leader."""
    if not leadership.may_decide():
        raise Abandoned("this instance no longer holds the leader lease")
