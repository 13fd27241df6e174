"""The entry's cache of group views."""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.base import Effect, SendMessage
from bulrushloom.coordination.membership.base import InstanceTable
from bulrushloom.coordination.routing.base import Candidate
from bulrushloom.instance.messages import GroupView, GroupViewRequest
from bulrushloom.rules.base import EMPTY_RULES, RuleSet

# A valid view is renewed this often while its group is in use; failed statements
# renew it at once. At 730 instances and 780 groups the requests must stay rare.
VIEW_REFRESH_INTERVAL = timedelta(seconds=10)

# A view by which reads go to the primary, because replicas were behind, is renewed
# this often: replicas that have caught up would otherwise be passed over for 10 s.
BEHIND_REFRESH_INTERVAL = timedelta(seconds=1)

# Views of one group are asked for at most this often.
VIEW_REQUEST_INTERVAL = timedelta(milliseconds=100)


class _CachedView(NamedTuple):
    view: GroupView
    received_at: timedelta
    valid: bool

    def is_current(self, interval: timedelta, now: timedelta) -> bool:
        return self.valid and now - self.received_at < interval


class GroupViewCache:
    """Keep the newest view of each group and ask watchers for new ones."""

    def __init__(self, table: InstanceTable):
        self._table = table
        self._rules = EMPTY_RULES
        self._cached_by_group: dict[str, _CachedView] = {}
        self._asked_at_by_group: dict[str, timedelta] = {}

    def update_rules(self, rules: RuleSet) -> None:
        """Use a new version of the rules."""
        self._rules = rules

    def update(self, view: GroupView, now: timedelta) -> bool:
        """Keep ``view`` unless it is of an older term; return whether it was kept."""
        cached = self._cached_by_group.get(view.group)
        if cached is not None and view.term < cached.view.term:
            return False
        self._cached_by_group[view.group] = _CachedView(view, now, bool(view.primary))
        return True

    def invalidate(self, group: str) -> None:
        """Mark the view as doubtful, so that the next use asks for a new one."""
        cached = self._cached_by_group.get(group)
        if cached is not None:
            self._cached_by_group[group] = cached._replace(valid=False)

    def refresh(
        self, group: str, now: timedelta, interval: timedelta = VIEW_REFRESH_INTERVAL
    ) -> list[Effect]:
        """Return the request for a new view if the known one is older."""
        cached = self._cached_by_group.get(group)
        if cached is not None and cached.is_current(interval, now):
            return []
        asked_at = self._asked_at_by_group.get(group)
        if asked_at is not None and now - asked_at < VIEW_REQUEST_INTERVAL:
            return []
        self._asked_at_by_group[group] = now
        targets = self._rules.targets_by_group.get(group, ())
        watchers = self._table.watchers(targets, now)
        return [SendMessage(watcher, GroupViewRequest(group)) for watcher in watchers]

    def primary(self, group: str) -> str:
        """Return the primary as far as it is known, else an empty text."""
        cached = self._cached_by_group.get(group)
        return cached.view.primary if cached is not None else ""

    def candidates(
        self, group: str, in_flight_by_target: dict[str, int]
    ) -> list[Candidate]:
        """Return what is known of each target of ``group``."""
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
