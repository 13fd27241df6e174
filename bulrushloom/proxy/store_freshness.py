"""Bounds on the age of the last store read; no I/O.

The configuration and the primaries may be used only while the last linearizable read
of the store is recent enough. The age is measured on a clock that includes suspended
time, so a process that was frozen, partitioned or rejected by the store detects by
itself that its state is outdated.
"""

from datetime import timedelta

from bulrushloom.proxy.settings import ProxySettings

# Covers the time from the check until the statement arrives at its server.
KEY_CHECK_MARGIN = timedelta(milliseconds=300)
# The known primary is used only while the last read is not older than this. A failover
# announces the new primary after this time, or once all instances have confirmed that
# they no longer use the old one. The time allows for the leader's reports to
# arrive and for one store read.
MAX_PRIMARY_AGE = timedelta(milliseconds=2000)
# An instance whose last read is older is not ready: three consecutive reads failed, and
# other instances are a better choice for new sessions.
READINESS_LIMIT = timedelta(milliseconds=3000)

NEVER = timedelta(days=-1)


class StoreFreshness:
    """Age of the last linearizable store read and what it permits."""

    def __init__(self, settings: ProxySettings):
        self.settings = settings
        self.last_read_at = NEVER

    def record_read(self, sent_at: timedelta) -> None:
        """Record a successful read that was sent at ``sent_at``.

        The answer of an older read does not replace a newer one.
        """
        self.last_read_at = max(self.last_read_at, sent_at)

    def age(self, now: timedelta) -> timedelta:
        """Return the time since the last successful read was sent."""
        return now - self.last_read_at

    def allows_keys(self, now: timedelta) -> bool:
        """Return whether API keys may still be accepted.

        Otherwise a key may have been withdrawn longer ago than the bound permits.
        """
        return self.age(now) <= self.settings.withdrawn_key_bound - KEY_CHECK_MARGIN

    def allows_primary(self, now: timedelta) -> bool:
        """Return whether a known primary cannot have been replaced yet."""
        return self.age(now) <= MAX_PRIMARY_AGE

    def allows_readiness(self, now: timedelta) -> bool:
        """Return whether this process should receive new sessions."""
        return self.age(now) <= READINESS_LIMIT
