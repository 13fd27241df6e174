"""How long a process may rely on what it last read from the store; no I/O.

Every use of the configuration and of the primaries has a bound on the age of the last
linearizable read. The age is taken on a clock that counts suspended time, so a process
that was frozen, cut off or refused by the store finds out by itself.
"""

from datetime import timedelta

from bulrushloom.proxy.settings import ProxySettings

# Covers the time between the check and the arrival of the statement at its server.
KEY_MARGIN = timedelta(milliseconds=300)
# A successor is announced only after this long, or when all instances confirmed that
# they left its predecessor. The way of the leader's news and one read fit into it.
PRIMARY_LIMIT = timedelta(milliseconds=2000)
# Three reads in a row failed; new sessions are better off at another instance.
READY_LIMIT = timedelta(milliseconds=3000)

NEVER = timedelta(days=-1)


class StoreFreshness:
    """Follow the age of the last linearizable read of the store."""

    def __init__(self, settings: ProxySettings):
        self.settings = settings
        self.confirmed_at = NEVER

    def record_read(self, asked_at: timedelta) -> None:
        """Note a read that was sent at ``asked_at`` and answered."""
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def age(self, now: timedelta) -> timedelta:
        """Return the time since the last confirmation began."""
        return now - self.confirmed_at

    def allows_keys(self, now: timedelta) -> bool:
        """Return whether no key can have been withdrawn for too long unnoticed."""
        return self.age(now) <= self.settings.withdrawn_key_bound - KEY_MARGIN

    def allows_primary(self, now: timedelta) -> bool:
        """Return whether no successor of a known primary can be in use."""
        return self.age(now) <= PRIMARY_LIMIT

    def allows_readiness(self, now: timedelta) -> bool:
        """Return whether new sessions should come to this process."""
        return self.age(now) <= READY_LIMIT
