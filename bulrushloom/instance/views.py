"""Cache of group views at the entry instance."""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.base import Effect, SendMessage
from bulrushloom.coordination.membership.base import InstanceTable
from bulrushloom.coordination.routing.base import Candidate
from bulrushloom.instance.messages import GroupView, GroupViewRequest
from bulrushloom.rules.base import EMPTY_RULES, RuleSet

# Interval at which a valid view is refreshed while its group is in use. Failed
# statements refresh it immediately. With 730 instances and 780 groups, the requests
# must be infrequent.
VIEW_REFRESH_INTERVAL = timedelta(seconds=10)

# Refresh interval of a view for which the router sends a read to the primary, because
# the replicas were behind. Replicas that have caught up would otherwise not be used for
# up to 10 s.
LAGGING_REFRESH_INTERVAL = timedelta(seconds=1)

# Minimum interval between requests for the view of one group.
VIEW_REQUEST_INTERVAL = timedelta(milliseconds=100)


class _CachedView(NamedTuple):
    view: GroupView
    received_at: timedelta
    valid: bool

    def is_fresh(self, interval: timedelta, now: timedelta) -> bool:
        return self.valid and now - self.received_at < interval


class GroupViewCache:
    """Hold the latest view of each group and request new ones from watchers."""

    def __init__(self, table: InstanceTable):
        self._table = table
        self._rules = EMPTY_RULES
        self._cached_by_group: dict[str, _CachedView] = {}
        self._requested_at_by_group: dict[str, timedelta] = {}

    def update_rules(self, rules: RuleSet) -> None:
        """Set a new rules version."""
        self._rules = rules

    def update(self, view: GroupView, now: timedelta) -> bool:
        """Store ``view`` unless its term is older; return whether it was stored."""
        cached = self._cached_by_group.get(view.group)
        if cached is not None and view.term < cached.view.term:
            return False
        self._cached_by_group[view.group] = _CachedView(view, now, bool(view.primary))
        return True

    def invalidate(self, group: str) -> None:
        """Mark the view as invalid, so that the next use requests a new one."""
        cached = self._cached_by_group.get(group)
        if cached is not None:
            self._cached_by_group[group] = cached._replace(valid=False)

    def refresh(
        self, group: str, now: timedelta, interval: timedelta = VIEW_REFRESH_INTERVAL
    ) -> list[Effect]:
        """Return requests for a new view if the known one is older than ``interval``.

        An invalid view is always requested anew. There are no requests within
        ``VIEW_REQUEST_INTERVAL`` of earlier ones.
        """
        cached = self._cached_by_group.get(group)
        if cached is not None and cached.is_fresh(interval, now):
            return []
        requested_at = self._requested_at_by_group.get(group)
        if requested_at is not None and now - requested_at < VIEW_REQUEST_INTERVAL:
            return []
        self._requested_at_by_group[group] = now
        targets = self._rules.targets_by_group.get(group, ())
        watchers = self._table.watchers(targets, now)
        return [SendMessage(watcher, GroupViewRequest(group)) for watcher in watchers]

    def primary(self, group: str) -> str:
        """Return the name of the primary, or an empty string if it is unknown."""
        cached = self._cached_by_group.get(group)
        return cached.view.primary if cached is not None else ""

    def candidates(
        self, group: str, in_flight_by_target: dict[str, int]
    ) -> list[Candidate]:
        """Return the known state of each target of ``group``."""
        cached = self._cached_by_group.get(group)
        if cached is None:
            return []
        candidates = []
        for server in cached.view.servers:
            rule = self._rules.target_by_name.get(server.target)
            if rule is None:
                continue
            age = timedelta(milliseconds=server.age_ms) if server.age_ms >= 0 else None
            candidates.append(
                Candidate(
                    server.target,
                    rule.domain,
                    server.target == cached.view.primary,
                    server.reachable,
                    server.applied,
                    age,
                    in_flight_by_target.get(server.target, 0),
                )
            )
        return candidates
