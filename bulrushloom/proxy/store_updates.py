"""Application of what a read of the store, or a report about one, has shown.

An update concerns several parts of an instance: the table of targets, the pool, the
router and the log. All callers go through this module, so that no part is left out.
"""

from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.failover.groups import GroupPhase, GroupRecord
from bulrushloom.proxy.failover.target_list import VANISHED_TARGET_LIFETIME, KnownTarget
from bulrushloom.proxy.instance_state import InstanceState
from bulrushloom.proxy.primary_wait import PrimaryWait
from bulrushloom.proxy.suspicions import Suspicions


class StoreUpdates:
    """Updates of the state of one instance from the store."""

    def __init__(self, state: InstanceState, suspicions: Suspicions, wait: PrimaryWait):
        self._state = state
        self._suspicions = suspicions
        self._wait = wait

    def update_evacuated_domains(
        self, domains: frozenset[str], listed_at: timedelta
    ) -> bool:
        """Apply the evacuated domains of a store read; return whether they changed."""
        has_changed = self._state.table.evacuations.update(domains, listed_at)
        evacuated = self._state.table.evacuated_domains
        self._state.metrics.gauges["evacuated_domains"] = len(evacuated)
        if not has_changed:
            return False
        self._state.log.write(
            "evacuation_changed",
            domains=sorted(evacuated),
            evidence_age=self._state.loop.now() - listed_at,
        )
        for known in self._state.table.listed_target_by_id.values():
            if self._state.table.evacuations.covers(known.target):
                self._state.pool.close_idle_connections(
                    known.target.target_id, "the domain of the target is evacuated"
                )
        return True

    def update_targets(
        self, target_by_id: Mapping[str, Target], listed_at: timedelta
    ) -> None:
        """Apply the list of targets from a read of the store."""
        before = self._state.table.listed_target_by_id
        self._state.table.update_targets(target_by_id, listed_at)
        listed_target_by_id = self._state.table.listed_target_by_id
        self._log_changed_targets(before, listed_target_by_id)
        for target_id in before.keys() - listed_target_by_id.keys():
            self._state.log.write("target_gone", target_id=target_id)
            self._suspicions.drop(target_id)
        self._state.router.retain_only(listed_target_by_id)
        if self._state.sharing is not None:
            self._state.sharing.update_targets(
                {key: known.target for key, known in listed_target_by_id.items()}
            )
        for target_id in self._state.pool.target_ids():
            if target_id not in listed_target_by_id:
                self._state.pool.close_idle_connections(target_id, "the target is gone")

    def _log_changed_targets(
        self, before: Mapping[str, KnownTarget], after: Mapping[str, KnownTarget]
    ) -> None:
        for target_id, known in after.items():
            old = before.get(target_id)
            fields = _target_fields(known.target)
            if old is None or _target_fields(old.target) != fields:
                self._state.log.write("target_changed", **fields)

    def apply_group_records(self, groups: Mapping[str, GroupRecord]) -> bool:
        """Apply announcements of primaries; return whether any was new."""
        changed = self._state.table.apply_group_records(groups)
        for group in changed:
            is_suspected = group.old_id in self._suspicions.suspected_targets()
            self._state.commits.apply_group_record(group, is_suspected)
            self._state.orders.apply_group_record(group)
            self._state.log.write(
                "group_changed",
                service=group.service,
                phase=group.phase.value,
                primary=group.primary_id,
                term=group.term,
                fence=group.fence,
                era=group.era,
                generation=group.generation,
                revision=group.revision,
            )
            if group.phase is GroupPhase.STEADY:
                self._wait.resolve_change(group.service)
        return bool(changed)

    def enter_era(self, era: int, is_settled: bool) -> bool:
        """Apply the era that the store is in; return whether it is a later one.

        Must be called before what a read in this era showed is applied.
        """
        if not self._state.eras.enter(era, self._state.loop.now(), is_settled):
            return False
        self._state.table.note_return_of_store()
        self._state.table.evacuations.hold(
            self._state.loop.now() + VANISHED_TARGET_LIFETIME
        )
        self._state.metrics.count("store_returns", "seen")
        self._state.log.write(
            "store_returned",
            era=era,
            evidence_age=self._state.store_freshness.age(self._state.loop.now()),
            configuration=self._state.configuration.version,
        )
        return True


def _target_fields(target: Target) -> dict[str, Any]:
    """Return the fields of a target whose changes are logged."""
    return {
        "target_id": target.target_id,
        "service": target.service,
        "address": target.address,
        "is_draining": target.is_draining,
        "claims_primary": target.claims_primary,
        "born_ms": target.born_ms,
    }
