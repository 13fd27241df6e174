"""Live instances of a domain: their ranks, the electorate and absent members."""

from collections.abc import Iterable
from datetime import timedelta

from bulrushloom.coordination.limits.base import Member
from bulrushloom.coordination.limits.electorate import majority_size
from bulrushloom.coordination.membership.utils import rendezvous_order

# Heartbeats to more members than this would exceed the control traffic limit of an
# instance in a domain of more than a hundred instances.
ELECTORATE_SIZE = 7
# A member that has not been listed for this time is treated as gone.
GONE_TIMEOUT = timedelta(seconds=30)
# The platform starts a process under a name only after the previous one has ended, so a
# member whose name is listed with another incarnation is gone. The timeout covers the
# lifetime of tokens that a holder granted just before it ended.
REPLACED_TIMEOUT = timedelta(seconds=3)
# After a longer gap between ticks, the measurement of absences starts again, because
# the instance list may have changed during the gap.
PAUSE_THRESHOLD = timedelta(seconds=5)


class Presence:
    """Rank the live instances and measure how long others have been absent."""

    def __init__(self, subject: str):
        self._subject = subject
        self.ranked: list[Member] = []
        self._counting_since: timedelta | None = None
        self._absent_since_by_member: dict[Member, timedelta] = {}
        self._ticked_at: timedelta | None = None

    def update(self, members: Iterable[Member], now: timedelta) -> None:
        """Replace the live instances."""
        member_by_name = {member.name: member for member in members}
        order = rendezvous_order(self._subject, member_by_name)
        previous = set(self.ranked)
        self.ranked = [member_by_name[name] for name in order]
        if self._counting_since is None:
            self._counting_since = now
        live = set(self.ranked)
        for member in previous - live:
            self._absent_since_by_member[member] = now
        for member in live:
            self._absent_since_by_member.pop(member, None)

    def tick(self, now: timedelta) -> None:
        """Restart the measurement of absences after a pause of this instance."""
        if self._ticked_at is not None and now - self._ticked_at > PAUSE_THRESHOLD:
            self._counting_since = now
            self._absent_since_by_member.clear()
        self._ticked_at = now

    def rank(self, member: Member, holder: str) -> int:
        """Return the position of ``member`` in the rank order without the holder."""
        others = [m for m in self.ranked if m == member or m.name != holder]
        return others.index(member) if member in others else len(others)

    def is_candidate(self, member: Member) -> bool:
        """Return whether ``member`` ranks high enough to hold the share."""
        return member in self.ranked[:ELECTORATE_SIZE]

    def electorate(self, member: Member) -> list[Member]:
        """Return the electorate of ``member`` as holder, which includes ``member``."""
        members = self.ranked[:ELECTORATE_SIZE]
        return members if member in members else [member, *members][:ELECTORATE_SIZE]

    def majority_gone(self, members: list[Member], now: timedelta) -> bool:
        """Return whether a majority of ``members`` has been absent for long enough."""
        gone = sum(self._is_gone(member, now) for member in members)
        return gone >= majority_size(members)

    def _is_gone(self, member: Member, now: timedelta) -> bool:
        if self._counting_since is None or member in self.ranked:
            return False
        since = self._absent_since_by_member.get(member, self._counting_since)
        replaced = any(live.name == member.name for live in self.ranked)
        return now - since >= (REPLACED_TIMEOUT if replaced else GONE_TIMEOUT)
