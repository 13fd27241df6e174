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
    """Age of the last linearizable store read and what it permits.

    While keys or primaries are held, reads do not count for them; see
    ``store_eras.EraKnowledge``.
    """

    def __init__(self, settings: ProxySettings):
        self.settings = settings
        self.last_read_at = NEVER
        self._keys_held_at: timedelta | None = None
        self._keys_held_until = NEVER
        self._primaries_held_at: timedelta | None = None

    def record_read(self, sent_at: timedelta) -> None:
        """Record a successful read that was sent at ``sent_at``.

        The answer of an older read does not replace a newer one.
        """
        self.last_read_at = max(self.last_read_at, sent_at)

    def age(self, now: timedelta) -> timedelta:
        """Return the time since the last successful read was sent."""
        return now - self.last_read_at

    def hold_keys(self, now: timedelta, until: timedelta) -> None:
        """Let later reads not count for keys before ``until``."""
        if not self.holds_keys(now):
            self._keys_held_at = self.last_read_at
        self._keys_held_until = until

    def release_keys(self) -> None:
        """Let all reads count for keys."""
        self._keys_held_at = None

    def holds_keys(self, now: timedelta) -> bool:
        """Return whether reads do not count for keys."""
        return self._keys_held_at is not None and now < self._keys_held_until

    def hold_primaries(self) -> None:
        """Let later reads not count for primaries."""
        if self._primaries_held_at is None:
            self._primaries_held_at = self.last_read_at

    def release_primaries(self) -> None:
        """Let all reads count for primaries."""
        self._primaries_held_at = None

    @property
    def primaries_read_at(self) -> timedelta:
        """Return when the last read that counts for primaries was sent."""
        held_at = self._primaries_held_at
        return self.last_read_at if held_at is None else held_at

    def primaries_age(self, now: timedelta) -> timedelta:
        """Return the time since the last read that counts for primaries was sent."""
        return now - self.primaries_read_at

    def is_recent(self, now: timedelta) -> bool:
        """Return whether the last read is within the bound for keys, held or not."""
        return self.age(now) <= self.settings.withdrawn_key_bound - KEY_CHECK_MARGIN

    def allows_keys(self, now: timedelta) -> bool:
        """Return whether API keys may still be accepted.

        Otherwise a key may have been withdrawn longer ago than the bound permits.
        """
        bound = self.settings.withdrawn_key_bound - KEY_CHECK_MARGIN
        return self._configuration_age(now) <= bound

    def allows_denial(self, now: timedelta) -> bool:
        """Return whether what the configuration lacks may be refused for good.

        Otherwise a newer one that has it may have to be in force already.
        """
        return self._configuration_age(now) <= self.settings.configuration_bound

    def _configuration_age(self, now: timedelta) -> timedelta:
        """Return the time since the last read that counts for the configuration."""
        if self._keys_held_at is None or not self.holds_keys(now):
            return self.age(now)
        return now - self._keys_held_at

    def allows_primary(self, now: timedelta) -> bool:
        """Return whether a known primary cannot have been replaced yet."""
        return self.primaries_age(now) <= MAX_PRIMARY_AGE

    def allows_readiness(self, now: timedelta) -> bool:
        """Return whether this process should receive new sessions."""
        return self.age(now) <= READINESS_LIMIT
