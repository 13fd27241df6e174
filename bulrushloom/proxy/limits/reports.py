"""Usage reports of the other instances; no I/O."""

from collections import deque
from collections.abc import Mapping
from datetime import timedelta

from bulrushloom.proxy.limits.usage import OWN_KEY, PeerUsage, Usage, UsageSnapshot

# Fraction of a report's validity during which it has full weight: two report intervals.
FULL_WEIGHT_FRACTION = 0.35
# A partitioned member is detected within this time, so an older snapshot dates from
# before the partition.
MIN_REFERENCE_AGE = timedelta(milliseconds=1500)


def report_weight(age: timedelta, fresh_for: timedelta) -> float:
    """Return the weight of a report, falling from 1 to 0 as it becomes outdated."""
    full_weight_for = fresh_for * FULL_WEIGHT_FRACTION
    return min(1.0, max(0.0, (fresh_for - age) / (fresh_for - full_weight_for)))


class MemberCount:
    """Number of instances among which the limits are divided.

    An entry in the list of members can expire while its instance runs and admits: the
    leases of all members expire if the store is away. So a lower number applies only
    once it has been the highest one for a whole window. Before, an instance whose list
    was empty for a moment used the whole limit beside the others, and 162 operations
    ran where 141 are permitted.
    """

    def __init__(self) -> None:
        self._count_by_time: deque[tuple[timedelta, int]] = deque()

    def update(self, count: int, now: timedelta, window: timedelta) -> int:
        """Record the present number; return the highest one of the last window."""
        counts = self._count_by_time
        # A number ends when the next one is recorded, so the last one that began
        # before the window still applied in it.
        while len(counts) > 1 and counts[1][0] <= now - window:
            counts.popleft()
        if not counts or counts[-1][1] != count:
            counts.append((now, count))
        return max(known for _, known in counts)


class PeerReports:
    """Latest report of each peer, and what later reports of another source lack."""

    def __init__(self, started_at: timedelta):
        self.by_name: dict[str, PeerUsage] = {}
        self._retained_by_source: dict[tuple[str, str], PeerUsage] = {}
        # Usage at a time at which all members reported, and a newer candidate for it.
        # The candidate replaces the reference if all members still report
        # MIN_REFERENCE_AGE after the candidate was taken.
        self.reference = UsageSnapshot(started_at, {})
        self._next_reference = UsageSnapshot(started_at, {})

    def reachable_count(self, now: timedelta) -> int:
        """Return the number of instances with a fresh report, including this one."""
        return 1 + sum(
            peer.instance_count
            for peer in self.by_name.values()
            if now - peer.reported_at <= peer.fresh_for
        )

    def record(self, name: str, report: PeerUsage) -> bool:
        """Store a report unless a newer one is known; return whether it is stored."""
        previous = self.by_name.get(name)
        if previous is not None and previous.reported_at > report.reported_at:
            return False
        if previous is not None and previous.source != report.source:
            self._retain(name, previous, report)
        self.by_name[name] = report
        return True

    def _retain(self, name: str, previous: PeerUsage, report: PeerUsage) -> None:
        """Keep what a new source does not know of the usage that the old one reported.

        An instance that has restarted, or replaced a relay that was killed, has not
        observed the whole window. The operations that its report lacks still count.
        """
        self._retained_by_source.pop((name, report.source), None)
        lacking = {}
        for account, usage in previous.usage_by_account.items():
            known = report.usage_by_account.get(account)
            missing = usage.admitted - (known.admitted if known else 0.0)
            if missing > 0.0:
                lacking[account] = Usage(missing, 0.0)
        if lacking:
            self._retained_by_source[name, previous.source] = previous._replace(
                usage_by_account=lacking
            )

    def retained(self, account: str, now: timedelta, window: timedelta) -> float:
        """Return the retained operations that are still in the window."""
        total = 0.0
        for peer in self._retained_by_source.values():
            usage = peer.usage_by_account.get(account)
            if usage is not None and now - peer.reported_at < window:
                total += usage.admitted
        return total

    def forget_old(self, now: timedelta, window: timedelta) -> None:
        """Remove reports whose operations have all left the window."""
        self.by_name = {
            name: peer
            for name, peer in self.by_name.items()
            if now - peer.reported_at < window
        }
        self._retained_by_source = {
            key: peer
            for key, peer in self._retained_by_source.items()
            if now - peer.reported_at < window
        }

    def update_reference(
        self, own_usage: Mapping[str, Usage], member_count: int, now: timedelta
    ) -> None:
        """Renew the reference while all members report; otherwise keep it unchanged."""
        if self.reachable_count(now) < member_count:
            self._next_reference = self.reference
        elif now - self._next_reference.taken_at >= MIN_REFERENCE_AGE:
            self.reference = self._next_reference
            usage_by_peer: dict[str, Mapping[str, Usage]] = {
                name: peer.usage_by_account for name, peer in self.by_name.items()
            }
            usage_by_peer[OWN_KEY] = own_usage
            self._next_reference = UsageSnapshot(now, usage_by_peer)
