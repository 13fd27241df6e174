"""Which targets may get statements now.

The answers depend on how recently this instance has heard of the store: one that is cut
off must not go on using a primary that the others may have replaced.
"""

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.connection_sources import ConnectionSources
from bulrushloom.proxy.instance_state import InstanceState
from bulrushloom.proxy.routing import Candidate

# Age of the list of targets, as a fraction of the bound of evacuations, up to which it
# is used. The rest is for a statement that is on its way.
MAX_LIST_AGE_FRACTION = 0.9
OUTDATED_LIST = "the list of targets is too old"


class UsableTargets:
    """Targets that one instance may use for statements."""

    def __init__(self, state: InstanceState, sources: ConnectionSources):
        self._state = state
        self._sources = sources

    def primary(self, service: str) -> Target | Missing:
        """Return the primary that may be used now, or why there is none."""
        if not self._state.store_freshness.allows_primary(self._state.loop.now()):
            return Missing("the last read of the store is too old")
        if self.has_outdated_list():
            return Missing(OUTDATED_LIST)
        return self._state.table.primary_of(service)

    def evacuation_reason(self, target: Target) -> str:
        """Return why ``target`` may not get new statements, or an empty string."""
        if self.has_outdated_list():
            return OUTDATED_LIST
        return self._state.table.evacuations.reason(target)

    def has_outdated_list(self) -> bool:
        """Return whether a domain may be evacuated that the list does not name yet.

        An instance that was paused or cut off hears of the store again before it has
        copied the list. While nobody reads the store, the last known list holds.
        """
        bound = self._state.settings.evacuation_bound
        if bound is None:
            return False
        max_age = bound * MAX_LIST_AGE_FRACTION
        oldest = self._state.loop.now() - max_age
        is_store_read = self._state.store_freshness.last_read_at >= oldest
        return is_store_read and not self._state.table.is_read_since(oldest)

    def is_recorded_primary(self, target: Target) -> bool:
        """Return whether ``target`` is the primary, be its domain evacuated or not."""
        if not self._state.store_freshness.allows_primary(self._state.loop.now()):
            return False
        primary = self._state.table.recorded_primary(target.service)
        return (
            not isinstance(primary, Missing) and primary.target_id == target.target_id
        )

    def is_current_primary(self, target: Target) -> bool:
        """Return whether ``target`` is the primary that may be used now.

        Statements that need the primary check this right before they are sent: while
        they waited, or a transaction paused, a failover may have begun.
        """
        primary = self.primary(target.service)
        return (
            not isinstance(primary, Missing) and primary.target_id == target.target_id
        )

    def candidates(self, service: str, account: str) -> list[Candidate]:
        """Return the targets that may run a read.

        Draining replicas and evacuated domains are left out. While there is no primary,
        so are the one being replaced and targets that claim to be the primary.
        """
        if self.has_outdated_list():
            return []
        now, table = self._state.loop.now(), self._state.table
        primary_id = self._primary_id_for_reads(service)
        group = table.group_by_service.get(service)
        old_primary_id = group.old_id if group and primary_id is None else None
        found = []
        for known in table.targets_of(service):
            target = known.target
            if not table.accepts_new_work(target.target_id, now):
                continue
            is_primary = target.target_id == primary_id
            if target.target_id == old_primary_id or (
                target.claims_primary and not is_primary and primary_id is None
            ):
                continue
            if target.is_draining and not is_primary:
                continue
            found.append(self._candidate(target, is_primary, account))
        return found

    def _primary_id_for_reads(self, service: str) -> str | None:
        """Return the primary, also if only its replicas may get statements."""
        primary = self.primary(service)
        if isinstance(primary, Missing) and self._state.store_freshness.allows_primary(
            self._state.loop.now()
        ):
            # The replicas of a primary in an evacuated domain serve reads.
            primary = self._state.table.recorded_primary(service)
        return None if isinstance(primary, Missing) else primary.target_id

    def _candidate(self, target: Target, is_primary: bool, account: str) -> Candidate:
        in_flight = self._state.pool.in_flight(target.target_id)
        has_idle = self._state.pool.has_idle(target.target_id, account)
        sharing = self._sources.shared(target)
        if sharing is not None:
            # Owners hold connections for most accounts.
            in_flight, has_idle = in_flight + sharing.in_flight(target.target_id), True
        load = self._state.router.loads.get(target.target_id)
        return Candidate(target, is_primary, in_flight, has_idle, load)
